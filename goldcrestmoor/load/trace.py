"""Recorded traces: JSON lines with a head, ordered by time."""

import msgspec

from goldcrestmoor.errors import UserError


class Outcomes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The bounds that a replay must meet; None means no bound.

    :param lost: maximum number of samples never delivered.
    :param doubled: maximum number of duplicate samples delivered.
    :param notes_doubled: maximum number of notes run more than once by upstreams.
    :param notes_lost_percent: maximum share of notes not confirmed as saved, in
        percent.
    :param staleness_max: maximum staleness of any sample, in versions.
    :param idle_percent: maximum trainer idle time, in percent of the replay.
    :param step_ms: maximum time until a step is complete, in milliseconds.
    :param fetch_p99_ms: maximum 99th percentile of fetch latency, in milliseconds.
    :param fetch_failed_percent: maximum share of failed fetches, in percent.
    :param completion_failed_percent: maximum share of an application's completions
        that failed or timed out, in percent.
    """

    lost: int | None = 0
    doubled: int | None = 0
    notes_doubled: int | None = 0
    notes_lost_percent: float | None = None
    staleness_max: int | None = None
    idle_percent: float | None = None
    step_ms: int | None = None
    fetch_p99_ms: float | None = None
    fetch_failed_percent: float | None = None
    completion_failed_percent: float | None = None


class Head(msgspec.Struct, frozen=True, tag="head", forbid_unknown_fields=True):
    """The first line of a trace.

    :param name: the trace's name.
    :param seed: the seed of the trace's random choices.
    :param duration_ms: the time by which the last entry's work should be finished.
    :param outcomes: the bounds that the replay must meet.
    """

    name: str
    seed: int
    duration_ms: int
    outcomes: Outcomes = Outcomes()


class Fetch(msgspec.Struct, frozen=True, tag="fetch", forbid_unknown_fields=True):
    """One idempotent application request."""

    at_ms: int
    account: str
    pool: str
    path: str


class Note(msgspec.Struct, frozen=True, tag="note", forbid_unknown_fields=True):
    """One non-idempotent application request, sent with a minted key."""

    at_ms: int
    account: str
    pool: str
    path: str
    body: str


class Completion(
    msgspec.Struct, frozen=True, tag="completion", forbid_unknown_fields=True
):
    """One completion request of an application.

    :param timeout_ms: the request timeout in milliseconds.
    """

    at_ms: int
    account: str
    pool: str
    prompt: str
    max_tokens: int
    seed: int
    timeout_ms: int


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of samples of one prompt.

    :param prompt: the shared prompt.
    :param samples: the number of samples.
    :param max_tokens: the maximum number of tokens per sample.
    :param seed: the seed of the samples' random choices.
    """

    prompt: str
    samples: int
    max_tokens: int
    seed: int


class Step(msgspec.Struct, frozen=True, tag="step", forbid_unknown_fields=True):
    """One step of a trainer, started after training on the previous step.

    :param at_ms: the earliest start time.
    :param account: the trainer.
    :param pool: the engine pool.
    :param step: the step's name.
    :param groups: the groups of samples to request.
    :param train_ms: the time that the trainer trains on the complete step.
    :param publish: the weight version to publish afterwards; 0 for none.
    """

    at_ms: int
    account: str
    pool: str
    step: str
    groups: tuple[Group, ...]
    train_ms: int
    publish: int = 0


class Publish(msgspec.Struct, frozen=True, tag="publish", forbid_unknown_fields=True):
    """A weight version that a trainer publishes during its steps."""

    at_ms: int
    account: str
    pool: str
    version: int


class Fault(msgspec.Struct, frozen=True, tag="fault", forbid_unknown_fields=True):
    """One fault, injected by the fleet's control server.

    :param at_ms: the time of the fault.
    :param action: such as ``kill``, ``freeze``, ``thaw``, ``cut``, ``mend``.
    :param target: the name of the process, link or availability zone.
    """

    at_ms: int
    action: str
    target: str


Entry = Fetch | Note | Completion | Step | Publish | Fault
_decoder = msgspec.json.Decoder(Head | Entry)
_encoder = msgspec.json.Encoder()


def read(path):
    """Return a trace's head and its entries.

    :param path: the trace's file.
    :return: the :class:`Head` and a list of entries ordered by time.
    :raises UserError: when the file cannot be read or a line is invalid; names the
        line.
    """
    try:
        with open(path, "rb") as f:
            decoded = list(_decode(f, path))
    except OSError as e:
        raise UserError(f"Cannot read {path}: {e.strerror}.") from e
    if not decoded or not isinstance(decoded[0], Head):
        raise UserError(f"{path}: the first line is not a head.")
    entries = decoded[1:]
    if any(isinstance(entry, Head) for entry in entries):
        raise UserError(f"{path}: there is a second head.")
    return decoded[0], sorted(entries, key=lambda entry: entry.at_ms)


def _decode(lines, path):
    for number, line in enumerate(lines, 1):
        try:
            yield _decoder.decode(line)
        except msgspec.MsgspecError as e:
            raise UserError(f"{path}, line {number}: {e}.") from e


def write(path, head, entries):
    """Write a trace, its entries ordered by time.

    :param path: the trace's file.
    :param head: the :class:`Head`.
    :param entries: the entries, in any order.
    """
    with open(path, "wb") as f:
        for item in (head, *sorted(entries, key=lambda entry: entry.at_ms)):
            f.write(_encoder.encode(item) + b"\n")
