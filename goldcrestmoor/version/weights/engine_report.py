"""What engines say of themselves and of the orders that they are given."""

import enum

import msgspec


class LoadMode(enum.StrEnum):
    """What becomes of the runs of an engine that changes its weights."""

    # They finish first.
    WAIT = "wait"
    # Their streams are reset.
    TRUNCATE = "truncate"
    # They go on under the new version.
    RETAIN = "retain"


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's state, somewhat late.

    :param version_by_model: the weight version of each model that it holds.
    :param is_busy: whether it carries out an order.
    :param accepted: how many orders this incarnation has accepted.
    :param running: how many requests it runs.
    """

    version_by_model: dict[str, int]
    is_busy: bool
    accepted: int
    running: int


class Ordered(msgspec.Struct, frozen=True):
    """The engine took the order.

    :param is_done: whether it held the version already.
    """

    is_done: bool


class OrderRefused(msgspec.Struct, frozen=True):
    """The engine will not carry the order out.

    :param reason: why, as part of a sentence.
    """

    reason: str
