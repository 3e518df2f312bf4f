"""Orders of servers by real daemons: one for each zone, and after a loss."""

import unittest

from test import _common, _front
from test.standins.users_api import UsersApi

BOOT_S = 1
# The claim of the duty, the time to settle and the baseline.
FIRST_ORDER_S = 30


class FrontCapacityTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.api = UsersApi()
        await self.api.start()
        self.addAsyncCleanup(self.api.close)
        self.fleet = _front.FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.sections["api"] = {
            "endpoint": f"127.0.0.1:{self.api.port}",
            "calls_per_s": 50,
            "duties": ["autoscale"],
        }
        for zone, engine in zip("ab", self.fleet.engines, strict=True):
            entry = engine.entry
            engine.entry = lambda entry=entry, zone=zone: entry(zone=f"zone-{zone}")
        document = _front.configuration()
        document["services"][0]["scaling"] = {"min": 1, "max": 4, "bootS": BOOT_S}
        await self.fleet.start(with_configuration=False)
        self.fleet.store.put("op", "config", document)
        for name in self.fleet.fronts:
            await self.fleet.wait_ready(name)

    async def ordered(self, count):
        """Wait until a number of orders has arrived; return them."""
        await _common.eventually(lambda: len(self.api.orders()) >= count, FIRST_ORDER_S)
        return self.api.orders()

    async def test_each_zone_is_ordered_and_again_after_a_loss_and_a_new_holder(self):
        """A zone whose order is not sent or not repeated stays without servers."""
        first = [("pool", "zone-a", 1), ("pool", "zone-b", 1)]
        self.assertEqual(sorted(await self.ordered(2)), first)
        row = self.fleet.store.value("capacity", "capacity")
        self.assertEqual(row["pool"]["first"], {"zone-a": 1, "zone-b": 1})

        lost = self.fleet.engines[1]
        self.fleet.silent.add(lost.name)
        self.fleet.store.remove("servers", lost.name)
        self.assertEqual((await self.ordered(3))[2], ("pool", "zone-b", 1))

        holder = self.api.calls[-1][1]
        orders = 'server_orders_total{outcome="accepted",service="pool",zone="zone-b"}'

        async def metrics_after_response():
            metrics = await self.fleet.metrics(holder)
            return metrics if metrics.get(orders) == 2 else None

        metrics = await _common.eventually(metrics_after_response)
        self.assertEqual(metrics['listed_servers{service="pool",zone="zone-b"}'], 0)
        self.assertEqual(metrics['target_servers{service="pool",zone="zone-b"}'], 1)

        self.fleet.fronts[holder].kill()
        known = len(self.api.calls)
        await self.ordered(known + 2)
        later = self.api.calls[known:]
        self.assertEqual({call[3]["targetGroups"] for call in later}, {1})
        self.assertNotIn(holder, {call[1] for call in later})
        fencing = [call[2] for call in self.api.calls]
        self.assertEqual(fencing, sorted(fencing))


if __name__ == "__main__":
    unittest.main()
