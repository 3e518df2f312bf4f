"""The client of the platform's store: rows, transactions, change feeds, objects."""

import base64
import logging
from urllib.parse import quote

import msgspec

from goldcrestmoor.adapters.group_commit import Applied, GroupCommit, Rejected
from goldcrestmoor.adapters.table import Change, Changes, HistoryTruncated, Row
from goldcrestmoor.connection.adaptive_timeout import ResponseTimes
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError

log = logging.getLogger("goldcrestmoor.store")

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_CHECK_FAILED = 412
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
# Added to the wait of a feed request before its connection is considered unresponsive.
FEED_MARGIN_MS = 700
# A hundred times the latency of a healthy store.
PROBE_TIMEOUT_MS = 400
# All rows are in the part with the empty name. Parts of the store fail independently,
# so with one part, only one failure matters; its 200 transactions per second suffice.
PART = ""
_JSON = [(b"content-type", b"application/json")]


class _Row(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str = ""
    # From one counter for all tables, so it increases, but not by one.
    ver: int = 0
    deleted: bool = False


class _Answer(msgspec.Struct):
    rows: list[_Row] = []
    # The newest version in the whole store, not that of a row.
    ver: int = 0
    # The store's monotonic clock, unrelated to the time of day.
    nowMs: int = 0  # noqa: N815
    hasMore: bool = False  # noqa: N815


class _Expected(msgspec.Struct):
    table: str
    part: str
    key: str
    ver: int


class _Set(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str


class _Removed(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    expected: list[_Expected]
    setKeys: list[_Set]  # noqa: N815
    remove: list[_Removed]


_answer_decoder = msgspec.json.Decoder(_Answer)


class StoreClient:
    """Sends requests to the platform's store.

    Replaces the clients of the table service and of the object store.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param address: the store's IP address.
    :param port: its TCP port.
    :param timeout_ms: the timeout of a call, in milliseconds.
    :param metrics: counts calls by kind and outcome.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_target",
        "_relay",
        "_timeout_ms",
        "_metrics",
        "_commits",
        "_response_times",
        "_clock_offset_ms",
        "_rejected_at_ms",
    )

    def __init__(self, *, clock, http, address, port, timeout_ms, metrics):
        self._clock = clock
        self._http = http
        self._target = (address, port)
        self._relay = None
        self._timeout_ms = timeout_ms
        self._metrics = metrics
        self._response_times = ResponseTimes()
        self._commits = GroupCommit(
            clock=clock,
            send=self._commit,
            timeout_ms=timeout_ms,
            read_ms=self.latency_ms,
        )
        self._clock_offset_ms = None
        self._rejected_at_ms = None

    @property
    def is_relayed(self):
        """Whether calls go through a host that relays them."""
        return self._relay is not None

    def use_relay(self, address, port, prefix):
        """Send all further calls through a host that relays them.

        :param address: the relay's IP address.
        :param port: the relay's TCP port.
        :param prefix: the path prefix of relayed calls.
        """
        self._relay = (address, port, prefix)

    def rejection_age_ms(self):
        """Return the time since the store last rejected a direct call, or None."""
        if self._rejected_at_ms is None:
            return None
        return self._clock.now_ms() - self._rejected_at_ms

    def latency_ms(self):
        """Return the current response latency of the store, in milliseconds."""
        return self._response_times.typical_ms()

    async def probe_direct(self):
        """Call the store directly, and stop using the relay if it responds."""
        try:
            await self._http.request(
                *self._target,
                "GET",
                "/rows-parts?table=op",
                timeout_ms=PROBE_TIMEOUT_MS,
            )
        except ServiceError as e:
            log.debug("The store is still not reachable directly: %s", e)
            return
        self._relay = None

    async def relay(self, method, target, headers, body, timeout_ms):
        """Relay another host's call to the store, once, and return the response.

        :param timeout_ms: the timeout, in milliseconds.
        :return: an :class:`~goldcrestmoor.connection.http_client.HttpResponse`.
        :raises ServiceError: those of the ``HttpClient``.
        """
        return await self._http.request(
            *self._target,
            method,
            target,
            headers,
            body,
            timeout_ms,
            idempotent=True,
            is_essential=True,
        )

    def now_ms(self):
        """Return the store's monotonic clock, or None before its first response.

        The offset to the local clock is that of the last response.
        """
        if self._clock_offset_ms is None:
            return None
        return self._clock.now_ms() + self._clock_offset_ms

    async def get(self, table, key):
        """Return a row, or ``None``.

        :param table: the table's name.
        :param key: the row's key.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        query = _query(table=table, part=PART, limit=1, **{"from": key})
        answer = await self._read("get", f"/rows-get?{query}", _answer_decoder)
        for row in answer.rows:
            if row.key == key:
                return _row(row)
        return None

    async def scan(self, table, prefix="", start=None, max_rows=None):
        """Return the rows whose keys have a prefix, in key order.

        :param table: the table's name.
        :param prefix: the keys' prefix.
        :param start: the first key to return; all keys by default.
        :param max_rows: the maximum number of rows; all rows by default.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        rows, _ = await self._scan(table, prefix, start, max_rows)
        return rows

    async def snapshot(self, table):
        """Return all rows of a table, and the version from which to follow its feed.

        :param table: the table's name.
        :return: a list of :class:`Row` and the version.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        return await self._scan(table, "", None)

    async def changes(self, table, after, wait_ms):
        """Return the changes of a table, waiting for the next one if there are none.

        :param table: the table's name.
        :param after: the version to continue from.
        :param wait_ms: how long to wait, in milliseconds.
        :return: :class:`Changes` or :class:`HistoryTruncated`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        query = _query(table=table, after=after, waitMs=wait_ms)
        started_ms = self._clock.now_ms()
        response = await self._send(
            "feed", "GET", f"/rows-feed?{query}", timeout_ms=wait_ms + FEED_MARGIN_MS
        )
        self._response_times.record(self._clock.now_ms() - started_ms, wait_ms)
        if response.status == STATUS_GONE:
            return HistoryTruncated()
        answer = self._decode(response, _answer_decoder, ErrorKind.PLATFORM_UNAVAILABLE)
        changes = [
            Change(row.key, row.ver, None if row.deleted else _value(row))
            for row in answer.rows
            if row.part == PART
        ]
        return Changes(changes, max(after, answer.ver))

    async def transact(self, checks, writes):
        """Apply all writes atomically if all checks hold.

        The call may be combined with other transactions of this host.

        :param checks: a list of :class:`~goldcrestmoor.adapters.table.Check`.
        :param writes: a list of :class:`~goldcrestmoor.adapters.table.Write`.
        :return: ``Committed``, or ``CheckFailed``, also when an earlier call whose
            response was lost has applied it.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when certainly not written,
            ``OUTCOME_UNKNOWN`` when it may have been or may yet be.
        """
        return await self._commits.transact(checks, writes)

    async def _commit(self, checks, writes, timeout_ms):
        """Send one transaction; return :class:`Applied` or :class:`Rejected`."""
        body = msgspec.json.encode(
            _Transaction(
                [_Expected(c.table, PART, c.key, c.version) for c in checks],
                [
                    _Set(w.table, PART, w.key, base64.b64encode(w.value).decode())
                    for w in writes
                    if w.value is not None
                ],
                [_Removed(w.table, PART, w.key) for w in writes if w.value is None],
            )
        )
        response = await self._send(
            "transact", "POST", "/rows-tx", body, _JSON, timeout_ms
        )
        if response.status == STATUS_TOO_MANY:
            text = "The store is overloaded."
            raise ServiceError(ErrorKind.OVERLOADED, text)
        _check_written(response)
        answer = self._decode(response, _answer_decoder, ErrorKind.OUTCOME_UNKNOWN)
        if response.status == STATUS_CHECK_FAILED:
            return Rejected({(row.table, row.key): _row(row) for row in answer.rows})
        return Applied(answer.ver)

    async def put(self, key, data):
        """Store an object unless the key exists; a key always has the same bytes.

        :param key: the object's key.
        :param data: its bytes.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when certainly not stored,
            ``OUTCOME_UNKNOWN`` when it may have been.
        """
        target = "/blob-put/" + quote(key, safe="")
        await self._write("put", "PUT", target, data, [(b"if-none-match", b"*")])

    async def get_object(self, key):
        """Return an object's bytes, or None.

        :param key: the object's key.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        target = "/blob-get/" + quote(key, safe="")
        response = await self._send("get object", "GET", target)
        if response.status == STATUS_NOT_FOUND:
            return None
        if response.status != STATUS_OK:
            raise _unavailable(f"answered {response.status}")
        return response.body

    async def delete(self, key):
        """Delete an object, if it exists.

        :param key: the object's key.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` or ``OUTCOME_UNKNOWN``.
        """
        target = "/blob-drop/" + quote(key, safe="")
        await self._write("delete", "DELETE", target, b"", (), (STATUS_NOT_FOUND,))

    async def _scan(self, table, prefix, start, max_rows=None):
        rows, version, has_more = [], None, True
        first = start or prefix
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else None
        while has_more:
            query = _query(
                table=table,
                part=PART,
                to=end,
                limit=max_rows,
                **{"from": first or None},
            )
            answer = await self._read("scan", f"/rows-get?{query}", _answer_decoder)
            # Each page begins with the last row of the previous one.
            last_key = rows[-1].key if rows else None
            new = [row for row in answer.rows if row.key != last_key]
            rows += [_row(row) for row in new]
            version = answer.ver if version is None else version
            has_more = answer.hasMore and bool(new) and max_rows is None
            first = rows[-1].key if rows else first
        return rows, version

    async def _read(self, call, target, decoder):
        response = await self._send(call, "GET", target)
        return self._decode(response, decoder, ErrorKind.PLATFORM_UNAVAILABLE)

    async def _write(self, call, method, target, body, headers, extra_statuses=()):
        response = await self._send(call, method, target, body, headers)
        if response.status not in extra_statuses:
            _check_written(response)

    async def _send(self, call, method, target, body=b"", headers=(), timeout_ms=None):
        address, port = self._target
        if self._relay is not None:
            address, port, prefix = self._relay
            target = prefix + target
        try:
            response = await self._http.request(
                address,
                port,
                method,
                target,
                headers,
                body,
                timeout_ms or self._timeout_ms,
                idempotent=True,
                # The store bounds its responses itself.
                is_essential=True,
            )
        except ServiceError as e:
            self._metrics.store_calls.labels(call, e.code).inc()
            if method == "GET" or e.answer.ran is Ran.NOT_RUN:
                raise _unavailable(e.message) from e
            text = f"A write to the store got no response: {e.message}"
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN, text) from e
        self._metrics.store_calls.labels(call, str(response.status)).inc()
        is_rejected = response.status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE)
        if is_rejected and self._relay is None:
            self._rejected_at_ms = self._clock.now_ms()
        return response

    def _decode(self, response, decoder, kind):
        if response.status not in (STATUS_OK, STATUS_CHECK_FAILED):
            raise _unavailable(f"answered {response.status}")
        try:
            answer = decoder.decode(response.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as e:
            raise ServiceError(kind, "The store's response is malformed.") from e
        if isinstance(answer, _Answer) and answer.nowMs:
            self._clock_offset_ms = answer.nowMs - self._clock.now_ms()
        return answer


def _check_written(response):
    """Raise the error for a write that was not, or may not have been, applied."""
    status = response.status
    if status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE):
        raise _unavailable(f"answered {status}")
    if status not in (STATUS_OK, STATUS_CHECK_FAILED):
        text = f"The store answered {status} to a write."
        raise ServiceError(ErrorKind.OUTCOME_UNKNOWN, text)


def _unavailable(reason):
    text = f"The store is unavailable: {reason}"
    return ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)


def _query(**fields):
    pairs = ((name, value) for name, value in fields.items() if value is not None)
    return "&".join(f"{name}={quote(str(value), safe='')}" for name, value in pairs)


def _value(row):
    try:
        return base64.b64decode(row.value)
    except ValueError:
        # Without a value, the row is one that can't be read, and so is no other.
        log.warning("Row %s of %s is not in base64.", row.key, row.table)
        return b""


def _row(row):
    return Row(row.key, row.ver, _value(row))
