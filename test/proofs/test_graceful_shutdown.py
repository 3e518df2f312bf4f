"""A terminated host completes its requests and hands over its duties."""

import asyncio
import json

from test._common import eventually
from test.proofs._requests import TOKEN, RequestCase, make_plan
from test.standins import app, engine

TOKENS = 60
STREAMS = 6


class ShutdownCase(RequestCase):
    async def begin_streams(self, hosts, tokens=TOKENS):
        """Start streams through the hosts and wait until each has begun."""
        loop, begun = asyncio.get_running_loop(), []

        def on_status(status):
            loop.call_soon_threadsafe(begun.append, status)

        tasks = [
            asyncio.ensure_future(
                self.complete(
                    host, tokens, stream=True, prompt=f"p{n}", on_status=on_status
                )
            )
            for n, host in enumerate(hosts)
        ]
        await eventually(lambda: len(begun) == len(tasks))
        return tasks

    async def check_whole(self, tasks, tokens=TOKENS):
        for n, answer in enumerate(await asyncio.gather(*tasks)):
            self.assertEqual(answer.status, 200, answer.body)
            self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"), answer.body)
            events = [e[6:] for e in answer.body.split(b"\n\n") if e[6:7] == b"{"]
            text = "".join(json.loads(e)["choices"][0]["text"] for e in events)
            self.assertEqual(text, engine.expected_text(f"p{n}", 0, tokens))

    async def owner_of(self, upstream, asked):
        _, text = await self.fleet.ask("SHOW UPSTREAMS", asked, is_json=True)
        shown = json.loads(text)
        column = shown["columns"].index("owner")
        return next(row[column] for row in shown["rows"] if row[0] == upstream)

    async def end(self, host):
        """Wait until a terminated host exits, and check that its exit code is 0."""
        code = await self.fleet.process_by_id[host].wait()
        self.assertEqual(code, 0, self.fleet.process_by_id[host].log_tail())


class ShutdownTest(ShutdownCase):
    PLAN = make_plan(
        {"zone-a": 3}, {"zone-a": 1}, {"zone-a": 1}, engine={"token_ms": 20}, slots=3
    )

    async def test_an_entry_host_under_load(self):
        host, other = self.hosts[:2]
        tasks = await self.begin_streams([host] * 3)
        await self.set_app("desk-1", app.SLOW, slow_s=1)
        slow = asyncio.ensure_future(self.note(host, "slow"))
        await eventually(lambda: self.is_run("slow"))
        self.fleet.terminate(host)
        # The load balancer is notified first; requests that it still sends are served.
        await eventually(lambda: self.is_unready(host))
        self.assertEqual((await self.fetch(host, "late")).status, 200)
        await self.end(host)
        self.assertEqual((await slow).status, 201)
        await self.check_whole(tasks)
        self.assertEqual((await self.fetch(other, "next")).status, 200)

    async def is_run(self, name):
        return await self.run_count(name) == 1

    async def is_unready(self, host):
        return not await self.ready(host)

    async def test_an_owner_with_a_queue(self):
        """Running streams continue; the next owner admits the queued requests."""
        owner = await self.owner_of("lm-1", self.hosts[0])
        others = [host for host in self.hosts if host != owner]
        tasks = await self.begin_streams(others + [owner])
        queued = [
            asyncio.ensure_future(
                self.complete(others[n % 2], TOKENS, stream=True, prompt=f"p{n}")
            )
            for n in range(STREAMS)
        ]
        await eventually(lambda: self.is_queued(owner))
        self.fleet.terminate(owner)
        await self.end(owner)
        await self.check_whole(tasks)
        await self.check_whole(queued)
        self.assertIn(await self.owner_of("lm-1", others[0]), others)

    async def is_queued(self, owner):
        return await self.metric(owner, "goldcrestmoor_queue_length{") > 0

    async def test_the_host_that_minted_a_key(self):
        """A note that the host sends on behalf of another host also completes."""
        host, other = self.hosts[:2]
        await self.set_app("desk-1", app.SLOW, slow_s=3)
        unused = await self.mint(host)
        key = await self.mint(host)
        slow = asyncio.ensure_future(self.note(other, "through", key))
        await eventually(lambda: self.is_run("through"))
        self.fleet.terminate(host)
        await eventually(lambda: self.is_unready(host))
        await self.end(host)
        self.assertEqual((await slow).status, 201, (await slow).body)
        self.assertEqual(await self.run_count("through"), 1)
        answer = await self.note(other, "unused", unused)
        await self.check_not_run(answer, "unused")

    async def test_a_caller_that_has_gone(self):
        """A disconnected caller's keyed note completes; a retry gets its outcome."""
        host, other = self.hosts[:2]
        await self.set_app("desk-1", app.SLOW, slow_s=2)
        endpoint = self.fleet.endpoint_by_id[host]
        _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        head = (
            "POST /apps/desk/notes HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            f"Authorization: Bearer {TOKEN}\r\nIdempotency-Key: a-key\r\n"
            "X-Note-Id: gone\r\n\r\ngone"
        )
        writer.write(head.encode())
        await eventually(lambda: self.is_run("gone"))
        writer.close()
        self.fleet.terminate(host)
        await self.end(host)
        answer = await self.note(other, "gone", "a-key")
        self.assertEqual(answer.status, 201, answer)
        self.assertEqual(await self.run_count("gone"), 1)


class BoundTest(ShutdownCase):
    PLAN = make_plan(
        {"zone-a": 2},
        engines={"zone-a": 1},
        engine={"token_ms": 100},
        settings={
            "shutdown": {"unready_ms": 100, "drain_ms": 1500},
            "limits": {"request_timeout_ms": 300_000},
        },
    )

    async def test_a_stream_without_end_does_not_hold_it_up(self):
        tasks = await self.begin_streams([self.hosts[0]], 4000)
        self.fleet.terminate(self.hosts[0])
        await self.end(self.hosts[0])
        self.assertEqual((await self.counts("lm-1"))["finished"], 0)
        [answer] = await asyncio.gather(*tasks)
        self.assertNotIn(b"[DONE]", answer.body)
        await eventually(self.is_idle)

    async def is_idle(self):
        return (await self.counts("lm-1"))["running"] == 0
