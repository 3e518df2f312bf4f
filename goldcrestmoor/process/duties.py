"""Duties that need one holder, tracked through the change feed of their leases."""

import logging

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.process import lease_rows

log = logging.getLogger("goldcrestmoor.duties")


class Duties:
    """Tracks which duties this host holds and which it may claim.

    :param leases: the :class:`~goldcrestmoor.process.leases.LeaseClient`.
    :param is_feed_current: returns whether the feed of the leases is current.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_leases",
        "_is_feed_current",
        "_metrics",
        "_row_by_name",
        "_held_by_name",
    )

    def __init__(self, *, leases, is_feed_current, metrics):
        self._leases = leases
        self._is_feed_current = is_feed_current
        self._metrics = metrics
        self._row_by_name = {}
        self._held_by_name = {}

    def apply(self, changes):
        """Apply changes from the leases' feed.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        for change in changes:
            if change.value is None:
                self._row_by_name.pop(change.key, None)
                continue
            try:
                row = lease_rows.decode(change.value)
            except ServiceError as e:
                log.warning("The lease row of %s is ignored: %s", change.key, e)
                continue
            self._row_by_name[change.key] = row
            self._leases.observe(change.key, change.version)

    def on_feed_recovered(self):
        """Restart the expiry of other holders after the store has recovered."""
        self._leases.restart_observations()

    def holds(self, name):
        """Return whether this host currently holds a duty. Call again before each use.

        :param name: the duty.
        """
        lease = self._held_by_name.get(name)
        return lease is not None and lease.holds()

    def lease(self, name):
        """Return this host's newest lease on a duty, or None if it never had one.

        :param name: the duty.
        """
        return self._held_by_name.get(name)

    def holding(self, name):
        """Return a duty's holder and fencing number according to the feed, or None.

        The number tells two holdings of one host apart.

        :param name: the duty.
        """
        row = self._row_by_name.get(name)
        return (row.holder, row.fencing) if row is not None and row.holder else None

    def is_claimable(self, name):
        """Return whether a duty may be claimed, according to the feed.

        While the feed is unresponsive, a holder may renew its lease unnoticed, or be
        partitioned from the store as this host is, so a missing renewal proves
        nothing.

        :param name: the duty.
        """
        if not self._is_feed_current():
            return False
        row = self._row_by_name.get(name)
        return row is None or self._leases.can_acquire(name, row)

    def was_last_held_here(self, name):
        """Return whether a process of this host was the last to claim a duty.

        :param name: the duty.
        """
        row = self._row_by_name.get(name)
        return row is not None and self._leases.is_own(row)

    async def claim(self, name, duration_ms):
        """Try once to claim a duty; return whether this host holds it.

        :param name: the duty.
        :param duration_ms: how long the lease lasts without renewal.
        :raises ServiceError: when the store cannot be reached.
        """
        if not self.holds(name) and not self.is_claimable(name):
            return False
        lease = await self._leases.acquire(name, duration_ms)
        if lease is None:
            return False
        self._held_by_name[name] = lease
        self._metrics.duty_held.labels(name).set_function(lambda: int(self.holds(name)))
        return True

    async def release_all(self):
        """Release every duty."""
        await self._leases.release_all()
