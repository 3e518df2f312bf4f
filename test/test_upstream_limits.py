"""Servers in need, which state how many requests a second they accept from all hosts.

A host that doesn't lower its rate, or that allows itself the whole of the limit beside
other hosts, presses a server that has said that it can't keep up.
"""

import asyncio
import math
import time
import unittest
from types import SimpleNamespace

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.platform import servers
from goldcrestmoor.process import limit_owners
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.host_rows import HostRow
from goldcrestmoor.process.limit_owners import LimitOwners
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.upstream_limits import UpstreamLimits
from goldcrestmoor.request.forwarding import (
    CallerRequest,
    FailedAttempt,
    RequestAttempts,
)
from goldcrestmoor.request.limit_budget import (
    MIN_BURST_REQUESTS,
    RequestBudget,
    owners_of,
)
from goldcrestmoor.version.configuration.routes import (
    RetryPolicy,
    Route,
    RouteKind,
    ServiceShare,
)
from test import _common
from test._fleet import ManualClock
from test._front import FETCH_PATH, FrontFleet
from test._request_fakes import crash_reports, upstream_limits


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


class RecordTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.limits = upstream_limits(self.clock, self.metrics)

    async def test_a_limit_holds_until_a_later_response_states_none(self):
        self.limits.record(server(), 2.5)
        self.limits.record(server(), math.inf)
        self.assertEqual(self.limits.per_second(server()), 2.5)
        self.clock._now_ms += 1000
        self.limits.record(server(), None)
        self.assertEqual(self.limits.per_second(server()), 2.5)
        self.limits.record(server(), math.inf)
        self.assertEqual(self.limits.per_second(server()), math.inf)

    async def test_a_restarted_server_is_not_limited(self):
        self.limits.record(server(), 2.5)
        self.assertEqual(self.limits.per_second(server(started_ms=2)), math.inf)

    async def test_changes_are_logged_and_responses_counted(self):
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


class BudgetTest(unittest.TestCase):
    """An owner's grants, while eleven hosts ask for more than the server accepts."""

    WINDOW_MS = 4000

    def most_in_window(self, times_ms):
        return max(
            sum(first <= ms < first + self.WINDOW_MS for ms in times_ms)
            for first in times_ms
        )

    def granted_ms(self, per_second, ranks=(0,), duration_ms=20_000):
        """Replay hosts that ask as soon as they may; return the grants' times."""
        budgets = [RequestBudget(rank, 0) for rank in ranks]
        next_ms_by_host = {(n, rank): 7 * n for n in range(11) for rank in ranks}
        granted_ms = []
        for now_ms in range(duration_ms):
            for (number, rank), next_ms in next_ms_by_host.items():
                if now_ms < next_ms:
                    continue
                budget = budgets[ranks.index(rank)]
                wait_ms = budget.take(per_second, now_ms)
                if not wait_ms:
                    granted_ms.append(now_ms)
                next_ms_by_host[number, rank] = now_ms + max(50, wait_ms)
        return granted_ms

    def test_it_grants_what_the_server_accepts_and_no_more(self):
        for per_second in (0.5, 1.2, 2.8, 20.0):
            granted_ms = self.granted_ms(per_second)
            self.assertLessEqual(
                self.most_in_window(granted_ms),
                4 * per_second + max(MIN_BURST_REQUESTS, per_second) + 1,
            )
            self.assertGreater(len(granted_ms), 0.8 * 20 * per_second)

    def test_two_owners_at_once_stay_within_the_rule(self):
        """Some hosts reach the first owner, others the second."""
        for per_second in (0.5, 1.2, 2.8, 20.0):
            granted_ms = self.granted_ms(per_second, ranks=(0, 1))
            allowed = 1.5 * 4 * per_second + 5
            self.assertLessEqual(self.most_in_window(granted_ms), allowed)

    def test_a_burst_after_an_idle_time_is_bounded(self):
        budget = RequestBudget(0, 0)
        waits_ms = [budget.take(4.0, 60_000) for _ in range(10)]
        self.assertEqual(waits_ms.count(0), 4)

    def test_those_denied_are_told_to_return_one_after_the_other(self):
        budget = RequestBudget(0, 0)
        waits_ms = [budget.take(10.0, 0) for _ in range(MIN_BURST_REQUESTS + 5)]
        self.assertEqual(waits_ms[MIN_BURST_REQUESTS:], [100, 200, 300, 400, 500])

    def test_a_limit_of_zero_still_lets_its_end_be_seen(self):
        self.assertTrue(2 < len(self.granted_ms(0.0)) < 10)

    def test_required_requests_count(self):
        budget = RequestBudget(0, 0)
        for _ in range(MIN_BURST_REQUESTS + 1):
            self.assertEqual(budget.take(1.0, 0, is_required=True), 0)
        self.assertEqual(budget.take(1.0, 1500), 500)


class OwnersTest(unittest.TestCase):
    def test_hosts_that_reach_the_server_agree_on_a_host_of_its_zone(self):
        zone_by_host = {f"{zone}-{n}": zone for zone in "abc" for n in range(4)}
        owners = owners_of(server(zone="b"), zone_by_host)
        self.assertEqual([zone_by_host[host] for host in owners], ["b", "b", "b"])
        shuffled = dict(reversed(zone_by_host.items()))
        self.assertEqual(owners_of(server(zone="b"), shuffled), owners)
        del zone_by_host[owners[0]]
        self.assertEqual(owners_of(server(zone="b"), zone_by_host)[:2], owners[1:])


class FakeHosts:
    """The hosts of a fleet, reached by a message's address."""

    def __init__(self, names, clock):
        self.down = set()
        self.asked = []
        self.limits_by_host = {}
        rows = {name: HostRow("a", name, 1) for name in names}
        for name in names:
            calls = HostCalls(clock=clock, http=self, row_by_host=lambda: rows)
            owners = LimitOwners(calls=calls, host_id=name)
            self.limits_by_host[name] = UpstreamLimits(
                clock=clock, metrics=Metrics(), owners=owners
            )

    async def request(
        self, address, port, method, target, body, timeout_ms, idempotent
    ):
        self.asked.append(address)
        if address in self.down:
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, "It is down.")
        message = limit_owners.request_decoder.decode(body)
        reply = self.limits_by_host[address].grant(message)
        return SimpleNamespace(status=200, body=msgspec.json.encode(reply))


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.names = [f"host-{n}" for n in range(5)]
        self.hosts = FakeHosts(self.names, self.clock)
        self.owner, self.second, third = owners_of(
            server(), dict.fromkeys(self.names, "a")
        )
        first_owners = (self.owner, self.second)
        self.others = [name for name in self.names if name not in first_owners]
        self.outsider = next(name for name in self.others if name != third)

    def limits(self, name):
        return self.hosts.limits_by_host[name]

    async def admitted(self, names, rounds=10):
        """Return how many requests are admitted when all hosts ask in turn."""
        count = 0
        for _ in range(rounds):
            for name in names:
                count += not await self.limits(name).admit(server())
        return count

    async def test_hosts_that_know_of_a_limit_share_one_budget(self):
        for name in self.names:
            self.limits(name).record(server(), 2.0)
        self.assertEqual(await self.admitted(self.names), MIN_BURST_REQUESTS)
        self.clock._now_ms += 1000
        self.assertEqual(await self.admitted(self.names), 2)

    async def test_a_host_that_was_denied_asks_again_only_when_told(self):
        self.limits(self.others[0]).record(server(), 1.0)
        await self.admitted(self.others[:1], rounds=20)
        self.assertEqual(len(self.hosts.asked), MIN_BURST_REQUESTS + 1)

    async def test_the_second_owner_grants_a_quarter_when_the_first_is_gone(self):
        self.limits(self.others[0]).record(server(), 4.0)
        self.hosts.down = {self.owner}
        await self.admitted(self.others[:1])
        asked = self.hosts.asked.count(self.owner)
        count = 0
        for _ in range(190):
            self.clock._now_ms += 10
            count += await self.admitted(self.others[:1], rounds=1)
        self.assertEqual((asked, self.hosts.asked.count(self.owner)), (1, 1))
        self.assertEqual(count, 1)

    async def test_a_limited_server_gets_nothing_while_no_owner_answers(self):
        self.limits(self.outsider).record(server(), 4.0)
        self.hosts.down = set(self.names) - {self.outsider}
        self.assertEqual(await self.admitted([self.outsider]), 0)

    async def test_the_end_of_a_limit_reaches_hosts_that_get_no_grant(self):
        first, second = self.others[:2]
        for name in (first, second):
            self.limits(name).record(server(), 1.0)
        await self.admitted([first, second])
        self.clock._now_ms += 1000
        self.limits(first).record(server(), math.inf)
        await asyncio.sleep(0)
        self.clock._now_ms += 1000
        self.assertEqual(await self.admitted([second]), 10)
        self.assertFalse(self.limits(second).is_limited(server()))


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """A request whose next server admits no more, after an attempt or before any."""

    def attempts(self, admitted):
        admitted = iter(admitted)

        async def admit_one(service, sent_to, software_version, size):
            return next(admitted)

        loads = SimpleNamespace(
            admit_one=admit_one,
            choose=lambda *args: server("s2"),
            pause_ms=lambda service: 300,
        )
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=RouteKind.PLAIN,
            retry_policy=RetryPolicy.IDEMPOTENT,
            shares=(ServiceShare("app"),),
            timeout_ms=2000,
            target_ms=100,
            attempts=3,
        )
        return RequestAttempts(
            request=CallerRequest("id", "GET", "/", (), b""),
            route=route,
            deadline=Deadline.after(ManualClock(), 2000),
            loads=loads,
            metrics=Metrics(),
            crashes=crash_reports(ManualClock(), None),
        )

    async def error_after(self, ran):
        """Return the error when one attempt failed and no server admits another."""
        attempts = self.attempts([server(), None])
        await attempts.next_upstream()
        attempts.retry_or_raise(FailedAttempt(ran, "It broke off"))
        with self.assertRaises(ServiceError) as caught:
            await attempts.next_upstream()
        return caught.exception

    async def test_a_request_that_may_have_run_is_not_refused_as_not_run(self):
        error = await self.error_after(Ran.UNKNOWN)
        self.assertEqual(error.kind, ErrorKind.UPSTREAM_FAILED)
        self.assertIs(error.answer.ran, Ran.UNKNOWN)

    async def test_a_request_that_was_not_run_is_told_when_to_come_back(self):
        error = await self.error_after(Ran.NOT_RUN)
        self.assertEqual(error.kind, ErrorKind.OVERLOADED)
        self.assertEqual(error.retry_after_ms, 300)


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
