"""Orders of servers under replayed load, against a simulated platform."""

import asyncio
import itertools
import unittest

import msgspec

from goldcrestmoor.adapters.platform_api import Accepted, Refused, Unanswered
from goldcrestmoor.adapters.table import Change
from goldcrestmoor.job.job import JobState
from goldcrestmoor.process.capacity_orders import CapacityOrders
from goldcrestmoor.process.capacity_plan import REFUSAL_MS, ServicePlan, ZoneServers
from goldcrestmoor.process.directory import ListedUpstream, UpstreamDirectory
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.version.configuration.routes import (
    CallerLimits,
    JobPolicy,
    RetryPolicy,
    Route,
    RouteKind,
    RouteTable,
    ScalingBounds,
    Service,
    ServiceShare,
)
from test import _table
from test._fleet import HostClock, ManualClock

BOOT_MS = 4000
SLOTS = 8
ITEM_MS = 1200
STEP_MS = 250
ZONES = ("a", "b", "c")
FIRST = {"a": 3, "b": 3, "c": 2}
# Two steps of 200 items at two items per slot take 25 servers, and any two of these
# zones have that many.
RAISED = {"a": 13, "b": 13, "c": 12}
# Nine items in ten take at most this: 56 events of 50 ms.
LONG_ITEM_MS = 2800
DUE_MS = 7500


def route_table(max_servers=15):
    route = Route(
        name="job",
        host="app",
        path_prefix="/lot/",
        kind=RouteKind.JOB,
        retry_policy=RetryPolicy.RESUMABLE,
        shares=(ServiceShare("pool"),),
        timeout_ms=10_000,
        target_ms=400,
        job=JobPolicy(DUE_MS, 40_000),
    )
    pool = Service("pool", ("m0",), 0, ScalingBounds(1, max_servers, BOOT_MS))
    limits = CallerLimits(1, 1, 1, 1)
    return RouteTable(1, {"app": (route,)}, {"pool": pool}, limits)


class Platform:
    """The platform's servers, jobs and API: servers boot, run items and leave."""

    def __init__(self, clock):
        self.clock = clock
        self.table = _table.FakeTable()
        self.state_by_job = {}
        self.calls = []
        self.refusing = set()
        self.answer = None
        self.item_ms = ITEM_MS
        self.is_list_current = True
        self._count = 0
        self._boots = []
        self.directory = UpstreamDirectory(
            clock=clock,
            decode=lambda key, value: value,
            metrics=Metrics(),
            age_ms=lambda: 0,
        )

    async def order_servers(self, service, zone, count, fencing):
        self.calls.append((self.clock.now_ms(), zone, count, fencing))
        if self.answer is not None:
            return self.answer
        if zone in self.refusing:
            return Refused(409)
        here = self.accepting(zone)
        booting = [boot for boot in self._boots if boot[1] == zone]
        for _ in range(count - len(here) - len(booting)):
            self._boots.append((self.clock.now_ms() + BOOT_MS, zone))
        for name in here[count:] if len(here) > count else ():
            self.remove(name)
        return Accepted()

    def add(self, zone, **fields):
        self._count += 1
        name = f"s{self._count:03}"
        server = ListedUpstream(name, "pool", "127.0.0.1", 1, zone, SLOTS, **fields)
        self.directory.apply([Change(name, 1, server)])

    def remove(self, name):
        self.directory.apply([Change(name, 2, None)])

    def reclaim(self, zone):
        for name in self.accepting(zone):
            server = self.directory.upstream_by_name[name]
            leaving = msgspec.structs.replace(server, is_draining=True)
            self.directory.apply([Change(name, 2, leaving)])

    def accepting(self, zone):
        return [s.name for s in self.directory.usable("pool") if s.zone == zone]

    def counts(self):
        return {zone: len(self.accepting(zone)) for zone in ZONES}

    def submit(self, job_id, items):
        self.state_by_job[job_id] = JobState(
            "app", "/lot/x", "m0", items, self.clock.now_ms()
        )

    def open_states(self):
        return [s for s in self.state_by_job.values() if s.listed < s.total]

    def tick(self, duration_ms):
        """Let servers boot, and run items of the oldest jobs."""
        now_ms = self.clock.now_ms()
        for boot in [boot for boot in self._boots if boot[0] <= now_ms]:
            self._boots.remove(boot)
            self.add(boot[1])
        done = sum(self.counts().values()) * SLOTS * duration_ms / self.item_ms
        for job_id, state in self.state_by_job.items():
            listed = min(state.total, state.listed + done)
            done -= listed - state.listed
            self.state_by_job[job_id] = msgspec.structs.replace(state, listed=listed)


class FakeDuty:
    def __init__(self, number):
        self.number = number
        self.is_here = True
        self.is_turn = True

    def is_held(self):
        return self.is_here

    def may_act(self):
        return self.is_here and self.is_turn

    def fencing(self):
        return self.number


class CapacityOrdersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.platform = Platform(self.clock)
        self.table = route_table()
        for zone, count in FIRST.items():
            for _ in range(count):
                self.platform.add(zone)

    def start_holder(self, number=1, calls_per_s=50):
        clock = HostClock(self.clock)
        store = self.platform.table.client(clock)
        store.now_ms = self.clock.now_ms
        duty = FakeDuty(number)
        orders = CapacityOrders(
            clock=self.clock,
            duty=duty,
            api=self.platform,
            store=store,
            directory=self.platform.directory,
            is_list_current=lambda: self.platform.is_list_current,
            routes=lambda: self.table,
            open_states=self.platform.open_states,
            calls_per_s=calls_per_s,
            metrics=Metrics(),
        )
        task = asyncio.create_task(orders.run())
        self.addCleanup(task.cancel)
        return duty

    async def play(self, duration_s, on_tick=lambda ms: None):
        """Let time pass; return the calls made meanwhile, as ``(zone, count)``."""
        start, first_ms = len(self.platform.calls), self.clock.now_ms()
        while self.clock.now_ms() < first_ms + duration_s * 1000:
            on_tick(self.clock.now_ms() - first_ms)
            await self.clock.advance(STEP_MS)
            self.platform.tick(STEP_MS)
        return [call[1:3] for call in self.platform.calls[start:]]

    def steps(self, items, every_ms=8000):
        """Return what submits a step of two trainers every few seconds."""

        def on_tick(passed_ms):
            if passed_ms % every_ms == 0:
                self.platform.submit(f"x{self.clock.now_ms()}", items)
                self.platform.submit(f"y{self.clock.now_ms()}", items)

        return on_tick

    async def test_a_steady_day_has_one_order_for_each_zone(self):
        """Each further call would move servers that are billed and in use."""
        self.start_holder()
        calls = await self.play(120, self.steps(items=40))
        self.assertEqual(sorted(calls), sorted(FIRST.items()))

    async def test_the_baseline_waits_until_the_list_has_filled(self):
        """Otherwise servers that start a little later would be ordered to go."""

        def fill(passed_ms):
            if passed_ms % 2000 == 0 and passed_ms < 20_000:
                self.platform.add("a")

        self.start_holder()
        calls = await self.play(40, fill)
        self.assertEqual(sorted(calls), [("a", 13), ("b", 3), ("c", 2)])

    async def test_a_burst_is_answered_at_once_and_forgotten_slowly(self):
        """Servers that come after the burst's steps, or stay for hours, are wasted."""
        self.start_holder()
        await self.play(20)
        calls = await self.play(40, self.steps(items=200))
        self.assertEqual(self.platform.counts(), RAISED)
        self.assertEqual(sorted(calls), sorted(RAISED.items()))
        end_ms = self.clock.now_ms()
        lowered = await self.play(300)
        times = [call[0] for call in self.platform.calls[-len(lowered) :]]
        # The last step was submitted at most 8 s before.
        self.assertGreaterEqual(times[0] - end_ms, 52_000)
        gaps_ms = [later - sooner for sooner, later in itertools.pairwise(times)]
        self.assertGreaterEqual(min(gaps_ms), BOOT_MS)
        self.assertEqual(self.platform.counts(), FIRST)

    async def test_a_step_is_in_time_though_a_zone_is_cut_off(self):
        """A zone is lost at once, and its servers are replaced too late for the step
        that runs then."""
        self.start_holder()
        await self.play(20)
        self.platform.item_ms = LONG_ITEM_MS
        await self.play(40, self.steps(items=200))
        for zone in ZONES:
            with self.subTest(zone):
                lost = self.platform.accepting(zone)
                for name in lost:
                    self.platform.remove(name)
                self.platform.submit("x", 200)
                self.platform.submit("y", 200)
                await self.play(DUE_MS / 1000)
                self.assertEqual(self.platform.open_states(), [])
                await self.play(20)
                self.assertEqual(self.platform.counts(), RAISED)

    async def test_a_reclaimed_zone_is_ordered_again_at_once(self):
        """A zone of reclaimable servers leaves within seconds, and never returns."""
        for name in self.platform.accepting("b"):
            self.platform.remove(name)
        for _ in range(3):
            self.platform.add("b", is_reclaimable=True)
        self.start_holder()
        await self.play(20)
        self.platform.reclaim("b")
        self.assertEqual(await self.play(2), [("b", 3)])
        self.assertEqual(await self.play(20), [])
        self.assertEqual(self.platform.counts(), FIRST)

    async def test_what_a_zone_cannot_give_is_moved_until_it_can(self):
        """The steps would miss their time with a third of the servers gone."""
        self.start_holder()
        await self.play(20)
        self.platform.refusing.add("b")
        for name in self.platform.accepting("b"):
            self.platform.remove(name)
        await self.play(60)
        self.assertEqual(self.platform.counts(), {"a": 4, "b": 0, "c": 4})
        self.platform.refusing.clear()
        await self.play(120)
        self.assertEqual(self.platform.counts(), FIRST)

    async def test_slow_servers_cause_no_more_orders_than_the_bounds_allow(self):
        """Items of slow servers stay open, and the steps that follow add to them."""
        self.start_holder()
        await self.play(20)
        self.platform.item_ms = 10 * ITEM_MS
        calls = await self.play(120, self.steps(items=200))
        self.assertLess(len(calls), 12)
        self.assertEqual(set(self.platform.counts().values()), {15})

    async def test_bounds_that_are_lowered_during_a_write_hold_for_its_order(self):
        """The row is written before the order, which may take seconds."""
        self.start_holder()
        await self.play(20)

        def lower():
            self.table = route_table(max_servers=6)

        self.platform.table.after_write = lower
        calls = await self.play(40, self.steps(items=200))
        self.assertTrue(calls)
        self.assertLessEqual(max(count for _, count in calls), 6)

    async def test_no_servers_anywhere_causes_no_storm_of_calls(self):
        """Each zone is asked about once in ten seconds, and what there is stays."""
        self.platform.refusing.update(ZONES)
        self.start_holder()
        calls = await self.play(120, self.steps(items=200))
        self.assertLessEqual(len(calls), 3 * 12)
        self.assertGreaterEqual(len(calls), 3 * 9)
        self.assertEqual(self.platform.counts(), FIRST)
        # What was refused is not ordered later, when nothing needs it any more.
        await self.play(50)
        self.platform.refusing.clear()
        await self.play(20)
        self.assertEqual(self.platform.counts(), FIRST)

    async def test_a_list_that_lapses_with_the_store_orders_nothing(self):
        """Servers can't renew their entries in an outage, but are all alive."""
        self.start_holder()
        await self.play(20)
        servers = list(self.platform.directory.upstream_by_name.values())
        self.platform.is_list_current = False
        calls = await self.play(10)
        self.platform.is_list_current = True
        for server in servers:
            self.platform.remove(server.name)
        calls += await self.play(8)
        for server in servers:
            self.platform.directory.apply([Change(server.name, 3, server)])
        calls += await self.play(30)
        self.assertEqual(calls, [])

    async def test_a_lost_server_is_replaced_after_its_time_to_come_back(self):
        """A server that only restarts would otherwise be replaced each time."""
        self.start_holder()
        await self.play(20)
        self.platform.remove(self.platform.accepting("a")[0])
        self.assertEqual(await self.play(5), [])
        self.assertEqual(await self.play(2), [("a", 3)])
        self.assertEqual(await self.play(20), [])
        self.assertEqual(self.platform.counts(), FIRST)

    async def test_the_next_holder_goes_on_from_the_row(self):
        """A host that has seen no peak must not take the servers of the last one away,
        nor take a list for the baseline in which servers are missing."""
        duty = self.start_holder()
        await self.play(20)
        await self.play(10, self.steps(items=200))
        duty.is_here = False
        raised = self.platform.counts()
        self.platform.remove(self.platform.accepting("c")[0])
        duty = self.start_holder(number=2)
        duty.is_turn = False
        self.assertEqual(await self.play(10), [])
        duty.is_turn = True
        calls = await self.play(40)
        self.assertEqual(sorted(calls[:3]), sorted(raised.items()))
        self.assertEqual(self.platform.counts(), raised)
        self.assertEqual({call[3] for call in self.platform.calls[-3:]}, {2})

    async def test_a_write_whose_response_was_lost_is_not_a_conflict(self):
        """Reading the row again would forget the peaks and send all orders again."""
        self.start_holder()
        await self.play(20)
        self.platform.table.lose_answers = 1
        calls = await self.play(20, self.steps(items=48))
        self.assertEqual(calls, [("c", 3)])

    async def test_calls_that_are_too_many_or_unanswered_become_rare(self):
        """An API that is at its limit, or down, needs fewer calls, not more."""
        self.start_holder()
        await self.play(20)
        for answer in (Refused(429), Refused(503), Unanswered("timed out")):
            self.platform.answer = answer
            calls = await self.play(32, self.steps(items=200))
            self.assertLess(len(calls), 25)
            self.assertGreater(len(calls), 3)
        self.platform.answer = None
        await self.play(20, self.steps(items=200))
        self.assertEqual(self.platform.counts(), RAISED)

    async def test_calls_take_a_part_of_the_rate_limit_only(self):
        """Usage reports share the limit, and are due at a time."""
        self.start_holder(calls_per_s=2)
        await self.play(30)
        times = [call[0] for call in self.platform.calls]
        self.assertGreaterEqual(min(b - a for a, b in itertools.pairwise(times)), 2500)


class PlanTest(unittest.TestCase):
    def test_a_refusal_that_expires_while_the_row_is_written(self):
        """The target of a refusing zone is what the platform agreed to, which may be
        less than the operator's minimum, until it is set anew."""
        bounds = ScalingBounds(3, 15, BOOT_MS)
        plan = ServicePlan(
            now_ms=0, bounds=bounds, first_by_zone={"a": 2}, target_by_zone={"a": 2}
        )
        servers = {"a": ZoneServers(2, 2 * SLOTS, 2, 0)}
        plan.update(0, bounds, servers, 0)
        plan.record_refused(plan.due(0)[0], 0)
        plan.update(REFUSAL_MS - 1, bounds, servers, 0)
        self.assertEqual(plan.due(REFUSAL_MS), [])
        plan.update(REFUSAL_MS, bounds, servers, 0)
        self.assertEqual([order.count for order in plan.due(REFUSAL_MS)], [3])


if __name__ == "__main__":
    unittest.main()
