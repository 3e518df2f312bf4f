"""A full outcome cache stays within its share of a daemon's memory budget."""

import tracemalloc
import unittest

from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.outcome_cache import OutcomeCache
from test import _common

BUDGET_BYTES = 32_000_000
BODY_BYTES = 2000
LIFETIME_MS = 600_000
BATCH = 100


class OutcomeCacheTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_full_cache_fits_into_the_budget(self):
        clock = Clock()
        settings = _common.make_settings().idempotency
        cache = OutcomeCache(clock=clock, settings=settings)
        self.addAsyncCleanup(cache.close)

        async def answer():
            return AppResponse(201, ((b"date", bytes(30)),), bytes(BODY_BYTES))

        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(ServiceError) as caught:
            for i in range(BUDGET_BYTES):
                key = "account", f"gk1.host-1.{i:040}"
                expires_ms = clock.now_ms() + LIFETIME_MS
                outcome = cache.start(key, f"{i:064}", expires_ms, answer)
                if not i % BATCH:
                    await outcome.wait()
        self.assertEqual(caught.exception.kind, ErrorKind.OVERLOADED)
        self.assertEqual(len(cache), settings.max_remembered)
        self.assertLess(tracemalloc.get_traced_memory()[0], BUDGET_BYTES)
