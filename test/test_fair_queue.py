"""Queues serve accounts by their shares, and reject early."""

import collections
import unittest

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.fair_queue import FairQueue, FirstComeFirstServed
from goldcrestmoor.request.queue_entry import Entry
from test._request_fakes import FakeClock


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.queue = self.make_queue()

    def make_queue(self, max_length=1000, floor_percent=0, **policy):
        return FairQueue(
            clock=self.clock,
            max_length=max_length,
            floor_percent=floor_percent,
            **policy,
        )

    def push(self, account, share=1, cost=10, kind="trainer", within_ms=10**6):
        deadline = Deadline.after(self.clock, within_ms)
        entry = Entry("", account, kind, share, cost, deadline, self.clock.now_ms())
        self.queue.push(entry)
        return entry

    def tokens_of(self, count):
        tokens = collections.Counter()
        for _ in range(count):
            entry = self.queue.pop()
            tokens[entry.account] += entry.cost_tokens
            self.queue.record_usage(entry, entry.cost_tokens)
        return tokens

    def test_tokens_follow_the_shares(self):
        for _ in range(200):
            self.push("big", share=3, cost=10)
            self.push("small", share=1, cost=10)
        self.assertEqual(self.tokens_of(100), {"big": 750, "small": 250})

    def test_expensive_requests_count_for_more(self):
        for _ in range(200):
            self.push("costly", cost=40)
            self.push("cheap", cost=10)
        tokens = self.tokens_of(100)
        self.assertAlmostEqual(tokens["costly"], tokens["cheap"], delta=40)

    def test_an_idle_share_is_used_by_others_and_regained_at_once(self):
        for _ in range(100):
            self.push("busy")
        self.assertEqual(self.tokens_of(50)["busy"], 500)
        for _ in range(50):
            self.push("back")
        # Past usage does not count for either account: from here on they alternate.
        self.assertEqual(self.tokens_of(20), {"busy": 100, "back": 100})

    def test_a_returning_account_is_not_delayed_by_expected_costs(self):
        # Many requests with a high expected cost and a low actual cost.
        for _ in range(300):
            self.push("flood", cost=200)
        in_flight = [self.queue.pop() for _ in range(8)]
        for _ in range(300):
            self.push("back", share=4, cost=200)
        started = collections.Counter()
        for _ in range(200):
            self.queue.record_usage(in_flight.pop(0), 20)
            in_flight.append(self.queue.pop())
            started[in_flight[-1].account] += 1
        self.assertGreaterEqual(started["back"], 150)

    def test_no_account_starves(self):
        for _ in range(500):
            self.push("flood", share=50)
        entry = self.push("one", share=1)
        taken = [self.queue.pop() for _ in range(60)]
        self.assertIn(entry, taken)

    def test_applications_together_get_their_minimum_share(self):
        self.queue = self.make_queue(floor_percent=20)
        for _ in range(500):
            self.push("trainer", share=99)
            self.push("app", share=1, kind="application")
        self.assertEqual(self.tokens_of(100)["app"], 200)

    def test_the_fifo_queue_serves_the_oldest_first(self):
        self.queue = self.make_queue(order=FirstComeFirstServed())
        pushed = [self.push(name) for name in ("a", "a", "b", "a", "b")]
        self.assertEqual([self.queue.pop() for _ in pushed], pushed)

    def test_without_early_rejection_nothing_is_rejected(self):
        self.queue = self.make_queue(max_length=1, rejects_early=False)
        for _ in range(3):
            self.push("a")
        self.assertEqual(len(self.queue), 3)

    def test_unused_tokens_are_not_charged(self):
        first = self.push("a", cost=1000)
        self.push("a")
        self.push("b")
        self.assertIs(self.queue.pop(), first)
        self.queue.record_usage(first, 0)
        self.assertEqual({self.queue.pop().account for _ in range(2)}, {"a", "b"})

    def test_a_full_queue_rejects(self):
        self.queue = self.make_queue(max_length=1)
        self.push("a")
        with self.assertRaises(ServiceError) as caught:
            self.push("a")
        self.assertEqual(caught.exception.kind, ErrorKind.OVERLOADED)
        self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_a_deadline_that_cannot_be_met_is_rejected_by_the_drain_rate(self):
        for _ in range(20):
            self.push("a")
        for _ in range(10):
            self.clock.ms += 100
            self.queue.pop()
            self.queue.record_start()
        self.push("a", within_ms=1200)
        with self.assertRaises(ServiceError) as caught:
            self.push("a", within_ms=1000)
        self.assertEqual(caught.exception.kind, ErrorKind.OVERLOADED)
        self.assertEqual(caught.exception.retry_after_ms, 1200)

    def test_the_maximum_wait_leaves_time_to_run(self):
        self.assertEqual(self.queue.max_wait_ms("a", 5000), 5000)
        for _ in range(3):
            self.push("a")
            entry = self.queue.pop()
            self.clock.ms += 2000
            self.queue.record_usage(entry, 10)
        self.assertEqual(self.queue.max_wait_ms("a", 5000), 3000)
        self.assertGreater(self.queue.max_wait_ms("a", 1000), 0)
        late_rejecting = self.make_queue(rejects_early=False)
        self.assertEqual(late_rejecting.max_wait_ms("a", 5000), 5000)

    def test_a_stalled_queue_shows_in_the_expected_wait(self):
        self.test_a_deadline_that_cannot_be_met_is_rejected_by_the_drain_rate()
        self.clock.ms += 5000
        with self.assertRaises(ServiceError):
            self.push("a", within_ms=20_000)

    def test_expired_entries_are_removed(self):
        late = self.push("a", within_ms=5)
        self.push("a")
        self.clock.ms += 10
        self.assertEqual(list(self.queue.pop_expired()), [late])
        self.assertEqual(len(self.queue), 1)
