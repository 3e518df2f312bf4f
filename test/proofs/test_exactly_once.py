"""Each sample reaches its trainer exactly once despite delays, loss, kills and cuts."""

import asyncio

from test._common import eventually
from test.proofs._steps import STEPS_TABLE, StepProof, recorded_rows, recorded_samples


class ExactlyOnceTest(StepProof):
    async def test_hedged_copies_that_both_finish(self):
        trainer = await self.start(token_ms=5.0)
        near, far = self.engines
        await self.set_engine(far, token_ms=30.0)
        # Both streams start on one engine.
        await self.command(f"DRAIN UPSTREAM {far.id}")
        await trainer.submit("zone-a-1", samples=1, max_tokens=(20, 800))
        holder, others = self.holder_of("s1")
        await self.wait_count(near, "finished", 1)
        await self.command(f"RESUME UPSTREAM {far.id}")
        # The longer stream becomes a straggler, and the other engine continues it.
        await self.set_engine(near, token_ms=60.0)
        await self.wait_count(far, "started", 1)
        # Both copies finish while the holder that reads them is frozen.
        self.fleet.freeze(holder)
        await self.wait_count(near, "finished", 2)
        await self.wait_count(far, "finished", 1)
        cancelled = [(await self.counts(e))["cancelled"] for e in self.engines]
        self.assertEqual(cancelled, [0, 0])
        self.fleet.thaw(holder)
        await trainer.collect(*others)
        await self.assert_same_for_a_restarted_trainer(trainer, *others, holder)

    async def test_the_first_answer_is_late_and_the_pull_repeated_elsewhere(self):
        trainer = await self.start(hosts=(3, 1), token_ms=1.0)
        await trainer.submit("zone-a-1", groups=2, samples=4)
        holder, others = self.holder_of("s1")
        self.network.links_by_id[holder].delay(600, "down")
        first = asyncio.create_task(trainer.pull(others[0], keep=False))
        self.assertIsNone(await trainer.pull(others[1], timeout_ms=300))
        second = await trainer.pull(holder)
        late = await first
        self.assertTrue(second.samples)
        if late is not None:
            made = {s.slot: s for s in second.samples}
            self.assertTrue(all(made.get(s.slot, s) == s for s in late.samples))
        self.network.links_by_id[holder].delay(0)
        await trainer.collect(*others)
        await self.assert_same_for_a_restarted_trainer(trainer, *others, holder)

    async def start_isolated_holder(self):
        """Start a step whose holder reaches the platform but no other host."""
        trainer = await self.start(hosts=(3, 1), token_ms=10.0)
        await trainer.submit("zone-a-1", groups=2, samples=3, max_tokens=60)
        holder, others = self.holder_of("s1")
        self.network.links_by_id[holder].silence("down")
        for host in others:
            address = self.fleet.endpoint_by_id[holder].address
            self.network.links_by_id[host].block({address})
        return trainer, holder, others

    async def wait_all_recorded(self):
        async def both():
            return len(await recorded_rows(self.fleet)) == 2

        await eventually(both)
        return await recorded_samples(self.fleet)

    async def test_a_holder_killed_between_recording_and_answering(self):
        trainer, holder, others = await self.start_isolated_holder()
        made = await self.wait_all_recorded()
        pull = asyncio.create_task(trainer.pull(others[0], keep=False))
        await asyncio.sleep(0.1)
        self.fleet.kill(holder)
        await pull
        self.assertEqual(await trainer.collect(*others), made)
        self.assertEqual(len(await recorded_rows(self.fleet)), 2)
        await self.assert_same_for_a_restarted_trainer(trainer, *others)

    async def test_a_holder_apart_records_beside_a_new_one(self):
        trainer, _, others = await self.start_isolated_holder()
        # The pull makes another host the holder while the first one continues.
        await trainer.pull(others[0])
        made = await self.wait_all_recorded()
        self.assertEqual(await trainer.collect(*others), made)

    async def test_the_records_answers_are_lost(self):
        trainer = await self.start(token_ms=1.0)
        await self.platform("lose_answers", count=2)
        await trainer.submit("zone-a-1", groups=3)
        await self.platform("lose_answers", count=3)
        await trainer.collect("zone-a-2", "zone-b-1")

        async def all_recorded():
            return len(await recorded_rows(self.fleet)) == 3

        await eventually(all_recorded)
        holder, others = self.holder_of("s1")
        self.fleet.kill(holder)
        await self.assert_same_for_a_restarted_trainer(trainer, *others)

    async def test_a_step_acknowledged_whole_leaves_nothing_behind(self):
        trainer = await self.start(token_ms=1.0)
        await trainer.submit("zone-a-1")
        await trainer.collect("zone-a-1")

        async def left(wanted):
            tables = [
                await recorded_rows(self.fleet, t) for t in (STEPS_TABLE, "groups")
            ]
            return [len(rows) for rows in tables] == wanted

        await eventually(lambda: left([1, 2]))
        answer = await trainer.pull("zone-a-2")
        self.assertTrue(answer.complete)
        await eventually(lambda: left([0, 0]))
        self.assertIsNone(await trainer.pull("zone-a-2", held=()))
