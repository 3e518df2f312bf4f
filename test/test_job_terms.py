"""What counts for an open batch job when the operator changes its route.

A value that was copied when the job or an attempt began would end an item before the
time, the attempts or the route that it has by now.
"""

import asyncio
import contextlib
import functools
import unittest
from types import SimpleNamespace

import msgspec

from goldcrestmoor.clock import Clock
from goldcrestmoor.job.item_order import order_jobs
from goldcrestmoor.job.item_run import Failed, ItemExecutor, NotRun
from goldcrestmoor.job.job_terms import job_terms
from goldcrestmoor.platform import servers
from goldcrestmoor.process.directory import ListedUpstream
from goldcrestmoor.request.event_stream import Event
from goldcrestmoor.version.configuration.accounts import AccountDirectory, ClientAccount
from test import _common
from test.test_job_run import ROUTE, TABLE, SchedulerCase, make_run, table_with

NO_ROUTE = msgspec.structs.replace(TABLE, version=2, routes_by_host={})
SECOND = 1000


class AbandonReasonTest(unittest.TestCase):
    """Replays the decision for one item over changes of the route."""

    def reason(self, table, age_s=10, failures=0, is_running=False):
        run, _ = make_run(1)
        terms = job_terms(table, run.job)
        return terms.abandon_reason(age_s * SECOND, failures, is_running)

    def test_only_the_route_in_effect_counts(self):
        longer = table_with(job={"expire_after_ms": 60_000})
        shorter = table_with(job={"expire_after_ms": 9_000})
        cases = (
            # table, age in seconds, failures, is running, is abandoned
            (TABLE, 39, 0, False, False),
            (TABLE, 40, 0, False, True),
            (TABLE, 40, 0, True, True),
            (longer, 40, 0, True, False),
            (longer, 60, 0, True, True),
            (shorter, 10, 0, True, True),
            (TABLE, 10, 2, False, False),
            (TABLE, 10, 3, False, True),
            (table_with(attempts=5), 10, 3, False, False),
            (table_with(attempts=2), 10, 2, False, True),
            # The attempt in progress may still complete the output.
            (table_with(attempts=2), 10, 2, True, False),
            (NO_ROUTE, 10, 0, False, True),
            (NO_ROUTE, 10, 0, True, False),
            (NO_ROUTE, 90, 0, True, False),
            (table_with(shares=()), 10, 0, False, False),
        )
        for table, age_s, failures, is_running, is_abandoned in cases:
            with self.subTest(f"{table.version} {age_s} {failures} {is_running}"):
                reason = self.reason(table, age_s, failures, is_running)
                self.assertEqual(reason is not None, is_abandoned, reason)


class OpenJobTest(SchedulerCase):
    """A job that runs while the table of routes changes."""

    def setUp(self):
        self.table = TABLE
        self.scheduler = self.make_scheduler()

    def start(self, count, **options):
        run, store = make_run(count, routes=lambda: self.table, **options)
        self.scheduler.add(run)
        running = asyncio.create_task(self.scheduler.run())
        self.addCleanup(running.cancel)
        listing = asyncio.create_task(run.list_results())
        self.addCleanup(listing.cancel)
        return run, store

    def change(self, run, table):
        self.table = table
        run.wake()
        self.scheduler.wake()

    async def running(self, count):
        await _common.eventually(lambda: len(self.executor.running) == count)

    async def test_time_that_was_added_and_taken_away_again(self):
        run, store = self.start(2)
        await self.running(2)
        self.change(run, table_with(job={"expire_after_ms": 90_000}))
        store.time_ms = 45 * SECOND
        await asyncio.sleep(0.2)
        self.assertEqual(store.results, [])
        self.change(run, TABLE)
        await _common.eventually(lambda: len(store.results) == 2, timeout_s=1)
        self.assertFalse(any(result.is_completed for result in store.results))

    async def test_attempts_that_are_added_during_the_last_one(self):
        """The item was ended by the number that held when its attempt began."""
        self.table = table_with(attempts=1)
        run, store = self.start(1)
        await self.running(1)
        self.change(run, table_with(attempts=2))
        self.executor.running.pop("i0").set_result(Failed())
        await self.running(1)
        self.executor.running["i0"].set_result(None)
        await _common.eventually(lambda: store.results)
        self.assertTrue(store.results[0].is_completed)

    async def test_fewer_attempts_than_an_item_has_failed(self):
        """It waits for an engine, and would be sent to one once more."""
        run, store = self.start(9)
        await self.running(8)
        failed = self.executor.seen[0][0]
        self.executor.running[failed].set_result(Failed())
        # The last item takes its slot, and all others are full.
        await _common.eventually(lambda: len(self.executor.seen) == 9)
        self.change(run, table_with(attempts=1))
        await _common.eventually(lambda: store.results, timeout_s=1)
        self.assertEqual([result.id for result in store.results], [failed])
        self.assertEqual(len(self.executor.seen), 9)

    async def test_items_in_progress_outlive_their_route(self):
        """Whole output is worth more than an end at the removal; no attempt begins."""
        run, store = self.start(9)
        await self.running(8)
        self.change(run, NO_ROUTE)
        await _common.eventually(lambda: len(store.results) == 1, timeout_s=1)
        for done in self.executor.running.values():
            done.set_result(None)
        await _common.eventually(lambda: len(store.results) == 9, timeout_s=1)
        completed = [result.is_completed for result in store.results]
        self.assertEqual(completed, [False] + [True] * 8)

    async def test_an_older_configuration_ends_no_items(self):
        """The host, cut off from the store, had not heard that they have more time."""
        run, store = self.start(9)
        await self.running(8)
        longer = table_with(job={"expire_after_ms": 90_000})
        store.configuration.newest = "second"
        store.configuration.on_learned = lambda row: self.change(run, longer)
        store.time_ms = 45 * SECOND
        await _common.eventually(lambda: len(self.executor.seen) > 9, timeout_s=2)
        self.assertEqual(store.results, [])
        self.assertEqual((run.lost_groups, run.missing_in_group("g")), (set(), 9))
        while len(store.results) < 9:
            for done in self.executor.running.values():
                if not done.done():
                    done.set_result(None)
            await asyncio.sleep(0.01)
        self.assertTrue(all(result.is_completed for result in store.results))

    async def test_a_route_that_was_brought_back_keeps_its_items(self):
        run, store = self.start(9)
        await self.running(8)
        store.configuration.newest = "third"
        back = table_with(attempts=4)
        store.configuration.on_learned = lambda row: self.change(run, back)
        self.change(run, NO_ROUTE)
        self.executor.running[self.executor.seen[0][0]].set_result(None)
        await _common.eventually(lambda: len(self.executor.seen) == 9, timeout_s=2)
        await _common.eventually(lambda: store.results, timeout_s=1)
        self.assertEqual([result.is_completed for result in store.results], [True])

    def add_events(self, run, *versions):
        """Let the engine of the only item send an event of each weight version."""
        item = run.running_by_id["i0"]
        for version in versions:
            number = len(item.events)
            item.add(Event(str(number), f"e{number}", None, b""), version)

    async def test_output_of_several_versions_is_not_listed_once_one_is_asked(self):
        """Neither what is unfinished when it changes, nor what is whole by then."""
        single = table_with(job={"single_version": True})
        for is_known in (True, False):
            with self.subTest(is_known=is_known):
                self.table = TABLE
                run, store = self.start(1)
                await self.running(1)
                self.add_events(run, 1, 2)
                if is_known:
                    self.change(run, single)
                else:
                    # Another host has heard of it first.
                    store.configuration.newest = "second"
                    store.configuration.on_learned = functools.partial(
                        lambda run, row: self.change(run, single), run
                    )
                self.executor.running.pop("i0").set_result(None)
                await self.running(1)
                self.assertEqual(store.results, [])
                self.add_events(run, 2, 2)
                self.executor.running.pop("i0").set_result(None)
                await _common.eventually(lambda store=store: store.results)
                (result,) = store.results
                self.assertEqual((result.text, result.versions), ("e0\ne1", (2,)))

    def test_an_attempt_follows_the_change_from_the_next_event_on(self):
        run, _ = make_run(1, routes=lambda: self.table)
        for versions, version, is_allowed in (
            ((), 2, True),
            ((2,), 2, True),
            ((1,), 2, False),
            ((1, 2), 2, False),
        ):
            with self.subTest(f"{versions} {version}"):
                self.table = TABLE
                self.assertTrue(run.item_terms().allows({*versions, version}))
                self.table = table_with(job={"single_version": True})
                is_allowed_now = run.item_terms().allows({*versions, version})
                self.assertEqual(is_allowed_now, is_allowed)

    async def test_an_item_that_waits_for_a_connection_follows_its_route(self):
        """It reached a server of the service that the route had led to before."""
        run, _ = make_run(1, routes=lambda: self.table)
        shares = (msgspec.structs.replace(ROUTE.shares[0], service="new"),)

        @contextlib.asynccontextmanager
        async def connect_slowly(*args, before_send, **options):
            self.table = table_with(shares=shares)
            before_send()
            self.fail("the item was sent")
            yield

        executor = ItemExecutor(
            clock=Clock(),
            paths=SimpleNamespace(stream=connect_slowly),
            directory=SimpleNamespace(check_usable=lambda engine: None),
            limits=None,
            dialect=servers,
        )
        engine = ListedUpstream("a", "pool", "10.0.0.1", 80, "z", 4)
        outcome = await executor.attempt(
            run.waiting[0], engine, run.item_terms, lambda count: None
        )
        self.assertIsInstance(outcome, NotRun)

    async def test_the_order_of_jobs_follows_their_routes_and_accounts(self):
        run, _ = make_run(1, routes=lambda: self.table)
        other, _ = make_run(1)
        self.table = table_with(priority=9)
        self.assertEqual(order_jobs([run, other]), [other, run])
        self.table = table_with(job={"due_after_ms": 100})
        self.assertEqual(order_jobs([other, run]), [run, other])
        accounts = AccountDirectory({"": ClientAccount("", priority=0)}, {})
        self.table = msgspec.structs.replace(table_with(priority=9), accounts=accounts)
        self.assertEqual(run.priority, 0)

    def test_the_services_are_those_of_the_route_in_effect(self):
        run, _ = make_run(1, routes=lambda: self.table)
        self.assertEqual(run.terms().services, ("pool",))
        shares = (msgspec.structs.replace(ROUTE.shares[0], service="new"),)
        self.table = table_with(shares=shares)
        self.assertEqual(run.terms().services, ("new",))
        self.table = NO_ROUTE
        self.assertEqual(run.terms().services, ())


if __name__ == "__main__":
    unittest.main()
