"""One HTTP/1.1 connection: dialled, checked, written to, read from, closed."""

import asyncio
import re
import select
import socket

import h11

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import wait_within

# More than an asyncio stream ever holds, so that one read empties it.
READ_BYTES = 1 << 20

# After a stall of this process the timer ends the wait for a connection that the kernel
# has made meanwhile; a few turns of the loop later it is there.
CONNECT_GRACE_MS = 10
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
# A request must reach the server before it closes the connection as idle.
KEEP_ALIVE_MARGIN_MS = 500

_POLL_EVENTS = select.POLLIN | select.POLLRDHUP


class HttpConnection:
    """A connection that carries one request at a time.

    Its socket is read only while an answer is awaited. Whatever reached it before
    a request is written therefore lies in the socket, where :meth:`is_usable` sees
    it without waiting.

    :param reader: the asyncio stream reader.
    :param writer: the asyncio stream writer.
    :param target: the ``(address, port)`` pair that it leads to.
    :param max_header_bytes: the bound on an answer's head.
    """

    __slots__ = (
        "target",
        "reused",
        "idle_since_ms",
        "max_idle_ms",
        "_reader",
        "_writer",
        "_codec",
        "_max_header_bytes",
    )

    def __init__(self, reader, writer, target, max_header_bytes):
        self.target = target
        self.reused = False
        self.idle_since_ms = 0
        self.max_idle_ms = None
        self._reader = reader
        self._writer = writer
        self._max_header_bytes = max_header_bytes
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=max_header_bytes
        )
        writer.transport.pause_reading()

    @classmethod
    async def dial(cls, target, timeout_ms, limits, source=None):
        """Open a connection.

        :param target: the ``(address, port)`` pair.
        :param source: the IP address that it goes out from; any when left out.
        :param timeout_ms: how long the handshake may take, in milliseconds.
        :param limits: the :class:`~goldcrestmoor.settings.LimitSettings`.
        :raises ServiceError: ``UPSTREAM_UNREACHABLE``; nothing was written.
        """
        try:
            reader, writer = await _open(target, timeout_ms, source)
            # The kernel gives up bytes that the other end never acknowledges. A
            # connection that was reset meanwhile has no socket any more.
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.progress_timeout_ms
            )
        except TimeoutError as e:
            raise unreachable(target, "no connection in time") from e
        except OSError as e:
            raise unreachable(target, "connection refused") from e
        return cls(reader, writer, target, limits.max_header_bytes)

    def is_usable(self):
        """Tell whether it is open with nothing unread on it."""
        transport = self._writer.transport
        if transport.is_closing() or self._reader.at_eof():
            return False
        poller = select.poll()
        poller.register(transport.get_extra_info("socket").fileno(), _POLL_EVENTS)
        return not poller.poll(0)

    def send(self, request, body):
        """Write a whole request without waiting for it to leave.

        The body is in memory already, so nothing is gained by holding it back, and
        an answer that comes before the body has left is read at once. From this
        call on the request may have been run.

        :param request: the ``h11.Request``.
        :param body: the body's bytes.
        """
        head = self._codec.send(request)
        tail = self._codec.send(h11.Data(data=body)) if body else b""
        tail += self._codec.send(h11.EndOfMessage())
        self._writer.transport.resume_reading()
        self._writer.write(head + tail)

    async def next_event(self, wait_ms):
        """Return the next event of the answer.

        :param wait_ms: gives how long the next read may take, in milliseconds.
        :return: an ``h11`` event: a head, data or the end.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the connection or the answer
            breaks, ``UPSTREAM_TIMEOUT`` when it falls silent.
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
                raise failed(self.target, "closed without an answer")
            return event

    async def _read(self, timeout_ms):
        try:
            return await wait_within(timeout_ms, lambda: self._reader.read(READ_BYTES))
        except TimeoutError as e:
            message = f"{_name(self.target)} fell silent."
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, message) from e
        except OSError as e:
            raise failed(self.target, "connection lost") from e

    def _check_head_size(self, head):
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size > self._max_header_bytes:
            raise failed(self.target, "the answer's head is too large")

    def record_keep_alive(self, headers):
        """Learn how long the server keeps the connection when it is idle.

        :param headers: the answer's ``(name, value)`` byte pairs.
        """
        for name, value in headers:
            found = KEEP_ALIVE_TIMEOUT.search(value) if name == b"keep-alive" else None
            if found is not None:
                stated_ms = int(found[1]) * MS_PER_SECOND
                self.max_idle_ms = max(0, stated_ms - KEEP_ALIVE_MARGIN_MS)

    def finish(self):
        """Make ready for another request after a whole answer.

        :return: whether the connection may be used again.
        """
        codec, transport = self._codec, self._writer.transport
        done = codec.our_state is h11.DONE and codec.their_state is h11.DONE
        if not done or codec.trailing_data != (b"", False):
            return False
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        transport.pause_reading()
        codec.start_next_cycle()
        self.reused = True
        return True

    def abort(self):
        """Close at once, dropping whatever is still on the way."""
        self._writer.transport.abort()


def unreachable(target, reason):
    """Return the error of a request of which no byte was written.

    :param target: the ``(address, port)`` pair.
    :param reason: why, as part of a sentence.
    """
    message = f"{_name(target)} cannot be reached: {reason}."
    return ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, message)


def failed(target, reason):
    """Return the error of a request that may have been run.

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
            address, port, local_addr=(source, 0) if source else None
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
    """Close a connection that was made although nobody waits for it any more."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[1].close()
