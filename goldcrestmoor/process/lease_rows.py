"""The rows in which leases are kept."""

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

TABLE = "leases"


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as the table service keeps it.

    :param holder: the holding host, or an empty string once released.
    :param token: the one holding of one process; no other ever has it.
    :param fencing: grows by one with each new holding.
    :param duration_ms: how long a renewal lasts, in milliseconds.
    """

    holder: str
    token: str
    fencing: int
    duration_ms: int


_decoder = msgspec.json.Decoder(LeaseRow)


def encode(row):
    """Return a lease row's value.

    :param row: a :class:`LeaseRow`.
    """
    return msgspec.json.encode(row)


def decode(value):
    """Return the lease row that a value holds.

    :param value: what :func:`encode` gave.
    :raises ServiceError: ``INTERNAL`` when it holds none.
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as e:
        raise ServiceError(ErrorKind.INTERNAL, "A lease row is malformed.") from e
