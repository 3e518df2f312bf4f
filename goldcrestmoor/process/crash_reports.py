"""The crashes of servers under requests, as all hosts know of them."""

import asyncio
import logging

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import (
    Change,
    Check,
    CheckFailed,
    Committed,
    Write,
)
from goldcrestmoor.decoding import decode
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.crash_history import (
    CRASHES_TO_BLOCK,
    CRASHES_TO_END_ATTEMPT,
    Crash,
    CrashHistory,
    next_trial_ms,
)
from goldcrestmoor.util import Backoff, TaskGroup, rendezvous_order

log = logging.getLogger("goldcrestmoor.crashes")

CRASH_PATH = "/crashes"
ANSWER_PATH = "/crashes/answered"
# The rows of blocked requests, for hosts that start later or missed a report.
TABLE = "crashes"
# Bounds the memory for requests that were at a server when it crashed.
MAX_HISTORIES = 4096
FORGET_INTERVAL_MS = 30_000
# The row may change while it is removed.
REMOVE_ATTEMPTS = 5
# An outage of the store lasts seconds.
WRITE_RETRY_MIN_MS = 200
WRITE_RETRY_MAX_MS = 5_000


class Sending(msgspec.Struct, frozen=True):
    """A request that was sent to a server and got no response.

    :param request_id: the id of the caller's attempt.
    :param digest: identifies what the caller asked for, whatever the attempt.
    :param sent_ms: when it was sent.
    :param lost_ms: when its connection was lost.
    """

    request_id: str
    digest: str
    sent_ms: float
    lost_ms: float


class ReportedCrash(msgspec.Struct, frozen=True):
    """A crash under a request, as sent to other hosts.

    :param digest: identifies the request.
    :param id: identifies the crash.
    :param ordinal: as in :class:`~goldcrestmoor.request.crash_history.Crash`.
    """

    digest: str
    id: str
    ordinal: int


class CrashReport(msgspec.Struct, frozen=True):
    """Reports the requests that a server had when it crashed.

    :param crashes: the :class:`ReportedCrash` of each.
    :param targets: the hosts that the receiver forwards it to.
    """

    crashes: tuple[ReportedCrash, ...]
    targets: tuple[str, ...] = ()


class AnswerReport(msgspec.Struct, frozen=True):
    """Reports that a server answered a request that had crashes.

    :param digest: identifies the request.
    :param targets: the hosts that the receiver forwards it to.
    """

    digest: str
    targets: tuple[str, ...] = ()


class Received(msgspec.Struct, frozen=True):
    """The reply to a report."""


class _StoredCrash(msgspec.Struct, frozen=True):
    id: str
    ordinal: int
    # By the store's clock.
    known_ms: float


crash_decoder = msgspec.json.Decoder(CrashReport)
answer_decoder = msgspec.json.Decoder(AnswerReport)
_reply_decoder = msgspec.json.Decoder(Received)
_row_decoder = msgspec.json.Decoder(list[_StoredCrash])


class CrashReports:
    """Notices crashes under requests, tells all hosts, and blocks such requests.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param paths: the :class:`~goldcrestmoor.process.server_paths.ServerPaths`.
    :param store: the store's client.
    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param host_id: this host.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_paths",
        "_store",
        "_calls",
        "_host_id",
        "_metrics",
        "_probe_by_upstream",
        "_sendings_by_upstream",
        "_history_by_digest",
        "_version_by_digest",
        "_tasks",
    )

    def __init__(self, *, clock, paths, store, calls, host_id, metrics):
        self._clock = clock
        self._paths = paths
        self._store = store
        self._calls = calls
        self._host_id = host_id
        self._metrics = metrics
        self._probe_by_upstream = {}
        self._sendings_by_upstream = {}
        self._history_by_digest = {}
        # The versions of the rows in the store.
        self._version_by_digest = {}
        self._tasks = TaskGroup()
        metrics.blocked_requests.set_function(self._blocked_count)

    def is_empty(self):
        """Return whether no crash is known, so that no request needs a digest."""
        return not self._history_by_digest

    def check(self, digest):
        """Raise if a request is blocked.

        :param digest: identifies the request.
        :raises ServiceError: ``REQUEST_BLOCKED``.
        """
        history = self._history_by_digest.get(digest)
        if history is None:
            return
        trial_ms = next_trial_ms(history, digest, self._hosts(), self._host_id)
        if trial_ms is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms < trial_ms:
            text = f"{history.count()} servers crashed under this request."
            after_ms = int(trial_ms - now_ms)
            raise ServiceError(ErrorKind.REQUEST_BLOCKED, text, after_ms)
        history.trial_ms = now_ms
        log.info("The request with content %s is sent again, as a trial.", digest)

    def may_send_again(self, digest):
        """Return whether a host may send a request again within a caller's attempt.

        :param digest: identifies the request.
        """
        history = self._history_by_digest.get(digest)
        return history is None or history.count() < CRASHES_TO_END_ATTEMPT

    async def record_failure(self, upstream, digest, request_id, sent_ms, is_first):
        """Record that a request may have run and its response was lost.

        :param upstream: the upstream that it was sent to.
        :param digest: identifies the request.
        :param request_id: the id of the caller's attempt.
        :param sent_ms: when it was sent.
        :param is_first: whether it is the attempt's first; the request may be sent
            again then whether or not the upstream crashed, unless others did before.
        """
        now_ms = self._clock.now_ms()
        sending = Sending(request_id, digest, sent_ms, now_ms)
        key = upstream.name, upstream.started_ms
        self._sendings_by_upstream.setdefault(key, []).append(sending)
        probe = self._probe_by_upstream.get(key)
        if probe is None:
            probe = self._tasks.start(self._probe(key, upstream), "probe of a server")
            self._probe_by_upstream[key] = probe
        if not is_first or digest in self._history_by_digest:
            # The probe goes on for others when this caller leaves.
            await asyncio.shield(probe)

    def record_answer(self, digest):
        """Record that a server answered a request, which then crashes no servers.

        :param digest: identifies the request.
        """
        history = self._history_by_digest.get(digest)
        if history is None:
            return
        count = history.count()
        self._forget(digest)
        # Other hosts count on from one crash at most.
        if count > 1:
            self._calls.broadcast(
                ANSWER_PATH, AnswerReport(digest), self._host_id, _reply_decoder
            )

    def receive_crash(self, report):
        """Apply a report of another host, and forward it.

        :param report: the :class:`CrashReport`.
        """
        now_ms = self._clock.now_ms()
        for crash in report.crashes:
            self._add(crash.digest, Crash(crash.id, crash.ordinal, now_ms))
        self._calls.forward(CRASH_PATH, report, report.targets, _reply_decoder)
        return Received()

    def receive_answer(self, report):
        """Apply a report of another host, and forward it.

        :param report: the :class:`AnswerReport`.
        """
        self._history_by_digest.pop(report.digest, None)
        self._calls.forward(ANSWER_PATH, report, report.targets, _reply_decoder)
        return Received()

    def apply(self, changes):
        """Apply changes from the feed of blocked requests.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        offset_ms = self._store.now_ms() - self._clock.now_ms()
        for change in changes:
            if change.version <= self._version_by_digest.get(change.key, 0):
                # This host has written the row since.
                continue
            if change.value is None:
                self._version_by_digest.pop(change.key, None)
                self._history_by_digest.pop(change.key, None)
                continue
            self._version_by_digest[change.key] = change.version
            for crash in self._decode_row(change.key, change.value):
                known_ms = crash.known_ms - offset_ms
                self._add(change.key, Crash(crash.id, crash.ordinal, known_ms))

    async def run(self):
        """Forget outdated crashes until cancelled."""
        while True:
            await self._clock.sleep_ms(FORGET_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for digest, history in list(self._history_by_digest.items()):
                if history.is_outdated(now_ms):
                    self._history_by_digest.pop(digest)
                    if rendezvous_order(digest, self._hosts())[0] == self._host_id:
                        self._remove_row(digest, history)

    async def close(self):
        """Cancel the probes, reports and writes under way."""
        await self._tasks.close()

    def _hosts(self):
        return self._calls.zone_by_host() or (self._host_id,)

    def _blocked_count(self):
        histories = self._history_by_digest.values()
        return sum(h.count() >= CRASHES_TO_BLOCK for h in histories)

    async def _probe(self, key, upstream):
        """Find out whether an upstream crashed under the requests sent to it."""
        try:
            has_ended = await self._paths.has_ended(upstream)
        finally:
            del self._probe_by_upstream[key]
            sendings = self._sendings_by_upstream.pop(key)
        if has_ended:
            crashes = tuple(self._record(upstream, sending) for sending in sendings)
            self._calls.broadcast(
                CRASH_PATH, CrashReport(crashes), self._host_id, _reply_decoder
            )

    def _record(self, upstream, sending):
        """Record a crash under a request; return it as other hosts are told."""
        digest = sending.digest
        history = self._history_by_digest.get(digest)
        known = 0 if history is None else history.count(sending.sent_ms)
        crash = Crash(util.new_id(), known + 1, sending.lost_ms)
        self._metrics.crashed_requests.inc()
        log.info(
            "%s of %s ended while it had request %s, content %s, for %d ms: crash %d "
            "in a row.",
            upstream.name,
            upstream.service,
            sending.request_id,
            digest,
            sending.lost_ms - sending.sent_ms,
            crash.ordinal,
        )
        self._add(digest, crash)
        if crash.ordinal >= CRASHES_TO_BLOCK:
            self._tasks.start(self._write_row(digest), "row of a blocked request")
        return ReportedCrash(digest, crash.id, crash.ordinal)

    def _add(self, digest, crash):
        history = self._history_by_digest.get(digest)
        if history is None:
            history = self._history_by_digest[digest] = CrashHistory()
            if len(self._history_by_digest) > MAX_HISTORIES:
                self._drop_history()
        count = history.count()
        history.add(crash)
        if history.count() > count and history.count() >= CRASHES_TO_BLOCK:
            log.warning(
                "Servers crashed %d times in a row under the request with content %s; "
                "it is blocked for %d s.",
                history.count(),
                digest,
                (history.blocked_until_ms() - self._clock.now_ms()) // 1000,
            )

    def _drop_history(self):
        """Drop the oldest history, of a request that isn't blocked if possible."""
        dropped = next(iter(self._history_by_digest))
        for digest, history in self._history_by_digest.items():
            if history.count() < CRASHES_TO_BLOCK:
                dropped = digest
                break
        del self._history_by_digest[dropped]

    def _decode_row(self, digest, value):
        """Return the crashes in a row; none if it is malformed."""
        try:
            return decode(_row_decoder, value)
        except ValueError as e:
            self._metrics.bad_input.labels("crashes").inc()
            log.warning("The crashes of request %s are ignored: %s.", digest, e)
            return []

    def _forget(self, digest):
        history = self._history_by_digest.pop(digest)
        log.info("A server answered the request with content %s.", digest)
        self._remove_row(digest, history)

    def _remove_row(self, digest, history):
        version = self._version_by_digest.get(digest)
        if version is not None:
            known_ids = {crash.id for crash in history.crashes}
            self._tasks.start(
                self._remove(digest, version, known_ids), "row of a request"
            )

    async def _write_row(self, digest):
        """Store the crashes of a blocked request, as long as it is blocked."""
        backoff = Backoff(WRITE_RETRY_MIN_MS, WRITE_RETRY_MAX_MS)
        while digest in self._history_by_digest:
            store_ms = self._store.now_ms()
            if store_ms is not None:
                offset_ms = store_ms - self._clock.now_ms()
                stored = [
                    _StoredCrash(crash.id, crash.ordinal, crash.known_ms + offset_ms)
                    for crash in self._history_by_digest[digest].crashes
                ]
                value = msgspec.json.encode(stored)
                version = self._version_by_digest.get(digest, 0)
                match await self._transact(digest, version, value):
                    case Committed():
                        return
                    case CheckFailed(row=row) if row is not None:
                        # Another host has stored its crashes meanwhile.
                        self.apply([Change(digest, row.version, row.value)])
                    case CheckFailed():
                        self._version_by_digest.pop(digest, None)
            await self._clock.sleep_ms(backoff.next_ms())

    async def _remove(self, digest, version, known_ids):
        """Remove a row, unless it has crashes that this host didn't know of.

        :param version: the version of the row that it knew.
        :param known_ids: the ids of the crashes that it knew.
        """
        backoff = Backoff(WRITE_RETRY_MIN_MS, WRITE_RETRY_MAX_MS)
        for _ in range(REMOVE_ATTEMPTS):
            match await self._transact(digest, version, None):
                case Committed() | CheckFailed(row=None):
                    return
                case CheckFailed(row=row):
                    crashes = self._decode_row(digest, row.value)
                    if not {crash.id for crash in crashes} <= known_ids:
                        return
                    version = row.version
            await self._clock.sleep_ms(backoff.next_ms())

    async def _transact(self, digest, version, value):
        """Write or remove a row on its version; return the answer, or None."""
        try:
            answer = await self._store.transact(
                [Check(TABLE, digest, version)], [Write(TABLE, digest, value)]
            )
        except ServiceError as e:
            log.info("The row of request content %s was not written: %s", digest, e)
            return None
        if isinstance(answer, Committed):
            if value is None:
                self._version_by_digest.pop(digest, None)
            else:
                written = answer.version_by_key[f"{TABLE}/{digest}"]
                self._version_by_digest[digest] = written
        return answer
