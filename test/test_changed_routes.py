"""Routes that change under open batch jobs, on daemons with stand-ins.

A job outlives changes of its route. Whatever its runner copied at the start, or decided
before it heard of a change, would end items that the operator has given more time.
"""

import asyncio
import time
import unittest

from test import _common
from test._front import FrontFleet, configuration

ITEMS = 4
EVENT_MS = 50


class OpenJobTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, keep_s, item_s, **options):
        """Start a fleet and a job whose items take a while."""
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        for engine in self.fleet.engines:
            engine.event_ms = EVENT_MS
            engine.events = int(item_s * 1000 / EVENT_MS)
        self.fleet.configured = {"job": {"keepS": keep_s}}
        await self.fleet.start(**options)
        self.submitted_s = time.monotonic()
        self.assertEqual(await self.fleet.submit("front-a", "j1", ITEMS), 202)
        await _common.eventually(lambda: self.runs() == ITEMS)

    def runs(self):
        return sum(len(engine.runs) for engine in self.fleet.engines)

    def configure(self, version, **job):
        """Change the job's route."""
        self.fleet.store.put("op", "config", configuration(version, job=job))

    def remove_route(self, version):
        document = configuration(version)
        document["routes"] = [r for r in document["routes"] if r["name"] != "job"]
        self.fleet.store.put("op", "config", document)

    async def states(self, name="front-a"):
        return [result["state"] for result in await self.fleet.all_results(name, "j1")]

    async def test_items_have_the_time_that_the_operator_has_added(self):
        """They were ended by the time that held when their job was accepted."""
        await self.start(keep_s=3.0, item_s=5)
        self.configure(5, keepS=30.0)
        self.assertEqual(await self.states(), ["completed"] * ITEMS)

    async def test_items_end_when_the_operator_has_shortened_their_time(self):
        await self.start(keep_s=40.0, item_s=30)
        self.configure(5, keepS=2.0)
        self.assertEqual(await self.states(), ["terminated"] * ITEMS)
        self.assertGreaterEqual(time.monotonic() - self.submitted_s, 2)

    async def test_a_host_that_was_cut_off_ends_no_items_by_an_older_route(self):
        """It decides while the store is away, and writes once that is back."""
        await self.start(keep_s=3.0, item_s=6)
        self.fleet.store.mode = "busy"
        self.configure(5, keepS=30.0)
        await asyncio.sleep(self.submitted_s + 4 - time.monotonic())
        self.fleet.store.mode = ""
        self.assertEqual(await self.states(), ["completed"] * ITEMS)

    async def test_a_host_that_was_frozen_ends_no_items_by_an_older_route(self):
        """Its timers fire before it has read the change."""
        await self.start(keep_s=3.0, item_s=6, names=("front-a",))
        process = self.fleet.fronts["front-a"]
        process.freeze()
        self.configure(5, keepS=30.0)
        await asyncio.sleep(self.submitted_s + 4 - time.monotonic())
        process.thaw()
        self.assertEqual(await self.states(), ["completed"] * ITEMS)

    async def test_a_removed_route_ends_its_items_at_the_next_runner_too(self):
        """It never started the job, whose items were listed by nobody."""
        await self.start(keep_s=40.0, item_s=30)
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        self.remove_route(5)
        other = "front-b" if runner == "front-a" else "front-a"
        self.fleet.fronts[runner].kill()
        self.assertEqual(await self.states(other), ["terminated"] * ITEMS)

    async def test_results_and_bodies_outlive_their_route(self):
        """They were not found, as if the job did not exist."""
        await self.start(keep_s=40.0, item_s=1)
        await self.states()
        before = await self.fleet.results("front-b", "j1")
        self.remove_route(5)
        await self.has_no_route("front-b")
        self.assertEqual(await self.fleet.results("front-b", "j1"), before)
        self.assertEqual(await self.fleet.results("front-b", "other"), 404)
        answer = await self.fleet.ask("front-b", "DELETE", "/lots/j1")
        self.assertEqual(answer.status, 200)
        answer = await self.fleet.ask("front-b", "GET", "/items/j1?id=i0")
        self.assertEqual((answer.status, answer.body), (200, b"i0"))

    async def has_no_route(self, name):
        async def is_gone():
            return await self.fleet.submit(name, "j3", 1, prefix="n") == 404

        await _common.eventually(is_gone)


if __name__ == "__main__":
    unittest.main()
