"""Decides whether a request is refused at once, and when a refused one may return.

Workload: requests of 25 to 40 ms of work with 800 ms to be answered, of which a few
hosts together send more than the servers finish. Queues grow until responses take
longer than callers wait, and servers spend their slots on requests that nobody waits
for any more. A request whose time left is shorter than any recent response would take
is refused at once. Callers that were refused return spread over the time in which the
servers finish what was refused, since those that return together are refused again.
"""

import collections
import random

from goldcrestmoor.errors import ErrorKind, ServiceError

# How far back responses count. Queues of a few hundred milliseconds grow and drain
# within this time.
WINDOW_MS = 2000
# The shortest of fewer responses may be far from the shortest possible one.
MIN_RESPONSES = 8
# Without a response this recent, requests are sent, to find out whether servers have
# become faster.
FRESH_MS = 500
# Responses of one service that are remembered; a host has up to 200 a second.
MAX_RESPONSES = 400
# A caller that returns sooner than a request's work takes finds the same slots busy.
RETRY_AFTER_MIN_MS = 50
# An overload that lasts longer is measured again when callers return.
RETRY_AFTER_MAX_MS = 2000
# The least and the most of the measured time after which a caller returns.
JITTER = 0.5, 1.5


class RecentResponses:
    """The responses and refusals of one service that this host saw in the last seconds.

    :ivar responses: the pairs of time and response time, in milliseconds.
    :ivar refused_ms: when all servers had refused a request.
    """

    __slots__ = ("responses", "refused_ms")

    def __init__(self):
        self.responses = collections.deque(maxlen=MAX_RESPONSES)
        self.refused_ms = collections.deque(maxlen=MAX_RESPONSES)

    def is_too_late(self, remaining_ms, now_ms):
        """Return whether no server is likely to respond in the time left.

        :param remaining_ms: the time left, in milliseconds.
        :param now_ms: the time.
        """
        self._expire(now_ms)
        if not self._is_known() or now_ms - self.responses[-1][0] > FRESH_MS:
            return False
        return remaining_ms < min(duration_ms for _, duration_ms in self.responses)

    def retry_after_ms(self, default_ms, now_ms, jitter):
        """Return when a refused caller may return, in milliseconds.

        The servers finish as many requests as were refused in this time.

        :param default_ms: the time while too few responses were seen.
        :param now_ms: the time.
        :param jitter: the factor that spreads callers out.
        """
        self._expire(now_ms)
        after_ms = default_ms
        if self._is_known():
            span_ms = max(1, now_ms - self.responses[0][0])
            ms_per_response = span_ms / len(self.responses)
            after_ms = max(1, len(self.refused_ms)) * ms_per_response
        bounded_ms = min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, after_ms))
        return int(bounded_ms * jitter)

    def _is_known(self):
        return len(self.responses) >= MIN_RESPONSES

    def _expire(self, now_ms):
        while self.responses and now_ms - self.responses[0][0] > WINDOW_MS:
            self.responses.popleft()
        while self.refused_ms and now_ms - self.refused_ms[0] > WINDOW_MS:
            self.refused_ms.popleft()


class LoadShedding:
    """Refuses requests for load, where callers have accounts.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param routes: returns the ``RouteTable`` in effect.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = ("_clock", "_routes", "_metrics", "_recent_by_service")

    def __init__(self, *, clock, routes, metrics):
        self._clock = clock
        self._routes = routes
        self._metrics = metrics
        self._recent_by_service = collections.defaultdict(RecentResponses)

    def record_response(self, service, sent_ms):
        """Record that a server has run a plain request.

        :param service: the service's name.
        :param sent_ms: when the request was sent.
        """
        if self._is_active():
            now_ms = self._clock.now_ms()
            recent = self._recent_by_service[service]
            recent.responses.append((now_ms, now_ms - sent_ms))

    def check_time_left(self, service, priority, remaining_ms):
        """Raise if a request would not be answered in time.

        :param service: the service's name.
        :param priority: the request's priority.
        :param remaining_ms: the time left, in milliseconds.
        :raises ServiceError: ``QUEUE_TIMEOUT``.
        """
        recent = self._recent_by_service.get(service)
        if recent is None or not self._is_active():
            return
        now_ms = self._clock.now_ms()
        if not recent.is_too_late(remaining_ms, now_ms):
            return
        self._metrics.refusals.labels("too_late", priority).inc()
        after_ms = recent.retry_after_ms(
            RETRY_AFTER_MIN_MS, now_ms, random.uniform(*JITTER)
        )
        text = f"No recent response of {service} took only {remaining_ms} ms."
        raise ServiceError(ErrorKind.QUEUE_TIMEOUT, text, after_ms)

    def record_refused(self, service, priority, default_ms):
        """Record that all servers refused a request; return when it may return.

        :param service: the service's name.
        :param priority: the request's priority.
        :param default_ms: the time without a measurement, in milliseconds.
        """
        if not self._is_active():
            return default_ms
        now_ms = self._clock.now_ms()
        recent = self._recent_by_service[service]
        recent.refused_ms.append(now_ms)
        self._metrics.refusals.labels("servers_full", priority).inc()
        return recent.retry_after_ms(default_ms, now_ms, random.uniform(*JITTER))

    def _is_active(self):
        table = self._routes()
        return table is not None and table.accounts is not None
