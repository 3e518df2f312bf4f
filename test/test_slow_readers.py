"""Callers and servers that read slowly or stop reading, at one daemon."""

import asyncio
import contextlib
import socket
import unittest
from types import SimpleNamespace

from goldcrestmoor import settings
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.memory_budget import Held, MemoryBudget
from goldcrestmoor.process.memory_guard import MemoryGuard
from goldcrestmoor.process.metrics import Metrics
from test import _common
from test._front import FETCH_PATH, HOST, MODEL, FrontFleet
from test.standins.users_server import UsersServer

MB = 1 << 20
# The budget is a quarter of it.
MEMORY_MB = 40
BUDGET = MEMORY_MB / 4 * MB
READ_AHEAD = MB
EVENT_BYTES = 16 << 10
# What is held beyond the bound of one caller: the last chunk, with what the write
# buffer of its connection holds.
SLACK = 512 << 10
# Small enough that the kernels of both ends hold little of a stream.
RECEIVE_BUFFER = 16 << 10
HEAD = (
    f"POST {{}} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: r{{}}\r\n{{}}"
    "content-length: {}\r\n\r\n"
)
STREAM_MS = 20_000
# A stalled connection is closed after 2 s, measured four times a second.
GIVEN_UP_S = 4


class LargeEvents(UsersServer):
    """An engine with room for many callers, whose streams have large events."""

    def __init__(self, name):
        super().__init__(name, "pool", {MODEL: 1})
        self.event_ms = 20

    def entry(self, state="ready", **fields):
        return super().entry(state, slots=100, **fields)

    async def _stream(self, request, version, first):
        number = first
        while True:
            yield f"id: {number}\ndata: {'x' * EVENT_BYTES}\n\n".encode()
            number += 1
            await asyncio.sleep(self.event_ms / 1000)


class UnreadingServer(UsersServer):
    """Accepts connections and reads nothing from them."""

    async def start(self, port=0):
        listener = socket.create_server(("127.0.0.1", port))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)

        async def close():
            listener.close()

        self._server = SimpleNamespace(port=listener.getsockname()[1], close=close)


class UploadTest(unittest.IsolatedAsyncioTestCase):
    """Requests that wait in this process until a server has read them."""

    async def asyncSetUp(self):
        self.is_over = False
        self.addAsyncCleanup(self.stop_serving)
        self.guard = MemoryGuard(
            clock=Clock(), budget=MemoryBudget(MB), metrics=Metrics()
        )
        self.client = HttpClient(
            clock=Clock(), limits=settings.default_limits(), memory=self.guard
        )
        self.addAsyncCleanup(self.client.close)
        running = asyncio.create_task(self.guard.run())
        self.addCleanup(running.cancel)

    async def stop_serving(self):
        self.is_over = True
        await asyncio.sleep(0.2)

    async def serve(self, bytes_per_read):
        """Start a server that reads as much ten times a second, and then answers."""

        async def respond(reader, writer):
            with contextlib.suppress(ConnectionError):
                received = 0
                while received < 6 * MB and not self.is_over:
                    await asyncio.sleep(0.1)
                    received += len(await reader.read(bytes_per_read))
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        listener = server.sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        return listener.getsockname()[1]

    async def post(self, port, size=6 * MB):
        target = "127.0.0.1", port, "POST", "/"
        return await self.client.request(*target, body=bytes(size))

    async def test_a_server_that_stops_reading_is_given_up(self):
        """The request would stay in memory until its deadline, here of a minute."""
        posting = asyncio.create_task(self.post(await self.serve(0), 12 * MB))
        await asyncio.sleep(1)
        self.assertFalse(posting.done())
        self.assertGreater(self.guard.budget.bytes_of(Held.REQUEST), MB)
        with self.assertRaises(ServiceError) as caught:
            async with asyncio.timeout(GIVEN_UP_S):
                await posting
        self.assertIs(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)
        self.assertEqual(self.guard.budget.held_bytes, 0)

    async def test_a_server_that_reads_slowly_is_not(self):
        port = await self.serve(128 << 10)
        answer = await self.post(port)
        self.assertEqual(answer.status, 200)


class SlowReadersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, stream_ms=STREAM_MS, apps=None, **host_fields):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.engines = [LargeEvents("engine-0"), LargeEvents("engine-1")]
        self.fleet.apps = apps or self.fleet.apps
        self.fleet.configured = {"stream": {"timeoutMs": stream_ms}}
        fields = {"memory_mb": MEMORY_MB, "contracts": ["pressure"]}
        self.fleet.host_fields = fields | host_fields
        await self.fleet.start(names=("front-a",))

    async def connect(self):
        """Return a connection to the daemon with a small buffer."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.setblocking(False)
        self.addCleanup(connection.close)
        loop = asyncio.get_running_loop()
        port = self.fleet.ports["front-a"][0]
        await loop.sock_connect(connection, ("127.0.0.1", port))
        return connection

    async def open_stream(self, number):
        """Begin a stream; read nothing of it."""
        connection = await self.connect()
        head = HEAD.format("/stream/x", number, f"model-name: {MODEL}\r\n", 0)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, head.encode())
        return connection

    async def fetch(self, size):
        return await self.fleet.ask("front-a", "POST", FETCH_PATH, bytes(size))

    async def held(self, kind):
        metrics = await self.fleet.metrics("front-a")
        return metrics[f'held_bytes{{kind="{kind}"}}']

    async def holds(self, kind, least):
        return await self.held(kind) >= least

    async def given_up(self, reason):
        metrics = await self.fleet.metrics("front-a")
        name = f'connections_given_up_total{{reason="{reason}"}}'
        return metrics.get(name, 0)

    async def read_to_end(self, connection):
        """Return what a connection still has, and whether it was reset."""
        loop, received = asyncio.get_running_loop(), bytearray()
        try:
            while chunk := await loop.sock_recv(connection, MB):
                received += chunk
        except ConnectionError:
            return bytes(received), True
        return bytes(received), False

    async def test_a_stream_is_read_although_its_caller_reads_nothing(self):
        """The server would reset a response that nobody reads."""
        await self.start()
        await self.open_stream(0)
        await _common.eventually(lambda: self.holds("response", READ_AHEAD), 10)
        await asyncio.sleep(1)
        self.assertLess(await self.held("response"), READ_AHEAD + SLACK)
        # A caller alone is within the budget, and keeps its stream.
        self.assertEqual(await self.given_up("stalled"), 0)

    async def test_callers_that_stop_are_given_up_when_memory_is_used_up(self):
        """A host over its memory limit is killed with all requests on it."""
        await self.start()
        steady = await self.open_stream("steady")
        stopped = [await self.open_stream(number) for number in range(20)]
        received, is_open = 0, True

        async def read_steadily():
            nonlocal received, is_open
            loop = asyncio.get_running_loop()
            while chunk := await loop.sock_recv(steady, 4096):
                received += len(chunk)
                await asyncio.sleep(0.1)
            is_open = False

        reading = asyncio.create_task(read_steadily())
        self.addCleanup(reading.cancel)
        peak = 0

        async def has_given_up():
            nonlocal peak
            peak = max(peak, await self.held("response"))
            # Others are served meanwhile.
            self.assertEqual((await self.fetch(1)).status, 200)
            return await self.given_up("stalled") >= 5

        await _common.eventually(has_given_up, 15)
        self.assertLess(peak, BUDGET + len(stopped) * SLACK)
        self.assertGreater(peak, BUDGET / 2)
        before = received
        await asyncio.sleep(1)
        self.assertTrue(is_open and not reading.done())
        self.assertGreater(received, before)
        await asyncio.sleep(GIVEN_UP_S)
        self.assertLess(await self.held("response"), BUDGET + SLACK)
        ended = 0
        for connection in stopped:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    received_bytes, is_reset = await self.read_to_end(connection)
                    ended += 1
                    self.assertTrue(is_reset)
                    self.assertNotIn(b"\r\n0\r\n\r\n", received_bytes)
        self.assertGreaterEqual(ended, 5)

        def work_has_ended():
            counts = [engine.connection_count for engine in self.fleet.engines]
            return sum(counts) <= len(stopped) + 1 - ended

        await _common.eventually(work_has_ended, 5)

    async def test_a_stream_that_is_not_taken_ends_with_its_deadline(self):
        """A caller that stops would keep a slot of the server for good."""
        await self.start(stream_ms=4000)
        connection = await self.open_stream(0)
        await _common.eventually(lambda: self.given_up("deadline"), 8)
        _, is_reset = await self.read_to_end(connection)
        self.assertTrue(is_reset)
        self.assertEqual(await self.held("response"), 0)

    async def test_a_whole_response_that_is_not_taken_makes_way(self):
        """Callers that stop must not keep others' large bodies out for good."""
        await self.start()
        connection, size = await self.connect(), 5 * MB
        head = HEAD.format(FETCH_PATH, 0, "", size)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, head.encode() + bytes(size))
        await _common.eventually(lambda: self.holds("response", size), 5)

        self.assertEqual((await self.fetch(size)).status, 503)

        async def is_served():
            return (await self.fetch(size)).status == 200

        await _common.eventually(is_served, GIVEN_UP_S)
        self.assertEqual(await self.given_up("stalled"), 1)
        received, is_reset = await self.read_to_end(connection)
        self.assertTrue(is_reset)
        self.assertLess(len(received), size)

    async def test_large_bodies_are_refused_when_servers_read_slowly(self):
        """Bodies that wait for slow servers would fill the host's memory."""
        await self.start(apps=[UnreadingServer(f"app-{n}", "app") for n in "01"])
        peak = 0

        posts = asyncio.gather(*(self.fetch(3 * MB) for _ in range(8)))

        async def are_answered():
            nonlocal peak
            peak = max(peak, await self.held("request"))
            return posts.done()

        await _common.eventually(are_answered, 15)
        answers = await posts
        self.assertGreater(peak, 3 * MB)
        # A body is held twice while it is sent.
        self.assertLess(peak, 2 * BUDGET)
        refused = [dict(a.headers) for a in answers if a.status == 503]
        self.assertTrue(refused, [a.status for a in answers])
        self.assertTrue(all(b"retry-after" in headers for headers in refused))
        self.assertFalse([a.status for a in answers if a.status < 400])
        self.assertGreater(
            (await self.fleet.metrics("front-a"))["memory_refusals_total"], 0
        )
        answer = await self.fleet.ask("front-a", "GET", "/lots/none")
        self.assertEqual(answer.status, 404)

        async def is_released():
            return not await self.held("request")

        await _common.eventually(is_released, 5)

    async def test_nothing_is_counted_without_the_contract(self):
        """A platform that does not ask for bounds must see no change."""
        await self.start(contracts=["other"])
        connection = await self.open_stream(0)
        loop = asyncio.get_running_loop()
        head = await asyncio.wait_for(loop.sock_recv(connection, 1000), 5)
        self.assertIn(b" 200 OK", head)
        metrics = await self.fleet.metrics("front-a")
        self.assertFalse([name for name in metrics if name.startswith("held_bytes")])


if __name__ == "__main__":
    unittest.main()
