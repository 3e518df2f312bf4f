"""The engines as this host's items find them: free slots, pace, refusals."""

import logging

from goldcrestmoor.job.engine_choice import EngineLoad

log = logging.getLogger("goldcrestmoor.engines")

# A full engine has a free slot again after a few events.
REFUSED_PAUSE_MS = 100
# An engine that crashed or is cut off is listed for some seconds yet.
FAILED_PAUSE_MS = 500
# A dead engine is off the list after three missed heartbeats, some four seconds.
FAILED_PAUSE_MAX_MS = 4000
# An engine that has made events since then lives, whatever became of one stream.
ALIVE_MS = 300
# Further failures in a row do not lengthen the pause.
MAX_FAILURES = 8
# The weight of the newest event in an engine's pace, over all of its streams.
PACE_SHARE = 0.05


class _Found:
    """What this host has met at one incarnation of an engine."""

    __slots__ = (
        "in_flight",
        "ms_per_event",
        "blocked_until_ms",
        "is_refusing",
        "failures",
        "heard_ms",
    )

    def __init__(self):
        self.in_flight = 0
        self.ms_per_event = None
        self.blocked_until_ms = 0
        self.is_refusing = False
        self.failures = 0
        self.heard_ms = None


class EnginePool:
    """Count what this host has in flight at each engine.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
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

    def paces(self, service):
        """Return the pace of each usable engine of a service whose pace is known.

        :param service: the service's name.
        :return: milliseconds for each event, by engine.
        """
        found_by_name = {
            upstream.name: self._found_by_key.get(_key(upstream))
            for upstream in self._directory.usable(service)
        }
        return {
            name: found.ms_per_event
            for name, found in found_by_name.items()
            if found is not None and found.ms_per_event is not None
        }

    def upstream(self, name):
        """Return a listed engine.

        :param name: its name, from :meth:`loads`.
        """
        return self._directory.upstream_by_name[name]

    def begin(self, upstream):
        """Count a stream that is about to be sent.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        """
        found = self._state(upstream)
        found.in_flight += 1
        if found.is_refusing:
            # The others wait for what becomes of this one.
            self.block(upstream, REFUSED_PAUSE_MS)

    def end(self, upstream):
        """Count a stream's end.

        :param upstream: the engine.
        """
        self._state(upstream).in_flight -= 1

    def note_taken(self, upstream):
        """Note that an engine has begun to answer: it takes work.

        :param upstream: the engine.
        """
        found = self._state(upstream)
        found.is_refusing = False
        found.failures = 0

    def note_events(self, upstream, elapsed_ms, count):
        """Take in the pace of a stream.

        :param upstream: the engine.
        :param elapsed_ms: the time since the stream's last events.
        :param count: how many events have come since.
        """
        found = self._state(upstream)
        found.heard_ms = self._clock.now_ms()
        pace, known = elapsed_ms / count, found.ms_per_event
        if known is None:
            found.ms_per_event = pace
        else:
            found.ms_per_event = known + PACE_SHARE * (pace - known)

    def note_refused(self, upstream):
        """Note that an engine took no work: send it one item after a while, not all.

        :param upstream: the engine.
        """
        self._state(upstream).is_refusing = True
        self.block(upstream, REFUSED_PAUSE_MS)

    def note_broken(self, upstream):
        """Note that a stream broke off; leave its engine alone unless it lives.

        :param upstream: the engine.
        """
        found = self._state(upstream)
        now_ms = self._clock.now_ms()
        if found.heard_ms is not None and now_ms - found.heard_ms < ALIVE_MS:
            return
        if now_ms < found.blocked_until_ms:
            # The other streams of the same failure say nothing new.
            return
        found.is_refusing = True
        pause_ms = min(FAILED_PAUSE_MAX_MS, FAILED_PAUSE_MS << found.failures)
        found.failures = min(found.failures + 1, MAX_FAILURES)
        self.block(upstream, pause_ms)

    def block(self, upstream, duration_ms):
        """Send an engine nothing for a while.

        :param upstream: the engine.
        :param duration_ms: for how long, in milliseconds.
        """
        until_ms = self._clock.now_ms() + duration_ms
        self._state(upstream).blocked_until_ms = until_ms

    def _state(self, upstream):
        found = self._found_by_key.get(_key(upstream))
        if found is None:
            self._forget_gone()
            found = self._found_by_key[_key(upstream)] = _Found()
        return found

    def _forget_gone(self):
        """Forget incarnations that are listed no more, so that they never add up."""
        listed = {_key(u) for u in self._directory.upstream_by_name.values()}
        for key, found in list(self._found_by_key.items()):
            if key not in listed and not found.in_flight:
                del self._found_by_key[key]


def _key(upstream):
    return upstream.name, upstream.started_ms
