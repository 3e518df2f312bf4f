"""An in-memory table service with outages and lost responses."""

from goldcrestmoor.adapters import table as table_service
from goldcrestmoor.errors import ErrorKind, ServiceError


class FakeTable:
    """The rows, and the faults of the next requests."""

    def __init__(self):
        self.rows_by_name = {}
        self.is_down = False
        self.lose_answers = 0
        self.delayed = []
        self.delay_writes = 0
        self.after_write = None

    def client(self, clock):
        return FakeTableClient(self, clock)

    def apply(self, checks, writes):
        for check in checks:
            row = self.rows_by_name.get((check.table, check.key))
            if (row.version if row else 0) != check.version:
                return table_service.CheckFailed(row, check.table, check.key)
        versions = {}
        for write in writes:
            name = (write.table, write.key)
            if write.value is None:
                self.rows_by_name.pop(name, None)
                continue
            old = self.rows_by_name.get(name)
            version = (old.version if old else 0) + 1
            self.rows_by_name[name] = table_service.Row(write.key, version, write.value)
            versions[f"{write.table}/{write.key}"] = version
        return table_service.Committed(versions)


class FakeTableClient:
    """One host's client; it gets no responses while the host is frozen.

    :ivar is_cut_off: whether the table service rejects this host alone.
    """

    def __init__(self, table, clock):
        self.is_cut_off = False
        self._table = table
        self._clock = clock

    async def get(self, table, key):
        await self._check_up()
        row = self._table.rows_by_name.get((table, key))
        await self._clock.thawed.wait()
        return row

    async def scan(self, table, prefix):
        await self._check_up()
        rows = self._table.rows_by_name.items()
        return [row for (name, key), row in rows if name == table]

    async def transact(self, checks, writes):
        await self._check_up()
        if self._table.delay_writes:
            self._table.delay_writes -= 1
            self._table.delayed.append((checks, writes))
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN)
        answer = self._table.apply(checks, writes)
        if self._table.after_write is not None:
            self._table.after_write()
        await self._clock.thawed.wait()
        if self._table.lose_answers:
            self._table.lose_answers -= 1
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN)
        return answer

    async def _check_up(self):
        await self._clock.thawed.wait()
        if self._table.is_down or self.is_cut_off:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)
