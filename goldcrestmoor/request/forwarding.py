"""Forward one request to upstreams of its route, and give its whole answer."""

import logging

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request import retry_decision
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.retry_decision import GiveUp, SendAgain
from goldcrestmoor.version.configuration.routes import RetryPolicy

log = logging.getLogger("goldcrestmoor.forward")

SERVER_ERROR = 500
# Several round trips between zones; a server that is cut off takes no longer to pass.
CONNECT_TIMEOUT_MS = 150


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request, read whole.

    :param id: the caller's id of it.
    :param method: the HTTP method.
    :param target: the path and query, as they came.
    :param headers: ``(name, value)`` byte pairs that are passed on.
    :param body: the body.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class FailedAttempt(msgspec.Struct, frozen=True):
    """How a try ended that gave no answer to pass on.

    :param ran: whether the upstream ran the request.
    :param reason: why, as a sentence.
    """

    ran: Ran
    reason: str


class RequestAttempts:
    """The upstreams that one request has been sent to, and what is known of it.

    :param request: the :class:`CallerRequest`.
    :param route: its :class:`~goldcrestmoor.version.configuration.routes.Route`.
    :param deadline: when the answer must be there.
    :param loads: the :class:`~goldcrestmoor.request.upstream_loads.UpstreamLoads`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "request",
        "route",
        "deadline",
        "_loads",
        "_metrics",
        "_service",
        "_sent_to",
        "_possible_runs",
        "_ran",
        "_total_ms",
    )

    def __init__(self, *, request, route, deadline, loads, metrics):
        self.request = request
        self.route = route
        self.deadline = deadline
        self._loads = loads
        self._metrics = metrics
        self._service = route.service_for(request.id)
        self._sent_to = []
        self._possible_runs = 0
        self._ran = Ran.NOT_RUN
        self._total_ms = deadline.remaining_ms()

    def next_upstream(self):
        """Return the upstream to try next.

        :raises ServiceError: ``NO_UPSTREAM`` when the service has none to try.
        """
        upstream = self._loads.choose(self._service, self._sent_to)
        if upstream is None:
            text = f"No server of {self._service} is there."
            after_ms = retry_decision.RETRY_AFTER_NONE_MS
            raise ServiceError(ErrorKind.NO_UPSTREAM, text, after_ms)
        self._sent_to.append(upstream.name)
        return upstream

    def timeout_ms(self):
        """Return how long the current try may wait, in milliseconds."""
        return retry_decision.attempt_timeout_ms(
            self.route.retry_policy,
            self._possible_runs,
            self.route.attempts,
            self.deadline.remaining_ms(),
            self.route.target_ms,
            self._has_alternative(),
        )

    def retry_or_raise(self, failure):
        """Decide what follows a try without an answer; return to send it again.

        :param failure: the :class:`FailedAttempt`.
        :raises ServiceError: when the request is given up.
        """
        if failure.ran is not Ran.NOT_RUN:
            self._ran = Ran.UNKNOWN
            self._possible_runs += 1
        decision = retry_decision.decide_retry(
            self._ran,
            self.route.retry_policy,
            self._possible_runs,
            self.route.attempts,
            self.deadline.remaining_ms(),
            self._has_alternative(),
        )
        log.info(
            "Request %s on route %s at %s, %d of %d ms left: %s; %s.",
            self.request.id,
            self.route.name,
            self._sent_to[-1],
            self.deadline.remaining_ms(),
            self._total_ms,
            failure.reason,
            type(decision).__name__,
        )
        match decision:
            case SendAgain():
                self._metrics.retries.labels(failure.ran.value).inc()
            case GiveUp(kind, retry_after_ms):
                raise ServiceError(kind, failure.reason, retry_after_ms)

    def record_error(self, upstream, error):
        """Take in that a try of an upstream brought no answer.

        :param upstream: the upstream.
        :param error: the :class:`~goldcrestmoor.errors.ServiceError`.
        """
        if error.kind is ErrorKind.UPSTREAM_TIMEOUT:
            self._loads.record_timeout(upstream, self.route.name)
        else:
            self._loads.record_failure(upstream)

    def record_response(self, status):
        """Log the answer that is passed on.

        :param status: its HTTP status.
        """
        log.info(
            "Request %s on route %s answered %d by %s, upstream %d of it, %d ms left.",
            self.request.id,
            self.route.name,
            status,
            self._sent_to[-1],
            len(self._sent_to),
            self.deadline.remaining_ms(),
        )

    def _has_alternative(self):
        return self._loads.choose(self._service, self._sent_to) is not None


class Sender:
    """What the ways to send a request to upstreams have in common.

    :param http: the ``HttpClient``.
    :param loads: the :class:`~goldcrestmoor.request.upstream_loads.UpstreamLoads`.
    :param dialect: how the upstreams are spoken to.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = ("_http", "_loads", "_dialect", "_metrics")

    def __init__(self, *, http, loads, dialect, metrics):
        self._http = http
        self._loads = loads
        self._dialect = dialect
        self._metrics = metrics

    def _new_attempts(self, request, route, deadline):
        """Return the record of a request that has not been sent yet."""
        return RequestAttempts(
            request=request,
            route=route,
            deadline=deadline,
            loads=self._loads,
            metrics=self._metrics,
        )


class Forwarder(Sender):
    """Send requests to upstreams, straight from this host."""

    __slots__ = ()

    async def forward(self, request, route, deadline):
        """Return an upstream's whole answer.

        :param request: the :class:`CallerRequest`.
        :param route: its :class:`~goldcrestmoor.version.configuration.routes.Route`.
        :param deadline: when the answer must be there.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        :raises ServiceError: ``NO_UPSTREAM`` or ``OVERLOADED`` when it surely was
            not run, ``UPSTREAM_FAILED`` or ``UPSTREAM_TIMEOUT`` when it may have.
        """
        attempts = self._new_attempts(request, route, deadline)
        while True:
            upstream = attempts.next_upstream()
            outcome = await self._attempt(upstream, attempts)
            match outcome:
                case AppResponse():
                    attempts.record_response(outcome.status)
                    return outcome
                case FailedAttempt():
                    attempts.retry_or_raise(outcome)

    async def _attempt(self, upstream, attempts):
        request, route = attempts.request, attempts.route
        headers = self._dialect.request_headers(
            request.headers, upstream, attempts.deadline.remaining_ms()
        )
        try:
            with (
                self._loads.track_request(upstream),
                tracing.span("forward", upstream=upstream.name),
            ):
                response = await self._http.request(
                    upstream.address,
                    upstream.port,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    max(1, attempts.timeout_ms()),
                    idempotent=route.retry_policy is not RetryPolicy.NEVER,
                    connect_timeout_ms=CONNECT_TIMEOUT_MS,
                    allow_close_delimited=True,
                )
        except ServiceError as e:
            attempts.record_error(upstream, e)
            return FailedAttempt(e.answer.ran, e.message)
        return self._classify(upstream, attempts, response)

    def _classify(self, upstream, attempts, response):
        status, headers = response.status, response.headers
        if self._dialect.ran(status, headers) is Ran.NOT_RUN:
            return FailedAttempt(Ran.NOT_RUN, f"Not run, answered {status}")
        if not self._dialect.is_genuine(attempts.request.id, status, headers):
            self._loads.record_failure(upstream)
            return FailedAttempt(Ran.UNKNOWN, "The answer is spoilt or another's")
        self._loads.record_response(upstream, attempts.route.name)
        if (
            status == SERVER_ERROR
            and attempts.route.retry_policy is RetryPolicy.IDEMPOTENT
        ):
            return FailedAttempt(Ran.RAN, "The server failed")
        return AppResponse(status, tuple(headers), response.body)
