"""The upstream directory while the store is intermittently unavailable."""

import json
import unittest

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.platform import records
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

    def recover_store(self):
        """Let the store answer again after an outage."""
        self.answered_ms = self.clock.now_ms()
        self.directory.on_feed_recovered()

    async def answer_for(self, duration_ms):
        """Let time pass while the store answers."""
        for _ in range(duration_ms // 100):
            await self.clock.advance(100)
            self.answered_ms = self.clock.now_ms()

    def names(self):
        return [upstream.name for upstream in self.directory.usable("app")]

    async def test_an_entry_that_is_removed_is_gone_at_once(self):
        self.write("s1", None)
        self.assertEqual(self.names(), [])

    async def test_an_entry_that_expired_in_an_outage_gets_time_to_be_listed_again(
        self,
    ):
        self.recover_store()
        self.write("s1", None)
        await self.answer_for(RELIST_GRACE_MS - 100)
        self.assertEqual(self.names(), ["s1"])
        await self.answer_for(200)
        self.assertEqual(self.names(), [])

    async def test_an_entry_that_is_listed_again_stays(self):
        self.recover_store()
        self.write("s1", None)
        await self.answer_for(500)
        self.write("s1", b"ready")
        await self.answer_for(2 * RELIST_GRACE_MS)
        self.assertEqual(self.names(), ["s1"])

    async def test_a_second_outage_does_not_use_up_the_time_to_be_listed_again(self):
        """The store answers for 0.4 s between two outages of seven seconds."""
        self.recover_store()
        self.write("s1", None)
        await self.answer_for(400)
        await self.clock.advance(7000)
        self.assertEqual(self.names(), ["s1"])
        self.recover_store()
        await self.answer_for(RELIST_GRACE_MS - 100)
        self.assertEqual(self.names(), ["s1"])
        await self.answer_for(200)
        self.assertEqual(self.names(), [])

    async def test_a_draining_entry_that_expired_is_removed_at_once(self):
        self.write("s1", b"draining")
        self.recover_store()
        self.write("s1", None)
        self.assertNotIn("s1", self.directory.upstream_by_name)


class DecodeTest(unittest.TestCase):
    def decode(self, **fields):
        entry = {"service": "pool", "address": "127.0.0.1:1", "zone": "a", "slots": 8}
        value = json.dumps(entry | {"state": "ready"} | fields).encode()
        return records.decode_upstream("s1", value)

    def test_only_the_state_tells_that_a_server_leaves(self):
        """A server that may be reclaimed later must get work until then."""
        upstream = self.decode(spot=True, leaves_ms=5000)
        self.assertTrue(upstream.is_reclaimable)
        self.assertFalse(upstream.is_draining)
        self.assertTrue(self.decode(spot=True, state="draining").is_draining)

    def test_a_malformed_mark_leaves_the_server_usable(self):
        """Its work is worth more than the knowledge that it may be reclaimed."""
        self.assertTrue(self.decode(spot="0.4").is_reclaimable)
        self.assertFalse(self.decode(spot=None).is_reclaimable)
        self.assertFalse(self.decode().is_reclaimable)
