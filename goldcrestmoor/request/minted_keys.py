"""Requests under minted keys: only the host that minted a key ever sends."""

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
    """Send under minted keys, here or through the host that minted them.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param mint: the :class:`~goldcrestmoor.request.key_mint.KeyMint`.
    :param memory: the :class:`~goldcrestmoor.request.outcome_cache.OutcomeCache`.
    :param applications: the :class:`~goldcrestmoor.request.apps.ApplicationClient`.
    :param links: the ``PeerLinks``.
    :param membership: the ``Membership``.
    :param lease: gives the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param settings: the :class:`~goldcrestmoor.settings.IdempotencySettings`.
    """

    __slots__ = (
        "_clock",
        "_mint",
        "_memory",
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
        self._memory = memory
        self._applications = applications
        self._links = links
        self._membership = membership
        self._lease = lease
        self._settings = settings
        links.register(SendWithKey, self._on_send)

    async def run(self, account, key, request, deadline, request_id, check=None):
        """Send a request under a minted key, or return its recorded answer.

        :param account: the account's name.
        :param key: the key.
        :param request: the :class:`~goldcrestmoor.request.apps.AppRequest`.
        :param deadline: when the answer must be there.
        :param request_id: the request.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        :raises ServiceError: ``OUTCOME_UNKNOWN`` when the host that minted the key
            cannot be asked, ``KEY_EXPIRED``, ``KEY_REUSED`` or ``IN_PROGRESS``.
        """
        minted = self._mint.parse(key, account)
        if self._mint.is_own(minted):
            return await self._run_here(
                account, key, minted, request, deadline, request_id, check
            )
        record = self._membership.find(minted.host)
        if record is None or str(record.state) == DEAD:
            raise _outcome_unknown("The host that minted the key is gone.")
        message = SendWithKey(
            account, key, request, deadline.remaining_ms(), request_id
        )
        answer = await self._ask_minting_host(minted.host, message, deadline)
        return answer.answer

    async def _ask_minting_host(self, host, message, deadline):
        """Ask the host that minted a key to send, or for what came of it.

        A link may go silent while that host works. Asking once more, on a link
        that is dialled anew, gets the same outcome.
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
                    # What it says is true of the second asking alone.
                    break
                if e.kind != ErrorKind.PEER_UNREACHABLE:
                    raise
        raise _outcome_unknown("The host that minted the key does not answer.")

    async def _run_here(
        self, account, key, minted, request, deadline, request_id, check_account
    ):
        digest = request_digest(request)
        full_key = f"{account}/{key}"
        outcome = self._memory.find(full_key, digest)
        if outcome is None:
            expires_ms = minted.minted_ms + self._settings.key_lifetime_ms

            def check():
                # The clock also runs while the process is frozen.
                if self._clock.now_ms() >= expires_ms:
                    text = "The key is too old to be sent with."
                    raise ServiceError(ErrorKind.KEY_EXPIRED, text)
                if check_account is not None:
                    check_account()

            check()

            async def send():
                return await self._applications.fetch(
                    request, deadline, request_id, check
                )

            outcome = self._memory.start(full_key, digest, expires_ms, send)
        return await self._memory.wait(outcome, deadline)

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
        if not self._memory.is_open and self._memory.find(full_key, digest) is None:
            raise ServiceError(ErrorKind.DRAINING, "The key's host is shutting down.")
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
    return ServiceError(ErrorKind.OUTCOME_UNKNOWN, f"{text} It will not be sent.")
