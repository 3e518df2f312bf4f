"""Messages between hosts about idempotency keys."""

from goldcrestmoor import wire
from goldcrestmoor.request.apps import AppRequest, AppResponse

REPLY_MARGIN_MS = 500


def reply_timeout_ms(remaining_ms):
    """Return the time within which a peer must reply for its reply to arrive in time.

    :param remaining_ms: the calling host's remaining time, in milliseconds.
    """
    return remaining_ms - min(REPLY_MARGIN_MS, remaining_ms // 2)


class SendWithKey(wire.Message, frozen=True):
    """Send a request with a key that the receiver minted.

    :param account: the account's name.
    :param key: the key.
    :param request: the request.
    :param remaining_ms: the time left for the response, in milliseconds.
    :param request_id: the request's id.
    """

    account: str
    key: str
    request: AppRequest
    remaining_ms: int
    request_id: str


class AskOutcome(wire.Message, frozen=True):
    """Request the outcome of a request that the receiver claimed.

    :param account: the account's name.
    :param key: the key.
    :param digest: the digest of the request.
    :param remaining_ms: how long to wait for the outcome, in milliseconds.
    """

    account: str
    key: str
    digest: str
    remaining_ms: int


class KeyedAnswer(wire.Message, frozen=True):
    """The recorded response to a request with a key."""

    answer: AppResponse
