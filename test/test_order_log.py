"""Logging load orders in stores of normal and high latency."""

import unittest

import msgspec

from goldcrestmoor.adapters.table import Committed, Row
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.version.weights.order_log import (
    Logged,
    OrderEntry,
    OrderLog,
    OthersTurn,
    turn_wait_ms,
)
from test._fleet import ManualClock

TURN_MS = 3000


class TimedStore:
    """Stores one row after a delay; its clock equals the host's."""

    def __init__(self, clock, write_ms, read_ms):
        self.clock = clock
        self.write_ms = write_ms
        self.read_ms = read_ms
        self.row = None

    def now_ms(self):
        return self.clock.now_ms()

    def latency_ms(self):
        return self.read_ms

    async def get(self, table, key):
        return self.row

    async def transact(self, checks, writes):
        # Time passes during the write, without the test advancing the clock.
        self.clock._now_ms += self.write_ms
        version = (self.row.version if self.row else 0) + 1
        self.row = Row(writes[0].key, version, writes[0].value)
        return Committed({f"orders/{writes[0].key}": version})


class OrderLogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()

    def make(self, write_ms, read_ms):
        self.store = TimedStore(self.clock, write_ms, read_ms)
        return OrderLog(
            clock=self.clock, store=self.store, host_id="host-a", turn_ms=TURN_MS
        )

    async def test_an_order_is_given_while_the_store_is_slow(self):
        """At 60 times the usual latency, a write queues behind those of three hosts."""
        log = self.make(write_ms=1200, read_ms=240)
        self.assertEqual(await log.append("engine"), Logged(1))
        entry = msgspec.json.decode(self.store.row.value, type=OrderEntry)
        # For another host, the turn starts when the order may have been sent.
        left_ms = self.clock.now_ms()
        turn_over_ms = left_ms + TURN_MS - 1
        self.assertGreater(turn_wait_ms(entry, "host-b", turn_over_ms, TURN_MS), 0)

    async def test_another_host_is_told_when_the_turn_is_over(self):
        log = self.make(write_ms=4, read_ms=4)
        self.assertEqual(await log.append("engine"), Logged(1))
        other = OrderLog(
            clock=self.clock, store=self.store, host_id="host-b", turn_ms=TURN_MS
        )
        turn = await other.append("engine")
        self.assertIsInstance(turn, OthersTurn)
        self.clock._now_ms += turn.wait_ms
        self.assertEqual(await other.append("engine"), Logged(2))

    async def test_an_order_that_comes_too_late_is_not_given(self):
        log = self.make(write_ms=1200, read_ms=5)
        with self.assertRaises(ServiceError) as caught:
            await log.append("engine")
        self.assertIs(caught.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
