"""Incremental parser of server-sent events."""

import re

import msgspec

from goldcrestmoor.decoding import parse_integer
from goldcrestmoor.errors import ErrorKind, ServiceError

# Far above the size of any engine's event; a longer one means a broken stream.
MAX_EVENT_BYTES = 128 << 10
# Comments keep a connection open; more of them between two events mean a broken stream.
MAX_COMMENTS = 1000
# A line ends with CR LF, LF or CR alone, and an event with an empty line. Where lines
# end with CR LF, a CR at the end of a read waits for its LF.
_EVENT_END = re.compile(
    rb"\r\n(?:\r\n|\n|\r(?=[^\n]))|(?:(?<!\r)\n|\r(?!\n))(?:\r\n|\n|\r(?!\n))"
)
_MAX_END_BYTES = 4
_LINE_END = re.compile("\r\n|\n|\r")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


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
    :param clock: the :class:`~goldcrestmoor.clock.Clock`, with ``max_gap_ms``.
    :param max_gap_ms: the longest time from one event with data to the next. The idle
        timeout of the connection does not end a stream that stalls and still sends a
        byte or a comment now and then. None for no limit.
    """

    __slots__ = (
        "_fields",
        "_clock",
        "_max_gap_ms",
        "_last_event_ms",
        "_fed_ms",
        "_comments",
        "_buffer",
        "_is_start",
        "_has_cr",
    )

    def __init__(self, fields, clock=None, max_gap_ms=None):
        self._fields = fields
        self._clock = clock
        self._max_gap_ms = max_gap_ms
        self._last_event_ms = clock.now_ms() if clock else None
        self._fed_ms = self._last_event_ms
        self._comments = 0
        self._buffer = bytearray()
        self._is_start = True
        # Most streams have none, and are parsed several times as fast.
        self._has_cr = False

    @property
    def has_partial_event(self):
        """Whether an event has begun but not ended."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self):
        """The size of the bytes after the last event."""
        return len(self._buffer)

    @property
    def rest(self):
        """The bytes after the last event; line ends only, unless one has begun."""
        return bytes(self._buffer)

    def feed(self, chunk):
        """Yield the events that the next bytes complete.

        :param chunk: the bytes.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the bytes are not valid events,
            ``UPSTREAM_TIMEOUT`` when no event was complete for too long.
        """
        has_event = False
        for raw in self._split(chunk):
            event = self._decode(raw)
            # A comment shows that the connection is open, not that work goes on.
            has_event = has_event or bool(event.data)
            self._count_comments(event)
            yield event
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ServiceError(
                ErrorKind.UPSTREAM_FAILED,
                f"An event is longer than {MAX_EVENT_BYTES} bytes.",
            )
        self._check_gap(has_event)

    def exclude_pause(self):
        """Don't count the time since the last bytes: nothing was read meanwhile."""
        if self._max_gap_ms is not None:
            self._last_event_ms += self._clock.now_ms() - self._fed_ms

    def _split(self, chunk):
        """Return the bytes of each event that the next bytes complete."""
        buffer = self._buffer
        # An end may have begun in the bytes received before.
        searched = max(0, len(buffer) - _MAX_END_BYTES + 1)
        buffer += chunk
        self._has_cr = self._has_cr or b"\r" in chunk
        if self._is_start:
            if len(buffer) < len(_BYTE_ORDER_MARK) and _BYTE_ORDER_MARK.startswith(
                buffer
            ):
                return []
            self._is_start, searched = False, 0
            if buffer.startswith(_BYTE_ORDER_MARK):
                del buffer[: len(_BYTE_ORDER_MARK)]
        begin, events = 0, []
        for end in self._ends(searched):
            raw = bytes(buffer[begin:end])
            begin = end
            if raw.strip():
                events.append(raw)
        if begin:
            del buffer[:begin]
        return events

    def _ends(self, searched):
        """Yield where each event in the buffer ends, from a position on."""
        buffer = self._buffer
        if self._has_cr:
            for end in _EVENT_END.finditer(buffer, searched):
                yield end.end()
            return
        while (found := buffer.find(b"\n\n", searched)) >= 0:
            searched = found + 2
            yield searched

    def _count_comments(self, event):
        self._comments = 0 if event.data else self._comments + 1
        if self._comments > MAX_COMMENTS:
            text = f"More than {MAX_COMMENTS} comments follow one another."
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)

    def _check_gap(self, has_event):
        if self._max_gap_ms is None:
            return
        now_ms = self._fed_ms = self._clock.now_ms()
        if has_event:
            self._last_event_ms = now_ms
        elif now_ms - self._last_event_ms > self._max_gap_ms:
            text = f"No event was complete for {now_ms - self._last_event_ms:.0f} ms."
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, text)

    def _decode(self, raw):
        event_id, data, version = "", [], None
        try:
            text = raw.decode()
        except UnicodeDecodeError as e:
            text = "An event is not valid UTF-8."
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e
        for line in _LINE_END.split(text) if self._has_cr else text.split("\n"):
            name, separator, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "id":
                event_id = value
            elif name == self._fields.version:
                version = parse_integer(value.strip())
            elif line and name and not separator:
                raise ServiceError(ErrorKind.UPSTREAM_FAILED, "An event is malformed.")
        return Event(event_id, "\n".join(data), version, raw)
