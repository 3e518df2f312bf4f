"""Requests under which servers end, sent again and again by their callers.

A host that knows only of its own attempts sends such a request on to each server that
has just started, and every other caller of the service finds none.
"""

import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import crash_reports
from goldcrestmoor.process.crash_reports import CrashReports
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.host_rows import HostRow
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request import retry_decision
from goldcrestmoor.request.crash_history import (
    BLOCK_FACTOR,
    BLOCK_MS,
    CRASHES_TO_BLOCK,
    CRASHES_TO_END_ATTEMPT,
    FORGET_MS,
    Crash,
    CrashHistory,
    next_trial_ms,
)
from goldcrestmoor.request.forwarding import CallerRequest, Forwarder
from goldcrestmoor.request.retry_decision import GiveUp, SendAgain
from goldcrestmoor.version.configuration.routes import (
    RetryPolicy,
    Route,
    RouteKind,
    ServiceShare,
)
from test import _common
from test._fleet import ManualClock, settle
from test._front import FETCH_PATH, FrontFleet
from test._request_fakes import ListingHost
from test.standins.users_server import UsersServer
from test.test_host_rows import LateStore

CRASHING = b"crash"
REPEATED = b"the same for all callers"


class HistoryTest(unittest.TestCase):
    """What a host concludes from the crashes that it knows of."""

    HOSTS = ("host-a", "host-b", "host-c")

    def history(self, *ordinals):
        history = CrashHistory()
        for n, ordinal in enumerate(ordinals):
            history.add(Crash(f"crash-{n}", ordinal, 100 * n))
        return history

    def trials_ms(self, history):
        return sorted(
            next_trial_ms(history, "digest", self.HOSTS, host) for host in self.HOSTS
        )

    def test_three_crashes_in_a_row_block_a_request(self):
        self.assertIsNone(self.history(1, 2).blocked_until_ms())
        self.assertEqual(self.history(1, 2, 3).blocked_until_ms(), 200 + BLOCK_MS)

    def test_servers_that_crash_at_once_block_no_request_that_all_of_them_had(self):
        self.assertIsNone(self.history(1, 1, 1, 1).blocked_until_ms())

    def test_a_crash_is_counted_once(self):
        history = self.history(1, 2)
        self.assertFalse(history.add(Crash("crash-1", 2, 900)))
        self.assertEqual(history.count(), 2)

    def test_one_host_after_another_tries_a_blocked_request(self):
        history = self.history(1, 2, 3)
        first_ms = history.blocked_until_ms()
        self.assertEqual(
            self.trials_ms(history), [first_ms + n * BLOCK_MS for n in range(3)]
        )
        history.trial_ms = first_ms
        self.assertEqual(self.trials_ms(history)[0], first_ms + BLOCK_MS)

    def test_a_trial_that_crashes_a_server_blocks_the_request_for_longer(self):
        history = self.history(1, 2, 3)
        history.add(Crash("trial", 4, BLOCK_MS))
        until_ms = BLOCK_MS + BLOCK_FACTOR * BLOCK_MS
        self.assertEqual(history.blocked_until_ms(), until_ms)

    def test_crashes_are_forgotten_after_the_block(self):
        history = self.history(1, 2, 3)
        until_ms = history.blocked_until_ms() + FORGET_MS
        self.assertFalse(history.is_outdated(until_ms - 1))
        self.assertTrue(history.is_outdated(until_ms))

    def test_a_host_sends_a_request_that_crashed_two_servers_no_further(self):
        for crashes_servers, expected in ((False, SendAgain), (True, GiveUp)):
            decision = retry_decision.decide_retry(
                retry_decision.Ran.UNKNOWN,
                RetryPolicy.IDEMPOTENT,
                2,
                4,
                1000,
                True,
                crashes_servers,
            )
            self.assertIsInstance(decision, expected)

    def test_the_digest_is_the_same_for_each_attempt_of_a_caller(self):
        def digest(host="h", request_id="r1", **fields):
            parts = {"method": "POST", "target": "/x?q=1", "body": b"b"} | fields
            request = CallerRequest(
                request_id,
                parts["method"],
                parts["target"],
                ((b"request-id", request_id.encode()), *parts.get("headers", ())),
                parts["body"],
                account=parts.get("account", ""),
            )
            return request.content_digest(host)

        self.assertEqual(digest(), digest(request_id="r2"))
        others = (
            digest(host="i"),
            digest(method="GET"),
            digest(target="/x?q=2"),
            digest(body=b"c"),
            digest(headers=((b"authorization", b"a"),)),
            digest(account="a"),
            digest(account="b"),
        )
        self.assertEqual(len({digest(), *others}), 1 + len(others))


class FakeHosts:
    """The hosts of a fleet before one service, without the store."""

    def __init__(self, names, clock):
        self.clock = clock
        self.down = set()
        self.ended = {"s1"}
        self.reports_by_host = {}
        rows = {name: HostRow("a", name, 1) for name in names}
        for name in names:
            self.reports_by_host[name] = CrashReports(
                clock=clock,
                paths=self,
                store=self,
                calls=HostCalls(clock=clock, http=self, row_by_host=lambda: rows),
                host_id=name,
                metrics=Metrics(),
            )

    def now_ms(self):
        return None

    async def has_ended(self, upstream):
        return upstream.name in self.ended

    async def request(self, address, port, method, target, body, **options):
        if address in self.down:
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, "It is down.")
        reports = self.reports_by_host[address]
        if target == crash_reports.CRASH_PATH:
            reply = reports.receive_crash(crash_reports.crash_decoder.decode(body))
        else:
            reply = reports.receive_answer(crash_reports.answer_decoder.decode(body))
        return SimpleNamespace(status=200, body=msgspec.json.encode(reply))


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    """What hosts tell each other, here twenty of them, more than one hop reaches."""

    def setUp(self):
        self.enterContext(mock.patch.object(crash_reports, "log"))
        self.clock = ManualClock()
        self.names = [f"host-{n:02}" for n in range(20)]
        self.hosts = FakeHosts(self.names, self.clock)

    async def crash(self, name, digest="d", server="s1"):
        """Lose the response of a request that a host has sent just now."""
        sent_ms = self.clock.now_ms()
        self.clock._now_ms += 50
        upstream = SimpleNamespace(
            name=server, service="app", started_ms=1, address=server, port=1
        )
        reports = self.hosts.reports_by_host[name]
        await reports.record_failure(upstream, digest, "r", sent_ms, is_first=False)
        await self.settle()

    async def settle(self):
        for _ in range(30):
            await asyncio.sleep(0)

    def blocking(self, digest="d"):
        """Return the hosts that block a request."""
        names = []
        for name, reports in self.hosts.reports_by_host.items():
            try:
                reports.check(digest)
            except ServiceError as e:
                self.assertEqual(e.kind, ErrorKind.REQUEST_BLOCKED)
                self.assertGreaterEqual(e.retry_after_ms, BLOCK_MS - 1000)
                names.append(name)
        return names

    async def test_crashes_at_several_hosts_block_a_request_at_all(self):
        for name in self.names[:CRASHES_TO_BLOCK]:
            self.assertEqual(self.blocking(), [])
            await self.crash(name)
        self.assertEqual(self.blocking(), self.names)
        self.assertEqual(self.blocking("other"), [])

    async def test_a_host_that_forwards_nothing_is_passed_over(self):
        self.hosts.down = {self.names[1]}
        for _ in range(CRASHES_TO_BLOCK):
            await self.crash(self.names[0])
        reached = [name for name in self.names if name not in self.hosts.down]
        self.assertEqual([n for n in self.blocking() if n in reached], reached)

    async def test_a_broken_connection_to_a_server_that_listens_is_no_crash(self):
        for _ in range(CRASHES_TO_BLOCK):
            await self.crash(self.names[0], server="s2")
        self.assertEqual(self.blocking(), [])

    async def test_a_request_that_a_server_answers_is_not_blocked(self):
        for name in self.names[: CRASHES_TO_BLOCK - 1]:
            await self.crash(name)
        self.hosts.reports_by_host[self.names[5]].record_answer("d")
        await self.settle()
        for name in self.names[: CRASHES_TO_BLOCK - 1]:
            await self.crash(name)
        self.assertEqual(self.blocking(), [])

    async def test_a_trial_that_is_answered_ends_the_block_at_all_hosts(self):
        for name in self.names[:CRASHES_TO_BLOCK]:
            await self.crash(name)
        self.clock._now_ms += BLOCK_MS
        blocking = self.blocking()
        self.assertEqual(len(blocking), len(self.names) - 1)
        (trial,) = set(self.names) - set(blocking)
        self.hosts.reports_by_host[trial].record_answer("d")
        await self.settle()
        self.assertEqual(self.blocking(), [])


class StoredRowTest(unittest.IsolatedAsyncioTestCase):
    """Rows of blocked requests are written and removed late, and by several hosts.

    A removal that was done late ended a later block at all hosts, which then sent the
    request to servers again until three more had crashed (BUDGET).
    """

    def setUp(self):
        self.enterContext(mock.patch.object(crash_reports, "log"))
        self.clock = ManualClock()
        self.store = LateStore(self.clock)
        self.reports = [self.start(f"host-{n}") for n in range(3)]

    def start(self, host):
        reports = CrashReports(
            clock=self.clock,
            paths=SimpleNamespace(has_ended=self.has_ended),
            store=self.store,
            calls=HostCalls(clock=self.clock, http=None, row_by_host=dict),
            host_id=host,
            metrics=Metrics(),
        )
        self.store.listeners.append((crash_reports.TABLE, reports.apply))
        self.addAsyncCleanup(reports.close)
        return reports

    async def has_ended(self, upstream):
        return True

    async def block(self, reports):
        """Let a host see as many crashes under a request as block it."""
        for _ in range(CRASHES_TO_BLOCK):
            upstream = SimpleNamespace(name="s", service="app", started_ms=1)
            sent_ms = self.clock.now_ms()
            self.clock._now_ms += 50
            await reports.record_failure(upstream, "d", "r", sent_ms, is_first=False)
        await settle()

    def blocking(self):
        """Return how many hosts block the request."""
        count = 0
        for reports in self.reports:
            try:
                reports.check("d")
            except ServiceError:
                count += 1
        return count

    def stored(self):
        """Return how many crashes the row has."""
        row = self.store.row_by_place.get((crash_reports.TABLE, "d"))
        return len(msgspec.json.decode(row.value)) if row else 0

    async def test_a_removal_that_is_done_after_the_next_block(self):
        first, second, _ = self.reports
        await self.block(first)
        self.store.lost = 1
        first.record_answer("d")
        await settle()
        self.assertEqual(len(self.store.late), 1)
        second.receive_answer(crash_reports.AnswerReport("d"))
        await self.block(second)
        await self.clock.advance(10_000)
        self.assertEqual(self.store.do_late(), 0)
        await settle()
        self.assertEqual(self.blocking(), len(self.reports))

    async def test_the_crashes_that_two_hosts_saw_are_kept(self):
        for reports in self.reports[:2]:
            self.store.listeners.clear()
            await self.block(reports)
            await self.clock.advance(10_000)
        self.assertEqual(self.stored(), 2 * CRASHES_TO_BLOCK)

    async def test_an_answer_to_an_earlier_request_keeps_later_crashes(self):
        first, second, _ = self.reports
        await self.block(first)
        # Their feeds are late.
        self.store.listeners.clear()
        await self.block(second)
        first.record_answer("d")
        await self.clock.advance(10_000)
        self.assertGreater(self.stored(), 0)

    async def test_an_answer_removes_the_row(self):
        first, second, _ = self.reports
        await self.block(first)
        self.assertEqual(self.blocking(), len(self.reports))
        second.record_answer("d")
        await settle()
        self.assertEqual((self.stored(), self.blocking()), (0, 0))

    async def test_blocked_requests_are_dropped_last(self):
        (reports, *_) = self.reports
        await self.block(reports)
        with mock.patch.object(crash_reports, "MAX_HISTORIES", 4):
            for n in range(8):
                crash = crash_reports.ReportedCrash(f"d{n}", f"c{n}", 1)
                reports.receive_crash(crash_reports.CrashReport((crash,)))
        self.assertEqual(self.blocking(), len(self.reports))


class AttemptTest(unittest.IsolatedAsyncioTestCase):
    """One caller's attempt at a host that may send it to four servers."""

    ROUTE = Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RouteKind.PLAIN,
        retry_policy=RetryPolicy.IDEMPOTENT,
        shares=(ServiceShare("app"),),
        timeout_ms=2000,
        attempts=4,
        target_ms=200,
    )

    async def asyncSetUp(self):
        self.clock = Clock()
        self.host = ListingHost(self.clock)
        self.addAsyncCleanup(self.host.close)
        self.servers = [UsersServer(f"s{n}", "app") for n in range(4)]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
            self.host.list_server(server)

    async def forward(self):
        headers = ((b"request-id", b"r1"),)
        request = CallerRequest("r1", "POST", "/x", headers, CRASHING)
        forwarder = Forwarder(**self.host.caller_sending())
        deadline = Deadline.after(self.clock, self.ROUTE.timeout_ms)
        return await forwarder.forward(request, self.ROUTE, deadline)

    def runs(self):
        return sum(len(server.runs) for server in self.servers)

    async def test_it_ends_once_two_servers_have_crashed_under_it(self):
        for server in self.servers:
            server.crash_bodies = {CRASHING}
        with self.assertRaises(ServiceError) as caught:
            await self.forward()
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)
        self.assertEqual(self.runs(), CRASHES_TO_END_ATTEMPT)

    async def test_it_goes_on_while_servers_lose_it_without_a_crash(self):
        for server in self.servers:
            server.lose = True
        with self.assertRaises(ServiceError):
            await self.forward()
        self.assertEqual(self.runs(), self.ROUTE.attempts)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Daemons before servers that start again after each crash."""

    # From the users' rule: so long after the third server ended, the request may reach
    # servers in so many more retries.
    SETTLE_S = 3.0
    MOST_RETRIES = 3
    HOSTS = ("front-a", "front-b", "front-c")
    RESTART_S = 1.0
    INTERVAL_S = 0.15

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.apps = [UsersServer(f"app-{n}", "app") for n in range(3)]
        self.all_apps = list(self.fleet.apps)
        self.keeps_ids = False
        for app in self.fleet.apps:
            app.crash_bodies = {CRASHING}
        await self.fleet.start(names=self.HOSTS)
        for name in self.HOSTS:
            await _common.eventually(lambda name=name: self.is_answered(name))
        restarts = asyncio.create_task(self.restart_crashed())
        self.addCleanup(restarts.cancel)

    async def is_answered(self, name):
        answer = await self.ask(name, b"probe", f"probe-{name}")
        return answer.status == 200

    async def ask(self, name, body, request_id):
        return await self.fleet.ask(name, "POST", FETCH_PATH, body, request_id)

    async def restart_crashed(self):
        """Start each crashed server again at its address, usually under a new id."""
        while True:
            for app in list(self.fleet.apps):
                if app.crashed_s is None or time.monotonic() < (
                    app.crashed_s + self.RESTART_S
                ):
                    continue
                name = app.name if self.keeps_ids else f"app-{len(self.all_apps)}"
                started = UsersServer(name, "app")
                started.crash_bodies = app.crash_bodies
                await started.start(app.port)
                self.all_apps.append(started)
                self.fleet.apps[self.fleet.apps.index(app)] = started
                if not self.keeps_ids:
                    self.fleet.store.remove("servers", app.name)
            await asyncio.sleep(0.02)

    def runs_of(self, body):
        """Return when servers got a request, by its body."""
        return sorted(
            seen_s
            for app in self.all_apps
            for seen_s, (_, _, seen) in zip(app.seen_s, app.seen, strict=True)
            if seen == body
        )

    async def press(self, duration_s):
        """Send the crashing request and others in turn; return all answers by body."""

        async def ask(name, body, number):
            started_s = time.monotonic()
            answer = await self.ask(name, body, f"{name}-{number}")
            return body, answer, started_s, time.monotonic() - started_s

        tasks = []
        for number in range(int(duration_s / self.INTERVAL_S)):
            name = self.HOSTS[number % len(self.HOSTS)]
            bodies = (b"other-%d" % number, REPEATED)
            bodies += (CRASHING,) if number % 2 else ()
            for n, body in enumerate(bodies):
                tasks.append(asyncio.create_task(ask(name, body, f"{number}-{n}")))
            await asyncio.sleep(self.INTERVAL_S)
        return await asyncio.gather(*tasks)

    def check_retries(self):
        """Check the users' bound; return from when on it holds."""
        crashed_s = sorted(app.crashed_s for app in self.all_apps if app.crashed_s)
        self.assertGreaterEqual(len(crashed_s), 3)
        since_s = crashed_s[2] + self.SETTLE_S
        late = [seen_s for seen_s in self.runs_of(CRASHING) if seen_s > since_s]
        self.assertLessEqual(len(late), self.MOST_RETRIES, f"{len(crashed_s)} crashes")
        return since_s

    async def test_a_request_that_crashes_servers_is_sent_no_more(self):
        answers = await self.press(10)
        since_s = self.check_retries()
        for body, answer, started_s, took_s in answers:
            if started_s < since_s + self.RESTART_S:
                continue
            if body == CRASHING:
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", dict(answer.headers))
                self.assertLess(took_s, 0.5)
            else:
                self.assertEqual((answer.status, body), (200, body))

    async def test_hosts_that_start_later_know_of_it(self):
        await self.press(5)
        for name in self.HOSTS:
            self.fleet.fronts[name].kill()
            await self.fleet.fronts[name].wait()
        for name in self.HOSTS:
            self.fleet.start_front(name)
            await self.fleet.wait_ready(name)
        started_s = time.monotonic()
        await self.press(6)
        self.check_retries()
        late = [seen_s for seen_s in self.runs_of(CRASHING) if seen_s > started_s]
        self.assertEqual(late, [])

    async def test_hosts_tell_each_other_without_the_store(self):
        self.keeps_ids = True
        self.fleet.store.turned_away = set(self.HOSTS)
        await self.press(10)
        self.check_retries()


if __name__ == "__main__":
    unittest.main()
