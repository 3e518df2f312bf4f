"""A note runs at most once when its host freezes, dies or is partitioned."""

import asyncio

from test._common import eventually
from test.proofs._requests import NotesCase, make_plan
from test.proofs.notes_in_outage import count_notes
from test.standins import app

# Exceeds the maximum time between writing a claim and sending the request.
FREEZE_MS = 5500
DELAY_MS = 1500


class HostsTest(NotesCase):
    PLAN = make_plan(
        {"zone-a": 2}, {"zone-a": 2}, settings={"platform": {"timeout_ms": 10_000}}
    )

    async def test_a_host_that_freezes_between_its_claim_and_the_sending(self):
        first, other = self.hosts
        link = self.network.links_by_id["platform"]
        before = await self.claims()
        link.delay(DELAY_MS, "down")
        task = asyncio.ensure_future(self.note(first, "frozen", "f-key"))
        await eventually(lambda: self.is_claimed(before))
        self.fleet.freeze(first)
        link.delay(0)
        frozen = asyncio.ensure_future(asyncio.sleep(FREEZE_MS / 1000))
        answer = await self.note(other, "frozen", "f-key")
        self.assertEqual(answer.ran, "unknown", answer)
        await frozen
        self.fleet.thaw(first)
        await self.check_answers("frozen", [await task, answer])
        self.assertEqual(await self.run_count("frozen"), 0)
        # The request was never sent, so the error allows a retry.
        self.assertEqual((await task).ran, "not run")

    async def claims(self):
        answer = await self.fleet.get_json(
            self.fleet.platform_control, "/control/stats"
        )
        return answer.get("writes", 0)

    async def is_claimed(self, before):
        return await self.claims() > before

    async def test_the_minting_host_freezes(self):
        first, other = self.hosts
        key = await self.mint(first)
        self.fleet.freeze(first)
        answer = await self.note(other, "minted", key)
        self.assertEqual(answer.ran, "unknown", answer)
        self.fleet.thaw(first)
        answers = [await self.note(host, "minted", key) for host in self.hosts]
        await self.check_answers("minted", answers)

    async def test_the_sender_dies(self):
        first, other = self.hosts
        for upstream in self.upstreams:
            await self.set_app(upstream, app.SLOW, slow_s=1)
        keys = await self.new_keys()
        sent = [self.note(first, f"dies-{kind}", key) for kind, key in keys.items()]
        task = asyncio.gather(*sent)
        await eventually(lambda: self.are_run("dies-minted", "dies-claimed"))
        self.fleet.kill(first)
        await task
        for kind, key in keys.items():
            answer = await self.note(other, f"dies-{kind}", key)
            self.assertEqual(answer.code, "outcome_unknown", answer)
        await self.fleet.start_host(first)
        await self.fleet.wait_ready(first)
        for kind, key in keys.items():
            answer = await self.note(first, f"dies-{kind}", key)
            self.assertEqual(answer.code, "outcome_unknown", answer)
            self.assertEqual(await self.run_count(f"dies-{kind}"), 1)

    async def are_run(self, *names):
        return all([await self.run_count(name) == 1 for name in names])


class CutZonesTest(NotesCase):
    PLAN = make_plan(
        {"zone-a": 1, "zone-b": 1},
        {"zone-a": 1, "zone-b": 1},
        settings={"limits": {"request_timeout_ms": 4000}},
    )

    async def test_notes_land_in_a_cut_zone(self):
        near, far = self.hosts
        elsewhere = await self.mint(near)
        self.network.cut("zone-b")
        table = await count_notes(self, far, 5)
        self.assertEqual(table, {"minted": 5, "claimed": 0})
        answer = await self.note(far, "elsewhere", elsewhere)
        await self.check_answers("elsewhere", [answer])
        self.assertEqual((await self.note(near, "elsewhere", elsewhere)).status, 201)
        self.network.mend()
        await eventually(lambda: self.is_known(far, elsewhere))
        self.assertEqual(await self.run_count("elsewhere"), 1)

    async def is_known(self, host, key):
        return (await self.note(host, "elsewhere", key)).status == 201
