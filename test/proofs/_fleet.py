"""Shared helpers for tests of the whole fleet: plans, callers and platform control."""

import asyncio
import base64
import json
import time
import unittest

import msgspec

from test import _common
from test.fleet import AccountPlan, Fleet, Plan, PoolPlan, http_get, http_post
from test.network import PLATFORM, Network

MODEL = "summaries"
ACCEPTED = 0
REFUSED = 9
UNKNOWN = 7
UNKNOWN_TEXT = "unknown, ask SHOW VERSION"
MAX_EFFECT_DELAY_S = 15
REPEATS = 5
OK = 200
# With short leases, a change takes effect within 3 s.
SHORT_INTERVALS = {
    "configuration": {
        "poll_ms": 200,
        "lease_ms": 2000,
        "lease_margin_ms": 400,
        "answer_timeout_ms": 8000,
    },
    "membership": {
        "probe_interval_ms": 200,
        "suspect_ms": 1200,
        "host_list_poll_ms": 400,
    },
}
# Also served by partitioned hosts, unlike the accounts that account() creates.
DESK_ACCOUNT = AccountPlan("desk", "application", "desk", ("dash-api",))
APP_POOL = PoolPlan("dash-api", "application", {"zone-a": 1, "zone-b": 1})


def engines(**options):
    """Return a pool of one engine with one slot."""
    return PoolPlan("lm-pool", "engine", {"zone-a": 1}, MODEL, 1, options)


def account(name, kind="application", pools="dash-api", rest="CUTOFF SERVE OFF"):
    """Return the command that creates an account; its token is its name."""
    return f"CREATE ACCOUNT {name} KIND {kind} TOKEN '{name}' POOLS ({pools}) {rest};"


class CommandResult(msgspec.Struct):
    """Exit code and output of ``goldcrestmoor ask``."""

    code: int
    text: str


class _CommandedFleet(Fleet):
    """A fleet that applies extra commands in the same change as its plan."""

    commands = ""

    async def ask_file(self, text, host_id=None):
        commands, self.commands = self.commands, ""
        return await super().ask_file(text + commands, host_id)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """A test with a fleet whose traffic passes through fault-injecting links."""

    async def start(
        self, commands="", hosts=1, pools=(APP_POOL,), settings=SHORT_INTERVALS, **plan
    ):
        """Start a fleet of two zones and apply commands."""
        self.network = Network()
        zones = {"zone-a": hosts, "zone-b": hosts}
        self.fleet = _CommandedFleet(
            Plan(zones, pools, settings=settings, **plan), network=self.network
        )
        self.fleet.commands = commands
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.platform_link = self.network.links_by_id[PLATFORM]
        self.ids = [host.id for host in self.fleet.hosts]

    async def change(self, command, host_id=None):
        """Run one command through the command line."""
        return CommandResult(*await self.fleet.ask(command, host_id))

    async def post_command(self, host_id, text, base_version=None):
        """Send one command by HTTP, without the command line.

        :return: the status and the decoded response.
        """
        url = self.fleet.endpoint_by_id[host_id].url + "/operator/ask"
        body = json.dumps({"text": text, "base_version": base_version}).encode()
        headers = {"Authorization": f"Bearer {_common.OPERATOR_TOKEN}"}
        status, answer = await http_post(url, body, headers, 30_000)
        return status, json.loads(answer or b"{}")

    async def show(self, host_id, text):
        """Return the rows of a SHOW command as dicts; empty without a response."""
        _, table = await self.post_command(host_id, text)
        columns = table.get("columns", ())
        return [dict(zip(columns, r, strict=True)) for r in table.get("rows", ())]

    async def version_here(self, host_id):
        """Return the version a host has adopted; None when it does not respond."""
        rows = await self.show(host_id, "SHOW VERSION")
        return rows[0]["version_here"] if rows else None

    async def wait_version(self, version, host_ids=None):
        """Wait until the hosts have adopted a version."""
        for host_id in host_ids or self.ids:

            async def has_it(host_id=host_id):
                return await self.version_here(host_id) == version

            await _common.eventually(has_it)

    async def head_version(self):
        """Return the configuration version stored in the platform's table."""
        control = self.fleet.platform_control
        row = await self.fleet.get_json(control, "/tables/configuration/head")
        return row["version"] if row else 0

    async def fetch(self, host_id, token, path="panels/1", timeout_ms=20_000):
        """Fetch a panel through one host and return the status."""
        url = f"{self.fleet.endpoint_by_id[host_id].url}/apps/dash-api/{path}"
        headers = {"Authorization": f"Bearer {token}"}
        return (await http_get(url, headers, timeout_ms))[0]

    async def post(self, host_id, token, path, timeout_ms=20_000, **body):
        """Send a JSON body through one host; return the status and decoded response."""
        url = self.fleet.endpoint_by_id[host_id].url + path
        headers = {"Authorization": f"Bearer {token}"}
        data = json.dumps(body).encode()
        status, answer = await http_post(url, data, headers, timeout_ms)
        return status, json.loads(answer or b"{}")

    async def assert_never_served(self, token, host_ids=None):
        """Check repeatedly that no host serves a token."""
        for _ in range(REPEATS):
            for host_id in host_ids or self.ids:
                self.assertNotEqual(await self.fetch(host_id, token), OK, host_id)

    async def assert_served(self, token, host_ids=None):
        """Wait until each host serves a token."""
        for host_id in host_ids or self.ids:

            async def served(host_id=host_id):
                return await self.fetch(host_id, token) == OK

            await _common.eventually(served)

    async def dead(self, seen_from, host_id):
        """Wait until one host lists another as dead."""

        async def is_dead():
            rows = await self.show(seen_from, "SHOW HOSTS")
            return any((r["id"], r["state"]) == (host_id, "dead") for r in rows)

        await _common.eventually(is_dead)

    async def outage(self, mode="refuse"):
        """Start a platform outage, or end it when the mode is empty."""
        control = self.fleet.platform_control
        await self.fleet.control(control, "outage", on=bool(mode), mode=mode)

    async def platform_stats(self):
        """Return the platform's own counters."""
        control = self.fleet.platform_control
        return await self.fleet.get_json(control, "/control/stats")

    async def run_count(self, path):
        """Return how often the applications ran a path, by their own counters."""
        total = 0
        for upstream in self.fleet.upstreams:
            if upstream.pool == "dash-api":
                counts = await self.fleet.get_json(upstream, "/control/counts")
                total += counts["count_by_id"].get(path, 0)
        return total

    def begin(self, coroutine):
        """Start a coroutine in the background."""
        return asyncio.ensure_future(coroutine)


class SlowCaller:
    """A caller that sends the head and first byte of the body, and the rest later."""

    def __init__(self, endpoint, token, path, body):
        self.endpoint = endpoint
        self._rest = body[1:]
        self._first = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        ).encode() + body[:1]

    async def begin(self):
        """Send the head and the first byte of the body."""
        place = self.endpoint.address, self.endpoint.port
        self._reader, self._writer = await asyncio.open_connection(*place)
        self._writer.write(self._first)
        await self._writer.drain()

    async def finish(self):
        """Send the rest of the body and return the response status."""
        self._writer.write(self._rest)
        line = await asyncio.wait_for(self._reader.readline(), 30)
        self._writer.close()
        return int(line.split()[1])


def row_value(row):
    """Return the decoded JSON document of a platform row."""
    return json.loads(base64.b64decode(row["value"]))


def seconds_since(started):
    """Return the seconds elapsed since a monotonic clock reading."""
    return time.monotonic() - started
