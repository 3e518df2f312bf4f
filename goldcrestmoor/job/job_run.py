"""A batch job that this process runs: its items and its unlisted results."""

import asyncio
import collections
import functools
import itertools
import logging
import sys

import msgspec

from goldcrestmoor.job import job_store, work_order
from goldcrestmoor.job.item_order import order_items
from goldcrestmoor.job.item_run import ItemRun, ItemTerms, encoded_size
from goldcrestmoor.job.job import Result
from goldcrestmoor.job.job_terms import (
    Expired,
    RouteRemoved,
    TooManyFailures,
    job_terms,
)

log = logging.getLogger("goldcrestmoor.jobs")
# Operators look here for why an item has ended.
items_log = logging.getLogger("goldcrestmoor.scheduler")

# Results are batched for this long before a write, which bounds how often a busy job
# writes to the store and sends an update to every host.
BATCH_DELAY_MS = 40
# The output of an item is stored whenever this many new events have accumulated, over
# a second of slot time. Most items are shorter and are never stored while they run.
MIN_UNSAVED_EVENTS = 30
# How often unsaved events are checked, which bounds the writes of a job without new
# results.
SAVE_CHECK_INTERVAL_MS = 700


class UnlistedResult:
    """A result until it is listed.

    :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun` that it is of.
    :param result: the :class:`~goldcrestmoor.job.job.Result`.
    :param abandon_reason: for an item that the configuration ends, a function that
        returns why that in effect does, or None once it does not; else None.
    """

    __slots__ = ("run", "result", "abandon_reason")

    def __init__(self, run, result, abandon_reason=None):
        self.run = run
        self.result = result
        self.abandon_reason = abandon_reason

    @property
    def depends_on_configuration(self):
        """Whether another configuration could give another result."""
        return self.abandon_reason is not None or len(self.result.versions) > 1

    def is_valid(self, terms):
        """Return whether the configuration in effect still gives this result.

        :param terms: the ``ItemTerms`` in effect.
        """
        if self.abandon_reason is not None:
            return self.abandon_reason() is not None
        return terms.allows(self.result.versions)


class JobRun:
    """Runs the items of a job until all are listed or another process runs the job.

    :param job: the :class:`~goldcrestmoor.job.job.Job`.
    :param stored: its :class:`~goldcrestmoor.job.job_store.VersionedState`, with this
        process as its runner, or without a runner.
    :param process_id: this process, by a name that no other has.
    :param listed_ids: the ids of the items whose results are already listed.
    :param partials: the stored partial outputs of the other items, by position.
    :param routes: returns the ``RouteTable`` in effect.
    :param configuration: the
        :class:`~goldcrestmoor.process.routing.ConfigurationRow` that it was read from.
    :param clock: the clock.
    :param store: the :class:`~goldcrestmoor.job.job_store.JobStore`.
    :param on_state: called with each :class:`VersionedState` written or received.
    :ivar waiting: the items that wait for an engine.
    :ivar running_by_id: the items whose text an engine generates.
    :ivar scoring_by_id: the items whose text is complete and has no score yet.
    :ivar resubmitted_groups: the groups that an ended job had left unfinished.
    :ivar needed_groups: the groups that its trainer is expected to wait for.
    """

    __slots__ = (
        "job",
        "waiting",
        "running_by_id",
        "scoring_by_id",
        "engine_by_group",
        "resubmitted_groups",
        "needed_groups",
        "_stopped",
        "_group_count",
        "_missing_by_group",
        "_stored",
        "_process_id",
        "_routes",
        "_table",
        "_terms",
        "_item_terms",
        "_checked_terms",
        "_configuration",
        "_clock",
        "_store",
        "_on_state",
        "_expired_count",
        "_listed_lost_groups",
        "_unlisted",
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
        routes,
        configuration,
        clock,
        store,
        on_state,
    ):
        self.job = job
        self._routes = routes
        self._configuration = configuration
        self._table = self._terms = self._item_terms = self._checked_terms = None
        self.waiting = [
            ItemRun(item, position, clock.now_ms())
            for position, item in enumerate(job.items)
            if item.id not in listed_ids
        ]
        for run in self.waiting:
            run.resume(partials.get(run.position, ()))
        self.running_by_id = {}
        self.scoring_by_id = {}
        self.engine_by_group = {}
        self.resubmitted_groups = set()
        self.needed_groups = frozenset()
        self._stopped = []
        self._group_count = len({item.group or item.id for item in job.items})
        self._missing_by_group = collections.Counter(run.group for run in self.waiting)
        self._stored = stored
        self._process_id = process_id
        self._clock = clock
        self._store = store
        self._on_state = on_state
        self._expired_count = 0
        self._listed_lost_groups = set()
        self._unlisted = []
        self._has_finished = asyncio.Event()
        self._is_over = False
        self._is_handed_over = False
        self._has_ended = asyncio.Event()
        self._started_ms = clock.now_ms()

    @property
    def is_over(self):
        """Whether no more items may be started."""
        return self._is_over or self._is_handed_over

    def terms(self):
        """Return the job's terms by the configuration in effect.

        :return: the :class:`~goldcrestmoor.job.job_terms.JobTerms`.
        """
        self._read_routes()
        return self._terms

    def item_terms(self):
        """Return the terms of the attempts at its items, by the same configuration.

        :return: the :class:`~goldcrestmoor.job.item_run.ItemTerms`.
        """
        self._read_routes()
        return self._item_terms

    def _read_routes(self):
        table = self._routes()
        if table is self._table:
            return
        self._table, job = table, self.job
        self._terms = job_terms(table, job)
        self._item_terms = ItemTerms(
            job.host,
            job.min_version,
            self._terms.single_version,
            table.sent_account(job.account),
            self._terms.services,
        )

    @property
    def priority(self):
        """The priority of the job; 0 is the most urgent."""
        return self.terms().priority

    @property
    def due_ms(self):
        """When its results are due, on the store's clock."""
        return self._stored.state.submitted_ms + self.terms().due_after_ms

    def age_ms(self):
        """Return how long this process has run the job, in milliseconds."""
        return self._clock.now_ms() - self._started_ms

    def next_items(self):
        """Return the waiting items in the order in which to start them."""
        return order_items(self.waiting)

    def due_in_ms(self):
        """Return the time until its results are due; negative after it has passed."""
        return self.due_ms - self._store.now_ms()

    def in_progress(self):
        """Return the unfinished items that do not wait for an engine."""
        return [*self.running_by_id.values(), *self.scoring_by_id.values()]

    def output_bytes(self):
        """Return the memory that the output of its items takes, in bytes."""
        runs = itertools.chain(self.waiting, self.in_progress())
        return sum(run.held_bytes for run in runs) + sum(
            sys.getsizeof(unlisted.result.text) for unlisted in self._unlisted
        )

    @property
    def lost_groups(self):
        """The groups with an abandoned item."""
        return self._listed_lost_groups | {
            work_order.group_key(unlisted.run)
            for unlisted in self._unlisted
            if not unlisted.result.is_completed
        }

    def unfinished_groups(self):
        """Return the groups with an unfinished item."""
        return {work_order.group_key(run) for run in self.waiting + self.in_progress()}

    def whole_groups(self):
        """Return the number of groups whose output is complete."""
        return self._group_count - len(self.unfinished_groups() | self.lost_groups)

    def start(self, run, engine):
        """Record that an item has been started at an engine.

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
        """Put an item back into the queue after an unsuccessful attempt.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        """
        self.running_by_id.pop(run.item.id, None)
        run.avoided_engine, run.engine = run.engine, None
        if not self.is_over:
            self.waiting.append(run)
            self.abandon_if_due(run)

    def start_scoring(self, run):
        """Record that an item's text is complete, so that only its score is missing.

        The text is stored at once: the next runner needs no engine to score it.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        """
        if run in self.waiting:
            self.waiting.remove(run)
        self.running_by_id.pop(run.item.id, None)
        self.scoring_by_id[run.item.id] = run
        self._has_finished.set()

    def missing_in_group(self, group):
        """Return the number of items of a group that have no result yet.

        :param group: the group.
        """
        return self._missing_by_group[group]

    def finish(self, run, is_completed, abandon_reason=None):
        """Record the result of an item, to be listed.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        :param is_completed: whether its output is complete; otherwise it is abandoned.
        :param abandon_reason: as for :class:`UnlistedResult`.
        """
        if run in self.waiting:
            self.waiting.remove(run)
        self.running_by_id.pop(run.item.id, None)
        self.scoring_by_id.pop(run.item.id, None)
        self._missing_by_group[run.group] -= 1
        if run.started_ms is not None:
            log.info(
                "Item %s of job %s %s: waited %d ms, then %d ms in %d attempts, last "
                "at %s; %d events, %d tokens expected.",
                run.item.id,
                self.job.id,
                "done" if is_completed else "abandoned",
                run.started_ms - self._started_ms,
                self._clock.now_ms() - run.started_ms,
                run.attempts,
                run.engine,
                len(run.events),
                run.expected_tokens,
            )
        text = "\n".join(run.events) if is_completed else ""
        versions = tuple(run.versions) if is_completed else ()
        score = run.score if is_completed else ""
        result = Result(run.item.id, is_completed, text, versions, score)
        if is_completed:
            # From here on, only the result holds the output.
            run.restart()
        self._unlisted.append(UnlistedResult(run, result, abandon_reason))
        self._has_finished.set()

    async def list_results(self):
        """Write results until all are listed or the job is over.

        The first write records this process as the runner. Items start before it
        completes: two hosts may run an item, but only one of them can list it.
        """
        try:
            if not await self._claim():
                return
            while self._stored.state.listed < self._stored.state.total:
                await self._wait_for_results()
                if self._is_over or not await self._write():
                    return
                if self._is_handed_over and not self._has_unsaved():
                    log.info("Job %s handed over to the next runner.", self.job.id)
                    return
            log.info("All results of job %s are listed.", self.job.id)
        finally:
            self.stop()
            self._has_ended.set()

    async def _claim(self):
        """Store this process as the runner; return whether it is, and the job open."""
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
        """Start no more items and cancel those that are running."""
        self._is_over = True
        self._has_finished.set()
        self._stopped += self.waiting
        self.waiting.clear()
        self._stopped += self._cancel_running()

    def take_stopped(self):
        """Return the items that were unfinished when the job was stopped, once."""
        stopped, self._stopped = self._stopped, []
        return stopped

    async def hand_over(self):
        """Stop once all output is stored for the next runner to continue from."""
        self._is_handed_over = True
        self.waiting += self._cancel_running()
        self._has_finished.set()
        await self._has_ended.wait()

    def _cancel_running(self):
        """Cancel the running items and reward calls, and return their items."""
        runs = self.in_progress()
        self.running_by_id.clear()
        self.scoring_by_id.clear()
        for run in runs:
            if run.task is not None:
                run.task.cancel()
        return runs

    def _has_unsaved(self):
        return bool(self._unlisted) or any(self._with_unsaved())

    async def _wait_for_results(self):
        if self._is_handed_over:
            return
        wait_ms = SAVE_CHECK_INTERVAL_MS
        if self.terms().route is not None:
            wait_ms = min(wait_ms, self.remaining_ms())
        if wait_ms > 0:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._has_finished.wait()
            except TimeoutError:
                pass
        self._abandon_due()
        await self._clock.sleep_ms(BATCH_DELAY_MS)

    def wake(self):
        """Check again which items are abandoned, after the configuration changed."""
        self._has_finished.set()

    def remaining_ms(self):
        """Return the time until its items may be abandoned, in milliseconds."""
        return self.terms().expire_after_ms - self._submitted_age_ms()

    def _submitted_age_ms(self):
        return self._store.now_ms() - self._stored.state.submitted_ms

    def _abandon_due(self):
        """Abandon the items that the configuration in effect no longer keeps."""
        terms = self.terms()
        is_unchanged = terms is self._checked_terms
        if is_unchanged and terms.route is not None and self.remaining_ms() > 0:
            # Failures are checked when they occur.
            return
        self._checked_terms = terms
        for run in [*self.waiting, *self.in_progress()]:
            self.abandon_if_due(run)
        if self._expired_count:
            log.warning(
                "Job %s expired: %d items abandoned.", self.job.id, self._expired_count
            )
            self._expired_count = 0

    def abandon_if_due(self, run):
        """Abandon an unfinished item if the configuration in effect says so.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        :return: whether it is abandoned.
        """
        match self._abandon_reason(run):
            case None:
                return False
            case RouteRemoved():
                items_log.warning(
                    "Job %s no longer has a route: item %s is abandoned.",
                    self.job.id,
                    run.item.id,
                )
            case TooManyFailures(count):
                items_log.info("Item %s failed %d times.", run.item.id, count)
            case Expired():
                self._expired_count += 1
        if run.task is not None:
            run.task.cancel()
            run.task = None
        self.finish(run, False, functools.partial(self._abandon_reason, run))
        return True

    def _abandon_reason(self, run):
        return self.terms().abandon_reason(
            self._submitted_age_ms(), run.failures, run.task is not None
        )

    def _recheck_unlisted(self):
        """Take back the results that the configuration in effect no longer gives."""
        terms, valid, resumed = self.item_terms(), [], []
        for unlisted in self._unlisted:
            if unlisted.is_valid(terms):
                valid.append(unlisted)
            else:
                resumed.append(unlisted.run)
        if not resumed:
            return
        log.info(
            "Job %s: %d items go on, as the configuration has changed.",
            self.job.id,
            len(resumed),
        )
        self._unlisted = valid
        self.waiting += resumed
        self._missing_by_group.update(run.group for run in resumed)

    async def _write(self):
        """Write finished results and partial outputs.

        :return: whether this process is still the runner and the job is open.
        """
        self._recheck_unlisted()
        budget = job_store.WriteBudget()
        unlisted = list(
            itertools.takewhile(
                lambda unlisted: budget.reserve(encoded_size(unlisted.result.text)),
                self._unlisted,
            )
        )
        results = [entry.result for entry in unlisted]
        condition = None
        if any(entry.depends_on_configuration for entry in unlisted):
            condition = self._configuration.unchanged()
        partials = self._partials(budget)
        if not results and not partials:
            self._has_finished.clear()
            return True
        state = msgspec.structs.replace(
            self._stored.state, listed=self._stored.state.listed + len(results)
        )
        stored = await self._store.change(
            self.job.id, self._stored, state, results, partials.values(), condition
        )
        if isinstance(stored, job_store.ConditionFailed):
            self._configuration.learn(stored.row)
            return True
        if not self._is_still_runner(stored):
            return False
        if stored.state.listed == state.listed:
            for run, partial in partials.items():
                if run.generation == partial.generation:
                    run.saved_events = partial.first + len(partial.events)
                    run.is_completion_saved = partial.is_complete
            del self._unlisted[: len(results)]
            self._listed_lost_groups.update(
                work_order.group_key(entry.run)
                for entry in unlisted
                if not entry.result.is_completed
            )
            if not self._unlisted:
                self._has_finished.clear()
        self._stored = stored
        self._on_state(self.job.id, stored)
        return not stored.state.is_ended

    def _partials(self, budget):
        """Return the partial outputs that are due to be stored, by run."""
        partials = {}
        if not budget.has_capacity:
            return partials
        for run in self._with_unsaved():
            partial = run.unsaved()
            if not budget.reserve(sum(map(encoded_size, partial.events))):
                break
            partials[run] = partial
        return partials

    def _with_unsaved(self):
        """Yield the items that have enough unsaved events, or an unsaved whole text."""
        min_events = 1 if self._is_handed_over else MIN_UNSAVED_EVENTS
        for run in itertools.chain(
            self.scoring_by_id.values(), self.running_by_id.values(), self.waiting
        ):
            has_unsaved_end = run.is_complete and not run.is_completion_saved
            if has_unsaved_end or len(run.events) - run.saved_events >= min_events:
                yield run

    def _is_still_runner(self, stored):
        if stored is not None and stored.state.runner == self._process_id:
            return True
        runner = stored.state.runner if stored else "nobody, as it was removed"
        log.warning("Job %s is now run by %s; stopped here.", self.job.id, runner)
        if stored is not None:
            self._on_state(self.job.id, stored)
        return False

    def apply_state(self, stored):
        """Apply a state of the job that another process may have written.

        :param stored: the :class:`~goldcrestmoor.job.job_store.VersionedState`.
        """
        if stored.version <= self._stored.version:
            return
        if stored.state.is_ended or stored.state.runner not in ("", self._process_id):
            self.stop()
