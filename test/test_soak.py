"""Short runs of the soaks; the modules ``test/soak*.py`` have long ones."""

import unittest

from test import soak
from test.soak_accounts import AccountSoak
from test.soak_late_writes import LateAccountSoak, LateWriteSoak
from test.soak_routes import RouteSoak


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, seed, kind=soak.Soak):
        run = await soak.run_seed(seed, kind)
        self.assertEqual(run.problems, [], f"seed {seed}, faults {run.faults}")

    async def test_seed_1(self):
        await self.check(1)

    async def test_seed_2(self):
        """The retries of a request after three crashes were too many, once."""
        await self.check(2)

    async def test_seed_3(self):
        await self.check(3)

    async def test_accounts_and_duties_seed_1(self):
        """Keys, jobs, reports or orders that are wrong under overlapping faults."""
        await self.check(1, AccountSoak)

    async def test_changed_routes_seed_1(self):
        """Items that hosts end by an older configuration than the store has."""
        await self.check(1, RouteSoak)

    async def test_late_writes_seed_62001(self):
        """Rows of hosts that late removals took away for good."""
        await self.check(62001, LateWriteSoak)

    async def test_late_usage_and_orders_seed_62305(self):
        """Windows of usage, or orders of servers, that late writes change."""
        await self.check(62305, LateAccountSoak)


if __name__ == "__main__":
    unittest.main()
