"""A bound on retries, so that they add little to an upstream's load."""

PERCENT = 100
MAX_SAVED = 10.0


class RetryBudget:
    """Allow retries in proportion to requests, pool by pool.

    :param percent: how many retries a hundred requests allow.
    """

    __slots__ = ("_percent", "_saved_by_pool")

    def __init__(self, percent):
        self._percent = percent
        self._saved_by_pool = {}

    def note_request(self, pool):
        """Count a first attempt.

        :param pool: the pool's name, of the configuration.
        """
        saved = self._saved_by_pool.get(pool, MAX_SAVED)
        self._saved_by_pool[pool] = min(MAX_SAVED, saved + self._percent / PERCENT)

    def try_retry(self, pool):
        """Tell whether one more attempt may be made, and count it.

        :param pool: the pool's name.
        """
        saved = self._saved_by_pool.get(pool, MAX_SAVED)
        if saved < 1:
            return False
        self._saved_by_pool[pool] = saved - 1
        return True
