"""The HTTP/1.1 client for upstreams and the platform; it never retries."""

import asyncio
import contextlib

import h11
import msgspec

from goldcrestmoor.clock import MS_PER_SECOND, Deadline
from goldcrestmoor.connection.http_connection import (
    FINAL_STATUSES,
    failed,
    unreachable,
)
from goldcrestmoor.connection.http_pool import HttpPool
from goldcrestmoor.connection.response_memory import ResponseBytes, ResponseMemory
from goldcrestmoor.errors import ErrorKind, ServiceError

# Hop-by-hop headers, which are never forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# The client frames requests itself and never waits for 100 Continue.
_FRAMING_HEADERS = frozenset((b"content-length", b"expect"))
_BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"))
_BODILESS_STATUSES = frozenset((204, 304))
# Informational responses before the final one.
MAX_INTERIM_RESPONSES = 16
# Bodies are kept in blocks of about this size while they are read.
BLOCK_BYTES = 64 << 10
# The rest of a response that isn't used is read if it is short, so that its connection
# can be reused.
MAX_DISCARDED_BYTES = 64 << 10
DISCARD_TIMEOUT_MS = 100


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response.

    :param status: the HTTP status.
    :param headers: ``(name, value)`` byte pairs, names in lower case, without
        hop-by-hop headers.
    :param body: the complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class HttpClient:
    """Sends requests over pooled connections, each at most once.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param limits: the :class:`~goldcrestmoor.settings.LimitSettings`.
    :param source: the IP address that connections go out from; any when left out.
    :param memory: the :class:`~goldcrestmoor.process.memory_guard.MemoryGuard` that
        counts request bodies until upstreams have taken them; None to count nothing.
    :param responses: the
        :class:`~goldcrestmoor.connection.response_memory.ResponseMemory` of the
        process; one of its own when left out.
    """

    __slots__ = ("_clock", "_limits", "_pool", "_memory", "_responses")

    def __init__(self, *, clock, limits, source=None, memory=None, responses=None):
        self._clock = clock
        self._memory = memory
        self._limits = limits
        self._responses = responses or ResponseMemory()
        self._pool = HttpPool(clock=clock, limits=limits, source=source)

    async def request(
        self,
        address,
        port,
        method,
        target,
        headers=(),
        body=b"",
        timeout_ms=None,
        idempotent=False,
        on_head=None,
        max_body_bytes=None,
        **options,
    ):
        """Send a request once and return its complete response.

        The parameters and errors are those of :meth:`stream`, and:

        :param on_head: called with the status and headers once they are received.
        :param max_body_bytes: as for :meth:`read_body`.
        :return: an :class:`HttpResponse`.
        :raises ServiceError: also those of :meth:`read_body`.
        """
        async with self.stream(
            address,
            port,
            method,
            target,
            headers,
            body,
            timeout_ms,
            idempotent,
            **options,
        ) as response:
            if on_head is not None:
                on_head(response.status, response.headers)
            body = await self.read_body(response, max_body_bytes)
            return HttpResponse(response.status, response.headers, body)

    async def read_body(self, response, max_bytes=None):
        """Return the whole body of a response.

        :param response: the :class:`ResponseStream`.
        :param max_bytes: the most that it may have; that of the limits by default.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the body is longer, or than the
            memory for responses has room for.
        """
        max_bytes = max_bytes or self._limits.max_body_bytes
        # Large bodies that grow in place would leave holes in the process's memory, and
        # small chunks kept one by one take many times their size.
        blocks, last, size = [], bytearray(), 0
        async for chunk in response.body():
            last += chunk
            size += len(chunk)
            if size > max_bytes:
                raise failed(response.target, "the response body is too large")
            response.hold(size)
            if len(last) >= BLOCK_BYTES:
                blocks.append(last)
                last = bytearray()
        return b"".join((*blocks, last))

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address,
        port,
        method,
        target,
        headers=(),
        body=b"",
        timeout_ms=None,
        idempotent=False,
        *,
        connect_timeout_ms=None,
        head_timeout_ms=None,
        progress_timeout_ms=None,
        allow_close_delimited=False,
        fresh=False,
        before_send=None,
        is_essential=False,
    ):
        """Send a request once and stream its response.

        Leaving the context before the end of the body closes the connection.

        :param address: the upstream's IP address.
        :param port: the upstream's port.
        :param method: the HTTP method.
        :param target: the path and query.
        :param headers: ``(name, value)`` byte pairs; framing is added here.
        :param body: the request body.
        :param timeout_ms: the timeout of the whole exchange; defaults to
            ``request_timeout_ms`` of the limits.
        :param idempotent: whether the caller may repeat the request, so that it may
            be sent on a connection that has been idle for long.
        :param connect_timeout_ms: the connect timeout; defaults to that of the
            limits.
        :param head_timeout_ms: the timeout of the response head.
        :param progress_timeout_ms: the idle timeout of the body.
        :param allow_close_delimited: accept a body that only the close of the
            connection ends, although a truncated one looks complete.
        :param fresh: open a new connection even if the pool has idle ones.
        :param before_send: called once there is a connection, just before the first
            byte is written; raises to prevent it.
        :param is_essential: whether the response is read though others have used up
            the memory for responses.
        :return: a context manager that yields a :class:`ResponseStream`.
        :raises ServiceError: ``UPSTREAM_UNREACHABLE`` when no byte was written,
            ``UPSTREAM_FAILED`` or ``UPSTREAM_TIMEOUT`` when some may have been,
            ``BAD_REQUEST`` when the request is malformed.
        """
        limits = self._limits
        deadline = Deadline.after(self._clock, timeout_ms or limits.request_timeout_ms)
        request = _make_request(address, port, method, target, headers, body)
        endpoint = (address, port)
        connection = await self._pool.acquire(
            endpoint, deadline, idempotent, fresh, connect_timeout_ms
        )
        response = ResponseStream(
            connection,
            deadline,
            progress_timeout_ms or limits.progress_timeout_ms,
            ResponseBytes(self._responses, is_essential),
        )
        try:
            if deadline.passed():
                raise unreachable(endpoint, "no time was left to send the request")
            if before_send is not None:
                before_send()
            connection.send(request, body)
            with self._counted(connection, body):
                await response.read_head(method, head_timeout_ms, allow_close_delimited)
                yield response
        except ServiceError:
            # A network path or server that lost the state of one pooled connection
            # has often lost the state of all of them.
            if connection.reused:
                self._pool.drop(endpoint)
            raise
        finally:
            response.release()
            if response.is_complete:
                self._pool.release(connection)
            else:
                connection.abort()

    def _counted(self, connection, body):
        if self._memory is None:
            return contextlib.nullcontext()
        return self._memory.track_upload(connection.transport, len(body))

    async def connection_error(self, address, port, timeout_ms):
        """Try to connect, and return the error, or None when a connection opens.

        The connection is kept for a later request.

        :param address: the IP address.
        :param port: the TCP port.
        :param timeout_ms: how long to wait for the connection, in milliseconds.
        """
        deadline = Deadline.after(self._clock, timeout_ms)
        try:
            connection = await self._pool.acquire((address, port), deadline, True, True)
        except ServiceError as e:
            return e
        self._pool.release_unused(connection)
        return None

    def drop_idle(self, address, port):
        """Close the idle connections to an upstream.

        :param address: the upstream's IP address.
        :param port: the upstream's port.
        """
        self._pool.drop((address, port))

    def has_idle(self, address, port):
        """Return whether an idle connection to an upstream is open.

        :param address: the upstream's IP address.
        :param port: the upstream's port.
        """
        return self._pool.has_idle((address, port))

    async def close(self):
        """Close every idle connection; requests in flight are completed."""
        await self._pool.close()


class ResponseStream:
    """A response whose body has not been read yet.

    :param connection: the connection, with the request written.
    :param deadline: the request's deadline.
    :param progress_timeout_ms: the idle timeout of the body.
    :param held: counts what is kept of it, a
        :class:`~goldcrestmoor.connection.response_memory.ResponseBytes`.
    :ivar ends_by_close: whether only the close of the connection ends the body, so that
        a truncated one looks complete.
    """

    __slots__ = (
        "status",
        "headers",
        "is_complete",
        "ends_by_close",
        "_connection",
        "_deadline",
        "_progress_timeout_ms",
        "_held",
        "_kept_bytes",
    )

    def __init__(self, connection, deadline, progress_timeout_ms, held):
        self.status = None
        self.headers = ()
        self.is_complete = False
        self.ends_by_close = False
        self._connection = connection
        self._deadline = deadline
        self._progress_timeout_ms = progress_timeout_ms
        self._held = held
        self._kept_bytes = 0

    def hold(self, size):
        """Count what the reader of the body keeps of it, until the exchange ends.

        :param size: the bytes that it keeps now.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the memory for responses has no
            room for them.
        """
        self._kept_bytes = size
        if not self._held.resize(self._connection.buffered_bytes + size):
            raise failed(self.target, "this host has no memory for it")

    def release(self):
        """Count nothing any more."""
        self._held.resize(0)

    async def read_head(self, method, timeout_ms, allow_close_delimited):
        """Wait for the final response head, skipping interim (1xx) ones.

        :param method: the request's method.
        :param timeout_ms: the timeout of the head, or ``None``.
        :param allow_close_delimited: as for :meth:`HttpClient.stream`.
        """
        deadline = self._deadline
        if timeout_ms is not None:
            timeout_ms = min(timeout_ms, deadline.remaining_ms())
            deadline = Deadline.after(deadline.clock, timeout_ms)
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event(deadline.remaining_ms)
            if not isinstance(event, h11.InformationalResponse):
                break
        else:
            raise failed(self.target, "it has too many interim responses")
        if event.status_code not in FINAL_STATUSES:
            raise failed(self.target, f"its status is {event.status_code}")
        self._check_framing(event, method, allow_close_delimited)
        self._connection.record_keep_alive(event.headers)
        self.status = event.status_code
        self.headers = list(end_to_end(event.headers))

    def _check_framing(self, head, method, allow_close_delimited):
        names = {name for name, _ in head.headers}
        has_length = b"content-length" in names
        has_chunks = b"transfer-encoding" in names
        if has_length and has_chunks:
            raise failed(
                self.target,
                "it has both Content-Length and Transfer-Encoding",
            )
        if method == "HEAD" or head.status_code in _BODILESS_STATUSES:
            return
        self.ends_by_close = not (has_length or has_chunks)
        if self.ends_by_close and not allow_close_delimited:
            raise failed(
                self.target,
                "it has neither Content-Length nor Transfer-Encoding",
            )

    @property
    def target(self):
        """The remote ``(address, port)`` pair."""
        return self._connection.target

    async def discard(self):
        """Read the rest of a body that isn't used, unless it is long or slow."""
        size = 0
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_MS / MS_PER_SECOND):
                async for chunk in self.body():
                    size += len(chunk)
                    if size > MAX_DISCARDED_BYTES:
                        return
        except TimeoutError:
            return

    async def body(self):
        """Yield the bytes of the body; return only once the framing marks its end.

        :raises ServiceError: ``UPSTREAM_FAILED`` or ``UPSTREAM_TIMEOUT``.
        """
        while not self.is_complete:
            event = await self._next_event(self._read_timeout_ms)
            if isinstance(event, h11.EndOfMessage):
                self.is_complete = True
            elif event.data:
                yield bytes(event.data)

    async def _next_event(self, wait_ms):
        event = await self._connection.next_event(wait_ms)
        self.hold(self._kept_bytes)
        return event

    def _read_timeout_ms(self):
        return min(self._progress_timeout_ms, self._deadline.remaining_ms())


def end_to_end(headers):
    """Yield the end-to-end headers, without the hop-by-hop ones.

    :param headers: ``(name, value)`` byte pairs.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    dropped = set(CONNECTION_HEADERS)
    for name, value in pairs:
        if name == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    for name, value in pairs:
        if name not in dropped:
            yield name, value


def _make_request(address, port, method, target, headers, body):
    pairs = [
        (name, value)
        for name, value in end_to_end(headers)
        if name not in _FRAMING_HEADERS
    ]
    if not any(name == b"host" for name, _ in pairs):
        pairs.insert(0, (b"host", f"{address}:{port}".encode()))
    if body or method not in _BODILESS_METHODS:
        pairs.append((b"content-length", str(len(body)).encode()))
    try:
        return h11.Request(method=method, target=target, headers=pairs)
    except (h11.LocalProtocolError, UnicodeError) as e:
        raise ServiceError(ErrorKind.BAD_REQUEST, f"Malformed request: {e}.") from e
