"""Stand-in for a server of the users' platform: an application or an engine."""

import asyncio
import json
import time

from test.standins.server import Drop, Response, Server, json_response

EVENT_MS = 5
# A stalled stream sends one byte in this time, well within any idle timeout, for longer
# than a test waits.
STALL_INTERVAL_S = 0.3
STALL_BYTES = 200


class UsersServer:
    """Serves requests, runs items and accepts load orders per the users' pages.

    :param name: the server's id.
    :param service: the service that the server belongs to.
    :param models: the weight version of each model; empty for an application.
    :param events: the number of events of each item.
    :param version: the version of its software, which its events differ by.
    :ivar runs: the ids of the requests that the server started to run.
    :ivar seen: every request received, as ``(path, headers, body)``.
    :ivar seen_s: when each of them arrived, by the monotonic clock.
    :ivar refusing: whether requests are rejected with 503 and ``not-run``.
    :ivar cut_after: the number of events after which streams are cut, or None.
    :ivar stall_after: the number of events after which streams send only a byte now
        and then, or None.
    :ivar failing: the status returned for every request that runs, or None.
    :ivar orders: the accepted load orders.
    :ivar ordered_s: the times of acceptance, by the monotonic clock.
    :ivar failing_ids: the ids of the requests that always fail with 500.
    :ivar lose: whether connections are closed without a response after a run.
    :ivar limit: the requests a second that every response names as the limit, or None.
    :ivar leaving: whether every response says that the server is leaving.
    :ivar event_ms: the time from one event of an item to the next.
    :ivar delay_s: how long an application request takes.
    :ivar born: the start time in its entry.
    :ivar crash_bodies: the bodies of requests under which the server ends.
    :ivar on_crash: awaited with the server when it ends under a request.
    :ivar late_copy: the bytes of an earlier response, sent again before the next
        response; None for none.
    :ivar crashed_s: when it ended under one, by the monotonic clock, or None.
    """

    def __init__(self, name, service, models=None, events=4, version="v1"):
        self.name = name
        self.service = service
        self.models = dict(models or {})
        self.events = events
        self.version = version
        self.runs = []
        self.seen = []
        self.orders = []
        self.ordered_s = []
        self.refusing = False
        self.cut_after = None
        self.stall_after = None
        self.failing = None
        self.failing_ids = set()
        self.lose = False
        self.leaving = False
        self.limit = None
        self.seen_s = []
        self.event_ms = EVENT_MS
        self.delay_s = 0
        self.born = 1
        self.crash_bodies = set()
        self.crashed_s = None
        self.on_crash = _do_nothing
        self.late_copy = None
        self.echo = None
        self.sequence = 0
        self.accepted = 0
        self._server = None

    @property
    def port(self):
        """The port that the server listens on."""
        return self._server.port

    @property
    def connection_count(self):
        """The number of connections that hosts have not closed."""
        return self._server.connection_count

    async def start(self, port=0):
        """Start listening.

        :param port: the port; a free one by default.
        """
        self._server = Server(self.handle, "127.0.0.1", port)
        await self._server.start()

    async def close(self):
        """Stop listening and abort all connections."""
        if self._server is not None:
            await self._server.close()

    def entry(self, state="ready", **fields):
        """Return a new entry for the list of servers."""
        self.sequence += 1
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self._server.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": models,
            "seq": self.sequence,
            "born": self.born,
            **fields,
        }

    async def handle(self, request):
        """Return the response to a request."""
        response = await self._answer(request)
        response.before, self.late_copy = self.late_copy, None
        if self.leaving:
            response.headers.append(("server-leaving", "1"))
        if self.limit is not None:
            response.headers.append(("server-limit", str(self.limit)))
        return response

    async def _answer(self, request):
        self.seen_s.append(time.monotonic())
        self.seen.append((request.path, request.headers, request.body))
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            headers = [*_echo(request), ("instance-id", self.name)]
            return Response(421, headers=headers)
        if request.path == "/report":
            return json_response(
                {"models": self.entry()["models"], "busy": False, "seq": self.accepted}
            )
        if request.path == "/order":
            return self._load_order(request.json())
        if self.refusing:
            return Response(503, headers=[*_echo(request), ("not-run", "1")])
        return await self._run(request)

    def _load_order(self, order):
        if order.get("expected") not in (None, self.accepted):
            return Response(409)
        self.orders.append(order)
        self.ordered_s.append(time.monotonic())
        self.accepted += 1
        self.models[order["model"]] = order["version"]
        return Response(202)

    async def _run(self, request):
        request_id = request.headers["request-id"]
        self.runs.append(request_id)
        if request.body in self.crash_bodies:
            self.crashed_s = time.monotonic()
            await self.on_crash(self)
            await self.close()
            raise Drop
        if self.lose:
            raise Drop
        headers = [
            ("request-id", self.echo or request_id),
            ("server-stamp", f"stamp-{request_id}"),
        ]
        if self.failing is not None:
            return Response(self.failing, b"", headers)
        if request_id in self.failing_ids:
            return Response(500, b"", headers)
        if "model-name" not in request.headers:
            await asyncio.sleep(self.delay_s)
            return Response(200, b"answer to " + request.body, headers)
        version = self.models[request.headers["model-name"]]
        headers.append(("weight-versions", str(version)))
        headers.append(("content-type", "text/event-stream"))
        first = int(request.headers.get("last-event-id", "-1")) + 1
        return Response(200, self._stream(request, version, first), headers)

    async def _stream(self, request, version, first):
        request_id = request.headers["request-id"]
        for number in range(first, self.events):
            if self.cut_after is not None and number - first >= self.cut_after:
                raise Drop
            if self.stall_after is not None and number - first >= self.stall_after:
                for _ in range(STALL_BYTES):
                    yield b"d"
                    await asyncio.sleep(STALL_INTERVAL_S)
            lines = ""
            now = self.models[request.headers["model-name"]]
            if now != version:
                version = now
                lines = f"weight-versions: {now}\n"
            data = event_text(request_id, number, self.version)
            lines += f"id: {number}\ndata: {data}\n\n"
            yield lines.encode()
            await asyncio.sleep(self.event_ms / 1000)


def _echo(request):
    request_id = request.headers.get("request-id")
    return [("request-id", request_id)] if request_id else []


async def _do_nothing(server):
    pass


def event_text(request_id, number, version="v1"):
    """Return the data of one event of an item, as a software version writes it."""
    event = {"of": request_id, "number": number}
    if version != "v1":
        event["by"] = version
    return json.dumps(event)


def whole_text(request_id, events=4, version="v1"):
    """Return the complete output of an item."""
    numbers = range(events)
    return "\n".join(event_text(request_id, number, version) for number in numbers)
