"""Tests of traces and latency histograms."""

import pathlib
import tempfile
import unittest

from goldcrestmoor.errors import UserError
from goldcrestmoor.load import generate, trace
from goldcrestmoor.load.tally import LatencyTally


class TraceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "trace.jsonl"

    def test_a_trace_comes_back_as_it_was_written(self):
        for name, deployment in generate.DEPLOYMENT_BY_NAME.items():
            for scenario in generate.SCENARIOS:
                with self.subTest(deployment=name, scenario=scenario):
                    head, entries = generate.make_trace(deployment, scenario, seed=1)
                    trace.write(self.path, head, entries)
                    read_head, read_entries = trace.read(self.path)
                    self.assertEqual(read_head, head)
                    self.assertEqual(read_entries, entries)

    def test_the_same_seed_gives_the_same_trace(self):
        deployment = generate.DEPLOYMENT_BY_NAME["tisza"]
        first = generate.make_trace(deployment, "crash", seed=7)
        self.assertEqual(first, generate.make_trace(deployment, "crash", seed=7))
        self.assertNotEqual(first, generate.make_trace(deployment, "crash", seed=8))

    def test_a_bad_line_is_named(self):
        head, _ = generate.make_trace(generate.DEPLOYMENT_BY_NAME["tisza"], "calm", 1)
        trace.write(self.path, head, [])
        with open(self.path, "a") as f:
            f.write('{"type":"fetch","at_ms":"soon"}\n')
        with self.assertRaisesRegex(UserError, "line 2"):
            trace.read(self.path)


class LatencyTallyTest(unittest.TestCase):
    def test_percentiles_are_in_milliseconds(self):
        tally = LatencyTally()
        for latency_ms in range(1, 1001):
            tally.record(latency_ms)
        result = tally.result()
        self.assertEqual(result.count, 1000)
        self.assertAlmostEqual(result.p50_ms, 500, delta=2)
        self.assertAlmostEqual(result.p99_ms, 990, delta=2)
