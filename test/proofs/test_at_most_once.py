"""A note runs at most once, and as many as can be are saved."""

import asyncio

from test._common import eventually
from test.proofs._requests import RequestCase, make_plan
from test.proofs.notes_in_outage import count_notes
from test.standins import app

SAME_KEYS = 6
# Longer than a claim may be held between its writing and the sending.
FREEZE_MS = 5500
DELAY_MS = 1500


class NotesCase(RequestCase):
    async def new_keys(self):
        """Return one key of each kind: minted by the first host, and the caller's."""
        return {"minted": await self.mint(self.hosts[0]), "claimed": f"k-{id(self)}"}

    async def check_once(self, name, answers):
        """Hold what callers were told to the applications' count."""
        for answer in answers:
            await self.check_not_run(answer, name)


class AtMostOnceTest(NotesCase):
    PLAN = make_plan({"zone-a": 2}, {"zone-a": 2})

    async def test_closed_with_no_answer_on_new_and_reused_connections(self):
        for is_reused in (False, True):
            for kind, key in (await self.new_keys()).items():
                name = f"closed-{kind}-{is_reused}"
                for upstream in self.upstreams:
                    await self.set_app(upstream, "")
                    if not is_reused:
                        self.network.links_by_id[upstream].cut()
                if is_reused:
                    for i in range(6):
                        await self.note(self.hosts[0], f"warm-{name}-{i}")
                for upstream in self.upstreams:
                    await self.set_app(upstream, app.CLOSE_AFTER_RUN)
                key = f"{key}-{is_reused}" if kind == "claimed" else key
                answer = await self.note(self.hosts[0], name, key)
                self.assertEqual(answer.ran, "unknown", answer)
                self.assertEqual(await self.runs(name), 1)
                for upstream in self.upstreams:
                    await self.set_app(upstream, "")
                for host in self.hosts * 2:
                    answer = await self.note(host, name, key)
                    self.assertEqual(answer.ran, "unknown", answer)
                self.assertEqual(await self.runs(name), 1)

    async def test_the_same_key_at_once_through_two_hosts(self):
        for upstream in self.upstreams:
            await self.set_app(upstream, app.SLOW, slow_s=0.2)
        for n in range(SAME_KEYS):
            for kind, key in (await self.new_keys()).items():
                name, key = f"same-{kind}-{n}", key if kind == "minted" else f"{key}{n}"
                sent = (self.note(host, name, key) for host in self.hosts * 2)
                answers = await asyncio.gather(*sent)
                self.assertEqual([a.status for a in answers], [201] * 4, answers)
                self.assertEqual(len({a.body for a in answers}), 1)
                self.assertEqual(await self.runs(name), 1)

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
        await self.check_once("frozen", [await task, answer])
        self.assertEqual(await self.runs("frozen"), 0)
        # What it says of the request it has not sent allows a retry.
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
        await self.check_once("minted", answers)

    async def test_the_claims_answer_is_lost(self):
        control = self.fleet.platform_control
        for count in (1, 3):
            await self.fleet.control(control, "lose_answers", count=count)
            name = f"lost-{count}"
            sent = (self.note(host, name, name) for host in self.hosts)
            answers = await asyncio.gather(*sent)
            self.assertEqual([a.status for a in answers], [201, 201], answers)
            self.assertEqual(await self.runs(name), 1)

    async def test_the_platform_is_down(self):
        for mode in ("refuse", "hang"):
            control = self.fleet.platform_control
            await self.fleet.control(control, "outage", on=True, mode=mode)
            for kind, key in (await self.new_keys()).items():
                name, key = (
                    f"{mode}-{kind}",
                    key if kind == "minted" else f"{key}{mode}",
                )
                sent = [self.note(host, name, key) for host in self.hosts]
                answers = await asyncio.gather(*sent)
                await self.check_once(name, answers)
                if kind == "minted":
                    self.assertEqual([a.status for a in answers], [201, 201], answers)
                    continue
                for answer in answers:
                    self.assertEqual(answer.code, "platform_unavailable", answer)
                await self.fleet.control(control, "outage", on=False)
                await eventually(lambda n=name, k=key: self.is_saved(n, k))
                self.assertEqual(await self.runs(name), 1)

    async def is_saved(self, name, key):
        """Tell whether a note that was refused can be saved after the outage."""
        answer = await self.note(self.hosts[1], name, key)
        await self.check_not_run(answer, name)
        return answer.status == 201

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
        for _ in range(2):
            for kind, key in keys.items():
                answer = await self.note(other, f"dies-{kind}", key)
                self.assertEqual(answer.ran, "unknown", answer)
        await self.fleet.start_host(first)
        await self.fleet.wait_ready(first)
        for kind, key in keys.items():
            answer = await self.note(first, f"dies-{kind}", key)
            self.assertEqual(answer.ran, "unknown", answer)
            self.assertEqual(await self.runs(f"dies-{kind}"), 1)

    async def are_run(self, *names):
        return all([await self.runs(name) == 1 for name in names])


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
        await self.check_once("elsewhere", [answer])
        self.assertEqual((await self.note(near, "elsewhere", elsewhere)).status, 201)
        self.network.mend()
        await eventually(lambda: self.is_known(far, elsewhere))
        self.assertEqual(await self.runs("elsewhere"), 1)

    async def is_known(self, host, key):
        return (await self.note(host, "elsewhere", key)).status == 201
