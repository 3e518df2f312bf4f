"""Tests of the start order of slots, and that streams are hedged only to save time."""

import unittest

from goldcrestmoor.version.steps.steps import Slot
from goldcrestmoor.version.steps.stragglers import (
    HedgeFromStart,
    HedgeFromTokens,
    IndexOrder,
    LengthEstimator,
    NoHedge,
    Progress,
    decide_hedge,
    start_order,
)
from goldcrestmoor.version.weights.publish_interval import PublishIntervalEstimator


def make_estimator(**tokens_by_group):
    estimator = LengthEstimator()
    for group, tokens in tokens_by_group.items():
        estimator.add(int(group[1:]), tokens, tokens * 10)
    return estimator


class StartOrderTest(unittest.TestCase):
    def test_longest_expected_first(self):
        slots = [Slot(0, 1), Slot(1, 1), Slot(2, 0)]
        estimator = make_estimator(g0=10, g1=90)
        order = start_order(slots, estimator, {0: 100, 1: 100, 2: 100})
        self.assertEqual(order, [Slot(1, 1), Slot(2, 0), Slot(0, 1)])

    def test_index_order_sorts_by_index(self):
        slots = [Slot(1, 0), Slot(0, 1), Slot(0, 0)]
        order = start_order(slots, make_estimator(g1=90), {0: 10, 1: 100}, IndexOrder())
        self.assertEqual(order, sorted(slots))

    def test_without_lengths_the_maximum_decides(self):
        order = start_order([Slot(0, 0), Slot(1, 0)], LengthEstimator(), {0: 10, 1: 20})
        self.assertEqual(order, [Slot(1, 0), Slot(0, 0)])


class PublishIntervalEstimatorTest(unittest.TestCase):
    def test_the_expiry_time_follows_the_publish_intervals(self):
        estimate = PublishIntervalEstimator(1)
        self.assertIsNone(estimate.expires_at_ms(1, bound=1))
        for version, now_ms in ((2, 1000), (3, 3000), (3, 3500), (5, 7000)):
            estimate.record(version, now_ms)
        # Two versions took 4 s: version 6 is due at 9 s and makes version 4 too old.
        self.assertEqual(estimate.expires_at_ms(4, bound=1), 9000)
        self.assertEqual(estimate.expires_at_ms(5, bound=1), 11_000)


class DecideTest(unittest.TestCase):
    def test_a_slow_stream_is_resumed_on_another_engine(self):
        slow = Progress(tokens=50, elapsed_ms=50_000, max_tokens=100)
        decision = decide_hedge(slow, 0, make_estimator(g0=100), 1, 1)
        # 50 tokens remain: 50 s at the stream's own rate, but 0.5 s plus the start-up
        # time of 0.3 s on another engine.
        self.assertEqual(decision, HedgeFromTokens(49_200))

    def test_a_stream_without_tokens_is_started_again(self):
        silent = Progress(tokens=0, elapsed_ms=5000, max_tokens=100)
        self.assertIsInstance(
            decide_hedge(silent, 0, make_estimator(g0=50), 1, 1), HedgeFromStart
        )

    def test_a_stream_at_the_median_rate_is_not_hedged(self):
        usual = Progress(tokens=50, elapsed_ms=500, max_tokens=100)
        self.assertIsInstance(
            decide_hedge(usual, 0, make_estimator(g0=100), 1, 1), NoHedge
        )

    def test_a_recent_stream_is_not_hedged(self):
        young = Progress(tokens=1, elapsed_ms=100, max_tokens=1000)
        self.assertIsInstance(
            decide_hedge(young, 0, make_estimator(g0=900), 1, 1), NoHedge
        )

    def test_budget_and_idle_slots_limit_the_hedges(self):
        slow = Progress(tokens=50, elapsed_ms=50_000, max_tokens=100)
        for idle, left in ((0, 1), (1, 0)):
            self.assertIsInstance(
                decide_hedge(slow, 0, make_estimator(g0=100), idle, left), NoHedge
            )
        self.assertIsInstance(decide_hedge(slow, 0, LengthEstimator(), 1, 1), NoHedge)
