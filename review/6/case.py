"""All daemons are killed while a release lets the old servers finish their streams."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib_2 import deployment
from review.lib_2.deployment import HAS_TROUBLE
from review.lib_2.streams import Stream, engine

ZONES = ("szeged-a", "szeged-b", "hodmezo")
STREAMS = 24
EVENTS, EVENT_MS = 70, 150
DEADLINE_S, RETRY_S = 20.0, 1.0
# The rule: more than two streams with events of two software versions.
MIXED_STREAMS = 2
# The release: half of the servers, one at a time.
GAP_S = 1.0
DRAIN_S = 2.0
RESTART_S = 0.5


async def replace(platform, record, old, new):
    """Replace a server: the new one starts first, then the old one drains."""
    platform.silent.discard(new.name)
    platform.store.put("servers", new.name, new.entry())
    record.line(f"{new.name} of v2 is listed")
    await asyncio.sleep(0.3)
    platform.silent.add(old.name)
    platform.store.put("servers", old.name, old.entry("draining"))
    record.line(f"{old.name} of v1 reports draining")
    await asyncio.sleep(DRAIN_S)
    platform.store.remove("servers", old.name)
    record.line(f"{old.name} has left the list and finishes its streams")


async def case(platform, record):
    # Servers of both versions serve side by side when the release begins.
    old = [engine(f"i-old{number}", "v1", EVENTS, EVENT_MS) for number in range(3)]
    side = [engine(f"i-side{number}", "v2", EVENTS, EVENT_MS) for number in range(3)]
    new = [engine(f"i-new{number}", "v2", EVENTS, EVENT_MS) for number in range(3)]
    config = deployment.configuration(routes=("plain", "rollout", "stream"))
    platform.silent.update(server.name for server in new)
    await platform.start(config, old + side + new, ZONES)
    await asyncio.sleep(1)
    streams = [Stream(number, DEADLINE_S, RETRY_S) for number in range(STREAMS)]
    tasks = [platform.spawn(stream.run(platform, record)) for stream in streams]
    await asyncio.sleep(1)
    replacing = []
    for pair in zip(old, new, strict=True):
        replacing.append(platform.spawn(replace(platform, record, *pair)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*replacing)
    await asyncio.sleep(0.5)
    if HAS_TROUBLE:
        for daemon in platform.daemons:
            daemon.end()
        record.line("all daemons are killed")
        await asyncio.sleep(RESTART_S)
        for daemon in platform.daemons:
            daemon.start()
        record.line("all daemons start again")
    await asyncio.gather(*tasks)
    mixed = [stream.number for stream in streams if len(stream.versions) > 1]
    whole = sum(stream.is_whole for stream in streams)
    runs = sum(len(server.runs) for server in old)
    record.line(
        f"whole streams: {whole} of {STREAMS}; runs at servers of v1: {runs}; streams "
        f"with events of two versions: {len(mixed)} {mixed}"
    )
    return len(mixed) <= MIXED_STREAMS


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(asyncio.run(deployment.run(case, folder)))
