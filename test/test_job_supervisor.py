"""Which host starts a job, and when, with a fake store and fake duties."""

import asyncio
import unittest

import msgspec

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.job import Item, Job, JobState
from goldcrestmoor.job.job_api import JobApi
from goldcrestmoor.job.job_store import VersionedState
from goldcrestmoor.job.job_supervisor import JobSupervisor
from goldcrestmoor.job.runner_choice import OTHER_ZONE_DELAY_MS, SAME_ZONE_DELAY_MS
from goldcrestmoor.request.event_stream import Event
from test import _common
from test.test_job_run import TABLE, make_run

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
            configuration=None,
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

    async def test_a_host_that_leaves_before_its_turn_claims_nothing(self):
        """Its lease would keep the next runner waiting after it is gone."""
        self.apply_accepted("zone-b")
        await asyncio.sleep(SAME_ZONE_DELAY_MS / 2000)
        await self.supervisor.hand_over(100)
        await _common.eventually(lambda: not self.supervisor._starting)
        self.assertEqual(self.duties.claims_ms, [])

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


class HeldDuties(FakeDuties):
    """Held by this host."""

    def holds(self, name):
        return True


class SlowStore:
    """Holds the last read of a job until the test lets it go on."""

    def __init__(self, job, stored):
        self.reads = asyncio.Event()
        self.reading = asyncio.Event()
        self.stored = stored
        self._job = job

    def now_ms(self):
        return 1000

    async def load(self, job_id, state):
        if not state.runner:
            await self._wait()
        return self._job

    async def listed_ids(self, job_id, listed):
        await self._wait()
        return set()

    async def partials(self, job_id):
        return {}

    async def change(
        self, job_id, stored, state, results=(), partials=(), condition=None
    ):
        if stored.version == self.stored.version:
            self.stored = VersionedState(state, stored.version + 1)
        return self.stored

    async def _wait(self):
        self.reading.set()
        await self.reads.wait()


class FakeScheduler:
    """Records the runs whose items it is given to start."""

    def __init__(self):
        self.runs = []

    def add(self, run):
        self.runs.append(run)

    def remove(self, run):
        pass

    def keep_output(self, run):
        pass


class ReadingTest(unittest.IsolatedAsyncioTestCase):
    """What happens to a job while the host that takes it over reads it."""

    async def start(self, runner=""):
        """Start a host that takes a job over, up to its reads."""
        items = (Item("i0", "/x", {}, b""),)
        state = JobState("h", "/x", "m", 1, 0, runner=runner)
        stored = VersionedState(state, 1)
        self.store = SlowStore(Job("j", "h", "/x", items, "m"), stored)
        self.scheduler = FakeScheduler()
        self.supervisor = JobSupervisor(
            clock=Clock(),
            store=self.store,
            duties=HeldDuties(Clock()),
            scheduler=self.scheduler,
            routes=lambda: TABLE,
            configuration=None,
            process_id="me",
            zone="zone-a",
            cores=1,
            kept_ms=60_000,
            is_cut_off=lambda: False,
        )
        task = asyncio.create_task(self.supervisor.run())
        self.addAsyncCleanup(self.supervisor.close)
        self.addCleanup(task.cancel)
        self.supervisor.update_state("j", stored)
        await self.store.reading.wait()

    def change(self, **fields):
        """Apply what another host writes to the job's state."""
        current = self.store.stored
        state = msgspec.structs.replace(current.state, **fields)
        self.store.stored = VersionedState(state, current.version + 1)
        self.supervisor.update_state("j", self.store.stored)

    async def finish_reading(self):
        """Let the reads end, and the host decide what follows."""
        starting = self.supervisor._starting
        self.store.reads.set()
        await _common.eventually(lambda: self.scheduler.runs or "j" not in starting)

    async def test_a_job_that_ends_while_its_next_runner_reads_it_is_not_run(self):
        """The feed reports the end before the run exists, and nothing repeats it."""
        for runner in ("dead/1", ""):
            with self.subTest(runner=runner):
                await self.start(runner)
                self.change(is_ended=True)
                await self.finish_reading()
                self.assertEqual(self.scheduler.runs, [])

    async def test_a_job_is_not_run_by_a_host_that_leaves_while_it_reads_it(self):
        """The hand-over covers only the runs that exist when it begins."""
        await self.start("dead/1")
        await self.supervisor.hand_over(100)
        await self.finish_reading()
        self.assertEqual(self.scheduler.runs, [])

    async def test_a_job_that_is_removed_while_it_is_read_is_not_run(self):
        await self.start()
        self.supervisor.apply([Change("j", 9, None)])
        await self.finish_reading()
        self.assertEqual(self.scheduler.runs, [])

    async def test_a_job_that_is_removed_while_it_runs_is_stopped(self):
        """A feed that lost its history reports the removal, and not the end."""
        await self.start()
        await self.finish_reading()
        self.supervisor.apply([Change("j", 9, None)])
        self.assertTrue(self.scheduler.runs[0].is_over)

    async def test_a_job_that_did_not_change_while_it_was_read_is_run(self):
        await self.start("dead/1")
        await self.finish_reading()
        self.assertFalse(self.scheduler.runs[0].is_over)
