"""Hosts that are gone, and others that only look so.

Rows of hosts that were replaced stayed in the table for ever, and were chosen like
those of live ones: 16 of 24 streams had all their records at such hosts, and could not
be taken up (review/12). Hosts that are cut off, frozen, slow or without the store keep
their rows.
"""

import asyncio
import heapq
import unittest
from types import SimpleNamespace

import msgspec

from goldcrestmoor.adapters.table import Change, Write
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import host_rows, host_watch
from goldcrestmoor.process.host_removal import (
    MAX_WATCHED,
    RANK_MS,
    REMOVE_MS,
    REMOVE_UNMARKED_MS,
    SUSPECT_MS,
    WATCHED_LIVE,
    Keep,
    Remove,
    Suspect,
    next_step,
    watched_hosts,
)
from goldcrestmoor.process.host_rows import HostRow, HostRows
from goldcrestmoor.process.host_watch import HostWatch
from test import _common
from test._fleet import HostClock, ManualClock, settle
from test._front import FrontFleet
from test.test_host_rows import LandedRow, LateStore

HOSTS = 11
GONE_MS = SUSPECT_MS + REMOVE_MS + RANK_MS + 4 * host_watch.ROUND_MS
MINUTE_MS = 60 * MS_PER_SECOND


class EventClock(ManualClock):
    """A clock that jumps from one wake-up to the next."""

    __slots__ = ()

    async def jump(self, end_ms):
        """Wake the next sleepers that are due by a time; return whether there are."""
        await settle()
        if not self._sleepers or self._sleepers[0][0] > end_ms:
            self._now_ms = end_ms
            return False
        self._now_ms = max(self._now_ms, self._sleepers[0][0])
        while self._sleepers and self._sleepers[0][0] <= self._now_ms:
            future = heapq.heappop(self._sleepers)[2]
            if not future.done():
                future.set_result(None)
        await settle()
        return True


class Member:
    """One host: its rows and its watch, on a clock that can be frozen."""

    def __init__(self, fleet, name, address, is_landed=False):
        self.fleet = fleet
        self.name = name
        self.address = address
        self.clock = HostClock(fleet.clock)
        self.store = SimpleNamespace(
            get=self.get, transact=self.transact, now_ms=fleet.clock.now_ms
        )
        self.rows = HostRows(
            clock=self.clock,
            store=self.store,
            host_id=name,
            row=HostRow(f"zone-{len(name) % 3}", address, 1),
        )
        self.watch = HostWatch(
            clock=self.clock,
            http=SimpleNamespace(request=self.request),
            store=self.store,
            hosts=self.rows,
            reaches_store=lambda: self.name not in fleet.without_store,
            on_removed=self.on_removed,
        )
        self.tasks = []
        if is_landed:
            row = msgspec.json.encode(LandedRow("zone-0", address, 1))
            fleet.store.apply([], [Write(host_rows.TABLE, name, row)])
            return
        self.rows.apply(
            [
                Change(row.key, row.version, row.value)
                for (table, _), row in fleet.store.row_by_place.items()
                if table == host_rows.TABLE
            ]
        )
        self.seen = fleet.store.version
        self.tasks = [
            asyncio.create_task(run()) for run in (self.rows.run, self.watch.run)
        ]

    async def get(self, table, key):
        self.check_store()
        return await self.fleet.store.get(table, key)

    async def transact(self, checks, writes):
        self.check_store()
        self.fleet.writers.append(self.name)
        return await self.fleet.store.transact(checks, writes)

    def check_store(self):
        if self.name in self.fleet.without_store:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, "cut off")

    async def request(self, address, port, method, path, **options):
        fleet = self.fleet
        fleet.calls += 1
        callee = fleet.member_by_address.get(address)
        if callee is None or fleet.cut & {self.name, callee.name}:
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, "no connection")
        if callee.name in fleet.frozen:
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, "no response")
        return SimpleNamespace(status=200, body=callee.name.encode())

    async def on_removed(self, host):
        self.fleet.removed.append(host)

    def read_feed(self):
        """Apply the changes since the last reading, unless this host can't."""
        fleet = self.fleet
        if self.tasks and not {self.name} & (fleet.without_store | fleet.frozen):
            new = [change for change in fleet.history if change.version > self.seen]
            self.seen = fleet.store.version
            if new:
                self.rows.apply(new)


class Fleet:
    """Hosts with rows in one store; some are cut off, frozen, or without the store."""

    def __init__(self, test):
        self.clock = EventClock()
        self.store = LateStore(self.clock)
        self.history = []
        self.store.listeners.append((host_rows.TABLE, self.history.extend))
        self.member_by_name = {}
        self.member_by_address = {}
        self.cut, self.frozen, self.without_store = set(), set(), set()
        self.removed, self.writers = [], []
        self.calls = 0
        test.addCleanup(self.close)

    async def start(self, name, address=None, is_landed=False):
        member = Member(self, name, address or f"address of {name}", is_landed)
        self.member_by_name[name] = self.member_by_address[member.address] = member
        await self.pass_ms(0)
        return member

    def kill(self, name):
        member = self.member_by_name.pop(name)
        for task in member.tasks:
            task.cancel()
        if self.member_by_address.get(member.address) is member:
            del self.member_by_address[member.address]

    def set_frozen(self, *names):
        self.frozen = set(names)
        for name, member in self.member_by_name.items():
            (member.clock.thawed.clear if name in names else member.clock.thawed.set)()

    async def pass_ms(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        has_woken = True
        while has_woken:
            has_woken = await self.clock.jump(end_ms)
            for member in list(self.member_by_name.values()):
                member.read_feed()
        await settle()

    def registered(self):
        return {
            key for table, key in self.store.row_by_place if table == host_rows.TABLE
        }

    def close(self):
        for name in list(self.member_by_name):
            self.kill(name)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(self)

    async def start_all(self, count=HOSTS, prefix="host", is_landed=False):
        names = [f"{prefix}-{n}" for n in range(count)]
        for name in names:
            await self.fleet.start(name, is_landed=is_landed)
        await self.fleet.pass_ms(2000)
        self.fleet.writers.clear()
        return names

    async def test_the_row_of_a_host_that_is_gone_is_removed_by_one_host(self):
        names = await self.start_all()
        self.fleet.kill(names[3])
        await self.fleet.pass_ms(SUSPECT_MS + REMOVE_MS)
        self.assertIn(names[3], self.fleet.registered())
        await self.fleet.pass_ms(GONE_MS - SUSPECT_MS - REMOVE_MS)
        self.assertEqual(self.fleet.registered(), {*names} - {names[3]})
        # One marks it and removes it.
        self.assertEqual(len(self.fleet.writers), 2)
        self.assertEqual(len(set(self.fleet.writers)), 1)
        self.assertEqual(self.fleet.removed, [names[3]])

    async def test_all_hosts_agree_not_to_choose_a_silent_one(self):
        names = await self.start_all()
        self.fleet.kill(names[3])
        await self.fleet.pass_ms(SUSPECT_MS + 2 * host_watch.ROUND_MS)
        for member in self.fleet.member_by_name.values():
            row = member.rows.row_by_host()[names[3]]
            self.assertGreater(row.suspected_ms, 0)

    async def test_hosts_are_replaced_one_after_the_other(self):
        await self.start_all(2)
        for n in range(2, 8):
            await self.fleet.start(f"host-{n}")
            self.fleet.kill(f"host-{n - 1}")
        await self.fleet.pass_ms(GONE_MS)
        self.assertEqual(self.fleet.registered(), {"host-0", "host-7"})

    async def test_a_host_that_is_cut_off_from_the_others_keeps_its_row(self):
        names = await self.start_all()
        self.fleet.cut.add(names[3])
        for _ in range(20):
            await self.fleet.pass_ms(MINUTE_MS)
            self.assertEqual(self.fleet.registered(), {*names})
        self.assertEqual(self.fleet.removed, [])

    async def test_a_zone_that_is_cut_off_keeps_its_rows(self):
        names = await self.start_all()
        self.fleet.cut.update(names[:5])
        await self.fleet.pass_ms(10 * MINUTE_MS)
        self.assertEqual(self.fleet.registered(), {*names})

    async def test_a_host_without_the_store_keeps_its_row(self):
        names = await self.start_all()
        self.fleet.without_store.add(names[3])
        await self.fleet.pass_ms(20 * MINUTE_MS)
        self.assertEqual(self.fleet.registered(), {*names})
        self.assertEqual(self.fleet.writers, [])

    async def test_no_row_is_removed_while_the_store_is_away_for_all(self):
        names = await self.start_all()
        self.fleet.without_store.update(names)
        self.fleet.cut.add(names[3])
        await self.fleet.pass_ms(20 * MINUTE_MS)
        self.fleet.without_store.clear()
        self.fleet.cut.clear()
        await self.fleet.pass_ms(GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names})

    async def test_a_frozen_host_keeps_its_row_and_removes_none(self):
        names = await self.start_all()
        self.fleet.set_frozen(names[3])
        await self.fleet.pass_ms(REMOVE_MS)
        self.fleet.set_frozen()
        await self.fleet.pass_ms(GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names})
        self.assertEqual(self.fleet.removed, [])

    async def test_a_host_that_was_away_for_long_is_whole_again(self):
        names = await self.start_all()
        self.fleet.cut.add(names[3])
        self.fleet.without_store.add(names[3])
        await self.fleet.pass_ms(GONE_MS)
        self.assertNotIn(names[3], self.fleet.registered())
        self.fleet.cut.clear()
        self.fleet.without_store.clear()
        await self.fleet.pass_ms(2 * host_rows.RETRY_MAX_MS)
        self.assertEqual(self.fleet.registered(), {*names})
        await self.fleet.pass_ms(GONE_MS)
        for member in self.fleet.member_by_name.values():
            self.assertEqual(set(member.rows.row_by_host()), {*names})

    async def test_the_release_before_beside_it(self):
        """It neither writes its row again nor contradicts a mark."""
        names = await self.start_all()
        landed = await self.start_all(3, "landed", is_landed=True)
        await self.fleet.pass_ms(30 * MINUTE_MS)
        self.assertEqual(self.fleet.registered(), {*names, *landed})
        self.fleet.cut.add(landed[0])
        await self.fleet.pass_ms(REMOVE_UNMARKED_MS - host_watch.ROUND_MS)
        self.fleet.cut.clear()
        await self.fleet.pass_ms(MINUTE_MS)
        self.fleet.kill(landed[1])
        self.assertEqual(self.fleet.registered(), {*names, *landed})
        await self.fleet.pass_ms(REMOVE_UNMARKED_MS + GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names, *landed} - {landed[1]})

    async def test_all_hosts_start_with_the_rows_of_an_earlier_fleet(self):
        earlier = await self.start_all(40, "earlier")
        for name in earlier:
            self.fleet.kill(name)
        names = await self.start_all()
        await self.fleet.pass_ms(4 * GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names})
        # Two writes a row, however many hosts there are.
        self.assertLessEqual(len(self.fleet.writers), 2 * len(earlier) + HOSTS)

    async def test_half_of_all_hosts_are_lost_at_once(self):
        names = await self.start_all(40)
        for name in names[::2]:
            self.fleet.kill(name)
        await self.fleet.pass_ms(2 * GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names[1::2]})

    async def test_another_host_has_the_address_of_one_that_is_gone(self):
        names = await self.start_all()
        address = self.fleet.member_by_name[names[3]].address
        self.fleet.kill(names[3])
        await self.fleet.start("new", address)
        await self.fleet.pass_ms(GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names, "new"} - {names[3]})

    async def test_a_host_starts_again_while_its_removal_is_late(self):
        names = await self.start_all()
        self.fleet.kill(names[3])
        await self.fleet.pass_ms(SUSPECT_MS + REMOVE_MS)
        self.fleet.store.lost = 1
        while not self.fleet.store.late:
            await self.fleet.pass_ms(1000)
        await self.fleet.start(names[3])
        await self.fleet.pass_ms(1000)
        self.assertEqual(self.fleet.store.do_late(), 0)
        await self.fleet.pass_ms(GONE_MS)
        self.assertEqual(self.fleet.registered(), {*names})


class CostTest(unittest.IsolatedAsyncioTestCase):
    """What a host's watch costs doesn't grow with the fleet."""

    async def test_an_idle_fleet_writes_nothing_and_calls_two_hosts_a_round(self):
        for count in (11, 77):
            fleet = Fleet(self)
            for n in range(count):
                await fleet.start(f"host-{n}")
            await fleet.pass_ms(2000)
            fleet.writers.clear()
            fleet.history.clear()
            fleet.calls = 0
            await fleet.pass_ms(5 * MINUTE_MS)
            rounds = 5 * MINUTE_MS / host_watch.ROUND_MS / (1 - host_watch.JITTER)
            self.assertEqual((fleet.writers, fleet.history), ([], []))
            self.assertLessEqual(fleet.calls, WATCHED_LIVE * rounds * count)
            fleet.close()


class DecisionTest(unittest.TestCase):
    ROW = HostRow("z", "a", 1, started_ms=1)
    MARKED = msgspec.structs.replace(ROW, suspected_ms=1000)

    def test_a_silent_host_is_marked_and_removed_later(self):
        for row, silent_ms, rank, store_ms, expected in (
            (self.ROW, SUSPECT_MS - 1, 0, 0, Keep()),
            (self.ROW, SUSPECT_MS, 0, 0, Suspect()),
            (self.ROW, SUSPECT_MS, 1, 0, Keep()),
            (self.ROW, REMOVE_UNMARKED_MS, 0, 0, Suspect()),
            (self.MARKED, REMOVE_MS, 0, 1000 + REMOVE_MS - 1, Keep()),
            (self.MARKED, REMOVE_MS, 0, 1000 + REMOVE_MS, Remove()),
            (self.MARKED, REMOVE_MS - 1, 0, 1000 + 2 * REMOVE_MS, Keep()),
            (self.MARKED, REMOVE_MS, 1, 1000 + REMOVE_MS, Keep()),
        ):
            with self.subTest(silent_ms=silent_ms, rank=rank, store_ms=store_ms):
                self.assertEqual(next_step(row, silent_ms, rank, store_ms), expected)

    def test_a_row_without_a_start_is_not_marked(self):
        row = HostRow("z", "a", 1)
        self.assertEqual(next_step(row, REMOVE_UNMARKED_MS - 1, 0, 0), Keep())
        self.assertEqual(next_step(row, REMOVE_UNMARKED_MS, 0, 0), Remove())

    def test_each_host_is_watched_by_two_live_ones(self):
        hosts = [f"host-{n}" for n in range(40)]
        silent = set(hosts[::3])
        ranks_by_host = {host: [] for host in hosts}
        for watching in set(hosts) - silent:
            watched = list(watched_hosts(hosts, watching, silent))
            self.assertLessEqual(len(watched), MAX_WATCHED)
            for host, rank in watched:
                ranks_by_host[host].append(rank)
        for ranks in ranks_by_host.values():
            self.assertEqual(sorted(ranks), [0, 1])

    def test_a_host_alone_watches_none(self):
        self.assertEqual(list(watched_hosts([], "host-a", ())), [])
        self.assertEqual(list(watched_hosts(["host-a"], "host-a", ())), [])


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_daemon_names_itself_to_those_that_watch_it(self):
        fleet = await FrontFleet().start(("front-a",))
        self.addAsyncCleanup(fleet.close)

        async def names_itself():
            port = fleet.ports["front-a"][1]
            answer = await fleet.http.request("127.0.0.1", port, "GET", "/store")
            return (answer.status, answer.body) == (200, b"front-a")

        await _common.eventually(names_itself)


if __name__ == "__main__":
    unittest.main()
