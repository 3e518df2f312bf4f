"""Servers that send without end to the items of batch jobs, and to many callers.

Each event is valid by itself, so that only the item's token limit and the host's memory
tell that the output is no answer. A host that keeps all of it is ended for its memory,
with the requests of all its other callers.
"""

import asyncio
import contextlib
import pathlib
import re
import time
import unittest

from test import _common
from test._front import FETCH_PATH, HOST, MODEL, FrontFleet
from test.standins.users_server import UsersServer, whole_text
from test.test_endless_responses import BODIES, HEADS, STREAM, EndlessServer

# The smallest host of the users' deployments.
MEMORY_MB = 128
ITEMS = 32
CALLERS = 100
EVENTS = 20
EVENT_BYTES = {"ascii": "x" * 2000, "wide": "\U0001f600" * 500, "long": "x" * 100_000}


class NumberedServer(UsersServer):
    """Sends numbered events without end, as fast as they are read.

    :ivar data: the data of each event.
    :ivar open_count: how many connections with a response are open.
    """

    def __init__(self, name, service, models=None):
        super().__init__(name, service, models)
        self.data = EVENT_BYTES["ascii"]
        self.open_count = 0
        self._listener = None

    async def start(self, port=0):
        await super().start(port)
        self._listener = await asyncio.start_server(self._respond, "127.0.0.1", 0)

    def entry(self, state="ready", **fields):
        port = self._listener.sockets[0].getsockname()[1]
        return super().entry(state, address=f"127.0.0.1:{port}", slots=24, **fields)

    async def close(self):
        self._listener.close()
        await super().close()

    async def _respond(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            lines = dict(line.split(": ", 1) for line in head.splitlines()[1:] if line)
            request_id = lines["request-id"]
            self.runs.append(request_id)
            number = int(lines.get("last-event-id", "-1")) + 1
            self.open_count += 1
            try:
                writer.write((STREAM.format("200 OK", request_id) + "\r\n").encode())
                while True:
                    writer.write(f"id: {number}\ndata: {self.data}\n\n".encode())
                    number += 1
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                self.open_count -= 1
                writer.transport.abort()


def peak_bytes(fleet):
    """Return the most memory that the daemon of a fleet has had."""
    status = pathlib.Path(f"/proc/{fleet.fronts['front-a'].pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) << 10


class EndlessItemsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The checks of the debug mode would slow the servers down.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.host_fields = {"memory_mb": MEMORY_MB}
        self.endless = NumberedServer("engine-0", "pool", {MODEL: 1})
        self.fleet.engines[0] = self.endless
        self.fleet.engines[1].events = EVENTS
        await self.fleet.start(names=("front-a",))

    async def test_items_are_run_by_the_other_engine_within_the_hosts_memory(self):
        for name, data in EVENT_BYTES.items():
            with self.subTest(name):
                self.endless.data, runs = data, len(self.endless.runs)
                # A restarted engine gets items at once, unlike one that sent too much.
                self.endless.born += 1
                await asyncio.sleep(1)
                await self.fleet.submit("front-a", f"j-{name}", ITEMS, prefix=name)
                results = await self.fleet.all_results("front-a", f"j-{name}")
                self.assertGreater(len(self.endless.runs), runs)
                for result in results:
                    self.assertEqual(result["text"], whole_text(result["id"], EVENTS))
                await _common.eventually(lambda: self.endless.open_count == 0)
                self.assertLess(peak_bytes(self.fleet), MEMORY_MB * 1_000_000)

    async def test_other_callers_are_served_meanwhile(self):
        await self.fleet.submit("front-a", "j", ITEMS)
        for number in range(20):
            started_s = time.monotonic()
            answer = await self.fleet.ask(
                "front-a", "POST", FETCH_PATH, b"x", f"r{number}"
            )
            self.assertEqual(answer.status, 200)
            self.assertLess(time.monotonic() - started_s, 2)
        await self.fleet.all_results("front-a", "j")
        self.assertLess(peak_bytes(self.fleet), MEMORY_MB * 1_000_000)


class ManyCallersTest(unittest.IsolatedAsyncioTestCase):
    """What is read of each response and not taken yet adds up over many callers."""

    async def asyncSetUp(self):
        # The checks of the debug mode would slow the servers down.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.host_fields = {"memory_mb": MEMORY_MB}
        self.fleet.apps = [EndlessServer("app-0", "app")]
        self.fleet.engines = [NumberedServer("engine-0", "pool", {MODEL: 1})]
        await self.fleet.start(names=("front-a",))

    def check_memory(self):
        self.assertLess(peak_bytes(self.fleet), MEMORY_MB * 1_000_000)

    async def test_heads_and_whole_bodies(self):
        for name, mode in {**HEADS, **BODIES}.items():
            self.fleet.apps[0].mode = mode

            async def ask(number, name=name):
                answer = await self.fleet.ask(
                    "front-a", "POST", FETCH_PATH, b"x", f"{name[:4]}-{number}"
                )
                return answer.status

            statuses = await asyncio.gather(*map(ask, range(CALLERS)))
            self.assertLessEqual(set(statuses), {429, 500, 502, 503, 504})
        self.check_memory()

    async def test_streams_of_slow_callers(self):
        head = (
            "POST /stream/x HTTP/1.1\r\nhost: {}\r\nrequest-id: s{}\r\n"
            "content-length: 0\r\nmodel-name: {}\r\n\r\n"
        )
        port = self.fleet.ports["front-a"][0]

        async def read_slowly(number):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.format(HOST, number, MODEL).encode())
            received = 0
            for _ in range(6):
                received += len(await reader.read(65_536))
                await asyncio.sleep(0.5)
            writer.transport.abort()
            return received

        received = await asyncio.gather(*map(read_slowly, range(CALLERS)))
        self.assertGreater(min(received), 65_536)
        self.check_memory()


if __name__ == "__main__":
    unittest.main()
