"""The holder of steps: accepts steps, runs them and replies to pulls."""

import asyncio
import contextlib
import logging

from goldcrestmoor import util, wire
from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import policies
from goldcrestmoor.version.steps.step_messages import (
    CancelStep,
    PulledSamples,
    PullSamples,
    SubmitStep,
)
from goldcrestmoor.version.steps.step_run import StepRun
from goldcrestmoor.version.steps.step_state import StepState
from goldcrestmoor.version.steps.step_store import LoadedStep
from goldcrestmoor.version.steps.steps import HeldSlots, oldest_version, spec_digest

log = logging.getLogger("goldcrestmoor.steps")

MAX_STEPS = 64
RECENT_PULL_MS = 5000
HAND_OVER_TIMEOUT_MS = 5000
HAND_OVER_POLL_MS = 20
MAX_HAND_OVER_CHARACTERS = 2_000_000


class _ActiveStep:
    """A step held by this host, with the run that fills it and the run's task."""

    __slots__ = ("state", "run", "task")

    def __init__(self, state, run, task):
        self.state = state
        self.run = run
        self.task = task


class StepHolder:
    """The steps that this host holds.

    :param clock: the clock.
    :param completions: the ``Completions``.
    :param store: the :class:`~goldcrestmoor.version.steps.step_store.StepStore`.
    :param links: the ``PeerLinks``.
    :param router: the :class:`~goldcrestmoor.version.steps.step_router.StepRouter`.
    :param lease: the ``ConfigurationLease``.
    :param versions: the ``PublishedVersions``.
    :param decisions: the ``DecisionLog``.
    :param metrics: the ``Metrics``.
    :param settings: the host's settings.
    """

    def __init__(
        self,
        *,
        clock,
        completions,
        store,
        links,
        router,
        lease,
        versions,
        decisions,
        metrics,
        settings,
    ):
        self._clock = clock
        self._completions = completions
        self._store = store
        self._router = router
        self._lease = lease
        self._versions = versions
        self._decisions = decisions
        self._metrics = metrics
        self._settings = settings.steps
        self._start_order = policies.start_order(settings.policy)
        self._policy = settings.policy
        self._active_by_key = {}
        self._load_task_by_key = {}
        self._tasks = util.TaskGroup()
        self._is_leaving = False
        links.register(PullSamples, self.on_pull)
        links.register(SubmitStep, self.on_submit)
        links.register(CancelStep, self.on_cancel)

    def steps(self):
        """Return the states of the steps held by this host."""
        return [active.state for active in self._active_by_key.values()]

    async def hand_over(self):
        """Release the held steps once their samples are stored on other hosts."""
        self._is_leaving = True
        deadline = Deadline.after(self._clock, HAND_OVER_TIMEOUT_MS)
        while not deadline.passed() and not all(
            s.is_fully_deliverable() for s in self.steps()
        ):
            await self._clock.sleep_ms(HAND_OVER_POLL_MS)
        hand_overs = (self._hand_over_step(key) for key in list(self._active_by_key))
        await asyncio.gather(*hand_overs)
        await self.close()

    async def _hand_over_step(self, key):
        # This host replies to pulls until the next holder can load every sample.
        active = self._active_by_key[key]
        partials = _limit_size(active.run.partials(), MAX_HAND_OVER_CHARACTERS)
        state = active.state
        await self._store.hand_over(state.spec, partials, state.zone)
        await self._stop(key)
        state.notify()

    async def close(self):
        """Stop all work."""
        for load_task in self._load_task_by_key.values():
            load_task.cancel()
        await self._tasks.close()

    async def on_submit(self, sender_id, message):
        """Accept a step and start to run it.

        :param sender_id: the requesting host.
        :param message: the :class:`SubmitStep`.
        """
        self._check_not_leaving()
        spec = message.spec
        zone = self._router.zone(spec.account)
        active = self._active_by_key.get((spec.account, spec.step))
        if active is not None:
            if spec_digest(active.state.spec) != spec_digest(spec):
                raise ServiceError(
                    ErrorKind.STEP_CONFLICT, "The step was submitted with other groups."
                )
            return wire.Done()
        self._check_capacity()
        location = await self._store.save_step(spec, zone)
        log.info(
            "Step %s of %s accepted; stored on %s.", spec.step, spec.account, location
        )
        await self._get_or_load(spec.account, spec.step, spec)
        return wire.Done()

    async def on_pull(self, sender_id, message):
        """Return samples that a trainer does not have, waiting for the first one.

        :param sender_id: the requesting host.
        :param message: the :class:`PullSamples`.
        :return: the :class:`PulledSamples`.
        """
        key = (message.account, message.step)
        self._check_accepts(key)
        state = await self._get_or_load(*key)
        held = HeldSlots(frozenset(message.groups_held), frozenset(message.held))
        state.record_pull(held, message.version, self._clock.now_ms())
        deadline = Deadline.after(self._clock, message.wait_ms)
        while True:
            self._check_accepts(key)
            if state.is_superseded:
                raise ServiceError(ErrorKind.DRAINING, "Another host holds the step.")
            self._record_published(state)
            bound = self._router.account(message.account).staleness_bound
            samples, complete = state.answer(held, bound, message.max_samples)
            if samples or complete or deadline.passed():
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline.remaining_s()):
                    await state.wait_changed()
        self._record_delivery(state, samples)
        if complete and not samples:
            self._tasks.start(self._delete_completed(state))
        return PulledSamples(samples, complete, state.spec.pool)

    def _record_published(self, state):
        # A trainer has every version that it published, even if its pulls report an
        # older one.
        model = self._router.model(state.spec.pool)
        state.record_version(self._versions.published_by(state.spec.account, model))

    def _record_delivery(self, state, samples):
        account = state.spec.account
        for sample in samples:
            lag = state.trainer_version - oldest_version(sample)
            self._metrics.staleness.labels(account).observe(max(0, lag))
        if samples:
            self._metrics.samples.labels(account, "answered").inc(len(samples))

    async def on_cancel(self, sender_id, message):
        """Stop work on a step and delete its replicas and records.

        :param sender_id: the requesting host.
        :param message: the :class:`CancelStep`.
        """
        key = (message.account, message.step)
        await self._stop(key)
        await self._store.forget(*key, self._router.zone(message.account))
        await self._store.records.delete(*key)
        return wire.Done()

    async def _get_or_load(self, account, step, spec=None):
        key = (account, step)
        active = self._active_by_key.get(key)
        if active is not None:
            return active.state
        load_task = self._load_task_by_key.get(key)
        if load_task is None:
            load_task = asyncio.get_running_loop().create_task(self._load(key, spec))
            self._load_task_by_key[key] = load_task
            load_task.add_done_callback(lambda _: self._load_task_by_key.pop(key, None))
        try:
            return await asyncio.shield(load_task)
        except asyncio.CancelledError:
            # The load was cancelled by this host's shutdown; callers try the next host.
            if load_task.cancelled():
                self._check_not_leaving()
            raise

    async def _load(self, key, spec):
        self._check_capacity()
        account, step = key
        zone = self._router.zone(account)
        try:
            loaded = await self._store.load(account, step, zone)
        except ServiceError:
            if spec is None:
                raise
            loaded = LoadedStep(spec)
        if loaded.spec is None:
            raise ServiceError(
                ErrorKind.STEP_UNKNOWN, "The step is unknown; submit it first."
            )
        deadline = Deadline.after(self._clock, loaded.spec.deadline_ms)
        state = StepState(loaded.spec, zone, deadline, self._clock.now_ms())
        state.holder_version = loaded.holder_version
        for record in loaded.groups:
            state.apply_record(record)
        for sample in loaded.replica.samples:
            if state.put(sample):
                state.confirm(sample, sample)
        run = self._make_run(state, loaded.replica.partials)
        task = self._tasks.start(self._run(key, state, run))
        self._active_by_key[key] = _ActiveStep(state, run, task)
        return state

    def _make_run(self, state, partials):
        hedges = self._policy.stragglers == "hedge"
        return StepRun(
            state=state,
            clock=self._clock,
            completions=self._completions,
            store=self._store,
            lease=self._lease,
            decisions=self._decisions,
            metrics=self._metrics,
            hedge_percent=self._settings.hedge_percent if hedges else 0,
            should_continue=self._should_continue,
            start_order=self._start_order,
            resumes=self._policy.stragglers != "restart",
            drops_early=self._policy.drop_early,
            partials=partials,
        )

    async def _run(self, key, state, run):
        await run.run()
        active = self._active_by_key.get(key)
        if active is not None and active.state is state:
            del self._active_by_key[key]

    def _should_continue(self, state):
        # A host that is no longer the holder continues while it still receives pulls,
        # then leaves the rest to the new holder. Its samples are stored on other hosts.
        self._record_published(state)
        if state.is_superseded:
            return False
        if self._clock.now_ms() - state.last_pull_ms < RECENT_PULL_MS:
            return True
        return self._router.is_local_holder(state.spec.account, state.spec.step)

    def _check_accepts(self, key):
        if key not in self._active_by_key:
            self._check_not_leaving()

    def _check_not_leaving(self):
        if self._is_leaving:
            raise ServiceError(ErrorKind.DRAINING, "This host is shutting down.")

    def _check_capacity(self):
        if len(self._active_by_key) + len(self._load_task_by_key) > MAX_STEPS:
            raise ServiceError(ErrorKind.OVERLOADED, "This host holds too many steps.")

    async def _stop(self, key):
        # A run that continued would have other hosts store the step again.
        active = self._active_by_key.pop(key, None)
        if active is not None:
            active.task.cancel()
            await asyncio.wait([active.task])

    async def _delete_completed(self, state):
        key = (state.spec.account, state.spec.step)
        active = self._active_by_key.get(key)
        if active is not None and active.state is state:
            await self._stop(key)
            await self._store.forget(*key, state.zone)
            try:
                await self._store.records.delete(*key)
            except ServiceError as e:
                log.info(
                    "Deletion of the records of step %s is left to the sweeper: %s",
                    key[1],
                    e,
                )


def _limit_size(partials, max_characters):
    """Yield partial outputs until their total length exceeds a limit."""
    total = 0
    for partial in partials:
        total += sum(len(segment.text) for segment in partial.segments)
        if total > max_characters:
            return
        yield partial
