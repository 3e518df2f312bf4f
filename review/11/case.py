"""Streams go on at older software after their machine was cut off and lost."""

import asyncio
import pathlib
import re

from review.lib_3.deployment import Deployment, run
from test import _front
from test.standins.users_server import UsersServer

LOST, REST = "front-a", ("front-b", "front-c")
ZONES = {"front-a": "zone-a", "front-b": "zone-b", "front-c": "zone-c"}
STREAMS = 16
EVENTS, EVENT_MS = 60, 100
OLD, NEW = "v1", "v2"
# From the cut to the streams, and from these to the loss of the machine.
CUT_S, LOSS_S = 0.5, 1.5
TRIES = 3
RETRY_S = 0.5
EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n\n")


async def exchange(port, request_id, headers=""):
    """Send a request for a stream; return the status and its whole events."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, []
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
    events = EVENT.findall(re.sub(rb"\r\n[0-9a-f]+\r\n", b"", data))
    return int(data[9:12] or 0), events


def version_of(data):
    """Return the software version of the server that made an event."""
    return NEW if b'"by": "v2"' in data else OLD


async def read_stream(record, fleet, ports, request_id):
    """Run a stream as a client does; return the versions of its events, in order."""
    status, events = await exchange(fleet.ports[LOST][0], request_id)
    versions = [version_of(data) for _, data in events]
    statuses = [status]
    n = 0
    while events and int(events[-1][0]) < EVENTS - 1 and n < TRIES:
        headers = f"last-event-id: {int(events[-1][0])}\r\nresumes: {request_id}\r\n"
        port = ports[n % len(ports)]
        status, more = await exchange(port, f"{request_id}.{n}", headers)
        statuses.append(status)
        versions += [version_of(data) for _, data in more]
        events += more
        n += 1
        if status != 200:
            await asyncio.sleep(RETRY_S)
    record.add(
        f"{request_id} answered {statuses}: {versions.count(OLD)} events of {OLD}, "
        f"{versions.count(NEW)} of {NEW}"
    )
    return set(versions)


async def case(record, has_trouble):
    """Return whether more than two streams hold events of both software versions."""
    fleet = Deployment()
    fleet.engines = [
        UsersServer(f"engine-{n}", "pool", {_front.MODEL: 1}, EVENTS) for n in "01"
    ]
    for engine in fleet.engines:
        engine.event_ms = EVENT_MS
    newer = fleet.engines[1]
    newer.version = NEW
    fleet.silent.add(newer.name)
    fleet.configured = {
        "stream": {"timeoutMs": 20000, "attempts": 3, "targetLatencyMs": 400}
    }
    names = (LOST, *REST)
    try:
        links = await fleet.link_daemons(names)
        await fleet.start(names, ZONES)
        await asyncio.sleep(2)
        fleet.silent.discard(newer.name)
        fleet.store.put("servers", newer.name, newer.entry())
        record.add(f"{newer.name} of software {NEW} is listed beside {OLD}")
        await asyncio.sleep(3)
        if has_trouble:
            for pair, link in links.items():
                if LOST in pair:
                    link.silence()
            record.add(f"{LOST} is cut off from the other machines")
        await asyncio.sleep(CUT_S)
        ports = [fleet.ports[name][0] for name in REST]
        streams = [
            asyncio.create_task(read_stream(record, fleet, ports, f"s{n}"))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(LOSS_S)
        fleet.fronts[LOST].kill()
        record.add(f"{LOST} is lost")
        mixed = sum(len(versions) > 1 for versions in await asyncio.gather(*streams))
        record.add(f"{mixed} streams hold events of both versions; two are allowed")
        return mixed > 2
    finally:
        await fleet.close()


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)
