"""All daemons are killed while a release lets the old servers finish their streams."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib_2 import deployment
from review.lib_2.deployment import HAS_TROUBLE
from review.lib_2.streams import Stream, engine

ZONES = ("szeged-a", "szeged-b", "hodmezo")
STREAMS = 12
EVENTS, EVENT_MS = 70, 150
DEADLINE_S, RETRY_S = 20.0, 0.5
# The rule: more than two streams with events of two software versions.
MIXED_STREAMS = 2
DRAIN_S = 2.0
RESTART_S = 0.5


async def case(platform, record):
    old = [engine(f"i-old{number}", "v1", EVENTS, EVENT_MS) for number in range(3)]
    new = [engine(f"i-new{number}", "v2", EVENTS, EVENT_MS) for number in range(3)]
    config = deployment.configuration(routes=("plain", "rollout", "stream"))
    platform.silent.update(server.name for server in new)
    await platform.start(config, old + new, ZONES)
    await asyncio.sleep(1)
    streams = [Stream(number, DEADLINE_S, RETRY_S) for number in range(STREAMS)]
    tasks = [platform.spawn(stream.run(platform, record)) for stream in streams]
    await asyncio.sleep(1)
    # The release: new servers start first; the old ones drain.
    for server in new:
        platform.silent.discard(server.name)
        platform.store.put("servers", server.name, server.entry())
    record.line("the servers of software version v2 are listed")
    await asyncio.sleep(1.5)
    for server in old:
        platform.silent.add(server.name)
        platform.store.put("servers", server.name, server.entry("draining"))
    record.line("the servers of software version v1 report draining")
    await asyncio.sleep(DRAIN_S)
    for server in old:
        platform.store.remove("servers", server.name)
    record.line("they have left the list and finish their streams")
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
    record.line(f"whole streams: {whole}; with events of two versions: {mixed}")
    return len(mixed) <= MIXED_STREAMS


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(asyncio.run(deployment.run(case, folder)))
