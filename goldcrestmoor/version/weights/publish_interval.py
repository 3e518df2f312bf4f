"""How often a trainer publishes, and when a stream will be too old for it."""

import collections
import statistics

MAX_INTERVALS = 4


class PublishIntervalEstimator:
    """The times between a trainer's versions, as one step's holder sees them.

    :param version: the trainer's version at the start.
    """

    __slots__ = ("_version", "_changed_ms", "_intervals_ms")

    def __init__(self, version):
        self._version = version
        self._changed_ms = None
        self._intervals_ms = collections.deque(maxlen=MAX_INTERVALS)

    def record(self, version, now_ms):
        """Take in the trainer's present version.

        :param version: the version.
        :param now_ms: the present time, on the clock's scale.
        """
        if version <= self._version:
            return
        if self._changed_ms is not None:
            versions = version - self._version
            self._intervals_ms.append((now_ms - self._changed_ms) / versions)
        self._version, self._changed_ms = version, now_ms

    def expires_at_ms(self, oldest_version, bound):
        """Return when a version is expected to be too old, or None.

        :param oldest_version: the version of a stream's oldest tokens.
        :param bound: the most versions that a sample may lag behind.
        :return: a time on the clock's scale; None while the pace is not known.
        """
        if not self._intervals_ms:
            return None
        versions = oldest_version + bound + 1 - self._version
        return self._changed_ms + versions * statistics.fmean(self._intervals_ms)
