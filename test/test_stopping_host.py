"""A stopping host gets requests on kept connections until its process is gone."""

import asyncio
import json
import unittest

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.shutdown import InFlight
from goldcrestmoor.process.stop_schedule import (
    KILL_MARGIN_MS,
    RESPONSE_MARGIN_MS,
    StopSchedule,
)
from goldcrestmoor.request.relayed_messages import RELAY_PREFIX, relay_headers
from goldcrestmoor.request.request_relay import RequestRelay
from test import _common
from test._fleet import ManualClock
from test._front import FETCH_PATH, HOST, MODEL, FrontFleet, configuration
from test._request_fakes import FakeClock, ListingHost
from test.standins.users_server import UsersServer

UNREADY_MS, DRAIN_MS, CLOSE_MS = 500, 2500, 1500
TOTAL_MS = UNREADY_MS + DRAIN_MS + CLOSE_MS
# Longer than the host lives after its stop signal.
LONG_MS = 12_000
EVENT_MS = 100
LONG_EVENTS = 25


class StopScheduleTest(unittest.TestCase):
    """Requests of several lengths, as they arrive over a stop."""

    def test_what_is_accepted_ends_before_the_host(self):
        clock = FakeClock()
        schedule = StopSchedule(clock, UNREADY_MS, DRAIN_MS, CLOSE_MS)
        accepted_by_length = dict.fromkeys((40, 800, 2000, LONG_MS), 0)
        for elapsed_ms in range(UNREADY_MS, TOTAL_MS, 10):
            clock.ms = FakeClock().ms + elapsed_ms
            for length_ms in accepted_by_length:
                if schedule.accepts(length_ms):
                    accepted_by_length[length_ms] += 1
                    self.assertLess(elapsed_ms + length_ms, TOTAL_MS)
        last_ms = TOTAL_MS - RESPONSE_MARGIN_MS
        expected = {
            length_ms: max(0, (last_ms - length_ms - UNREADY_MS) // 10 + 1)
            for length_ms in accepted_by_length
        }
        self.assertEqual(accepted_by_length, expected)

    def test_all_are_accepted_while_the_balancer_may_still_send_them(self):
        clock = FakeClock()
        schedule = StopSchedule(clock, UNREADY_MS, DRAIN_MS, CLOSE_MS)
        clock.ms += UNREADY_MS - 1
        self.assertTrue(schedule.accepts(LONG_MS))

    def test_all_ends_before_the_platform_kills_the_process(self):
        for grace_ms in (200, 3000, 5000, 8000):
            with self.subTest(grace_ms):
                clock = FakeClock()
                schedule = StopSchedule(clock, 2500, 4000, CLOSE_MS, grace_ms)
                last_ms = max(0, grace_ms - KILL_MARGIN_MS)
                self.assertEqual(schedule.end.remaining_ms(), last_ms)
                self.assertLessEqual(schedule.unready.remaining_ms(), last_ms)
                self.assertLessEqual(schedule.drain.remaining_ms(), last_ms)
                clock.ms += min(2500, last_ms)
                left_ms = last_ms - RESPONSE_MARGIN_MS - min(2500, last_ms)
                self.assertFalse(schedule.accepts(max(1, left_ms + 1)))
                if left_ms > 0:
                    self.assertTrue(schedule.accepts(left_ms))

    def test_a_grace_beyond_the_stop_changes_nothing(self):
        clock = FakeClock()
        schedule = StopSchedule(clock, UNREADY_MS, DRAIN_MS, CLOSE_MS, 60_000)
        self.assertEqual(schedule.end.remaining_ms(), TOTAL_MS)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stopping_host_relays_nothing_that_outlasts_it(self):
        """The caller's host goes on, and would lose the response midway."""
        clock, in_flight = ManualClock(), InFlight()
        host = ListingHost(clock)
        self.addAsyncCleanup(host.close)
        server = UsersServer("s1", "app")
        await server.start()
        self.addAsyncCleanup(server.close)
        host.list_server(server)
        relay = RequestRelay(
            directory=host.directory, in_flight=in_flight, **host.sending
        )
        in_flight.schedule = StopSchedule(clock, 0, DRAIN_MS, CLOSE_MS)
        upstream = host.directory.upstream_by_name["s1"]
        headers = [(b"request-id", b"r1")]
        headers += relay_headers(upstream, "POST", LONG_MS, False)
        with self.assertRaises(ServiceError) as caught:
            await anext(relay.relay(f"{RELAY_PREFIX}/x", headers, b""))
        self.assertEqual(caught.exception.kind, ErrorKind.DRAINING)
        self.assertEqual(server.runs, [])


class KeptConnection:
    """A caller's connection, on which it sends one request after the other."""

    def __init__(self, reader, writer):
        self.reader = reader
        self._writer = writer

    def send(self, path, request_id, deadline_ms):
        """Send a request without waiting for its response."""
        model = f"Model-Name: {MODEL}\r\n" if path.startswith("/stream") else ""
        self._writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{model}Content-Length: 1\r\n\r\nx".encode()
        )

    async def head(self):
        """Return the status and the head of the next response; None at the end."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return int(head.split()[1]), head.lower()

    def close(self):
        self._writer.close()


class StoppingHostTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.sections["shutdown"] = {
            "unready_ms": UNREADY_MS,
            "drain_ms": DRAIN_MS,
        }
        self.fleet.configured["stream"] = {"resumable": False, "timeoutMs": LONG_MS}
        for engine in self.fleet.engines:
            engine.events, engine.event_ms = LONG_EVENTS, EVENT_MS
        await self.fleet.start(names=("front-a",))
        await _common.eventually(self.answers)

    async def answers(self):
        """Return whether the host serves requests."""
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", "probe")
        return answer.status == 200

    async def connect(self):
        """Open a connection of a caller."""
        port = self.fleet.ports["front-a"][0]
        connection = KeptConnection(*await asyncio.open_connection("127.0.0.1", port))
        self.addCleanup(connection.close)
        return connection

    async def stop_amid_a_stream(self):
        """Stop the host while a stream that began before keeps it up."""
        busy = await self.connect()
        busy.send("/stream/x", "long", LONG_MS)
        self.assertEqual((await busy.head())[0], 200)
        self.fleet.fronts["front-a"].terminate()
        await asyncio.sleep((UNREADY_MS + 300) / 1000)
        return busy

    async def test_a_request_that_outlasts_the_host_is_refused_at_once(self):
        """It was passed on, and cut off when the host ended (LOST)."""
        busy = await self.stop_amid_a_stream()
        late = await self.connect()
        late.send("/stream/x", "late", LONG_MS)
        status, head = await late.head()
        self.assertEqual(status, 503)
        self.assertIn(b"connection: close", head)
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertNotIn("late", runs)
        rest = await busy.reader.readuntil(b"0\r\n\r\n")
        self.assertIn(f"id: {LONG_EVENTS - 1}\n".encode(), rest)

    async def test_a_request_that_ends_in_time_is_still_served(self):
        await self.stop_amid_a_stream()
        late = await self.connect()
        late.send(FETCH_PATH, "short", 1000)
        self.assertEqual((await late.head())[0], 200)

    async def test_a_request_that_the_end_interrupts_is_told_so(self):
        """It got a bare 500 from the HTTP library, as for an unexpected error."""
        for app in self.fleet.apps:
            app.delay_s = LONG_MS / 1000
        self.fleet.store.put(
            "op", "config", configuration(9, fetch={"timeoutMs": LONG_MS})
        )
        await asyncio.sleep(0.5)
        busy = await self.connect()
        busy.send(FETCH_PATH, "long", LONG_MS)
        await _common.eventually(
            lambda: any("long" in app.runs for app in self.fleet.apps)
        )
        self.fleet.fronts["front-a"].terminate()
        status, _ = await busy.head()
        self.assertEqual(status, 502)
        body = json.loads(await busy.reader.read())
        self.assertEqual(body["code"], "outcome_unknown")

    async def test_kept_connections_are_closed_before_they_are_used_in_vain(self):
        """Their callers open new ones, to hosts that stay."""
        kept = await self.connect()
        kept.send(FETCH_PATH, "before", 1000)
        self.assertEqual((await kept.head())[0], 200)
        await self.stop_amid_a_stream()
        async with asyncio.timeout(0.5):
            self.assertIsNone(await kept.head())
        self.assertTrue(self.fleet.fronts["front-a"].alive())


class GraceTest(unittest.IsolatedAsyncioTestCase):
    """The platform kills the process at the end of its grace, whatever it does then.

    Requests that may not be repeated were cut there without a word (LOST).
    """

    # As on all sheets of the users.
    GRACE_S = 8

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        routes = [
            {"name": "long", "pathPrefix": "/long/", "routeType": "unsafe"}
            | {"timeoutMs": 2 * LONG_MS}
        ]
        self.fleet.configured["more_routes"] = routes
        for app in self.fleet.apps:
            app.delay_s = LONG_MS / 1000
        self.fleet.host_fields = {"grace_s": self.GRACE_S}
        await self.fleet.start(names=("front-a",))

    async def test_whatever_reached_a_server_is_answered_before_the_kill(self):
        port = self.fleet.ports["front-a"][0]
        front = self.fleet.fronts["front-a"]
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(38)]
        kept = [KeptConnection(*stream) for stream in streams]
        for connection in kept:
            self.addCleanup(connection.close)
        front.terminate()
        heads = []
        for number, connection in enumerate(kept):
            connection.send("/long/x", f"r{number}", 2 * LONG_MS)
            heads.append(asyncio.create_task(connection.head()))
            await asyncio.sleep(self.GRACE_S / len(kept))
        front.kill()
        runs = {run for app in self.fleet.apps for run in app.runs}
        self.assertGreater(len(runs), 5)
        for number, head in enumerate(await asyncio.gather(*heads)):
            if f"r{number}" in runs:
                self.assertIsNotNone(head, f"request {number} was cut")
                self.assertEqual(head[0], 502)
            else:
                self.assertTrue(head is None or head[0] == 503)


if __name__ == "__main__":
    unittest.main()
