"""A caller gets the complete response to its own request, or an error."""

import asyncio
import json

import msgspec

from test._common import eventually
from test.fault_proxy import DOWN
from test.proofs._requests import RequestCase, make_plan
from test.standins import app, engine

STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
# Bytes after the engine's end-of-stream marker: line end, chunk end and last chunk.
FRAMING_BYTES = len(b"\n\n\r\n0\r\n\r\n")
CALLERS = 12
ROUNDS = 4


def texts(body):
    """Return the texts of the events of a streamed response."""
    events = (json.loads(e[6:]) for e in body.split(b"\n\n") if e[:7] == b"data: {")
    return [event["choices"][0]["text"] for event in events]


class CutAnswersTest(RequestCase):
    PLAN = make_plan({"zone-a": 1}, {"zone-a": 1}, {"zone-a": 1})

    async def cut_at_every_byte(self, upstream, ask, is_good, spare_bytes=0):
        """Cut a response after each of its bytes; no cut response may appear complete.

        :param spare_bytes: number of bytes that may follow the end-of-stream marker.
        """
        link = self.network.links_by_id[upstream]
        before = link.bytes_by_direction[DOWN]
        whole = await ask()
        self.assertTrue(is_good(whole), whole)
        size = link.bytes_by_direction[DOWN] - before
        self.assertGreater(size, len(whole.body) // 2)
        for n in range(size):
            # An open connection has already transferred bytes.
            await self.cut_link(upstream)
            link.cut_after(n, DOWN)
            answer = await ask()
            if answer.body == whole.body and n >= size - spare_bytes:
                continue
            self.assertEqual(answer.code, "upstream_failed", f"{n}: {answer}")
        await link.heal()
        self.assertTrue(is_good(await ask()))

    async def test_a_fetch_is_cut_at_every_byte(self):
        def is_good(answer):
            return answer.status == 200

        for path in ("/apps/desk/panel/cut", "/apps/desk/chunked"):
            with self.subTest(path=path):

                async def ask(path=path):
                    return await self.call(self.hosts[0], "GET", path)

                await self.cut_at_every_byte("desk-1", ask, is_good)

    async def test_a_completion_is_cut_at_every_byte(self):
        expected = engine.expected_text("p", 0, 1)
        ids = []

        async def ask():
            answer = await self.complete(self.hosts[0], 1)
            if answer.status != 200:
                return answer
            body = answer.json()
            ids.append(body.pop("id"))
            return type(answer)(200, json.dumps(body).encode())

        def is_good(answer):
            return answer.json()["choices"][0]["text"] == expected

        await self.cut_at_every_byte("lm-1", ask, is_good, FRAMING_BYTES)

    async def test_a_stream_is_cut_at_every_byte(self):
        link = self.network.links_by_id["lm-1"]
        before = link.bytes_by_direction[DOWN]
        whole = await self.complete(self.hosts[0], 3, stream=True)
        self.assertTrue(whole.body.endswith(b"data: [DONE]\n\n"))
        size = link.bytes_by_direction[DOWN] - before
        for n in range(size):
            await self.cut_link("lm-1")
            link.cut_after(n, DOWN)
            answer = await self.complete(self.hosts[0], 3, stream=True)
            if b"[DONE]" in answer.body:
                self.assertGreaterEqual(n, size - FRAMING_BYTES)
                self.assertEqual(texts(answer.body), texts(whole.body))
                continue
            is_reported = (
                answer.code == "upstream_failed" or b"event: error" in answer.body
            )
            self.assertTrue(is_reported, f"{n}: {answer}")

    async def test_wrong_lengths_and_missing_end_marks(self):
        await self.set_app("desk-1", app.WRONG_LENGTH)
        answer = await self.fetch(self.hosts[0], "short")
        self.assertEqual(answer.code, "upstream_failed")
        await self.set_engine("lm-1", end_mark=False)
        answer = await self.complete(self.hosts[0], 3)
        self.assertEqual(answer.code, "upstream_failed")
        answer = await self.complete(self.hosts[0], 3, stream=True)
        self.assertNotIn(b"[DONE]", answer.body)

    async def test_the_daemons_own_answer_breaks_off_visibly(self):
        """A caller sees no clean end of a stream when its daemon dies."""
        await self.set_engine("lm-1", token_ms=50)
        started = asyncio.Event()
        loop = asyncio.get_running_loop()

        def on_status(status):
            loop.call_soon_threadsafe(started.set)

        asked = self.complete(self.hosts[0], 200, stream=True, on_status=on_status)
        task = asyncio.ensure_future(asked)
        async with asyncio.timeout(30):
            await started.wait()
        self.fleet.kill(self.hosts[0])
        self.assertEqual((await task).status, 0)


class OwnAnswersTest(RequestCase):
    PLAN = make_plan({"zone-a": 2}, {"zone-a": 2}, app={"jitter_ms": 40})

    def check_own(self, answer, name):
        if answer.status == 200:
            self.assertEqual(answer.json()["panel"], f"/panel/{name}?")

    async def test_late_answers_meet_no_other_request(self):
        """Half of the requests time out early; their responses still arrive."""

        async def caller(number):
            whole = 0
            for i in range(ROUNDS):
                name = f"{number}-{i}"
                limit = {"X-Timeout-Ms": "15"} if (number + i) % 2 else {}
                host = self.hosts[number % 2]
                answer = await self.fetch(host, name, **limit)
                self.check_own(answer, name)
                whole += answer.status == 200
                if not limit:
                    self.assertEqual(answer.status, 200, answer.body)
            return whole

        whole = sum(await asyncio.gather(*(caller(n) for n in range(CALLERS))))
        self.assertGreaterEqual(whole, CALLERS * ROUNDS // 2)

    async def test_a_stray_answer_on_a_pooled_connection_is_not_taken(self):
        """The stray bytes arrive on an idle connection or right after a response."""
        links = [self.network.links_by_id[name] for name in self.upstreams]
        for number in range(ROUNDS):
            await self.fetch(self.hosts[0], f"before-{number}")
            if number % 2:
                for link in links:
                    link.inject(STRAY)
            else:
                for link in links:
                    link.append(STRAY)
                await self.fetch(self.hosts[0], f"with-{number}")
                for link in links:
                    await link.heal()
            for i in range(ROUNDS):
                name = f"after-{number}-{i}"
                answer = await self.fetch(self.hosts[0], name)
                self.assertEqual(answer.status, 200, answer)
                self.check_own(answer, name)


class SwappedPlacesTest(RequestCase):
    """Two daemons restart with each other's addresses and ports."""

    PLAN = make_plan({"zone-a": 3}, {"zone-a": 1})
    has_links = False

    async def swap(self, a, b):
        """Kill two hosts and start each with the endpoint of the other."""
        fleet = self.fleet
        old = {host: fleet.endpoint_by_id[host] for host in (a, b)}
        for host in (a, b):
            fleet.kill(host)
            await fleet.process_by_id[host].wait()
        for host, other in ((a, b), (b, a)):
            fleet.endpoint_by_id[host] = msgspec.structs.replace(old[other], id=host)
        fleet.hosts = [fleet.endpoint_by_id[host.id] for host in fleet.hosts]
        control = fleet.platform_control
        await fleet.control(control, "hosts", hosts=fleet.listed_hosts())
        await asyncio.gather(*(fleet.start_host(host) for host in (a, b)))
        await asyncio.gather(*(fleet.wait_ready(host) for host in (a, b)))

    async def test_no_answer_goes_to_another_caller(self):
        a, b, c = self.hosts
        keys = {
            name: await self.mint(host) for name, host in (("to-a", a), ("to-b", b))
        }
        await self.set_app("desk-1", app.SLOW, slow_s=1)
        pending = [
            asyncio.ensure_future(self.note(c, name, key)) for name, key in keys.items()
        ]
        await eventually(lambda: self.have_run(*keys))
        await self.swap(a, b)
        answers = [*await asyncio.gather(*pending)]
        for host in self.hosts:
            answers += [await self.note(host, name, key) for name, key in keys.items()]
        for answer in answers:
            self.assertEqual(answer.code, "outcome_unknown", answer)
        self.assertTrue(await self.have_run(*keys))
        await self.set_app("desk-1", "")
        await eventually(lambda: self.is_known(a))
        await eventually(lambda: self.is_known(b))
        names = [f"own-{n}" for n in range(CALLERS)]
        minted = [await self.mint(self.hosts[n % 3]) for n in range(CALLERS)]
        sent = (
            self.note(self.hosts[(n + 1) % 3], name, minted[n])
            for n, name in enumerate(names)
        )
        for name, answer in zip(names, await asyncio.gather(*sent), strict=True):
            self.assertEqual(answer.json().get("saved"), name, answer)
            self.assertEqual(await self.run_count(name), 1)

    async def have_run(self, *names):
        return all([await self.run_count(name) == 1 for name in names])

    async def is_known(self, host):
        """Return whether all hosts can use keys that a moved host minted."""
        answers = [
            await self.note(other, f"known-{other}", await self.mint(host))
            for other in self.hosts
        ]
        return all(answer.status == 201 for answer in answers)
