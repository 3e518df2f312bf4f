"""The records of steps on the platform: specifications and complete groups."""

import contextlib
import logging

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import Check, CheckFailed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.version.steps.steps import Sample, StepSpec, spec_digest

log = logging.getLogger("goldcrestmoor.steps")

STEPS_TABLE = "steps"
GROUPS_TABLE = "groups"
HOLDERS_TABLE = "holders"
WRITE_ATTEMPTS = 4
RETENTION_MS = 3_600_000
ROWS_PER_TRANSACTION = 50


class StepRow(msgspec.Struct, frozen=True):
    """The row of a step: the accepted specification and the write that created it."""

    digest: str
    object_key: str
    token: str
    expires_wall_ms: int = 0


class GroupRow(msgspec.Struct, frozen=True):
    """The row of one round of a group, which points to the object with its samples."""

    object_key: str
    token: str
    expires_wall_ms: int = 0


class HolderRow(msgspec.Struct, frozen=True):
    """The row of a step's holder; its version grows with each change of holder."""

    token: str
    expires_wall_ms: int = 0


class Superseded(Exception):
    """Raised when another host has become the step's holder; nothing was recorded."""


class _ExpiringRow(msgspec.Struct):
    """The fields that all kinds of rows use for their deletion."""

    object_key: str = ""
    expires_wall_ms: int = 0


class GroupRecord(msgspec.Struct, frozen=True):
    """One recorded round of a group.

    :param group: the group's index.
    :param round: 0 for the first; higher when stale samples were generated again.
    :param samples: the samples of the write that came first.
    :param own: whether that was this host's write.
    """

    group: int
    round: int
    samples: tuple[Sample, ...]
    own: bool = False


class StepRecords:
    """Create each record at most once, read it and finally delete it.

    :param clock: the clock.
    :param table: a ``TableClient``.
    :param objects: an ``ObjectClient``.
    """

    __slots__ = ("_clock", "_table", "_objects")

    def __init__(self, *, clock, table, objects):
        self._clock = clock
        self._table = table
        self._objects = objects

    async def save_spec(self, spec):
        """Record a specification unless the same one is already recorded.

        :param spec: the :class:`StepSpec`.
        :raises ServiceError: ``STEP_CONFLICT`` when the step has another
            specification; the platform's errors when the outcome is not known.
        """
        digest = spec_digest(spec)
        object_key = f"steps/{spec.account}/{spec.step}/{digest}"
        await self._objects.put(object_key, msgspec.msgpack.encode(spec))
        row = StepRow(digest, object_key, util.new_id(), self._expires_wall_ms(spec))
        key = f"{spec.account}/{spec.step}"
        found = await self._create(STEPS_TABLE, key, row)
        if found.digest != digest:
            raise ServiceError(
                ErrorKind.STEP_CONFLICT, "The step was submitted with other groups."
            )

    async def take_over(self, spec):
        """Become a step's holder, so that earlier holders can no longer record.

        Earlier holders' records must be read after this call.

        :param spec: the step's specification.
        :return: the version of the holder's row, for :meth:`save_group`.
        :raises ServiceError: the platform's errors.
        """
        key = f"{spec.account}/{spec.step}"
        row = HolderRow(util.new_id(), self._expires_wall_ms(spec))
        value = msgspec.msgpack.encode(row)
        for _ in range(WRITE_ATTEMPTS):
            found = await self._table.get(HOLDERS_TABLE, key)
            if found is not None and found.value == value:
                return found.version
            check = Check(HOLDERS_TABLE, key, found.version if found else 0)
            try:
                answer = await self._table.transact(
                    [check], [Write(HOLDERS_TABLE, key, value)]
                )
            except ServiceError as e:
                if e.kind != ErrorKind.OUTCOME_UNKNOWN:
                    raise
                continue
            if not isinstance(answer, CheckFailed):
                return answer.version_by_key[f"{HOLDERS_TABLE}/{key}"]
        raise ServiceError(
            ErrorKind.PLATFORM_UNAVAILABLE, f"Step {key} could not be taken over."
        )

    async def load_spec(self, account, step):
        """Return a step's recorded specification, or None.

        :param account: the account's name.
        :param step: the step's name.
        """
        row = await self._table.get(STEPS_TABLE, f"{account}/{step}")
        if row is None:
            return None
        found = msgspec.msgpack.decode(row.value, type=StepRow)
        return await self._load(found.object_key, StepSpec)

    async def delete(self, account, step):
        """Delete all records of a step, its own row last.

        :param account: the account's name.
        :param step: the step's name.
        """
        key = f"{account}/{step}"
        await self._delete(
            GROUPS_TABLE, await self._table.scan(GROUPS_TABLE, f"{key}/")
        )
        for table in (HOLDERS_TABLE, STEPS_TABLE):
            row = await self._table.get(table, key)
            await self._delete(table, [row] if row else [])

    async def delete_expired(self, max_rows):
        """Delete records of steps whose deadline and retention time have passed.

        :param max_rows: the maximum number of rows to delete.
        :return: the number of deleted rows.
        """
        deleted = 0
        for table in (GROUPS_TABLE, HOLDERS_TABLE, STEPS_TABLE):
            rows = await self._table.scan(table, "")
            expired = [row for row in rows if self._is_expired(row)]
            batch = expired[: max_rows - deleted]
            await self._delete(table, batch)
            deleted += len(batch)
        return deleted

    async def _delete(self, table, rows):
        for start in range(0, len(rows), ROWS_PER_TRANSACTION):
            batch = rows[start : start + ROWS_PER_TRANSACTION]
            # The object is deleted first: a row that remains is found by the next scan.
            for row in batch:
                found = msgspec.msgpack.decode(row.value, type=_ExpiringRow)
                if found.object_key:
                    await self._objects.delete(found.object_key)
            # A row that was written again meanwhile fails the whole batch; the
            # remaining rows are deleted once they expire.
            checks = [Check(table, row.key, row.version) for row in batch]
            writes = [Write(table, row.key, None) for row in batch]
            await self._table.transact(checks, writes)

    def _is_expired(self, row):
        expires_ms = msgspec.msgpack.decode(
            row.value, type=_ExpiringRow
        ).expires_wall_ms
        return 0 < expires_ms < self._clock.wall_ms()

    def _expires_wall_ms(self, spec):
        return self._clock.wall_ms() + spec.deadline_ms + RETENTION_MS

    async def save_group(self, spec, group, number, samples, holder_version=None):
        """Record one round of a group, or return the record that already exists.

        :param spec: the step's specification.
        :param group: the group's index.
        :param number: the round.
        :param samples: the samples generated by this host.
        :param holder_version: the version that the holder's row must still have; not
            checked when None.
        :return: the :class:`GroupRecord` that was created first.
        :raises Superseded: when another host has become the holder.
        """
        data = msgspec.msgpack.encode(tuple(samples))
        token = util.new_id()
        object_key = f"groups/{spec.account}/{spec.step}/{group}/{number}/{token}"
        await self._objects.put(object_key, data)
        key = f"{spec.account}/{spec.step}/{spec_digest(spec)[:16]}/{group}/{number}"
        row = GroupRow(object_key, token, self._expires_wall_ms(spec))
        checks = []
        if holder_version is not None:
            holder = f"{spec.account}/{spec.step}"
            checks.append(Check(HOLDERS_TABLE, holder, holder_version))
        found = await self._create(GROUPS_TABLE, key, row, checks)
        if found.token == token:
            return GroupRecord(group, number, tuple(samples), True)
        winner = await self._load(found.object_key, tuple[Sample, ...])
        with contextlib.suppress(ServiceError):
            await self._objects.delete(object_key)
        return GroupRecord(group, number, winner)

    async def load_groups(self, spec):
        """Return the recorded rounds of a step's groups, oldest first.

        :param spec: the step's specification.
        """
        prefix = f"{spec.account}/{spec.step}/{spec_digest(spec)[:16]}/"
        records = []
        for row in await self._table.scan(GROUPS_TABLE, prefix):
            group, number = row.key.removeprefix(prefix).split("/")
            found = msgspec.msgpack.decode(row.value, type=GroupRow)
            samples = await self._load(found.object_key, tuple[Sample, ...])
            records.append(GroupRecord(int(group), int(number), samples))
        return sorted(records, key=lambda record: (record.group, record.round))

    async def _create(self, table, key, row, extra_checks=()):
        # A write whose reply was lost is sent again: the row can be created only once,
        # so the repeat either succeeds or finds the row, whose token identifies the
        # write that created it.
        value = msgspec.msgpack.encode(row)
        for attempt in range(WRITE_ATTEMPTS):
            try:
                answer = await self._table.transact(
                    [Check(table, key, 0), *extra_checks], [Write(table, key, value)]
                )
            except ServiceError as e:
                if e.kind != ErrorKind.OUTCOME_UNKNOWN or attempt + 1 == WRITE_ATTEMPTS:
                    raise
                log.info("A write of %s got no reply; sending it again.", key)
                continue
            if not isinstance(answer, CheckFailed):
                return row
            found = await self._table.get(table, key)
            if found is not None:
                return msgspec.msgpack.decode(found.value, type=type(row))
            if answer.table == HOLDERS_TABLE:
                raise Superseded
        raise ServiceError(
            ErrorKind.OUTCOME_UNKNOWN, f"The outcome of the write of {key} is unknown."
        )

    async def _load(self, object_key, kind):
        data = await self._objects.get(object_key)
        if data is None:
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE, "A recorded object is missing."
            )
        return msgspec.msgpack.decode(data, type=kind)
