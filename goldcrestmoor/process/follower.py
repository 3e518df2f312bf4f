"""In-memory copy of a table of the platform's store, updated by its change feed."""

import logging

from goldcrestmoor.adapters.table import Change, Changes, HistoryTruncated, Row
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.follower")

# Short, so that an unresponsive feed is detected within a second.
FEED_WAIT_MS = 500
# Ten times the usual response time of the store.
RETRY_MIN_MS = 50
# The end of an outage is detected within this time.
RETRY_MAX_MS = 400
# Two missed answers of the feed: the rows may be out of date.
OUTAGE_MS = 1000


class TableFollower:
    """The rows of one table, as last read by this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client.
    :param table: the table's name.
    :param on_changes: called with a list of :class:`Change` after they are applied.
    :param on_recovered: called when the feed answers again after an outage, before
        the changes made during the outage are applied.
    :param pause_ms: the minimum time between two requests, so that many small
        changes arrive in one response.
    :param outage_ms: how long the feed may be unresponsive before the rows count
        as out of date.
    :ivar row_by_key: the rows.
    """

    __slots__ = (
        "row_by_key",
        "_clock",
        "_store",
        "_table",
        "_on_changes",
        "_on_recovered",
        "_pause_ms",
        "_outage_ms",
        "_version",
        "_answered_ms",
        "_complete_ms",
        "_is_outage",
        "_has_failed",
    )

    def __init__(
        self,
        *,
        clock,
        store,
        table,
        on_changes,
        on_recovered=None,
        pause_ms=0,
        outage_ms=OUTAGE_MS,
    ):
        self.row_by_key = {}
        self._clock = clock
        self._store = store
        self._table = table
        self._on_changes = on_changes
        self._on_recovered = on_recovered or (lambda: None)
        self._pause_ms = pause_ms
        self._outage_ms = outage_ms
        self._version = None
        self._answered_ms = None
        self._complete_ms = None
        self._is_outage = False
        self._has_failed = False

    def age_ms(self):
        """Return the time since the store last answered, or None if it never has."""
        if self._answered_ms is None:
            return None
        return self._clock.now_ms() - self._answered_ms

    def rows_age_ms(self):
        """Return the time since the rows were surely complete, or None if never.

        Unlike :meth:`age_ms`, it counts the time for which an answer waited in the
        buffers of this process while that was frozen.
        """
        if self._complete_ms is None:
            return None
        return self._clock.now_ms() - self._complete_ms

    def is_current(self):
        """Return whether the store answered recently enough to rely on the rows."""
        return self._answered_ms is not None and self.age_ms() < self._outage_ms

    def learn(self, rows):
        """Apply rows that another host has read from the same table.

        The feed continues from where it was, so that it also brings whatever they
        left out.

        :param rows: the :class:`~goldcrestmoor.adapters.table.Row` objects.
        :return: how many of them were newer than those known.
        """
        # An unknown row from before the feed's position has been deleted since.
        changes = [
            Change(row.key, row.version, row.value)
            for row in rows
            if self._version is None or row.version > self._version
        ]
        return self._apply(changes)

    async def run(self):
        """Follow the table until cancelled."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            try:
                await self._poll()
                backoff.reset()
                await self._clock.sleep_ms(self._pause_ms)
            except ServiceError as e:
                self._record_failure(e)
                await self._clock.sleep_ms(backoff.next_ms())

    async def _poll(self):
        sent_ms = self._clock.now_ms()
        if self._version is None:
            rows, version = await self._store.snapshot(self._table)
            self._record_response(sent_ms)
            self._replace(rows, version)
            return
        # After a failure, a request without a wait checks that the store is reachable.
        wait_ms = 0 if self._has_failed else FEED_WAIT_MS
        answer = await self._store.changes(self._table, self._version, wait_ms)
        match answer:
            case HistoryTruncated():
                log.info(
                    "The feed of %s lost its history; reading all rows.", self._table
                )
                self._version = None
            case Changes(changes, version):
                # Without changes, the store answers at the end of the wait.
                waited_ms = 0 if changes else wait_ms
                self._record_response(sent_ms + waited_ms)
                self._version = version
                self._apply(changes)

    def _record_response(self, complete_ms):
        unresponsive_ms = self.age_ms()
        if self._is_outage or (
            unresponsive_ms is not None and unresponsive_ms > self._outage_ms
        ):
            log.info(
                "The feed of %s answers again after %d ms.",
                self._table,
                unresponsive_ms,
            )
            self._on_recovered()
        self._is_outage = False
        self._has_failed = False
        self._answered_ms = self._clock.now_ms()
        self._complete_ms = min(complete_ms, self._answered_ms)

    def _record_failure(self, error):
        self._has_failed = True
        if (
            not self._is_outage
            and not self.is_current()
            and self._answered_ms is not None
        ):
            self._is_outage = True
            log.warning("The feed of %s is unresponsive: %s", self._table, error)

    def _replace(self, rows, version):
        """Apply a full snapshot; rows that are missing from it count as deleted."""
        found = {row.key: row for row in rows}
        changes = [Change(row.key, row.version, row.value) for row in rows]
        changes += [
            Change(key, version, None) for key in self.row_by_key if key not in found
        ]
        self._version = version
        self._apply(changes)

    def _is_newer(self, key, version):
        known = self.row_by_key.get(key)
        return known is None or known.version < version

    def _apply(self, changes):
        applied = []
        for change in changes:
            key = change.key
            if not self._is_newer(key, change.version):
                continue
            if change.value is None:
                if self.row_by_key.pop(key, None) is None:
                    continue
            else:
                self.row_by_key[key] = Row(key, change.version, change.value)
            applied.append(change)
        if applied:
            self._deliver(applied)
        return len(applied)

    def _deliver(self, changes):
        """Pass changes on; one that can't be applied doesn't take others with it."""
        try:
            self._on_changes(changes)
        except Exception:
            if len(changes) > 1:
                for change in changes:
                    self._deliver([change])
                return
            log.exception(
                "Row %s of %s can't be applied and is skipped.",
                changes[0].key,
                self._table,
            )
