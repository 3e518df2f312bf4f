"""Which running items are moved to another engine.

The load this answers: one engine turns several times slower than the rest while it
holds a dozen streams of a step. A stream goes on elsewhere from the events that it
has, for the price of reading its text again, so it is moved when it will be ready
much sooner there; short rests stay.
"""

import statistics

import msgspec

# A slower pace than this many times the usual one is no chance.
SLOW_FACTOR = 2.0
# A move must save at least this; reading the text again and a new try cost some of it.
MIN_GAIN_MS = 400
# Nothing is known of an item's end, so that it is taken to be half way, at least.
MIN_EVENTS_LEFT = 6


class RunningItem(msgspec.Struct, frozen=True):
    """A running item.

    :param id: the item.
    :param engine: the engine that runs it.
    :param events: how many events it has.
    """

    id: str
    engine: str
    events: int


def choose_moves(running, ms_per_event_by_engine, free_by_engine):
    """Yield the ids of the items to move, those with most to gain first.

    :param running: a list of :class:`RunningItem`.
    :param ms_per_event_by_engine: time per event, in milliseconds, by engine name.
    :param free_by_engine: how many free slots the engines have that take such items.
    """
    if len(ms_per_event_by_engine) < 2:
        return
    median_ms = statistics.median_low(ms_per_event_by_engine.values())
    slow = {
        name: pace
        for name, pace in ms_per_event_by_engine.items()
        if pace > median_ms * SLOW_FACTOR
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
