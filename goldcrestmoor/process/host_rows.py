"""The rows of all hosts in the store; each host keeps its own.

Workload: a write that got no response is done up to some seconds later, after the next
start of its host, or never. Rows are removed by hosts that stop, by other hosts, and by
late writes of either. A host without a row keeps no records for others and is asked
nothing, so it writes its row anew whenever that is missing or wrong.
"""

import asyncio
import logging

import msgspec

from goldcrestmoor.adapters.table import Check, CheckFailed, Committed, Write
from goldcrestmoor.decoding import decode
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.hosts")

TABLE = "hosts"
# A row that each removal of a host's row writes. A write of a host's row that is done
# late finds it changed, even if the host's row is missing now as it was before.
REMOVALS_TABLE = "host_removals"
REMOVALS_KEY = "last"
# An outage of the store lasts seconds.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1000
# The row may change while it is removed, once for each host that suspects it.
REMOVE_ATTEMPTS = 5


class HostRow(msgspec.Struct, frozen=True):
    """Address at which a host answers other hosts.

    :param zone: its availability zone.
    :param address: its IP address.
    :param port: the TCP port of its readiness check.
    :param started_ms: when its process first wrote the row, by the store's clock; 0 for
        a release that writes its row only once.
    :param suspected_ms: since when another host believes it to be gone, by the store's
        clock; 0 if none does. The host removes it.
    """

    zone: str
    address: str
    port: int
    started_ms: int = 0
    suspected_ms: int = 0


class StoredRow(msgspec.Struct, frozen=True):
    """A host's row as this host knows it.

    :param version: the version of its row in the store.
    :param row: the :class:`HostRow`.
    """

    version: int
    row: HostRow


_decoder = msgspec.json.Decoder(HostRow)


def needs_write(own, stored):
    """Return whether a host has to write its row.

    Of two processes under one name, the one that started later has the row.

    :param own: the host's :class:`HostRow`.
    :param stored: the one in the store; None if it is missing.
    """
    match stored:
        case HostRow(started_ms=started_ms) if started_ms > own.started_ms:
            return False
        case _:
            return stored != own


class HostRows:
    """Knows the rows of all hosts, and keeps that of this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client.
    :param host_id: this host.
    :param row: this host's :class:`HostRow`.
    :ivar stored_by_host: the :class:`StoredRow` of each registered host.
    """

    __slots__ = (
        "stored_by_host",
        "_clock",
        "_store",
        "_host_id",
        "_row",
        "_row_by_host",
        "_changed",
        "_writing",
        "_is_leaving",
    )

    def __init__(self, *, clock, store, host_id, row):
        self.stored_by_host = {}
        self._clock = clock
        self._store = store
        self._host_id = host_id
        self._row = row
        self._row_by_host = {}
        self._changed = asyncio.Event()
        self._writing = asyncio.Lock()
        self._is_leaving = False

    @property
    def host_id(self):
        """The id of this host."""
        return self._host_id

    @property
    def zone(self):
        """The availability zone of this host."""
        return self._row.zone

    def row_by_host(self):
        """Return the :class:`HostRow` of each registered host."""
        return self._row_by_host

    def apply(self, changes):
        """Apply changes from the feed of host rows.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        for change in changes:
            known = self.stored_by_host.get(change.key)
            if known is not None and change.version <= known.version:
                # This host has written the row since.
                continue
            row = None
            if change.value is not None:
                try:
                    row = decode(_decoder, change.value)
                except ValueError as e:
                    log.warning("The row of host %s is ignored: %s.", change.key, e)
            self._put(change.key, change.version, row)
            if change.key == self._host_id:
                self._changed.set()

    async def run(self):
        """Keep this host's row until cancelled."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            self._changed.clear()
            try:
                is_kept = await self._register()
            except ServiceError as e:
                log.info("Registering this host failed, retrying: %s", e)
                is_kept = False
            if is_kept:
                backoff.reset()
                await self._changed.wait()
            else:
                await self._clock.sleep_ms(backoff.next_ms())

    async def leave(self):
        """Remove this host's row, unless a later process under its name has it.

        :raises ServiceError: when the store cannot be reached.
        """
        self._is_leaving = True
        async with self._writing:
            for _ in range(REMOVE_ATTEMPTS):
                stored = await self._read_own()
                if stored is None or stored.row.started_ms != self._row.started_ms:
                    return
                if await self.remove(self._host_id, stored.version):
                    return

    async def remove(self, host, version):
        """Remove a host's row, unless it has been written since.

        :param host: the host.
        :param version: the version of its row.
        :return: whether it was removed.
        :raises ServiceError: when the store cannot be reached.
        """
        writes = [
            Write(TABLE, host, None),
            Write(REMOVALS_TABLE, REMOVALS_KEY, host.encode()),
        ]
        answer = await self._store.transact([Check(TABLE, host, version)], writes)
        return isinstance(answer, Committed)

    async def replace(self, host, version, row):
        """Write a host's row, unless it has been written since.

        :param host: the host.
        :param version: the version of its row.
        :param row: the new :class:`HostRow`.
        :raises ServiceError: when the store cannot be reached.
        """
        value = msgspec.json.encode(row)
        await self._store.transact(
            [Check(TABLE, host, version)], [Write(TABLE, host, value)]
        )

    async def _register(self):
        """Write this host's row if needed; return whether it is in the store."""
        async with self._writing:
            if self._is_leaving:
                return True
            known = self.stored_by_host.get(self._host_id)
            if self._row.started_ms and known and not needs_write(self._row, known.row):
                return True
            removals = await self._store.get(REMOVALS_TABLE, REMOVALS_KEY)
            stored = await self._read_own()
            self._set_started(stored)
            if stored is not None and not needs_write(self._row, stored.row):
                return True
            checks = [
                Check(TABLE, self._host_id, stored.version if stored else 0),
                Check(
                    REMOVALS_TABLE, REMOVALS_KEY, removals.version if removals else 0
                ),
            ]
            write = Write(TABLE, self._host_id, msgspec.json.encode(self._row))
            match await self._store.transact(checks, [write]):
                case Committed(version_by_key):
                    version = version_by_key[f"{TABLE}/{self._host_id}"]
                    self._put(self._host_id, version, self._row)
                    log.info("The row of this host is written, version %d.", version)
                    return True
                case CheckFailed(table=table, key=key):
                    log.info("Row %s of %s changed meanwhile.", key, table)
                    return False

    def _set_started(self, stored):
        """Set the time of this process's start, later than that of an earlier one."""
        if self._row.started_ms:
            return
        earlier_ms = stored.row.started_ms if stored else 0
        started_ms = max(int(self._store.now_ms()), earlier_ms + 1)
        self._row = msgspec.structs.replace(self._row, started_ms=started_ms)

    async def _read_own(self):
        """Return the :class:`StoredRow` of this host from the store, or None."""
        found = await self._store.get(TABLE, self._host_id)
        if found is None:
            return None
        try:
            row = decode(_decoder, found.value)
        except ValueError as e:
            log.warning("The row of this host is replaced: %s.", e)
            row = HostRow("", "", 0)
        return StoredRow(found.version, row)

    def _put(self, host, version, row):
        if row is None:
            self.stored_by_host.pop(host, None)
            self._row_by_host.pop(host, None)
        else:
            self.stored_by_host[host] = StoredRow(version, row)
            self._row_by_host[host] = row
