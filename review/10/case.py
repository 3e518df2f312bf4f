"""A server in trouble answers items with one-byte chunks without end."""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib_2 import deployment
from review.lib_2.deployment import HAS_TROUBLE, MODEL
from test.standins.users_server import UsersServer

TIMEOUT_MS = 800
# The rule: half a second past the route's timeout.
LATE_S = TIMEOUT_MS / 1000 + 0.5
# What clients allow beyond the route's timeout, so that the rule applies.
PATIENCE_S = 8.0
LATE_REQUESTS = 8
# The clients and stand-ins themselves must not be what is late.
MAX_LAG_MS = 400
TRAFFIC_S = 24.0
REQUESTS_PER_S = 4.0
STEP_S = 4.0
ZONES = ("szeged-a", "szeged-b", "hodmezo")
HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# Chunks of one byte each.
ENDLESS = b"1\r\nx\r\n" * 8192


class EndlessServer(UsersServer):
    """A model server whose responses to items are bytes that are no answer."""

    async def start(self, port=0):
        await super().start(port)
        self._sound_port = self._server.port
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def entry(self, state="ready", **fields):
        port = self._listener.sockets[0].getsockname()[1]
        return super().entry(state, address=f"127.0.0.1:{port}", **fields)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            lines = dict(line.split(": ", 1) for line in head.splitlines()[1:] if line)
            request_id = lines.get("request-id", "")
            self.runs.append(request_id)
            writer.write(HEAD.replace("{id}", request_id).encode())
            while True:
                writer.write(ENDLESS)
                await writer.drain()
                await asyncio.sleep(0.001)
        writer.transport.abort()

    async def close(self):
        self._listener.close()
        await super().close()


async def case(platform, record):
    first = EndlessServer if HAS_TROUBLE else UsersServer
    engines = [
        (first if number == 0 else UsersServer)(
            f"i-lm{number}", "huvo11a", {MODEL: 1}, events=13
        )
        for number in range(6)
    ]
    apps = [UsersServer(f"i-app{number}", "wuno96b") for number in range(3)]
    for engine in engines:
        engine.event_ms = 20
    for app in apps:
        app.delay_s = 0.04
    config = deployment.configuration(timeout_ms=TIMEOUT_MS)
    await platform.start(config, engines + apps, ZONES)

    unanswered = late = answered = 0
    longest_s = 0.0

    async def ask(daemon, number):
        nonlocal unanswered, late, answered, longest_s
        request_id = f"{random.getrandbits(64):016x}"
        began_s = time.monotonic()
        try:
            answer = await deployment.call(
                daemon.address,
                daemon.callers,
                "POST",
                "/lohu930/2f",
                b"fetch",
                [("Request-Id", request_id), ("Deadline-Ms", int(PATIENCE_S * 1000))],
                PATIENCE_S,
            )
            outcome = answer.status
        except (OSError, EOFError, TimeoutError) as e:
            outcome = type(e).__name__
        elapsed_s = time.monotonic() - began_s
        answered += outcome == 200
        longest_s = max(longest_s, elapsed_s)
        if elapsed_s > TIMEOUT_MS / 1000:
            unanswered += 1
            late += elapsed_s > LATE_S
        record.line(
            f"{daemon.name} request {number} {request_id}: {outcome}, {elapsed_s:.3f} s"
        )

    async def traffic():
        tasks, end_s, number = [], time.monotonic() + TRAFFIC_S, 0
        while time.monotonic() < end_s:
            daemon = platform.daemons[number % len(platform.daemons)]
            tasks.append(platform.spawn(ask(daemon, number)))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def step(number):
        job_id = f"job{number}"
        body = deployment.submission(job_id, 26, 4, number)
        daemon = platform.daemons[number % len(platform.daemons)]
        try:
            status = await deployment.submit(daemon, job_id, body)
        except (OSError, EOFError, TimeoutError) as e:
            status = type(e).__name__
        record.line(f"{daemon.name} batch job {job_id}: {status}")

    async def probe(daemon):
        """Ask for readiness each second, as the platform does."""
        while True:
            began_s = time.monotonic()
            is_ready = await daemon.is_ready(1.0)
            if not is_ready:
                record.line(f"{daemon.name} missed a readiness check")
            await asyncio.sleep(max(0, 1 - (time.monotonic() - began_s)))

    for daemon in platform.daemons:
        platform.spawn(probe(daemon))
    running = platform.spawn(traffic())
    for number in range(int(TRAFFIC_S / STEP_S)):
        platform.spawn(step(number))
        await asyncio.sleep(STEP_S)
    await running
    record.line(
        f"requests answered 200: {answered}; unanswered at {TIMEOUT_MS} ms: "
        f"{unanswered}; of these without an answer half a second later: {late}; "
        f"longest wait {longest_s:.2f} s; items sent to {engines[0].name}: "
        f"{len(engines[0].runs)}"
    )
    return not (late >= LATE_REQUESTS and late * 2 > unanswered)


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(asyncio.run(deployment.run(case, folder, max_lag_ms=MAX_LAG_MS)))
