"""Daemons on the users' platform through crashes, process freezes and restarts."""

import asyncio
import time
import unittest

from goldcrestmoor.clock import MS_PER_SECOND
from test import _common
from test._front import FETCH_PATH, MODEL, FrontFleet, configuration
from test.standins.users_server import UsersServer, whole_text

EVENTS = 200
NAMES = ("front-a", "front-b")


class FaultCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)

    def kill_all(self):
        """Kill all hosts at once, as in a power loss."""
        for process in self.fleet.fronts.values():
            process.kill()

    async def start_all(self, names=NAMES):
        """Restart the hosts under their previous names; wait until they are ready."""
        for name in names:
            self.fleet.start_front(name)
        for name in names:
            await _common.eventually(lambda name=name: self.fleet.is_ready(name))

    def check_complete(self, results, count):
        self.assertEqual(len({r["id"] for r in results}), count)
        self.assertEqual(len(results), count)
        for result in results:
            events = self.fleet.engines[0].events
            self.assertEqual(result["text"], whole_text(result["id"], events))

    async def first_results(self, name, job_id):
        """Wait until a host lists results of a job, and return them."""

        async def some():
            page = await self.fleet.results(name, job_id)
            return page if isinstance(page, dict) and page["results"] else None

        return (await _common.eventually(some, 20))["results"]

    async def listed(self):
        """Wait until every host serves requests for the application."""

        async def answers(name):
            answer = await self.fleet.ask(name, "POST", FETCH_PATH, b"x", "probe")
            return answer.status == 200

        for name in self.fleet.fronts:
            await _common.eventually(lambda name=name: answers(name))


class PowerLossTest(FaultCase):
    """All hosts lose power within milliseconds of an acknowledgement."""

    async def test_an_accepted_job_is_run_by_the_hosts_that_come_back(self):
        await self.fleet.start(names=NAMES)
        self.assertEqual(await self.fleet.submit("front-a", "j1", 8), 202)
        self.kill_all()
        await self.start_all()
        self.check_complete(await self.fleet.all_results("front-b", "j1"), 8)

    async def test_a_result_that_was_read_comes_again_where_it_was(self):
        await self.fleet.start(names=NAMES)
        for n, engine in enumerate(self.fleet.engines):
            engine.events = EVENTS
            # Streams of the first engine are cut early; those of the other take longer.
            engine.cut_after = None if n else 20
        await self.fleet.submit("front-a", "j1", 8)

        first = await self.first_results("front-b", "j1")
        self.kill_all()
        await self.start_all()
        results = await self.fleet.all_results("front-a", "j1")
        self.assertEqual(results[: len(first)], first)
        self.check_complete(results, 8)

    async def test_nothing_of_a_job_that_was_ended_runs_again(self):
        await self.fleet.start(names=NAMES)
        for engine in self.fleet.engines:
            engine.events = EVENTS
        await self.fleet.submit("front-a", "j1", 12)
        await _common.eventually(lambda: any(e.runs for e in self.fleet.engines))
        answer = await self.fleet.ask("front-b", "DELETE", "/lots/j1", b"", "end")
        self.assertLess(answer.status, 300)
        self.kill_all()
        seen = [len(engine.runs) for engine in self.fleet.engines]
        await self.start_all()
        self.assertEqual(await self.fleet.submit("front-a", "j2", 4), 202)
        await self.fleet.all_results("front-b", "j2")
        later = [
            run
            for engine, count in zip(self.fleet.engines, seen, strict=True)
            for run in engine.runs[count:]
        ]
        # Both jobs use the same item ids, so only the four of the second may start.
        self.assertEqual(len(later), 4, later)

    async def test_a_configuration_is_in_force_on_the_hosts_that_come_back(self):
        await self.fleet.start(names=NAMES)
        await self.listed()
        document = self.fleet.store.value("op", "config")
        routes = [r for r in document["routes"] if r["name"] != "fetch"]
        self.fleet.store.put(
            "op", "config", document | {"version": 9, "routes": routes}
        )
        self.kill_all()
        await self.start_all()
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", "r1")
        self.assertEqual(answer.status, 404)


class TwoRunnersTest(FaultCase):
    async def test_a_frozen_runner_that_wakes_changes_nothing(self):
        await self.fleet.start(names=NAMES)
        for engine in self.fleet.engines:
            engine.events = EVENTS
        await self.fleet.submit("front-a", "j1", 12)
        await _common.eventually(lambda: any(e.runs for e in self.fleet.engines))
        frozen = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        other = next(name for name in NAMES if name != frozen)
        self.fleet.fronts[frozen].freeze()
        await _common.eventually(lambda: self.fleet.runner_of("j1") == other, 20)

        first = await self.first_results(other, "j1")
        self.fleet.fronts[frozen].thaw()
        results = await self.fleet.all_results(other, "j1")
        self.assertEqual(results[: len(first)], first)
        self.check_complete(results, 12)
        self.assertEqual(await self.fleet.all_results(frozen, "j1"), results)
        self.assertEqual(self.fleet.runner_of("j1"), other)


class StalledStreamTest(FaultCase):
    """A stream sends a byte now and then, but its next event never ends."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet.engines[0].stall_after = 2
        await self.fleet.start(names=("front-a",))

    async def test_its_item_goes_on_elsewhere(self):
        self.assertEqual(await self.fleet.submit("front-a", "j1", 8), 202)
        async with asyncio.timeout(8):
            self.check_complete(await self.fleet.all_results("front-a", "j1"), 8)

    async def test_its_caller_gets_the_rest_from_another_engine(self):
        document = configuration(version=9, stream={"timeoutMs": 20_000})
        self.fleet.store.put("op", "config", document)
        await self.listed()
        await _common.eventually(lambda: "ation 9 with" in self.fleet.log_of("front-a"))
        async with asyncio.timeout(8):
            answer = await self.fleet.ask(
                "front-a", "POST", "/stream/x", b"", "s1", model_name=MODEL
            )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body.count(b"\n\n"), self.fleet.engines[0].events)


class OrdersTest(FaultCase):
    async def test_two_hosts_never_take_turns_at_an_engine(self):
        """The host that sends load orders hands over while target versions change."""
        await self.fleet.start(names=NAMES)
        await self.fleet.submit("front-a", "j0", 4)
        await self.fleet.all_results("front-a", "j0")
        order_sender = self.fleet.runner_of("j0")
        other = next(name for name in NAMES if name != order_sender)
        for version in (2, 3):
            self.fleet.store.put(
                "op", f"version/{MODEL}", {"model": MODEL, "version": version}
            )
            await asyncio.sleep(0.5)
        await _common.eventually(lambda: any(e.orders for e in self.fleet.engines))
        self.fleet.fronts[order_sender].terminate()
        self.fleet.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 4})
        self.assertEqual(await self.fleet.submit(other, "j1", 4, min_version=3), 202)
        await _common.eventually(
            lambda: all(e.models[MODEL] == 4 for e in self.fleet.engines), 30
        )
        turn_ms = (
            self.fleet.documents[order_sender].get("orders", {}).get("turn_ms", 3000)
        )
        for engine in self.fleet.engines:
            self.assertEqual(
                {o["holder"] for o in engine.orders}, {order_sender, other}
            )
            self.check_turns(engine, turn_ms)

    def check_turns(self, engine, turn_ms):
        pairs = zip(engine.orders, engine.orders[1:], strict=False)
        for number, (before, after) in enumerate(pairs):
            if before["holder"] != after["holder"]:
                gap_s = engine.ordered_s[number + 1] - engine.ordered_s[number]
                self.assertGreaterEqual(gap_s * MS_PER_SECOND, turn_ms, engine.orders)
            self.assertGreater(after["fence"], before["fence"])

    async def test_an_engine_that_was_started_again_under_its_id_follows(self):
        """The restarted engine counts load orders from 0 and has the first version."""
        await self.fleet.start(names=("front-a",))
        await self.fleet.submit("front-a", "j0", 4)
        await self.fleet.all_results("front-a", "j0")
        self.fleet.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        await _common.eventually(
            lambda: all(e.models[MODEL] == 2 for e in self.fleet.engines), 20
        )
        engine = self.fleet.engines[0]
        engine.accepted, engine.sequence = 0, 0
        engine.models[MODEL] = 1
        self.fleet.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 3})
        await _common.eventually(
            lambda: all(e.models[MODEL] == 3 for e in self.fleet.engines), 20
        )


class ReusedAddressTest(FaultCase):
    async def test_another_service_at_a_gone_servers_address_runs_nothing(self):
        """The address is reused while the stopped server is still listed."""
        await self.fleet.start(names=("front-a",))
        await self.listed()
        gone, kept = self.fleet.apps
        self.fleet.silent.add(gone.name)
        other_server = UsersServer("stranger-0", "other")
        await gone.close()
        await other_server.start(port=gone.port)
        self.addAsyncCleanup(other_server.close)
        started_s = time.monotonic()
        for n in range(20):
            answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", f"r{n}")
            self.assertEqual(answer.status, 200, answer)
        self.assertLess(time.monotonic() - started_s, 5)
        self.assertEqual(other_server.runs, [])
        self.assertTrue(other_server.seen, "no request reached the address")
