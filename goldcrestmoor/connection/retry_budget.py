"""A budget that keeps retries a small part of an upstream's load."""

import collections

PERCENT = 100
# Bounds the memory; several times the 700 servers of a large fleet.
MAX_UPSTREAMS = 4096
# A quiet upstream may have a short burst of retries.
MAX_SAVED_RETRIES = 10

# An upstream with little traffic may still be given a retry this often.
FLOOR_INTERVAL_MS = 10_000


class _Account:
    __slots__ = ("saved", "floor_at_ms")

    def __init__(self, now_ms):
        self.saved = 0.0
        self.floor_at_ms = now_ms


class RetryBudget:
    """Allow retries as a share of each upstream's first sends.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param percent: retries allowed for each hundred requests.
    """

    __slots__ = ("_clock", "_share", "_account_by_upstream")

    def __init__(self, *, clock, percent):
        self._clock = clock
        self._share = percent / PERCENT
        self._account_by_upstream = collections.OrderedDict()

    def record_request(self, upstream):
        """Count a first send.

        :param upstream: the upstream that it went to, or its pool.
        """
        account = self._account(upstream)
        account.saved = min(MAX_SAVED_RETRIES, account.saved + self._share)

    def try_retry(self, upstream):
        """Take one retry out of the budget, where there is one.

        :param upstream: the upstream that the retry would go to, or its pool.
        :return: whether it may be sent.
        """
        account = self._account(upstream)
        # The shares are sums of fractions, so that a whole one may lie just below.
        if account.saved >= 1 - 1e-9:
            account.saved -= 1
            return True
        now_ms = self._clock.now_ms()
        if self._share and now_ms >= account.floor_at_ms:
            account.floor_at_ms = now_ms + FLOOR_INTERVAL_MS
            return True
        return False

    def _account(self, upstream):
        account = self._account_by_upstream.get(upstream)
        if account is None:
            account = _Account(self._clock.now_ms())
            self._account_by_upstream[upstream] = account
            if len(self._account_by_upstream) > MAX_UPSTREAMS:
                self._account_by_upstream.popitem(last=False)
        self._account_by_upstream.move_to_end(upstream)
        return account
