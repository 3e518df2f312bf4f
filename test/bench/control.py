"""Measure the cost of single control messages and of reads from the platform."""

import asyncio
import json
import time

from goldcrestmoor import wire
from goldcrestmoor.adapters.hosts import HostListClient
from goldcrestmoor.adapters.table import TableClient, Write
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.connection.peers import PeerLinks
from goldcrestmoor.process.membership_messages import (
    HostRecord,
    HostState,
    Probe,
    ProbeAnswer,
)
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.admission_messages import (
    Acquire,
    Granted,
    HeldGrant,
    Release,
    RenewGrants,
)
from goldcrestmoor.version.weights.weight_messages import (
    EngineVersions,
    VersionPublished,
)
from test import _common
from test.bench.processes import Directory
from test.bench.table import show
from test.fleet import http_post

CALLS = 1000
READS = 100
LISTED = 1050
TIMEOUT_MS = 5000
PEER_ID = "host-b1"
HEAD_BYTES = 1200


def host_record(i=0):
    """Return a host record as in a membership message."""
    return HostRecord(
        f"szeged-a-{i}", "szeged-a", "hu-south", "10.1.2.3", 8080, 9090, 1 << 40,
        HostState.ALIVE,
    )  # fmt: skip


def _messages():
    updates = tuple(host_record(i) for i in range(6))
    grant = "szeged-a-1/" + "0" * 24
    held = HeldGrant(grant, "lm-pool-1", "trainer", 500)
    targets = tuple(f"szeged-a-{i}" for i in range(43))
    return (
        ("probe, no updates", Probe(host_record()), ProbeAnswer(host_record())),
        (
            "probe, 6 updates",
            Probe(host_record(), updates),
            ProbeAnswer(host_record(), updates),
        ),
        (
            "acquire",
            Acquire(grant, "lm-pool-1", "trainer", "trainer", 1, 500, 9000, "0" * 24),
            Granted(3),
        ),
        ("release", Release(grant, "lm-pool-1", 500), None),
        ("renew 1 grant", RenewGrants((held,)), None),
        ("renew 64 grants", RenewGrants((held,) * 64), None),
        ("version, 43 hosts", VersionPublished("model", 7, targets), None),
        ("engines, 43 hosts", EngineVersions("m", 1, 1, 7, {}, targets), None),
    )


class _Links:
    """The peer links of two hosts in one process; CPU time covers both ends."""

    def __init__(self):
        peer = _common.make_settings(PEER_ID)
        own = _common.make_settings("host-a1")
        self.endpoint = (peer.host.address, peer.host.peer_port)
        self.sender, self.peer = self._make(own), self._make(peer)
        self.received = asyncio.Semaphore(0)

    def _make(self, settings):
        return PeerLinks(
            clock=Clock(),
            settings=settings,
            directory=lambda host_id: self.endpoint,
            metrics=Metrics(),
        )

    async def start(self):
        await self.sender.start()
        await self.peer.start()

    async def close(self):
        await self.sender.close()
        await self.peer.close()

    async def run(self, message, answer):
        async def handle(sender, received):
            self.received.release()
            return answer

        self.peer.register(type(message), handle)
        await self._once(message, answer)
        sent = self.sender.bytes_sent_by_class
        before = sum(sent.values()) + sum(self.peer.bytes_sent_by_class.values())
        started = time.process_time()
        for _ in range(CALLS):
            await self._once(message, answer)
        cpu_s = time.process_time() - started
        after = sum(sent.values()) + sum(self.peer.bytes_sent_by_class.values())
        return cpu_s * 1e6 / CALLS, (after - before) / CALLS

    async def _once(self, message, answer):
        if answer is None:
            self.sender.send(PEER_ID, message)
        else:
            await self.sender.call(PEER_ID, message, TIMEOUT_MS)
        await self.received.acquire()


async def _peer_rows():
    links = _Links()
    await links.start()
    try:
        for name, message, answer in _messages():
            cpu_us, size = await links.run(message, answer)
            yield name, len(wire.encode(message)[1]), size, cpu_us
    finally:
        await links.close()


def listed(count):
    """Return entries of the platform's host list, all of them upstreams."""
    return [
        {
            "id": f"lm-pool-{i}",
            "kind": "upstream",
            "zone": "szeged-a",
            "address": f"10.1.{i // 250}.{i % 250}",
            "http_port": 8000,
            "peer_port": 0,
            "state": "live",
        }
        for i in range(count)
    ]


async def _read_rows():
    async with Directory() as processes:
        options = {"host_lag_ms": 0}
        address, port = await processes.stand_in("platform", "platform", options)
        body = json.dumps({"hosts": listed(LISTED)}).encode()
        await http_post(f"http://{address}:{port}/control/hosts", body)
        settings = _common.make_settings(platform={"address": address, "port": port})
        metrics, clock = Metrics(), Clock()
        http = HttpClient(clock=clock, limits=settings.limits)
        parts = {"clock": clock, "http": http, "settings": settings.platform}
        table = TableClient(**parts, metrics=metrics)
        hosts = HostListClient(**parts, metrics=metrics)
        await _write_head(table)
        for name, read in (
            ("configuration head", lambda: table.get("configuration", "head")),
            ("weight versions", lambda: table.scan("versions", "")),
            (f"host list, {LISTED} entries", hosts.fetch),
        ):
            yield name, *await _cost(read, metrics)
        await http.close()


async def _write_head(table):
    rows = [Write("versions", f"model-{i}", b"x" * 90) for i in range(7)]
    head = Write("configuration", "head", b"x" * HEAD_BYTES)
    await table.transact([], [head, *rows])


async def _cost(read, metrics):
    await read()
    before, started = _total(metrics), time.process_time()
    for _ in range(READS):
        await read()
    cpu_s = time.process_time() - started
    return (_total(metrics) - before) / READS, cpu_s * 1e6 / READS


def _total(metrics):
    (family,) = metrics.control_bytes.collect()
    samples = (s for s in family.samples if s.name.endswith("_total"))
    return sum(sample.value for sample in samples)


async def _run():
    rows = [row async for row in _peer_rows()]
    columns = ("message", "body bytes", "bytes with frames and reply", "cpu us")
    show("Messages between hosts: both ends together, with CURVE", columns, rows)
    rows = [row async for row in _read_rows()]
    show("Reads of the platform, one end", ("read", "bytes", "cpu us"), rows)


def run():
    """Print the size and CPU time of each message and read."""
    asyncio.run(_run())
