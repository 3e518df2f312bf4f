"""A server sends a response a second time, where the one to the next request is due.

The copy names the request that it belongs to. Taken for the response to the next one, a
refusal says that a request was not run which the server runs right then.
"""

import functools
import unittest
from types import SimpleNamespace

from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.job.item_run import Broken, ItemExecutor, ItemRun, ItemTerms
from goldcrestmoor.job.job import Item, RewardCall
from goldcrestmoor.job.reward_calls import PendingCall, RewardCaller
from goldcrestmoor.platform import servers
from goldcrestmoor.process.shutdown import InFlight
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
from test._request_fakes import ListingHost
from test.standins.users_server import UsersServer

MODEL = "m0"
TIMEOUT_MS = 2000
# At once, and well before the pool looks for idle connections to close.
CLOSE_TIMEOUT_S = 2
REFUSAL = b"HTTP/1.1 503 Busy\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Misdirected\r\n%sContent-Length: 0\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Failed\r\n%sContent-Length: 0\r\n\r\n"
OTHER_ID = b"Request-Id: earlier\r\n"
COPIES = (REFUSAL % OTHER_ID, MISDIRECTED % OTHER_ID, REFUSAL % b"", FAILURE % b"")


def make_route(service, retry_policy, kind=RouteKind.PLAIN):
    """Return a route that allows three upstreams."""
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        retry_policy=retry_policy,
        shares=(ServiceShare(service),),
        timeout_ms=TIMEOUT_MS,
        target_ms=400,
        attempts=3,
    )


def request(request_id, *headers):
    """Return a caller's request."""
    pairs = ((b"host", b"h"), (b"request-id", request_id.encode()), *headers)
    return CallerRequest(request_id, "POST", "/x", pairs, b"x")


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock()
        self.host = ListingHost(self.clock)
        self.addAsyncCleanup(self.host.close)
        self.servers = []

    async def start_servers(self, service, models=None):
        self.servers = [UsersServer(f"s{n}", service, models) for n in range(2)]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
            self.host.list_server(server)

    def send_copies(self, copy):
        """Let each server send bytes before its next response."""
        for server in self.servers:
            server.late_copy = copy

    def runs(self, request_id):
        return sum(server.runs.count(request_id) for server in self.servers)

    async def test_an_unsafe_request_is_not_sent_again_for_anothers_refusal(self):
        """It ran twice, or was refused as not run and ran (TWICE, REFUSED)."""
        await self.start_servers("app")
        forwarder = Forwarder(**self.host.caller_sending())
        route = make_route("app", RetryPolicy.NEVER)
        for number, copy in enumerate(COPIES):
            with self.subTest(copy=copy):
                self.send_copies(copy)
                deadline = Deadline.after(self.clock, TIMEOUT_MS)
                with self.assertRaises(ServiceError) as caught:
                    await forwarder.forward(request(f"r{number}"), route, deadline)
                self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)
                self.assertEqual(self.runs(f"r{number}"), 1)

    async def test_a_stream_that_cannot_resume_is_not_sent_again(self):
        await self.start_servers("pool", {MODEL: 1})
        streams = StreamForwarder(versions=None, **self.host.caller_sending())
        route = make_route("pool", RetryPolicy.NEVER, RouteKind.STREAM)
        self.send_copies(REFUSAL % OTHER_ID)
        with self.assertRaises(ServiceError) as caught:
            await streams.forward(
                request("r1", (b"model-name", MODEL.encode())),
                route,
                Deadline.after(self.clock, TIMEOUT_MS),
            )
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)
        self.assertEqual(self.runs("r1"), 1)

    async def test_an_item_is_not_taken_for_refused(self):
        """Its engine would count as full, and the item as never started."""
        await self.start_servers("pool", {MODEL: 1})
        executor = ItemExecutor(
            clock=self.clock,
            paths=self.host.paths,
            directory=self.host.directory,
            limits=self.host.limits,
            dialect=servers,
        )
        run = ItemRun(Item("i0", "/x", {"Model-Name": MODEL}, b"x"), 0)
        engine = self.host.directory.upstream_by_name["s0"]
        self.send_copies(REFUSAL % OTHER_ID)
        terms = functools.partial(ItemTerms, "h", 1, False)
        outcome = await executor.attempt(run, engine, terms, lambda count: None)
        self.assertIsInstance(outcome, Broken)

    async def test_a_reward_call_is_not_taken_for_refused(self):
        """It would not count as a possible run at that server."""
        await self.start_servers("app")
        rewards = RewardCaller(
            clock=self.clock,
            paths=self.host.paths,
            routes=lambda: SimpleNamespace(sent_account=lambda account: None),
            open_models=lambda: 1,
            **self.host.sending,
        )
        self.addAsyncCleanup(rewards.close)
        reward_call = RewardCall("c1", "h", "/x", b"x")
        item = Item("i0", "/x", {}, b"x", reward_call=reward_call)
        job_run = SimpleNamespace(
            job=SimpleNamespace(account=""), remaining_ms=lambda: TIMEOUT_MS
        )
        call = PendingCall(job_run, ItemRun(item, 0), self.clock.now_ms())
        self.send_copies(REFUSAL % OTHER_ID)
        server = self.host.directory.upstream_by_name["s0"]
        route = make_route("app", RetryPolicy.IDEMPOTENT)
        outcome = await rewards._attempt(call, server, route)
        self.assertEqual(outcome.ran, Ran.UNKNOWN)

    async def test_a_load_order_is_not_answered_by_another_response(self):
        """A copied 200 would tell that the engine has the version already."""
        await self.start_servers("pool", {MODEL: 1})
        engines = servers.EngineControlClient(
            http=self.host.sending["http"],
            directory=self.host.directory,
            limits=self.host.limits,
        )
        copy = b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n" % OTHER_ID
        self.send_copies(copy)
        with self.assertRaises(ServiceError) as caught:
            await engines.load(
                self.host.directory.upstream_by_name["s0"],
                model=MODEL,
                version=2,
                mode=LoadMode.WAIT,
                holder="host-a",
                fencing=1,
                accepted=None,
            )
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_a_connection_on_which_a_copy_came_is_not_used_again(self):
        """The right response, still under way, would be the copy of the next one."""
        await self.start_servers("app")
        forwarder = Forwarder(**self.host.caller_sending())
        route = make_route("app", RetryPolicy.IDEMPOTENT)
        self.servers[0].late_copy = REFUSAL % OTHER_ID
        deadline = Deadline.after(self.clock, TIMEOUT_MS)
        while self.servers[0].late_copy is not None:
            answer = await forwarder.forward(request("r1"), route, deadline)
            self.assertEqual(answer.status, 200)
        await _common.eventually(
            lambda: not self.servers[0].connection_count, CLOSE_TIMEOUT_S
        )

    async def test_a_relay_closes_a_connection_on_which_a_copy_came(self):
        await self.start_servers("app")
        relay = RequestRelay(
            directory=self.host.directory,
            in_flight=InFlight(),
            **self.host.sending,
        )
        server = self.host.directory.upstream_by_name["s0"]
        headers = [
            *request("r1").headers,
            *relay_headers(server, "POST", TIMEOUT_MS, False),
        ]
        self.send_copies(REFUSAL % OTHER_ID)
        received = [
            item async for item in relay.relay(f"{RELAY_PREFIX}/x", headers, b"")
        ]
        self.assertIn(b"earlier", received[0])
        await _common.eventually(
            lambda: not self.servers[0].connection_count, CLOSE_TIMEOUT_S
        )


if __name__ == "__main__":
    unittest.main()
