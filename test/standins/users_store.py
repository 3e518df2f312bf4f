"""In-memory stand-in for the users' metadata store, per the users' pages."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote

from test.standins.server import Drop, Response, Server, json_response

PAGE_ROWS = 500
TX_MS = 5
LATE_MS = 300
# A part whose backlog exceeds this rejects transactions.
MOST_WAITING_MS = 1000


class UsersStore:
    """Rows with one version counter, change feeds with a history, and objects.

    :ivar object_ms: the latency of an object call.
    :ivar cut: the names of the gates that are partitioned from the store.
    :ivar turned_away: the names of the gates that reject calls with 503.
    :ivar tx_ms: the duration of a transaction; a part runs one at a time.
    :ivar read_ms: the latency of a read.
    :ivar refused: the number of transactions rejected with 429.
    :ivar silent_parts: a function that returns whether a part is unresponsive.
    :ivar mode: ``""`` to serve, ``busy`` to reject calls with 503,
        ``reset`` to close connections.
    :ivar lost_answers: how many of the next writes are applied without a response.
    :ivar late_writes: how many of the next writes are applied only after a delay,
        without a response.
    """

    def __init__(self):
        self.row_by_place = {}
        self.objects = {}
        self.history = []
        self.version = 0
        self.mode = ""
        self.lost_answers = 0
        self.late_writes = 0
        self.calls = []
        self.forgotten = 0
        self.object_ms = 25
        self.tx_ms = TX_MS
        self.read_ms = 0
        self.refused = 0
        self.silent_parts = lambda part: False
        self._free_at_by_part = {}
        self._changed = asyncio.Event()
        self._server = Server(self.handle, "127.0.0.1", 0)
        self._gates = []
        self._late_tasks = set()
        self.cut = set()
        self.turned_away = set()
        # What changes the rows of a response at a gate, by the gate's name.
        self.rewrite_by_gate = {}

    @property
    def port(self):
        """The port that the store listens on."""
        return self._server.port

    async def start(self):
        """Start listening."""
        await self._server.start()

    async def gate(self, name):
        """Listen on another port; its calls hang while the name is in ``cut``."""

        async def handle_at_gate(request):
            if name in self.turned_away:
                return Response(503)
            if name in self.cut:
                await asyncio.sleep(60)
            response = await self.handle(request)
            if name in self.cut:
                await asyncio.sleep(60)
            rewrite = self.rewrite_by_gate.get(name)
            return response if rewrite is None else rewrite(response)

        server = Server(handle_at_gate, "127.0.0.1", 0)
        await server.start()
        self._gates.append(server)
        return server.port

    async def close(self):
        """Stop listening and abort all connections."""
        for server in self._gates:
            await server.close()
        for task in self._late_tasks:
            task.cancel()
        await self._server.close()

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a server would.

        :param value: JSON data, or bytes that are written unchanged.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self._write(table, part, key, base64.b64encode(data).decode())

    def remove(self, table, key, part=""):
        """Remove a row."""
        self.version += 1
        self._write(table, part, key, None)

    def value(self, table, key, part=""):
        """Return a row's decoded JSON, or None."""
        row = self.row_by_place.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def forget_history(self):
        """Drop the history; reply 410 to feeds that start before this point."""
        self.forgotten = self.version
        self.history.clear()
        self._wake()

    async def handle(self, request):
        """Return the response to a call."""
        self.calls.append((request.method, request.path, request.query))
        if self.mode == "busy":
            return Response(503)
        if self.mode == "reset":
            raise Drop
        query = {name: v[-1] for name, v in parse_qs(request.query).items()}
        kind, _, name = request.path[1:].partition("/")
        # Feeds and part lists do not belong to a part.
        parts = {query["part"]} if "part" in query else set()
        if kind == "rows-tx":
            body = request.json()
            entries = body["expected"] + body["setKeys"] + body["remove"]
            parts = {entry["part"] for entry in entries}
        if any(self.silent_parts(part) for part in parts):
            await asyncio.sleep(60)
        if kind == "rows-tx" and not await self._wait_for_turn(min(parts, default="")):
            self.refused += 1
            return Response(429)
        if kind.startswith("rows-") and kind != "rows-tx":
            await asyncio.sleep(self.read_ms / 1000)
        if kind.startswith("blob-"):
            await asyncio.sleep(self.object_ms / 1000)
        match kind:
            case "rows-get":
                return self._get(query)
            case "rows-parts":
                return self._parts(query)
            case "rows-feed":
                return await self._feed(query)
            case "rows-tx":
                return await self._write_call(lambda: self._transact(request.json()))
            case "blob-put":
                return await self._write_call(
                    lambda: self._put_object(unquote(name), request)
                )
            case "blob-get":
                data = self.objects.get(unquote(name))
                return Response(404) if data is None else Response(200, data)
            case "blob-drop":
                self.objects.pop(unquote(name), None)
                return Response(200)
        return Response(404)

    async def _wait_for_turn(self, part):
        """Wait for a part's earlier transactions; return False if its queue is full."""
        now = time.monotonic()
        free_at = max(now, self._free_at_by_part.get(part, now))
        if (free_at - now) * 1000 > MOST_WAITING_MS:
            return False
        self._free_at_by_part[part] = free_at + self.tx_ms / 1000
        await asyncio.sleep(self._free_at_by_part[part] - now)
        return True

    async def _write_call(self, write):
        if self.late_writes:
            self.late_writes -= 1
            self._late_tasks.add(asyncio.create_task(self._write_late(write)))
            raise Drop
        response = write()
        if self.lost_answers:
            self.lost_answers -= 1
            raise Drop
        return response

    async def _write_late(self, write):
        await asyncio.sleep(LATE_MS / 1000)
        write()

    def _put_object(self, name, request):
        if name in self.objects and request.headers.get("if-none-match") == "*":
            return Response(412)
        self.objects[name] = request.body
        return Response(200)

    def _transact(self, body):
        entries = body["expected"] + body["setKeys"] + body["remove"]
        if len({entry["part"] for entry in entries}) > 1 or len(entries) > 100:
            return Response(400)
        failed = False
        for entry in body["expected"]:
            row = self.row_by_place.get(_place(entry))
            failed = failed or (row["ver"] if row else 0) != entry["ver"]
        if failed:
            rows = [self.row_by_place.get(_place(e)) for e in body["expected"]]
            return self._reply([row for row in rows if row], status=412)
        self.version += 1
        for entry in body["setKeys"]:
            self._write(entry["table"], entry["part"], entry["key"], entry["value"])
        for entry in body["remove"]:
            self._write(entry["table"], entry["part"], entry["key"], None)
        return self._reply([])

    def _write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.row_by_place.pop((table, part, key), None)
            row["deleted"] = True
        else:
            row["value"] = value
            self.row_by_place[table, part, key] = row
        self.history.append(row)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, query):
        rows = [
            row
            for (table, part, key), row in sorted(self.row_by_place.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        return self._reply(rows[:limit], hasMore=len(rows) > limit)

    def _parts(self, query):
        parts = {p for table, p, _ in self.row_by_place if table == query["table"]}
        after = query.get("after")
        found = sorted(p for p in parts if after is None or p > after)
        return json_response({"parts": found})

    async def _feed(self, query):
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.forgotten:
                return Response(410)
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["ver"] > after
            ]
            remaining_s = deadline_s - time.monotonic()
            if rows or remaining_s <= 0:
                return self._reply(rows)
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _reply(self, rows, status=200, **fields):
        now_ms = time.monotonic_ns() // 1_000_000
        body = {"rows": rows, "ver": self.version, "nowMs": now_ms, **fields}
        return json_response(body, status)


def _place(entry):
    return entry["table"], entry["part"], entry["key"]
