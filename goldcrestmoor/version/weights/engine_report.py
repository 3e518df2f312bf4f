"""State reports of engines and their responses to load orders."""

import enum

import msgspec


class LoadMode(enum.StrEnum):
    """How an engine treats running requests when it loads new weights."""

    # They finish before the load.
    WAIT = "wait"
    # Their streams are reset.
    TRUNCATE = "truncate"
    # They continue with the new version.
    RETAIN = "retain"


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's state, which may be slightly out of date.

    :param version_by_model: the loaded weight version of each model.
    :param is_busy: whether it is carrying out an order.
    :param accepted: the number of orders that this incarnation has accepted.
    :param running: the number of running requests.
    """

    version_by_model: dict[str, int]
    is_busy: bool
    accepted: int
    running: int


class Ordered(msgspec.Struct, frozen=True):
    """The engine accepted the order.

    :param is_done: whether it had already loaded the version.
    """

    is_done: bool


class OrderRefused(msgspec.Struct, frozen=True):
    """The engine rejected the order.

    :param reason: why, as part of a sentence.
    """

    reason: str
