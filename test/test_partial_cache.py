"""Output that an ended job left, and the scheduler's use of it and of needed groups."""

import asyncio
import unittest

import msgspec

from goldcrestmoor.job import partial_cache
from goldcrestmoor.job.engine_pool import EnginePool
from goldcrestmoor.job.job import Item, Job, JobState
from goldcrestmoor.job.job_run import JobRun
from goldcrestmoor.job.job_store import VersionedState
from goldcrestmoor.job.partial_cache import PartialCache
from goldcrestmoor.job.scheduler import Scheduler
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.event_stream import Event
from goldcrestmoor.version.configuration.accounts import AccountDirectory
from test import _common, test_job_run
from test._front import FrontFleet, configuration
from test._request_fakes import FakeClock, upstream_limits
from test.standins.users_server import whole_text
from test.test_job_run import MODEL, TABLE, table_with

ACCOUNTS = msgspec.structs.replace(TABLE, accounts=AccountDirectory({}, {}))
SINGLE_VERSION = msgspec.structs.replace(
    table_with(job={"single_version": True}), accounts=ACCOUNTS.accounts
)


class OutputOfEndedJobsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.table = ACCOUNTS
        self.executor = test_job_run.FakeExecutor()
        parts = {"clock": self.clock, "limits": upstream_limits(self.clock)}
        pool = EnginePool(directory=test_job_run.FakeDirectory("a"), **parts)
        self.scheduler = Scheduler(
            clock=self.clock,
            pool=pool,
            executor=self.executor,
            rewards=None,
            routes=lambda: self.table,
            metrics=Metrics(),
        )
        self.addAsyncCleanup(self.scheduler.close)

    def run_job(self, job_id, groups="a", partials=None, length=10, **job):
        """Return the run of a job with an item for each group."""
        items = tuple(
            Item(f"i{n}", "/x", {}, b"", group=group, expected_tokens=length + n)
            for n, group in enumerate(groups)
        )
        state = JobState("h", "/x", MODEL, len(items), 0, runner="me")
        return JobRun(
            job=Job(job_id, "h", "/x", items, MODEL, **job),
            stored=VersionedState(state, 1),
            process_id="me",
            listed_ids=set(),
            partials=partials or {},
            routes=lambda: self.table,
            configuration=None,
            clock=self.clock,
            store=test_job_run.FakeStore(VersionedState(state, 1)),
            on_state=lambda job_id, stored: None,
        )

    def submit_again(self, **job):
        again = self.run_job("again", **job)
        self.scheduler.add(again)
        self.scheduler.remove(again)
        return again

    def end_job(self, versions=(1, 1, 2), **job):
        """End a job whose item has three events."""
        before = self.run_job("before", **job)
        self.scheduler.add(before)
        for number, version in enumerate(versions):
            event = Event(str(number), f"e{number}", None, b"")
            before.waiting[0].add(event, version)
        self.scheduler.keep_output(before)
        self.scheduler.remove(before)

    async def test_an_item_goes_on_from_its_events_also_at_the_next_runner(self):
        """Each event is in the result once, with all versions of the text."""
        self.end_job(account="t")
        again = self.submit_again(account="t")
        item = again.waiting[0]
        saved = item.unsaved()
        self.assertEqual((saved.first, saved.events), (0, ("e0", "e1", "e2")))
        next_run = self.run_job("again", partials={0: [saved]})
        for run in (again, next_run):
            item = run.waiting[0]
            self.assertFalse(item.add(Event("2", "e2", None, b""), 3))
            self.assertTrue(item.add(Event("3", "e3", None, b""), 3))
            run.finish(item, is_completed=True)
            (unlisted,) = run._unlisted
            result = unlisted.result
            self.assertEqual(result.text, "e0\ne1\ne2\ne3")
            self.assertEqual(result.versions, (1, 2, 3))

    async def test_a_complete_text_without_a_reward_call_is_listed_once(self):
        """Its job ended while it was scored, and the next one has it not scored. If it
        still waited, it would be run and listed again, past the end of the job."""
        before = self.run_job("before")
        before.waiting[0].add(Event("0", "e0", None, b""), 1)
        before.waiting[0].is_complete = True
        before.start_scoring(before.waiting[0])
        self.scheduler._runs_by_job["before"] = before
        self.scheduler.keep_output(before)
        self.scheduler.remove(before)
        again = self.submit_again()
        self.assertEqual([u.result.text for u in again._unlisted], ["e0"])
        self.assertEqual(again.waiting, [])

    async def test_the_next_step_may_be_known_before_the_end_of_the_last(self):
        again = self.run_job("again")
        self.scheduler.add(again)
        self.end_job()
        self.assertEqual(len(again.waiting[0].events), 3)

    async def test_other_items_start_from_their_prompts(self):
        cases = (
            ({"account": "other"}, ACCOUNTS, False),
            ({"min_version": 2}, ACCOUNTS, True),
            ({}, SINGLE_VERSION, True),
        )
        for job, table, is_resubmitted in cases:
            with self.subTest(job):
                self.table = ACCOUNTS
                self.end_job()
                self.table = table
                again = self.submit_again(**job)
                self.assertEqual(again.waiting[0].events, [])
                self.assertEqual("a" in again.resubmitted_groups, is_resubmitted)
        self.table = ACCOUNTS
        self.end_job()
        self.clock.ms += partial_cache.KEPT_MS + 1
        self.assertEqual(self.submit_again().waiting[0].events, [])

    async def test_a_single_version_goes_on_only_where_engines_have_it(self):
        self.table = SINGLE_VERSION
        for version, events in ((1, 3), (2, 0)):
            self.end_job(versions=[version] * 3)
            again = self.submit_again()
            self.assertEqual(len(again.waiting[0].events), events)

    async def test_without_accounts_nothing_is_kept(self):
        self.table = TABLE
        self.end_job()
        self.assertTrue(self.scheduler._partials.is_empty())

    async def test_the_oldest_output_gives_way(self):
        cache = PartialCache(clock=self.clock)
        before = self.run_job("j", "aaaa")
        for run in before.waiting:
            run.events = ["x" * (partial_cache.MAX_BYTES // 3)]
        cache.keep(before.job, before.waiting)
        kept = [cache.take(before.job, i) is not None for i in before.job.items]
        self.assertEqual(kept, [False, False, True, True])

    async def test_the_limit_is_one_of_bytes_in_memory(self):
        """Most texts outside Latin-1 take two bytes a character, some four; a small
        host would keep four times what it may."""
        for character, share in (("x", 1), ("\u6c34", 2), ("\U0001f30a", 4)):
            with self.subTest(character):
                cache = PartialCache(clock=self.clock)
                run = self.run_job("j").waiting[0]
                run.events = [character * (partial_cache.MAX_BYTES // share + 1)]
                cache.keep(self.run_job("j").job, [run])
                self.assertTrue(cache.is_empty())

    async def test_surplus_items_take_only_the_slots_that_are_left(self):
        # More work than four slots finish in time.
        run = self.run_job("j", "aaabbbccc", length=120, target_groups=1)
        self.scheduler.add(run)
        self.scheduler._dispatch()
        await asyncio.sleep(0)
        started = [item_id for item_id, _ in self.executor.seen]
        # The engine has four slots; the group with the shortest items is needed.
        self.assertEqual(started[:3], ["i2", "i1", "i0"])
        self.assertEqual(len(started), 4)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_that_are_submitted_again_go_on(self):
        """Every event is made and read once, whichever host accepts the next step."""
        fleet = FrontFleet()
        self.addAsyncCleanup(fleet.close)
        await fleet.start(with_configuration=False)
        configured = configuration(job={"public": True}) | {"tenants": []}
        fleet.store.put("op", "config", configured)
        for name in fleet.fronts:
            await fleet.wait_ready(name)
        for engine in fleet.engines:
            engine.events, engine.event_ms = 100, 15
        await fleet.submit("front-a", "j1", 4)
        await _common.eventually(lambda: sum(len(e.runs) for e in fleet.engines) == 4)
        await asyncio.sleep(0.5)
        await fleet.ask("front-b", "DELETE", "/lots/j1")
        await fleet.submit("front-b", "j2", 4)
        results = await fleet.all_results("front-a", "j2")
        self.assertEqual(len(results), 4)
        for result in results:
            self.assertEqual(result["text"], whole_text(result["id"], 100))
        requests = [headers for e in fleet.engines for _, headers, _ in e.seen]
        resumed = [h["last-event-id"] for h in requests if "last-event-id" in h]
        self.assertEqual(len(resumed), 4)


if __name__ == "__main__":
    unittest.main()
