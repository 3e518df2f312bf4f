"""Servers in trouble that send bytes without end until the caller closes.

A host that waits for the end of such a response holds its caller up, fills its memory,
or never closes the connection, so that the server goes on.
"""

import asyncio
import contextlib
import json
import pathlib
import re
import time
import unittest
from types import SimpleNamespace

from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.platform import servers
from test import _common
from test._front import FETCH_PATH, MODEL, FrontFleet, item
from test._request_fakes import ListingHost
from test.standins.users_server import UsersServer, whole_text

BLOCK = 16_384
HEAD = "HTTP/1.1 {}\r\nrequest-id: {}\r\nserver-stamp: s\r\nweight-versions: 1\r\n"
STREAM = HEAD + "content-type: text/event-stream\r\n"
CHUNKED = "transfer-encoding: chunked\r\n\r\n"
# By name: what the response begins with, and the block that follows without end.
HEADS = {
    "no head": ("", b"x" * BLOCK),
    "headers": (HEAD.format("200 OK", "{id}"), b"a: b\r\n" * 2000),
    "interim": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
}
BODIES = {
    "body": (HEAD.format("200 OK", "{id}") + "\r\n", b"x" * BLOCK),
    "chunks": (
        HEAD.format("200 OK", "{id}") + CHUNKED,
        b"4000\r\n" + b"x" * BLOCK + b"\r\n",
    ),
    "chunk size": (HEAD.format("200 OK", "{id}") + CHUNKED, b"1" * BLOCK),
    "chunk extension": (
        HEAD.format("200 OK", "{id}") + CHUNKED,
        b"1;" + b"e" * BLOCK,
    ),
    "trailers": (
        HEAD.format("200 OK", "{id}") + CHUNKED + "1\r\nx\r\n0\r\n",
        b"a: b\r\n" * 2000,
    ),
    "failure": (HEAD.format("500 Failed", "{id}") + "\r\n", b"x" * BLOCK),
    "not run": (
        HEAD.format("503 Full", "{id}") + "not-run: 1\r\n\r\n",
        b"x" * BLOCK,
    ),
}
STREAMS = {
    "event": (STREAM.format("200 OK", "{id}") + "\r\n", b"data: x\n" * 2000),
    "comments": (STREAM.format("200 OK", "{id}") + "\r\n", b":\n\n" * 4000),
    "no ids": (STREAM.format("200 OK", "{id}") + "\r\n", b"data: x\n\n" * 2000),
}
# The smallest host of the users' deployments.
MAX_HOST_BYTES = 128 << 20
# The route's timeout, and the half second in which its callers have a final answer.
MAX_ANSWER_S = 2.5
CALLERS = 8
EVENTS = 20


class EndlessServer(UsersServer):
    """Responds to every request with bytes without end.

    :ivar mode: the beginning of the response and the block that follows.
    :ivar open_count: how many connections with a response are open.
    """

    def __init__(self, name, service, models=None):
        super().__init__(name, service, models)
        self.mode = None
        self.open_count = 0

    async def start(self, port=0):
        listener = await asyncio.start_server(self._respond, "127.0.0.1", port)
        port = listener.sockets[0].getsockname()[1]

        async def close():
            listener.close()

        self._server = SimpleNamespace(port=port, close=close)

    async def _respond(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            lines = dict(line.split(": ", 1) for line in head.splitlines()[1:] if line)
            request_id = lines["request-id"]
            self.runs.append(request_id)
            begin, block = self.mode
            self.open_count += 1
            try:
                writer.write(begin.replace("{id}", request_id).encode())
                while True:
                    writer.write(block)
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                self.open_count -= 1
                writer.transport.abort()


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.app = EndlessServer("app-0", "app")
        self.engine = EndlessServer("engine-0", "pool", {MODEL: 1})
        self.fleet.apps[0] = self.app
        self.fleet.engines[0] = self.engine
        self.fleet.engines[1].events = EVENTS
        self.app.mode = self.engine.mode = BODIES["body"]
        await self.fleet.start(names=("front-a",))

    def peak_bytes(self):
        """Return the most memory that the daemon has had."""
        status = pathlib.Path(f"/proc/{self.fleet.fronts['front-a'].pid}/status")
        return int(re.search(r"VmHWM:\s+(\d+) kB", status.read_text())[1]) << 10

    async def check_closed(self, server, name):
        """Check that a daemon has closed its connections, and has little memory."""

        async def closed():
            return server.open_count == 0

        await _common.eventually(closed, MAX_ANSWER_S)
        self.assertLess(self.peak_bytes(), MAX_HOST_BYTES, name)

    async def ask_all(self, name, path, **headers):
        """Let several callers ask at once; return their responses' statuses.

        A response that broke off has none.
        """

        async def ask(number):
            started_s = time.monotonic()
            try:
                answer = await self.fleet.ask(
                    "front-a", "POST", path, b"x", f"{name}-{number}", **headers
                )
                status = answer.status
            except ServiceError:
                status = None
            self.assertLess(time.monotonic() - started_s, MAX_ANSWER_S, name)
            return status

        return await asyncio.gather(*map(ask, range(CALLERS)))

    async def unlist(self, server):
        """Leave the endless server of its service alone."""
        self.fleet.silent.add(server.name)
        self.fleet.store.put("servers", server.name, None)
        await asyncio.sleep(1)

    async def test_callers_get_an_error_in_time(self):
        await self.unlist(self.fleet.apps[1])
        for name, mode in {**HEADS, **BODIES}.items():
            with self.subTest(name):
                self.app.mode, runs = mode, len(self.app.runs)
                statuses = await self.ask_all(name.replace(" ", "-"), FETCH_PATH)
                self.assertLessEqual(set(statuses), {429, 500, 502, 503, 504})
                self.assertGreater(len(self.app.runs), runs)
                await self.check_closed(self.app, name)

    async def test_streams_never_look_complete(self):
        await self.unlist(self.fleet.engines[1])
        headers = item("s")["headers"]
        for name, mode in {**HEADS, **BODIES, **STREAMS}.items():
            with self.subTest(name):
                self.engine.mode = mode
                statuses = await self.ask_all(
                    name.replace(" ", "-"), "/stream/x", **headers
                )
                self.assertNotIn(200, statuses)
                await self.check_closed(self.engine, name)

    async def test_items_that_fail_wait_for_the_other_engine(self):
        """The failing one is always free, and the other one is full."""
        self.engine.mode = BODIES["failure"]
        await self.fleet.submit("front-a", "j", 8)
        for result in await self.fleet.all_results("front-a", "j"):
            self.assertEqual(result["text"], whole_text(result["id"], EVENTS))

    async def test_items_are_run_by_the_other_engine(self):
        for name, mode in {**HEADS, **BODIES, **STREAMS}.items():
            with self.subTest(name):
                self.engine.mode = mode
                job_id = "j-" + name.replace(" ", "-")
                await self.fleet.submit("front-a", job_id, 8, prefix=job_id)
                results = await self.fleet.all_results("front-a", job_id)
                for result in results:
                    self.assertEqual(result["text"], whole_text(result["id"], EVENTS))
                await self.check_closed(self.engine, name)


class ControlCallTest(unittest.IsolatedAsyncioTestCase):
    """Reports are decoded whole: a long one takes many times its size in memory."""

    async def asyncSetUp(self):
        self.host = ListingHost(Clock())
        self.addAsyncCleanup(self.host.close)
        self.engines = servers.EngineControlClient(
            http=self.host.sending["http"],
            directory=self.host.directory,
            limits=self.host.limits,
        )

    async def send_report(self, model_count):
        """Return the report of an engine that has so many models."""
        models = [{"name": f"m{n}", "version": 1} for n in range(model_count)]
        body = json.dumps({"models": models}).encode()

        async def respond(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                found = re.search(r"request-id: (\S+)", head)
                head = f"HTTP/1.1 200 OK\r\nrequest-id: {found[1]}\r\n"
                head += f"content-length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
            writer.close()

        listener = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        server = UsersServer("s0", "pool", {MODEL: 1})
        server._server = SimpleNamespace(port=port)
        self.host.list_server(server)
        return await self.engines.report(self.host.directory.upstream_by_name["s0"])

    async def test_a_report_is_bounded(self):
        report = await self.send_report(100)
        self.assertEqual(len(report.version_by_model), 100)
        with self.assertRaises(ServiceError) as caught:
            await self.send_report(100_000)
        self.assertIs(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)


if __name__ == "__main__":
    unittest.main()
