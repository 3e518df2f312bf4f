"""Items whose results need the score of a reward call, on daemons with stand-ins.

A call may be lost, repeated, late or without an end while its runner, its server or the
store fails. Then the score of another call must not be listed, a text must not be
generated again, and no call may be sent for a job that is over.
"""

import asyncio
import base64
import collections
import contextlib
import unittest
from types import SimpleNamespace

from goldcrestmoor.job.item_run import ItemRun
from goldcrestmoor.job.job import Item, RewardCall
from goldcrestmoor.job.reward_calls import RewardCaller
from goldcrestmoor.job.reward_order import RESERVED_SLOTS
from goldcrestmoor.platform import servers
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.upstream_loads import UpstreamLoads
from test import _common
from test._fleet import ManualClock
from test._front import FETCH_PATH, FrontFleet, configuration, submission
from test._request_fakes import server_paths, upstream_limits
from test.standins.users_server import whole_text

SCORER_HOST = "App.example"
SERVICE = "desk"
SLOTS = 6
EVENTS = 20


def scored_submission(count, prefix="i", scorer_prefix="score-", **fields):
    """Return a job submission whose items have a reward call each."""
    job = submission(count, prefix, **fields)
    for item in job["items"]:
        item["scorer"] = {
            "id": f"{scorer_prefix}{item['id']}",
            "hostname": SCORER_HOST,
            "path": FETCH_PATH,
            "body": base64.b64encode(b"text of " + item["id"].encode()).decode(),
        }
    return job


class FakeHttp:
    """Holds every request until the test ends; counts them by port."""

    def __init__(self):
        self.count_by_port = collections.Counter()

    def has_idle(self, address, port):
        return False

    @contextlib.asynccontextmanager
    async def stream(self, address, port, *args, **options):
        self.count_by_port[port] += 1
        await asyncio.Event().wait()
        yield


class BurstTest(unittest.IsolatedAsyncioTestCase):
    async def test_texts_that_are_complete_at_once_leave_slots_free(self):
        """A successor finds the whole texts of a step and sends all calls at once."""
        upstreams = [
            SimpleNamespace(
                name=f"s{n}",
                address="a",
                port=n,
                slots=SLOTS,
                zone="z",
                started_ms=1,
                software_version="v1",
            )
            for n in range(2)
        ]
        directory = SimpleNamespace(
            usable=lambda service: upstreams,
            upstream_by_name={u.name: u for u in upstreams},
        )
        http, clock = FakeHttp(), ManualClock()
        loads = UpstreamLoads(
            clock=clock,
            http=http,
            directory=directory,
            limits=upstream_limits(clock),
            zone="z",
            host_id="host-a",
        )
        route = SimpleNamespace(
            name="r",
            attempts=4,
            timeout_ms=3000,
            target_ms=1000,
            service_for=lambda request_id: SERVICE,
        )
        caller = RewardCaller(
            clock=clock,
            paths=server_paths(clock, http, directory),
            http=http,
            loads=loads,
            dialect=servers,
            metrics=Metrics(),
            routes=lambda: SimpleNamespace(
                match=lambda host, path: route, sent_account=lambda account: None
            ),
            open_models=lambda: 1,
        )
        self.addAsyncCleanup(caller.close)
        job_run = SimpleNamespace(
            job=SimpleNamespace(id="j", model="m", account=""),
            priority=1,
            due_ms=7500,
            scoring_by_id={},
            missing_in_group=lambda group: 1,
            remaining_ms=lambda: 30_000,
        )
        for number in range(32):
            reward_call = RewardCall(f"c{number}", "h", "/score", b"")
            item = Item(f"i{number}", "/x", {}, b"", reward_call=reward_call)
            run = ItemRun(item, number)
            job_run.scoring_by_id[item.id] = run
            caller.add(job_run, run)
        caller._send_waiting()
        await asyncio.sleep(0.01)
        limit = SLOTS - RESERVED_SLOTS
        self.assertEqual(http.count_by_port, {0: limit, 1: limit})


class RewardCallsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        for engine in self.fleet.engines:
            engine.events = EVENTS
        await self.fleet.start()

    async def submit(self, count, job_id="j1", **fields):
        body = scored_submission(count, **fields)
        answer = await self.fleet.ask(
            "front-a", "POST", "/lot/x", body, request_id=job_id
        )
        self.assertEqual(answer.status, 202)

    def calls(self):
        return [run for app in self.fleet.apps for run in app.runs]

    def generated(self):
        return [run for engine in self.fleet.engines for run in engine.runs]

    def kept_texts(self):
        """Return the number of whole texts that the store keeps without a score."""
        places = self.fleet.store.row_by_place
        return len({k.rsplit("/", 3)[0] for t, _, k in places if t == "partials"})

    def check_scored(self, results, count):
        self.assertEqual(len({r["id"] for r in results}), count)
        self.assertEqual(len(results), count)
        for result in results:
            self.assertEqual(result["state"], "completed")
            self.assertEqual(result["text"], whole_text(result["id"], EVENTS))
            self.assertEqual(result["score"], f"stamp-score-{result['id']}")

    async def test_each_result_has_the_score_of_its_own_call(self):
        await self.submit(12)
        self.check_scored(await self.fleet.all_results("front-b", "j1"), 12)
        self.assertEqual(sorted(self.calls()), sorted(f"score-i{n}" for n in range(12)))
        by_id = {h["request-id"]: (h, b) for a in self.fleet.apps for _, h, b in a.seen}
        headers, body = by_id["score-i3"]
        self.assertEqual(body, b"text of i3")
        self.assertEqual(headers["host"], SCORER_HOST.lower())
        self.assertLessEqual(int(headers["deadline-ms"]), 40_000)

    async def test_no_call_is_sent_before_the_text_is_complete(self):
        for engine in self.fleet.engines:
            engine.stall_after = EVENTS - 1
        await self.submit(1)
        await _common.eventually(self.generated)
        # All events but the last have come by then, and the stall lasts longer.
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.generated()), 1)
        self.assertEqual(self.calls(), [])
        self.check_scored(await self.fleet.all_results("front-a", "j1"), 1)

    async def test_a_runner_that_dies_before_the_score_leaves_the_text(self):
        for app in self.fleet.apps:
            app.delay_s = 30
        await self.submit(8)
        await _common.eventually(lambda: self.kept_texts() == 8)
        self.fleet.fronts[self.fleet.runner_of("j1")].kill()
        for app in self.fleet.apps:
            app.delay_s = 0
        name = next(n for n in self.fleet.fronts if n != self.fleet.runner_of("j1"))
        self.check_scored(await self.fleet.all_results(name, "j1"), 8)
        self.assertEqual(len(self.generated()), 8, "texts were generated again")

    async def test_a_runner_that_stops_hands_the_text_over(self):
        for app in self.fleet.apps:
            app.delay_s = 30
        await self.submit(8)
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))

        async def all_complete():
            values = await self.fleet.metrics(runner)
            calls = values["reward_calls_waiting"] + values["reward_calls_in_flight"]
            return calls == 8

        await _common.eventually(all_complete)
        self.fleet.fronts[runner].terminate()
        for app in self.fleet.apps:
            app.delay_s = 0
        other = next(n for n in self.fleet.fronts if n != runner)
        self.check_scored(await self.fleet.all_results(other, "j1"), 8)
        self.assertEqual(len(self.generated()), 8, "texts were generated again")

    async def test_a_runner_that_stops_amid_texts_leaves_their_events(self):
        for engine in self.fleet.engines:
            engine.event_ms = 50
        await self.submit(8)
        await _common.eventually(lambda: len(self.generated()) == 8)
        await asyncio.sleep(0.3)
        runner = self.fleet.runner_of("j1")
        self.fleet.fronts[runner].terminate()
        other = next(n for n in self.fleet.fronts if n != runner)
        self.check_scored(await self.fleet.all_results(other, "j1"), 8)
        anew = [
            headers["request-id"]
            for engine in self.fleet.engines
            for _, headers, _ in engine.seen
            if "model-name" in headers and "last-event-id" not in headers
        ]
        self.assertEqual(len(anew), 8, "texts were generated again")

    async def test_lost_and_foreign_responses_give_no_score(self):
        lossy, foreign = self.fleet.apps
        lossy.lose = True
        foreign.echo = "another"
        await self.submit(4)
        await _common.eventually(lambda: len(self.calls()) >= 6)
        page = await self.fleet.results("front-a", "j1")
        self.assertEqual(page["results"], [])
        lossy.lose, foreign.echo = False, None
        self.check_scored(await self.fleet.all_results("front-a", "j1"), 4)

    async def test_a_server_that_is_slow_or_gone_is_left_for_another(self):
        slow, gone = self.fleet.apps
        slow.delay_s = 30
        await self.submit(2, "j1")
        results = await self.fleet.all_results("front-a", "j1")
        self.check_scored(results, 2)
        slow.delay_s = 0
        self.fleet.silent.add(gone.name)
        await gone.close()
        await self.submit(4, "j2", prefix="k")
        self.check_scored(await self.fleet.all_results("front-a", "j2"), 4)

    async def test_a_step_that_is_submitted_twice_is_scored_once(self):
        await self.submit(4)
        await self.submit(4)
        self.check_scored(await self.fleet.all_results("front-b", "j1"), 4)
        self.assertEqual(sorted(self.calls()), [f"score-i{n}" for n in range(4)])

    async def test_a_call_that_always_fails_ends_its_item(self):
        for app in self.fleet.apps:
            app.failing_ids.add("score-i1")
        await self.submit(4)
        results = await self.fleet.all_results("front-a", "j1")
        by_id = {result["id"]: result for result in results}
        self.assertEqual(by_id["i1"]["state"], "terminated")
        self.assertNotIn("score", by_id["i1"])
        del by_id["i1"]
        self.check_scored(list(by_id.values()), 3)
        # As many attempts as its route allows.
        self.assertEqual(self.calls().count("score-i1"), 2)

    async def test_calls_of_a_job_that_is_ended_are_cancelled(self):
        for app in self.fleet.apps:
            app.delay_s = 30
        await self.submit(12)
        await _common.eventually(self.calls)
        answer = await self.fleet.ask("front-b", "DELETE", "/lots/j1")
        self.assertEqual(answer.status, 200)
        await asyncio.sleep(0.5)
        count = len(self.calls())
        for app in self.fleet.apps:
            app.delay_s = 0
        await asyncio.sleep(1.5)
        self.assertEqual(len(self.calls()), count)

    async def test_a_server_that_leaves_gets_no_call(self):
        leaving = self.fleet.apps[0]
        leaving.leaving = True
        await self.submit(4, "j1")
        await self.fleet.all_results("front-a", "j1")
        runs = len(leaving.runs)
        await self.submit(12, "j2", prefix="k")
        results = await self.fleet.all_results("front-a", "j2")
        self.assertEqual(len(results), 12)
        self.assertLessEqual(len(leaving.runs) - runs, 3)

    async def test_calls_follow_a_route_that_is_removed(self):
        for app in self.fleet.apps:
            app.refusing = True
        await self.submit(4)
        await _common.eventually(lambda: len(self.generated()) == 4)
        document = configuration(version=9)
        document["routes"] = [r for r in document["routes"] if r["name"] != "fetch"]
        self.fleet.store.put("op", "config", document)
        results = await self.fleet.all_results("front-a", "j1")
        self.assertEqual({r["state"] for r in results}, {"terminated"})
        self.assertEqual(self.calls(), [])

    async def test_scores_outlive_an_outage_of_the_store(self):
        for app in self.fleet.apps:
            app.delay_s = 0.3
        await self.submit(4)
        await _common.eventually(self.calls)
        self.fleet.store.mode = "reset"
        await asyncio.sleep(2.5)
        self.fleet.store.mode = ""
        self.check_scored(await self.fleet.all_results("front-b", "j1"), 4)
        self.assertEqual(len(self.calls()), 4, "calls were sent again")

    async def test_a_group_that_comes_again_is_scored_by_its_new_call(self):
        await self.submit(4, "j1")
        self.check_scored(await self.fleet.all_results("front-a", "j1"), 4)
        await self.submit(4, "j2", scorer_prefix="second-")
        for result in await self.fleet.all_results("front-a", "j2"):
            self.assertEqual(result["score"], f"stamp-second-{result['id']}")


if __name__ == "__main__":
    unittest.main()
