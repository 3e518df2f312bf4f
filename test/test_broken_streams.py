"""What callers see of streams that break off, and of responses cut within their head.

A server's failure must show as one: no error's text within a stream, and no broken
response that is framed as a whole one.
"""

import asyncio
import functools
import unittest

import msgspec

from goldcrestmoor.clock import Clock
from goldcrestmoor.job.item_run import Broken, ItemExecutor, ItemRun, ItemTerms
from goldcrestmoor.job.job import Item, Partial
from goldcrestmoor.platform import servers
from goldcrestmoor.process.shutdown import InFlight
from goldcrestmoor.request.relayed_messages import (
    RELAY_PREFIX,
    RelayedHead,
    relay_headers,
)
from goldcrestmoor.request.request_relay import RequestRelay
from test import _common
from test._front import FETCH_PATH, HOST, MODEL, FrontFleet
from test._request_fakes import ListingHost
from test.test_odd_entries import ENTRY

EVENTS = 4
STAMP = b"Server-Stamp: s\r\n"
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def head(status, *lines):
    """Return a response head that echoes the request's id."""
    text = b"HTTP/1.1 %d Status\r\nRequest-Id: %%(id)s\r\n" % status
    return text + b"Weight-Versions: 1\r\n" + b"".join(lines) + b"\r\n"


def events(first, last):
    """Return events in a chunk of their own."""
    data = b"".join(
        b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(first, last + 1)
    )
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = head(200, STAMP, STREAM_TYPE, CHUNKED)
BROKEN_STREAM = STREAM_HEAD + events(1, 2)
ERROR_TEXT = b"id: 3\ndata: the server failed\n\n"
LENGTH = b"Content-Length: %d\r\n" % len(ERROR_TEXT)


class RawServer:
    """Sends scripted bytes as its response to each request, then closes.

    :param name: the server's id.
    :param service: its service.
    :param script: the responses in order, shared by several servers.
    """

    def __init__(self, name, service, script):
        self.name = name
        self._service = service
        self._script = script
        self._server = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def close(self):
        if self._server is not None:
            self._server.close()

    def entry(self):
        port = self._server.sockets[0].getsockname()[1]
        return ENTRY | {"service": self._service, "address": f"127.0.0.1:{port}"}

    async def _serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).lower()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        if b"request-id: " in request and self._script and b"/report" not in request:
            request_id = request.split(b"request-id: ")[1].split(b"\r\n")[0]
            writer.write(self._script.pop(0).replace(b"%(id)s", request_id))
            await writer.drain()
        writer.close()


class RawCase(unittest.IsolatedAsyncioTestCase):
    """One host before scripted servers."""

    async def asyncSetUp(self):
        self.script = []
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.apps = [RawServer(f"app-{n}", "app", self.script) for n in range(2)]
        self.fleet.engines = [
            RawServer(f"engine-{n}", "pool", self.script) for n in range(2)
        ]
        self.fleet.configured["stream"] = {"attempts": 3}
        await self.fleet.start(names=("front-a",))
        await _common.eventually(self.is_listed)

    async def is_listed(self):
        """Return whether the host knows all servers."""
        metrics = await self.fleet.metrics("front-a")
        return all(
            f"{server.name} of" in self.fleet.log_of("front-a")
            for server in self.fleet.servers()
        ) and bool(metrics)

    async def ask(self, path, *responses, **headers):
        """Return the bytes of the answer to a request, for scripted responses."""
        self.script[:] = responses
        port = self.fleet.ports["front-a"][0]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        fields = {"Host": HOST, "Request-Id": "r1", "Deadline-Ms": 1500, **headers}
        if path.startswith("/stream"):
            fields["Model-Name"] = MODEL
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{lines}Connection: close\r\n".encode())
        writer.write(b"Content-Length: 1\r\n\r\nx")
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer

    def status(self, answer):
        return int(answer.split()[1])


class BrokenStreamTest(RawCase):
    def check_broken(self, answer):
        """Check that a stream has its first two events and is not whole."""
        self.assertEqual(self.status(answer), 200)
        self.assertIn(b"data: event 2\n", answer)
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"failed", answer)
        self.assertFalse(answer.endswith(LAST_CHUNK), answer)

    async def test_a_stream_goes_on_at_the_next_server(self):
        rest = STREAM_HEAD + events(3, EVENTS) + LAST_CHUNK
        answer = await self.ask("/stream/x", BROKEN_STREAM, rest)
        self.assertEqual(answer.count(b"data: event"), EVENTS)
        self.assertTrue(answer.endswith(LAST_CHUNK))

    async def test_an_error_of_the_next_server_is_no_part_of_the_stream(self):
        """Its text came within the stream, which then ended as if complete."""
        for content_type in (STREAM_TYPE, b"Content-Type: text/plain\r\n"):
            for status in (500, 503, 404, 200):
                if status == 200 and content_type is STREAM_TYPE:
                    continue
                with self.subTest(status=status, content_type=content_type):
                    error = head(status, STAMP, content_type, LENGTH) + ERROR_TEXT
                    answer = await self.ask("/stream/x", BROKEN_STREAM, error, error)
                    self.check_broken(answer)

    async def test_a_server_that_sends_the_same_events_again_is_not_used(self):
        again = STREAM_HEAD + events(1, EVENTS) + LAST_CHUNK
        answer = await self.ask("/stream/x", BROKEN_STREAM, again, again)
        self.check_broken(answer)
        self.assertEqual(answer.count(b"data: event 1\n"), 1)

    async def test_an_error_in_the_form_of_a_stream_keeps_its_status(self):
        for status in (500, 404):
            with self.subTest(status=status):
                error = head(status, STAMP, STREAM_TYPE, LENGTH) + ERROR_TEXT
                answer = await self.ask("/stream/x", error, error, error)
                self.assertEqual(self.status(answer), status)
                self.assertTrue(answer.endswith(ERROR_TEXT))

    async def test_a_stream_that_ends_before_its_first_event_is_not_whole(self):
        """Only the close ends it, so that nothing tells it from a broken one."""
        empty = head(200, STAMP, STREAM_TYPE)
        answer = await self.ask("/stream/x", empty, empty, empty)
        self.assertEqual(self.status(answer), 502)

    async def test_a_stream_that_was_whole_before_it_broke_ends_as_whole(self):
        """Its server closed before the last chunk; nothing is left to resume."""
        whole = STREAM_HEAD + events(1, EVENTS)
        nothing = STREAM_HEAD + LAST_CHUNK
        answer = await self.ask("/stream/x", whole, nothing)
        self.assertEqual(answer.count(b"data: event"), EVENTS)
        self.assertTrue(answer.endswith(LAST_CHUNK))


class CutItemTest(unittest.IsolatedAsyncioTestCase):
    """An item goes on at a server that closes before its first event."""

    async def asyncSetUp(self):
        self.host = ListingHost(Clock())
        self.addAsyncCleanup(self.host.close)
        self.script = [head(200, STAMP, STREAM_TYPE)]
        server = RawServer("s1", "pool", self.script)
        await server.start()
        self.addAsyncCleanup(server.close)
        self.host.list_server(server)
        self.upstream = self.host.directory.upstream_by_name["s1"]

    async def test_its_text_is_not_complete(self):
        """It was listed without what the next server had still to send (MIXED)."""
        executor = ItemExecutor(
            clock=Clock(),
            paths=self.host.paths,
            directory=self.host.directory,
            limits=self.host.limits,
            dialect=servers,
        )
        run = ItemRun(Item("r1", "/x", {}, b"x"), 0)
        run.resume([Partial(0, 0, 0, ("event 1", "event 2"), "2", (1,))])
        terms = functools.partial(ItemTerms, "h", 1, False)
        outcome = await executor.attempt(run, self.upstream, terms, lambda count: None)
        self.assertIsInstance(outcome, Broken)

    async def test_a_relay_tells_that_only_the_close_ends_it(self):
        relay = RequestRelay(
            directory=self.host.directory, in_flight=InFlight(), **self.host.sending
        )
        headers = [(b"request-id", b"r1")]
        headers += relay_headers(self.upstream, "POST", 1000, True)
        line = await anext(relay.relay(f"{RELAY_PREFIX}/x", headers, b""))
        self.assertTrue(msgspec.json.decode(line, type=RelayedHead).ends_by_close)

    def test_a_relay_of_the_release_before_is_understood(self):
        line = b'{"status": 200, "headers": []}'
        self.assertFalse(msgspec.json.decode(line, type=RelayedHead).ends_by_close)


class CutHeadTest(RawCase):
    """A server stops in the middle of its response's head and closes."""

    async def check_cuts(self, path, response):
        body_at = response.index(b"\r\n\r\n") + 4
        for size in range(body_at):
            cut = response[:size]
            answer = await self.ask(path, cut, cut, cut)
            self.assertIn(self.status(answer), (502, 503, 504), cut)

    async def test_a_plain_response(self):
        for framing in (b"Content-Length: 2\r\n", CHUNKED, b"Connection: close\r\n"):
            with self.subTest(framing=framing):
                response = head(200, STAMP, framing) + b"ok"
                await self.check_cuts(FETCH_PATH, response)
                await self.check_cuts("/once/x", response)

    async def test_a_stream(self):
        for framing in (CHUNKED, b"Connection: close\r\n"):
            with self.subTest(framing=framing):
                response = head(200, STAMP, STREAM_TYPE, framing) + b"data: x\n\n"
                await self.check_cuts("/stream/x", response)


if __name__ == "__main__":
    unittest.main()
