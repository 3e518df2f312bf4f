"""What came of a replay, and whether the stated outcomes were met."""

import msgspec
from tabulate import tabulate


class Latency(msgspec.Struct, frozen=True):
    """Latency from the intended start, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class DaemonCost(msgspec.Struct, frozen=True):
    """What one daemon spent during a replay.

    :param cpu_s: processor time, in seconds.
    :param resident_mb: memory at the end, in megabytes.
    :param control_bytes: bytes to and from peers.
    """

    url: str
    cpu_s: float
    resident_mb: float
    control_bytes: int


class Report(msgspec.Struct, frozen=True):
    """Everything that a replay measured.

    :param idle_percent: the trainers' mean idle time, in percent of the replay.
    :param step_ms_by_account: the mean time until a trainer's step was whole.
    :param tokens_made: tokens that the engines made, for whatever became of them.
    :param tokens_delivered: tokens in delivered samples and answered completions.
    """

    name: str
    seed: int
    wall_ms: int
    samples_asked: int
    samples_delivered: int
    doubled: int
    lost: int
    idle_ms: int
    idle_percent: float
    step_ms_max: int
    step_ms_by_account: dict[str, float]
    tokens_made: int
    tokens_delivered: int
    staleness_mean: float
    staleness_max: int
    notes_asked: int
    notes_saved: int
    notes_unknown: int
    notes_doubled: int
    fetch: Latency
    note: Latency
    fetch_failed: int
    completion: Latency
    completion_failed: int
    errors_by_kind: dict[str, int]
    retries: int
    daemons: tuple[DaemonCost, ...]


class Miss(msgspec.Struct, frozen=True):
    """One stated outcome that was not met."""

    name: str
    bound: float
    measured: float


def misses(report, outcomes):
    """Yield the stated outcomes that a report misses.

    :param report: the :class:`Report`.
    :param outcomes: the trace's :class:`~goldcrestmoor.load.trace.Outcomes`.
    """
    measured_by_name = {
        "lost": report.lost,
        "doubled": report.doubled,
        "notes_doubled": report.notes_doubled,
        "notes_lost_percent": _percent(
            report.notes_asked - report.notes_saved, report.notes_asked
        ),
        "staleness_max": report.staleness_max,
        "idle_percent": report.idle_percent,
        "step_ms": report.step_ms_max,
        "fetch_p99_ms": report.fetch.p99_ms,
        "fetch_failed_percent": _percent(report.fetch_failed, report.fetch.count),
        "completion_failed_percent": _percent(
            report.completion_failed, report.completion.count
        ),
    }
    for name, measured in measured_by_name.items():
        bound = getattr(outcomes, name)
        if bound is not None and measured > bound:
            yield Miss(name, bound, measured)


def _percent(part, whole):
    return 100 * part / whole if whole else 0.0


def to_table(report, missed):
    """Return a report as text for people.

    :param report: the :class:`Report`.
    :param missed: the list of :class:`Miss`.
    """
    rows = [
        (name, value)
        for name, value in msgspec.structs.asdict(report).items()
        if isinstance(value, int | float | str)
    ]
    rows += _latency_rows("fetch", report.fetch)
    rows += _latency_rows("note", report.note)
    rows += _latency_rows("completion", report.completion)
    rows += [(f"step of {a}, ms", ms) for a, ms in report.step_ms_by_account.items()]
    rows += [(f"errors {kind}", n) for kind, n in report.errors_by_kind.items()]
    rows = [(n, f"{v:.1f}" if isinstance(v, float) else v) for n, v in rows]
    lines = [tabulate(rows, headers=("outcome", "measured"), disable_numparse=True)]
    costs = [msgspec.structs.astuple(cost) for cost in report.daemons]
    if costs:
        headers = DaemonCost.__struct_fields__
        lines.append(tabulate(costs, headers=headers, floatfmt=".1f"))
    for miss in missed:
        lines.append(f"missed: {miss.name} {miss.measured:g}, stated {miss.bound:g}")
    lines.append("outcomes missed" if missed else "all stated outcomes met")
    return "\n\n".join(lines)


def _latency_rows(name, latency):
    for field, value in msgspec.structs.asdict(latency).items():
        yield f"{name} {field}", value
