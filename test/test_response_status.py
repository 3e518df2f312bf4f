"""Servers in trouble that answer with a status that HTTP doesn't have, and odd relays.

Such bytes are no answer: a client that gets them as one, or an item that is listed by
them, takes a failure for the server's word.
"""

import asyncio
import contextlib
import unittest
from types import SimpleNamespace

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.relayed_messages import RelayedResponse, encode_head
from test import _common
from test._front import FETCH_PATH, MODEL, FrontFleet, item
from test.standins.users_server import UsersServer, whole_text

STATUSES = ("000", "001", "099", "600", "999")
HEAD = (
    "HTTP/1.1 {} Odd\r\nrequest-id: {}\r\nserver-stamp: s\r\nweight-versions: 1\r\n"
    "content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n"
)
BODY = "id: 0\ndata: odd\n\n"
EVENTS = 4
BLOCK_BYTES = 16_384


class OddStatusServer(UsersServer):
    """Answers every request with the same status.

    :ivar status: the three digits.
    """

    def __init__(self, name, service, models=None):
        super().__init__(name, service, models)
        self.status = STATUSES[0]

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
            await reader.readexactly(int(lines.get("content-length", 0)))
            request_id = lines["request-id"]
            self.runs.append(request_id)
            head = HEAD.format(self.status, request_id, len(BODY))
            writer.write((head + BODY).encode())
            await writer.drain()
        writer.close()


class OddStatusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.app = OddStatusServer("app-0", "app")
        self.engine = OddStatusServer("engine-0", "pool", {MODEL: 1})

    async def start(self, has_others=False):
        others = slice(1, None if has_others else 1)
        self.fleet.apps = [self.app, *self.fleet.apps[others]]
        self.fleet.engines = [self.engine, *self.fleet.engines[others]]
        await self.fleet.start(names=("front-a",))

    async def test_callers_get_an_error_of_the_host(self):
        await self.start()
        headers = item("s")["headers"]
        for status in STATUSES:
            self.app.status = self.engine.status = status
            for path in (FETCH_PATH, "/once/x", "/stream/x"):
                with self.subTest(status=status, path=path):
                    answer = await self.fleet.ask(
                        "front-a",
                        "POST",
                        path,
                        b"x",
                        f"r{status}-{path[1:3]}",
                        **headers,
                    )
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(b"server-stamp", dict(answer.headers))
                    # What may not be repeated ran at most once.
                    if path == "/once/x":
                        self.assertEqual(self.app.runs.count(f"r{status}-on"), 1)

    async def test_a_request_that_may_be_repeated_is_served_elsewhere(self):
        await self.start(has_others=True)
        for status in STATUSES:
            self.app.status = status
            for number in range(4):
                answer = await self.fleet.ask(
                    "front-a", "POST", FETCH_PATH, b"x", f"r{status}-{number}"
                )
                self.assertEqual(answer.status, 200, status)

    async def test_items_are_run_by_the_other_engine(self):
        await self.start(has_others=True)
        for status in STATUSES:
            self.engine.status, runs = status, len(self.engine.runs)
            self.engine.born += 1
            await asyncio.sleep(1)
            await self.fleet.submit("front-a", f"j{status}", 8, prefix=f"i{status}-")
            for result in await self.fleet.all_results("front-a", f"j{status}"):
                self.assertEqual(result["text"], whole_text(result["id"], EVENTS))
            await _common.eventually(lambda runs=runs: len(self.engine.runs) > runs)


class RelayedHeadTest(unittest.IsolatedAsyncioTestCase):
    """A host of the release before relays such a response as it is."""

    async def test_it_is_a_failure(self):
        for status in map(int, STATUSES):

            async def body(status=status):
                yield encode_head(status, [(b"server-stamp", b"s")])

            response = SimpleNamespace(body=body, target=("10.0.0.1", 80))
            with self.subTest(status), self.assertRaises(ServiceError) as caught:
                await RelayedResponse.open(response)
            self.assertIs(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_an_endless_head_is_given_up(self):
        """Something else may listen at the address of a host that is gone."""
        sent = 0

        async def body():
            nonlocal sent
            while sent < 64 << 20:
                sent += BLOCK_BYTES
                yield b"x" * BLOCK_BYTES

        response = SimpleNamespace(body=body, target=("10.0.0.1", 80))
        with self.assertRaises(ServiceError) as caught:
            await RelayedResponse.open(response)
        self.assertIs(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)
        self.assertLess(sent, 1 << 20)


if __name__ == "__main__":
    unittest.main()
