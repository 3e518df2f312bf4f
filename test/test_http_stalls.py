"""After a pause, a process handles what it received meanwhile before it times out."""

import asyncio
import socket
import threading
import time
import unittest
from unittest import mock

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection import http_connection
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ErrorKind, ServiceError
from test import _common

TIMEOUT_MS = 200
PAUSE_S = 0.6
# The responses arrive while the process is paused.
SEND_INTERVAL_S = 0.1


class ThreadServer:
    """Responds from a thread, which keeps running while the test's loop is paused.

    :param chunks: the bytes to send, with an interval before each.
    :param on_request: called in the thread once a request has arrived.
    """

    def __init__(self, chunks, on_request):
        self._chunks = chunks
        self._on_request = on_request
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        try:
            connection, _ = self._socket.accept()
            with connection:
                if connection.recv(65536):
                    self._on_request()
                for chunk in self._chunks:
                    time.sleep(SEND_INTERVAL_S)
                    connection.sendall(chunk)
                connection.recv(1)
        except OSError:
            return

    def close(self):
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()


class ProcessPauseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The loop reports slow callbacks, which this test causes on purpose.
        asyncio.get_running_loop().slow_callback_duration = 2 * PAUSE_S
        self.limits = _common.make_settings().limits
        self.limits.connect_timeout_ms = TIMEOUT_MS
        self.limits.progress_timeout_ms = TIMEOUT_MS
        self.client = HttpClient(clock=Clock(), limits=self.limits)
        self.addAsyncCleanup(self.client.close)

    def start(self, *chunks, pause_after_s=None):
        """Start a server, and pause this process after the request has arrived.

        :param pause_after_s: the time after the request; no pause by default.
        """
        loop = asyncio.get_running_loop()

        def pause_later():
            if pause_after_s is not None:
                loop.call_soon_threadsafe(
                    loop.call_later, pause_after_s, time.sleep, PAUSE_S
                )

        server = ThreadServer(chunks, pause_later)
        self.addCleanup(server.close)
        return server.port

    async def get(self, port, timeout_ms=TIMEOUT_MS):
        return await self.client.request(
            "127.0.0.1", port, "GET", "/x", timeout_ms=timeout_ms
        )

    async def test_a_response_received_during_a_pause_is_delivered(self):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
        port = self.start(head, b"ab", pause_after_s=0)
        self.assertEqual((await self.get(port)).body, b"ab")

    async def test_a_stream_continues_after_a_pause(self):
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        # The head has arrived by then, and the body arrives during the pause.
        port = self.start(
            head,
            b"2\r\nab\r\n",
            b"2\r\ncd\r\n0\r\n\r\n",
            pause_after_s=1.5 * SEND_INTERVAL_S,
        )
        response = await self.get(port, timeout_ms=30_000)
        self.assertEqual(response.body, b"abcd")

    async def test_an_idle_connection_times_out_after_a_pause(self):
        port = self.start(pause_after_s=0)
        started_s = time.monotonic()
        with self.assertRaises(ServiceError) as caught:
            await self.get(port)
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_TIMEOUT)
        self.assertLess(time.monotonic() - started_s, PAUSE_S + 2 * TIMEOUT_MS / 1000)

    async def test_a_connection_established_during_a_pause_is_used(self):
        port = self.start(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
        request = asyncio.create_task(self.get(port, timeout_ms=30_000))
        # Runs right after the TCP handshake has started.
        asyncio.get_running_loop().call_soon(time.sleep, PAUSE_S)
        self.assertEqual((await request).body, b"ab")

    async def test_a_connection_reset_at_once_is_unreachable(self):
        port = self.start()
        real_open = http_connection._open

        async def open_and_abort(*args):
            reader, writer = await real_open(*args)
            writer.transport.abort()
            # The transport closes its socket in the next iteration of the loop.
            await asyncio.sleep(0.01)
            return reader, writer

        with (
            mock.patch.object(http_connection, "_open", open_and_abort),
            self.assertRaises(ServiceError) as caught,
        ):
            await self.get(port)
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_UNREACHABLE)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """A process that has little of a CPU, before servers that send faster than that.

    Something to read is always there, so that no deadline would hold.
    """

    CALLERS = 8
    # For up to 256 KB; the callers' responses together come at 17 MB/s.
    READ_S = 0.015
    # From the users' rule: so long after its timeout a caller has a final answer.
    MAX_LATE_S = 0.5

    async def test_a_deadline_holds_while_there_is_something_to_read(self):
        timeout_ms = 2 * TIMEOUT_MS
        body = b"4000\r\n%b\r\n" % bytes(16_384) * 512
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        client = HttpClient(clock=Clock(), limits=_common.make_settings().limits)
        self.addAsyncCleanup(client.close)
        read = http_connection.HttpConnection._read

        async def read_slowly(*args):
            data = await read(*args)
            time.sleep(self.READ_S)
            return data

        async def ask():
            server = ThreadServer([head + body], lambda: None)
            self.addCleanup(server.close)
            started_s = time.monotonic()
            with self.assertRaises(ServiceError) as caught:
                await client.request(
                    "127.0.0.1", server.port, "GET", "/x", timeout_ms=timeout_ms
                )
            self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_TIMEOUT)
            return time.monotonic() - started_s - timeout_ms / 1000

        with mock.patch.object(http_connection.HttpConnection, "_read", read_slowly):
            late_s = await asyncio.gather(*(ask() for _ in range(self.CALLERS)))
        self.assertLess(max(late_s), self.MAX_LATE_S)
