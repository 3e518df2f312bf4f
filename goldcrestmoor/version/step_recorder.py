"""Recording the samples of one step, before they are handed out."""

import logging

from goldcrestmoor.errors import ServiceError

log = logging.getLogger("goldcrestmoor.steps")

RETRY_MS = 3000


class StepRecorder:
    """Record whole groups on the platform and single samples on another host.

    :param state: the :class:`~goldcrestmoor.version.step_state.StepState`.
    :param store: the :class:`~goldcrestmoor.version.step_store.StepStore`.
    :param clock: the clock.
    :param tasks: the :class:`~goldcrestmoor.util.TaskGroup` of the step.
    """

    __slots__ = ("_state", "_store", "_clock", "_tasks", "_next_ms_by_group")

    def __init__(self, *, state, store, clock, tasks):
        self._state = state
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._next_ms_by_group = {}

    def start(self, floor):
        """Start to record every group that is whole and not recorded.

        :param floor: the oldest weight version that the trainer still takes.
        """
        now_ms = self._clock.now_ms()
        for group in self._state.group_by_index:
            if self._next_ms_by_group.get(group, 0) > now_ms:
                continue
            samples = self._state.unrecorded(group)
            if samples:
                # The entry keeps a second writer away until this one has ended.
                self._next_ms_by_group[group] = self._state.deadline.at_ms
                self._tasks.start(self._record(group, samples, floor))

    async def keep(self, sample, floor):
        """Have another host keep a new sample, unless its group can be recorded.

        :param sample: the sample.
        :param floor: the oldest weight version that the trainer still takes.
        """
        if not self._state.unrecorded(sample.slot.group):
            await self._replicate(sample, floor)

    async def _replicate(self, sample, floor):
        # With no other host alive the sample is handed out all the same: a slot
        # that the trainer has is never answered again, recorded or not.
        state = self._state
        winner = await self._store.save_sample(state.spec, sample, floor, state.zone)
        state.settle(sample, winner)

    async def _record(self, group, samples, floor):
        state = self._state
        number = state.next_round(group)
        try:
            record = await self._store.records.save_group(
                state.spec, group, number, samples
            )
        except ServiceError as e:
            log.info("Group %s of step %s waits: %s", group, state.spec.step, e)
            await self._replicate_waiting(samples, floor)
            retry_ms = max(RETRY_MS, e.retry_after_ms)
            self._next_ms_by_group[group] = self._clock.now_ms() + retry_ms
            return
        if not record.own:
            log.info("Group %s of step %s was recorded before.", group, state.spec.step)
        del self._next_ms_by_group[group]
        state.adopt(record)

    async def _replicate_waiting(self, samples, floor):
        for sample in samples:
            if not self._state.is_ready(sample.slot):
                await self._replicate(sample, floor)
