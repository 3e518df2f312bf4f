"""Rows that store leases."""

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

TABLE = "leases"


class LeaseRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A lease as the table service stores it.

    :param holder: the host that holds the lease, or an empty string once released.
    :param token: identifies one holding by one process; never reused.
    :param fencing: the fencing number; increases by one with each new holding.
    :param duration_ms: how long a renewal lasts, in milliseconds.
    :param is_settled: whether the holder has waited as long as a new holder must,
        so that its next process need not; see ``exclusive_duty.py``.
    """

    holder: str
    token: str
    fencing: int
    duration_ms: int
    is_settled: bool = False


_decoder = msgspec.json.Decoder(LeaseRow)


def encode(row):
    """Encode a lease row.

    :param row: a :class:`LeaseRow`.
    """
    return msgspec.json.encode(row)


def decode(value):
    """Decode a lease row.

    :param value: the encoded row, as :func:`encode` returned it.
    :raises ServiceError: ``INTERNAL`` when the value is not a lease row.
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as e:
        raise ServiceError(ErrorKind.INTERNAL, "A lease row is malformed.") from e
