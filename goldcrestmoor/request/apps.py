"""Requests to application upstreams, answered whole."""

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
# These are for this service alone, or are set anew for the upstream.
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
    """A request as the upstream gets it.

    :param pool: the pool's name.
    :param method: the HTTP method.
    :param target: the path and query.
    :param headers: ``(name, value)`` byte pairs, without the connection's own.
    :param body: the body.
    """

    pool: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def idempotent(self):
        """Whether the method may be repeated."""
        return self.method in IDEMPOTENT_METHODS


class AppResponse(msgspec.Struct, frozen=True):
    """A whole answer.

    :param status: the HTTP status.
    :param headers: ``(name, value)`` byte pairs, without the connection's own.
    :param body: the body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def forwarded_headers(headers):
    """Return the headers that are passed on to the other side.

    :param headers: ``(name, value)`` byte pairs.
    """
    pairs = end_to_end(headers)
    return tuple(pair for pair in pairs if pair[0] not in STRIPPED_HEADERS)


class ApplicationClient:
    """Send requests to application upstreams, straight from this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the ``HttpClient``.
    :param placement: a :class:`~goldcrestmoor.request.placement.Placement`.
    :param budget: the ``RetryBudget``, here by pool.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param decisions: the :class:`~goldcrestmoor.process.decision_log.DecisionLog`.
    :param health: an ``UpstreamHealth``, or None.
    :param head_timeout_ms: how long an upstream may take to begin its answer, in
        milliseconds; only the request's deadline bounds it when left out.
    :param on_leaving: called with the name of an upstream that answers that it is
        leaving.
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
        """Send a request and return its whole answer.

        A request whose method is not idempotent is sent again only after failures
        in which no byte of it was written.

        :param request: the :class:`AppRequest`.
        :param deadline: when the answer must be there.
        :param request_id: the request.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`AppResponse`.
        :raises ServiceError: the failure that says most about whether it ran.
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
                # What has cut one connection off silently has often cut off all that
                # are open, so a further attempt goes on a new one.
                return await self._send(
                    upstream, request, deadline, request_id, check, fresh=bool(failures)
                )
            except ServiceError as e:
                failures.append(e)
                avoid.add(upstream.name)
                if not self._may_retry(request, failures, deadline):
                    raise error_to_report(failures) from None
                self._metrics.retries.labels(e.code).inc()
                text = f"Left {upstream.name} for another: {e.message}"
                self._decisions.record("apps", request_id, text)

    async def _send(self, upstream, request, deadline, request_id, check, fresh):
        if deadline.passed():
            raise ServiceError(ErrorKind.QUEUE_TIMEOUT, "No time was left to send it.")
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
    # What a HEAD answer says of the length is part of the answer itself.
    return tuple(pair for pair in headers if pair[0].lower() == b"content-length")
