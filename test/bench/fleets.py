"""Measure the control overhead of daemons, idle and busy, by fleet size."""

import asyncio
import contextlib
import os

from prometheus_client.parser import text_string_to_metric_families

from test import fleet
from test.bench.control import LISTED, listed
from test.bench.table import show, slope

SIZES = (2, 4, 8, 16, 32)
SETTLE_S = 6
MEASURE_S = 10
CALLERS = 4
STARTS = 3
PAUSE_S = 0.1
ZONES = ("zone-a", "zone-b")
TOKEN = "bench-token"
KB = 1000
MB = 1_000_000


class Reading:
    """A snapshot of one daemon's metrics.

    :param text: the response of ``/metrics``.
    """

    __slots__ = ("cpu_s", "resident_bytes", "bytes_by_class")

    def __init__(self, text):
        self.cpu_s = self.resident_bytes = 0
        self.bytes_by_class = {}
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                self._add_sample(sample)

    def _add_sample(self, sample):
        match sample.name:
            case "process_cpu_seconds_total":
                self.cpu_s = sample.value
            case "process_resident_memory_bytes":
                self.resident_bytes = sample.value
            case "goldcrestmoor_control_bytes_total":
                name = sample.labels["message"], sample.labels["direction"]
                self.bytes_by_class[name] = sample.value


def plan(hosts):
    """Return the plan of a fleet with one application pool.

    :param hosts: the number of daemons.
    """
    counts_before = {zone: hosts // len(ZONES) for zone in ZONES}
    pools = (fleet.PoolPlan("dash", "application", {"zone-a": 1, "zone-b": 1}),)
    accounts = (fleet.AccountPlan("clerk", "application", TOKEN, ("dash",)),)
    return fleet.Plan(hosts_by_zone=counts_before, pools=pools, accounts=accounts)


async def read_all(running):
    """Return a :class:`Reading` of each daemon, and the platform's call counts."""
    answers = await asyncio.gather(
        *(fleet.http_get(f"{host.url}/metrics") for host in running.hosts)
    )
    stats = await running.get_json(running.platform_control, "/control/stats")
    return [Reading(body.decode()) for _, body in answers], stats


async def measure(running, seconds):
    """Return the mean costs per daemon over some seconds.

    :return: CPU s/s, resident bytes, bytes/s by message class and direction, and
        the fleet's platform calls/s by kind.
    """
    before, counts_before = await read_all(running)
    await asyncio.sleep(seconds)
    after, counts_after = await read_all(running)
    pairs = list(zip(before, after, strict=True))
    count = len(pairs) * seconds
    cpu = sum(b.cpu_s - a.cpu_s for a, b in pairs) / count
    resident = sum(b.resident_bytes for b in after) / len(after)
    by_class = {}
    for a, b in pairs:
        for name, value in b.bytes_by_class.items():
            spent = (value - a.bytes_by_class.get(name, 0)) / count
            by_class[name] = by_class.get(name, 0) + spent
    calls = {
        name: (counts_after[name] - counts_before.get(name, 0)) / seconds
        for name in sorted(counts_after)
    }
    return cpu, resident, by_class, calls


async def grow_list(running):
    """Extend the platform's host list to ``LISTED`` entries with unused upstreams."""
    hosts = running.listed_hosts()
    more = listed(max(0, LISTED - len(hosts)))
    await running.control(running.platform_control, "hosts", hosts=hosts + more)


async def _call(url):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    while True:
        await fleet.http_get(f"{url}/apps/dash/panel", headers)
        await asyncio.sleep(PAUSE_S)


@contextlib.asynccontextmanager
async def load(running):
    """Run ``CALLERS`` callers that fetch panels through the daemons."""
    urls = [host.url for host in running.hosts]
    tasks = [asyncio.create_task(_call(urls[i % len(urls)])) for i in range(CALLERS)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _measure_size(size, seconds):
    for _ in range(STARTS):
        try:
            async with fleet.Fleet(plan(size)) as running:
                return await _measure_fleet(running, seconds)
        except AssertionError as e:
            # Another process may bind a free port before the daemon listens on it.
            print(f"  {size} daemons did not start: {str(e).splitlines()[0]}")
    raise AssertionError(f"{size} daemons did not start in {STARTS} attempts.")


async def _measure_fleet(running, seconds):
    await grow_list(running)
    await asyncio.sleep(SETTLE_S)
    idle = await measure(running, seconds)
    async with load(running):
        busy = await measure(running, seconds)
    return idle, busy


async def _run(sizes, seconds):
    rows, class_rows, bytes_by_size = [], [], []
    for size in sizes:
        idle, busy = await _measure_size(size, seconds)
        for state, (cpu, resident, by_class, calls) in (("idle", idle), ("busy", busy)):
            total = sum(by_class.values())
            reads = calls.get("reads", 0) / size
            host_reads = calls.get("host_reads", 0) / size
            writes = calls.get("writes", 0) / size
            rows.append(
                (size, state, 100 * cpu, resident / MB, total / KB)
                + (reads, host_reads, writes)
            )
        bytes_by_size.append((size, sum(idle[2].values()) / KB))
        class_rows = [(*name, rate) for name, rate in sorted(idle[2].items()) if rate]
    show(
        f"Per daemon, {LISTED} listed: CPU, memory, bytes, platform calls",
        ("daemons", "load", "cpu %", "MB", "KB/s", "reads/s", "lists/s", "writes/s"),
        rows,
    )
    show(
        f"Idle, per daemon of {sizes[-1]}: control bytes/s by message class",
        ("class", "direction", "bytes/s"),
        class_rows,
    )
    if len(sizes) > 1:
        print(f"  slope: {slope(bytes_by_size):.4f} KB/s per additional daemon")


def run():
    """Print the costs at each fleet size.

    ``SLOPES_SIZES`` sets the sizes, ``SLOPES_SECONDS`` the duration of a measurement.
    """
    chosen = os.environ.get("SLOPES_SIZES")
    sizes = [int(n) for n in chosen.split(",")] if chosen else SIZES
    seconds = float(os.environ.get("SLOPES_SECONDS", MEASURE_S))
    asyncio.run(_run(sizes, seconds))
