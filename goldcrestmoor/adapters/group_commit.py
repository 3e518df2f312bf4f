"""Group commit: combines a host's transactions while an earlier one is in flight.

Workload: the store applies transactions serially, 5 ms each, and rejects calls once one
second of work is queued. When it is sixty times slower than usual, it applies three a
second for all hosts, while each host that runs jobs has several pending at any time:
results of two jobs, leases, load order entries. Combined, they take one place in the
store's queue.
"""

import asyncio
import logging

import msgspec

from goldcrestmoor.adapters.table import CheckFailed, Committed, Row
from goldcrestmoor.connection.adaptive_timeout import AdaptiveTimeout
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff, TaskGroup

log = logging.getLogger("goldcrestmoor.commits")

# The store accepts 100 entries and 1 MB after base64 encoding per transaction; 600 kB
# become 800 kB, which leaves space for keys and checks.
MAX_ENTRIES = 100
MAX_BYTES = 600_000
# The size of an entry besides its value: table, key, version and their encoding.
ENTRY_BYTES = 200
# Sixty times the latency of a healthy store: a response that takes longer is lost, or
# the store is slow, which its reads have shown by then.
MIN_RESPONSE_TIMEOUT_MS = 300
# The interval between calls to an unresponsive store, and so the longest time until
# the end of an outage is detected.
MAX_RESPONSE_TIMEOUT_MS = 500
# A store that rejects calls has a second of work queued; retrying sooner than in a
# fraction of that keeps its queue full.
MIN_REJECTION_PAUSE_MS = 100
MAX_REJECTION_PAUSE_MS = 600
# The timeout of a transaction as a multiple of that of one call, including the last.
TRANSACTION_TIMEOUT_FACTOR = 2
# A call stays open this long even after a retry, as a late response shows how slow the
# store is.
CALL_TIMEOUT_MS = 4000
# The delay before the next group, as a fraction of the peak latency. In this time, the
# callers whose responses have just arrived can submit their next transactions; without
# it they would alternate with the others and wait twice as long. It is near zero while
# the store is healthy.
BATCH_DELAY_RATIO = 0.1
# Equal to the time for which a job collects results.
MAX_BATCH_DELAY_MS = 50


class Applied(msgspec.Struct, frozen=True):
    """The store has applied a transaction.

    :param version: the new version of all rows written.
    """

    version: int


class Rejected(msgspec.Struct, frozen=True):
    """The store has not applied a transaction, because a check failed.

    :param row_by_key: the current state of the checked rows, by table and key; rows
        that do not exist are omitted.
    """

    row_by_key: dict[tuple[str, str], Row]


class _PendingTransaction:
    """A transaction without a response yet.

    :ivar calls: the number of calls in flight that include it.
    :ivar has_unknown_outcome: whether a call that included it got no response.
    """

    __slots__ = (
        "checks",
        "writes",
        "row_keys",
        "written_keys",
        "size",
        "answer",
        "calls",
        "has_unknown_outcome",
    )

    def __init__(self, checks, writes):
        self.checks = list(checks)
        self.writes = list(writes)
        self.row_keys = {
            (entry.table, entry.key) for entry in self.checks + self.writes
        }
        self.written_keys = {(write.table, write.key) for write in self.writes}
        self.size = sum(len(write.value or b"") for write in self.writes)
        self.size += ENTRY_BYTES * self.entries
        self.answer = asyncio.get_running_loop().create_future()
        self.calls = 0
        self.has_unknown_outcome = False

    @property
    def entries(self):
        return len(self.checks) + len(self.writes)

    @property
    def may_be_applied(self):
        """Whether the transaction may have been applied, or may yet be."""
        return bool(self.calls) or self.has_unknown_outcome


class GroupCommit:
    """Sends transactions, combined into groups while an earlier one is in flight.

    Each transaction is atomic, as if it were sent alone; callers cannot observe the
    grouping. One that gets no response is sent again, together with the transactions
    that arrived meanwhile, while the first call stays open. Its checks ensure that
    only one of the two calls is applied. One that a busy store rejects is sent again
    after a pause, with all others of this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param send: a coroutine function that takes checks, writes and a timeout in
        milliseconds, sends them once and returns :class:`Applied` or
        :class:`Rejected`; raises :class:`~goldcrestmoor.errors.ServiceError`,
        ``OVERLOADED`` when the store rejected the call.
    :param timeout_ms: the timeout of a transaction, in milliseconds; it is extended
        while the store is slow.
    :param read_ms: returns the current latency of reads, in milliseconds.
    """

    __slots__ = (
        "_clock",
        "_send",
        "_timeout_ms",
        "_timeout",
        "_backoff",
        "_pause_ms",
        "_pending",
        "_is_sending",
        "_tasks",
    )

    def __init__(self, *, clock, send, timeout_ms, read_ms):
        self._clock = clock
        self._send = send
        self._timeout_ms = timeout_ms
        self._timeout = AdaptiveTimeout(
            MIN_RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS, read_ms
        )
        self._backoff = Backoff(MIN_REJECTION_PAUSE_MS, MAX_REJECTION_PAUSE_MS)
        self._pause_ms = 0
        self._pending = []
        self._is_sending = False
        self._tasks = TaskGroup()

    async def transact(self, checks, writes):
        """Apply all writes atomically if all checks hold.

        :param checks: a list of :class:`~goldcrestmoor.adapters.table.Check`.
        :param writes: a list of :class:`~goldcrestmoor.adapters.table.Write`.
        :return: ``Committed``, or ``CheckFailed`` when the transaction will never be
            applied, or was applied by a call whose response was lost: the row that it
            names is then in the state that the transaction has written.
        :raises ServiceError: as ``send`` does; ``OUTCOME_UNKNOWN`` when no response
            came in time.
        """
        transaction = _PendingTransaction(checks, writes)
        self._pending.append(transaction)
        self._start_sending()
        timer = self._tasks.start(self._expire(transaction))
        try:
            return await transaction.answer
        finally:
            timer.cancel()

    async def _expire(self, transaction):
        started_ms = self._clock.now_ms()
        remaining_ms = self._timeout_ms
        while remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)
            # The store may have become slow meanwhile.
            slow_ms = TRANSACTION_TIMEOUT_FACTOR * self._timeout.wait_ms()
            elapsed_ms = self._clock.now_ms() - started_ms
            remaining_ms = min(slow_ms, CALL_TIMEOUT_MS) - elapsed_ms
        _fail(
            transaction, _error_kind(transaction), "The store did not respond in time."
        )

    def _start_sending(self):
        if not self._is_sending:
            self._is_sending = True
            self._tasks.start(self._send_all())

    async def _send_all(self):
        """Send the pending transactions in groups, one after another."""
        try:
            while self._pending:
                await self._delay_batch()
                group = self._next_group()
                if group:
                    await self._send_with_timeout(group)
        finally:
            self._is_sending = False

    async def _delay_batch(self):
        delay_ms = min(
            int(self._timeout.peak_latency_ms * BATCH_DELAY_RATIO), MAX_BATCH_DELAY_MS
        )
        wait_ms = max(delay_ms, self._pause_ms)
        self._pause_ms = 0
        if wait_ms:
            await self._clock.sleep_ms(wait_ms)

    async def _send_with_timeout(self, group):
        """Send a group, and requeue it when no response comes in time."""
        call = self._tasks.start(self._call(group))
        timer = self._tasks.start(self._clock.sleep_ms(self._timeout.wait_ms()))
        await asyncio.wait({call, timer}, return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        if not call.done():
            self._timeout.record_timeout()
            self._pending = group + self._pending

    async def _call(self, group):
        for transaction in group:
            transaction.calls += 1
        sent_ms = self._clock.now_ms()
        error = None
        try:
            answer = await self._send(
                list(dict.fromkeys(check for t in group for check in t.checks)),
                [write for transaction in group for write in transaction.writes],
                CALL_TIMEOUT_MS,
            )
            self._timeout.record_response(self._clock.now_ms() - sent_ms)
            self._backoff.reset()
        except ServiceError as e:
            error = e
        except Exception:
            log.exception("A transaction failed in this process.")
            text = "The transaction failed in this process."
            error = ServiceError(ErrorKind.OUTCOME_UNKNOWN, text)
        for transaction in group:
            transaction.calls -= 1
        if error is None:
            self._resolve(group, answer)
        else:
            self._handle_error(group, error)

    def _handle_error(self, group, error):
        """Fail or requeue the transactions of a failed call that are in no other."""
        if error.kind is ErrorKind.OUTCOME_UNKNOWN:
            for transaction in group:
                transaction.has_unknown_outcome = True
        if error.kind is ErrorKind.OVERLOADED:
            self._pause_ms = self._backoff.next_ms()
            self._requeue(group)
            return
        for transaction in self._without_calls(group):
            _fail(transaction, _error_kind(transaction), error.message)

    def _without_calls(self, group):
        """Return the transactions that are in no other call and not pending."""
        return [t for t in group if not t.calls and t not in self._pending]

    def _requeue(self, group):
        """Put transactions that are in no call ahead of the pending ones, and send."""
        self._pending = self._without_calls(group) + self._pending
        self._start_sending()

    def _next_group(self):
        """Remove and return pending transactions that fit into one group, in order."""
        group, rest, entries, size = [], [], 0, 0
        row_keys, written_keys = set(), set()
        for transaction in self._pending:
            if transaction.answer.done():
                # Its caller has stopped waiting.
                continue
            fits = (
                entries + transaction.entries <= MAX_ENTRIES
                and size + transaction.size <= MAX_BYTES
                and row_keys.isdisjoint(transaction.written_keys)
                and written_keys.isdisjoint(transaction.row_keys)
            )
            if group and not fits:
                rest.append(transaction)
            else:
                group.append(transaction)
                entries += transaction.entries
                size += transaction.size
            # Transactions on the same row keep their order, unless both only check it.
            row_keys |= transaction.row_keys
            written_keys |= transaction.written_keys
        self._pending = rest
        return group

    def _resolve(self, group, answer):
        match answer:
            case Applied(version):
                for transaction in group:
                    keys = (f"{w.table}/{w.key}" for w in transaction.writes)
                    _succeed(transaction, Committed(dict.fromkeys(keys, version)))
            case Rejected(row_by_key):
                self._resolve_rejected(group, row_by_key)

    def _resolve_rejected(self, group, row_by_key):
        """Reject the transactions whose checks fail, and send the others again."""
        passing = []
        for transaction in group:
            failed = _failed_check(transaction.checks, row_by_key)
            if failed is None:
                passing.append(transaction)
            else:
                _succeed(transaction, failed)
        if len(passing) < len(group):
            self._requeue(passing)
            return
        for transaction in passing:
            text = "The store rejected a condition that holds."
            _fail(transaction, ErrorKind.OUTCOME_UNKNOWN, text)


def _failed_check(checks, row_by_key):
    """Return the first failed check with the current row, or None."""
    for check in checks:
        row = row_by_key.get((check.table, check.key))
        if (row.version if row else 0) != check.version:
            return CheckFailed(row, check.table, check.key)
    return None


def _error_kind(transaction):
    """Return the kind of error for a transaction without a response."""
    if transaction.may_be_applied:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.PLATFORM_UNAVAILABLE


def _succeed(transaction, answer):
    if not transaction.answer.done():
        transaction.answer.set_result(answer)


def _fail(transaction, kind, message):
    if not transaction.answer.done():
        transaction.answer.set_exception(ServiceError(kind, message))
