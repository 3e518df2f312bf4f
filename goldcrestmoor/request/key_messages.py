"""What hosts say to each other about idempotency keys."""

from goldcrestmoor import wire
from goldcrestmoor.request.apps import AppRequest, AppResponse

REPLY_MARGIN_MS = 500


def reply_timeout_ms(remaining_ms):
    """Return the time in which a peer must answer, so that its answer still arrives.

    :param remaining_ms: the asking host's remaining time, in milliseconds.
    """
    return remaining_ms - min(REPLY_MARGIN_MS, remaining_ms // 2)


class SendWithKey(wire.Message, frozen=True):
    """Send a request in the name of a key that the receiver minted.

    :param account: the account's name.
    :param key: the key.
    :param request: the request.
    :param remaining_ms: the time left to answer it, in milliseconds.
    :param request_id: the request's id.
    """

    account: str
    key: str
    request: AppRequest
    remaining_ms: int
    request_id: str


class AskOutcome(wire.Message, frozen=True):
    """Ask for the outcome of a request that the receiver claimed.

    :param account: the account's name.
    :param key: the key.
    :param digest: the digest of the request.
    :param remaining_ms: how long to wait for it, in milliseconds.
    """

    account: str
    key: str
    digest: str
    remaining_ms: int


class KeyedAnswer(wire.Message, frozen=True):
    """The recorded answer of a request with a key."""

    answer: AppResponse
