"""A budget that limits retries to a small part of an upstream's load."""

import collections

PERCENT = 100
# Limits memory; several times the 700 servers of a large fleet.
MAX_UPSTREAMS = 4096
# Unused budget allows a burst of at most so many retries.
MAX_SAVED_RETRIES = 10

# An upstream with little traffic may still get a retry this often.
FLOOR_INTERVAL_MS = 10_000


class _Bucket:
    __slots__ = ("saved", "guaranteed_at_ms")

    def __init__(self, now_ms):
        self.saved = 0.0
        self.guaranteed_at_ms = now_ms


class RetryBudget:
    """Allows retries as a percentage of each upstream's first attempts.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param percent: retries allowed for each hundred requests.
    """

    __slots__ = ("_clock", "_retry_ratio", "_bucket_by_upstream")

    def __init__(self, *, clock, percent):
        self._clock = clock
        self._retry_ratio = percent / PERCENT
        self._bucket_by_upstream = collections.OrderedDict()

    def record_request(self, upstream):
        """Count a first attempt.

        :param upstream: the upstream that it was sent to, or its pool.
        """
        bucket = self._bucket(upstream)
        bucket.saved = min(MAX_SAVED_RETRIES, bucket.saved + self._retry_ratio)

    def try_retry(self, upstream):
        """Take one retry from the budget, if it has one.

        :param upstream: the upstream that the retry would be sent to, or its pool.
        :return: whether the retry may be sent.
        """
        bucket = self._bucket(upstream)
        # The balance is a sum of floats, so one full retry may be just below 1.
        if bucket.saved >= 1 - 1e-9:
            bucket.saved -= 1
            return True
        now_ms = self._clock.now_ms()
        if self._retry_ratio and now_ms >= bucket.guaranteed_at_ms:
            bucket.guaranteed_at_ms = now_ms + FLOOR_INTERVAL_MS
            return True
        return False

    def _bucket(self, upstream):
        bucket = self._bucket_by_upstream.get(upstream)
        if bucket is None:
            bucket = _Bucket(self._clock.now_ms())
            self._bucket_by_upstream[upstream] = bucket
            if len(self._bucket_by_upstream) > MAX_UPSTREAMS:
                self._bucket_by_upstream.popitem(last=False)
        self._bucket_by_upstream.move_to_end(upstream)
        return bucket
