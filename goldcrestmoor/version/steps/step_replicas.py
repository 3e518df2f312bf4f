"""What this host keeps of steps, for their holders on other hosts and for its own."""

import collections

from goldcrestmoor import wire
from goldcrestmoor.clock import Deadline
from goldcrestmoor.version.steps.step_messages import (
    FetchStep,
    ForgetStep,
    HandOverStep,
    KeptStep,
    StoredSamples,
    StoreSamples,
    StoreStep,
)
from goldcrestmoor.version.steps.steps import digest_of, oldest_version

MAX_KEPT_STEPS = 128


class _Kept:
    """A step that is kept; samples made here are pending until they are settled."""

    __slots__ = ("spec", "digest", "sample_by_slot", "pending", "partials", "deadline")

    def __init__(self, spec, deadline):
        self.spec = spec
        self.digest = digest_of(spec)
        self.sample_by_slot = {}
        self.pending = set()
        self.partials = ()
        self.deadline = deadline


class StepReplicas:
    """Specifications and samples by step; the first sample of a slot stays.

    :param clock: the clock.
    :param links: the ``PeerLinks``.
    """

    __slots__ = ("_clock", "_kept_by_key")

    def __init__(self, *, clock, links):
        self._clock = clock
        self._kept_by_key = collections.OrderedDict()
        links.register(StoreStep, self._on_store_step)
        links.register(StoreSamples, self._on_store_samples)
        links.register(HandOverStep, self._on_hand_over)
        links.register(FetchStep, self._on_fetch_step)
        links.register(ForgetStep, self._on_forget_step)

    def samples(self, account, step):
        """Return the samples kept of a step, by slot."""
        kept = self._kept_by_key.get((account, step))
        return dict(kept.sample_by_slot) if kept else {}

    def claim(self, spec, sample, floor):
        """Keep a sample of this host's own, as pending, unless its slot has one.

        :param spec: the step's specification.
        :param sample: the sample.
        :param floor: the oldest weight version that the trainer still takes.
        :return: the sample that came first, or None.
        """
        kept = self._keep(spec)
        earlier = kept.sample_by_slot.get(sample.slot)
        if earlier is not None and oldest_version(earlier) >= floor:
            return earlier
        kept.sample_by_slot[sample.slot] = sample
        kept.pending.add(sample.slot)
        return None

    def settle(self, spec, winner):
        """Let a slot's sample stay for good.

        :param spec: the step's specification.
        :param winner: the sample that the slot goes to.
        """
        kept = self._keep(spec)
        kept.pending.discard(winner.slot)
        kept.sample_by_slot[winner.slot] = winner

    def fetch(self, message):
        """Return what is kept of a step, as a :class:`KeptStep`.

        :param message: the :class:`FetchStep`.
        """
        self._drop_expired()
        kept = self._kept_by_key.get((message.account, message.step))
        if kept is None:
            return KeptStep()
        return KeptStep(kept.spec, tuple(kept.sample_by_slot.values()), kept.partials)

    def forget(self, message):
        """Drop what is kept of a step.

        :param message: the :class:`ForgetStep`.
        """
        self._kept_by_key.pop((message.account, message.step), None)

    def _keep(self, spec):
        self._drop_expired()
        key = (spec.account, spec.step)
        kept = self._kept_by_key.get(key)
        if kept is None or kept.digest != digest_of(spec):
            deadline = Deadline.after(self._clock, spec.deadline_ms)
            kept = self._kept_by_key[key] = _Kept(spec, deadline)
        if len(self._kept_by_key) > MAX_KEPT_STEPS:
            self._kept_by_key.popitem(last=False)
        return kept

    def _drop_expired(self):
        passed = [k for k, v in self._kept_by_key.items() if v.deadline.passed()]
        for key in passed:
            del self._kept_by_key[key]

    async def _on_store_step(self, sender_id, message):
        self._keep(message.spec)
        return wire.Done()

    async def _on_store_samples(self, sender_id, message):
        kept = self._kept_by_key.get((message.account, message.step))
        if kept is None or kept.digest != message.digest:
            return StoredSamples(False)
        for sample in message.samples:
            # The first sample of a slot stays, whichever holder it came from,
            # unless it has become too old for the trainer.
            earlier = kept.sample_by_slot.get(sample.slot)
            if earlier is None or oldest_version(earlier) < message.floor:
                kept.sample_by_slot[sample.slot] = sample
                kept.pending.discard(sample.slot)
        slots = [sample.slot for sample in message.samples]
        stored = tuple(kept.sample_by_slot[slot] for slot in slots)
        return StoredSamples(True, stored, kept.pending.isdisjoint(slots))

    async def _on_hand_over(self, sender_id, message):
        self._keep(message.spec).partials = message.partials
        return wire.Done()

    async def _on_fetch_step(self, sender_id, message):
        return self.fetch(message)

    async def _on_forget_step(self, sender_id, message):
        self.forget(message)
        return wire.Done()
