"""The engines as this host's items find them: free slots, pace, refusals."""

import logging

from goldcrestmoor.job.engine_choice import EngineLoad

log = logging.getLogger("goldcrestmoor.engines")

# A full engine has a free slot again after a few events.
REFUSED_PAUSE_MS = 100
# After a broken stream: an engine that crashed is not listed for some seconds yet.
BROKEN_PAUSE_MS = 500
# The weight of the newest stream in an engine's pace.
PACE_SHARE = 0.3


class _Found:
    """What this host has met at one incarnation of an engine."""

    __slots__ = ("in_flight", "ms_per_event", "blocked_until_ms")

    def __init__(self):
        self.in_flight = 0
        self.ms_per_event = None
        self.blocked_until_ms = 0


class EnginePool:
    """Count what this host has in flight at each engine.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param directory: the :class:`~goldcrestmoor.process.directory.Directory`.
    """

    __slots__ = ("_clock", "_directory", "_found_by_key")

    def __init__(self, *, clock, directory):
        self._clock = clock
        self._directory = directory
        self._found_by_key = {}

    def loads(self, service, model):
        """Return the :class:`EngineLoad` of each usable engine of a service.

        :param service: the service's name.
        :param model: the model whose weight version matters.
        """
        now_ms = self._clock.now_ms()
        return [
            self._load(upstream, model, now_ms)
            for upstream in self._directory.usable(service)
        ]

    def _load(self, upstream, model, now_ms):
        found = self._found_by_key.get(_key(upstream)) or _Found()
        return EngineLoad(
            name=upstream.name,
            slots=upstream.slots,
            in_flight=found.in_flight,
            version=upstream.version_by_model.get(model, 0),
            ms_per_event=found.ms_per_event,
            is_blocked=now_ms < found.blocked_until_ms,
        )

    def upstream(self, name):
        """Return a listed engine.

        :param name: its name, from :meth:`loads`.
        """
        return self._directory.upstream_by_name[name]

    def begin(self, upstream):
        """Count a stream that is about to be sent.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        """
        self._state(upstream).in_flight += 1

    def end(self, upstream, elapsed_ms=None, events=0):
        """Count a stream's end.

        :param upstream: the engine.
        :param elapsed_ms: how long it made events, where that tells its pace.
        :param events: how many events it made.
        """
        found = self._state(upstream)
        found.in_flight -= 1
        if elapsed_ms is not None and events:
            pace = elapsed_ms / events
            known = found.ms_per_event
            found.ms_per_event = (
                pace if known is None else known + PACE_SHARE * (pace - known)
            )

    def block(self, upstream, duration_ms):
        """Send an engine nothing for a while.

        :param upstream: the engine.
        :param duration_ms: for how long, in milliseconds.
        """
        until_ms = self._clock.now_ms() + duration_ms
        self._state(upstream).blocked_until_ms = until_ms

    def forget_gone(self):
        """Forget incarnations that are not listed and carry nothing of ours."""
        listed = {_key(u) for u in self._directory.upstream_by_name.values()}
        for key, found in list(self._found_by_key.items()):
            if key not in listed and not found.in_flight:
                del self._found_by_key[key]

    def _state(self, upstream):
        return self._found_by_key.setdefault(_key(upstream), _Found())


def _key(upstream):
    return upstream.name, upstream.started_ms
