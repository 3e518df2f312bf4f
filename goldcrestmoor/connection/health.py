"""Outlier detection: ejects upstreams by the outcomes and latencies of requests."""

import collections
import logging
import random
import statistics

log = logging.getLogger("goldcrestmoor.health")

# Limits memory; several times the 700 servers of a large fleet.
MAX_UPSTREAMS = 4096
# One or two lost responses may be due to the network; three in a row are due to the
# upstream.
EJECTION_FAILURES = 3
# A restart takes about a second.
MIN_EJECTION_MS = 1_000
# An upstream that stays unavailable is probed once a minute.
MAX_EJECTION_MS = 60_000

# A probe whose outcome is never recorded blocks the next one only for this long.
PROBE_TIMEOUT_MS = 30_000

# Latencies are compared no more often, as the cost grows with the size of the pool.
COMPARISON_INTERVAL_MS = 500
# Smaller differences in latency come from the requests, not from the upstream.
SLOW_FACTOR = 4
# At latencies of a few milliseconds, a factor alone is not significant.
SLOW_MARGIN_MS = 50
# Enough for a median that a single outlier does not move.
MAX_LATENCIES = 20
# With fewer samples, no median is computed.
MIN_LATENCIES = 8

# At most one in so many upstreams of a pool is excluded, but one of two may be.
UPSTREAMS_PER_EJECTION = 3


class _UpstreamState:
    __slots__ = (
        "failures",
        "ejections",
        "ejected_until_ms",
        "probe_until_ms",
        "max_latency_ms",
        "reason",
        "latencies_ms",
        "median_ms",
        "compared_at_ms",
    )

    def __init__(self):
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = None
        self.probe_until_ms = 0
        self.max_latency_ms = None
        self.reason = ""
        self.latencies_ms = collections.deque(maxlen=MAX_LATENCIES)
        self.median_ms = None
        self.compared_at_ms = None

    def add_latency(self, latency_ms):
        self.latencies_ms.append(latency_ms)
        if len(self.latencies_ms) >= MIN_LATENCIES:
            self.median_ms = statistics.median(self.latencies_ms)

    def clear_latencies(self):
        self.latencies_ms.clear()
        self.median_ms = None


class UpstreamHealth:
    """Ejects failing and slow upstreams for a time, then probes them.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    """

    __slots__ = ("_clock", "_state_by_upstream", "_ejected")

    def __init__(self, *, clock):
        self._clock = clock
        self._state_by_upstream = collections.OrderedDict()
        self._ejected = set()

    def record(self, upstream, ok, latency_ms=None):
        """Record the outcome of a request.

        :param upstream: the upstream's name.
        :param ok: whether the upstream responded; a connection failure or a timeout
            is not ok, a response with an error status is.
        :param latency_ms: the latency of a comparable amount of work, such as the
            time to the first token; ``None`` when it is not comparable.
        """
        state = self._state(upstream)
        state.probe_until_ms = 0
        if not ok:
            self._record_failure(upstream, state)
            return
        state.failures = 0
        if state.ejected_until_ms is not None:
            self._record_recovery(upstream, state, latency_ms)
        elif latency_ms is not None:
            state.add_latency(latency_ms)

    def _record_failure(self, upstream, state):
        state.failures += 1
        is_ejected = state.ejected_until_ms is not None
        if is_ejected and self._clock.now_ms() < state.ejected_until_ms:
            # The request was sent before the ejection and carries no new information.
            return
        if is_ejected or state.failures >= EJECTION_FAILURES:
            reason = f"{state.failures} failures in a row"
            self._eject(upstream, state, reason)

    def _record_recovery(self, upstream, state, latency_ms):
        bound_ms = state.max_latency_ms
        if bound_ms is not None and (latency_ms is None or latency_ms > bound_ms):
            if self._clock.now_ms() >= state.ejected_until_ms:
                self._eject(upstream, state, state.reason)
            return
        log.info("%s is reinstated.", upstream)
        self._ejected.discard(upstream)
        state.ejected_until_ms = None
        state.max_latency_ms = None
        state.ejections = 0
        state.reason = ""

    def _eject(self, upstream, state, reason):
        bound_ms = min(MAX_EJECTION_MS, MIN_EJECTION_MS << min(state.ejections, 16))
        state.ejections += 1
        duration_ms = int(random.uniform(bound_ms / 2, bound_ms))
        state.ejected_until_ms = self._clock.now_ms() + duration_ms
        state.reason = reason
        state.clear_latencies()
        self._ejected.add(upstream)
        log.warning("%s is ejected for %d ms: %s.", upstream, duration_ms, reason)

    def usable(self, upstream_names):
        """Return the upstreams of a pool that are not ejected.

        However many fail, only a bounded part of the pool is excluded, so that the
        remaining upstreams are not overloaded.

        :param upstream_names: the names of the pool's upstreams.
        :return: a list of names, in the order given.
        """
        names = list(upstream_names)
        max_ejected = (
            max(1, len(names) // UPSTREAMS_PER_EJECTION) if len(names) > 1 else 0
        )
        if max_ejected and self._is_comparison_due(names[0]):
            self._eject_slowest(names, max_ejected)
        if not self._ejected:
            return names
        ejected = [name for name in names if name in self._ejected]
        ejected.sort(key=self._severity, reverse=True)
        excluded = set(ejected[:max_ejected])
        return [name for name in names if name not in excluded]

    def _is_comparison_due(self, first_name):
        state, now_ms = self._state(first_name), self._clock.now_ms()
        compared_at_ms = state.compared_at_ms
        if (
            compared_at_ms is not None
            and now_ms < compared_at_ms + COMPARISON_INTERVAL_MS
        ):
            return False
        state.compared_at_ms = now_ms
        return True

    def _eject_slowest(self, names, max_ejected):
        if sum(name in self._ejected for name in names) >= max_ejected:
            return
        states = ((name, self._state_by_upstream.get(name)) for name in names)
        medians = [
            (state.median_ms, name)
            for name, state in states
            if state is not None and state.median_ms is not None
        ]
        if len(medians) < 2:
            return
        slowest_ms, slowest_name = max(medians)
        others_ms = statistics.median(
            ms for ms, name in medians if name != slowest_name
        )
        bound_ms = others_ms * SLOW_FACTOR + SLOW_MARGIN_MS
        if slowest_ms > bound_ms:
            self._state_by_upstream[slowest_name].max_latency_ms = bound_ms
            reason = (
                f"median of {slowest_ms:.0f} ms, other upstreams {others_ms:.0f} ms"
            )
            self._eject(slowest_name, self._state_by_upstream[slowest_name], reason)

    def try_probe(self, upstream):
        """Acquire the permission to send one probe to an ejected upstream.

        The outcome of the probe goes to :meth:`record`.

        :param upstream: the upstream's name.
        :return: whether this caller may send it.
        """
        state = self._state_by_upstream.get(upstream)
        now_ms = self._clock.now_ms()
        if state is None or state.ejected_until_ms is None:
            return False
        if now_ms < state.ejected_until_ms or now_ms < state.probe_until_ms:
            return False
        state.probe_until_ms = now_ms + PROBE_TIMEOUT_MS
        return True

    def reason(self, upstream):
        """Return why an upstream is ejected, or an empty string.

        :param upstream: the upstream's name.
        """
        state = self._state_by_upstream.get(upstream)
        if state is None or state.ejected_until_ms is None:
            return ""
        wait_ms = max(0, state.ejected_until_ms - self._clock.now_ms())
        return f"{state.reason}; next probe in {wait_ms} ms"

    def _severity(self, name):
        state = self._state_by_upstream[name]
        return state.failures, state.ejections, name

    def _state(self, upstream):
        state = self._state_by_upstream.get(upstream)
        if state is None:
            state = self._state_by_upstream[upstream] = _UpstreamState()
            if len(self._state_by_upstream) > MAX_UPSTREAMS:
                evicted, _ = self._state_by_upstream.popitem(last=False)
                self._ejected.discard(evicted)
        self._state_by_upstream.move_to_end(upstream)
        return state
