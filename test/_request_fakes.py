"""Fakes of what a request depends on: clock, lease, peer links, membership."""

import asyncio
import contextlib
import json
import types

from goldcrestmoor import settings, util, wire
from goldcrestmoor.adapters.table import Change
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.connection.retry_budget import MAX_SAVED_RETRIES, RetryBudget
from goldcrestmoor.errors import ErrorKind, ServiceError, from_body, to_body
from goldcrestmoor.platform import records, servers
from goldcrestmoor.process.crash_reports import CrashReports
from goldcrestmoor.process.decision_log import DecisionLog
from goldcrestmoor.process.directory import UpstreamDirectory
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.limit_owners import LimitOwners
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.server_paths import ServerPaths
from goldcrestmoor.process.upstream_limits import UpstreamLimits
from goldcrestmoor.request.upstream_loads import UpstreamLoads
from goldcrestmoor.version.configuration.document import (
    Account,
    Configuration,
    ConfigurationView,
    Pool,
    Upstream,
    UpstreamKind,
)
from test import _common

TOKEN = "token-of-"
KIND_BY_POOL = {"app": UpstreamKind.APPLICATION, "lm": UpstreamKind.ENGINE}


def make_budget():
    """Return a retry budget of pools that have served many requests."""
    budget = RetryBudget(clock=Clock(), percent=10)
    for _ in range(10 * MAX_SAVED_RETRIES):
        for pool in KIND_BY_POOL:
            budget.record_request(pool)
    return budget


class FakeClock(Clock):
    """A clock that a test advances by hand."""

    __slots__ = ("ms",)

    def __init__(self):
        self.ms = 1_000_000

    def now_ms(self):
        return self.ms

    async def sleep_ms(self, duration_ms):
        self.ms += int(duration_ms)
        await asyncio.sleep(0)


class FakeLease:
    """A configuration that a test sets."""

    def __init__(self, *upstreams, accounts=(), lapsed=False):
        kinds = {
            u.pool: "application" if "app" in u.pool else "engine" for u in upstreams
        }
        self.configuration = Configuration(
            1,
            {account.name: account for account in accounts},
            {name: Pool(name, kind, "lm") for name, kind in kinds.items()},
            {upstream.name: upstream for upstream in upstreams},
        )
        self.lapsed = lapsed

    def view(self):
        return ConfigurationView(self.configuration, self.lapsed)

    def replace(self, upstream):
        self.configuration.upstreams_by_name[upstream.name] = upstream


def account(name, kind="application", share=1, pools=("app", "lm")):
    return Account(name, kind, util.hash_token(TOKEN + name), pools, share)


def upstream(name, pool="lm", zone="zone-a", port=1, slots=2, draining=False):
    return Upstream(name, pool, zone, "127.0.0.1", port, slots, draining=draining)


class FakeNetwork:
    """Peer links between the hosts of one test, which can be partitioned."""

    def __init__(self):
        self.links_by_host = {}
        self.partitioned = set()
        self.frozen = set()
        self.sent = []

    def links(self, host_id):
        self.links_by_host[host_id] = FakeLinks(self, host_id)
        return self.links_by_host[host_id]


class FakeLinks:
    def __init__(self, network, host_id):
        self.network = network
        self.host_id = host_id
        self.handler_by_class = {}
        self.tasks = util.TaskGroup()

    def register(self, message_class, handler, urgent=False):
        self.handler_by_class[message_class] = handler

    async def call(self, host_id, message, timeout_ms):
        peer = self.network.links_by_host.get(host_id)
        if peer is None or {host_id, self.host_id} & self.network.partitioned:
            raise ServiceError(ErrorKind.PEER_UNREACHABLE)
        message = wire.decode(*wire.encode(message))
        try:
            answer = await peer.handler_by_class[type(message)](self.host_id, message)
        except ServiceError as e:
            raise from_body(to_body(e)) from None
        return wire.decode(*wire.encode(answer or wire.Done()))

    def send(self, host_id, message):
        self.network.sent.append((host_id, message))

        async def deliver():
            with contextlib.suppress(ServiceError):
                await self.call(host_id, message, 1000)

        self.tasks.start(deliver())

    async def settle(self):
        """Wait until every sent message has been handled."""
        await asyncio.gather(*self.tasks._tasks, return_exceptions=True)


class FakeOwnership:
    def __init__(self, owner):
        self.owner = owner

    def owner_of_upstream(self, upstream):
        return self.owner


class FakeMembership:
    def __init__(self, *hosts):
        self.record_by_id = {
            host: types.SimpleNamespace(id=host, state="alive") for host in hosts
        }
        self.callbacks = []

    def find(self, host_id):
        return self.record_by_id.get(host_id)

    def live(self, zone=None):
        return [r for r in self.record_by_id.values() if r.state == "alive"]

    def on_change(self, callback):
        self.callbacks.append(callback)

    def set_state(self, host_id, state):
        self.record_by_id[host_id].state = state
        for callback in self.callbacks:
            callback()


class CountingHttp(HttpClient):
    """An HTTP client that counts requests and can run a callback before each."""

    def __init__(self):
        super().__init__(clock=Clock(), limits=limits())
        self.requests = 0
        self.before_connect = None

    async def request(self, *args, **options):
        self.requests += 1
        if self.before_connect is not None:
            await self.before_connect()
        return await super().request(*args, **options)


def parts():
    """Return common constructor arguments: metrics and decisions."""
    return {"metrics": Metrics(), "decisions": DecisionLog(Clock())}


def limits(**changes):
    return _common.make_settings(limits=changes).limits


def crash_reports(clock, paths, metrics=None):
    """Return the crash reports of a host.

    :param clock: the clock.
    :param paths: the host's paths to servers.
    :param metrics: the metrics; new ones by default.
    """
    return CrashReports(
        clock=clock,
        paths=paths,
        store=None,
        calls=HostCalls(clock=clock, http=None, row_by_host=dict),
        host_id="host-a",
        metrics=metrics or Metrics(),
    )


def server_paths(clock, http, directory, metrics=None, row_by_host=None):
    """Return the paths of a host.

    :param clock: the clock.
    :param http: the HTTP client.
    :param directory: the directory of upstreams.
    :param metrics: the metrics; new ones by default.
    :param row_by_host: the rows of other hosts; none by default.
    """
    rows = row_by_host or {}
    return ServerPaths(
        clock=clock,
        http=http,
        directory=directory,
        calls=HostCalls(clock=clock, http=http, row_by_host=lambda: rows),
        host_id="host-a",
        metrics=metrics or Metrics(),
    )


def upstream_limits(clock, metrics=None, host_id="host-a"):
    """Return the limits that a host alone records and grants.

    :param clock: the clock.
    :param metrics: the metrics; new ones by default.
    :param host_id: the host.
    """
    calls = HostCalls(clock=clock, http=None, row_by_host=dict)
    owners = LimitOwners(calls=calls, host_id=host_id)
    return UpstreamLimits(clock=clock, metrics=metrics or Metrics(), owners=owners)


class ListingHost:
    """The parts of one host that send requests to the servers listed there.

    :param clock: the clock.
    :param row_by_host: the rows of the hosts that it asks for paths; none by default.
    :param bodies: the :class:`~goldcrestmoor.request.server_bodies.ServerBodies`; None
        to bound no bodies.
    :ivar directory: the directory of upstreams.
    :ivar limits: the limits of upstreams.
    :ivar paths: the paths to them.
    :ivar sending: the arguments of a ``Sender``.
    """

    def __init__(self, clock, row_by_host=None, bodies=None):
        metrics = Metrics()
        http = HttpClient(clock=clock, limits=settings.default_limits())
        self.directory = UpstreamDirectory(
            clock=clock,
            decode=records.decode_upstream,
            metrics=metrics,
            age_ms=lambda: 0,
        )
        self.limits = upstream_limits(clock)
        self.paths = server_paths(clock, http, self.directory, row_by_host=row_by_host)
        self.sending = {
            "http": http,
            "loads": UpstreamLoads(
                clock=clock,
                http=http,
                directory=self.directory,
                limits=self.limits,
                zone="zone-a",
                host_id="host-a",
                bodies=bodies,
            ),
            "dialect": servers,
            "metrics": metrics,
        }
        self._crashes = crash_reports(clock, self.paths)

    def list_server(self, server, **fields):
        """Add a stand-in server to the list.

        :param fields: fields of its entry.
        """
        entry = json.dumps(server.entry(**fields)).encode()
        self.directory.apply([Change(server.name, 1, entry)])

    def caller_sending(self):
        """Return the arguments of a ``CallerRequestSender``."""
        return self.sending | {"crashes": self._crashes, "paths": self.paths}

    async def close(self):
        """Close the connections, and end the probes of servers."""
        await self._crashes.close()
        await self.paths.close()
        await self.sending["http"].close()
