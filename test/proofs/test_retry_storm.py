"""Retries add at most 10% to the load of the upstreams, however many requests fail."""

import asyncio
import time

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.connection.retry_budget import FLOOR_INTERVAL_MS
from test.proofs._requests import RequestCase, make_plan
from test.standins import app

REQUESTS = 400
CONCURRENCY = 16
RETRY_DIVISOR = 10


class RetryStormTest(RequestCase):
    PLAN = make_plan({"zone-a": 2}, {"zone-a": 3}, {"zone-a": 3})

    async def storm(self, ask):
        """Send requests through all hosts; return responses and the retries allowed."""
        started_s = time.monotonic()
        gate = asyncio.Semaphore(CONCURRENCY)

        async def one(n):
            async with gate:
                return await ask(self.hosts[n % 2], n)

        answers = await asyncio.gather(*(one(n) for n in range(REQUESTS)))
        elapsed_ms = (time.monotonic() - started_s) * MS_PER_SECOND
        # Each host may also send one retry per interval, however few requests it sends.
        floor = len(self.hosts) * (1 + elapsed_ms // FLOOR_INTERVAL_MS)
        return answers, REQUESTS // RETRY_DIVISOR + floor

    async def test_fetches(self):
        for upstream in self.upstreams[:3]:
            await self.set_app(upstream, app.CLOSE_AFTER_RUN)
        answers, extra = await self.storm(lambda host, n: self.fetch(host, f"s-{n}"))
        self.assertEqual({answer.code for answer in answers}, {"upstream_failed"})
        counts = [await self.counts(upstream) for upstream in self.upstreams[:3]]
        received = sum(each["received"] for each in counts)
        self.assertGreater(received, REQUESTS)
        self.assertLessEqual(received, REQUESTS + extra)

    async def test_completions(self):
        for upstream in self.upstreams[3:]:
            await self.set_engine(upstream, cut_after=1)
        answers, extra = await self.storm(lambda host, n: self.complete(host, 4))
        self.assertEqual({answer.code for answer in answers}, {"upstream_failed"})
        counts = [await self.counts(upstream) for upstream in self.upstreams[3:]]
        started = sum(each["started"] for each in counts)
        self.assertGreater(started, REQUESTS)
        self.assertLessEqual(started, REQUESTS + extra)
