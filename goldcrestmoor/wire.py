"""The base class and the codec of the typed messages between daemons."""

import msgspec

from goldcrestmoor.errors import ErrorBody, ErrorKind, ServiceError

_class_by_name = {}
_decoder_by_name = {}
_encoder = msgspec.msgpack.Encoder()


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """The base class of every message between daemons.

    The class name of a subclass identifies the message on the wire. Fields are
    encoded by name, so that daemons of two releases are compatible during a rollout:
    a new field needs a default. The most frequent messages are ``array_like``, which
    omits the field names; a new field of such a message must also be the last one.
    """

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        _class_by_name[cls.__name__] = cls


class Failed(Message, frozen=True):
    """The reply to a call that failed."""

    error: ErrorBody


class Done(Message, frozen=True):
    """The reply to a call that succeeded without a result."""


def encode(message):
    """Return the name and the encoded body of a message.

    :param message: an instance of a :class:`Message` subclass.
    :return: the name and the body, as bytes.
    """
    return type(message).__name__.encode(), _encoder.encode(message)


def decode(name, body):
    """Return the message with the given name and encoded body.

    :param name: the message's name, as bytes.
    :param body: the encoded fields.
    :raises ServiceError: ``BAD_REQUEST`` when the name is unknown or the body is
        malformed.
    """
    key = name.decode("ascii", "replace")
    decoder = _decoder_by_name.get(key)
    if decoder is None:
        if key not in _class_by_name:
            raise ServiceError(ErrorKind.BAD_REQUEST, "Unknown peer message type.")
        decoder = msgspec.msgpack.Decoder(_class_by_name[key])
        _decoder_by_name[key] = decoder
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as e:
        raise ServiceError(ErrorKind.BAD_REQUEST, "Malformed peer message.") from e
