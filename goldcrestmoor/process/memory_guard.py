"""Counts what connections hold in memory, and closes those given up for it."""

import asyncio
import contextlib
import functools
import logging
import random
import socket
import struct

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.memory_budget import SMALL_BODY_BYTES, Held

log = logging.getLogger("goldcrestmoor.memory")

# Connections are measured this often while much memory is held.
SAMPLE_INTERVAL_MS = 250
# The kernel holds up to 4 MB for a slow reader unless it is told otherwise. It doubles
# this value for its own bookkeeping.
SEND_BUFFER_BYTES = 128 << 10
# Makes a close discard what is unsent, also in the kernel, and reset the connection: a
# response that only the close ends must not look complete.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Offsets of tcpi_bytes_acked and tcpi_bytes_received in Linux's struct tcp_info.
_MOVED_OFFSET = 120
_MOVED = struct.Struct("QQ")
# How long the rest of a refused body is read and discarded, as most clients read the
# response only after they have sent all.
REFUSED_BODY_MS = 2000
# Stalled connections are closed within about this time; the spread keeps the callers
# that were refused together from returning together.
RETRY_AFTER_MS = 1000, 3000
# A stream waiting for room is checked again after this time.
ROOM_INTERVAL_MS = 250
# Key of a caller's :class:`ConnectionMemory` in the state of an ASGI scope.
STATE_KEY = "memory"


class ConnectionMemory:
    """What this process holds for one connection.

    :param guard: the :class:`MemoryGuard`.
    :param transport: the asyncio transport.
    :param kind: the :class:`~goldcrestmoor.process.memory_budget.Held` of the bytes
        that are written to it.
    :ivar room: set when the other end may have made room.
    :ivar is_closing: whether the rest of a refused body is left unread.
    """

    __slots__ = (
        "room",
        "is_closing",
        "holding",
        "_guard",
        "_transport",
        "_is_receiving",
        "_is_refused",
    )

    def __init__(self, guard, transport, kind):
        self.room = asyncio.Event()
        self.is_closing = False
        self.holding = guard.budget.open(kind)
        self._guard = guard
        self._transport = transport
        self._is_receiving = False
        self._is_refused = False

    def close(self):
        """Stop counting the connection."""
        self._guard.remove(self)

    def measure(self, sample_ms=None):
        """Update the bytes that are written and not taken.

        :param sample_ms: the time that a full measurement, which includes the progress
            of the other end, stands for; None for no full one.
        """
        connection = self._transport.get_extra_info("socket")
        if connection.fileno() < 0:
            # It is lost, and nothing is held for it any more.
            return
        budget = self._guard.budget
        unsent = self._transport.get_write_buffer_size()
        budget.hold(self.holding, unsent=unsent)
        if sample_ms is None:
            self._guard.wake()
            return
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _MOVED_OFFSET + _MOVED.size
        )
        moved = sum(_MOVED.unpack_from(info, _MOVED_OFFSET))
        is_its_turn = unsent > 0 or self._is_receiving
        budget.observe(self.holding, moved, is_its_turn, sample_ms)

    def give_up(self, reason):
        """Close the connection at once, discarding what is unsent.

        :param reason: why, for the metrics.
        """
        connection = self._transport.get_extra_info("socket")
        if connection.fileno() >= 0:
            self._guard.record_given_up(self.holding, reason)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._transport.abort()
        self.close()

    def add_response(self, size):
        """Count bytes of a response that are not written yet.

        :param size: their number; negative for bytes that have been written.
        """
        self._guard.budget.hold(
            self.holding, response=self.holding.response_bytes + size
        )
        self.measure()

    def may_read_ahead(self):
        """Return whether more of the caller's stream may be read from its server."""
        self.measure()
        return self._guard.budget.may_read_ahead(self.holding)

    def end_exchange(self):
        """Record that nothing is held for the request but what is unsent."""
        self._is_receiving = self._is_refused = False
        self._guard.budget.hold(self.holding, body=0, response=0)
        self.measure()

    def admitting(self, receive, headers, max_bytes):
        """Return an ASGI ``receive`` that refuses a body that there is no room for.

        :param receive: the ASGI ``receive``.
        :param headers: the request's headers, by name.
        :param max_bytes: the size above which bodies are refused anyway.
        """
        length = headers.get(b"content-length", b"")
        declared = min(int(length), max_bytes) if length.isdigit() else 0
        waits_for_100 = b"expect" in headers
        received = 0

        async def receive_admitted():
            nonlocal received
            if not received and not self._is_refused and not self._admit(declared):
                await self._refuse(receive, not waits_for_100)
            if self._is_refused:
                raise self._refusal()
            self._is_receiving = True
            message = await receive()
            received += len(message.get("body", b""))
            self._is_receiving = bool(message.get("more_body"))
            if not self._admit(received):
                await self._refuse(receive, self._is_receiving)
                raise self._refusal()
            return message

        return receive_admitted

    def _admit(self, size):
        is_admitted = self._guard.budget.admit_body(self.holding, size)
        self._guard.wake()
        return is_admitted

    async def _refuse(self, receive, has_more):
        """Discard the rest of a refused body, if it arrives soon."""
        self._is_refused = True
        self._guard.budget.hold(self.holding, body=0)
        self._guard.record_refused()
        # Only a body that was read completely leaves the connection usable.
        self.is_closing = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFUSED_BODY_MS / MS_PER_SECOND):
                while has_more:
                    has_more = (await receive()).get("more_body")
                    self.is_closing = bool(has_more)

    def _refusal(self):
        text = "This host has no memory left for a large body."
        after_ms = random.randint(*RETRY_AFTER_MS)
        return ServiceError(ErrorKind.QUEUE_TIMEOUT, text, after_ms)


class MemoryGuard:
    """Counts the memory held for connections, and closes those that are given up.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param budget: the :class:`~goldcrestmoor.process.memory_budget.MemoryBudget`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "budget",
        "_clock",
        "_metrics",
        "_memory_by_holding",
        "_incoming",
        "_watching",
    )

    def __init__(self, *, clock, budget, metrics):
        self.budget = budget
        self._clock = clock
        self._metrics = metrics
        self._memory_by_holding = {}
        # It is measured with no connection, and so never given up.
        self._incoming = budget.open(Held.RESPONSE)
        self._watching = asyncio.Event()
        for kind in Held:
            metrics.held_bytes.labels(kind.value).set_function(
                functools.partial(budget.bytes_of, kind)
            )

    def open_caller(self, transport):
        """Return the :class:`ConnectionMemory` of a connection from a caller.

        :param transport: its transport.
        """
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        return self._open(transport, Held.RESPONSE)

    @contextlib.contextmanager
    def track_upload(self, transport, size):
        """Count what a server has not taken of a request, while the block runs.

        :param transport: the transport of the connection to the server.
        :param size: the size of the request's body; a small one is not counted.
        """
        if size <= SMALL_BODY_BYTES:
            yield
            return
        memory = self._open(transport, Held.REQUEST)
        memory.measure()
        try:
            yield
        finally:
            memory.close()

    def hold_incoming(self, size):
        """Count the whole responses that are arriving from servers.

        :param size: the bytes of all of them so far.
        """
        self.budget.hold(self._incoming, response=size)
        self.wake()

    async def run(self):
        """Close stalled connections whenever the budget is used up."""
        while True:
            await self._watching.wait()
            while self.budget.is_watching():
                self._sample()
                await self._clock.sleep_ms(SAMPLE_INTERVAL_MS)
            self._watching.clear()

    def _sample(self):
        sample_ms = self.budget.begin_sample(self._clock.now_ms())
        for memory in self._memory_by_holding.values():
            memory.measure(sample_ms)
        for holding in self.budget.to_give_up():
            self._memory_by_holding[holding].give_up("stalled")

    def wake(self):
        """Start to measure connections if enough is held."""
        if self.budget.is_watching():
            self._watching.set()

    def remove(self, memory):
        """Stop counting a connection.

        :param memory: its :class:`ConnectionMemory`.
        """
        self._memory_by_holding.pop(memory.holding, None)
        self.budget.close(memory.holding)

    def record_refused(self):
        """Count a request that was refused for its body."""
        self._metrics.memory_refusals.inc()

    def record_given_up(self, holding, reason):
        """Count and log a connection that is closed for what it holds.

        :param holding: its :class:`~goldcrestmoor.process.memory_budget.Holding`.
        :param reason: why.
        """
        self._metrics.connections_given_up.labels(reason).inc()
        log.warning(
            "Closed a connection for which %d bytes were held (%s; no progress for "
            "%d ms); %d bytes are held in all.",
            holding.held_bytes,
            reason,
            holding.stalled_ms,
            self.budget.held_bytes,
        )

    def _open(self, transport, kind):
        memory = ConnectionMemory(self, transport, kind)
        self._memory_by_holding[memory.holding] = memory
        return memory


def of_scope(scope):
    """Return the :class:`ConnectionMemory` of a request, or None where none is counted.

    :param scope: the request's ASGI scope.
    """
    return (scope.get("state") or {}).get(STATE_KEY)
