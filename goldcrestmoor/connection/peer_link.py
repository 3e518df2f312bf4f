"""The link to one peer: its socket, outbox and two tasks."""

import asyncio
import logging

import zmq

from goldcrestmoor.clock import MS_PER_SECOND

log = logging.getLogger("goldcrestmoor.peers")

# Bounds what is kept for a peer that takes nothing.
MAX_OUTBOX_MESSAGES = 1000
# A sound peer answers in milliseconds.
UNRESPONSIVE_MS = 1000
# One lost answer may be the call's; two are the connection's.
UNRESPONSIVE_CALLS = 2


class PeerLink:
    """A DEALER socket to one peer.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: the peer.
    :param endpoint: the peer's address and port, as dialled.
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
        :param deadline: when it is no longer worth sending.
        :return: whether there was room for it.
        """
        self.last_used_ms = self._clock.now_ms()
        try:
            self._outbox.put_nowait((parts, deadline))
        except asyncio.QueueFull:
            return False
        return True

    def record_timeout(self):
        """Count a call that went unanswered.

        :return: whether the link has gone silent and must be dialled anew.
        """
        self._unanswered_calls += 1
        idle_ms = self._clock.now_ms() - self._last_received_ms
        return (
            self._unanswered_calls >= UNRESPONSIVE_CALLS and idle_ms >= UNRESPONSIVE_MS
        )

    def should_ping(self):
        """Tell whether it has been silent for so long that it should be asked."""
        idle_ms = self._clock.now_ms() - self._last_received_ms
        return idle_ms >= UNRESPONSIVE_MS and not self.is_ping_pending

    def close(self):
        """Close the socket at once; calls that still wait are given up."""
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
                log.debug("No connection to %s in time.", self.host_id)
            except zmq.ZMQError as e:
                log.warning("Sending to %s failed: %s.", self.host_id, e)

    async def _receive(self):
        while True:
            parts = await self._socket.recv_multipart()
            self._last_received_ms = self._clock.now_ms()
            self._unanswered_calls = 0
            self._on_frames(self, parts)
