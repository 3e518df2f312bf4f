"""Engines load the published version, and never under two lease holders."""

import asyncio
import unittest
from types import SimpleNamespace

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.broadcast import FAN_OUT, TreeBroadcast
from goldcrestmoor.process.leases import LeaseClient
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.configuration.document import Configuration, Pool, Upstream
from goldcrestmoor.version.weights.engine_versions import EngineVersionTable
from goldcrestmoor.version.weights.published_versions import PublishedVersions
from goldcrestmoor.version.weights.rollout_strategies import Rolling
from goldcrestmoor.version.weights.weight_messages import VersionPublished
from goldcrestmoor.version.weights.weight_update_manager import (
    LEASE_MS,
    WeightUpdateManager,
)
from goldcrestmoor.version.weights.weight_updater import ORDER_TIMEOUT_MS
from test import _table
from test._fleet import FakeLinks, HostClock, ManualClock, Network

GENEROUS_MS = 120_000
LOAD_MS = 300
SPREAD_MS = 6000


class FakeEngine:
    """An engine that loads the ordered versions and records each load."""

    def __init__(self, clock, fencing):
        self.clock = clock
        self.checks_fencing = fencing
        self.version = 0
        self.highest_fencing = 0
        self.failing_swaps = 0
        self.refusals = 0
        self.lost_answers = 0
        self.loaded = []
        self.loading = False

    async def order(self, version, fencing):
        if self.checks_fencing and fencing < self.highest_fencing:
            raise ServiceError(ErrorKind.VERSION_CONFLICT)
        self.highest_fencing = max(self.highest_fencing, fencing)
        if self.refusals:
            self.refusals -= 1
            raise ServiceError(ErrorKind.OVERLOADED, "", 2000)
        if self.lost_answers:
            self.lost_answers -= 1
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT)
        self.loading = True
        await self.clock.sleep_ms(LOAD_MS)
        self.loading = False
        if self.failing_swaps:
            self.failing_swaps -= 1
            return self.version
        self.version = version
        self.loaded.append((self.clock.now_ms(), version, fencing))
        return version


class FakeEngines:
    """One host's engine client; its gate can block an order before it is sent."""

    def __init__(self, engines_by_name):
        self.engines_by_name = engines_by_name
        self.gate = asyncio.Event()
        self.gate.set()

    async def order(self, upstream, *, model, version, fencing, timeout_ms):
        await self.gate.wait()
        return await self.engines_by_name[upstream.name].order(version, fencing)

    async def state(self, upstream, *, timeout_ms):
        version = self.engines_by_name[upstream.name].version
        return SimpleNamespace(model="lm", version=version)


class WeightTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.network = Network(self.clock)
        self.table = _table.FakeTable()
        self.engines_by_name = {}
        self.hosts_by_id = {}
        self.tasks = TaskGroup()
        self.addAsyncCleanup(self.tasks.close)

    def configuration(self):
        upstreams = {
            name: Upstream(name, "pool", "z", "127.0.0.1", 1, 16, e.checks_fencing)
            for name, e in self.engines_by_name.items()
        }
        pools = {"pool": Pool("pool", "engine", "lm")}
        return Configuration(pools_by_name=pools, upstreams_by_name=upstreams)

    def add_engines(self, count, fencing=True):
        for i in range(count):
            name = f"engine-{len(self.engines_by_name)}-{i}"
            self.engines_by_name[name] = FakeEngine(self.clock, fencing)

    def live(self, zone=None):
        return [SimpleNamespace(id=i, zone="z") for i in self.hosts_by_id]

    def add_host(self, host_id, strategy=None):
        clock = HostClock(self.clock)
        links = FakeLinks(self.network, host_id, clock)
        table = self.table.client(clock)
        broadcast = TreeBroadcast(links=links, membership=self, host_id=host_id)
        engine_versions = EngineVersionTable(
            links=links, broadcast=broadcast, configuration=self.configuration
        )
        versions = PublishedVersions(
            clock=clock, table=table, links=links, broadcast=broadcast
        )
        leases = LeaseClient(clock=clock, table=table, host_id=host_id)
        self.addAsyncCleanup(leases.close)
        engines = FakeEngines(self.engines_by_name)
        orders = WeightUpdateManager(
            clock=clock,
            leases=leases,
            ownership=SimpleNamespace(preferred_hosts=lambda *_: [*self.hosts_by_id]),
            configuration=self.configuration,
            versions=versions,
            engine_versions=engine_versions,
            engines=engines,
            metrics=Metrics(),
            host_id=host_id,
            strategy=strategy,
        )
        host = self.hosts_by_id[host_id] = SimpleNamespace(
            clock=clock,
            versions=versions,
            orders=orders,
            engines=engines,
            engine_versions=engine_versions,
        )
        self.tasks.start(versions.run(), "versions")
        self.tasks.start(orders.run(), "orders")
        return host

    async def wait_until(self, predicate, limit_ms=GENEROUS_MS):
        self.assertTrue(await self.clock.advance(limit_ms, predicate))

    def all_run(self, version):
        return all(e.version == version for e in self.engines_by_name.values())

    async def publish(self, version, host_id="host-a", account="trainer"):
        await self.hosts_by_id[host_id].versions.publish("lm", version, account)

    async def test_the_driver_learns_of_a_version_without_its_message(self):
        self.add_engines(3)
        hosts = [self.add_host(f"host-{i}") for i in "abc"]
        await self.publish(1)
        await self.wait_until(lambda: self.all_run(1))
        for host in hosts:
            host.versions._broadcast = SimpleNamespace(broadcast=lambda message: None)
        other = next(h for h in self.hosts_by_id if not self.updates(h))
        await self.publish(2, other)
        await self.wait_until(lambda: self.all_run(2), SPREAD_MS)

    def updates(self, host_id):
        return self.hosts_by_id[host_id].orders.is_updating("lm")

    async def test_a_published_version_reaches_every_engine_and_host(self):
        self.add_engines(6)
        hosts = [self.add_host(f"host-{i}") for i in "abc"]
        await self.publish(1)
        await self.wait_until(lambda: self.all_run(1))
        upstreams = self.configuration().upstreams_of("pool")
        await self.wait_until(
            lambda: all(
                host.engine_versions.version_of(upstream) == 1
                for host in hosts
                for upstream in upstreams
            )
        )
        drivers = [host for host in hosts if host.orders.is_updating("lm")]
        self.assertEqual(len(drivers), 1)

    async def test_versions_only_grow_and_repeats_are_harmless(self):
        self.add_host("host-a")
        await self.publish(5)
        await self.publish(5)
        for version, account in ((4, "trainer"), (5, "other")):
            with self.assertRaises(ServiceError) as caught:
                await self.publish(version, account=account)
            self.assertEqual(caught.exception.kind, ErrorKind.VERSION_CONFLICT)
        self.table.lose_answers = 1
        await self.publish(6)
        self.table.is_down = True
        with self.assertRaises(ServiceError) as caught:
            await self.publish(7)
        self.assertEqual(caught.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_failed_swaps_and_the_stores_limit_are_retried(self):
        self.add_engines(3)
        self.add_host("host-a")
        failing, refused, _ = self.engines_by_name.values()
        failing.failing_swaps = 3
        refused.refusals = 2
        await self.publish(1)
        await self.wait_until(lambda: self.all_run(1))

    async def test_an_engine_that_restarts_with_old_weights_is_ordered_again(self):
        self.add_engines(2)
        self.add_host("host-a")
        await self.publish(3)
        await self.wait_until(lambda: self.all_run(3))
        await self.clock.advance(10_000)
        next(iter(self.engines_by_name.values())).version = 1
        await self.wait_until(lambda: self.all_run(3))

    async def test_rolling_never_stops_the_pool(self):
        self.add_engines(8)
        self.add_host("host-a", Rolling(0.25))
        await self.publish(1)
        most = 0
        for _ in range(GENEROUS_MS // 100):
            await self.clock.advance(100)
            loading = sum(e.loading for e in self.engines_by_name.values())
            most = max(most, loading)
            if self.all_run(1):
                break
        self.assertTrue(self.all_run(1))
        self.assertEqual(most, 2)

    async def freeze_one_driver(self, fencing):
        """Freeze a driver just before it orders version 1; let another take over."""
        self.add_engines(4, fencing)
        old = self.add_host("host-a")
        await self.wait_until(lambda: old.orders.is_updating("lm"))
        old.engines.gate.clear()
        await self.publish(1)
        await self.clock.advance(200)
        old.clock.thawed.clear()
        new = self.add_host("host-b")
        frozen_ms = self.clock.now_ms()
        await self.publish(2, "host-b")
        await self.wait_until(lambda: new.orders.is_updating("lm"))
        await self.wait_until(lambda: self.all_run(2))
        first_ms = min(e.loaded[0][0] for e in self.engines_by_name.values())
        old.clock.thawed.set()
        old.engines.gate.set()
        return first_ms - frozen_ms

    async def test_a_frozen_driver_wakes_before_engines_that_check_fencing(self):
        await self.freeze_one_driver(fencing=True)
        await self.clock.advance(GENEROUS_MS)
        for engine in self.engines_by_name.values():
            self.assertEqual([v for _, v, _ in engine.loaded], [2])

    async def test_a_frozen_driver_wakes_before_engines_that_ignore_fencing(self):
        waited_ms = await self.freeze_one_driver(fencing=False)
        self.assertGreaterEqual(waited_ms, LEASE_MS + ORDER_TIMEOUT_MS)
        # An order that is delayed beyond the order timeout still reaches the
        # engines; reading their state then restores the right version.
        await self.wait_until(
            lambda: any(e.loaded[-1][1] == 1 for e in self.engines_by_name.values())
        )
        await self.wait_until(lambda: self.all_run(2))

    async def test_a_stopping_driver_hands_over_without_a_wait(self):
        self.add_engines(2, fencing=False)
        old = self.add_host("host-a")
        await self.publish(1)
        await self.wait_until(lambda: self.all_run(1))
        new = self.add_host("host-b")
        stopping = asyncio.ensure_future(old.orders.stop())
        await self.publish(2, "host-b")
        await self.wait_until(lambda: new.orders.is_updating("lm"), LEASE_MS)
        await self.wait_until(lambda: self.all_run(2), ORDER_TIMEOUT_MS)
        await stopping

    async def test_a_host_that_stops_with_an_order_unanswered_hands_nothing_over(self):
        self.add_engines(1, fencing=False)
        (engine,) = self.engines_by_name.values()
        engine.lost_answers = 10**6
        old = self.add_host("host-a")
        await self.publish(1)
        await self.wait_until(lambda: engine.lost_answers < 10**6)
        stopping = asyncio.ensure_future(old.orders.stop())
        stopped_ms = self.clock.now_ms()
        new = self.add_host("host-b")
        engine.lost_answers = 0
        await self.wait_until(lambda: new.orders.is_updating("lm"))
        await self.wait_until(lambda: self.all_run(1))
        self.assertGreater(engine.loaded[0][0], stopped_ms + ORDER_TIMEOUT_MS)
        await stopping

    async def test_a_malformed_row_hides_no_other(self):
        self.table.apply([], [_table.table_service.Write("versions", "a-model", b"?")])
        host = self.add_host("host-a")
        await self.publish(1)
        other = self.add_host("host-b")
        await self.wait_until(lambda: other.versions.current("lm") == 1)
        self.assertEqual(host.versions.current("a-model"), 0)

    async def test_a_message_spreads_to_all_with_few_copies_each(self):
        sent = []
        ids = [f"host-{i}" for i in range(350)]
        membership = SimpleNamespace(
            live=lambda zone=None: [SimpleNamespace(id=i, zone="z") for i in ids]
        )

        def make(host_id):
            def send(target, message):
                sent.append((host_id, target))
                make(target).forward(message, message.targets)

            links = SimpleNamespace(send=send)
            return TreeBroadcast(links=links, membership=membership, host_id=host_id)

        make("host-7").broadcast(VersionPublished("lm", 1))
        receivers = [target for _, target in sent]
        self.assertEqual(sorted(receivers), sorted(set(ids) - {"host-7"}))
        senders = [sender for sender, _ in sent]
        self.assertLessEqual(max(map(senders.count, ids)), FAN_OUT)
