"""A fleet of real processes on loopback: platform, upstreams and daemons.

Each host and upstream has its own address, ``127.0.<zone>.<number>``.
"""

import asyncio
import concurrent.futures
import http.client
import json
import pathlib
import shutil
import tempfile
import urllib.error
import urllib.request

import msgspec

from goldcrestmoor import util
from goldcrestmoor.clock import MS_PER_SECOND
from test import _common, _process
from test.network import PLATFORM

PLATFORM_ADDRESS = "127.0.0.2"
UPSTREAM_NUMBER_BASE = 100
REGION = "local"
HTTP_TIMEOUT_S = 5
# More than the concurrent calls of any test.
CALL_THREADS = 128
MAX_VERSION = 100

_threads = concurrent.futures.ThreadPoolExecutor(CALL_THREADS, "call")


class PoolPlan(msgspec.Struct, frozen=True):
    """A pool of upstream stand-ins.

    :param name: the pool's name.
    :param kind: ``engine`` or ``application``.
    :param count_by_zone: the number of upstreams per availability zone.
    :param model: the model of the engines.
    :param slots: the number of requests that each upstream runs concurrently.
    :param options: additional options of the stand-ins.
    """

    name: str
    kind: str
    count_by_zone: dict[str, int]
    model: str = ""
    slots: int = 16
    options: dict = {}


class AccountPlan(msgspec.Struct, frozen=True):
    """A client account.

    :param name: the account's name.
    :param kind: ``trainer`` or ``application``.
    :param token: the bearer token.
    :param pools: the pools that the account may use.
    :param share: the weight of its fair share.
    :param staleness_bound: the maximum number of versions that a sample may lag behind.
    :param zone: the availability zone that holds its steps.
    :param terms: additional clauses of ``CREATE ACCOUNT``.
    """

    name: str
    kind: str
    token: str
    pools: tuple[str, ...]
    share: int = 1
    staleness_bound: int = 1
    zone: str = ""
    terms: str = ""


class Plan(msgspec.Struct, frozen=True):
    """The composition of a fleet.

    :param hosts_by_zone: the number of daemons per availability zone.
    :param pools: the pools.
    :param accounts: the client accounts.
    :param settings: sections that override those of every daemon's settings.
    :param platform: additional options of the platform stand-in.
    """

    hosts_by_zone: dict[str, int]
    pools: tuple[PoolPlan, ...] = ()
    accounts: tuple[AccountPlan, ...] = ()
    settings: dict = {}
    platform: dict = {}


class Endpoint(msgspec.Struct, frozen=True):
    """The id, availability zone and addresses of a process.

    :param id: the id of the process.
    :param zone: the availability zone.
    :param address: the IP address.
    :param port: the HTTP port.
    :param peer_port: the port for peers, for a daemon.
    :param pool: the pool, for an upstream.
    """

    id: str
    zone: str
    address: str
    port: int
    peer_port: int = 0
    pool: str = ""

    @property
    def url(self):
        """The base URL for callers."""
        return f"http://{self.address}:{self.port}"


class Fleet:
    """Async context manager that runs the processes of a plan.

    :param plan: the :class:`Plan`.
    :param network: the :class:`~test.network.Network` through which processes
        connect; by default they connect directly.
    """

    def __init__(self, plan, network=None):
        self.plan = plan
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="goldcrestmoor-"))
        self.process_by_id = {}
        self.platform = Endpoint("platform", "", PLATFORM_ADDRESS, 0)
        self.platform_control = self.platform
        self.hosts = self._assign_host_endpoints()
        self.upstreams = self._assign_upstream_endpoints()
        self.endpoint_by_id = {e.id: e for e in (*self.hosts, *self.upstreams)}
        self._network = network

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exception):
        await self.close()

    async def start(self):
        """Start all processes and wait until every host is ready for callers."""
        if self._network is not None:
            await self._add_links()
        await self.start_platform()
        await asyncio.gather(*(self.start_upstream(u.id) for u in self.upstreams))
        await asyncio.gather(*(self.start_host(h.id) for h in self.hosts))
        if self.plan.pools or self.plan.accounts:
            await self.ask_file(configuration_text(self.plan, self))
        await asyncio.gather(*(self.wait_ready(h.id) for h in self.hosts))

    async def close(self):
        """Stop all processes and delete their logs."""
        await _process.stop_all(self.process_by_id.values())
        if self._network is not None:
            await self._network.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    async def _add_links(self):
        port = _common.free_port(PLATFORM_ADDRESS)
        self.platform = msgspec.structs.replace(self.platform, port=port)
        add = self._network.add
        await add(PLATFORM, "", PLATFORM_ADDRESS, port)
        for host in self.hosts:
            await add(host.id, host.zone, host.address, host.peer_port)
        for upstream in self.upstreams:
            await add(upstream.id, upstream.zone, upstream.address, upstream.port)

    def _reachable_port(self, target_id, port):
        """Return the port on which other processes reach a target."""
        if self._network is None or target_id not in self._network.links_by_id:
            return port
        return self._network.links_by_id[target_id].port

    async def start_platform(self):
        """Start the platform stand-in with a list of all hosts and upstreams."""
        port = self.platform.port or _common.free_port(PLATFORM_ADDRESS)
        self.platform = msgspec.structs.replace(self.platform, port=port)
        if not self.platform_control.port:
            control_port = _common.free_port(PLATFORM_ADDRESS)
            self.platform_control = msgspec.structs.replace(
                self.platform, port=control_port
            )
        models = {pool.model for pool in self.plan.pools if pool.model}
        options = {
            "address": PLATFORM_ADDRESS,
            "port": port,
            "control_port": self.platform_control.port,
            "hosts": self.listed_hosts(),
            "weights": dict.fromkeys(models, list(range(1, MAX_VERSION + 1))),
            **self.plan.platform,
        }
        await self._start_stand_in("platform", "platform", options)

    async def start_upstream(self, upstream_id):
        """Start or restart an upstream stand-in."""
        endpoint = self.endpoint_by_id[upstream_id]
        pool = self._pool(endpoint.pool)
        kind = "engine" if pool.kind == "engine" else "app"
        options = {
            "address": endpoint.address,
            "port": endpoint.port,
            **({"model": pool.model, "slots": pool.slots} if kind == "engine" else {}),
            **pool.options,
        }
        await self._start_stand_in(upstream_id, kind, options)

    async def start_host(self, host_id):
        """Start or restart a daemon, and wait until it serves requests."""
        path = self.directory / f"{host_id}.json"
        path.write_text(json.dumps(self.settings_of(host_id), indent=4))
        arguments = ["goldcrestmoor", "serve", str(path)]
        process = _process.Process(host_id, arguments, self.directory)
        self.process_by_id[host_id] = process
        await self._wait_for(host_id, "/healthz")

    async def wait_ready(self, host_id):
        """Wait until a host reports readiness to the load balancer."""
        await self._wait_for(host_id, "/readyz")

    def settings_of(self, host_id):
        """Return a daemon's settings document."""
        host = self.endpoint_by_id[host_id]
        port = self._reachable_port(PLATFORM, self.platform.port)
        peers = [
            {
                "id": peer.id,
                "zone": peer.zone,
                "address": peer.address,
                "peer_port": self._reachable_port(peer.id, peer.peer_port),
            }
            for peer in self.hosts
            if peer.id != host_id
        ]
        sections = {name: dict(value) for name, value in self.plan.settings.items()}
        document = _common.settings_document(host_id, host.zone, **sections)
        document["host"] |= {
            "region": REGION,
            "address": host.address,
            "http_port": host.port,
            "peer_port": host.peer_port,
            "advertised_peer_port": self._reachable_port(host.id, host.peer_port),
        }
        document["platform"] |= {"address": PLATFORM_ADDRESS, "port": port}
        document["peers"] = peers
        return document

    def listed_hosts(self, state_by_id=None):
        """Return the platform's list of hosts and upstreams.

        :param state_by_id: the states that differ from ``live``, by id.
        """
        states = state_by_id or {}
        return [
            {
                "id": e.id,
                "kind": "upstream" if e.pool else "host",
                "zone": e.zone,
                "address": e.address,
                "http_port": e.port,
                "peer_port": self._reachable_port(e.id, e.peer_port),
                "state": states.get(e.id, "live"),
            }
            for e in (*self.hosts, *self.upstreams)
        ]

    def upstream_place(self, upstream_id):
        """Return the address and port on which daemons reach an upstream."""
        e = self.endpoint_by_id[upstream_id]
        return e.address, self._reachable_port(upstream_id, e.port)

    def urls(self, zone=None):
        """Return the base URLs of all hosts, or of those in one availability zone."""
        return [h.url for h in self.hosts if zone in (None, h.zone)]

    async def ask(self, command, host_id=None, *, is_json=False):
        """Run an operator command through the command line.

        :param command: the command's text.
        :param host_id: the host that receives the command; the first by default.
        :return: the exit code and the output.
        """
        extra = [f"--json={is_json}"] if is_json else []
        return await self._ask([command, *extra], host_id)

    async def ask_file(self, text, host_id=None):
        """Run operator commands from a file through the command line.

        :raises AssertionError: if a command was rejected.
        """
        path = self.directory / "commands.txt"
        path.write_text(text)
        code, output = await self._ask(["--file", str(path)], host_id)
        if code:
            raise AssertionError(f"ask exited with {code}:\n{output}\n{text}")
        return output

    async def _ask(self, arguments, host_id):
        url = self.endpoint_by_id[host_id or self.hosts[0].id].url
        name = f"ask-{util.new_id()}"
        command = [
            "goldcrestmoor",
            "ask",
            *arguments,
            "--url",
            url,
            "--token",
            _common.OPERATOR_TOKEN,
        ]
        process = _process.Process(name, command, self.directory)
        self.process_by_id[name] = process
        code = await process.wait()
        del self.process_by_id[name]
        return code, process.log()

    def kill(self, process_id):
        """Kill a process with SIGKILL."""
        self.process_by_id[process_id].kill()

    def freeze(self, process_id):
        """Freeze a process with SIGSTOP."""
        self.process_by_id[process_id].freeze()

    def thaw(self, process_id):
        """Resume a frozen process with SIGCONT."""
        self.process_by_id[process_id].thaw()

    def terminate(self, process_id):
        """Ask a process to shut down gracefully."""
        self.process_by_id[process_id].terminate()

    async def get_json(self, endpoint, path):
        """Return the decoded JSON response, or None if the status is not 200."""
        status, body = await http_get(f"{endpoint.url}{path}")
        return json.loads(body) if status == 200 else None

    async def control(self, endpoint, name, **body):
        """Control a stand-in by its ``/control/...`` routes.

        :param endpoint: the stand-in; ``platform_control`` for the platform.
        :param name: the last part of the route, such as ``outage`` or ``set``.
        :param body: the fields of the request body.
        :raises AssertionError: if the stand-in does not respond with 200.
        """
        url = f"{endpoint.url}/control/{name}"
        status, answer = await http_post(url, json.dumps(body).encode())
        if status != 200:
            raise AssertionError(f"{url} answered {status}: {answer!r}")

    async def _start_stand_in(self, name, kind, options):
        process = _process.stand_in(name, kind, options, self.directory)
        self.process_by_id[name] = process
        await process.ready_port()

    async def _wait_for(self, host_id, path):
        process = self.process_by_id[host_id]
        url = self.endpoint_by_id[host_id].url + path
        status = None

        async def answered():
            nonlocal status
            if not process.alive():
                raise AssertionError(f"{host_id} ended early:\n{process.log_tail()}")
            status, _ = await http_get(url)
            return status == 200

        try:
            await _common.eventually(answered)
        except AssertionError as e:
            text = f"{url} answered {status}; its log:\n{process.log_tail()}"
            raise AssertionError(f"{e}\n{text}") from e

    def _pool(self, name):
        return next(pool for pool in self.plan.pools if pool.name == name)

    def _assign_host_endpoints(self):
        hosts = []
        for number, (zone, count) in enumerate(self.plan.hosts_by_zone.items(), 1):
            for index in range(1, count + 1):
                address = f"127.0.{number}.{index}"
                ports = _common.free_port(address), _common.free_port(address)
                hosts.append(Endpoint(f"{zone}-{index}", zone, address, *ports))
        return hosts

    def _assign_upstream_endpoints(self):
        upstreams = []
        zones = list(self.plan.hosts_by_zone)
        next_by_zone = dict.fromkeys(zones, UPSTREAM_NUMBER_BASE)
        for pool in self.plan.pools:
            number = 0
            for zone, count in pool.count_by_zone.items():
                for _ in range(count):
                    number += 1
                    next_by_zone[zone] += 1
                    address = f"127.0.{zones.index(zone) + 1}.{next_by_zone[zone]}"
                    port = _common.free_port(address)
                    name = f"{pool.name}-{number}"
                    upstreams.append(
                        Endpoint(name, zone, address, port, pool=pool.name)
                    )
        return upstreams


def configuration_text(plan, fleet):
    """Return the commands that create a plan's pools, upstreams and accounts.

    :param plan: the :class:`Plan`.
    :param fleet: the :class:`Fleet` that has the upstreams' addresses.
    """
    lines = []
    pool_by_name = {pool.name: pool for pool in plan.pools}
    for pool in plan.pools:
        model = f" MODEL {pool.model}" if pool.model else ""
        lines.append(f"CREATE POOL {pool.name} KIND {pool.kind}{model};")
    for upstream in fleet.upstreams:
        address, port = fleet.upstream_place(upstream.id)
        slots = pool_by_name[upstream.pool].slots
        lines.append(
            f"CREATE UPSTREAM {upstream.id} POOL {upstream.pool} "
            f"ZONE {upstream.zone} ADDRESS '{address}' PORT {port} SLOTS {slots};"
        )
    for account in plan.accounts:
        zone = f" ZONE {account.zone}" if account.zone else ""
        lines.append(
            f"CREATE ACCOUNT {account.name} KIND {account.kind} "
            f"TOKEN '{account.token}' "
            f"POOLS ({', '.join(account.pools)}) SHARE {account.share} "
            f"STALENESS {account.staleness_bound}{zone} {account.terms};"
        )
    return "\n".join(lines) + "\n"


async def http_get(url, headers=None, timeout_ms=HTTP_TIMEOUT_S * MS_PER_SECOND):
    """Send a GET request.

    :return: the status, or None without a response, and the body.
    """
    request = urllib.request.Request(url, headers=headers or {})
    return await _in_thread(_send, request, timeout_ms)


async def http_post(url, body, headers=None, timeout_ms=HTTP_TIMEOUT_S * MS_PER_SECOND):
    """Send a POST request.

    :return: the status, or None without a response, and the body.
    """
    request = urllib.request.Request(url, body, headers or {}, method="POST")
    return await _in_thread(_send, request, timeout_ms)


def _send(request, timeout_ms):
    try:
        with urllib.request.urlopen(
            request, timeout=timeout_ms / MS_PER_SECOND
        ) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as e:
        return e.code, e.read()
    except (OSError, http.client.HTTPException):
        return None, b""


async def _in_thread(call, *arguments):
    """Run a blocking call in the shared thread pool.

    The event loop's default pool has only four threads more than the machine has
    cores: a dozen open streams of a test would block all of its other calls.
    """
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(_threads, call, *arguments)
