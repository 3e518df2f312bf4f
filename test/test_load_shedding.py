"""Which plain requests are refused at once, and when refused callers return."""

import random
import types
import unittest

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request import forwarding, load_shedding
from goldcrestmoor.request.load_shedding import LoadShedding, RecentResponses
from test._request_fakes import FakeClock
from test.test_job_run import ROUTE, TABLE
from test.test_partial_cache import ACCOUNTS

SERVICE = ROUTE.shares[0].service


class LoadSheddingTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.table = ACCOUNTS
        self.metrics = Metrics()
        self.shedding = LoadShedding(
            clock=self.clock, routes=lambda: self.table, metrics=self.metrics
        )

    def respond(self, count, duration_ms, gap_ms=20):
        for _ in range(count):
            self.clock.ms += gap_ms
            self.shedding.record_response(SERVICE, self.clock.ms - duration_ms)

    def is_refused(self, remaining_ms):
        try:
            self.shedding.check_time_left(SERVICE, 1, remaining_ms)
        except ServiceError as e:
            self.assertIs(e.kind, ErrorKind.QUEUE_TIMEOUT)
            self.assertEqual((e.answer.status, e.answer.ran), (503, Ran.NOT_RUN))
            self.assertGreater(e.retry_after_ms, 0)
            return True
        return False

    def test_a_request_that_no_server_would_answer_in_time_is_not_sent(self):
        self.respond(20, 300)
        self.assertTrue(self.is_refused(299))
        self.assertFalse(self.is_refused(300))
        # One fast response shows that others may be fast too.
        self.respond(1, 30)
        self.assertFalse(self.is_refused(31))

    def test_little_or_old_evidence_refuses_nothing(self):
        self.respond(load_shedding.MIN_RESPONSES - 1, 300)
        self.assertFalse(self.is_refused(10))
        self.respond(1, 300)
        self.assertTrue(self.is_refused(10))
        # Servers may have become faster while no request was sent.
        self.clock.ms += load_shedding.FRESH_MS + 1
        self.assertFalse(self.is_refused(10))

    def test_only_a_request_that_was_not_run_is_refused(self):
        attempts = forwarding.RequestAttempts(
            request=forwarding.CallerRequest("r", "GET", "/", (), b""),
            route=ROUTE,
            deadline=Deadline.after(self.clock, 800),
            loads=types.SimpleNamespace(choose=lambda *args: None),
            metrics=self.metrics,
            crashes=None,
            shedding=self.shedding,
        )
        self.respond(20, 800, gap_ms=1)
        with self.assertRaises(ServiceError) as caught:
            attempts.check_time_left()
        self.assertIs(caught.exception.kind, ErrorKind.QUEUE_TIMEOUT)
        attempts._sent_to.append("a")
        with self.assertRaises(ServiceError):
            attempts.retry_or_raise(
                forwarding.FailedAttempt(Ran.UNKNOWN, "It broke off")
            )
        attempts.check_time_left()

    def test_refused_callers_return_as_fast_as_servers_answer(self):
        """A fixed time brings all callers back into the same overload."""
        recent = RecentResponses()
        for now_ms in range(0, 1000, 20):
            recent.responses.append((now_ms, 100))
            recent.refused_ms.append(now_ms)
        # 50 responses a second, and 50 requests that were refused.
        self.assertAlmostEqual(recent.retry_after_ms(100, 1000, 1), 1000, delta=20)
        rng = random.Random(1)
        after_ms = {
            recent.retry_after_ms(100, 1000, rng.uniform(*load_shedding.JITTER))
            for _ in range(50)
        }
        self.assertGreater(max(after_ms) - min(after_ms), 500)

    def test_without_accounts_nothing_changes(self):
        self.table = TABLE
        self.respond(20, 300)
        self.assertFalse(self.is_refused(1))
        self.assertEqual(self.shedding.record_refused(SERVICE, 1, 100), 100)


if __name__ == "__main__":
    unittest.main()
