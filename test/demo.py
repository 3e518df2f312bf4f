"""Run a step, application fetches, notes and a command on a small fleet.

``make demo`` runs this; the exit code is 1 if anything was duplicated or lost.
"""

import asyncio
import collections
import json
import statistics
import sys

import msgspec

from goldcrestmoor.client.notes import NotesClient, Outcome
from goldcrestmoor.client.trainer import TrainerClient
from goldcrestmoor.version.steps.step_routes import GroupBody
from test._common import eventually
from test.fleet import AccountPlan, Fleet, Plan, PoolPlan, http_get

LIMIT_S = 55
STEP_TIMEOUT_MS = 40_000
NOTE_TIMEOUT_MS = 10_000
GROUPS = 8
SAMPLES_PER_GROUP = 8
MAX_TOKENS = 200
FETCHES = 40
NOTES = 20
TRAINER_TOKEN = "demo-trainer"
APP_TOKEN = "demo-desk"
MODEL = "summaries"
STALENESS_BOUND = 1

PLAN = Plan(
    hosts_by_zone={"zone-a": 2, "zone-b": 2},
    pools=(
        PoolPlan("lm-pool", "engine", {"zone-a": 1, "zone-b": 1}, MODEL),
        PoolPlan("dash-api", "application", {"zone-a": 1, "zone-b": 1}),
    ),
    # Short leases, so that the configuration takes effect within one or two seconds.
    settings={
        "configuration": {"poll_ms": 200, "lease_ms": 1000, "lease_margin_ms": 200}
    },
    accounts=(
        AccountPlan(
            "trainer",
            "trainer",
            TRAINER_TOKEN,
            ("lm-pool",),
            share=4,
            staleness_bound=STALENESS_BOUND,
            zone="zone-a",
        ),
        AccountPlan("desk", "application", APP_TOKEN, ("dash-api",)),
    ),
)


class Tally(msgspec.Struct):
    """The result lines of the run, and its failures."""

    lines: list[str] = []
    faults: list[str] = []


async def run_step(fleet, tally):
    """Submit a step as its trainer and collect its samples."""
    client = TrainerClient(fleet.urls(), TRAINER_TOKEN, STALENESS_BOUND)
    try:
        await collect_step(client, tally)
    finally:
        await client.close()


async def collect_step(client, tally):
    """Submit a step and collect its samples."""
    client.version = 1
    groups = [
        GroupBody(i, f"Summarize panel {i}.", SAMPLES_PER_GROUP, MAX_TOKENS, 100 * i)
        for i in range(GROUPS)
    ]
    step = await client.submit("demo-1", "lm-pool", groups, STEP_TIMEOUT_MS)
    _, samples = await asyncio.gather(
        publish_midway(client, step), client.collect(step, STEP_TIMEOUT_MS)
    )
    wanted = GROUPS * SAMPLES_PER_GROUP
    doubled, lost = client.dropped_held, wanted - len(samples)
    tally.lines.append(
        f"samples delivered {len(samples)} of {wanted}, doubled {doubled}, lost {lost}"
    )
    if doubled or lost:
        tally.faults.append("A sample was doubled or lost.")
    staleness = list(step.staleness_by_slot.values())
    mean, worst = statistics.fmean(staleness), max(staleness)
    tally.lines.append(f"trainer idle {client.idle_ms} ms")
    tally.lines.append(f"staleness mean {mean:.2f}, maximum {worst} versions")
    if worst > STALENESS_BOUND:
        tally.faults.append("A sample was too old.")


async def publish_midway(client, step):
    """Publish new weights once a quarter of the samples has arrived."""
    wanted = GROUPS * SAMPLES_PER_GROUP
    await eventually(lambda: len(step.sample_by_slot) >= wanted // 4)
    await client.publish(MODEL, client.version + 1)


async def fetch(fleet, tally):
    """Fetch panels through the hosts in round-robin order."""
    headers = {"Authorization": f"Bearer {APP_TOKEN}"}
    whole = 0
    for number in range(FETCHES):
        url = fleet.urls()[number % len(fleet.hosts)]
        path = f"/apps/dash-api/panels/{number}"
        status, body = await http_get(url + path, headers)
        whole += status == 200 and bool(body)
    tally.lines.append(f"fetches answered {whole} of {FETCHES}")
    if whole < FETCHES:
        tally.faults.append("A fetch was not answered.")


async def save_notes(fleet, tally):
    """Save notes, and compare with the applications' own counts."""
    client = NotesClient(fleet.urls(), APP_TOKEN)
    try:
        saved = await count_saved(client)
    finally:
        await client.close()
    count_by_note = await notes_ran(fleet)
    doubled = sum(count - 1 for count in count_by_note.values())
    tally.lines.append(f"notes saved {saved} of {NOTES}, doubled {doubled}")
    if saved < NOTES or doubled or len(count_by_note) != saved:
        tally.faults.append(f"{saved} notes were saved; {len(count_by_note)} ran.")


async def count_saved(client):
    """Save notes and return how many were."""
    saved = 0
    for number in range(NOTES):
        name = f"note-{number}"
        body = json.dumps({"note": name}).encode()
        answer = await client.save(
            "/apps/dash-api/notes",
            body,
            NOTE_TIMEOUT_MS,
            [(b"x-note-id", name.encode())],
        )
        saved += answer.outcome == Outcome.SAVED
    return saved


async def notes_ran(fleet):
    """Return how often the applications ran each note, by their own counts."""
    count_by_note = collections.Counter()
    for app in fleet.upstreams:
        if app.pool == "dash-api":
            counts = await fleet.get_json(app, "/control/counts")
            ran = counts["count_by_id"].items()
            count_by_note.update({k: n for k, n in ran if k.startswith("POST ")})
    return count_by_note


async def command(fleet, tally):
    """Run one operator command."""
    code, output = await fleet.ask("SHOW UPSTREAMS", fleet.hosts[-1].id)
    tally.lines.append(output.rstrip())
    if code:
        tally.faults.append(f"The operator's command exited with {code}.")


async def run():
    """Run all parts concurrently and return the tally."""
    tally = Tally()
    async with asyncio.timeout(LIMIT_S), Fleet(PLAN) as fleet:
        await asyncio.gather(
            run_step(fleet, tally),
            fetch(fleet, tally),
            save_notes(fleet, tally),
            command(fleet, tally),
        )
    return tally


def main():
    """Run the demo, print its results and exit."""
    tally = asyncio.run(run())
    print("\n".join(tally.lines))
    for fault in tally.faults:
        print(fault, file=sys.stderr)
    sys.exit(1 if tally.faults else 0)


if __name__ == "__main__":
    main()
