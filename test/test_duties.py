"""A duty moves when its holder is gone, not when the store was unavailable."""

import unittest

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.process.duties import Duties
from goldcrestmoor.process.lease_rows import TABLE
from goldcrestmoor.process.leases import LeaseClient
from goldcrestmoor.process.metrics import Metrics
from test import _table
from test._fleet import HostClock, ManualClock

DUTY = "runner/m0"
DURATION_MS = 1500
# The lease, the margin and a step of the clock.
LAPSE_MS = 2600


class DutiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.table = _table.FakeTable()
        self.watcher = HostClock(self.clock)
        self.holder = self.make_duties("host-a")
        self.other = self.make_duties("host-b")
        self.assertTrue(await self.holder.claim(DUTY, DURATION_MS))

    def make_duties(self, host_id):
        clock = HostClock(self.clock)
        leases = LeaseClient(
            clock=clock, table=self.table.client(clock), host_id=host_id
        )
        self.addAsyncCleanup(leases.close)
        return Duties(
            leases=leases,
            is_feed_current=lambda: not self.table.is_down,
            metrics=Metrics(),
        )

    async def feed(self, duties):
        """Apply the duty's current row to a host."""
        row = await self.table.client(self.watcher).get(TABLE, DUTY)
        duties.apply([Change(DUTY, row.version, row.value)])

    async def test_a_duty_that_its_holder_released_is_claimed_by_another(self):
        await self.feed(self.other)
        self.assertFalse(self.other.is_claimable(DUTY))
        await self.holder.release_all()
        await self.feed(self.other)
        self.assertTrue(self.other.is_claimable(DUTY))
        self.assertTrue(await self.other.claim(DUTY, DURATION_MS))

    async def test_a_host_that_is_back_knows_what_it_held(self):
        await self.feed(self.other)
        self.assertFalse(self.other.was_last_held_here(DUTY))
        back = self.make_duties("host-a")
        self.assertFalse(back.was_last_held_here(DUTY))
        await self.feed(back)
        self.assertTrue(back.was_last_held_here(DUTY))

    async def test_the_time_of_an_outage_does_not_count_against_a_holder(self):
        await self.feed(self.other)
        self.table.is_down = True
        await self.clock.advance(7000)
        self.assertFalse(self.other.is_claimable(DUTY))
        self.assertFalse(await self.other.claim(DUTY, DURATION_MS))
        # The feed reports the recovery just before it delivers the changes.
        self.other.on_feed_recovered()
        self.table.is_down = False
        self.assertFalse(self.other.is_claimable(DUTY))
        await self.clock.advance(LAPSE_MS)
        self.assertTrue(self.other.is_claimable(DUTY))

    async def test_a_holder_comes_back_from_an_outage_before_the_others(self):
        for duties in (self.holder, self.other):
            await self.feed(duties)
        self.table.is_down = True
        await self.clock.advance(7000)
        for duties in (self.holder, self.other):
            duties.on_feed_recovered()
        self.table.is_down = False
        self.assertFalse(self.other.is_claimable(DUTY))
        self.assertTrue(await self.holder.claim(DUTY, DURATION_MS))
        self.assertTrue(self.holder.holds(DUTY))
