"""Replicas of steps on this host, for holders on other hosts and on this one."""

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
from goldcrestmoor.version.steps.steps import oldest_version, spec_digest

MAX_REPLICAS = 128


class _Replica:
    """A replica of one step; this host's own samples are pending until confirmed."""

    __slots__ = ("spec", "digest", "sample_by_slot", "pending", "partials", "deadline")

    def __init__(self, spec, deadline):
        self.spec = spec
        self.digest = spec_digest(spec)
        self.sample_by_slot = {}
        self.pending = set()
        self.partials = ()
        self.deadline = deadline


class StepReplicas:
    """Specifications and samples by step; the first sample of each slot is retained.

    :param clock: the clock.
    :param links: the ``PeerLinks``.
    """

    __slots__ = ("_clock", "_replica_by_key")

    def __init__(self, *, clock, links):
        self._clock = clock
        self._replica_by_key = collections.OrderedDict()
        links.register(StoreStep, self._on_store_step)
        links.register(StoreSamples, self._on_store_samples)
        links.register(HandOverStep, self._on_hand_over)
        links.register(FetchStep, self._on_fetch_step)
        links.register(ForgetStep, self._on_forget_step)

    def samples(self, account, step):
        """Return the samples stored for a step, by slot."""
        replica = self._replica_by_key.get((account, step))
        return dict(replica.sample_by_slot) if replica else {}

    def claim(self, spec, sample, floor):
        """Store this host's own sample as pending, unless its slot has a sample.

        :param spec: the step's specification.
        :param sample: the sample.
        :param floor: the oldest weight version that the trainer still accepts.
        :return: the earlier sample of the slot, or None.
        """
        replica = self._get_or_create(spec)
        earlier = replica.sample_by_slot.get(sample.slot)
        if earlier is not None and oldest_version(earlier) >= floor:
            return earlier
        replica.sample_by_slot[sample.slot] = sample
        replica.pending.add(sample.slot)
        return None

    def confirm(self, spec, winner):
        """Make a sample final for its slot.

        :param spec: the step's specification.
        :param winner: the sample that was chosen for the slot.
        """
        replica = self._get_or_create(spec)
        replica.pending.discard(winner.slot)
        replica.sample_by_slot[winner.slot] = winner

    def fetch(self, message):
        """Return the replica of a step, as a :class:`KeptStep`.

        :param message: the :class:`FetchStep`.
        """
        self._drop_expired()
        replica = self._replica_by_key.get((message.account, message.step))
        if replica is None:
            return KeptStep()
        return KeptStep(
            replica.spec, tuple(replica.sample_by_slot.values()), replica.partials
        )

    def forget(self, message):
        """Drop the replica of a step.

        :param message: the :class:`ForgetStep`.
        """
        self._replica_by_key.pop((message.account, message.step), None)

    def _get_or_create(self, spec):
        self._drop_expired()
        key = (spec.account, spec.step)
        replica = self._replica_by_key.get(key)
        if replica is None or replica.digest != spec_digest(spec):
            deadline = Deadline.after(self._clock, spec.deadline_ms)
            replica = self._replica_by_key[key] = _Replica(spec, deadline)
        if len(self._replica_by_key) > MAX_REPLICAS:
            self._replica_by_key.popitem(last=False)
        return replica

    def _drop_expired(self):
        expired = [k for k, v in self._replica_by_key.items() if v.deadline.passed()]
        for key in expired:
            del self._replica_by_key[key]

    async def _on_store_step(self, sender_id, message):
        self._get_or_create(message.spec)
        return wire.Done()

    async def _on_store_samples(self, sender_id, message):
        replica = self._replica_by_key.get((message.account, message.step))
        if replica is None or replica.digest != message.digest:
            return StoredSamples(False)
        for sample in message.samples:
            # The first sample of a slot is retained, whichever holder sent it, unless
            # it has become too old for the trainer.
            earlier = replica.sample_by_slot.get(sample.slot)
            if earlier is None or oldest_version(earlier) < message.floor:
                replica.sample_by_slot[sample.slot] = sample
                replica.pending.discard(sample.slot)
        slots = [sample.slot for sample in message.samples]
        stored = tuple(replica.sample_by_slot[slot] for slot in slots)
        return StoredSamples(True, stored, replica.pending.isdisjoint(slots))

    async def _on_hand_over(self, sender_id, message):
        self._get_or_create(message.spec).partials = message.partials
        return wire.Done()

    async def _on_fetch_step(self, sender_id, message):
        return self.fetch(message)

    async def _on_forget_step(self, sender_id, message):
        self.forget(message)
        return wire.Done()
