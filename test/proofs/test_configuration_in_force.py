"""No host acts on an older configuration after a change is ``accepted``."""

import asyncio
import json
import time

from test.proofs._fleet import (
    ACCEPTED,
    APP_POOL,
    DESK_ACCOUNT,
    MAX_EFFECT_DELAY_S,
    MODEL,
    OK,
    FleetCase,
    SlowCaller,
    account,
    engines,
    seconds_since,
)

UNAUTHORIZED = 401


class HostTest(FleetCase):
    """Hosts that are frozen, partitioned or slow during a change."""

    async def test_in_force_on_all_hosts_within_the_stated_time(self):
        await self.start(hosts=2, settings={}, accounts=(DESK_ACCOUNT,))
        await self.assert_served("desk")
        started = time.monotonic()
        answer = await self.change("DROP ACCOUNT desk")
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        self.assertLess(seconds_since(started), MAX_EFFECT_DELAY_S)
        await self.assert_never_served("desk")
        self.assertEqual(await self.fetch(self.ids[-1], "desk"), UNAUTHORIZED)

    async def test_a_frozen_host_wakes_to_a_request(self):
        await self.start(
            account("dropped") + account("renamed") + account("kept"), hosts=2
        )
        frozen, others = self.ids[-1], self.ids[:-1]
        await self.assert_served("dropped")
        self.fleet.freeze(frozen)
        change = "DROP ACCOUNT dropped; ALTER ACCOUNT renamed TOKEN 'new'"
        answer = await self.change(change)
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        # The requests are waiting in the frozen host's sockets when it resumes.
        tokens = ("dropped", "renamed") * 4
        waiting = [self.begin(self.fetch(frozen, t, "panels/frozen")) for t in tokens]
        await self.assert_never_served("dropped", others)
        self.fleet.thaw(frozen)
        self.assertNotIn(OK, await asyncio.gather(*waiting))
        await self.assert_never_served("dropped")
        await self.assert_never_served("renamed")
        self.assertEqual(await self.run_count("GET /panels/frozen"), 0)
        await self.assert_served("new")
        await self.assert_served("kept")

    async def test_a_zone_cut_off_from_all_and_back(self):
        await self.start(account("desk") + account("local", rest=""))
        cut = [host.id for host in self.fleet.hosts if host.zone == "zone-b"]
        await self.assert_served("local")
        self.network.cut("zone-b")
        answer = await self.change("DROP ACCOUNT desk")
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        for _ in range(3):
            await self.assert_never_served("desk")
        # An account that partitioned hosts may serve is still served.
        await self.assert_served("local", cut)
        self.network.mend()
        await self.wait_version(await self.head_version())
        await self.assert_never_served("desk")

    async def test_a_zone_cut_off_from_the_platform_alone(self):
        await self.start(account("desk"))
        self.network.cut("zone-b", from_zones=False)
        answer = await self.change("DROP ACCOUNT desk")
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        await self.assert_never_served("desk")
        self.network.mend()
        await self.wait_version(await self.head_version())
        await self.assert_never_served("desk")

    async def test_a_body_that_ends_after_the_change(self):
        await self.start(
            account("desk") + account("coach", "trainer", "lm-pool"),
            pools=(APP_POOL, engines()),
        )
        host = self.fleet.hosts[-1]
        prompt = {"model": "lm-pool", "prompt": "x", "max_tokens": 4}
        group = {"index": 0, "prompt": "x", "samples": 1, "max_tokens": 4}
        step = {"step": "s", "model": "lm-pool", "base_version": 1, "groups": [group]}
        version = {"model": MODEL, "version": 9}
        callers = [
            SlowCaller(host, token, path, json.dumps(body).encode())
            for token, path, body in (
                ("desk", "/apps/dash-api/late", {"note": 1}),
                ("coach", "/v1/completions", prompt),
                ("coach", "/v1/steps", step),
                ("coach", "/v1/versions", version),
            )
        ]
        for caller in callers:
            await caller.begin()
        answer = await self.change("DROP ACCOUNT desk; DROP ACCOUNT coach")
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        statuses = [await caller.finish() for caller in callers]
        self.assertEqual(statuses, [UNAUTHORIZED] * len(callers))
        self.assertEqual(await self.run_count("POST /late"), 0)
