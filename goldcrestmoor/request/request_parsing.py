"""What every route reads from a request: its body and its deadline."""

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError

TIMEOUT_HEADER = b"X-Timeout-Ms"


async def read_json(request, cls):
    """Return a request's body, decoded strictly.

    :param request: the blacksheep request.
    :param cls: the ``msgspec.Struct`` that it must hold.
    :raises ServiceError: ``BAD_REQUEST`` when it does not.
    """
    data = await request.read()
    try:
        return msgspec.json.decode(data or b"", type=cls)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise ServiceError(ErrorKind.BAD_REQUEST, f"The body is wrong: {e}.") from e


def read_deadline(request, clock, max_ms):
    """Return the deadline that a caller asks for, within the host's bound.

    :param request: the blacksheep request.
    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param max_ms: the longest that a request may take, in milliseconds.
    :raises ServiceError: ``BAD_REQUEST`` when the header is no number.
    """
    value = request.get_first_header(TIMEOUT_HEADER)
    if value is None:
        return Deadline.after(clock, max_ms)
    if not value.isdigit():
        raise ServiceError(ErrorKind.BAD_REQUEST, "X-Timeout-Ms is not a number.")
    return Deadline.after(clock, min(int(value[:9]), max_ms))
