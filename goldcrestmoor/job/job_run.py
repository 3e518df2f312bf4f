"""One batch job that this process runs: its items, and the results to be listed."""

import asyncio
import itertools
import logging

import msgspec

from goldcrestmoor.job import job_store
from goldcrestmoor.job.item_order import order_items
from goldcrestmoor.job.item_run import ItemRun
from goldcrestmoor.job.job import Result

log = logging.getLogger("goldcrestmoor.jobs")

# Results are gathered for so long before they are written, which bounds how often a
# busy job writes and every host hears of it.
BATCH_DELAY_MS = 40
# The text of an item is first kept when a run of it has cost over a second of a slot,
# and then as much again is at stake; most items are shorter and never kept.
MIN_UNSAVED_EVENTS = 30
# How often that is looked at, which bounds the writes of a job that lists nothing.
SAVE_CHECK_INTERVAL_MS = 700


class JobRun:
    """The items of a job until all are listed, or another process runs it.

    :param job: the :class:`~goldcrestmoor.job.job.Job`.
    :param stored: its :class:`~goldcrestmoor.job.job_store.VersionedState`, with this
        process as its runner, or with none yet.
    :param process_id: this process, by a name that no other has.
    :param listed_ids: the ids of the items that are listed already.
    :param partials: what is kept of the others' texts, by position.
    :param policy: the ``JobPolicy`` of its route.
    :param priority: its route's priority.
    :param clock: the clock.
    :param store: the :class:`~goldcrestmoor.job.job_store.JobStore`.
    :param on_state: called with each :class:`VersionedState` that is written or met.
    """

    __slots__ = (
        "job",
        "policy",
        "priority",
        "due_ms",
        "waiting",
        "running_by_id",
        "engine_by_group",
        "_stored",
        "_process_id",
        "_clock",
        "_store",
        "_on_state",
        "_finished",
        "_has_finished",
        "_is_over",
        "_is_handed_over",
        "_has_ended",
        "_started_ms",
    )

    def __init__(
        self,
        *,
        job,
        stored,
        process_id,
        listed_ids,
        partials,
        policy,
        priority,
        clock,
        store,
        on_state,
    ):
        self.job = job
        self.policy = policy
        self.priority = priority
        self.due_ms = stored.state.submitted_ms + policy.due_after_ms
        self.waiting = [
            ItemRun(item, position)
            for position, item in enumerate(job.items)
            if item.id not in listed_ids
        ]
        for run in self.waiting:
            run.resume(partials.get(run.position, ()))
        self.running_by_id = {}
        self.engine_by_group = {}
        self._stored = stored
        self._process_id = process_id
        self._clock = clock
        self._store = store
        self._on_state = on_state
        self._finished = []
        self._has_finished = asyncio.Event()
        self._is_over = False
        self._is_handed_over = False
        self._has_ended = asyncio.Event()
        self._started_ms = clock.now_ms()

    @property
    def is_over(self):
        """Whether none of its items is to be started any more."""
        return self._is_over or self._is_handed_over

    def age_ms(self):
        """Return for how long this process has run the job."""
        return self._clock.now_ms() - self._started_ms

    def next_items(self):
        """Return the waiting items in the order in which to start them."""
        return order_items(self.waiting)

    def start(self, run, engine):
        """Note that an item is being run.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        :param engine: the engine's name.
        """
        self.waiting.remove(run)
        run.engine = engine
        run.attempts += 1
        if run.started_ms is None:
            run.started_ms = self._clock.now_ms()
        self.running_by_id[run.item.id] = run
        self.engine_by_group[run.group] = engine

    def requeue(self, run):
        """Note that an item has to be run again.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        """
        self.running_by_id.pop(run.item.id, None)
        run.avoid, run.engine = run.engine, None
        if not self.is_over:
            self.waiting.append(run)

    def finish(self, run, is_completed):
        """Note an item's end, to be listed.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        :param is_completed: whether its text is whole; else it is given up.
        """
        self.running_by_id.pop(run.item.id, None)
        if run.started_ms is not None:
            log.info(
                "Item %s of job %s %s: waited %d ms, then %d ms in %d tries, last at "
                "%s; %d events, %d tokens expected.",
                run.item.id,
                self.job.id,
                "done" if is_completed else "given up",
                run.started_ms - self._started_ms,
                self._clock.now_ms() - run.started_ms,
                run.attempts,
                run.engine,
                len(run.events),
                run.expected_tokens,
            )
        text = "\n".join(run.events) if is_completed else ""
        versions = tuple(run.versions) if is_completed else ()
        self._finished.append(Result(run.item.id, is_completed, text, versions))
        self._has_finished.set()

    async def list_results(self):
        """Write results as they come, until all are listed or the job is over.

        The first write says who runs the job. Its items are not held back for that:
        two hosts may run an item, and only one of them can list it.
        """
        try:
            if not await self._claim():
                return
            while self._stored.state.listed < self._stored.state.total:
                await self._wait_for_results()
                if self._is_over or not await self._write():
                    return
                if self._is_handed_over and not self._has_unsaved():
                    log.info("Job %s is left to the next runner.", self.job.id)
                    return
            log.info("All results of job %s are listed.", self.job.id)
        finally:
            self.stop()
            self._has_ended.set()

    async def _claim(self):
        """Write that this process runs the job; tell whether it does."""
        if self._stored.state.runner == self._process_id:
            return True
        state = msgspec.structs.replace(self._stored.state, runner=self._process_id)
        stored = await self._store.change(self.job.id, self._stored, state)
        if not self._is_still_runner(stored):
            return False
        self._stored = stored
        self._on_state(self.job.id, stored)
        return not stored.state.is_ended

    def stop(self):
        """Start nothing more, and stop what is running."""
        self._is_over = True
        self._has_finished.set()
        self.waiting.clear()
        self._cancel_running()

    async def hand_over(self):
        """Stop, once all that was made is kept for the next runner to go on from."""
        self._is_handed_over = True
        self.waiting += self._cancel_running()
        self._has_finished.set()
        await self._has_ended.wait()

    def _cancel_running(self):
        """Stop what is running; return it."""
        runs = list(self.running_by_id.values())
        self.running_by_id.clear()
        for run in runs:
            if run.task is not None:
                run.task.cancel()
        return runs

    def _has_unsaved(self):
        return bool(self._finished) or any(self._with_unsaved())

    async def _wait_for_results(self):
        if self._is_handed_over:
            return
        wait_ms = min(self._remaining_ms(), SAVE_CHECK_INTERVAL_MS)
        if wait_ms > 0:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._has_finished.wait()
            except TimeoutError:
                pass
        if self._remaining_ms() <= 0:
            self._abandon_items()
        await self._clock.sleep_ms(BATCH_DELAY_MS)

    def _remaining_ms(self):
        expires_ms = self._stored.state.submitted_ms + self.policy.expire_after_ms
        return expires_ms - self._store.now_ms()

    def _abandon_items(self):
        remaining = self.waiting + list(self.running_by_id.values())
        if remaining:
            log.warning("Job %s: %d items are given up.", self.job.id, len(remaining))
        self.waiting.clear()
        for run in remaining:
            if run.task is not None:
                run.task.cancel()
            self.finish(run, is_completed=False)

    async def _write(self):
        """Write what has finished; tell whether this process still runs the job."""
        budget = job_store.WriteBudget()
        results = list(
            itertools.takewhile(lambda r: budget.reserve(len(r.text)), self._finished)
        )
        partials = self._partials(budget)
        if not results and not partials:
            self._has_finished.clear()
            return True
        state = msgspec.structs.replace(
            self._stored.state, listed=self._stored.state.listed + len(results)
        )
        stored = await self._store.change(
            self.job.id, self._stored, state, results, partials.values()
        )
        if not self._is_still_runner(stored):
            return False
        if stored.state.listed == state.listed:
            for run, partial in partials.items():
                if run.generation == partial.generation:
                    run.saved_events = partial.first + len(partial.events)
            del self._finished[: len(results)]
            if not self._finished:
                self._has_finished.clear()
        self._stored = stored
        self._on_state(self.job.id, stored)
        return not stored.state.is_ended

    def _partials(self, budget):
        """Return the partial texts that are long enough to be kept, by run."""
        partials = {}
        if not budget.has_capacity:
            return partials
        for run in self._with_unsaved():
            partial = run.unsaved()
            if not budget.reserve(sum(map(len, partial.events))):
                break
            partials[run] = partial
        return partials

    def _with_unsaved(self):
        """Yield the items whose text has grown enough to be kept again."""
        min_events = 1 if self._is_handed_over else MIN_UNSAVED_EVENTS
        for run in itertools.chain(self.running_by_id.values(), self.waiting):
            if len(run.events) - run.saved_events >= min_events:
                yield run

    def _is_still_runner(self, stored):
        if stored is not None and stored.state.runner == self._process_id:
            return True
        runner = stored.state.runner if stored else "nobody; it is gone"
        log.warning("Job %s is run by %s now.", self.job.id, runner)
        if stored is not None:
            self._on_state(self.job.id, stored)
        return False

    def apply_state(self, stored):
        """Take in what another process has written of the job.

        :param stored: the :class:`~goldcrestmoor.job.job_store.VersionedState`.
        """
        if stored.version <= self._stored.version:
            return
        if stored.state.is_ended or stored.state.runner not in ("", self._process_id):
            self.stop()
