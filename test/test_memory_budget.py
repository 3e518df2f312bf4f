"""Who is refused or given up for memory, replayed without a network."""

import random
import unittest
from types import SimpleNamespace

from goldcrestmoor.process.memory_budget import (
    MIN_STALLED_MS,
    SMALL_BODY_BYTES,
    Held,
    MemoryBudget,
)
from goldcrestmoor.request.server_bodies import MAX_BODY_BYTES, ServerBodies

MB = 1 << 20
HOST_MB = 200
BUDGET = 50 * MB
TICK_MS = 250
CHUNK = 64 << 10


class Reader:
    """A caller of an endless stream, which takes as many bytes in each tick."""

    def __init__(self, budget, taken_per_tick):
        self.holding = budget.open(Held.RESPONSE)
        self.taken_per_tick = taken_per_tick
        self.moved = 0


class MemoryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget.of_host(HOST_MB)
        self.random = random.Random(1)
        self.readers = []
        self.given_up = []
        self.now_ms = 0
        self.peak = 0

    def add(self, count, taken_per_tick):
        added = [Reader(self.budget, taken_per_tick) for _ in range(count)]
        self.readers += added
        return added

    def tick(self):
        """Let servers send and callers read, then measure as the guard does."""
        self.now_ms += TICK_MS
        self.random.shuffle(self.readers)
        for reader in self.readers:
            holding = reader.holding
            for _ in range(4):
                if self.budget.may_read_ahead(holding):
                    held = holding.response_bytes + CHUNK
                    self.budget.hold(holding, response=held)
            taken = min(reader.taken_per_tick, holding.response_bytes)
            reader.moved += taken
            self.budget.hold(holding, response=holding.response_bytes - taken)
        self.peak = max(self.peak, self.budget.held_bytes)
        if not self.budget.is_watching():
            return
        sample_ms = self.budget.begin_sample(self.now_ms)
        for reader in self.readers:
            waits = reader.holding.held_bytes > 0
            self.budget.observe(reader.holding, reader.moved, waits, sample_ms)
        for holding in self.budget.to_give_up():
            self.budget.close(holding)
            [reader] = [r for r in self.readers if r.holding is holding]
            self.readers.remove(reader)
            self.given_up.append(reader)

    def test_many_callers_that_stop_are_held_within_the_budget(self):
        """A host of 200 MB that held all they are sent would be killed."""
        stopped, steady = self.add(300, 0), self.add(100, 2000)
        for _ in range(80):
            self.tick()
        # A caller that has taken everything always gets another chunk.
        self.assertLess(self.peak, BUDGET + 400 * CHUNK)
        self.assertTrue(self.given_up)
        self.assertLessEqual(set(self.given_up), set(stopped))
        self.assertLess(self.budget.held_bytes, BUDGET)
        before = [reader.moved for reader in steady]
        self.tick()
        self.assertTrue(all(r.moved > n for r, n in zip(steady, before, strict=True)))

    def test_one_caller_that_stops_holds_a_bounded_part(self):
        """A caller alone must not use up what all share, nor be closed for it."""
        [reader] = self.add(1, 0)
        for _ in range(200):
            self.tick()
        held = reader.holding.held_bytes
        self.assertTrue(MB <= held < MB + CHUNK, held)
        self.assertEqual(self.given_up, [])
        small = MemoryBudget.of_host(20)
        self.assertEqual(small.read_ahead_bytes, MB // 2)

    def test_a_caller_that_reads_slowly_is_not_given_up(self):
        """Ten bytes a tick are progress, however much is held for the caller."""
        self.add(80, 10)
        for _ in range(100):
            self.tick()
        self.assertGreater(self.peak, BUDGET - MB)
        self.assertEqual(self.given_up, [])

    def test_a_burst_of_large_bodies_is_refused_beyond_the_budget(self):
        """Room must be reserved before a body arrives, or a burst is let in whole."""
        holdings = [self.budget.open(Held.RESPONSE) for _ in range(20)]
        admitted = [self.budget.admit_body(h, 8 * MB) for h in holdings]
        self.assertEqual(sum(admitted), BUDGET // (8 * MB))
        self.assertLessEqual(self.budget.held_bytes, BUDGET)
        # Small requests are served all the same.
        self.assertTrue(self.budget.admit_body(holdings[-1], SMALL_BODY_BYTES))
        self.budget.close(holdings[0])
        self.assertTrue(self.budget.admit_body(holdings[-2], 8 * MB))

    def test_a_refused_body_makes_stopped_callers_give_way(self):
        """Stopped callers just below the budget would keep all large bodies out."""
        self.add(45, 0)
        for _ in range(20):
            self.tick()
        self.assertEqual(self.given_up, [])
        body = self.budget.open(Held.RESPONSE)
        self.assertFalse(self.budget.admit_body(body, 6 * MB))
        self.tick()
        self.assertEqual(len(self.given_up), 1)
        for _ in range(20):
            self.tick()
        self.assertEqual(len(self.given_up), 1)

    def test_time_in_which_nothing_was_measured_does_not_count(self):
        """A process that was paused for a minute must not close all its callers."""
        [reader] = self.add(1, 0)
        self.budget.hold(reader.holding, response=2 * BUDGET)
        self.tick()
        self.now_ms += 60_000
        self.tick()
        self.assertEqual(self.given_up, [])
        for _ in range(MIN_STALLED_MS // TICK_MS):
            self.tick()
        self.assertEqual(self.given_up, [reader])


class ServerBodiesTest(unittest.TestCase):
    """A server crashes if the requests that it holds exceed its memory."""

    def setUp(self):
        self.bodies = ServerBodies()
        self.server = SimpleNamespace(name="app-0", slots=4)

    def test_requests_and_bytes_in_flight_are_bounded(self):
        for _ in range(6):
            self.assertTrue(self.bodies.fits(self.server, 0))
            self.bodies.begin(self.server, 0)
        self.assertFalse(self.bodies.fits(self.server, 0))
        self.bodies.end(self.server, 0)
        self.bodies.begin(self.server, MAX_BODY_BYTES - 10)
        self.bodies.end(self.server, 0)
        self.assertTrue(self.bodies.fits(self.server, 10))
        self.assertFalse(self.bodies.fits(self.server, 11))

    def test_a_body_above_the_bound_is_sent_alone(self):
        self.assertTrue(self.bodies.fits(self.server, 2 * MAX_BODY_BYTES))
        with self.bodies.track(self.server, 1):
            self.assertFalse(self.bodies.fits(self.server, 2 * MAX_BODY_BYTES))
        with self.bodies.track(self.server, 2 * MAX_BODY_BYTES):
            self.assertFalse(self.bodies.fits(self.server, 1))
            self.assertTrue(self.bodies.fits(self.server, 0))


if __name__ == "__main__":
    unittest.main()
