"""Requests to application upstreams, with complete (not streamed) responses."""

import logging

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.adapters.leaving import STATE_HEADER, says_leaving
from goldcrestmoor.connection.http_client import end_to_end
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request.failures import error_to_report

log = logging.getLogger("goldcrestmoor.apps")

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
MAX_ATTEMPTS = 3
# Headers meant for this service only, or set again for the upstream.
STRIPPED_HEADERS = frozenset(
    {
        b"authorization",
        b"content-length",
        b"expect",
        b"host",
        b"traceparent",
        b"x-request-id",
        b"x-timeout-ms",
        STATE_HEADER,
    }
)


class AppRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to the upstream.

    :param pool: the pool's name.
    :param method: the HTTP method.
    :param target: the path and query.
    :param headers: ``(name, value)`` byte pairs, without hop-by-hop headers.
    :param body: the body.
    """

    pool: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def idempotent(self):
        """Whether the method is idempotent."""
        return self.method in IDEMPOTENT_METHODS


class AppResponse(msgspec.Struct, frozen=True):
    """A complete response.

    :param status: the HTTP status.
    :param headers: ``(name, value)`` byte pairs, without hop-by-hop headers.
    :param body: the body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def forwarded_headers(headers):
    """Return the headers that are forwarded to the upstream or the caller.

    :param headers: ``(name, value)`` byte pairs.
    """
    pairs = end_to_end(headers)
    return tuple(pair for pair in pairs if pair[0] not in STRIPPED_HEADERS)


class ApplicationClient:
    """Send requests directly from this host to application upstreams.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the ``HttpClient``.
    :param placement: a :class:`~goldcrestmoor.request.placement.Placement`.
    :param budget: the ``RetryBudget``, which counts by pool.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param decisions: the :class:`~goldcrestmoor.process.decision_log.DecisionLog`.
    :param health: an ``UpstreamHealth``, or None.
    :param head_timeout_ms: the timeout for the response head, in milliseconds; without
        it, only the request's deadline applies.
    :param on_leaving: called with the name of an upstream whose response says that it
        is leaving.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_placement",
        "_budget",
        "_metrics",
        "_decisions",
        "_health",
        "_head_timeout_ms",
        "_on_leaving",
    )

    def __init__(
        self,
        *,
        clock,
        http,
        placement,
        budget,
        metrics,
        decisions,
        health=None,
        head_timeout_ms=None,
        on_leaving=None,
    ):
        self._clock = clock
        self._http = http
        self._placement = placement
        self._budget = budget
        self._metrics = metrics
        self._decisions = decisions
        self._health = health
        self._head_timeout_ms = head_timeout_ms
        self._on_leaving = on_leaving or (lambda name: None)

    async def fetch(self, request, deadline, request_id, check=None):
        """Send a request and return the complete response.

        A request whose method is not idempotent is retried only after failures in
        which none of its bytes was written.

        :param request: the :class:`AppRequest`.
        :param deadline: the time by which the response must be complete.
        :param request_id: the request's id.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`AppResponse`.
        :raises ServiceError: the last failure in which the request may have run, else
            the last failure.
        """
        self._budget.record_request(request.pool)
        failures = []
        avoid = set()
        while True:
            try:
                upstream = self._placement.choose(
                    request.pool, avoid=avoid, may_probe=request.idempotent
                )
            except ServiceError as e:
                raise error_to_report(failures or [e]) from None
            try:
                # A fault that silently breaks one open connection often breaks all of
                # them, so a retry uses a new connection.
                return await self._send(
                    upstream, request, deadline, request_id, check, fresh=bool(failures)
                )
            except ServiceError as e:
                failures.append(e)
                avoid.add(upstream.name)
                if not self._may_retry(request, failures, deadline):
                    raise error_to_report(failures) from None
                self._metrics.retries.labels(e.code).inc()
                text = f"Retrying after a failure of {upstream.name}: {e.message}"
                self._decisions.record("apps", request_id, text)

    async def _send(self, upstream, request, deadline, request_id, check, fresh):
        if deadline.passed():
            raise ServiceError(
                ErrorKind.QUEUE_TIMEOUT,
                "The deadline passed before the request was sent.",
            )
        text = f"Sent to {upstream.name} of {upstream.zone}."
        self._decisions.record("apps", request_id, text)
        started_ms = self._clock.now_ms()
        self._placement.begin(upstream)
        try:
            with tracing.span("app request", upstream=upstream.name):
                headers = _headers(request, request_id)
                response = await self._http.request(
                    upstream.address,
                    upstream.port,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    max(1, deadline.remaining_ms()),
                    idempotent=request.idempotent,
                    head_timeout_ms=self._head_timeout_ms,
                    fresh=fresh,
                    before_send=check,
                )
            self._record(upstream, True, started_ms)
            if says_leaving(response.headers):
                self._on_leaving(upstream.name)
            headers = forwarded_headers(response.headers)
            if request.method == "HEAD":
                headers += _content_length(response.headers)
            return AppResponse(response.status, headers, response.body)
        except ServiceError as e:
            if e.kind.value.startswith("upstream_"):
                self._record(upstream, False, started_ms)
            raise
        finally:
            self._placement.end(upstream)

    def _may_retry(self, request, failures, deadline):
        last = failures[-1]
        if not last.kind.value.startswith("upstream_") or deadline.passed():
            return False
        if len(failures) >= MAX_ATTEMPTS:
            return False
        if last.answer.ran != Ran.NOT_RUN and not request.idempotent:
            return False
        return self._budget.try_retry(request.pool)

    def _record(self, upstream, succeeded, started_ms):
        if self._health is not None:
            latency_ms = self._clock.now_ms() - started_ms
            self._health.record(upstream.name, succeeded, latency_ms)


def _headers(request, request_id):
    headers = [*request.headers, (b"x-request-id", request_id.encode())]
    traceparent = tracing.traceparent()
    if traceparent:
        headers.append((b"traceparent", traceparent.encode()))
    return headers


def _content_length(headers):
    # The length is part of the response to a HEAD request.
    return tuple(pair for pair in headers if pair[0].lower() == b"content-length")
