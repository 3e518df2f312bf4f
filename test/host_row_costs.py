"""Measures what the rows of hosts cost in fleets of several sizes.

    python -m test.host_row_costs

Prints for each size, over some minutes of an idle fleet and after the loss of one host:
calls between hosts, calls to the store, and bytes of the feed of rows that each host
reads, and how often a host's watch wakes up, all a second.
"""

import asyncio
import contextlib

from test.test_host_watch import GONE_MS, MINUTE_MS, Fleet

SIZES = (11, 77, 195, 350)
IDLE_MS = 5 * MINUTE_MS


class Cleanups(contextlib.ExitStack):
    """Stands in for a test that a fleet is closed with."""

    def addCleanup(self, function):  # noqa: N802
        self.callback(function)


async def measure(fleet, duration_ms):
    """Return the figures of a time that passes, by their name."""
    fleet.writers.clear()
    fleet.history.clear()
    fleet.calls = 0
    await fleet.pass_ms(duration_ms)
    seconds, count = duration_ms / 1000, len(fleet.member_by_name)
    # Key and value are base64 or text in JSON, with the fields of the feed.
    row_bytes = sum(
        len(change.key) + len(change.value or b"") * 4 / 3 + 60
        for change in fleet.history
    )
    return {
        "calls of a host to others": fleet.calls / count / seconds,
        "writes of all to the store": len(fleet.writers) / seconds,
        "feed bytes of a host": row_bytes / seconds,
    }


async def main():
    for size in SIZES:
        with Cleanups() as cleanups:
            fleet = Fleet(cleanups)
            for n in range(size):
                await fleet.start(f"host-{n}")
            await fleet.pass_ms(2000)
            for label, duration_ms in (("idle", IDLE_MS), ("one lost", GONE_MS)):
                if label != "idle":
                    fleet.kill("host-0")
                for name, value in (await measure(fleet, duration_ms)).items():
                    print(f"{size:4} hosts, {label}: {value:9.4f} a second, {name}")
            rows = len(fleet.registered())
            print(f"{size:4} hosts: {rows} rows are left")


if __name__ == "__main__":
    asyncio.run(main())
