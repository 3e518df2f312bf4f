"""Leases on duties that need one holder, stored in the table service.

A lease avoids duplicate work; correctness never depends on it alone, because its
holder may be paused between a check and the action. Load orders carry the lease's
fencing number.
"""

import collections
import logging
import secrets

import msgspec

from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import lease_rows
from goldcrestmoor.process.lease_rows import TABLE, LeaseRow
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.leases")

# A renewal may be in transit while the store answers slowly, and clocks may differ
# slightly.
TAKEOVER_MARGIN_MS = 1000
# While the store is slow, a holder's renewals queue behind other hosts' writes: three
# hosts that write one after another, twice each.
TAKEOVER_MARGIN_LATENCIES = 10
# The lease survives two lost renewals.
RENEWALS_PER_DURATION = 3
# Bounds memory use; several times the number of duties in a fleet.
MAX_OBSERVED_ROWS = 1000
# Long enough that no two processes generate the same token.
TOKEN_BYTES = 12


class Lease:
    """One holding of a duty.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param name: the duty.
    :param row: the :class:`~goldcrestmoor.process.lease_rows.LeaseRow` written.
    :param version: the version of the row that it replaces; 0 for none.
    :param was_released: whether no earlier holder can still be active, because
        there was none or it released the duty itself.
    :param continues_own: whether the last holder was this host, and its lease was
        settled, or there was none.
    :ivar acquired_ms: when the lease was acquired.
    """

    __slots__ = (
        "name",
        "row",
        "version",
        "was_released",
        "continues_own",
        "acquired_ms",
        "expires_ms",
        "lost",
        "_clock",
    )

    def __init__(self, clock, name, row, version, was_released, continues_own=False):
        self.name = name
        self.row = row
        self.version = version
        self.was_released = was_released
        self.continues_own = continues_own
        self.acquired_ms = clock.now_ms()
        self.expires_ms = 0
        self.lost = False
        self._clock = clock

    @property
    def fencing(self):
        """The fencing number of load orders sent under the lease."""
        return self.row.fencing

    def holds(self):
        """Return whether the lease is currently held. Call again before each use."""
        return not self.lost and self._clock.now_ms() < self.expires_ms

    def settle(self):
        """State with the next renewal that the holder need not wait any longer."""
        self.row = msgspec.structs.replace(self.row, is_settled=True)

    def extend(self, version, sent_ms):
        """Record a successful write of the row.

        :param version: the row's new version.
        :param sent_ms: when the write was sent; the lease duration starts then.
        """
        self.version = version
        self.expires_ms = max(self.expires_ms, sent_ms + self.row.duration_ms)


class _ObservedRow:
    """Another holder's row, and since when it has not changed."""

    __slots__ = ("version", "since_ms")

    def __init__(self, version, since_ms):
        self.version = version
        self.since_ms = since_ms


class LeaseClient:
    """Acquires, renews and releases leases.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param table: the :class:`~goldcrestmoor.adapters.table.TableClient`.
    :param host_id: this host.
    :param latency_ms: returns the current response time of the table service, in
        milliseconds.
    """

    __slots__ = (
        "_clock",
        "_table",
        "_host_id",
        "_latency_ms",
        "_observed_by_name",
        "_leases_by_name",
        "_tasks",
    )

    def __init__(self, *, clock, table, host_id, latency_ms=lambda: 0):
        self._clock = clock
        self._table = table
        self._host_id = host_id
        self._latency_ms = latency_ms
        self._observed_by_name = collections.OrderedDict()
        self._leases_by_name = {}
        self._tasks = TaskGroup()

    async def acquire(self, name, duration_ms):
        """Try once to acquire a lease, and renew it while it is held.

        Another holder's lease is taken over only after this client has observed its
        row unchanged for the lease's duration and a margin, by this host's clock;
        so call this method again from time to time.

        :param name: the duty.
        :param duration_ms: how long the lease lasts without renewal.
        :return: the :class:`Lease`, or None while another host holds it.
        :raises ServiceError: when the table service cannot be reached.
        """
        held = self._held(name)
        if held is not None:
            return held
        row = await self._table.get(TABLE, name)
        held = self._held(name)
        if held is not None:
            # A concurrent call of this client has acquired the lease meanwhile.
            return held
        known = lease_rows.decode(row.value) if row else None
        if known is not None and not self._can_acquire(name, row.version, known):
            return None
        fencing = known.fencing + 1 if known else 1
        token = secrets.token_hex(TOKEN_BYTES)
        is_settled = known is not None and self.is_own(known) and known.is_settled
        new = LeaseRow(self._host_id, token, fencing, duration_ms, is_settled)
        was_released = known is None or not known.holder
        version = row.version if row else 0
        continues_own = known is None or is_settled
        lease = Lease(self._clock, name, new, version, was_released, continues_own)
        if not await self._write(lease):
            return None
        self._observed_by_name.pop(name, None)
        self._leases_by_name[name] = lease
        self._tasks.start(self._renew(lease), f"renew {name}")
        log.info("Took lease %s with fencing number %d.", name, fencing)
        return lease

    def _held(self, name):
        lease = self._leases_by_name.get(name)
        return lease if lease is not None and lease.holds() else None

    async def release(self, lease):
        """Release a lease, so that another host can acquire it immediately.

        :param lease: the :class:`Lease`.
        """
        held = lease.holds()
        self._forget(lease)
        if not held:
            return
        released = msgspec.structs.replace(lease.row, holder="")
        try:
            await self._transact(lease, released)
        except ServiceError as e:
            log.warning("Lease %s was not released: %s.", lease.name, e)

    def abandon(self, lease):
        """Stop renewing a lease without releasing it, so others wait until it expires.

        :param lease: the :class:`Lease`.
        """
        self._forget(lease)

    async def release_all(self):
        """Release every lease."""
        for lease in list(self._leases_by_name.values()):
            await self.release(lease)

    async def close(self):
        """Stop renewing all leases."""
        await self._tasks.close()

    def observe(self, name, version):
        """Start a holder's expiry time now, unless this row version was already seen.

        For a caller that follows the rows, so that :meth:`acquire` need not be
        called to start the observation.

        :param name: the duty.
        :param version: the version of its row.
        """
        observed = self._observed_by_name.get(name)
        if observed is None or observed.version != version:
            self._observed_by_name[name] = _ObservedRow(version, self._clock.now_ms())

    def restart_observations(self):
        """Restart every other holder's expiry time.

        Called when the rows could not be followed for a while: their holders may not
        have been able to renew them either.
        """
        now_ms = self._clock.now_ms()
        for observed in self._observed_by_name.values():
            observed.since_ms = now_ms

    def can_acquire(self, name, known):
        """Return whether a lease observed by :meth:`observe` may be acquired.

        :param name: the duty.
        :param known: its :class:`~goldcrestmoor.process.lease_rows.LeaseRow`.
        """
        # An earlier process of this host has ended, because this one replaced it.
        if not known.holder or self.is_own(known):
            return True
        observed = self._observed_by_name.get(name)
        return observed is not None and self._has_expired(observed, known)

    def is_own(self, known):
        """Return whether a lease is held by a process of this host.

        :param known: its :class:`~goldcrestmoor.process.lease_rows.LeaseRow`.
        """
        return known.holder == self._host_id

    def _has_expired(self, observed, known):
        unchanged_ms = self._clock.now_ms() - observed.since_ms
        margin_ms = max(
            TAKEOVER_MARGIN_MS, TAKEOVER_MARGIN_LATENCIES * self._latency_ms()
        )
        return unchanged_ms >= known.duration_ms + margin_ms

    def _can_acquire(self, name, version, known):
        if not known.holder or self.is_own(known):
            return True
        now_ms = self._clock.now_ms()
        observed = self._observed_by_name.get(name)
        if observed is None or observed.version != version:
            # The row may have been written at any moment before this answer
            # arrived, so the holder's expiry time starts now.
            self._observed_by_name[name] = _ObservedRow(version, now_ms)
            self._observed_by_name.move_to_end(name)
            if len(self._observed_by_name) > MAX_OBSERVED_ROWS:
                self._observed_by_name.popitem(last=False)
            return False
        return self._has_expired(observed, known)

    async def _transact(self, lease, row):
        write = Write(TABLE, lease.name, lease_rows.encode(row))
        check = Check(TABLE, lease.name, lease.version)
        return await self._table.transact([check], [write])

    async def _write(self, lease):
        """Write the lease's row; return whether this client now holds the lease."""
        sent_ms = self._clock.now_ms()
        try:
            answer = await self._transact(lease, lease.row)
        except ServiceError as e:
            if e.kind is not ErrorKind.OUTCOME_UNKNOWN:
                raise
            return await self._read_back(lease, sent_ms)
        if isinstance(answer, Committed):
            version = answer.version_by_key[f"{TABLE}/{lease.name}"]
            lease.extend(version, sent_ms)
            return True
        return self._resolve_outcome(lease, answer.row, sent_ms)

    async def _read_back(self, lease, sent_ms):
        row = await self._table.get(TABLE, lease.name)
        return self._resolve_outcome(lease, row, sent_ms)

    def _resolve_outcome(self, lease, row, sent_ms):
        """Compare the row with the written one; return whether this client holds it."""
        if row is None:
            return False
        known = lease_rows.decode(row.value)
        if known.token != lease.row.token or not known.holder:
            return False
        if not lease.expires_ms:
            # Only the acquiring write carries a new token, and it was first sent then.
            lease.extend(row.version, sent_ms)
        # A renewal found here may have been sent long before, so it does not extend
        # the lease; the next one does.
        lease.version = row.version
        return True

    async def _renew(self, lease):
        pause_ms = lease.row.duration_ms // RENEWALS_PER_DURATION
        while lease.holds():
            await self._clock.sleep_ms(pause_ms)
            if not lease.holds():
                break
            try:
                if not await self._write(lease):
                    log.warning("Lease %s was taken by another host.", lease.name)
                    break
            except ServiceError as e:
                log.warning("Lease %s was not renewed: %s.", lease.name, e)
        self._forget(lease)

    def _forget(self, lease):
        lease.lost = True
        if self._leases_by_name.get(lease.name) is lease:
            del self._leases_by_name[lease.name]
