"""Measure the cost of a configuration document by its size."""

import time
import tracemalloc

from goldcrestmoor import util
from goldcrestmoor.version.configuration import document as documents
from goldcrestmoor.version.configuration.cut_off import expired_lease_configuration
from goldcrestmoor.version.configuration.document import (
    Account,
    Configuration,
    Pool,
    Upstream,
    UpstreamKind,
)
from test.bench.table import show, slope

SIZES = ((20, 10), (200, 50), (700, 10), (700, 200))
POOLS = 10
ZONES = 5
REPEATS = 20
KIB = 1024
CHANGES_PER_S = 3400 / 86_400


def make_configuration(upstreams, accounts):
    """Return a configuration.

    :param upstreams: the number of upstreams.
    :param accounts: the number of client accounts.
    """
    pools = [Pool(f"pool-{i}", UpstreamKind.ENGINE, f"model-{i}") for i in range(POOLS)]
    names = tuple(pool.name for pool in pools)
    return Configuration(
        1,
        {a.name: a for a in (_account(i, names) for i in range(accounts))},
        {pool.name: pool for pool in pools},
        {u.name: u for u in (_upstream(i) for i in range(upstreams))},
    )


def _account(i, pools):
    token_hash = util.hash_token(f"token {i}")
    return Account(f"account-{i}", "trainer", token_hash, pools[:3], share=1 + i % 9)


def _upstream(i):
    zone = i % ZONES
    address = f"10.{zone}.{i // 250}.{i % 250}"
    return Upstream(f"upstream-{i}", f"pool-{i % POOLS}", f"zone-{zone}", address, 8000)


def cpu_ms(function):
    """Return the mean CPU time of one call, in milliseconds."""
    function()
    started = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - started) * 1000 / REPEATS


def retained_bytes(make_object):
    """Return the memory that an object retains, in bytes."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = make_object()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before


def _row(upstreams, accounts):
    configuration = make_configuration(upstreams, accounts)
    data = documents.encode(configuration)

    def apply():
        decoded = documents.decode(data)
        return decoded, expired_lease_configuration(decoded, ())

    size = len(data)
    return (
        (upstreams, accounts, size / KIB, size * CHANGES_PER_S)
        + (cpu_ms(lambda: documents.encode(configuration)), cpu_ms(apply))
        + (retained_bytes(apply) / KIB,)
    )


def run():
    """Print the cost of each document size."""
    rows = [_row(*size) for size in SIZES]
    columns = ("upstreams", "accounts", "KiB", "B/s at 3,400 changes a day")
    columns += ("encode ms", "apply ms", "retained KiB")
    show("One configuration document, per host that applies it", columns, rows)
    few = [row for row in rows if row[1] <= rows[1][1]]
    print(f"  slope: {slope((r[0], r[6]) for r in few):.3g} KiB retained per upstream")
    big, small = rows[3], rows[2]
    added = big[1] - small[1]
    print(f"  slope: {(big[6] - small[6]) / added:.3g} KiB retained per account")
