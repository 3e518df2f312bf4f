"""Every error kind has an entry in the error table."""

import unittest

from goldcrestmoor.errors import (
    ANSWER_BY_KIND,
    ErrorKind,
    Ran,
    Retry,
    ServiceError,
    from_body,
    to_body,
)


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_is_in_the_table(self):
        self.assertEqual(set(ANSWER_BY_KIND), set(ErrorKind))

    def test_unknown_outcomes_are_never_retried_unconditionally(self):
        for kind, answer in ANSWER_BY_KIND.items():
            if answer.ran == Ran.UNKNOWN and kind != ErrorKind.IN_PROGRESS:
                self.assertNotEqual(answer.retry, Retry.LATER, kind)

    def test_errors_survive_a_round_trip(self):
        error = ServiceError(ErrorKind.OVERLOADED, "The queue is full.", 1234)
        back = from_body(to_body(error, "r1"))
        self.assertEqual((back.kind, back.message), (error.kind, error.message))
        self.assertEqual(back.retry_after_ms, 1234)
