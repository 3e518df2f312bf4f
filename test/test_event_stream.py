"""Events with any text, however it is read, and bytes that are no events."""

import unittest

from hypothesis import given, strategies as st

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.platform import servers
from goldcrestmoor.request.event_stream import EventParser

BYTE_ORDER_MARK = "\ufeff"
# What ``str.splitlines`` takes for the end of a line, and the format does not.
SEPARATORS = "\x0b\x0c\x1c\x1d\x1e\x85\u2028\u2029"

# What the parser looks for, in any order.
PARTS = (
    b"\r",
    b"\n",
    b"\r\n",
    b": ",
    b"id",
    b"data",
    b"weight-versions",
    b"7",
    b"\xff",
)

line_ends = st.sampled_from(("\r\n", "\n", "\r"))
texts = st.text(
    st.one_of(
        st.sampled_from(SEPARATORS),
        st.characters(exclude_categories=["Cs"], exclude_characters="\r\n"),
    )
)


class WrittenEvent:
    """An event as a server writes it, with one kind of line end."""

    def __init__(self, number, lines, line_end):
        self.id = str(number)
        self.data = "\n".join(lines)
        fields = [f"id: {number}", *(f"data: {line}" for line in lines), "", ""]
        self.raw = line_end.join(fields)


@st.composite
def streams(draw):
    """Return the events of a stream and the reads in which its bytes come."""
    contents = draw(st.lists(st.tuples(st.lists(texts, min_size=1), line_ends)))
    events = [WrittenEvent(n, *content) for n, content in enumerate(contents, 1)]
    mark = BYTE_ORDER_MARK if draw(st.booleans()) else ""
    received = (mark + "".join(event.raw for event in events)).encode()
    cuts = draw(st.sets(st.integers(0, len(received))))
    return events, split_at(received, cuts)


def split_at(received, cuts):
    """Return bytes in the parts between cuts."""
    bounds = sorted({0, len(received), *cuts})
    return [received[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


def outcome(reads):
    """Return the events that reads yield, and whether an error ended them."""
    events = []
    try:
        for event in feed_each(EventParser(servers.EVENT_FIELDS), reads):
            events.append((event.id, event.data, event.version))
    except ServiceError:
        return events, True
    return events, False


def feed_each(parser, reads):
    """Yield all events that a parser yields for reads."""
    for read in reads:
        yield from parser.feed(read)


def feed(parser, reads):
    """Return all events that a parser yields for reads."""
    return list(feed_each(parser, reads))


class EventStreamTest(unittest.TestCase):
    """A text was listed as complete without what followed such a character (MIXED)."""

    @given(streams())
    def test_events_come_back_as_written(self, stream):
        events, reads = stream
        parser = EventParser(servers.EVENT_FIELDS)
        parsed = feed(parser, reads)
        self.assertEqual(len(parsed), len(events))
        for found, written in zip(parsed, events, strict=True):
            self.assertEqual((found.id, found.data), (written.id, written.data))
        self.assertFalse(parser.has_partial_event)
        sent = b"".join(event.raw for event in parsed) + parser.rest
        whole = b"".join(reads).removeprefix(BYTE_ORDER_MARK.encode())
        self.assertEqual(sent, whole)

    def test_a_separator_ends_no_line(self):
        for separator in SEPARATORS:
            raw = f"id: 1\ndata: a{separator}b: c\n\n".encode()
            events = feed(EventParser(servers.EVENT_FIELDS), [raw])
            self.assertEqual([e.data for e in events], [f"a{separator}b: c"])

    def test_a_line_end_that_is_cut_is_one(self):
        parser = EventParser(servers.EVENT_FIELDS)
        events = feed(parser, [b"id: 1\r", b"\ndata: a\r", b"\n\r", b"\ndata: b\n\n"])
        self.assertEqual([(e.id, e.data) for e in events], [("1", "a"), ("", "b")])

    @given(
        st.lists(st.sampled_from(PARTS) | st.binary(max_size=3)).map(b"".join),
        st.sets(st.integers(0, 50)),
    )
    def test_other_bytes_mean_the_same_wherever_they_are_cut(self, received, cuts):
        """They end in the error that its caller handles, or in the same events."""
        reads = split_at(received, {min(cut, len(received)) for cut in cuts})
        self.assertEqual(outcome(reads), outcome([received]))

    @given(streams())
    def test_a_stream_that_ends_within_an_event_does_not_look_whole(self, stream):
        events, reads = stream
        for cut in range(
            1, len(events[-1].raw.rstrip("\r\n").encode()) if events else 0
        ):
            parser = EventParser(servers.EVENT_FIELDS)
            received = b"".join(reads)
            last = events[-1].raw.encode()
            feed(parser, [received[: len(received) - len(last) + cut]])
            self.assertTrue(parser.has_partial_event)


if __name__ == "__main__":
    unittest.main()
