"""Servers in need, which state how many requests a second they accept from all hosts.

A host that doesn't lower its rate, or that allows itself the whole of the limit beside
other hosts, presses a server that has said that it can't keep up.
"""

import asyncio
import math
import time
import unittest
from types import SimpleNamespace

from goldcrestmoor.platform import servers
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.upstream_limits import UpstreamLimits
from test import _common
from test._fleet import ManualClock
from test._front import FETCH_PATH, FrontFleet


def server(name="s1", started_ms=1, zone="a"):
    return SimpleNamespace(name=name, service="app", zone=zone, started_ms=started_ms)


class HeaderTest(unittest.TestCase):
    def test_a_limit_is_a_decimal_number(self):
        for value, expected in (
            (b"2.5", 2.5),
            (b"0", 0.0),
            (b"many", None),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
        ):
            headers = [(b"server-limit", value)]
            self.assertEqual(servers.stated_limit(200, headers), expected)
        self.assertEqual(servers.stated_limit(503, []), math.inf)

    def test_another_server_at_the_address_says_nothing_of_the_expected_one(self):
        self.assertIsNone(servers.stated_limit(421, [(b"server-limit", b"2")]))
        self.assertIsNone(servers.stated_limit(421, []))


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.limits = UpstreamLimits(clock=self.clock, metrics=self.metrics)

    def test_a_limit_holds_until_a_later_response_states_none(self):
        self.limits.record(server(), 2.5)
        self.limits.record(server(), math.inf)
        self.assertEqual(self.limits.per_second(server()), 2.5)
        self.clock._now_ms += 1000
        self.limits.record(server(), None)
        self.assertEqual(self.limits.per_second(server()), 2.5)
        self.limits.record(server(), math.inf)
        self.assertEqual(self.limits.per_second(server()), math.inf)

    def test_a_restarted_server_is_not_limited(self):
        self.limits.record(server(), 2.5)
        self.assertEqual(self.limits.per_second(server(started_ms=2)), math.inf)

    def test_changes_are_logged_and_responses_counted(self):
        with self.assertLogs("goldcrestmoor.limits", "INFO") as logs:
            for _ in range(5):
                self.limits.record(server(), 2.5)
            self.clock._now_ms += 1000
            self.limits.record(server(), math.inf)
        self.assertEqual(len(logs.output), 2, logs.output)
        self.assertIn("s1 of app accepts 2.5 requests a second", logs.output[0])
        counted = self.metrics.registry.get_sample_value(
            "goldcrestmoor_limited_requests_total", {"outcome": "answered"}
        )
        self.assertEqual(counted, 5)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Daemons whose requests together exceed what one host alone would send."""

    # From the users' rule: the bound holds this long after a limit was first stated,
    # in every window of this length, with this margin.
    SETTLE_S = 3.0
    WINDOW_S = 4.0
    MARGIN = 1.5
    EXTRA_REQUESTS = 5
    HOSTS = ("front-a", "front-b", "front-c")
    REQUESTS_PER_HOST_S = 15

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(names=self.HOSTS)
        for name in self.HOSTS:
            await _common.eventually(lambda name=name: self.is_answered(name))

    async def is_answered(self, name):
        answer = await self.fleet.ask(name, "POST", FETCH_PATH, b"x", f"probe-{name}")
        return answer.status == 200

    async def press(self, duration_s):
        """Press all hosts evenly; return each answer with the time that it took."""

        async def ask(name, number):
            started_s = time.monotonic()
            answer = await self.fleet.ask(
                name, "POST", FETCH_PATH, b"x", f"{name}-{number}"
            )
            return answer, time.monotonic() - started_s

        tasks = []
        for number in range(int(duration_s * self.REQUESTS_PER_HOST_S)):
            tasks += [asyncio.create_task(ask(name, number)) for name in self.HOSTS]
            await asyncio.sleep(1 / self.REQUESTS_PER_HOST_S)
        return await asyncio.gather(*tasks)

    def assert_within_limit(self, server, since_s):
        """Check every window from when the bound holds."""
        times_s = [s for s in server.seen_s if s >= since_s + self.SETTLE_S]
        most = max(
            (sum(first <= s < first + self.WINDOW_S for s in times_s), first - since_s)
            for first in times_s or [since_s]
        )
        allowed = self.MARGIN * self.WINDOW_S * server.limit + self.EXTRA_REQUESTS
        self.assertLessEqual(most[0], allowed, f"{server.name}, {most[1]:.1f} s after")

    async def test_hosts_together_keep_a_servers_limit(self):
        limiting = self.fleet.apps[0]
        since_s, limiting.limit = time.monotonic(), 2.0
        answers = await self.press(self.SETTLE_S + self.WINDOW_S + 1)
        self.assertEqual({answer.status for answer, _ in answers}, {200})
        self.assert_within_limit(limiting, since_s)

    async def test_items_keep_an_engines_limit(self):
        limiting = self.fleet.engines[0]
        for engine in self.fleet.engines:
            engine.events = 20
        since_s, limiting.limit = time.monotonic(), 1.0
        await self.fleet.submit("front-a", "j1", 400)
        results = await self.fleet.all_results("front-a", "j1")
        self.assertEqual({result["state"] for result in results}, {"completed"})
        self.assert_within_limit(limiting, since_s)

    async def test_what_exceeds_all_limits_is_refused_at_once(self):
        since_s, duration_s = time.monotonic(), self.SETTLE_S + self.WINDOW_S + 1
        for app in self.fleet.apps:
            app.limit = 3.0
        answers = await self.press(duration_s)
        served = [answer for answer, _ in answers if answer.status == 200]
        refused = [each for each in answers if each[0].status in (429, 503)]
        self.assertEqual(len(served) + len(refused), len(answers))
        for app in self.fleet.apps:
            self.assert_within_limit(app, since_s)
        for answer, took_s in refused:
            self.assertIn(b"retry-after", dict(answer.headers))
            self.assertLess(took_s, 0.5)
        # Callers get most of what the servers offer.
        offered = sum(app.limit for app in self.fleet.apps) * duration_s
        self.assertGreater(len(served), 0.7 * offered)


if __name__ == "__main__":
    unittest.main()
