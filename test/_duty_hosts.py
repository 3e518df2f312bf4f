"""Processes of hosts that claim an exclusive duty, over an in-memory store."""

import asyncio

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.process.duties import Duties
from goldcrestmoor.process.exclusive_duty import ExclusiveDuty
from goldcrestmoor.process.lease_rows import TABLE
from goldcrestmoor.process.leases import LeaseClient
from goldcrestmoor.process.metrics import Metrics
from test._fleet import HostClock

DUTY = "platform-api"
TURN_MS = 3000


class DutyHost:
    """One process of a host; a test calls :meth:`feed` at each step.

    :param clock: the ``ManualClock`` of all hosts.
    :param table: the ``FakeTable``.
    :param name: the host's id.
    """

    def __init__(self, clock, table, name):
        self.name = name
        self.clock = HostClock(clock)
        self.metrics = Metrics()
        self.client = table.client(self.clock)
        self._table = table
        self._was_down = False
        self._leases = LeaseClient(clock=self.clock, table=self.client, host_id=name)
        self._duties = Duties(
            leases=self._leases,
            is_feed_current=self._reaches_table,
            metrics=self.metrics,
        )
        self.duty = ExclusiveDuty(
            clock=self.clock, duties=self._duties, name=DUTY, turn_ms=TURN_MS, cores=2
        )
        self.tasks = [asyncio.create_task(self.duty.run())]

    def _reaches_table(self):
        return not self._table.is_down and not self.client.is_cut_off

    def feed(self):
        """Apply the duty's row as the feed does, unless host or store is down."""
        if not self.clock.thawed.is_set() or not self._reaches_table():
            self._was_down = not self._reaches_table()
            return
        if self._was_down:
            self._duties.on_feed_recovered()
            self._was_down = False
        row = self._table.rows_by_name.get((TABLE, DUTY))
        if row is not None:
            self._duties.apply([Change(DUTY, row.version, row.value)])

    async def release(self):
        """Release the duty, as in a shutdown."""
        self.duty.leave()
        await self._duties.release_all()

    async def kill(self):
        """End the process without a word."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self._leases.close()
