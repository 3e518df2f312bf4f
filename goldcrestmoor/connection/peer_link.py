"""The link to one peer: its socket, send queue and two tasks."""

import asyncio
import logging

import zmq

from goldcrestmoor.clock import MS_PER_SECOND

log = logging.getLogger("goldcrestmoor.peers")

# Limits the queue for a peer that receives nothing.
MAX_OUTBOX_MESSAGES = 1000
# A healthy peer replies within milliseconds.
UNRESPONSIVE_MS = 1000
# One missing reply may be due to the call; two are due to the connection.
UNRESPONSIVE_CALLS = 2


class PeerLink:
    """A DEALER socket to one peer.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: the peer.
    :param endpoint: the peer's address and port.
    :param socket: the connected DEALER.
    :param tasks: the :class:`~goldcrestmoor.util.TaskGroup` of its tasks.
    :param on_frames: called with the link and the frames of each reply.
    """

    __slots__ = (
        "host_id",
        "endpoint",
        "last_used_ms",
        "is_ping_pending",
        "pending_by_call_id",
        "_clock",
        "_socket",
        "_outbox",
        "_on_frames",
        "_last_received_ms",
        "_unanswered_calls",
        "_tasks",
    )

    def __init__(self, *, clock, host_id, endpoint, socket, tasks, on_frames):
        self.host_id = host_id
        self.endpoint = endpoint
        self.last_used_ms = clock.now_ms()
        self.is_ping_pending = False
        self.pending_by_call_id = {}
        self._clock = clock
        self._socket = socket
        self._outbox = asyncio.Queue(MAX_OUTBOX_MESSAGES)
        self._on_frames = on_frames
        self._last_received_ms = clock.now_ms()
        self._unanswered_calls = 0
        self._tasks = [
            tasks.start(self._send(), f"send to {host_id}"),
            tasks.start(self._receive(), f"receive from {host_id}"),
        ]

    def enqueue(self, parts, deadline):
        """Queue a message for the peer.

        :param parts: its frames.
        :param deadline: the time after which it is not sent.
        :return: whether the queue had capacity for it.
        """
        self.last_used_ms = self._clock.now_ms()
        try:
            self._outbox.put_nowait((parts, deadline))
        except asyncio.QueueFull:
            return False
        return True

    def record_timeout(self):
        """Record a call that timed out.

        :return: whether the link is unresponsive and must be reconnected.
        """
        self._unanswered_calls += 1
        idle_ms = self._clock.now_ms() - self._last_received_ms
        return (
            self._unanswered_calls >= UNRESPONSIVE_CALLS and idle_ms >= UNRESPONSIVE_MS
        )

    def should_ping(self):
        """Return whether the link is suspected unresponsive and no ping is pending."""
        idle_ms = self._clock.now_ms() - self._last_received_ms
        return idle_ms >= UNRESPONSIVE_MS and not self.is_ping_pending

    def close(self):
        """Close the socket at once and cancel the pending calls."""
        for task in self._tasks:
            task.cancel()
        self._socket.close(linger=0)
        for future in self.pending_by_call_id.values():
            if not future.done():
                future.cancel()
        self.pending_by_call_id.clear()

    async def _send(self):
        while True:
            parts, deadline = await self._outbox.get()
            if deadline.passed():
                continue
            try:
                async with asyncio.timeout(deadline.remaining_ms() / MS_PER_SECOND):
                    await self._socket.send_multipart(parts)
            except TimeoutError:
                log.debug("Sending to %s timed out: no connection.", self.host_id)
            except zmq.ZMQError as e:
                log.warning("Sending to %s failed: %s.", self.host_id, e)

    async def _receive(self):
        while True:
            parts = await self._socket.recv_multipart()
            self._last_received_ms = self._clock.now_ms()
            self._unanswered_calls = 0
            self._on_frames(self, parts)
