"""Selection of the engine that runs an item.

Workload: the items of a step arrive together, a few hundred streams for a few dozen
slots, longest first. Engines differ in speed: one has become several times slower,
another is loading new weights and a third has just stopped. The slots of the fastest
engines are filled first, evenly, so that they run the longest items, and slower engines
run the short items, where they cost little. Items of one group preferably run on the
same engine, which has then already processed their prompt.

While engines are replaced by ones of a newer software version, some crash or are full.
A text goes on only at the version that began it, so its item waits for such an engine
for as long as it would take to generate the text again.

One engine may report that each item fails, within milliseconds, so that it is free when
the others are full. An item that failed there waits for another one, or it would fail
as often as its route allows.
"""

import msgspec

# Engines whose time per event differs by less than this factor are filled evenly;
# identical engines differ by a few percent from one measurement to the next.
EQUAL_SPEED_FACTOR = 1.15
# A group stays on its engine while that engine's utilization exceeds the lowest one
# by no more than this.
AFFINITY_MARGIN = 0.25
# The time per event while no engine has been measured.
UNKNOWN_MS_PER_EVENT = 20


class EngineLoad(msgspec.Struct, frozen=True):
    """The state of one engine, as input of the selection.

    :param name: the engine's name.
    :param slots: the number of requests that it runs concurrently.
    :param in_flight: the number of running requests that this host has sent it.
    :param version: the weight version of the item's model that it has loaded.
    :param ms_per_event: the mean time per event of its streams; None while unknown.
    :param is_blocked: whether it is backed off after a rejection or failure.
    :param is_limited: whether it limits its requests.
    :param software_version: the version of its software.
    """

    name: str
    slots: int
    in_flight: int
    version: int
    ms_per_event: float | None = None
    is_blocked: bool = False
    is_limited: bool = False
    software_version: str = ""


def choose_engine(
    engines,
    min_version,
    group_engine="",
    avoid=(),
    software_version=None,
    failed_at=frozenset(),
):
    """Return the name of the engine that runs an item, or None to wait.

    :param engines: an iterable of :class:`EngineLoad`.
    :param min_version: the oldest weight version accepted for the item.
    :param group_engine: the engine that last ran an item of the same group.
    :param avoid: engines where the item has just failed; used only when no other
        engine is eligible.
    :param software_version: the software version that began the item's text; None for
        an item without one.
    :param failed_at: engines that reported that the item failed; used only when all
        others are backed off or unusable, not when they are full.
    """
    usable = [
        engine
        for engine in engines
        if engine.version >= min_version
        and not engine.is_blocked
        and software_version in (None, engine.software_version)
    ]
    usable = [engine for engine in usable if engine.name not in failed_at] or usable
    eligible = [engine for engine in usable if engine.in_flight < engine.slots]
    preferred = [engine for engine in eligible if engine.name not in avoid] or eligible
    unlimited = [engine for engine in preferred if not engine.is_limited]
    candidates = _fastest(unlimited or preferred)
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


def should_restart(engines, min_version, software_version, event_count, waited_ms):
    """Return whether an item's text is generated again at another software version.

    :param engines: an iterable of :class:`EngineLoad`.
    :param min_version: the oldest weight version accepted for the item.
    :param software_version: the software version that began the text.
    :param event_count: the number of its events.
    :param waited_ms: the time since its last event, in milliseconds.
    """
    usable = [engine for engine in engines if engine.version >= min_version]
    if all(engine.software_version != software_version for engine in usable):
        return True
    free = [engine for engine in usable if _is_free(engine, min_version)]
    if any(engine.software_version == software_version for engine in free):
        return False
    known_ms = [e.ms_per_event for e in usable if e.ms_per_event is not None]
    ms_per_event = min(known_ms, default=UNKNOWN_MS_PER_EVENT)
    return bool(free) and waited_ms >= event_count * ms_per_event


def _is_free(engine, min_version):
    return (
        engine.version >= min_version
        and engine.in_flight < engine.slots
        and not engine.is_blocked
    )


def _utilization(engine):
    return engine.in_flight / engine.slots, engine.name


def _fastest(engines):
    """Return the engines about as fast as the fastest, and those of unknown speed."""
    known_ms_per_event = [e.ms_per_event for e in engines if e.ms_per_event is not None]
    max_ms = min(known_ms_per_event, default=0) * EQUAL_SPEED_FACTOR
    return [e for e in engines if (e.ms_per_event or 0) <= max_ms]
