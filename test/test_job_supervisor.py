"""Which host starts a job, and when, with a fake store and fake duties."""

import asyncio
import unittest

from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.job import Job, JobState
from goldcrestmoor.job.job_api import JobApi
from goldcrestmoor.job.job_store import VersionedState
from goldcrestmoor.job.job_supervisor import JobSupervisor
from goldcrestmoor.job.runner_choice import OTHER_ZONE_DELAY_MS, SAME_ZONE_DELAY_MS
from goldcrestmoor.request.event_stream import Event
from test import _common
from test.test_job_run import make_run

JOB = Job("j", "h", "/", ())
# Well below the delay of any host that did not accept the job.
AT_ONCE_MS = SAME_ZONE_DELAY_MS // 2


class FakeDuties:
    """Claimable until the first claim; records the times of claims."""

    def __init__(self, clock):
        self._clock = clock
        self.claims_ms = []
        self.was_held = False

    def holds(self, name):
        return False

    def is_claimable(self, name):
        return not self.claims_ms

    def was_last_held_here(self, name):
        return self.was_held

    async def claim(self, name, duration_ms):
        self.claims_ms.append(self._clock.now_ms())
        return False


class FakeStore:
    """Accepts a job; the feed reports it before the write gets a response."""

    def __init__(self, supervisor):
        self._supervisor = supervisor
        self.failure = None

    def now_ms(self):
        return 1000

    async def accept(self, job, zone, deadline):
        if self.failure:
            raise self.failure
        stored = VersionedState(
            JobState(job.host, job.path, job.model, 1, 0, zone=zone), 1
        )
        self._supervisor.update_state(job.id, stored)
        await asyncio.sleep(0.01)
        return stored


class JobSupervisorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = Clock()
        self.duties = FakeDuties(self.clock)
        self.supervisor = JobSupervisor(
            clock=self.clock,
            store=None,
            duties=self.duties,
            scheduler=None,
            routes=lambda: None,
            process_id="a/1",
            zone="zone-a",
            cores=1,
            kept_ms=60_000,
            is_cut_off=lambda: False,
        )
        self.store = FakeStore(self.supervisor)
        self.job_api = JobApi(
            clock=self.clock,
            store=self.store,
            supervisor=self.supervisor,
            zone="zone-a",
            is_current=lambda: True,
        )

    async def asyncSetUp(self):
        self.task = asyncio.create_task(self.supervisor.run())
        self.addAsyncCleanup(self.supervisor.close)
        self.addCleanup(self.task.cancel)
        await asyncio.sleep(0)

    async def claim_ms(self, seen_ms):
        """Return the time from a given moment to the claim of the duty."""
        await _common.eventually(lambda: self.duties.claims_ms)
        return self.duties.claims_ms[0] - seen_ms

    def apply_accepted(self, zone):
        """Apply the update that a host of a zone accepted the job."""
        state = JobState(JOB.host, JOB.path, JOB.model, 1, 0, zone=zone)
        self.supervisor.update_state(JOB.id, VersionedState(state, 1))

    async def test_the_host_that_accepts_a_job_takes_it_up_at_once(self):
        seen_ms = self.clock.now_ms()
        await self.job_api.submit(JOB)
        self.assertLess(await self.claim_ms(seen_ms), AT_ONCE_MS)

    async def test_a_host_beside_the_accepting_one_leaves_it_the_job(self):
        seen_ms = self.clock.now_ms()
        self.apply_accepted("zone-a")
        waited_ms = await self.claim_ms(seen_ms)
        self.assertGreaterEqual(waited_ms, SAME_ZONE_DELAY_MS)
        self.assertLess(waited_ms, OTHER_ZONE_DELAY_MS)

    async def test_a_host_of_another_zone_leaves_the_job_to_its_zone(self):
        seen_ms = self.clock.now_ms()
        self.apply_accepted("zone-b")
        self.assertGreaterEqual(await self.claim_ms(seen_ms), OTHER_ZONE_DELAY_MS)

    async def test_a_runner_that_was_restarted_goes_on_at_once(self):
        self.duties.was_held = True
        seen_ms = self.clock.now_ms()
        self.apply_accepted("zone-b")
        self.assertLess(await self.claim_ms(seen_ms), AT_ONCE_MS)

    async def test_a_host_that_leaves_does_not_wait_for_long_items(self):
        run, store = make_run(1)
        item = run.waiting[0]
        run.start(item, "a")
        item.add(Event("0", "e0", None, b""), 1)
        self.supervisor._runs_by_job[run.job.id] = run
        listing = asyncio.create_task(run.list_results())
        self.addCleanup(listing.cancel)
        async with asyncio.timeout(0.5):
            await self.supervisor.hand_over(5000)
        self.assertEqual([p.events for p in store.partials], [("e0",)])

    async def test_a_job_that_was_not_accepted_is_not_at_hand(self):
        self.store.failure = ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, "down")
        with self.assertRaises(ServiceError):
            await self.job_api.submit(JOB)
        seen_ms = self.clock.now_ms()
        self.apply_accepted("zone-a")
        self.assertGreaterEqual(await self.claim_ms(seen_ms), SAME_ZONE_DELAY_MS)
