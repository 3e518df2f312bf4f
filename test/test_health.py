"""Failing and slow upstreams are ejected and probed; retries are limited."""

import unittest

from goldcrestmoor.connection import health, retry_budget
from goldcrestmoor.connection.health import UpstreamHealth
from goldcrestmoor.connection.retry_budget import RetryBudget

POOL = [f"lm-{n}" for n in range(6)]


class FakeClock:
    def __init__(self):
        self.ms = 0

    def now_ms(self):
        return self.ms


class UpstreamHealthTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.health = UpstreamHealth(clock=self.clock)

    def record_failures(self, upstream, times=health.EJECTION_FAILURES):
        for _ in range(times):
            self.health.record(upstream, False)

    def answer(self, upstream, latency_ms):
        for _ in range(health.MIN_LATENCIES):
            self.health.record(upstream, True, latency_ms)

    def test_consecutive_failures_eject_an_upstream(self):
        self.record_failures("lm-1", health.EJECTION_FAILURES - 1)
        self.health.record("lm-1", True, 10)
        self.record_failures("lm-1", health.EJECTION_FAILURES - 1)
        self.assertEqual(self.health.usable(POOL), POOL)
        self.record_failures("lm-1", 1)
        self.assertNotIn("lm-1", self.health.usable(POOL))
        self.assertIn("3 failures in a row", self.health.reason("lm-1"))

    def test_one_probe_at_a_time_reinstates_an_upstream(self):
        self.record_failures("lm-1")
        self.assertFalse(self.health.try_probe("lm-1"))
        self.clock.ms += health.MIN_EJECTION_MS
        self.assertTrue(self.health.try_probe("lm-1"))
        self.assertFalse(self.health.try_probe("lm-1"))
        self.assertNotIn("lm-1", self.health.usable(POOL))
        self.health.record("lm-1", True, 10)
        self.assertEqual(self.health.usable(POOL), POOL)
        self.assertEqual(self.health.reason("lm-1"), "")

    def test_failed_probes_lengthen_the_ejection_up_to_a_bound(self):
        self.record_failures("lm-1")
        waits_ms = []
        for _ in range(12):
            started_ms = self.clock.ms
            while not self.health.try_probe("lm-1"):
                self.clock.ms += 100
            waits_ms.append(self.clock.ms - started_ms)
            self.record_failures("lm-1", 1)
        self.assertGreater(waits_ms[-1], waits_ms[0])
        self.assertLessEqual(max(waits_ms), health.MAX_EJECTION_MS + 100)

    def test_failures_of_earlier_requests_do_not_lengthen_the_ejection(self):
        self.record_failures("lm-1", 50)
        self.clock.ms += health.MIN_EJECTION_MS
        self.assertTrue(self.health.try_probe("lm-1"))

    def test_a_lost_probe_does_not_block_later_probes(self):
        self.record_failures("lm-1")
        self.clock.ms += health.MIN_EJECTION_MS
        self.assertTrue(self.health.try_probe("lm-1"))
        self.clock.ms += health.PROBE_TIMEOUT_MS
        self.assertTrue(self.health.try_probe("lm-1"))

    def test_at_most_a_third_of_a_pool_is_excluded(self):
        for upstream in POOL:
            self.record_failures(upstream)
        self.assertEqual(len(self.health.usable(POOL)), 4)
        self.assertEqual(len(self.health.usable(POOL[:2])), 1)
        self.assertEqual(self.health.usable(POOL[:1]), POOL[:1])

    def test_a_slow_upstream_is_compared_with_its_pool(self):
        for upstream in POOL:
            self.answer(upstream, 2000)
        self.assertEqual(self.health.usable(POOL), POOL)
        self.health = UpstreamHealth(clock=self.clock)
        for upstream in POOL:
            self.answer(upstream, 2000 if upstream == "lm-2" else 100)
        self.assertNotIn("lm-2", self.health.usable(POOL))
        self.clock.ms += health.MIN_EJECTION_MS
        self.assertTrue(self.health.try_probe("lm-2"))
        self.health.record("lm-2", True, 2000)
        self.assertNotIn("lm-2", self.health.usable(POOL))
        self.clock.ms += 2 * health.MIN_EJECTION_MS
        self.assertTrue(self.health.try_probe("lm-2"))
        self.health.record("lm-2", True, 120)
        self.assertEqual(self.health.usable(POOL), POOL)

    def test_latencies_are_compared_again_after_the_interval(self):
        for upstream in POOL:
            self.answer(upstream, 100)
        self.assertEqual(self.health.usable(POOL), POOL)
        for _ in range(health.MAX_LATENCIES):
            self.health.record("lm-0", True, 2000)
        self.assertEqual(self.health.usable(POOL), POOL)
        self.clock.ms += health.COMPARISON_INTERVAL_MS
        self.assertEqual(self.health.usable(POOL), POOL[1:])

    def test_memory_is_bounded(self):
        for n in range(health.MAX_UPSTREAMS + 10):
            self.health.record(f"u{n}", True, 1)
        self.assertEqual(len(self.health._state_by_upstream), health.MAX_UPSTREAMS)


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.budget = RetryBudget(clock=self.clock, percent=10)

    def test_retries_are_limited_to_a_tenth_of_requests_plus_one(self):
        allowed = 0
        for _ in range(1000):
            self.budget.record_request("lm-1")
            allowed += self.budget.try_retry("lm-1")
        self.assertIn(allowed, (100, 101))

    def test_one_retry_is_allowed_per_floor_interval(self):
        self.assertTrue(self.budget.try_retry("lm-1"))
        self.assertFalse(self.budget.try_retry("lm-1"))
        self.assertTrue(self.budget.try_retry("lm-2"))
        self.clock.ms += retry_budget.FLOOR_INTERVAL_MS
        self.assertTrue(self.budget.try_retry("lm-1"))

    def test_saved_retries_are_bounded(self):
        for _ in range(10_000):
            self.budget.record_request("lm-1")
        allowed = sum(self.budget.try_retry("lm-1") for _ in range(1000))
        self.assertLessEqual(allowed, retry_budget.MAX_SAVED_RETRIES + 1)
