"""Randomized histories with fixed seeds, including seeds that failed before."""

import unittest

from test.proofs.histories import History

SEEDS = (1, 3, 407)


class HistoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_broken_by_the_fixed_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = History(seed)
                violations = await history.run()
                self.assertEqual(violations, [], "\n".join(history.lines))
