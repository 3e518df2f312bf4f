"""The parts of a step: its groups, slots and samples."""

import hashlib
import re

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.token_chunk import Segment

MAX_GROUPS = 4096
MAX_SLOTS = 16384
MAX_TOKENS = 1_048_576
MAX_DEADLINE_MS = 86_400_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Slot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The position of one sample in a step.

    :param group: the group's index.
    :param index: the sample's index in the group.
    """

    group: int
    index: int


class GroupSpec(msgspec.Struct, frozen=True):
    """The specification of one group: the samples of one prompt.

    :param index: the group's index, unique in the step.
    :param prompt: the prompt that all of its samples share.
    :param samples: the number of samples to generate.
    :param max_tokens: the maximum length of each sample, in tokens.
    :param seed: the seed of the first sample; each further sample adds one.
    """

    index: int
    prompt: str
    samples: int
    max_tokens: int
    seed: int = 0


class StepSpec(msgspec.Struct, frozen=True):
    """One step as its trainer submitted it.

    :param account: the trainer's account.
    :param step: the step's name, unique for the account.
    :param pool: the pool whose engines generate the samples.
    :param base_version: the trainer's weight version at submission.
    :param groups: the groups of samples.
    :param deadline_ms: how long a holder works on the step, in milliseconds.
    """

    account: str
    step: str
    pool: str
    base_version: int
    groups: tuple[GroupSpec, ...]
    deadline_ms: int

    def slots(self):
        """Yield every slot of the step in order."""
        for group in self.groups:
            for index in range(group.samples):
                yield Slot(group.index, index)


class Sample(msgspec.Struct, frozen=True):
    """The generated output for one slot.

    :param slot: the slot that it fills.
    :param segments: its text by weight version, in order.
    :param finish_reason: ``stop`` or ``length``.
    :param digest: distinguishes two samples of one slot.
    """

    slot: Slot
    segments: tuple[Segment, ...]
    finish_reason: str
    digest: str


class HeldSlots(msgspec.Struct, frozen=True):
    """The slots whose samples a trainer reports to have.

    :param groups: groups of which it has every sample.
    :param slots: further single slots.
    """

    groups: frozenset[int] = frozenset()
    slots: frozenset[Slot] = frozenset()

    def __contains__(self, slot):
        return slot.group in self.groups or slot in self.slots


def make_sample(slot, segments, finish_reason):
    """Return a sample with its digest.

    :param slot: the slot that it fills.
    :param segments: its segments, in order.
    :param finish_reason: why generation ended.
    """
    segments = tuple(segments)
    data = msgspec.json.encode((slot, segments, finish_reason))
    digest = hashlib.sha256(data).hexdigest()[:32]
    return Sample(slot, segments, finish_reason, digest)


def oldest_version(sample):
    """Return the oldest weight version that generated any of a sample's tokens.

    :param sample: a :class:`Sample`.
    """
    return min(segment.version for segment in sample.segments)


def spec_digest(spec):
    """Return the SHA-256 digest of a step's specification, in hexadecimal.

    :param spec: a :class:`StepSpec`.
    """
    return hashlib.sha256(msgspec.json.encode(spec)).hexdigest()


def validate_step_name(step):
    """Reject a step name that could address another step's records.

    :param step: the name.
    :raises ServiceError: ``BAD_REQUEST``.
    """
    if not _NAME.fullmatch(step):
        raise ServiceError(ErrorKind.BAD_REQUEST, "The step's name is not valid.")


def validate_spec(spec):
    """Reject an invalid specification.

    :param spec: a :class:`StepSpec`.
    :raises ServiceError: ``BAD_REQUEST``.
    """
    validate_step_name(spec.step)
    indexes = {group.index for group in spec.groups}
    if not spec.groups or len(indexes) != len(spec.groups):
        raise ServiceError(ErrorKind.BAD_REQUEST, "Groups need unique indexes.")
    if len(spec.groups) > MAX_GROUPS:
        raise ServiceError(ErrorKind.BAD_REQUEST, "The step has too many groups.")
    for group in spec.groups:
        if group.index < 0 or group.samples < 1:
            raise ServiceError(ErrorKind.BAD_REQUEST, "A group is out of range.")
        if not 1 <= group.max_tokens <= MAX_TOKENS:
            raise ServiceError(ErrorKind.BAD_REQUEST, "max_tokens is out of range.")
    if sum(group.samples for group in spec.groups) > MAX_SLOTS:
        raise ServiceError(ErrorKind.BAD_REQUEST, "The step has too many samples.")
    if not 1 <= spec.deadline_ms <= MAX_DEADLINE_MS or spec.base_version < 0:
        raise ServiceError(ErrorKind.BAD_REQUEST, "The step is out of range.")
