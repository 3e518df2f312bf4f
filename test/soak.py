"""Random faults at daemons on the users' platform, while clients check every answer.

``python -m test.soak FIRST LAST`` runs a range of seeds and prints one line for each.
Faults come in series and overlap; clients keep their connections until these break.
"""

import asyncio
import collections
import random
import sys
import time

from goldcrestmoor import settings
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ServiceError
from test import _common
from test._front import FETCH_PATH, HOST, FrontFleet
from test.standins.users_server import UsersServer, whole_text

HOSTS = ("front-a", "front-b", "front-c", "front-d")
DURATION_S = 15
CLIENTS = 6
CRASHING = b"crash"
ONCE_PATH = "/once/x"
EVENTS = 20
ITEMS = 24
# Of the routes, and what an answer may come later.
TIMEOUT_S = 2.0
SLACK_S = 0.5
# From the users' rules: how long after a fault a host counts as in touch, and how often
# a request may reach servers so long after it crashed the third.
STABLE_S = 3.0
MOST_RETRIES = 3
RESTART_S = 1.0
# Longer than runners need to take over and run the jobs.
SETTLE_S = 40


class Soak:
    """One seed: a fleet, its faults and its clients.

    :param seed: decides which faults come when.
    :ivar faults: what was done, as ``(seconds, host, name)``.
    :ivar problems: what broke a promise, as text.
    """

    duration_s = DURATION_S

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = FrontFleet()
        self.fleet.apps = [UsersServer(f"app-{n}", "app") for n in range(3)]
        self.faults = []
        self.problems = []
        self.outcomes = collections.Counter()
        self.crashes_s = []
        self.host_by_id = {}
        self.refused = set()
        self._disturbed_until_s = dict.fromkeys(HOSTS, 0.0)
        self._number = 0
        self._tasks = set()
        self._restarts = None

    async def run(self):
        """Run the seed; the fleet is closed afterwards."""
        try:
            await self._start()
            end_s = time.monotonic() + self.duration_s
            clients = [self._client(end_s) for _ in range(CLIENTS)]
            await asyncio.gather(self._inject(end_s), *clients)
            await asyncio.gather(*self._tasks)
            await self._heal()
            await self._check_jobs()
            self._check_runs()
            self._check_crashes()
            await self._check_more()
        finally:
            if self._restarts is not None:
                self._restarts.cancel()
            await self.fleet.close()

    async def _start(self):
        for app in self.fleet.apps:
            app.crash_bodies = {CRASHING}
            app.on_crash = self._refuse_links
        for engine in self.fleet.engines:
            engine.events = EVENTS
        await self.fleet.start(names=HOSTS, linked=HOSTS)
        self._restarts = asyncio.create_task(self._restart_crashed())
        for n in range(2):
            assert await self.fleet.submit(HOSTS[n], f"job{n}", ITEMS) == 202

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart_crashed(self):
        """Start crashed servers again under their ids."""
        while True:
            for app in self.fleet.apps:
                if app.crashed_s and time.monotonic() > app.crashed_s + RESTART_S:
                    self.crashes_s.append(app.crashed_s)
                    app.crashed_s, app.born = None, app.born + 1
                    await app.start(app.port)
                    for links in self.fleet.links_by_host.values():
                        await links[app.name].heal()
            await asyncio.sleep(0.05)

    async def _refuse_links(self, app):
        """Refuse connections to a crashed server, as its links would accept them."""
        for links in self.fleet.links_by_host.values():
            await links[app.name].refuse()

    async def _heal_links(self, host):
        crashed = {app.name for app in self.fleet.apps if app.crashed_s}
        for name, link in self.fleet.links_by_host[host].items():
            if name not in crashed:
                await link.heal()

    # Faults

    async def _inject(self, end_s):
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
            host = self._choose_host()
            fault = self.random.choice(
                (
                    self._cut,
                    self._cut,
                    self._kill,
                    self._terminate,
                    self._freeze,
                    self._lose_store,
                    self._lose_answers,
                )
            )
            self._spawn(fault(host, self.random.uniform(0.3, 4.0)))

    def _choose_host(self):
        """Return the host of the next fault."""
        return self.random.choice(HOSTS)

    def _record(self, host, name, duration_s):
        now_s = time.monotonic()
        self.faults.append((now_s, host, name))
        until_s = now_s + duration_s + STABLE_S
        self._disturbed_until_s[host] = max(self._disturbed_until_s[host], until_s)

    async def _cut(self, host, duration_s):
        how = self.random.choice(("refuse", "refuse_new", "leave_unanswered"))
        # For the users' rules such a host stays in touch.
        self.faults.append((time.monotonic(), host, how))
        links = list(self.fleet.links_by_host[host].values())
        for link in links:
            if link.is_listening:
                done = getattr(link, how)()
                if done is not None:
                    await done
        await asyncio.sleep(duration_s)
        await self._heal_links(host)

    async def _kill(self, host, duration_s):
        self._record(host, "kill", duration_s)
        process = self.fleet.fronts[host]
        process.kill()
        await self._start_again(host, process, min(duration_s, 1.0))

    async def _terminate(self, host, duration_s):
        self._record(host, "terminate", 12.0)
        process = self.fleet.fronts[host]
        process.terminate()
        await self._start_again(host, process, 0.2)

    async def _start_again(self, host, process, pause_s):
        await process.wait()
        await asyncio.sleep(pause_s)
        # Another fault may have started it meanwhile.
        if self.fleet.fronts[host] is process:
            self.fleet.start_front(host)

    async def _freeze(self, host, duration_s):
        self._record(host, "freeze", duration_s)
        process = self.fleet.fronts[host]
        process.freeze()
        await asyncio.sleep(min(duration_s, 2.0))
        process.thaw()

    async def _lose_store(self, host, duration_s):
        self._record(host, "lose store", duration_s)
        self.fleet.store.turned_away.add(host)
        await asyncio.sleep(duration_s)
        self.fleet.store.turned_away.discard(host)

    async def _lose_answers(self, host, duration_s):
        app = self.random.choice(self.fleet.apps)
        self.faults.append((time.monotonic(), app.name, "lose answers"))
        app.lose = True
        await asyncio.sleep(min(duration_s, 1.0))
        app.lose = False

    # Clients

    async def _client(self, end_s):
        http = HttpClient(clock=Clock(), limits=settings.default_limits())
        try:
            while time.monotonic() < end_s:
                host = self.random.choice(HOSTS)
                for _ in range(self.random.randrange(1, 8)):
                    await self._ask(http, host)
                    await asyncio.sleep(self.random.uniform(0.0, 0.2))
        finally:
            await http.close()

    async def _ask(self, http, host):
        self._number += 1
        request_id = f"r{self._number}"
        is_once = self.random.random() < 0.3
        is_crashing = not is_once and self.random.random() < 0.1
        body = CRASHING if is_crashing else f"b{self._number}".encode()
        self.host_by_id[request_id] = host
        started_s = time.monotonic()
        try:
            answer = await http.request(
                "127.0.0.1",
                self.fleet.ports[host][0],
                "POST",
                ONCE_PATH if is_once else FETCH_PATH,
                [
                    (b"host", HOST.encode()),
                    (b"request-id", request_id.encode()),
                    *self._credentials(request_id, is_crashing),
                ],
                body,
                10_000,
                idempotent=True,
                allow_close_delimited=True,
            )
        except ServiceError as e:
            self.outcomes[e.code] += 1
            return
        took_s = time.monotonic() - started_s
        self.outcomes[answer.status] += 1
        values = dict(answer.headers)
        if answer.status == 200 and (
            answer.body != b"answer to " + body
            or values.get(b"server-stamp") != f"stamp-{request_id}".encode()
        ):
            self.problems.append(f"{request_id}: another answer {answer.body!r}")
        if answer.status in (429, 503):
            self.refused.add(request_id)
        self._check_status(request_id, host, started_s, answer.status)
        is_calm = self._disturbed_until_s[host] < started_s
        if is_calm and took_s > TIMEOUT_S + SLACK_S:
            self.problems.append(f"{request_id} at {host}: {took_s:.2f} s")

    def _credentials(self, request_id, is_crashing):
        """Return further headers of a request."""
        return ()

    def _check_status(self, request_id, host, started_s, status):
        if status not in (200, 429, 502, 503, 504):
            self.problems.append(f"{request_id}: status {status}")

    # What must hold in the end

    async def _check_more(self):
        """Check what a derived soak adds, before the fleet is closed."""

    async def _heal(self):
        for host in HOSTS:
            await self._heal_links(host)
            await self.fleet.wait_ready(host)
        for number, host in enumerate(HOSTS):

            async def is_served(host=host, number=number):
                answer = await self.fleet.ask(
                    host, "POST", FETCH_PATH, b"end", f"end-{number}"
                )
                return answer.status == 200

            await _common.eventually(is_served, SETTLE_S)

    async def _check_jobs(self):
        for n in range(2):
            results = await self.fleet.all_results(HOSTS[n], f"job{n}")
            self._check_results(f"job{n}", results, ITEMS)

    def _check_results(self, job_id, results, count):
        for result in results:
            if result["text"] != whole_text(result["id"], EVENTS):
                self.problems.append(f"{job_id}: {result['id']} isn't whole")
        if len({result["id"] for result in results}) != count:
            self.problems.append(f"{job_id}: items twice")

    def _check_runs(self):
        runs = collections.Counter()
        for app in self.fleet.apps:
            for path, headers, _ in app.seen:
                if headers.get("expect-instance") == app.name:
                    runs[path, headers["request-id"]] += 1
        for (path, request_id), count in runs.items():
            if path == ONCE_PATH and count > 1:
                self.problems.append(f"{request_id} ran {count} times")
            if request_id in self.refused:
                self.problems.append(f"{request_id} was refused and ran")

    def _check_crashes(self):
        if len(self.crashes_s) < 3:
            return
        since_s = sorted(self.crashes_s)[2] + STABLE_S
        late = []
        for app in self.fleet.apps:
            for seen_s, (_, headers, body) in zip(app.seen_s, app.seen, strict=True):
                host = self.host_by_id.get(headers["request-id"])
                if (
                    body == CRASHING
                    and seen_s > since_s
                    and self._in_touch(host, seen_s)
                ):
                    late.append(f"{headers['request-id']} at {host}")
        if len(late) > MOST_RETRIES:
            self.problems.append(f"sent after three crashes: {late}")

    def _in_touch(self, host, seen_s):
        """Return whether a host had no fault but lost links for long enough."""
        return not any(
            host == other and fault_s - SLACK_S < seen_s < fault_s + 12 + STABLE_S
            for fault_s, other, name in self.faults
            if name in ("kill", "terminate", "freeze", "lose store")
        )


async def run_seed(seed, kind=Soak):
    """Run one seed and return its problems, with the soak of the kind."""
    soak = kind(seed)
    try:
        await soak.run()
    except AssertionError as e:
        soak.problems.append(f"{type(e).__name__}: {str(e)[:2000]}")
    return soak


def main(kind=Soak):
    """Run the range of seeds that the command line names."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    failed = []
    for seed in range(first, last + 1):
        soak = asyncio.run(run_seed(seed, kind))
        faults = collections.Counter(name for _, _, name in soak.faults)
        print(
            f"seed {seed}: {'FAILED' if soak.problems else 'ok'}, "
            f"{dict(soak.outcomes)}, {len(soak.crashes_s)} crashes, {dict(faults)}",
            flush=True,
        )
        for problem in soak.problems:
            print(f"  {problem}", flush=True)
        if soak.problems:
            failed.append(seed)
    print(f"{last - first + 1 - len(failed)} passed, {len(failed)} failed: {failed}")


if __name__ == "__main__":
    main()
