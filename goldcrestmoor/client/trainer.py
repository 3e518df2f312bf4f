"""Client library for trainers: collects every sample of a step exactly once."""

import logging

import msgspec

from goldcrestmoor.client.transport import HostRing, checked, make_transport
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, Retry, ServiceError
from goldcrestmoor.util import Backoff
from goldcrestmoor.version.steps.step_routes import (
    PublishBody,
    PullAnswer,
    PullBody,
    SubmitBody,
)
from goldcrestmoor.version.steps.steps import oldest_version

log = logging.getLogger("goldcrestmoor.client")

PULL_WAIT_MS = 2000
TIMEOUT_MARGIN_MS = 2000
REQUEST_TIMEOUT_MS = 10000
BACKOFF_MIN_MS = 50
BACKOFF_MAX_MS = 2000
DEFAULT_DEADLINE_MS = 3_600_000
_RESUBMIT_KINDS = (ErrorKind.STEP_UNKNOWN, ErrorKind.PLATFORM_UNAVAILABLE)


class Step:
    """The trainer's state of a step: the submission and the samples received.

    :param body: the submission, as ``SubmitBody``.
    """

    __slots__ = ("body", "sample_by_slot", "staleness_by_slot", "_size_by_group")

    def __init__(self, body):
        self.body = body
        self.sample_by_slot = {}
        self.staleness_by_slot = {}
        self._size_by_group = {group.index: group.samples for group in body.groups}

    def complete(self):
        """Return whether every slot has a sample."""
        return len(self.sample_by_slot) == sum(self._size_by_group.values())

    def held(self):
        """Return the indexes of complete groups and the other slots with a sample."""
        slots_by_group = {}
        for slot in self.sample_by_slot:
            slots_by_group.setdefault(slot.group, []).append(slot)
        complete_groups = {
            g for g, s in slots_by_group.items() if len(s) == self._size_by_group[g]
        }
        other_slots = (
            s for s in sorted(self.sample_by_slot) if s.group not in complete_groups
        )
        return tuple(sorted(complete_groups)), tuple(other_slots)

    def needs_sample(self, slot):
        """Return whether a slot belongs to the step and has no sample yet."""
        size = self._size_by_group.get(slot.group, 0)
        return 0 <= slot.index < size and slot not in self.sample_by_slot


class TrainerClient:
    """Submits steps, collects their samples and publishes weight versions.

    :param urls: the hosts' base URLs, such as ``["http://127.0.0.1:8080"]``.
    :param token: the token of the trainer's client account.
    :param staleness_bound: the maximum number of versions that a sample may lag
        behind the current one.
    :param transport: sends the requests; by default created from the token.
    :param clock: the clock; by default a new :class:`~goldcrestmoor.clock.Clock`.
    """

    __slots__ = (
        "version",
        "idle_ms",
        "dropped_stale",
        "dropped_held",
        "_staleness_bound",
        "_hosts",
        "_transport",
        "_clock",
    )

    def __init__(self, urls, token, staleness_bound, transport=None, clock=None):
        self.version = 0
        self.idle_ms = 0
        self.dropped_stale = 0
        self.dropped_held = 0
        self._staleness_bound = staleness_bound
        self._hosts = HostRing(urls)
        self._transport = transport or make_transport(token)
        self._clock = clock or Clock()

    async def close(self):
        """Close the open connections, at the end of the event loop at the latest."""
        await self._transport.close()

    async def publish(self, model, version, timeout_ms=REQUEST_TIMEOUT_MS):
        """Publish a new weight version and make it the client's current version.

        :param model: the model's name.
        :param version: the new weight version.
        :param timeout_ms: the total time for all attempts, in milliseconds.
        """
        # The trainer already has the new weights, so the staleness of samples is
        # measured against them even while no host can be reached.
        self.version = max(self.version, version)
        body = PublishBody(model, version)
        await self._post_with_retries("/v1/versions", body, self._deadline(timeout_ms))

    async def submit(self, step, model, groups, timeout_ms, deadline_ms=None):
        """Submit a step; submitting the same step again is idempotent.

        :param step: the step's name.
        :param model: the pool whose engines generate the samples.
        :param groups: the groups, as ``GroupBody`` of the routes.
        :param timeout_ms: the total time for all attempts, in milliseconds.
        :param deadline_ms: how long the service works on the step, in milliseconds.
        :return: the :class:`Step`.
        """
        deadline_ms = deadline_ms or DEFAULT_DEADLINE_MS
        body = SubmitBody(step, model, self.version, tuple(groups), deadline_ms)
        await self._submit(body, self._deadline(timeout_ms))
        return Step(body)

    async def collect(self, step, timeout_ms):
        """Pull samples until every slot of the step has one.

        :param step: the :class:`Step`.
        :param timeout_ms: the total time for all pulls, in milliseconds.
        :return: the samples by slot.
        :raises ServiceError: when time is up, or on an error that is not retried.
        """
        deadline = self._deadline(timeout_ms)
        while not step.complete():
            if deadline.passed():
                raise ServiceError(
                    ErrorKind.QUEUE_TIMEOUT,
                    "The step is incomplete: some slots have no sample.",
                )
            await self.pull(step, deadline)
        await self._acknowledge(step)
        return step.sample_by_slot

    async def pull(self, step, deadline):
        """Pull once and store the samples that are accepted.

        :param step: the :class:`Step`.
        :param deadline: the :class:`~goldcrestmoor.clock.Deadline` for all attempts.
        :return: the accepted samples.
        """
        started_ms = self._clock.now_ms()
        wait_ms = min(PULL_WAIT_MS, deadline.remaining_ms())
        try:
            answer = await self._pull(step, wait_ms, deadline)
        except ServiceError as e:
            if e.kind not in _RESUBMIT_KINDS:
                raise
            log.info("Step %s will be resubmitted: %s", step.body.step, e)
            await self._submit(step.body, deadline)
            return []
        finally:
            self.idle_ms += self._clock.now_ms() - started_ms
        return [
            sample for sample in answer.samples if self._accept_sample(step, sample)
        ]

    def _accept_sample(self, step, sample):
        if not step.needs_sample(sample.slot):
            self.dropped_held += 1
            return False
        lag = self.version - oldest_version(sample)
        if lag > self._staleness_bound:
            # The version may have advanced while the response was in transit.
            self.dropped_stale += 1
            return False
        step.sample_by_slot[sample.slot] = sample
        step.staleness_by_slot[sample.slot] = max(0, lag)
        return True

    async def _pull(self, step, wait_ms, deadline):
        groups, slots = step.held()
        body = PullBody(self.version, slots, groups, wait_ms)
        path = f"/v1/steps/{step.body.step}/pull"
        data = await self._post_with_retries(
            path, body, deadline, wait_ms + TIMEOUT_MARGIN_MS, _RESUBMIT_KINDS
        )
        try:
            return msgspec.json.decode(data, type=PullAnswer)
        except msgspec.MsgspecError as e:
            raise ServiceError(
                ErrorKind.UPSTREAM_FAILED, "Malformed pull response."
            ) from e

    async def _acknowledge(self, step):
        # The last pull lists every slot as held, so that the service can delete the
        # step. If that pull fails, the service deletes the step at its deadline.
        try:
            await self._pull(step, 0, self._deadline(TIMEOUT_MARGIN_MS))
        except ServiceError as e:
            log.info("Step %s was not acknowledged: %s", step.body.step, e)

    async def _submit(self, body, deadline):
        await self._post_with_retries("/v1/steps", body, deadline)

    def _deadline(self, timeout_ms):
        return Deadline.after(self._clock, timeout_ms)

    async def _post_with_retries(
        self, path, body, deadline, timeout_ms=REQUEST_TIMEOUT_MS, raise_on=()
    ):
        # Every trainer request is idempotent, so it can be retried through another
        # host even when the outcome of the last attempt is unknown.
        data = msgspec.json.encode(body)
        backoff = Backoff(BACKOFF_MIN_MS, BACKOFF_MAX_MS)
        while True:
            wait_ms = max(1, min(timeout_ms, deadline.remaining_ms()))
            try:
                response = await self._transport.post(
                    self._hosts.current, path, data, wait_ms
                )
                return checked(response)
            except ServiceError as e:
                if e.kind in raise_on or _is_final(e):
                    raise
                if deadline.passed():
                    raise
                log.info(
                    "Request to host %s failed; retrying: %s", self._hosts.current, e
                )
            self._hosts.advance()
            pause_ms = min(backoff.next_ms(), deadline.remaining_ms())
            await self._clock.sleep_ms(pause_ms)


def _is_final(error):
    # Retrying resolves a submission whose outcome is unknown: it is idempotent.
    outcome_unknown = error.kind == ErrorKind.OUTCOME_UNKNOWN
    return error.answer.retry == Retry.NEVER and not outcome_unknown
