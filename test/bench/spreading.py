"""Measure weight rollouts to all engines, and a broadcast to all hosts."""

import asyncio
import collections
import time
from types import SimpleNamespace

from goldcrestmoor.adapters.engine import EngineClient
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.process.broadcast import TreeBroadcast
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.configuration.document import (
    Configuration,
    Pool,
    Upstream,
    UpstreamKind,
)
from goldcrestmoor.version.weights.rollout_strategies import AllAtOnce
from goldcrestmoor.version.weights.weight_messages import VersionPublished
from goldcrestmoor.version.weights.weight_updater import WeightUpdater
from test import _common
from test.bench.processes import Directory
from test.bench.table import show

HOSTS = 350
ZONES = 5
UPSTREAMS = (100, 350, 700)
STAND_INS = 4
RUNS = 3
MODEL = "lm"
SWAP_MS = 50
IDLE_S = 30


class _Versions:
    def __init__(self):
        self.version = 1

    def current(self, model):
        return self.version


class _Published:
    """Records the engine versions that the updater broadcasts."""

    def __init__(self):
        self.versions = {}

    def broadcast(self, model, fencing, versions):
        self.versions = versions


def _configuration(endpoints, count):
    names = [f"lm-{i}" for i in range(count)]
    upstreams = {
        name: Upstream(name, "lm", "zone-a", *endpoints[i % len(endpoints)])
        for i, name in enumerate(names)
    }
    pools = {"lm": Pool("lm", UpstreamKind.ENGINE, MODEL)}
    return Configuration(1, {}, pools, upstreams)


async def _rollouts(endpoints, count):
    """Yield elapsed and CPU seconds of each rollout, then of an idle period."""
    clock = Clock()
    http = HttpClient(clock=clock, limits=_common.make_settings().limits)
    versions, published = _Versions(), _Published()
    lease = SimpleNamespace(fencing=1, was_released=True, holds=lambda: True)
    configuration = _configuration(endpoints, count)
    updater = WeightUpdater(
        clock=clock,
        model=MODEL,
        lease=lease,
        configuration=lambda: configuration,
        versions=versions,
        engine_versions=published,
        engines=EngineClient(http=http),
        metrics=Metrics(),
        strategy=AllAtOnce(),
    )
    tasks = TaskGroup()
    tasks.start(updater.run(lambda: True), "driver")

    def all_current():
        engines = updater._engines_by_name.values()
        return len(engines) == count and all(
            engine.version == versions.version for engine in engines
        )

    await _common.eventually(all_current)
    for _ in range(RUNS):
        await asyncio.sleep(3)
        started, cpu = time.monotonic(), time.process_time()
        versions.version += 1
        updater.wake()
        await _common.eventually(all_current)
        yield time.monotonic() - started, time.process_time() - cpu
    await asyncio.sleep(3)
    cpu = time.process_time()
    await asyncio.sleep(IDLE_S)
    yield IDLE_S, time.process_time() - cpu
    await tasks.close()
    await http.close()


async def _weight_rows():
    async with Directory() as processes:
        options = {"model": MODEL, "swap_ms": SWAP_MS, "report_lag_ms": 0}
        endpoints = [
            await processes.stand_in(f"engine-{i}", "engine", options)
            for i in range(STAND_INS)
        ]
        for count in UPSTREAMS:
            *runs, idle = [run async for run in _rollouts(endpoints, count)]
            slowest, cpu_s = max(runs)
            yield count, slowest, 1000 * cpu_s / count, 100 * idle[1] / idle[0]


def _tree_rows():
    """Yield the message counts of one broadcast from one host to all."""
    records = [
        SimpleNamespace(id=f"host-{i}", zone=f"zone-{i % ZONES}") for i in range(HOSTS)
    ]
    membership = SimpleNamespace(live=lambda zone=None: records)
    sent, received = collections.Counter(), collections.Counter()
    waiting = []

    def make_broadcast(host_id):
        def send(target, message):
            sent[host_id] += 1
            received[target] += 1
            waiting.append((target, message))

        links = SimpleNamespace(send=send)
        return TreeBroadcast(links=links, membership=membership, host_id=host_id)

    make_broadcast("host-0").broadcast(VersionPublished(MODEL, 1))
    hops = 0
    while waiting:
        hops += 1
        level, waiting = waiting, []
        for target, message in level:
            make_broadcast(target).forward(message, message.targets)
    yield HOSTS, len(received), max(received.values()), max(sent.values()), hops


def run():
    """Print the elapsed and CPU time of rollouts, and the shape of the tree."""
    columns = ("hosts", "reached", "most received", "most sent", "hops")
    show("One message to all hosts", columns, _tree_rows())
    rows = asyncio.run(_collect())
    columns = ("upstreams", "slowest s", "cpu ms per upstream", "cpu % idle")
    title = f"Weight rollout by one updater, {SWAP_MS} ms per swap, slowest of {RUNS}"
    show(title, columns, rows)


async def _collect():
    return [row async for row in _weight_rows()]
