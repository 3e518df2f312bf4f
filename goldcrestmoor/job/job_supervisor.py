"""Tracks all stored batch jobs and runs those that this process is responsible for."""

import asyncio
import contextlib
import logging
import random

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.job.job_run import JobRun
from goldcrestmoor.job.job_store import VersionedState, decode_state
from goldcrestmoor.job.runner_choice import claim_delay_ms
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.jobs")

# Another host takes over a failed runner's jobs after this and the lease margin.
RUNNER_LEASE_MS = 1500
# If only this host has not reached the store for this long, other hosts have taken over
# its jobs: the lease, its margin and a claim.
CUT_OFF_TIMEOUT_MS = 3000
# Store outages last seconds; the end of one is noticed within a quarter of a second.
RETRY_DELAY_MS = 250
# Leases expire without an event that wakes the supervisor.
POLL_INTERVAL_MS = 200
# How often expired jobs are looked for, and how much longer than configured they stay.
CLEANUP_INTERVAL_MS = 5000


def runner_duty(model):
    """Return the name of the duty to run a model's jobs.

    :param model: the model; empty for jobs of no model.
    """
    return f"runner/{model}"


class JobSupervisor:
    """Tracks the state of every job and runs those of this host's models.

    One host runs all jobs of a model, so that successive steps reuse its connections to
    the engines. A lease selects that host, but only the conditional writes of the job's
    row guarantee that no two hosts run a job.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the :class:`~goldcrestmoor.job.job_store.JobStore`.
    :param duties: the :class:`~goldcrestmoor.process.duties.Duties`.
    :param scheduler: the :class:`~goldcrestmoor.job.scheduler.Scheduler`.
    :param routes: returns the ``RouteTable`` in effect.
    :param configuration: the
        :class:`~goldcrestmoor.process.routing.ConfigurationRow` that it was read from.
    :param process_id: the unique name of this process.
    :param zone: this host's availability zone.
    :param cores: the processor cores that this host may use.
    :param kept_ms: how long a job is retained after submission, in milliseconds.
    :param is_cut_off: returns whether only this host cannot reach the store.
    """

    __slots__ = (
        "state_by_job",
        "_clock",
        "_store",
        "_duties",
        "_scheduler",
        "_routes",
        "_configuration",
        "_process_id",
        "_zone",
        "_cores",
        "_changed",
        "_job_by_id",
        "_starting",
        "_reclaiming",
        "_runs_by_job",
        "_tasks",
        "_is_leaving",
        "_kept_ms",
        "_last_cleanup_ms",
        "_is_cut_off",
        "_cut_off_since_ms",
    )

    def __init__(
        self,
        *,
        clock,
        store,
        duties,
        scheduler,
        routes,
        configuration,
        process_id,
        zone,
        cores,
        kept_ms,
        is_cut_off,
    ):
        self.state_by_job = {}
        self._clock = clock
        self._store = store
        self._duties = duties
        self._scheduler = scheduler
        self._routes = routes
        self._configuration = configuration
        self._process_id = process_id
        self._zone = zone
        self._cores = cores
        self._changed = asyncio.Event()
        self._job_by_id = {}
        self._starting = set()
        self._reclaiming = set()
        self._runs_by_job = {}
        self._tasks = TaskGroup()
        self._is_leaving = False
        self._kept_ms = kept_ms
        self._last_cleanup_ms = clock.now_ms()
        self._is_cut_off = is_cut_off
        self._cut_off_since_ms = None

    def apply(self, changes):
        """Apply changes from the change feed of job states.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        for change in changes:
            if change.value is None:
                self._forget(change.key)
                continue
            try:
                stored = VersionedState(decode_state(change.value), change.version)
            except ServiceError as e:
                log.warning("Job %s skipped: %s", change.key, e)
                continue
            self.update_state(change.key, stored)

    def runs_model(self, model):
        """Return whether this host currently runs a model's jobs.

        :param model: the model.
        """
        return not self._is_leaving and self._duties.holds(runner_duty(model))

    def open_states(self):
        """Return the states of the jobs that have items to list, on all hosts."""
        return [
            stored.state
            for stored in self.state_by_job.values()
            if self._is_open(stored.state)
        ]

    def open_models(self):
        """Return the number of models with open jobs, on all hosts."""
        return len({state.model for state in self.open_states()})

    def update_state(self, job_id, stored):
        """Record a job's state, from the feed or from a write of this process.

        :param job_id: the job.
        :param stored: the :class:`~goldcrestmoor.job.job_store.VersionedState`.
        """
        known = self.state_by_job.get(job_id)
        if known is not None and known.version >= stored.version:
            return
        self.state_by_job[job_id] = stored
        run = self._runs_by_job.get(job_id)
        if run is not None:
            self._apply_to_run(run, stored)
        self.wake()

    def on_configuration(self):
        """Apply the configuration that came into effect to the jobs that run here."""
        for run in self._runs_by_job.values():
            run.wake()

    def wake(self):
        """Check again which jobs and duties to claim."""
        self._changed.set()
        self._changed = asyncio.Event()

    @contextlib.contextmanager
    def caching(self, job):
        """Cache a job while it is being stored, so that it can run without a read.

        The feed may report the job before the write that stores it gets a response.

        :param job: the :class:`~goldcrestmoor.job.job.Job`.
        """
        self._job_by_id[job.id] = job
        try:
            yield
        except BaseException:
            self._job_by_id.pop(job.id, None)
            raise

    async def wait_for_listed(self, job_id, after, timeout_ms):
        """Wait until more than a given number of a job's results are listed.

        :param job_id: the job.
        :param after: the number.
        :param timeout_ms: how long to wait, in milliseconds.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                while not self._has_listed(job_id, after):
                    await self._changed.wait()
        except TimeoutError:
            pass

    def _has_listed(self, job_id, after):
        stored = self.state_by_job.get(job_id)
        return stored is None or stored.state.is_ended or stored.state.listed > after

    async def run(self):
        """Claim and run jobs until cancelled."""
        while True:
            for job_id, stored in list(self.state_by_job.items()):
                if self._is_open(stored.state) and self._can_start(job_id):
                    self._starting.add(job_id)
                    self._tasks.start(self._claim_and_run(job_id), f"job {job_id}")
            self._reclaim_duties()
            self._stop_if_cut_off()
            self._start_cleanup()
            changed = self._changed
            try:
                async with asyncio.timeout(POLL_INTERVAL_MS / MS_PER_SECOND):
                    await changed.wait()
            except TimeoutError:
                pass

    async def hand_over(self, timeout_ms):
        """Claim no more jobs and hand the running ones over to the next runner.

        An item continues there from its last event within a fraction of a second;
        waiting for the longest item to finish would take many seconds.

        :param timeout_ms: the time limit for storing their output, in milliseconds.
        """
        self._is_leaving = True
        handed_over = [run.hand_over() for run in self._runs_by_job.values()]
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await asyncio.gather(*handed_over)
        except TimeoutError:
            log.warning("Storing the output of running items timed out.")

    async def close(self):
        """Cancel all running jobs."""
        await self._tasks.close()

    def _reclaim_duties(self):
        """Reclaim the duties of jobs that are run here, after a store outage.

        The jobs continue during the outage, as no other host can claim them either.
        If the duty stayed unclaimed, another host would claim it, read the jobs and
        reconnect to all engines.
        """
        if self._is_leaving or self._cut_off_since_ms is not None:
            return
        runs = [run for run in self._runs_by_job.values() if not run.is_over]
        for model in {run.job.model for run in runs} - self._reclaiming:
            name = runner_duty(model)
            if not self._duties.holds(name) and self._duties.is_claimable(name):
                self._reclaiming.add(model)
                self._tasks.start(self._reclaim(model), f"reclaim {name}")

    async def _reclaim(self, model):
        try:
            await self._duties.claim(runner_duty(model), RUNNER_LEASE_MS)
        except ServiceError as e:
            log.info("Reclaiming the duty to run jobs of %s failed: %s", model, e)
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        finally:
            self._reclaiming.discard(model)

    def _stop_if_cut_off(self):
        """Stop jobs that another host has taken over while this one was partitioned."""
        now_ms = self._clock.now_ms()
        if not self._is_cut_off():
            self._cut_off_since_ms = None
        elif self._cut_off_since_ms is None:
            self._cut_off_since_ms = now_ms
        elif now_ms - self._cut_off_since_ms > CUT_OFF_TIMEOUT_MS:
            for job_id, run in self._runs_by_job.items():
                if not run.is_over:
                    log.info(
                        "Job %s stopped: store unreachable from this host.", job_id
                    )
                    run.stop()

    def _start_cleanup(self):
        """Remove expired jobs; per model, only on the host that runs its jobs."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_cleanup_ms < CLEANUP_INTERVAL_MS:
            return
        self._last_cleanup_ms = now_ms
        try:
            store_ms = self._store.now_ms()
        except ServiceError:
            # No job is stored or removed before the store's first response.
            return
        for job_id, stored in list(self.state_by_job.items()):
            age_ms = store_ms - stored.state.submitted_ms
            is_old = age_ms > self._kept_ms + CLEANUP_INTERVAL_MS
            if is_old and self.runs_model(stored.state.model):
                self._tasks.start(self._remove(job_id, stored), f"remove {job_id}")

    async def _remove(self, job_id, stored):
        if self._is_open(stored.state):
            return
        try:
            await self._store.remove(job_id, stored)
        except ServiceError as e:
            log.info("Removing job %s failed: %s", job_id, e)
            return
        log.info("Job %s removed.", job_id)
        self._forget(job_id)

    def _is_open(self, state):
        return not state.is_ended and state.listed < state.total

    def _can_start(self, job_id):
        return not (
            self._is_leaving
            or self._cut_off_since_ms is not None
            or job_id in self._runs_by_job
            or job_id in self._starting
        )

    async def _claim_and_run(self, job_id):
        try:
            stored = self.state_by_job.get(job_id)
            if stored is None or not await self._acquire_duty(job_id, stored.state):
                return
            stored = self.state_by_job.get(job_id)
            if stored is None or not self._is_open(stored.state):
                return
            run = await self._create_run(job_id, stored)
            if run is not None:
                await self._run(run)
        except ServiceError as e:
            log.info("Starting job %s failed: %s", job_id, e)
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        finally:
            self._starting.discard(job_id)

    async def _acquire_duty(self, job_id, state):
        name = runner_duty(state.model)
        if self._duties.holds(name):
            return True
        if not self._duties.is_claimable(name):
            return False
        delay_ms = claim_delay_ms(
            has_job=job_id in self._job_by_id,
            held_duty=self._duties.was_last_held_here(name),
            is_same_zone=state.zone == self._zone,
            share=random.random(),
            cores=self._cores,
        )
        if delay_ms:
            await self._clock.sleep_ms(delay_ms)
            if self._is_leaving:
                return False
            if not self._duties.is_claimable(name) and not self._duties.holds(name):
                return False
        return await self._duties.claim(name, RUNNER_LEASE_MS)

    async def _create_run(self, job_id, stored):
        """Make this process a job's runner; return the run, or None if it cannot be."""
        job = self._job_by_id.pop(job_id, None)
        if job is None or job.account != stored.state.account:
            # What was cached is a submission of another account under the same id.
            job = await self._store.load(job_id, stored.state)
        listed_ids, partials = set(), {}
        if stored.state.runner:
            # The output of an earlier runner is read after it can no longer write.
            stored = await self._replace_runner(job_id, stored)
            if stored is None:
                return None
            listed_ids = await self._store.listed_ids(job_id, stored.state.listed)
            partials = await self._store.partials(job_id)
        if self._routes() is None:
            log.info("Job %s is not started yet: no routes are known here.", job_id)
            return None
        log.info(
            "Job %s of %s started here: %d items, %d listed, step %d.",
            job_id,
            job.model or "no model",
            stored.state.total,
            stored.state.listed,
            job.step,
        )
        return JobRun(
            job=job,
            stored=stored,
            process_id=self._process_id,
            listed_ids=listed_ids,
            partials=partials,
            routes=self._routes,
            configuration=self._configuration,
            clock=self._clock,
            store=self._store,
            on_state=self.update_state,
        )

    async def _replace_runner(self, job_id, stored):
        """Make this process a job's runner; return the state, or None if it is not."""
        state = msgspec.structs.replace(stored.state, runner=self._process_id)
        updated = await self._store.change(job_id, stored, state)
        if updated is None:
            self._forget(job_id)
            return None
        self.update_state(job_id, updated)
        if updated.state.runner != self._process_id or not self._is_open(updated.state):
            return None
        return updated

    async def _run(self, run):
        job_id = run.job.id
        self._runs_by_job[job_id] = run
        try:
            if not self._may_begin(run):
                log.info("Job %s is not run here: it changed while read.", job_id)
                return
            self._scheduler.add(run)
            await run.list_results()
        finally:
            self._scheduler.remove(run)
            del self._runs_by_job[job_id]

    def _may_begin(self, run):
        """Return whether a run may begin after what happened while its job was read.

        Until now the run was not registered, so no change has reached it.
        """
        stored = self.state_by_job.get(run.job.id)
        if stored is None or self._is_leaving:
            return False
        self._apply_to_run(run, stored)
        return not run.is_over

    def _apply_to_run(self, run, stored):
        run.apply_state(stored)
        if stored.state.is_ended:
            self._scheduler.keep_output(run)

    def _forget(self, job_id):
        self.state_by_job.pop(job_id, None)
        self._job_by_id.pop(job_id, None)
        run = self._runs_by_job.get(job_id)
        if run is not None:
            run.stop()
