"""Server-sent events, taken apart as they come."""

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

# Far over any event of an engine; a longer line means that the stream is broken.
MAX_EVENT_BYTES = 1 << 20


class EventFields(msgspec.Struct, frozen=True):
    """The names of the lines that an event holds beside its data.

    :param version: the line with the weight version from this event on.
    """

    version: str


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    :param id: its id, or an empty string.
    :param data: its data.
    :param version: the weight version from this event on, where it says so.
    :param raw: its bytes as they came, with the blank line at its end.
    """

    id: str
    data: str
    version: int | None
    raw: bytes


class EventParser:
    """Turn chunks of bytes into events; an event that is cut off never counts.

    :param fields: the :class:`EventFields`.
    """

    __slots__ = ("_fields", "_buffer")

    def __init__(self, fields):
        self._fields = fields
        self._buffer = b""

    @property
    def has_partial_event(self):
        """Whether an event has begun and not ended."""
        return bool(self._buffer.strip())

    def feed(self, chunk):
        """Yield the events that a chunk completes.

        :param chunk: the bytes.
        :raises ServiceError: ``UPSTREAM_FAILED`` when they are no events.
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
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, "An event is too long.")

    def _decode(self, raw):
        event_id, data, version = "", [], None
        try:
            lines = raw.decode().splitlines()
        except UnicodeDecodeError as e:
            text = "An event is not text."
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
