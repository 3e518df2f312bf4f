"""Which engine an item goes to.

The load this answers: a step's items come all at once, a few hundred streams for a
few dozen slots, and the longest first. Engines differ in speed, one has turned several
times slower, another loads new weights and a third has just gone. The slots of the
fastest engines fill first, evenly, so that the longest items are made there, and the
short ones where a slower engine costs them little. Items of one group should meet on
one engine, which has then read their prompt.
"""

import msgspec

# Engines whose pace differs by less are filled evenly; the pace of like engines differs
# by a few hundredths from one measurement to the next.
EQUAL_SPEED_FACTOR = 1.15
# A group's engine is kept while it is no more than this share fuller than the rest.
AFFINITY_MARGIN = 0.25


class EngineLoad(msgspec.Struct, frozen=True):
    """One engine as the choice sees it.

    :param name: the engine's name.
    :param slots: how many requests it runs at a time.
    :param in_flight: how many this host has sent it.
    :param version: the weight version that it holds of the item's model.
    :param ms_per_event: the pace of its streams; None while unknown.
    :param is_blocked: whether it has just refused work or failed.
    """

    name: str
    slots: int
    in_flight: int
    version: int
    ms_per_event: float | None = None
    is_blocked: bool = False


def choose_engine(engines, min_version, group_engine="", avoid=()):
    """Return the name of the engine that an item goes to, or None to wait.

    :param engines: an iterable of :class:`EngineLoad`.
    :param min_version: the oldest weight version that may make the item.
    :param group_engine: the engine that last took an item of the same group.
    :param avoid: engines that the item has just failed on; used only when no other
        fits.
    """
    eligible = [
        engine
        for engine in engines
        if engine.version >= min_version
        and engine.in_flight < engine.slots
        and not engine.is_blocked
    ]
    others = [engine for engine in eligible if engine.name not in avoid]
    candidates = _fastest(others or eligible)
    if not candidates:
        return None
    best = min(candidates, key=_utilization)
    max_utilization = best.in_flight / best.slots + AFFINITY_MARGIN
    for engine in candidates:
        if (
            engine.name == group_engine
            and engine.in_flight / engine.slots <= max_utilization
        ):
            return engine.name
    return best.name


def _utilization(engine):
    return engine.in_flight / engine.slots, engine.name


def _fastest(engines):
    """Return the engines that are about as fast as the fastest, or not known yet."""
    known_ms_per_event = [e.ms_per_event for e in engines if e.ms_per_event is not None]
    max_ms = min(known_ms_per_event, default=0) * EQUAL_SPEED_FACTOR
    return [e for e in engines if (e.ms_per_event or 0) <= max_ms]
