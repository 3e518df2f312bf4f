"""Upstreams that said in an answer of their own that they are leaving."""

import logging

from goldcrestmoor import wire

log = logging.getLogger("goldcrestmoor.leaving")

# An upstream that has restarted in place is tried again after this.
LEAVING_MS = 600_000
MAX_UPSTREAMS = 1024


class UpstreamLeaving(wire.Message, frozen=True):
    """Says that an upstream answered that it is leaving.

    :param upstream: the upstream's name.
    :param targets: the hosts to pass it on to.
    """

    upstream: str
    targets: tuple[str, ...] = ()


class LeavingAnswers:
    """Keeps such upstreams for a while, and tells the other hosts at once.

    A host that misses the message learns it from the answer to its next probe.

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
        """Note that an upstream answered so.

        :param upstream: the upstream's name.
        """
        if not self.is_leaving(upstream) and self._store(upstream, LEAVING_MS):
            self._broadcast.broadcast(UpstreamLeaving(upstream))

    def is_leaving(self, upstream):
        """Tell whether an upstream said so lately.

        :param upstream: the upstream's name.
        """
        return self._clock.now_ms() < self._until_ms_by_name.get(upstream, 0)

    def remaining_ms_by_name(self):
        """Return for how long which upstreams still count as leaving."""
        now_ms = self._clock.now_ms()
        return {
            name: round(until_ms - now_ms)
            for name, until_ms in self._until_ms_by_name.items()
            if now_ms < until_ms
        }

    def apply_remaining(self, remaining_ms_by_name):
        """Take in what another host keeps, for no longer than it does.

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
        log.info("%s answered that it is leaving.", upstream)
        return True
