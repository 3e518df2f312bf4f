"""The gateway on each host that forwards trainers' requests to a step's holder."""

from goldcrestmoor.clock import Deadline
from goldcrestmoor.version.steps.step_messages import (
    CancelStep,
    PulledSamples,
    PullSamples,
    SubmitStep,
)
from goldcrestmoor.version.steps.steps import (
    oldest_version,
    validate_spec,
    validate_step_name,
)

PULL_SLICE_MS = 500
CALL_MARGIN_MS = 500
SUBMIT_TIMEOUT_MS = 5000


class StepGateway:
    """Handle trainers' requests on whichever host receives them.

    :param clock: the clock.
    :param router: the :class:`~goldcrestmoor.version.steps.step_router.StepRouter`.
    :param holder: this host's
        :class:`~goldcrestmoor.version.steps.step_holder.StepHolder`.
    :param versions: the ``PublishedVersions``.
    :param metrics: the ``Metrics``.
    :param settings: the host's settings.
    """

    __slots__ = ("_clock", "_router", "_holder", "_versions", "_metrics", "_settings")

    def __init__(self, *, clock, router, holder, versions, metrics, settings):
        self._clock = clock
        self._router = router
        self._holder = holder
        self._versions = versions
        self._metrics = metrics
        self._settings = settings.steps

    @property
    def max_pull_samples(self):
        """The maximum number of samples in one response."""
        return self._settings.max_pull_samples

    async def submit(self, spec):
        """Submit a step to its holder.

        :param spec: the :class:`~goldcrestmoor.version.steps.steps.StepSpec`.
        :raises ServiceError: ``STEP_CONFLICT``, ``PLATFORM_UNAVAILABLE`` and others.
        """
        validate_spec(spec)
        await self._router.call_holder(
            spec.account,
            spec.step,
            SubmitStep(spec),
            SUBMIT_TIMEOUT_MS,
            self._holder.on_submit,
        )

    async def pull(self, message):
        """Return samples that a trainer does not have, waiting for the first one.

        :param message: the :class:`PullSamples`.
        :return: the :class:`PulledSamples`.
        :raises ServiceError: ``STEP_UNKNOWN`` when the step must be submitted first.
        """
        validate_step_name(message.step)
        started_ms = self._clock.now_ms()
        wait_ms = min(message.wait_ms, self._settings.pull_wait_ms)
        deadline = Deadline.after(self._clock, wait_ms)
        while True:
            # The wait is split into slices, so that a holder that fails or is paused
            # meanwhile is detected long before the caller's own wait ends.
            slice_ms = min(deadline.remaining_ms(), PULL_SLICE_MS)
            limit = min(message.max_samples, self._settings.max_pull_samples)
            message_slice = _with_limits(message, slice_ms, limit)
            answer = await self._router.call_holder(
                message.account,
                message.step,
                message_slice,
                slice_ms + CALL_MARGIN_MS,
                self._holder.on_pull,
            )
            answer = self._without_stale(message, answer)
            if answer.samples or answer.complete or deadline.passed():
                break
        idle_ms = self._clock.now_ms() - started_ms
        self._metrics.trainer_idle_ms.labels(message.account).inc(idle_ms)
        return answer

    async def cancel(self, account, step):
        """Stop work on a step and delete it.

        :param account: the account's name.
        :param step: the step's name.
        """
        validate_step_name(step)
        message = CancelStep(account, step)
        await self._router.call_holder(
            account, step, message, SUBMIT_TIMEOUT_MS, self._holder.on_cancel
        )

    def _without_stale(self, message, answer):
        """Return a reply without samples that became stale since it was sent."""
        model = self._router.model(answer.pool)
        published = self._versions.published_by(message.account, model)
        bound = self._router.account(message.account).staleness_bound
        floor = max(message.version, published) - bound
        fresh = tuple(s for s in answer.samples if oldest_version(s) >= floor)
        if len(fresh) == len(answer.samples):
            return answer
        return PulledSamples(fresh, False, answer.pool)


def _with_limits(message, wait_ms, max_samples):
    return PullSamples(
        message.account,
        message.step,
        message.groups_held,
        message.held,
        message.version,
        wait_ms,
        max_samples,
    )
