"""A small fleet on the users' platform: real daemons with stand-ins."""

import asyncio
import base64
import json
import pathlib
import tempfile

from goldcrestmoor import settings
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ServiceError
from test import _common
from test._process import Process, stop_all
from test.fault_proxy import Link
from test.standins.users_server import UsersServer
from test.standins.users_store import UsersStore

HOST = "app.example"
MODEL = "m0"
JOB_PATH = "/lot/x"
# Longer than it takes to take over and run the jobs of a dead runner.
WAIT_S = 20
METRIC_PREFIX = "goldcrestmoor_"
FETCH_PATH = "/fetch/x"


def configuration(version=3, tenants=None, more_routes=(), scaling=None, **changes):
    """Return a configuration with a route for fetches and one for jobs.

    :param tenants: the client accounts; None for a configuration without accounts.
    :param more_routes: changes that make a further route from the one for fetches.
    :param scaling: the bounds of the engines' service; None for none.
    """
    fetch = {
        "name": "fetch",
        "hostname": HOST,
        "pathPrefix": "/fetch/",
        "routeType": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 192,
        "priority": 2,
        "service": "app",
        "attempts": 2,
    }
    job = {
        "name": "job",
        "hostname": HOST,
        "pathPrefix": "/lot/",
        "routeType": "rollout",
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "pool",
        "attempts": 3,
        "keepS": 40.0,
        "runAimMs": 7500,
        "singleVersion": False,
        "stickySessions": True,
        "resumable": True,
    }
    stream = fetch | {
        "name": "stream",
        "pathPrefix": "/stream/",
        "routeType": "streaming",
        "service": "pool",
        "resumable": True,
    }
    once = fetch | {"name": "once", "pathPrefix": "/once/", "routeType": "unsafe"}
    accounts = {} if tenants is None else {"tenants": tenants}
    bounds = {} if scaling is None else {"scaling": scaling}
    pool = {"name": "pool", "maxConns": 160, "engine": {"models": [{"name": MODEL}]}}
    return accounts | {
        "version": version,
        "routes": [
            fetch | changes.get("fetch", {}),
            job | changes.get("job", {}),
            stream | changes.get("stream", {}),
            once,
            *(fetch | fields for fields in more_routes),
        ],
        "services": [
            pool | bounds,
            {"name": "app", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def item(item_id, group="g0"):
    """Return an item of a submission."""
    return {
        "id": item_id,
        "path": f"/lot/{item_id}",
        "headers": {"Model-Name": MODEL, "Token-Count": "16,400"},
        "body": base64.b64encode(item_id.encode()).decode(),
        "tokens": 416,
        "group": group,
    }


def submission(count, prefix="i", min_version=1, **fields):
    """Return a job submission with some items."""
    items = [item(f"{prefix}{n}", f"g{n // 4}") for n in range(count)]
    return {
        "step": 0,
        "model": MODEL,
        "minVersion": min_version,
        "targetGroups": count // 4,
        "items": items,
        **fields,
    }


class FrontFleet:
    """Stand-ins and daemon processes; the test must close them.

    :ivar store: the :class:`~test.standins.users_store.UsersStore`.
    :ivar apps: the application servers.
    :ivar engines: the engine servers.
    :ivar fronts: the daemons' processes, by name.
    """

    def __init__(self):
        self.store = UsersStore()
        self.apps = [UsersServer(f"app-{n}", "app") for n in range(2)]
        self.engines = [UsersServer(f"engine-{n}", "pool", {MODEL: 1}) for n in "01"]
        self.fronts = {}
        self.ports = {}
        self.gates = {}
        self.links_by_host = {}
        self.zones = {}
        self.kept_s = 120
        self.log_style = "text"
        self.documents = {}
        # Further sections of every daemon's settings, by name.
        self.sections = {}
        # Further fields of the section ``host`` of every daemon's settings.
        self.host_fields = {}
        # Arguments of the first configuration.
        self.configured = {}
        # Sent with each request that has no other API key.
        self.api_key = ""
        self._directory = tempfile.TemporaryDirectory()
        self._heartbeat_task = None
        self.silent = set()
        self.http = HttpClient(clock=Clock(), limits=settings.default_limits())

    async def start(
        self,
        names=("front-a", "front-b"),
        with_configuration=True,
        zones=None,
        linked=(),
    ):
        """Start the stand-ins and daemons, and wait until the daemons are ready.

        :param zones: the availability zone of each daemon; the same for all by default.
        :param linked: the daemons that have links of their own to the servers.
        """
        self.zones = zones or {}
        await self.store.start()
        for server in self.servers():
            await server.start()
        if with_configuration:
            self.store.put("op", "config", configuration(**self.configured))
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        for name in names:
            self.gates[name] = await self.store.gate(name)
            if name in linked:
                await self.link_servers(name)
            self.start_front(name)
        if with_configuration:
            for name in names:
                await self.wait_ready(name)
        return self

    async def wait_ready(self, name):
        """Wait until a daemon reports that it is ready; fail with its log."""
        process = self.fronts[name]

        async def is_ready():
            if not process.alive():
                raise AssertionError(f"{name} ended early")
            return await self.is_ready(name)

        try:
            await _common.eventually(is_ready)
        except AssertionError as e:
            raise AssertionError(f"{e}; its log:\n{process.log_tail()}") from e

    def servers(self):
        """Return the application and engine servers."""
        return self.apps + self.engines

    def start_front(self, name):
        """Start a daemon, on the ports of its previous start if any."""
        if name not in self.ports:
            self.ports[name] = tuple(_common.free_port() for _ in range(3))
        callers, readiness, metrics = self.ports[name]
        document = {
            "host": {
                "id": name,
                "zone": self.zones.get(name, "zone-a"),
                "callers": f"127.0.0.1:{callers}",
                "readiness": f"127.0.0.1:{readiness}",
                "metrics_port": metrics,
                **self.host_fields,
            },
            "jobs": {"kept_s": self.kept_s},
            "store": {"endpoint": f"127.0.0.1:{self.gates[name]}"},
            "log": {"style": self.log_style},
            **self.sections,
        }
        path = self.write_settings(name, document)
        arguments = ["goldcrestmoor", "front", str(path)]
        self.fronts[name] = Process(name, arguments, self._directory.name)

    def log_of(self, name):
        """Return the output of a daemon over all of its starts."""
        return self.fronts[name].log()

    def write_settings(self, name, document):
        """Write a daemon's settings file and return its path."""
        self.documents[name] = document
        path = pathlib.Path(self._directory.name) / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    async def _send_heartbeats(self):
        while True:
            for server in self.servers():
                if server.name not in self.silent:
                    self.store.put("servers", server.name, server.entry())
            await asyncio.sleep(0.3)

    async def link_servers(self, name):
        """Give a daemon links of its own to all servers, before it starts.

        :return: the :class:`~test.fault_proxy.Link` of each server, by its name.
        """
        links = {}
        for server in self.servers():
            # A port that is left for a while must not be used by a connection.
            port = _common.free_port()
            links[server.name] = Link("127.0.0.1", server.port, port=port)
            await links[server.name].start()
        self.links_by_host[name] = links

        def rewrite(response):
            body = json.loads(response.body)
            for row in body.get("rows", ()):
                if row["table"] == "servers" and row["key"] in links:
                    entry = json.loads(base64.b64decode(row["value"]))
                    entry["address"] = f"127.0.0.1:{links[row['key']].port}"
                    value = base64.b64encode(json.dumps(entry).encode()).decode()
                    row["value"] = value
            response.body = json.dumps(body).encode()
            return response

        self.store.rewrite_by_gate[name] = rewrite
        return links

    async def is_ready(self, name):
        """Return whether a daemon reports that it is ready."""
        try:
            port = self.ports[name][1]
            answer = await self.http.request("127.0.0.1", port, "GET", "/readiness")
        except ServiceError:
            return False
        return answer.status == 200

    async def ask(self, name, method, target, body=b"", request_id="r1", **headers):
        """Send a request to a daemon on a new connection."""
        host = headers.pop("host", HOST)
        pairs = [(b"host", host.encode()), (b"request-id", request_id.encode())]
        if self.api_key:
            headers.setdefault("x_api_key", self.api_key)
        pairs += [
            (key.replace("_", "-").encode(), str(value).encode())
            for key, value in headers.items()
        ]
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return await self.http.request(
            "127.0.0.1",
            self.ports[name][0],
            method,
            target,
            pairs,
            body,
            10_000,
            fresh=True,
            allow_close_delimited=True,
        )

    async def submit(self, name, job_id, count, **fields):
        """Submit a job and return the status of the response."""
        body = submission(count, **fields)
        return (await self.ask(name, "POST", JOB_PATH, body, job_id)).status

    async def results(self, name, job_id, after=0):
        """Return a page of a job's results, or the status if it is not 200."""
        answer = await self.ask(name, "GET", f"/lots/{job_id}?after={after}")
        return json.loads(answer.body) if answer.status == 200 else answer.status

    async def all_results(self, name, job_id):
        """Wait until all results of a job are listed, and return them."""

        results = []

        async def whole():
            page = await self.results(name, job_id, len(results))
            if isinstance(page, int):
                return None
            results.extend(page["results"])
            return len(results) == page["total"]

        await _common.eventually(whole, WAIT_S)
        return results

    def runner_of(self, job_id):
        """Return the daemon that runs a job, or an empty string."""
        state = self.store.value("jobs", job_id)
        return state["runner"].partition("/")[0] if state else ""

    async def metrics(self, name):
        """Return a daemon's metrics by name and labels, without the prefix."""
        port = self.ports[name][2]
        answer = await self.http.request("127.0.0.1", port, "GET", "/metrics")
        value_by_name = {}
        for line in answer.body.decode().splitlines():
            if line.startswith(METRIC_PREFIX):
                metric, _, value = line.removeprefix(METRIC_PREFIX).rpartition(" ")
                value_by_name[metric] = float(value)
        return value_by_name

    async def close(self):
        """Stop all processes and servers."""
        await stop_all(self.fronts.values())
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self.http.close()
        for links in self.links_by_host.values():
            for link in links.values():
                await link.close()
        for server in self.servers():
            await server.close()
        await self.store.close()
        self._directory.cleanup()
