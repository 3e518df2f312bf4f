"""The soak's faults at a deployment with client accounts, usage reports and scaling.

``python -m test.soak_accounts FIRST LAST`` runs a range of seeds like ``test.soak``.
The faults come in the first seconds; the windows after them must be counted right.
"""

import asyncio
import collections
import json
import socket
import time

from goldcrestmoor.errors import ServiceError
from test import soak
from test._common import eventually
from test._front import FETCH_PATH, HOST, JOB_PATH, configuration, submission
from test.soak import HOSTS, SLACK_S, STABLE_S
from test.standins.users_api import UsersApi
from test.test_key_check import account

SERIES_S = 10
# From the operator's rules: configMs, outerMs and leaseMs.
CONFIGURATION_S = 3
OUTER_S = 6
TURN_S = 3
REVOKE_S = 5
WINDOW_S = 2
# Requests so near a window's edge may be counted on either side.
EDGE_S = 0.05
REPORT_S = 30
SCALING = {"min": 1, "max": 4, "bootS": 1}
# The soak without accounts, whose jobs are submitted first, has the large one's key.
LARGE, TRAINER, SMALL = "acme", "birch", "cedar"
STABLE_KEYS = {name: f"key-of-{name}-0" for name in (LARGE, TRAINER, SMALL)}
# The most need more servers than the bounds allow.
TRAINER_ITEMS = (8, 32, 120)
TRAINER_WAIT_S = 12
SLOW_BYTES = 300_000
SLOW_S = 3
RETRYABLE = {429, 502, 503, 504}


class AccountSoak(soak.Soak):
    """One seed with accounts; its outcomes have the number of windows checked."""

    duration_s = 28

    def __init__(self, seed):
        super().__init__(seed)
        self.api = UsersApi()
        # Whether hosts refuse keys with 503 while they may miss a withdrawal.
        self._is_strict = seed % 3 == 0
        self._version = 3
        # When each key was added and withdrawn, by the monotonic clock.
        self._added_s = dict.fromkeys(STABLE_KEYS.values(), 0.0)
        self._withdrawn_s = {}
        self._key_by_id = {}
        self._faults_s = []
        self._end_s = None

    async def run(self):
        """Run the seed; the fleet and the API are closed afterwards."""
        await self.api.start()
        try:
            await super().run()
        finally:
            await self.api.close()

    async def _start(self):
        self.fleet.sections = {
            "api": {
                "endpoint": f"127.0.0.1:{self.api.port}",
                "calls_per_s": 50,
                "duties": ["usage_report", "autoscale"],
            },
            "usage": {"window_s": WINDOW_S, "due_s": 2 * WINDOW_S},
            "accounts": {
                "strict_revocation": self._is_strict,
                "revoke_ms": REVOKE_S * 1000,
            },
        }
        self.fleet.configured = self._configured()
        self.fleet.api_key = STABLE_KEYS[LARGE]
        for number, engine in enumerate(self.fleet.engines):
            engine.event_ms *= 1 + 3 * number
            entry, zone = engine.entry, f"zone-{'ab'[number]}"
            engine.entry = lambda entry=entry, zone=zone: entry(zone=zone)
        await super()._start()

    def _configured(self):
        keys = [key for key in self._added_s if key not in self._withdrawn_s]
        names = list(STABLE_KEYS)
        tenants = [account(n, *(k for k in keys if _account(k) == n)) for n in names]
        return {"tenants": tenants, "scaling": SCALING}

    # Faults

    async def _inject(self, end_s):
        self._end_s = end_s
        if self.random.random() < 0.5:
            # Longer than a change of the keys may take to get to such a host.
            duration_s = CONFIGURATION_S + OUTER_S + STABLE_S
            self._spawn(self._lose_store(self.random.choice(HOSTS), duration_s))
        await asyncio.gather(
            super()._inject(time.monotonic() + SERIES_S),
            self._disturb_api(time.monotonic() + SERIES_S),
            self._change_keys(end_s),
            self._train(end_s),
            self._read_slowly(end_s),
        )

    def _spawn(self, coroutine):
        async def timed():
            started_s = time.monotonic()
            await coroutine
            self._faults_s.append((started_s, time.monotonic()))

        super()._spawn(timed())

    def _choose_host(self):
        """Choose the holder of the duty more often, so that it changes."""
        if self.api.received and self.random.random() < 0.5:
            return self.api.received[-1][2]
        return super()._choose_host()

    async def _disturb_api(self, end_s):
        while time.monotonic() < end_s:
            self.api.mode = self.random.choice(("", "", "busy", "silent", "full"))
            self.api.lost_answers = self.random.choice((0, 0, 3))
            zones = self.random.choice(((), ("zone-a",), ("zone-b",)))
            self.api.unavailable_zones = set(zones)
            self.faults.append((time.monotonic(), "api", f"api {self.api.mode}"))
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
        self.api.mode, self.api.unavailable_zones = "", set()

    async def _change_keys(self, end_s):
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            current = self._added_s.keys() - self._withdrawn_s.keys()
            current = sorted(current - set(STABLE_KEYS.values()))
            if current and self.random.random() < 0.5:
                self._withdrawn_s[self.random.choice(current)] = time.monotonic()
            else:
                key = f"key-of-{self.random.choice((LARGE, SMALL))}-{self._version}"
                self._added_s[key] = time.monotonic()
            self._version += 1
            document = configuration(self._version, **self._configured())
            self.fleet.store.put("op", "config", document)

    # Clients

    def _credentials(self, request_id, is_crashing):
        key = STABLE_KEYS[LARGE]
        # Crashes are counted by account, so those requests stay with one.
        if not is_crashing and self.random.random() < 0.6:
            key = self.random.choice([*self._added_s, "unknown", ""])
        self._key_by_id[request_id] = key
        return (b"x-api-key", key.encode()), (b"tenant-id", b"forged")

    def _check_status(self, request_id, host, started_s, status):
        key = self._key_by_id[request_id]
        added_s, withdrawn_s = self._added_s.get(key), self._withdrawn_s.get(key)
        if status == 401:
            self.refused.add(request_id)
            is_wrong = added_s is not None and withdrawn_s is None
            is_wrong = is_wrong and self._is_known(host, added_s, started_s)
        else:
            super()._check_status(request_id, host, started_s, status)
            is_wrong = status == 200 and (
                added_s is None
                or withdrawn_s is not None
                and (
                    self._is_known(host, withdrawn_s, started_s)
                    or self._is_strict
                    and started_s - withdrawn_s > REVOKE_S + SLACK_S
                )
            )
        if is_wrong:
            self.problems.append(f"{request_id} at {host}: {status} for key {key!r}")

    def _is_known(self, host, changed_s, now_s):
        """Return whether a change of the keys must be in force at a host."""
        age_s = now_s - changed_s - SLACK_S
        if changed_s == 0.0 or self._disturbed_until_s[host] < now_s:
            return age_s > CONFIGURATION_S
        # The store turns the host away, while another one has long been in touch.
        is_turned_away = not any(
            other == host and now_s < fault_s + 12 + STABLE_S
            for fault_s, other, name in self.faults
            if name in ("kill", "terminate", "freeze")
        )
        calm_s = min(s for h, s in self._disturbed_until_s.items() if h != host)
        is_reached = is_turned_away and calm_s < now_s - OUTER_S
        return is_reached and age_s > CONFIGURATION_S + OUTER_S

    async def _train(self, end_s):
        """Run a trainer's jobs one after the other."""
        while time.monotonic() < end_s:
            self._number += 1
            job_id, prefix = f"train{self._number}", f"t{self._number}-"
            count = self.random.choice(TRAINER_ITEMS)
            body = submission(count, prefix)
            for each in body["items"]:
                each["headers"] |= {"X-Api-Key": "key-of-item", "Tenant-Id": "forged"}
            if await self._call("POST", JOB_PATH, body, job_id) != 202:
                await asyncio.sleep(0.2)
                continue
            until_s = time.monotonic() + TRAINER_WAIT_S
            results = []
            while len(results) < count and time.monotonic() < until_s:
                # The job doesn't exist for another account.
                path = f"/lots/{job_id}"
                method = self.random.choice(("GET", "DELETE", "POST"))
                foreign = JOB_PATH if method == "POST" else path
                await self._call(method, foreign, body, job_id, SMALL)
                page = await self._call("GET", f"{path}?after={len(results)}")
                results += page["results"] if isinstance(page, dict) else ()
                await asyncio.sleep(0.2)
            self.outcomes["items"] += len(results)
            self._check_results(job_id, results, len(results))

    async def _call(self, method, path, body=b"", request_id="read", name=TRAINER):
        """Return the page of results or the status of a call, 0 for no response."""
        host, started_s = self.random.choice(HOSTS), time.monotonic()
        key = STABLE_KEYS[name]
        try:
            answer = await self.fleet.ask(
                host, method, path, body, request_id, x_api_key=key
            )
        except ServiceError:
            return 0
        allowed = RETRYABLE | ({200, 202} if name == TRAINER else {404})
        is_calm = self._disturbed_until_s[host] < started_s
        if answer.status not in (allowed if is_calm else allowed | {404}):
            text = f"{method} {path} at {host} of {name}: {answer.status}"
            self.problems.append(text)
        return json.loads(answer.body) if answer.status == 200 else answer.status

    async def _read_slowly(self, end_s):
        """Read large responses slowly; what is read must be right."""
        loop = asyncio.get_running_loop()
        while time.monotonic() < end_s:
            self._number += 1
            request_id, host = f"slow{self._number}", self.random.choice(HOSTS)
            self._key_by_id[request_id] = key = STABLE_KEYS[SMALL]
            body = f"{self._number:06}".encode() * (SLOW_BYTES // 6)
            head = (
                f"POST {FETCH_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {key}\r\n"
                f"Request-Id: {request_id}\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            data = bytearray()
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.setblocking(False)
                try:
                    address = ("127.0.0.1", self.fleet.ports[host][0])
                    await loop.sock_connect(client, address)
                    await loop.sock_sendall(client, head.encode() + body)
                    async with asyncio.timeout(SLOW_S):
                        while part := await loop.sock_recv(client, 16_384):
                            data += part
                            await asyncio.sleep(0.05)
                except OSError:
                    await asyncio.sleep(0.1)
            head, _, content = data.partition(b"\r\n\r\n")
            if b" 200 " in head[:20]:
                self.outcomes["slow"] += 1
                if not (b"answer to " + body).startswith(content):
                    self.problems.append(f"{request_id} at {host}: another answer")

    # What must hold in the end

    async def _check_more(self):
        self._check_seen()
        calm = self._calm_windows()
        if calm:
            await eventually(lambda: calm[-1] in dict(self.api.usage()), REPORT_S)
        self._check_calls()
        self.outcomes["holdings"] = len({call[3] for call in self.api.received})
        counts_by_window = dict(self.api.usage())
        for window in counts_by_window.keys() & set(calm):
            self.outcomes["windows"] += 1
            self._check_counts(window, counts_by_window[window])

    def _check_seen(self):
        for server in self.fleet.servers():
            for path, headers, _ in server.seen:
                if "request-id" not in headers or path in ("/report", "/order"):
                    continue
                request_id, name = headers["request-id"], headers.get("tenant-id")
                if name != self._account_of(request_id):
                    self.problems.append(f"{request_id}: sent as of {name}")
                if any("key-of-" in value for value in headers.values()):
                    self.problems.append(f"{request_id}: a server got a key")

    def _check_calls(self):
        counts_by_window, host_by_fencing, acted_s = {}, {}, {}
        last_fencing, last_host = 0, None
        self.outcomes["orders"] = len(self.api.orders())
        for now_s, path, host, fencing, body in self.api.received:
            if fencing < last_fencing:
                self.problems.append(f"{host}: {fencing} after {last_fencing}")
            if host_by_fencing.setdefault(fencing, host) != host:
                self.problems.append(f"{fencing} is used by two hosts")
            since_s = now_s - acted_s.get(host, -TURN_S)
            if host != last_host and since_s < TURN_S:
                self.problems.append(f"{host}, {last_host}, {host} in {since_s:.2f} s")
            last_fencing, last_host, acted_s[host] = fencing, host, now_s
            if path == "/usage":
                window, counts = body["windowId"], body["counts"]
                if counts_by_window.setdefault(window, counts) != counts:
                    self.problems.append(f"window {window} has two reports")
            elif not SCALING["min"] <= body["targetGroups"] <= SCALING["max"]:
                self.problems.append(f"order out of bounds: {body}")

    def _calm_windows(self):
        """Return the windows without a fault in them or shortly before or after."""
        offset_s = time.time() - time.monotonic()
        crashes_s = [(s, s + soak.RESTART_S) for s in self.crashes_s]
        faults_s = [
            (from_s + offset_s - STABLE_S, until_s + offset_s + STABLE_S)
            for from_s, until_s in self._faults_s + crashes_s
        ]
        first = int(min(faults_s)[0]) // WINDOW_S
        return [
            window
            for window in range(first, int(self._end_s + offset_s) // WINDOW_S)
            if not any(
                from_s < (window + 1) * WINDOW_S and window * WINDOW_S < until_s
                for from_s, until_s in faults_s
            )
        ]

    def _check_counts(self, window, reported):
        """Compare a window's report with what the servers began to run in it."""
        offset_s = time.time() - time.monotonic()
        begin_s = window * WINDOW_S - offset_s
        times_s = collections.defaultdict(list)
        for app in self.fleet.apps:
            for seen_s, (_, headers, _) in zip(app.seen_s, app.seen, strict=True):
                if headers.get("expect-instance") == app.name:
                    times_s[headers["request-id"]].append(seen_s - begin_s)
        certain, possible = collections.Counter(), collections.Counter()
        for request_id, seen_s in times_s.items():
            name = self._account_of(request_id)
            first_s, last_s = min(seen_s), max(seen_s)
            certain[name] += first_s >= EDGE_S and last_s < WINDOW_S - EDGE_S
            possible[name] += first_s < WINDOW_S + EDGE_S and last_s >= -EDGE_S
        for name in possible.keys() | reported.keys():
            least, most, count = certain[name], possible[name], reported.get(name, 0)
            if not min(least * 0.95, least - 1) <= count <= max(most * 1.05, most + 1):
                text = f"window {window}: {count} of {name}, ran {least} to {most}"
                self.problems.append(text)

    def _account_of(self, request_id):
        default = STABLE_KEYS[TRAINER if request_id[0] == "t" else LARGE]
        return _account(self._key_by_id.get(request_id, default))


def _account(key):
    """Return the account of a key; no key moves to another one."""
    return key.split("-")[2] if key.startswith("key-of-") else None


if __name__ == "__main__":
    soak.main(AccountSoak)
