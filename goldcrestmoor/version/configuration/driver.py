"""Apply an operator's change of the configuration on all hosts."""

import asyncio
import logging

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.version.configuration.cut_off import cut_off_part, make_proposal
from goldcrestmoor.version.configuration.messages import CutOffPrepared, PrepareCutOff
from goldcrestmoor.version.configuration.store import (
    ConfigurationStore,
    SupersededWrite,
    Written,
    new_token,
)

log = logging.getLogger("goldcrestmoor.configuration")

PREPARE_TIMEOUT_MS = 1500
PREPARE_ATTEMPTS = 2
MAX_PREPARES_IN_FLIGHT = 64
MAX_PREPARE_ROUNDS = 4
HOST_KIND = "host"


class Accepted(msgspec.Struct, frozen=True):
    """A change that is in effect on all hosts.

    :param version: the version that the change created.
    :param elapsed_ms: the time from the command to this outcome.
    """

    version: int
    elapsed_ms: int


class Refused(msgspec.Struct, frozen=True):
    """A change that was not made and never will be.

    :param reason: why the change was rejected.
    :param version: the platform's current version, or the newest one on this host.
    :param unresponsive_hosts: the hosts that did not acknowledge new cut-off terms.
    :param kind: the kind of error to report.
    """

    reason: str
    version: int
    unresponsive_hosts: tuple[str, ...] = ()
    kind: ErrorKind = ErrorKind.CONFIG_REFUSED


class Unknown(msgspec.Struct, frozen=True):
    """A change that may or may not have been made.

    :param message: what the operator should do.
    """

    message: str = "unknown, ask SHOW VERSION"


class ConfigurationDriver:
    """Apply changes of the configuration and report one outcome for each.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param table: the table service's client.
    :param objects: the object store's client.
    :param settings: the configuration section of the settings.
    :param lease: this host's configuration lease.
    :param links: the peer links.
    :param membership: the hosts that this host considers alive.
    :param host_list: the platform's list of hosts.
    :param host_id: this host's id.
    """

    __slots__ = (
        "_clock",
        "_store",
        "_settings",
        "_lease",
        "_links",
        "_membership",
        "_host_list",
        "_host_id",
        "_permits",
    )

    def __init__(
        self,
        *,
        clock,
        table,
        objects,
        settings,
        lease,
        links,
        membership,
        host_list,
        host_id,
    ):
        self._clock = clock
        self._store = ConfigurationStore(clock=clock, table=table, objects=objects)
        self._settings = settings
        self._lease = lease
        self._links = links
        self._membership = membership
        self._host_list = host_list
        self._host_id = host_id
        self._permits = asyncio.Semaphore(MAX_PREPARES_IN_FLIGHT)

    async def change(self, base_version, apply):
        """Make one atomic change, and return once it is in effect on all hosts.

        :param base_version: the version that the operator's change is based on; the
            platform's current version when None.
        :param apply: takes a configuration and returns the changed one; raises
            ServiceError when the change is invalid.
        :return: :class:`Accepted`, :class:`Refused` or :class:`Unknown`.
        """
        started_ms = self._clock.now_ms()
        deadline = Deadline.after(self._clock, self._settings.answer_timeout_ms)
        try:
            written = await self._make_change(base_version, apply, deadline)
        except ServiceError as e:
            if e.kind == ErrorKind.CONFIG_UNKNOWN:
                return Unknown()
            return Refused(e.message, self._lease.version, kind=e.kind)
        match written:
            case Written():
                return await self._wait_until_effective(written, started_ms, deadline)
            case SupersededWrite(version=version):
                return _conflict(version)
        return written

    async def read_current(self):
        """Return the platform's current configuration.

        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        return await self._fetch(await self._store.read_head())

    async def _make_change(self, base_version, apply, deadline):
        base = await self._store.read_head()
        if base_version is not None and base_version != base.version:
            return _conflict(base.version)
        if base.version < self._lease.version:
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"The platform's version {base.version} is older than this host's.",
            )
        old = await self._fetch(base)
        new = apply(old)
        token = new_token()
        proposal = make_proposal(
            token, base.version, cut_off_part(old), cut_off_part(new)
        )
        preconditions = ()
        if not proposal.is_empty():
            proposal, precondition = await self._store.save_proposal(proposal)
            preconditions = (precondition,)
            unresponsive = await self._prepare_hosts(proposal, deadline)
            if unresponsive:
                reason = f"Cut-off terms not acknowledged by {', '.join(unresponsive)}."
                return Refused(reason, base.version, unresponsive)
        # A write after this time could not take effect everywhere before the deadline.
        write_by = Deadline(self._clock, deadline.at_ms - self._propagation_ms())
        if write_by.passed():
            return Refused("Too little time was left to make the change.", base.version)
        return await self._store.write(base, new, token, write_by, preconditions)

    async def _fetch(self, head):
        if head.version == self._lease.version and self._lease.ready():
            return self._lease.configuration
        fetched = await self._store.fetch(head)
        return msgspec.structs.replace(fetched, version=head.version)

    def _propagation_ms(self):
        return self._settings.lease_ms + self._settings.lease_margin_ms

    async def _wait_until_effective(self, written, started_ms, deadline):
        # By then, every lease from a read sent before the write took effect has
        # expired, so each host has either adopted this version or no valid lease.
        effective_at = Deadline(
            self._clock, written.known_at_ms + self._propagation_ms()
        )
        if effective_at.at_ms > deadline.at_ms:
            return Unknown()
        while not effective_at.passed():
            await self._clock.sleep_ms(effective_at.remaining_ms())
        log.info("Version %d is in effect on all hosts.", written.version)
        return Accepted(written.version, self._clock.now_ms() - started_ms)

    async def _prepare_hosts(self, proposal, deadline):
        """Have every live host acknowledge a proposal; return those that did not."""
        answer_by_host = {}
        for _ in range(MAX_PREPARE_ROUNDS):
            pending = await self._unprepared_hosts(answer_by_host)
            if not pending or deadline.remaining_ms() < self._propagation_ms():
                return pending
            answers = await asyncio.gather(
                *(self._prepare_host(host_id, proposal) for host_id in pending)
            )
            pairs = list(zip(pending, answers, strict=True))
            unresponsive = tuple(host_id for host_id, answer in pairs if answer is None)
            if unresponsive:
                return unresponsive
            answer_by_host.update(pairs)
        return await self._unprepared_hosts(answer_by_host)

    async def _unprepared_hosts(self, answer_by_host):
        """Return the live hosts whose current incarnation has not acknowledged."""
        records = list(self._membership.live())
        listed = await self._host_list.fetch()
        hosts = {host.id for host in listed if host.kind == HOST_KIND}
        hosts |= {record.id for record in records} | {self._host_id}
        pending = hosts - set(answer_by_host)
        # A host that has restarted since then has lost the acknowledged proposal.
        for host_id, incarnation in _incarnations(records, answer_by_host):
            answer = answer_by_host.get(host_id)
            if answer is None or answer.incarnation < incarnation:
                pending.add(host_id)
        return tuple(sorted(pending))

    async def _prepare_host(self, host_id, proposal):
        if host_id == self._host_id:
            return self._prepare_self(proposal)
        async with self._permits:
            for _ in range(PREPARE_ATTEMPTS):
                try:
                    answer = await self._links.call(
                        host_id, PrepareCutOff(proposal), PREPARE_TIMEOUT_MS
                    )
                except ServiceError as e:
                    log.info("Host %s did not acknowledge the proposal: %s", host_id, e)
                    continue
                if isinstance(answer, CutOffPrepared):
                    return answer
        return None

    def _prepare_self(self, proposal):
        try:
            return self._lease.prepare(proposal)
        except ServiceError as e:
            log.info("This host did not acknowledge its own proposal: %s", e)
            return None


def _incarnations(records, answer_by_host):
    """Yield the id and an incarnation of each host that is known to run."""
    for record in records:
        yield record.id, record.incarnation
    for answer in answer_by_host.values():
        for recipient in answer.given_to:
            yield recipient.host_id, recipient.incarnation


def _conflict(version):
    return Refused(
        f"Another change came first; the current version is {version}.",
        version,
        kind=ErrorKind.CONFIG_CONFLICT,
    )
