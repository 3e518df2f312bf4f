"""Stand-in for the platform: tables, objects, host list and weight store.

It runs as ``python -m test.standins.platform '{"address": ..., "port": ...}'``.
Optional keys are ``control_port``, ``hosts`` (a list of entries), ``host_lag_ms``,
``weights`` (``{model: [version, ...]}``) and ``weight_reads_per_s``.

Tests control it by ``POST /control/...`` on its port and on ``control_port``, which
stays up in an outage of mode ``refuse``. Without a ``control_port`` such an outage
closes the connection of each request without a response instead.
"""

import asyncio
import collections
import hashlib
import json
import sys
import time
from urllib.parse import parse_qs, unquote

from test.standins.server import Drop, Response, Server, json_response

MS_PER_SECOND = 1000
REFUSE = "refuse"
HANG = "hang"


class Row:
    """A table row; a deleted row keeps its version, so that no version is reused."""

    __slots__ = ("version", "value")

    def __init__(self):
        self.version = 0
        self.value = None

    def to_json(self, key):
        return {"key": key, "version": self.version, "value": self.value}


class Platform:
    """The platform's state and request handlers."""

    __slots__ = (
        "rows_by_table",
        "objects",
        "listed",
        "listed_next",
        "host_lag_ms",
        "has_tags",
        "weights",
        "weight_reads_per_s",
        "weight_read_times",
        "outage",
        "latency_ms",
        "lost_answers",
        "lost_reads",
        "counts",
        "data_server",
        "can_refuse",
        "_outage_ended",
    )

    def __init__(self, options):
        self.rows_by_table = collections.defaultdict(dict)
        self.objects = {}
        self.listed = options.get("hosts", [])
        self.listed_next = None
        self.host_lag_ms = options.get("host_lag_ms", 0)
        self.has_tags = options.get("has_tags", True)
        self.weights = options.get("weights", {})
        self.weight_reads_per_s = options.get("weight_reads_per_s", 0)
        self.weight_read_times = collections.deque()
        self.outage = ""
        self.latency_ms = options.get("latency_ms", 0)
        self.lost_answers = 0
        self.lost_reads = 0
        self.counts = collections.Counter()
        self.data_server = None
        self.can_refuse = bool(options.get("control_port"))
        self._outage_ended = asyncio.Event()

    async def handle(self, request):
        """Return the response to a request."""
        parts = [unquote(part) for part in request.path.split("/")[1:]]
        if parts[0] == "control":
            return await self._control(parts[1], request)
        if self.latency_ms:
            await asyncio.sleep(self.latency_ms / MS_PER_SECOND)
        await self._apply_outage()
        match request.method, parts:
            case "GET", ["tables", table, key]:
                return self._count("reads", self._get(table, key))
            case "GET", ["tables", table]:
                query = parse_qs(request.query, keep_blank_values=True)
                prefix = query.get("prefix", [""])[0]
                return self._count("reads", self._scan(table, prefix))
            case "POST", ["transactions"]:
                return self._count("writes", self._transact(request.json()))
            case "PUT", ["objects", key]:
                self.objects[key] = request.body
                return self._count("writes", json_response({}))
            case "DELETE", ["objects", key]:
                found = self.objects.pop(key, None) is not None
                return self._count("writes", json_response({}, 200 if found else 404))
            case "GET", ["objects", key]:
                return self._count("reads", self._get_object(key))
            case "GET", ["hosts"]:
                return self._count("host_reads", self._hosts(request))
            case "GET", ["weights", model, version]:
                return self._count("weight_reads", self._weight(model, int(version)))
        return Response(404)

    async def _apply_outage(self):
        if self.outage == HANG:
            await self._outage_ended.wait()
            raise Drop
        if self.outage == REFUSE:
            raise Drop

    def _count(self, kind, response):
        self.counts[kind] += 1
        if kind == "writes" and self.lost_answers:
            self.lost_answers -= 1
            raise Drop
        if kind == "reads" and self.lost_reads:
            self.lost_reads -= 1
            raise Drop
        return response

    def _get(self, table, key):
        row = self.rows_by_table[table].get(key)
        if row is None or row.value is None:
            return Response(404)
        return json_response(row.to_json(key))

    def _scan(self, table, prefix):
        rows = sorted(self.rows_by_table[table].items())
        return json_response(
            {
                "rows": [
                    row.to_json(key)
                    for key, row in rows
                    if key.startswith(prefix) and row.value is not None
                ]
            }
        )

    def _transact(self, transaction):
        for check in transaction["checks"]:
            table, key = check["table"], check["key"]
            row = self.rows_by_table[table].get(key)
            exists = row is not None and row.value is not None
            if check["version"] != (row.version if exists else 0):
                self.counts["conflicts"] += 1
                found = row.to_json(key) if exists else None
                return json_response({"table": table, "key": key, "row": found}, 409)
        versions = {}
        for write in transaction["writes"]:
            table, key = write["table"], write["key"]
            row = self.rows_by_table[table].setdefault(key, Row())
            row.version += 1
            row.value = write["value"]
            versions[f"{table}/{key}"] = row.version
        return json_response({"versions": versions})

    def _get_object(self, key):
        if key not in self.objects:
            return Response(404)
        return Response(200, self.objects[key])

    def _hosts(self, request):
        if self.listed_next is not None and time.monotonic() >= self.listed_next[0]:
            self.listed, self.listed_next = self.listed_next[1], None
        response = json_response({"hosts": self.listed})
        if not self.has_tags:
            return response
        tag = hashlib.sha256(response.body).hexdigest()
        if request.headers.get("if-none-match") == tag:
            return Response(304, headers=[("etag", tag)])
        response.headers.append(("etag", tag))
        return response

    def _weight(self, model, version):
        now = time.monotonic()
        while self.weight_read_times and self.weight_read_times[0] <= now - 1:
            self.weight_read_times.popleft()
        max_reads = self.weight_reads_per_s
        if max_reads and len(self.weight_read_times) >= max_reads:
            self.counts["weight_refusals"] += 1
            return Response(429, headers=[("retry-after", "1")])
        self.weight_read_times.append(now)
        found = version in self.weights.get(model, ())
        return json_response({}, 200 if found else 404)

    async def _control(self, name, request):
        body = request.json() if request.body else {}
        match name:
            case "stats":
                return json_response(dict(self.counts))
            case "outage":
                await self._set_outage(body.get("mode", REFUSE) if body["on"] else "")
            case "lose_answers":
                self.lost_answers = body["count"]
            case "lose_reads":
                self.lost_reads = body["count"]
            case "latency":
                self.latency_ms = body["ms"]
            case "hosts":
                at = time.monotonic() + self.host_lag_ms / MS_PER_SECOND
                self.listed_next = (at, body["hosts"])
            case "weights":
                self.weights.update(body.get("weights", {}))
                self.weight_reads_per_s = body.get("reads_per_s", 0)
            case _:
                return Response(404)
        return json_response({})

    def abort_waiting(self):
        """Close the connections of requests that an outage keeps waiting."""
        self._outage_ended.set()
        self._outage_ended = asyncio.Event()

    async def _set_outage(self, mode):
        was_refusing = self.outage == REFUSE
        self.outage = mode
        self.abort_waiting()
        if not self.can_refuse:
            return
        if mode == REFUSE and not was_refusing:
            await self.data_server.close()
        elif was_refusing and mode != REFUSE:
            await self.data_server.start()


class PlatformServers:
    """The servers on the platform's data port and optional control port."""

    __slots__ = ("platform", "data", "control")

    def __init__(self, options):
        self.platform = Platform(options)
        handle = self.platform.handle
        self.data = Server(handle, options["address"], options["port"])
        self.platform.data_server = self.data
        self.control = None
        if options.get("control_port"):
            port = options["control_port"]
            self.control = Server(handle, options["address"], port)

    async def start(self):
        """Start listening."""
        await self.data.start()
        if self.control:
            await self.control.start()

    async def close(self):
        """Stop listening and abort all connections."""
        self.platform.abort_waiting()
        await self.data.close()
        if self.control:
            await self.control.close()


async def run(options):
    """Serve until killed; print ``ready`` and the port once listening."""
    servers = PlatformServers(options)
    await servers.start()
    print(f"ready {servers.data.port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
