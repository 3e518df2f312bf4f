"""How long answers take, and how long one is waited for before it is asked again.

The load this answers: a store that answers within ten milliseconds loses answers, and
each one that is waited for holds up its caller; then it is sixty times slower, and a
wait that is too short makes it do everything twice.
"""

import collections

# Answers of some tenths of a second, from which the present is told.
MAX_RESPONSES = 4
# Twice the longest of the last answers is no ordinary one any more.
MARGIN_FACTOR = 2
# A call that takes its turn behind others' may take eight times as long as one that
# waits for nobody: a second at a store whose reads take a quarter of one.
QUEUEING_FACTOR = 8
# What is known of the longest answer fades by a fifth with each further one.
DECAY_FACTOR = 0.8


class AdaptiveTimeout:
    """The wait for the next answer, from how long the last ones took.

    :param min_ms: the shortest wait, in milliseconds.
    :param max_ms: the longest wait for a store that gives no answers at all.
    :param other_latency_ms: gives how long other calls currently take, in ms.
    :ivar peak_latency_ms: the longest of the last answers took about so long.
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
        """Return how long to wait, in milliseconds."""
        backoff_ms = min(self._min_ms << self._timeouts, self._max_ms)
        expected_ms = int(self.peak_latency_ms * MARGIN_FACTOR)
        return max(backoff_ms, expected_ms, self._other_latency_ms() * QUEUEING_FACTOR)

    def record_response(self, elapsed_ms):
        """Take in how long an answer took, however late it came.

        :param elapsed_ms: the time, in milliseconds.
        """
        self.peak_latency_ms = max(elapsed_ms, self.peak_latency_ms * DECAY_FACTOR)
        self._timeouts = 0

    def record_timeout(self):
        """Take in that no answer came in time: wait twice as long for the next."""
        if self._min_ms << self._timeouts < self._max_ms:
            self._timeouts += 1


class ResponseTimes:
    """How long answers take at present, from calls of which some wait for news."""

    __slots__ = ("_latencies_ms",)

    def __init__(self):
        self._latencies_ms = collections.deque(maxlen=MAX_RESPONSES)

    def record(self, elapsed_ms, wait_ms):
        """Take in an answer.

        :param elapsed_ms: the time since the call, in milliseconds.
        :param wait_ms: how long it was to wait for news at most.
        """
        # One that came sooner had news, and waited for it for some time or not at all.
        waited_ms = wait_ms if elapsed_ms >= wait_ms else 0
        self._latencies_ms.append(elapsed_ms - waited_ms)

    def typical_ms(self):
        """Return the least of the last answers, in milliseconds; 0 before the first."""
        return min(self._latencies_ms, default=0)
