"""Diagnoses injected faults from request ids, using only the logs.

The steps follow docs/OPERATIONS.md and use nothing but the log lines.
"""

import asyncio
import json
import random
import re
import unittest

from test import _common
from test._front import FETCH_PATH, FrontFleet, configuration

SEED = 20
NAMES = ("front-a", "front-b")
HOST = "front-a"


class Logs:
    """The log lines of all hosts, searched as an engineer would.

    :param lines: ``(host, line)`` pairs, the lines decoded.
    """

    def __init__(self, lines):
        self.lines = lines

    def of_request(self, request_id, part):
        """Return a component's messages that have a request's id or mention it."""
        return [
            line["message"]
            for _, line in self.lines
            if line["part"] == part
            and (line.get("request_id") == request_id or request_id in line["message"])
        ]

    def explain_request(self, request_id):
        """Diagnose a fetch that was rejected, late or failed: steps 1 and 2."""
        caller_messages = self.of_request(request_id, "callers")
        attempts = " ".join(self.of_request(request_id, "forward"))
        if not caller_messages:
            return "answered" if "answered 200" in attempts else "unknown"
        if "There is no such route" in caller_messages[-1]:
            return "no such route"
        for phrase, cause in (
            ("spoilt or another's", "responses of other requests"),
            ("answered 503", "servers reject"),
            ("cannot be reached", "servers unreachable"),
            (", 0 of ", "deadline passed"),
            ("gave no whole answer", "responses lost"),
        ):
            if phrase in attempts:
                return cause
        return "unknown"

    def explain_job(self, job_id):
        """Diagnose a job that was rejected or lost its runner: steps 1 and 2."""
        if not any("is accepted" in text for text in self.of_request(job_id, "desk")):
            refusals = " ".join(self.of_request(job_id, "callers"))
            if "store is not heard" in refusals or "store is unavailable" in refusals:
                return "store unavailable"
            return "unknown"
        runners = [
            host
            for host, line in self.lines
            if line["part"] == "jobs" and f"Job {job_id} of" in line["message"]
        ]
        return "runner gone" if len(set(runners)) > 1 else "unknown"

    def explain_item(self, item_id):
        """Diagnose an item that was abandoned or run again: steps 1 to 3."""
        messages = " ".join(self.of_request(item_id, "scheduler"))
        if "can never be done" in messages:
            return "impossible item"
        if re.search(rf"Item {item_id} failed \d+ times", messages):
            return "engines fail"
        if "broken off" in messages:
            return "streams cut"
        return "unknown"


class ExplainingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.fleet.log_style = "json"
        self.addAsyncCleanup(self.fleet.close)
        self.count = 0
        self.known = []

    def new_id(self):
        self.count += 1
        return f"id{self.count:03d}x"

    async def fetch(self, cause, status, path=FETCH_PATH):
        """Send a request that hits a fault, and record its id with the cause."""
        request_id = self.new_id()
        answer = await self.fleet.ask(HOST, "POST", path, b"x", request_id)
        self.assertEqual(answer.status, status, (cause, answer.body))
        self.known.append(("request", request_id, cause))

    async def servers_reject(self):
        for app in self.fleet.apps:
            app.refusing = True
        await self.fetch("servers reject", 429)
        for app in self.fleet.apps:
            app.refusing = False

    async def servers_unreachable(self):
        ports = [app.port for app in self.fleet.apps]
        for app in self.fleet.apps:
            await app.close()
        await self.fetch("servers unreachable", 429)
        for app, port in zip(self.fleet.apps, ports, strict=True):
            await app.start(port)

    async def responses_lost(self):
        for app in self.fleet.apps:
            app.lose = True
        await self.fetch("responses lost", 502, "/once/x")
        for app in self.fleet.apps:
            app.lose = False

    async def responses_of_others(self):
        for app in self.fleet.apps:
            app.echo = "another"
        await self.fetch("responses of other requests", 502, "/once/x")
        for app in self.fleet.apps:
            app.echo = None

    async def deadline_passed(self):
        for app in self.fleet.apps:
            app.delay_s = 3
        await self.fetch("deadline passed", 504, "/once/x")
        for app in self.fleet.apps:
            app.delay_s = 0

    async def no_such_route(self):
        await self.fetch("no such route", 404, "/nowhere/x")

    async def store_unavailable(self):
        self.fleet.store.mode = "busy"
        await asyncio.sleep(2)
        job_id = self.new_id()
        self.assertEqual(await self.submit(job_id), 503)
        self.known.append(("job", job_id, "store unavailable"))
        self.fleet.store.mode = ""
        await _common.eventually(self.accepts)

    async def submit(self, job_id, count=4, host=HOST):
        return await self.fleet.submit(host, job_id, count, prefix=f"{job_id}-")

    async def accepts(self):
        return await self.submit(self.new_id()) == 202

    async def item_ends(self, cause, prepare):
        """Run a job whose items hit a fault, and record their ids."""
        job_id = self.new_id()
        prepare()
        self.assertEqual(await self.submit(job_id), 202)
        results = await self.fleet.all_results(HOST, job_id)
        for engine in self.fleet.engines:
            engine.failing, engine.cut_after = None, None
        self.known += [("item", result["id"], cause) for result in results]

    def set_engines(self, name, value):
        for engine in self.fleet.engines:
            setattr(engine, name, value)

    async def engines_fail(self):
        await self.item_ends("engines fail", lambda: self.set_engines("failing", 500))

    async def impossible_items(self):
        await self.item_ends(
            "impossible item", lambda: self.set_engines("failing", 422)
        )

    async def streams_cut(self):
        await self.item_ends("streams cut", lambda: self.set_engines("cut_after", 2))

    async def runner_gone(self):
        self.set_engines("events", 300)
        job_id = self.new_id()
        self.assertEqual(await self.submit(job_id), 202)
        await _common.eventually(lambda: self.fleet.runner_of(job_id))
        runner = self.fleet.runner_of(job_id)
        other = next(name for name in NAMES if name != runner)
        self.fleet.fronts[runner].kill()
        await self.fleet.all_results(other, job_id)
        self.fleet.start_front(runner)
        await _common.eventually(lambda: self.fleet.is_ready(runner))
        await _common.eventually(self.serves)
        self.set_engines("events", 4)
        self.known.append(("job", job_id, "runner gone"))

    async def serves(self):
        """Return whether the host can reach its application servers again."""
        answer = await self.fleet.ask(HOST, "POST", FETCH_PATH, b"x", self.new_id())
        return answer.status == 200

    async def test_every_injected_fault_is_found_from_the_ids_alone(self):
        self.fleet.store.put("op", "config", configuration())
        await self.fleet.start(names=NAMES)
        await _common.eventually(self.serves)
        await _common.eventually(self.accepts)
        faults = [
            self.servers_reject,
            self.servers_unreachable,
            self.responses_lost,
            self.responses_of_others,
            self.deadline_passed,
            self.no_such_route,
            self.store_unavailable,
            self.engines_fail,
            self.impossible_items,
            self.streams_cut,
            self.runner_gone,
        ]
        random.Random(SEED).shuffle(faults)
        for fault in faults:
            await fault()
            await _common.eventually(self.serves)
        # A separate thread writes the log lines.
        await asyncio.sleep(0.5)
        logs = Logs(list(self.lines()))
        explain = {
            "request": logs.explain_request,
            "job": logs.explain_job,
            "item": logs.explain_item,
        }
        found = [(kind, i, explain[kind](i)) for kind, i, _ in self.known]
        wrong = [(f, k) for f, k in zip(found, self.known, strict=True) if f != k]
        self.assertEqual(
            wrong, [], [logs.of_request(w[0][1], "forward") for w in wrong]
        )
        self.assertGreaterEqual(len({cause for _, _, cause in found}), len(faults))

    def lines(self):
        for name in NAMES:
            for line in self.fleet.log_of(name).splitlines():
                if line.startswith("{"):
                    yield name, json.loads(line)
