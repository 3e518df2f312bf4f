"""One step at its holder: which slots have samples, and who may get them."""

import asyncio

from goldcrestmoor.version.steps.steps import HeldSlots, oldest_version

MAX_ANSWER_CHARACTERS = 4_000_000


class StepState:
    """The samples of a step and the trainer's last word about it.

    :param spec: the step's specification.
    :param zone: the account's availability zone.
    :param deadline: until when the step is worked on.
    :param now_ms: the present time, on the clock's scale.
    """

    __slots__ = (
        "spec",
        "zone",
        "deadline",
        "group_by_index",
        "slots",
        "_slots_by_group",
        "sample_by_slot",
        "trainer_version",
        "held",
        "last_pull_ms",
        "holder_version",
        "is_superseded",
        "_deliverable",
        "_recorded",
        "_rounds_by_group",
        "_changed",
    )

    def __init__(self, spec, zone, deadline, now_ms):
        self.spec = spec
        self.zone = zone
        self.deadline = deadline
        self.group_by_index = {group.index: group for group in spec.groups}
        self.slots = frozenset(spec.slots())
        self._slots_by_group = {group.index: [] for group in spec.groups}
        for slot in spec.slots():
            self._slots_by_group[slot.group].append(slot)
        self.sample_by_slot = {}
        self.trainer_version = spec.base_version
        self.held = HeldSlots()
        self.last_pull_ms = now_ms
        self.holder_version = None
        self.is_superseded = False
        self._deliverable = set()
        self._recorded = set()
        self._rounds_by_group = {}
        self._changed = asyncio.Event()

    def supersede(self):
        """Note that another host has become the step's holder."""
        self.is_superseded = True
        self.notify()

    def put(self, sample):
        """Take in a sample unless its slot has one.

        :return: whether it was taken.
        """
        if sample.slot not in self.slots or sample.slot in self.sample_by_slot:
            return False
        self.sample_by_slot[sample.slot] = sample
        self.notify()
        return True

    def confirm(self, sample, winner):
        """Let the winner of a slot be delivered, in place of a sample made here.

        :param sample: the sample made here.
        :param winner: the one that was kept first; often the same.
        """
        if self.sample_by_slot.get(sample.slot) is sample:
            self.sample_by_slot[sample.slot] = winner
            self._deliverable.add(sample.slot)
            self.notify()

    def is_deliverable(self, slot):
        """Tell whether a slot's sample may be delivered."""
        return slot in self._deliverable

    def apply_record(self, record):
        """Take in a recorded round of a group, which goes before other samples.

        :param record: a :class:`~goldcrestmoor.version.steps.step_records.GroupRecord`.
        """
        for sample in record.samples:
            if sample.slot not in self.slots:
                continue
            self.sample_by_slot[sample.slot] = sample
            self._deliverable.add(sample.slot)
            self._recorded.add(sample.slot)
        self._rounds_by_group[record.group] = record.round + 1
        self.notify()

    def next_round(self, group):
        """Return the number of a group's next round.

        :param group: the group's index.
        """
        return self._rounds_by_group.get(group, 0)

    def unrecorded_samples(self, group):
        """Return a group's samples to record, once no slot of it lacks one.

        :param group: the group's index.
        """
        slots = self._slots_by_group[group]
        if any(s not in self.sample_by_slot and s not in self.held for s in slots):
            return []
        unrecorded = (s for s in slots if s not in self._recorded)
        return [self.sample_by_slot[s] for s in unrecorded if s in self.sample_by_slot]

    def missing_slots(self):
        """Return the slots that the trainer lacks and that have no sample."""
        sampled = self.sample_by_slot
        return {s for s in self.slots if s not in sampled and s not in self.held}

    def record_pull(self, held, version, now_ms):
        """Take in what a trainer says of itself.

        :param held: the :class:`HeldSlots` slots.
        :param version: its weight version; an older one than before is a pull that
            came late and changes nothing.
        :param now_ms: the present time, on the clock's scale.
        """
        self.held = held
        self.last_pull_ms = now_ms
        self.record_version(version)
        self.notify()

    def record_version(self, version):
        """Take in a weight version that the trainer is known to have.

        :param version: the version; an older one changes nothing.
        """
        self.trainer_version = max(self.trainer_version, version)

    def drop_stale(self, bound):
        """Drop samples that the trainer lacks and may no longer get.

        :param bound: the most versions that a sample may lag behind.
        :return: the slots that were dropped.
        """
        floor = self.trainer_version - bound
        stale_slots = [
            slot
            for slot, sample in self.sample_by_slot.items()
            if slot not in self.held and oldest_version(sample) < floor
        ]
        for slot in stale_slots:
            del self.sample_by_slot[slot]
            self._deliverable.discard(slot)
            self._recorded.discard(slot)
        return stale_slots

    def answer(self, held, bound, max_samples):
        """Return deliverable samples that a trainer lacks.

        :param held: the slots that it has.
        :param bound: the most versions that a sample may lag behind.
        :param max_samples: the most samples to return.
        :return: the samples, and whether the trainer is whole with them.
        """
        floor = self.trainer_version - bound
        missing = sorted(slot for slot in self.slots if slot not in held)
        fresh = [
            self.sample_by_slot[slot]
            for slot in missing
            if slot in self._deliverable
            and oldest_version(self.sample_by_slot[slot]) >= floor
        ]
        samples = tuple(_limit_size(fresh[:max_samples], MAX_ANSWER_CHARACTERS))
        return samples, len(samples) == len(missing)

    def is_fully_deliverable(self):
        """Tell whether every sample is recorded or kept by another host."""
        return len(self._deliverable) == len(self.sample_by_slot)

    async def wait_changed(self):
        """Wait until a sample or a pull comes in."""
        await self._changed.wait()

    def notify(self):
        """Have everyone look again who waits for a change."""
        self._changed.set()
        self._changed = asyncio.Event()


def _limit_size(samples, max_characters):
    """Yield samples until their text exceeds a bound; always the first one."""
    total = 0
    for sample in samples:
        total += sum(len(segment.text) for segment in sample.segments)
        if total > max_characters and sample is not samples[0]:
            return
        yield sample
