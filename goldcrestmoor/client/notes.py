"""Client library for applications: saves each note at most once."""

import enum
import logging

import msgspec

from goldcrestmoor.client.transport import (
    HostRing,
    checked,
    make_transport,
    was_not_run,
)
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff, new_id

log = logging.getLogger("goldcrestmoor.client")

MINT_TIMEOUT_MS = 2000
ATTEMPT_TIMEOUT_MS = 8000
BACKOFF_MIN_MS = 50
BACKOFF_MAX_MS = 1000
KEY_HEADER = b"idempotency-key"


class Outcome(enum.StrEnum):
    """The outcome of saving a note."""

    SAVED = "saved"
    NOT_SAVED = "not saved"
    UNKNOWN = "unknown"


class SaveResult(msgspec.Struct, frozen=True):
    """The result of :meth:`NotesClient.save`.

    :param outcome: whether the note was saved.
    :param key: the idempotency key that the note was sent with.
    :param body: the application's response, when the note was saved.
    :param reason: why the note was not saved, or why the outcome is unknown.
    """

    outcome: Outcome
    key: str
    body: bytes = b""
    reason: str = ""


class KeyAnswer(msgspec.Struct, frozen=True):
    """The response to ``POST /v1/keys``."""

    key: str


class NotesClient:
    """Saves notes through any host, each at most once.

    :param urls: the hosts' base URLs, such as ``["http://127.0.0.1:8080"]``.
    :param token: the token of the application's client account.
    :param transport: sends the requests; by default created from the token.
    :param clock: the clock; by default a new :class:`~goldcrestmoor.clock.Clock`.
    """

    __slots__ = ("_hosts", "_transport", "_clock")

    def __init__(self, urls, token, transport=None, clock=None):
        self._hosts = HostRing(urls)
        self._transport = transport or make_transport(token)
        self._clock = clock or Clock()

    async def close(self):
        """Close the open connections, at the end of the event loop at the latest."""
        await self._transport.close()

    async def save(self, path, body, timeout_ms, headers=()):
        """Save one note.

        :param path: the request target, such as ``/apps/fit-desk/notes``.
        :param body: the note, as bytes.
        :param timeout_ms: the total time for all attempts, in milliseconds.
        :param headers: additional ``(name, value)`` pairs of bytes.
        :return: the outcome, as :class:`SaveResult`.
        """
        deadline = Deadline.after(self._clock, timeout_ms)
        key = await self._mint_key(deadline)
        headers = [(KEY_HEADER, key.encode()), *headers]
        backoff = Backoff(BACKOFF_MIN_MS, BACKOFF_MAX_MS)
        unknown = False
        while True:
            attempt_ms = max(1, min(ATTEMPT_TIMEOUT_MS, deadline.remaining_ms()))
            try:
                response = await self._transport.post(
                    self._hosts.current, path, body, attempt_ms, headers
                )
                return SaveResult(Outcome.SAVED, key, checked(response))
            except ServiceError as e:
                # Once the outcome of an attempt is unknown, a later attempt that was
                # not run does not show whether the earlier one ran.
                unknown = unknown or not was_not_run(e)
                if deadline.passed() or _is_final(e):
                    outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_SAVED
                    return SaveResult(outcome, key, reason=str(e))
                pause_ms = max(backoff.next_ms(), _requested_pause_ms(e))
            self._hosts.advance()
            await self._clock.sleep_ms(min(pause_ms, deadline.remaining_ms()))

    async def _mint_key(self, deadline):
        for _ in range(len(self._hosts)):
            timeout_ms = min(MINT_TIMEOUT_MS, deadline.remaining_ms())
            if timeout_ms <= 0:
                break
            try:
                response = await self._transport.post(
                    self._hosts.current, "/v1/keys", b"", timeout_ms
                )
                return msgspec.json.decode(checked(response), type=KeyAnswer).key
            except (ServiceError, msgspec.MsgspecError) as e:
                log.info("Host %s failed to mint a key: %s", self._hosts.current, e)
                self._hosts.advance()
        return new_id()


def _is_final(error):
    return error.kind in (
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHORIZED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.TOO_LARGE,
        ErrorKind.KEY_REUSED,
        ErrorKind.KEY_EXPIRED,
        ErrorKind.OUTCOME_UNKNOWN,
    )


def _requested_pause_ms(error):
    return error.retry_after_ms if error.kind == ErrorKind.IN_PROGRESS else 0
