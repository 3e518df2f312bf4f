"""Which servers this host reaches, and which other hosts reach those it doesn't."""

import asyncio
import contextlib
import logging
import random

import msgspec

from goldcrestmoor.connection.http_client import HttpResponse
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.paths")

REACH_PATH = "/servers/reach"
# Hosts asked in this host's zone, and in the others; as for the store.
OWN_ZONE_HOSTS = 4
OTHER_ZONE_HOSTS = 4
# An answer that a host got from a server this recently shows that it reaches it.
REACHED_MS = 1000
# Less than the timeout of calls between hosts; several round trips between zones.
CONNECT_TIMEOUT_MS = 60
# How often an unreachable server is probed, and how long hosts aren't asked again.
PROBE_INTERVAL_MS = 1000
ASK_INTERVAL_MS = 500


class ReachQuestion(msgspec.Struct, frozen=True):
    """Asks a host whether it reaches a server.

    :param upstream: the server's name.
    """

    upstream: str


class ReachReply(msgspec.Struct, frozen=True):
    """The reply to a :class:`ReachQuestion`.

    :param is_reached: whether the host reaches the server.
    """

    is_reached: bool


question_decoder = msgspec.json.Decoder(ReachQuestion)
_reply_decoder = msgspec.json.Decoder(ReachReply)


class _Path:
    """This host's path to one server."""

    __slots__ = ("reached_ms", "lost_ms", "asked_ms", "asking", "hosts")

    def __init__(self):
        self.reached_ms = None
        self.lost_ms = None
        self.asked_ms = None
        self.asking = None
        self.hosts = []


class ServerPaths:
    """Sends requests to servers, and records which of them can be reached.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param host_id: this host.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_directory",
        "_calls",
        "_host_id",
        "_path_by_key",
        "_tasks",
    )

    def __init__(self, *, clock, http, directory, calls, host_id, metrics):
        self._clock = clock
        self._http = http
        self._directory = directory
        self._calls = calls
        self._host_id = host_id
        self._path_by_key = {}
        self._tasks = TaskGroup()
        metrics.unreachable_upstreams.set_function(self._unreachable_count)

    async def request(self, upstream, *args, **options):
        """Send a request and return its complete response.

        The parameters and errors are those of :meth:`stream`.

        :return: an :class:`~goldcrestmoor.connection.http_client.HttpResponse`.
        """
        async with self.stream(upstream, *args, **options) as response:
            body = await self._http.read_body(response)
            return HttpResponse(response.status, response.headers, body)

    @contextlib.asynccontextmanager
    async def stream(self, upstream, *args, **options):
        """Send a request and stream its response; see ``HttpClient.stream``.

        :param upstream: the
            :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        """
        path = self._path(upstream)
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    self._http.stream(upstream.address, upstream.port, *args, **options)
                )
            except ServiceError as e:
                if e.kind is ErrorKind.UPSTREAM_UNREACHABLE:
                    self._record_lost(upstream, path, e)
                raise
            self._record_reached(upstream, path)
            yield response

    def is_lost(self, upstream):
        """Return whether this host can't open connections to a server.

        :param upstream: the server.
        """
        path = self._path_by_key.get(_key(upstream))
        return path is not None and path.lost_ms is not None

    async def reply(self, question):
        """Reply to another host whether this one reaches a server.

        :param question: the :class:`ReachQuestion`.
        :return: the :class:`ReachReply`.
        """
        upstream = self._directory.upstream_by_name.get(question.upstream)
        if upstream is None or self.is_lost(upstream):
            return ReachReply(False)
        path = self._path(upstream)
        now_ms = self._clock.now_ms()
        if path.reached_ms is not None and now_ms - path.reached_ms < REACHED_MS:
            return ReachReply(True)
        return ReachReply(await self._connects(upstream))

    async def close(self):
        """Cancel the probes and calls under way."""
        await self._tasks.close()

    def _path(self, upstream):
        path = self._path_by_key.get(_key(upstream))
        if path is None:
            self._drop_unlisted()
            path = self._path_by_key[_key(upstream)] = _Path()
        return path

    def _drop_unlisted(self):
        listed = map(_key, self._directory.upstream_by_name.values())
        kept = self._path_by_key.keys() & set(listed)
        self._path_by_key = {key: self._path_by_key[key] for key in kept}

    def _unreachable_count(self):
        return sum(path.lost_ms is not None for path in self._path_by_key.values())

    def _record_reached(self, upstream, path):
        path.reached_ms = self._clock.now_ms()
        if path.lost_ms is None:
            return
        log.info(
            "%s of %s is reached again after %d ms.",
            upstream.name,
            upstream.service,
            path.reached_ms - path.lost_ms,
        )
        path.lost_ms = None

    def _record_lost(self, upstream, path, error):
        if path.lost_ms is not None:
            return
        path.lost_ms = self._clock.now_ms()
        log.info(
            "%s of %s can't be reached from this host: %s",
            upstream.name,
            upstream.service,
            error,
        )
        self._tasks.start(self._probe(upstream, path), "probe of a server")
        self._tasks.start(self._ask_hosts(upstream, path), "question of reach")

    async def _probe(self, upstream, path):
        """Probe a server that can't be reached, until it is or is no longer listed."""
        while path.lost_ms is not None:
            await self._clock.sleep_ms(PROBE_INTERVAL_MS)
            if not self._directory.is_usable(upstream):
                return
            if path.lost_ms is not None and await self._connects(upstream):
                self._record_reached(upstream, path)

    async def _connects(self, upstream):
        return await self._http.opens_connection(
            upstream.address, upstream.port, CONNECT_TIMEOUT_MS
        )

    async def _ask_hosts(self, upstream, path):
        """Find hosts that reach a server that this one doesn't."""
        path.asked_ms = self._clock.now_ms()
        zone_by_host = self._calls.zone_by_host()
        own_zone = zone_by_host.get(self._host_id)
        own, others = [], []
        for host, zone in zone_by_host.items():
            if host != self._host_id:
                (own if zone == own_zone else others).append(host)
        asked = random.sample(own, min(len(own), OWN_ZONE_HOSTS))
        asked += random.sample(others, min(len(others), OTHER_ZONE_HOSTS))
        question = ReachQuestion(upstream.name)
        replies = await asyncio.gather(
            *(self._calls.call(h, REACH_PATH, question, _reply_decoder) for h in asked)
        )
        path.hosts = [
            host
            for host, reply in zip(asked, replies, strict=True)
            if reply is not None and reply.is_reached
        ]
        log.info(
            "%s of %s is reached by %d of %d hosts asked.",
            upstream.name,
            upstream.service,
            len(path.hosts),
            len(asked),
        )


def _key(upstream):
    return upstream.name, upstream.started_ms
