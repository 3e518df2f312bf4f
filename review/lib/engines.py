"""Stand-in for a model server: runs items and streams, and takes load orders."""

import asyncio
import json

from review.lib import http

QUEUE = 36


class Engine:
    """A model server per the platform's pages, with slots, a queue and resumption.

    :param name: its id.
    :param service: the service that it belongs to.
    :param record: the case's record.
    :param text_of: returns the data of all events of a request, by its id.
    :param event_s: the time from one event to the next.
    :ivar runs: ``(id, seconds)`` of each request that it began to run.
    :ivar is_listed: whether it writes its entry.
    """

    def __init__(
        self,
        name,
        service,
        record,
        *,
        text_of,
        event_s=0.02,
        slots=12,
        software_version="v1",
    ):
        self.name = name
        self.runs = []
        self.is_listed = True
        self.event_s = event_s
        self.versions = {"m0": 1}
        self.on_run = None
        self._service = service
        self._record = record
        self._text_of = text_of
        self._slots = slots
        self._software_version = software_version
        self._semaphore = asyncio.Semaphore(slots)
        self._held = 0
        self._seq = 0
        self._accepted = 0
        self._server = http.Server(self._handle)
        self.start = self._server.start
        self.close = self._server.close

    def entry(self):
        """Return the entry for the list of servers, or None for no beat."""
        if not self.is_listed:
            return None
        self._seq += 1
        return {
            "service": self._service,
            "address": f"127.0.0.1:{self._server.port}",
            "zone": "zone-a",
            "version": self._software_version,
            "slots": self._slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "both",
            "models": self._models(),
            "seq": self._seq,
        }

    def _models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def _handle(self, request, writer, state):
        method, target, _ = request.start
        request_id = request.headers.get("request-id", "")
        echo = [("Request-Id", request_id)] if request_id else []
        if request.headers.get("expect-instance") not in (None, self.name):
            _answer(writer, "421 Misdirected Request", [*echo, self._instance()])
        elif target == "/health":
            _answer(writer, "200 OK", [self._instance()])
        elif target == "/report":
            self._report(writer)
        elif target == "/order":
            self._order(json.loads(request.body), writer)
        elif self._held >= self._slots + QUEUE:
            _answer(writer, "503 Service Unavailable", [*echo, ("Not-Run", "1")])
        else:
            await self._run(request, writer, request_id)
        return True

    def _instance(self):
        return ("Instance-Id", self.name)

    def _report(self, writer):
        report = {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "seq": self._accepted,
            "waiting": max(0, self._held - self._slots),
            "running": min(self._held, self._slots),
            "kvUsed": 1000,
            "kvTotal": 40000,
            "handles": 0,
        }
        _answer(writer, "200 OK", [], json.dumps(report).encode())

    def _order(self, order, writer):
        if order.get("expected") not in (None, self._accepted):
            _answer(writer, "409 Conflict", [])
            return
        self._accepted += 1
        self.versions[order["model"]] = order["version"]
        _answer(writer, "202 Accepted", [])

    async def _run(self, request, writer, request_id):
        self._held += 1
        try:
            async with self._semaphore:
                self.runs.append((request_id, self._record.now_s()))
                if self.on_run is not None:
                    self.on_run(request_id)
                await self._stream(request, writer, request_id)
        finally:
            self._held -= 1

    async def _stream(self, request, writer, request_id):
        model = request.headers.get("model-name", "m0")
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Server-Stamp: {self.name}.{request_id}",
            f"Weight-Versions: {self.versions[model]}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0"))
        for number, data in enumerate(self._text_of(request_id), 1):
            if number <= first:
                continue
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def _answer(writer, status, headers, body=b""):
    if body:
        headers = [*headers, ("Content-Type", "application/json")]
    writer.write(http.encode(f"HTTP/1.1 {status}", headers, body))
