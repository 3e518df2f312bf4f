"""Bad input is rejected with a clear error, is counted and crashes no daemon."""

import asyncio
import contextlib
import json
import random
import re
import unittest

import zmq
import zmq.asyncio

from test import _common
from test.fleet import AccountPlan, Fleet, Plan, PoolPlan, http_get

SEED = 20
BAD_INPUTS = 40
TOKEN = "desk-token"
PLAN = Plan(
    hosts_by_zone={"zone-a": 1},
    pools=(PoolPlan("desk", "application", {"zone-a": 1}),),
    accounts=(
        AccountPlan("clerks", "application", TOKEN, ("desk",)),
        AccountPlan("others", "application", "other-token", ()),
    ),
    settings={
        "configuration": {"poll_ms": 100, "lease_ms": 1000, "lease_margin_ms": 100},
        "limits": {"max_body_bytes": 10_000, "max_header_bytes": 4096},
        "tracing": {"exporter": "console"},
    },
)


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(PLAN)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.host = self.fleet.hosts[0]

    async def send(self, data):
        """Send raw bytes and return the response bytes."""
        reader, writer = await asyncio.open_connection(
            self.host.address, self.host.port
        )
        try:
            writer.write(data)
            async with asyncio.timeout(_common.EVENT_TIMEOUT_S):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def ask(self, path, method="GET", token=TOKEN, headers="", body=b""):
        """Send one request and return the status and the decoded body."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Authorization: Bearer {token}\r\nContent-Length: {len(body)}\r\n"
            f"{headers}\r\n"
        )
        self.answer = await self.send(head.encode() + body)
        status = int(self.answer.split(b" ", 2)[1])
        text = self.answer.partition(b"\r\n\r\n")[2]
        with contextlib.suppress(ValueError):
            return status, json.loads(text)
        return status, text

    async def bad_input_count(self):
        _, page = await http_get(f"{self.host.url}/metrics")
        lines = page.decode().splitlines()
        return sum(
            float(line.split()[-1])
            for line in lines
            if line.startswith("goldcrestmoor_bad_input_total")
        )

    async def assert_serving(self):
        status, answer = await self.ask("/apps/desk/panel")
        self.assertEqual((status, answer["panel"]), (200, "/panel?"))
        self.assertTrue(self.fleet.process_by_id[self.host.id].alive())

    async def test_each_fault_has_its_kind(self):
        large = b"x" * 10_001
        for code, status, arguments in (
            ("unauthorized", 401, {"path": "/apps/desk/p", "token": "wrong"}),
            ("forbidden", 403, {"path": "/apps/desk/p", "token": "other-token"}),
            ("too_large", 413, {"path": "/apps/desk/p", "method": "POST"}),
            ("bad_request", 400, {"path": "/v1/completions", "method": "POST"}),
            ("not_found", 404, {"path": "/nothing"}),
        ):
            with self.subTest(code):
                body = large if code == "too_large" else b'{"model":'
                got, answer = await self.ask(body=body, **arguments)
                self.assertEqual((got, answer["code"]), (status, code))
                self.assertEqual(answer["ran"], "not run")
        await self.assert_serving()

    async def test_garbage_is_counted_and_harms_nothing(self):
        rng = random.Random(SEED)
        before = await self.bad_input_count()
        for number in range(BAD_INPUTS):
            garbage = rng.randbytes(rng.randrange(1, 300))
            start = b"POST /v1/steps HTTP/1.1\r\n" if number % 2 else b""
            # The NUL byte is invalid in a request head, so each input is malformed.
            await self.send(start + garbage + b"\0\r\n\r\n")
        await self.send(b"GET / HTTP/1.1\r\nX: " + b"y" * 10_000 + b"\r\n\r\n")
        self.assertGreater(await self.bad_input_count(), before)
        await self.assert_serving()

    async def test_a_peer_with_the_key_and_malformed_frames_is_counted(self):
        rng = random.Random(SEED)
        context = zmq.asyncio.Context()
        socket = context.socket(zmq.DEALER)
        socket.linger = 0
        socket.curve_serverkey = _common.FLEET_PUBLIC_KEY.encode()
        socket.curve_publickey = _common.FLEET_PUBLIC_KEY.encode()
        socket.curve_secretkey = _common.FLEET_SECRET_KEY.encode()
        socket.connect(f"tcp://{self.host.address}:{self.host.peer_port}")
        try:
            before = await self.bad_input_count()
            for _ in range(BAD_INPUTS):
                frames = [rng.randbytes(rng.randrange(40)) for _ in range(6)]
                await socket.send_multipart(frames[: rng.randrange(1, 7)])

            async def counted():
                return await self.bad_input_count() > before

            await _common.eventually(counted)
        finally:
            context.destroy(linger=0)
        await self.assert_serving()

    async def test_the_trace_has_a_span_for_each_hop_and_reaches_the_upstream(self):
        trace = "0af7651916cd43dd8448eb211c80319c"
        header = f"traceparent: 00-{trace}-b7ad6b7169203331-01\r\n"
        await self.ask("/apps/desk/panel", headers=header)
        seen = re.search(rb"x-seen-traceparent: 00-(\w+)-(\w+)", self.answer, re.I)
        self.assertEqual(seen[1].decode(), trace)
        self.assertNotEqual(seen[2], b"b7ad6b7169203331")
        log = self.fleet.process_by_id[self.host.id].log()
        for hop in ("GET /apps", "app request"):
            self.assertRegex(log, rf'"name": "{hop}",\s+"context": {{\s+.*{trace}')
