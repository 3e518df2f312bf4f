"""A late second copy of a refusal is taken for the refusal of the next request."""

import asyncio
import pathlib

from review.lib import http
from review.lib.deployment import (
    HOSTNAME,
    CannotRunError,
    Deployment,
    configuration,
    main,
    route,
    trouble,
)
from test.standins.users_store import UsersStore

SLOTS = 2
QUEUE = 1
WORK_S = 0.03
# The requests that fill all slots and queues for a moment.
FILL_S = 0.4
ROUNDS = 2
# The site's largest dose: x = 0.03 of the answers of a share of 0.6 of the servers.
ANSWERS_PER_COPY = 34


class DeskServer:
    """An application server, of which one may send a second copy of an answer.

    :ivar runs: the ids of the requests that it began to work on, in order.
    """

    def __init__(self, name, record, is_faulty):
        self.name = name
        self.runs = []
        self.answers = 0
        self.copies = 0
        self._record = record
        self._is_faulty = is_faulty
        self._slots = asyncio.Semaphore(SLOTS)
        self._held = 0
        self._seq = 0
        self._server = http.Server(self._handle)
        self.start = self._server.start
        self.close = self._server.close

    def entry(self):
        """Return the entry for the list of servers."""
        self._seq += 1
        return {
            "service": "fit-desk",
            "address": f"127.0.0.1:{self._server.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
        }

    async def _handle(self, request, writer, state):
        request_id = request.headers.get("request-id", "")
        if "copy" in state:
            # The extra response arrives where the next one is expected.
            copied_id, data = state.pop("copy")
            self.copies += 1
            self._record(
                f"{self.name} sends its answer to {copied_id} a second time, on the "
                f"connection that {request_id} has just come on"
            )
            writer.write(data)
            await writer.drain()
        if request.headers.get("expect-instance") not in (None, self.name):
            writer.write(
                http.encode(
                    "HTTP/1.1 421 Misdirected Request",
                    [("Request-Id", request_id), ("Instance-Id", self.name)],
                )
            )
            return True
        self.answers += 1
        if self._held >= SLOTS + QUEUE:
            data = http.encode(
                "HTTP/1.1 503 Service Unavailable",
                [("Request-Id", request_id), ("Not-Run", "1")],
            )
            self._record(f"{self.name} is full and refuses {request_id}: 503 Not-Run")
            writer.write(data)
            is_due = self.answers >= ANSWERS_PER_COPY * (self.copies + 1)
            if self._is_faulty and is_due:
                state["copy"] = request_id, data
            return True
        self._held += 1
        try:
            async with self._slots:
                self.runs.append(request_id)
                if not request_id.startswith("warm"):
                    self._record(f"{self.name} begins to run {request_id}")
                work_s = float(request.headers.get("work-s", WORK_S))
                await asyncio.sleep(work_s)
                body = b"noted " + request.body
                headers = [
                    ("Request-Id", request_id),
                    ("Server-Stamp", f"{self.name}.{request_id}"),
                ]
                writer.write(http.encode("HTTP/1.1 200 OK", headers, body))
        finally:
            self._held -= 1
        return True


def case(record):
    servers = [
        DeskServer("i-desk-1", record, is_faulty=trouble()),
        DeskServer("i-desk-2", record, is_faulty=False),
    ]
    routes = [
        route("view", "/view/", "safe", "fit-desk", timeoutMs=3000),
        route("note", "/note/", "unsafe", "fit-desk", timeoutMs=3000),
    ]
    services = [{"name": "fit-desk", "healthPath": "/health", "maxConns": 110}]
    deployment = Deployment(
        UsersStore(),
        servers,
        configuration(routes, services),
        {"front-a": "zone-a", "front-b": "zone-b"},
    )
    return deployment, play(record, deployment, servers)


async def play(record, deployment, servers):
    statuses = {}

    async def send(host, kind, request_id, work_s=WORK_S):
        """Send one client attempt on a new connection."""
        port = deployment.host_by_name[host].port
        connection = await http.Connection.open("127.0.0.1", port)
        headers = [
            ("Host", HOSTNAME),
            ("Request-Id", request_id),
            ("Deadline-Ms", 2000),
            ("Work-S", work_s),
        ]
        target = f"/{kind}/{request_id}"
        answer = await connection.exchange("POST", target, headers, b"x")
        connection.close()
        status = answer.status if answer is not None and answer.is_whole else None
        statuses[request_id] = status
        if not request_id.startswith("warm"):
            text = status or "no whole answer"
            record(f"client: {kind} {request_id} at {host}: {text}")
        return status

    for number in range(ROUNDS):
        # Ordinary traffic, so that the faulty answers stay a small share.
        for n in range(0, 120, 4):
            hosts = ("front-a", "front-b")
            ids = [f"warm{number}-{n + k}" for k in range(4)]
            await asyncio.gather(
                *(send(hosts[k % 2], "view", i) for k, i in enumerate(ids))
            )
        # A short burst at one host fills the servers; the other host meets full ones.
        fill = [
            asyncio.create_task(send("front-b", "view", f"fill{number}-{n}", FILL_S))
            for n in range(2 * (SLOTS + QUEUE))
        ]
        await asyncio.sleep(FILL_S / 4)
        await send("front-a", "note", f"refused{number}")
        await asyncio.sleep(FILL_S * 0.8)
        await asyncio.gather(
            *(send("front-a", "note", f"note{number}-{n}") for n in range(2))
        )
        await asyncio.gather(*fill)
    record(
        "answers (second copies) by server: "
        + ", ".join(f"{s.name} {s.answers} ({s.copies})" for s in servers)
    )
    if trouble() and not servers[0].copies:
        raise CannotRunError("no second copy was sent")
    return list(check(statuses, servers))


def check(statuses, servers):
    """Yield the broken rules: TWICE and REFUSED of requests that aren't idempotent."""
    runs = [request_id for server in servers for request_id in server.runs]
    for request_id, status in statuses.items():
        if not request_id.startswith(("note", "refused")):
            continue
        count = runs.count(request_id)
        if count > 1:
            yield f"TWICE: {request_id} is not idempotent and ran {count} times"
        if status in (429, 503, 408, 421) and count:
            yield f"REFUSED: {request_id} was answered {status} and ran"


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent)
