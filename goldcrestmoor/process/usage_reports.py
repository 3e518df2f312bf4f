"""Commits the counts of usage windows and reports them to the platform's API."""

import logging

import msgspec

from goldcrestmoor.adapters.platform_api import STATUS_TOO_MANY, Accepted, Refused
from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.usage_windows import GIVE_UP_MS, CommittedCounts
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.usage")

TABLE = "usage"
# One report or commit is made in this time at most, which leaves most of the calls that
# the API accepts to server orders also when many reports have been held up.
POLL_MS = 200
MIN_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2000
SERVER_ERROR = 500
# Keys sort like numbers.
KEY_DIGITS = 12

_row_decoder = msgspec.json.Decoder(CommittedCounts)


class UsageReports:
    """Reports each usage window once it is committed, while this host holds the duty.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param duty: the :class:`~goldcrestmoor.process.exclusive_duty.ExclusiveDuty`.
    :param api: has the call ``report_usage``.
    :param store: has the calls ``scan`` and ``transact``.
    :param collector: the :class:`~goldcrestmoor.process.usage_counts.UsageCollector`.
    :param windows: the :class:`~goldcrestmoor.process.usage_windows.UsageWindows`.
    :param time: this host's :class:`~goldcrestmoor.process.true_time.TrueTime`.
    :param delay_ms: returns how long after a window's end it is committed.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_duty",
        "_api",
        "_store",
        "_collector",
        "_windows",
        "_time",
        "_delay_ms",
        "_metrics",
        "_loaded_fencing",
        "_version_by_window",
        "_backoff",
        "_next_send_ms",
        "_accepted_ms",
    )

    def __init__(
        self, *, clock, duty, api, store, collector, windows, time, delay_ms, metrics
    ):
        self._clock = clock
        self._duty = duty
        self._api = api
        self._store = store
        self._collector = collector
        self._windows = windows
        self._time = time
        self._delay_ms = delay_ms
        self._metrics = metrics
        # The holding for which the table was read.
        self._loaded_fencing = None
        self._version_by_window = {}
        self._backoff = Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        self._next_send_ms = 0
        self._accepted_ms = None
        metrics.usage_report_age_s.set_function(self._report_age_s)

    async def run(self):
        """Commit and report windows while this host holds the duty."""
        while True:
            await self._clock.sleep_ms(POLL_MS)
            await self.step()

    async def step(self):
        """Commit the next closed window, and send the next report."""
        self._collector.update()
        if not self._duty.is_held():
            self._loaded_fencing = None
            return
        try:
            if self._loaded_fencing != self._duty.fencing():
                await self._load()
            await self._commit_next()
        except ServiceError as e:
            log.info("No usage window is committed: %s", e)
        await self._send_next()

    async def _load(self):
        fencing = self._duty.fencing()
        rows = {}
        self._version_by_window.clear()
        for row in await self._store.scan(TABLE, ""):
            window = int(row.key)
            try:
                rows[window] = _row_decoder.decode(row.value)
            except msgspec.MsgspecError as e:
                log.error("Usage window %d isn't repeated: %s", window, e)
                rows[window] = CommittedCounts({}, 0)
            self._version_by_window[window] = row.version
        began_ms = self._time.at(self._duty.acquired_ms())
        self._windows.load(rows, began_ms, self._true_ms())
        self._loaded_fencing = fencing

    async def _commit_next(self):
        if self._loaded_fencing is None or not self._collector.is_complete():
            return
        now_ms = self._true_ms()
        known_from_ms = max(self._collector.known_from_ms(), now_ms - GIVE_UP_MS)
        self._record_missed(self._windows.skip_unknown(known_from_ms))
        window = self._windows.next_closed(now_ms, self._delay_ms())
        if window is not None and self._duty.is_held():
            await self._commit(window, now_ms)

    async def _commit(self, window, now_ms):
        row = CommittedCounts(self._collector.counts(window), now_ms)
        removed = self._windows.removable(now_ms)
        checks = [Check(TABLE, _key(window), 0)]
        previous = self._windows.previous()
        if previous is not None:
            # A holder that was frozen for so long that the window's own row is removed
            # again must not write it anew.
            version = self._version_by_window[previous]
            checks.append(Check(TABLE, _key(previous), version))
        writes = [Write(TABLE, _key(window), msgspec.json.encode(row))]
        writes += [Write(TABLE, _key(old), None) for old in removed]
        self._windows.attempt(window)
        try:
            answer = await self._store.transact(checks, writes)
        except ServiceError as e:
            if e.kind is ErrorKind.OUTCOME_UNKNOWN:
                self._loaded_fencing = None
            raise
        if not isinstance(answer, Committed):
            log.warning("Usage window %d is committed by another host.", window)
            self._loaded_fencing = None
            return
        version = answer.version_by_key[f"{TABLE}/{_key(window)}"]
        self._version_by_window[window] = version
        self._windows.commit(window, row, removed)
        self._collector.drop_committed()

    async def _send_next(self):
        now_ms = self._true_ms()
        self._record_missed(self._windows.give_up(now_ms))
        report = self._windows.next_report()
        is_due = self._clock.now_ms() >= self._next_send_ms
        if report is None or not is_due or not self._duty.may_act():
            return
        outcome = await self._api.report_usage(
            report.window, report.counts, self._duty.fencing()
        )
        match outcome:
            case Accepted():
                self._record_accepted(report)
            case Refused(status) if status < SERVER_ERROR and status != STATUS_TOO_MANY:
                log.error(
                    "The report of usage window %d was refused: %d",
                    report.window,
                    status,
                )
                self._windows.close(report)
                self._record_missed(1)
            case _:
                self._next_send_ms = self._clock.now_ms() + self._backoff.next_ms()
                log.info(
                    "The report of usage window %d is sent again: %s",
                    report.window,
                    outcome,
                )

    def _record_accepted(self, report):
        self._backoff.reset()
        self._accepted_ms = self._clock.now_ms()
        is_late = self._windows.is_late(report.window, self._true_ms())
        outcome = "late" if is_late else "in_time"
        if report.is_repeated:
            outcome = "repeated"
        self._windows.close(report)
        self._metrics.usage_windows.labels(outcome).inc()

    def _record_missed(self, count):
        if count:
            log.warning("%d usage windows are not reported.", count)
            self._metrics.usage_windows.labels("missed").inc(count)

    def _report_age_s(self):
        if self._accepted_ms is None:
            return -1
        return (self._clock.now_ms() - self._accepted_ms) / MS_PER_SECOND

    def _true_ms(self):
        return self._time.at(self._clock.now_ms())


def _key(window):
    return str(window).zfill(KEY_DIGITS)
