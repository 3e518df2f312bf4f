"""Deletes claim rows whose retention time has passed."""

import logging

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import Check, CheckFailed, Write
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.request.claims import TABLE, Claim

log = logging.getLogger("goldcrestmoor.keys")

CLEANUP_INTERVAL_MS = 600_000
RETENTION_MS = 24 * 3_600_000
ROWS_PER_TRANSACTION = 50


class ClaimSweeper:
    """Delete old claims, on one live host chosen by rendezvous hashing.

    Two hosts that are both chosen do no harm: rows are deleted by version.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: this host.
    :param table: the ``TableClient``.
    :param membership: the ``Membership``.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    """

    __slots__ = ("_clock", "_host_id", "_table", "_membership", "_lease")

    def __init__(self, *, clock, host_id, table, membership, lease):
        self._clock = clock
        self._host_id = host_id
        self._table = table
        self._membership = membership
        self._lease = lease

    async def run(self):
        """Delete old claims periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(CLEANUP_INTERVAL_MS)
            hosts = [record.id for record in self._membership.live()]
            if not hosts or util.rendezvous(TABLE, hosts) != self._host_id:
                continue
            try:
                await self.sweep()
            except ServiceError as e:
                log.info("Old claims not deleted, retrying in the next cleanup: %s", e)

    async def sweep(self):
        """Delete every claim that is older than the retention time.

        :return: how many rows were deleted.
        :raises ServiceError: when the table service is unreachable.
        """
        deleted = 0
        for account in self._lease.view().configuration.accounts_by_name:
            rows = await self._table.scan(TABLE, f"{account}/")
            expired = [row for row in rows if self._is_expired(row)]
            for start in range(0, len(expired), ROWS_PER_TRANSACTION):
                batch = expired[start : start + ROWS_PER_TRANSACTION]
                deleted += await self._delete(batch)
        return deleted

    async def _delete(self, rows):
        checks = [Check(TABLE, row.key, row.version) for row in rows]
        writes = [Write(TABLE, row.key, None) for row in rows]
        result = await self._table.transact(checks, writes)
        return 0 if isinstance(result, CheckFailed) else len(rows)

    def _is_expired(self, row):
        try:
            claim = msgspec.json.decode(row.value, type=Claim)
        except msgspec.MsgspecError:
            return False
        return claim.claimed_wall_ms + RETENTION_MS < self._clock.wall_ms()
