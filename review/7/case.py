"""A server in trouble never ends its answers to items; daemons have bounded memory."""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib_2 import deployment
from review.lib_2.deployment import HAS_TROUBLE, MODELS
from test.standins.users_server import UsersServer

# The least memory of the machines of the sheets of the first two deployments.
MEMORY_MB = 190
# The rule: on a tenth of the machines in use, two at least, three ends of processes.
MACHINES, ENDS = 2, 3
RESTART_S = 0.5
TRAFFIC_S = 75.0
STEP_S = 4.0
ZONES = ("hobart-hall", "kingston-hall", "glenorchy-hall")
HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n"
    "Content-Type: text/event-stream\r\n\r\n"
)
EVENT_BYTES = 2000
EVENTS_PER_WRITE = 20
PAUSE_S = 0.005


class EndlessServer(UsersServer):
    """A model server whose responses to items go on until the caller closes."""

    async def start(self, port=0):
        await super().start(port)
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
            number = int(lines.get("last-event-id", "-1")) + 1
            data = "x" * EVENT_BYTES
            while True:
                numbers = range(number, number + EVENTS_PER_WRITE)
                events = [f"id: {each}\ndata: {data}\n\n" for each in numbers]
                writer.write("".join(events).encode())
                number += EVENTS_PER_WRITE
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
        writer.transport.abort()

    async def close(self):
        self._listener.close()
        await super().close()


async def case(platform, record):
    first = EndlessServer if HAS_TROUBLE else UsersServer
    engines = [
        (first if number == 0 else UsersServer)(
            f"i-lm{number}", "huvo11a", dict.fromkeys(MODELS, 1), events=16
        )
        for number in range(6)
    ]
    for engine in engines:
        engine.event_ms = 20
    config = deployment.configuration()
    await platform.start(config, engines, ZONES, MEMORY_MB)
    ends = {daemon.name: 0 for daemon in platform.daemons}

    async def watch(daemon):
        """End a process that exceeds its memory, and start it again."""
        while True:
            used_mb = daemon.memory_bytes() / 1e6
            if used_mb > MEMORY_MB:
                ends[daemon.name] += 1
                record.line(f"{daemon.name} used {used_mb:.0f} MB and is ended")
                daemon.end()
                await asyncio.sleep(RESTART_S)
                daemon.start()
            await asyncio.sleep(0.02)

    async def report():
        while True:
            used = [
                f"{d.name} {d.memory_bytes() / 1e6:.0f} MB" for d in platform.daemons
            ]
            record.line(", ".join(used))
            await asyncio.sleep(2)

    async def step(number, trainer):
        """Submit a step at a daemon of the trainer's zone, else at another one."""
        job_id = f"job{number}-{trainer}"
        body = deployment.submission(job_id, 4, 8, number, MODELS[trainer])
        for daemon in platform.daemons[trainer:] + platform.daemons[:trainer]:
            try:
                status = await deployment.submit(daemon, job_id, body, 5)
            except (OSError, EOFError, TimeoutError) as e:
                status = type(e).__name__
            record.line(f"{daemon.name} batch job {job_id}: {status}")
            if status == 202:
                return

    for daemon in platform.daemons:
        platform.spawn(watch(daemon))
    platform.spawn(report())
    end_s, number = time.monotonic() + TRAFFIC_S, 0
    while time.monotonic() < end_s:
        for trainer in range(len(MODELS)):
            platform.spawn(step(number, trainer))
        number += 1
        await asyncio.sleep(STEP_S)
        if sum(count >= ENDS for count in ends.values()) >= MACHINES:
            break
    record.line(f"ends by memory: {ends}; items at i-lm0: {len(engines[0].runs)}")
    return sum(count >= ENDS for count in ends.values()) < MACHINES


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(asyncio.run(deployment.run(case, folder)))
