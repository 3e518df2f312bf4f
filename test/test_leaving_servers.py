"""Servers that say in their responses that they leave, while the list shows them ready.

A server's entry may lag by seconds or stay as it was while the store is away. A host
that has passed on such a response and still sends requests there has them cut off when
the server exits.
"""

import asyncio
import contextlib
import functools
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.connection.http_pool import HttpPool
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.job.item_run import ItemExecutor, ItemRun, ItemTerms, NotRun
from goldcrestmoor.job.job import Item, RewardCall
from goldcrestmoor.job.reward_calls import RewardCaller
from goldcrestmoor.platform import servers
from goldcrestmoor.platform.servers import EngineControlClient
from goldcrestmoor.process import directory
from goldcrestmoor.process.directory import ListedUpstream, UpstreamDirectory
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.shutdown import InFlight
from goldcrestmoor.process.stream_versions import StreamVersions
from goldcrestmoor.request.forwarding import CallerRequest, Forwarder
from goldcrestmoor.request.relayed_messages import RELAY_PREFIX, relay_headers
from goldcrestmoor.request.request_relay import RequestRelay
from goldcrestmoor.request.streaming import StreamForwarder
from goldcrestmoor.version.configuration.routes import (
    RetryPolicy,
    Route,
    RouteKind,
    ServiceShare,
)
from goldcrestmoor.version.weights.engine_report import LoadMode
from test import _common
from test._fleet import ManualClock
from test._front import FETCH_PATH, MODEL, FrontFleet, item
from test._request_fakes import ListingHost
from test.standins.users_server import UsersServer, whole_text

LEAVING = [(b"server-leaving", b"1")]
SERVICE = "app"
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    retry_policy=RetryPolicy.RESUMABLE,
    shares=(ServiceShare(SERVICE),),
    timeout_ms=2000,
    attempts=4,
    target_ms=1000,
)


def decode(key, value):
    service, started_ms, *port = value.decode().split()
    return ListedUpstream(
        name=key,
        service=service,
        address="127.0.0.1",
        port=int(*port),
        zone="a",
        slots=6,
        started_ms=int(started_ms),
    )


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.directory = UpstreamDirectory(
            clock=ManualClock(), decode=decode, metrics=Metrics(), age_ms=lambda: 0
        )
        self.write("s1", b"app 10")
        self.write("s2", b"app 10")
        self.first = self.directory.upstream_by_name["s1"]

    def write(self, key, value):
        self.directory.apply([Change(key, 1, value)])

    def names(self):
        return [upstream.name for upstream in self.directory.usable("app")]

    def test_it_stays_excluded_when_its_entry_comes_back(self):
        self.directory.record_leaving("s1", self.first)
        self.assertEqual(self.names(), ["s2"])
        self.write("s1", None)
        self.write("s1", b"app 10")
        self.assertEqual(self.names(), ["s2"])
        # An entry by another writer has no start time.
        self.write("s1", b"app 0")
        self.assertEqual(self.names(), ["s2"])

    def test_it_is_excluded_when_its_entry_expired_before_the_response_came(self):
        self.write("s1", None)
        self.directory.record_leaving("s1", self.first)
        self.write("s1", b"app 10")
        self.assertEqual(self.names(), ["s2"])

    def test_a_server_that_restarted_under_its_id_is_used_again(self):
        self.directory.record_leaving("s1", self.first)
        self.write("s1", b"app 11")
        self.assertEqual(self.names(), ["s1", "s2"])

    def test_it_is_asked_again_right_before_a_request_is_sent(self):
        self.directory.check_usable(self.first)
        self.directory.record_leaving("s1", self.first)
        with self.assertRaises(ServiceError) as caught:
            self.directory.check_usable(self.first)
        self.assertEqual(caught.exception.kind, ErrorKind.DRAINING)
        self.assertIs(caught.exception.answer.ran, Ran.NOT_RUN)

    def test_the_record_is_bounded_and_keeps_listed_servers(self):
        self.directory.record_leaving("s1", self.first)
        for number in range(directory.MAX_LEAVING + 10):
            name = f"gone-{number}"
            self.write(name, b"app 10")
            gone = self.directory.upstream_by_name[name]
            self.directory.record_leaving(name, gone)
            self.write(name, None)
        self.assertEqual(self.names(), ["s2"])
        self.assertLessEqual(
            len(self.directory._leaving_start_by_name), directory.MAX_LEAVING
        )


class HeaderTest(unittest.TestCase):
    def test_a_server_speaks_for_itself(self):
        for status in (200, 500, 503):
            self.assertEqual(servers.leaving_server("s1", status, LEAVING), "s1")
        self.assertIsNone(servers.leaving_server("s1", 200, []))
        others = [(b"server-leaving", b"0")]
        self.assertIsNone(servers.leaving_server("s1", 200, others))

    def test_another_server_at_the_address_does_not_mark_the_expected_one(self):
        self.assertIsNone(servers.leaving_server("s1", 421, LEAVING))
        headers = [*LEAVING, (b"instance-id", b"s9")]
        self.assertEqual(servers.leaving_server("s1", 421, headers), "s9")


class LeavingServersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(names=("front-a",))
        await _common.eventually(lambda: self.answers("probe"))

    async def answers(self, request_id):
        answer = await self.fleet.ask(
            "front-a", "POST", FETCH_PATH, b"x", request_id=request_id
        )
        return answer.status == 200

    async def fetch_until_run_by(self, server):
        """Send requests until a server has run one more of them."""
        before = len(server.runs)
        for number in range(40):
            self.assertTrue(await self.answers(f"{server.name}-{number}"))
            if len(server.runs) > before:
                return
        self.fail(f"{server.name} got no request")

    def last_used(self):
        return max(self.fleet.apps, key=lambda app: len(app.runs))

    async def test_it_gets_no_more_requests_while_the_store_is_away(self):
        leaving = self.last_used()
        self.fleet.store.mode = "reset"
        leaving.leaving = True
        await self.fetch_until_run_by(leaving)
        runs = len(leaving.runs)
        for number in range(20):
            self.assertTrue(await self.answers(f"later-{number}"))
        self.assertEqual(len(leaving.runs), runs)

    async def test_a_rejection_says_so_too(self):
        leaving = self.last_used()
        leaving.leaving = leaving.refusing = True
        for number in range(10):
            self.assertTrue(await self.answers(f"r{number}"))
        seen = [headers for path, headers, _ in leaving.seen if path == FETCH_PATH]
        ids = [h["request-id"] for h in seen if h["request-id"] != "probe"]
        self.assertEqual(len(ids), 1, ids)

    async def test_a_response_to_another_request_excludes_nobody(self):
        leaving = self.last_used()
        leaving.leaving, leaving.echo = True, "another"
        await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", "r1")
        leaving.leaving, leaving.echo = False, None
        await asyncio.sleep(1.2)  # the cool-down after a failed request
        # The connection of the foreign response is closed, and new ones are avoided.
        for app in self.fleet.apps:
            app.refusing = app is not leaving
        await self.fetch_until_run_by(leaving)

    async def test_requests_are_refused_at_once_when_all_leave(self):
        for app in self.fleet.apps:
            app.leaving = True
        for number in range(2):
            await self.answers(f"r{number}")
        runs = [len(app.runs) for app in self.fleet.apps]
        started_s = time.monotonic()
        answer = await self.fleet.ask("front-a", "POST", FETCH_PATH, b"x", "r9")
        self.assertLess(time.monotonic() - started_s, 0.5)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", dict(answer.headers))
        self.assertEqual([len(app.runs) for app in self.fleet.apps], runs)

    async def test_an_engine_finishes_its_items_and_gets_no_others(self):
        leaving, staying = self.fleet.engines
        for engine in self.fleet.engines:
            engine.events = 60
        leaving.leaving = True
        await self.fleet.submit("front-a", "j1", 24)
        results = await self.fleet.all_results("front-a", "j1")
        self.assertEqual(len(results), 24)
        for result in results:
            self.assertEqual(result["text"], whole_text(result["id"], 60))
        # Four slots are filled before the first response arrives.
        self.assertLessEqual(len(leaving.runs), 4)
        self.assertGreater(len(staying.runs), 12)
        self.assertEqual(len(leaving.runs) + len(staying.runs), 24)

    async def test_it_gets_no_load_order(self):
        leaving, staying = self.fleet.engines
        await self.fleet.submit("front-a", "j1", 24)
        await self.fleet.all_results("front-a", "j1")
        leaving.leaving = True
        await self.fleet.submit("front-a", "j2", 24, prefix="k")
        await self.fleet.all_results("front-a", "j2")
        self.fleet.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        await _common.eventually(lambda: staying.models[MODEL] == 2)
        await asyncio.sleep(1)
        self.assertEqual(leaving.orders, [])

    async def test_a_stream_excludes_its_engine(self):
        for engine in self.fleet.engines:
            engine.leaving = True
        headers = item("s")["headers"]
        for number in range(4):
            await self.fleet.ask(
                "front-a", "POST", "/stream/x", b"", f"s{number}", **headers
            )
        runs = [len(engine.runs) for engine in self.fleet.engines]
        self.assertEqual(runs, [1, 1])


class ConnectingTest(unittest.IsolatedAsyncioTestCase):
    """A server says that it leaves while a connection to it is opened."""

    async def asyncSetUp(self):
        self.clock = Clock()
        self.host = ListingHost(self.clock)
        self.addAsyncCleanup(self.host.close)
        self.directory = self.host.directory
        self.servers = [UsersServer(f"s{n}", SERVICE, {MODEL: 1}) for n in range(2)]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
            self.host.list_server(server)
        self.left = None
        self.connections_before_leaving = 0
        acquire = HttpPool.acquire

        async def acquire_slowly(pool, target, deadline, idempotent, fresh, *args):
            connection = await acquire(pool, target, deadline, idempotent, fresh, *args)
            if fresh:
                # A probe, on which no request follows.
                return connection
            self.connections_before_leaving -= 1
            if self.connections_before_leaving == -1:
                self.left = next(s for s in self.servers if s.port == target[1])
                upstream = self.directory.upstream_by_name[self.left.name]
                self.directory.record_leaving(self.left.name, upstream)
            return connection

        patch = mock.patch.object(HttpPool, "acquire", acquire_slowly)
        patch.start()
        self.addCleanup(patch.stop)

    def check_only_the_other_ran_it(self):
        self.assertEqual(self.left.seen, [])
        self.assertEqual([len(s.runs) for s in self.servers if s != self.left], [1])

    def request(self, resumed_id=None):
        headers = ((b"model-name", MODEL.encode()), (b"request-id", b"r1"))
        return CallerRequest("r1", "POST", "/x", headers, b"x", resumed_id)

    async def test_a_plain_request(self):
        headers = ((b"request-id", b"r1"),)
        request = CallerRequest("r1", "POST", "/x", headers, b"x")
        deadline = Deadline.after(self.clock, 2000)
        forwarder = Forwarder(**self.host.caller_sending())
        answer = await forwarder.forward(request, ROUTE, deadline)
        self.assertEqual(answer.body, b"answer to x")
        self.check_only_the_other_ran_it()

    async def read_stream(self, request):
        calls = HostCalls(clock=self.clock, http=None, row_by_host=dict)
        versions = StreamVersions(
            clock=self.clock,
            calls=calls,
            host_id="host-a",
            list_age_ms=lambda: 0,
        )
        versions.observe(self.directory.upstream_by_name.values())
        await versions.begin("s", SERVICE, "v1")
        forwarder = StreamForwarder(versions=versions, **self.host.caller_sending())
        deadline = Deadline.after(self.clock, 2000)
        answer = await forwarder.forward(request, ROUTE, deadline)
        async with contextlib.aclosing(answer.events) as events:
            return b"".join([event async for event in events]).count(b"data:")

    async def test_a_stream(self):
        self.assertEqual(await self.read_stream(self.request()), 4)
        self.check_only_the_other_ran_it()

    async def test_a_stream_that_is_taken_up_again(self):
        self.assertEqual(await self.read_stream(self.request("s")), 4)
        self.check_only_the_other_ran_it()

    async def test_a_stream_that_broke_off(self):
        for server in self.servers:
            server.cut_after = 2
        self.connections_before_leaving = 1
        with self.assertRaises(ServiceError):
            await self.read_stream(self.request())
        self.check_only_the_other_ran_it()

    async def test_a_request_of_another_host(self):
        relay = RequestRelay(
            directory=self.directory, in_flight=InFlight(), **self.host.sending
        )
        server = self.directory.upstream_by_name["s0"]
        headers = [(b"request-id", b"r1"), *relay_headers(server, "POST", 1000, True)]
        with self.assertRaises(ServiceError) as caught:
            async for _ in relay.relay(f"{RELAY_PREFIX}/x", headers, b"x"):
                pass
        self.assertEqual(caught.exception.kind, ErrorKind.DRAINING)
        self.assertIs(caught.exception.answer.ran, Ran.NOT_RUN)
        self.assertEqual(self.left.seen, [])

    async def test_an_item(self):
        executor = ItemExecutor(
            clock=self.clock,
            paths=self.host.paths,
            directory=self.directory,
            limits=self.host.limits,
            dialect=servers,
        )
        run = ItemRun(Item("i1", "/x", {"model-name": MODEL}, b"x"), 0)
        engine = self.directory.upstream_by_name["s0"]
        terms = functools.partial(ItemTerms, "h", 1, False)
        outcome = await executor.attempt(run, engine, terms, lambda count: None)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(self.left.seen, [])

    async def test_a_load_order(self):
        client = EngineControlClient(
            http=self.host.sending["http"],
            directory=self.directory,
            limits=self.host.limits,
        )
        with self.assertRaises(ServiceError) as caught:
            await client.load(
                self.directory.upstream_by_name["s0"],
                model=MODEL,
                version=2,
                mode=LoadMode.WAIT,
                holder="host-a",
                fencing=1,
                accepted=0,
            )
        self.assertEqual(caught.exception.kind, ErrorKind.DRAINING)
        self.assertEqual(self.left.seen, [])

    async def test_a_reward_call(self):
        caller = RewardCaller(
            clock=self.clock,
            paths=self.host.paths,
            routes=lambda: SimpleNamespace(
                match=lambda host, path: ROUTE, sent_account=lambda account: None
            ),
            open_models=lambda: 1,
            **self.host.sending,
        )
        self.addAsyncCleanup(caller.close)
        item = Item("i1", "/x", {}, b"", reward_call=RewardCall("c1", "h", "/s", b""))
        run = ItemRun(item, 0)
        finished = asyncio.Event()
        job_run = SimpleNamespace(
            job=SimpleNamespace(id="j", model=MODEL, account=""),
            priority=1,
            due_ms=self.clock.now_ms() + 7500,
            scoring_by_id={"i1": run},
            missing_in_group=lambda group: 1,
            remaining_ms=lambda: 30_000,
            finish=lambda *result: finished.set(),
        )
        caller.add(job_run, run)
        sending = asyncio.ensure_future(caller.run())
        self.addCleanup(sending.cancel)
        async with asyncio.timeout(5):
            await finished.wait()
        self.assertEqual(run.score, "stamp-c1")
        self.check_only_the_other_ran_it()


if __name__ == "__main__":
    unittest.main()
