"""Running one job with the scheduler, with a fake store and fake engines."""

import asyncio
import functools
import unittest

import msgspec

from goldcrestmoor.clock import Clock
from goldcrestmoor.job.engine_pool import EnginePool
from goldcrestmoor.job.item_run import Failed, Finished
from goldcrestmoor.job.job import Item, Job, JobState
from goldcrestmoor.job.job_run import MIN_UNSAVED_EVENTS, JobRun
from goldcrestmoor.job.job_store import ConditionFailed, VersionedState
from goldcrestmoor.job.scheduler import Scheduler
from goldcrestmoor.process.directory import ListedUpstream
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.event_stream import Event
from goldcrestmoor.version.configuration.routes import (
    CallerLimits,
    JobPolicy,
    RetryPolicy,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
    group_by_host,
)
from test import _common
from test._request_fakes import upstream_limits

MODEL = "m"
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.JOB,
    retry_policy=RetryPolicy.RESUMABLE,
    shares=(ServiceShare("pool"),),
    timeout_ms=10_000,
    target_ms=400,
    attempts=3,
    job=JobPolicy(7500, 40_000),
)
TABLE = RouteTable(1, group_by_host([ROUTE]), {}, CallerLimits(1, 1, 1, 1))


def table_with(job=None, **fields):
    """Return the next version of the routes, with changes of the job's route.

    :param job: changes of its ``JobPolicy``, by field.
    """
    policy = msgspec.structs.replace(ROUTE.job, **(job or {}))
    route = msgspec.structs.replace(ROUTE, job=policy, **fields)
    return msgspec.structs.replace(
        TABLE, version=TABLE.version + 1, routes_by_host=group_by_host([route])
    )


class FakeConfiguration:
    """The row of the configuration; its content is what the test passes for it."""

    def __init__(self):
        self.known = self.newest = "first"
        self.on_learned = lambda row: None

    def unchanged(self):
        return self.known

    def learn(self, row):
        self.known = row
        self.on_learned(row)


class FakeStore:
    """Stores one job's state; rejects writes based on an older version."""

    def __init__(self, stored):
        self.stored = stored
        self.results = []
        self.partials = []
        self.answers = asyncio.Event()
        self.answers.set()
        self.time_ms = 1000
        self.configuration = FakeConfiguration()

    def now_ms(self):
        return self.time_ms

    async def change(
        self, job_id, stored, state, results=(), partials=(), condition=None
    ):
        await self.answers.wait()
        if condition is not None and condition != self.configuration.newest:
            return ConditionFailed(self.configuration.newest)
        if stored.version != self.stored.version:
            return self.stored
        self.stored = VersionedState(state, stored.version + 1)
        self.results += results
        self.partials += partials
        return self.stored


class FakeDirectory:
    """Lists engines with four slots each."""

    def __init__(self, names):
        self.upstream_by_name = {
            name: ListedUpstream(
                name, "pool", "10.0.0.1", 80, "a", 4, version_by_model={MODEL: 1}
            )
            for name in names
        }

    def usable(self, service):
        return list(self.upstream_by_name.values())


class FakeExecutor:
    """Runs items for as long as they are held."""

    def __init__(self):
        self.running = {}
        self.seen = []

    async def attempt(self, run, engine, terms, on_events):
        self.seen.append((run.item.id, engine.name))
        self.running[run.item.id] = done = asyncio.get_running_loop().create_future()
        on_events(0)
        return await done or Finished()


def make_run(
    count, partials=None, runner="me", path="/x", item_path="/x", routes=lambda: TABLE
):
    """Return a run of some items in the process ``me``, with its fake store."""
    items = tuple(Item(f"i{n}", item_path, {}, b"", group="g") for n in range(count))
    stored = VersionedState(JobState("h", path, MODEL, count, 0, runner=runner), 1)
    store = FakeStore(stored)
    run = JobRun(
        job=Job("j", "h", path, items, MODEL, 1),
        stored=stored,
        process_id="me",
        listed_ids=set(),
        partials=partials or {},
        routes=routes,
        configuration=store.configuration,
        clock=Clock(),
        store=store,
        on_state=lambda job_id, stored: None,
    )
    return run, store


def ended(run):
    """Return the state that another host writes when it ends the run's job."""
    state = JobState("h", "/x", MODEL, len(run.job.items), 0, runner="me")
    return VersionedState(msgspec.structs.replace(state, is_ended=True), 9)


class SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """Has a scheduler with fake engines."""

    def make_scheduler(self, names="ab", routes=lambda: TABLE):
        self.executor = FakeExecutor()
        self.pool = EnginePool(
            clock=Clock(),
            directory=FakeDirectory(names),
            limits=upstream_limits(Clock()),
        )
        return Scheduler(
            clock=Clock(),
            pool=self.pool,
            executor=self.executor,
            rewards=None,
            routes=routes,
            metrics=Metrics(),
        )


class JobRunTest(SchedulerCase):
    async def test_a_job_that_another_host_ends_is_over_at_once(self):
        run, _ = make_run(4)
        listing = asyncio.create_task(run.list_results())
        await asyncio.sleep(0)
        run.apply_state(ended(run))
        async with asyncio.timeout(1):
            await listing

    async def test_items_start_while_the_store_is_told_who_runs_them(self):
        """A slow store takes a second to record the runner."""
        scheduler = self.make_scheduler()
        run, store = make_run(4, runner="")
        store.answers.clear()
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        listing = asyncio.create_task(run.list_results())
        await _common.eventually(lambda: len(self.executor.running) == 4, timeout_s=1)
        for done in self.executor.running.values():
            done.set_result(None)
        await asyncio.sleep(0.1)
        self.assertEqual((store.stored.state.runner, store.results), ("", []))
        store.answers.set()
        async with asyncio.timeout(2):
            await listing
        self.assertEqual((store.stored.state.runner, len(store.results)), ("me", 4))

    async def test_routes_below_that_of_an_open_job_take_none_of_its_items(self):
        """Its waiting items would be given up, or run by the other route's service."""
        requests = msgspec.structs.replace(
            ROUTE, kind=RouteKind.PLAIN, job=None, shares=(ServiceShare("app"),)
        )
        tables = {
            "the items": ["/x/"],
            "the job": ["/lot/"],
            "both": ["/x/", "/lot/", "/lot/j/"],
        }
        for covered, prefixes in tables.items():
            with self.subTest(covered):
                added = [
                    msgspec.structs.replace(requests, name=prefix, path_prefix=prefix)
                    for prefix in prefixes
                ]
                table = msgspec.structs.replace(
                    TABLE, routes_by_host=group_by_host([ROUTE, *added])
                )
                routes = functools.partial(lambda table: table, table)
                scheduler = self.make_scheduler(routes=routes)
                run, store = make_run(
                    12, path="/lot/j", item_path="/x/i", routes=routes
                )
                scheduler.add(run)
                running = asyncio.create_task(scheduler.run())
                self.addCleanup(running.cancel)
                listing = asyncio.create_task(run.list_results())
                while not listing.done():
                    for done in self.executor.running.values():
                        if not done.done():
                            done.set_result(None)
                    await asyncio.sleep(0.01)
                self.assertTrue(all(result.is_completed for result in store.results))
                self.assertEqual(len(self.executor.seen), 12)

    async def test_a_job_is_given_up_at_the_end_of_its_route(self):
        requests = msgspec.structs.replace(ROUTE, kind=RouteKind.PLAIN, job=None)
        table = msgspec.structs.replace(TABLE, routes_by_host=group_by_host([requests]))
        scheduler = self.make_scheduler(routes=lambda: table)
        run, store = make_run(4, routes=lambda: table)
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(2):
            await run.list_results()
        self.assertFalse(any(result.is_completed for result in store.results))
        self.assertEqual(self.executor.seen, [])

    async def test_items_stop_when_another_process_was_first_to_run_the_job(self):
        scheduler = self.make_scheduler()
        run, store = make_run(4, runner="")
        state = msgspec.structs.replace(store.stored.state, runner="other")
        store.stored = VersionedState(state, 2)
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(1):
            await run.list_results()
        self.assertTrue(run.is_over)
        await _common.eventually(lambda: not self.in_flight())
        self.assertEqual(store.results, [])

    async def test_hearing_of_its_own_first_write_stops_no_run(self):
        """The feed reports the write before its response arrives."""
        run, store = make_run(4, runner="")
        state = msgspec.structs.replace(store.stored.state, runner="me")
        run.apply_state(VersionedState(state, 2))
        self.assertFalse(run.is_over)

    async def test_stopped_items_do_not_trouble_the_scheduler(self):
        scheduler = self.make_scheduler()
        run, _ = make_run(6)
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.05)
        self.assertEqual(len(run.running_by_id), 6)
        # One engine becomes slow, so that its items would be moved.
        for name, event_ms in (("a", 40), ("b", 400)):
            self.pool.record_events(self.pool.upstream(name), event_ms, 1)
        run.stop()
        scheduler.wake()
        await asyncio.sleep(0.25)
        self.assertFalse(running.done())

    async def test_an_item_that_came_back_is_not_moved_again_at_once(self):
        """Other models' items fill the fast engine, which then rejects this one."""
        scheduler = self.make_scheduler()
        run, _ = make_run(1)
        scheduler.add(run)
        scheduler._dispatch()
        await asyncio.sleep(0.01)
        item = run.running_by_id["i0"]
        slow, fast = item.engine, "b" if item.engine == "a" else "a"
        for name, event_ms in ((slow, 400), (fast, 40)):
            self.pool.record_events(self.pool.upstream(name), event_ms, 1)
        for _ in range(3):
            scheduler._move_stragglers()
            await asyncio.sleep(0.01)
            # The fast engine is full, so the item goes back.
            for _ in range(4):
                self.pool.begin(self.pool.upstream(fast))
            scheduler._dispatch()
            await asyncio.sleep(0.01)
            for _ in range(4):
                self.pool.end(self.pool.upstream(fast))
        self.assertEqual([name for _, name in self.executor.seen], [slow] * 2)
        await scheduler.close()

    async def test_a_try_that_ends_before_it_has_begun_leaves_nothing_behind(self):
        scheduler = self.make_scheduler()
        run, _ = make_run(6)
        scheduler.add(run)
        scheduler._dispatch()
        # Both happen in the event loop iteration that started the attempts.
        moved = next(iter(run.running_by_id.values()))
        moved.is_moving = True
        moved.task.cancel()
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        await _common.eventually(lambda: len(self.executor.running) == 6)
        self.assertFalse(moved.is_moving)
        run.stop()
        await _common.eventually(lambda: not self.in_flight())
        again, _ = make_run(6)
        scheduler.add(again)
        scheduler._dispatch()
        again.stop()
        await _common.eventually(lambda: not self.in_flight())

    def in_flight(self):
        return sum(load.in_flight for load in self.pool.loads("pool", MODEL))

    async def test_the_text_of_a_long_item_outlives_its_runner(self):
        run, store = make_run(2)
        first = run.waiting[0]
        run.start(first, "a")
        listing = asyncio.create_task(run.list_results())
        self.addCleanup(listing.cancel)
        for number in range(70):
            first.add(Event(str(number), f"e{number}", None, b""), 1)
            if number == 34:
                await _common.eventually(lambda: store.partials, timeout_s=3)
        await _common.eventually(lambda: len(store.partials) == 2, timeout_s=3)
        again, _ = make_run(2, {0: store.partials})
        resumed = again.waiting[0]
        self.assertEqual(resumed.events, [f"e{number}" for number in range(70)])
        self.assertEqual((resumed.last_id, resumed.versions), ("69", [1]))
        self.assertEqual(again.waiting[1].events, [])

    async def test_a_text_that_starts_over_replaces_what_was_kept(self):
        run, _ = make_run(1)
        item_run = run.waiting[0]
        item_run.add(Event("0", "old", None, b""), 1)
        stored = [item_run.unsaved()]
        item_run.restart()
        item_run.add(Event("0", "new", None, b""), 2)
        stored.append(item_run.unsaved())
        again, _ = make_run(1, {0: stored})
        self.assertEqual(again.waiting[0].events, ["new"])
        self.assertEqual(again.waiting[0].versions, [2])

    async def test_an_item_that_waits_for_another_engine_holds_up_no_other_item(self):
        """The engine that it failed at has the only free slot."""
        scheduler = self.make_scheduler()
        run, _ = make_run(9)
        (last,) = run.waiting[8:]
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        await _common.eventually(lambda: len(self.executor.running) == 8)
        failing, other = (
            next(item for item, engine in self.executor.seen if engine == name)
            for name in "ab"
        )
        self.executor.running[failing].set_result(Failed())
        await _common.eventually(lambda: len(self.executor.seen) == 9, timeout_s=1)
        self.assertEqual(self.executor.seen[8], (last.item.id, "a"))
        self.executor.running[other].set_result(None)
        await _common.eventually(lambda: len(self.executor.seen) == 10, timeout_s=1)
        self.assertEqual(self.executor.seen[9], (failing, "b"))
        run.stop()

    async def test_a_job_is_handed_over_with_all_that_was_made(self):
        scheduler = self.make_scheduler()
        run, store = make_run(3)
        long, short = run.waiting[:2]
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        listing = asyncio.create_task(run.list_results())
        await _common.eventually(lambda: len(self.executor.running) == 3)
        # Far fewer events than are saved while the job runs here.
        for number in range(3):
            long.add(Event(str(number), f"e{number}", None, b""), 1)
        self.executor.running[short.item.id].set_result(None)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(0.3):
            await run.hand_over()
            await listing
        self.assertEqual([result.id for result in store.results], [short.item.id])
        again, _ = make_run(3, {long.position: store.partials})
        self.assertEqual(again.waiting[long.position].events, ["e0", "e1", "e2"])
        scheduler.wake()
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.executor.seen), 3)

    async def test_the_end_of_a_text_is_handed_over_after_all_its_events(self):
        """The next runner would send it to an engine again, and score it late."""
        run, store = make_run(1)
        item_run = run.waiting[0]
        run.start(item_run, "a")
        for number in range(MIN_UNSAVED_EVENTS):
            item_run.add(Event(str(number), f"e{number}", None, b""), 1)
        listing = asyncio.create_task(run.list_results())
        await _common.eventually(lambda: item_run.saved_events, timeout_s=3)
        item_run.is_complete = True
        run.start_scoring(item_run)
        async with asyncio.timeout(0.3):
            await run.hand_over()
            await listing
        again, _ = make_run(1, {0: store.partials})
        self.assertEqual(len(again.waiting[0].events), MIN_UNSAVED_EVENTS)
        self.assertTrue(again.waiting[0].is_complete)

    async def test_a_write_is_measured_in_bytes(self):
        """The store refused texts of three bytes a character, again and again."""
        run, store = make_run(4)
        for item_run in list(run.waiting):
            run.start(item_run, "a")
            item_run.add(Event("0", "\u4e16" * 60_000, None, b""), 1)
            run.finish(item_run, is_completed=True)
        self.assertTrue(await run._write())
        self.assertEqual(len(store.results), 3)
        self.assertTrue(await run._write())
        self.assertEqual(len(store.results), 4)

    async def test_finished_items_are_listed_together(self):
        scheduler = self.make_scheduler()
        run, store = make_run(6)
        scheduler.add(run)
        running = asyncio.create_task(scheduler.run())
        self.addCleanup(running.cancel)
        listing = asyncio.create_task(run.list_results())
        await asyncio.sleep(0.05)
        for done in self.executor.running.values():
            done.set_result(None)
        async with asyncio.timeout(2):
            await listing
        self.assertEqual(len(store.results), 6)
        self.assertEqual(store.stored.version, 2)


if __name__ == "__main__":
    unittest.main()
