"""What daemons tell one another about steps."""

import msgspec

from goldcrestmoor import wire
from goldcrestmoor.request.token_chunk import Segment
from goldcrestmoor.version.steps.steps import Sample, Slot, StepSpec


class StoreStep(wire.Message, frozen=True):
    """Keep a step's specification for its holder."""

    spec: StepSpec


class StoreSamples(wire.Message, frozen=True):
    """Keep samples of a step for its holder.

    :param digest: the digest of the step's specification.
    :param floor: the oldest weight version that the trainer still takes.
    """

    account: str
    step: str
    digest: str
    floor: int
    samples: tuple[Sample, ...]


class StoredSamples(wire.Message, frozen=True):
    """What a host keeps for the slots of a :class:`StoreSamples`.

    :param known: whether the host has the step's specification; it keeps nothing
        without.
    :param samples: the samples that came first for these slots.
    :param settled: whether they are to stay; else the host asks others about its own
        ones itself.
    """

    known: bool
    samples: tuple[Sample, ...] = ()
    settled: bool = True


class Partial(msgspec.Struct, frozen=True):
    """What came in for a slot before its stream was given up.

    :param slot: the slot.
    :param segments: the text, by weight version.
    """

    slot: Slot
    segments: tuple[Segment, ...]


class HandOverStep(wire.Message, frozen=True):
    """Keep what a leaving holder's streams had come to, for the next holder."""

    spec: StepSpec
    partials: tuple[Partial, ...]


class FetchStep(wire.Message, frozen=True):
    """Ask for what a host keeps of a step."""

    account: str
    step: str


class KeptStep(wire.Message, frozen=True):
    """What a host keeps of a step; no specification when it keeps nothing."""

    spec: StepSpec | None = None
    samples: tuple[Sample, ...] = ()
    partials: tuple[Partial, ...] = ()


class ForgetStep(wire.Message, frozen=True):
    """Drop what is kept of a step that needs no more work."""

    account: str
    step: str


class SubmitStep(wire.Message, frozen=True):
    """Ask the holder to accept a step and to start on it."""

    spec: StepSpec


class PullSamples(wire.Message, frozen=True):
    """Ask the holder for samples that the trainer lacks.

    :param groups_held: groups that the trainer has whole.
    :param held: further slots that it has.
    :param version: the trainer's weight version.
    :param wait_ms: how long to wait for a first sample, in milliseconds.
    :param max_samples: the most samples to answer with.
    """

    account: str
    step: str
    groups_held: tuple[int, ...]
    held: tuple[Slot, ...]
    version: int
    wait_ms: int
    max_samples: int


class PulledSamples(wire.Message, frozen=True):
    """Samples that the trainer lacks.

    :param complete: whether the trainer has the whole step with these.
    :param pool: the pool whose engines made them.
    """

    samples: tuple[Sample, ...]
    complete: bool
    pool: str = ""


class CancelStep(wire.Message, frozen=True):
    """Stop work on a step and forget it."""

    account: str
    step: str
