"""Completions state their weight versions and fail over between engines."""

import asyncio
import contextlib
import unittest
from unittest import mock

from goldcrestmoor.adapters.engine import EngineClient
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.connection.retry_budget import RetryBudget
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.admission import AdmissionClient
from goldcrestmoor.request.admission_messages import Acquire
from goldcrestmoor.request.admission_owner import AdmissionOwner
from goldcrestmoor.request.completions import Completions
from goldcrestmoor.request.placement import LeastLoaded, Placement
from goldcrestmoor.request.token_chunk import TokenChunk, merge_by_version
from test import _request_fakes as fakes
from test._common import eventually
from test.standins import engine as standin

HOST = "host-a1"
PROMPT = "say something"


class CompletionsTestCase(unittest.IsolatedAsyncioTestCase):
    LIMITS = {"progress_timeout_ms": 300}

    async def asyncSetUp(self):
        self.clock = Clock()
        self.account = fakes.account("trainer", "trainer")
        self.lease = fakes.FakeLease(accounts=[self.account])
        self.engines_by_name = {}
        self.leaving = set()
        await self.add_engine("lm-1")
        self.lease.configuration.pools_by_name["lm"] = fakes.Pool("lm", "engine", "lm")
        parts = fakes.parts()
        limits = fakes.limits(**self.LIMITS)
        links = fakes.FakeNetwork().links(HOST)
        self.owner = AdmissionOwner(
            clock=self.clock,
            lease=self.lease,
            settings=limits,
            links=links,
            is_leaving=self.leaving.__contains__,
            **parts,
        )
        admission = AdmissionClient(
            clock=self.clock,
            host_id=HOST,
            links=links,
            ownership=fakes.FakeOwnership(HOST),
            owner=self.owner,
            decisions=parts["decisions"],
        )
        self.placement = Placement(
            zone="zone-a", lease=self.lease, policy=LeastLoaded()
        )
        self.engine_client = EngineClient(http=fakes.CountingHttp())
        self.completions = Completions(
            clock=self.clock,
            engines=self.engine_client,
            admission=admission,
            placement=self.placement,
            lease=self.lease,
            budget=fakes.make_budget(),
            settings=limits,
            **parts,
        )
        self.addAsyncCleanup(self.completions.close)

    async def add_engine(self, name, zone="zone-a", **options):
        engine, server = standin.make_server(**options)
        await server.start()
        self.addAsyncCleanup(server.close)
        self.engines_by_name[name] = engine
        self.lease.replace(fakes.upstream(name, zone=zone, port=server.port))
        return engine

    def generate(self, max_tokens=20, **options):
        return self.completions.generate(
            account=self.account,
            pool="lm",
            prompt=PROMPT,
            max_tokens=max_tokens,
            seed=7,
            deadline=Deadline.after(self.clock, 60_000),
            request_id="r1",
            **options,
        )

    async def chunks(self, *args, **options):
        async with contextlib.aclosing(self.generate(*args, **options)) as stream:
            return [chunk async for chunk in stream]

    async def error(self, *args, **options):
        with self.assertRaises(ServiceError) as caught:
            await self.chunks(*args, **options)
        return caught.exception

    def check_complete(self, chunks, tokens=20):
        text = "".join(chunk.text for chunk in chunks)
        self.assertEqual(text, standin.expected_text(PROMPT, 7, tokens))
        self.assertEqual(sum(chunk.tokens for chunk in chunks), tokens)
        self.assertEqual(chunks[-1].finish_reason, "length")


class CompletionsTest(CompletionsTestCase):
    async def test_a_complete_output_states_its_version(self):
        chunks = await self.chunks()
        self.check_complete(chunks)
        self.assertEqual({chunk.version for chunk in chunks}, {1})
        self.assertEqual(self.owner.in_flight("lm-1"), 0)

    async def test_a_failed_stream_resumes_on_another_engine(self):
        self.engines_by_name["lm-1"].options.cut_after = 8
        other = await self.add_engine("lm-2", zone="zone-b", version=2)
        chunks = await self.chunks()
        self.check_complete(chunks)
        segments = [(s.version, s.tokens) for s in merge_by_version(chunks)]
        self.assertEqual(segments, [(1, 8), (2, 12)])
        self.assertEqual(other.tokens, 12)

    async def test_an_engine_that_never_ends_is_left_at_the_token_limit(self):
        """All that it sent was kept, and passed on as the caller's output."""
        for tokens, is_whole in ((1, True), (0, False)):

            async def endless(upstream, tokens=tokens, **options):
                while True:
                    yield TokenChunk("a", tokens, 1, upstream.name, "")
                    await asyncio.sleep(0)

            with (
                self.subTest(tokens),
                mock.patch.object(EngineClient, "stream", staticmethod(endless)),
            ):
                async with asyncio.timeout(2):
                    if is_whole:
                        chunks = await self.chunks()
                        self.assertEqual("".join(c.text for c in chunks), "a" * 20)
                        self.assertEqual(chunks[-1].finish_reason, "length")
                    else:
                        error = await self.error()
                        self.assertEqual(error.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_a_swap_in_the_middle_of_a_stream_shows_in_the_segments(self):
        stream = self.generate(40)
        chunks = []
        async for chunk in stream:
            chunks.append(chunk)
            if len(chunks) == 5:
                self.engines_by_name["lm-1"].options.version = 2
        self.check_complete(chunks, 40)
        self.assertEqual([s.version for s in merge_by_version(chunks)], [1, 2])

    async def test_an_unresponsive_engine_is_left_long_before_the_deadline(self):
        self.engines_by_name["lm-1"].options.silent_after = 3
        await self.add_engine("lm-2", zone="zone-b")
        self.check_complete(await self.chunks())

    async def test_an_engine_that_sends_only_comments_is_left_too(self):
        self.engines_by_name["lm-1"].options.silent_after = 3
        self.engines_by_name["lm-1"].options.comment_ms = 50
        await self.add_engine("lm-2", zone="zone-b")
        self.check_complete(await self.chunks())

    async def test_a_stream_without_an_end_of_stream_marker_is_an_error(self):
        self.engines_by_name["lm-1"].options.end_mark = False
        stream = self.engine_client.stream(
            self.lease.configuration.upstreams_by_name["lm-1"],
            model="lm",
            prompt=PROMPT,
            max_tokens=3,
            seed=7,
            request_id="s1",
            timeout_ms=60_000,
        )
        with self.assertRaises(ServiceError) as caught:
            [chunk async for chunk in stream]
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_an_output_is_not_finished_without_an_end_of_stream_marker(self):
        self.engines_by_name["lm-1"].options.end_mark = False
        chunks = []
        with self.assertRaises(ServiceError):
            async for chunk in self.generate():
                chunks.append(chunk)
        self.assertEqual([p.finish_reason for p in chunks if p.finish_reason], [])

    async def test_an_engine_that_states_no_version_is_an_error(self):
        self.engines_by_name["lm-1"].options.state_version = False
        error = await self.error()
        self.assertEqual(error.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_tokens_of_an_outdated_version_end_the_stream(self):
        error = await self.error(min_version=2)
        self.assertEqual(error.kind, ErrorKind.VERSION_CONFLICT)
        engine = self.engines_by_name["lm-1"]
        await eventually(lambda: engine.cancelled_ids)

    async def test_closing_cancels_the_stream_and_frees_the_slot(self):
        stream = self.generate(10_000)
        await anext(stream)
        self.assertEqual(self.owner.in_flight("lm-1"), 1)
        await stream.aclose()
        engine = self.engines_by_name["lm-1"]
        await eventually(lambda: engine.cancelled_ids)
        await eventually(lambda: engine.running == 0)
        await eventually(lambda: self.owner.in_flight("lm-1") == 0)

    async def test_no_more_than_the_slots_run_at_a_time(self):
        await asyncio.gather(*(self.chunks() for _ in range(12)))
        self.assertLessEqual(self.engines_by_name["lm-1"].max_running, 2)

    async def test_load_orders_with_an_old_fencing_number_are_rejected(self):
        upstream = self.lease.configuration.upstreams_by_name["lm-1"]
        order = self.engine_client.order
        options = {"model": "lm", "timeout_ms": 60_000}
        self.assertEqual(await order(upstream, version=2, fencing=5, **options), 2)
        with self.assertRaises(ServiceError) as caught:
            await order(upstream, version=1, fencing=4, **options)
        self.assertEqual(caught.exception.kind, ErrorKind.VERSION_CONFLICT)
        state = await self.engine_client.state(upstream, timeout_ms=60_000)
        self.assertEqual((state.model, state.version), ("lm", 2))

    async def test_a_failed_swap_shows_in_the_version_read_back(self):
        self.engines_by_name["lm-1"].options.fail_swap = True
        upstream = self.lease.configuration.upstreams_by_name["lm-1"]
        version = await self.engine_client.order(
            upstream, model="lm", version=2, fencing=1, timeout_ms=60_000
        )
        self.assertEqual(version, 1)

    async def test_an_engine_that_leaves_before_the_bytes_costs_no_retry(self):
        await self.add_engine("lm-2", zone="zone-b")
        self.completions._budget = RetryBudget(clock=self.clock, percent=0)
        acquire = AdmissionClient.acquire

        async def leave_after_grant(*args):
            grant = await acquire(*args)
            self.lease.replace(fakes.upstream("lm-1", draining=True))
            return grant

        with mock.patch.object(AdmissionClient, "acquire", leave_after_grant):
            self.check_complete(await self.chunks())


class FullQueueTest(CompletionsTestCase):
    LIMITS = {"max_queue_per_upstream": 1}

    async def fill_queue(self, name):
        """Take the two slots of an engine and the only place in its queue."""
        for n in range(3):
            message = Acquire(f"other/{n}", name, "other", "trainer", 1, 9, 60_000)
            await self.owner.on_acquire("host-b1", message)

    async def test_a_full_engine_is_not_reported_as_none_left(self):
        # The host has not read yet that the second engine leaves; its owner has.
        await self.add_engine("lm-2", zone="zone-b")
        self.leaving.add("lm-2")
        await self.fill_queue("lm-1")
        error = await self.error()
        self.assertEqual(error.kind, ErrorKind.OVERLOADED)
        self.assertGreater(error.retry_after_ms, 0)
