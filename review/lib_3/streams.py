"""Clients that read a resumable stream, and take it up when it breaks off."""

import asyncio
import re

from test import _front

OLD, NEW = "v1", "v2"
EVENT_MS = 100
TRIES = 3
RETRY_S = 0.5
_EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n\n")
_CHUNK_HEAD = re.compile(rb"\r\n[0-9a-f]+\r\n")


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
    events = _EVENT.findall(_CHUNK_HEAD.sub(b"", data))
    return int(data[9:12] or 0), events


def version_of(data):
    """Return the software version of the server that made an event."""
    return NEW if b'"by": "v2"' in data else OLD


async def read_stream(record, request_id, port, other_ports, count):
    """Run a stream as a client does; return the software versions of its events.

    :param port: where it begins.
    :param other_ports: where it is taken up, in turns.
    :param count: the number of its events.
    """
    status, events = await exchange(port, request_id)
    statuses, n = [status], 0
    while events and int(events[-1][0]) < count - 1 and n < TRIES:
        last = int(events[-1][0])
        headers = f"last-event-id: {last}\r\nresumes: {request_id}\r\n"
        other = other_ports[n % len(other_ports)]
        status, more = await exchange(other, f"{request_id}.{n}", headers)
        statuses.append(status)
        events += more
        n += 1
        if status != 200:
            await asyncio.sleep(RETRY_S)
    versions = [version_of(data) for _, data in events]
    record.add(
        f"{request_id} answered {statuses}: {versions.count(OLD)} events of {OLD}, "
        f"{versions.count(NEW)} of {NEW}"
    )
    return set(versions)
