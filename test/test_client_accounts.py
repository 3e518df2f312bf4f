"""Client accounts and their API keys, on daemons with stand-ins."""

import asyncio
import base64
import http.client
import json
import pathlib
import tempfile
import unittest

from test import _common
from test._front import (
    FETCH_PATH,
    HOST,
    JOB_PATH,
    MODEL,
    FrontFleet,
    configuration,
    submission,
)
from test.test_commands import run
from test.test_key_check import account
from test.test_reward_calls import scored_submission

HOSTS = ("front-a", "front-b")
# The operator's rule: so long after the store accepted a change it is in force.
CONFIGURATION_S = 3
# The same at a host that could not receive it, in addition.
OUTER_S = 6
KEY = "key-of-acme-1"
OTHER_KEY = "key-of-birch-1"
ACCOUNTS = [
    account("acme", KEY, "key-of-acme-2"),
    account("birch", OTHER_KEY, "key-of-two", priority=0),
    account("cedar", "key-of-two"),
]
OPEN_PATH = "/open/x"
MORE_ROUTES = (
    {"name": "open", "pathPrefix": "/open/", "public": True},
    # Public batch jobs, on a host name without others.
    {
        "name": "open-jobs",
        "hostname": "open.example",
        "pathPrefix": "/",
        "routeType": "rollout",
        "service": "pool",
        "runAimMs": 7500,
        "keepS": 40.0,
        "public": True,
    },
)


class AccountsCase(unittest.IsolatedAsyncioTestCase):
    """Two daemons with accounts; requests have a key of the first one."""

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.configured = {"tenants": ACCOUNTS, "more_routes": MORE_ROUTES}
        self.fleet.api_key = KEY

    async def start(self, **options):
        await self.fleet.start(names=HOSTS, **options)
        for name in HOSTS:
            await _common.eventually(lambda name=name: self.is_answered(name))

    async def is_answered(self, name):
        return await self.status(name, FETCH_PATH, request_id="probe") == 200

    async def status(self, name, path, method="POST", body=b"x", **options):
        return (await self.fleet.ask(name, method, path, body, **options)).status

    def seen(self, prefix=""):
        """Return the headers of each request that servers got."""
        return [
            headers
            for server in self.fleet.servers()
            for _, headers, _ in server.seen
            if headers.get("request-id", "").startswith(prefix)
        ]

    def seen_ids(self, prefix=""):
        return {headers["request-id"] for headers in self.seen(prefix)}

    def forget_seen(self):
        for server in self.fleet.servers():
            server.seen.clear()

    def check_sent(self, name, prefix):
        """Check that servers were told an account, None for none, and got no key."""
        seen = self.seen(prefix)
        self.assertTrue(seen)
        for headers in seen:
            self.assertEqual(headers.get("tenant-id"), name)
            self.assertNotIn("x-api-key", headers)

    def check_no_key_shown(self):
        """Check that no key of an account is in a log or a stored row."""
        texts = [self.fleet.log_of(name).encode() for name in self.fleet.fronts]
        texts += [
            base64.b64decode(row["value"])
            for (table, _, _), row in self.fleet.store.row_by_place.items()
            if table != "op"
        ]
        for key in (k for each in ACCOUNTS for k in each["apiKeys"]):
            self.assertFalse([text for text in texts if key.encode() in text])


class RequestsTest(AccountsCase):
    async def test_only_a_valid_key_opens_a_route(self):
        await self.start()
        for engine in self.fleet.engines:
            # Streams are resumed at the other engine.
            engine.cut_after = 2
        label_by_key = {KEY: "valid", "key-of-two": "two", "other": "other", "": "no"}
        statuses = {}
        for key, label in label_by_key.items():
            for path in (FETCH_PATH, "/stream/x", "/none/x", OPEN_PATH):
                statuses[label, path] = await self.status(
                    "front-a",
                    path,
                    request_id=f"{label}-{path.split('/')[1]}",
                    x_api_key=key,
                    tenant_id="birch",
                    **({"model_name": MODEL} if path == "/stream/x" else {}),
                )
        expected = {
            (label, path): 200 if path == OPEN_PATH or label == "valid" else 401
            for label, path in statuses
        } | {(label, "/none/x"): 404 for label in label_by_key.values()}
        self.assertEqual(statuses, expected)
        self.check_sent("acme", "valid")
        self.assertEqual(len(self.seen("valid-stream")), 2)
        for label in ("two", "other", "no"):
            self.check_sent(None, label)
            self.assertEqual(self.seen_ids(label), {f"{label}-open"})
        metrics = await self.fleet.metrics("front-a")
        self.assertEqual(metrics['unauthorized_total{account="unknown"}'], 4)
        self.assertEqual(metrics['unauthorized_total{account="missing"}'], 2)
        self.assertEqual(metrics["accounts"], 3)
        self.assertIn("birch and cedar", self.fleet.log_of("front-a"))
        self.check_no_key_shown()

    async def test_a_withdrawn_key_is_refused_on_a_connection_that_stays_open(self):
        await self.start()
        port = self.fleet.ports["front-a"][0]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        self.addCleanup(connection.close)
        slow = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        self.addCleanup(slow.close)

        def fetch(request_id):
            headers = {"Host": HOST, "Request-Id": request_id, "X-Api-Key": KEY}
            connection.request("POST", FETCH_PATH, b"x", headers)
            response = connection.getresponse()
            response.read()
            return response.status, connection.sock.getsockname()

        def begin():
            slow.putrequest("POST", FETCH_PATH, skip_host=True)
            head = {"Host": HOST, "Request-Id": "slow", "X-Api-Key": KEY}
            for name, value in (head | {"Content-Length": "2"}).items():
                slow.putheader(name, value)
            slow.endheaders(b"x")

        def finish():
            slow.send(b"x")
            return slow.getresponse().status

        status, name = await asyncio.to_thread(fetch, "before")
        self.assertEqual(status, 200)
        await asyncio.to_thread(begin)
        changed = [account("acme", "key-of-acme-2"), *ACCOUNTS[1:]]
        self.fleet.store.put("op", "config", configuration(4, changed))
        await asyncio.sleep(CONFIGURATION_S)
        self.assertEqual(await asyncio.to_thread(fetch, "after"), (401, name))
        self.assertEqual(await asyncio.to_thread(fetch, "again"), (401, name))
        self.assertEqual(await asyncio.to_thread(finish), 401)
        self.assertEqual(self.seen_ids() & {"slow", "after", "again"}, set())
        metrics = await self.fleet.metrics("front-a")
        self.assertEqual(metrics['unauthorized_total{account="acme"}'], 3)
        line = "A withdrawn key of account acme is still used."
        self.assertEqual(self.fleet.log_of("front-a").count(line), 1)
        self.fleet.api_key = "key-of-acme-2"
        self.assertEqual(await self.status("front-a", FETCH_PATH), 200)

    async def test_a_host_that_was_frozen_sends_no_request_with_a_withdrawn_key(self):
        """Requests from meanwhile must not be checked by the keys from before."""
        await self.start()
        frozen = self.fleet.fronts["front-a"]
        frozen.freeze()
        asking = asyncio.create_task(
            self.status("front-a", FETCH_PATH, request_id="frozen")
        )
        changed = [account("acme", "key-of-acme-2"), *ACCOUNTS[1:]]
        self.fleet.store.put("op", "config", configuration(4, changed))
        await asyncio.sleep(CONFIGURATION_S + OUTER_S)
        frozen.thaw()
        self.assertEqual(await asking, 401)
        self.assertEqual(self.seen_ids("frozen"), set())

    async def test_a_relayed_request_has_its_account(self):
        await self.start(linked=("front-a",))
        for link in self.fleet.links_by_host["front-a"].values():
            await link.refuse()

        async def is_relayed():
            await self.status("front-a", FETCH_PATH, request_id="cut", tenant_id="x")
            metrics = await self.fleet.metrics("front-a")
            return metrics.get('relayed_requests_total{outcome="answered"}')

        await _common.eventually(is_relayed)
        self.check_sent("acme", "cut")


class JobsTest(AccountsCase):
    async def submit(self, job_id="j1", count=8, **options):
        return await self.status(
            "front-a",
            JOB_PATH,
            body=scored_submission(count),
            request_id=job_id,
            **options,
        )

    async def test_a_job_exists_for_its_account_alone(self):
        await self.start()
        self.assertEqual(await self.submit(), 202)
        self.assertEqual(await self.submit(x_api_key=OTHER_KEY), 404)
        calls = (
            ("GET", "/lots/j1"),
            ("GET", "/items/j1?id=i0"),
            ("DELETE", "/lots/j1"),
        )
        for name in HOSTS:
            for key, expected in (
                (OTHER_KEY, 404),
                ("unknown", 401),
                ("", 401),
                ("key-of-acme-2", 200),
            ):
                for method, path in calls[: 3 if expected != 200 else 2]:
                    status = await self.status(name, path, method, b"", x_api_key=key)
                    self.assertEqual(status, expected, (name, key, method, path))
        self.assertEqual(len(await self.fleet.all_results("front-b", "j1")), 8)
        self.check_sent("acme", "i")
        self.check_sent("acme", "score-")

    async def test_items_keep_their_account_when_it_is_removed_and_hosts_restart(self):
        await self.start()
        for engine in self.fleet.engines:
            engine.events = 200
        body = scored_submission(8)
        for item in body["items"]:
            item["headers"] |= {
                "X-Api-Key": OTHER_KEY,
                "tenant-id": "birch",
                "Connection": "Tenant-Id",
            }
        self.assertEqual(
            await self.status("front-a", JOB_PATH, body=body, request_id="j1"), 202
        )
        await _common.eventually(lambda: self.seen("i"))
        removed = configuration(4, ACCOUNTS[1:], MORE_ROUTES)
        self.fleet.store.put("op", "config", removed)
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        self.fleet.fronts[runner].kill()
        self.forget_seen()
        other = next(name for name in HOSTS if name != runner)
        await _common.eventually(lambda: self.seen("i"))
        self.assertEqual(self.fleet.runner_of("j1"), other)
        self.check_sent("acme", "i")
        self.fleet.fronts[other].kill()
        self.forget_seen()
        for name in HOSTS:
            self.fleet.start_front(name)
        await _common.eventually(lambda: len(self.seen_ids("score-")) == 8)
        self.check_sent("acme", "i")
        self.check_sent("acme", "score-")
        self.fleet.store.put("op", "config", configuration(5, ACCOUNTS, MORE_ROUTES))
        await self.fleet.all_results("front-a", "j1")
        self.check_no_key_shown()

    async def test_public_jobs_need_no_key_and_open_no_other_route(self):
        await self.start()
        self.fleet.api_key = ""
        here = {"host": "open.example"}
        body = submission(4, prefix="open-")
        ask = self.status
        for item in body["items"]:
            item["headers"]["Tenant-Id"] = "birch"
        self.assertEqual(
            await ask("front-a", "/x", body=body, request_id="j1", **here), 202
        )
        for method, path in (("GET", "/items/j1?id=open-0"), ("GET", "/lots/j1")):
            self.assertEqual(await ask("front-b", path, method, b"", **here), 200)
        await _common.eventually(lambda: len(self.seen_ids("open-")) == 4)
        self.check_sent(None, "open-")
        scored = scored_submission(4, prefix="private-")
        self.assertEqual(
            await ask("front-a", "/x", body=scored, request_id="j2", **here), 401
        )
        self.assertEqual(self.seen("private-"), [])


class CheckTest(unittest.TestCase):
    def check(self, tenants):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "configuration.json"
            path.write_text(json.dumps(configuration(tenants=tenants)))
            return run("check", str(path), "--configuration")

    def test_each_fault_is_named_without_the_key(self):
        more = [account("", "key-x"), account("dell", priority="first")]
        code, _, error = self.check(ACCOUNTS + more)
        self.assertEqual(code, 2)
        for text in ("birch and cedar", "number 4", "dell has the unknown priority"):
            self.assertIn(text, error)
        self.assertNotIn("key-", error)
        code, output, _ = self.check(ACCOUNTS[:2])
        self.assertEqual((code, "2 client accounts" in output), (0, True))


if __name__ == "__main__":
    unittest.main()
