"""The records of steps on the platform: specifications and finished groups."""

import logging

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import Check, CheckFailed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.version.steps import Sample, StepSpec, digest_of

log = logging.getLogger("goldcrestmoor.steps")

STEPS_TABLE = "steps"
GROUPS_TABLE = "groups"
WRITE_ATTEMPTS = 4


class StepRow(msgspec.Struct, frozen=True):
    """The row of a step: which specification was accepted, and by which write."""

    digest: str
    object_key: str
    token: str


class GroupRow(msgspec.Struct, frozen=True):
    """The row of one round of a group: which object holds its samples."""

    object_key: str
    token: str


class GroupRecord(msgspec.Struct, frozen=True):
    """One recorded round of a group.

    :param group: the group's index.
    :param round: 0 for the first; more when stale samples were made again.
    :param samples: the samples that won the record.
    :param own: whether this host's write won.
    """

    group: int
    round: int
    samples: tuple[Sample, ...]
    own: bool = False


class StepRecords:
    """Write each record once and read it back.

    :param table: a ``TableClient``.
    :param objects: an ``ObjectClient``.
    """

    __slots__ = ("_table", "_objects")

    def __init__(self, *, table, objects):
        self._table = table
        self._objects = objects

    async def save_spec(self, spec):
        """Record a specification unless the same one is recorded already.

        :param spec: the :class:`StepSpec`.
        :raises ServiceError: ``STEP_CONFLICT`` when the step has another one;
            the platform's errors when it cannot be told.
        """
        digest = digest_of(spec)
        object_key = f"steps/{spec.account}/{spec.step}/{digest}"
        await self._objects.put(object_key, msgspec.msgpack.encode(spec))
        row = StepRow(digest, object_key, util.new_id())
        key = f"{spec.account}/{spec.step}"
        found = await self._create(STEPS_TABLE, key, row)
        if found.digest != digest:
            raise ServiceError(
                ErrorKind.STEP_CONFLICT, "The step was submitted with other groups."
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

    async def delete_spec(self, account, step):
        """Forget a cancelled step.

        :param account: the account's name.
        :param step: the step's name.
        """
        key = f"{account}/{step}"
        await self._table.transact([], [Write(STEPS_TABLE, key, None)])

    async def save_group(self, spec, group, number, samples):
        """Record one round of a group, or learn what was recorded before.

        :param spec: the step's specification.
        :param group: the group's index.
        :param number: the round.
        :param samples: the samples made here.
        :return: the :class:`GroupRecord` that won.
        """
        data = msgspec.msgpack.encode(tuple(samples))
        token = util.new_id()
        object_key = f"groups/{spec.account}/{spec.step}/{group}/{number}/{token}"
        await self._objects.put(object_key, data)
        key = f"{spec.account}/{spec.step}/{digest_of(spec)[:16]}/{group}/{number}"
        found = await self._create(GROUPS_TABLE, key, GroupRow(object_key, token))
        if found.token == token:
            return GroupRecord(group, number, tuple(samples), True)
        winner = await self._load(found.object_key, tuple[Sample, ...])
        return GroupRecord(group, number, winner)

    async def load_groups(self, spec):
        """Return the recorded rounds of a step's groups, oldest first.

        :param spec: the step's specification.
        """
        prefix = f"{spec.account}/{spec.step}/{digest_of(spec)[:16]}/"
        records = []
        for row in await self._table.scan(GROUPS_TABLE, prefix):
            group, number = row.key.removeprefix(prefix).split("/")
            found = msgspec.msgpack.decode(row.value, type=GroupRow)
            samples = await self._load(found.object_key, tuple[Sample, ...])
            records.append(GroupRecord(int(group), int(number), samples))
        return sorted(records, key=lambda record: (record.group, record.round))

    async def _create(self, table, key, row):
        # A write whose answer was lost is tried again: the row can be created only
        # once, so the repeat either succeeds or finds the row, whose token tells
        # which of the writes created it.
        value = msgspec.msgpack.encode(row)
        for attempt in range(WRITE_ATTEMPTS):
            try:
                answer = await self._table.transact(
                    [Check(table, key, 0)], [Write(table, key, value)]
                )
            except ServiceError as e:
                if e.kind != ErrorKind.OUTCOME_UNKNOWN or attempt + 1 == WRITE_ATTEMPTS:
                    raise
                log.info("The answer to a write of %s was lost; asking again.", key)
                continue
            if not isinstance(answer, CheckFailed):
                return row
            found = answer.row or await self._table.get(table, key)
            if found is not None:
                return msgspec.msgpack.decode(found.value, type=type(row))
        raise ServiceError(ErrorKind.OUTCOME_UNKNOWN, f"Cannot settle {key}.")

    async def _load(self, object_key, kind):
        data = await self._objects.get(object_key)
        if data is None:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, "An object is missing.")
        return msgspec.msgpack.decode(data, type=kind)
