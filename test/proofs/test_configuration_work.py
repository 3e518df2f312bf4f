"""Work started before a configuration change does not exceed what the change allows."""

import asyncio

from goldcrestmoor.client.trainer import TrainerClient
from goldcrestmoor.version.steps.step_routes import GroupBody
from test import _common
from test.proofs._fleet import ACCEPTED, MODEL, OK, FleetCase, account, engines

LONG_TOKENS = 5000
SLOW_TOKEN_MS = 40
TIMEOUT_MS = 30_000


class EngineTest(FleetCase):
    """Work on engines that started before a change."""

    async def start_engine(self, rest=""):
        """Start a fleet with one slow slot and return the engine."""
        commands = account("long", pools="lm-pool") + account("queued", pools="lm-pool")
        commands += account(
            "coach", "trainer", "lm-pool", f"STALENESS 3 ZONE zone-a {rest}"
        )
        pool = engines(token_ms=SLOW_TOKEN_MS)
        await self.start(commands, pools=(pool,))
        return self.fleet.upstreams[0]

    def complete(self, host_id, token, tokens):
        """Request a completion in the background."""
        return self.begin(
            self.post(
                host_id,
                token,
                "/v1/completions",
                TIMEOUT_MS,
                model="lm-pool",
                prompt=token,
                max_tokens=tokens,
            )
        )

    async def counts(self, engine):
        """Return the engine's own counters."""
        return await self.fleet.get_json(engine, "/control/counts")

    async def test_a_queued_request_is_not_admitted_after_the_change(self):
        engine = await self.start_engine()
        self.complete(self.ids[0], "long", LONG_TOKENS)

        async def runs():
            return (await self.counts(engine))["running"] == 1

        await _common.eventually(runs)
        queued = [self.complete(host_id, "queued", 2) for host_id in self.ids]

        async def all_queued():
            rows = [
                row for h in self.ids for row in await self.show(h, "SHOW UPSTREAMS")
            ]
            return sum(row["queued_here"] for row in rows) == len(queued)

        await _common.eventually(all_queued)
        answer = await self.change("DROP ACCOUNT queued; DROP ACCOUNT long")
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        await self.fleet.control(engine, "set", token_ms=0.01)
        statuses = [status for status, _ in await asyncio.gather(*queued)]
        self.assertNotIn(OK, statuses)
        # Only the long completion ran.
        self.assertEqual((await self.counts(engine))["started"], 1)

    async def test_a_pull_that_began_before_a_tighter_bound(self):
        engine = await self.start_engine()
        client, step = await self.submit()
        pull = self.begin(self.pull_raw(self.ids[0], step, version=3))
        answer = await self.change("ALTER ACCOUNT coach STALENESS 0")
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        await self.fleet.control(engine, "set", token_ms=0.1)
        _, body = await pull
        self.assertEqual(body.get("samples", []), [])

    async def test_a_pull_of_a_host_frozen_across_a_tighter_bound(self):
        engine = await self.start_engine()
        client, step = await self.submit()
        entry = await self.not_the_holder()
        pull = self.begin(self.pull_raw(entry, step, version=3))
        await asyncio.sleep(0.5)
        self.fleet.freeze(entry)
        # The holder replies to the forwarded pull while the entry host is frozen.
        await self.fleet.control(engine, "set", token_ms=0.1)
        driver = next(i for i in self.ids if i != entry)

        async def made():
            rows = [r for i in self.ids if i != entry for r in await self.steps(i)]
            return any(row["made"] for row in rows)

        await _common.eventually(made)
        answer = await self.change("ALTER ACCOUNT coach STALENESS 0", driver)
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        self.fleet.thaw(entry)
        _, body = await pull
        self.assertEqual(body.get("samples", []), [])

    async def steps(self, host_id):
        """Return the steps that a host holds."""
        return await self.show(host_id, "SHOW STEPS")

    async def submit(self):
        """Submit a step of one sample at version 1."""
        client = TrainerClient(self.fleet.urls(), "coach", 3)
        await client.publish(MODEL, 1)
        groups = [GroupBody(0, "walk", 1, 50, 0)]
        step = await client.submit("step-1", "lm-pool", groups, TIMEOUT_MS)
        return client, step

    async def not_the_holder(self):
        """Return a host that does not hold the step."""
        for host_id in self.ids:
            if not await self.steps(host_id):
                return host_id
        raise AssertionError("Every host holds the step.")

    async def pull_raw(self, host_id, step, version):
        """Pull once through one host."""
        path = f"/v1/steps/{step.body.step}/pull"
        return await self.post(
            host_id, "coach", path, TIMEOUT_MS, version=version, wait_ms=8000
        )
