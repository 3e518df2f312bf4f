"""Progress timeouts detect a connection that becomes permanently unresponsive."""

import asyncio
import time

from goldcrestmoor.clock import MS_PER_SECOND
from test._common import eventually
from test.proofs._requests import REQUEST_TIMEOUT_MS, RequestCase, make_plan
from test.standins import app, engine

PROMPT_MS = REQUEST_TIMEOUT_MS // 2
TOKENS = 100
ROUNDS = 5
NEVER_MS = 60_000


class SilentCase(RequestCase):
    async def answered_promptly(self, coroutine):
        """Return the response; it must arrive well before the request timeout."""
        started_s = time.monotonic()
        answer = await coroutine
        elapsed_ms = (time.monotonic() - started_s) * MS_PER_SECOND
        self.assertLess(elapsed_ms, PROMPT_MS, answer)
        return answer


class UpstreamTest(SilentCase):
    PLAN = make_plan(
        {"zone-a": 1},
        {"zone-a": 2},
        {"zone-a": 2},
        engine={"token_ms": 5},
        settings={"limits": {"progress_timeout_ms": 1000}},
    )

    async def test_a_fetch_moves_to_another_connection(self):
        host = self.hosts[0]
        for n in range(ROUNDS):
            # The retry budget allows one retry per ten requests, and two connections
            # are unresponsive.
            for i in range(25):
                answer = await self.answered_promptly(self.fetch(host, f"{n}-{i}"))
                self.assertEqual(answer.status, 200, answer)
            for name in ("desk-1", "desk-2"):
                self.network.links_by_id[name].silence_old()
            answer = await self.answered_promptly(self.fetch(host, f"after-{n}"))
            self.assertEqual(answer.status, 200, answer)

    async def test_a_note_gets_its_answer(self):
        host = self.hosts[0]
        for n in range(10 * ROUNDS):
            for i in "abcd":
                await self.note(host, f"warm-{n}-{i}")
            for name in ("desk-1", "desk-2"):
                self.network.links_by_id[name].silence_old()
            # The first note may use a new connection, as notes are not sent on a
            # connection that has been idle for long; the second may then use the
            # connection to the other upstream.
            for name in (f"after-{n}", f"second-{n}"):
                answer = await self.answered_promptly(self.note(host, name))
                await self.check_not_run(answer, name)
                if answer.code == "upstream_timeout":
                    # The next note uses a new connection.
                    self.assertEqual((await self.note(host, f"next-{n}")).status, 201)
                    return
                self.assertEqual(answer.status, 201, answer)
        self.fail("No note was sent on an unresponsive connection.")

    async def test_a_stream_goes_on_at_another_engine(self):
        asked = self.complete(self.hosts[0], TOKENS)
        task = asyncio.ensure_future(asked)
        await eventually(lambda: self.has_tokens(10))
        for name in ("lm-1", "lm-2"):
            self.network.links_by_id[name].silence_old()
        answer = await self.answered_promptly(task)
        text = answer.json()["choices"][0]["text"]
        self.assertEqual(text, engine.expected_text("p", 0, TOKENS))

    async def has_tokens(self, count):
        counts = await asyncio.gather(self.counts("lm-1"), self.counts("lm-2"))
        return sum(each["tokens"] for each in counts) >= count


class PeerTest(SilentCase):
    """Hosts that never probe each other, as hosts of a large fleet seldom do."""

    PLAN = make_plan(
        {"zone-a": 3},
        {"zone-a": 1},
        {"zone-a": 1},
        settings={
            "membership": {
                "host_list_poll_ms": 500,
                "probe_interval_ms": NEVER_MS,
                "suspect_ms": NEVER_MS,
            }
        },
    )

    def silence_peers(self):
        for host in self.hosts:
            self.network.links_by_id[host].silence_old()

    async def test_a_note_under_a_key_of_another_host(self):
        """The link to the sending host becomes unresponsive while the note runs."""
        minter, other = self.hosts[:2]
        await self.note(other, "warm", await self.mint(minter))
        await self.set_app("desk-1", app.SLOW, slow_s=0.8)
        key = await self.mint(minter)
        task = asyncio.ensure_future(self.note(other, "slow", key))
        await eventually(lambda: self.is_run("slow"))
        self.silence_peers()
        answer = await self.answered_promptly(task)
        self.assertEqual(answer.status, 201, answer)
        self.assertEqual(await self.run_count("slow"), 1)

    async def is_run(self, name):
        return await self.run_count(name) == 1

    async def test_an_owner_that_cannot_be_heard(self):
        asked = [self.complete(host, 5) for host in self.hosts]
        await asyncio.gather(*asked)
        self.silence_peers()
        asked = [self.answered_promptly(self.complete(host, 5)) for host in self.hosts]
        for answer in await asyncio.gather(*asked):
            self.assertEqual(answer.status, 200, answer)
