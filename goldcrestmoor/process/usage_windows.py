"""Decides which usage windows are committed, reported, repeated or given up.

Workload: a window ends every five seconds and its report is due ten seconds later. The
holder of the duty is killed, frozen or cut off from the store between any two steps,
the platform's API or the store is down for minutes, and two hosts may believe that
they hold the duty. The platform must never get two reports of one window with different
counts, so that counts are reported only once they are committed, and then only these.
"""

import msgspec

# A new holder repeats what was committed this recently: its predecessor may have died
# before it sent the report. An exact repeat does no harm.
REPEAT_MS = 30_000
# Rows are removed after this; the newest stays, as the next window follows from it.
ROW_KEPT_MS = 120_000
# Bounds the memory that an outage of the store or of the API takes: 120 windows of 5 s.
GIVE_UP_MS = 600_000
# Entries of one transaction are limited.
MAX_REMOVED = 20


class CommittedCounts(msgspec.Struct, frozen=True):
    """The counts of a window as they are stored.

    :param counts: the number of requests by client account.
    :param committed_ms: when they were stored, in true time.
    """

    counts: dict[str, int]
    committed_ms: int


class Report(msgspec.Struct, frozen=True):
    """A report that has not been accepted yet.

    :param window: the window.
    :param counts: the committed counts.
    :param is_repeated: whether another process may have sent it already.
    """

    window: int
    counts: dict[str, int]
    is_repeated: bool


class UsageWindows:
    """The windows as the holder of the duty knows them.

    :param window_ms: the length of a window, in milliseconds.
    :param due_ms: how long after its end a window's report is due, in milliseconds.
    """

    __slots__ = (
        "_window_ms",
        "_due_ms",
        "_next",
        "_rows",
        "_attempted",
        "_pending",
        "_closed",
    )

    def __init__(self, *, window_ms, due_ms):
        self._window_ms = window_ms
        self._due_ms = due_ms
        # The next window to commit.
        self._next = None
        self._rows = {}
        self._attempted = set()
        self._pending = {}
        self._closed = set()

    def window_at(self, true_ms):
        """Return the window that a moment is in.

        :param true_ms: the moment, in milliseconds since 1970.
        """
        return true_ms // self._window_ms

    def end_ms(self, window):
        """Return when a window ends, in milliseconds since 1970."""
        return (window + 1) * self._window_ms

    def load(self, rows, began_ms, now_ms):
        """Take over what is committed, when a holding begins or after a conflict.

        :param rows: the :class:`CommittedCounts` by window.
        :param began_ms: when this host acquired the duty, in true time.
        :param now_ms: the true time.
        """
        self._rows = dict(rows)
        # The first holder of all begins with the window in which it took the duty.
        self._next = max(rows) + 1 if rows else self.window_at(began_ms)
        for window, row in rows.items():
            if window in self._closed or window in self._pending:
                continue
            is_own = window in self._attempted
            if is_own or now_ms - row.committed_ms < REPEAT_MS:
                # A row under a window that this process tried may be of another host.
                self._pending[window] = Report(window, row.counts, is_repeated=True)
        self._attempted.clear()

    def skip_unknown(self, known_from_ms):
        """Skip the windows whose starts this holder can't know any more.

        :param known_from_ms: since when it knows all starts, in true time.
        :return: how many windows are never reported.
        """
        first = -(-known_from_ms // self._window_ms)
        skipped = max(0, first - self._next)
        self._next += skipped
        return skipped

    def next_closed(self, now_ms, delay_ms):
        """Return the next window to commit, or None.

        :param now_ms: the true time.
        :param delay_ms: how long after its end all hosts have sent a window's counts.
        """
        is_closed = now_ms >= self.end_ms(self._next) + delay_ms
        return self._next if is_closed else None

    def first_open(self):
        """Return the first window that is not committed, or 0 if that is unknown."""
        return self._next or 0

    def previous(self):
        """Return the newest committed window, or None."""
        return max(self._rows, default=None)

    def removable(self, now_ms):
        """Return the windows whose rows the next commit removes.

        :param now_ms: the true time.
        """
        newest = self.previous()
        old = [
            window
            for window, row in self._rows.items()
            if now_ms - row.committed_ms >= ROW_KEPT_MS and window != newest
        ]
        return sorted(old)[:MAX_REMOVED]

    def attempt(self, window):
        """Record that the commit of a window is being sent, whatever comes of it."""
        self._attempted.add(window)

    def commit(self, window, row, removed):
        """Record that a window is committed.

        :param window: the window.
        :param row: its :class:`CommittedCounts`.
        :param removed: the windows whose rows were removed.
        """
        self._attempted.discard(window)
        for old in removed:
            del self._rows[old]
        self._rows[window] = row
        self._pending[window] = Report(window, row.counts, is_repeated=False)
        self._next = window + 1

    def next_report(self):
        """Return the next :class:`Report` to send, or None."""
        return self._pending[min(self._pending)] if self._pending else None

    def close(self, report):
        """Record that the platform has accepted a report, or never will."""
        del self._pending[report.window]
        self._closed.add(report.window)
        self._closed &= self._rows.keys()

    def give_up(self, now_ms):
        """Give up the reports that are too old, and return how many.

        :param now_ms: the true time.
        """
        old = [w for w in self._pending if now_ms - self.end_ms(w) > GIVE_UP_MS]
        for window in old:
            del self._pending[window]
        return len(old)

    def is_late(self, window, now_ms):
        """Return whether a window's report is past its time.

        :param window: the window.
        :param now_ms: the true time.
        """
        return now_ms > self.end_ms(window) + self._due_ms
