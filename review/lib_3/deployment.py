"""A small deployment for the cases: daemons as deployed, with the project's stand-ins.

The daemons are started with the command of the deploy file, with settings like those
that the platform renders for tcd-goldcrest. Each has a link of its own to the store.
"""

import asyncio
import atexit
import base64
import functools
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from review.lib_3.servers import SoundServer
from test import _common, _front
from test.fault_proxy import Link

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The heartbeat and the bounds that the sheet of tcd-goldcrest states.
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 8
TURN_MS = 3000
KEPT_S = 120
MEMORY_MB = 330
CONTRACTS = [
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
]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
STOP_TIMEOUT_S = 10

_running = []


@atexit.register
def _kill_leftovers():
    for daemon in _running:
        daemon.kill()


class Daemon:
    """One process of a daemon, started as the deploy file says.

    :param name: the daemon's name.
    :param settings: the path of its settings file.
    :param log_path: the file that its output is appended to.
    """

    def __init__(self, name, settings, log_path):
        self.name = name
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "goldcrestmoor", "front"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GOLDCRESTMOOR_SETTINGS": str(settings),
                },
                start_new_session=True,
            )
        _running.append(self)

    @property
    def pid(self):
        """The process's id."""
        return self.popen.pid

    def alive(self):
        """Return whether the process has not exited."""
        return self.popen.poll() is None

    def signal(self, number):
        """Send a signal to the process, unless it has exited."""
        if self.alive():
            self.popen.send_signal(number)

    def kill(self):
        """End the process."""
        self.signal(signal.SIGKILL)

    def log_tail(self):
        """Return the end of the output."""
        return self.log_path.read_text(errors="replace")[-3000:]

    async def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait until the process has exited, and return its exit code."""
        await _common.eventually(lambda: not self.alive(), timeout_s)
        return self.popen.returncode


class Deployment(_front.FrontFleet):
    """A fleet whose daemons run as deployed, each with a link to the store.

    :ivar store_links: the link of each daemon to the store, by its name.
    :ivar link_type: the class of the links between daemons and servers.
    """

    def __init__(self):
        super().__init__()
        self.store_links = {}
        # As many as the sheet of tcd-goldcrest has.
        self.apps = [SoundServer(f"app-{n}", "app", slots=6) for n in range(3)]
        self.engines = [
            SoundServer(f"engine-{n}", "pool", {_front.MODEL: 1}) for n in range(6)
        ]
        self.kept_s = KEPT_S
        self.host_fields = {
            "region": "hu-south",
            "cores": 3,
            "core_share": 0.717,
            "memory_mb": MEMORY_MB,
            "grace_s": GRACE_S,
            "contracts": CONTRACTS,
        }
        self.sections = {"orders": {"turn_ms": TURN_MS}}
        self.link_type = Link
        self._daemon_links = []
        self._files = tempfile.TemporaryDirectory()

    async def link_daemons(self, names):
        """Give daemons a link to each other one, before they start.

        :return: the links, by the pair of the daemon that calls and the one called.
        """
        links = {}
        for name in names:
            self.ports[name] = tuple(_common.free_port() for _ in range(3))
        for pair in itertools.permutations(names, 2):
            links[pair] = Link("127.0.0.1", self.ports[pair[1]][1])
            await links[pair].start()
        for name in names:
            self.store.rewrite_by_gate[name] = functools.partial(
                _rewrite_hosts,
                {b: link.port for (a, b), link in links.items() if a == name},
            )
        self._daemon_links = list(links.values())
        return links

    async def start(self, names=("front-a", "front-b"), zones=None, linked=()):
        """Start the stand-ins and daemons, and wait until the daemons are ready.

        :param linked: the daemons that have links of their own to the servers.
        """
        self.zones = zones or {}
        await self.store.start()
        for server in self.servers():
            await server.start()
        self.store.put("op", "config", _front.configuration(**self.configured))
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        for name in names:
            await self._connect(name)
            if name in linked:
                await self.link_servers(name)
            self.start_front(name)
        for name in names:
            await self.wait_ready(name)
        return self

    async def add(self, name):
        """Start one more daemon, and wait until it is ready."""
        await self._connect(name)
        self.start_front(name)
        await self.wait_ready(name)

    async def stop(self, name):
        """Stop a daemon as the platform does: SIGTERM, and SIGKILL after the grace."""
        daemon = self.fronts[name]
        daemon.signal(signal.SIGTERM)
        try:
            await daemon.wait(GRACE_S)
        except AssertionError:
            daemon.kill()
            await daemon.wait()

    def record_peaks(self, record):
        """Record the most streams that ran at each engine, and its slots."""
        peaks = [f"{engine.peak} of {engine.slots}" for engine in self.engines]
        record.add(f"most streams at a time, of the slots: {peaks}")

    async def _connect(self, name):
        """Give a daemon its link to the store."""
        gate = await self.store.gate(name)
        self.store_links[name] = Link("127.0.0.1", gate)
        await self.store_links[name].start()
        self.gates[name] = self.store_links[name].port

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
        folder = pathlib.Path(self._files.name)
        path = folder / f"{name}.json"
        path.write_text(json.dumps(document))
        self.fronts[name] = Daemon(name, path, folder / f"{name}.log")
        return self.fronts[name]

    async def link_servers(self, name):
        """Give a daemon links of its own to all servers, before it starts."""
        _front.Link = self.link_type
        return await super().link_servers(name)

    async def _send_heartbeats(self):
        while True:
            for server in self.servers():
                if server.name not in self.silent:
                    self.store.put("servers", server.name, server.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def log_of(self, name):
        """Return the output of a daemon over all of its starts."""
        return self.fronts[name].log_path.read_text(errors="replace")

    async def close(self):
        """Stop all processes and stand-ins."""
        await super().close()
        for link in [*self.store_links.values(), *self._daemon_links]:
            await link.close()
        self._files.cleanup()


def _rewrite_hosts(port_by_daemon, response):
    """Put the ports of links into a response of the store with rows of daemons."""
    if not response.body:
        return response
    body = json.loads(response.body)
    for row in body.get("rows", ()):
        if row["table"] == "hosts" and row["key"] in port_by_daemon and "value" in row:
            host = json.loads(base64.b64decode(row["value"]))
            host["port"] = port_by_daemon[row["key"]]
            value = base64.b64encode(json.dumps(host).encode()).decode()
            body["rows"][body["rows"].index(row)] = row | {"value": value}
    response.body = json.dumps(body).encode()
    return response


class Record:
    """The record of a case: what was sent, answered and run.

    :param path: the file to write.
    """

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._started_s = time.monotonic()

    def add(self, text):
        """Write a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        line = f"{elapsed_s:8.3f} s  {text}"
        print(line, flush=True)
        with open(self._path, "a") as file:
            file.write(line + "\n")


def run(folder, case):
    """Run a case and exit with its result.

    :param folder: the case's folder, for the record.
    :param case: a coroutine function that takes the record and whether the disruption
        is played; returns whether the rule was broken.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    # The processes are ended also when this one is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"the disruption is {'played' if has_trouble else 'left out'}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except BaseException as e:
        record.add(f"the case could not run: {e!r}")
        sys.exit(EXIT_NOT_RUN)
    record.add("the rule was broken" if is_broken else "the rule held")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
