"""Counters and latency histograms of a running replay."""

import collections

from hdrh.histogram import HdrHistogram

from goldcrestmoor.load.report import Latency

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000


class LatencyTally:
    """Histogram of latencies from the intended start, so that all waits count."""

    __slots__ = ("_histogram",)

    def __init__(self):
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record(self, latency_ms):
        """Add one latency.

        :param latency_ms: the latency in milliseconds.
        """
        self._histogram.record_value(max(MIN_LATENCY_US, int(latency_ms * US_PER_MS)))

    def result(self):
        """Return the :class:`~goldcrestmoor.load.report.Latency` so far."""

        def at(percentile):
            value = self._histogram.get_value_at_percentile(percentile)
            return value / US_PER_MS

        count = self._histogram.get_total_count()
        return Latency(count, at(50), at(99), at(99.9), at(100))


class Tally:
    """All counters of a replay."""

    __slots__ = (
        "fetch",
        "note",
        "fetch_failed",
        "completion",
        "completion_failed",
        "errors_by_kind",
        "notes_asked",
        "notes_saved",
        "notes_unknown",
        "samples_asked",
        "samples_delivered",
        "doubled",
        "tokens_delivered",
        "idle_ms_by_account",
        "step_ms_by_account",
        "staleness",
    )

    def __init__(self):
        self.fetch = LatencyTally()
        self.note = LatencyTally()
        self.fetch_failed = 0
        self.completion = LatencyTally()
        self.completion_failed = 0
        self.errors_by_kind = collections.Counter()
        self.notes_asked = 0
        self.notes_saved = 0
        self.notes_unknown = 0
        self.samples_asked = 0
        self.samples_delivered = 0
        self.doubled = 0
        self.tokens_delivered = 0
        self.idle_ms_by_account = collections.Counter()
        self.step_ms_by_account = collections.defaultdict(list)
        self.staleness = []
