"""Count the notes saved while the platform is unavailable or a zone is partitioned.

``python -m test.proofs.notes_in_outage`` prints the table.
"""

import asyncio

from test.proofs._requests import RequestCase, make_plan

NOTES = 40
KINDS = ("claimed", "minted")
PLAN = make_plan(
    {"zone-a": 1, "zone-b": 1},
    {"zone-a": 1, "zone-b": 1},
    settings={"limits": {"request_timeout_ms": 4000}},
)


async def count_notes(case, host, count):
    """Send notes through one host and count the saved ones by kind of key.

    :param case: the :class:`~test.proofs._requests.RequestCase`.
    :param host: the host.
    :param count: number of notes for each kind of key.
    :raises AssertionError: when a note ran twice, or ran although its error
        said that it did not.
    """
    landed = {}
    for kind in KINDS:
        names = [f"{kind}-{host}-{n}" for n in range(count)]
        minted = kind == "minted"
        keys = [await case.mint(host) if minted else name for name in names]
        sent = (case.note(host, *pair) for pair in zip(names, keys, strict=True))
        for name, answer in zip(names, await asyncio.gather(*sent), strict=True):
            await case.check_not_run(answer, name)
        landed[kind] = sum([await case.run_count(name) for name in names])
    return landed


class Comparison(RequestCase):
    """The fleet in which the notes are counted."""

    PLAN = PLAN

    async def count(self, fault):
        """Return the number of notes saved under one fault, by kind of key."""
        fleet = self.fleet
        match fault:
            case "none":
                pass
            case "platform refuses" | "platform hangs":
                mode = "refuse" if fault == "platform refuses" else "hang"
                control = fleet.platform_control
                await fleet.control(control, "outage", on=True, mode=mode)
            case "zone cut from zones":
                self.network.cut("zone-b", from_platform=False)
            case "zone cut from platform":
                self.network.cut("zone-b", from_zones=False)
            case "zone cut from both":
                self.network.cut("zone-b")
        return await count_notes(self, self.hosts[1], NOTES)


FAULTS = (
    "none",
    "platform refuses",
    "platform hangs",
    "zone cut from zones",
    "zone cut from platform",
    "zone cut from both",
)


async def main():
    """Print the table, using a new fleet for each fault."""
    print(f"notes landed of {NOTES}, sent at once through a host of zone-b")
    print(f"{'fault':<24}{'claim rows':>12}{'bound keys':>12}")
    for fault in FAULTS:
        case = Comparison("asyncSetUp")
        try:
            await case.asyncSetUp()
            landed = await case.count(fault)
        finally:
            await case.fleet.close()
        print(f"{fault:<24}{landed['claimed']:>12}{landed['minted']:>12}", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
