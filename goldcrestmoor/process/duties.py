"""Duties that need one holder, watched through the feed of their leases."""

import logging

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.process import lease_rows

log = logging.getLogger("goldcrestmoor.duties")


class Duties:
    """Tell which duties this host holds and which are free to be claimed.

    :param leases: the :class:`~goldcrestmoor.process.leases.LeaseClient`.
    :param is_feed_current: tells whether the feed of the leases is heard now.
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
        """Take in what the leases' feed says.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        for change in changes:
            if change.value is None:
                self._row_by_name.pop(change.key, None)
                continue
            try:
                row = lease_rows.decode(change.value)
            except ServiceError as e:
                log.warning("The lease of %s is passed over: %s", change.key, e)
                continue
            self._row_by_name[change.key] = row
            self._leases.observe(change.key, change.version)

    def on_feed_recovered(self):
        """Note that the store is back: others' holders get their whole time again."""
        self._leases.restart_observations()

    def holds(self, name):
        """Tell whether this host holds a duty now. Ask again before each use.

        :param name: the duty.
        """
        lease = self._held_by_name.get(name)
        return lease is not None and lease.holds()

    def is_claimable(self, name):
        """Tell whether a duty may be claimed, as far as the feed has told.

        While the feed is silent a holder may renew unseen, or be as cut off from the
        store as this host is, so that its silence says nothing.

        :param name: the duty.
        """
        if not self._is_feed_current():
            return False
        row = self._row_by_name.get(name)
        return row is None or self._leases.can_acquire(name, row)

    def was_last_held_here(self, name):
        """Tell whether a process of this host was the last to take a duty.

        :param name: the duty.
        """
        row = self._row_by_name.get(name)
        return row is not None and self._leases.is_own(row)

    async def claim(self, name, duration_ms):
        """Try once to take a duty; tell whether this host holds it.

        :param name: the duty.
        :param duration_ms: how long the lease lasts without renewal.
        :raises ServiceError: when the store cannot be asked.
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
        """Give every duty up."""
        await self._leases.release_all()
