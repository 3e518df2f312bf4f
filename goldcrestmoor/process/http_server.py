"""HTTP server for callers, built on blacksheep and uvicorn."""

import asyncio
import contextlib
import logging
import math
import re
import socket
from collections.abc import Callable

import msgspec
import uvicorn
from blacksheep import Application, Content, Response, Router
from blacksheep.scribe import send_asgi_response

from goldcrestmoor import errors, logs, tracing, util
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError, UserError
from goldcrestmoor.process import memory_guard
from goldcrestmoor.process.http_protocol import protocol_class
from goldcrestmoor.process.memory_guard import MemoryGuard

log = logging.getLogger("goldcrestmoor.http")

# Callers that send a request every few seconds keep their connection.
KEEP_ALIVE_MS = 30_000
# Time for aborted requests to send their error response.
STOP_GRACE_MS = 2000
# The date in responses has a resolution of one second.
DATE_INTERVAL_MS = 1000
UNTRACKED_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
EXIT_CANNOT_LISTEN = 1
REQUEST_ID = re.compile(r"^[A-Za-z0-9._-]{1,64}$")


def error_response(error, request_id="", retry_headers=None):
    """Return the response for an error.

    :param error: a :class:`~goldcrestmoor.errors.ServiceError`.
    :param request_id: the request that failed.
    :param retry_headers: returns the headers for a retry delay in milliseconds; the
        service's default headers when omitted.
    """
    body = msgspec.json.encode(errors.to_body(error, request_id))
    content = Content(b"application/json", body)
    headers = (retry_headers or _retry_headers)(error.retry_after_ms)
    return Response(error.answer.status, headers, content)


def _retry_headers(after_ms):
    if after_ms <= 0:
        return []
    seconds = math.ceil(after_ms / MS_PER_SECOND)
    return [
        (b"Retry-After", str(seconds).encode()),
        (b"Retry-After-Ms", str(math.ceil(after_ms)).encode()),
    ]


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and does not poll for its end.

    uvicorn wakes ten times a second to see whether to exit; an idle host with three
    servers would wake for little else.
    """

    def __init__(self, config):
        super().__init__(config)
        self.ready = asyncio.Event()
        self._stopping = asyncio.Event()

    @property
    def is_stopping(self):
        """Whether :meth:`stop` was called."""
        return self._stopping.is_set()

    def stop(self):
        """Accept no new connections and end once the requests in flight are done."""
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self):
        # The counter is 0, so that each tick renews the date in the responses.
        while not await self.on_tick(0):
            try:
                async with asyncio.timeout(DATE_INTERVAL_MS / MS_PER_SECOND):
                    await self._stopping.wait()
            except TimeoutError:
                pass

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def startup(self, sockets=None):
        await super().startup(sockets=sockets)
        self.ready.set()


class ServerOptions(msgspec.Struct, frozen=True):
    """Options of one server.

    :param port: the TCP port, if not the host's HTTP port.
    :param id_header: the header that carries the caller's request id.
    :param retry_headers: as for :func:`error_response`.
    :param keep_alive_ms: how long an idle connection stays open, in milliseconds.
    :param cancels_on_disconnect: whether a disconnect of the caller cancels every
        request, not only a stream that has started.
    :param is_closing: returns whether to close connections after a response.
    :param memory: counts and bounds what connections hold; None for no bound.
    """

    port: int | None = None
    id_header: bytes = b"x-request-id"
    retry_headers: Callable[[int], list] | None = None
    keep_alive_ms: int = KEEP_ALIVE_MS
    cancels_on_disconnect: bool = False
    is_closing: Callable[[], bool] = lambda: False
    memory: MemoryGuard | None = None


class HttpServer:
    """Serves callers on the host's address.

    Routes are added to ``application`` before ``start`` is called.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the host's :class:`~goldcrestmoor.settings.Settings`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param in_flight: counts requests with ``track()``, and rejects them while the
        host shuts down; None to accept all.
    :param options: a :class:`ServerOptions`.
    """

    __slots__ = (
        "application",
        "_clock",
        "_settings",
        "_metrics",
        "_in_flight",
        "_options",
        "_server",
        "_task",
    )

    def __init__(self, *, clock, settings, metrics, in_flight=None, options=None):
        self._options = options or ServerOptions()
        self.application = Application(router=Router(), show_error_details=False)
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._in_flight = in_flight
        self._server = None
        self._task = None
        handlers = self.application.exceptions_handlers
        handlers[ServiceError] = self._answer_error
        handlers[Exception] = self._answer_unexpected
        handlers[404] = self._answer_not_found

    async def start(self):
        """Listen, and serve in a separate task.

        :raises UserError: when listening on the address fails.
        """
        host, limits = self._settings.host, self._settings.limits
        port = self._options.port or host.http_port
        listener = _listen(host.address, port)
        config = uvicorn.Config(
            self._serve,
            http=protocol_class(
                self._metrics, limits.progress_timeout_ms, self._options.memory
            ),
            ws="none",
            interface="asgi3",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            backlog=host.listen_backlog,
            timeout_keep_alive=self._options.keep_alive_ms / MS_PER_SECOND,
            h11_max_incomplete_event_size=limits.max_header_bytes,
        )
        await self.application.start()
        self._server = _Server(config)
        self._task = asyncio.create_task(self._server.serve([listener]), name="http")
        ready = asyncio.create_task(self._server.ready.wait())
        await asyncio.wait([ready, self._task], return_when=asyncio.FIRST_COMPLETED)
        ready.cancel()
        if self._task.done():
            self._task.result()
        log.info("Serving on %s:%d.", host.address, port)

    def close_idle(self):
        """Close the connections that callers keep for later requests."""
        for connection in list(self._server.server_state.connections):
            connection.close_if_idle()

    async def stop(self, timeout_ms):
        """Accept no new connections, and let requests in flight finish.

        :param timeout_ms: when to abort unfinished requests, in milliseconds.
        """
        if self._server is None:
            return
        self._server.config.timeout_graceful_shutdown = timeout_ms / MS_PER_SECOND
        self._server.stop()
        bound_s = (timeout_ms + STOP_GRACE_MS) / MS_PER_SECOND
        done, _ = await asyncio.wait([self._task], timeout=bound_s)
        if not done:
            log.warning("Aborted requests that did not finish in %d ms.", timeout_ms)
            self._task.cancel()
        await self.application.stop()

    async def _serve(self, scope, receive, send):
        if scope["type"] != "http":
            return
        header_by_name = dict(scope["headers"])
        id_header = self._options.id_header
        request_id = header_by_name.get(id_header, b"").decode("latin-1")
        if not REQUEST_ID.match(request_id):
            request_id = util.new_id()
        token = logs.request_id.set(request_id)
        parent = header_by_name.get(b"traceparent", b"").decode("latin-1")
        route = scope["path"].split("/")[1]
        started_ms = self._clock.now_ms()
        memory = memory_guard.of_scope(scope)
        try:
            with tracing.span(f"{scope['method']} /{route}", parent or None):
                send = _with_header(send, id_header, request_id)
                if self._options.is_closing():
                    send = _with_header(send, b"connection", "close")
                watcher = _DisconnectWatcher(
                    receive, send, self._options.cancels_on_disconnect
                )
                receive, limits = watcher.receive, self._settings.limits
                if memory is not None:
                    receive = memory.admitting(
                        receive, header_by_name, limits.max_body_bytes
                    )
                bounded = _with_body_limits(receive, limits)
                try:
                    await watcher.run(self._handle(scope, bounded, watcher.send))
                except asyncio.CancelledError:
                    if watcher.has_started or not self._server.is_stopping:
                        raise
                    await self._answer_interrupted(watcher.send)
        finally:
            if memory is not None:
                memory.end_exchange()
            logs.request_id.reset(token)
            elapsed_s = (self._clock.now_ms() - started_ms) / MS_PER_SECOND
            known = route if route in ("apps", "v1", "operator") else "other"
            self._metrics.request_seconds.labels(known).observe(elapsed_s)

    async def _handle(self, scope, receive, send):
        if self._in_flight is None or scope["path"] in UNTRACKED_PATHS:
            await self.application(scope, receive, send)
            return
        try:
            with self._in_flight.track():
                await self.application(scope, receive, send)
        except ServiceError as e:
            # The application handles its own errors; this one was raised before it ran.
            response = self._error_response(e)
            response.add_header(b"Connection", b"close")
            await send_asgi_response(response, send)

    async def _answer_interrupted(self, send):
        """Answer a request that the end of this server interrupts."""
        text = "This host stopped before the request was done."
        error = ServiceError(ErrorKind.OUTCOME_UNKNOWN, text)
        log.warning("A request is interrupted by the stop.")
        response = self._error_response(error)
        response.add_header(b"Connection", b"close")
        await send_asgi_response(response, send)

    async def _answer_error(self, app, request, error):
        if error.kind in (ErrorKind.BAD_REQUEST, ErrorKind.TOO_LARGE):
            self._metrics.bad_input.labels("request").inc()
        elif error.kind == ErrorKind.UNAUTHORIZED:
            self._metrics.bad_input.labels("token").inc()
        response = self._error_response(error)
        memory = memory_guard.of_scope(request.scope)
        leaves_body = memory is not None and memory.is_closing
        if leaves_body or error.kind in (ErrorKind.TOO_LARGE, ErrorKind.BAD_REQUEST):
            # The rest of the body is not read, so the connection cannot be reused.
            response.add_header(b"Connection", b"close")
        return response

    async def _answer_unexpected(self, app, request, error):
        log.error("A request failed unexpectedly.", exc_info=error)
        internal = ServiceError(ErrorKind.INTERNAL, "Unexpected internal error.")
        return self._error_response(internal)

    async def _answer_not_found(self, app, request, error):
        missing = ServiceError(ErrorKind.NOT_FOUND, "There is no such route.")
        return self._error_response(missing)

    def _error_response(self, error):
        request_id = logs.request_id.get()
        return error_response(error, request_id, self._options.retry_headers)


class _DisconnectWatcher:
    """Cancels the work on a request when its caller disconnects.

    A streaming response is always cancelled. Any other response is completed unless
    ``cancels_all`` is set, because its effects may have to be recorded.

    :ivar has_started: whether the response's head was sent.
    """

    __slots__ = (
        "has_started",
        "_receive",
        "_send",
        "_cancels_all",
        "_task",
        "_watcher",
        "_disconnected",
    )

    def __init__(self, receive, send, cancels_all):
        self._receive = receive
        self._send = send
        self._cancels_all = cancels_all
        self._task = None
        self._watcher = None
        self._disconnected = False
        self.has_started = False

    async def run(self, serving):
        self._task = asyncio.current_task()
        try:
            await serving
        except asyncio.CancelledError:
            if not self._disconnected:
                raise
            log.info("The caller disconnected.")
        finally:
            if self._watcher is not None:
                self._watcher.cancel()

    async def receive(self):
        message = await self._receive()
        is_complete = message["type"] == "http.request" and not message.get("more_body")
        if self._cancels_all and is_complete:
            self._start()
        return message

    async def send(self, message):
        self.has_started = True
        is_last = message["type"] == "http.response.body" and not message.get(
            "more_body"
        )
        if is_last and self._watcher is not None:
            # The watcher would take the end of the response for a disconnect.
            self._watcher.cancel()
        await self._send(message)
        if message.get("more_body"):
            self._start()

    def _start(self):
        if self._watcher is None:
            self._watcher = asyncio.create_task(self._watch())

    async def _watch(self):
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self._disconnected = True
        self._task.cancel()


def _listen(address, port):
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # Without an explicit protocol asyncio leaves Nagle's algorithm enabled, and a
    # response of two writes waits for the caller's delayed acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
    except OSError as e:
        listener.close()
        text = f"Cannot listen on {address}:{port}: {e.strerror}."
        raise UserError(text, EXIT_CANNOT_LISTEN) from e
    listener.setblocking(False)
    return listener


def _with_body_limits(receive, limits):
    total = 0

    async def receive_bounded():
        nonlocal total
        try:
            message = await util.wait_within(limits.progress_timeout_ms, receive)
        except TimeoutError:
            text = "The body stopped coming."
            raise ServiceError(ErrorKind.BAD_REQUEST, text) from None
        total += len(message.get("body", b""))
        if total > limits.max_body_bytes:
            text = f"The body is larger than {limits.max_body_bytes} bytes."
            raise ServiceError(ErrorKind.TOO_LARGE, text)
        return message

    return receive_bounded


def _with_header(send, name, value):
    """Return a ``send`` that adds a header to responses without it."""
    header = (name, value.encode())

    async def send_with_header(message):
        if message["type"] == "http.response.start":
            headers = message["headers"]
            if not any(found.lower() == name for found, _ in headers):
                message["headers"] = [*headers, header]
        await send(message)

    return send_with_header
