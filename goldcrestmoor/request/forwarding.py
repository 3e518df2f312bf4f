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


class TryEnd(msgspec.Struct, frozen=True):
    """How a try ended that gave no answer to pass on.

    :param ran: whether the upstream ran the request.
    :param reason: why, as a sentence.
    """

    ran: Ran
    reason: str


class Tries:
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
        "_runs",
        "_ran",
        "_allowed_ms",
    )

    def __init__(self, *, request, route, deadline, loads, metrics):
        self.request = request
        self.route = route
        self.deadline = deadline
        self._loads = loads
        self._metrics = metrics
        self._service = route.service_for(request.id)
        self._sent_to = []
        self._runs = 0
        self._ran = Ran.NOT_RUN
        self._allowed_ms = deadline.remaining_ms()

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

    def bound_ms(self):
        """Return how long the current try may wait, in milliseconds."""
        return retry_decision.attempt_timeout_ms(
            self.route.retry_policy,
            self._runs,
            self.route.attempts,
            self.deadline.remaining_ms(),
            self.route.target_ms,
            self._has_other(),
        )

    def settle(self, end):
        """Decide what follows a try without an answer; return to send it again.

        :param end: the :class:`TryEnd`.
        :raises ServiceError: when the request is given up.
        """
        if end.ran is not Ran.NOT_RUN:
            self._ran = Ran.UNKNOWN
            self._runs += 1
        decision = retry_decision.decide_retry(
            self._ran,
            self.route.retry_policy,
            self._runs,
            self.route.attempts,
            self.deadline.remaining_ms(),
            self._has_other(),
        )
        log.info(
            "Request %s on route %s at %s, %d of %d ms left: %s; %s.",
            self.request.id,
            self.route.name,
            self._sent_to[-1],
            self.deadline.remaining_ms(),
            self._allowed_ms,
            end.reason,
            type(decision).__name__,
        )
        match decision:
            case SendAgain():
                self._metrics.retries.labels(end.ran.value).inc()
            case GiveUp(kind, retry_after_ms):
                raise ServiceError(kind, end.reason, retry_after_ms)

    def note_error(self, upstream, error):
        """Take in that a try of an upstream brought no answer.

        :param upstream: the upstream.
        :param error: the :class:`~goldcrestmoor.errors.ServiceError`.
        """
        if error.kind is ErrorKind.UPSTREAM_TIMEOUT:
            self._loads.note_timeout(upstream, self.route.name)
        else:
            self._loads.note_failure(upstream)

    def note_answer(self, status):
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

    def _has_other(self):
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

    def _tries(self, request, route, deadline):
        """Return the record of a request that has not been sent yet."""
        return Tries(
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
        tries = self._tries(request, route, deadline)
        while True:
            upstream = tries.next_upstream()
            outcome = await self._try(upstream, tries)
            match outcome:
                case AppResponse():
                    tries.note_answer(outcome.status)
                    return outcome
                case TryEnd():
                    tries.settle(outcome)

    async def _try(self, upstream, tries):
        request, route = tries.request, tries.route
        headers = self._dialect.request_headers(
            request.headers, upstream, tries.deadline.remaining_ms()
        )
        try:
            with (
                self._loads.counted(upstream),
                tracing.span("forward", upstream=upstream.name),
            ):
                response = await self._http.request(
                    upstream.address,
                    upstream.port,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    max(1, tries.bound_ms()),
                    idempotent=route.retry_policy is not RetryPolicy.NEVER,
                    connect_timeout_ms=CONNECT_TIMEOUT_MS,
                    allow_close_delimited=True,
                )
        except ServiceError as e:
            tries.note_error(upstream, e)
            return TryEnd(e.answer.ran, e.message)
        return self._judge(upstream, tries, response)

    def _judge(self, upstream, tries, response):
        status, headers = response.status, response.headers
        if self._dialect.ran(status, headers) is Ran.NOT_RUN:
            return TryEnd(Ran.NOT_RUN, f"Not run, answered {status}")
        if not self._dialect.is_genuine(tries.request.id, status, headers):
            self._loads.note_failure(upstream)
            return TryEnd(Ran.UNKNOWN, "The answer is spoilt or another's")
        self._loads.note_answer(upstream, tries.route.name)
        if (
            status == SERVER_ERROR
            and tries.route.retry_policy is RetryPolicy.IDEMPOTENT
        ):
            return TryEnd(Ran.RAN, "The server failed")
        return AppResponse(status, tuple(headers), response.body)
