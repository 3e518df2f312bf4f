"""A note runs at most once, and is saved whenever possible."""

import asyncio

from test._common import eventually
from test.proofs._requests import NotesCase, make_plan
from test.standins import app

REPEATS = 6


class AtMostOnceTest(NotesCase):
    PLAN = make_plan({"zone-a": 2}, {"zone-a": 2})

    async def test_closed_with_no_answer_on_new_and_reused_connections(self):
        for is_reused in (False, True):
            for kind, key in (await self.new_keys()).items():
                name = f"closed-{kind}-{is_reused}"
                for upstream in self.upstreams:
                    await self.set_app(upstream, "")
                    if not is_reused:
                        await self.cut_link(upstream)
                if is_reused:
                    for i in range(6):
                        await self.note(self.hosts[0], f"warm-{name}-{i}")
                for upstream in self.upstreams:
                    await self.set_app(upstream, app.CLOSE_AFTER_RUN)
                key = f"{key}-{is_reused}" if kind == "claimed" else key
                answer = await self.note(self.hosts[0], name, key)
                self.assertEqual(answer.ran, "unknown", answer)
                self.assertEqual(await self.run_count(name), 1)
                for upstream in self.upstreams:
                    await self.set_app(upstream, "")
                for host in self.hosts * 2:
                    answer = await self.note(host, name, key)
                    self.assertEqual(answer.ran, "unknown", answer)
                self.assertEqual(await self.run_count(name), 1)

    async def test_the_same_key_at_once_through_two_hosts(self):
        for upstream in self.upstreams:
            await self.set_app(upstream, app.SLOW, slow_s=0.2)
        for n in range(REPEATS):
            for kind, key in (await self.new_keys()).items():
                name, key = f"same-{kind}-{n}", key if kind == "minted" else f"{key}{n}"
                sent = (self.note(host, name, key) for host in self.hosts * 2)
                answers = await asyncio.gather(*sent)
                self.assertEqual([a.status for a in answers], [201] * 4, answers)
                self.assertEqual(len({a.body for a in answers}), 1)
                self.assertEqual(await self.run_count(name), 1)

    async def test_the_claims_answer_is_lost(self):
        control = self.fleet.platform_control
        for count in (1, 3):
            await self.fleet.control(control, "lose_answers", count=count)
            name = f"lost-{count}"
            sent = (self.note(host, name, name) for host in self.hosts)
            answers = await asyncio.gather(*sent)
            self.assertEqual([a.status for a in answers], [201, 201], answers)
            self.assertEqual(await self.run_count(name), 1)

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
                await self.check_answers(name, answers)
                if kind == "minted":
                    self.assertEqual([a.status for a in answers], [201, 201], answers)
                    continue
                for answer in answers:
                    self.assertEqual(answer.code, "platform_unavailable", answer)
                await self.fleet.control(control, "outage", on=False)
                await eventually(lambda n=name, k=key: self.is_saved(n, k))
                self.assertEqual(await self.run_count(name), 1)

    async def is_saved(self, name, key):
        """Return whether a note rejected during the outage is saved after it."""
        answer = await self.note(self.hosts[1], name, key)
        await self.check_not_run(answer, name)
        return answer.status == 201
