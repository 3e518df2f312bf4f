"""Where steps are kept: the platform, or two hosts while it is out."""

import asyncio
import collections
import enum
import logging

import msgspec

from goldcrestmoor import util, wire
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.version.steps.step_messages import (
    FetchStep,
    ForgetStep,
    HandOverStep,
    KeptStep,
    StoredSamples,
    StoreSamples,
    StoreStep,
)
from goldcrestmoor.version.steps.step_records import GroupRecord, StepRecords
from goldcrestmoor.version.steps.step_replicas import StepReplicas
from goldcrestmoor.version.steps.steps import StepSpec, digest_of

log = logging.getLogger("goldcrestmoor.steps")

MAX_UNWRITTEN_STEPS = 64
REPLICA_CANDIDATES = 3
PEER_TIMEOUT_MS = 1000
FETCH_TIMEOUT_MS = 500
SILENT_MS = 5000
MAX_SILENT_HOSTS = 1024
BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 5000
_PLATFORM_ERRORS = (ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)


class Place(enum.StrEnum):
    """Where something is recorded."""

    PLATFORM = "the platform"
    REPLICA = "two hosts"


class LoadedStep(msgspec.Struct, frozen=True):
    """A step as a new holder finds it.

    :param spec: the specification, or None.
    :param groups: the recorded rounds of its groups.
    :param kept: what other hosts keep besides.
    :param holder_version: the version of the holder's row; None while the platform
        is out.
    """

    spec: StepSpec | None
    groups: list[GroupRecord] = []
    kept: KeptStep = KeptStep()
    holder_version: int | None = None


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
        self.records = StepRecords(clock=clock, table=table, objects=objects)
        self._clock = clock
        self._links = links
        self._membership = membership
        self._host_id = host_id
        self._kept = StepReplicas(clock=clock, links=links)
        self._unwritten_by_key = collections.OrderedDict()
        self._unwritten = asyncio.Event()
        self._silent_until_by_host = {}

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
        duty = _duty(account, step)
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
            holder's when that came first; None when no host answers.
        """
        message = StoreSamples(
            spec.account, spec.step, digest_of(spec), floor, (sample,)
        )
        earlier = self._kept.claim(spec, sample, floor)
        if earlier is not None:
            return earlier
        # Every host that may hold the step is asked, for each of them may have made
        # a sample of its own, such as one that was frozen and woke.
        others = self._others(spec.account, spec.step, zone)
        silent = [h for h in others if self._is_silent(h)]
        asked = [h for h in others if h not in silent] or silent
        answers = await asyncio.gather(
            *(self._store_at(h, spec, message) for h in asked)
        )
        winner = _winner(sample, [a for a in answers if a is not None])
        self._kept.settle(spec, winner or sample)
        return winner

    async def _store_at(self, host_id, spec, message):
        stored = await self._call(host_id, message)
        if isinstance(stored, StoredSamples) and not stored.known:
            await self._call(host_id, StoreStep(spec))
            stored = await self._call(host_id, message)
        is_kept = isinstance(stored, StoredSamples) and stored.samples
        return stored if is_kept else None

    async def load(self, account, step, zone):
        """Find a step and what was made of it.

        :return: the :class:`LoadedStep`.
        :raises ServiceError: the platform's errors, when no host keeps the step.
        """
        kept = await self.fetch_kept(
            account, step, zone, self._lost(account, step, zone)
        )
        holder_version = None
        try:
            spec = await self.records.load_spec(account, step)
            if spec is None and kept.spec is not None:
                # Whoever was to write it may be dead.
                spec = kept.spec
                self._write_later(spec)
            groups = []
            if spec is not None:
                holder_version = await self.records.take_over(spec)
                groups = await self.records.load_groups(spec)
        except ServiceError as e:
            if e.kind not in _PLATFORM_ERRORS or kept.spec is None:
                raise
            spec, groups = kept.spec, []
            self._write_later(spec)
        if kept.spec is None or spec is None or digest_of(spec) != digest_of(kept.spec):
            return LoadedStep(spec, groups, KeptStep(), holder_version)
        for sample in kept.samples:
            self._kept.claim(spec, sample, 0)
            self._kept.settle(spec, sample)
        return LoadedStep(spec, groups, kept, holder_version)

    async def fetch_kept(self, account, step, zone, also=()):
        """Return what this and the likely other hosts keep of a step.

        :param also: further hosts to ask.
        :return: a :class:`KeptStep` with one sample for each slot.
        """
        others = self._others(account, step, zone)
        others += [host_id for host_id in also if host_id not in others]
        message = FetchStep(account, step)
        answers = await asyncio.gather(
            *(self._call(host_id, message, FETCH_TIMEOUT_MS) for host_id in others)
        )
        spec, sample_by_slot, partial_by_slot = None, {}, {}
        for kept in (self._kept.fetch(message), *answers):
            if not isinstance(kept, KeptStep) or kept.spec is None:
                continue
            spec = spec or kept.spec
            if digest_of(spec) != digest_of(kept.spec):
                continue
            for sample in kept.samples:
                sample_by_slot.setdefault(sample.slot, sample)
            for partial in kept.partials:
                partial_by_slot.setdefault(partial.slot, partial)
        return KeptStep(
            spec, tuple(sample_by_slot.values()), tuple(partial_by_slot.values())
        )

    async def hand_over(self, spec, partials, zone):
        """Have other hosts keep what the streams of a step had come to.

        :param spec: the step's specification.
        :param partials: the :class:`Partial` texts.
        :param zone: the account's zone.
        """
        message = HandOverStep(spec, tuple(partials))
        others = self._others(spec.account, spec.step, zone)
        await asyncio.gather(*(self._call(host_id, message) for host_id in others))

    async def forget(self, account, step, zone):
        """Drop what hosts keep of a step that is done."""
        message = ForgetStep(account, step)
        self._kept.forget(message)
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
        return sorted(others, key=self._is_silent)

    def _lost(self, account, step, zone):
        """Return the hosts that may hold a step though they count as dead here.

        A zone that was cut off goes on with its own steps, and is reached again
        before the news of its hosts has come.
        """
        near = [h.id for h in self._membership.all() if zone and h.zone == zone]
        near = util.rendezvous_order(_duty(account, step), near)[:REPLICA_CANDIDATES]
        live = {host.id for host in self._membership.live()}
        return [host_id for host_id in near if host_id not in live]

    def _is_silent(self, host_id):
        return self._silent_until_by_host.get(host_id, 0) > self._clock.now_ms()

    async def _replicate(self, message, zone):
        spec = message.spec
        for host_id in self._others(spec.account, spec.step, zone):
            if isinstance(await self._call(host_id, message), wire.Done):
                return True
        return False

    async def _call(self, host_id, message, timeout_ms=PEER_TIMEOUT_MS):
        try:
            return await self._links.call(host_id, message, timeout_ms)
        except ServiceError as e:
            log.info("Host %s did not answer about a step: %s", host_id, e)
            self._silent_until_by_host[host_id] = self._clock.now_ms() + SILENT_MS
            while len(self._silent_until_by_host) > MAX_SILENT_HOSTS:
                self._silent_until_by_host.pop(next(iter(self._silent_until_by_host)))
            return None


def _duty(account, step):
    return f"step/{account}/{step}"


def _winner(own, answers):
    """Return the sample that a slot goes to, by what other hosts keep, or None.

    Two holders that ask each other at once come to the same one.

    :param own: the sample made here.
    :param answers: the :class:`StoredSamples`, in the order in which all hosts rank
        those that gave them.
    """
    settled = [answer.samples[0] for answer in answers if answer.settled]
    if settled:
        return settled[0]
    pending = [own, *(answer.samples[0] for answer in answers)]
    return min(pending, key=lambda sample: sample.digest) if answers else None
