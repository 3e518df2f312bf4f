"""Profile a daemon with ``cProfile`` under fetches, under streams and idle."""

import asyncio
import json
import os
import pstats

from test import _process, fleet
from test.bench import hop
from test.bench.processes import Directory

KINDS = ("fetch", "stream", "idle")
SECONDS = 6
CALLERS = 8
LINES = 40
STOP_S = 30


class ProfiledFleet(fleet.Fleet):
    """A fleet whose daemons run under the profiler."""

    def stats_path(self, host_id):
        """Return the path to which a daemon writes its profile on exit."""
        return str(self.directory / f"{host_id}.stats")

    async def start_host(self, host_id):
        path = self.directory / f"{host_id}.json"
        path.write_text(json.dumps(self.settings_of(host_id), indent=4))
        arguments = ["cProfile", "-o", self.stats_path(host_id), "-m"]
        arguments += ["goldcrestmoor", "serve", str(path)]
        process = _process.Process(host_id, arguments, self.directory)
        self.process_by_id[host_id] = process
        await self._wait_for(host_id, "/healthz")


async def _run(kind):
    async with Directory() as processes, ProfiledFleet(hop.plan()) as running:
        bench = hop.Bench(running, processes)
        await bench.start()
        if kind == "idle":
            await asyncio.sleep(SECONDS)
        else:
            await bench.pace(hop.PACED)
            callers = CALLERS if kind == "fetch" else hop.PACED_CALLERS
            await bench.call(kind, "daemon", callers, seconds=SECONDS)
        host = running.hosts[0].id
        running.terminate(host)
        await running.process_by_id[host].wait(STOP_S)
        print(f"\nOne daemon, {kind}, by own time")
        stats = pstats.Stats(running.stats_path(host))
        stats.strip_dirs().sort_stats("tottime").print_stats(LINES)


def run():
    """Print the functions with the most CPU time; ``SLOPES_KIND`` selects one load."""
    chosen = os.environ.get("SLOPES_KIND")
    for kind in [chosen] if chosen else KINDS:
        asyncio.run(_run(kind))
