"""A small fleet behind fault-injecting links, and callers that check responses."""

import asyncio
import contextlib
import http.client
import json
import unittest

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import Ran
from test._common import eventually
from test.fleet import AccountPlan, Fleet, Plan, PoolPlan, http_get
from test.network import Network

TOKEN = "desk-token"
CALLER_TIMEOUT_MS = 20_000
REQUEST_TIMEOUT_MS = 15_000
SETTINGS = {
    "configuration": {"poll_ms": 200, "lease_ms": 1000, "lease_margin_ms": 200},
    "limits": {
        "request_timeout_ms": REQUEST_TIMEOUT_MS,
        "queue_timeout_ms": 2000,
    },
    "membership": {"host_list_poll_ms": 500},
    "shutdown": {"unready_ms": 500, "drain_ms": 15_000},
}


def make_plan(hosts, apps=None, engines=None, **options):
    """Return a plan with a pool ``desk`` of applications and one ``lm`` of engines.

    :param hosts: daemons by zone.
    :param apps: applications by zone.
    :param engines: engines by zone.
    :param options: ``app``, ``engine`` and ``settings`` override the defaults;
        ``slots`` is the number of requests that each engine runs concurrently.
    """
    slots = options.get("slots", 16)
    pools = []
    if apps:
        desk = PoolPlan("desk", "application", apps, options=options.get("app", {}))
        pools.append(desk)
    if engines:
        engine = options.get("engine", {})
        pools.append(PoolPlan("lm", "engine", engines, "m", slots, engine))
    names = tuple(pool.name for pool in pools)
    account = AccountPlan("desk", "application", TOKEN, names)
    extra = options.get("settings", {})
    settings = {
        name: SETTINGS.get(name, {}) | extra.get(name, {})
        for name in SETTINGS.keys() | extra.keys()
    }
    return Plan(hosts, tuple(pools), (account,), settings)


class Answer(msgspec.Struct, frozen=True):
    """The response that a caller received.

    :param status: the status, or 0 when no complete response arrived.
    :param body: the complete body.
    :param headers: the headers, by name in lower case.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}

    @property
    def code(self):
        """The error code; empty unless the service itself reported an error."""
        return self._error().get("code", "")

    @property
    def ran(self):
        """Whether the request ran, as stated by the error."""
        return self._error().get("ran", "")

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)

    def _error(self):
        if self.status < 400 or not self.body.startswith(b"{"):
            return {}
        return self.json()


def call_once(url, method, path, body=None, headers=None, on_status=None):
    """Send one request on a new connection; blocks, so run it in a thread."""
    host_and_port = url.removeprefix("http://")
    timeout_s = CALLER_TIMEOUT_MS / MS_PER_SECOND
    connection = http.client.HTTPConnection(host_and_port, timeout=timeout_s)
    sent_headers = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
    try:
        connection.request(method, path, body, sent_headers)
        response = connection.getresponse()
        if on_status is not None:
            on_status(response.status)
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Answer(response.status, response.read(), response_headers)
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


class RequestCase(unittest.IsolatedAsyncioTestCase):
    """A fleet of ``PLAN`` and the requests that tests send to it."""

    PLAN = None
    has_links = True

    async def asyncSetUp(self):
        self.network = Network() if self.has_links else None
        self.fleet = Fleet(self.PLAN, self.network)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.hosts = [host.id for host in self.fleet.hosts]
        self.upstreams = [upstream.id for upstream in self.fleet.upstreams]

    async def call(self, host, method, path, body=None, headers=None, on_status=None):
        """Send one request to a host, given by its ID."""
        url = self.fleet.endpoint_by_id[host].url
        arguments = (url, method, path, body, headers, on_status)
        return await asyncio.to_thread(call_once, *arguments)

    async def fetch(self, host, name, **headers):
        """Fetch a panel."""
        path = f"/apps/desk/panel/{name}"
        return await self.call(host, "GET", path, None, headers)

    async def note(self, host, name, key=None, **headers):
        """Save a note, with an idempotency key if one is given."""
        headers["X-Note-Id"] = name
        if key:
            headers["Idempotency-Key"] = key
        return await self.call(host, "POST", "/apps/desk/notes", name, headers)

    async def complete(self, host, tokens, *, stream=False, prompt="p", **options):
        """Request a completion."""
        fields = {"model": "lm", "prompt": prompt, "max_tokens": tokens}
        body = json.dumps(fields | {"stream": stream})
        return await self.call(host, "POST", "/v1/completions", body, **options)

    async def mint(self, host):
        """Return an idempotency key minted by a host."""
        answer = await self.call(host, "POST", "/v1/keys")
        self.assertEqual(answer.status, 201, answer.body)
        return answer.json()["key"]

    async def counts(self, upstream):
        """Return the counters of an upstream, read directly, bypassing its link."""
        endpoint = self.fleet.endpoint_by_id[upstream]
        return await self.fleet.get_json(endpoint, "/control/counts")

    async def run_count(self, name):
        """Return how often the applications ran a note or a path."""
        total = 0
        for upstream in self.fleet.upstreams:
            if upstream.pool == "desk":
                count_by_id = (await self.counts(upstream.id))["count_by_id"]
                total += sum(
                    count
                    for text, count in count_by_id.items()
                    if text.partition(" ")[2] == name
                )
        return total

    async def set_app(self, upstream, mode, **options):
        """Set the fault mode of an application."""
        endpoint = self.fleet.endpoint_by_id[upstream]
        await self.fleet.control(endpoint, "mode", mode=mode, **options)

    async def set_engine(self, upstream, **options):
        """Set options of an engine."""
        await self.fleet.control(self.fleet.endpoint_by_id[upstream], "set", **options)

    async def cut_link(self, upstream):
        """Cut the open connections to an upstream and wait until they are closed."""
        link = self.network.links_by_id[upstream]
        pairs = link.cut()
        await eventually(lambda: not link.any_open(pairs))

    async def outage(self, on):
        """Start or end a platform outage."""
        await self.fleet.control(self.fleet.platform_control, "outage", on=on)

    async def ready(self, host):
        """Return whether a host reports ready to the load balancer."""
        url = f"{self.fleet.endpoint_by_id[host].url}/readyz"
        return (await http_get(url))[0] == 200

    async def metric(self, host, name):
        """Return the sum of a counter over all its labels."""
        _, text = await http_get(f"{self.fleet.endpoint_by_id[host].url}/metrics")
        lines = (line for line in text.decode().splitlines() if line.startswith(name))
        return sum(float(line.rpartition(" ")[2]) for line in lines)

    async def answers(self, host):
        """Wait until a host serves a fetch successfully."""

        async def is_answered():
            return (await self.fetch(host, "warm")).status == 200

        await eventually(is_answered)

    async def check_not_run(self, answer, name):
        """Check what an error states against the run counts of the applications."""
        run_count = await self.run_count(name)
        self.assertLessEqual(run_count, 1)
        if answer.ran == Ran.NOT_RUN:
            self.assertEqual(run_count, 0, f"{name}: {answer.body}")
        if answer.status == 201:
            self.assertEqual(run_count, 1, name)


class NotesCase(RequestCase):
    async def new_keys(self):
        """Return a key minted by the first host and a key chosen by the caller."""
        return {"minted": await self.mint(self.hosts[0]), "claimed": f"k-{id(self)}"}

    async def check_answers(self, name, answers):
        """Check the responses to callers against the run counts of the applications."""
        for answer in answers:
            await self.check_not_run(answer, name)


@contextlib.asynccontextmanager
async def in_background(coroutine):
    """Run a coroutine in the background of the block and yield its task."""
    task = asyncio.ensure_future(coroutine)
    try:
        yield task
    finally:
        if not task.done():
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)
