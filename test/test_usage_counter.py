"""A request counts once, when it was or may have been run, and in the right window."""

import asyncio
import unittest
from unittest import mock

from goldcrestmoor import settings
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.platform import servers
from goldcrestmoor.process.directory import ListedUpstream
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.stream_versions import StreamVersions
from goldcrestmoor.request.forwarding import CallerRequest, Forwarder
from goldcrestmoor.request.streaming import StreamForwarder
from goldcrestmoor.request.upstream_loads import UpstreamLoads
from goldcrestmoor.request.usage_counter import UsageCounter
from goldcrestmoor.version.configuration.routes import (
    RetryPolicy,
    Route,
    RouteKind,
    ServiceShare,
)
from test._common import eventually
from test._fleet import ManualClock
from test._request_fakes import crash_reports, server_paths, upstream_limits
from test.standins.users_server import UsersServer

ACCOUNT = "acme"
WINDOW_MS = 5000
KEPT_MS = 30_000


class WindowTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.counter = UsageCounter(
            clock=self.clock, window_ms=WINDOW_MS, kept_ms=KEPT_MS
        )

    def test_a_corrected_clock_moves_the_starts_to_their_windows(self):
        window = self.clock.now_ms() // WINDOW_MS
        self.counter.add(ACCOUNT)
        self.assertEqual(self.counter.counts(0, window), {window: {ACCOUNT: 1}})
        moved = self.counter.counts(2 * WINDOW_MS, window)
        self.assertEqual(moved, {window + 2: {ACCOUNT: 1}})

    def test_a_window_is_stated_only_while_all_its_starts_are_kept(self):
        """Part of a window's starts would replace the whole at the holder."""
        for _ in range(KEPT_MS // 100 + WINDOW_MS // 100):
            self.counter.add(ACCOUNT)
            self.clock._now_ms += 100
        first = self.counter.first_whole_window(0)
        counts = self.counter.counts(0, first)
        self.assertEqual(min(counts), first)
        self.assertEqual(counts[first], {ACCOUNT: WINDOW_MS // 100})
        self.assertLess(len(self.counter._counts_by_bucket), KEPT_MS // 100 + 2)


class RequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock()
        self.http = HttpClient(clock=self.clock, limits=settings.default_limits())
        self.addAsyncCleanup(self.http.close)
        self.counter = UsageCounter(
            clock=self.clock, window_ms=WINDOW_MS, kept_ms=KEPT_MS
        )
        self.servers = [UsersServer(f"s{n}", "pool", {"m": 1}) for n in range(2)]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
        self.upstreams = [
            ListedUpstream(
                name=server.name,
                service="pool",
                address="127.0.0.1",
                port=server.port,
                zone="a",
                slots=6,
                started_ms=1,
            )
            for server in self.servers
        ]

    def forwarder(self, kind, **options):
        directory = mock.Mock(
            usable=lambda service: self.upstreams,
            upstream_by_name={u.name: u for u in self.upstreams},
        )
        paths = server_paths(self.clock, self.http, directory)
        return kind(
            http=self.http,
            loads=UpstreamLoads(
                clock=self.clock,
                http=self.http,
                directory=directory,
                limits=upstream_limits(self.clock),
                zone="a",
                host_id="host-a",
            ),
            dialect=servers,
            metrics=Metrics(),
            crashes=crash_reports(self.clock, paths),
            paths=paths,
            usage=self.counter,
            **options,
        )

    async def forward(
        self, kind=RouteKind.PLAIN, account=ACCOUNT, resumed_id=None, policy=None
    ):
        forwarder = Forwarder
        options = {}
        if kind is RouteKind.STREAM:
            policy, forwarder = policy or RetryPolicy.RESUMABLE, StreamForwarder
            calls = HostCalls(clock=self.clock, http=None, row_by_host=dict)
            versions = StreamVersions(
                clock=self.clock,
                calls=calls,
                host_id="host-a",
                list_age_ms=lambda: 0,
            )
            versions.observe(self.upstreams)
            await versions.begin("r0", "pool", "")
            options["versions"] = versions
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=kind,
            retry_policy=policy or RetryPolicy.IDEMPOTENT,
            shares=(ServiceShare("pool"),),
            timeout_ms=2000,
            attempts=3,
            target_ms=1000,
        )
        headers = ((b"model-name", b"m"), (b"request-id", b"r1"))
        request = CallerRequest(
            "r1", "POST", "/x", headers, b"x", resumed_id, account=account
        )
        answer = await self.forwarder(forwarder, **options).forward(
            request, route, Deadline.after(self.clock, 2000)
        )
        if kind is RouteKind.STREAM:
            async for _ in answer.events:
                pass

    def counted(self):
        counts = self.counter.counts(0, 0).values()
        return sum(count for window in counts for count in window.values())

    async def test_a_request_that_two_servers_ran_counts_once(self):
        self.servers[0].failing = self.servers[1].failing = 500
        with self.assertRaises(ServiceError):
            await self.forward()
        self.assertEqual(sum(len(s.runs) for s in self.servers), 2)
        self.assertEqual(self.counted(), 1)

    async def test_a_lost_response_counts(self):
        for server in self.servers:
            server.lose = True
        with self.assertRaises(ServiceError):
            await self.forward()
        self.assertEqual(self.counted(), 1)

    async def test_a_request_that_was_not_run_does_not_count(self):
        for server in self.servers:
            server.refusing = True
        with self.assertRaises(ServiceError):
            await self.forward()
        self.assertEqual(self.counted(), 0)

    async def test_a_caller_that_leaves_while_a_server_runs_the_request(self):
        for server in self.servers:
            server.delay_s = 1
        task = asyncio.create_task(self.forward())
        await eventually(lambda: any(s.runs for s in self.servers))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.counted(), 1)

    async def test_a_stream_that_is_resumed_counts_once(self):
        self.servers[0].cut_after = self.servers[1].cut_after = 2
        await self.forward(RouteKind.STREAM)
        self.assertEqual(self.counted(), 1)
        # Its caller takes it up again by a request of its own.
        await self.forward(RouteKind.STREAM, resumed_id="r0")
        self.assertEqual(self.counted(), 1)

    async def test_a_stream_that_cannot_be_resumed_counts_whatever_its_caller_states(
        self,
    ):
        """Servers begin it anew; a header would let an account use them unbilled."""
        for policy in (RetryPolicy.NEVER, RetryPolicy.IDEMPOTENT):
            with self.subTest(policy):
                before = self.counted()
                await self.forward(RouteKind.STREAM, resumed_id="r0", policy=policy)
                self.assertEqual(self.counted(), before + 1)

    async def test_a_request_of_no_account_counts_nothing(self):
        await self.forward(account="")
        self.assertEqual(self.counter.changes, 0)


if __name__ == "__main__":
    unittest.main()
