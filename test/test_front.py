"""Daemons on the users' platform, as real processes with stand-ins."""

import asyncio
import base64
import unittest

from goldcrestmoor.errors import ServiceError
from test import _common
from test._front import (
    FETCH_PATH,
    JOB_PATH,
    MODEL,
    WAIT_S,
    FrontFleet,
    configuration,
    item,
    submission,
)
from test.standins.users_server import whole_text


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)

    async def listed(self):
        """Wait until every host serves requests for the application."""
        for name in self.fleet.fronts:
            await _common.eventually(lambda name=name: self.answers(name))

    async def answers(self, name):
        answer = await self.fleet.ask(name, "POST", FETCH_PATH, b"x", "probe")
        return answer.status == 200

    async def test_a_fetch_is_answered_with_the_servers_own_answer(self):
        await self.fleet.start()
        await self.listed()
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"tile", "r9")
        headers = dict(answer.headers)
        self.assertEqual(answer.body, b"answer to tile")
        self.assertEqual(headers[b"server-stamp"], b"stamp-r9")
        self.assertEqual(headers[b"request-id"], b"r9")

    async def test_a_host_that_knows_no_routes_refuses_and_is_not_ready(self):
        await self.fleet.start(names=("front-a",), with_configuration=False)
        await _common.eventually(lambda: self.is_open("front-a"))
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x")
        self.assertEqual(answer.status, 503)
        self.assertFalse(await self.fleet.is_ready("front-a"))
        self.fleet.store.put("op", "config", configuration())
        await _common.eventually(lambda: self.fleet.is_ready("front-a"))

    async def is_open(self, name):
        try:
            await self.fleet.ask(name, "GET", "/")
        except Exception:
            return False
        return True

    async def test_a_job_is_listed_alike_by_every_host(self):
        await self.fleet.start()
        self.assertEqual(await self.fleet.submit("front-a", "j1", 12), 202)
        first = await self.fleet.all_results("front-b", "j1")
        second = await self.fleet.all_results("front-a", "j1")
        self.assertEqual(first, second)
        by_id = {result["id"]: result for result in first}
        self.assertEqual(set(by_id), {f"i{n}" for n in range(12)})
        for item_id, result in by_id.items():
            self.assertEqual(result["state"], "completed")
            self.assertEqual(result["text"], whole_text(item_id))
            self.assertEqual(result["versions"], [1])

    async def test_a_repeated_submission_is_accepted_once(self):
        await self.fleet.start()
        for name in ("front-a", "front-b", "front-a"):
            self.assertEqual(await self.fleet.submit(name, "j1", 4), 202)
        await self.fleet.all_results("front-a", "j1")
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual(sorted(runs), ["i0", "i1", "i2", "i3"])

    async def test_an_unknown_job_is_not_found(self):
        await self.fleet.start(names=("front-a",))
        self.assertEqual(await self.fleet.results("front-a", "nothing"), 404)

    async def test_the_body_of_an_item_comes_back(self):
        await self.fleet.start()
        await self.fleet.submit("front-a", "j1", 4)
        answer = await self.fleet.ask("front-b", "GET", "/items/j1?id=i2")
        self.assertEqual((answer.status, answer.body), (200, b"i2"))
        answer = await self.fleet.ask("front-b", "GET", "/items/j1?id=other")
        self.assertEqual(answer.status, 404)

    async def test_an_ended_job_runs_no_further_item(self):
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.refusing = True
        await self.fleet.submit("front-a", "j1", 8)
        for _ in range(2):
            answer = await self.fleet.ask("front-b", "DELETE", "/lots/j1")
            self.assertEqual(answer.status, 200)
        await asyncio.sleep(0.5)
        for engine in self.fleet.engines:
            engine.refusing = False
        await asyncio.sleep(0.5)
        self.assertEqual([engine.runs for engine in self.fleet.engines], [[], []])

    async def test_a_killed_runner_is_followed_by_another(self):
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.events = 200
        await self.fleet.submit("front-a", "j1", 8)
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        await asyncio.sleep(0.3)
        self.fleet.fronts[runner].kill()
        other = "front-b" if runner == "front-a" else "front-a"
        results = await self.fleet.all_results(other, "j1")
        self.assertEqual({r["id"] for r in results}, {f"i{n}" for n in range(8)})
        for result in results:
            self.assertEqual(result["text"], whole_text(result["id"], 200))

    async def test_a_job_is_taken_over_below_a_new_route(self):
        """No host would take it up, although its own route is there."""
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.events = 200
        body = submission(8)
        await self.fleet.ask("front-a", "POST", "/lot/below/x", body, "j1")
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        added = {"name": "added", "pathPrefix": "/lot/below/"}
        changed = configuration(version=9, more_routes=[added])
        self.fleet.store.put("op", "config", changed)
        await asyncio.sleep(0.5)
        self.fleet.fronts[runner].kill()
        other = "front-b" if runner == "front-a" else "front-a"
        for result in await self.fleet.all_results(other, "j1"):
            self.assertEqual(result["text"], whole_text(result["id"], 200))

    async def test_a_stopped_runner_hands_over_at_once(self):
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.events = 100
        await self.fleet.submit("front-a", "j1", 24)
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        self.fleet.fronts[runner].terminate()
        other = "front-b" if runner == "front-a" else "front-a"
        await _common.eventually(
            lambda: self.fleet.runner_of("j1") == other, timeout_s=6
        )
        results = await self.fleet.all_results(other, "j1")
        self.assertEqual(len({r["id"] for r in results}), 24)

    async def test_lost_and_late_answers_of_the_store_double_nothing(self):
        await self.fleet.start()
        self.fleet.store.lost_answers = 2
        self.fleet.store.late_writes = 1
        self.assertEqual(await self.fleet.submit("front-a", "j1", 8), 202)
        self.fleet.store.lost_answers = 2
        results = await self.fleet.all_results("front-b", "j1")
        self.assertEqual(len({r["id"] for r in results}), 8)
        self.assertEqual(len(results), 8)

    async def test_a_job_is_accepted_while_objects_are_slow(self):
        # A store that is 60 times slower than usual takes 1.5 s per object call, longer
        # than the timeout of submitters.
        await self.fleet.start()
        self.fleet.store.object_ms = 1500
        async with asyncio.timeout(1):
            self.assertEqual(await self.fleet.submit("front-a", "j1", 96), 202)
        self.assertEqual(len(await self.fleet.all_results("front-b", "j1")), 96)

    async def test_a_job_is_run_while_other_parts_of_the_store_are_away(self):
        await self.fleet.start()
        self.fleet.store.silent_parts = bool
        async with asyncio.timeout(5):
            self.assertEqual(await self.fleet.submit("front-a", "j1", 8), 202)
            self.assertEqual(len(await self.fleet.all_results("front-b", "j1")), 8)

    async def test_a_slow_store_is_not_pressed(self):
        """60 times slower: three transactions per second, 240 ms per read."""
        await self.fleet.start()
        await self.listed()
        store = self.fleet.store
        store.tx_ms, store.read_ms = 300, 240
        jobs = [f"j{number}" for number in range(8)]
        async with asyncio.timeout(WAIT_S):
            for job_id in jobs:
                status = await self.fleet.submit("front-a", job_id, 8, prefix=job_id)
                self.assertEqual(status, 202)
            for job_id in jobs:
                results = await self.fleet.all_results("front-b", job_id)
                self.assertEqual(len(results), 8)
        self.assertLessEqual(store.refused, 3)

    async def test_a_job_that_is_too_large_for_rows_is_kept_as_an_object(self):
        await self.fleet.start()
        items = [item(f"i{n}") for n in range(8)]
        for number, of_job in enumerate(items):
            data = bytes([number]) * 100_000
            of_job["body"] = base64.b64encode(data).decode()
        job = submission(0) | {"items": items}
        answer = await self.fleet.ask("front-a", "POST", JOB_PATH, job, "j1")
        self.assertEqual(answer.status, 202)
        answer = await self.fleet.ask("front-b", "GET", "/items/j1?id=i3")
        self.assertEqual(answer.body, b"\x03" * 100_000)
        self.assertEqual(len(await self.fleet.all_results("front-b", "j1")), 8)

    async def test_a_host_that_alone_is_turned_away_wants_no_callers(self):
        await self.fleet.start(names=("front-a", "front-b", "front-c"))
        await self.listed()
        self.fleet.store.turned_away.add("front-a")
        await _common.eventually(lambda: self.is_unready("front-a"), timeout_s=4)
        self.assertTrue(await self.fleet.is_ready("front-b"))
        # Requests that need no store are still served.
        self.assertTrue(await self.answers("front-a"))
        self.fleet.store.turned_away.clear()
        await _common.eventually(lambda: self.fleet.is_ready("front-a"), timeout_s=5)

    async def test_a_runner_that_alone_loses_the_store_goes_round(self):
        """Other hosts relay its calls: it keeps its jobs and accepts new ones."""
        await self.fleet.start(names=("front-a", "front-b", "front-c"))
        for engine in self.fleet.engines:
            engine.events = 1000
        await self.fleet.submit("front-a", "j1", 8)
        await _common.eventually(lambda: any(e.runs for e in self.fleet.engines))
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        self.fleet.store.cut.add(runner)
        results = await self.fleet.all_results(runner, "j1")
        self.assertEqual(self.fleet.runner_of("j1"), runner)
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual(len(runs), 8, "items were run again")
        self.assertEqual(results[0]["text"], whole_text(results[0]["id"], 1000))
        self.assertTrue(await self.fleet.is_ready(runner))
        self.assertEqual(await self.fleet.submit(runner, "j2", 4), 202)
        await self.fleet.all_results(runner, "j2")
        self.fleet.store.cut.clear()
        await _common.eventually(
            lambda: "go straight again" in self.fleet.log_of(runner)
        )

    async def is_unready(self, name):
        return not await self.fleet.is_ready(name)

    async def test_hosts_stay_ready_while_the_store_is_away_for_all(self):
        await self.fleet.start(zones={"front-b": "zone-b"})
        await self.listed()
        self.fleet.store.mode = "reset"
        for _ in range(20):
            await asyncio.sleep(0.2)
            self.assertTrue(await self.fleet.is_ready("front-a"))
            self.assertTrue(await self.fleet.is_ready("front-b"))

    async def test_a_job_is_refused_at_once_while_the_store_is_away(self):
        await self.fleet.start(names=("front-a",))
        self.fleet.store.mode = "busy"
        await asyncio.sleep(2)
        self.assertEqual(await self.fleet.submit("front-a", "j1", 4), 503)
        self.fleet.store.mode = ""
        await _common.eventually(lambda: self.is_accepted("front-a", "j1"))

    async def is_accepted(self, name, job_id):
        return await self.fleet.submit(name, job_id, 4) == 202

    async def test_items_outlive_an_outage_of_the_store(self):
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.events = 60
        await self.fleet.submit("front-a", "j1", 8)
        await _common.eventually(lambda: any(e.runs for e in self.fleet.engines))
        self.fleet.store.mode = "reset"
        await asyncio.sleep(5)
        self.fleet.store.mode = ""
        results = await self.fleet.all_results("front-a", "j1")
        self.assertEqual(len({r["id"] for r in results}), 8)
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual(len(runs), 8, "items were run again after the outage")

    async def test_a_runner_keeps_its_jobs_through_an_outage_of_the_store(self):
        await self.fleet.start(names=("front-a", "front-b", "front-c"))
        for engine in self.fleet.engines:
            engine.events = 1500
        await self.fleet.submit("front-a", "j1", 8)
        await _common.eventually(lambda: any(e.runs for e in self.fleet.engines))
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        self.fleet.store.mode = "reset"
        await asyncio.sleep(4)
        self.fleet.store.mode = ""
        for _ in range(40):
            await asyncio.sleep(0.1)
            self.assertEqual(self.fleet.runner_of("j1"), runner)
            lease = self.fleet.store.value("leases", f"runner/{MODEL}")
            self.assertEqual(lease["holder"], runner)

    async def test_streams_that_are_cut_go_on_elsewhere(self):
        await self.fleet.start()
        self.fleet.engines[0].cut_after = 2
        await self.fleet.submit("front-a", "j1", 8)
        for result in await self.fleet.all_results("front-a", "j1"):
            self.assertEqual(result["text"], whole_text(result["id"]))

    async def test_an_item_that_always_fails_is_given_up(self):
        await self.fleet.start(names=("front-a",))
        for engine in self.fleet.engines:
            engine.failing = 500
        await self.fleet.submit("front-a", "j1", 1)
        (result,) = await self.fleet.all_results("front-a", "j1")
        self.assertEqual((result["state"], result["text"]), ("terminated", ""))
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual(len(runs), 3)

    async def test_named_versions_are_loaded_by_one_holder_in_order(self):
        await self.fleet.start()
        await self.listed()
        await self.fleet.submit("front-a", "j1", 4)
        await self.fleet.all_results("front-a", "j1")
        for version in (2, 3):
            value = {"model": MODEL, "version": version}
            self.fleet.store.put("op", f"version/{MODEL}", value)
            await _common.eventually(
                lambda version=version: all(
                    engine.models[MODEL] == version for engine in self.fleet.engines
                )
            )
        for engine in self.fleet.engines:
            self.assertEqual([o["version"] for o in engine.orders], [2, 3])
            self.assertEqual(len({o["holder"] for o in engine.orders}), 1)
            fences = [o["fence"] for o in engine.orders]
            self.assertEqual(fences, sorted(set(fences)))
            self.assertEqual([o["expected"] for o in engine.orders], [0, 1])

    async def test_a_job_waits_for_engines_with_its_version(self):
        await self.fleet.start()
        await self.fleet.submit("front-a", "j1", 4, min_version=2)
        await asyncio.sleep(1)
        self.assertEqual([e.runs for e in self.fleet.engines], [[], []])
        value = {"model": MODEL, "version": 2}
        self.fleet.store.put("op", f"version/{MODEL}", value)
        for result in await self.fleet.all_results("front-a", "j1"):
            self.assertEqual(result["versions"], [2])

    async def test_a_draining_server_gets_no_new_work(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        leaving = self.fleet.apps[0]
        self.fleet.silent.add(leaving.name)
        entry = leaving.entry(state="draining")
        self.fleet.store.put("servers", leaving.name, entry)
        await asyncio.sleep(1)
        before = len(leaving.runs)
        for number in range(10):
            answer = await self.fleet.ask(
                "front-a", "POST", FETCH_PATH, b"x", f"r{number}"
            )
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(leaving.runs), before)

    async def test_entries_that_cannot_be_read_name_no_server(self):
        await self.fleet.start(names=("front-a",))
        for number, value in enumerate(
            (
                b"\xff\x00",
                b"[]",
                {"service": "app"},
                {"service": "app", "address": 7, "zone": "z", "state": "ready"},
                self.fleet.apps[0].entry(state="asleep"),
                self.fleet.apps[0].entry(address="nowhere"),
            )
        ):
            self.fleet.store.put("servers", f"odd-{number}", value)
        self.fleet.store.put("op", "config", b"{")
        self.fleet.store.put("op", "version/x", b"7")
        await self.listed()
        self.assertTrue(self.fleet.fronts["front-a"].alive())

    async def test_an_answer_that_was_lost_is_fetched_elsewhere(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        self.fleet.apps[0].lose = True
        for number in range(4):
            answer = await self.fleet.ask(
                "front-a", "POST", FETCH_PATH, b"x", f"r{number}"
            )
            self.assertEqual((answer.status, answer.body), (200, b"answer to x"))

    async def test_another_requests_answer_is_never_passed_on(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        for app in self.fleet.apps:
            app.echo = "other"
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", "mine")
        self.assertEqual(answer.status, 502)

    async def test_full_servers_are_a_refusal_that_is_true(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        before = sum(len(app.runs) for app in self.fleet.apps)
        for app in self.fleet.apps:
            app.refusing = True
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", "mine")
        self.assertEqual(answer.status, 429)
        self.assertIn(b"retry-after", dict(answer.headers))
        self.assertEqual(sum(len(app.runs) for app in self.fleet.apps), before)

    async def test_a_stream_goes_on_at_another_engine(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        for engine in self.fleet.engines:
            engine.events = 6
        self.fleet.engines[0].cut_after = 2
        for number in range(4):
            request_id = f"s{number}"
            answer = await self.stream(request_id)
            self.assertEqual(answer.status, 200)
            self.assertEqual(self.data(answer.body), whole_text(request_id, 6))

    async def test_a_stream_that_may_not_be_resumed_never_looks_complete(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        changed = configuration(9, stream={"resumable": False})
        self.fleet.store.put("op", "config", changed)
        await asyncio.sleep(0.5)
        for engine in self.fleet.engines:
            engine.cut_after = 2
        with self.assertRaises(ServiceError):
            await self.stream("s1")
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual(runs, ["s1"])

    async def stream(self, request_id):
        return await self.fleet.ask(
            "front-a", "POST", "/stream/x", b"", request_id, model_name=MODEL
        )

    def data(self, body):
        lines = body.decode().splitlines()
        return "\n".join(
            line.removeprefix("data: ") for line in lines if line.startswith("data: ")
        )

    async def test_a_request_that_may_run_once_is_never_sent_twice(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        for app in self.fleet.apps:
            app.lose = True
            app.runs.clear()
        answer = await self.fleet.ask("front-a", "POST", "/once/x", b"note", "n1")
        self.assertEqual(answer.status, 502)
        runs = [run for app in self.fleet.apps for run in app.runs]
        self.assertEqual(runs, ["n1"])

    async def test_an_old_job_is_removed_whole(self):
        self.fleet.kept_s = 1
        await self.fleet.start()
        await self.fleet.submit("front-a", "j1", 4)
        await self.fleet.all_results("front-a", "j1")

        def is_gone():
            tables = {table for table, _, _ in self.fleet.store.row_by_place}
            return not tables & {"jobs", "results", "job_bodies", "partials"}

        async def is_unknown():
            return await self.fleet.results("front-b", "j1") == 404

        await _common.eventually(is_gone, timeout_s=15)
        # The change feed updates the other host within the pause between reads and one
        # slow iteration of its loop.
        await _common.eventually(is_unknown, timeout_s=1)

    async def test_changed_settings_are_read_again_and_wrong_ones_kept_out(self):
        await self.fleet.start(names=("front-a",))
        process = self.fleet.fronts["front-a"]
        document = dict(self.fleet.documents["front-a"])
        self.fleet.write_settings("front-a", document | {"log": {"level": "loud"}})
        process.reload()
        await _common.eventually(lambda: "the new ones are wrong" in process.log())
        document["log"] = {"style": "text", "level": "debug"}
        self.fleet.write_settings("front-a", document)
        process.reload()
        await _common.eventually(lambda: "changed: log" in process.log())
        self.assertTrue(await self.fleet.is_ready("front-a"))

    async def test_metrics_are_served_on_their_own_port(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        # More items than engine slots, so that some wait.
        await self.fleet.submit("front-a", "j1", 20)
        await self.fleet.all_results("front-a", "j1")
        await self.fleet.ask("front-a", "POST", "/nowhere/x", b"x")
        value_by_name = await self.fleet.metrics("front-a")
        for name in (
            'answers_total{kind="unknown",outcome="not_found"}',
            'answers_total{kind="job",outcome="answered"}',
            'answers_total{kind="job call",outcome="answered"}',
            'answer_seconds_count{kind="job"}',
            f'duty_held{{duty="runner/{MODEL}"}}',
            'items_total{outcome="finished"}',
            'store_calls_total{call="transact",outcome="200"}',
        ):
            self.assertGreaterEqual(value_by_name.get(name, 0), 1, name)
        for table in ("op", "servers", "leases", "jobs", "hosts"):
            age_ms = value_by_name[f'feed_age_ms{{table="{table}"}}']
            self.assertTrue(0 <= age_ms < 2000, (table, age_ms))
        self.assertEqual(value_by_name[f'items_waiting{{model="{MODEL}"}}'], 0)

    async def test_a_feed_without_history_is_read_anew(self):
        await self.fleet.start(names=("front-a",))
        self.fleet.store.forget_history()
        self.fleet.store.put(
            "op", "config", configuration(9, fetch={"pathPrefix": "/new/"})
        )
        self.fleet.store.forget_history()

        async def moved():
            answer = await self.fleet.ask("front-a", "POST", "/new/x", b"x")
            return answer.status == 200

        await _common.eventually(moved)

    async def test_an_older_configuration_is_not_adopted(self):
        await self.fleet.start(names=("front-a",))
        await self.listed()
        older = configuration(2, fetch={"pathPrefix": "/old/"})
        self.fleet.store.put("op", "config", older)
        await asyncio.sleep(0.5)
        self.assertTrue(await self.answers("front-a"))


if __name__ == "__main__":
    unittest.main()
