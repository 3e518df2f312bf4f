"""No sample exceeds its trainer's staleness bound, whenever the version advances."""

import asyncio

from test._common import eventually
from test.proofs._steps import StepProof, oldest_version, recorded_rows, versions_of


class StalenessTest(StepProof):
    def assert_fresh(self, samples, floor):
        self.assertGreaterEqual(min(map(oldest_version, samples)), floor)

    async def test_the_version_moves_on_in_flight_and_in_the_queue(self):
        # Two of eight slots stream concurrently; the others are queued.
        trainer = await self.start(bound=0, slots=1, hosts=(2, 1), token_ms=4.0)
        near, _ = self.engines
        await trainer.submit("zone-a-1", groups=2, samples=4, max_tokens=60)
        await self.wait_count(near, "tokens", 30)
        await trainer.publish("zone-a-2", 2)
        first = await trainer.pull("zone-a-1")
        await trainer.publish("zone-b-1", 3)
        got = await trainer.collect("zone-a-1", "zone-a-2")
        self.assertTrue(first is not None)
        self.assert_fresh([got[s] for s in got if s not in first.samples], 2)

    async def test_the_oldest_segment_counts(self):
        trainer = await self.start(bound=1, token_ms=10.0)
        near, _ = self.engines
        await trainer.submit("zone-a-1", groups=1, samples=2, max_tokens=100)
        await self.wait_count(near, "tokens", 60)
        await trainer.publish("zone-a-1", 2)
        answer = await eventually(lambda: self.pull_samples(trainer, version=2))
        self.assertIn([1, 2], [versions_of(s) for s in answer.samples])
        await trainer.publish("zone-a-1", 3)
        got = await trainer.collect("zone-a-2")
        self.assert_fresh(got.values(), 2)

    async def pull_samples(self, trainer, **kwargs):
        answer = await trainer.pull("zone-a-1", keep=False, **kwargs)
        return answer if answer is not None and answer.samples else None

    async def test_recorded_rows_go_stale_and_a_later_round_replaces_them(self):
        trainer = await self.start(bound=1, token_ms=1.0)
        await trainer.submit("zone-a-1", groups=2, samples=2)

        async def rows(count):
            return len(await recorded_rows(self.fleet)) >= count

        await eventually(lambda: rows(2))
        await trainer.publish("zone-a-1", 3)
        self.assert_fresh((await trainer.collect("zone-a-2")).values(), 2)
        await eventually(lambda: rows(4))
        # A host that loads the rows uses the later round.
        holder, others = self.holder_of("s1")
        self.fleet.kill(holder)
        trainer.held.clear()
        self.assert_fresh((await trainer.collect(*others)).values(), 2)

    async def test_the_version_moves_on_between_the_check_and_the_answer(self):
        trainer = await self.start(bound=0, token_ms=1.0)
        await trainer.submit("zone-a-1")
        holder, (entry, other) = self.holder_of("s1")
        link = self.network.links_by_id[holder]
        provoked = False
        while not provoked and trainer.version < 9:
            await eventually(
                lambda: self.pull_samples(trainer, version=trainer.version)
            )
            link.delay(700, "down")
            late = asyncio.create_task(trainer.pull(entry, keep=False))
            # The holder's reply is in flight when the trainer publishes.
            await asyncio.sleep(0.2)
            await trainer.publish(entry, trainer.version + 1)
            provoked = not late.done()
            answer = await late
            link.delay(0)
        self.assertTrue(provoked)
        if answer is not None and answer.samples:
            self.assert_fresh(answer.samples, trainer.version)
        got = await trainer.collect(other, entry)
        self.assert_fresh(got.values(), trainer.version)

    async def test_a_version_published_while_the_zone_is_cut_off(self):
        trainer = await self.start(bound=1, hosts=(2, 1), token_ms=1.0)
        await trainer.submit("zone-a-1")
        await eventually(lambda: self.pull_samples(trainer))
        self.network.cut("zone-a")
        await trainer.publish("zone-b-1", 3)
        # The update cannot reach the zone, but the trainer's pull names the version.
        for host in ("zone-a-1", "zone-a-2"):
            answer = await trainer.pull(host)
            self.assertTrue(answer is None or not answer.samples, answer)
        self.network.mend()
        got = await trainer.collect("zone-a-1", "zone-b-1", "zone-a-2")
        self.assert_fresh(got.values(), 2)

    async def test_a_late_pull_of_an_older_version_gets_nothing_older(self):
        trainer = await self.start(bound=0, token_ms=1.0)
        await trainer.submit("zone-a-1")
        await eventually(lambda: self.pull_samples(trainer))
        await trainer.publish("zone-a-2", 2)
        await eventually(lambda: self.pull_samples(trainer, version=2))
        answer = await trainer.pull("zone-a-2", held=(), version=1, keep=False)
        self.assert_fresh(answer.samples, 2)

    async def test_an_engine_that_keeps_its_old_version_gives_nothing(self):
        trainer = await self.start(bound=0, token_ms=2.0)
        near, far = self.engines
        await self.set_engine(near, fail_swap=True)
        await trainer.publish("zone-a-1", 2)
        await self.wait_engine_version(far, 2)
        await trainer.submit("zone-a-1")
        got = await trainer.collect("zone-a-2")
        self.assertEqual({tuple(versions_of(s)) for s in got.values()}, {(2,)})
