"""The frames in which peer messages travel, and their codec."""

import msgspec

from goldcrestmoor import wire
from goldcrestmoor.errors import ErrorKind, ServiceError

KIND_CALL = b"C"
KIND_SEND = b"S"
KIND_REPLY = b"R"
KINDS = (KIND_CALL, KIND_SEND, KIND_REPLY)
FRAMES_PER_MESSAGE = 5
CALL_ID_BYTES = 16


class Headers(msgspec.Struct, frozen=True, array_like=True):
    """The metadata sent with each message.

    :param sender: the sending host's name.
    :param incarnation: the sending process, identified by random hexadecimal digits.
    :param traceparent: the W3C trace context, or an empty string.
    :param deadline_ms: the remaining time that the sender waits, in milliseconds.
    """

    sender: str
    incarnation: str
    traceparent: str = ""
    deadline_ms: int = 0


class Envelope(msgspec.Struct, frozen=True):
    """One received message with its metadata."""

    kind: bytes
    call_id: bytes
    name: str
    headers: Headers
    message: wire.Message


_headers_decoder = msgspec.msgpack.Decoder(Headers)


def encode(kind, call_id, headers, message):
    """Return the frames of one message.

    :param kind: one of :data:`KINDS`.
    :param call_id: the call's id, :data:`CALL_ID_BYTES` long.
    :param headers: the :class:`Headers`.
    :param message: a :class:`~goldcrestmoor.wire.Message`.
    """
    name, body = wire.encode(message)
    return [kind, call_id, name, msgspec.msgpack.encode(headers), body]


def decode(parts):
    """Return the envelope that the frames encode.

    :param parts: the frames as byte strings, without the routing identity.
    :raises ServiceError: ``BAD_REQUEST`` when they are malformed.
    """
    if len(parts) != FRAMES_PER_MESSAGE:
        raise ServiceError(ErrorKind.BAD_REQUEST, "Wrong number of peer frames.")
    kind, call_id, name, headers, body = parts
    if kind not in KINDS or len(call_id) != CALL_ID_BYTES:
        raise ServiceError(ErrorKind.BAD_REQUEST, "Malformed peer frames.")
    try:
        decoded = _headers_decoder.decode(headers)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise ServiceError(ErrorKind.BAD_REQUEST, "Malformed peer headers.") from e
    message = wire.decode(name, body)
    return Envelope(kind, call_id, type(message).__name__, decoded, message)


def size(parts):
    """Return the total size of the frames in bytes.

    :param parts: the frames.
    """
    return sum(len(part) for part in parts)
