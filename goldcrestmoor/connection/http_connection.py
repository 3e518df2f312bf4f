"""One HTTP/1.1 client connection: connect, check, write, read and close."""

import asyncio
import re
import select
import socket

import h11

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import wait_within

# What is read of a socket at a time. The event loop's own 256 KB would be held several
# times for each response that is read slower than it arrives.
RECEIVE_BYTES = 32 << 10
# A connection isn't read while twice as much is buffered.
BUFFER_BYTES = 32 << 10
# Larger than the buffer of an asyncio stream, so that one read empties it.
READ_BYTES = 1 << 20

# After a pause of this process, the timer fires before the event loop has seen a
# connection that the kernel completed meanwhile; it appears a few iterations later.
CONNECT_GRACE_MS = 10
# After a pause of this process, the response may have arrived before the timeout; a
# larger one is still arriving.
MAX_LATE_BYTES = 1 << 20
# A process that reads slower than servers send always finds data; it must report the
# timeout within the half second that callers allow, together for all connections.
MAX_LATE_READ_MS = 100
# Of final responses; others are no HTTP, whatever their three digits.
FINAL_STATUSES = range(200, 600)
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
# A request must reach the server before the server closes the idle connection.
KEEP_ALIVE_MARGIN_MS = 500

_POLL_EVENTS = select.POLLIN | select.POLLRDHUP


class HttpConnection:
    """A connection that carries one request at a time.

    The socket is read only while a response is awaited. Unsolicited data that
    arrives before a request is written therefore stays in the socket buffer, where
    :meth:`is_usable` detects it without waiting.

    :param reader: the asyncio stream reader.
    :param writer: the asyncio stream writer.
    :param target: the remote ``(address, port)`` pair.
    :param max_header_bytes: the maximum size of a response head.
    :ivar buffered_bytes: what is read of the response and not yet taken by its reader,
        at most.
    """

    __slots__ = (
        "buffered_bytes",
        "target",
        "reused",
        "idle_since_ms",
        "max_idle_ms",
        "_reader",
        "_writer",
        "_codec",
        "_max_header_bytes",
        "_late_bytes",
        "_late_since_s",
    )

    def __init__(self, reader, writer, target, max_header_bytes):
        self.target = target
        self.reused = False
        self.idle_since_ms = 0
        self.max_idle_ms = None
        self.buffered_bytes = 0
        self._reader = reader
        self._writer = writer
        self._max_header_bytes = max_header_bytes
        self._late_bytes = 0
        self._late_since_s = None
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=max_header_bytes
        )
        writer.transport.max_size = RECEIVE_BYTES
        writer.transport.pause_reading()

    @classmethod
    async def dial(cls, target, timeout_ms, limits, source=None):
        """Open a connection.

        :param target: the ``(address, port)`` pair.
        :param source: the local IP address to bind; any by default.
        :param timeout_ms: the connect timeout, in milliseconds.
        :param limits: the :class:`~goldcrestmoor.settings.LimitSettings`.
        :raises ServiceError: ``UPSTREAM_UNREACHABLE``; nothing was written.
        """
        try:
            reader, writer = await _open(target, timeout_ms, source)
            # The kernel drops the connection when the remote end does not
            # acknowledge data. A connection that was already reset has no socket.
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.progress_timeout_ms
            )
        except TimeoutError as e:
            raise unreachable(target, "connect timed out") from e
        except OSError as e:
            raise unreachable(target, "connection refused") from e
        return cls(reader, writer, target, limits.max_header_bytes)

    @property
    def transport(self):
        """The asyncio transport."""
        return self._writer.transport

    def is_usable(self):
        """Return whether the connection is open and has no unread data."""
        transport = self._writer.transport
        if transport.is_closing() or self._reader.at_eof():
            return False
        poller = select.poll()
        poller.register(transport.get_extra_info("socket").fileno(), _POLL_EVENTS)
        return not poller.poll(0)

    def send(self, request, body):
        """Write a complete request without waiting for it to be sent.

        The body is already in memory, so flow control would save nothing, and a
        response that arrives before the body is sent is read at once. From this
        call on, the request may have been run.

        :param request: the ``h11.Request``.
        :param body: the body's bytes.
        """
        head = self._codec.send(request)
        tail = self._codec.send(h11.Data(data=body)) if body else b""
        tail += self._codec.send(h11.EndOfMessage())
        self._late_bytes = 0
        self._late_since_s = None
        self._writer.transport.resume_reading()
        self._writer.write(head + tail)

    async def next_event(self, wait_ms):
        """Return the next event of the response.

        :param wait_ms: returns the timeout of the next read, in milliseconds.
        :return: an ``h11`` event: a head, data or the end.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the connection is lost or the
            response is malformed, ``UPSTREAM_TIMEOUT`` when a read times out.
        """
        while True:
            try:
                event = self._codec.next_event()
            except h11.RemoteProtocolError as e:
                raise failed(self.target, str(e)) from e
            if event is h11.NEED_DATA:
                self._codec.receive_data(await self._read(wait_ms()))
                continue
            if isinstance(event, (h11.Response, h11.InformationalResponse)):
                self._check_head_size(event)
            elif not isinstance(event, (h11.Data, h11.EndOfMessage)):
                raise failed(self.target, "connection closed before the response")
            return event

    async def _read(self, timeout_ms):
        if timeout_ms > 0:
            # The timeout of the head may have passed, and that of the body not.
            self._late_since_s = None
        elif self._has_read_enough_late():
            message = f"{_name(self.target)} did not end its response in time."
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, message)
        try:
            data = await wait_within(timeout_ms, lambda: self._reader.read(READ_BYTES))
        except TimeoutError as e:
            message = f"{_name(self.target)} sent no data within {timeout_ms:.0f} ms."
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, message) from e
        except OSError as e:
            raise failed(self.target, "connection lost") from e
        # As much may have arrived again while these bytes are parsed and taken.
        self.buffered_bytes = 2 * len(data)
        if timeout_ms <= 0:
            # The timeout does not end reads of data that is there already.
            self._late_bytes += len(data)
        return data

    def _has_read_enough_late(self):
        """Return whether reads since the timeout must end; the first call starts it."""
        now_s = asyncio.get_running_loop().time()
        if self._late_since_s is None:
            self._late_since_s = now_s
        late_ms = (now_s - self._late_since_s) * MS_PER_SECOND
        return self._late_bytes > MAX_LATE_BYTES or late_ms > MAX_LATE_READ_MS

    def _check_head_size(self, head):
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size > self._max_header_bytes:
            raise failed(self.target, "the response head is too large")

    def record_keep_alive(self, headers):
        """Record the idle timeout that the server advertises in Keep-Alive.

        :param headers: the response's ``(name, value)`` byte pairs.
        """
        for name, value in headers:
            found = KEEP_ALIVE_TIMEOUT.search(value) if name == b"keep-alive" else None
            if found is not None:
                stated_ms = int(found[1]) * MS_PER_SECOND
                self.max_idle_ms = max(0, stated_ms - KEEP_ALIVE_MARGIN_MS)

    def finish(self):
        """Prepare for the next request after a complete response.

        :return: whether the connection may be reused.
        """
        codec, transport = self._codec, self._writer.transport
        done = codec.our_state is h11.DONE and codec.their_state is h11.DONE
        if not done or codec.trailing_data != (b"", False):
            return False
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        transport.pause_reading()
        self.buffered_bytes = 0
        codec.start_next_cycle()
        self.reused = True
        return True

    def abort(self):
        """Close at once, discarding data in transit."""
        self._writer.transport.abort()


def unreachable(target, reason):
    """Return the error for a request of which no byte was written.

    :param target: the ``(address, port)`` pair.
    :param reason: why, as part of a sentence.
    """
    message = f"{_name(target)} cannot be reached: {reason}."
    return ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, message)


def failed(target, reason):
    """Return the error for a request that may have been run.

    :param target: the ``(address, port)`` pair.
    :param reason: why, as part of a sentence.
    """
    message = f"{_name(target)} gave no whole answer: {reason}."
    return ServiceError(ErrorKind.UPSTREAM_FAILED, message)


def _name(target):
    return f"{target[0]}:{target[1]}"


async def _open(target, timeout_ms, source):
    address, port = target
    opening = asyncio.ensure_future(
        asyncio.open_connection(
            address,
            port,
            limit=BUFFER_BYTES,
            local_addr=(source, 0) if source else None,
        )
    )
    try:
        for wait_ms in (timeout_ms, CONNECT_GRACE_MS):
            await asyncio.wait((opening,), timeout=wait_ms / MS_PER_SECOND)
            if opening.done():
                return opening.result()
        raise TimeoutError
    except BaseException:
        opening.add_done_callback(_close_opened)
        opening.cancel()
        raise


def _close_opened(opening):
    """Close a connection that was established after its caller stopped waiting."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[1].close()
