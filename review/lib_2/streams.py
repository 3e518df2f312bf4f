"""Clients whose event streams break, and who take them up again."""

import asyncio
import contextlib
import json
import random
import time

from review.lib_2.deployment import HOST, MODELS
from test.standins.users_server import UsersServer

PATH = "/vemu350/5"


class Try:
    """One attempt of a client.

    :ivar began_s: when it was sent, by the monotonic clock.
    :ivar resumes: whether it takes a stream up.
    :ivar events: how many events it brought.
    """

    def __init__(self, daemon, resumes):
        self.daemon = daemon
        self.began_s = time.monotonic()
        self.resumes = resumes
        self.events = 0


class Stream:
    """A client's stream over its tries.

    :ivar versions: the software versions that wrote its events.
    :ivar tries: the :class:`Try` objects.
    """

    def __init__(self, number, deadline_s, retry_s):
        self.number = number
        self.first_id = None
        self.last_event = None
        self.versions = set()
        self.is_whole = False
        self.tries = []
        self._deadline_s = deadline_s
        self._retry_s = retry_s

    async def run(self, platform, record):
        """Take the stream up again, at another daemon, until it is whole."""
        end_s = time.monotonic() + self._deadline_s
        while not self.is_whole and time.monotonic() < end_s:
            turn = self.number + len(self.tries)
            daemon = platform.daemons[turn % len(platform.daemons)]
            request_id = f"{random.getrandbits(64):016x}"
            left_ms = max(1, int((end_s - time.monotonic()) * 1000))
            this = Try(daemon, self.last_event is not None)
            self.tries.append(this)
            outcome = await self._attempt(this, request_id, left_ms)
            record.line(
                f"stream {self.number} at {daemon.name}, {request_id}, resumes "
                f"{self.first_id if this.resumes else 'nothing'}: {outcome}; "
                f"{this.events} events, last {self.last_event}, software versions "
                f"{sorted(self.versions)}"
            )
            if not self.is_whole:
                await asyncio.sleep(self._retry_s)

    async def _attempt(self, this, request_id, left_ms):
        body = f"prompt {self.number}"
        headers = [
            ("Host", HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", left_ms),
            ("Model-Name", MODELS[0]),
            ("Token-Count", "271,400"),
            ("Content-Length", len(body)),
        ]
        if this.resumes:
            headers.append(("Last-Event-Id", self.last_event))
            headers.append(("Resumes", self.first_id))
        lines = [f"POST {PATH} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
        try:
            async with asyncio.timeout(left_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    this.daemon.address, this.daemon.callers
                )
                with contextlib.closing(writer):
                    writer.write("\r\n".join([*lines, "", body]).encode())
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    status = head.splitlines()[0]
                    if " 200 " not in status:
                        return status
                    await self._read(reader, this, request_id)
        except (OSError, EOFError, TimeoutError, ValueError) as e:
            return type(e).__name__
        self.is_whole = True
        return "whole"

    async def _read(self, reader, this, request_id):
        buffer = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            buffer += (await reader.readexactly(size + 2))[:-2]
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                fields = dict(
                    line.split(": ", 1) for line in event.decode().split("\n")
                )
                if self.first_id is None:
                    self.first_id = request_id
                this.events += 1
                self.last_event = int(fields["id"])
                self.versions.add(json.loads(fields["data"]).get("by", "v1"))


def engine(name, version, events, event_ms):
    """Return a model server of a software version."""
    models = dict.fromkeys(MODELS, 1)
    server = UsersServer(name, "huvo11a", models, events=events, version=version)
    server.event_ms = event_ms
    return server
