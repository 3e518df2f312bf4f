"""Encoding and decoding of peer messages; bad input is rejected."""

import unittest

from goldcrestmoor import wire
from goldcrestmoor.errors import ErrorKind, ServiceError


class Echo(wire.Message, frozen=True):
    text: str
    count: int = 1


class WireTest(unittest.TestCase):
    def test_a_message_survives_a_round_trip(self):
        self.assertEqual(wire.decode(*wire.encode(Echo("a", 2))), Echo("a", 2))

    def test_bad_frames_are_rejected(self):
        for name, body in ((b"Nothing", b""), (b"Echo", b"\xc1"), (b"\xff", b"")):
            with self.assertRaises(ServiceError) as caught:
                wire.decode(name, body)
            self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)
