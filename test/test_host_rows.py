"""Rows of hosts that are removed, missing or written late.

A write that gets no response may be done seconds later, after the next start of its
host. Two hosts' removals of their own rows were done so; no one wrote the rows again,
and each host took itself for the only one (review/14).
"""

import asyncio
import unittest

import msgspec

from goldcrestmoor.adapters.table import Change, CheckFailed, Committed, Row
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import host_rows
from goldcrestmoor.process.host_rows import HostRow, HostRows, needs_write
from test import _common
from test._fleet import ManualClock, settle
from test._front import FrontFleet

ROW = HostRow("zone-a", "10.1.0.1", 1)
ELSEWHERE = HostRow("zone-a", "10.1.0.9", 1)
RETRY_MS = 2 * host_rows.RETRY_MAX_MS


class LandedRow(msgspec.Struct, frozen=True):
    """The row as the release before reads it."""

    zone: str
    address: str
    port: int


class LateStore:
    """Rows with one version counter; some transactions get no response.

    :ivar lost: how many of the next transactions get no response.
    :ivar late: those, which may be done later.
    """

    def __init__(self, clock):
        self._clock = clock
        self.row_by_place = {}
        self.version = 0
        self.lost = 0
        self.late = []
        self.listeners = []
        self.writes = 0

    def now_ms(self):
        return self._clock.now_ms()

    async def get(self, table, key):
        return self.row_by_place.get((table, key))

    async def transact(self, checks, writes):
        await asyncio.sleep(0)
        if self.lost:
            self.lost -= 1
            self.late.append((checks, writes))
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN, "no response")
        return self.apply(checks, writes)

    def do_late(self):
        """Do the transactions that got no response; return how many had an effect."""
        late, self.late = self.late, []
        return sum(isinstance(self.apply(*each), Committed) for each in late)

    def apply(self, checks, writes):
        for check in checks:
            row = self.row_by_place.get((check.table, check.key))
            if (row.version if row else 0) != check.version:
                return CheckFailed(row, check.table, check.key)
        self.version += 1
        self.writes += 1
        for write in writes:
            place = write.table, write.key
            if write.value is None:
                self.row_by_place.pop(place, None)
            else:
                self.row_by_place[place] = Row(write.key, self.version, write.value)
            for table, listener in self.listeners:
                if table == write.table:
                    listener([Change(write.key, self.version, write.value)])
        keys = (f"{write.table}/{write.key}" for write in writes)
        return Committed(dict.fromkeys(keys, self.version))

    def row(self, host):
        """Return a host's row, or None."""
        row = self.row_by_place.get((host_rows.TABLE, host))
        return row and msgspec.json.decode(row.value, type=HostRow)


class KeptRowTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.store = LateStore(self.clock)

    async def start(self, row=ROW, host="host-a"):
        """Start a process; return its rows and the task that keeps its own."""
        rows = HostRows(clock=self.clock, store=self.store, host_id=host, row=row)
        self.store.listeners.append((host_rows.TABLE, rows.apply))
        running = asyncio.create_task(rows.run())
        self.addCleanup(running.cancel)
        await self.clock.advance(RETRY_MS)
        return rows, running

    def kill(self, rows, running):
        running.cancel()
        self.store.listeners.remove((host_rows.TABLE, rows.apply))

    async def check_kept(self, row=ROW):
        await self.clock.advance(RETRY_MS)
        stored = self.store.row("host-a")
        self.assertEqual(msgspec.structs.replace(stored, started_ms=0), row)

    async def test_a_removal_that_is_done_after_the_next_start(self):
        """The row stayed away for good (review/14)."""
        rows, running = await self.start()
        self.store.lost = 1
        with self.assertRaises(ServiceError):
            await rows.leave()
        self.kill(rows, running)
        await self.start()
        self.assertEqual(self.store.do_late(), 0)
        await self.check_kept()

    async def test_a_removal_by_the_release_before(self):
        """It has no condition, so that the row is written again."""
        await self.start()
        self.store.apply([], [host_rows.Write(host_rows.TABLE, "host-a", None)])
        self.assertIsNone(self.store.row("host-a"))
        await self.check_kept()

    async def test_a_first_write_that_is_done_after_the_stop(self):
        self.store.lost = 1
        rows, running = await self.start()
        await rows.leave()
        self.assertIsNone(self.store.row("host-a"))
        self.assertEqual(self.store.do_late(), 0)
        self.kill(rows, running)
        self.assertIsNone(self.store.row("host-a"))

    async def test_a_write_that_is_done_after_the_next_start_elsewhere(self):
        self.store.lost = 1
        self.kill(*await self.start())
        await self.start(ELSEWHERE)
        self.assertEqual(self.store.do_late(), 0)
        await self.check_kept(ELSEWHERE)

    async def test_a_host_that_is_stopped_does_not_write_its_row_again(self):
        rows, _ = await self.start()
        await rows.leave()
        await self.clock.advance(RETRY_MS)
        self.assertIsNone(self.store.row("host-a"))

    async def test_a_host_comes_back_at_another_address(self):
        self.kill(*await self.start())
        await self.start(ELSEWHERE)
        await self.check_kept(ELSEWHERE)

    async def test_a_name_at_two_addresses_for_a_moment(self):
        """The process that started later has the row, and neither writes in turns."""
        earlier, _ = await self.start()
        await self.start(ELSEWHERE)
        writes = self.store.writes
        await self.clock.advance(10 * RETRY_MS)
        self.assertEqual(self.store.writes, writes)
        await earlier.leave()
        await self.check_kept(ELSEWHERE)

    async def test_a_host_that_is_taken_for_gone_says_that_it_is_not(self):
        rows, _ = await self.start()
        stored = rows.stored_by_host["host-a"]
        suspected = msgspec.structs.replace(stored.row, suspected_ms=5)
        await rows.replace("host-a", stored.version, suspected)
        await self.check_kept()
        self.assertGreater(rows.stored_by_host["host-a"].version, stored.version + 1)

    async def test_an_odd_row_is_replaced_and_hides_no_others(self):
        rows, _ = await self.start()
        await self.start(host="host-b")
        with self.assertLogs("goldcrestmoor.hosts", "WARNING"):
            odd = host_rows.Write(host_rows.TABLE, "host-a", b"[" * 10_000)
            self.store.apply([], [odd])
            await self.check_kept()
        self.assertEqual(set(rows.row_by_host()), {"host-a", "host-b"})

    async def test_both_releases_read_the_row(self):
        await self.start()
        value = self.store.row_by_place[host_rows.TABLE, "host-a"].value
        read = msgspec.json.decode(value, type=LandedRow)
        self.assertEqual(read, LandedRow("zone-a", "10.1.0.1", 1))
        landed = host_rows.Write(
            host_rows.TABLE,
            "host-b",
            msgspec.json.encode(LandedRow("z", "10.1.0.2", 2)),
        )
        rows, _ = await self.start()
        self.store.apply([], [landed])
        self.assertEqual(rows.row_by_host()["host-b"], HostRow("z", "10.1.0.2", 2))

    async def test_the_store_is_away_at_the_start(self):
        self.store.lost = 3
        await self.start()
        await self.check_kept()
        await settle()
        self.assertEqual(self.store.do_late(), 0)


class DecisionTest(unittest.TestCase):
    OWN = msgspec.structs.replace(ROW, started_ms=5)

    def test_which_rows_are_written(self):
        for stored, expected in (
            (None, True),
            (self.OWN, False),
            # Written by the release before, or late by an earlier process.
            (ROW, True),
            (msgspec.structs.replace(ELSEWHERE, started_ms=4), True),
            (msgspec.structs.replace(ELSEWHERE, started_ms=6), False),
            (msgspec.structs.replace(self.OWN, suspected_ms=9), True),
        ):
            with self.subTest(stored):
                self.assertEqual(needs_write(self.OWN, stored), expected)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_daemon_writes_its_missing_row_again(self):
        fleet = await FrontFleet().start()
        self.addAsyncCleanup(fleet.close)
        for name in fleet.fronts:
            await _common.eventually(lambda n=name: fleet.store.value("hosts", n))
            fleet.store.remove("hosts", name)
        for name in fleet.fronts:
            await _common.eventually(lambda n=name: fleet.store.value("hosts", n), 5)


if __name__ == "__main__":
    unittest.main()
