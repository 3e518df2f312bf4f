"""Fakes of the seams that a request meets: peers, ownership, the lease, HTTP."""

import asyncio
import contextlib
import types

import h11

from goldcrestmoor import util, wire
from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError, from_body, to_body
from goldcrestmoor.process.decisions import Decisions
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.version.configuration import (
    Account,
    Configuration,
    Pool,
    Upstream,
    UpstreamKind,
    View,
)
from test import _common

TOKEN = "token-of-"
KIND_BY_POOL = {"app": UpstreamKind.APPLICATION, "lm": UpstreamKind.ENGINE}


class FakeClock(Clock):
    """A clock that a test moves by hand."""

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
        return View(self.configuration, self.lapsed)

    def replace(self, upstream):
        self.configuration.upstreams_by_name[upstream.name] = upstream


def account(name, kind="application", share=1, pools=("app", "lm")):
    return Account(name, kind, util.hash_token(TOKEN + name), pools, share)


def upstream(name, pool="lm", zone="zone-a", port=1, slots=2, draining=False):
    return Upstream(name, pool, zone, "127.0.0.1", port, slots, draining=draining)


class FakeNetwork:
    """Peer links between the hosts of one test, which can be cut."""

    def __init__(self):
        self.links_by_host = {}
        self.cut = set()
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
        if peer is None or {host_id, self.host_id} & self.network.cut:
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


class Response:
    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.body = None


class FakeHttp:
    """An HTTP client over fresh connections that never resends."""

    def __init__(self):
        self.requests = 0
        self.before_connect = None

    async def request(
        self, address, port, method, target, headers, body, timeout_ms, **options
    ):
        async with self.stream(
            address, port, method, target, headers, body, timeout_ms
        ) as response:
            chunks = [chunk async for chunk in response.body()]
        return types.SimpleNamespace(
            status=response.status, headers=response.headers, body=b"".join(chunks)
        )

    @contextlib.asynccontextmanager
    async def stream(
        self, address, port, method, target, headers, body, timeout_ms, **options
    ):
        self.requests += 1
        if self.before_connect is not None:
            await self.before_connect()
        try:
            reader, writer = await asyncio.open_connection(address, port)
        except OSError as e:
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE) from e
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                yield await self._exchange(
                    reader, writer, method, target, headers, body
                )
        except (h11.RemoteProtocolError, ConnectionError) as e:
            raise ServiceError(ErrorKind.UPSTREAM_FAILED) from e
        except TimeoutError as e:
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT) from e
        finally:
            writer.transport.abort()

    async def _exchange(self, reader, writer, method, target, headers, body):
        connection = h11.Connection(h11.CLIENT)
        fields = [(b"host", b"upstream"), *headers]
        fields.append((b"content-length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=fields)
        writer.write(connection.send(head))
        writer.write(connection.send(h11.Data(data=body)))
        writer.write(connection.send(h11.EndOfMessage()))

        async def next_event():
            while (event := connection.next_event()) is h11.NEED_DATA:
                connection.receive_data(await reader.read(65536))
            return event

        event = await next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionError
        response = Response(event.status_code, list(event.headers))

        async def chunks():
            while isinstance(event := await next_event(), h11.Data):
                yield bytes(event.data)
            if not isinstance(event, h11.EndOfMessage):
                raise ConnectionError

        response.body = chunks
        return response


def parts():
    """Return what most parts need: metrics and decisions."""
    return {"metrics": Metrics(), "decisions": Decisions(Clock())}


def limits(**changes):
    return _common.make_settings(limits=changes).limits
