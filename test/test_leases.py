"""A lease has one holder, also across frozen processes, outages and lost responses."""

import asyncio
import unittest

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.leases import TAKEOVER_MARGIN_MS, LeaseClient
from test import _table
from test._fleet import HostClock, ManualClock, settle

DURATION_MS = 6000
GENEROUS_MS = 60_000


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.table = _table.FakeTable()
        self.a_clock, self.a = self.make_client("host-a")
        _, self.b = self.make_client("host-b")

    def make_client(self, host_id, **options):
        clock = HostClock(self.clock)
        client = LeaseClient(
            clock=clock, table=self.table.client(clock), host_id=host_id, **options
        )
        self.addAsyncCleanup(client.close)
        return clock, client

    async def take(self, client):
        """Retry until the lease is acquired."""
        end_ms = self.clock.now_ms() + GENEROUS_MS
        while (lease := await client.acquire("duty", DURATION_MS)) is None:
            self.assertLess(self.clock.now_ms(), end_ms)
            await self.clock.advance(500)
        return lease

    async def test_a_renewed_lease_stays_with_its_holder(self):
        lease = await self.take(self.a)
        for _ in range(100):
            self.assertIsNone(await self.b.acquire("duty", DURATION_MS))
            await self.clock.advance(500)
            self.assertTrue(lease.holds())

    async def test_a_holder_that_a_slow_store_holds_up_is_not_followed(self):
        """Reads take a quarter of a second; a queued renewal takes longer."""
        await self.take(self.a)
        _, waiting = self.make_client("host-c", latency_ms=lambda: 240)
        self.a_clock.thawed.clear()
        # The last renewal before the freeze may be newer than the acquisition.
        self.assertIsNone(await waiting.acquire("duty", DURATION_MS))
        await self.clock.advance(DURATION_MS + 2 * TAKEOVER_MARGIN_MS)
        self.assertIsNone(await waiting.acquire("duty", DURATION_MS))
        await self.clock.advance(TAKEOVER_MARGIN_MS)
        self.assertIsNotNone(await waiting.acquire("duty", DURATION_MS))

    async def test_concurrent_attempts_acquire_a_lease_once(self):
        """Two jobs of one model start at the same moment."""
        self.a_clock.thawed.clear()
        attempts = [
            asyncio.create_task(self.a.acquire("duty", DURATION_MS)) for _ in range(2)
        ]
        await settle()
        self.a_clock.thawed.set()
        first, second = await asyncio.gather(*attempts)
        self.assertIs(first, second)
        self.assertEqual(first.fencing, 1)

    async def test_a_frozen_holder_wakes_without_its_lease(self):
        old = await self.take(self.a)
        self.a_clock.thawed.clear()
        new = await self.take(self.b)
        # The old lease has expired by its holder's clock when the new one is acquired.
        self.assertFalse(old.holds())
        self.assertGreater(new.fencing, old.fencing)
        self.a_clock.thawed.set()
        await self.clock.advance(1000)
        self.assertFalse(old.holds())
        self.assertIsNone(await self.a.acquire("duty", DURATION_MS))
        self.assertTrue(new.holds())

    async def test_a_holder_frozen_while_its_renewal_lands_does_not_count_from_then(
        self,
    ):
        old = await self.take(self.a)
        self.table.after_write = self.a_clock.thawed.clear
        await self.clock.advance(DURATION_MS)
        self.assertFalse(self.a_clock.thawed.is_set())
        self.table.after_write = None
        new = await self.take(self.b)
        self.a_clock.thawed.set()
        await self.clock.advance(100)
        self.assertFalse(old.holds())
        self.assertTrue(new.holds())

    async def test_never_two_holders_while_holders_freeze_by_turns(self):
        leases = []
        clients = [self.make_client(f"host-{i}") for i in range(3)]
        for turn in range(60):
            frozen = turn // 10 % len(clients)
            for i, (clock, client) in enumerate(clients):
                if i == frozen:
                    clock.thawed.clear()
                    continue
                clock.thawed.set()
                lease = await client.acquire("duty", DURATION_MS)
                if lease is not None and lease not in leases:
                    leases.append(lease)
            await self.clock.advance(1500)
            self.assertLessEqual(sum(lease.holds() for lease in leases), 1)
        fencing = [lease.fencing for lease in leases]
        self.assertEqual(fencing, sorted(set(fencing)))
        self.assertGreater(len(leases), 2)

    async def test_a_lost_response_is_resolved_by_reading_back(self):
        self.table.lose_answers = 1
        lease = await self.take(self.a)
        self.assertEqual(lease.fencing, 1)
        self.table.lose_answers = 1
        for _ in range(20):
            await self.clock.advance(1000)
            self.assertTrue(lease.holds())

    async def test_a_write_that_lands_late_gives_no_lease_to_its_writer(self):
        self.table.delay_writes = 1
        self.assertIsNone(await self.a.acquire("duty", DURATION_MS))
        self.table.apply(*self.table.delayed.pop())
        self.assertIsNone(await self.b.acquire("duty", DURATION_MS))
        lease = await self.take(self.b)
        self.assertEqual(lease.fencing, 2)

    async def test_an_outage_ends_the_lease_in_time(self):
        lease = await self.take(self.a)
        self.table.is_down = True
        with self.assertRaises(ServiceError) as caught:
            await self.b.acquire("duty", DURATION_MS)
        self.assertEqual(caught.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)
        await self.clock.advance(DURATION_MS)
        self.assertFalse(lease.holds())

    async def test_a_released_lease_is_taken_at_once(self):
        lease = await self.take(self.a)
        await self.a.release_all()
        self.assertFalse(lease.holds())
        new = await self.b.acquire("duty", DURATION_MS)
        self.assertTrue(new.holds() and new.was_released)
