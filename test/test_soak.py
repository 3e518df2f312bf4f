"""A short run of the soak; ``test/soak.py`` has the long one."""

import unittest

from test import soak


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, seed):
        run = await soak.run_seed(seed)
        self.assertEqual(run.problems, [], f"seed {seed}, faults {run.faults}")

    async def test_seed_1(self):
        await self.check(1)

    async def test_seed_2(self):
        """The retries of a request after three crashes were too many, once."""
        await self.check(2)

    async def test_seed_3(self):
        await self.check(3)


if __name__ == "__main__":
    unittest.main()
