"""The log of the software versions that began streams, for hosts without their records.

Hosts keep these records in memory (``stream_versions``). That memory is lost when hosts
are killed, and a host that is cut off from the others leaves none there. So each host
also writes the records of its own streams to the store, those of some moments in one
row, while records are needed at all; at once where no other host has them.
"""

import asyncio
import collections
import logging

import msgspec

from goldcrestmoor.adapters.table import Write
from goldcrestmoor.decoding import decode, parse_integer
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.stream_version import LOOKBACK_MS
from goldcrestmoor.util import Backoff, TaskGroup

log = logging.getLogger("goldcrestmoor.streams")

TABLE = "stream_versions"
# Each host adds its part, so that all hosts together write a hundred rows a second at
# most.
MIN_INTERVAL_MS = 250
INTERVAL_PER_HOST_MS = 10
# Between rows that a stream's first event waits for; some calls to the store.
MIN_URGENT_INTERVAL_MS = 20
RETRY_MIN_MS = 100
RETRY_MAX_MS = 2000
# A row of the store holds 64 KB.
MAX_ROW_RECORDS = 300
# Records in memory, while the store is away and when they are read; the oldest are
# dropped.
MAX_RECORDS = 10_000
# Old rows that are removed with a write.
MAX_REMOVED = 50
READ_ROWS = 300
# Zero-padded, so that keys sort by time.
TIME_DIGITS = 15


class StreamEntry(msgspec.Struct, frozen=True, array_like=True):
    """A stream and the software version that began it.

    :param stream_id: the id of the request that brought its first event.
    :param software_version: the version.
    """

    stream_id: str
    software_version: str


_decoder = msgspec.json.Decoder(list[StreamEntry])


class _Waiting(msgspec.Struct, frozen=True):
    """A record that is not in the store yet.

    :param entry: the :class:`StreamEntry`.
    :param written: a future that is done once the store has it.
    """

    entry: StreamEntry
    written: asyncio.Future


class _Search:
    """The streams that are looked up in the next reading of the log."""

    __slots__ = ("stream_ids", "result")

    def __init__(self):
        self.stream_ids = set()
        # The version by stream of those that were found.
        self.result = asyncio.get_running_loop().create_future()


class StreamLog:
    """Writes the records of this host's streams, and reads those of all hosts.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client.
    :param host_id: this host.
    :param hosts: returns the ids of the live hosts.
    """

    __slots__ = (
        "_clock",
        "_store",
        "_host_id",
        "_hosts",
        "_waiting",
        "_written_keys",
        "_count",
        "_wakeup",
        "_is_urgent",
        "_written_ms",
        "_next_search",
        "_tasks",
    )

    def __init__(self, *, clock, store, host_id, hosts):
        self._clock = clock
        self._store = store
        self._host_id = host_id
        self._hosts = hosts
        self._waiting = collections.deque()
        self._written_keys = collections.deque()
        self._count = 0
        self._wakeup = asyncio.Event()
        self._is_urgent = asyncio.Event()
        self._written_ms = None
        self._next_search = None
        self._tasks = TaskGroup()

    def add(self, stream_id, software_version):
        """Write a record soon.

        :param stream_id: the id of the request that brought the stream's first event.
        :param software_version: the version that began it.
        :return: a future that is done once the store has the record, and cancelled if
            it is dropped.
        """
        written = asyncio.get_running_loop().create_future()
        self._waiting.append(
            _Waiting(StreamEntry(stream_id, software_version), written)
        )
        if len(self._waiting) > MAX_RECORDS:
            self._waiting.popleft().written.cancel()
        self._wakeup.set()
        return written

    def hurry(self):
        """Write the records that wait at once."""
        self._is_urgent.set()

    async def find(self, stream_id):
        """Return the version in a stream's record in the store, or None without one.

        Lookups that are made meanwhile share the next reading, which begins later, so
        that it has all records written before the lookup.

        :param stream_id: the id of the request that brought the stream's first event.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        search = self._next_search
        if search is None:
            search = self._next_search = _Search()
            self._tasks.start(self._search(search), "search of a stream's record")
        search.stream_ids.add(stream_id)
        return (await asyncio.shield(search.result)).get(stream_id)

    async def _search(self, search):
        # Those who look up at the same moment take part.
        await asyncio.sleep(0)
        self._next_search = None
        found = {}
        try:
            async for row in self._rows(self._oldest_key()):
                for entry in _entries(row):
                    if entry.stream_id in search.stream_ids:
                        found[entry.stream_id] = entry.software_version
            search.result.set_result(found)
        except ServiceError as e:
            search.result.set_exception(e)
            # Those who asked may have left.
            search.result.exception()

    async def load(self):
        """Return the records of the last minute, the oldest first.

        :return: the :class:`StreamEntry` values.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        entries = collections.deque(maxlen=MAX_RECORDS)
        own_keys = []
        async for row in self._rows():
            if _host_of(row.key) == self._host_id:
                own_keys.append(row.key)
            if not self._is_old(row.key):
                entries += _entries(row)
        # Also those of an earlier process of this host are removed in time.
        self._written_keys.extendleft(reversed(own_keys))
        return list(entries)

    async def remove_rows_of(self, host):
        """Remove the old rows of a host that is gone.

        :param host: the host.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` or ``OUTCOME_UNKNOWN``.
        """
        keys = [
            row.key
            async for row in self._rows()
            if _host_of(row.key) == host and self._is_old(row.key)
        ]
        for start in range(0, len(keys), MAX_REMOVED):
            batch = keys[start : start + MAX_REMOVED]
            await self._store.transact([], [Write(TABLE, key, None) for key in batch])

    async def _rows(self, first_key=None):
        """Yield the rows from a key on, in the order of their keys."""
        last_key = None
        while True:
            rows = await self._store.scan(
                TABLE, start=last_key or first_key, max_rows=READ_ROWS
            )
            new = [row for row in rows if row.key != last_key]
            if not new:
                return
            for row in new:
                yield row
            last_key = new[-1].key

    async def run(self):
        """Write records until cancelled."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            await self._wakeup.wait()
            await self._wait_for_interval()
            self._wakeup.clear()
            self._is_urgent.clear()
            try:
                while self._waiting:
                    await self._write()
                backoff.reset()
            except ServiceError as e:
                log.warning(
                    "%d records of streams are not in the store yet: %s",
                    len(self._waiting),
                    e,
                )
                await self._clock.sleep_ms(backoff.next_ms())
                self._wakeup.set()

    async def close(self):
        """Cancel the searches under way."""
        await self._tasks.close()

    async def _wait_for_interval(self):
        """Wait until the next row may be written; for less if a record is urgent."""
        interval_ms = INTERVAL_PER_HOST_MS * len(self._hosts())
        waiting = asyncio.create_task(
            self._clock.sleep_ms(max(MIN_INTERVAL_MS, interval_ms))
        )
        urgent = asyncio.create_task(self._is_urgent.wait())
        try:
            await asyncio.wait({waiting, urgent}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            urgent.cancel()
        if self._written_ms is not None:
            next_ms = self._written_ms + max(MIN_URGENT_INTERVAL_MS, interval_ms)
            await self._clock.sleep_ms(next_ms - self._clock.now_ms())

    async def _write(self):
        """Write the oldest records that wait, and remove rows that are old."""
        self._written_ms = self._clock.now_ms()
        if self._store.now_ms() is None:
            text = "The store has not answered yet."
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)
        batch = [
            self._waiting.popleft()
            for _ in range(min(MAX_ROW_RECORDS, len(self._waiting)))
        ]
        old = [key for key in self._written_keys if self._is_old(key)][:MAX_REMOVED]
        key = self._new_key()
        entries = [waiting.entry for waiting in batch]
        writes = [Write(TABLE, key, msgspec.json.encode(entries))]
        writes += [Write(TABLE, old_key, None) for old_key in old]
        # A write without a response may be done later, so its row is removed as well.
        self._written_keys.append(key)
        try:
            await self._store.transact([], writes)
        except ServiceError:
            self._waiting.extendleft(reversed(batch))
            raise
        for waiting in batch:
            if not waiting.written.done():
                waiting.written.set_result(None)
        for old_key in old:
            self._written_keys.remove(old_key)

    def _new_key(self):
        self._count += 1
        return f"{self._store.now_ms():0{TIME_DIGITS}d}/{self._host_id}/{self._count}"

    def _oldest_key(self):
        """Return the key from which rows may hold records of streams that still run."""
        store_ms = self._store.now_ms()
        if store_ms is None:
            return None
        return f"{max(0, int(store_ms - LOOKBACK_MS)):0{TIME_DIGITS}d}"

    def _is_old(self, key):
        written_ms = parse_integer(key[:TIME_DIGITS])
        return written_ms is None or written_ms < self._store.now_ms() - LOOKBACK_MS


def _host_of(key):
    """Return the host that wrote a row."""
    return key[TIME_DIGITS + 1 :].rpartition("/")[0]


def _entries(row):
    """Return the records in a row; none if it is malformed."""
    try:
        return decode(_decoder, row.value)
    except ValueError as e:
        log.warning("A row of stream records, %s, is malformed: %s", row.key, e)
        return []
