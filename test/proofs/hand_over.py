"""Print how much longer a step takes when its holder fails partway through.

``python -m test.proofs.hand_over [--runs N]`` compares steps without a fault and with
the holder terminated, killed or frozen. Each step runs in a new fleet.
"""

import argparse
import asyncio
import statistics
import time

from goldcrestmoor import util
from goldcrestmoor.clock import MS_PER_SECOND
from test import _common
from test.fleet import Fleet
from test.proofs._steps import Trainer, make_plan

ZONE = "zone-a"
FAULTS = ("none", "terminate", "kill", "freeze")
MAX_TOKENS = 200


async def run_step(fault):
    """Return the duration of a step in milliseconds and the tokens generated."""
    async with Fleet(make_plan(hosts=(3, 1), slots=16, token_ms=8.0)) as fleet:
        near = [h.id for h in fleet.hosts if h.zone == ZONE]
        holder = util.rendezvous("step/trainer/s1", near)
        entries = [h.id for h in fleet.hosts if h.id != holder]
        trainer = Trainer(fleet)
        started = time.monotonic()
        await trainer.submit(entries[0], samples=4, max_tokens=MAX_TOKENS)

        async def tokens():
            counts = [
                await fleet.get_json(e, "/control/counts") for e in fleet.upstreams
            ]
            return sum(c["tokens"] for c in counts)

        async def half_done():
            return await tokens() > len(trainer.slots) * MAX_TOKENS // 2

        await _common.eventually(half_done)
        if fault != "none":
            getattr(fleet, fault)(holder)
        await trainer.collect(*entries)
        took_ms = (time.monotonic() - started) * MS_PER_SECOND
        return took_ms, await tokens()


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    runs = parser.parse_args().runs
    print(f"{'holder':<10} {'median ms':>10} {'least':>8} {'most':>8} {'tokens':>8}")
    for fault in FAULTS:
        results = [asyncio.run(run_step(fault)) for _ in range(runs)]
        times = [took for took, _ in results]
        made = statistics.median(tokens for _, tokens in results)
        middle, least, most = statistics.median(times), min(times), max(times)
        print(f"{fault:<10} {middle:>10.0f} {least:>8.0f} {most:>8.0f} {made:>8.0f}")


if __name__ == "__main__":
    main()
