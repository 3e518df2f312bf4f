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
GATHER_MS = 40
# The text of an item is first kept when a run of it has cost over a second of a slot,
# and then as much again is at stake; most items are shorter and never kept.
KEEP_EVENTS = 30
# How often that is looked at, which bounds the writes of a job that lists nothing.
KEEP_CHECK_MS = 700


class JobRun:
    """The items of a job until all are listed, or another process runs it.

    :param job: the :class:`~goldcrestmoor.job.job.Job`.
    :param kept: its :class:`~goldcrestmoor.job.job_store.KeptState`, with this
        process as its runner, or with none yet.
    :param process_id: this process, by a name that no other has.
    :param listed_ids: the ids of the items that are listed already.
    :param partials: what is kept of the others' texts, by position.
    :param policy: the ``JobPolicy`` of its route.
    :param priority: its route's priority.
    :param clock: the clock.
    :param store: the :class:`~goldcrestmoor.job.job_store.JobStore`.
    :param on_state: called with each :class:`KeptState` that is written or met.
    """

    __slots__ = (
        "job",
        "policy",
        "priority",
        "due_ms",
        "waiting",
        "running_by_id",
        "engine_by_group",
        "_kept",
        "_process_id",
        "_clock",
        "_store",
        "_on_state",
        "_finished",
        "_has_finished",
        "_is_over",
        "_is_handed_over",
        "_has_ended",
        "_taken_up_ms",
    )

    def __init__(
        self,
        *,
        job,
        kept,
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
        self.due_ms = kept.state.submitted_ms + policy.due_after_ms
        self.waiting = [
            ItemRun(item, position)
            for position, item in enumerate(job.items)
            if item.id not in listed_ids
        ]
        for run in self.waiting:
            run.resume(partials.get(run.position, ()))
        self.running_by_id = {}
        self.engine_by_group = {}
        self._kept = kept
        self._process_id = process_id
        self._clock = clock
        self._store = store
        self._on_state = on_state
        self._finished = []
        self._has_finished = asyncio.Event()
        self._is_over = False
        self._is_handed_over = False
        self._has_ended = asyncio.Event()
        self._taken_up_ms = clock.now_ms()

    @property
    def is_over(self):
        """Whether none of its items is to be started any more."""
        return self._is_over or self._is_handed_over

    def age_ms(self):
        """Return for how long this process has run the job."""
        return self._clock.now_ms() - self._taken_up_ms

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
        run.tries += 1
        if run.started_ms is None:
            run.started_ms = self._clock.now_ms()
        self.running_by_id[run.item.id] = run
        self.engine_by_group[run.group] = engine

    def put_back(self, run):
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
                run.started_ms - self._taken_up_ms,
                self._clock.now_ms() - run.started_ms,
                run.tries,
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
            if not await self._take():
                return
            while self._kept.state.listed < self._kept.state.total:
                await self._wait_for_results()
                if self._is_over or not await self._write():
                    return
                if self._is_handed_over and not self._has_unkept():
                    log.info("Job %s is left to the next runner.", self.job.id)
                    return
            log.info("All results of job %s are listed.", self.job.id)
        finally:
            self.stop()
            self._has_ended.set()

    async def _take(self):
        """Write that this process runs the job; tell whether it does."""
        if self._kept.state.runner == self._process_id:
            return True
        state = msgspec.structs.replace(self._kept.state, runner=self._process_id)
        kept = await self._store.change(self.job.id, self._kept, state)
        if not self._is_still_runner(kept):
            return False
        self._kept = kept
        self._on_state(self.job.id, kept)
        return not kept.state.is_ended

    def stop(self):
        """Start nothing more, and stop what is running."""
        self._is_over = True
        self._has_finished.set()
        self.waiting.clear()
        self._stop_running()

    async def hand_over(self):
        """Stop, once all that was made is kept for the next runner to go on from."""
        self._is_handed_over = True
        self.waiting += self._stop_running()
        self._has_finished.set()
        await self._has_ended.wait()

    def _stop_running(self):
        """Stop what is running; return it."""
        runs = list(self.running_by_id.values())
        self.running_by_id.clear()
        for run in runs:
            if run.task is not None:
                run.task.cancel()
        return runs

    def _has_unkept(self):
        return bool(self._finished) or any(self._with_unkept())

    async def _wait_for_results(self):
        if self._is_handed_over:
            return
        wait_ms = min(self._keep_left_ms(), KEEP_CHECK_MS)
        if wait_ms > 0:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._has_finished.wait()
            except TimeoutError:
                pass
        if self._keep_left_ms() <= 0:
            self._give_up()
        await self._clock.sleep_ms(GATHER_MS)

    def _keep_left_ms(self):
        kept_until_ms = self._kept.state.submitted_ms + self.policy.expire_after_ms
        return kept_until_ms - self._store.now_ms()

    def _give_up(self):
        left = self.waiting + list(self.running_by_id.values())
        if left:
            log.warning("Job %s: %d items are given up.", self.job.id, len(left))
        self.waiting.clear()
        for run in left:
            if run.task is not None:
                run.task.cancel()
            self.finish(run, is_completed=False)

    async def _write(self):
        """Write what has finished; tell whether this process still runs the job."""
        room = job_store.Room()
        results = list(
            itertools.takewhile(lambda r: room.take(len(r.text)), self._finished)
        )
        partials = self._partials(room)
        if not results and not partials:
            self._has_finished.clear()
            return True
        state = msgspec.structs.replace(
            self._kept.state, listed=self._kept.state.listed + len(results)
        )
        kept = await self._store.change(
            self.job.id, self._kept, state, results, partials.values()
        )
        if not self._is_still_runner(kept):
            return False
        if kept.state.listed == state.listed:
            for run, partial in partials.items():
                if run.generation == partial.generation:
                    run.kept_events = partial.first + len(partial.events)
            del self._finished[: len(results)]
            if not self._finished:
                self._has_finished.clear()
        self._kept = kept
        self._on_state(self.job.id, kept)
        return not kept.state.is_ended

    def _partials(self, room):
        """Return the partial texts that are long enough to be kept, by run."""
        partials = {}
        if not room.has_room:
            return partials
        for run in self._with_unkept():
            partial = run.unkept()
            if not room.take(sum(map(len, partial.events))):
                break
            partials[run] = partial
        return partials

    def _with_unkept(self):
        """Yield the items whose text has grown enough to be kept again."""
        least = 1 if self._is_handed_over else KEEP_EVENTS
        for run in itertools.chain(self.running_by_id.values(), self.waiting):
            if len(run.events) - run.kept_events >= least:
                yield run

    def _is_still_runner(self, kept):
        if kept is not None and kept.state.runner == self._process_id:
            return True
        runner = kept.state.runner if kept else "nobody; it is gone"
        log.warning("Job %s is run by %s now.", self.job.id, runner)
        if kept is not None:
            self._on_state(self.job.id, kept)
        return False

    def note_state(self, kept):
        """Take in what another process has written of the job.

        :param kept: the :class:`~goldcrestmoor.job.job_store.KeptState`.
        """
        if kept.version <= self._kept.version:
            return
        if kept.state.is_ended or kept.state.runner not in ("", self._process_id):
            self.stop()
