"""Replays a trace against a small fleet and checks the stated outcomes."""

import json
import pathlib
import tempfile
import unittest
from unittest import mock

import msgspec

from goldcrestmoor.commands.replay import replay
from goldcrestmoor.errors import UserError
from goldcrestmoor.load import generate, plot, trace
from goldcrestmoor.load.trace import Completion, Fault, Fetch, Group, Head, Note, Step
from test import _process, compare, replay_fleet

TISZA = generate.DEPLOYMENT_BY_NAME["tisza"]
SAMPLES = 6


def tiny_trace():
    """Return the head and entries of a trace that takes about a second."""
    trainer, application = TISZA.trainer, TISZA.application
    engines, desk = TISZA.engine_pool, TISZA.application_pool
    groups = tuple(Group(f"group {i}", SAMPLES // 2, 12, i) for i in range(2))
    entries = [
        Fault(0, "kill", f"{engines}-1"),
        Step(0, trainer, engines, "s1", groups, 10, publish=2),
        Step(0, trainer, engines, "s2", groups, 10),
        *(Fetch(10 * i, application, desk, f"/panel/{i}") for i in range(10)),
        *(Note(20 * i, application, desk, "/notes", f"note-{i}") for i in range(4)),
        Completion(30, application, engines, "a text", 8, 1, 20_000),
    ]
    outcomes = trace.Outcomes(
        notes_lost_percent=0,
        staleness_max=TISZA.staleness_bound,
        fetch_failed_percent=0,
        completion_failed_percent=0,
    )
    return Head("tiny", 1, 1000, outcomes), entries


class ReplayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        plan = replay_fleet.make_plan(TISZA, hosts_per_zone=(1, 1, 1), token_ms=5)
        self.fleet = replay_fleet.ReplayFleet(plan)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        plan_path = self.folder / "plan.json"
        plan_path.write_bytes(msgspec.json.encode(self.fleet.replay_plan()))
        self.plan_path = str(plan_path)

    async def replay(self, head, entries, *options):
        """Run the command in a process; return its exit code and output."""
        path = self.folder / "trace.jsonl"
        trace.write(path, head, entries)
        arguments = ["replay", str(path), "--fleet", self.plan_path, *options]
        process = _process.Process(
            f"replay-{len(options)}", ["goldcrestmoor", *arguments], self.folder
        )
        self.addAsyncCleanup(_process.stop_all, [process])
        code = await process.wait()
        return code, process.log()

    async def test_a_trace_meets_its_outcomes_and_a_missed_one_shows(self):
        head, entries = tiny_trace()
        code, output = await self.replay(head, entries)
        self.assertEqual(code, 0, output)
        self.assertIn("all stated outcomes met", output)
        stricter = msgspec.structs.replace(head.outcomes, step_ms=0)
        head = msgspec.structs.replace(head, outcomes=stricter)
        entries[1:3] = [msgspec.structs.replace(entries[2], step="s3")]
        code, output = await self.replay(head, entries[1:], "--json")
        self.assertEqual(code, 1, output)
        # Connections that are still open at the end show behind the last line.
        self.assertNotIn("Event loop is closed", output)
        report = json.loads(output.splitlines()[-1])
        self.assertEqual(report["samples_delivered"], SAMPLES)
        self.assertEqual((report["doubled"], report["lost"]), (0, 0))
        self.assertEqual((report["notes_saved"], report["notes_doubled"]), (4, 4))
        self.assertGreater(report["step_ms_max"], 0)

    async def test_cuts_and_speeds_reach_the_fleet(self):
        engine = self.fleet.fleet.upstreams[1]
        await self.fleet._inject("slow", engine.id)
        await self.fleet._inject("lose", "platform")
        with self.assertRaises(AssertionError):
            await self.fleet._inject("melt", engine.id)


class PlotTest(unittest.TestCase):
    def test_a_plot_without_its_library_says_what_to_install(self):
        with (
            mock.patch.dict("sys.modules", {"matplotlib.figure": None}),
            self.assertRaisesRegex(UserError, r"goldcrestmoor\[plot\]"),
        ):
            plot.side_by_side(None, None, "x.svg")

    def test_a_plot_needs_two_runs(self):
        with self.assertRaisesRegex(UserError, "--against"):
            replay("trace", "plan", plot="x.svg")


class ComparisonTest(unittest.TestCase):
    def test_every_variant_has_valid_settings(self):
        for comparison in compare.COMPARISON_BY_NAME.values():
            for variant in comparison.variants:
                plan = replay_fleet.make_plan(
                    TISZA, variant.policy, terms=variant.terms
                )
                fleet = replay_fleet.ReplayFleet(plan).fleet
                document = fleet.settings_of(fleet.hosts[0].id)
                document["platform"]["port"] = 1
                compare.settings.decode(document)

    def test_the_table_shows_median_and_spread(self):
        table = compare._table({"plain": {"step": [3, 1, 2]}, "new": {"step": [4]}})
        self.assertIn("2 (1 to 3)", table)
