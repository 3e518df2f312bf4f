"""This host's view of the engines: free slots, time per event, rejections."""

import logging

from goldcrestmoor.job.engine_choice import EngineLoad

log = logging.getLogger("goldcrestmoor.engines")

# A full engine frees a slot after a few events.
REJECTED_BACKOFF_MS = 100
# An engine that crashed or is partitioned stays listed for some seconds.
FAILED_BACKOFF_MS = 500
# A dead engine is delisted after three missed heartbeats, some four seconds.
FAILED_BACKOFF_MAX_MS = 4000
# An engine that sent an event this recently is alive, even if one stream failed.
RECENT_EVENT_MS = 300
# Further consecutive failures do not lengthen the backoff.
MAX_FAILURES = 8
# The weight of the newest sample in an engine's moving average, over all its streams.
EWMA_WEIGHT = 0.05


class _EngineState:
    """This host's measurements of one incarnation of an engine."""

    __slots__ = (
        "in_flight",
        "ms_per_event",
        "blocked_until_ms",
        "is_rejecting",
        "failures",
        "last_event_ms",
    )

    def __init__(self):
        self.in_flight = 0
        self.ms_per_event = None
        self.blocked_until_ms = 0
        self.is_rejecting = False
        self.failures = 0
        self.last_event_ms = None


class EnginePool:
    """Tracks in-flight requests, speed and backoff of each engine.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param limits: the
        :class:`~goldcrestmoor.process.upstream_limits.UpstreamLimits`.
    """

    __slots__ = ("_clock", "_directory", "_limits", "_state_by_key")

    def __init__(self, *, clock, directory, limits):
        self._clock = clock
        self._directory = directory
        self._limits = limits
        self._state_by_key = {}

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
        state = self._state_by_key.get(_key(upstream)) or _EngineState()
        return EngineLoad(
            name=upstream.name,
            slots=upstream.slots,
            in_flight=state.in_flight,
            version=upstream.version_by_model.get(model, 0),
            ms_per_event=state.ms_per_event,
            is_blocked=(
                now_ms < state.blocked_until_ms or self._limits.pause_ms(upstream) > 0
            ),
            is_limited=self._limits.is_limited(upstream),
            software_version=upstream.software_version,
        )

    def upstream(self, name):
        """Return a listed engine.

        :param name: its name, from :meth:`loads`.
        """
        return self._directory.upstream_by_name[name]

    def begin(self, upstream):
        """Count a stream as in flight, before its request is sent.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        """
        state = self._state(upstream)
        state.in_flight += 1
        if state.is_rejecting or self._limits.is_limited(upstream):
            # Send no other until this stream shows whether the engine accepts work.
            self.block(upstream, REJECTED_BACKOFF_MS)

    def is_limited(self, upstream):
        """Return whether streams need to be admitted by :meth:`admit`.

        :param upstream: the engine.
        """
        return self._limits.is_limited(upstream)

    async def admit(self, upstream):
        """Admit a stream to its engine, after :meth:`begin`.

        :param upstream: the engine.
        :return: 0 when it is admitted, else how long the engine gets no requests, in
            milliseconds.
        """
        pause_ms = await self._limits.admit(upstream)
        state = self._state(upstream)
        if not state.is_rejecting:
            state.blocked_until_ms = 0
        return pause_ms

    def end(self, upstream):
        """Count a stream as ended.

        :param upstream: the engine.
        """
        self._state(upstream).in_flight -= 1

    def record_accepted(self, upstream):
        """Record that an engine has begun its response, and so accepts work.

        :param upstream: the engine.
        """
        state = self._state(upstream)
        state.is_rejecting = False
        state.failures = 0

    def record_events(self, upstream, elapsed_ms, count):
        """Record the time that new events of a stream took.

        :param upstream: the engine.
        :param elapsed_ms: the time since the stream's previous events, in milliseconds.
        :param count: the number of new events.
        """
        state = self._state(upstream)
        state.last_event_ms = self._clock.now_ms()
        sample_ms, previous_ms = elapsed_ms / count, state.ms_per_event
        if previous_ms is None:
            state.ms_per_event = sample_ms
        else:
            state.ms_per_event = previous_ms + EWMA_WEIGHT * (sample_ms - previous_ms)

    def record_rejected(self, upstream):
        """Record that an engine rejected work; after a backoff, it gets one item first.

        :param upstream: the engine.
        """
        self._state(upstream).is_rejecting = True
        self.block(upstream, REJECTED_BACKOFF_MS)

    def record_interrupted(self, upstream):
        """Record an interrupted stream; back its engine off unless it is known alive.

        :param upstream: the engine.
        """
        state = self._state(upstream)
        now_ms = self._clock.now_ms()
        if (
            state.last_event_ms is not None
            and now_ms - state.last_event_ms < RECENT_EVENT_MS
        ):
            return
        if now_ms < state.blocked_until_ms:
            # Other streams that end by the same failure do not count again.
            return
        state.is_rejecting = True
        pause_ms = min(FAILED_BACKOFF_MAX_MS, FAILED_BACKOFF_MS << state.failures)
        state.failures = min(state.failures + 1, MAX_FAILURES)
        self.block(upstream, pause_ms)

    def record_overlong(self, upstream):
        """Back off an engine that sent more than an item's output.

        That it sends events shows no health here.

        :param upstream: the engine.
        """
        self._state(upstream).is_rejecting = True
        self.block(upstream, FAILED_BACKOFF_MAX_MS)

    def block(self, upstream, duration_ms):
        """Back an engine off.

        :param upstream: the engine.
        :param duration_ms: for how long, in milliseconds.
        """
        until_ms = self._clock.now_ms() + duration_ms
        self._state(upstream).blocked_until_ms = until_ms

    def _state(self, upstream):
        state = self._state_by_key.get(_key(upstream))
        if state is None:
            self._remove_unlisted()
            state = self._state_by_key[_key(upstream)] = _EngineState()
        return state

    def _remove_unlisted(self):
        """Remove delisted incarnations, so that they do not accumulate."""
        listed = {_key(u) for u in self._directory.upstream_by_name.values()}
        for key, state in list(self._state_by_key.items()):
            if key not in listed and not state.in_flight:
                del self._state_by_key[key]


def _key(upstream):
    return upstream.name, upstream.started_ms
