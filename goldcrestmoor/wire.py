"""The typed messages that daemons exchange, and their codec."""

import msgspec

from goldcrestmoor.errors import ErrorBody, ErrorKind, ServiceError

_class_by_name = {}
_decoder_by_name = {}
_encoder = msgspec.msgpack.Encoder()


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """The base of every message between daemons.

    A subclass is known by its name on the wire. Fields are encoded by name, so
    that daemons of two releases understand each other during a rollout: a new
    field needs a default. The most frequent messages are ``array_like``, without
    the names; a new field of theirs also stands last.
    """

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        _class_by_name[cls.__name__] = cls


class Failed(Message, frozen=True):
    """The answer to a call that ended in an error."""

    error: ErrorBody


class Done(Message, frozen=True):
    """The answer to a call that has nothing else to say."""


def encode(message):
    """Return a message as its name and its body.

    :param message: an instance of a :class:`Message` subclass.
    :return: two byte strings.
    """
    return type(message).__name__.encode(), _encoder.encode(message)


def decode(name, body):
    """Return the message that two byte strings hold.

    :param name: the message's name.
    :param body: its encoded fields.
    :raises ServiceError: ``BAD_REQUEST`` when the name is unknown or the body is
        malformed.
    """
    key = name.decode("ascii", "replace")
    decoder = _decoder_by_name.get(key)
    if decoder is None:
        if key not in _class_by_name:
            raise ServiceError(ErrorKind.BAD_REQUEST, "Unknown peer message.")
        decoder = msgspec.msgpack.Decoder(_class_by_name[key])
        _decoder_by_name[key] = decoder
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as e:
        raise ServiceError(ErrorKind.BAD_REQUEST, "Malformed peer message.") from e
