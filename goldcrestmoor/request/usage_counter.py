"""Counts the starts of callers' requests by client account, for the usage reports.

Workload: some thousand requests a second at a busy host, none at an idle one. The time
of a start is kept on the monotonic clock, because this host may learn only later how
far its wall clock is off; so the windows are formed anew for each message.
"""

import collections

# The precision of a start's time: 0.4% of the shortest usual window, and at most 1500
# entries in half a minute.
BUCKET_MS = 20


class UsageCounter:
    """Keeps the starts of the last half minute.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param window_ms: the length of a usage window, in milliseconds.
    :param kept_ms: how long starts are kept, in milliseconds.
    :ivar changes: increases with each start that is counted or withdrawn.
    """

    __slots__ = ("changes", "_clock", "_window_ms", "_kept_ms", "_counts_by_bucket")

    def __init__(self, *, clock, window_ms, kept_ms):
        self.changes = 0
        self._clock = clock
        self._window_ms = window_ms
        self._kept_ms = kept_ms
        # In the order of time.
        self._counts_by_bucket = {}

    def add(self, account):
        """Count a start now, and return its time for :meth:`withdraw`.

        :param account: the name of the client account.
        :return: the time on the monotonic clock, in milliseconds.
        """
        now_ms = self._clock.now_ms()
        self._drop_old(now_ms)
        self._change(account, now_ms, 1)
        return now_ms

    def withdraw(self, account, started_ms):
        """Take back a start, because the request was certainly not run.

        :param account: the name of the client account.
        :param started_ms: what :meth:`add` returned.
        """
        if started_ms // BUCKET_MS in self._counts_by_bucket:
            self._change(account, started_ms, -1)

    def first_whole_window(self, offset_ms):
        """Return the first window all of whose starts are still kept.

        :param offset_ms: true time minus the monotonic clock, in milliseconds.
        """
        kept_from_ms = self._clock.now_ms() - self._kept_ms + offset_ms
        return -(-kept_from_ms // self._window_ms)

    def counts(self, offset_ms, first_window):
        """Return the number of starts by window and account.

        :param offset_ms: true time minus the monotonic clock, in milliseconds.
        :param first_window: the first window to return.
        """
        counts_by_window = collections.defaultdict(collections.Counter)
        for bucket, counts in self._counts_by_bucket.items():
            middle_ms = bucket * BUCKET_MS + BUCKET_MS // 2 + offset_ms
            window = middle_ms // self._window_ms
            if window >= first_window:
                counts_by_window[window].update(counts)
        return {w: dict(+counts) for w, counts in counts_by_window.items()}

    def _change(self, account, at_ms, difference):
        bucket = at_ms // BUCKET_MS
        counts = self._counts_by_bucket.setdefault(bucket, collections.Counter())
        counts[account] += difference
        self.changes += 1

    def _drop_old(self, now_ms):
        end = (now_ms - self._kept_ms) // BUCKET_MS
        for bucket in list(self._counts_by_bucket):
            if bucket >= end:
                break
            del self._counts_by_bucket[bucket]


class RequestUsage:
    """Counts one request at most once.

    :param counter: the :class:`UsageCounter`; None where usage isn't reported.
    :param account: the name of the client account; empty for a request of none.
    """

    __slots__ = ("_counter", "_account", "_started_ms")

    def __init__(self, counter, account):
        self._counter = counter if account else None
        self._account = account
        self._started_ms = None

    def start(self):
        """Count the request now, unless it is counted already."""
        if self._counter is not None and self._started_ms is None:
            self._started_ms = self._counter.add(self._account)

    def withdraw(self):
        """Don't count the request, as it was certainly not run so far."""
        if self._started_ms is not None:
            self._counter.withdraw(self._account, self._started_ms)
            self._started_ms = None
