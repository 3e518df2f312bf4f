"""Who ordered an engine last and when: what keeps two hosts from taking turns.

Engines that ignore fencing numbers carry out whatever they are sent. So each order
is written down before it is sent, and another host's order only follows once the
last one has had its time.
"""

import msgspec

from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError

TABLE = "orders"
# The hosts read the store's clock from its answers, each a round trip late at most.
CLOCK_MARGIN_MS = 500
# An order that would leave later than this after the time of its entry is given up.
MAX_SEND_DELAY_MS = 400
# An entry waits behind the writes of other hosts for so many answers of a read.
WRITE_LATENCY_FACTOR = 8


class OrderEntry(msgspec.Struct, frozen=True):
    """The last order to an engine.

    :param holder: the host that gave it.
    :param fencing: its fencing number; grows by one with each order.
    :param at_ms: when it was to be written down by, on the store's clock. The order
        leaves no later than ``MAX_SEND_DELAY_MS`` after that.
    """

    holder: str
    fencing: int
    at_ms: int


class OrderLog:
    """Write orders down before they are sent.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client.
    :param host_id: this host.
    :param turn_ms: how long after one host's order another's must not follow.
    """

    __slots__ = ("_clock", "_store", "_host_id", "_turn_ms", "_cached_by_engine")

    def __init__(self, *, clock, store, host_id, turn_ms):
        self._clock = clock
        self._store = store
        self._host_id = host_id
        self._turn_ms = turn_ms
        self._cached_by_engine = {}

    async def append(self, engine):
        """Write down that an order is about to be given.

        :param engine: the engine's name.
        :return: the order's fencing number, or None when another host has its turn.
        :raises ServiceError: when it may not have been written; give no order.
        """
        entry, version = await self._last_entry(engine)
        now_ms = self._store.now_ms()
        if not may_order(entry, self._host_id, now_ms, self._turn_ms):
            return None
        fencing = entry.fencing + 1 if entry else 1
        # A slow store would else have each entry made too late.
        write_ms = WRITE_LATENCY_FACTOR * self._store.latency_ms()
        new = OrderEntry(self._host_id, fencing, now_ms + write_ms)
        self._cached_by_engine.pop(engine, None)
        sent_ms = self._clock.now_ms()
        answer = await self._store.transact(
            [Check(TABLE, engine, version)],
            [Write(TABLE, engine, msgspec.json.encode(new))],
        )
        if not isinstance(answer, Committed):
            return None
        self._cached_by_engine[engine] = (
            new,
            answer.version_by_key[f"{TABLE}/{engine}"],
        )
        if self._clock.now_ms() - sent_ms > write_ms + MAX_SEND_DELAY_MS:
            text = "Writing the order down took too long to send it now."
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)
        return fencing

    async def _last_entry(self, engine):
        cached = self._cached_by_engine.get(engine)
        if cached is not None:
            return cached
        row = await self._store.get(TABLE, engine)
        if row is None:
            return None, 0
        try:
            return msgspec.json.decode(row.value, type=OrderEntry), row.version
        except msgspec.MsgspecError as e:
            text = f"The entry of the last order to {engine} is malformed."
            raise ServiceError(ErrorKind.INTERNAL, text) from e


def may_order(entry, host_id, now_ms, turn_ms):
    """Tell whether a host may order an engine, given the last order to it.

    :param entry: the :class:`OrderEntry`, or None.
    :param host_id: the host.
    :param now_ms: the time on the store's clock.
    :param turn_ms: how long after one host's order another's must not follow.
    """
    if entry is None or entry.holder == host_id:
        return True
    return now_ms - entry.at_ms >= turn_ms + CLOCK_MARGIN_MS
