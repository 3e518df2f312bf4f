"""The list of upstreams while the store that keeps it comes and goes."""

import unittest

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.process.directory import (
    RELIST_GRACE_MS,
    ListedUpstream,
    UpstreamDirectory,
)
from goldcrestmoor.process.metrics import Metrics
from test._fleet import ManualClock


def decode(key, value):
    return ListedUpstream(
        name=key,
        service="app",
        address="127.0.0.1",
        port=1,
        zone="a",
        slots=6,
        is_draining=value == b"draining",
    )


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.answered_ms = self.clock.now_ms()
        self.directory = UpstreamDirectory(
            clock=self.clock,
            decode=decode,
            metrics=Metrics(),
            age_ms=lambda: self.clock.now_ms() - self.answered_ms,
        )
        self.write("s1", b"ready")

    def write(self, key, value):
        self.answered_ms = self.clock.now_ms()
        self.directory.apply([Change(key, 1, value)])

    def come_back(self):
        """The store answers again after an outage."""
        self.answered_ms = self.clock.now_ms()
        self.directory.on_feed_recovered()

    async def hear_for(self, duration_ms):
        """Let time pass while the store answers."""
        for _ in range(duration_ms // 100):
            await self.clock.advance(100)
            self.answered_ms = self.clock.now_ms()

    def names(self):
        return [upstream.name for upstream in self.directory.usable("app")]

    async def test_an_entry_that_is_removed_is_gone_at_once(self):
        self.write("s1", None)
        self.assertEqual(self.names(), [])

    async def test_an_entry_that_lapsed_with_the_store_gets_time_to_come_back(self):
        self.come_back()
        self.write("s1", None)
        await self.hear_for(RELIST_GRACE_MS - 100)
        self.assertEqual(self.names(), ["s1"])
        await self.hear_for(200)
        self.assertEqual(self.names(), [])

    async def test_an_entry_that_comes_back_stays(self):
        self.come_back()
        self.write("s1", None)
        await self.hear_for(500)
        self.write("s1", b"ready")
        await self.hear_for(2 * RELIST_GRACE_MS)
        self.assertEqual(self.names(), ["s1"])

    async def test_a_store_that_is_away_again_at_once_gives_no_time_to_come_back(self):
        """It answers for 0.4 s between two outages of seven seconds."""
        self.come_back()
        self.write("s1", None)
        await self.hear_for(400)
        await self.clock.advance(7000)
        self.assertEqual(self.names(), ["s1"])
        self.come_back()
        await self.hear_for(RELIST_GRACE_MS - 100)
        self.assertEqual(self.names(), ["s1"])
        await self.hear_for(200)
        self.assertEqual(self.names(), [])

    async def test_a_draining_entry_that_lapsed_is_gone_at_once(self):
        self.write("s1", b"draining")
        self.come_back()
        self.write("s1", None)
        self.assertNotIn("s1", self.directory.upstream_by_name)
