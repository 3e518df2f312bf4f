"""Hosts detect which others are alive, under freezes, partitions and churn."""

import asyncio
import contextlib
import random
import statistics
import unittest
from types import SimpleNamespace

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.peers import PeerLinks
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.member_table import FORGET_MS
from goldcrestmoor.process.membership import Membership
from goldcrestmoor.process.membership_messages import HostState
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.ownership import Ownership
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.configuration.document import Upstream
from test import _common
from test._fleet import FakeLinks, HostClock, ManualClock, Network

GENEROUS_MS = 60_000
LEAVING_BOUND_MS = 5000
CONTROL_BYTES_PER_S = 7000


class FakeHostList:
    """A host list that tests fill, and that can be unreachable."""

    def __init__(self):
        self.entries = []
        self.cut_off = set()

    def client(self, host_id):
        return SimpleNamespace(fetch=lambda: self.fetch(host_id))

    async def fetch(self, host_id):
        if host_id in self.cut_off:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)
        return self.entries

    def add(self, kind, name, state, zone="zone-a"):
        self.entries.append(
            SimpleNamespace(
                id=name,
                kind=kind,
                zone=zone,
                address="127.0.0.1",
                http_port=1,
                peer_port=1,
                state=state,
            )
        )


def seeds_of(*hosts):
    return [
        {
            "id": host.id,
            "zone": host.zone,
            "address": host.address,
            "peer_port": host.peer_port,
        }
        for host in hosts
    ]


class MembershipTestCase(unittest.IsolatedAsyncioTestCase):
    """Start hosts in memory whose clock and network the test controls."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.network = Network(self.clock)
        self.host_list = FakeHostList()
        self.clocks_by_id = {}
        self.members_by_id = {}
        self.tasks = TaskGroup()
        self.tasks_by_id = {}
        self.addAsyncCleanup(self.tasks.close)
        self.seeds = []
        self.settings = _common.make_settings()

    def add_host(self, host_id, zone="zone-a"):
        settings = _common.make_settings(host_id, zone, peers=self.seeds)
        clock = self.clocks_by_id[host_id] = HostClock(self.clock)
        member = Membership(
            clock=clock,
            settings=settings,
            links=FakeLinks(self.network, host_id, clock),
            host_list=self.host_list.client(host_id),
            metrics=Metrics(),
            rng=random.Random(host_id),
        )
        self.members_by_id[host_id] = member
        self.tasks_by_id[host_id] = self.tasks.start(member.run(), host_id)
        if not self.seeds:
            self.seeds = seeds_of(settings.host)
        return member

    def kill(self, host_id):
        self.tasks_by_id.pop(host_id).cancel()
        del self.network.links_by_id[host_id]
        del self.members_by_id[host_id]

    async def start_fleet(self, count, zones=("zone-a",)):
        for i in range(count):
            self.add_host(f"host-{i}", zones[i % len(zones)])
        await self.wait_until(lambda: self.all_see(self.members_by_id))

    async def wait_until(self, predicate):
        self.assertTrue(await self.clock.advance(GENEROUS_MS, predicate))

    def seen_by(self, host_id):
        return {record.id for record in self.members_by_id[host_id].live()}

    def all_see(self, expected, members=None):
        expected = set(expected)
        members = self.members_by_id if members is None else members
        return all(self.seen_by(host_id) == expected for host_id in members)


class MembershipTest(MembershipTestCase):
    async def test_hosts_find_one_another_and_notice_a_death(self):
        await self.start_fleet(6, ("zone-a", "zone-b"))
        self.kill("host-5")
        await self.wait_until(lambda: self.all_see(self.members_by_id))
        self.assertEqual(len(self.members_by_id["host-0"].live("zone-b")), 2)

    async def test_a_listed_host_is_only_a_candidate(self):
        self.host_list.add("host", "host-0", "live")
        self.host_list.add("host", "host-gone", "live")
        self.add_host("host-0")
        self.seeds = []
        self.add_host("host-1")
        await self.wait_until(lambda: self.all_see(["host-0", "host-1"]))
        await self.clock.advance(GENEROUS_MS)
        self.assertTrue(self.all_see(["host-0", "host-1"]))

    async def test_a_leaving_host_is_given_no_work_but_is_not_dead(self):
        await self.start_fleet(4)
        await self.members_by_id["host-1"].leave()
        others = ["host-0", "host-2", "host-3"]
        await self.wait_until(lambda: self.all_see(others))
        await self.clock.advance(GENEROUS_MS)
        for host_id in others:
            record = self.members_by_id[host_id].find("host-1")
            self.assertEqual(record.state, HostState.LEAVING)

    async def test_a_host_that_freezes_repeatedly_seldom_changes_state(self):
        await self.start_fleet(5)
        changes = []
        watcher = self.members_by_id["host-0"]
        live_history = ["host-3" in self.seen_by("host-0")]

        def watch():
            is_live = "host-3" in self.seen_by("host-0")
            if is_live != live_history[-1]:
                live_history.append(is_live)
                changes.append(self.clock.now_ms())

        watcher.on_change(watch)
        thawed = self.clocks_by_id["host-3"].thawed
        for _ in range(20):
            thawed.clear()
            await self.clock.advance(6000)
            thawed.set()
            await self.clock.advance(3000)
        self.assertLessEqual(len(changes), 8)
        await self.clock.advance(2 * GENEROUS_MS, lambda: self.all_see(all_hosts))
        self.assertTrue(self.all_see(all_hosts))

    async def test_a_paused_host_suspects_nobody(self):
        await self.start_fleet(5)
        frozen = self.members_by_id["host-2"]
        before = frozen.find("host-2").incarnation
        self.clocks_by_id["host-2"].thawed.clear()
        await self.clock.advance(10_000)
        self.clocks_by_id["host-2"].thawed.set()
        for _ in range(20):
            await self.clock.advance(100)
            self.assertEqual(self.seen_by("host-2"), all_hosts)
        self.assertGreater(frozen.find("host-2").incarnation, before)
        await self.wait_until(lambda: self.all_see(all_hosts))

    async def test_a_pause_does_not_shorten_the_time_to_refute(self):
        await self.start_fleet(5)
        frozen = self.members_by_id["host-2"]
        frozen.table.suspect("host-1")
        self.clocks_by_id["host-2"].thawed.clear()
        await self.clock.advance(10_000)
        self.clocks_by_id["host-2"].thawed.set()
        for _ in range(50):
            await self.clock.advance(100)
            self.assertNotEqual(frozen.find("host-1").state, HostState.DEAD)

    async def test_a_partition_and_its_healing_are_detected(self):
        await self.start_fleet(6, ("zone-a", "zone-b"))
        near = {"host-0", "host-2", "host-4"}
        far = {"host-1", "host-3", "host-5"}
        self.network.cut(near, far)
        await self.wait_until(
            lambda: self.all_see(near, near) and self.all_see(far, far)
        )
        await self.clock.advance(GENEROUS_MS)
        lost = set()
        for host_id, member in self.members_by_id.items():
            own_side = near if host_id in near else far
            member.on_change(
                lambda h=host_id, side=own_side: lost.update(side - self.seen_by(h))
            )
        self.network.heal()
        await self.wait_until(lambda: self.all_see(near | far))
        self.assertEqual(lost, set(), "A side lost its own hosts on healing.")

    async def test_a_restarted_host_overrides_older_records(self):
        await self.start_fleet(4)
        self.kill("host-1")
        await self.wait_until(lambda: self.all_see(self.members_by_id))
        # Its wall clock may be behind after the restart.
        member = self.add_host("host-1")
        own = member.table.own
        member.table.own = type(own)(
            own.id, own.zone, own.region, own.address, 1, 1, 5, own.state
        )
        await self.wait_until(lambda: self.all_see(self.members_by_id))

    async def test_leaving_upstreams_reach_hosts_that_cannot_read_the_list(self):
        await self.start_fleet(3)
        self.host_list.cut_off.add("host-2")
        await self.clock.advance(GENEROUS_MS)
        self.host_list.add("upstream", "engine-1", "leaving")
        cut_off = self.members_by_id["host-2"]
        await self.wait_until(lambda: "engine-1" in cut_off.leaving_upstreams())

    async def test_a_host_that_has_just_lost_the_list_takes_a_peers_reading(self):
        await self.start_fleet(3)
        await self.clock.advance(GENEROUS_MS)
        self.host_list.cut_off.add("host-2")
        self.host_list.add("upstream", "engine-1", "leaving")
        cut_off = self.members_by_id["host-2"]
        # A read without an immediate error takes part of the five seconds to time out.
        await self.clock.advance(LEAVING_BOUND_MS - self.settings.platform.timeout_ms)
        self.assertIn("engine-1", cut_off.leaving_upstreams())

    async def test_a_long_dead_host_is_forgotten_unless_it_is_listed(self):
        await self.start_fleet(4)
        self.kill("host-3")
        table = self.members_by_id["host-0"].table
        await self.wait_until(lambda: table.find("host-3").state is HostState.DEAD)
        self.clock._now_ms += 2 * FORGET_MS
        table.expire({"host-3"})
        self.assertIsNotNone(table.find("host-3"))
        table.expire(())
        self.assertIsNone(table.find("host-3"))

    async def test_bytes_for_a_host_do_not_grow_with_the_fleet(self):
        figures = []
        for count in (10, 350):
            await self.asyncSetUp()
            figures.append(await self.bytes_per_s(count))
            await self.tasks.close()
        small, large = figures
        self.assertLess(large, 2 * small)
        self.assertLess(large, CONTROL_BYTES_PER_S)

    async def test_bytes_stay_bounded_while_every_host_has_updates(self):
        busy = await self.bytes_per_s(350, quiet=False)
        self.assertLess(busy, CONTROL_BYTES_PER_S)

    async def bytes_per_s(self, count, quiet=True):
        asyncio.get_running_loop().set_debug(False)
        for i in range(count):
            self.add_host(f"host-{i}", f"zone-{i % 5}")
        records = [member.table.own for member in self.members_by_id.values()]
        for member in self.members_by_id.values():
            member._synced_ms = 0
            for record in records:
                member.table.merge(record)
            if quiet:
                member.table._sends_left_by_id.clear()
        self.network.bytes_by_id.clear()
        await self.clock.advance(5000)
        return statistics.mean(self.network.bytes_by_id.values()) / 5

    async def test_upstreams_belong_to_live_hosts_of_their_zone(self):
        await self.start_fleet(6, ("zone-a", "zone-b"))
        draining = []
        ownerships = [
            Ownership(
                membership=member, host_id=host_id, draining_hosts=lambda: draining
            )
            for host_id, member in self.members_by_id.items()
        ]
        upstream = Upstream("engine-1", "pool", "zone-b", "127.0.0.1", 1)
        owners = {ownership.owner_of_upstream(upstream) for ownership in ownerships}
        self.assertEqual(len(owners), 1)
        owner = owners.pop()
        self.assertEqual(self.members_by_id[owner].find(owner).zone, "zone-b")
        draining += ["host-1", "host-3", "host-5"]
        fallback = ownerships[0].owner_of_upstream(upstream)
        self.assertEqual(self.members_by_id["host-0"].find(fallback).zone, "zone-a")


all_hosts = {f"host-{i}" for i in range(5)}


class RealLinksTest(unittest.IsolatedAsyncioTestCase):
    async def test_three_daemons_find_one_another_over_sockets(self):
        self.seeds = []
        self.tasks = TaskGroup()
        self.addAsyncCleanup(self.tasks.close)
        hosts = [self.start_host(f"host-{i}") for i in range(3)]
        hosts = [await host for host in hosts]
        members = [member for member, _, _ in hosts]
        await _common.eventually(lambda: all(len(m.live()) == 3 for m in members))
        _, links, task = hosts[2]
        task.cancel()
        with contextlib.suppress(BaseException):
            await task
        await links.close()
        await _common.eventually(lambda: all(len(m.live()) == 2 for m in members[:2]))

    async def start_host(self, host_id):
        settings = _common.make_settings(host_id, peers=self.seeds)
        self.seeds = self.seeds or seeds_of(settings.host)
        metrics = Metrics()
        links = PeerLinks(
            clock=Clock(),
            settings=settings,
            directory=lambda peer_id: member.address_of(peer_id),
            metrics=metrics,
        )
        member = Membership(
            clock=Clock(),
            settings=settings,
            links=links,
            host_list=FakeHostList().client(host_id),
            metrics=metrics,
        )
        await links.start()
        self.addAsyncCleanup(links.close)
        return member, links, self.tasks.start(member.run(), host_id)
