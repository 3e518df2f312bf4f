"""Owners grant no more than the slots, and lose no slot to failures."""

import asyncio
import unittest

from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.admission import RENEW_MS, AdmissionClient
from goldcrestmoor.request.admission_messages import RenewGrants
from goldcrestmoor.request.admission_owner import AdmissionOwner
from goldcrestmoor.request.slots import GRANT_LIFETIME_MS
from test import _request_fakes as fakes
from test._common import eventually

OWNER, ENTRY = "host-a1", "host-a2"


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock()
        self.trainer = fakes.account("trainer", "trainer")
        self.app = fakes.account("app")
        self.upstream = fakes.upstream("lm-1", slots=2)
        self.lease = fakes.FakeLease(self.upstream, accounts=[self.trainer, self.app])
        self.network = fakes.FakeNetwork()
        self.membership = fakes.FakeMembership(OWNER, ENTRY)
        self.leaving = set()
        self.owner_by_host = {}
        self.client_by_host = {}
        for host in (OWNER, ENTRY):
            self.add_host(host)
        self.owner = self.owner_by_host[OWNER]
        self.entry = self.client_by_host[ENTRY]

    def add_host(self, host):
        parts = fakes.parts()
        links = self.network.links(host)
        self.owner_by_host[host] = AdmissionOwner(
            clock=self.clock,
            lease=self.lease,
            settings=fakes.limits(),
            links=links,
            membership=self.membership,
            is_leaving=self.leaving.__contains__,
            **parts,
        )
        self.client_by_host[host] = AdmissionClient(
            clock=self.clock,
            host_id=host,
            links=links,
            ownership=fakes.FakeOwnership(OWNER),
            membership=self.membership,
            owner=self.owner_by_host[host],
            decisions=parts["decisions"],
        )

    def acquire(self, client=None, account=None, timeout_ms=60_000):
        deadline = Deadline.after(self.clock, timeout_ms)
        return (client or self.entry).acquire(
            account or self.trainer, self.upstream, 100, deadline, "r1"
        )

    def start(self, **options):
        task = asyncio.create_task(self.acquire(**options))
        self.addAsyncCleanup(self.end, task)
        return task

    async def end(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def fill(self):
        grants = [await self.acquire() for _ in range(2)]
        self.assertEqual(self.owner.in_flight("lm-1"), 2)
        return grants

    async def test_a_queued_request_moves_to_an_idle_upstream(self):
        await self.fill()
        other = fakes.upstream("lm-2", slots=1)
        self.lease.replace(other)

        async def acquire_either():
            deadline = Deadline.after(self.clock, 60_000)
            return await self.entry.acquire(
                self.trainer, self.upstream, 100, deadline, "r1", lambda: [other]
            )

        moved = await acquire_either()
        self.assertEqual(moved.upstream.name, "lm-2")
        await eventually(lambda: self.owner.queued("lm-1") == 0)
        # Without an idle slot on any upstream, the request stays queued until one of
        # them has a free slot.
        waiting = asyncio.create_task(acquire_either())
        self.addAsyncCleanup(self.end, waiting)
        await eventually(lambda: self.owner.queued("lm-1") == 1)
        self.entry.release(moved, 5)
        self.assertEqual((await waiting).upstream.name, "lm-2")
        await eventually(lambda: self.owner.queued("lm-1") == 0)
        self.assertEqual(self.owner.queued("lm-2"), 0)

    async def error_of(self, awaitable):
        with self.assertRaises(ServiceError) as caught:
            await awaitable
        return caught.exception

    async def test_grants_do_not_exceed_the_slots(self):
        grants = await self.fill()
        waiting = self.start()
        await eventually(lambda: self.owner.queued("lm-1") == 1)
        self.assertFalse(waiting.done())
        self.entry.release(grants[0], 10)
        await waiting
        self.assertEqual(self.owner.in_flight("lm-1"), 2)

    async def test_the_owner_itself_acquires_without_a_message(self):
        grant = await self.acquire(self.client_by_host[OWNER])
        self.assertEqual(grant.owner, OWNER)
        self.client_by_host[OWNER].release(grant, 5)
        self.assertEqual(self.owner.in_flight("lm-1"), 0)
        self.assertEqual(self.network.sent, [])

    async def test_a_passed_deadline_is_rejected_and_leaves_no_queue_entry(self):
        await self.fill()
        error = await self.error_of(self.acquire(timeout_ms=100))
        self.assertEqual(error.kind, ErrorKind.QUEUE_TIMEOUT)
        self.assertGreater(error.retry_after_ms, 0)
        await eventually(lambda: self.owner.queued("lm-1") == 0)

    async def test_a_cancelled_caller_leaves_no_queue_entry(self):
        await self.fill()
        waiting = self.start()
        await eventually(lambda: self.owner.queued("lm-1") == 1)
        waiting.cancel()
        await eventually(lambda: self.owner.queued("lm-1") == 0)

    async def test_a_draining_upstream_rejects_queued_requests_at_once(self):
        await self.fill()
        waiting = self.start()
        await eventually(lambda: self.owner.queued("lm-1") == 1)
        self.lease.replace(fakes.upstream("lm-1", draining=True))
        self.owner.clean_up()
        error = await self.error_of(waiting)
        self.assertEqual(error.kind, ErrorKind.NO_UPSTREAM)
        error = await self.error_of(self.acquire())
        self.assertEqual(error.kind, ErrorKind.NO_UPSTREAM)

    async def test_a_leaving_upstream_gets_no_queued_request_for_a_free_slot(self):
        grants = await self.fill()
        waiting = self.start()
        await eventually(lambda: self.owner.queued("lm-1") == 1)
        self.leaving.add("lm-1")
        self.entry.release(grants[0], 10)
        await eventually(lambda: self.owner.in_flight("lm-1") == 1)
        self.owner.clean_up()
        error = await self.error_of(waiting)
        self.assertEqual(error.kind, ErrorKind.NO_UPSTREAM)

    async def test_grants_of_a_dead_host_are_released(self):
        await self.fill()
        waiting = self.start(client=self.client_by_host[OWNER])
        await eventually(lambda: self.owner.queued("lm-1") == 1)
        self.membership.set_state(ENTRY, "dead")
        await waiting
        self.assertEqual(self.owner.in_flight("lm-1"), 1)

    async def test_grants_expire_unless_renewed_in_one_message(self):
        self.clock = fakes.FakeClock()
        self.add_host(OWNER)
        self.add_host(ENTRY)
        self.owner, self.entry = self.owner_by_host[OWNER], self.client_by_host[ENTRY]
        await self.fill()
        for _ in range(5):
            self.clock.ms += GRANT_LIFETIME_MS * 6 // 10
            await self.entry.renew()
            renewals = [m for _, m in self.network.sent if isinstance(m, RenewGrants)]
            self.assertEqual(len(renewals[-1].held), 2)
            await self.network.links_by_host[ENTRY].settle()
            self.owner.clean_up()
            self.assertEqual(self.owner.in_flight("lm-1"), 2)
        self.assertEqual(len(renewals), 5)
        self.clock.ms += GRANT_LIFETIME_MS + 1000
        self.owner.clean_up()
        self.assertEqual(self.owner.in_flight("lm-1"), 0)

    async def test_a_new_owner_counts_what_the_old_one_granted(self):
        await self.fill()
        self.add_host(OWNER)
        await self.entry.renew()
        await self.network.links_by_host[ENTRY].settle()
        self.assertEqual(self.owner_by_host[OWNER].in_flight("lm-1"), 2)
        waiting = self.start()
        new = self.owner_by_host[OWNER]
        await eventually(lambda: new.queued("lm-1") == 1)
        self.assertFalse(waiting.done())

    async def test_a_new_owner_is_notified_at_once(self):
        await self.fill()
        running = asyncio.create_task(self.entry.run())
        self.addCleanup(running.cancel)
        self.add_host(OWNER)
        for callback in self.membership.callbacks:
            callback()
        new = self.owner_by_host[OWNER]
        await eventually(lambda: new.in_flight("lm-1") == 2, RENEW_MS / 2000)

    async def test_a_fallback_host_grants_when_the_owner_is_partitioned(self):
        self.network.partitioned.add(OWNER)
        grant = await self.acquire()
        self.assertEqual(grant.owner, ENTRY)

    async def test_few_requests_are_admitted_without_a_reachable_owner(self):
        self.network.links_by_host.clear()
        self.membership.record_by_id.clear()
        grants = [await self.acquire() for _ in range(2)]
        error = await self.error_of(self.acquire())
        self.assertEqual(error.kind, ErrorKind.OVERLOADED)
        self.entry.release(grants[0], 1)
        await self.acquire()

    async def test_an_application_is_not_delayed_by_a_trainer(self):
        grants = await self.fill()
        trainers = [self.start() for _ in range(20)]
        await eventually(lambda: self.owner.queued("lm-1") == 20)
        app = self.start(account=self.app)
        await eventually(lambda: self.owner.queued("lm-1") == 21)
        for grant in grants:
            self.entry.release(grant, 100)
        await app
        self.assertLessEqual(sum(task.done() for task in trainers), 1)
