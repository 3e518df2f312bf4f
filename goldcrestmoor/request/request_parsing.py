"""Parsing of request bodies and deadlines, common to all routes."""

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError

TIMEOUT_HEADER = b"X-Timeout-Ms"


async def read_json(request, cls):
    """Return a request's JSON body, decoded and validated.

    :param request: the blacksheep request.
    :param cls: the ``msgspec.Struct`` to decode it to.
    :raises ServiceError: ``BAD_REQUEST`` when the body does not match.
    """
    data = await request.read()
    try:
        return msgspec.json.decode(data or b"", type=cls)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise ServiceError(ErrorKind.BAD_REQUEST, f"The body is invalid: {e}.") from e


def read_deadline(request, clock, max_ms):
    """Return the deadline that a caller requests, limited to the host's maximum.

    :param request: the blacksheep request.
    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param max_ms: the longest that a request may take, in milliseconds.
    :raises ServiceError: ``BAD_REQUEST`` when the header is not a number.
    """
    value = request.get_first_header(TIMEOUT_HEADER)
    if value is None:
        return Deadline.after(clock, max_ms)
    if not value.isdigit():
        raise ServiceError(ErrorKind.BAD_REQUEST, "X-Timeout-Ms is not a number.")
    return Deadline.after(clock, min(int(value[:9]), max_ms))
