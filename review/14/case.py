"""Streams go on at older software after a rolling restart with lost answers."""

import asyncio
import json
import pathlib
import time

from review.lib_3.deployment import Deployment, run
from review.lib_3.servers import SoundServer
from review.lib_3.streams import EVENT_MS, NEW, OLD, read_stream
from test import _front
from test.standins.server import Drop
from test.standins.users_store import UsersStore

DAEMONS = ("front-a", "front-b")
STREAMS = 12
# Longer than a daemon that is being stopped lets streams run.
EVENTS = 150
# When a write is done whose answer is lost.
LATE_S = 4.5
# How long writes are lost, by the site file, and the share of them.
LOST_FOR_S, LOST_SHARE = 4.5, 0.35
# A write that is sent again is answered.
REPEATED_S = 2.0


class LossyStore(UsersStore):
    """A store that does some writes late and doesn't answer them.

    Lost is the first write that removes the row of a daemon; its repetitions are not.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.is_lossy = False
        self.tasks = []
        self.lost_s = None
        # When writes came, and which of them were lost.
        self.written_s, self.all_lost_s = [], []

    async def handle(self, request):
        """Return the response to a call."""
        if request.path != "/rows-tx" or not self.is_lossy:
            return await super().handle(request)
        removed = [
            entry["key"]
            for entry in json.loads(request.body)["remove"]
            if entry["table"] == "hosts"
        ]
        now_s = time.monotonic()
        self.written_s.append(now_s)
        if not removed or (self.lost_s and now_s - self.lost_s < REPEATED_S):
            return await super().handle(request)
        self.lost_s = now_s
        self.all_lost_s.append(now_s)
        self.record.add(
            f"a write that removes {removed} is not answered, and done late"
        )
        self.tasks.append(asyncio.create_task(self._do_late(request, removed)))
        raise Drop

    async def _do_late(self, request, removed):
        await asyncio.sleep(LATE_S)
        await super().handle(request)
        self.record.add(f"the write that removes {removed} is done")


async def restart(record, fleet, name):
    """Stop a daemon as planned, and start it again at once."""
    record.add(f"{name} gets SIGTERM")
    await fleet.stop(name)
    fleet.start_front(name)
    await fleet.wait_ready(name)
    record.add(f"{name} is ready again")


async def case(record, has_trouble):
    """Return whether more than two streams hold events of both software versions."""
    fleet = Deployment()
    fleet.store = LossyStore(record)
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
    try:
        await fleet.start(DAEMONS)
        await asyncio.sleep(1)
        status = await fleet.submit(DAEMONS[1], "a1", 4)
        record.add(f"a batch job is answered {status}")
        await asyncio.sleep(1)
        fleet.store.is_lossy = has_trouble
        for name in DAEMONS:
            await restart(record, fleet, name)
        await asyncio.sleep(LATE_S)
        fleet.store.is_lossy = False
        lost_s = fleet.store.all_lost_s
        if lost_s:
            until_s = lost_s[0] + LOST_FOR_S
            writes = sum(lost_s[0] <= at_s < until_s for at_s in fleet.store.written_s)
            record.add(
                f"{len(lost_s)} of the {writes} writes within {LOST_FOR_S} s were lost"
            )
            if lost_s[-1] >= until_s or len(lost_s) > LOST_SHARE * writes:
                raise RuntimeError("more was lost than the site allows")
        rows = [key for table, _, key in fleet.store.row_by_place if table == "hosts"]
        record.add(f"the store has rows of the daemons {rows}")
        fleet.silent.discard(newer.name)
        fleet.store.put("servers", newer.name, newer.entry())
        record.add(f"{newer.name} of software {NEW} is listed beside {OLD}")
        await asyncio.sleep(3)
        first, second = (fleet.ports[name][0] for name in DAEMONS)
        streams = [
            asyncio.create_task(read_stream(record, f"s{n}", first, [second], EVENTS))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(1.5)
        await restart(record, fleet, DAEMONS[0])
        outcomes = await asyncio.gather(*streams)
        fleet.record_peaks(record)
        mixed = sum(len(versions) > 1 for versions in outcomes)
        record.add(f"{mixed} streams hold events of both versions; two are allowed")
        return mixed > 2
    finally:
        await fleet.close()


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)
