"""Requests with keys chosen by callers, claimed in a table before sending."""

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
    reply_timeout_ms,
)
from goldcrestmoor.request.outcome_cache import MAX_CACHED_BODY_BYTES, request_digest

log = logging.getLogger("goldcrestmoor.keys")

TABLE = "claims"
SEND_WINDOW_MS = 5000
CLAIM_BACKOFF_MS = 50
CLAIM_BACKOFF_MAX_MS = 500
CLAIM_RESOLVE_MS = 3000
WITHDRAW_MS = 60_000
WITHDRAW_BACKOFF_MAX_MS = 5000
MAX_WITHDRAWN_CLAIMS = 1000
KEY_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True):
    """One row of the claims table.

    :param token: the unique id of this claim.
    :param host: the host that holds the claim, and the only one that sends.
    :param incarnation: the incarnation of that host.
    :param digest: the request's digest.
    :param claimed_wall_ms: the wall-clock time of the claim.
    :param state: ``running``, ``done`` or ``unknown``.
    :param answer: the recorded response; None while running, or when too large.
    """

    token: str
    host: str
    incarnation: str
    digest: str
    claimed_wall_ms: int
    state: str = RUNNING
    answer: AppResponse | None = None


class ClaimedKeys:
    """Send requests with keys that callers chose.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: this host.
    :param incarnation: this host's incarnation.
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
        "_outcomes",
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
        self._outcomes = memory
        self._applications = applications
        self._links = links
        self._settings = settings
        self._tasks = util.TaskGroup()
        self._withdrawn_by_key = {}
        links.register(AskOutcome, self._on_ask_outcome)

    async def run(self, account, key, request, deadline, request_id, check=None):
        """Send a request with a caller's key, or return its recorded response.

        :param account: the account's name.
        :param key: the key.
        :param request: the :class:`~goldcrestmoor.request.apps.AppRequest`.
        :param deadline: the time by which the response must be complete.
        :param request_id: the request's id.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when no claim could be
            written, ``KEY_REUSED``, ``IN_PROGRESS`` or ``OUTCOME_UNKNOWN``.
        """
        if not KEY_PATTERN.match(key):
            raise ServiceError(ErrorKind.BAD_REQUEST, "The key is malformed.")
        digest = request_digest(request)
        full_key = f"{account}/{key}"
        outcome = self._outcomes.find(full_key, digest)
        if outcome is None:
            expires_ms = self._clock.now_ms() + self._settings.key_lifetime_ms

            async def send():
                return await self._claim_and_send(
                    full_key, digest, request, deadline, request_id, check
                )

            outcome = self._outcomes.start(full_key, digest, expires_ms, send)
        return await self._outcomes.wait(outcome, deadline)

    async def close(self):
        """Cancel the claim writes and withdrawals that are still running."""
        await self._tasks.close()

    async def _claim_and_send(
        self, key, digest, request, deadline, request_id, check_account
    ):
        own_claim = Claim(
            util.new_id(),
            self._host_id,
            self._incarnation,
            digest,
            self._clock.wall_ms(),
        )
        send_window = Deadline.after(self._clock, SEND_WINDOW_MS)
        claim, version = await self._claim(key, own_claim, deadline)
        if claim.token != own_claim.token:
            return await self._existing_outcome(key, claim, digest, deadline)

        def check():
            # The clock also advances during a process pause.
            if send_window.passed():
                text = "The claim expired before the request was sent."
                raise ServiceError(ErrorKind.QUEUE_TIMEOUT, text)
            if check_account is not None:
                check_account()

        try:
            answer = await self._applications.fetch(
                request, deadline, request_id, check
            )
        except ServiceError as e:
            state = None if e.answer.ran == Ran.NOT_RUN else UNKNOWN
            self._record(key, version, own_claim, state)
            raise
        self._record(key, version, own_claim, DONE, answer)
        return answer

    async def _claim(self, key, own_claim, deadline):
        """Write the claim, or read the claim that already exists.

        :return: the row's :class:`Claim` and its version.
        """
        backoff = util.Backoff(CLAIM_BACKOFF_MS, CLAIM_BACKOFF_MAX_MS)
        resolve_deadline = Deadline.after(
            self._clock, min(CLAIM_RESOLVE_MS, deadline.remaining_ms())
        )
        checks = [Check(TABLE, key, 0)]
        writes = [Write(TABLE, key, msgspec.json.encode(own_claim))]
        while not resolve_deadline.passed():
            try:
                result = await self._table.transact(checks, writes)
            except ServiceError as e:
                if e.kind != ErrorKind.OUTCOME_UNKNOWN:
                    raise _platform_unavailable() from e
                # The write may have taken effect, or may still do so. Writing the
                # same claim again resolves this: a row with the token is this claim.
                await self._clock.sleep_ms(backoff.next_ms())
                continue
            if not isinstance(result, CheckFailed):
                return own_claim, result.version_by_key[f"{TABLE}/{key}"]
            if result.row is not None:
                claim = msgspec.json.decode(result.row.value, type=Claim)
                return claim, result.row.version
        self._withdraw(key, own_claim)
        raise _platform_unavailable()

    def _withdraw(self, key, own_claim):
        """Withdraw a claim that may have been written; no request is sent with it."""
        if len(self._withdrawn_by_key) < MAX_WITHDRAWN_CLAIMS:
            self._withdrawn_by_key[key] = own_claim.token
            self._tasks.start(
                self._delete(key, own_claim.token), name="claim withdrawal"
            )

    async def _delete(self, key, token):
        backoff = util.Backoff(CLAIM_BACKOFF_MS, WITHDRAW_BACKOFF_MAX_MS)
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

    async def _existing_outcome(self, key, claim, digest, deadline):
        """Return the outcome of the request that holds the existing claim."""
        if claim.digest != digest:
            text = "The key was used with another request."
            raise ServiceError(ErrorKind.KEY_REUSED, text)
        if claim.state == DONE:
            if claim.answer is None:
                text = "The request ran; its response was too large to store."
                raise ServiceError(ErrorKind.ANSWER_NOT_KEPT, text)
            return claim.answer
        if claim.token == self._withdrawn_by_key.get(key):
            raise _platform_unavailable()
        # This host has no record of its earlier incarnations, and a call to itself
        # would wait for the very request that makes the call.
        if claim.state == UNKNOWN or claim.host == self._host_id:
            raise _outcome_unknown("The request may have run.")
        account, _, caller_key = key.partition("/")
        message = AskOutcome(account, caller_key, digest, deadline.remaining_ms())
        try:
            answer = await self._links.call(
                claim.host, message, max(1, deadline.remaining_ms())
            )
        except ServiceError as e:
            if e.kind != ErrorKind.PEER_UNREACHABLE:
                raise
            raise _outcome_unknown(
                "The host that sent the request is unreachable."
            ) from e
        return answer.answer

    async def _on_ask_outcome(self, sender, message):
        key = f"{message.account}/{message.key}"
        outcome = self._outcomes.find(key, message.digest)
        if outcome is None and key in self._withdrawn_by_key:
            raise _platform_unavailable()
        if outcome is None:
            raise _outcome_unknown("This host has no record of the request.")
        remaining_ms = reply_timeout_ms(message.remaining_ms)
        deadline = Deadline.after(self._clock, remaining_ms)
        return KeyedAnswer(await self._outcomes.wait(outcome, deadline))

    def _record(self, key, version, own_claim, state, answer=None):
        """Write the outcome in the background; delete a claim that was not used."""
        value = None
        if state is not None:
            stored_answer = answer
            if answer is not None and len(answer.body) > MAX_CACHED_BODY_BYTES:
                stored_answer = None
            value = msgspec.json.encode(
                msgspec.structs.replace(own_claim, state=state, answer=stored_answer)
            )
        write = self._write_outcome(key, version, value)
        self._tasks.start(write, name="claim outcome")

    async def _write_outcome(self, key, version, value):
        checks = [Check(TABLE, key, version)]
        try:
            with self._outcomes.hold():
                await self._table.transact(checks, [Write(TABLE, key, value)])
        except ServiceError as e:
            log.info("Outcome of a claim not written: %s", e)


def _platform_unavailable():
    text = "No claim could be written. Use a key from POST /v1/keys in the meantime."
    return ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)


def _outcome_unknown(text):
    return ServiceError(
        ErrorKind.OUTCOME_UNKNOWN, f"{text} The request will not be sent."
    )
