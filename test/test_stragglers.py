"""Second copies are started only when they pay."""

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


def lengths(**tokens_by_group):
    made = LengthEstimator()
    for group, tokens in tokens_by_group.items():
        made.add(int(group[1:]), tokens, tokens * 10)
    return made


class StartOrderTest(unittest.TestCase):
    def test_longest_expected_first(self):
        slots = [Slot(0, 1), Slot(1, 1), Slot(2, 0)]
        known = lengths(g0=10, g1=90)
        order = start_order(slots, known, {0: 100, 1: 100, 2: 100})
        self.assertEqual(order, [Slot(1, 1), Slot(2, 0), Slot(0, 1)])

    def test_the_plain_order_is_by_number(self):
        slots = [Slot(1, 0), Slot(0, 1), Slot(0, 0)]
        order = start_order(slots, lengths(g1=90), {0: 10, 1: 100}, IndexOrder())
        self.assertEqual(order, sorted(slots))

    def test_without_lengths_the_bound_decides(self):
        order = start_order([Slot(0, 0), Slot(1, 0)], LengthEstimator(), {0: 10, 1: 20})
        self.assertEqual(order, [Slot(1, 0), Slot(0, 0)])


class PublishingPaceTest(unittest.TestCase):
    def test_the_time_of_being_too_old_follows_the_intervals(self):
        pace = PublishIntervalEstimator(1)
        self.assertIsNone(pace.expires_at_ms(1, bound=1))
        for version, now_ms in ((2, 1000), (3, 3000), (3, 3500), (5, 7000)):
            pace.record(version, now_ms)
        # Two versions took 4 s: version 6 is due at 9 s and makes version 4 too old.
        self.assertEqual(pace.expires_at_ms(4, bound=1), 9000)
        self.assertEqual(pace.expires_at_ms(5, bound=1), 11_000)


class DecideTest(unittest.TestCase):
    def test_a_slow_stream_is_continued_elsewhere(self):
        slow = Progress(tokens=50, elapsed_ms=50_000, max_tokens=100)
        decision = decide_hedge(slow, 0, lengths(g0=100), 1, 1)
        # 50 tokens remain: 50 s at its own rate; 0.5 s and the start elsewhere.
        self.assertEqual(decision, HedgeFromTokens(49_200))

    def test_a_silent_start_is_copied(self):
        silent = Progress(tokens=0, elapsed_ms=5000, max_tokens=100)
        self.assertIsInstance(
            decide_hedge(silent, 0, lengths(g0=50), 1, 1), HedgeFromStart
        )

    def test_a_stream_at_the_usual_rate_is_left_alone(self):
        usual = Progress(tokens=50, elapsed_ms=500, max_tokens=100)
        self.assertIsInstance(decide_hedge(usual, 0, lengths(g0=100), 1, 1), NoHedge)

    def test_a_young_stream_is_not_judged(self):
        young = Progress(tokens=1, elapsed_ms=100, max_tokens=1000)
        self.assertIsInstance(decide_hedge(young, 0, lengths(g0=900), 1, 1), NoHedge)

    def test_budget_and_idle_slots_bound_the_copies(self):
        slow = Progress(tokens=50, elapsed_ms=50_000, max_tokens=100)
        for idle, left in ((0, 1), (1, 0)):
            self.assertIsInstance(
                decide_hedge(slow, 0, lengths(g0=100), idle, left), NoHedge
            )
        self.assertIsInstance(decide_hedge(slow, 0, LengthEstimator(), 1, 1), NoHedge)
