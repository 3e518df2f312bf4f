"""Incremental parser of server-sent events."""

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

# Far above the size of any engine's event; a longer one means a broken stream.
MAX_EVENT_BYTES = 1 << 20


class EventFields(msgspec.Struct, frozen=True):
    """The names of an event's additional fields.

    :param version: the field with the weight version as of this event.
    """

    version: str


class Event(msgspec.Struct, frozen=True):
    """One complete event.

    :param id: the event's id, or an empty string.
    :param data: the event's data.
    :param version: the weight version as of this event, or None when not stated.
    :param raw: the bytes as received, with the terminating blank line.
    """

    id: str
    data: str
    version: int | None
    raw: bytes


class EventParser:
    """Parse bytes into events; a truncated event is never yielded.

    :param fields: the :class:`EventFields`.
    """

    __slots__ = ("_fields", "_buffer")

    def __init__(self, fields):
        self._fields = fields
        self._buffer = b""

    @property
    def has_partial_event(self):
        """Whether an event has begun but not ended."""
        return bool(self._buffer.strip())

    def feed(self, chunk):
        """Yield the events that the next bytes complete.

        :param chunk: the bytes.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the bytes are not valid events.
        """
        self._buffer += chunk
        while True:
            end = self._buffer.find(b"\n\n")
            crlf = self._buffer.find(b"\r\n\r\n")
            if crlf >= 0 and (end < 0 or crlf < end):
                end, length = crlf, 4
            elif end >= 0:
                length = 2
            else:
                break
            raw = self._buffer[: end + length]
            self._buffer = self._buffer[end + length :]
            if raw.strip():
                yield self._decode(raw)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ServiceError(
                ErrorKind.UPSTREAM_FAILED,
                f"An event is longer than {MAX_EVENT_BYTES} bytes.",
            )

    def _decode(self, raw):
        event_id, data, version = "", [], None
        try:
            lines = raw.decode().splitlines()
        except UnicodeDecodeError as e:
            text = "An event is not valid UTF-8."
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e
        for line in lines:
            name, separator, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "id":
                event_id = value
            elif name == self._fields.version and value.strip().isdigit():
                version = int(value)
            elif line and name and not separator:
                raise ServiceError(ErrorKind.UPSTREAM_FAILED, "An event is malformed.")
        return Event(event_id, "\n".join(data), version, raw)
