"""Messages between daemons about steps."""

import msgspec

from goldcrestmoor import wire
from goldcrestmoor.request.token_chunk import Segment
from goldcrestmoor.version.steps.steps import Sample, Slot, StepSpec


class StoreStep(wire.Message, frozen=True):
    """Request to store a step's specification for its holder."""

    spec: StepSpec


class StoreSamples(wire.Message, frozen=True):
    """Request to store samples of a step for its holder.

    :param digest: the digest of the step's specification.
    :param floor: the oldest weight version that the trainer still accepts.
    """

    account: str
    step: str
    digest: str
    floor: int
    samples: tuple[Sample, ...]


class StoredSamples(wire.Message, frozen=True):
    """The samples that a host stores for the slots of a :class:`StoreSamples`.

    :param known: whether the host has the step's specification; it stores no samples
        without it.
    :param samples: the first samples that the host received for these slots.
    :param settled: whether the samples are final; otherwise some are the host's own
        and pending, and the host is asking other hosts about them.
    """

    known: bool
    samples: tuple[Sample, ...] = ()
    settled: bool = True


class Partial(msgspec.Struct, frozen=True):
    """The output received for a slot before its stream was stopped.

    :param slot: the slot.
    :param segments: the text, by weight version.
    """

    slot: Slot
    segments: tuple[Segment, ...]


class HandOverStep(wire.Message, frozen=True):
    """Request to store a leaving holder's partial outputs for the next holder."""

    spec: StepSpec
    partials: tuple[Partial, ...]


class FetchStep(wire.Message, frozen=True):
    """Request for a host's replica of a step."""

    account: str
    step: str


class KeptStep(wire.Message, frozen=True):
    """A host's replica of a step; without specification when there is none."""

    spec: StepSpec | None = None
    samples: tuple[Sample, ...] = ()
    partials: tuple[Partial, ...] = ()


class ForgetStep(wire.Message, frozen=True):
    """Request to drop the replica of a step that needs no more work."""

    account: str
    step: str


class SubmitStep(wire.Message, frozen=True):
    """Request that the holder accepts a step and starts to run it."""

    spec: StepSpec


class PullSamples(wire.Message, frozen=True):
    """Request to the holder for samples that the trainer does not have.

    :param groups_held: groups of which the trainer has every sample.
    :param held: further slots whose samples the trainer has.
    :param version: the trainer's weight version.
    :param wait_ms: how long to wait for the first sample, in milliseconds.
    :param max_samples: the maximum number of samples to return.
    """

    account: str
    step: str
    groups_held: tuple[int, ...]
    held: tuple[Slot, ...]
    version: int
    wait_ms: int
    max_samples: int


class PulledSamples(wire.Message, frozen=True):
    """Samples that the trainer does not have.

    :param complete: whether the trainer has the complete step with these samples.
    :param pool: the pool whose engines generated the samples.
    """

    samples: tuple[Sample, ...]
    complete: bool
    pool: str = ""


class CancelStep(wire.Message, frozen=True):
    """Request to stop work on a step and to delete it."""

    account: str
    step: str
