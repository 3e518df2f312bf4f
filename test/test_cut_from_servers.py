"""Hosts that reach no server, while clients, the store and other hosts reach them.

Such a host stays in use, all the more when it isn't alone; a host that relies on its
own links rejects every caller.
"""

import asyncio
import json
import random
import time
import unittest
from types import SimpleNamespace

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_pool import VERIFIED_IDLE_MS
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.process.host_rows import HostRow
from goldcrestmoor.process.server_paths import REACH_PATH
from goldcrestmoor.process.shutdown import InFlight
from goldcrestmoor.request.path_choice import Reach, choose_host, hosts_to_ask
from goldcrestmoor.request.relayed_messages import (
    encode_head,
    relay_headers,
    relay_terms,
)
from goldcrestmoor.request.request_relay import RequestRelay
from goldcrestmoor.request.server_bodies import MAX_BODY_BYTES, ServerBodies
from test import _common
from test._fleet import ManualClock
from test._front import FETCH_PATH, MODEL, FrontFleet
from test._request_fakes import ListingHost
from test.standins.server import Drop, Response, Server, json_response
from test.standins.users_server import UsersServer, whole_text


class PathChoiceTest(unittest.TestCase):
    """Most hosts of three zones are cut off, and ask about the same servers."""

    ZONES = {f"{zone}-{n:02}": zone for zone in "abc" for n in range(30)}
    LEFT = {host for host in ZONES if int(host[2:]) % 3 == 0}

    def setUp(self):
        self.random = random.Random(1)

    def ask(self, host):
        asked = hosts_to_ask(self.ZONES, host, lambda other: True, self.random.sample)
        return {each: Reach(each in self.LEFT) for each in asked}

    def test_nearly_all_hosts_find_one_that_reaches_a_server(self):
        cut = [host for host in self.ZONES if host not in self.LEFT]
        replies = [self.ask(host) for host in cut]
        self.assertTrue(all(len(each) == 10 for each in replies))
        self.assertFalse(any(host in replies[n] for n, host in enumerate(cut)))
        chosen = [
            choose_host(reply, self.ZONES, host, self.random.choice)
            for host, reply in zip(cut, replies, strict=True)
        ]
        self.assertGreater(sum(host is not None for host in chosen), 0.9 * len(cut))
        most = max(chosen.count(host) for host in self.LEFT)
        self.assertLessEqual(most, 8, "one host relays for most of the others")

    def test_a_host_of_the_same_zone_comes_first(self):
        reach = {"a-01": Reach(True), "b-01": Reach(True), "b-02": Reach(False)}
        chosen = {choose_host(reach, self.ZONES, "b-09") for _ in range(20)}
        self.assertEqual(chosen, {"b-01"})

    def test_without_a_host_that_reaches_the_server_there_is_none(self):
        reach = {"a-01": Reach(False), "b-01": Reach(False, True)}
        self.assertIsNone(choose_host(reach, self.ZONES, "b-09"))


class RelayTermsTest(unittest.TestCase):
    def test_the_server_gets_the_callers_headers_alone(self):
        headers = [(b"host", b"h"), (b"request-id", b"r")]
        upstream = SimpleNamespace(name="s1", started_ms=7)
        sent = headers + relay_headers(upstream, "GET", 99.5, True)
        terms = relay_terms([*sent, (b"traceparent", b"t")])
        self.assertEqual(terms.headers, headers)
        self.assertEqual((terms.server, terms.started_ms), ("s1", 7))
        self.assertEqual(terms.method, "GET")
        self.assertEqual((terms.timeout_ms, terms.is_idempotent), (99, True))

    def test_a_request_without_terms_is_malformed(self):
        with self.assertRaises(ServiceError) as caught:
            relay_terms([(b"relay-server", b"s1")])
        self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)


class KeepingServer(UsersServer):
    """Keeps connections, and may close the first one when it gets a request there.

    :ivar connections_by_id: how many there were when a request came, by its id.
    :ivar closes_kept: whether it closes a connection that is the only one, without
        running the request.
    """

    def __init__(self, name, service):
        super().__init__(name, service)
        self.connections_by_id = {}
        self.closes_kept = False

    async def handle(self, request):
        count = self.connection_count
        self.connections_by_id[request.headers["request-id"]] = count
        if self.closes_kept and count == 1:
            raise Drop
        return await super().handle(request)


class RequestRelayTest(unittest.IsolatedAsyncioTestCase):
    """What a relay checks by itself before it sends a request."""

    async def asyncSetUp(self):
        self.server = KeepingServer("s1", "app")
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.clock = ManualClock()
        host = ListingHost(self.clock, bodies=ServerBodies())
        self.addAsyncCleanup(host.close)
        host.list_server(self.server, born=2)
        self.loads = host.sending["loads"]
        self.in_flight = InFlight()
        self.relay = RequestRelay(
            directory=host.directory, in_flight=self.in_flight, **host.sending
        )

    async def send(self, server="s1", started_ms=2, request_id=b"r1", repeatable=False):
        upstream = SimpleNamespace(name=server, started_ms=started_ms)
        headers = [(b"host", b"h"), (b"request-id", request_id)]
        headers += relay_headers(upstream, "POST", 1000, repeatable)
        chunks = self.relay.relay("/servers/requests/x", headers, b"body")
        return b"".join([chunk async for chunk in chunks])

    async def check_refused(self, kind, **terms):
        with self.assertRaises(ServiceError) as caught:
            await self.send(**terms)
        self.assertEqual(caught.exception.kind, kind)
        self.assertIs(caught.exception.answer.ran, Ran.NOT_RUN)
        self.assertEqual(self.server.seen, [])

    async def test_the_head_comes_before_the_body(self):
        head, _, body = (await self.send()).partition(b"\n")
        self.assertEqual(json.loads(head)["status"], 200)
        self.assertEqual(body, b"answer to body")
        self.assertEqual(self.in_flight.count, 0)

    async def test_a_server_that_is_full_of_bodies_gets_nothing(self):
        """Relayed requests count as well, or a server crashes under them."""
        upstream = SimpleNamespace(name="s1")
        with self.loads.track_request(upstream, MAX_BODY_BYTES):
            await self.check_refused(ErrorKind.OVERLOADED)
        await self.send()
        self.assertEqual(len(self.server.seen), 1)

    async def test_an_unknown_server_gets_nothing(self):
        await self.check_refused(ErrorKind.DRAINING, server="s2")

    async def test_a_server_that_has_started_again_gets_nothing(self):
        """It may have another software version, which can't go on with a text."""
        await self.check_refused(ErrorKind.DRAINING, started_ms=1)

    async def test_a_relay_that_stops_sends_nothing(self):
        self.in_flight.stop()
        await self.check_refused(ErrorKind.DRAINING)

    async def test_what_a_kept_connection_lost_is_not_sent_on_another_one(self):
        """The server has run it when it closes, so that it would run twice."""
        await self.send()
        self.server.lose = True
        with self.assertRaises(ServiceError) as caught:
            await self.send(request_id=b"r2")
        self.assertIs(caught.exception.answer.ran, Ran.UNKNOWN)
        self.assertEqual(self.server.connections_by_id["r2"], 1, "none was kept")
        self.assertEqual(self.server.runs, ["r1", "r2"])

    async def test_what_must_not_be_repeated_takes_no_connection_idle_for_long(self):
        """The server may be closing it as idle, and the request is lost for good."""
        await self.send()
        self.clock._now_ms += VERIFIED_IDLE_MS + 1
        self.server.closes_kept = True
        await self.send(request_id=b"r2")
        self.assertEqual(self.server.runs, ["r1", "r2"])

    async def test_what_may_be_repeated_takes_the_connection_that_is_open(self):
        await self.send()
        self.clock._now_ms += VERIFIED_IDLE_MS + 1
        await self.send(request_id=b"r2", repeatable=True)
        self.assertEqual(self.server.connections_by_id["r2"], 1)


class RelayedRequestTest(unittest.IsolatedAsyncioTestCase):
    """What a host that doesn't reach a server sends to one that does."""

    async def asyncSetUp(self):
        self.relayed = []
        relay = Server(self.handle, "127.0.0.1", 0)
        await relay.start()
        self.addAsyncCleanup(relay.close)
        row = HostRow("zone-a", "127.0.0.1", relay.port)
        self.host = ListingHost(Clock(), {"host-b": row})
        self.addAsyncCleanup(self.host.close)
        server = UsersServer("s1", "app")
        await server.start()
        self.host.list_server(server)
        await server.close()
        self.server = self.host.directory.upstream_by_name["s1"]

    async def handle(self, request):
        if request.path == REACH_PATH:
            return json_response({"is_reached": True})
        self.relayed.append(
            relay_terms([(n.encode(), v.encode()) for n, v in request.headers.items()])
        )
        return Response(200, encode_head(200, []) + b"answer")

    async def send(self, **options):
        sent = self.server, "POST", "/x", [], b"x", 1000
        async with self.host.paths.stream(*sent, **options) as response:
            return await self.host.sending["http"].read_body(response)

    async def test_the_relay_learns_whether_it_may_be_repeated(self):
        for idempotent in (True, False):
            self.assertEqual(await self.send(idempotent=idempotent), b"answer")
            self.assertEqual(self.relayed.pop().is_idempotent, idempotent)

    async def test_the_relay_gets_nothing_for_a_server_that_leaves_meanwhile(self):
        """The relay may not have been told of it."""

        def leave():
            self.host.directory.record_leaving("s1", self.server)
            self.host.directory.check_usable(self.server)

        with self.assertRaises(ServiceError) as caught:
            await self.send(before_send=leave)
        self.assertEqual(caught.exception.kind, ErrorKind.DRAINING)
        self.assertEqual(self.relayed, [])


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Daemons, most of which lose their links to all servers."""

    # From the users' rule: so long after the cut began, first tries are served at least
    # two thirds as often as at the other hosts.
    SETTLE_S = 3.0
    SHARE = 2 / 3
    CUT = ("front-a", "front-b", "front-c")
    REST = ("front-d",)
    REQUESTS_PER_HOST_S = 8
    DURATION_S = 4

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(names=self.CUT + self.REST, linked=self.CUT)
        for name in self.CUT + self.REST:
            await _common.eventually(lambda name=name: self.is_answered(name))

    async def is_answered(self, name):
        answer = await self.fleet.ask(name, "POST", FETCH_PATH, b"x", f"probe-{name}")
        return answer.status == 200

    async def reaches_all_servers(self):
        metrics = await self.fleet.metrics(self.CUT[0])
        return metrics["unreachable_upstreams"] == 0

    def links(self):
        """Yield all links of the daemons that are cut off."""
        for name in self.CUT:
            yield from self.fleet.links_by_host[name].values()

    async def heal(self):
        for link in self.links():
            await link.heal()

    async def press(self, duration_s, path=FETCH_PATH, prefix=""):
        """Press all hosts evenly; return each answer with its host and duration."""

        async def ask(name, number):
            started_s = time.monotonic()
            answer = await self.fleet.ask(
                name, "POST", path, b"x", f"{prefix}{name}-{number}"
            )
            return name, answer, time.monotonic() - started_s

        tasks = []
        for number in range(int(duration_s * self.REQUESTS_PER_HOST_S)):
            tasks += [
                asyncio.create_task(ask(name, number)) for name in self.CUT + self.REST
            ]
            await asyncio.sleep(1 / self.REQUESTS_PER_HOST_S)
        return await asyncio.gather(*tasks)

    def check_served(self, answers):
        """Check that hosts that are cut off serve nearly as often as the others."""

        def served(names):
            statuses = [a.status for name, a, _ in answers if name in names]
            return statuses.count(200) / len(statuses)

        self.assertGreaterEqual(served(self.CUT), self.SHARE * served(self.REST))
        self.assertEqual(served(self.REST), 1)

    async def check_cut(self):
        """Press the hosts during a cut that has begun, and after it."""
        await self.press(self.SETTLE_S, prefix="settle-")
        self.check_served(await self.press(self.DURATION_S, prefix="cut-"))
        await self.heal()
        self.check_served(await self.press(2, prefix="healed-"))

    async def test_connections_that_hang(self):
        for link in self.links():
            await link.leave_unanswered()
        await self.check_cut()

    async def test_connections_that_are_reset_and_refused(self):
        for link in self.links():
            await link.refuse()
        await self.check_cut()

    async def test_open_connections_that_live_on_while_new_ones_are_refused(self):
        for link in self.links():
            link.refuse_new()
        await self.check_cut()

    async def test_no_request_runs_twice(self):
        for link in self.links():
            await link.refuse()
        await self.press(self.SETTLE_S, prefix="settle-")
        answers = await self.press(2, path="/once/x", prefix="once-")
        self.check_served(answers)
        runs = [run for app in self.fleet.apps for run in app.runs if "once-" in run]
        self.assertEqual(len(runs), len(set(runs)))
        served = [name for name, answer, _ in answers if answer.status == 200]
        self.assertEqual(len(runs), len(served))

    async def test_work_ends_when_a_relayed_caller_leaves(self):
        for link in self.links():
            await link.refuse()
        await self.press(self.SETTLE_S, prefix="settle-")
        for app in self.fleet.apps:
            app.delay_s = 5

        def open_connections():
            return sum(app.connection_count for app in self.fleet.apps)

        ask = self.fleet.ask(self.CUT[0], "POST", FETCH_PATH, b"x", "left")
        asking = asyncio.create_task(ask)
        await _common.eventually(
            lambda: any("left" in app.runs for app in self.fleet.apps)
        )
        before = open_connections()
        asking.cancel()
        await _common.eventually(lambda: open_connections() < before, 0.5)

    async def test_requests_that_a_cut_breaks_off_count_as_no_crash(self):
        """The same request is at a server when its host's links are lost, again."""
        for number in range(4):
            for app in self.fleet.apps:
                app.delay_s = 0.5
            ask = self.fleet.ask(
                self.CUT[0], "POST", "/once/x", b"same", f"same-{number}"
            )
            asking = asyncio.create_task(ask)
            await _common.eventually(
                lambda number=number, asking=asking: (
                    asking.done()
                    or any(f"same-{number}" in app.runs for app in self.fleet.apps)
                )
            )
            for link in self.links():
                await link.refuse()
            self.assertEqual((await asking).status, 502)
            for app in self.fleet.apps:
                app.delay_s = 0
            await self.heal()
            await _common.eventually(self.reaches_all_servers)
        metrics = await self.fleet.metrics(self.CUT[0])
        self.assertEqual(metrics["crashed_requests_total"], 0)
        self.assertEqual(metrics["blocked_requests"], 0)

    async def test_a_stream(self):
        for link in self.links():
            await link.refuse()
        await self.press(self.SETTLE_S, prefix="settle-")
        answer = await self.fleet.ask(
            self.CUT[0], "POST", "/stream/x", b"x", "s1", model_name=MODEL
        )
        self.assertEqual(answer.status, 200)
        events = [
            line for line in answer.body.decode().splitlines() if line[:5] == "data:"
        ]
        text = "\n".join(line.removeprefix("data: ") for line in events)
        self.assertEqual(text, whole_text("s1"))
        self.assertNotIn(b"x-request-id", dict(answer.headers))

    async def check_rejected_at_once(self):
        for app in self.fleet.apps:
            await app.close()
        await self.press(self.SETTLE_S, prefix="settle-")
        for _, answer, took_s in await self.press(2, prefix="cut-"):
            self.assertIn(answer.status, (429, 503))
            self.assertIn(b"retry-after", dict(answer.headers))
            self.assertLess(took_s, 0.5)

    async def test_without_any_host_that_reaches_a_server_all_is_rejected_at_once(self):
        for link in self.links():
            await link.refuse()
        await self.check_rejected_at_once()

    async def test_while_all_connections_hang_all_is_rejected_at_once(self):
        for link in self.links():
            await link.leave_unanswered()
        await self.check_rejected_at_once()


class ItemsTest(unittest.IsolatedAsyncioTestCase):
    """The host that runs a job loses its links to all servers, and it alone."""

    HOSTS = ("front-a", "front-b")
    # A trainer waits for a step about this long.
    STEP_S = 7.5

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        for engine in self.fleet.engines:
            engine.events = 40
        await self.fleet.start(names=self.HOSTS, linked=self.HOSTS)

    async def cut_runner(self, job_id):
        """Wait until items run, and cut the links of the host that runs the job."""

        def has_begun():
            return any(engine.runs for engine in self.fleet.engines)

        await _common.eventually(has_begun)
        runner = await _common.eventually(lambda: self.fleet.runner_of(job_id))
        for link in self.fleet.links_by_host[runner].values():
            await link.refuse()

    async def test_a_step_is_whole_in_time(self):
        self.assertEqual(await self.fleet.submit("front-a", "j1", 24), 202)
        started_s = time.monotonic()
        await self.cut_runner("j1")
        results = await self.fleet.all_results("front-a", "j1")
        self.assertLess(time.monotonic() - started_s, self.STEP_S)
        expected = {f"i{n}": whole_text(f"i{n}", 40) for n in range(24)}
        self.assertEqual({r["id"]: r["text"] for r in results}, expected)


if __name__ == "__main__":
    unittest.main()
