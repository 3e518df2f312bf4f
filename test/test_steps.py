"""Tests that trainers get each slot's sample once and fresh, despite failures."""

import asyncio
import unittest
from unittest import mock

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.token_chunk import Segment, TokenChunk
from goldcrestmoor.version.configuration.document import VersionChangePolicy
from goldcrestmoor.version.steps import step_holder, step_records, step_state
from goldcrestmoor.version.steps.step_rows import make_source
from goldcrestmoor.version.steps.step_state import StepState
from goldcrestmoor.version.steps.steps import (
    HeldSlots,
    Slot,
    make_sample,
    oldest_version,
    validate_spec,
)
from test import _common
from test._step_fakes import ACCOUNT, ZONE, FakeFleet, make_spec


def scripted_stream(*chunks, gate=None, reached=None):
    """Return a script of an engine that waits for an event before its last chunk."""

    async def run(call):
        for number, chunk in enumerate(chunks):
            if gate is not None and number == len(chunks) - 1:
                if reached is not None:
                    reached.set()
                await gate.wait()
            yield chunk

    return run


class StepTestCase(unittest.IsolatedAsyncioTestCase):
    def make_fleet(self, *args, **kwargs):
        fleet = FakeFleet(*args, **kwargs)
        self.addAsyncCleanup(fleet.close)
        return fleet

    async def assert_refused(self, kind, awaitable):
        with self.assertRaises(ServiceError) as caught:
            await awaitable
        self.assertEqual(caught.exception.kind, kind)


class DeliveryTest(StepTestCase):
    async def test_each_slot_is_delivered_once_through_any_host(self):
        fleet = self.make_fleet("a", "b", "c")
        await fleet.host_by_id["a"].front.submit(make_spec())
        got, answered = await fleet.host_by_id["b"].collect("s1")
        self.assertEqual(set(got), set(make_spec().slots()))
        self.assertEqual(len(answered), 6)
        again = await fleet.host_by_id["c"].pull("s1", got)
        self.assertEqual((again.samples, again.complete), ((), True))

    async def test_a_repeated_pull_returns_the_same_samples(self):
        fleet = self.make_fleet("a", "b")
        await fleet.host_by_id["a"].front.submit(make_spec())
        first, _ = await fleet.host_by_id["a"].collect("s1")
        # The trainer restarts without any sample, then with some of them.
        second, _ = await fleet.host_by_id["b"].collect("s1")
        self.assertEqual(first, second)
        part = [Slot(0, 0), Slot(1, 2)]
        _, answered = await fleet.host_by_id["b"].collect("s1", held=part)
        self.assertEqual({s.slot for s in answered}, set(first) - set(part))

    async def test_a_complete_group_may_be_given_by_its_index(self):
        fleet = self.make_fleet("a")
        await fleet.host_by_id["a"].front.submit(make_spec())
        await fleet.host_by_id["a"].collect("s1")
        answer = await fleet.host_by_id["a"].pull("s1", groups=[0])
        self.assertEqual({s.slot.group for s in answer.samples}, {1})

    async def test_submission_repeats_and_conflicts(self):
        fleet = self.make_fleet("a", "b")
        for host in fleet.host_by_id.values():
            await host.front.submit(make_spec())
        other = make_spec(samples=4)
        for host in fleet.host_by_id.values():
            await self.assert_refused(ErrorKind.STEP_CONFLICT, host.front.submit(other))

    async def test_show_steps_lists_the_held_steps(self):
        fleet = self.make_fleet("a")
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec())
        got, _ = await a.collect("s1")
        await a.pull("s1", list(got)[:2])
        columns, rows = await make_source(a.holder)()
        shown = dict(zip(columns, rows[0], strict=True))
        self.assertEqual((shown["slots"], shown["made"], shown["held"]), (6, 6, 2))

    async def test_a_pull_of_an_unknown_step_is_rejected(self):
        fleet = self.make_fleet("a", "b")
        pull = fleet.host_by_id["a"].pull("nothing")
        await self.assert_refused(ErrorKind.STEP_UNKNOWN, pull)

    async def test_a_cancelled_step_is_deleted(self):
        fleet = self.make_fleet("a", "b")
        await fleet.host_by_id["a"].front.submit(make_spec())
        await fleet.host_by_id["b"].front.cancel(ACCOUNT, "s1")
        pull = fleet.host_by_id["a"].pull("s1")
        await self.assert_refused(ErrorKind.STEP_UNKNOWN, pull)

    async def test_step_names_cannot_address_other_records(self):
        for name in ("", "../x", "a/b", "x" * 65):
            with self.assertRaises(ServiceError):
                validate_spec(make_spec(step=name))


class StateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.state = StepState(make_spec(groups=1, samples=2), "zone-a", None, 0)
        self.slot = Slot(0, 0)

    def put(self, *versions):
        segments = [Segment(version, "x", 1) for version in versions]
        sample = make_sample(self.slot, segments, "stop")
        taken = self.state.put(sample)
        self.state.confirm(sample, sample)
        return taken

    async def test_a_slot_accepts_one_sample(self):
        self.assertTrue(self.put(1))
        self.assertFalse(self.put(2))
        samples, _ = self.state.answer(HeldSlots(), 1, 10)
        self.assertEqual([oldest_version(s) for s in samples], [1])

    async def test_the_answer_checks_the_oldest_segment(self):
        self.put(1, 4)
        self.state.record_pull(HeldSlots(), 4, 0)
        self.assertEqual(self.state.answer(HeldSlots(), 2, 10), ((), False))
        self.assertEqual(len(self.state.answer(HeldSlots(), 3, 10)[0]), 1)

    async def test_an_answer_is_bounded_but_never_empty(self):
        for index in range(2):
            self.slot = Slot(0, index)
            self.put(1)
        with mock.patch.object(step_state, "MAX_ANSWER_CHARACTERS", 0):
            samples, is_complete = self.state.answer(HeldSlots(), 1, 10)
        self.assertEqual((len(samples), is_complete), (1, False))

    async def test_a_sample_is_not_delivered_before_it_is_stored(self):
        sample = make_sample(self.slot, [Segment(1, "x", 1)], "stop")
        self.state.put(sample)
        self.assertEqual(self.state.answer(HeldSlots(), 1, 10), ((), False))

    async def test_stale_samples_are_generated_again(self):
        self.put(1, 4)
        self.state.record_pull(HeldSlots(), 4, 0)
        self.assertEqual(self.state.drop_stale(2), [self.slot])
        self.assertIn(self.slot, self.state.missing_slots())


class RecordTest(StepTestCase):
    async def test_one_row_is_written_for_each_group(self):
        fleet = self.make_fleet("a", "b")
        await fleet.host_by_id["a"].front.submit(make_spec(groups=3, samples=5))
        await fleet.host_by_id["a"].collect("s1")
        tables = fleet.platform.row_by_key
        await _common.eventually(lambda: sum(t == "groups" for t, _ in tables) == 3)
        # Rows are written for the step, for its holder and for each group.
        self.assertEqual(fleet.platform.writes, 5)

    async def test_of_two_holders_the_first_to_record_wins(self):
        fleet = self.make_fleet("a", "b")
        # The two hosts disagree about the holder, so each becomes a holder.
        fleet.holder_by_host = {"a": "a", "b": "b"}
        a, b = fleet.host_by_id["a"], fleet.host_by_id["b"]
        gate = asyncio.Event()
        fleet.engines.script_by_seed[0] = [
            scripted_stream(TokenChunk("first", 1, 1, "e", "stop")),
            scripted_stream(TokenChunk("second", 1, 1, "e", "stop"), gate=gate),
        ]
        spec = make_spec(groups=1, samples=1)
        await a.front.submit(spec)
        pull_task = asyncio.create_task(b.pull("s1"))
        await _common.eventually(lambda: fleet.engines.calls)
        got, _ = await a.collect("s1")
        gate.set()
        late = await pull_task
        self.assertEqual(got[Slot(0, 0)], late.samples[0])
        self.assertEqual(late.samples[0].segments[0].text, "first")

    async def test_the_second_writer_of_a_record_gets_the_first_ones_samples(self):
        fleet = self.make_fleet("a")
        records = fleet.host_by_id["a"].store.records
        spec = make_spec(groups=1, samples=1)
        slot = Slot(0, 0)
        own = make_sample(slot, [Segment(1, "own", 1)], "stop")
        other = make_sample(slot, [Segment(1, "other", 1)], "stop")
        first = await records.save_group(spec, 0, 0, [own])
        second = await records.save_group(spec, 0, 0, [other])
        self.assertTrue(first.own)
        self.assertFalse(second.own)
        self.assertEqual(second.samples, (own,))

    async def test_a_lost_reply_is_resolved_by_the_rows_token(self):
        fleet = self.make_fleet("a")
        records = fleet.host_by_id["a"].store.records
        spec = make_spec(groups=1, samples=1)
        sample = make_sample(Slot(0, 0), [Segment(1, "own", 1)], "stop")
        fleet.platform.replies_to_lose = 1
        record = await records.save_group(spec, 0, 0, [sample])
        self.assertTrue(record.own)
        fleet.platform.replies_to_lose = 1
        await records.save_spec(spec)
        self.assertEqual(await records.load_spec(ACCOUNT, "s1"), spec)

    async def test_steps_survive_lost_replies(self):
        fleet = self.make_fleet("a", "b")
        fleet.platform.replies_to_lose = 1
        await fleet.host_by_id["a"].front.submit(make_spec(groups=1))
        fleet.platform.replies_to_lose = 1
        got, _ = await fleet.host_by_id["a"].collect("s1")
        await _common.eventually(
            lambda: any(t == "groups" for t, _ in fleet.platform.row_by_key)
        )
        again, _ = await fleet.host_by_id["b"].collect("s1")
        self.assertEqual(got, again)

    async def test_the_platform_is_out_for_the_whole_step(self):
        fleet = self.make_fleet("a", "b", "c")
        fleet.platform.is_unavailable = True
        await fleet.host_by_id["a"].front.submit(make_spec())
        got, answered = await fleet.host_by_id["b"].collect("s1")
        self.assertEqual((len(got), len(answered)), (6, 6))

    async def test_a_step_that_only_one_host_could_store_is_rejected(self):
        fleet = self.make_fleet("a")
        fleet.platform.is_unavailable = True
        submit = fleet.host_by_id["a"].front.submit(make_spec())
        await self.assert_refused(ErrorKind.PLATFORM_UNAVAILABLE, submit)

    async def test_samples_are_recorded_once_the_platform_is_available_again(self):
        fleet = self.make_fleet("a", "b")
        fleet.platform.is_unavailable = True
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1))
        answer = await a.pull("s1")
        self.assertTrue(answer.samples)
        fleet.platform.is_unavailable = False
        await _common.eventually(
            lambda: (
                {t for t, _ in fleet.platform.row_by_key}
                == {"steps", "holders", "groups"}
            )
        )

    async def test_an_unresponsive_replica_does_not_delay_every_sample(self):
        fleet = self.make_fleet("a", "b", "c")
        a = fleet.host_by_id["a"]
        fleet.holder_by_host = {"a": "a"}
        first = a.store._replica_hosts(ACCOUNT, "s1", ZONE)[0]
        # Membership still considers the host alive, but it does not reply.
        fleet.links_by_id.pop(first)
        await a.front.submit(make_spec(samples=8))
        got, _ = await a.collect("s1")
        self.assertEqual(len(got), 16)
        self.assertNotEqual(a.store._replica_hosts(ACCOUNT, "s1", ZONE)[0], first)

    async def test_a_holder_fails_while_the_platform_is_unavailable(self):
        fleet = self.make_fleet("a", "b")
        fleet.platform.is_unavailable = True
        gate = asyncio.Event()
        wait = scripted_stream(TokenChunk("x", 1, 1, "e", "stop"), gate=gate)
        fleet.engines.script_by_seed[2] = [wait]
        fleet.holder_by_host = {"a": "a", "b": "a"}
        a, b = fleet.host_by_id["a"], fleet.host_by_id["b"]
        await a.front.submit(make_spec(groups=1))
        handlers = b.links.handler_by_class
        await _common.eventually(lambda: handlers and len(_replica_samples(b)) == 2)
        fleet.down.add("a")
        await a.close()
        requested_seeds = {c["seed"] for c in fleet.engines.calls}
        self.assertEqual(requested_seeds, {0, 1, 2})
        got, _ = await b.collect("s1")
        self.assertEqual(len(got), 3)
        seeds = [c["seed"] for c in fleet.engines.calls]
        self.assertEqual((seeds.count(0), seeds.count(1), seeds.count(2)), (1, 1, 2))


def _replica_samples(host):
    return host.store._replicas.samples(ACCOUNT, "s1")


class HandoverTest(StepTestCase):
    async def test_a_host_that_is_no_longer_the_holder_stops(self):
        fleet = self.make_fleet("a", "b")
        fleet.holder_by_host = {"a": "a", "b": "a"}
        gate = asyncio.Event()
        waiting = scripted_stream(TokenChunk("x", 1, 1, "e", "stop"), gate=gate)
        fleet.engines.script_by_seed[0] = [waiting]
        a, b = fleet.host_by_id["a"], fleet.host_by_id["b"]
        with mock.patch.object(step_holder, "RECENT_PULL_MS", 1):
            await a.front.submit(make_spec(groups=1, samples=1))
            await _common.eventually(lambda: fleet.engines.calls)
            fleet.holder_by_host = {"a": "b", "b": "b"}
            await _common.eventually(lambda: not a.holder.steps())
            await _common.eventually(lambda: fleet.engines.closed == 1)
            got, _ = await b.collect("s1")
        self.assertEqual(len(got), 1)

    async def test_a_leaving_host_hands_over_its_samples(self):
        fleet = self.make_fleet("a", "b")
        fleet.platform.is_unavailable = True
        fleet.holder_by_host = {"a": "a", "b": "a"}
        gate = asyncio.Event()
        waiting = scripted_stream(TokenChunk("x", 1, 1, "e", "stop"), gate=gate)
        fleet.engines.script_by_seed[2] = [waiting]
        a, b = fleet.host_by_id["a"], fleet.host_by_id["b"]
        await a.front.submit(make_spec(groups=1))
        await _common.eventually(lambda: len(fleet.engines.calls) == 3)
        await _common.eventually(lambda: len(a.holder.steps()[0].sample_by_slot) == 2)
        await a.holder.hand_over()
        # The other host still considers the leaving host the holder.
        got, _ = await b.collect("s1")
        self.assertEqual(len(got), 3)
        self.assertEqual(len(fleet.engines.calls), 4)

    async def test_a_step_that_is_being_loaded_by_a_leaving_host_is_draining(self):
        fleet = self.make_fleet("a")
        a = fleet.host_by_id["a"]
        reached, never = asyncio.Event(), asyncio.Event()

        async def hang(*args):
            reached.set()
            await never.wait()

        with mock.patch.object(a.store, "load", hang):
            submit = asyncio.create_task(a.front.submit(make_spec()))
            await reached.wait()
            await a.holder.hand_over()
            await self.assert_refused(ErrorKind.DRAINING, submit)

    async def test_a_leaving_host_hands_over_partial_outputs(self):
        fleet = self.make_fleet("a", "b")
        fleet.holder_by_host = {"a": "a", "b": "a"}
        gate, reached = asyncio.Event(), asyncio.Event()
        chunks = TokenChunk("half", 2, 1, "e"), TokenChunk("", 1, 1, "e", "stop")
        script = [scripted_stream(*chunks, gate=gate, reached=reached)]
        fleet.engines.script_by_seed[0] = script
        a, b = fleet.host_by_id["a"], fleet.host_by_id["b"]
        await a.front.submit(make_spec(groups=1, samples=1))
        await reached.wait()
        await a.holder.hand_over()
        got, _ = await b.collect("s1")
        self.assertEqual(fleet.engines.calls[1]["resume_text"], "half")
        self.assertTrue(got[Slot(0, 0)].segments[0].text.startswith("half"))


class DeletionTest(StepTestCase):
    async def test_expired_records_are_deleted_and_others_stay(self):
        fleet = self.make_fleet("a", "b")
        a = fleet.host_by_id["a"]
        # One step is past its deadline and retention time; its trainer never returned.
        with mock.patch.object(step_records, "RETENTION_MS", -1_000_000):
            await a.front.submit(make_spec("old"))
            await a.collect("old")
            await _common.eventually(lambda: len(fleet.platform.row_by_key) == 4)
        await a.front.submit(make_spec("new", groups=1))
        await a.collect("new")
        await _common.eventually(lambda: len(fleet.platform.row_by_key) == 7)
        self.assertEqual(await a.store.records.delete_expired(2), 2)
        self.assertEqual(await a.store.records.delete_expired(10), 2)
        left = {key.split("/")[1] for _, key in fleet.platform.row_by_key}
        self.assertEqual(left, {"new"})
        self.assertEqual(len(fleet.platform.object_by_key), 2)

    async def test_the_second_writer_of_a_record_leaves_no_object(self):
        fleet = self.make_fleet("a")
        records = fleet.host_by_id["a"].store.records
        spec = make_spec(groups=1, samples=1)
        for text in ("first", "second"):
            sample = make_sample(Slot(0, 0), [Segment(1, text, 1)], "stop")
            await records.save_group(spec, 0, 0, [sample])
        self.assertEqual(len(fleet.platform.object_by_key), 1)


class TwoHoldersTest(StepTestCase):
    async def test_two_that_ask_at_once_come_to_the_same_sample(self):
        fleet = self.make_fleet("a", "b")
        spec = make_spec(groups=1, samples=1)
        made = [make_sample(Slot(0, 0), [Segment(1, text, 1)], "stop") for text in "xy"]
        for pair in (made, made[::-1]):
            stores = [fleet.host_by_id[i].store for i in "ab"]
            saves = (
                store.save_sample(spec, sample, 0, ZONE)
                for store, sample in zip(stores, pair, strict=True)
            )
            handlers = await asyncio.gather(*saves)
            self.assertEqual(handlers[0], handlers[1])


class StalenessTest(StepTestCase):
    async def test_a_recorded_sample_becomes_stale(self):
        fleet = self.make_fleet("a", "b")
        await fleet.host_by_id["a"].front.submit(make_spec())
        await fleet.host_by_id["a"].collect("s1")
        fleet.engines.version = 3
        got, _ = await fleet.host_by_id["b"].collect("s1", version=3)
        self.assertEqual({oldest_version(s) for s in got.values()}, {3})

    async def test_the_second_round_is_loaded_by_another_holder(self):
        fleet = self.make_fleet("a", "b")
        spec = make_spec(groups=1)
        await fleet.host_by_id["a"].front.submit(spec)
        await fleet.host_by_id["a"].collect("s1")
        fleet.engines.version = 3
        got, _ = await fleet.host_by_id["a"].collect("s1", version=3)
        await _common.eventually(
            lambda: sum(t == "groups" for t, _ in fleet.platform.row_by_key) == 2
        )
        records = await fleet.host_by_id["b"].store.records.load_groups(spec)
        self.assertEqual([record.round for record in records], [0, 1])
        self.assertEqual({s.slot: s for s in records[1].samples}, got)

    async def test_a_sample_becomes_stale_in_flight(self):
        fleet = self.make_fleet("a", "b")
        gate, reached = asyncio.Event(), asyncio.Event()
        old = TokenChunk("old", 1, 1, "e"), TokenChunk("", 1, 1, "e", "stop")
        fleet.engines.script_by_seed[0] = [
            scripted_stream(*old, gate=gate, reached=reached)
        ]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1))
        await reached.wait()
        fleet.engines.version = 3
        got, _ = await a.collect("s1", version=3)
        # The first stream never got its last chunk, so it was dropped in flight.
        self.assertEqual(oldest_version(got[Slot(0, 0)]), 3)
        self.assertEqual(fleet.engines.calls[1]["min_version"], 2)
        self.assertEqual(fleet.engines.closed, 2)

    async def test_the_version_changes_while_a_pull_waits(self):
        fleet = self.make_fleet("a")
        a = fleet.host_by_id["a"]
        gate = asyncio.Event()
        script = scripted_stream(TokenChunk("x", 1, 1, "e", "stop"), gate=gate)
        fleet.engines.script_by_seed[0] = [script]
        await a.front.submit(make_spec(groups=1, samples=1))
        waiting = asyncio.create_task(a.pull("s1", version=1))
        await _common.eventually(lambda: fleet.engines.calls)
        await a.pull("s1", version=5, wait_ms=0)
        fleet.engines.version = 5
        gate.set()
        answer = await waiting
        self.assertEqual([oldest_version(s) for s in answer.samples], [5])

    async def test_the_oldest_segment_counts(self):
        fleet = self.make_fleet("a")
        chunks = TokenChunk("a", 1, 1, "e"), TokenChunk("b", 1, 4, "e", "stop")
        fleet.engines.script_by_seed[0] = [scripted_stream(*chunks)]
        fleet.engines.version = 4
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1, base_version=1))
        got, _ = await a.collect("s1", version=4)
        self.assertEqual(oldest_version(got[Slot(0, 0)]), 4)

    async def test_a_weight_swap_during_a_stream_gives_two_segments(self):
        fleet = self.make_fleet("a")
        chunks = [
            TokenChunk("a", 1, 1, "e"),
            TokenChunk("b", 2, 1, "e"),
            TokenChunk("c", 1, 2, "e", "stop"),
        ]
        fleet.engines.script_by_seed[0] = [scripted_stream(*chunks)]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1))
        got, _ = await a.collect("s1", version=2)
        expected = (Segment(1, "ab", 3), Segment(2, "c", 1))
        self.assertEqual(got[Slot(0, 0)].segments, expected)

    async def test_a_stream_without_version_gives_no_sample(self):
        fleet = self.make_fleet("a", bound=9)
        script = scripted_stream(
            TokenChunk("x", 1, 0, "e"), TokenChunk("y", 1, 1, "e", "stop")
        )
        fleet.engines.script_by_seed[0] = [script]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1))
        got, _ = await a.collect("s1")
        self.assertEqual(oldest_version(got[Slot(0, 0)]), 1)
        self.assertEqual(len(fleet.engines.calls), 2)

    async def test_the_rule_cancel_stops_older_streams_at_once(self):
        fleet = self.make_fleet(
            "a", bound=5, on_version_change=VersionChangePolicy.CANCEL
        )
        gate, reached = asyncio.Event(), asyncio.Event()
        old = TokenChunk("old", 1, 1, "e"), TokenChunk("", 1, 1, "e", "stop")
        fleet.engines.script_by_seed[0] = [
            scripted_stream(*old, gate=gate, reached=reached)
        ]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1))
        await reached.wait()
        fleet.engines.version = 2
        got, _ = await a.collect("s1", version=2)
        self.assertEqual(oldest_version(got[Slot(0, 0)]), 2)


class HedgeTest(StepTestCase):
    async def test_two_finished_streams_of_a_slot_give_one_sample(self):
        fleet = self.make_fleet("a", "b")
        gate = asyncio.Event()
        slow = TokenChunk("slow", 1, 1, "e1"), TokenChunk(" end", 1, 1, "e1", "stop")
        fleet.engines.script_by_seed[2] = [
            scripted_stream(*slow, gate=gate),
            scripted_stream(TokenChunk(" fast", 5, 1, "e2", "stop"), gate=gate),
        ]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1))
        calls = fleet.engines.calls
        await _common.eventually(lambda: [c["seed"] for c in calls].count(2) == 2)
        hedge = [c for c in calls if c["seed"] == 2][1]
        self.assertEqual(hedge["resume_text"], "slow")
        self.assertEqual(hedge["avoid"], ("e1",))
        self.assertEqual(hedge["max_tokens"], 99)
        # Both streams finish at the same time.
        gate.set()
        got, answered = await a.collect("s1")
        self.assertEqual((len(got), len(answered)), (3, 3))
        text = "".join(s.text for s in got[Slot(0, 2)].segments)
        self.assertIn(text, ("slow end", "slow fast"))
        again, _ = await fleet.host_by_id["b"].collect("s1")
        self.assertEqual(again, got)

    async def test_failed_streams_are_retried(self):
        fleet = self.make_fleet("a")

        async def fail(call):
            raise ServiceError(ErrorKind.NO_UPSTREAM, retry_after_ms=1)
            yield

        fleet.engines.script_by_seed[0] = [
            fail,
            scripted_stream(TokenChunk("cut", 1, 1, "e")),
        ]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1))
        got, _ = await a.collect("s1")
        self.assertEqual(got[Slot(0, 0)].finish_reason, "stop")
        self.assertEqual(len(fleet.engines.calls), 3)

    async def test_a_retry_resumes_from_the_received_tokens(self):
        fleet = self.make_fleet("a")

        async def fail(call):
            yield TokenChunk("half ", 40, 1, "e")
            raise ServiceError(ErrorKind.UPSTREAM_FAILED)

        fleet.engines.script_by_seed[0] = [
            fail,
            scripted_stream(TokenChunk("whole", 1, 1, "e", "stop")),
        ]
        a = fleet.host_by_id["a"]
        await a.front.submit(make_spec(groups=1, samples=1))
        got, _ = await a.collect("s1")
        text = "".join(s.text for s in got[Slot(0, 0)].segments)
        self.assertEqual(text, "half whole")
        again = fleet.engines.calls[1]
        self.assertEqual((again["resume_text"], again["max_tokens"]), ("half ", 60))
