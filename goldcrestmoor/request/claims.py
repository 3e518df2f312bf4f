"""Requests under callers' own keys: a claim row is written before sending."""

import logging
import re

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import Check, CheckFailed, Write
from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.key_messages import (
    AskOutcome,
    KeyedAnswer,
    time_to_answer_ms,
)
from goldcrestmoor.request.outcome_cache import MAX_KEPT_BODY_BYTES, digest_of

log = logging.getLogger("goldcrestmoor.keys")

TABLE = "claims"
HOLD_MS = 5000
SETTLE_BACKOFF_MS = 50
SETTLE_BACKOFF_MAX_MS = 500
SETTLE_MS = 3000
WITHDRAW_MS = 60_000
WITHDRAW_BACKOFF_MAX_MS = 5000
MAX_WITHDRAWN = 1000
KEY_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True):
    """One row of the claims table.

    :param token: what tells this claim from any other.
    :param host: the host that holds it, and alone sends.
    :param incarnation: which run of that host.
    :param digest: the request's digest.
    :param claimed_wall_ms: when it was claimed, on the wall clock.
    :param state: ``running``, ``done`` or ``unknown``.
    :param answer: the recorded answer; None while running, or when too large.
    """

    token: str
    host: str
    incarnation: str
    digest: str
    claimed_wall_ms: int
    state: str = RUNNING
    answer: AppResponse | None = None


class ClaimedKeys:
    """Send under keys that callers chose.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: this host.
    :param incarnation: this run of it.
    :param table: the ``TableClient``.
    :param memory: the :class:`~goldcrestmoor.request.outcome_cache.OutcomeCache`.
    :param applications: the :class:`~goldcrestmoor.request.apps.ApplicationClient`.
    :param links: the ``PeerLinks``.
    :param settings: the :class:`~goldcrestmoor.settings.IdempotencySettings`.
    """

    __slots__ = (
        "_clock",
        "_host_id",
        "_incarnation",
        "_table",
        "_memory",
        "_applications",
        "_links",
        "_settings",
        "_tasks",
        "_withdrawn_by_key",
    )

    def __init__(
        self,
        *,
        clock,
        host_id,
        incarnation,
        table,
        memory,
        applications,
        links,
        settings,
    ):
        self._clock = clock
        self._host_id = host_id
        self._incarnation = str(incarnation)
        self._table = table
        self._memory = memory
        self._applications = applications
        self._links = links
        self._settings = settings
        self._tasks = util.TaskGroup()
        self._withdrawn_by_key = {}
        links.register(AskOutcome, self._on_ask)

    async def run(self, account, key, request, deadline, request_id, check=None):
        """Send a request under a caller's key, or return its recorded answer.

        :param account: the account's name.
        :param key: the key.
        :param request: the :class:`~goldcrestmoor.request.apps.AppRequest`.
        :param deadline: when the answer must be there.
        :param request_id: the request.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when no claim could be
            written, ``KEY_REUSED``, ``IN_PROGRESS`` or ``OUTCOME_UNKNOWN``.
        """
        if not KEY_PATTERN.match(key):
            raise ServiceError(ErrorKind.BAD_REQUEST, "The key is malformed.")
        digest = digest_of(request)
        full_key = f"{account}/{key}"
        outcome = self._memory.find(full_key, digest)
        if outcome is None:
            expires_ms = self._clock.now_ms() + self._settings.key_lifetime_ms

            async def send():
                return await self._claim_and_send(
                    full_key, digest, request, deadline, request_id, check
                )

            outcome = self._memory.start(full_key, digest, expires_ms, send)
        return await self._memory.wait(outcome, deadline)

    async def close(self):
        """Give up writing outcomes."""
        await self._tasks.close()

    async def _claim_and_send(
        self, key, digest, request, deadline, request_id, check_account
    ):
        own = Claim(
            util.new_id(),
            self._host_id,
            self._incarnation,
            digest,
            self._clock.wall_ms(),
        )
        hold = Deadline.after(self._clock, HOLD_MS)
        claim, version = await self._claim(key, own, deadline)
        if claim.token != own.token:
            return await self._outcome_of(key, claim, digest, deadline)

        def check():
            # The clock also runs while the process is frozen.
            if hold.passed():
                text = "The claim ran out before the request was sent."
                raise ServiceError(ErrorKind.QUEUE_TIMEOUT, text)
            if check_account is not None:
                check_account()

        try:
            answer = await self._applications.fetch(
                request, deadline, request_id, check
            )
        except ServiceError as e:
            state = None if e.answer.ran == Ran.NOT_RUN else UNKNOWN
            self._record(key, version, own, state)
            raise
        self._record(key, version, own, DONE, answer)
        return answer

    async def _claim(self, key, own, deadline):
        """Write the claim, or find whose it is.

        :return: the row's :class:`Claim` and its version.
        """
        backoff = util.Backoff(SETTLE_BACKOFF_MS, SETTLE_BACKOFF_MAX_MS)
        settled = Deadline.after(self._clock, min(SETTLE_MS, deadline.remaining_ms()))
        checks = [Check(TABLE, key, 0)]
        writes = [Write(TABLE, key, msgspec.json.encode(own))]
        while not settled.passed():
            try:
                result = await self._table.transact(checks, writes)
            except ServiceError as e:
                if e.kind != ErrorKind.OUTCOME_UNKNOWN:
                    raise _unavailable() from e
                # The write may have taken effect, or may still do so. Writing the
                # same claim again settles it: a row with this token is this claim.
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            if not isinstance(result, CheckFailed):
                return own, result.version_by_key[f"{TABLE}/{key}"]
            if result.row is not None:
                claim = msgspec.json.decode(result.row.value, type=Claim)
                return claim, result.row.version
        self._withdraw(key, own)
        raise _unavailable()

    def _withdraw(self, key, own):
        """Give up a claim that may have been written: nothing is sent under it."""
        if len(self._withdrawn_by_key) < MAX_WITHDRAWN:
            self._withdrawn_by_key[key] = own.token
            self._tasks.start(self._delete(key, own.token), name="claim withdrawal")

    async def _delete(self, key, token):
        backoff = util.Backoff(SETTLE_BACKOFF_MS, WITHDRAW_BACKOFF_MAX_MS)
        deadline = Deadline.after(self._clock, WITHDRAW_MS)
        try:
            while not deadline.passed():
                try:
                    row = await self._table.get(TABLE, key)
                    if row is not None:
                        claim = msgspec.json.decode(row.value, type=Claim)
                        if claim.token == token:
                            checks = [Check(TABLE, key, row.version)]
                            await self._table.transact(
                                checks, [Write(TABLE, key, None)]
                            )
                    return
                except ServiceError:
                    await self._clock.sleep_ms(backoff.next_ms())
        finally:
            if self._withdrawn_by_key.get(key) == token:
                del self._withdrawn_by_key[key]

    async def _outcome_of(self, key, claim, digest, deadline):
        """Return what came of a request that another claim stands for."""
        if claim.digest != digest:
            text = "The key was used with another request."
            raise ServiceError(ErrorKind.KEY_REUSED, text)
        if claim.state == DONE:
            if claim.answer is None:
                text = "It ran; the answer was not kept."
                raise ServiceError(ErrorKind.ANSWER_NOT_KEPT, text)
            return claim.answer
        if claim.token == self._withdrawn_by_key.get(key):
            raise _unavailable()
        # What a former run of this host did is not known here: asking this host
        # would wait for the very request that asks.
        if claim.state == UNKNOWN or claim.host == self._host_id:
            raise _unknown("It may have run.")
        account, _, caller_key = key.partition("/")
        message = AskOutcome(account, caller_key, digest, deadline.remaining_ms())
        try:
            answer = await self._links.call(
                claim.host, message, max(1, deadline.remaining_ms())
            )
        except ServiceError as e:
            if e.kind != ErrorKind.PEER_UNREACHABLE:
                raise
            raise _unknown("The host that sent it does not answer.") from e
        return answer.answer

    async def _on_ask(self, sender, message):
        key = f"{message.account}/{message.key}"
        outcome = self._memory.find(key, message.digest)
        if outcome is None and key in self._withdrawn_by_key:
            raise _unavailable()
        if outcome is None:
            raise _unknown("This host does not remember the request.")
        remaining_ms = time_to_answer_ms(message.remaining_ms)
        deadline = Deadline.after(self._clock, remaining_ms)
        return KeyedAnswer(await self._memory.wait(outcome, deadline))

    def _record(self, key, version, own, state, answer=None):
        """Write the outcome in the background; a claim that was not used is freed."""
        value = None
        if state is not None:
            kept = answer
            if answer is not None and len(answer.body) > MAX_KEPT_BODY_BYTES:
                kept = None
            value = msgspec.json.encode(
                msgspec.structs.replace(own, state=state, answer=kept)
            )
        write = self._write_outcome(key, version, value)
        self._tasks.start(write, name="claim outcome")

    async def _write_outcome(self, key, version, value):
        checks = [Check(TABLE, key, version)]
        try:
            with self._memory.hold():
                await self._table.transact(checks, [Write(TABLE, key, value)])
        except ServiceError as e:
            log.info("The outcome of a claim was not written: %s", e)


def _unavailable():
    text = "No claim could be written. Use a key of POST /v1/keys meanwhile."
    return ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)


def _unknown(text):
    return ServiceError(ErrorKind.OUTCOME_UNKNOWN, f"{text} It will not be sent.")
