"""Response latencies, and timeouts of calls that adapt to them.

Workload: a store that responds within ten milliseconds loses some responses, and each
call that waits for a lost one delays its caller. Later the store is sixty times slower,
and a timeout that is too short makes it do all work twice.
"""

import collections

# Responses of a few tenths of a second, from which the current latency is estimated.
MAX_RESPONSES = 4
# A response that takes twice the recent peak latency is considered lost.
MARGIN_FACTOR = 2
# A call that queues behind others may take eight times as long as one that does not,
# as in a queue of one second at a store whose reads take a quarter of a second.
QUEUEING_FACTOR = 8
# The peak latency decays by a fifth with each further response.
DECAY_FACTOR = 0.8


class AdaptiveTimeout:
    """The timeout of the next call, computed from recent latencies.

    :param min_ms: the shortest timeout, in milliseconds.
    :param max_ms: the longest timeout for a store that does not respond at all.
    :param other_latency_ms: returns the current latency of other calls, in ms.
    :ivar peak_latency_ms: the decaying maximum of recent latencies.
    """

    __slots__ = (
        "peak_latency_ms",
        "_min_ms",
        "_max_ms",
        "_other_latency_ms",
        "_timeouts",
    )

    def __init__(self, min_ms, max_ms, other_latency_ms):
        self.peak_latency_ms = 0
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._other_latency_ms = other_latency_ms
        self._timeouts = 0

    def wait_ms(self):
        """Return the timeout of the next call, in milliseconds."""
        backoff_ms = min(self._min_ms << self._timeouts, self._max_ms)
        expected_ms = int(self.peak_latency_ms * MARGIN_FACTOR)
        return max(backoff_ms, expected_ms, self._other_latency_ms() * QUEUEING_FACTOR)

    def record_response(self, elapsed_ms):
        """Record the latency of a response, even one after its timeout.

        :param elapsed_ms: the latency, in milliseconds.
        """
        self.peak_latency_ms = max(elapsed_ms, self.peak_latency_ms * DECAY_FACTOR)
        self._timeouts = 0

    def record_timeout(self):
        """Record a timeout, which doubles the next one up to the maximum."""
        if self._min_ms << self._timeouts < self._max_ms:
            self._timeouts += 1


class ResponseTimes:
    """The current latency of responses, from calls of which some are long polls."""

    __slots__ = ("_latencies_ms",)

    def __init__(self):
        self._latencies_ms = collections.deque(maxlen=MAX_RESPONSES)

    def record(self, elapsed_ms, wait_ms):
        """Record a response.

        :param elapsed_ms: the time since the call, in milliseconds.
        :param wait_ms: the longest time that the server waits for an update.
        """
        # A response that came sooner carries an update, for which the server waited an
        # unknown part of this time.
        waited_ms = wait_ms if elapsed_ms >= wait_ms else 0
        self._latencies_ms.append(elapsed_ms - waited_ms)

    def typical_ms(self):
        """Return the lowest recent latency, in milliseconds; 0 before the first."""
        return min(self._latencies_ms, default=0)
