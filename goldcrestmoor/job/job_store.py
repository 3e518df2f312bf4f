"""Storage of batch jobs: the job itself, its state and its results.

A job's state and its results are written in one transaction. Every write is conditional
on the version of the state that it follows, so of two processes that assume they run a
job, only one can write.
"""

import hashlib
import logging

import msgspec

from goldcrestmoor.adapters.group_commit import MAX_BYTES
from goldcrestmoor.adapters.table import Check, CheckFailed, Committed, Row, Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.job import Job, JobState, Partial, Result
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.jobs")

STATE_TABLE = "jobs"
RESULT_TABLE = "results"
# The partial outputs of long items that are still running.
PARTIAL_TABLE = "partials"
# The jobs themselves, in chunks: writing a row is five times as fast as an object.
BODY_TABLE = "job_bodies"
OBJECT_PREFIX = "job-"
# Below the 64 KiB that a row of the platform's store may hold.
MAX_CHUNK_BYTES = 60_000
# Per transaction, with capacity left for the state's row and its check.
MAX_WRITES = 90
# Overhead of an entry beside its output: ids, versions and their encoding.
ENTRY_OVERHEAD_BYTES = 600
MORE_CHUNKS = b"+"
LAST_CHUNK = b"."
# Ten times the usual latency of the store.
RETRY_MIN_MS = 40
# The end of an outage is noticed within this time.
RETRY_MAX_MS = 400
# Zero-padded, so that keys sort numerically, up to a million items.
POSITION_DIGITS = 6
# Rows per read: a few hundred kilobytes at most, quick even from a slow store.
READ_ROWS = 48
# Distinguishes the few objects that one job may be stored in.
DIGEST_BYTES = 8

_job_decoder = msgspec.msgpack.Decoder(Job)
_state_decoder = msgspec.json.Decoder(JobState)
_partial_decoder = msgspec.msgpack.Decoder(Partial)
_result_decoder = msgspec.msgpack.Decoder(Result)


class VersionedState(msgspec.Struct, frozen=True):
    """A job's state with the version of the row that holds it.

    :param state: the :class:`~goldcrestmoor.job.job.JobState`.
    :param version: the row's version.
    """

    state: JobState
    version: int


class ConditionFailed(msgspec.Struct, frozen=True):
    """A write was not applied, because its further condition no longer holds.

    :param row: the row as the store has it, or None.
    """

    row: Row | None


def decode_state(value):
    """Decode the state in a row.

    :param value: the row's bytes.
    :raises ServiceError: ``INTERNAL`` when it is malformed.
    """
    try:
        return _state_decoder.decode(value)
    except msgspec.MsgspecError as e:
        text = "The row of a job's state is malformed."
        raise ServiceError(ErrorKind.INTERNAL, text) from e


class JobStore:
    """Reads and writes batch jobs in the store.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client, for rows and objects.
    """

    __slots__ = ("_clock", "_store")

    def __init__(self, *, clock, store):
        self._clock = clock
        self._store = store

    def now_ms(self):
        """Return the time on the store's clock.

        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` before the first store response.
        """
        now_ms = self._store.now_ms()
        if now_ms is None:
            text = "No store response yet, so its clock is unknown."
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)
        return now_ms

    async def accept(self, job, zone, deadline):
        """Store a job durably, so that it runs even if this process fails.

        Storing the same job again has no effect.

        :param job: the :class:`~goldcrestmoor.job.job.Job`.
        :param zone: this host's availability zone.
        :param deadline: when to stop retrying.
        :return: the :class:`VersionedState`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when the job is certainly not
            stored, ``OUTCOME_UNKNOWN`` when it may be.
        """
        data = msgspec.msgpack.encode(job)
        state = JobState(
            host=job.host,
            path=job.path,
            model=job.model,
            total=len(job.items),
            submitted_ms=self.now_ms(),
            zone=zone,
            account=job.account,
        )
        writes = []
        if len(data) <= MAX_BYTES:
            writes = list(_chunk_writes(BODY_TABLE, job.id, data))
        else:
            digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
            key = f"{OBJECT_PREFIX}{job.id}-{digest}"
            state = msgspec.structs.replace(state, object_key=key)
            await self._put_object(key, data, deadline)
        return await self._create(job.id, state, writes, deadline)

    async def _put_object(self, key, data, deadline):
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            try:
                await self._store.put(key, data)
                return
            except ServiceError as e:
                delay_ms = backoff.next_ms()
                if delay_ms >= deadline.remaining_ms():
                    # Without a row that refers to the object, no job was accepted.
                    raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, e.message) from e
                await self._clock.sleep_ms(delay_ms)

    async def _create(self, job_id, state, body_writes, deadline):
        checks = [Check(STATE_TABLE, job_id, 0)]
        value = msgspec.json.encode(state)
        writes = [Write(STATE_TABLE, job_id, value), *body_writes]
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        is_unknown = False
        while True:
            try:
                answer = await self._store.transact(checks, writes)
                break
            except ServiceError as e:
                # A write without a response may still be applied, so it is sent again
                # until one of the two is known to have been applied.
                is_unknown = is_unknown or e.kind is ErrorKind.OUTCOME_UNKNOWN
                delay_ms = backoff.next_ms()
                if delay_ms >= deadline.remaining_ms():
                    if is_unknown and e.kind is not ErrorKind.OUTCOME_UNKNOWN:
                        raise ServiceError(ErrorKind.OUTCOME_UNKNOWN, e.message) from e
                    raise
                await self._clock.sleep_ms(delay_ms)
        return _state_after_write(job_id, state, answer)

    async def state(self, job_id):
        """Return a job's :class:`VersionedState`, or None when there is no such job.

        :param job_id: the job.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        return _decode_row(await self._store.get(STATE_TABLE, job_id))

    async def load(self, job_id, state):
        """Return the job as it was submitted.

        :param job_id: the job.
        :param state: its :class:`~goldcrestmoor.job.job.JobState`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``, or ``INTERNAL`` when it is
            missing or malformed.
        """
        if state.object_key:
            data = await self._store.get_object(state.object_key)
        else:
            rows = await self._store.scan(BODY_TABLE, _prefix(job_id))
            data = next(_join_chunks(rows), None)
        if data is None:
            raise ServiceError(
                ErrorKind.INTERNAL, f"The stored items of job {job_id} are missing."
            )
        try:
            return _job_decoder.decode(data)
        except msgspec.MsgspecError as e:
            text = f"Stored job {job_id} is malformed."
            raise ServiceError(ErrorKind.INTERNAL, text) from e

    async def change(
        self, job_id, stored, state, results=(), partials=(), condition=None
    ):
        """Write a new state, and results after those already listed.

        The write is sent again until its outcome is known or the caller cancels.

        :param job_id: the job.
        :param stored: the :class:`VersionedState` that it follows.
        :param state: the new state, with its updated count of listed results.
        :param results: the new :class:`~goldcrestmoor.job.job.Result` values.
        :param partials: :class:`~goldcrestmoor.job.job.Partial` values to store.
        :param condition: a further :class:`~goldcrestmoor.adapters.table.Check`.
        :return: the current :class:`VersionedState`, either ``state`` or what
            another process has written; None when the job was removed;
            :class:`ConditionFailed` when nothing was written for the condition.
        """
        checks = [Check(STATE_TABLE, job_id, stored.version)]
        if condition is not None:
            # Last, as the state also tells that an earlier call was applied.
            checks.append(condition)
        writes = [Write(STATE_TABLE, job_id, msgspec.json.encode(state))]
        for position, result in enumerate(results, stored.state.listed):
            writes += _result_writes(job_id, position, result)
        for partial in partials:
            writes += _partial_writes(job_id, partial)
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            try:
                answer = await self._store.transact(checks, writes)
                break
            except ServiceError as e:
                log.info("Writing the state of job %s failed, retrying: %s", job_id, e)
                await self._clock.sleep_ms(backoff.next_ms())
        match answer:
            case CheckFailed(row, table) if table != STATE_TABLE:
                return ConditionFailed(row)
        return _state_after_write(job_id, state, answer)

    async def results(self, job_id, after, max_bytes):
        """Return listed results, starting at a position.

        :param job_id: the job.
        :param after: the position of the first result to return.
        :param max_bytes: the size limit, though at least one result is returned.
        :return: a list of :class:`~goldcrestmoor.job.job.Result`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        rows = await self._store.scan(
            RESULT_TABLE,
            _prefix(job_id),
            start=_position_key(job_id, after),
            max_rows=READ_ROWS,
        )
        results, size = [], 0
        for data in _join_chunks(rows):
            size += len(data)
            if results and size > max_bytes:
                break
            results.append(_result_decoder.decode(data))
        return results

    async def listed_ids(self, job_id, listed):
        """Return the ids of the items whose results are listed.

        :param job_id: the job.
        :param listed: the number of listed results.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        ids = []
        while len(ids) < listed:
            results = await self.results(job_id, len(ids), MAX_BYTES)
            if not results:
                text = f"Results of job {job_id} are missing."
                raise ServiceError(ErrorKind.INTERNAL, text)
            ids += [result.id for result in results]
        return set(ids)

    async def partials(self, job_id):
        """Return the stored partial outputs of a job's items, by position.

        Of an item that started again, only the newest output is returned.

        :param job_id: the job.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        partials_by_position, chunks = {}, []
        async for row in self._rows(PARTIAL_TABLE, job_id):
            chunks.append(row.value[1:])
            if row.value[:1] != LAST_CHUNK:
                continue
            partial = _partial_decoder.decode(b"".join(chunks))
            chunks = []
            known = partials_by_position.setdefault(partial.position, [])
            if known and known[-1].generation < partial.generation:
                known.clear()
            known.append(partial)
        return partials_by_position

    async def _rows(self, table, job_id):
        """Yield the rows of a job in the order of their keys, a few in memory."""
        last_key = None
        while True:
            rows = await self._store.scan(
                table, _prefix(job_id), start=last_key, max_rows=READ_ROWS
            )
            new = [row for row in rows if row.key != last_key]
            for row in new:
                yield row
            # The store returns fewer rows than it has only if these are large.
            size = sum(len(row.value) for row in rows)
            if not new or (len(rows) < READ_ROWS and size < MAX_BYTES):
                return
            last_key = new[-1].key

    async def remove(self, job_id, stored):
        """Delete a job whose retention has expired.

        :param job_id: the job.
        :param stored: its :class:`VersionedState`.
        :raises ServiceError: when the store cannot be reached; safe to call again.
        """
        for table in (RESULT_TABLE, PARTIAL_TABLE, BODY_TABLE):
            rows = await self._store.scan(table, _prefix(job_id))
            while rows:
                batch, rows = rows[:MAX_WRITES], rows[MAX_WRITES:]
                writes = [Write(table, row.key, None) for row in batch]
                await self._store.transact([], writes)
        if stored.state.object_key:
            await self._store.delete(stored.state.object_key)
        checks = [Check(STATE_TABLE, job_id, stored.version)]
        writes = [Write(STATE_TABLE, job_id, None)]
        await self._store.transact(checks, writes)


class WriteBudget:
    """The remaining capacity of one transaction.

    :ivar has_capacity: whether everything reserved so far fits.
    """

    __slots__ = ("has_capacity", "_writes", "_bytes")

    def __init__(self):
        self.has_capacity = True
        self._writes = 0
        self._bytes = 0

    def reserve(self, length):
        """Reserve capacity for an output; return whether it fits (the first always).

        :param length: the length of the output, encoded.
        """
        length += ENTRY_OVERHEAD_BYTES
        writes = 1 + length // MAX_CHUNK_BYTES
        fits = self._writes + writes <= MAX_WRITES and self._bytes + length <= MAX_BYTES
        self.has_capacity = self.has_capacity and (fits or not self._writes)
        self._writes += writes
        self._bytes += length
        return self.has_capacity


def _decode_row(row):
    return VersionedState(decode_state(row.value), row.version) if row else None


def _state_after_write(job_id, state, answer):
    """Return a job's state after a write, by this process or another, or None."""
    match answer:
        case Committed(version_by_key):
            return VersionedState(state, version_by_key[f"{STATE_TABLE}/{job_id}"])
        case CheckFailed(row):
            return _decode_row(row)


def _prefix(job_id):
    return f"{job_id}/"


def _position_key(job_id, position):
    return f"{job_id}/{position:0{POSITION_DIGITS}d}"


def _result_writes(job_id, position, result):
    data = msgspec.msgpack.encode(result)
    return _chunk_writes(RESULT_TABLE, _position_key(job_id, position), data)


def _partial_writes(job_id, partial):
    key = (
        f"{_position_key(job_id, partial.position)}"
        f"/{partial.generation:0{POSITION_DIGITS}d}"
        f"/{partial.first:0{POSITION_DIGITS}d}"
    )
    return _chunk_writes(PARTIAL_TABLE, key, msgspec.msgpack.encode(partial))


def _chunk_writes(table, name, data):
    """Yield the writes that store data in as many rows as it needs."""
    for number, start in enumerate(range(0, len(data), MAX_CHUNK_BYTES)):
        chunk = data[start : start + MAX_CHUNK_BYTES]
        marker = LAST_CHUNK if start + MAX_CHUNK_BYTES >= len(data) else MORE_CHUNKS
        yield Write(table, f"{name}/{number:02d}", marker + chunk)


def _join_chunks(rows):
    """Yield the data stored in rows, in order; an incomplete last entry is skipped."""
    chunks = []
    for row in rows:
        chunks.append(row.value[1:])
        if row.value[:1] == LAST_CHUNK:
            yield b"".join(chunks)
            chunks = []
