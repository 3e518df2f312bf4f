"""Compare a hop through a daemon with a direct call and a minimal proxy."""

import asyncio
import json
import os
import statistics

from test import _common, fleet
from test.bench.caller import TOKEN
from test.bench.fleets import read_all
from test.bench.processes import ADDRESS, Directory
from test.bench.table import show

RUNS = 5
SECONDS = 3
CALLERS = 16
CALLER_PROCESSES = 2
STREAM_TOKENS = 200
PACED = {"token_ms": 20, "batch_slowdown": 0}
UNPACED = {"token_ms": 0}
PACED_CALLERS = 100
ROUTES = ("direct", "forwarder", "daemon")
LIMITS = {"max_queue_per_upstream": 1024}


def plan():
    """Return the plan of a fleet with one daemon and fast stand-ins as upstreams."""
    pools = (
        fleet.PoolPlan("dash", "application", {"zone-a": 2}),
        fleet.PoolPlan(
            "lm-pool",
            "engine",
            {"zone-a": 4},
            model="lm",
            slots=64,
            options={"token_ms": 0, "prompt_token_ms": 0},
        ),
    )
    names = ("dash", "lm-pool")
    account = fleet.AccountPlan("caller", "application", TOKEN, names)
    return fleet.Plan(
        hosts_by_zone={"zone-a": 1},
        pools=pools,
        accounts=(account,),
        settings={"limits": LIMITS},
    )


class Bench:
    """One daemon, one forwarder and their upstreams.

    :param running: the fleet.
    :param processes: the :class:`Directory` that starts the forwarder and callers.
    """

    def __init__(self, running, processes):
        self._running = running
        self._processes = processes
        self._endpoints = {}
        self._started = 0

    async def start(self):
        """Start the forwarder."""
        app = next(u for u in self._running.upstreams if u.pool == "dash")
        engine = next(u for u in self._running.upstreams if u.pool == "lm-pool")
        port = _common.free_port(ADDRESS)
        upstream_arguments = [app.address, app.port, engine.address, engine.port]
        arguments = [
            "test.bench.forwarder",
            ADDRESS,
            str(port),
            *map(str, upstream_arguments),
        ]
        await self._processes.start("forwarder", arguments).ready_port()
        host = self._running.hosts[0]
        self._endpoints = {
            ("fetch", "direct"): (app.address, app.port),
            ("stream", "direct"): (engine.address, engine.port),
        }
        for kind in ("fetch", "stream"):
            self._endpoints[kind, "forwarder"] = ADDRESS, port
            self._endpoints[kind, "daemon"] = host.address, host.port

    async def call(self, kind, route, callers=1, processes=1, seconds=SECONDS):
        """Run caller processes, and return their reports."""
        address, port = self._endpoints[kind, route]
        arguments = [kind, address, port, callers, seconds, STREAM_TOKENS]
        started = []
        for _ in range(processes):
            self._started += 1
            words = ["test.bench.caller", *map(str, arguments)]
            started.append(self._processes.start(f"caller-{self._started}", words))
        for process in started:
            code = await process.wait(seconds + _common.EVENT_TIMEOUT_S)
            if code:
                raise AssertionError(process.log_tail())
        reports = [json.loads(p.log().splitlines()[-1]) for p in started]
        for report in reports:
            if report["failures"]:
                raise AssertionError(f"{kind} through {route}: {report}")
        return reports

    async def pace(self, options):
        """Set the token timing of the engines.

        :param options: options of the engine stand-in.
        """
        for upstream in self._running.upstreams:
            if upstream.pool == "lm-pool":
                await self._running.control(upstream, "set", **options)

    async def cpu_s(self):
        """Return the CPU time that the daemon has used, in seconds."""
        readings, _ = await read_all(self._running)
        return readings[0].cpu_s


async def _latency(bench, runs):
    values = {}
    for _ in range(runs):
        for kind in ("fetch", "stream"):
            for route in ROUTES:
                (report,) = await bench.call(kind, route)
                values.setdefault((kind, route), []).append(report)
    rows = []
    for kind, name in (("fetch", "whole"), ("stream", "first"), ("stream", "whole")):
        for p in (50, 99):
            rows.append((f"{kind} {name}", f"p{p}", *_ratios(values, kind, name, p)))
    columns = ("what", "at", "direct us", "forwarder/direct", "daemon/direct")
    columns += ("daemon/forwarder", "least", "most")
    show(
        f"One call at a time; medians of {runs} runs, ratios run by run", columns, rows
    )


def _ratios(values, kind, name, percentile):
    field = f"{name}_{percentile}"
    direct, forwarder, daemon = (
        [report[field] for report in values[kind, route]] for route in ROUTES
    )
    hops = [b / a for a, b in zip(forwarder, daemon, strict=True)]
    to_forwarder = [b / a for a, b in zip(direct, forwarder, strict=True)]
    to_daemon = [b / a for a, b in zip(direct, daemon, strict=True)]
    medians = (statistics.median(v) for v in (direct, to_forwarder, to_daemon, hops))
    return *medians, min(hops), max(hops)


async def _rates(bench, kind, field, callers, runs):
    for _ in range(runs):
        before = await bench.cpu_s()
        reports = await bench.call(kind, "daemon", callers, CALLER_PROCESSES)
        spent = await bench.cpu_s() - before
        yield sum(report[field] for report in reports) / spent


async def _throughput(bench, runs):
    rows = []
    for name, kind, field, callers, pace in (
        ("requests", "fetch", "calls", CALLERS, UNPACED),
        ("tokens, unthrottled", "stream", "events", CALLERS, UNPACED),
        ("tokens, one per 20 ms and stream", "stream", "events", PACED_CALLERS, PACED),
    ):
        await bench.pace(pace)
        rates = [rate async for rate in _rates(bench, kind, field, callers, runs)]
        rows.append((name, statistics.median(rates), min(rates), max(rates)))
    await bench.pace(UNPACED)
    columns = ("per CPU second", "median", "least", "most")
    show(f"One daemon, {runs} runs", columns, rows)


async def _run():
    runs = int(os.environ.get("SLOPES_RUNS", RUNS))
    async with Directory() as processes, fleet.Fleet(plan()) as running:
        bench = Bench(running, processes)
        await bench.start()
        await _throughput(bench, runs)
        if not os.environ.get("SLOPES_THROUGHPUT_ONLY"):
            await _latency(bench, runs)


def run():
    """Print throughput per CPU second, and latency ratios.

    ``SLOPES_RUNS`` sets the number of runs; ``SLOPES_THROUGHPUT_ONLY`` skips latency.
    """
    asyncio.run(_run())
