"""Storage of steps: the platform, or two hosts while it is unavailable."""

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
from goldcrestmoor.version.steps.steps import StepSpec, spec_digest

log = logging.getLogger("goldcrestmoor.steps")

MAX_PENDING_SPECS = 64
REPLICA_CANDIDATES = 3
PEER_TIMEOUT_MS = 1000
FETCH_TIMEOUT_MS = 500
UNRESPONSIVE_MS = 5000
MAX_UNRESPONSIVE_HOSTS = 1024
BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 5000
_UNAVAILABLE_KINDS = (ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)


class StorageLocation(enum.StrEnum):
    """Where a step is stored."""

    PLATFORM = "the platform"
    REPLICA = "two hosts"


class LoadedStep(msgspec.Struct, frozen=True):
    """A step as loaded by a new holder.

    :param spec: the specification, or None.
    :param groups: the recorded rounds of its groups.
    :param replica: the samples and partial outputs that hosts store.
    :param holder_version: the version of the holder's row; None while the platform
        is unavailable.
    """

    spec: StepSpec | None
    groups: list[GroupRecord] = []
    replica: KeptStep = KeptStep()
    holder_version: int | None = None


class StepStore:
    """Store steps and samples, and load them again after a holder's failure.

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
        self._replicas = StepReplicas(clock=clock, links=links)
        self._pending_spec_by_key = collections.OrderedDict()
        self._has_pending_specs = asyncio.Event()
        self._unresponsive_until_by_host = {}

    def candidate_hosts(self, account, step, zone):
        """Return the hosts that may hold a step, best first.

        Hosts of the account's zone come first, so that a partitioned zone can continue
        its own steps.

        :param account: the account's name.
        :param step: the step's name.
        :param zone: the account's zone.
        """
        local_hosts = [host.id for host in self._membership.live(zone)] if zone else []
        remote_hosts = [
            host.id for host in self._membership.live() if host.id not in local_hosts
        ]
        duty = _duty(account, step)
        return util.rendezvous_order(duty, local_hosts) + util.rendezvous_order(
            duty, remote_hosts
        )

    async def save_step(self, spec, zone):
        """Make a submission durable.

        :param spec: the step's specification.
        :param zone: the account's zone.
        :return: the :class:`StorageLocation`.
        :raises ServiceError: ``STEP_CONFLICT``, or ``PLATFORM_UNAVAILABLE`` when
            neither the platform nor another host can store it.
        """
        try:
            await self.records.save_spec(spec)
            return StorageLocation.PLATFORM
        except ServiceError as e:
            if e.kind not in _UNAVAILABLE_KINDS:
                raise
        replica = await self.fetch_replicas(spec.account, spec.step, zone)
        if replica.spec is not None and spec_digest(replica.spec) != spec_digest(spec):
            raise ServiceError(
                ErrorKind.STEP_CONFLICT, "The step was submitted with other groups."
            )
        if not await self._replicate(StoreStep(spec), zone):
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "Neither the platform nor another host can store the step.",
            )
        self._enqueue_write(spec)
        return StorageLocation.REPLICA

    async def save_sample(self, spec, sample, floor, zone):
        """Store a sample of an incomplete group on other hosts.

        :param spec: the step's specification.
        :param sample: the sample.
        :param floor: the oldest weight version that the trainer still accepts.
        :param zone: the account's zone.
        :return: the sample that the slot gets, which is another holder's when that
            was stored first; None when no host replies.
        """
        message = StoreSamples(
            spec.account, spec.step, spec_digest(spec), floor, (sample,)
        )
        earlier = self._replicas.claim(spec, sample, floor)
        if earlier is not None:
            return earlier
        # The sample is sent to every host that may hold the step, because each may have
        # generated its own, such as a host that resumed after a process pause.
        replica_hosts = self._replica_hosts(spec.account, spec.step, zone)
        unresponsive = [h for h in replica_hosts if self._is_unresponsive(h)]
        targets = [h for h in replica_hosts if h not in unresponsive] or unresponsive
        answers = await asyncio.gather(
            *(self._store_on_host(h, spec, message) for h in targets)
        )
        winner = _winner(sample, [a for a in answers if a is not None])
        self._replicas.confirm(spec, winner or sample)
        return winner

    async def _store_on_host(self, host_id, spec, message):
        stored = await self._call(host_id, message)
        if isinstance(stored, StoredSamples) and not stored.known:
            await self._call(host_id, StoreStep(spec))
            stored = await self._call(host_id, message)
        is_stored = isinstance(stored, StoredSamples) and stored.samples
        return stored if is_stored else None

    async def load(self, account, step, zone):
        """Load a step with its recorded groups and replicas.

        :return: the :class:`LoadedStep`.
        :raises ServiceError: the platform's errors, when no host has a replica.
        """
        replica = await self.fetch_replicas(
            account, step, zone, self._dead_candidates(account, step, zone)
        )
        holder_version = None
        try:
            spec = await self.records.load_spec(account, step)
            if spec is None and replica.spec is not None:
                # The host that was to write it may have failed.
                spec = replica.spec
                self._enqueue_write(spec)
            groups = []
            if spec is not None:
                holder_version = await self.records.take_over(spec)
                groups = await self.records.load_groups(spec)
        except ServiceError as e:
            if e.kind not in _UNAVAILABLE_KINDS or replica.spec is None:
                raise
            spec, groups = replica.spec, []
            self._enqueue_write(spec)
        if (
            replica.spec is None
            or spec is None
            or spec_digest(spec) != spec_digest(replica.spec)
        ):
            return LoadedStep(spec, groups, KeptStep(), holder_version)
        for sample in replica.samples:
            self._replicas.claim(spec, sample, 0)
            self._replicas.confirm(spec, sample)
        return LoadedStep(spec, groups, replica, holder_version)

    async def fetch_replicas(self, account, step, zone, extra_hosts=()):
        """Return the merged replicas of this host and of a step's candidate hosts.

        :param extra_hosts: further hosts to query.
        :return: a :class:`KeptStep` with one sample for each slot.
        """
        replica_hosts = self._replica_hosts(account, step, zone)
        replica_hosts += [
            host_id for host_id in extra_hosts if host_id not in replica_hosts
        ]
        message = FetchStep(account, step)
        answers = await asyncio.gather(
            *(
                self._call(host_id, message, FETCH_TIMEOUT_MS)
                for host_id in replica_hosts
            )
        )
        spec, sample_by_slot, partial_by_slot = None, {}, {}
        for replica in (self._replicas.fetch(message), *answers):
            if not isinstance(replica, KeptStep) or replica.spec is None:
                continue
            spec = spec or replica.spec
            if spec_digest(spec) != spec_digest(replica.spec):
                continue
            for sample in replica.samples:
                sample_by_slot.setdefault(sample.slot, sample)
            for partial in replica.partials:
                partial_by_slot.setdefault(partial.slot, partial)
        return KeptStep(
            spec, tuple(sample_by_slot.values()), tuple(partial_by_slot.values())
        )

    async def hand_over(self, spec, partials, zone):
        """Store the partial outputs of a step's streams on other hosts.

        :param spec: the step's specification.
        :param partials: the :class:`Partial` outputs.
        :param zone: the account's zone.
        """
        message = HandOverStep(spec, tuple(partials))
        replica_hosts = self._replica_hosts(spec.account, spec.step, zone)
        await asyncio.gather(
            *(self._call(host_id, message) for host_id in replica_hosts)
        )

    async def forget(self, account, step, zone):
        """Drop the replicas of a step that needs no more work."""
        message = ForgetStep(account, step)
        self._replicas.forget(message)
        self._pending_spec_by_key.pop((account, step), None)
        replica_hosts = self._replica_hosts(account, step, zone)
        await asyncio.gather(
            *(self._call(host_id, message) for host_id in replica_hosts)
        )

    async def run(self):
        """Write pending specifications to the platform until cancelled."""
        backoff = util.Backoff(BACKOFF_MIN_MS, BACKOFF_MAX_MS)
        while True:
            await self._has_pending_specs.wait()
            if not self._pending_spec_by_key:
                self._has_pending_specs.clear()
                continue
            key, spec = next(iter(self._pending_spec_by_key.items()))
            try:
                await self.records.save_spec(spec)
                backoff.reset()
            except ServiceError as e:
                if e.kind in _UNAVAILABLE_KINDS:
                    await self._clock.sleep_ms(backoff.next_ms())
                    continue
                log.warning(
                    "Step %s of %s could not be recorded and is not retried: %s",
                    key[1],
                    key[0],
                    e,
                )
            self._pending_spec_by_key.pop(key, None)

    def _enqueue_write(self, spec):
        self._pending_spec_by_key[spec.account, spec.step] = spec
        while len(self._pending_spec_by_key) > MAX_PENDING_SPECS:
            self._pending_spec_by_key.popitem(last=False)
        self._has_pending_specs.set()

    def _replica_hosts(self, account, step, zone):
        hosts = self.candidate_hosts(account, step, zone)
        replica_hosts = [h for h in hosts if h != self._host_id][:REPLICA_CANDIDATES]
        # A host that did not reply is queried last for UNRESPONSIVE_MS, so that not
        # every sample waits for it until membership declares it dead.
        return sorted(replica_hosts, key=self._is_unresponsive)

    def _dead_candidates(self, account, step, zone):
        """Return the hosts that may hold a step although this host considers them dead.

        A partitioned zone continues its own steps, and becomes reachable again before
        the membership update about its hosts arrives.
        """
        local_hosts = [h.id for h in self._membership.all() if zone and h.zone == zone]
        local_hosts = util.rendezvous_order(_duty(account, step), local_hosts)[
            :REPLICA_CANDIDATES
        ]
        live = {host.id for host in self._membership.live()}
        return [host_id for host_id in local_hosts if host_id not in live]

    def _is_unresponsive(self, host_id):
        return self._unresponsive_until_by_host.get(host_id, 0) > self._clock.now_ms()

    async def _replicate(self, message, zone):
        spec = message.spec
        for host_id in self._replica_hosts(spec.account, spec.step, zone):
            if isinstance(await self._call(host_id, message), wire.Done):
                return True
        return False

    async def _call(self, host_id, message, timeout_ms=PEER_TIMEOUT_MS):
        try:
            return await self._links.call(host_id, message, timeout_ms)
        except ServiceError as e:
            log.info("Host %s did not reply to a message about a step: %s", host_id, e)
            self._unresponsive_until_by_host[host_id] = (
                self._clock.now_ms() + UNRESPONSIVE_MS
            )
            while len(self._unresponsive_until_by_host) > MAX_UNRESPONSIVE_HOSTS:
                self._unresponsive_until_by_host.pop(
                    next(iter(self._unresponsive_until_by_host))
                )
            return None


def _duty(account, step):
    return f"step/{account}/{step}"


def _winner(own, answers):
    """Return the sample that a slot gets, by the other hosts' replies, or None.

    Two holders that send each other their samples at the same time choose the same
    sample.

    :param own: the sample generated by this host.
    :param answers: the :class:`StoredSamples`, in the order in which all hosts rank
        the hosts that sent them.
    """
    settled = [answer.samples[0] for answer in answers if answer.settled]
    if settled:
        return settled[0]
    pending = [own, *(answer.samples[0] for answer in answers)]
    return min(pending, key=lambda sample: sample.digest) if answers else None
