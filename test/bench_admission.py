"""Compare admission by an owner with placement decisions made at each entry host.

``python -m test.bench_admission`` runs many streams through several entry hosts
against the same engines, in one process, and prints a line for each variant.
"""

import asyncio
import statistics
import sys
import time

from goldcrestmoor.adapters.engine import EngineClient
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.request.admission import AdmissionClient, Grant
from goldcrestmoor.request.admission_owner import AdmissionOwner
from goldcrestmoor.request.completions import Completions
from goldcrestmoor.request.placement import LeastLoaded, Placement, TwoChoices
from test import _request_fakes as fakes
from test.standins import engine as standin

HOSTS = 8
ENGINES = 3
SLOTS = 8
STREAMS = 192
TOKENS = 40
TIMEOUT_MS = 300_000
RUNS = 5


class _NoAdmission:
    async def acquire(
        self, account, upstream, cost_tokens, deadline, request_id, alternatives=None
    ):
        return Grant("", upstream, account.name, cost_tokens, "")

    def release(self, grant, used_tokens):
        pass


class _OwnerByHash:
    def owner_of_upstream(self, upstream):
        return f"host-{hash(upstream.name) % HOSTS}"


async def run(with_owner):
    """Run all streams; return the duration in seconds and the maximum engine load."""
    clock = Clock()
    engines, servers, upstreams = [], [], []
    for i in range(ENGINES):
        engine, server = standin.make_server(slots=SLOTS, overload_slowdown=0.5)
        await server.start()
        engines.append(engine)
        servers.append(server)
        name = f"lm-{i}"
        upstreams.append(fakes.upstream(name, port=server.port, slots=SLOTS))
    account = fakes.account("trainer", "trainer")
    lease = fakes.FakeLease(*upstreams, accounts=[account])
    network = fakes.FakeNetwork()
    limits = fakes.limits(queue_timeout_ms=TIMEOUT_MS, progress_timeout_ms=TIMEOUT_MS)
    hosts = []
    for i in range(HOSTS):
        parts = fakes.parts()
        links = network.links(f"host-{i}")
        owner = AdmissionOwner(
            clock=clock, lease=lease, settings=limits, links=links, **parts
        )
        client = AdmissionClient(
            clock=clock,
            host_id=f"host-{i}",
            links=links,
            ownership=_OwnerByHash(),
            owner=owner,
            decisions=parts["decisions"],
        )
        policy = LeastLoaded() if with_owner else TwoChoices()
        hosts.append(
            Completions(
                clock=clock,
                engines=EngineClient(http=fakes.CountingHttp()),
                admission=client if with_owner else _NoAdmission(),
                placement=Placement(zone="zone-a", lease=lease, policy=policy),
                lease=lease,
                budget=fakes.make_budget(),
                settings=limits,
                **parts,
            )
        )

    async def complete(i):
        chunks = hosts[i % HOSTS].generate(
            account=account,
            pool="lm",
            prompt=f"prompt {i}",
            max_tokens=TOKENS,
            seed=i,
            deadline=Deadline.after(clock, TIMEOUT_MS),
            request_id=f"r{i}",
        )
        return sum([chunk.tokens async for chunk in chunks])

    started = time.monotonic()
    await asyncio.gather(*(complete(i) for i in range(STREAMS)))
    elapsed_s = time.monotonic() - started
    for server in servers:
        await server.close()
    return elapsed_s, max(engine.max_running for engine in engines)


def main():
    """Print the median and range of each variant."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else RUNS
    for name, with_owner in (("owner", True), ("two choices", False)):
        results = [asyncio.run(run(with_owner)) for _ in range(runs)]
        times = [elapsed_s for elapsed_s, _ in results]
        fullest = [most for _, most in results]
        print(
            f"{name}: whole after {statistics.median(times):.2f} s"
            f" ({min(times):.2f} to {max(times):.2f}),"
            f" fullest engine {max(fullest)} streams of {SLOTS} slots"
        )


if __name__ == "__main__":
    main()
