"""Forwarding of a request to the upstreams of its route, with a complete response."""

import hashlib
import logging

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request import retry_decision
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.retry_decision import GiveUp, SendAgain
from goldcrestmoor.request.usage_counter import RequestUsage
from goldcrestmoor.version.configuration.routes import RetryPolicy

log = logging.getLogger("goldcrestmoor.forward")

SERVER_ERROR = 500
# Several round trips between zones; also bounds the time lost on a partitioned server.
CONNECT_TIMEOUT_MS = 150
DIGEST_BYTES = 16


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's complete request.

    :param id: the request's id, given by the caller.
    :param method: the HTTP method.
    :param target: the path and query, as received.
    :param headers: ``(name, value)`` byte pairs to forward.
    :param body: the body.
    :param resumed_id: the id of the request that began the stream which this one
        continues; empty if not stated, None for a new stream.
    :param account: the client account that it belongs to; empty for none.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    resumed_id: str | None = None
    account: str = ""

    def content_digest(self, host):
        """Return what identifies the request however often its caller sends it.

        :param host: the host of its route.
        """
        caller = dict(self.headers).get(b"authorization", b"")
        parts = [host.encode(), self.method.encode(), self.target.encode(), caller]
        # Stored digests of requests without an account stay as they were.
        if self.account:
            parts.append(self.account.encode())
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (*parts, self.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.hexdigest()


class FailedAttempt(msgspec.Struct, frozen=True):
    """The outcome of an attempt that gave no response to forward.

    :param ran: whether the upstream ran the request.
    :param reason: the reason, as a sentence.
    """

    ran: Ran
    reason: str


class RequestAttempts:
    """The attempts of one request: the upstreams it was sent to, and its run state.

    :param request: the :class:`CallerRequest`.
    :param route: its :class:`~goldcrestmoor.version.configuration.routes.Route`.
    :param deadline: the time by which the response must be complete.
    :param loads: the :class:`~goldcrestmoor.request.upstream_loads.UpstreamLoads`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param crashes: the :class:`~goldcrestmoor.process.crash_reports.CrashReports`.
    :param usage: the :class:`~goldcrestmoor.request.usage_counter.UsageCounter`, or
        None.
    :param shedding: the :class:`~goldcrestmoor.request.load_shedding.LoadShedding`, or
        None.
    :ivar service: the service that the request goes to.
    :ivar software_version: the only software version that may serve it, if any.
    """

    __slots__ = (
        "request",
        "route",
        "deadline",
        "service",
        "software_version",
        "_loads",
        "_metrics",
        "_crashes",
        "_shedding",
        "_digest",
        "_lost_responses",
        "_sent_to",
        "_possible_runs",
        "_ran",
        "_usage",
        "_total_ms",
    )

    def __init__(
        self,
        *,
        request,
        route,
        deadline,
        loads,
        metrics,
        crashes,
        usage=None,
        shedding=None,
    ):
        self.request = request
        self.route = route
        self.deadline = deadline
        self._loads = loads
        self._metrics = metrics
        self._crashes = crashes
        self._shedding = shedding
        self._digest = None
        self._lost_responses = 0
        self.service = route.service_for(request.resumed_id or request.id)
        self.software_version = None
        self._sent_to = []
        self._possible_runs = 0
        self._ran = Ran.NOT_RUN
        self._usage = RequestUsage(usage, request.account)
        self._total_ms = deadline.remaining_ms()

    async def next_upstream(self):
        """Return the upstream for the next attempt, which has admitted the request.

        :raises ServiceError: ``NO_UPSTREAM`` when the service has no upstream left,
            ``OVERLOADED`` when its upstreams admit no more requests,
            ``REQUEST_BLOCKED`` when servers crashed under it too often,
            ``UPSTREAM_FAILED`` when an earlier attempt may have been run.
        """
        self._check_crashes()
        upstream = await self._loads.admit_one(
            self.service, self._sent_to, self.software_version, len(self.request.body)
        )
        if upstream is None:
            raise self._unavailable()
        self._sent_to.append(upstream.name)
        return upstream

    def check_time_left(self):
        """Raise if no server would respond in the time left, unless it may have run.

        :raises ServiceError: ``QUEUE_TIMEOUT``.
        """
        if self._shedding is not None and self._ran is Ran.NOT_RUN:
            self._shedding.check_time_left(
                self.service, self.route.priority, self.deadline.remaining_ms()
            )

    def _check_crashes(self):
        if self._crashes.is_empty():
            return
        try:
            self._crashes.check(self._content_digest())
        except ServiceError as e:
            if self._ran is Ran.NOT_RUN:
                raise
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, e.message) from e

    def _content_digest(self):
        if self._digest is None:
            self._digest = self.request.content_digest(self.route.host)
        return self._digest

    def _unavailable(self):
        if self._ran is not Ran.NOT_RUN:
            text = f"No other server of {self.service} is available."
            return ServiceError(ErrorKind.UPSTREAM_FAILED, text)
        pause_ms = self._loads.pause_ms(self.service)
        if pause_ms is not None:
            text = f"The servers of {self.service} accept no more requests now."
            return ServiceError(ErrorKind.OVERLOADED, text, pause_ms)
        if self._loads.is_full(self.service, len(self.request.body)):
            text = f"The servers of {self.service} have no room for this request now."
            after_ms = retry_decision.RETRY_AFTER_FULL_MS
            return ServiceError(ErrorKind.OVERLOADED, text, after_ms)
        text = f"No server of {self.service} is available."
        after_ms = retry_decision.RETRY_AFTER_NONE_MS
        return ServiceError(ErrorKind.NO_UPSTREAM, text, after_ms)

    def timeout_ms(self):
        """Return the timeout of the current attempt, in milliseconds."""
        return retry_decision.attempt_timeout_ms(
            self.route.retry_policy,
            self._possible_runs,
            self.route.attempts,
            self.deadline.remaining_ms(),
            self.route.target_ms,
            self._has_alternative(),
        )

    def retry_or_raise(self, failure):
        """Decide what follows a failed attempt; return when the request is retried.

        :param failure: the :class:`FailedAttempt`.
        :raises ServiceError: when the request is not retried.
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
            self._lost_responses > 0
            and not self._crashes.may_send_again(self._content_digest()),
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
                if kind is ErrorKind.OVERLOADED and self._shedding is not None:
                    retry_after_ms = self._shedding.record_refused(
                        self.service, self.route.priority, retry_after_ms
                    )
                raise ServiceError(kind, failure.reason, retry_after_ms)

    def record_error(self, upstream, error):
        """Record that an attempt got no response.

        :param upstream: the upstream.
        :param error: the :class:`~goldcrestmoor.errors.ServiceError`.
        """
        if error.kind is ErrorKind.DRAINING:
            return
        if error.kind is ErrorKind.UPSTREAM_TIMEOUT:
            self._loads.record_timeout(upstream, self.route.name)
        else:
            self._loads.record_failure(upstream)

    async def record_lost_response(self, upstream, sent_ms, error):
        """Record that a request that may have run got no response.

        :param upstream: the upstream.
        :param sent_ms: when it was sent.
        :param error: the :class:`~goldcrestmoor.errors.ServiceError`.
        """
        if error.kind is not ErrorKind.UPSTREAM_FAILED:
            return
        self._lost_responses += 1
        await self._crashes.record_failure(
            upstream,
            self._content_digest(),
            self.request.id,
            sent_ms,
            self._lost_responses == 1,
        )

    def record_start(self):
        """Count the request in its account's usage, unless it is counted already."""
        self._usage.start()

    def record_not_run(self):
        """Withdraw it from the usage, unless an earlier attempt may have been run."""
        if self._ran is Ran.NOT_RUN:
            self._usage.withdraw()

    def record_run(self):
        """Record that an upstream ran the request and didn't crash."""
        if not self._crashes.is_empty():
            self._crashes.record_answer(self._content_digest())

    def record_response_time(self, sent_ms):
        """Record how long a server took for its response.

        :param sent_ms: when the request was sent.
        """
        if self._shedding is not None:
            self._shedding.record_response(self.service, sent_ms)

    def record_response(self, status):
        """Log the response that is forwarded.

        :param status: its HTTP status.
        """
        log.info(
            "Request %s on route %s answered %d by %s, upstream %d tried, %d ms left.",
            self.request.id,
            self.route.name,
            status,
            self._sent_to[-1],
            len(self._sent_to),
            self.deadline.remaining_ms(),
        )

    def _has_alternative(self):
        upstream = self._loads.choose(
            self.service, self._sent_to, self.software_version, len(self.request.body)
        )
        return upstream is not None


class Sender:
    """Base class of the forwarders.

    :param http: the ``HttpClient``.
    :param loads: the :class:`~goldcrestmoor.request.upstream_loads.UpstreamLoads`.
    :param dialect: the header conventions of the upstreams.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = ("_http", "_loads", "_dialect", "_metrics")

    def __init__(self, *, http, loads, dialect, metrics):
        self._http = http
        self._loads = loads
        self._dialect = dialect
        self._metrics = metrics

    def _record_server_state(self, upstream, request_id, status, headers):
        """Record what a server's genuine response says of the server itself."""
        if not self._dialect.is_genuine(request_id, status, headers):
            return
        name = self._dialect.leaving_server(upstream.name, status, headers)
        if name is not None:
            self._loads.record_leaving(name, upstream)
        limit = self._dialect.stated_limit(status, headers)
        self._loads.record_limit(upstream, limit)

    async def _attempt_failure(self, upstream, request_id, response):
        """Return None if a server ran a request, else the failure of the attempt.

        The body of a response to another request is left unread, which closes its
        connection: the response to this one may still arrive there.

        :param upstream: the server.
        :param request_id: the request's id, as it was sent.
        :param response: the ``ResponseStream``, whose body has not been read.
        """
        status, headers = response.status, response.headers
        self._record_server_state(upstream, request_id, status, headers)
        match self._dialect.ran(request_id, status, headers):
            case Ran.RAN:
                return None
            case Ran.NOT_RUN:
                await response.discard()
                return FailedAttempt(Ran.NOT_RUN, f"Not run, answered {status}")
            case Ran.UNKNOWN:
                return FailedAttempt(Ran.UNKNOWN, "The response is spoilt or another's")


class CallerRequestSender(Sender):
    """Base class of the forwarders of callers' requests.

    Takes the parameters of :class:`Sender`, and:

    :param crashes: the :class:`~goldcrestmoor.process.crash_reports.CrashReports`.
    :param paths: the :class:`~goldcrestmoor.process.server_paths.ServerPaths`.
    :param usage: the :class:`~goldcrestmoor.request.usage_counter.UsageCounter`; None
        where usage isn't reported.
    :param shedding: the :class:`~goldcrestmoor.request.load_shedding.LoadShedding`;
        None to refuse no request for load.
    """

    __slots__ = ("_crashes", "_paths", "_usage", "_shedding")

    def __init__(self, *, crashes, paths, usage=None, shedding=None, **forwarding):
        super().__init__(**forwarding)
        self._crashes = crashes
        self._paths = paths
        self._usage = usage
        self._shedding = shedding

    def _new_attempts(self, request, route, deadline):
        """Return the attempts of a request that has not been sent yet."""
        return RequestAttempts(
            request=request,
            route=route,
            deadline=deadline,
            loads=self._loads,
            metrics=self._metrics,
            crashes=self._crashes,
            usage=self._usage,
            shedding=self._shedding,
        )


class Forwarder(CallerRequestSender):
    """Forward requests directly from this host to upstreams."""

    __slots__ = ()

    async def forward(self, request, route, deadline):
        """Return an upstream's complete response.

        :param request: the :class:`CallerRequest`.
        :param route: its :class:`~goldcrestmoor.version.configuration.routes.Route`.
        :param deadline: the time by which the response must be complete.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        :raises ServiceError: ``NO_UPSTREAM``, ``OVERLOADED`` or ``QUEUE_TIMEOUT`` when
            the request was certainly not run, ``UPSTREAM_FAILED`` or
            ``UPSTREAM_TIMEOUT`` when it may have been.
        """
        attempts = self._new_attempts(request, route, deadline)
        while True:
            attempts.check_time_left()
            upstream = await attempts.next_upstream()
            outcome = await self._attempt(upstream, attempts)
            match outcome:
                case AppResponse():
                    attempts.record_response(outcome.status)
                    return outcome
                case FailedAttempt():
                    if outcome.ran is Ran.NOT_RUN:
                        attempts.record_not_run()
                    attempts.retry_or_raise(outcome)

    async def _attempt(self, upstream, attempts):
        request, route = attempts.request, attempts.route
        headers = self._dialect.request_headers(
            request.headers, upstream, attempts.deadline.remaining_ms()
        )
        sent_ms = attempts.deadline.clock.now_ms()

        def before_send():
            self._loads.check_usable(upstream)
            # Before the response, so that a window that closes meanwhile has it.
            attempts.record_start()

        try:
            with (
                self._loads.track_request(upstream, len(request.body)),
                tracing.span("forward", upstream=upstream.name),
            ):
                async with self._paths.stream(
                    upstream,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    max(1, attempts.timeout_ms()),
                    idempotent=route.retry_policy is not RetryPolicy.NEVER,
                    connect_timeout_ms=CONNECT_TIMEOUT_MS,
                    allow_close_delimited=True,
                    before_send=before_send,
                ) as response:
                    return await self._read_response(
                        upstream, attempts, response, sent_ms
                    )
        except ServiceError as e:
            attempts.record_error(upstream, e)
            await attempts.record_lost_response(upstream, sent_ms, e)
            return FailedAttempt(e.answer.ran, e.message)

    async def _read_response(self, upstream, attempts, response, sent_ms):
        failure = await self._attempt_failure(upstream, attempts.request.id, response)
        if failure is not None:
            if failure.ran is not Ran.NOT_RUN:
                self._loads.record_failure(upstream)
            return failure
        status, headers = response.status, response.headers
        body = await self._http.read_body(response)
        self._loads.record_response(upstream, attempts.route.name)
        attempts.record_run()
        attempts.record_response_time(sent_ms)
        if (
            status == SERVER_ERROR
            and attempts.route.retry_policy is RetryPolicy.IDEMPOTENT
        ):
            return FailedAttempt(Ran.RAN, "The server failed")
        return AppResponse(status, tuple(headers), body)
