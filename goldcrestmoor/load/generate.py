"""Generate traces at the scale of the two deployments.

``python -m goldcrestmoor.load.generate DIRECTORY`` writes all of them, into one
directory per deployment.
"""

import pathlib
import random
import sys

import msgspec

from goldcrestmoor.load import trace
from goldcrestmoor.load.trace import (
    Completion,
    Fault,
    Fetch,
    Group,
    Head,
    Note,
    Outcomes,
    Publish,
    Step,
)

DURATION_MS = 12_000
ARRIVALS_PERCENT = 80
STEPS = 3
MAX_TOKENS = 150
# The duration of steps that share the engines is bound by throughput, not by the
# longest sample.
SHARED_MAX_TOKENS = 50
TRAIN_MS = 500
PROMPT_WORDS = 40
PUBLISH_INTERVAL_MS = 2000
COMPLETION_TOKENS = 60
COMPLETION_TIMEOUT_MS = 4000
BURST_FACTOR = 30
OTHER_TRAINER_SAMPLES = 16
PERCENT = 100
MS_PER_SECOND = 1000
DEFAULT_SEED = 1


class Deployment(msgspec.Struct, frozen=True):
    """The parameters of a deployment's traces.

    :param name: the deployment's name.
    :param trainer: the trainer's account.
    :param other_trainers: the accounts of trainers that share the engines.
    :param application: the application's account.
    :param engine_pool: the pool of engines.
    :param application_pool: the pool of the application service.
    :param zones: the availability zones.
    :param fetches_per_s: idempotent application requests per second.
    :param notes_per_s: non-idempotent application requests (notes) per second.
    :param completions_per_s: completion requests of the application per second.
    :param groups: groups per step.
    :param samples: samples per group.
    :param staleness_bound: the trainer's staleness bound, in versions.
    """

    name: str
    trainer: str
    other_trainers: tuple[str, ...]
    application: str
    engine_pool: str
    application_pool: str
    zones: tuple[str, ...]
    fetches_per_s: float
    notes_per_s: float
    completions_per_s: float
    groups: int
    samples: int
    staleness_bound: int


DEPLOYMENT_BY_NAME = {
    "tisza": Deployment(
        name="tisza",
        trainer="summary-trainer",
        other_trainers=("notice-trainer", "minutes-trainer"),
        application="dashboards",
        engine_pool="lm-pool",
        application_pool="dash-api",
        zones=("szeged-a", "szeged-b", "hodmezo"),
        fetches_per_s=40,
        notes_per_s=0.5,
        completions_per_s=4,
        groups=8,
        samples=16,
        staleness_bound=2,
    ),
    "derwent": Deployment(
        name="derwent",
        trainer="coach-trainer",
        other_trainers=("stride-trainer", "insole-trainer"),
        application="fitting-bench",
        engine_pool="coach-lm",
        application_pool="fit-desk",
        zones=("hobart-hall", "kingston-hall", "glenorchy-hall"),
        fetches_per_s=10,
        notes_per_s=4,
        completions_per_s=2,
        groups=8,
        samples=16,
        staleness_bound=1,
    ),
}

SCENARIOS = (
    "calm",
    "straggler",
    "weights",
    "crash",
    "cut",
    "outage",
    "burst",
    "shares",
)


def make_trace(deployment, scenario, seed):
    """Generate a trace and return its head and entries.

    :param deployment: a :class:`Deployment`.
    :param scenario: one of :data:`SCENARIOS`.
    :param seed: the seed of the random choices.
    """
    rng = random.Random(f"{deployment.name}/{scenario}/{seed}")
    head = Head(
        name=f"{deployment.name}-{scenario}",
        seed=seed,
        duration_ms=DURATION_MS,
        outcomes=_outcomes(deployment, scenario),
    )
    entries = [
        *_steps(deployment, scenario, rng),
        *_publishes(deployment, scenario),
        *_fetches(deployment, rng),
        *_notes(deployment, scenario, rng),
        *_completions(deployment, scenario, rng),
        *_faults(deployment, scenario),
    ]
    return head, sorted(entries, key=lambda entry: entry.at_ms)


def _outcomes(deployment, scenario):
    allows_no_failures = scenario in ("calm", "straggler", "weights", "shares")
    return Outcomes(
        notes_lost_percent=None if scenario == "cut" else 0,
        staleness_max=deployment.staleness_bound,
        fetch_failed_percent=0 if allows_no_failures else None,
        completion_failed_percent=0 if allows_no_failures else None,
    )


def _steps(deployment, scenario, rng):
    yield from _account_steps(deployment, scenario, rng, deployment.trainer)
    if scenario == "shares":
        for account in deployment.other_trainers:
            samples = OTHER_TRAINER_SAMPLES
            yield from _account_steps(deployment, scenario, rng, account, samples)


def _account_steps(deployment, scenario, rng, account, samples=None):
    publishes = scenario in ("calm", "crash", "cut", "outage", "burst")
    for number in range(1, STEPS + 1):
        yield Step(
            at_ms=0,
            account=account,
            pool=deployment.engine_pool,
            step=f"{scenario}-{number}",
            groups=tuple(_groups(deployment, scenario, rng, samples)),
            train_ms=TRAIN_MS,
            publish=number + 1 if publishes else 0,
        )


def _groups(deployment, scenario, rng, samples):
    max_tokens = SHARED_MAX_TOKENS if scenario == "shares" else MAX_TOKENS
    for number in range(deployment.groups):
        yield Group(
            prompt=f"Group {number}: " + " ".join(_random_words(rng, PROMPT_WORDS)),
            samples=samples or deployment.samples,
            max_tokens=max_tokens,
            seed=rng.randrange(1 << 30),
        )


def _random_words(rng, count):
    for _ in range(count):
        yield "".join(rng.choice("abcdefghijklmnop") for _ in range(5))


def _publishes(deployment, scenario):
    """Yield publishes during steps, as an asynchronous trainer sends them."""
    if scenario != "weights":
        return
    times = range(PUBLISH_INTERVAL_MS // 2, DURATION_MS, PUBLISH_INTERVAL_MS)
    for version, at_ms in enumerate(times, 2):
        yield Publish(at_ms, deployment.trainer, deployment.engine_pool, version)


def _fetches(deployment, rng):
    for at_ms in _arrival_times(deployment.fetches_per_s, rng):
        path = f"/panels/{rng.randrange(200)}"
        yield Fetch(at_ms, deployment.application, deployment.application_pool, path)


def _notes(deployment, scenario, rng):
    for number, at_ms in enumerate(_arrival_times(deployment.notes_per_s, rng)):
        body = f"note-{scenario}-{number}-{rng.randrange(1 << 30)}"
        yield Note(
            at_ms, deployment.application, deployment.application_pool, "/notes", body
        )


def _completions(deployment, scenario, rng):
    factor = BURST_FACTOR if scenario == "burst" else 1
    for at_ms in _arrival_times(deployment.completions_per_s, rng, factor):
        yield Completion(
            at_ms=at_ms,
            account=deployment.application,
            pool=deployment.engine_pool,
            prompt=" ".join(_random_words(rng, PROMPT_WORDS)),
            max_tokens=COMPLETION_TOKENS,
            seed=rng.randrange(1 << 30),
            timeout_ms=COMPLETION_TIMEOUT_MS,
        )


def _arrival_times(rate_per_s, rng, burst_factor=1):
    at_ms = 0.0
    while True:
        in_burst = DURATION_MS / 6 < at_ms < DURATION_MS / 2
        rate = rate_per_s * (burst_factor if in_burst else 1)
        at_ms += rng.expovariate(rate) * MS_PER_SECOND
        if at_ms >= DURATION_MS * ARRIVALS_PERCENT / PERCENT:
            return
        yield int(at_ms)


def _faults(deployment, scenario):
    engine = f"{deployment.engine_pool}-1"
    begin_ms, end_ms = DURATION_MS // 10, DURATION_MS // 2
    match scenario:
        case "straggler":
            yield Fault(0, "slow", engine)
            yield Fault(end_ms * 3 // 2, "usual", engine)
        case "crash":
            yield Fault(begin_ms, "kill", engine)
            yield Fault(end_ms, "start", engine)
        case "cut":
            yield Fault(begin_ms, "cut", deployment.zones[-1])
            yield Fault(end_ms, "mend", deployment.zones[-1])
        case "outage":
            yield Fault(begin_ms, "outage", "platform")
            yield Fault(end_ms, "recover", "platform")


def main():
    """Write all traces to the directory given as the first argument."""
    directory = pathlib.Path(sys.argv[1])
    for deployment in DEPLOYMENT_BY_NAME.values():
        deployment_directory = directory / deployment.name
        deployment_directory.mkdir(parents=True, exist_ok=True)
        for scenario in SCENARIOS:
            head, entries = make_trace(deployment, scenario, DEFAULT_SEED)
            trace.write(deployment_directory / f"{scenario}.jsonl", head, entries)


if __name__ == "__main__":
    main()
