"""Estimates a trainer's publish interval and when a stream becomes too old for it."""

import collections
import statistics

MAX_INTERVALS = 4


class PublishIntervalEstimator:
    """Averages the intervals between a trainer's versions, as seen by a step's holder.

    :param version: the trainer's initial version.
    """

    __slots__ = ("_version", "_changed_ms", "_intervals_ms")

    def __init__(self, version):
        self._version = version
        self._changed_ms = None
        self._intervals_ms = collections.deque(maxlen=MAX_INTERVALS)

    def record(self, version, now_ms):
        """Record the trainer's current version.

        :param version: the version.
        :param now_ms: the current time, on the clock's scale.
        """
        if version <= self._version:
            return
        if self._changed_ms is not None:
            versions = version - self._version
            self._intervals_ms.append((now_ms - self._changed_ms) / versions)
        self._version, self._changed_ms = version, now_ms

    def expires_at_ms(self, oldest_version, bound):
        """Return when a version is expected to exceed the staleness bound, or None.

        :param oldest_version: the version of a stream's oldest tokens.
        :param bound: the maximum number of versions that a sample may be behind.
        :return: a time on the clock's scale; None while the interval is unknown.
        """
        if not self._intervals_ms:
            return None
        versions = oldest_version + bound + 1 - self._version
        return self._changed_ms + versions * statistics.fmean(self._intervals_ms)
