"""A leaving upstream gets no new work after a few seconds."""

import asyncio
import time

from test._common import eventually
from test.proofs._requests import RequestCase, make_plan
from test.standins import engine

# The requirement says "a few seconds".
BOUND_S = 5
WATCH_S = 1.5
CALLERS = 2
PAUSE_S = 0.05
STREAMS = 12
TOKENS = 150
BY_LIST, BY_OPERATOR, BY_ANSWER = (f"{{}}-{n}" for n in (1, 2, 3))
POOLS = ("desk", "lm")
CONFIGURATION = {"poll_ms": 1500, "lease_ms": 6000, "lease_margin_ms": 1000}


class LeavingTest(RequestCase):
    """Upstreams that leave in three ways simultaneously, with the default intervals."""

    PLAN = make_plan(
        {"zone-a": 2, "zone-b": 1},
        {"zone-a": 4},
        {"zone-a": 4},
        engine={"token_ms": 10},
        slots=2,
        settings={
            "limits": {"queue_timeout_ms": 15_000},
            "membership": {"host_list_poll_ms": 2000},
            "configuration": CONFIGURATION,
        },
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.is_over = False
        self.answers = []

    async def load(self, ask):
        """Send requests of one kind through a host until the test is over."""
        while not self.is_over:
            self.answers.append(await ask())
            await asyncio.sleep(PAUSE_S)

    async def work_by_upstream(self):
        """Return, by upstream, the requests that it was sent and tokens generated."""
        count_by_upstream = {}
        for name in self.upstreams:
            counts = await self.counts(name)
            count = counts.get("started", counts.get("received"))
            work = count + counts.get("refused", 0)
            count_by_upstream[name] = work, counts.get("tokens", work)
        return count_by_upstream

    async def leave(self):
        """Make one upstream of each pool leave in each of the three ways."""
        states = {BY_LIST.format(pool): "leaving" for pool in POOLS}
        hosts = self.fleet.listed_hosts(states)
        await self.fleet.control(self.fleet.platform_control, "hosts", hosts=hosts)
        await self.set_engine(BY_ANSWER.format("lm"), role="leaving")
        await self.set_app(BY_ANSWER.format("desk"), "leaving")
        drains = (f"DRAIN UPSTREAM '{BY_OPERATOR.format(pool)}';" for pool in POOLS)
        order = asyncio.ensure_future(self.fleet.ask(" ".join(drains)))
        version = await self.written_version()
        await eventually(lambda: self.is_written_after(version))
        return order

    async def written_version(self):
        """Return the configuration version that the platform has stored."""
        path = "/tables/configuration/head"
        row = await self.fleet.get_json(self.fleet.platform_control, path)
        return row["version"]

    async def is_written_after(self, version):
        return await self.written_version() > version

    async def check_no_new_work(self, since_s, is_after_resume=False):
        """Check that leaving upstreams get no new work after ``BOUND_S``."""
        await asyncio.sleep(max(0, since_s + BOUND_S - time.monotonic()))
        before = await self.work_by_upstream()
        await asyncio.sleep(WATCH_S)
        after = await self.work_by_upstream()
        for pool in POOLS:
            if pool == "desk" or not is_after_resume:
                # The remaining upstream still gets work. Engines are exempt after a
                # process pause, as the owner may then count ended grants for a while.
                self.assertGreater(after[f"{pool}-4"][1], before[f"{pool}-4"][1])
            for pattern in (BY_LIST, BY_OPERATOR, BY_ANSWER):
                name = pattern.format(pool)
                self.assertEqual(after[name][0], before[name][0], name)

    async def test_queues_streams_and_a_zone_that_cannot_hear(self):
        """One zone loses the platform just before, and one host is frozen."""
        frozen = self.hosts[1]
        going_on = [host for host in self.hosts if host != frozen]
        streams = [
            asyncio.ensure_future(
                self.complete(going_on[n % 2], TOKENS, prompt=f"s{n}")
            )
            for n in range(STREAMS)
        ]
        await eventually(self.all_engines_run)
        callers = [
            asyncio.ensure_future(self.load(ask))
            for host in self.hosts
            for ask in (
                lambda host=host: self.fetch(host, "load"),
                lambda host=host: self.complete(host, 5),
            )
            for _ in range(CALLERS)
        ]
        self.network.cut("zone-b", from_zones=False)
        await eventually(lambda: len(self.answers) > 30)
        order = await self.leave()
        since_s = time.monotonic()
        self.fleet.freeze(frozen)
        # The partitioned zone can receive the change from the host still running.
        await self.check_no_new_work(since_s)
        self.fleet.thaw(frozen)
        await self.check_no_new_work(time.monotonic(), is_after_resume=True)
        self.is_over = True
        code, text = await order
        self.assertEqual(code, 0, text)
        for n, answer in enumerate(await asyncio.gather(*streams)):
            self.assertEqual(answer.status, 200, (n, answer))
            text = answer.json()["choices"][0]["text"]
            self.assertEqual(text, engine.expected_text(f"s{n}", 0, TOKENS))
        await asyncio.gather(*callers)
        codes = {answer.code for answer in self.answers}
        self.assertNotIn("no_upstream", codes)

    async def all_engines_run(self):
        counts = [await self.counts(f"lm-{n}") for n in (1, 2, 3, 4)]
        return all(each["running"] for each in counts)
