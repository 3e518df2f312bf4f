"""The HTTP client returns complete responses or errors, and tells what was not run."""

import asyncio
import contextlib
import unittest

from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.connection.http_pool import VERIFIED_IDLE_MS
from goldcrestmoor.errors import ErrorKind, ServiceError
from test import _common
from test.fault_proxy import Link
from test.standins.server import Drop, Response, Server

LENGTH_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\nx-a: b\r\n\r\n0123456789"
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"4\r\n0123\r\n6;x=y\r\n456789\r\n0\r\n\r\n"
)
BODY = b"0123456789"
LONG_MS = 30_000
SHORT_MS = 600


class RawServer:
    """Answers each request on a connection with scripted bytes.

    ``script(number)`` returns, for the nth request, a list of byte strings, which may
    end with ``"close"`` or ``"silence"``.
    """

    def __init__(self, script):
        self.script = script
        self.requests = 0
        self.connections = 0
        self.release = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                for step in self.script(self.requests):
                    if step == "close":
                        writer.close()
                        return
                    if step == "silence":
                        await self.release.wait()
                        return
                    writer.write(step)
                    await writer.drain()


class StoppableClock(Clock):
    """A clock that runs until a test sets it."""

    __slots__ = ("stopped_ms",)

    def __init__(self):
        self.stopped_ms = None

    def now_ms(self):
        return super().now_ms() if self.stopped_ms is None else self.stopped_ms


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.limits = _common.make_settings().limits
        self.clock = StoppableClock()
        self.client = HttpClient(clock=self.clock, limits=self.limits)
        self.addAsyncCleanup(self.client.close)

    async def start_raw(self, script):
        raw = RawServer(script)
        listener = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.addCleanup(raw.release.set)
        return raw, listener.sockets[0].getsockname()[1]

    async def start_server(self, handler):
        server = Server(handler, "127.0.0.1", 0)
        await server.start()
        self.addAsyncCleanup(server.close)
        return server

    async def get(self, port, method="GET", timeout_ms=LONG_MS, **options):
        options.setdefault("idempotent", method == "GET")
        return await self.client.request(
            "127.0.0.1", port, method, "/x", timeout_ms=timeout_ms, **options
        )

    async def get_error_kind(self, port, *args, **options):
        with self.assertRaises(ServiceError) as caught:
            await self.get(port, *args, **options)
        return caught.exception.kind

    async def check_truncation(self, answer):
        cut = 0

        def script(_):
            return [answer[:cut], "close"]

        raw, port = await self.start_raw(script)
        for cut in range(len(answer)):  # noqa: B007 (the script reads it)
            with self.subTest(cut=cut):
                self.assertEqual(
                    await self.get_error_kind(port), ErrorKind.UPSTREAM_FAILED
                )
        cut = len(answer)
        response = await self.get(port)
        self.assertEqual((response.status, response.body), (200, BODY))
        self.assertEqual(raw.requests, len(answer) + 1)

    async def test_a_truncated_content_length_response_is_an_error(self):
        await self.check_truncation(LENGTH_RESPONSE)

    async def test_a_truncated_chunked_response_is_an_error(self):
        await self.check_truncation(CHUNKED_RESPONSE)

    async def test_a_reset_anywhere_is_an_error(self):
        async def handler(request):
            return Response(200, BODY)

        server = await self.start_server(handler)
        link = Link("127.0.0.1", server.port)
        await link.start()
        self.addAsyncCleanup(link.close)
        whole = await self.get(link.port)
        self.assertEqual(whole.body, BODY)
        link.cut()
        answer_bytes = link.bytes_by_direction["down"]
        for cut in range(answer_bytes):
            link.cut_after(cut)
            with self.subTest(cut=cut):
                self.assertEqual(
                    await self.get_error_kind(link.port), ErrorKind.UPSTREAM_FAILED
                )

    async def test_a_response_in_single_bytes_is_complete(self):
        for answer in (LENGTH_RESPONSE, CHUNKED_RESPONSE):
            pieces = [answer[i : i + 1] for i in range(len(answer))]
            raw, port = await self.start_raw(lambda _, pieces=pieces: pieces)
            for _ in range(3):
                self.assertEqual((await self.get(port)).body, BODY)
            self.assertEqual(raw.connections, 1)

    async def test_a_body_ended_only_by_close_is_an_error_unless_allowed(self):
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + BODY
        _, port = await self.start_raw(lambda _: [answer, "close"])
        self.assertEqual(await self.get_error_kind(port), ErrorKind.UPSTREAM_FAILED)
        response = await self.get(port, allow_close_delimited=True)
        self.assertEqual(response.body, BODY)

    async def test_a_length_stated_twice_is_an_error(self):
        answer = CHUNKED_RESPONSE.replace(
            b"\r\n\r\n", b"\r\ncontent-length: 4\r\n\r\n", 1
        )
        _, port = await self.start_raw(lambda _: [answer])
        self.assertEqual(await self.get_error_kind(port), ErrorKind.UPSTREAM_FAILED)

    async def test_an_unsolicited_response_never_reaches_the_next_request(self):
        unsolicited = LENGTH_RESPONSE.replace(BODY, b"strayxxxxx")
        for gap in (False, True):
            raw, port = await self.start_raw(
                lambda n: (
                    [LENGTH_RESPONSE + unsolicited] if n == 1 else [LENGTH_RESPONSE]
                )
            )
            self.assertEqual((await self.get(port)).body, BODY)
            if gap:
                await asyncio.sleep(0)
            self.assertEqual((await self.get(port)).body, BODY)
            self.assertEqual(raw.connections, 2)

    async def test_a_late_unsolicited_response_never_reaches_the_next_request(self):
        unsolicited = LENGTH_RESPONSE.replace(BODY, b"strayxxxxx")
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(LENGTH_RESPONSE)

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.assertEqual((await self.get(port)).body, BODY)
        writers[0].write(unsolicited)
        self.assertEqual((await self.get(port, "POST")).body, BODY)
        self.assertEqual(len(writers), 2)
        # After some loop iterations, the transport may have read the unsolicited bytes.
        writers[1].write(unsolicited)
        for _ in range(20):
            await asyncio.sleep(0.005)
        self.assertEqual((await self.get(port)).body, BODY)
        self.assertEqual(len(writers), 3)

    async def test_a_refused_connection_is_not_run(self):
        port = _common.free_port()
        self.assertEqual(
            await self.get_error_kind(port), ErrorKind.UPSTREAM_UNREACHABLE
        )

    async def test_a_malformed_request_is_not_sent(self):
        raw, port = await self.start_raw(lambda _: [LENGTH_RESPONSE])
        headers = [(b"x-a", b"b\r\nx-c: d")]
        kind = await self.get_error_kind(port, headers=headers)
        self.assertEqual((kind, raw.connections), (ErrorKind.BAD_REQUEST, 0))

    async def test_a_post_without_a_response_is_sent_once(self):
        runs = 0

        async def handler(request):
            nonlocal runs
            runs += 1
            if request.method == "POST":
                raise Drop
            return Response(200, BODY)

        server = await self.start_server(handler)
        kind = await self.get_error_kind(server.port, "POST", body=b"note")
        self.assertEqual((kind, runs), (ErrorKind.UPSTREAM_FAILED, 1))
        await self.get(server.port)
        kind = await self.get_error_kind(server.port, "POST", body=b"note")
        self.assertEqual((kind, runs), (ErrorKind.UPSTREAM_FAILED, 3))

    async def test_a_get_on_a_reused_connection_is_sent_once(self):
        raw, port = await self.start_raw(
            lambda n: [LENGTH_RESPONSE] if n == 1 else ["close"]
        )
        await self.get(port)
        kind = await self.get_error_kind(port)
        self.assertEqual((kind, raw.requests), (ErrorKind.UPSTREAM_FAILED, 2))

    async def test_a_long_idle_connection_carries_only_idempotent_requests(self):
        raw, port = await self.start_raw(lambda _: [LENGTH_RESPONSE])
        self.clock.stopped_ms = 0
        await self.get(port)
        await self.get(port, "POST")
        self.assertEqual(raw.connections, 1)
        self.clock.stopped_ms += 2 * VERIFIED_IDLE_MS
        await self.get(port)
        self.assertEqual(raw.connections, 1)
        self.clock.stopped_ms += 2 * VERIFIED_IDLE_MS
        await self.get(port, "POST")
        self.assertEqual(raw.connections, 2)
        self.clock.stopped_ms += self.limits.idle_connection_ms + 1
        await self.get(port)
        self.assertEqual(raw.connections, 3)

    async def test_a_pooled_connection_closed_before_use_is_replaced(self):
        raw, port = await self.start_raw(lambda _: [LENGTH_RESPONSE, "close"])
        for n in range(1, 20):
            self.assertEqual((await self.get(port)).status, 200)
            # The close arrives before the next request is written.
            await _common.eventually(
                lambda: all(
                    not connection.is_usable()
                    for idle in self.client._pool._idle_by_target.values()
                    for connection in idle
                )
            )
            self.assertEqual(raw.requests, n)

    async def test_an_unreachable_upstream_has_run_nothing(self):
        runs = 0

        async def handler(request):
            nonlocal runs
            runs += 1
            return Response(200, BODY)

        server = await self.start_server(handler)
        link = Link("127.0.0.1", server.port)
        await link.start()
        self.addAsyncCleanup(link.close)
        body = b"x" * 2000
        await self.get(link.port, "POST", body=body)
        request_bytes = link.bytes_by_direction["up"]
        link.cut()
        kinds = set()
        for cut in range(0, request_bytes + 1, 97):
            before = runs
            link.cut_after(cut, "up")
            kind = await self.get_error_kind(link.port, "POST", body=body)
            kinds.add(kind)
            if kind == ErrorKind.UPSTREAM_UNREACHABLE:
                self.assertEqual(runs, before)
        await link.refuse()
        before = runs
        kind = await self.get_error_kind(link.port, "POST", body=body)
        self.assertEqual(kind, ErrorKind.UPSTREAM_UNREACHABLE)
        self.assertEqual(runs, before)
        self.assertIn(ErrorKind.UPSTREAM_FAILED, kinds)

    async def test_the_head_timeout_ends_a_wait_for_the_head(self):
        raw, port = await self.start_raw(lambda _: ["silence"])
        kind = await self.get_error_kind(port, head_timeout_ms=SHORT_MS)
        self.assertEqual((kind, raw.requests), (ErrorKind.UPSTREAM_TIMEOUT, 1))
        kind = await self.get_error_kind(port, timeout_ms=SHORT_MS)
        self.assertEqual((kind, raw.requests), (ErrorKind.UPSTREAM_TIMEOUT, 2))

    async def test_the_progress_timeout_ends_a_wait_in_the_body(self):
        _, port = await self.start_raw(lambda _: [LENGTH_RESPONSE[:-1], "silence"])
        deadline = Deadline.after(self.clock, LONG_MS)
        kind = await self.get_error_kind(port, progress_timeout_ms=SHORT_MS)
        self.assertEqual(kind, ErrorKind.UPSTREAM_TIMEOUT)
        self.assertFalse(deadline.passed())

    async def test_a_slow_body_does_not_time_out(self):
        async def pieces():
            for _ in range(20):
                await asyncio.sleep(0.1)
                yield b"x"

        async def handler(request):
            return Response(200, pieces())

        server = await self.start_server(handler)
        response = await self.get(server.port, progress_timeout_ms=1500)
        self.assertEqual(response.body, b"x" * 20)

    async def test_unresponsive_idle_connections_are_replaced(self):
        async def handler(request):
            return Response(200, BODY)

        server = await self.start_server(handler)
        link = Link("127.0.0.1", server.port)
        await link.start()
        self.addAsyncCleanup(link.close)
        await asyncio.gather(*(self.get(link.port) for _ in range(5)))
        link.silence_old()
        kind = await self.get_error_kind(link.port, head_timeout_ms=SHORT_MS)
        self.assertEqual(kind, ErrorKind.UPSTREAM_TIMEOUT)
        self.assertEqual((await self.get(link.port)).body, BODY)

    async def test_bounds_on_head_and_body(self):
        big = b"HTTP/1.1 200 OK\r\nx-a: " + b"a" * self.limits.max_header_bytes
        _, port = await self.start_raw(lambda _: [big, b"\r\n\r\n", "silence"])
        self.assertEqual(await self.get_error_kind(port), ErrorKind.UPSTREAM_FAILED)
        _, port = await self.start_raw(
            lambda _: [big + b"\r\ncontent-length: 0\r\n\r\n"]
        )
        self.assertEqual(await self.get_error_kind(port), ErrorKind.UPSTREAM_FAILED)
        self.limits.max_body_bytes = 9
        _, port = await self.start_raw(lambda _: [LENGTH_RESPONSE])
        self.assertEqual(await self.get_error_kind(port), ErrorKind.UPSTREAM_FAILED)

    async def test_leaving_a_stream_early_closes_its_connection(self):
        async def pieces():
            while True:
                yield b"x" * 1000
                await asyncio.sleep(0)

        async def handler(request):
            return Response(200, pieces())

        server = await self.start_server(handler)
        async with self.client.stream(
            "127.0.0.1", server.port, "GET", "/", timeout_ms=LONG_MS
        ) as response:
            async for chunk in response.body():
                self.assertTrue(chunk)
                break
            self.assertEqual(len(server._reader_by_writer), 1)
        await _common.eventually(lambda: not server._reader_by_writer)

    async def test_idle_connections_are_bounded_and_closed(self):
        self.limits.idle_connection_ms = 50
        raw, port = await self.start_raw(lambda _: [LENGTH_RESPONSE])
        await asyncio.gather(*(self.get(port) for _ in range(40)))
        self.assertLessEqual(self.client._pool.idle_count, 32)
        await _common.eventually(lambda: self.client._pool.idle_count == 0)
        self.assertEqual(self.client._pool._idle_by_target, {})

    async def test_an_early_response_to_a_large_body_is_read(self):
        answer = LENGTH_RESPONSE.replace(b"200 OK", b"413 No")
        _, port = await self.start_raw(lambda _: [answer, "silence"])
        response = await self.get(port, "POST", body=b"x" * 8_000_000)
        self.assertEqual(response.status, 413)
        self.assertEqual(self.client._pool.idle_count, 0)

    async def test_a_head_request_has_no_body(self):
        answer = LENGTH_RESPONSE[: -len(BODY)]
        _, port = await self.start_raw(lambda _: [answer])
        response = await self.get(port, "HEAD")
        self.assertEqual(response.body, b"")
        self.assertIn((b"content-length", b"10"), response.headers)
