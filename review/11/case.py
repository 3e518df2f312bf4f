"""Streams go on at older software after their machine was cut off and lost."""

import asyncio
import pathlib

from review.lib_3.deployment import Deployment, run
from review.lib_3.servers import SoundServer
from review.lib_3.streams import EVENT_MS, NEW, OLD, read_stream
from test import _front

LOST, REST = "front-a", ("front-b", "front-c")
ZONES = {"front-a": "zone-a", "front-b": "zone-b", "front-c": "zone-c"}
STREAMS = 12
EVENTS = 60
# From the cut to the streams, and from these to the loss of the machine.
CUT_S, LOSS_S = 0.5, 1.5


async def case(record, has_trouble):
    """Return whether more than two streams hold events of both software versions."""
    fleet = Deployment()
    fleet.engines = [
        SoundServer(f"engine-{n}", "pool", {_front.MODEL: 1}, events=EVENTS)
        for n in range(3)
    ]
    for engine in fleet.engines:
        engine.event_ms = EVENT_MS
    newer = fleet.engines[2]
    newer.version = NEW
    fleet.silent.add(newer.name)
    fleet.configured = {
        "stream": {"timeoutMs": 20000, "attempts": 3, "targetLatencyMs": 400}
    }
    names = (LOST, *REST)
    try:
        links = await fleet.link_daemons(names)
        await fleet.start(names, ZONES)
        await asyncio.sleep(2)
        fleet.silent.discard(newer.name)
        fleet.store.put("servers", newer.name, newer.entry())
        record.add(f"{newer.name} of software {NEW} is listed beside {OLD}")
        await asyncio.sleep(3)
        if has_trouble:
            for pair, link in links.items():
                if LOST in pair:
                    link.silence()
            record.add(f"{LOST} is cut off from the other machines")
        await asyncio.sleep(CUT_S)
        ports = [fleet.ports[name][0] for name in REST]
        streams = [
            asyncio.create_task(
                read_stream(record, f"s{n}", fleet.ports[LOST][0], ports, EVENTS)
            )
            for n in range(STREAMS)
        ]
        await asyncio.sleep(LOSS_S)
        fleet.fronts[LOST].kill()
        record.add(f"{LOST} is lost")
        outcomes = await asyncio.gather(*streams)
        fleet.record_peaks(record)
        mixed = sum(len(versions) > 1 for versions in outcomes)
        record.add(f"{mixed} streams hold events of both versions; two are allowed")
        return mixed > 2
    finally:
        await fleet.close()


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)
