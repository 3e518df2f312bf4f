"""Make traces at the sizes of the two deployments."""

import random

import msgspec

from goldcrestmoor.load.trace import Fault, Fetch, Group, Head, Note, Outcomes, Step

DURATION_MS = 20_000
TOKENS_MEDIAN = 60
TOKENS_SIGMA = 0.8
TOKENS_MAX = 600
TRAIN_MS = 1500


class Deployment(msgspec.Struct, frozen=True):
    """What a deployment's traces are made of.

    :param name: the deployment's name.
    :param trainer: the trainer's account.
    :param application: the application's account.
    :param engine_pool: the pool of its engines.
    :param application_pool: the pool of its application service.
    :param engines: its engines' names.
    :param zones: its availability zones.
    :param fetches_per_s: application requests a second.
    :param notes_per_s: notes a second.
    :param groups: groups a step.
    :param samples: samples a group.
    :param staleness_bound: the trainer's bound, in versions.
    """

    name: str
    trainer: str
    application: str
    engine_pool: str
    application_pool: str
    engines: tuple[str, ...]
    zones: tuple[str, ...]
    fetches_per_s: float
    notes_per_s: float
    groups: int
    samples: int
    staleness_bound: int


DEPLOYMENT_BY_NAME = {
    "tisza": Deployment(
        name="tisza",
        trainer="summaries",
        application="dashboards",
        engine_pool="lm-pool",
        application_pool="dash-api",
        engines=tuple(f"lm-{n}" for n in range(1, 7)),
        zones=("szeged-a", "szeged-b", "hodmezo"),
        fetches_per_s=40,
        notes_per_s=0.5,
        groups=8,
        samples=8,
        staleness_bound=2,
    ),
    "derwent": Deployment(
        name="derwent",
        trainer="coach",
        application="fitters",
        engine_pool="coach-lm",
        application_pool="fit-desk",
        engines=tuple(f"coach-{n}" for n in range(1, 7)),
        zones=("hobart-hall", "kingston-hall", "glenorchy-hall"),
        fetches_per_s=10,
        notes_per_s=4,
        groups=8,
        samples=8,
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
)


def make(deployment, scenario, seed):
    """Return a trace's head and entries.

    :param deployment: a :class:`Deployment`.
    :param scenario: one of :data:`SCENARIOS`.
    :param seed: what the random choices come from.
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
        *_arrivals(deployment, scenario, rng),
        *_faults(deployment, scenario),
    ]
    return head, entries


def _outcomes(deployment, scenario):
    return Outcomes(
        notes_lost_percent=0 if scenario != "cut" else None,
        staleness_max=deployment.staleness_bound,
        fetch_failed_percent=0
        if scenario in ("calm", "straggler", "weights")
        else None,
    )


def _steps(deployment, scenario, rng):
    for number in range(1, 5):
        yield Step(
            at_ms=0,
            account=deployment.trainer,
            pool=deployment.engine_pool,
            step=f"{scenario}-{number}",
            groups=tuple(_groups(deployment, scenario, rng)),
            train_ms=TRAIN_MS,
            publish=number + 1 if scenario != "straggler" else 0,
        )


def _groups(deployment, scenario, rng):
    for number in range(deployment.groups):
        length = _length(rng)
        if scenario == "straggler" and number == 0:
            length = TOKENS_MAX
        yield Group(
            prompt=f"Group {number}: " + " ".join(_words(rng, 40)),
            samples=deployment.samples,
            max_tokens=length,
            seed=rng.randrange(1 << 30),
        )


def _length(rng):
    length = rng.lognormvariate(0, TOKENS_SIGMA) * TOKENS_MEDIAN
    return max(4, min(TOKENS_MAX, int(length)))


def _words(rng, count):
    for _ in range(count):
        yield "".join(rng.choice("abcdefghijklmnop") for _ in range(5))


def _arrivals(deployment, scenario, rng):
    for at_ms in _times(deployment.fetches_per_s, scenario, rng):
        path = f"/panels/{rng.randrange(200)}"
        yield Fetch(at_ms, deployment.application, deployment.application_pool, path)
    for number, at_ms in enumerate(_times(deployment.notes_per_s, "calm", rng)):
        body = f"note {scenario} {number} {rng.randrange(1 << 30)}"
        yield Note(
            at_ms, deployment.application, deployment.application_pool, "/notes", body
        )


def _times(rate_per_s, scenario, rng):
    at_ms = 0.0
    while True:
        busy = scenario == "burst" and DURATION_MS / 4 < at_ms < DURATION_MS / 2
        at_ms += rng.expovariate(rate_per_s * (10 if busy else 1)) * 1000
        if at_ms >= DURATION_MS * 0.8:
            return
        yield int(at_ms)


def _faults(deployment, scenario):
    begin_ms, end_ms = DURATION_MS // 5, DURATION_MS // 2
    match scenario:
        case "crash":
            yield Fault(begin_ms, "kill", deployment.engines[0])
            yield Fault(end_ms, "start", deployment.engines[0])
        case "cut":
            yield Fault(begin_ms, "cut", deployment.zones[-1])
            yield Fault(end_ms, "mend", deployment.zones[-1])
        case "outage":
            yield Fault(begin_ms, "outage", "platform")
            yield Fault(end_ms, "recover", "platform")
