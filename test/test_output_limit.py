"""Bounds on the output of items, and on all that servers make a host hold."""

import unittest

from goldcrestmoor.adapters.table import Row
from goldcrestmoor.connection.response_memory import SMALL_BYTES, ResponseMemory
from goldcrestmoor.job import job_store
from goldcrestmoor.job.item_run import ItemRun
from goldcrestmoor.job.job import Item, Partial
from goldcrestmoor.job.output_limit import (
    MAX_EVENTS_PER_TOKEN,
    MAX_OUTPUT_BYTES,
    MAX_TOKEN_BYTES,
    OutputLimit,
)
from goldcrestmoor.request.event_stream import Event

# The smallest host of the users' deployments.
MEMORY_MB = 128


def make_run(tokens=0):
    """Return the run of an item."""
    return ItemRun(Item("i", "/x", {}, b"", tokens), 0)


def fill(run, data, count):
    """Add events to a run, after those that it has."""
    for number in range(len(run.events), len(run.events) + count):
        run.add(Event(str(number), data, None, b""), 1)


class OutputLimitTest(unittest.TestCase):
    """The load: a host of 128 MB, a step of 416 tokens an item."""

    def setUp(self):
        self.memory = ResponseMemory.of_host(MEMORY_MB)
        self.limit = OutputLimit(self.memory)

    def test_the_number_of_events_is_bounded_by_the_tokens(self):
        run = make_run(tokens=416)
        fill(run, "x", MAX_EVENTS_PER_TOKEN * 416)
        self.assertEqual(self.limit.excess(run), "")
        fill(run, "x", 1)
        self.assertIn("416 tokens", self.limit.excess(run))

    def test_the_size_of_the_text_is_bounded_by_the_tokens(self):
        run = make_run(tokens=416)
        fill(run, "é" * 100_000, 1)
        self.assertIn("bytes", self.limit.excess(run))
        run.restart()
        fill(run, "x" * MAX_TOKEN_BYTES, 400)
        self.assertEqual(self.limit.excess(run), "")

    def test_a_text_without_a_token_limit_fits_into_one_write(self):
        run = make_run()
        fill(run, "x" * 1000, MAX_OUTPUT_BYTES // 1000 - 5)
        self.assertEqual(self.limit.excess(run), "")
        fill(run, "x" * 1000, 10)
        self.assertIn("bytes", self.limit.excess(run))

    def test_long_texts_are_dropped_while_the_hosts_memory_is_used_up(self):
        runs = [make_run() for _ in range(200)]
        self.memory.add_source(lambda: sum(run.held_bytes for run in runs))
        short = make_run()
        fill(short, "x" * 100, 10)
        for run in runs:
            fill(run, "x" * 50_000, 10)
            if self.limit.excess(run):
                run.restart()
        total = sum(run.held_bytes for run in runs)
        self.assertLess(total, MEMORY_MB * 1_000_000 / 4)
        fill(runs[-1], "x" * 50_000, 10)
        self.assertEqual(self.limit.excess(short), "")
        fill(short, "x" * SMALL_BYTES, 1)
        self.assertIn("memory", self.limit.excess(short))

    def test_output_of_an_earlier_runner_is_bounded_too(self):
        """The release before stored output of any length."""
        run = make_run(tokens=416)
        fill(run, "x" * 2000, 400)
        again = make_run(tokens=416)
        again.resume([run.unsaved()])
        self.assertEqual(again.held_bytes, run.held_bytes)
        self.assertTrue(self.limit.excess(again))
        again.restart()
        self.assertEqual((again.held_bytes, again.text_bytes), (0, 0))


class StoredOutputTest(unittest.IsolatedAsyncioTestCase):
    """What hosts read of output when they take a job over."""

    def setUp(self):
        self.rows = {}
        self.largest_read = 0

    async def scan(self, table, prefix, start=None, max_rows=None):
        """Return rows as the platform's store does, at most a megabyte at a time."""
        found, size = [], 0
        for key in sorted(self.rows):
            if key < (start or prefix) or not key.startswith(prefix):
                continue
            size += len(self.rows[key]) * 4 // 3
            if found and (size > 1_000_000 or len(found) == max_rows):
                if max_rows is not None:
                    break
                size = 0
            found.append(Row(key, 1, self.rows[key]))
        self.largest_read = max(self.largest_read, sum(len(r.value) for r in found))
        return found

    async def test_output_that_was_discarded_is_not_kept_on_a_takeover(self):
        """An engine in trouble leaves megabytes of it, one generation a try."""
        expected = {}
        for position in range(4):
            for generation in range(20):
                partial = Partial(position, generation, 0, ("x" * 150_000,), "0", (1,))
                for write in job_store._partial_writes("j", partial):
                    self.rows[write.key] = write.value
            more = Partial(position, generation, 1, ("y",), "1", (1,))
            for write in job_store._partial_writes("j", more):
                self.rows[write.key] = write.value
            expected[position] = [partial, more]
        store = job_store.JobStore(clock=None, store=self)
        self.assertEqual(await store.partials("j"), expected)
        self.assertLess(self.largest_read, 1_000_000)


if __name__ == "__main__":
    unittest.main()
