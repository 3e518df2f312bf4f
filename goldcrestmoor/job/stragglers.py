"""Selection of running items to move to another engine.

Workload: one engine becomes several times slower than the rest while it runs a dozen
streams of a step. Or a third of the engines is permanently slower by a third, and holds
items that turned out to be among the longest, which decide when their step is whole. A
stream can continue elsewhere from its events so far, at the cost of processing its
output again, so it is moved only if it will finish much sooner there; streams with
little left to run stay.
"""

import statistics

import msgspec

# An engine slower than the median by more than this factor is not slow by chance.
SLOW_FACTOR = 1.15
# A move must save at least this, to outweigh the new attempt and reprocessing.
MIN_GAIN_MS = 400
# An item's remaining length is unknown, so it is estimated as the events it has, but
# at least this.
MIN_EVENTS_LEFT = 6


class RunningItem(msgspec.Struct, frozen=True):
    """A running item.

    :param id: the item.
    :param engine: the engine that runs it.
    :param events: the number of events it has.
    """

    id: str
    engine: str
    events: int


def choose_moves(running, ms_per_event_by_engine, free_by_engine):
    """Yield the ids of the items to move, those that save most time first.

    :param running: a list of :class:`RunningItem`.
    :param ms_per_event_by_engine: time per event, in milliseconds, by engine name.
    :param free_by_engine: the free slots of each engine that may run the items.
    """
    if len(ms_per_event_by_engine) < 2:
        return
    median_ms = statistics.median_low(ms_per_event_by_engine.values())
    slow = {
        name: event_ms
        for name, event_ms in ms_per_event_by_engine.items()
        if event_ms > median_ms * SLOW_FACTOR
    }
    free_slots = sum(free for name, free in free_by_engine.items() if name not in slow)
    gains = [
        (max(item.events, MIN_EVENTS_LEFT) * (slow[item.engine] - median_ms), item.id)
        for item in running
        if item.engine in slow
    ]
    for gain_ms, item_id in sorted(gains, reverse=True)[:free_slots]:
        if gain_ms >= MIN_GAIN_MS:
            yield item_id
