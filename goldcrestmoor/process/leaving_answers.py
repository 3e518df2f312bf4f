"""Upstreams that reported in a response of their own that they are leaving."""

import logging

from goldcrestmoor import wire

log = logging.getLogger("goldcrestmoor.leaving")

# An upstream that restarted in place is used again after this time.
LEAVING_MS = 600_000
MAX_UPSTREAMS = 1024


class UpstreamLeaving(wire.Message, frozen=True):
    """Reports that an upstream responded that it is leaving.

    :param upstream: the upstream's name.
    :param targets: the hosts to forward the message to.
    """

    upstream: str
    targets: tuple[str, ...] = ()


class LeavingAnswers:
    """Records these upstreams for a while, and notifies the other hosts immediately.

    A host that misses the message receives the report in the reply to its next probe.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param links: the :class:`~goldcrestmoor.connection.peers.PeerLinks`.
    :param broadcast: the :class:`~goldcrestmoor.process.broadcast.TreeBroadcast`.
    """

    __slots__ = ("_clock", "_broadcast", "_until_ms_by_name")

    def __init__(self, *, clock, links, broadcast):
        self._clock = clock
        self._broadcast = broadcast
        self._until_ms_by_name = {}
        links.register(UpstreamLeaving, self._on_leaving)

    def note(self, upstream):
        """Record that an upstream responded that it is leaving.

        :param upstream: the upstream's name.
        """
        if not self.is_leaving(upstream) and self._store(upstream, LEAVING_MS):
            self._broadcast.broadcast(UpstreamLeaving(upstream))

    def is_leaving(self, upstream):
        """Return whether an upstream recently responded that it is leaving.

        :param upstream: the upstream's name.
        """
        return self._clock.now_ms() < self._until_ms_by_name.get(upstream, 0)

    def remaining_ms_by_name(self):
        """Return how much longer each leaving upstream counts as leaving."""
        now_ms = self._clock.now_ms()
        return {
            name: round(until_ms - now_ms)
            for name, until_ms in self._until_ms_by_name.items()
            if now_ms < until_ms
        }

    def apply_remaining(self, remaining_ms_by_name):
        """Record what another host has recorded, for no longer than it does.

        :param remaining_ms_by_name: what its :meth:`remaining_ms_by_name` returned.
        """
        for name, left_ms in remaining_ms_by_name.items():
            if not self.is_leaving(name):
                self._store(name, min(left_ms, LEAVING_MS))

    async def _on_leaving(self, sender, message):
        self._store(message.upstream, LEAVING_MS)
        self._broadcast.forward(message, message.targets)

    def _store(self, upstream, left_ms):
        for name in list(self._until_ms_by_name):
            if not self.is_leaving(name):
                del self._until_ms_by_name[name]
        if len(self._until_ms_by_name) >= MAX_UPSTREAMS:
            return False
        self._until_ms_by_name[upstream] = self._clock.now_ms() + left_ms
        log.info("Upstream %s responded that it is leaving.", upstream)
        return True
