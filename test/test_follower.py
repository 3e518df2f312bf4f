"""A slow change feed is no outage, and learned rows never go back to older ones."""

import asyncio
import random
import unittest

from goldcrestmoor.adapters.table import Change, Changes, Row
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.follower import RETRY_MAX_MS, TableFollower
from test._fleet import ManualClock


class SlowStore:
    """A store with delayed responses, which can be unavailable."""

    def __init__(self, clock):
        self.clock = clock
        self.delay_ms = 0
        self.is_unavailable = False
        self.version = 1
        self.rows = []
        self.changed = []

    async def snapshot(self, table):
        await self._answer()
        return list(self.rows), self.version

    async def changes(self, table, after, wait_ms):
        await self._answer()
        await self.clock.sleep_ms(wait_ms)
        return Changes(list(self.changed), self.version)

    async def _answer(self):
        if self.is_unavailable:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)
        await self.clock.sleep_ms(self.delay_ms)


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.store = SlowStore(self.clock)
        self.returns = 0

    async def follow(self, **options):
        follower = TableFollower(
            clock=self.clock,
            store=self.store,
            table="leases",
            on_changes=lambda changes: None,
            on_recovered=self.on_feed_recovered,
            **options,
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await self.clock.advance(200)
        return follower

    def on_feed_recovered(self):
        self.returns += 1

    async def test_a_slow_store_does_not_count_as_unavailable(self):
        """With responses that take 0.8 s a dead holder must still be replaced."""
        follower = await self.follow(outage_ms=2000)
        self.store.delay_ms = 800
        for _ in range(40):
            await self.clock.advance(250)
            self.assertTrue(follower.is_current())
        self.assertEqual(self.returns, 0)

    async def test_a_row_that_cannot_be_applied_takes_no_other_with_it(self):
        """One entry from another writer may be what its consumer can't read."""
        applied = []

        def apply(changes):
            for change in changes:
                if change.key == "odd":
                    raise RecursionError
                applied.append(change.key)

        follower = await self.follow()
        follower._on_changes = apply
        changes = [Change(key, 9, b"x") for key in ("a", "odd", "b")]
        with self.assertLogs("goldcrestmoor.follower"):
            follower._apply(changes)
        self.assertEqual(set(applied), {"a", "b"})

    async def test_an_outage_is_noticed_and_so_is_its_end(self):
        await self.see_an_outage_and_its_end()

    async def test_the_end_of_an_outage_is_noticed_after_the_longest_pause(self):
        """With these seeds the last attempt fails just before the store recovers."""
        self.addCleanup(random.setstate, random.getstate())
        for seed in (10, 32, 100, 119):
            with self.subTest(seed=seed):
                await self.asyncSetUp()
                random.seed(seed)
                await self.see_an_outage_and_its_end()

    async def see_an_outage_and_its_end(self):
        follower = await self.follow(outage_ms=2000)
        self.store.is_unavailable = True
        await self.clock.advance(2600)
        self.assertFalse(follower.is_current())
        self.store.is_unavailable = False
        # The longest pause between two attempts, and no wait for a change.
        await self.clock.advance(RETRY_MAX_MS + 50)
        self.assertTrue(follower.is_current())
        self.assertEqual(self.returns, 1)

    async def test_rows_of_another_host_never_go_back(self):
        """A withdrawn API key would be valid again."""
        self.store.version, self.store.rows = 10, [Row("a", 5, b"5"), Row("b", 6, b"6")]
        follower = await self.follow()
        self.assertEqual(follower.learn([Row("a", 20, b"20"), Row("b", 4, b"4")]), 1)
        # Deleted by version 10; the other host has not read that yet.
        self.assertEqual(follower.learn([Row("c", 9, b"9")]), 0)
        # The feed is behind the learned row, and goes past it later.
        self.store.version, self.store.changed = 15, [Change("a", 15, b"15")]
        await self.clock.advance(1200)
        self.assertEqual(follower.row_by_key["a"].value, b"20")
        self.store.version, self.store.changed = 25, [Change("a", 25, None)]
        await self.clock.advance(1200)
        self.assertNotIn("a", follower.row_by_key)

    async def test_a_snapshot_drops_only_learned_rows_that_are_older(self):
        self.store.is_unavailable = True
        follower = await self.follow()
        self.assertEqual(follower.learn([Row("a", 20, b"20"), Row("b", 8, b"8")]), 2)
        self.store.is_unavailable, self.store.version = False, 10
        await self.clock.advance(1200)
        self.assertEqual(follower.row_by_key, {"a": Row("a", 20, b"20")})

    async def test_an_answer_that_waited_in_a_frozen_process_is_old(self):
        """The process reads it after the freeze, when its rows may be seconds old."""
        follower = await self.follow()
        await self.clock.advance(2000)
        self.assertLess(follower.rows_age_ms(), 1000)
        self.store.delay_ms = 5000
        await self.clock.advance(6200)
        self.assertLess(follower.age_ms(), 1000)
        self.assertGreater(follower.rows_age_ms(), 4000)
