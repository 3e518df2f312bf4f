"""The soak's faults while writes to the store get no response and are done late.

``python -m test.soak_late_writes FIRST LAST`` runs a range of seeds like ``test.soak``.
Hosts stop and start all the time; servers of a second software version come, and
clients take broken streams up at other hosts. No write that is done seconds late, after
the next one of any host or the next start of its own, may undo what was written since.
With ``accounts`` as a third argument, usage reports and scaling are soaked instead.
"""

import asyncio
import base64
import collections
import json
import re
import sys
import time

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.job.job_store import RESULT_TABLE
from goldcrestmoor.process import (
    capacity_orders,
    host_rows,
    lease_rows,
    usage_reports,
    version_log,
)
from goldcrestmoor.version.weights import order_log
from test import _common, soak
from test._front import HOST, MODEL
from test.soak import EVENTS, HOSTS
from test.soak_accounts import SERIES_S, AccountSoak
from test.standins.server import Drop
from test.standins.users_server import UsersServer, whole_text

# From the users' rules: writes are lost with a chance of 0.3, and done 1 to 6 s later.
LOST_SHARE = 0.3
LATE_S = (1.0, 6.0)
VERSIONS = ("v1", "v2")
STREAM_EVENTS = 60
STREAM_CLIENTS = 4
STREAM_TRIES = 3
# Writes that are still to be done late, and a host's next reading and write.
QUIET_S = 10.0
# Several lost writes, each tried again after a second at most; and a frozen host.
MISSING_S = 5.0
# Of the users' rule on streams that hold events of two versions.
MOST_MIXED = 2
DUTY_TABLES = {usage_reports.TABLE, capacity_orders.TABLE}
_EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n\n")


class LateWrites:
    """The store's part, for a soak of any kind.

    :ivar lost: how many writes got no response, by table.
    :ivar late: how many of them changed the store when they were done late.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.lost = collections.Counter()
        self.late = collections.Counter()
        self._is_lossy = False
        self._late_writes = set()
        self._fencing_by_place = {}
        self._final_by_place = {}

    async def _start(self):
        self._watch_store()
        await super()._start()

    def _watch_store(self):
        store = self.fleet.store
        write_row, transact = store._write, store._transact

        def write(table, part, key, value):
            if value is not None:
                self._check_row(table, key, base64.b64decode(value))
            return write_row(table, part, key, value)

        async def write_call(call):
            return call()

        def lossy(body):
            if not self._may_lose(body) or self.random.random() >= LOST_SHARE:
                return transact(body)
            task = asyncio.create_task(self._do_late(transact, body))
            self._late_writes.add(task)
            raise Drop

        store._write, store._transact, store._write_call = write, lossy, write_call

    def _may_lose(self, body):
        """Return whether a transaction may be lost."""
        return self._is_lossy

    async def _do_late(self, transact, body):
        await asyncio.sleep(self.random.uniform(*LATE_S))
        before = self.fleet.store.version
        transact(body)
        for table in _tables(body):
            self.lost[table] += 1
            self.late[table] += self.fleet.store.version > before

    def _check_row(self, table, key, value):
        """Check what no later write of a row may do."""
        if table in (lease_rows.TABLE, order_log.TABLE):
            fencing = json.loads(value)["fencing"]
            if fencing < self._fencing_by_place.get((table, key), 0):
                self.problems.append(f"{table}/{key}: fencing {fencing} after a higher")
            self._fencing_by_place[table, key] = fencing
        if table not in (RESULT_TABLE, usage_reports.TABLE):
            return
        if self._final_by_place.setdefault((table, key), value) != value:
            self.problems.append(f"{table}/{key} has changed")

    async def _lose_writes(self, coroutine):
        """Lose writes while a coroutine runs."""
        self._is_lossy = True
        await coroutine
        self._is_lossy = False

    async def _check_more(self):
        await asyncio.gather(*self._late_writes)
        await super()._check_more()
        self.outcomes["late writes"] = self.late.total()


class LateAccountSoak(LateWrites, AccountSoak):
    """One seed in which writes of usage and of the capacity are done late, too."""

    async def _inject(self, end_s):
        self._spawn(self._lose_series())
        await super()._inject(end_s)

    def _may_lose(self, body):
        # Counts don't depend on when these are written.
        is_counted = not DUTY_TABLES.isdisjoint(_tables(body))
        return super()._may_lose(body) or is_counted and self._is_running()

    def _is_running(self):
        return self._end_s is not None and time.monotonic() < self._end_s

    async def _lose_series(self):
        await self._lose_writes(asyncio.sleep(SERIES_S))
        # Windows in which writes are done late count as disturbed.
        await asyncio.gather(*self._late_writes)

    async def _check_more(self):
        await super()._check_more()
        for table in sorted(DUTY_TABLES):
            self.outcomes[f"lost {table}"] = self.lost[table]


class LateWriteSoak(LateWrites, soak.Soak):
    """One seed in which hosts are upgraded while writes are done late."""

    def __init__(self, seed):
        super().__init__(seed)
        self.fleet.engines = [
            UsersServer(f"engine-{n}", "pool", {MODEL: 1}, version=VERSIONS[n // 2])
            for n in range(4)
        ]
        self._newer = {engine.name for engine in self.fleet.engines[2:]}
        self._mixed = set()
        self._stopping = set()

    async def _start(self):
        # Hosts are back before a write that their stop has lost is done.
        self.fleet.sections["shutdown"] = {"unready_ms": 200, "drain_ms": 1000}
        self.fleet.silent |= self._newer
        await super()._start()
        self.fleet.silent -= self._newer

    # Faults

    async def _inject(self, end_s):
        streams = [self._stream_client(end_s, n) for n in range(STREAM_CLIENTS)]
        faults = asyncio.gather(
            super()._inject(end_s),
            self._roll(end_s),
            *(self._watch_row(host, end_s) for host in HOSTS),
            *streams,
        )
        await self._lose_writes(faults)

    async def _terminate(self, host, duration_s):
        self._stopping.add(self.fleet.fronts[host])
        await super()._terminate(host, duration_s)

    async def _watch_row(self, host, end_s):
        """Check that a host that runs is without a row for a moment at most."""
        process, since_s = None, 0.0
        while time.monotonic() < end_s:
            await asyncio.sleep(0.1)
            is_missing = self.fleet.store.value(host_rows.TABLE, host) is None
            running = self.fleet.fronts[host]
            is_disturbed = (
                running in self._stopping
                or not running.alive()
                or host in self.fleet.store.turned_away
            )
            if not is_missing or is_disturbed or running is not process:
                process, since_s = running, time.monotonic()
            elif time.monotonic() - since_s > MISSING_S:
                self.problems.append(f"{host} has no row for {MISSING_S} s")
                return

    async def _roll(self, end_s):
        """Stop and start hosts, mostly as planned, as an upgrade does."""
        while time.monotonic() < end_s:
            for host in HOSTS:
                stop = self.random.choice(
                    (self._terminate, self._terminate, self._kill)
                )
                await stop(host, 0.5)

    # Streams

    async def _stream_client(self, end_s, number):
        count = 0
        while time.monotonic() < end_s:
            count += 1
            await self._run_stream(f"stream-{number}-{count}")

    async def _run_stream(self, request_id):
        """Read a stream to its end, and take it up at other hosts when it breaks."""
        events, headers = [], ()
        for number in range(STREAM_TRIES):
            host = self.random.choice(HOSTS)
            new, is_complete = await self._read(host, f"{request_id}.{number}", headers)
            events += new
            if is_complete:
                break
            if events:
                first = headers[0][1] if headers else f"{request_id}.{number}".encode()
                headers = (
                    (b"resumes", first),
                    (b"last-event-id", str(events[-1][0]).encode()),
                )
            await asyncio.sleep(0.3)
        versions = {json.loads(data).get("by", VERSIONS[0]) for _, data in events}
        if len(versions) > 1:
            self._mixed.add(request_id)
        if [id_ for id_, _ in events] != [*range(len(events))]:
            self.problems.append(f"{request_id}: events are missing or twice")
        self.outcomes[f"streams of {len(versions)} versions"] += 1

    async def _read(self, host, request_id, headers):
        """Return the events of one try, and whether the stream ended as complete."""
        pairs = [
            (b"host", HOST.encode()),
            (b"request-id", request_id.encode()),
            (b"model-name", MODEL.encode()),
            (b"token-count", b"16,400"),
            *headers,
        ]
        data, is_complete = b"", False
        try:
            async with self.fleet.http.stream(
                "127.0.0.1",
                self.fleet.ports[host][0],
                "POST",
                "/stream/x",
                pairs,
                b"",
                10_000,
                fresh=True,
            ) as response:
                if response.status == 200:
                    async for chunk in response.body():
                        data += chunk
                    is_complete = True
        except ServiceError:
            pass
        events = [(int(id_), text) for id_, text in _EVENT.findall(data)]
        return events, is_complete

    # What must hold in the end

    async def _check_more(self):
        await super()._check_more()
        rows = {}

        def has_all_rows():
            rows.update({h: self.fleet.store.value(host_rows.TABLE, h) for h in HOSTS})
            return all(
                row and row["port"] == self.fleet.ports[host][1]
                for host, row in rows.items()
            )

        await asyncio.sleep(1)
        try:
            await _common.eventually(has_all_rows, QUIET_S)
        except AssertionError:
            self.problems.append(f"rows of live hosts: {rows}")
        listed = self.fleet.store.value(version_log.TABLE, "pool")
        if listed["listings"][-1]["versions"] != [*VERSIONS]:
            self.problems.append(f"listed versions: {listed}")
        if len(self._mixed) > MOST_MIXED:
            self.problems.append(f"streams of two versions: {sorted(self._mixed)}")

    def _check_results(self, job_id, results, count):
        for result in results:
            texts = {whole_text(result["id"], EVENTS, v) for v in VERSIONS}
            if result["text"] not in texts:
                self.problems.append(f"{job_id}: {result['id']} isn't whole")
        if len({result["id"] for result in results}) != count:
            self.problems.append(f"{job_id}: items twice")


def _tables(body):
    """Return the tables that a transaction writes."""
    return {entry["table"] for entry in body["setKeys"] + body["remove"]}


if __name__ == "__main__":
    soak.main(LateAccountSoak if "accounts" in sys.argv[3:] else LateWriteSoak)
