"""Requests with minted keys, which only the minting host sends to upstreams."""

import logging

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request.authentication import check_access
from goldcrestmoor.request.key_messages import (
    KeyedAnswer,
    SendWithKey,
    reply_timeout_ms,
)
from goldcrestmoor.request.outcome_cache import request_digest

log = logging.getLogger("goldcrestmoor.keys")

ALIVE = "alive"
DEAD = "dead"
MAX_CALLS = 2


class MintedKeys:
    """Send requests with minted keys, on this host or through the minting host.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param mint: the :class:`~goldcrestmoor.request.key_mint.KeyMint`.
    :param memory: the :class:`~goldcrestmoor.request.outcome_cache.OutcomeCache`.
    :param applications: the :class:`~goldcrestmoor.request.apps.ApplicationClient`.
    :param links: the ``PeerLinks``.
    :param membership: the ``Membership``.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param settings: the :class:`~goldcrestmoor.settings.IdempotencySettings`.
    """

    __slots__ = (
        "_clock",
        "_mint",
        "_outcomes",
        "_applications",
        "_links",
        "_membership",
        "_lease",
        "_settings",
    )

    def __init__(
        self,
        *,
        clock,
        mint,
        memory,
        applications,
        links,
        membership,
        lease,
        settings,
    ):
        self._clock = clock
        self._mint = mint
        self._outcomes = memory
        self._applications = applications
        self._links = links
        self._membership = membership
        self._lease = lease
        self._settings = settings
        links.register(SendWithKey, self._on_send)

    async def run(self, account, key, request, deadline, request_id, check=None):
        """Send a request with a minted key, or return its recorded response.

        :param account: the account's name.
        :param key: the key.
        :param request: the :class:`~goldcrestmoor.request.apps.AppRequest`.
        :param deadline: the time by which the response must be complete.
        :param request_id: the request's id.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        :raises ServiceError: ``OUTCOME_UNKNOWN`` when the host that minted the key
            is unreachable, ``KEY_EXPIRED``, ``KEY_REUSED`` or ``IN_PROGRESS``.
        """
        minted = self._mint.parse(key, account)
        if self._mint.is_own(minted):
            return await self._run_here(
                account, key, minted, request, deadline, request_id, check
            )
        record = self._membership.find(minted.host)
        if record is None or str(record.state) == DEAD:
            raise _outcome_unknown("The host that minted the key is dead or unknown.")
        message = SendWithKey(
            account, key, request, deadline.remaining_ms(), request_id
        )
        answer = await self._ask_minting_host(minted.host, message, deadline)
        return answer.answer

    async def _ask_minting_host(self, host, message, deadline):
        """Request the send, or its recorded outcome, from the minting host.

        The link may become unresponsive while that host works. A second call, on a
        new connection, gets the same outcome.
        """
        for attempt in range(MAX_CALLS):
            record = self._membership.find(host)
            is_alive = record is not None and str(record.state) == ALIVE
            if deadline.passed() or (attempt and not is_alive):
                break
            remaining_ms = max(1, deadline.remaining_ms())
            message = msgspec.structs.replace(message, remaining_ms=remaining_ms)
            try:
                return await self._links.call(host, message, remaining_ms)
            except ServiceError as e:
                if attempt and e.answer.ran == Ran.NOT_RUN:
                    # "Not run" holds for the second call only.
                    break
                if e.kind != ErrorKind.PEER_UNREACHABLE:
                    raise
        raise _outcome_unknown("The host that minted the key did not reply.")

    async def _run_here(
        self, account, key, minted, request, deadline, request_id, check_account
    ):
        digest = request_digest(request)
        full_key = f"{account}/{key}"
        outcome = self._outcomes.find(full_key, digest)
        if outcome is None:
            expires_ms = minted.minted_ms + self._settings.key_lifetime_ms

            def check():
                # The clock also advances during a process pause.
                if self._clock.now_ms() >= expires_ms:
                    text = "The key has expired; no request is sent with it."
                    raise ServiceError(ErrorKind.KEY_EXPIRED, text)
                if check_account is not None:
                    check_account()

            check()

            async def send():
                return await self._applications.fetch(
                    request, deadline, request_id, check
                )

            outcome = self._outcomes.start(full_key, digest, expires_ms, send)
        return await self._outcomes.wait(outcome, deadline)

    async def _on_send(self, sender, message):
        minted = self._mint.parse(message.key, message.account)
        if not self._mint.is_own(minted):
            raise _outcome_unknown("The host that minted the key has restarted.")
        accounts = self._lease.view().configuration.accounts_by_name
        account = accounts.get(message.account)
        if account is None or message.request.pool not in account.pools:
            text = "The account may not use this pool."
            raise ServiceError(ErrorKind.FORBIDDEN, text)
        full_key = f"{message.account}/{message.key}"
        digest = request_digest(message.request)
        if not self._outcomes.is_open and self._outcomes.find(full_key, digest) is None:
            raise ServiceError(
                ErrorKind.DRAINING, "The host that minted the key is shutting down."
            )
        remaining_ms = reply_timeout_ms(message.remaining_ms)
        deadline = Deadline.after(self._clock, remaining_ms)

        def check():
            check_access(self._lease.view(), account, message.request.pool)

        answer = await self._run_here(
            message.account,
            message.key,
            minted,
            message.request,
            deadline,
            message.request_id,
            check,
        )
        return KeyedAnswer(answer)


def _outcome_unknown(text):
    return ServiceError(
        ErrorKind.OUTCOME_UNKNOWN, f"{text} The request will not be sent."
    )
