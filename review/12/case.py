"""Streams can't be taken up after machines were replaced, one after the other."""

import asyncio
import pathlib
import re
import time

from review.lib_3.deployment import STABLE_WINDOW_S, Deployment, run
from review.lib_3.servers import SoundServer
from test import _front

# The second machine is replaced so often, as the site has spare machines.
REPLACEMENTS = 6
STREAMS = 24
EVENTS, EVENT_MS = 80, 100
BREAK_S = 1.5
TRIES = 3
RETRY_S = 0.5
LAST_ID = re.compile(rb"^id: (\d+)\ndata: .*\n\n", re.MULTILINE)


async def exchange(port, request_id, headers=""):
    """Send a request for a stream; return the status, all bytes and the time."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, b""
    head = (
        f"POST /stream/{request_id.partition('.')[0]} HTTP/1.1\r\n"
        f"host: {_front.HOST}\r\nrequest-id: {request_id}\r\n"
        f"model-name: {_front.MODEL}\r\ntoken-count: 16,400\r\ndeadline-ms: 20000\r\n"
        f"{headers}content-length: 0\r\nconnection: close\r\n\r\n"
    )
    writer.write(head.encode())
    data = b""
    try:
        while chunk := await reader.read(65536):
            data += chunk
    except OSError:
        pass
    writer.close()
    return int(data[9:12] or 0), data


def last_id(data):
    """Return the id of the last whole event, or None."""
    ids = LAST_ID.findall(re.sub(rb"\r\n[0-9a-f]+\r\n", b"", data))
    return int(ids[-1]) if ids else None


async def take_up(record, fleet, ports, request_id, port):
    """Run a stream as a client does; return whether it broke off and went on."""
    _, data = await exchange(port, request_id)
    last = last_id(data)
    if last is None or last == EVENTS - 1:
        return None
    headers = f"last-event-id: {last}\r\nresumes: {request_id}\r\n"
    statuses = []
    for n in range(TRIES):
        status, data = await exchange(
            ports[n % len(ports)], f"{request_id}.{n}", headers
        )
        statuses.append(status)
        if status == 200:
            break
        await asyncio.sleep(RETRY_S)
    goes_on = statuses[-1] == 200 and last_id(data) == EVENTS - 1
    record.add(f"{request_id} broke off after event {last}, taken up: {statuses}")
    return goes_on


async def case(record, has_trouble):
    """Return whether less than half as many streams go on as new ones begin."""
    fleet = Deployment()
    fleet.engines = [
        SoundServer(f"engine-{n}", "pool", {_front.MODEL: 1}, events=EVENTS)
        for n in range(6)
    ]
    for engine in fleet.engines:
        engine.event_ms = EVENT_MS
    fleet.configured = {
        "stream": {"timeoutMs": 20000, "attempts": 3, "targetLatencyMs": 400}
    }
    try:
        second = "front-b0"
        await fleet.start(("front-a", second))
        for n in range(1, REPLACEMENTS + 1) if has_trouble else ():
            new = f"front-b{n}"
            await fleet.add(new)
            fleet.fronts[second].kill()
            await fleet.fronts[second].wait()
            record.add(f"{new} is ready, and {second} is gone for good")
            second = new
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        ports = [fleet.ports[second][0]]
        streams = [
            asyncio.create_task(
                take_up(record, fleet, ports, f"s{n}", fleet.ports["front-a"][0])
            )
            for n in range(STREAMS)
        ]
        await asyncio.sleep(BREAK_S)
        fleet.fronts["front-a"].kill()
        record.add("front-a is killed")
        killed_s = time.monotonic()
        begun = [exchange(ports[0], f"new{n}") for n in range(STREAMS)]
        outcomes = [o for o in await asyncio.gather(*streams) if o is not None]
        new = [status for status, _ in await asyncio.gather(*begun)]
        record.add(f"all is over {time.monotonic() - killed_s:.1f} s after the kill")
        fleet.record_peaks(record)
        share = sum(outcomes) / len(outcomes)
        new_share = new.count(200) / len(new)
        record.add(
            f"{sum(outcomes)} of {len(outcomes)} streams that were taken up go on, "
            f"{new.count(200)} of {len(new)} new streams begin; 6 servers serve"
        )
        return len(outcomes) >= 12 and share < new_share / 2
    finally:
        await fleet.close()


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)
