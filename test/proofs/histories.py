"""Randomized fault-injection runs that check the guarantees of the service.

``python -m test.proofs.histories SEED [--count N]`` runs one history, or N with
consecutive seeds, and prints the events. It exits with 1 when a guarantee is violated.
"""

import argparse
import asyncio
import collections
import json
import random
import sys
import time

import msgspec

from goldcrestmoor.client.notes import NotesClient, Outcome
from goldcrestmoor.clock import MS_PER_SECOND
from test import _common
from test.fleet import AccountPlan, Fleet, PoolPlan, http_get
from test.network import Network
from test.proofs._steps import MODEL, Trainer, make_plan

DESK_TOKEN = "history-desk"
APP_POOL = "dash-api"
FAULT_COUNT = 6
FAULT_MIN_S = 0.2
FAULT_MAX_S = 1.5
NOTE_TIMEOUT_MS = 4000
FETCH_TIMEOUT_MS = 2000
MAX_STALENESS_BOUND = 2
FINISH_TIMEOUT_S = 60
ERROR_CHARACTERS = 4000
ACCEPTED = 0
REFUSED = "refused:"
DATA_LOSS_FAULTS = ("kill", "freeze", "cut", "outage", "terminate")


class History:
    """One randomized run and the violations that it found.

    :param seed: the seed of every random choice.
    :param on_line: called with each line of the event log.
    """

    def __init__(self, seed, on_line=None):
        # Each task has its own generator, so that delays in one task do not change
        # the choices of another.
        self.rng = random.Random(seed)
        self._rng_by_part = collections.defaultdict(lambda: random.Random(seed))
        self.seed = seed
        self.violations = []
        self.lines = []
        self.bound = self.rng.randint(0, MAX_STALENESS_BOUND)
        self.network = Network()
        self.fleet = Fleet(self._plan(), self.network)
        self.version = self.published = 1
        self.shares = [1]
        self.outcome_by_note = {}
        self.done = {"steps": 0, "fetches": 0, "notes": 0}
        self._on_line = on_line or (lambda line: None)
        self._started = time.monotonic()
        self._lossy_faults = []
        self._busy = set()
        self._is_over = False

    def _plan(self):
        plan = make_plan(bound=self.bound, token_ms=6.0)
        app = PoolPlan(APP_POOL, "application", {"zone-a": 1, "zone-b": 1})
        desk = AccountPlan("desk", "application", DESK_TOKEN, (APP_POOL,))
        return msgspec.structs.replace(
            plan, pools=(*plan.pools, app), accounts=(*plan.accounts, desk)
        )

    async def run(self):
        """Run the history and return the violations."""
        async with self.fleet:
            self._log(f"seed {self.seed}, staleness bound {self.bound}")
            work = [
                self._train(),
                self._fetch(),
                self._save_notes(),
                self._change_shares(),
            ]
            tasks = [asyncio.create_task(coroutine) for coroutine in work]
            await self._inject_faults()
            self._is_over = True
            self._log("all faults are repaired")
            try:
                async with asyncio.timeout(FINISH_TIMEOUT_S):
                    await asyncio.gather(*tasks)
                await self._check_notes()
                await self._check_shares()
            except (TimeoutError, AssertionError) as e:
                self._record_violation(
                    f"Not recovered after all faults were repaired: {e!r}"
                )
            for name, process in self.fleet.process_by_id.items():
                if not process.alive():
                    self._record_violation(
                        f"{name} exited unexpectedly: {process.log_tail()}"
                    )
                if "Traceback" in process.log():
                    self._record_violation(
                        f"{name} logged an exception: {_first_traceback(process)}"
                    )
        self._log(f"done: {self.done}, notes {collections.Counter(self._outcomes())}")
        return self.violations

    def _outcomes(self):
        return [outcome.value for outcome in self.outcome_by_note.values()]

    def _log(self, line):
        line = f"{time.monotonic() - self._started:6.2f} {line}"
        self.lines.append(line)
        self._on_line(line)

    def _record_violation(self, fault):
        self.violations.append(fault)
        self._log(f"WRONG: {fault}")

    def _host(self, part):
        return self._rng_by_part[part].choice(self.fleet.hosts)

    def _claim_idle_host(self):
        """Pick a host and reserve it for a fault; None when it already has one."""
        host = self.rng.choice(self.fleet.hosts).id
        if host in self._busy:
            return None
        self._busy.add(host)
        return host

    # Faults and their repair.

    async def _inject_faults(self):
        names = ("kill", "terminate", "freeze", "cut", "outage", "lose_answers")
        names += ("fail_swap", "kill_engine", "silence_engine", "silence_old", "delay")
        pending = []
        for _ in range(FAULT_COUNT):
            name = self.rng.choice(names)
            duration_s = self.rng.uniform(FAULT_MIN_S, FAULT_MAX_S)
            if name in DATA_LOSS_FAULTS:
                # Data that only two hosts hold is lost when both fail.
                self._lossy_faults.append(name)
            pending.append(asyncio.create_task(getattr(self, f"_{name}")(duration_s)))
            await asyncio.sleep(duration_s * self.rng.uniform(0.5, 1.2))
        await asyncio.gather(*pending)

    def _may_lose_copies(self):
        return len(self._lossy_faults) > 1

    async def _kill(self, duration_s, how="kill"):
        host = self._claim_idle_host()
        if host is None:
            return
        self._log(f"{how} {host}")
        getattr(self.fleet, how)(host)
        await self.fleet.process_by_id[host].wait()
        await asyncio.sleep(duration_s)
        await self.fleet.start_host(host)
        self._log(f"{host} is back")
        self._busy.discard(host)

    async def _terminate(self, duration_s):
        await self._kill(duration_s, "terminate")

    async def _freeze(self, duration_s):
        host = self._claim_idle_host()
        if host is None:
            return
        self._log(f"freeze {host} for {duration_s * 3:.1f} s")
        process = self.fleet.process_by_id[host]
        process.freeze()
        await asyncio.sleep(duration_s * 3)
        process.thaw()
        self._busy.discard(host)

    async def _cut(self, duration_s):
        zone = self.rng.choice(("zone-a", "zone-b"))
        options = {"from_platform": self.rng.random() < 0.7}
        self._log(f"cut {zone} {options} for {duration_s * 2:.1f} s")
        self.network.cut(zone, **options)
        await asyncio.sleep(duration_s * 2)
        self.network.mend()

    async def _outage(self, duration_s):
        mode = self.rng.choice(("refuse", "hang"))
        self._log(f"platform unavailable ({mode}) for {duration_s * 2:.1f} s")
        control = self.fleet.platform_control
        await self.fleet.control(control, "outage", on=True, mode=mode)
        await asyncio.sleep(duration_s * 2)
        await self.fleet.control(control, "outage", on=False)

    async def _lose_answers(self, duration_s):
        count = self.rng.randint(1, 4)
        self._log(f"lose {count} responses to writes")
        control = self.fleet.platform_control
        await self.fleet.control(control, "lose_answers", count=count)

    def _engine(self):
        engines = [u for u in self.fleet.upstreams if u.pool != APP_POOL]
        return self.rng.choice(engines)

    async def _set_for(self, duration_s, engine, name, value, normal):
        self._log(f"{engine.id}: {name} for {duration_s:.1f} s")
        try:
            await self.fleet.control(engine, "set", **{name: value})
            await asyncio.sleep(duration_s)
            await self.fleet.control(engine, "set", **{name: normal})
        except AssertionError:
            self._log(f"{engine.id} is down")

    async def _fail_swap(self, duration_s):
        await self._set_for(duration_s, self._engine(), "fail_swap", True, False)

    async def _silence_engine(self, duration_s):
        await self._set_for(duration_s, self._engine(), "silent_after", 3, -1)

    async def _kill_engine(self, duration_s):
        engine = self._engine().id
        if engine in self._busy:
            return
        self._busy.add(engine)
        self._log(f"kill {engine}")
        self.fleet.kill(engine)
        await self.fleet.process_by_id[engine].wait()
        await asyncio.sleep(duration_s)
        await self.fleet.start_upstream(engine)
        self._busy.discard(engine)

    async def _silence_old(self, duration_s):
        target = self.rng.choice(sorted(self.network.links_by_id))
        self._log(f"open connections to {target} become unresponsive")
        self.network.links_by_id[target].silence_old()

    async def _delay(self, duration_s):
        target = self.rng.choice(sorted(self.network.links_by_id))
        self._log(f"delay {target} for {duration_s:.1f} s")
        self.network.links_by_id[target].delay(self.rng.choice((50, 200, 700)))
        await asyncio.sleep(duration_s)
        self.network.links_by_id[target].delay(0)

    # Workload during the faults.

    async def _train(self):
        while not self._is_over:
            trainer = Trainer(self.fleet, f"s{self.done['steps']}", self.bound)
            trainer.version = self.version
            await self._train_one(trainer)
            for fault in trainer.violations:
                # A slot may get a different sample when both hosts that held the
                # first one failed.
                if not (fault.startswith("Two samples") and self._may_lose_copies()):
                    self._record_violation(fault)
            self.done["steps"] += 1

    async def _train_one(self, trainer):
        rng = self._rng_by_part["train"]
        size = {"groups": rng.randint(1, 3), "samples": rng.randint(1, 4)}
        size["max_tokens"] = rng.choice((10, 40, 100))
        await trainer.submit(self._host("train").id, **size)
        while set(trainer.held) != trainer.slots:
            await trainer.pull(self._host("train").id, wait_ms=500)
            if trainer.status == 404:
                if not self._may_lose_copies():
                    self._record_violation(f"{trainer.step} was accepted, then lost.")
                await trainer.submit(self._host("train").id, **size)
            draw = rng.random()
            if draw < 0.1 and not self._is_over:
                kept = [s for s in trainer.held if rng.random() < 0.5]
                trainer.held = {slot: trainer.held[slot] for slot in kept}
                self._log(f"trainer restarts with {len(kept)} samples")
            elif draw < 0.25 and not self._is_over:
                self.version += 1
                trainer.version = self.version
            await self._publish(trainer)
        answer = await trainer.pull(self._host("train").id)
        if answer is not None and not answer.complete:
            self._record_violation(
                f"{trainer.step} is not complete with all slots held."
            )

    async def _publish(self, trainer):
        if self.published < self.version:
            body = {"model": MODEL, "version": self.version}
            host = self._host("train").id
            status, _ = await trainer.post(host, "/v1/versions", body, 2000)
            if status == 200:
                self.published = self.version
                self._log(f"version {self.version} is published")

    async def _fetch(self):
        headers = {"Authorization": f"Bearer {DESK_TOKEN}"}
        while not self._is_over:
            path = f"/panel/{self.done['fetches']}"
            url = f"{self._host('fetch').url}/apps/{APP_POOL}{path}"
            status, body = await http_get(url, headers, FETCH_TIMEOUT_MS)
            if status == 200:
                found = json.loads(body or b"{}").get("panel")
                if found != f"{path}?":
                    self._record_violation(f"{path} got the wrong response {body!r}.")
            self.done["fetches"] += 1
            await asyncio.sleep(0.05)

    async def _save_notes(self):
        client = NotesClient(self.fleet.urls(), DESK_TOKEN)
        while not self._is_over:
            name = f"note-{self.done['notes']}"
            headers = [(b"x-note-id", name.encode())]
            saved = await client.save(
                f"/apps/{APP_POOL}/notes", name.encode(), NOTE_TIMEOUT_MS, headers
            )
            self.outcome_by_note[name] = saved.outcome
            self.done["notes"] += 1
            await asyncio.sleep(0.1)

    async def _change_shares(self):
        share = 1
        while not self._is_over:
            share += 1
            command = f"ALTER ACCOUNT desk SHARE {share}"
            code, output = await self.fleet.ask(command, self._host("operate").id)
            self._log(f"{command}: {code} {output.strip()[:60]}")
            if code == ACCEPTED:
                self.shares = [share]
            elif REFUSED not in output:
                self.shares.append(share)
            await asyncio.sleep(1)

    # Checks after the run.

    async def _check_notes(self):
        counts = collections.Counter()
        for app in self.fleet.upstreams:
            if app.pool == APP_POOL:
                found = await self.fleet.get_json(app, "/control/counts")
                counts.update(found["count_by_id"])
        for name, outcome in self.outcome_by_note.items():
            ran = counts[f"POST {name}"]
            wanted = {Outcome.SAVED: (1,), Outcome.NOT_SAVED: (0,)}
            if ran not in wanted.get(outcome, (0, 1)):
                self._record_violation(
                    f"{name} is {outcome.value} and ran {ran} times."
                )

    async def _check_shares(self):
        async def agreed():
            found = set()
            for host in self.fleet.hosts:
                code, text = await self.fleet.ask(
                    "SHOW ACCOUNTS WHERE name = desk", host.id, is_json=True
                )
                if code:
                    return False
                table = json.loads(text)
                row = dict(zip(table["columns"], table["rows"][0], strict=True))
                found.add(row["share"])
            return found if len(found) == 1 else False

        found = await _common.eventually(agreed)
        if not found <= set(self.shares):
            self._record_violation(f"The share is {found}, not one of {self.shares}.")


def _first_traceback(process):
    _, mark, text = process.log().partition("Traceback")
    return (mark + text)[:ERROR_CHARACTERS]


def main():
    """Run the histories of the command line's seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("--count", type=int, default=1)
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        started = time.monotonic()
        if asyncio.run(History(seed, print).run()):
            failed.append(seed)
        took_ms = (time.monotonic() - started) * MS_PER_SECOND
        print(f"seed {seed}: {'failed' if seed in failed else 'ok'}, {took_ms:.0f} ms")
    print(f"{arguments.count} histories, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
