"""Each sample names the weight versions that generated it, under engine faults too."""

from test.proofs._steps import StepProof, engine_ports_of, versions_of


class VersionsNamedTest(StepProof):
    async def test_a_swap_in_the_middle_of_streams_shows_in_the_segments(self):
        trainer = await self.start(bound=2, token_ms=10.0)
        near, _ = self.engines
        await trainer.submit("zone-a-1", max_tokens=150)
        await self.wait_count(near, "tokens", 60)
        await trainer.publish("zone-b-1", 2)
        got = await trainer.collect("zone-a-1", "zone-b-1")
        self.assertIn([1, 2], [versions_of(sample) for sample in got.values()])

    async def test_a_failed_swap_and_a_move_to_another_engine(self):
        trainer = await self.start(bound=2, token_ms=10.0)
        near, far = self.engines
        await self.set_engine(near, fail_swap=True)
        await trainer.submit("zone-a-1", max_tokens=150)
        await self.wait_count(near, "tokens", 60)
        await trainer.publish("zone-a-1", 2)
        await self.wait_engine_version(far, 2)
        await self.wait_ordered(near, 2)
        self.assertEqual((await self.counts(near))["version"], 1)
        self.fleet.kill(near.id)
        got = await trainer.collect("zone-a-2")
        moved = [
            s for s in got.values() if set(engine_ports_of(s)) == {near.port, far.port}
        ]
        self.assertTrue(moved)
        self.assertEqual({tuple(versions_of(s)) for s in moved}, {(1, 2)})

    async def test_what_no_version_is_stated_for_gives_no_sample(self):
        trainer = await self.start(token_ms=10.0)
        near, far = self.engines
        await trainer.submit("zone-a-1", groups=1, samples=2, max_tokens=100)
        await self.wait_count(near, "tokens", 40)
        # From here on, tokens of the near engine may not be used; the far engine
        # states no version from its first token on.
        for engine in self.engines:
            await self.set_engine(engine, state_version=False)
        await self.wait_count(far, "started", 1)
        before = await trainer.pull("zone-a-2", wait_ms=500)
        self.assertEqual(before.samples, ())
        for engine in self.engines:
            await self.set_engine(engine, state_version=True)
        await trainer.collect("zone-a-1", "zone-a-2")
