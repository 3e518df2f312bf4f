"""An upstream that is leaving gets no new work after a few seconds."""

import asyncio
import time

from test._common import eventually
from test.proofs._requests import RequestCase, make_plan
from test.standins import engine

# Where the brief says a few seconds.
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
    """Each of three ways to leave, at once, with the shipped intervals."""

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
        """Keep work of one kind coming through a host."""
        while not self.is_over:
            self.answers.append(await ask())
            await asyncio.sleep(PAUSE_S)

    async def work_by_upstream(self):
        """Return how much work each upstream has been given, and tokens it made."""
        count_by_upstream = {}
        for name in self.upstreams:
            counts = await self.counts(name)
            count = counts.get("started", counts.get("received"))
            work = count + counts.get("refused", 0)
            count_by_upstream[name] = work, counts.get("tokens", work)
        return count_by_upstream

    async def leave(self):
        """Have one upstream of each pool leave in each way."""
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
        """Return the version of the configuration that the platform has."""
        path = "/tables/configuration/head"
        row = await self.fleet.get_json(self.fleet.platform_control, path)
        return row["version"]

    async def is_written_after(self, version):
        return await self.written_version() > version

    async def check_no_new_work(self, since_s, is_after_resume=False):
        """From five seconds after a moment on, no work goes to those that leave."""
        await asyncio.sleep(max(0, since_s + BOUND_S - time.monotonic()))
        before = await self.work_by_upstream()
        await asyncio.sleep(WATCH_S)
        after = await self.work_by_upstream()
        for pool in POOLS:
            if pool == "desk" or not is_after_resume:
                # There is work, which the one that stays goes on with. An owner that
                # stood still may count grants for a while that have ended.
                self.assertGreater(after[f"{pool}-4"][1], before[f"{pool}-4"][1])
            for pattern in (BY_LIST, BY_OPERATOR, BY_ANSWER):
                name = pattern.format(pool)
                self.assertEqual(after[name][0], before[name][0], name)

    async def test_queues_streams_and_a_zone_that_cannot_hear(self):
        """One zone loses the platform just before, and one host stands still."""
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
        # The zone can learn of it from the host that goes on.
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
