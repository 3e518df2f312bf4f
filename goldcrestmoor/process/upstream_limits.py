"""The limits that upstreams state on the requests of all hosts together."""

import logging
import math

import msgspec

from goldcrestmoor.process.limit_owners import GrantReply, GrantRequest
from goldcrestmoor.request.limit_budget import RequestBudget
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.limits")

# A response without a limit may have been sent just before one that states it.
REORDER_MS = 200
# How long an upstream gets no requests when no owner of its limit can be reached.
NO_OWNER_PAUSE_MS = 500
# Upstreams that are gone stay recorded; bounds the memory for them.
MAX_RECORDED = 1024


class StatedLimit(msgspec.Struct, frozen=True):
    """What an upstream last stated.

    :param per_second: the requests that it accepts in a second; infinite when it no
        longer limits them.
    :param stated_ms: when a host received it.
    """

    per_second: float
    stated_ms: float


class UpstreamLimits:
    """Records what upstreams state, and admits requests to those that limit them.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param owners: the :class:`~goldcrestmoor.process.limit_owners.LimitOwners`.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_owners",
        "_stated_by_key",
        "_paused_until_ms_by_key",
        "_budget_by_key",
        "_tasks",
    )

    def __init__(self, *, clock, metrics, owners):
        self._clock = clock
        self._metrics = metrics
        self._owners = owners
        self._stated_by_key = {}
        self._paused_until_ms_by_key = {}
        self._budget_by_key = {}
        self._tasks = TaskGroup()
        metrics.limited_upstreams.set_function(self._limited_count)

    def record(self, upstream, per_second):
        """Record what an upstream's own response states.

        :param upstream: the upstream that responded.
        :param per_second: the requests that it accepts in a second from all hosts
            together; infinite without a limit, None if the response doesn't tell.
        """
        if per_second is None:
            return
        known = self._stated_by_key.get(_key(upstream))
        now_ms = self._clock.now_ms()
        if math.isinf(per_second):
            if (
                known is None
                or math.isinf(known.per_second)
                or now_ms - known.stated_ms < REORDER_MS
            ):
                return
            self._tasks.start(self._report_end(upstream), "end of a limit")
        else:
            self._metrics.limited_requests.labels("answered").inc()
        if known is None or known.per_second != per_second:
            _log_change(upstream, per_second)
        self._put(_key(upstream), StatedLimit(per_second, now_ms))

    def per_second(self, upstream):
        """Return how many requests a second an upstream accepts; infinite if unlimited.

        :param upstream: the upstream.
        """
        known = self._stated_by_key.get(_key(upstream))
        return math.inf if known is None else known.per_second

    def is_limited(self, upstream):
        """Return whether requests to an upstream need to be admitted.

        :param upstream: the upstream.
        """
        return not math.isinf(self.per_second(upstream))

    def pause_ms(self, upstream):
        """Return how much longer this host sends an upstream nothing, in milliseconds.

        :param upstream: the upstream.
        """
        if not self.is_limited(upstream):
            return 0
        until_ms = self._paused_until_ms_by_key.get(_key(upstream), 0)
        return max(0, until_ms - self._clock.now_ms())

    async def admit(self, upstream, is_required=False):
        """Admit one request to an upstream, just before it is sent.

        :param upstream: the upstream.
        :param is_required: whether it is sent in any case, and only counts.
        :return: 0 when it is admitted; else how long the upstream gets no requests, in
            milliseconds.
        """
        if not self.is_limited(upstream):
            return 0
        pause_ms = self.pause_ms(upstream)
        if pause_ms and not is_required:
            return pause_ms
        request = self._grant_request(upstream, is_required=is_required)
        reply = await self._owners.ask(upstream, request, self.grant)
        if reply is None:
            wait_ms = NO_OWNER_PAUSE_MS
            log.info(
                "No host grants requests to %s; it gets none for %d ms.",
                upstream.name,
                wait_ms,
            )
        else:
            self._apply(_key(upstream), reply)
            wait_ms = reply.wait_ms if self.is_limited(upstream) else 0
        if is_required:
            return 0
        self._metrics.limited_requests.labels("denied" if wait_ms else "admitted").inc()
        if wait_ms:
            until_ms = self._clock.now_ms() + wait_ms
            _bounded_put(self._paused_until_ms_by_key, _key(upstream), until_ms)
        return wait_ms

    def grant(self, request):
        """Reply to a request to the owner of a limit, from this or another host.

        :param request: the :class:`~goldcrestmoor.process.limit_owners.GrantRequest`.
        :return: the :class:`~goldcrestmoor.process.limit_owners.GrantReply`.
        """
        key = request.upstream, request.started_ms
        self._apply(key, request)
        stated, now_ms = self._stated_by_key[key], self._clock.now_ms()
        wait_ms = 0
        if not request.is_report and not math.isinf(stated.per_second):
            budget = self._budget_by_key.get((*key, request.rank))
            if budget is None:
                budget = RequestBudget(request.rank, now_ms)
                _bounded_put(self._budget_by_key, (*key, request.rank), budget)
            wait_ms = budget.take(stated.per_second, now_ms, request.is_required)
        per_second = None if math.isinf(stated.per_second) else stated.per_second
        return GrantReply(wait_ms, per_second, round(now_ms - stated.stated_ms))

    async def close(self):
        """Cancel the reports under way."""
        await self._tasks.close()

    async def _report_end(self, upstream):
        """Report to the owner that an upstream no longer limits requests."""
        request = self._grant_request(upstream, is_report=True)
        await self._owners.ask(upstream, request, self.grant)

    def _grant_request(self, upstream, **fields):
        stated = self._stated_by_key[_key(upstream)]
        return GrantRequest(
            *_key(upstream),
            None if math.isinf(stated.per_second) else stated.per_second,
            round(self._clock.now_ms() - stated.stated_ms),
            **fields,
        )

    def _apply(self, key, message):
        """Record what another host knows of a limit, if it is newer."""
        stated_ms = self._clock.now_ms() - message.age_ms
        known = self._stated_by_key.get(key)
        if known is None or stated_ms > known.stated_ms:
            per_second = math.inf if message.per_second is None else message.per_second
            self._put(key, StatedLimit(per_second, stated_ms))

    def _put(self, key, stated):
        _bounded_put(self._stated_by_key, key, stated)

    def _limited_count(self):
        return sum(
            not math.isinf(stated.per_second) for stated in self._stated_by_key.values()
        )


def _key(upstream):
    """Return the key of an upstream's current incarnation."""
    return upstream.name, upstream.started_ms


def _bounded_put(value_by_key, key, value):
    """Put a value last, and drop the values that were put longest ago."""
    value_by_key.pop(key, None)
    value_by_key[key] = value
    while len(value_by_key) > MAX_RECORDED:
        del value_by_key[next(iter(value_by_key))]


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
