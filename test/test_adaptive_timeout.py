"""The adaptive timeout for stores that are healthy, slow or unresponsive."""

import unittest

from goldcrestmoor.connection.adaptive_timeout import AdaptiveTimeout, ResponseTimes


class AdaptiveTimeoutTest(unittest.TestCase):
    def setUp(self):
        self.read_ms = 5
        self.timeout = AdaptiveTimeout(300, 500, lambda: self.read_ms)

    def test_a_healthy_store_gets_the_shortest_timeout(self):
        for _ in range(20):
            self.timeout.record_response(10)
        self.assertEqual(self.timeout.wait_ms(), 300)

    def test_a_slow_store_gets_twice_its_peak_latency(self):
        self.timeout.record_response(900)
        self.assertEqual(self.timeout.wait_ms(), 1800)

    def test_slow_reads_raise_the_timeout_before_the_first_response(self):
        """A second of other writes is queued, and a read takes a quarter of that."""
        self.read_ms = 240
        self.assertGreaterEqual(self.timeout.wait_ms(), 1000 + 300 + 240)

    def test_the_timeout_is_bounded_in_an_outage(self):
        for _ in range(10):
            self.timeout.record_timeout()
        self.assertEqual(self.timeout.wait_ms(), 500)
        self.timeout.record_response(10)
        self.assertEqual(self.timeout.wait_ms(), 300)

    def test_the_peak_latency_decays(self):
        self.timeout.record_response(900)
        for _ in range(10):
            self.timeout.record_response(10)
        self.assertEqual(self.timeout.wait_ms(), 300)


class ResponseTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = ResponseTimes()

    def record_all(self, *elapsed_ms):
        for latency_ms in elapsed_ms:
            self.times.record(latency_ms, 500)

    def test_the_latency_is_zero_before_the_first_response(self):
        self.assertEqual(self.times.typical_ms(), 0)

    def test_a_feed_without_changes_is_not_slow(self):
        self.record_all(505, 506, 504, 507)
        self.assertEqual(self.times.typical_ms(), 4)

    def test_a_feed_with_late_changes_is_not_slow(self):
        self.record_all(450, 6, 300, 505)
        self.assertLessEqual(self.times.typical_ms(), 6)

    def test_a_slow_store_shows_in_all_responses(self):
        self.record_all(240, 260, 745, 310)
        self.assertGreaterEqual(self.times.typical_ms(), 240)
