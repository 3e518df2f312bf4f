"""Starts the items of all jobs that this process runs, as engines free slots."""

import asyncio
import functools
import logging

from goldcrestmoor.job.engine_choice import (
    UNKNOWN_MS_PER_EVENT,
    choose_engine,
    should_restart,
)
from goldcrestmoor.job.item_order import order_jobs
from goldcrestmoor.job.item_run import (
    Broken,
    Denied,
    Failed,
    Finished,
    Impossible,
    Moved,
    NotRun,
    Overlong,
)
from goldcrestmoor.job.partial_cache import PartialCache
from goldcrestmoor.job.stragglers import RunningItem, choose_moves
from goldcrestmoor.job.work_order import (
    HintScale,
    OpenJob,
    ServedAccounts,
    WorkClass,
    gives_up_in_ms,
    group_key,
    order_work,
    pool_capacity,
)
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.weights.load_plan import Demand

log = logging.getLogger("goldcrestmoor.scheduler")

# The backoff of an engine expires without an event that wakes the loop.
POLL_INTERVAL_MS = 100
# Ordering a thousand items takes 3 ms, and an item runs for about a second.
ORDER_INTERVAL_MS = 50
# An item that no other engine would run is back at the slow one, and stays this long.
MOVE_INTERVAL_MS = 1000


class Scheduler:
    """Assigns waiting items to engines.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param pool: the :class:`~goldcrestmoor.job.engine_pool.EnginePool`.
    :param executor: the :class:`~goldcrestmoor.job.item_run.ItemExecutor`.
    :param rewards: the :class:`~goldcrestmoor.job.reward_calls.RewardCaller`.
    :param routes: returns the ``RouteTable`` in effect.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_pool",
        "_executor",
        "_rewards",
        "_routes",
        "_metrics",
        "_runs_by_job",
        "_max_items_by_model",
        "_partials",
        "_hint_scale",
        "_served",
        "_order",
        "_ordered_ms",
        "_wakeup",
        "_tasks",
    )

    def __init__(self, *, clock, pool, executor, rewards, routes, metrics):
        self._clock = clock
        self._pool = pool
        self._executor = executor
        self._rewards = rewards
        self._routes = routes
        self._metrics = metrics
        self._runs_by_job = {}
        self._max_items_by_model = {}
        self._partials = PartialCache(clock=clock)
        self._hint_scale = HintScale()
        self._served = ServedAccounts()
        self._order = []
        self._ordered_ms = 0
        self._wakeup = asyncio.Event()
        self._tasks = TaskGroup()

    def add(self, job_run):
        """Add a job, whose items are then started.

        :param job_run: the :class:`~goldcrestmoor.job.job_run.JobRun`.
        """
        job = job_run.job
        self._runs_by_job[job.id] = job_run
        if job.model not in self._max_items_by_model:
            self._register_waiting_metrics(job.model)
        largest = self._max_items_by_model.get(job.model, 0)
        self._max_items_by_model[job.model] = max(largest, len(job.items))
        self._take_over_output(job_run)
        self._finish_complete(job_run)
        self._order = []
        self.wake()

    def _finish_complete(self, job_run):
        """Finish the items of a job whose text an earlier run of them completed."""
        for run in list(job_run.waiting):
            if run.is_complete:
                self._finish_text(job_run, run)

    def keep_output(self, job_run):
        """Keep the unfinished output of an ended job for items that come again.

        :param job_run: the :class:`~goldcrestmoor.job.job_run.JobRun`.
        """
        if not self._has_accounts():
            return
        job_run.stop()
        stopped = job_run.take_stopped()
        groups = {group_key(run) for run in stopped}
        # Without a decision yet, all groups are needed.
        needed = job_run.needed_groups or groups
        for group in groups:
            work_class = WorkClass.NEEDED if group in needed else WorkClass.SURPLUS
            self._metrics.groups_given_up.labels(work_class.name.lower()).inc()
        self._partials.keep(job_run.job, stopped)
        # The next step may have been accepted here before the feed reported the end.
        for other in self._runs_by_job.values():
            if not other.is_over:
                self._take_over_output(other)
                self._finish_complete(other)

    def _take_over_output(self, job_run):
        """Let the items of a job go on from the output that ended jobs have left."""
        if not self._has_accounts() or self._partials.is_empty():
            return
        job = job_run.job
        known = continued = 0
        for run in job_run.waiting + job_run.in_progress():
            output = self._partials.take(job, run.item)
            if output is None:
                continue
            known += 1
            job_run.resubmitted_groups.add(group_key(run))
            if (
                run.started_ms is None
                and not run.events
                and self._fits(job_run, run, output)
            ):
                run.take_over(output, self._clock.now_ms())
                continued += 1
        if known:
            log.info(
                "Job %s has %d items that an ended job had left unfinished; %d go on "
                "from earlier output.",
                job.id,
                known,
                continued,
            )

    def _fits(self, job_run, run, output):
        job, terms = job_run.job, job_run.terms()
        if terms.route is None:
            return False
        loads = self._pool.loads(terms.route.service_for(run.item.id), job.model)
        versions = {load.version for load in loads}
        return output.fits(run.item, job.min_version, terms.single_version, versions)

    def _has_accounts(self):
        table = self._routes()
        return table is not None and table.accounts is not None

    def remove(self, job_run):
        """Start no more of a job's items.

        :param job_run: the :class:`~goldcrestmoor.job.job_run.JobRun`.
        """
        if self._runs_by_job.get(job_run.job.id) is job_run:
            del self._runs_by_job[job_run.job.id]
            self._order = []

    def wake(self):
        """Check again for engines with free slots."""
        self._wakeup.set()

    def demand(self, model):
        """Return the demand for a model's engines.

        :param model: the model.
        :return: a :class:`~goldcrestmoor.version.weights.load_plan.Demand`.
        """
        runs = self._open_runs(model)
        waiting = [run for run in runs if run.waiting]
        return Demand(
            sum(len(run.waiting) for run in waiting),
            max((run.job.min_version for run in waiting), default=0),
            max((run.job.min_version for run in runs), default=0),
            self._max_items_by_model.get(model, 0),
        )

    def output_bytes(self):
        """Return the memory that the output of items takes, in bytes."""
        runs = self._runs_by_job.values()
        return self._partials.size + sum(run.output_bytes() for run in runs)

    def _open_runs(self, model):
        return [
            run
            for run in self._runs_by_job.values()
            if run.job.model == model and not run.is_over
        ]

    async def run(self):
        """Start items until cancelled."""
        while True:
            await self._wait()
            self._wakeup.clear()
            self._dispatch()
            self._move_stragglers()

    async def _wait(self):
        self._partials.expire()
        if not self._runs_by_job and self._partials.is_empty():
            await self._wakeup.wait()
            return
        try:
            async with asyncio.timeout(POLL_INTERVAL_MS / 1000):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    def _register_waiting_metrics(self, model):
        """Register gauges that count a model's waiting items when metrics are read."""
        self._metrics.items_waiting.labels(model).set_function(
            lambda: self.demand(model).waiting
        )
        self._metrics.items_waiting_ms.labels(model).set_function(
            lambda: max(
                (run.age_ms() for run in self._open_runs(model) if run.waiting),
                default=0,
            )
        )

    async def close(self):
        """Cancel all running items."""
        await self._tasks.close()

    def _dispatch(self):
        table = self._routes()
        if table is None:
            return
        if table.accounts is not None:
            self._dispatch_by_need()
            return
        for job_run in order_jobs(self._runs_by_job.values()):
            if job_run.is_over or not job_run.waiting:
                continue
            loads_by_service = {}
            for run in job_run.next_items():
                if not self._assign_engine(job_run, run, loads_by_service):
                    break

    def _dispatch_by_need(self):
        """Start waiting items, those first whose delay costs callers most."""
        now_ms = self._clock.now_ms()
        if not self._order or now_ms - self._ordered_ms >= ORDER_INTERVAL_MS:
            self._decide_order(now_ms)
        if self._order:
            self._start_in_order(now_ms)

    def _decide_order(self, now_ms):
        runs = [run for run in self._runs_by_job.values() if not run.is_over]
        pools = {run.terms().services for run in runs if run.waiting}
        if not self._has_free_engine(pools):
            return
        jobs = [self._open_job(run) for run in runs]
        capacity_by_pool = {
            job.pool: pool_capacity(self._pool_loads(job.pool), UNKNOWN_MS_PER_EVENT)
            for job in jobs
        }
        starved = self._served.starved(jobs, now_ms)
        self._order, needed_by_job = order_work(
            jobs, capacity_by_pool, self._hint_scale, starved
        )
        self._ordered_ms = now_ms
        for job in jobs:
            job.run.needed_groups = needed_by_job[job.id]

    def _start_in_order(self, now_ms):
        waiting = [run for run in self._runs_by_job.values() if run.waiting]
        pools = {run.terms().services for run in waiting}
        left, loads_by_model, full = [], {}, set()
        order = iter(self._order)
        for work in order:
            job_run, run = work.run, work.item
            job = job_run.job
            route = job_run.terms().route
            service = route.service_for(run.item.id) if route else None
            # Texts wait for engines of their software version, other items for any.
            need = (service, job.model, job.min_version)
            if not run.events and need in full:
                left.append(work)
                continue
            if job_run.is_over or run not in job_run.waiting:
                continue
            loads_by_service = loads_by_model.setdefault(job.model, {})
            may_go_on = self._assign_engine(job_run, run, loads_by_service)
            if run.item.id in job_run.running_by_id:
                # The engine has a slot less for the other models too.
                loads_by_model.clear()
                self._served.record(job.account, now_ms)
                self._metrics.items_started.labels(work.work_class.name.lower()).inc()
                continue
            left.append(work)
            if not may_go_on:
                full.add(need)
            if not self._has_free_engine(pools):
                break
        self._order = [*left, *order]

    def _has_free_engine(self, pools):
        """Return whether any engine of pools is free, or one has no engines."""
        return any(
            not pool
            or any(
                load.in_flight < load.slots and not load.is_blocked
                for load in self._pool_loads(pool)
            )
            for pool in pools
        )

    def _open_job(self, job_run):
        job, terms = job_run.job, job_run.terms()
        due_in_ms = job_run.due_in_ms()
        return OpenJob(
            run=job_run,
            id=job.id,
            account=job.account,
            priority=terms.priority,
            pool=terms.services,
            due_in_ms=due_in_ms,
            gives_up_in_ms=gives_up_in_ms(due_in_ms, terms.due_after_ms),
            target_groups=job.target_groups,
            whole_groups=job_run.whole_groups(),
            lost_groups=frozenset(job_run.lost_groups),
            resubmitted_groups=frozenset(job_run.resubmitted_groups),
            kept_groups=job_run.needed_groups,
            waiting=list(job_run.waiting),
            running=job_run.in_progress(),
            waited_ms=job_run.age_ms(),
        )

    def _pool_loads(self, services):
        """Return the loads of the engines of services, whatever their model."""
        return [load for name in services for load in self._pool.loads(name, "")]

    def _assign_engine(self, job_run, run, loads_by_service):
        """Start an item; return whether the items after it may find an engine too.

        :param loads_by_service: the loads of engines since the last item was started.
        """
        if job_run.abandon_if_due(run):
            return True
        if run.is_complete:
            # It was to be abandoned while it was scored.
            self._finish_text(job_run, run)
            return True
        job = job_run.job
        service = job_run.terms().route.service_for(run.item.id)
        loads = loads_by_service.get(service)
        if loads is None:
            loads = self._pool.loads(service, job.model)
            loads_by_service[service] = loads
        self._restart_text(job_run, run, loads)
        name = choose_engine(
            loads,
            job.min_version,
            job_run.engine_by_group.get(run.group, ""),
            (run.avoided_engine,),
            run.software_version if run.events else None,
            run.failed_at,
        )
        if name is None:
            # Engines of another software version, or those that it failed at, may be
            # free for the items after it.
            return bool(run.events or run.failed_at)
        engine = self._pool.upstream(name)
        self._pool.begin(engine)
        del loads_by_service[service]
        job_run.start(run, name)
        run.task = self._tasks.start(self._attempt(job_run, run, engine))
        # A task that is cancelled before it first runs executes none of its own code.
        run.task.add_done_callback(
            functools.partial(self._on_attempt_done, job_run, run, engine)
        )
        return True

    def _restart_text(self, job_run, run, loads):
        """Discard an item's text if waiting for its software version costs more."""
        if not run.events:
            return
        waited_ms = self._clock.now_ms() - run.progress_ms
        if should_restart(
            loads,
            job_run.job.min_version,
            run.software_version,
            len(run.events),
            waited_ms,
        ):
            log.info(
                "Item %s starts again without its %d events: no engine of software "
                "version %s is free, %d ms after the last event.",
                run.item.id,
                len(run.events),
                run.software_version or "unknown",
                waited_ms,
            )
            run.restart()

    async def _attempt(self, job_run, run, engine):
        if self._pool.is_limited(engine):
            if await self._pool.admit(engine):
                return Denied()
            # The engine was blocked for other items until this one was admitted.
            self.wake()
        last_event_ms = self._clock.now_ms()

        def on_events(count):
            nonlocal last_event_ms
            now_ms = self._clock.now_ms()
            if count:
                run.progress_ms = now_ms
                self._pool.record_events(engine, now_ms - last_event_ms, count)
            else:
                self._pool.record_accepted(engine)
            last_event_ms = now_ms

        return await self._executor.attempt(run, engine, job_run.item_terms, on_events)

    def _on_attempt_done(self, job_run, run, engine, task):
        """Clean up after an attempt and handle its outcome."""
        self._pool.end(engine)
        self.wake()
        if run.task is not task:
            # The item was abandoned, and may run again by now.
            return
        run.task = None
        if run.item.id not in job_run.running_by_id:
            # The job is over, or was handed over to another runner.
            return
        if not task.cancelled():
            failure = task.exception()
            outcome = Broken(f"{failure!r}") if failure else task.result()
            self._handle_outcome(job_run, run, engine, outcome)
        elif run.is_moving:
            self._handle_outcome(job_run, run, engine, Moved())

    def _move_stragglers(self):
        """Move items away from engines that are much slower than the others."""
        for job_run in self._runs_by_job.values():
            if job_run.waiting or not job_run.running_by_id:
                continue
            for service in job_run.terms().services:
                self._move_stragglers_from(job_run, service)

    def _move_stragglers_from(self, job_run, service):
        loads = self._pool.loads(service, job_run.job.model)
        for software_version in sorted({load.software_version for load in loads}):
            same = [load for load in loads if load.software_version == software_version]
            self._move_stragglers_between(job_run, same)

    def _move_stragglers_between(self, job_run, loads):
        """Move items between engines of one software version, which can resume them.

        :param loads: their :class:`~goldcrestmoor.job.engine_choice.EngineLoad`.
        """
        now_ms = self._clock.now_ms()
        load_by_name = {load.name: load for load in loads}
        running = [
            RunningItem(run.item.id, run.engine, len(run.events))
            for run in job_run.running_by_id.values()
            if run.engine in load_by_name
            and (run.moved_ms is None or now_ms - run.moved_ms >= MOVE_INTERVAL_MS)
        ]
        free_by_engine = {
            load.name: load.slots - load.in_flight
            for load in loads
            if load.version >= job_run.job.min_version
            and not load.is_blocked
            and not load.is_limited
        }
        ms_per_event_by_engine = {
            load.name: load.ms_per_event
            for load in loads
            if load.ms_per_event is not None
        }
        for item_id in choose_moves(running, ms_per_event_by_engine, free_by_engine):
            run = job_run.running_by_id[item_id]
            if run.is_moving:
                continue
            log.info(
                "Item %s moves away from slow engine %s after %d events.",
                item_id,
                run.engine,
                len(run.events),
            )
            run.is_moving = True
            run.moved_ms = now_ms
            run.task.cancel()

    def _finish_text(self, job_run, run):
        """List an item whose text is complete, after its reward call if it has one."""
        if run.item.reward_call is None:
            job_run.finish(run, is_completed=True)
        else:
            job_run.start_scoring(run)
            self._rewards.add(job_run, run)

    def _handle_outcome(self, job_run, run, engine, outcome):
        self._metrics.items.labels(type(outcome).__name__.lower()).inc()
        match outcome:
            case Finished():
                run.is_complete = True
                self._hint_scale.record(len(run.events), run.expected_tokens)
                self._finish_text(job_run, run)
                return
            case Impossible():
                log.info(
                    "Item %s can never be done, as reported by its engine.", run.item.id
                )
                job_run.finish(run, is_completed=False)
                return
            case Failed():
                run.failures += 1
                run.failed_at.add(engine.name)
                run.restart()
            case Denied():
                log.debug("Item %s was not admitted at %s.", run.item.id, engine.name)
            case Moved():
                run.is_moving = False
            case NotRun(reason):
                self._pool.record_rejected(engine)
                log.debug("Item %s not run at %s: %s", run.item.id, engine.name, reason)
            case Overlong(reason):
                self._pool.record_overlong(engine)
                log.warning(
                    "Item %s starts again, as %s of %s sent too much: %s.",
                    run.item.id,
                    engine.name,
                    engine.service,
                    reason,
                )
            case Broken(reason):
                self._pool.record_interrupted(engine)
                log.info(
                    "Item %s broken off at %s after %d events: %s",
                    run.item.id,
                    engine.name,
                    len(run.events),
                    reason,
                )
        job_run.requeue(run)
