"""Hosts that reach no server, while clients, the store and other hosts reach them.

Such a host stays in use, all the more when it isn't alone; a host that relies on its
own links rejects every caller.
"""

import asyncio
import time
import unittest

from test import _common
from test._front import FETCH_PATH, MODEL, FrontFleet
from test.standins.users_server import whole_text


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Daemons, most of which lose their links to all servers."""

    # From the users' rule: so long after the cut began, first tries are served at least
    # two thirds as often as at the other hosts.
    SETTLE_S = 3.0
    SHARE = 2 / 3
    CUT = ("front-a", "front-b", "front-c")
    REST = ("front-d",)
    REQUESTS_PER_HOST_S = 8
    DURATION_S = 4

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(names=self.CUT + self.REST, linked=self.CUT)
        for name in self.CUT + self.REST:
            await _common.eventually(lambda name=name: self.is_answered(name))

    async def is_answered(self, name):
        answer = await self.fleet.ask(name, "POST", FETCH_PATH, b"x", f"probe-{name}")
        return answer.status == 200

    def links(self):
        """Yield all links of the daemons that are cut off."""
        for name in self.CUT:
            yield from self.fleet.links_by_host[name].values()

    async def heal(self):
        for link in self.links():
            await link.heal()

    async def press(self, duration_s, path=FETCH_PATH, prefix=""):
        """Press all hosts evenly; return each answer with its host and duration."""

        async def ask(name, number):
            started_s = time.monotonic()
            answer = await self.fleet.ask(
                name, "POST", path, b"x", f"{prefix}{name}-{number}"
            )
            return name, answer, time.monotonic() - started_s

        tasks = []
        for number in range(int(duration_s * self.REQUESTS_PER_HOST_S)):
            tasks += [
                asyncio.create_task(ask(name, number)) for name in self.CUT + self.REST
            ]
            await asyncio.sleep(1 / self.REQUESTS_PER_HOST_S)
        return await asyncio.gather(*tasks)

    def check_served(self, answers):
        """Check that hosts that are cut off serve nearly as often as the others."""

        def served(names):
            statuses = [a.status for name, a, _ in answers if name in names]
            return statuses.count(200) / len(statuses)

        self.assertGreaterEqual(served(self.CUT), self.SHARE * served(self.REST))
        self.assertEqual(served(self.REST), 1)

    async def check_cut(self):
        """Press the hosts during a cut that has begun, and after it."""
        await self.press(self.SETTLE_S, prefix="settle-")
        self.check_served(await self.press(self.DURATION_S, prefix="cut-"))
        await self.heal()
        self.check_served(await self.press(2, prefix="healed-"))

    async def test_connections_that_hang(self):
        for link in self.links():
            await link.leave_unanswered()
        await self.check_cut()

    async def test_connections_that_are_reset_and_refused(self):
        for link in self.links():
            await link.refuse()
        await self.check_cut()

    async def test_open_connections_that_live_on_while_new_ones_are_refused(self):
        for link in self.links():
            link.refuse_new()
        await self.check_cut()

    async def test_no_request_runs_twice(self):
        for link in self.links():
            await link.refuse()
        await self.press(self.SETTLE_S, prefix="settle-")
        answers = await self.press(2, path="/once/x", prefix="once-")
        self.check_served(answers)
        runs = [run for app in self.fleet.apps for run in app.runs if "once-" in run]
        self.assertEqual(len(runs), len(set(runs)))
        served = [name for name, answer, _ in answers if answer.status == 200]
        self.assertEqual(len(runs), len(served))

    async def test_a_stream(self):
        for link in self.links():
            await link.refuse()
        await self.press(self.SETTLE_S, prefix="settle-")
        answer = await self.fleet.ask(
            self.CUT[0], "POST", "/stream/x", b"x", "s1", model_name=MODEL
        )
        self.assertEqual(answer.status, 200)
        events = [
            line for line in answer.body.decode().splitlines() if line[:5] == "data:"
        ]
        text = "\n".join(line.removeprefix("data: ") for line in events)
        self.assertEqual(text, whole_text("s1"))
        self.assertNotIn(b"x-request-id", dict(answer.headers))

    async def test_without_any_host_that_reaches_a_server_all_is_rejected_at_once(self):
        for link in self.links():
            await link.refuse()
        for app in self.fleet.apps:
            await app.close()
        await self.press(self.SETTLE_S, prefix="settle-")
        for _, answer, took_s in await self.press(2, prefix="cut-"):
            self.assertIn(answer.status, (429, 503))
            self.assertIn(b"retry-after", dict(answer.headers))
            self.assertLess(took_s, 0.5)


if __name__ == "__main__":
    unittest.main()
