"""Each sample reaches its trainer once, whichever hosts and platform can be reached."""

import collections

from test._common import eventually
from test.proofs._steps import STEPS_TABLE, StepProof, engine_ports_of, recorded_rows


class HoldersTest(StepProof):
    async def test_the_platform_is_out_for_the_whole_step(self):
        for mode in ("refuse", "hang"):
            with self.subTest(mode=mode):
                trainer = await self.start(hosts=(3, 1), token_ms=1.0)
                await self.platform("outage", on=True, mode=mode)
                await trainer.submit("zone-a-1")
                await trainer.collect("zone-a-2", "zone-a-1")
                hosts = [h.id for h in self.fleet.hosts]
                await self.assert_same_for_a_restarted_trainer(trainer, *hosts)
                holder, others = self.holder_of("s1")
                self.fleet.kill(holder)
                await self.assert_same_for_a_restarted_trainer(trainer, *others)
                await self.platform("outage", on=False)

                async def written():
                    return await recorded_rows(self.fleet, STEPS_TABLE)

                await eventually(written)
                await self.assert_same_for_a_restarted_trainer(trainer, *others)
                await self.fleet.close()

    async def test_a_frozen_holder_wakes_beside_a_new_one(self):
        trainer = await self.start(hosts=(3, 1), token_ms=10.0)
        await trainer.submit("zone-a-1", max_tokens=60)
        holder, others = self.holder_of("s1")
        await self.wait_count(self.engines[0], "tokens", 60)
        self.fleet.freeze(holder)
        await trainer.collect(*others)
        self.fleet.thaw(holder)
        await self.assert_same_for_a_restarted_trainer(trainer, holder, *others)

    async def test_a_zone_is_cut_off_in_the_middle_of_a_step(self):
        trainer = await self.start(hosts=(2, 2), token_ms=10.0)
        await trainer.submit("zone-a-1", max_tokens=60)
        await self.wait_count(self.engines[0], "tokens", 60)
        self.network.cut("zone-a")
        # What the other zone's engine has made by now may have come through.
        near, far = self.engines
        most = (await self.counts(far))["tokens"]
        got = await trainer.collect("zone-a-1", "zone-a-2")
        made = collections.Counter(p for s in got.values() for p in engine_ports_of(s))
        self.assertLessEqual(made.keys(), {near.port, far.port})
        self.assertGreater(made[near.port], 0)
        self.assertLessEqual(made[far.port], most)
        self.network.mend()
        await self.assert_same_for_a_restarted_trainer(trainer, "zone-b-1", "zone-a-2")
