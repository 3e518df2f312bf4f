"""How the end of a stream counts for its engine, and what is logged."""

import contextlib
import unittest
from types import SimpleNamespace

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.platform import servers
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.stream_versions import StreamVersions
from goldcrestmoor.request.event_stream import EventParser
from goldcrestmoor.request.forwarding import CallerRequest
from goldcrestmoor.request.streaming import MIN_IDLE_TIMEOUT_MS, StreamForwarder
from goldcrestmoor.request.upstream_loads import UpstreamLoads
from goldcrestmoor.version.configuration.routes import (
    RetryPolicy,
    Route,
    RouteKind,
    ServiceShare,
)
from test._fleet import ManualClock
from test._request_fakes import crash_reports, server_paths, upstream_limits

SERVICE = "pool"
DEADLINE_MS = 1000
HEADERS = [(b"content-type", b"text/event-stream")]
REQUEST = CallerRequest("s1", "POST", "/stream", (), b"")
ROUTE = Route(
    name="streams",
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    retry_policy=RetryPolicy.RESUMABLE,
    shares=(ServiceShare(SERVICE),),
    timeout_ms=DEADLINE_MS,
    target_ms=400,
)
DIALECT = SimpleNamespace(
    EVENT_FIELDS=servers.EVENT_FIELDS,
    request_headers=lambda headers, upstream, left_ms: list(headers),
    resume_header=lambda last_id: (b"last-event-id", last_id.encode()),
    ran=lambda request_id, status, headers: Ran.RAN,
    is_genuine=lambda request_id, status, headers: True,
    leaving_server=servers.leaving_server,
    stated_limit=servers.stated_limit,
)


class FakeHttp:
    """Streams one event; then ends, or fails with an idle timeout.

    :param clock: advanced by the idle time.
    :param idle_ms: the idle time before the timeout, or None for a complete stream.
    """

    def __init__(self, clock, idle_ms=None):
        self._clock = clock
        self._idle_ms = idle_ms

    def has_idle(self, address, port):
        return True

    async def connection_error(self, address, port, timeout_ms):
        return None

    @contextlib.asynccontextmanager
    async def stream(self, *args, **options):
        yield SimpleNamespace(
            status=200,
            headers=HEADERS,
            ends_by_close=False,
            body=self._body,
            hold=lambda size: None,
        )

    async def _body(self):
        yield b"id: 1\ndata: a\n\n"
        if self._idle_ms is not None:
            self._clock._now_ms += self._idle_ms
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, "It fell silent.")


class StalledParserTest(unittest.TestCase):
    """A stream that is open and sends something, but makes no progress."""

    def setUp(self):
        self.clock = ManualClock()
        self.parser = EventParser(servers.EVENT_FIELDS, self.clock, 1000)

    def feed_for(self, chunk, duration_ms):
        for _ in range(duration_ms // 300):
            self.clock._now_ms += 300
            list(self.parser.feed(chunk))

    def test_bytes_or_comments_alone_are_no_progress(self):
        for chunk in (b"d", b": still here\n\n"):
            self.setUp()
            with self.assertRaises(ServiceError) as caught:
                self.feed_for(chunk, 3000)
            self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_TIMEOUT)

    def test_a_slow_stream_goes_on(self):
        self.feed_for(b"id: 1\ndata: a\n\nid", 600)
        self.feed_for(b": 2\ndata: b\n\nid", 6000)

    def test_an_event_may_be_received_in_any_parts(self):
        received = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\ndata: d\n\nid"
        whole = [(e.id, e.data, e.raw) for e in self.parser.feed(received)]
        self.assertEqual([e[:2] for e in whole[:2]], [("1", "a"), ("2", "b")])
        for size in range(1, len(received)):
            self.setUp()
            events = [
                (e.id, e.data, e.raw)
                for begin in range(0, len(received), size)
                for e in self.parser.feed(received[begin : begin + size])
            ]
            self.assertEqual(events, whole, size)
            self.assertTrue(self.parser.has_partial_event)


class StreamingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.upstreams = [
            SimpleNamespace(
                name=n,
                service=SERVICE,
                address="10.0.0.1",
                port=1,
                slots=6,
                zone="a",
                started_ms=1,
                software_version="v1",
            )
            for n in ("engine-1", "engine-2")
        ]

    def make_forwarder(self, idle_ms=None):
        http = FakeHttp(self.clock, idle_ms)
        directory = SimpleNamespace(
            usable=lambda service: self.upstreams,
            upstream_by_name={u.name: u for u in self.upstreams},
            check_usable=lambda upstream: None,
        )
        self.loads = UpstreamLoads(
            clock=self.clock,
            http=http,
            directory=directory,
            limits=upstream_limits(self.clock),
            zone="a",
            # Of equal upstreams, this host prefers the first one.
            host_id="host-4",
        )
        calls = HostCalls(clock=self.clock, http=None, row_by_host=dict)
        paths = server_paths(self.clock, http, directory)
        versions = StreamVersions(
            clock=self.clock, calls=calls, host_id="host-4", list_age_ms=lambda: 0
        )
        # As a daemon does when its list changes.
        versions.observe(self.upstreams)
        return StreamForwarder(
            versions=versions,
            crashes=crash_reports(self.clock, paths),
            paths=paths,
            http=http,
            loads=self.loads,
            dialect=DIALECT,
            metrics=Metrics(),
        )

    async def read(self, forwarder):
        deadline = Deadline.after(self.clock, DEADLINE_MS)
        answer = await forwarder.forward(REQUEST, ROUTE, deadline)
        async with contextlib.aclosing(answer.events) as events:
            return b"".join([event async for event in events])

    def chosen(self):
        return self.loads.choose(SERVICE, ()).name

    async def test_a_complete_stream_resets_its_engines_failures(self):
        forwarder = self.make_forwarder()
        self.loads.record_failure(self.upstreams[0])
        self.loads.record_failure(self.upstreams[1])
        with self.assertLogs("goldcrestmoor.forward", "INFO") as logged:
            self.assertIn(b"data: a", await self.read(forwarder))
        self.assertIn("Request s1 on route streams answered 200", logged.output[0])
        self.assertFalse(self.loads._failure_by_name.keys() >= {"engine-1", "engine-2"})

    async def test_a_caller_that_reads_slowly_is_no_stall_of_the_server(self):
        """The stream would be broken off, and begun again at another engine."""

        async def body():
            yield b"id: 1\ndata: a\n\nid: 2\n"
            yield b"data: b\n"
            yield b"\n"

        forwarder = self.make_forwarder()
        forwarder._paths._http._body = body
        deadline = Deadline.after(self.clock, 60_000)
        answer = await forwarder.forward(REQUEST, ROUTE, deadline)
        received = b""
        async with contextlib.aclosing(answer.events) as events:
            async for event in events:
                received += event
                self.clock._now_ms += 2 * MIN_IDLE_TIMEOUT_MS
        self.assertEqual(received, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        self.assertEqual(self.chosen(), "engine-1")

    async def test_a_stream_longer_than_its_callers_deadline_is_no_engine_failure(self):
        forwarder = self.make_forwarder(idle_ms=DEADLINE_MS)
        with self.assertRaises(ServiceError):
            await self.read(forwarder)
        self.assertEqual(self.chosen(), "engine-1")

    async def test_an_idle_timeout_within_a_stream_is_an_engine_failure(self):
        forwarder = self.make_forwarder(idle_ms=DEADLINE_MS // 2)
        with self.assertRaises(ServiceError):
            await self.read(forwarder)
        self.assertEqual(self.chosen(), "engine-2")
