"""Finds out whether a server ended while it ran a request."""

import hashlib
import logging

import msgspec

from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.crashes")

# Some round trips between zones; part of a caller's wait.
PROBE_TIMEOUT_MS = 100
DIGEST_BYTES = 16


class Sending(msgspec.Struct, frozen=True):
    """A request that was sent to a server.

    :param request_id: the id of the caller's attempt.
    :param digest: identifies what the caller asked for, whatever the attempt.
    :param sent_ms: when it was sent.
    """

    request_id: str
    digest: str
    sent_ms: float


class CrashReports:
    """Tells servers that ended from connections that broke.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = ("_clock", "_http", "_metrics", "_sendings_by_upstream", "_tasks")

    def __init__(self, *, clock, http, metrics):
        self._clock = clock
        self._http = http
        self._metrics = metrics
        self._sendings_by_upstream = {}
        self._tasks = TaskGroup()

    def record_failure(self, upstream, route, request, sent_ms):
        """Record that a request may have run and its response was lost.

        :param upstream: the upstream that it was sent to.
        :param route: the request's
            :class:`~goldcrestmoor.version.configuration.routes.Route`.
        :param request: the :class:`~goldcrestmoor.request.forwarding.CallerRequest`.
        :param sent_ms: when it was sent.
        """
        sending = Sending(request.id, content_digest(route.host, request), sent_ms)
        key = upstream.name, upstream.started_ms
        sendings = self._sendings_by_upstream.get(key)
        if sendings is not None:
            sendings.append(sending)
            return
        self._sendings_by_upstream[key] = [sending]
        self._tasks.start(self._probe(upstream), "probe of a server")

    async def close(self):
        """Cancel the probes under way."""
        await self._tasks.close()

    async def _probe(self, upstream):
        """Find out whether an upstream ended under the requests sent to it."""
        try:
            has_ended = await self._http.refuses_connections(
                upstream.address, upstream.port, PROBE_TIMEOUT_MS
            )
        finally:
            key = upstream.name, upstream.started_ms
            sendings = self._sendings_by_upstream.pop(key)
        if not has_ended:
            return
        for sending in sendings:
            self._metrics.crashed_requests.inc()
            log.info(
                "%s of %s ended while it had request %s, content %s, for %d ms.",
                upstream.name,
                upstream.service,
                sending.request_id,
                sending.digest,
                self._clock.now_ms() - sending.sent_ms,
            )


def content_digest(host, request):
    """Return what identifies a request however often its caller sends it.

    :param host: the host of its route.
    :param request: the :class:`~goldcrestmoor.request.forwarding.CallerRequest`.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    caller = dict(request.headers).get(b"authorization", b"")
    parts = (host.encode(), request.method.encode(), request.target.encode(), caller)
    for part in (*parts, request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
