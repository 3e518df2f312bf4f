"""Streams go on at older software after a rolling restart with lost answers."""

import asyncio
import json
import pathlib
import signal
import time

from review.lib_3.deployment import Deployment, run
from review.lib_3.streams import EVENT_MS, NEW, OLD, read_stream
from test import _front
from test.standins.server import Drop
from test.standins.users_server import UsersServer
from test.standins.users_store import UsersStore

DAEMONS = ("front-a", "front-b")
STREAMS = 16
# Longer than a daemon that is being stopped lets streams run.
EVENTS = 150
# When a write is done whose answer is lost.
LATE_S = 4.5
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
        self.writes = self.lost = 0

    async def handle(self, request):
        """Return the response to a call."""
        if request.path != "/rows-tx" or not self.is_lossy:
            return await super().handle(request)
        self.writes += 1
        removed = [
            entry["key"]
            for entry in json.loads(request.body)["remove"]
            if entry["table"] == "hosts"
        ]
        now_s = time.monotonic()
        if not removed or (self.lost_s and now_s - self.lost_s < REPEATED_S):
            return await super().handle(request)
        self.lost_s, self.lost = now_s, self.lost + 1
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
    fleet.fronts[name].signal(signal.SIGTERM)
    await fleet.fronts[name].wait(20)
    fleet.start_front(name)
    await fleet.wait_ready(name)
    record.add(f"{name} is ready again")


async def case(record, has_trouble):
    """Return whether more than two streams hold events of both software versions."""
    fleet = Deployment()
    fleet.store = LossyStore(record)
    fleet.engines = [
        UsersServer(f"engine-{n}", "pool", {_front.MODEL: 1}, EVENTS) for n in "01"
    ]
    for engine in fleet.engines:
        engine.event_ms = EVENT_MS
    newer = fleet.engines[1]
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
        record.add(f"{fleet.store.lost} of {fleet.store.writes} writes were lost")
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
        mixed = sum(len(versions) > 1 for versions in await asyncio.gather(*streams))
        record.add(f"{mixed} streams hold events of both versions; two are allowed")
        return mixed > 2
    finally:
        await fleet.close()


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)
