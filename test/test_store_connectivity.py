"""A host without a connection to the store uses a relay; others relay its calls."""

import asyncio
import unittest
from types import SimpleNamespace

import msgspec

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.host_rows import HostRow, HostRows
from goldcrestmoor.process.store_connectivity import (
    CHECK_INTERVAL_MS,
    DIRECT_PROBE_MS,
    MAX_RELAYED_CALLS,
    RELAY_RETRY_MS,
    StoreConnectivity,
)
from test._fleet import ManualClock, settle


class FakeStore:
    """The part of the store client that ``StoreConnectivity`` uses."""

    def __init__(self):
        self.relays = []
        self.is_relayed = False
        self.is_reachable = False
        self.rejected_ms = None
        self.answered = asyncio.Event()

    def rejection_age_ms(self):
        return self.rejected_ms

    def use_relay(self, address, port, prefix):
        self.relays.append(address)
        self.is_relayed = True

    async def probe_direct(self):
        self.is_relayed = not self.is_reachable

    async def relay(self, *call):
        await self.answered.wait()
        return call


class StoreConnectivityTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.store = FakeStore()
        self.age_ms = 0
        hosts = HostRows(
            clock=self.clock,
            store=self.store,
            host_id="host-a",
            row=HostRow("a", "10.1.0.1", 1),
        )
        self.reach = StoreConnectivity(
            clock=self.clock,
            http=SimpleNamespace(request=self.answer),
            store=self.store,
            hosts=hosts,
            last_answer_age_ms=lambda: self.age_ms,
        )
        rows = {
            "host-b": HostRow("a", "10.1.0.2", 1),
            "host-c": HostRow("b", "10.2.0.1", 1),
        }
        hosts.apply(
            [Change(name, 1, msgspec.json.encode(row)) for name, row in rows.items()]
        )

    async def answer(self, address, port, method, path, **options):
        return SimpleNamespace(status=200)

    async def watch(self):
        task = asyncio.create_task(self.reach.run())
        self.addCleanup(task.cancel)
        await self.clock.advance(2 * CHECK_INTERVAL_MS)

    async def test_a_relay_of_the_own_zone_is_chosen_and_kept_for_a_while(self):
        self.age_ms = 1500
        await self.watch()
        await self.clock.advance(RELAY_RETRY_MS - 4 * CHECK_INTERVAL_MS)
        self.assertEqual(self.store.relays, ["10.1.0.2"])
        # No feed answered through the relay: a new attempt, possibly by another host.
        await self.clock.advance(RELAY_RETRY_MS)
        self.assertEqual(len(self.store.relays), 2)

    async def test_the_direct_connection_is_used_again_once_it_works(self):
        self.age_ms = 1500
        await self.watch()
        self.age_ms = 100
        self.assertFalse(self.reach.reaches_store_directly())
        self.store.is_reachable = True
        await self.clock.advance(DIRECT_PROBE_MS + CHECK_INTERVAL_MS)
        self.assertTrue(self.reach.reaches_store_directly())
        self.assertTrue(self.reach.accepts_callers())

    async def test_a_host_that_the_store_rejects_uses_no_relay(self):
        self.age_ms, self.store.rejected_ms = 1500, 200
        await self.watch()
        await self.clock.advance(RELAY_RETRY_MS)
        self.assertEqual(self.store.relays, [])
        self.assertFalse(self.reach.accepts_callers())

    async def test_calls_are_relayed_up_to_a_bound_and_over_one_hop_only(self):
        calls = [
            asyncio.create_task(self.reach.relay("GET", "/x", [], b""))
            for _ in range(MAX_RELAYED_CALLS)
        ]
        await settle()
        await self.check_refused()
        self.store.answered.set()
        await asyncio.gather(*calls)
        await self.reach.relay("GET", "/x", [], b"")
        # Two hosts that relay through each other would loop.
        self.store.is_relayed = True
        await self.check_refused()

    async def check_refused(self):
        with self.assertRaises(ServiceError) as caught:
            await self.reach.relay("GET", "/x", [], b"")
        self.assertIs(caught.exception.kind, ErrorKind.OVERLOADED)
