"""Serves callers on the users' platform: forwards requests and handles job calls."""

import asyncio
import contextlib
import logging
from urllib.parse import unquote

from blacksheep import Content, Request, Response, StreamedContent

from goldcrestmoor import logs
from goldcrestmoor.clock import MS_PER_SECOND, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.calls import EndJob, ReadItem, ReadResults, SubmitJob
from goldcrestmoor.request.app_routes import METHODS, to_response
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.forwarding import CallerRequest
from goldcrestmoor.request.streaming import StreamResponse
from goldcrestmoor.version.configuration.routes import RouteKind

log = logging.getLogger("goldcrestmoor.callers")

JSON = b"application/json"
OCTET_STREAM = b"application/octet-stream"
# A starting host has its routes after a few reads of the store.
NO_ROUTES_RETRY_MS = 500

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
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_routing",
        "_forwarder",
        "_streams",
        "_job_api",
        "_dialect",
        "_metrics",
    )

    def __init__(
        self, *, clock, routing, forwarder, streams, job_api, dialect, metrics
    ):
        self._clock = clock
        self._routing = routing
        self._forwarder = forwarder
        self._streams = streams
        self._job_api = job_api
        self._dialect = dialect
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
            return await self._serve(request, request_kind)
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
        table = self._routing.table
        if table is None:
            text = "This host has not loaded its routes yet."
            raise ServiceError(ErrorKind.NO_UPSTREAM, text, NO_ROUTES_RETRY_MS)
        host = _host(request)
        path = _path(request)
        headers = [(name.lower(), value) for name, value in request.headers]
        if table.has_job_route(host):
            query = request.scope.get("query_string", b"").decode("latin-1")
            call = self._dialect.job_call(request.method, path, query, headers)
            if call is not None:
                request_kind.kind = KIND_JOB_CALL
                return await self._answer_job_call(call)
        route = table.match(host, path)
        if route is None:
            raise ServiceError(ErrorKind.NOT_FOUND, "There is no such route.")
        request_kind.kind = route.kind.value
        # The deadline starts here, although the body may still be arriving.
        deadline = self._deadline(route, headers)
        body = await request.read() or b""
        if route.kind is RouteKind.JOB:
            call = self._dialect.submission(request.method)
            if call is not None:
                return await self._submit(call, host, path, body)
        forwarded = CallerRequest(
            self._dialect.request_id(headers),
            request.method,
            _target(request),
            self._dialect.forwarded_headers(headers),
            body,
            self._dialect.resumed_id(headers),
        )
        if route.kind is RouteKind.STREAM:
            answer = await self._streams.forward(forwarded, route, deadline)
        else:
            answer = await self._forwarder.forward(forwarded, route, deadline)
        match answer:
            case StreamResponse():
                return _to_streaming_response(answer)
            case AppResponse():
                return to_response(answer, request.method)

    def _deadline(self, route, headers):
        requested_ms = self._dialect.deadline_ms(headers)
        timeouts_ms = [ms for ms in (requested_ms, route.timeout_ms) if ms]
        return Deadline.after(self._clock, min(timeouts_ms))

    async def _submit(self, call, host, path, body):
        match call:
            case SubmitJob():
                job_id = logs.request_id.get()
                job = self._dialect.decode_job(job_id, host, path, body)
                await self._job_api.submit(job)
                return Response(202)

    async def _answer_job_call(self, call):
        match call:
            case ReadResults():
                max_bytes = self._dialect.MAX_PAGE_BYTES
                total, results = await self._job_api.results(call, max_bytes)
                body = self._dialect.encode_page(total, call.after, results)
                return Response(200, None, Content(JSON, body))
            case ReadItem():
                body = await self._job_api.item_body(call)
                return Response(200, None, Content(OCTET_STREAM, body))
            case EndJob():
                await self._job_api.end(call)
                return Response(200)


def _to_streaming_response(answer):
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

    return Response(200, others, StreamedContent(content_type, events))


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
