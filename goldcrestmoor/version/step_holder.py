"""Accepting steps and answering pulls, here or at the step's holder."""

import asyncio
import contextlib
import logging

from goldcrestmoor import util, wire
from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import policies
from goldcrestmoor.version.step_messages import (
    CancelStep,
    PulledSamples,
    PullSamples,
    SubmitStep,
)
from goldcrestmoor.version.step_router import StepRouter
from goldcrestmoor.version.step_run import StepRun
from goldcrestmoor.version.step_state import StepState
from goldcrestmoor.version.steps import (
    Held,
    check,
    check_name,
    digest_of,
    oldest_version,
)

log = logging.getLogger("goldcrestmoor.steps")

MAX_STEPS = 64
PULL_SLICE_MS = 1000
CALL_MARGIN_MS = 1000
SUBMIT_TIMEOUT_MS = 5000
UNWANTED_MS = 5000
HAND_OVER_TIMEOUT_MS = 5000
HAND_OVER_POLL_MS = 20


class _Work:
    """A step held here and the task that works on it."""

    __slots__ = ("state", "task")

    def __init__(self, state, task):
        self.state = state
        self.task = task


class StepHolder:
    """The steps' front on every host, and the holder of some of them.

    :param clock: the clock.
    :param completions: the ``Completions``.
    :param store: the :class:`~goldcrestmoor.version.step_store.StepStore`.
    :param links: the ``PeerLinks``.
    :param ownership: the ``Ownership``.
    :param lease: the ``ConfigurationLease``.
    :param decisions: the ``Decisions``.
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
        ownership,
        lease,
        decisions,
        metrics,
        settings,
    ):
        self._clock = clock
        self._completions = completions
        self._store = store
        self._router = StepRouter(
            links=links,
            ownership=ownership,
            store=store,
            lease=lease,
            host_id=settings.host.id,
        )
        self._lease = lease
        self._decisions = decisions
        self._metrics = metrics
        self._settings = settings.steps
        self._start_order = policies.start_order(settings.policy)
        self._policy = settings.policy
        self._work_by_key = {}
        self._loading_by_key = {}
        self._tasks = util.TaskGroup()
        self._is_leaving = False
        links.register(PullSamples, self._on_pull)
        links.register(SubmitStep, self._on_submit)
        links.register(CancelStep, self._on_cancel)

    async def submit(self, spec):
        """Accept a step at its holder.

        :param spec: the :class:`~goldcrestmoor.version.steps.StepSpec`.
        :raises ServiceError: ``STEP_CONFLICT``, ``PLATFORM_UNAVAILABLE`` and others.
        """
        check(spec)
        await self._router.at_holder(
            spec.account,
            spec.step,
            SubmitStep(spec),
            SUBMIT_TIMEOUT_MS,
            self._on_submit,
        )

    async def pull(self, message):
        """Return samples that a trainer lacks, waiting for a first one.

        :param message: the :class:`PullSamples`.
        :return: the :class:`PulledSamples`.
        :raises ServiceError: ``STEP_UNKNOWN`` when the step has to be submitted.
        """
        check_name(message.step)
        started_ms = self._clock.now_ms()
        wait_ms = min(message.wait_ms, self._settings.pull_wait_ms)
        deadline = Deadline.after(self._clock, wait_ms)
        while True:
            # The wait is cut into slices, so that a holder that dies or freezes
            # meanwhile is noticed long before the caller's own wait is over.
            slice_ms = min(deadline.remaining_ms(), PULL_SLICE_MS)
            limit = min(message.max_samples, self._settings.max_pull_samples)
            part = _with_wait(message, slice_ms, limit)
            answer = await self._router.at_holder(
                message.account,
                message.step,
                part,
                slice_ms + CALL_MARGIN_MS,
                self._on_pull,
            )
            if answer.samples or answer.complete or deadline.passed():
                break
        idle_ms = self._clock.now_ms() - started_ms
        self._metrics.trainer_idle_ms.labels(message.account).inc(idle_ms)
        return answer

    async def cancel(self, account, step):
        """Stop work on a step and forget it.

        :param account: the account's name.
        :param step: the step's name.
        """
        check_name(step)
        message = CancelStep(account, step)
        await self._router.at_holder(
            account, step, message, SUBMIT_TIMEOUT_MS, self._on_cancel
        )

    @property
    def max_pull_samples(self):
        """The most samples in one answer."""
        return self._settings.max_pull_samples

    def steps(self):
        """Return the states of the steps held here."""
        return [work.state for work in self._work_by_key.values()]

    async def hand_over(self):
        """Give up the steps held here, once what was made is kept elsewhere."""
        self._is_leaving = True
        deadline = Deadline.after(self._clock, HAND_OVER_TIMEOUT_MS)
        while not deadline.passed() and not all(s.settled() for s in self.steps()):
            await self._clock.sleep_ms(HAND_OVER_POLL_MS)
        await self.close()

    async def close(self):
        """Stop all work."""
        for loading in self._loading_by_key.values():
            loading.cancel()
        await self._tasks.close()

    async def _on_submit(self, sender_id, message):
        self._check_staying()
        spec = message.spec
        zone = self._router.zone(spec.account)
        work = self._work_by_key.get((spec.account, spec.step))
        if work is not None:
            if digest_of(work.state.spec) != digest_of(spec):
                raise ServiceError(
                    ErrorKind.STEP_CONFLICT, "The step was submitted with other groups."
                )
            return wire.Done()
        self._check_room()
        place = await self._store.save_step(spec, zone)
        log.info("Step %s of %s is accepted on %s.", spec.step, spec.account, place)
        await self._find(spec.account, spec.step, spec)
        return wire.Done()

    async def _on_pull(self, sender_id, message):
        self._check_staying()
        state = await self._find(message.account, message.step)
        held = Held(frozenset(message.groups_held), frozenset(message.held))
        state.note_pull(held, message.version, self._clock.now_ms())
        deadline = Deadline.after(self._clock, message.wait_ms)
        while True:
            bound = self._router.account(message.account).staleness_bound
            samples, complete = state.answer(held, bound, message.max_samples)
            if samples or complete or deadline.passed():
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline.remaining_s()):
                    await state.wait_changed()
        self._note_delivery(state, samples)
        if complete and not samples:
            self._tasks.start(self._forget(state))
        return PulledSamples(samples, complete)

    def _note_delivery(self, state, samples):
        account = state.spec.account
        for sample in samples:
            lag = state.trainer_version - oldest_version(sample)
            self._metrics.staleness.labels(account).observe(max(0, lag))
        if samples:
            self._metrics.samples.labels(account, "answered").inc(len(samples))

    async def _on_cancel(self, sender_id, message):
        key = (message.account, message.step)
        self._drop(key)
        await self._store.forget(*key, self._router.zone(message.account))
        await self._store.records.delete_spec(*key)
        return wire.Done()

    async def _find(self, account, step, spec=None):
        key = (account, step)
        work = self._work_by_key.get(key)
        if work is not None:
            return work.state
        loading = self._loading_by_key.get(key)
        if loading is None:
            loading = asyncio.get_running_loop().create_task(self._load(key, spec))
            self._loading_by_key[key] = loading
            loading.add_done_callback(lambda _: self._loading_by_key.pop(key, None))
        return await asyncio.shield(loading)

    async def _load(self, key, spec):
        self._check_room()
        account, step = key
        zone = self._router.zone(account)
        try:
            found, groups, samples = await self._store.load(account, step, zone)
        except ServiceError:
            if spec is None:
                raise
            found, groups, samples = spec, [], ()
        if found is None:
            raise ServiceError(ErrorKind.STEP_UNKNOWN, "The step is not known.")
        deadline = Deadline.after(self._clock, found.deadline_ms)
        state = StepState(found, zone, deadline, self._clock.now_ms())
        for record in groups:
            state.adopt(record)
        for sample in samples:
            if state.put(sample):
                state.settle(sample, sample)
        task = self._tasks.start(self._run(key, state))
        self._work_by_key[key] = _Work(state, task)
        return state

    async def _run(self, key, state):
        hedges = self._policy.stragglers == "hedge"
        run = StepRun(
            state=state,
            clock=self._clock,
            completions=self._completions,
            store=self._store,
            lease=self._lease,
            decisions=self._decisions,
            metrics=self._metrics,
            hedge_percent=self._settings.hedge_percent if hedges else 0,
            is_wanted=self._is_wanted,
            start_order=self._start_order,
            resumes=self._policy.stragglers != "restart",
            drops_early=self._policy.drop_early,
        )
        await run.run()
        self._drop(key)

    def _is_wanted(self, state):
        # A host that is no longer the holder goes on while pulls still reach it,
        # then leaves the rest to the new one. What it made is kept elsewhere.
        if self._clock.now_ms() - state.pulled_ms < UNWANTED_MS:
            return True
        return self._router.is_here(state.spec.account, state.spec.step)

    def _check_staying(self):
        if self._is_leaving:
            raise ServiceError(ErrorKind.DRAINING, "This host is shutting down.")

    def _check_room(self):
        if len(self._work_by_key) + len(self._loading_by_key) > MAX_STEPS:
            raise ServiceError(ErrorKind.OVERLOADED, "Too many steps are held here.")

    def _drop(self, key):
        work = self._work_by_key.pop(key, None)
        if work is not None and work.task is not asyncio.current_task():
            work.task.cancel()

    async def _forget(self, state):
        key = (state.spec.account, state.spec.step)
        work = self._work_by_key.get(key)
        if work is not None and work.state is state:
            self._drop(key)
            await self._store.forget(*key, state.zone)


def _with_wait(message, wait_ms, max_samples):
    return PullSamples(
        message.account,
        message.step,
        message.groups_held,
        message.held,
        message.version,
        wait_ms,
        max_samples,
    )
