"""Serves callers on the users' platform: forwards requests and handles job calls."""

import asyncio
import contextlib
import logging
from urllib.parse import unquote

import msgspec
from blacksheep import Content, Request, Response, StreamedContent

from goldcrestmoor import logs
from goldcrestmoor.clock import MS_PER_SECOND, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.calls import EndJob, ReadItem, ReadResults, SubmitJob
from goldcrestmoor.process import memory_guard, read_ahead
from goldcrestmoor.request.app_routes import METHODS, to_response
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.forwarding import CallerRequest
from goldcrestmoor.request.key_check import NO_ACCOUNT
from goldcrestmoor.request.streaming import StreamResponse
from goldcrestmoor.version.configuration.routes import RouteKind

log = logging.getLogger("goldcrestmoor.callers")

JSON = b"application/json"
OCTET_STREAM = b"application/octet-stream"
# A starting host has its routes after a few reads of the store.
NO_ROUTES_RETRY_MS = 500

# Longer than calls of jobs take while the store answers; they have no deadline.
JOB_CALL_MS = 2500

# Metric labels of requests that no route matches.
KIND_UNKNOWN = "unknown"
KIND_JOB_CALL = "job call"


class _RequestKind:
    """The kind of a request, for the metrics; unknown until it is routed."""

    __slots__ = ("kind",)

    def __init__(self):
        self.kind = KIND_UNKNOWN


class FrontRequestHandler:
    """Routes callers' requests to forwarders and the job API.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param routing: the :class:`~goldcrestmoor.process.routing.Routing`.
    :param forwarder: the :class:`~goldcrestmoor.request.forwarding.Forwarder`.
    :param streams: the :class:`~goldcrestmoor.request.streaming.StreamForwarder`.
    :param job_api: the :class:`~goldcrestmoor.job.job_api.JobApi`.
    :param dialect: decodes and encodes the callers' protocol.
    :param keys: the :class:`~goldcrestmoor.process.client_keys.ClientKeys`.
    :param exchange: the
        :class:`~goldcrestmoor.process.configuration_exchange.ConfigurationExchange`.
    :param in_flight: the :class:`~goldcrestmoor.process.shutdown.InFlight`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_routing",
        "_forwarder",
        "_streams",
        "_job_api",
        "_dialect",
        "_keys",
        "_exchange",
        "_in_flight",
        "_metrics",
    )

    def __init__(
        self,
        *,
        clock,
        routing,
        forwarder,
        streams,
        job_api,
        dialect,
        keys,
        exchange,
        in_flight,
        metrics,
    ):
        self._clock = clock
        self._routing = routing
        self._forwarder = forwarder
        self._streams = streams
        self._job_api = job_api
        self._dialect = dialect
        self._keys = keys
        self._exchange = exchange
        self._in_flight = in_flight
        self._metrics = metrics

    def register(self, app):
        """Handle every request of an application.

        :param app: the blacksheep application.
        """

        async def handle(request: Request) -> Response:
            return await self._handle(request)

        for method in METHODS:
            app.router.add(method, "/*", handle)

    async def _handle(self, request):
        request_kind, started_ms = _RequestKind(), self._clock.now_ms()
        outcome = "answered"
        try:
            response = await self._serve(request, request_kind)
            _count_body(request, response)
            return response
        except ServiceError as e:
            outcome = e.code
            log.info(
                "%s %s ends with %s: %s", request.method, _path(request), e.code, e
            )
            raise
        except asyncio.CancelledError:
            outcome = "caller gone"
            raise
        finally:
            elapsed_s = (self._clock.now_ms() - started_ms) / MS_PER_SECOND
            self._metrics.answers.labels(request_kind.kind, outcome).inc()
            self._metrics.answer_seconds.labels(request_kind.kind).observe(elapsed_s)

    async def _serve(self, request, request_kind):
        await self._exchange.wait_after_freeze()
        table = self._routing.table
        if table is None:
            text = "This host has not loaded its routes yet."
            raise ServiceError(ErrorKind.NO_UPSTREAM, text, NO_ROUTES_RETRY_MS)
        host = _host(request)
        path = _path(request)
        headers = [(name.lower(), value) for name, value in request.headers]
        query = request.scope.get("query_string", b"").decode("latin-1")
        call = self._dialect.job_call(request.method, path, query, headers)
        if call is not None and self._job_api.serves(table, host, call.job_id):
            request_kind.kind = KIND_JOB_CALL
            is_public = self._job_api.is_public(table, host, call.job_id)
            account = self._authenticate(headers, is_public)
            return await self._answer_job_call(call, account)
        route = table.match(host, path)
        if route is None:
            raise ServiceError(ErrorKind.NOT_FOUND, "There is no such route.")
        request_kind.kind = route.kind.value
        account = self._authenticate(headers, route.is_public)
        # The deadline starts here, although the body may still be arriving.
        deadline = self._deadline(route, headers)
        body = await request.read() or b""
        await self._exchange.wait_after_freeze()
        if self._routing.table is not table or not self._exchange.trusts_keys():
            # While the body was arriving, the key may have been withdrawn, the route
            # may have come to need one, or this host may have been frozen.
            route = _with_access(route, self._routing.table.match(host, path))
            account = self._authenticate(headers, route.is_public)
        if route.kind is RouteKind.JOB:
            call = self._dialect.submission(request.method)
            if call is not None:
                self._in_flight.check_time(JOB_CALL_MS)
                return await self._submit(call, host, path, body, account, route)
        self._in_flight.check_time(deadline.remaining_ms())
        if account is not None and account.priority is not None:
            route = msgspec.structs.replace(route, priority=account.priority)
        forwarded = CallerRequest(
            self._dialect.request_id(headers),
            request.method,
            _target(request),
            self._dialect.forwarded_headers(headers, _name(account)),
            body,
            self._dialect.resumed_id(headers),
            _name(account) or "",
        )
        if route.kind is RouteKind.STREAM:
            answer = await self._streams.forward(forwarded, route, deadline)
        else:
            answer = await self._forwarder.forward(forwarded, route, deadline)
        match answer:
            case StreamResponse():
                return _to_streaming_response(answer, request, deadline)
            case AppResponse():
                return to_response(answer, request.method)

    def _deadline(self, route, headers):
        requested_ms = self._dialect.deadline_ms(headers)
        timeouts_ms = [ms for ms in (requested_ms, route.timeout_ms) if ms]
        return Deadline.after(self._clock, min(timeouts_ms))

    def _authenticate(self, headers, is_public):
        key = self._dialect.api_key(headers)
        if self._keys.accounts is not None:
            if not is_public:
                self._exchange.check_current()
            elif key and not self._exchange.trusts_keys():
                # It may have been withdrawn, and is ignored as an invalid one is.
                key = b""
        return self._keys.authenticate(key, is_public)

    async def _submit(self, call, host, path, body, account, route):
        match call:
            case SubmitJob():
                job_id = logs.request_id.get()
                # Jobs of public routes belong to no account, whatever their key.
                owner = _name(NO_ACCOUNT if account and route.is_public else account)
                job = self._dialect.decode_job(job_id, host, path, body, owner)
                if account is NO_ACCOUNT:
                    self._check_items_public(job)
                await self._job_api.submit(job)
                return Response(202)

    def _check_items_public(self, job):
        """Refuse a job without a key if an item or a reward call needs one.

        They could go to any route, and a public one must give no access to the others.
        """
        table = self._routing.table
        for item in job.items:
            targets = [(job.host, item.path)]
            if item.reward_call is not None:
                targets.append((item.reward_call.host, item.reward_call.path))
            for host, path in targets:
                if not table.is_public(host, path):
                    self._exchange.check_current()
                    self._keys.authenticate(b"", is_public=False)

    async def _answer_job_call(self, call, account):
        name = _name(account)
        match call:
            case ReadResults():
                self._in_flight.check_time(call.wait_ms + JOB_CALL_MS)
                max_bytes = self._dialect.MAX_PAGE_BYTES
                total, results = await self._job_api.results(call, max_bytes, name)
                body = self._dialect.encode_page(total, call.after, results)
                return Response(200, None, Content(JSON, body))
            case ReadItem():
                self._in_flight.check_time(JOB_CALL_MS)
                body = await self._job_api.item_body(call, name)
                return Response(200, None, Content(OCTET_STREAM, body))
            case EndJob():
                self._in_flight.check_time(JOB_CALL_MS)
                await self._job_api.end(call, name)
                return Response(200)


def _name(account):
    """Return the name of an account, empty for none, or None without accounts."""
    return None if account is None else account.name


def _with_access(route, newer):
    """Return a route that needs an API key as it does in a newer configuration.

    :param route: the route that a request is forwarded by.
    :param newer: the route of the newer configuration; None if that has none.
    """
    if newer is None or newer.is_public == route.is_public:
        return route
    return msgspec.structs.replace(route, is_public=newer.is_public)


def _count_body(request, response):
    """Count a whole response as held until the caller has it, where memory counts."""
    memory = memory_guard.of_scope(request.scope)
    if memory is not None and response.content and response.content.length > 0:
        memory.add_response(response.content.length)


def _to_streaming_response(answer, request, deadline):
    headers = list(answer.headers)
    content_type = dict(headers).get(b"content-type")
    others = [
        (name, value)
        for name, value in headers
        if name not in (b"content-type", b"content-length")
    ]

    async def events():
        async with contextlib.aclosing(answer.events):
            async for event in answer.events:
                yield event

    provider = read_ahead.buffered(request, events, deadline)
    return Response(200, others, StreamedContent(content_type, provider))


def _host(request):
    value = request.get_first_header(b"host") or b""
    host = value.decode("latin-1").lower()
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def _raw_path(request):
    return request.scope.get("raw_path") or request.scope["path"].encode()


def _path(request):
    return unquote(_raw_path(request).decode("latin-1"))


def _target(request):
    query = request.scope.get("query_string", b"")
    raw = _raw_path(request) + (b"?" + query if query else b"")
    return raw.decode("latin-1")
