"""When an error says that a request was not run, no application ran it."""

import asyncio

from test._common import eventually
from test.fault_proxy import DOWN, UP
from test.proofs._requests import RequestCase, in_background, make_plan
from test.standins import app

BEYOND_REQUEST_BYTES = 100_000
CALLERS = 4
CALLER_INTERVAL_S = 0.25


class NotRunTest(RequestCase):
    PLAN = make_plan({"zone-a": 1}, {"zone-a": 1})

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.host = self.hosts[0]
        self.link = self.network.links_by_id["desk-1"]

    async def expect(self, name, code, ran, answer=None):
        """Save a note and check its error against the run count of the application."""
        answer = answer or await self.note(self.host, name)
        self.assertEqual((answer.code, answer.ran), (code, ran), f"{name}: {answer}")
        await self.check_not_run(answer, name)
        return answer

    async def test_refused_and_unreachable(self):
        await self.note(self.host, "first")
        await self.link.refuse()
        await self.cut_link("desk-1")
        await self.expect("refused", "upstream_unreachable", "not run")
        await self.link.heal()
        answer = await self.note(self.host, "again")
        self.assertEqual(answer.status, 201)
        self.fleet.kill("desk-1")
        # The link accepts the connection, then closes it with or without the request.
        answer = await self.note(self.host, "dead")
        self.assertIn(answer.code, ("upstream_unreachable", "upstream_failed"))

    async def test_cut_at_each_point_of_the_request(self):
        """No error is wrong about the run, whichever byte the request is cut at."""
        before = self.link.bytes_by_direction[UP]
        await self.note(self.host, "whole")
        size = self.link.bytes_by_direction[UP] - before
        for n in (*range(size), size, BEYOND_REQUEST_BYTES):
            for is_reused in (False, True):
                await self.link.heal()
                if is_reused:
                    await self.note(self.host, f"warm-{n}")
                else:
                    await self.cut_link("desk-1")
                # A reused connection has already transferred the previous request.
                self.link.cut_after(n + size * is_reused, UP)
                name = f"cut-{n}-{is_reused}"
                await self.check_not_run(await self.note(self.host, name), name)

    async def test_closed_before_during_and_after_the_answer(self):
        await self.set_app("desk-1", app.CLOSE_BEFORE_RUN)
        await self.expect("before", "upstream_failed", "unknown")
        await self.set_app("desk-1", app.CLOSE_AFTER_RUN)
        await self.expect("after", "upstream_failed", "unknown")
        self.assertEqual(await self.run_count("after"), 1)
        await self.set_app("desk-1", "")
        await self.cut_link("desk-1")
        self.link.cut_after(10, DOWN)
        await self.expect("during", "upstream_failed", "unknown")
        self.assertEqual(await self.run_count("during"), 1)
        await self.cut_link("desk-1")
        await self.link.heal()
        # When the upstream closes idle connections, no note may be lost.
        for n in range(5):
            self.assertEqual((await self.note(self.host, f"idle-{n}")).status, 201)
            await self.cut_link("desk-1")
            answer = await self.note(self.host, f"closed-{n}")
            self.assertEqual(answer.status, 201, answer)

    async def test_refused_before_it_is_sent(self):
        name = "refused"
        headers = {"X-Timeout-Ms": "0"}
        answer = await self.note(self.host, name, **headers)
        await self.expect(name, "queue_timeout", "not run", answer)
        answer = await self.note(self.host, name, **{"Authorization": "Bearer no"})
        await self.expect(name, "unauthorized", "not run", answer)
        answer = await self.note(self.host, name, "bad key")
        await self.expect(name, "bad_request", "not run", answer)
        await self.outage(True)
        answer = await self.note(self.host, name, "a-key")
        await self.expect(name, "platform_unavailable", "not run", answer)
        await self.outage(False)

    async def test_a_host_that_shuts_down(self):
        """Notes sent during shutdown get a correct statement of whether they ran."""
        answers = {}
        # The notes end one after the other, so that a caller whose note has ended meets
        # the host while it waits for the others.
        await self.set_app("desk-1", app.SLOW, slow_s=CALLERS * CALLER_INTERVAL_S)

        async def caller(number):
            await asyncio.sleep(number * CALLER_INTERVAL_S)
            for i in range(1000):
                name = f"{number}-{i}"
                answers[name] = await self.note(self.host, name)
                if not answers[name].status:
                    return

        async with in_background(asyncio.gather(*map(caller, range(CALLERS)))) as task:
            await eventually(lambda: len(answers) > 8)
            self.fleet.terminate(self.host)
            await self.fleet.process_by_id[self.host].wait()
            await asyncio.wait([task], timeout=30)
        codes = {answer.code for answer in answers.values()}
        self.assertLessEqual(codes, {"", "draining"})
        self.assertIn("draining", codes)
        for name, answer in answers.items():
            await self.check_not_run(answer, name)


class EngineNotRunTest(RequestCase):
    """Requests to engines that time out in the queue, are shed or are rejected."""

    PLAN = make_plan(
        {"zone-a": 2},
        engines={"zone-a": 1},
        slots=1,
        engine={"token_ms": 20},
        settings={"limits": {"max_queue_per_upstream": 2, "queue_timeout_ms": 600}},
    )

    async def test_queue_timeout_shed_load_and_no_upstream(self):
        asked = [self.complete(self.hosts[n % 2], 200) for n in range(8)]
        answers = await asyncio.gather(*asked)
        codes = [answer.code for answer in answers]
        self.assertIn("queue_timeout", codes)
        self.assertIn("overloaded", codes)
        counts = await self.counts("lm-1")
        ran = sum(answer.ran != "not run" for answer in answers)
        self.assertEqual(counts["started"], ran, codes)
        for answer in answers:
            if answer.code:
                self.assertGreater(int(answer.headers["retry-after-ms"]), 0)
        code, text = await self.fleet.ask("DRAIN UPSTREAM 'lm-1'")
        self.assertEqual(code, 0, text)
        answer = await self.complete(self.hosts[0], 1)
        self.assertEqual((answer.code, answer.ran), ("no_upstream", "not run"))
        self.assertEqual((await self.counts("lm-1"))["started"], ran)
