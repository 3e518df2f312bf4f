"""The log of the last load order to each engine: which host sent it, and when.

Engines that ignore fencing numbers carry out every order. So each order is logged in
the store before it is sent, and another host may send one only after the turn of the
last host is over. This keeps two hosts from ordering an engine alternately.
"""

import msgspec

from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError

TABLE = "orders"
# Hosts read the store's clock from its responses, at most one round trip late.
CLOCK_MARGIN_MS = 500
# An order is dropped if it would be sent later than this after its entry's time.
MAX_SEND_DELAY_MS = 400
# A write may queue behind the writes of other hosts, for up to this many times the
# latency of a read.
WRITE_LATENCY_FACTOR = 8


class OrderEntry(msgspec.Struct, frozen=True):
    """The last load order to an engine.

    :param holder: the host that sent it.
    :param fencing: its fencing number; increases by one with each order.
    :param at_ms: the deadline for logging it, on the store's clock. The order is sent
        no later than ``MAX_SEND_DELAY_MS`` after that.
    """

    holder: str
    fencing: int
    at_ms: int


class Logged(msgspec.Struct, frozen=True):
    """The order is logged and may be sent now.

    :param fencing: its fencing number.
    """

    fencing: int


class OthersTurn(msgspec.Struct, frozen=True):
    """Another host ordered the engine recently.

    :param wait_ms: how long its turn lasts, in milliseconds.
    """

    wait_ms: float


class OrderLog:
    """Logs load orders in the store before they are sent.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client.
    :param host_id: this host.
    :param turn_ms: the minimum time between the orders of two hosts, in milliseconds.
    """

    __slots__ = ("_clock", "_store", "_host_id", "_turn_ms", "_cached_by_engine")

    def __init__(self, *, clock, store, host_id, turn_ms):
        self._clock = clock
        self._store = store
        self._host_id = host_id
        self._turn_ms = turn_ms
        self._cached_by_engine = {}

    async def append(self, engine):
        """Log an order that is about to be sent.

        :param engine: the engine's name.
        :return: :class:`Logged` or :class:`OthersTurn`.
        :raises ServiceError: when it may not have been logged; send no order.
        """
        entry, version = await self._last_entry(engine)
        now_ms = self._store.now_ms()
        wait_ms = turn_wait_ms(entry, self._host_id, now_ms, self._turn_ms)
        if wait_ms > 0:
            return OthersTurn(wait_ms)
        fencing = entry.fencing + 1 if entry else 1
        # Without this allowance, a slow store would make each entry late.
        write_ms = WRITE_LATENCY_FACTOR * self._store.latency_ms()
        new = OrderEntry(self._host_id, fencing, now_ms + write_ms)
        self._cached_by_engine.pop(engine, None)
        sent_ms = self._clock.now_ms()
        answer = await self._store.transact(
            [Check(TABLE, engine, version)],
            [Write(TABLE, engine, msgspec.json.encode(new))],
        )
        if not isinstance(answer, Committed):
            return OthersTurn(self._turn_ms + CLOCK_MARGIN_MS)
        self._cached_by_engine[engine] = (
            new,
            answer.version_by_key[f"{TABLE}/{engine}"],
        )
        if self._clock.now_ms() - sent_ms > write_ms + MAX_SEND_DELAY_MS:
            text = "Logging the load order took too long to still send it."
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, text)
        return Logged(fencing)

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
            text = f"The logged load order of {engine} is malformed."
            raise ServiceError(ErrorKind.INTERNAL, text) from e


def turn_wait_ms(entry, host_id, now_ms, turn_ms):
    """Return how long a host must wait to order an engine, given the last order to it.

    :param entry: the :class:`OrderEntry`, or None.
    :param host_id: the host.
    :param now_ms: the time on the store's clock.
    :param turn_ms: the minimum time between the orders of two hosts, in milliseconds.
    """
    if entry is None or entry.holder == host_id:
        return 0
    return max(0, entry.at_ms + turn_ms + CLOCK_MARGIN_MS - now_ms)
