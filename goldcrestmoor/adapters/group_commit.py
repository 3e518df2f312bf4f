"""Sends a host's transactions as one while an earlier one is under way (group commit).

The load this answers: the store makes transactions one after another, 5 ms each, and
turns calls away once a second's worth is waiting. When it is sixty times slower than
usual it makes three a second for all hosts, while each host that runs jobs has several
to make at any time: results of two jobs, leases, entries of orders. As one transaction
they take one turn.
"""

import asyncio
import logging

import msgspec

from goldcrestmoor.adapters.table import CheckFailed, Committed, Row
from goldcrestmoor.connection.adaptive_timeout import AdaptiveTimeout
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff, TaskGroup

log = logging.getLogger("goldcrestmoor.commits")

# The store takes 100 entries and 1 MB after base64 in a transaction; 600 kB are 800 kB
# then, which leaves room for keys and checks.
MAX_ENTRIES = 100
MAX_BYTES = 600_000
# Of an entry beside its value: table, key, version and their encoding.
ENTRY_BYTES = 200
# Sixty times what the store needs when it is well: an answer that is later is lost, or
# the store is slow, which its reads have shown by then.
MIN_RESPONSE_TIMEOUT_MS = 300
# How often a store that gives no answers is asked again, so that the end of an outage
# is noticed within this.
MAX_RESPONSE_TIMEOUT_MS = 500
# A store that turns calls away has a second's worth waiting; coming back sooner than in
# a fraction of that keeps it full.
MIN_REJECTION_PAUSE_MS = 100
MAX_REJECTION_PAUSE_MS = 600
# A transaction waits so many times as long as one call of it, the last one included.
TRANSACTION_TIMEOUT_FACTOR = 2
# How long a call is kept after it was made again, as a late answer tells how slow the
# store is.
CALL_TIMEOUT_MS = 4000
# Before the next ones are sent, those whose answers have just come get this share of
# the longest of the last answers to make their next, or they would go by turns with
# the others and wait twice as long. Nothing while the store is well.
BATCH_DELAY_RATIO = 0.1
# As long as a job gathers results.
MAX_BATCH_DELAY_MS = 50


class Applied(msgspec.Struct, frozen=True):
    """The store has made a transaction.

    :param version: the version of all rows that it wrote.
    """

    version: int


class Rejected(msgspec.Struct, frozen=True):
    """The store has not made a transaction, as a check did not hold.

    :param row_by_key: the rows that were checked, as they are, by table and key; a
        row that does not exist is left out.
    """

    row_by_key: dict[tuple[str, str], Row]


class _PendingTransaction:
    """A transaction that has no answer yet.

    :ivar calls: how many calls that hold it are under way.
    :ivar has_unknown_outcome: whether a call that held it ended without an answer.
    """

    __slots__ = (
        "checks",
        "writes",
        "row_keys",
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
        """Whether it may have been made, or may yet be."""
        return bool(self.calls) or self.has_unknown_outcome


class GroupCommit:
    """Make transactions, several as one where an earlier one is under way.

    A transaction is made as a whole or not at all, as if it were sent alone; that
    others are made with it shows nowhere. One that gets no answer is sent again beside
    the first call, with what has come meanwhile. Its checks let only one of the two
    land. One that the store turns away as it is busy is sent again after a pause, with
    all others of this host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param send: a coroutine function that takes checks, writes and a timeout in
        milliseconds, sends them once and returns :class:`Applied` or
        :class:`Rejected`; raises :class:`~goldcrestmoor.errors.ServiceError`,
        ``OVERLOADED`` when the store turned the call away.
    :param timeout_ms: how long a transaction may take, in milliseconds; longer while
        the store's answers take longer.
    :param read_ms: gives how long reads take at present, in milliseconds.
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
        """Make all writes at once, if all checks hold.

        :param checks: a list of :class:`~goldcrestmoor.adapters.table.Check`.
        :param writes: a list of :class:`~goldcrestmoor.adapters.table.Write`.
        :return: ``Committed``, or ``CheckFailed`` when it never will be made, or was
            made by a call whose answer was lost: the row that it names then is as the
            transaction has left it.
        :raises ServiceError: as ``send`` does; ``OUTCOME_UNKNOWN`` when there was no
            answer in time.
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
            # The store may have turned out to be slow meanwhile.
            slow_ms = TRANSACTION_TIMEOUT_FACTOR * self._timeout.wait_ms()
            elapsed_ms = self._clock.now_ms() - started_ms
            remaining_ms = min(slow_ms, CALL_TIMEOUT_MS) - elapsed_ms
        _fail(
            transaction, _error_kind(transaction), "The store gave no answer in time."
        )

    def _start_sending(self):
        if not self._is_sending:
            self._is_sending = True
            self._tasks.start(self._send_all())

    async def _send_all(self):
        """Send what waits, one group after another, until nothing does."""
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
        """Send a group, and put it back after a while without an answer."""
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
                [check for transaction in group for check in transaction.checks],
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
        """Fail the transactions of a call that no other call holds, or send again."""
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
        """Return the transactions that no other call holds, or is to hold."""
        return [t for t in group if not t.calls and t not in self._pending]

    def _requeue(self, group):
        """Send transactions again, before what waits, unless a call holds them."""
        self._pending = self._without_calls(group) + self._pending
        self._start_sending()

    def _next_group(self):
        """Take the waiting transactions that fit together, in their order."""
        group, rest, row_keys, entries, size = [], [], set(), 0, 0
        for transaction in self._pending:
            if transaction.answer.done():
                # Its caller has gone.
                continue
            fits = (
                entries + transaction.entries <= MAX_ENTRIES
                and size + transaction.size <= MAX_BYTES
                and row_keys.isdisjoint(transaction.row_keys)
            )
            if group and not fits:
                rest.append(transaction)
            else:
                group.append(transaction)
                entries += transaction.entries
                size += transaction.size
            # What waits for a row keeps its turn.
            row_keys |= transaction.row_keys
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
        """Refuse the transactions whose checks fail, and send the others again."""
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
            text = "The store refused a condition that holds."
            _fail(transaction, ErrorKind.OUTCOME_UNKNOWN, text)


def _failed_check(checks, row_by_key):
    """Name the first check that does not hold, with the row as it is, or None."""
    for check in checks:
        row = row_by_key.get((check.table, check.key))
        if (row.version if row else 0) != check.version:
            return CheckFailed(row, check.table, check.key)
    return None


def _error_kind(transaction):
    """Return the kind of error of a transaction that has no answer."""
    if transaction.may_be_applied:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.PLATFORM_UNAVAILABLE


def _succeed(transaction, answer):
    if not transaction.answer.done():
        transaction.answer.set_result(answer)


def _fail(transaction, kind, message):
    if not transaction.answer.done():
        transaction.answer.set_exception(ServiceError(kind, message))
