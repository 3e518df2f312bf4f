"""The limits that upstreams state on the requests of all hosts together."""

import logging
import math

import msgspec

log = logging.getLogger("goldcrestmoor.limits")

# A response without a limit may have been sent just before one that states it.
REORDER_MS = 200
# Upstreams that are gone stay recorded; bounds the memory for them.
MAX_RECORDED = 1024


class StatedLimit(msgspec.Struct, frozen=True):
    """What an upstream last stated.

    :param per_second: the requests that it accepts in a second; infinite when it no
        longer limits them.
    :param stated_ms: when this host received it.
    """

    per_second: float
    stated_ms: float


class UpstreamLimits:
    """Records the limits that upstreams state in their responses to this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = ("_clock", "_metrics", "_stated_by_key")

    def __init__(self, *, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._stated_by_key = {}
        metrics.limited_upstreams.set_function(self._limited_count)

    def record(self, upstream, per_second):
        """Record what an upstream's own response states.

        :param upstream: the upstream that responded.
        :param per_second: the requests that it accepts in a second from all hosts
            together; infinite without a limit, None if the response doesn't tell.
        """
        if per_second is None:
            return
        known = self._stated_by_key.get(key_of(upstream))
        if known is None and math.isinf(per_second):
            return
        now_ms = self._clock.now_ms()
        if math.isinf(per_second):
            if math.isinf(known.per_second) or now_ms - known.stated_ms < REORDER_MS:
                return
        else:
            self._metrics.limited_requests.labels("answered").inc()
        self._put(upstream, StatedLimit(per_second, now_ms))

    def per_second(self, upstream):
        """Return how many requests a second an upstream accepts; infinite if unlimited.

        :param upstream: the upstream.
        """
        known = self._stated_by_key.get(key_of(upstream))
        return math.inf if known is None else known.per_second

    def _put(self, upstream, stated):
        known = self._stated_by_key.pop(key_of(upstream), None)
        if known is None or known.per_second != stated.per_second:
            _log_change(upstream, stated.per_second)
        self._stated_by_key[key_of(upstream)] = stated
        while len(self._stated_by_key) > MAX_RECORDED:
            del self._stated_by_key[next(iter(self._stated_by_key))]

    def _limited_count(self):
        return sum(
            not math.isinf(stated.per_second) for stated in self._stated_by_key.values()
        )


def key_of(upstream):
    """Return the key of an upstream's current incarnation.

    :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
    """
    return upstream.name, upstream.started_ms


def _log_change(upstream, per_second):
    if math.isinf(per_second):
        log.info("%s of %s no longer limits requests.", upstream.name, upstream.service)
        return
    log.info(
        "%s of %s accepts %g requests a second from all hosts together.",
        upstream.name,
        upstream.service,
        per_second,
    )
