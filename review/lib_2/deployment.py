"""A small deployment on loopback addresses: the platform, and daemons as deployed.

The daemons are started with the words of ``deploy/system.toml`` and with settings made
from its template. The store is the project's own stand-in of it.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from test.standins.server import Response
from test.standins.users_store import UsersStore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "ficu95.example"
MODEL = "daka510000"
MODELS = (MODEL, "rada7437b5", "ravo486f6a")
# What one call to the store may hold.
MAX_CALL_BYTES = 1_000_000
# The bounds of the sheet of tcd-goldcrest, as the settings file holds them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4.7,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "againS": 0,
    "finishS": 10,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOver": 0.1,
    "enforceFencing": False,
    "leaseMs": 3000,
    "thawMs": 300,
}
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
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+)\|json\}\}")


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._path.write_text("")
        self._began_s = time.monotonic()

    def line(self, text):
        """Write a line with the seconds since the start."""
        at_s = time.monotonic() - self._began_s
        with self._path.open("a") as file:
            file.write(f"{at_s:8.3f} {text}\n")


def _lookup(settings, name):
    for part in name.split("."):
        settings = settings.get(part) if isinstance(settings, dict) else None
    return settings


def render(template, settings):
    """Fill in a template as the platform does, as far as this project's needs it."""

    def section(match):
        return match[2] if _lookup(settings, match[1]) is not None else ""

    text = _SECTION.sub(section, template)
    return _VALUE.sub(lambda m: json.dumps(_lookup(settings, m[1])), text)


def free_port(address):
    """Return a free port of an address, below the range of outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return port


class Daemon:
    """One machine of the class ``front`` and its process."""

    def __init__(self, name, zone, store_port, directory, memory_mb, status_s=120):
        self.name = name
        self.zone = zone
        self.process = None
        # A loopback address of its own, so that all have the same ports.
        self.address = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}.9"
        self.callers = free_port(self.address)
        self.readiness = free_port(self.address)
        self.memory_mb = memory_mb
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self._settings_path = pathlib.Path(directory) / f"{name}.json"
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["front"]
        self._words = role["run"].split()
        template = (ROOT / role["template"]).read_text()
        settings = {
            "node": name,
            "zone": zone,
            "region": "hu-south",
            "listen": {
                "front": f"{self.address}:{self.callers}",
                "ready": f"{self.address}:{self.readiness}",
            },
            "limits": {"cores": 3, "cpuShare": 0.717, "memoryMb": memory_mb},
            "contracts": CONTRACTS,
            "bounds": BOUNDS | {"statusS": status_s},
            "provider": {"address": f"127.0.0.1:{store_port}"},
        }
        self._settings_path.write_text(render(template, settings))

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GOLDCRESTMOOR_SETTINGS"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self._words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def signal(self, number):
        """Send the process a signal, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self):
        """Let the process stand still."""
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Let the process go on."""
        self.signal(signal.SIGCONT)

    def end(self):
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def memory_bytes(self):
        """Return the memory that the process has now, or 0 if it has ended."""
        try:
            pages = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0
        return int(pages[1]) * os.sysconf("SC_PAGE_SIZE")

    async def is_ready(self, timeout_s=1.0):
        """Return whether the process answers the readiness check with 200."""
        try:
            answer = await call(
                self.address, self.readiness, "GET", "/readiness", timeout_s=timeout_s
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return answer.status == 200


class Answer:
    """A whole response to a call."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def call(
    address, port, method, target, body=b"", headers=(), timeout_s=10.0, host=HOST
):
    """Send a request on a new connection and return the whole :class:`Answer`.

    :raises OSError: when the connection is lost.
    :raises EOFError: when it ends within the response.
    :raises TimeoutError: when there is no whole response in time.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join([*lines, "Connection: close", "", ""])
            writer.write(head.encode("latin-1") + body)
            await writer.drain()
            return await _read_answer(reader)
        finally:
            writer.transport.abort()


async def _read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.read()
    return Answer(status, headers, body)


class Store(UsersStore):
    """The project's stand-in of the store, with the bound on the size of a call."""

    async def handle(self, request):
        if len(request.body) > MAX_CALL_BYTES:
            return Response(413)
        return await super().handle(request)


class Platform:
    """The store, the servers and the daemons; :meth:`close` ends all of them.

    :param record: the :class:`Record`.
    """

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.servers = []
        self.daemons = []
        self.silent = set()
        self._directory = tempfile.TemporaryDirectory()
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine until :meth:`close`, and return its task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, configuration, servers, zones, memory_mb=330, status_s=120):
        """Start the store, servers and a daemon in each of the zones.

        Each daemon has a gate of the store under its name, which can be closed to it.

        :raises TimeoutError: when a daemon isn't ready within half a minute.
        """
        self.servers = servers
        await self.store.start()
        for server in servers:
            await server.start()
        self.store.put("op", "config", configuration)
        self.spawn(self._send_heartbeats())
        for number, zone in enumerate(zones, 1):
            daemon = Daemon(
                f"front-{zone}-{number}",
                zone,
                await self.store.gate(f"front-{zone}-{number}"),
                self._directory.name,
                memory_mb,
                status_s,
            )
            self.daemons.append(daemon)
            daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        self.record.line(f"ready: {', '.join(d.name for d in self.daemons)}")

    async def wait_ready(self, daemon, timeout_s=30):
        """Wait until a daemon is ready."""
        end_s = time.monotonic() + timeout_s
        while not await daemon.is_ready():
            if time.monotonic() > end_s:
                raise TimeoutError(f"{daemon.name} is not ready")
            await asyncio.sleep(0.05)

    def runner(self, job_id):
        """Return the daemon that runs a batch job, by its log, or None."""
        for daemon in self.daemons:
            if f"Job {job_id} of " in daemon.log_path.read_text(errors="replace"):
                return daemon
        return None

    async def _send_heartbeats(self):
        while True:
            for server in self.servers:
                if server.name not in self.silent:
                    self.store.put("servers", server.name, server.entry())
            await asyncio.sleep(1.2)

    async def close(self):
        """End all that was started."""
        for daemon in self.daemons:
            daemon.end()
            if "KEEP_LOGS" in os.environ:
                shutil.copy(daemon.log_path, os.environ["KEEP_LOGS"])
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers:
            await server.close()
        await self.store.close()
        self._directory.cleanup()


def configuration(version=7, timeout_ms=2000, keep_s=40.0, routes=None):
    """Return a configuration like the one that ``fleetbench wire`` shows."""
    plain = {
        "name": "r-x73d3zj",
        "hostname": HOST,
        "pathPrefix": "/lohu930/",
        "routeType": "safe",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 191,
        "priority": 2,
        "service": "wuno96b",
        "attempts": 2,
    }
    rollout = {
        "name": "r-i9n73hh",
        "hostname": HOST,
        "pathPrefix": "/pufi791/",
        "routeType": "rollout",
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "huvo11a",
        "attempts": 3,
        "keepS": keep_s,
        "runAimMs": 7500,
        "singleVersion": False,
        "stickySessions": True,
        "resumable": True,
    }
    stream = plain | {
        "name": "r-p55t0qe",
        "pathPrefix": "/vemu350/",
        "routeType": "streaming",
        "timeoutMs": 20000,
        "targetLatencyMs": 400,
        "service": "huvo11a",
        "attempts": 3,
        "stickySessions": True,
        "resumable": True,
    }
    named = {"plain": plain, "rollout": rollout, "stream": stream}
    return {
        "version": version,
        "routes": [named[name] for name in routes or ("plain", "rollout")],
        "services": [
            {
                "name": "huvo11a",
                "healthPath": "/health",
                "maxConns": 160,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 12, "models": [{"name": m} for m in MODELS]},
            },
            {
                "name": "wuno96b",
                "healthPath": "/health",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def submission(job_id, groups, per_group, step=0, model=MODEL):
    """Return the body of a batch job."""
    items = [
        {
            "id": f"{job_id}-{group}-{number}",
            "path": f"/pufi791/{group}/{number}",
            "headers": {"Model-Name": model, "Token-Count": "271,400"},
            "body": "q83vEjRWeJA=",
            "tokens": 671,
            "group": f"{job_id}-{group}",
        }
        for group in range(groups)
        for number in range(per_group)
    ]
    job = {
        "step": step,
        "model": model,
        "minVersion": 1,
        "targetGroups": max(1, groups * 9 // 10),
        "items": items,
    }
    return json.dumps(job).encode()


async def submit(daemon, job_id, body, timeout_s=10.0):
    """Submit a batch job and return the status of the response."""
    answer = await call(
        daemon.address,
        daemon.callers,
        "POST",
        f"/pufi791/{job_id}",
        body,
        [("Request-Id", job_id), ("Content-Type", "application/json")],
        timeout_s,
    )
    return answer.status


async def read(daemon, job_id, after=0, timeout_s=5.0):
    """Return the :class:`Answer` to a call for a batch job's results."""
    return await call(
        daemon.address,
        daemon.callers,
        "GET",
        f"/lots/{job_id}?after={after}",
        headers=[("Request-Id", f"read-{random.getrandbits(48):x}")],
        timeout_s=timeout_s,
    )


class LagWatch:
    """Measures how long this process itself was late, which would spoil a result.

    :ivar max_ms: the longest time.
    """

    def __init__(self):
        self.max_ms = 0

    async def run(self):
        """Measure until cancelled."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(0.01)
            self.max_ms = max(self.max_ms, (time.monotonic() - began_s - 0.01) * 1000)


async def run(case, folder, limit_s=110):
    """Run a case and return its exit code.

    :param case: a coroutine function of the platform and the record, which returns
        whether the rule held.
    :param limit_s: how long it may take.
    """
    record = Record(folder)
    record.line(f"TROUBLE={int(HAS_TROUBLE)}")
    platform, lag = Platform(record), LagWatch()
    platform.spawn(lag.run())
    try:
        async with asyncio.timeout(limit_s):
            held = await case(platform, record)
        record.line(f"this process was late by {lag.max_ms:.0f} ms at most")
    except Exception as e:
        record.line(f"the case could not run: {e!r}")
        return NOT_RUN
    finally:
        await platform.close()
    record.line("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
