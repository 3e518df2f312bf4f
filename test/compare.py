"""Compare the variants of a policy on the same traces and seeds.

``python -m test.compare stragglers --deployment tisza --runs 5`` replays the policy's
traces against fresh fleets, each variant in turn for each seed, and prints the median
and the range of each outcome.
"""

import argparse
import asyncio
import statistics

import msgspec
from tabulate import tabulate

from goldcrestmoor import settings
from goldcrestmoor.load import generate, report as reports
from goldcrestmoor.load.replay import replay
from goldcrestmoor.load.report import Report
from test.replay_fleet import ReplayFleet, make_plan

DEFAULT_RUNS = 5
PERCENT = 100


class Variant(msgspec.Struct, frozen=True):
    """One variant of a policy.

    :param name: the column title in the table.
    :param policy: overrides of the settings' section ``policy``.
    :param terms: additional clauses of the trainers' ``CREATE ACCOUNT``.
    :param floor_percent: the share of engine capacity reserved for applications.
    """

    name: str
    policy: dict = {}
    terms: str = ""
    floor_percent: int = 20


class Comparison(msgspec.Struct, frozen=True):
    """The variants of a policy, the baseline first.

    :param scenarios: the scenarios to replay.
    :param variants: the :class:`Variant` objects.
    :param engine: overrides of the engines' options.
    """

    scenarios: tuple[str, ...]
    variants: tuple[Variant, ...]
    engine: dict = {}


COMPARISON_BY_NAME = {
    "shares": Comparison(
        ("shares",),
        (Variant("fifo", {"queue": "fifo"}), Variant("fair", {"queue": "fair"})),
    ),
    "placement": Comparison(
        ("calm",),
        (
            Variant("round robin", {"placement": "round_robin"}),
            Variant("least loaded", {"placement": "least_loaded"}),
            Variant("prefix", {"placement": "prefix"}),
        ),
        # A cache miss on a prefix of 40 words takes as long as generating 20 tokens.
        {"prompt_token_ms": 10, "cache_tokens": 400},
    ),
    "stragglers": Comparison(
        ("straggler", "crash"),
        (
            Variant("plain", {"stragglers": "restart", "start_order": "as_numbered"}),
            Variant("longest first", {"stragglers": "restart"}),
            Variant("and resume", {"stragglers": "resume"}),
            Variant("and hedge", {"stragglers": "hedge"}),
        ),
    ),
    "rollout": Comparison(
        ("calm", "weights"),
        (
            Variant("all at once", {"rollout": "all_at_once"}),
            Variant("rolling 17%", {"rollout": "rolling", "rolling_percent": 17}),
            Variant("rolling 50%", {"rollout": "rolling", "rolling_percent": 50}),
        ),
    ),
    "streams": Comparison(
        ("weights",),
        (
            Variant("finish", terms="ON VERSION CHANGE finish"),
            Variant("cancel", terms="ON VERSION CHANGE cancel"),
            Variant("drop early", {"drop_early": True}, "ON VERSION CHANGE finish"),
        ),
    ),
    "overload": Comparison(
        ("burst",),
        (
            Variant("unbounded fifo", {"queue": "fifo", "early_refusal": False}),
            Variant("early refusal", {"queue": "fifo"}),
            Variant("and fair, floor 20%", {"queue": "fair"}),
            Variant("and fair, floor 50%", {"queue": "fair"}, floor_percent=50),
        ),
    ),
}


def outcomes(deployment, report: Report):
    """Yield the names and values of the outcomes that a comparison shows.

    :param deployment: the trace's deployment.
    :param report: the report of a replay.
    """
    steps = report.step_ms_by_account
    yield "trainers idle, %", report.idle_percent
    yield "step, ms", steps[deployment.trainer]
    others = [steps[name] for name in deployment.other_trainers if name in steps]
    if others:
        yield "others' step, ms", statistics.fmean(others)
    yield "staleness, mean", report.staleness_mean
    yield "tokens made / delivered", report.tokens_made / report.tokens_delivered
    yield "completions failed, %", _percent(report.completion_failed, report.completion)
    yield "completion p50, ms", report.completion.p50_ms
    yield "completion p99, ms", report.completion.p99_ms
    yield "fetch p99, ms", report.fetch.p99_ms
    yield "fetches failed, %", _percent(report.fetch_failed, report.fetch)
    yield "notes not saved", report.notes_asked - report.notes_saved
    yield "retries", report.retries


def _percent(failed, latency):
    return PERCENT * failed / max(1, latency.count)


async def run_once(deployment, scenario, seed, variant, engine):
    """Replay one trace against a fresh fleet.

    :return: the report and the stated outcomes that were missed.
    """
    head, entries = generate.make_trace(deployment, scenario, seed)
    plan = make_plan(deployment, variant.policy, terms=variant.terms, **engine)
    plan.settings["limits"] = {"application_floor_percent": variant.floor_percent}
    async with ReplayFleet(plan, has_network=scenario == "cut") as fleet:
        limits = settings.default_limits()
        report = await replay(head, entries, fleet.replay_plan(), limits)
    return report, list(reports.misses(report, head.outcomes))


async def compare(deployment, comparison, scenario, seeds):
    """Return the table of one scenario, and the missed outcomes as text."""
    values_by_variant, missed = (
        {variant.name: {} for variant in comparison.variants},
        [],
    )
    for seed in seeds:
        for variant in comparison.variants:
            report, misses = await run_once(
                deployment, scenario, seed, variant, comparison.engine
            )
            for name, value in outcomes(deployment, report):
                values_by_variant[variant.name].setdefault(name, []).append(value)
            missed += [f"seed {seed}, {variant.name}: {miss}" for miss in misses]
    return _table(values_by_variant), missed


def _table(values_by_variant):
    names = dict.fromkeys(name for v in values_by_variant.values() for name in v)
    rows = [
        [name, *(_cell(values.get(name, [])) for values in values_by_variant.values())]
        for name in names
    ]
    headers = ["median (least to most)", *values_by_variant]
    return tabulate(rows, headers=headers, disable_numparse=True)


def _cell(values):
    if not values:
        return ""
    least, most = min(values), max(values)
    return f"{statistics.median(values):.4g} ({least:.4g} to {most:.4g})"


async def run(options):
    """Print one table per scenario."""
    deployment = generate.DEPLOYMENT_BY_NAME[options.deployment]
    comparison = COMPARISON_BY_NAME[options.policy]
    wanted = options.way or [""]
    variants = [
        w for w in comparison.variants if any(part in w.name for part in wanted)
    ]
    comparison = msgspec.structs.replace(comparison, variants=tuple(variants))
    for scenario in options.scenario or comparison.scenarios:
        seeds = range(1, options.runs + 1)
        table, missed = await compare(deployment, comparison, scenario, seeds)
        print(f"{deployment.name}, {scenario}, {options.runs} runs\n\n{table}\n")
        for line in missed:
            print(f"missed: {line}")


def main():
    """Parse the arguments and run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("policy", choices=sorted(COMPARISON_BY_NAME))
    names = sorted(generate.DEPLOYMENT_BY_NAME)
    parser.add_argument("--deployment", choices=names, default="tisza")
    parser.add_argument("--scenario", action="append", choices=generate.SCENARIOS)
    parser.add_argument("--way", action="append", help="part of a name")
    parser.add_argument("--runs", type=int, default=DEFAULT_RUNS)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
