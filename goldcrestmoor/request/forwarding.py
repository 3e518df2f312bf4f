"""Forward one request to an upstream of its route, and give its whole answer."""

import logging

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request import send_again
from goldcrestmoor.request.apps import AppAnswer
from goldcrestmoor.request.send_again import GiveUp, SendAgain
from goldcrestmoor.request.upstream_choice import Choice, choose_upstream
from goldcrestmoor.version.routes import Repeat

log = logging.getLogger("goldcrestmoor.forward")

FAILED_PAUSE_MS = 1000
SERVER_ERROR = 500


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


class _Try(msgspec.Struct, frozen=True):
    """How a try ended: with an answer to pass on, or with what is known of it."""

    ran: Ran
    answer: AppAnswer | None = None
    reason: str = ""


class Forwarder:
    """Send requests to upstreams, straight from this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the ``HttpClient``.
    :param directory: the :class:`~goldcrestmoor.process.directory.Directory`.
    :param dialect: how the upstreams are spoken to.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param zone: this host's availability zone.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_directory",
        "_dialect",
        "_metrics",
        "_zone",
        "_in_flight_by_name",
        "_failed_ms_by_name",
    )

    def __init__(self, *, clock, http, directory, dialect, metrics, zone):
        self._clock = clock
        self._http = http
        self._directory = directory
        self._dialect = dialect
        self._metrics = metrics
        self._zone = zone
        self._in_flight_by_name = {}
        self._failed_ms_by_name = {}

    async def forward(self, request, route, deadline):
        """Return an upstream's whole answer.

        :param request: the :class:`CallerRequest`.
        :param route: its :class:`~goldcrestmoor.version.routes.Route`.
        :param deadline: when the answer must be there.
        :return: an :class:`~goldcrestmoor.request.apps.AppAnswer`.
        :raises ServiceError: ``NO_UPSTREAM`` or ``OVERLOADED`` when it surely was
            not run, ``UPSTREAM_FAILED`` or ``UPSTREAM_TIMEOUT`` when it may have.
        """
        service = route.service_for(request.id)
        sent_to, tries, ran = [], 0, Ran.NOT_RUN
        while True:
            upstream = self._choose(service, sent_to)
            if upstream is None:
                text = f"No server of {service} is there."
                raise ServiceError(
                    ErrorKind.NO_UPSTREAM, text, send_again.RETRY_AFTER_NONE_MS
                )
            sent_to.append(upstream.name)
            bound_ms = send_again.try_bound_ms(
                route.repeat,
                tries,
                route.attempts,
                deadline.remaining_ms(),
                route.target_ms,
                self._choose(service, sent_to) is not None,
            )
            ended = await self._try(upstream, request, route, bound_ms, deadline)
            if ended.answer is not None:
                return ended.answer
            if ended.ran is not Ran.NOT_RUN:
                ran = Ran.UNKNOWN
                tries += 1
            decision = send_again.after_try(
                ran,
                route.repeat,
                tries,
                route.attempts,
                deadline.remaining_ms(),
                self._choose(service, sent_to) is not None,
            )
            log.info(
                "Request %s at %s after %d ms left: %s; %s.",
                request.id,
                upstream.name,
                deadline.remaining_ms(),
                ended.reason,
                type(decision).__name__,
            )
            match decision:
                case SendAgain():
                    self._metrics.retries.labels(ended.ran.value).inc()
                case GiveUp(kind, retry_after_ms):
                    raise ServiceError(kind, ended.reason, retry_after_ms)

    def _choose(self, service, sent_to):
        now_ms = self._clock.now_ms()
        upstream_by_name = {u.name: u for u in self._directory.usable(service)}
        choices = (self._view(u, now_ms) for u in upstream_by_name.values())
        name = choose_upstream(choices, sent_to)
        return upstream_by_name.get(name)

    def _view(self, upstream, now_ms):
        failed_ms = self._failed_ms_by_name.get(upstream.name)
        return Choice(
            name=upstream.name,
            in_flight=self._in_flight_by_name.get(upstream.name, 0),
            slots=upstream.slots,
            has_connection=self._http.has_idle(upstream.address, upstream.port),
            is_local=upstream.zone == self._zone,
            has_failed=failed_ms is not None and now_ms - failed_ms < FAILED_PAUSE_MS,
        )

    async def _try(self, upstream, request, route, bound_ms, deadline):
        headers = self._dialect.request_headers(
            request.headers, upstream, deadline.remaining_ms()
        )
        name = upstream.name
        self._in_flight_by_name[name] = self._in_flight_by_name.get(name, 0) + 1
        try:
            with tracing.span("forward", upstream=name):
                response = await self._http.request(
                    upstream.address,
                    upstream.port,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    max(1, bound_ms),
                    idempotent=route.repeat is not Repeat.NEVER,
                    allow_close_delimited=True,
                )
        except ServiceError as e:
            self._failed_ms_by_name[name] = self._clock.now_ms()
            return _Try(e.answer.ran, reason=e.message)
        finally:
            self._end(name)
        return self._judge(upstream, request, route, response)

    def _judge(self, upstream, request, route, response):
        dialect = self._dialect
        if dialect.ran(response.status, response.headers) is Ran.NOT_RUN:
            return _Try(Ran.NOT_RUN, reason=f"Not run, answered {response.status}")
        if not dialect.is_genuine(request.id, response.status, response.headers):
            self._failed_ms_by_name[upstream.name] = self._clock.now_ms()
            return _Try(Ran.UNKNOWN, reason="The answer is spoilt or another's")
        if response.status == SERVER_ERROR and route.repeat is Repeat.FREELY:
            return _Try(Ran.RAN, reason="The server failed")
        return _Try(
            Ran.RAN,
            AppAnswer(response.status, tuple(response.headers), response.body),
        )

    def _end(self, name):
        left = self._in_flight_by_name[name] - 1
        if left:
            self._in_flight_by_name[name] = left
        else:
            del self._in_flight_by_name[name]
