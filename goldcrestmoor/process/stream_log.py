"""The log of the software versions that began streams, for hosts that start again.

Hosts keep these records in memory (``stream_versions``); all of them are lost when all
hosts are killed. So each host also writes the records of its own streams to the store,
those of some moments in one row, while records are needed at all.
"""

import asyncio
import collections
import logging

import msgspec

from goldcrestmoor.adapters.table import Write
from goldcrestmoor.decoding import decode, parse_integer
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.request.stream_version import LOOKBACK_MS
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.streams")

TABLE = "stream_versions"
# Streams of the last moments before a kill are lost. Each host adds its part, so that
# all hosts together write a hundred rows a second at most.
MIN_INTERVAL_MS = 250
INTERVAL_PER_HOST_MS = 10
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


class StreamLog:
    """Writes the records of this host's streams, and reads those of all when it starts.

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
    )

    def __init__(self, *, clock, store, host_id, hosts):
        self._clock = clock
        self._store = store
        self._host_id = host_id
        self._hosts = hosts
        self._waiting = collections.deque(maxlen=MAX_RECORDS)
        self._written_keys = collections.deque()
        self._count = 0
        self._wakeup = asyncio.Event()

    def add(self, stream_id, software_version):
        """Write a record soon.

        :param stream_id: the id of the request that brought the stream's first event.
        :param software_version: the version that began it.
        """
        self._waiting.append(StreamEntry(stream_id, software_version))
        self._wakeup.set()

    async def load(self):
        """Return the records of the last minute, the oldest first.

        :return: the :class:`StreamEntry` values.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        entries = collections.deque(maxlen=MAX_RECORDS)
        last_key, own_keys = None, []
        while True:
            rows = await self._store.scan(TABLE, start=last_key, max_rows=READ_ROWS)
            new = [row for row in rows if row.key != last_key]
            if not new:
                break
            last_key = new[-1].key
            for row in new:
                if self._is_own(row.key):
                    own_keys.append(row.key)
                if not self._is_old(row.key):
                    entries += _entries(row)
        # Also those of an earlier process of this host are removed in time.
        self._written_keys.extendleft(reversed(own_keys))
        return list(entries)

    async def run(self):
        """Write records until cancelled."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            await self._wakeup.wait()
            interval_ms = INTERVAL_PER_HOST_MS * len(self._hosts())
            await self._clock.sleep_ms(max(MIN_INTERVAL_MS, interval_ms))
            self._wakeup.clear()
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

    async def _write(self):
        """Write the oldest records that wait, and remove rows that are old."""
        entries = [
            self._waiting.popleft()
            for _ in range(min(MAX_ROW_RECORDS, len(self._waiting)))
        ]
        old = [key for key in self._written_keys if self._is_old(key)][:MAX_REMOVED]
        try:
            # The time of the store is known only after its first response.
            key = self._new_key()
            writes = [Write(TABLE, key, msgspec.json.encode(entries))]
            writes += [Write(TABLE, old_key, None) for old_key in old]
            await self._store.transact([], writes)
        except ServiceError:
            self._waiting.extendleft(reversed(entries))
            raise
        for old_key in old:
            self._written_keys.remove(old_key)
        self._written_keys.append(key)

    def _new_key(self):
        self._count += 1
        return f"{self._store.now_ms():0{TIME_DIGITS}d}/{self._host_id}/{self._count}"

    def _is_own(self, key):
        return key[TIME_DIGITS + 1 :].rpartition("/")[0] == self._host_id

    def _is_old(self, key):
        written_ms = parse_integer(key[:TIME_DIGITS])
        return written_ms is None or written_ms < self._store.now_ms() - LOOKBACK_MS


def _entries(row):
    """Return the records in a row; none if it is malformed."""
    try:
        return decode(_decoder, row.value)
    except ValueError as e:
        log.warning("A row of stream records, %s, is malformed: %s", row.key, e)
        return []
