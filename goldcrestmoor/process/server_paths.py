"""This host's paths to servers: its own, or through another host that reaches them."""

import asyncio
import contextlib
import enum
import logging
import random

import msgspec

from goldcrestmoor.connection.http_connection import unreachable
from goldcrestmoor.errors import ErrorBody, ErrorKind, Ran, ServiceError, from_body
from goldcrestmoor.request.path_choice import Reach, choose_host, hosts_to_ask
from goldcrestmoor.request.relayed_messages import (
    RELAY_PREFIX,
    RelayedResponse,
    relay_headers,
)
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.paths")

REACH_PATH = "/servers/reach"
# A server that answered this recently, and has an open connection, is reached.
ANSWERED_MS = 1000
# Several round trips between zones.
PROBE_TIMEOUT_MS = 60
# A probe of the host that is asked, with room for a busy one.
REACH_TIMEOUT_MS = 200
# Those who ask about the same failure share a probe.
PROBE_VALID_MS = 50
# How long requests to a server that can't be reached fail without another attempt.
RETRY_DIRECT_MS = 250
# How often a server that can't be reached is probed.
PROBE_INTERVAL_MS = 1000
# How long hosts aren't asked again about a server that none of them reaches.
ASK_INTERVAL_MS = 500
# Hosts that relay a request, one after the other, before it counts as not run.
MAX_RELAYS = 2
STATUS_OK = 200


class Probe(enum.StrEnum):
    """What came of an attempt to connect to a server."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


class ReachQuestion(msgspec.Struct, frozen=True):
    """Asks a host whether it reaches a server.

    :param upstream: the server's name.
    """

    upstream: str


question_decoder = msgspec.json.Decoder(ReachQuestion)
_reply_decoder = msgspec.json.Decoder(Reach)
_error_decoder = msgspec.json.Decoder(ErrorBody)


class _Path:
    """What this host knows of its path to one server."""

    __slots__ = (
        "answered_ms",
        "lost_ms",
        "failed_ms",
        "probe",
        "probed_ms",
        "asked_ms",
        "asking",
        "found",
        "reach_by_host",
    )

    def __init__(self):
        self.answered_ms = None
        self.lost_ms = None
        # When a connection last didn't open.
        self.failed_ms = None
        self.probe = None
        self.probed_ms = None
        self.asked_ms = None
        self.asking = None
        # Set once a host reaches the server, or all have replied.
        self.found = asyncio.Event()
        self.reach_by_host = {}

    def is_reached_elsewhere(self):
        """Return whether another host reaches the server."""
        return any(reply.is_reached for reply in self.reach_by_host.values())


class ServerPaths:
    """Sends requests to servers, through another host where this one is cut off.

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
        "_metrics",
        "_path_by_key",
        "_tasks",
    )

    def __init__(self, *, clock, http, directory, calls, host_id, metrics):
        self._clock = clock
        self._http = http
        self._directory = directory
        self._calls = calls
        self._host_id = host_id
        self._metrics = metrics
        self._path_by_key = {}
        self._tasks = TaskGroup()
        metrics.unreachable_upstreams.set_function(self._unreachable_count)

    @contextlib.asynccontextmanager
    async def stream(self, upstream, method, target, headers, body, timeout_ms, **opts):
        """Send a request and stream its response; see ``HttpClient.stream``.

        :param upstream: the
            :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :return: a context manager that yields a ``ResponseStream`` or a
            :class:`RelayedResponse`.
        :raises ServiceError: as ``HttpClient.stream``; ``DRAINING`` or ``OVERLOADED``
            when a host didn't relay the request, which was not run.
        """
        path = self._path(upstream)
        sent = method, target, headers, body, timeout_ms
        try:
            async with contextlib.AsyncExitStack() as stack:
                response = await self._open(stack, upstream, path, sent, opts)
                yield response
                path.answered_ms = self._clock.now_ms()
        except ServiceError as e:
            if e.kind in (ErrorKind.UPSTREAM_TIMEOUT, ErrorKind.UPSTREAM_FAILED):
                await self._check(upstream, path)
            raise

    async def has_ended(self, upstream):
        """Return whether a server no longer listens, as far as hosts can tell.

        To a host that is cut off, a server that runs may look the same; so a few other
        hosts are asked too.

        :param upstream: the server.
        """
        path = self._path(upstream)
        probe = await self._probe(upstream, path)
        if probe is Probe.OPEN:
            return False
        await self._ask(upstream, path, waits_for_all=True)
        replies = path.reach_by_host.values()
        is_refused = probe is Probe.REFUSED or any(r.is_refused for r in replies)
        return is_refused and not path.is_reached_elsewhere()

    async def reply(self, question):
        """Reply to another host whether this one reaches a server.

        :param question: the :class:`ReachQuestion`.
        :return: the :class:`~goldcrestmoor.request.path_choice.Reach`.
        """
        upstream = self._directory.upstream_by_name.get(question.upstream)
        if upstream is None:
            return Reach(False)
        path = self._path(upstream)
        if self._has_live_connection(upstream, path):
            return Reach(True)
        probe = await self._probe(upstream, path)
        return Reach(probe is Probe.OPEN, probe is Probe.REFUSED)

    async def close(self):
        """Cancel the probes and calls under way."""
        await self._tasks.close()

    async def _open(self, stack, upstream, path, sent, options):
        """Return the response of the first path on which the request can be sent."""
        error = None
        if not self._is_relayed(upstream, path):
            try:
                return await self._open_directly(stack, upstream, path, sent, options)
            except ServiceError as e:
                if e.kind is not ErrorKind.UPSTREAM_UNREACHABLE:
                    raise
                error = e
                self._record_lost(upstream, path, e.message)
                await self._ask(upstream, path)
        for _ in range(MAX_RELAYS):
            host = choose_host(path.reach_by_host, self._zones(), self._host_id)
            if host is None:
                break
            try:
                response = await stack.enter_async_context(
                    self._relay(host, upstream, sent, options)
                )
            except ServiceError as e:
                outcome = e.code
                self._metrics.relayed_requests.labels(outcome).inc()
                if e.answer.ran is not Ran.NOT_RUN:
                    raise
                error = e
                path.reach_by_host.pop(host, None)
            else:
                self._metrics.relayed_requests.labels("answered").inc()
                return response
        raise error

    async def _open_directly(self, stack, upstream, path, sent, options):
        """Return the response on this host's own path.

        :raises ServiceError: ``UPSTREAM_UNREACHABLE`` at once if it was lost just now.
        """
        if (
            path.lost_ms is not None
            and self._clock.now_ms() - path.failed_ms < RETRY_DIRECT_MS
            and not self._has_live_connection(upstream, path)
        ):
            target = upstream.address, upstream.port
            raise unreachable(target, "it was out of reach just now")
        try:
            return await stack.enter_async_context(
                self._http.stream(upstream.address, upstream.port, *sent, **options)
            )
        except ServiceError as e:
            if e.kind is ErrorKind.UPSTREAM_UNREACHABLE:
                path.failed_ms = self._clock.now_ms()
            raise

    def _is_relayed(self, upstream, path):
        """Return whether requests to a server go through another host."""
        return (
            path.lost_ms is not None
            and path.is_reached_elsewhere()
            and not self._has_live_connection(upstream, path)
        )

    def _has_live_connection(self, upstream, path):
        """Return whether there is a connection on which the server answered lately.

        Connections may live on while new ones are refused.
        """
        if path.answered_ms is None or not self._http.has_idle(
            upstream.address, upstream.port
        ):
            return False
        is_since_loss = path.lost_ms is None or path.answered_ms > path.lost_ms
        return is_since_loss and self._clock.now_ms() - path.answered_ms < ANSWERED_MS

    @contextlib.asynccontextmanager
    async def _relay(self, host, upstream, sent, options):
        """Send a request through another host and yield its response."""
        method, target, headers, body, timeout_ms = sent
        row = self._calls.row(host)
        if row is None:
            text = f"Host {host} is no longer registered."
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, text)
        relayed = relay_headers(
            upstream, method, timeout_ms, options.get("idempotent", False)
        )
        # The relay frames every body; one that only a close ends was cut off.
        options = options | {"allow_close_delimited": False}
        async with self._http.stream(
            row.address,
            row.port,
            "POST",
            RELAY_PREFIX + target,
            [*headers, *relayed],
            body,
            timeout_ms,
            **options,
        ) as response:
            if response.status != STATUS_OK:
                raise _relay_error(host, await self._http.read_body(response))
            yield await RelayedResponse.open(response)

    async def _check(self, upstream, path):
        """Find out whether a server that gave no response is reached.

        If only this host doesn't reach it, connections to others may hang as well,
        which then shows before a request is sent to them.
        """
        if await self._probe(upstream, path) is Probe.OPEN:
            return
        await self._ask(upstream, path)
        if not path.is_reached_elsewhere():
            return
        others = [
            other
            for other in self._directory.usable(upstream.service)
            if other.name != upstream.name
            and self._http.has_idle(other.address, other.port)
            and not self._has_live_connection(other, self._path(other))
        ]
        await asyncio.gather(*(self._probe(o, self._path(o)) for o in others))

    async def _probe(self, upstream, path):
        """Try to connect to a server; return what came of it."""
        now_ms = self._clock.now_ms()
        is_valid = path.probed_ms is not None and (
            now_ms - path.probed_ms < PROBE_VALID_MS
        )
        if not is_valid and (path.probe is None or path.probe.done()):
            path.probe = self._tasks.start(
                self._connect(upstream, path), "probe of a server"
            )
        # The probe goes on for others when this caller leaves.
        return await asyncio.shield(path.probe)

    async def _connect(self, upstream, path):
        error = await self._http.connection_error(
            upstream.address, upstream.port, PROBE_TIMEOUT_MS
        )
        path.probed_ms = self._clock.now_ms()
        if error is None:
            self._record_reached(upstream, path)
            return Probe.OPEN
        path.failed_ms = path.probed_ms
        self._record_lost(upstream, path, error.message)
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Probe.REFUSED if is_refused else Probe.SILENT

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

    def _zones(self):
        return self._calls.zone_by_host()

    def _record_reached(self, upstream, path):
        if path.lost_ms is None:
            return
        log.info(
            "%s of %s is reached again after %d ms.",
            upstream.name,
            upstream.service,
            self._clock.now_ms() - path.lost_ms,
        )
        path.lost_ms = None

    def _record_lost(self, upstream, path, reason):
        if path.lost_ms is not None:
            return
        path.lost_ms = self._clock.now_ms()
        path.reach_by_host = {}
        log.info(
            "%s of %s can't be reached from this host: %s",
            upstream.name,
            upstream.service,
            reason,
        )
        # The open connections may hang too.
        if not self._has_live_connection(upstream, path):
            self._http.drop_idle(upstream.address, upstream.port)
        self._tasks.start(self._probe_until_reached(upstream, path), "probes")

    async def _probe_until_reached(self, upstream, path):
        """Probe a server until it is reached, or no longer used."""
        while path.lost_ms is not None:
            await self._clock.sleep_ms(PROBE_INTERVAL_MS)
            if not self._directory.is_usable(upstream):
                return
            await self._probe(upstream, path)

    async def _ask(self, upstream, path, waits_for_all=False):
        """Ask a few hosts whether they reach a server, unless that was done just now.

        :param waits_for_all: whether to wait for all replies, not the first good one.
        """
        now_ms = self._clock.now_ms()
        is_due = path.asked_ms is None or now_ms - path.asked_ms >= ASK_INTERVAL_MS
        if is_due and (path.asking is None or path.asking.done()):
            path.asked_ms = now_ms
            path.found.clear()
            path.asking = self._tasks.start(
                self._ask_hosts(upstream, path), "question of reach"
            )
        if path.asking is None:
            return
        if waits_for_all:
            await asyncio.shield(path.asking)
        else:
            await path.found.wait()

    async def _ask_hosts(self, upstream, path):
        asked = hosts_to_ask(
            self._zones(), self._host_id, self._calls.is_reachable, random.sample
        )
        question = ReachQuestion(upstream.name)

        async def ask(host):
            reply = await self._calls.call(
                host, REACH_PATH, question, _reply_decoder, REACH_TIMEOUT_MS
            )
            if reply is not None:
                path.reach_by_host[host] = reply
                if reply.is_reached:
                    path.found.set()

        try:
            await asyncio.gather(*map(ask, asked))
        finally:
            path.found.set()
        log.info(
            "%s of %s is reached by %d of %d hosts asked.",
            upstream.name,
            upstream.service,
            sum(reply.is_reached for reply in path.reach_by_host.values()),
            len(asked),
        )


def _relay_error(host, body):
    """Return the error that a host reports for a request that it was to relay."""
    try:
        return from_body(_error_decoder.decode(body))
    except msgspec.MsgspecError:
        text = f"Host {host} relayed no response."
        return ServiceError(ErrorKind.UPSTREAM_FAILED, text)


def _key(upstream):
    return upstream.name, upstream.started_ms
