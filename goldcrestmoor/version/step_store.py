"""Where steps are kept: the platform, or two hosts while it is out."""

import asyncio
import collections
import enum
import logging

from goldcrestmoor import util, wire
from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.version.step_messages import (
    FetchStep,
    ForgetStep,
    KeptStep,
    StoredSamples,
    StoreSamples,
    StoreStep,
)
from goldcrestmoor.version.step_records import StepRecords
from goldcrestmoor.version.steps import digest_of, oldest_version

log = logging.getLogger("goldcrestmoor.steps")

MAX_KEPT_STEPS = 64
MAX_UNWRITTEN_STEPS = 64
REPLICA_CANDIDATES = 3
PEER_TIMEOUT_MS = 1000
SILENT_MS = 5000
MAX_SILENT_HOSTS = 1024
BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 5000
_PLATFORM_ERRORS = (ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)


class Place(enum.StrEnum):
    """Where something is recorded."""

    PLATFORM = "the platform"
    REPLICA = "two hosts"


class _Kept:
    """A step kept for another host."""

    __slots__ = ("spec", "digest", "sample_by_slot", "deadline")

    def __init__(self, spec, deadline):
        self.spec = spec
        self.digest = digest_of(spec)
        self.sample_by_slot = {}
        self.deadline = deadline


class StepStore:
    """Record steps and samples, and find them again after a holder's death.

    :param clock: the clock.
    :param table: a ``TableClient``.
    :param objects: an ``ObjectClient``.
    :param links: the ``PeerLinks``.
    :param membership: the ``Membership``.
    :param host_id: this host.
    """

    def __init__(self, *, clock, table, objects, links, membership, host_id):
        self.records = StepRecords(table=table, objects=objects)
        self._clock = clock
        self._links = links
        self._membership = membership
        self._host_id = host_id
        self._kept_by_key = collections.OrderedDict()
        self._unwritten_by_key = collections.OrderedDict()
        self._unwritten = asyncio.Event()
        self._silent_until_by_host = {}
        links.register(StoreStep, self._on_store_step)
        links.register(StoreSamples, self._on_store_samples)
        links.register(FetchStep, self._on_fetch_step)
        links.register(ForgetStep, self._on_forget_step)

    def hosts_for(self, account, step, zone):
        """Return the hosts that may hold a step, best first.

        Hosts of the account's zone come first, so that a zone that is cut off can
        go on with its own steps.

        :param account: the account's name.
        :param step: the step's name.
        :param zone: the account's zone.
        """
        near = [host.id for host in self._membership.live(zone)] if zone else []
        far = [host.id for host in self._membership.live() if host.id not in near]
        duty = f"step/{account}/{step}"
        return util.rendezvous_order(duty, near) + util.rendezvous_order(duty, far)

    async def save_step(self, spec, zone):
        """Make a submission durable.

        :param spec: the step's specification.
        :param zone: the account's zone.
        :return: the :class:`Place`.
        :raises ServiceError: ``STEP_CONFLICT``, or ``PLATFORM_UNAVAILABLE`` when
            neither the platform nor another host can keep it.
        """
        try:
            await self.records.save_spec(spec)
            return Place.PLATFORM
        except ServiceError as e:
            if e.kind not in _PLATFORM_ERRORS:
                raise
        kept = await self.fetch_kept(spec.account, spec.step, zone)
        if kept.spec is not None and digest_of(kept.spec) != digest_of(spec):
            raise ServiceError(
                ErrorKind.STEP_CONFLICT, "The step was submitted with other groups."
            )
        if not await self._replicate(StoreStep(spec), zone):
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE, "Nothing can keep the step."
            )
        self._write_later(spec)
        return Place.REPLICA

    async def save_sample(self, spec, sample, floor, zone):
        """Keep a sample of an incomplete group on another host.

        :param spec: the step's specification.
        :param sample: the sample.
        :param floor: the oldest weight version that the trainer still takes.
        :param zone: the account's zone.
        :return: the sample that the other host keeps for the slot, which is another
            holder's when that came first; the given one when no host answers.
        """
        message = StoreSamples(
            spec.account, spec.step, digest_of(spec), floor, (sample,)
        )
        kept = self._kept_by_key.get((spec.account, spec.step))
        if kept is not None and kept.digest == message.digest:
            earlier = kept.sample_by_slot.get(sample.slot)
            if earlier is not None and oldest_version(earlier) >= floor:
                return earlier
        for host_id in self._others(spec.account, spec.step, zone):
            stored = await self._call(host_id, message)
            if isinstance(stored, StoredSamples) and not stored.known:
                await self._call(host_id, StoreStep(spec))
                stored = await self._call(host_id, message)
            if isinstance(stored, StoredSamples) and stored.samples:
                return stored.samples[0]
        return sample

    async def load(self, account, step, zone):
        """Find a step and what was made of it.

        :return: the specification or None, the recorded rounds of its groups, and
            the further samples that other hosts keep.
        :raises ServiceError: the platform's errors, when no host keeps the step.
        """
        kept = await self.fetch_kept(account, step, zone)
        try:
            spec = await self.records.load_spec(account, step) or kept.spec
            groups = [] if spec is None else await self.records.load_groups(spec)
        except ServiceError as e:
            if e.kind not in _PLATFORM_ERRORS or kept.spec is None:
                raise
            spec, groups = kept.spec, []
        if kept.spec is None or spec is None or digest_of(spec) != digest_of(kept.spec):
            return spec, groups, ()
        return spec, groups, kept.samples

    async def fetch_kept(self, account, step, zone):
        """Return what this and the likely other hosts keep of a step.

        :return: a :class:`KeptStep` with one sample for each slot.
        """
        others = self._others(account, step, zone)
        message = FetchStep(account, step)
        answers = await asyncio.gather(
            *(self._call(host_id, message) for host_id in others)
        )
        spec, sample_by_slot = None, {}
        for kept in (await self._on_fetch_step(self._host_id, message), *answers):
            if not isinstance(kept, KeptStep) or kept.spec is None:
                continue
            spec = spec or kept.spec
            if digest_of(spec) != digest_of(kept.spec):
                continue
            for sample in kept.samples:
                sample_by_slot.setdefault(sample.slot, sample)
        return KeptStep(spec, tuple(sample_by_slot.values()))

    async def forget(self, account, step, zone):
        """Drop what hosts keep of a step that is done."""
        message = ForgetStep(account, step)
        await self._on_forget_step(self._host_id, message)
        self._unwritten_by_key.pop((account, step), None)
        others = self._others(account, step, zone)
        await asyncio.gather(*(self._call(host_id, message) for host_id in others))

    async def run(self):
        """Write to the platform what it missed while it was out."""
        backoff = util.Backoff(BACKOFF_MIN_MS, BACKOFF_MAX_MS)
        while True:
            await self._unwritten.wait()
            if not self._unwritten_by_key:
                self._unwritten.clear()
                continue
            key, spec = next(iter(self._unwritten_by_key.items()))
            try:
                await self.records.save_spec(spec)
                backoff.reset()
            except ServiceError as e:
                if e.kind in _PLATFORM_ERRORS:
                    await self._clock.sleep_ms(backoff.next_ms())
                    continue
                log.warning("Step %s of %s lost its record: %s", key[1], key[0], e)
            self._unwritten_by_key.pop(key, None)

    def _write_later(self, spec):
        self._unwritten_by_key[spec.account, spec.step] = spec
        while len(self._unwritten_by_key) > MAX_UNWRITTEN_STEPS:
            self._unwritten_by_key.popitem(last=False)
        self._unwritten.set()

    def _others(self, account, step, zone):
        hosts = self.hosts_for(account, step, zone)
        others = [h for h in hosts if h != self._host_id][:REPLICA_CANDIDATES]
        # A host that did not answer is asked last for a while, so that not every
        # sample waits for it until the fleet takes it for dead.
        now_ms = self._clock.now_ms()
        return sorted(
            others, key=lambda h: self._silent_until_by_host.get(h, 0) > now_ms
        )

    async def _replicate(self, message, zone):
        spec = message.spec
        for host_id in self._others(spec.account, spec.step, zone):
            if isinstance(await self._call(host_id, message), wire.Done):
                return True
        return False

    async def _call(self, host_id, message):
        try:
            return await self._links.call(host_id, message, PEER_TIMEOUT_MS)
        except ServiceError as e:
            log.info("Host %s did not answer about a step: %s", host_id, e)
            self._silent_until_by_host[host_id] = self._clock.now_ms() + SILENT_MS
            while len(self._silent_until_by_host) > MAX_SILENT_HOSTS:
                self._silent_until_by_host.pop(next(iter(self._silent_until_by_host)))
            return None

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
        stored = (kept.sample_by_slot[sample.slot] for sample in message.samples)
        return StoredSamples(True, tuple(stored))

    async def _on_fetch_step(self, sender_id, message):
        self._drop_expired()
        kept = self._kept_by_key.get((message.account, message.step))
        if kept is None:
            return KeptStep()
        return KeptStep(kept.spec, tuple(kept.sample_by_slot.values()))

    async def _on_forget_step(self, sender_id, message):
        self._kept_by_key.pop((message.account, message.step), None)
        return wire.Done()
