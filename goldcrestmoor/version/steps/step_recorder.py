"""Recording the samples of one step before they are delivered."""

import logging

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.version.steps.step_records import Superseded

log = logging.getLogger("goldcrestmoor.steps")

RETRY_MS = 3000


class StepRecorder:
    """Record complete groups on the platform and single samples on other hosts.

    :param state: the :class:`~goldcrestmoor.version.steps.step_state.StepState`.
    :param store: the :class:`~goldcrestmoor.version.steps.step_store.StepStore`.
    :param clock: the clock.
    :param tasks: the :class:`~goldcrestmoor.util.TaskGroup` of the step.
    """

    __slots__ = (
        "_state",
        "_store",
        "_clock",
        "_tasks",
        "_next_attempt_ms_by_group",
    ) + ("_unsaved",)

    def __init__(self, *, state, store, clock, tasks):
        self._state = state
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._next_attempt_ms_by_group = {}
        self._unsaved = set()

    def start(self):
        """Start to record every group that is complete and not yet recorded."""
        now_ms = self._clock.now_ms()
        for group in self._state.group_by_index:
            if self._next_attempt_ms_by_group.get(group, 0) > now_ms:
                continue
            samples = self._state.unrecorded_samples(group)
            # Samples are stored on other hosts first, so that no sample waits for the
            # platform and two holders that share a replica record the same samples.
            if samples and all(self._is_confirmed(sample) for sample in samples):
                # The entry prevents a second write until this one has ended.
                self._next_attempt_ms_by_group[group] = self._state.deadline.at_ms
                self._tasks.start(self._record(group, samples))

    def _is_confirmed(self, sample):
        return self._state.is_deliverable(sample.slot) or sample.digest in self._unsaved

    async def save(self, sample, floor):
        """Store a new sample on other hosts.

        :param sample: the sample.
        :param floor: the oldest weight version that the trainer still accepts.
        """
        state = self._state
        winner = await self._store.save_sample(state.spec, sample, floor, state.zone)
        if winner is None and state.unrecorded_samples(sample.slot.group):
            # The group's record is attempted before the sample is delivered unstored.
            self._unsaved.add(sample.digest)
            self.start()
            return
        # The sample is delivered even if no other host is alive: a slot that the
        # trainer has is never delivered again, whether or not it was recorded.
        state.confirm(sample, winner or sample)

    async def _record(self, group, samples):
        state = self._state
        round_number = state.next_round(group)
        records = self._store.records
        try:
            if state.holder_version is None:
                # The platform was unavailable when this host became the holder.
                state.holder_version = await records.take_over(state.spec)
            record = await records.save_group(
                state.spec, group, round_number, samples, state.holder_version
            )
        except Superseded:
            log.info(
                "Step %s stops here: another host has become its holder.",
                state.spec.step,
            )
            state.supersede()
            return
        except ServiceError as e:
            log.info(
                "Group %s of step %s was not recorded yet: %s",
                group,
                state.spec.step,
                e,
            )
            for sample in samples:
                state.confirm(sample, sample)
            retry_ms = max(RETRY_MS, e.retry_after_ms)
            self._next_attempt_ms_by_group[group] = self._clock.now_ms() + retry_ms
            return
        finally:
            self._unsaved.difference_update(sample.digest for sample in samples)
        if not record.own:
            log.info(
                "Group %s of step %s was already recorded by another write.",
                group,
                state.spec.step,
            )
        del self._next_attempt_ms_by_group[group]
        state.apply_record(record)
