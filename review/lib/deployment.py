"""A small deployment on loopback: the daemons as deployed, and stand-ins."""

import asyncio
import atexit
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from review.lib import http

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TEMPLATE = ROOT / "goldcrestmoor/platform/settings.json.template"
HOSTNAME = "ficu95.example"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 30
# A case may take two minutes.
CASE_TIMEOUT_S = 115
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "samples",
    "stream",
    "engine",
    "batch",
    "platform",
)
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

_popens = []


@atexit.register
def _end_processes():
    for popen in _popens:
        if popen.poll() is None:
            popen.send_signal(signal.SIGCONT)
            popen.kill()
            popen.wait()


def trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Return a TCP port that is free, below the range of outgoing connections."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as s, contextlib.suppress(OSError):
            s.bind(("127.0.0.1", port))
            return port


class Record:
    """Writes what was sent, answered and run to a file, with the time."""

    def __init__(self, path):
        self._path = path
        self._path.write_text("")
        self._started_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._started_s

    def __call__(self, text):
        with self._path.open("a") as file:
            file.write(f"{self.now_s():8.3f} {text}\n")


class Host:
    """One entry host with its daemon process."""

    def __init__(self, name, zone, store_port, directory, contracts):
        self.name = name
        self.zone = zone
        self.port = free_port()
        self.ready_port = free_port()
        self._metrics_port = free_port()
        self._store_port = store_port
        self._directory = directory
        self._contracts = contracts
        self.popen = None
        self.log_path = directory / f"{name}.log"

    def start(self):
        """Start the daemon with the command of the deploy file."""
        path = self._directory / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "GOLDCRESTMOOR_SETTINGS": str(path),
        }
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "goldcrestmoor", "front"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        _popens.append(self.popen)

    def _settings(self):
        """Return what the template makes of a small deployment's settings."""
        return {
            "host": {
                "id": self.name,
                "zone": self.zone,
                "region": "hu-south",
                "callers": f"127.0.0.1:{self.port}",
                "readiness": f"127.0.0.1:{self.ready_port}",
                # All hosts share an address here, and the default port is one port.
                "metrics_port": self._metrics_port,
                "cores": 3,
                "core_share": 0.717,
                "memory_mb": 330,
                "contracts": list(self._contracts),
            },
            "store": {"endpoint": f"127.0.0.1:{self._store_port}"},
            "jobs": {"kept_s": 120},
            "orders": {"turn_ms": 3000},
        }

    def signal(self, number):
        """Send a signal to the daemon's process."""
        self.popen.send_signal(number)

    async def is_ready(self):
        """Return whether the daemon reports that it is ready."""
        try:
            connection = await http.Connection.open("127.0.0.1", self.ready_port)
            answer = await connection.exchange("GET", "/readiness")
            connection.close()
        except OSError:
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self):
        """Wait until the daemon is ready."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.popen.poll() is not None or time.monotonic() > deadline_s:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)


class Deployment:
    """The store, the servers and the hosts of a case.

    :param store: the stand-in of the platform's store.
    :param servers: the stand-ins of the servers.
    :param configuration: what the operator writes first.
    :param zones: the availability zone of each host, by its name.
    :param contracts: the contracts in force beside the usual ones.
    """

    def __init__(self, store, servers, configuration, zones, contracts=()):
        self.store = store
        self.servers = servers
        self._configuration = configuration
        self._zones = zones
        self._contracts = (*CONTRACTS, *contracts)
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._beats = None
        self.host_by_name = {}

    async def start(self):
        """Start everything and wait until all hosts are ready."""
        await self.store.start()
        for server in self.servers:
            await server.start()
        self.store.put("op", "config", self._configuration)
        self._beats = asyncio.create_task(self._send_beats())
        for name, zone in self._zones.items():
            port = getattr(self.store, "port_by_host", {}).get(name, self.store.port)
            host = Host(name, zone, port, self._directory, self._contracts)
            self.host_by_name[name] = host
            host.start()
        for host in self.host_by_name.values():
            await host.wait_ready()
        # The platform starts traffic 12 s after the machines; two beats suffice here.
        await asyncio.sleep(2 * HEARTBEAT_S)

    async def _send_beats(self):
        while True:
            for server in self.servers:
                entry = server.entry()
                if entry is not None:
                    self.store.put("servers", server.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self):
        """End all processes and stand-ins."""
        _end_processes()
        if self._beats is not None:
            self._beats.cancel()
        for server in self.servers:
            await server.close()
        await self.store.close()
        if "KEEP_LOGS" in os.environ:
            print(self._directory)
        else:
            shutil.rmtree(self._directory, ignore_errors=True)


def route(name, prefix, kind, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 191,
        "priority": 2,
        "service": service,
        "attempts": 2,
        **fields,
    }


def configuration(routes, services):
    """Return the operator's first configuration."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 20000,
        },
    }


def main(case, directory):
    """Run a case and exit with its status.

    :param case: a coroutine function that takes the :class:`Record` and returns a
        :class:`Deployment` and the coroutine to run with it, which returns the broken
        rules as texts.
    :param directory: the case's folder.
    """
    # The processes that were started end with this one.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(pathlib.Path(directory) / "record.txt")
    status = asyncio.run(_run(case, record))
    record(f"exit {status}")
    sys.exit(status)


async def _run(case, record):
    deployment, steps = case(record)
    try:
        await deployment.start()
    except Exception as e:
        record(f"the deployment did not start: {e!r}")
        steps.close()
        await deployment.stop()
        return NOT_RUN
    record(f"ready; disruption: {'yes' if trouble() else 'no'}")
    try:
        async with asyncio.timeout(CASE_TIMEOUT_S - record.now_s()):
            broken = await steps
    except (CannotRunError, TimeoutError) as e:
        record(f"could not run: {e!r}")
        return NOT_RUN
    finally:
        await deployment.stop()
    for text in broken:
        record(f"BROKEN {text}")
    print(f"{len(broken)} times broken")
    return BROKEN if broken else HELD


class CannotRunError(Exception):
    """The situation that the case needs did not come about."""
