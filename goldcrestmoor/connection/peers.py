"""Calls and one-way messages between daemons."""

import asyncio
import collections
import contextvars
import logging
import secrets

import zmq

from goldcrestmoor import tracing, wire
from goldcrestmoor.clock import MS_PER_SECOND, Deadline
from goldcrestmoor.connection import frames
from goldcrestmoor.connection.peer_link import PeerLink
from goldcrestmoor.connection.peer_sockets import PeerSockets
from goldcrestmoor.errors import ErrorKind, ServiceError, from_body, to_body
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.wire import Done, Failed

log = logging.getLogger("goldcrestmoor.peers")

# A host connects to the peers of its duties and its probes: a few dozen.
MAX_LINKS = 128
# Limits the memory used for unresponsive peers.
MAX_PENDING_CALLS = 10_000
# Limits the concurrent work that peers can cause on this host.
MAX_HANDLERS = 1024
# Probes use most links more often; the others are cheap to reopen.
MAX_LINK_IDLE_MS = 120_000
# The interval at which idle links are closed.
CLEANUP_INTERVAL_MS = 5000
# One-way messages are updates, which are stale after this time.
SEND_DEADLINE_MS = 1000
# Random, and long enough that no two processes share an incarnation.
INCARNATION_BYTES = 8
COUNTER_BYTES = frames.CALL_ID_BYTES - INCARNATION_BYTES
BAD_INPUT_LABEL = "peer"

# A call may wait long for its reply; meanwhile a ping checks that the link still works.
PING_AFTER_MS = 1000
# The time for which an unresponsive peer is tolerated.
PING_TIMEOUT_MS = 1000

call_deadline = contextvars.ContextVar("call_deadline", default=None)


class Ping(wire.Message, frozen=True):
    """Requests an empty reply, to check that a link responds."""


class PeerLinks:
    """The links of this daemon to its peers, and the server for their messages.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the :class:`~goldcrestmoor.settings.Settings`.
    :param directory: returns ``(address, peer_port)`` for a host's name, or None.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "bytes_sent_by_class",
        "bytes_received_by_class",
        "dropped_replies",
        "_clock",
        "_host",
        "_directory",
        "_metrics",
        "_sockets",
        "_router",
        "_incarnation",
        "_counter",
        "_links_by_host_id",
        "_handlers_by_class",
        "_urgent_classes",
        "_running_handlers",
        "_pending_calls",
        "_closed",
        "_tasks",
    )

    def __init__(self, *, clock, settings, directory, metrics):
        self.bytes_sent_by_class = collections.Counter()
        self.bytes_received_by_class = collections.Counter()
        self.dropped_replies = 0
        self._clock = clock
        self._host = settings.host
        self._directory = directory
        self._metrics = metrics
        self._sockets = PeerSockets(settings.security, settings.host.address)
        self._router = None
        # A late reply to an earlier process of this host must match no call.
        self._incarnation = secrets.token_bytes(INCARNATION_BYTES)
        self._counter = 0
        self._links_by_host_id = {}
        self._handlers_by_class = {}
        self._urgent_classes = set()
        self._running_handlers = 0
        self._pending_calls = 0
        self._closed = False
        self._tasks = TaskGroup()
        self.register(Ping, self._on_ping, urgent=True)

    def register(self, message_class, handler, urgent=False):
        """Register the handler of a message class.

        :param message_class: a :class:`~goldcrestmoor.wire.Message` subclass.
        :param handler: ``async (sender_id, message) -> Message | None``.
        :param urgent: whether it also runs when the host is overloaded; only
            for handlers that do not wait.
        """
        self._handlers_by_class[message_class] = handler
        if urgent:
            self._urgent_classes.add(message_class)

    async def start(self):
        """Listen for peers."""
        self._sockets.start()
        self._router = self._sockets.bind(self._host.address, self._host.peer_port)
        self._tasks.start(self._serve(), "serve peers")
        self._tasks.start(self._close_idle_links(), "close idle links")

    async def close(self):
        """Close every link; pending calls fail."""
        self._closed = True
        for link in list(self._links_by_host_id.values()):
            self._close_link(link)
        await self._tasks.close()
        if self._router is not None:
            self._router.close(linger=0)
        await self._sockets.close()

    async def call(self, host_id, message, timeout_ms):
        """Send a request to a peer and wait for its reply.

        :param host_id: the peer.
        :param message: the request.
        :param timeout_ms: how long to wait, in milliseconds.
        :return: the peer's reply.
        :raises ServiceError: the error that the peer replied with, or
            ``PEER_UNREACHABLE`` when no reply came in time.
        """
        name = type(message).__name__
        with tracing.span(f"call {name}", peer=host_id):
            answer = await self._call(host_id, message, timeout_ms)
        if isinstance(answer, Failed):
            raise from_body(answer.error)
        return answer

    def send(self, host_id, message):
        """Send a one-way message, which may be lost.

        :param host_id: the peer.
        :param message: the message.
        """
        try:
            link = self._link(host_id)
        except ServiceError:
            log.debug("No address is known for %s; the message is dropped.", host_id)
            return
        deadline = Deadline.after(self._clock, SEND_DEADLINE_MS)
        self._enqueue(link, frames.KIND_SEND, self._next_call_id(), message, deadline)

    async def _call(self, host_id, message, timeout_ms):
        if self._pending_calls >= MAX_PENDING_CALLS:
            raise ServiceError(
                ErrorKind.OVERLOADED, "Too many calls to peers are pending."
            )
        link = self._link(host_id)
        deadline = Deadline.after(self._clock, timeout_ms)
        call_id = self._next_call_id()
        future = asyncio.get_running_loop().create_future()
        link.pending_by_call_id[call_id] = future
        self._pending_calls += 1
        try:
            if not self._enqueue(link, frames.KIND_CALL, call_id, message, deadline):
                raise ServiceError(
                    ErrorKind.PEER_UNREACHABLE, "The send queue of the link is full."
                )
            await self._wait(link, future, deadline)
        finally:
            self._pending_calls -= 1
            link.pending_by_call_id.pop(call_id, None)
        if future.done() and not future.cancelled():
            return future.result()
        if not future.cancelled() and link.record_timeout():
            log.warning("The link to %s is unresponsive and is reconnected.", host_id)
            self._close_link(link)
        raise ServiceError(
            ErrorKind.PEER_UNREACHABLE,
            f"No reply from {host_id}.",
        )

    async def _wait(self, link, future, deadline):
        """Wait for a reply, and ping a link that is suspected unresponsive."""
        while not future.done() and not deadline.passed():
            wait_ms = min(PING_AFTER_MS, deadline.remaining_ms())
            await asyncio.wait((future,), timeout=wait_ms / MS_PER_SECOND)
            if not future.done() and link.should_ping() and not deadline.passed():
                link.is_ping_pending = True
                self._tasks.start(self._ping(link), f"ping {link.host_id}")

    async def _ping(self, link):
        try:
            await self._call(link.host_id, Ping(), PING_TIMEOUT_MS)
        except ServiceError as e:
            log.debug("Ping of %s failed: %s", link.host_id, e)
        finally:
            link.is_ping_pending = False

    async def _on_ping(self, sender, message):
        return Done()

    def _link(self, host_id):
        if self._closed:
            raise ServiceError(
                ErrorKind.PEER_UNREACHABLE, "This host is shutting down."
            )
        endpoint = self._directory(host_id)
        link = self._links_by_host_id.get(host_id)
        if endpoint is None:
            raise ServiceError(ErrorKind.PEER_UNREACHABLE, f"{host_id} is unknown.")
        if link is not None and link.endpoint == endpoint:
            return link
        if link is not None:
            self._close_link(link)
        self._ensure_capacity()
        link = PeerLink(
            clock=self._clock,
            host_id=host_id,
            endpoint=endpoint,
            socket=self._sockets.connect(*endpoint),
            tasks=self._tasks,
            on_frames=self._on_reply,
        )
        self._links_by_host_id[host_id] = link
        return link

    def _ensure_capacity(self):
        if len(self._links_by_host_id) < MAX_LINKS:
            return
        links = self._links_by_host_id.values()
        idle = [link for link in links if not link.pending_by_call_id]
        if not idle:
            raise ServiceError(ErrorKind.OVERLOADED, "Every peer link is in use.")
        self._close_link(min(idle, key=lambda link: link.last_used_ms))

    def _close_link(self, link):
        if self._links_by_host_id.get(link.host_id) is link:
            del self._links_by_host_id[link.host_id]
        link.close()

    async def _close_idle_links(self):
        while True:
            await self._clock.sleep_ms(CLEANUP_INTERVAL_MS)
            oldest_ms = self._clock.now_ms() - MAX_LINK_IDLE_MS
            for link in list(self._links_by_host_id.values()):
                if link.last_used_ms < oldest_ms and not link.pending_by_call_id:
                    self._close_link(link)

    def _next_call_id(self):
        self._counter += 1
        return self._incarnation + self._counter.to_bytes(COUNTER_BYTES, "big")

    def _encode(self, kind, call_id, message, deadline_ms):
        if kind == frames.KIND_REPLY:
            # The caller matches a reply by the call id alone.
            headers = frames.Headers(self._host.id, "")
        else:
            headers = frames.Headers(
                self._host.id,
                self._incarnation.hex(),
                tracing.traceparent(),
                deadline_ms,
            )
        parts = frames.encode(kind, call_id, headers, message)
        self._count_bytes(
            self.bytes_sent_by_class, "sent", type(message).__name__, parts
        )
        return parts

    def _enqueue(self, link, kind, call_id, message, deadline):
        parts = self._encode(kind, call_id, message, deadline.remaining_ms())
        return link.enqueue(parts, deadline)

    def _count_bytes(self, bytes_by_class, direction, name, parts):
        count = frames.size(parts)
        bytes_by_class[name] += count
        self._metrics.control_bytes.labels(name, direction).inc(count)

    def _decode(self, parts):
        try:
            envelope = frames.decode(parts)
        except ServiceError as e:
            self._metrics.bad_input.labels(BAD_INPUT_LABEL).inc()
            log.warning("Peer frames rejected: %s", e)
            return None
        self._count_bytes(
            self.bytes_received_by_class, "received", envelope.name, parts
        )
        return envelope

    def _on_reply(self, link, parts):
        envelope = self._decode(parts)
        if envelope is None:
            return
        future = link.pending_by_call_id.pop(envelope.call_id, None)
        if envelope.kind != frames.KIND_REPLY or future is None or future.done():
            self.dropped_replies += 1
            return
        future.set_result(envelope.message)

    async def _serve(self):
        while True:
            try:
                identity, *parts = await self._router.recv_multipart()
            except zmq.ZMQError as e:
                log.warning("Receiving from peers failed: %s.", e)
                await self._clock.sleep_ms(SEND_DEADLINE_MS)
                continue
            envelope = self._decode(parts)
            if envelope is None:
                continue
            if envelope.kind == frames.KIND_REPLY:
                self.dropped_replies += 1
                continue
            self._dispatch(identity, envelope)

    def _dispatch(self, identity, envelope):
        urgent = type(envelope.message) in self._urgent_classes
        if self._running_handlers >= MAX_HANDLERS and not urgent:
            error = ServiceError(
                ErrorKind.OVERLOADED, "Too many peer messages are being handled."
            )
            self._reply(identity, envelope, Failed(to_body(error)))
            return
        self._running_handlers += 1
        self._tasks.start(self._handle(identity, envelope), f"handle {envelope.name}")

    async def _handle(self, identity, envelope):
        headers = envelope.headers
        timeout_ms = headers.deadline_ms if envelope.kind == frames.KIND_CALL else None
        if timeout_ms is not None:
            call_deadline.set(Deadline.after(self._clock, timeout_ms))
        try:
            with tracing.span(f"handle {envelope.name}", headers.traceparent):
                answer = await self._run_handler(envelope, timeout_ms)
                self._reply(identity, envelope, answer)
        finally:
            self._running_handlers -= 1

    async def _run_handler(self, envelope, timeout_ms):
        handler = self._handlers_by_class.get(type(envelope.message))
        try:
            if handler is None:
                raise ServiceError(ErrorKind.BAD_REQUEST, "No handler for the message.")
            # The caller stops waiting at its deadline, so the work for it is cancelled.
            timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_SECOND
            async with asyncio.timeout(timeout_s):
                answer = await handler(envelope.headers.sender, envelope.message)
        except ServiceError as e:
            return Failed(to_body(e))
        except TimeoutError:
            error = ServiceError(
                ErrorKind.PEER_UNREACHABLE, "The deadline of the call has passed."
            )
            return Failed(to_body(error))
        except Exception:
            log.exception("The handler of %s raised an exception.", envelope.name)
            return Failed(to_body(ServiceError(ErrorKind.INTERNAL)))
        return Done() if answer is None else answer

    def _reply(self, identity, envelope, answer):
        if envelope.kind != frames.KIND_CALL:
            return
        parts = self._encode(frames.KIND_REPLY, envelope.call_id, answer, 0)
        try:
            # A ROUTER never blocks: a reply to a disconnected peer is dropped.
            self._router.send_multipart([identity, *parts], flags=zmq.NOBLOCK)
        except zmq.ZMQError as e:
            log.warning("Sending a reply to %s failed: %s.", envelope.headers.sender, e)
