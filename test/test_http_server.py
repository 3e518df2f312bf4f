"""The HTTP server rejects bad input, and stops without aborting requests."""

import asyncio
import contextlib
import json
import socket
import threading
import time
import unittest

from blacksheep import Request, Response, StreamedContent

from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError, UserError
from goldcrestmoor.process.http_server import HttpServer
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.completion_format import CompletionRequest
from goldcrestmoor.request.request_parsing import read_json
from test import _common
from test._common import eventually
from test._request_fakes import CountingHttp

MAX_BODY_BYTES = 1000
MAX_HEADER_BYTES = 4096
TIMEOUT_MS = 60_000
PROGRESS_TIMEOUT_MS = 500


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.settings = _common.make_settings(
            limits={
                "max_body_bytes": MAX_BODY_BYTES,
                "max_header_bytes": MAX_HEADER_BYTES,
                "progress_timeout_ms": PROGRESS_TIMEOUT_MS,
            }
        )
        self.port = self.settings.host.http_port
        self.metrics = Metrics()
        self.open = True
        self.tracked = 0
        self.server = self.make_server()
        self.entered = asyncio.Event()
        self.go_on = asyncio.Event()
        self.closed = asyncio.Event()
        self.add_routes(self.server.application)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0)

    def make_server(self):
        return HttpServer(
            clock=Clock(),
            settings=self.settings,
            metrics=self.metrics,
            in_flight=self,
        )

    @contextlib.contextmanager
    def track(self):
        """Count requests as ``InFlight`` does."""
        if not self.open:
            raise ServiceError(ErrorKind.DRAINING)
        self.tracked += 1
        yield
        self.tracked -= 1

    def add_routes(self, app):
        async def overloaded(request: Request) -> Response:
            raise ServiceError(ErrorKind.OVERLOADED, "Full.", 1234)

        async def broken(request: Request) -> Response:
            raise ValueError("a secret")

        async def read(request: Request) -> Response:
            await read_json(request, CompletionRequest)
            return Response(200)

        async def wait(request: Request) -> Response:
            self.entered.set()
            await self.go_on.wait()
            return Response(200)

        async def stream(request: Request) -> Response:
            async def chunks():
                try:
                    while True:
                        yield b"chunk"
                        await asyncio.sleep(0.01)
                finally:
                    self.closed.set()

            return Response(200, None, StreamedContent(b"text/plain", chunks))

        app.router.add_get("/overloaded", overloaded)
        app.router.add_get("/broken", broken)
        app.router.add_post("/read", read)
        app.router.add_get("/wait", wait)
        app.router.add_get("/stream", stream)

    async def ask(self, method, target, headers=(), body=b""):
        return await CountingHttp().request(
            "127.0.0.1", self.port, method, target, headers, body, TIMEOUT_MS
        )

    async def ask_raw(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), TIMEOUT_MS / 1000)
        writer.close()
        return answer

    def bad_input(self, where):
        name = "goldcrestmoor_bad_input_total"
        return self.metrics.registry.get_sample_value(name, {"where": where})

    async def test_an_error_carries_its_retry_delay(self):
        answer = await self.ask("GET", "/overloaded", [(b"x-request-id", b"abc")])
        headers = dict(answer.headers)
        self.assertEqual(answer.status, 429)
        self.assertEqual(headers[b"retry-after"], b"2")
        self.assertEqual(headers[b"retry-after-ms"], b"1234")
        self.assertEqual(headers[b"x-request-id"], b"abc")
        body = json.loads(answer.body)
        self.assertEqual((body["code"], body["request_id"]), ("overloaded", "abc"))

    async def test_an_unexpected_error_reveals_no_internals(self):
        with self.assertLogs("goldcrestmoor.http", "ERROR"):
            answer = await self.ask("GET", "/broken")
        self.assertEqual(json.loads(answer.body)["code"], "internal")
        self.assertNotIn(b"secret", answer.body)

    async def test_an_unknown_route_is_not_found(self):
        answer = await self.ask("GET", "/nothing")
        self.assertEqual(json.loads(answer.body)["code"], "not_found")

    async def test_bad_json_is_refused_and_counted(self):
        for body in (b"", b"{", b"[]", b'{"model": 1}', b"\xff\xfe"):
            answer = await self.ask("POST", "/read", body=body)
            self.assertEqual(json.loads(answer.body)["code"], "bad_request", body)
        self.assertEqual(self.bad_input("request"), 5)

    async def test_an_oversize_body_is_refused_while_it_is_read(self):
        answer = await self.ask("POST", "/read", body=b" " * (MAX_BODY_BYTES + 1))
        self.assertEqual(answer.status, 413)
        head = b"POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"400\r\n" + b" " * 1024 + b"\r\n"
        # The end of the body is never sent.
        self.assertIn(b"413", await self.ask_raw(head + chunk))

    async def test_broken_and_oversize_headers_are_refused(self):
        oversize = b"GET / HTTP/1.1\r\nX: " + b"x" * 2 * MAX_HEADER_BYTES + b"\r\n\r\n"
        for data in (b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\n: x\r\n\r\n", oversize):
            answer = await self.ask_raw(data)
            self.assertIn(b" 400 ", answer)
            self.assertIn(b'"bad_request"', answer)
        self.assertEqual(self.bad_input("http"), 3)

    async def test_an_incomplete_request_times_out(self):
        head = b"POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
        # A connection without a request is closed without a response.
        self.assertEqual(await self.ask_raw(b""), b"")
        for data in (b"GET / HT", head[:-1], head, head + b"{"):
            answer = await self.ask_raw(data)
            self.assertIn(b" 400 ", answer, data)

    async def test_a_body_that_came_during_a_stall_is_read(self):
        head = b"POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
        timeout_s = PROGRESS_TIMEOUT_MS / 1000
        loop = asyncio.get_running_loop()
        loop.slow_callback_duration = 4 * timeout_s
        with socket.create_connection(("127.0.0.1", self.port)) as caller:
            caller.sendall(head)
            # A thread keeps running while the event loop is blocked.
            rest = threading.Timer(timeout_s, caller.sendall, (b"123456789",))
            rest.start()
            self.addCleanup(rest.join)
            loop.call_later(timeout_s / 2, time.sleep, 2 * timeout_s)
            await asyncio.sleep(3 * timeout_s)
            answer = await asyncio.to_thread(caller.recv, 65536)
        self.assertNotIn(b"stopped coming", answer)
        self.assertIn(b"HTTP/1.1 400 ", answer)

    async def test_a_slow_answer_is_not_taken_for_a_slow_request(self):
        asking = asyncio.create_task(self.ask("GET", "/wait"))
        await asyncio.sleep(2 * PROGRESS_TIMEOUT_MS / 1000)
        self.go_on.set()
        self.assertEqual((await asking).status, 200)

    async def test_answers_are_not_held_back_by_the_kernel(self):
        asking = asyncio.create_task(self.ask("GET", "/wait"))
        await self.entered.wait()
        (connection,) = self.server._server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertTrue(option)
        self.go_on.set()
        await asking

    async def test_a_request_in_flight_is_finished_on_stop(self):
        asking = asyncio.create_task(self.ask("GET", "/wait"))
        await self.entered.wait()
        stopping = asyncio.create_task(self.server.stop(TIMEOUT_MS))
        await eventually(self.refuses_connections)
        self.go_on.set()
        self.assertEqual((await asking).status, 200)
        await stopping

    async def refuses_connections(self):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.close()
            return False
        return True

    async def test_a_host_that_shuts_down_refuses_new_requests_only(self):
        asking = asyncio.create_task(self.ask("GET", "/wait"))
        await self.entered.wait()
        self.assertEqual(self.tracked, 1)
        self.open = False
        answer = await self.ask("GET", "/wait")
        self.assertEqual(json.loads(answer.body)["code"], "draining")
        self.assertEqual((await self.ask("GET", "/healthz")).status, 404)
        self.go_on.set()
        self.assertEqual((await asking).status, 200)
        self.assertEqual(self.tracked, 0)

    async def test_a_stream_ends_when_its_caller_disconnects(self):
        opened = CountingHttp().stream(
            "127.0.0.1", self.port, "GET", "/stream", [], b"", TIMEOUT_MS
        )
        async with opened as response:
            await anext(response.body())
        await asyncio.wait_for(self.closed.wait(), TIMEOUT_MS / 1000)

    async def test_an_address_in_use_is_reported(self):
        with self.assertRaisesRegex(UserError, "Cannot listen on"):
            await self.make_server().start()
