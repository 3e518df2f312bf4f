"""Recorded traces: JSON lines with a head, in the order of their times."""

import msgspec

from goldcrestmoor.errors import UserError


class Outcomes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The bounds that a replay is held to; what is left out is not held.

    :param lost: samples never delivered, at most.
    :param doubled: samples delivered twice, at most.
    :param notes_doubled: notes that an upstream ran twice, at most.
    :param notes_lost_percent: notes that did not land, at most, in percent.
    :param staleness_max: versions that any sample lags behind, at most.
    :param idle_percent: trainer idle time, at most, in percent of the replay.
    :param step_ms: the time until a step is whole, at most, in milliseconds.
    :param fetch_p99_ms: 99th percentile of fetch latency, at most.
    :param fetch_failed_percent: fetches without an answer, at most, in percent.
    :param completion_failed_percent: an application's completions that were not
        made in time, at most, in percent.
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
    :param seed: what its random choices came from.
    :param duration_ms: when the last entry's work should be over.
    :param outcomes: the bounds that the replay is held to.
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
    """One non-idempotent application request, made with a minted key."""

    at_ms: int
    account: str
    pool: str
    path: str
    body: str


class Completion(
    msgspec.Struct, frozen=True, tag="completion", forbid_unknown_fields=True
):
    """One text that an application asks for.

    :param timeout_ms: how long it may take, in milliseconds.
    """

    at_ms: int
    account: str
    pool: str
    prompt: str
    max_tokens: int
    seed: int
    timeout_ms: int


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The samples of one prompt.

    :param prompt: the prompt that they share.
    :param samples: how many there are.
    :param max_tokens: the most tokens of one sample.
    :param seed: what the samples' random choices come from.
    """

    prompt: str
    samples: int
    max_tokens: int
    seed: int


class Step(msgspec.Struct, frozen=True, tag="step", forbid_unknown_fields=True):
    """One step of a trainer, begun when the step before it is trained.

    :param at_ms: the earliest time to begin.
    :param account: the trainer.
    :param pool: the engines' pool.
    :param step: the step's name.
    :param groups: what is asked for.
    :param train_ms: how long the trainer trains on the whole step.
    :param publish: the weight version that it publishes afterwards; 0 for none.
    """

    at_ms: int
    account: str
    pool: str
    step: str
    groups: tuple[Group, ...]
    train_ms: int
    publish: int = 0


class Publish(msgspec.Struct, frozen=True, tag="publish", forbid_unknown_fields=True):
    """A weight version that a trainer publishes in the middle of its steps."""

    at_ms: int
    account: str
    pool: str
    version: int


class Fault(msgspec.Struct, frozen=True, tag="fault", forbid_unknown_fields=True):
    """One fault, carried out by whoever runs the fleet.

    :param at_ms: when.
    :param action: such as ``kill``, ``freeze``, ``thaw``, ``cut``, ``mend``.
    :param target: a process or a link by name.
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
    :return: the :class:`Head` and a list of entries in the order of their times.
    :raises UserError: naming the line that is wrong.
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
    """Write a trace.

    :param path: the trace's file.
    :param head: its :class:`Head`.
    :param entries: its entries.
    """
    with open(path, "wb") as f:
        for item in (head, *sorted(entries, key=lambda entry: entry.at_ms)):
            f.write(_encoder.encode(item) + b"\n")
