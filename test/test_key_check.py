"""Which account a key stands for, and whose job a caller may use, without a network."""

import json
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.calls import EndJob, ReadItem, ReadResults
from goldcrestmoor.job.job import Item, Job, JobState
from goldcrestmoor.job.job_api import JobApi
from goldcrestmoor.job.job_store import VersionedState, decode_state
from goldcrestmoor.job.job_supervisor import JobSupervisor
from goldcrestmoor.platform import callers, records, servers
from goldcrestmoor.process.client_keys import ClientKeys
from goldcrestmoor.process.front_callers import FrontRequestHandler
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.routing import Routing
from goldcrestmoor.process.shutdown import InFlight
from goldcrestmoor.request import key_check
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.key_check import (
    MAX_WITHDRAWN,
    MISSING,
    NO_ACCOUNT,
    UNKNOWN,
    Admitted,
    KeyCheck,
    Refused,
)
from test import _front


def account(name, *keys, **fields):
    """Return an account as the operator's configuration has it."""
    return {"name": name, "apiKeys": list(keys), **fields}


def table_of(*accounts, **changes):
    """Return the routes of a configuration with accounts."""
    document = _front.configuration(tenants=list(accounts), **changes)
    return records.decode_configuration(json.dumps(document).encode())


class DecodingTest(unittest.TestCase):
    """A fault in one account must not keep the others out of force."""

    def test_a_key_of_two_accounts_is_assigned_to_neither(self):
        found = table_of(account("a", "shared", "a1"), account("b", "shared")).accounts
        names = [each.name for each in found.account_by_digest.values()]
        self.assertEqual(names, ["a"])
        self.assertEqual(len(found.faults), 1)
        self.assertIn("a and b", found.faults[0])
        self.assertNotIn("shared", found.faults[0])

    def test_a_fault_in_one_account_leaves_the_others_in_force(self):
        unusable = (None, "", " ", "a\r\nb", 7, ["x"])
        for name in unusable:
            found = table_of(account(name, "k1"), account("b", "k2")).accounts
            self.assertEqual(list(found.account_by_name), ["b"])
            self.assertEqual(len(found.account_by_digest), 1)
            self.assertIn("number 1", found.faults[0])

    def test_an_unknown_priority_leaves_the_routes(self):
        for priority in ("high", [1], -1, 1.5, True):
            table = table_of(account("a", "k", priority=priority))
            route = table.match(_front.HOST, _front.FETCH_PATH)
            self.assertEqual(table.priority_of(route, "a"), 2)
            self.assertEqual(len(table.accounts.faults), 1)
        table = table_of(account("a", "k", priority=0))
        self.assertEqual(table.priority_of(route, "a"), 0)

    def test_an_account_without_keys_is_no_fault(self):
        found = table_of({"name": "a"}, account("b", "k", "k", "", None)).accounts
        self.assertEqual(list(found.account_by_name), ["a", "b"])
        self.assertEqual(len(found.account_by_digest), 1)
        self.assertEqual(found.faults, ())


class KeyCheckTest(unittest.TestCase):
    def setUp(self):
        self.check = KeyCheck()

    def adopt(self, *accounts):
        self.check.adopt(table_of(*accounts).accounts)

    def test_a_withdrawn_key_names_its_account_until_it_is_given_again(self):
        self.adopt(account("a", "k1", "k2"))
        self.adopt(account("a", "k2"))
        self.assertEqual(self.check.check(b"k1", False), Refused("a", True))
        self.assertEqual(self.check.check(b"k1", False), Refused("a", False))
        self.assertEqual(self.check.check(b"k2", False).account.name, "a")
        self.adopt(account("a", "k2"), account("b", "k1"))
        self.assertEqual(self.check.check(b"k1", False).account.name, "b")
        self.check.adopt(None)
        self.assertEqual(self.check.check(b"k1", False), Refused("b", True))

    def test_without_a_valid_key_only_public_routes_are_served(self):
        self.adopt(account("a", "k1"))
        for key, label in ((b"", MISSING), (b"k2", UNKNOWN)):
            self.assertEqual(self.check.check(key, False), Refused(label))
            self.assertEqual(self.check.check(key, True), Admitted(NO_ACCOUNT))
        self.assertEqual(self.check.check(b"k1", True).account.name, "a")

    def test_keys_that_are_replaced_for_long_take_bounded_memory(self):
        """A hundred accounts replace their keys; callers go on with the old ones."""
        rounds, names = 2 * MAX_WITHDRAWN // 100, [f"a{n}" for n in range(100)]
        for number in range(rounds + 1):
            self.adopt(*(account(name, f"{name}-{number}") for name in names))
        self.assertEqual(len(self.check._withdrawn_by_digest), MAX_WITHDRAWN)
        digest = mock.Mock(side_effect=key_check.key_digest)
        counts = {"served": 0, "withdrawn": 0}
        with mock.patch.object(key_check, "key_digest", digest):
            for number in range(20_000):
                name = names[number % 100]
                age = number // 100 % 2
                match self.check.check(f"{name}-{rounds - age}".encode(), False):
                    case Admitted(found):
                        counts["served"] += found.name == name
                    case Refused(found):
                        counts["withdrawn"] += found == name
        self.assertEqual(counts, {"served": 10_000, "withdrawn": 10_000})
        self.assertEqual(digest.call_count, 20_000)


class HeadersTest(unittest.TestCase):
    """Whatever a caller sends, servers get the account from this host and no key."""

    def test_an_item_that_was_stored_before_there_were_accounts(self):
        forged = {"X-API-Key": "k", "Tenant-ID": "other", "Connection": "tenant-id"}
        sent = dict(servers.item_headers(Item("i0", "/x", forged, b""), "h", "a"))
        expected = {b"host": b"h", b"request-id": b"i0", b"tenant-id": b"a"}
        self.assertEqual(sent, expected)

    def test_two_keys_are_no_valid_key(self):
        headers = [(b"x-api-key", b"k1"), (b"x-api-key", b"k2")]
        self.assertNotIn(callers.api_key(headers), (b"k1", b"k2"))

    def test_without_accounts_headers_are_sent_as_they_came(self):
        headers = ((b"x-api-key", b"k"), (b"tenant-id", b"t"))
        self.assertEqual(callers.forwarded_headers(headers), headers)
        item = Item("i0", "/x", {"Tenant-Id": "t"}, b"")
        self.assertEqual(dict(servers.item_headers(item, "h"))[b"tenant-id"], b"t")


class AccessTest(unittest.IsolatedAsyncioTestCase):
    """Which requests are sent on, by what the host knows when their body has come."""

    def setUp(self):
        metrics, self.trusts_keys = Metrics(), True
        keys = ClientKeys(metrics=metrics)
        self.routing = Routing(
            decode=records.decode_configuration, metrics=metrics, on_change=keys.adopt
        )
        self.forward, self.submit = mock.AsyncMock(), mock.AsyncMock()
        self.forward.return_value = AppResponse(200, [], b"")
        self.handler = FrontRequestHandler(
            clock=Clock(),
            routing=self.routing,
            forwarder=SimpleNamespace(forward=self.forward),
            streams=None,
            job_api=SimpleNamespace(submit=self.submit),
            dialect=callers,
            keys=keys,
            exchange=SimpleNamespace(
                trusts_keys=lambda: self.trusts_keys,
                check_current=self.check_current,
                wait_after_freeze=mock.AsyncMock(),
            ),
            in_flight=InFlight(),
            metrics=metrics,
        )

    def check_current(self):
        if not self.trusts_keys:
            raise ServiceError(ErrorKind.CONFIG_LAPSED, "")

    def put(self, version, **changes):
        document = _front.configuration(version, [account("a", "k")], **changes)
        self.routing.put(json.dumps(document).encode())

    def ask(self, path, body=b"x", during=lambda: None, key="k"):
        async def read():
            during()
            return body

        headers = {"host": _front.HOST, "request-id": "r", "x-api-key": key}
        pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
        request = SimpleNamespace(
            method="POST",
            headers=pairs,
            scope={"raw_path": path.encode()},
            get_first_header=dict(pairs).get,
            read=read,
        )
        return self.handler._handle(request)

    async def check_refused(self, kind, *arguments, **options):
        with self.assertRaises(ServiceError) as caught:
            await self.ask(*arguments, **options)
        self.assertIs(caught.exception.kind, kind)
        self.forward.assert_not_awaited()
        self.submit.assert_not_awaited()

    async def test_a_route_that_is_no_longer_public_needs_a_key(self):
        """It may change while the body arrives."""
        self.put(3, fetch={"public": True})
        await self.check_refused(
            ErrorKind.UNAUTHORIZED,
            _front.FETCH_PATH,
            during=lambda: self.put(4),
            key="",
        )

    async def test_a_configuration_that_became_too_old_admits_no_key(self):
        """A host that is frozen while the body arrives may have missed a withdrawal."""
        self.put(3)
        await self.check_refused(
            ErrorKind.CONFIG_LAPSED,
            _front.FETCH_PATH,
            during=lambda: setattr(self, "trusts_keys", False),
        )

    async def test_a_key_that_is_not_trusted_counts_on_no_public_route(self):
        """It may have been withdrawn; public jobs must not open other routes to it."""
        self.put(3, fetch={"public": True}, job={"public": True})
        self.trusts_keys = False
        await self.ask(_front.FETCH_PATH)
        forwarded = self.forward.await_args.args[0]
        self.assertEqual(forwarded.account, "")
        self.assertNotIn("tenant-id", str(forwarded.headers))
        self.forward.reset_mock()
        job = _front.submission(1)
        job["items"][0]["path"] = "/stream/x"
        body = json.dumps(job).encode()
        await self.check_refused(ErrorKind.CONFIG_LAPSED, _front.JOB_PATH, body)


class FakeStore:
    """Has the job ``j`` of account ``a``, which it accepted before."""

    def __init__(self):
        items = (Item("i0", "/x", {}, b"secret"),)
        self.job = Job("j", "h", "/x", items, account="a")
        self.stored = VersionedState(JobState("h", "/x", "", 1, 0, account="a"), 1)

    async def state(self, job_id):
        return self.stored if job_id == "j" else None

    async def accept(self, job, zone, deadline):
        return self.stored

    async def load(self, job_id, state):
        return self.job

    async def listed_ids(self, job_id, listed):
        return set()

    async def partials(self, job_id):
        return {}

    async def change(self, job_id, stored, state):
        self.stored = VersionedState(state, stored.version + 1)
        return self.stored


class JobAccountTest(unittest.IsolatedAsyncioTestCase):
    """For another account a job does not exist, wherever its state comes from."""

    CALLS = (
        ("results", ReadResults("j", 0, 0), 1000),
        ("item_body", ReadItem("j", "i0")),
        ("end", EndJob("j")),
    )

    def setUp(self):
        self.store = FakeStore()
        self.is_current = True
        self.supervisor = mock.MagicMock(state_by_job={})
        self.supervisor.caching.return_value.__exit__.return_value = False
        self.job_api = JobApi(
            clock=SimpleNamespace(now_ms=lambda: 0),
            store=self.store,
            supervisor=self.supervisor,
            zone="z",
            is_current=lambda: self.is_current,
        )

    async def check_unknown(self, call):
        with self.assertRaises(ServiceError) as caught:
            await call
        self.assertIs(caught.exception.kind, ErrorKind.NOT_FOUND)

    async def test_calls_of_another_account_find_no_job(self):
        for states in ({}, {"j": self.store.stored}):
            self.supervisor.state_by_job = states
            for name, *arguments in self.CALLS:
                call = getattr(self.job_api, name)
                for other in ("b", ""):
                    await self.check_unknown(call(*arguments, other))
            self.assertFalse(self.store.stored.state.is_ended)
            self.assertEqual(
                await self.job_api.item_body(ReadItem("j", "i0"), "a"), b"secret"
            )
        await self.job_api.end(EndJob("j"), "a")
        self.assertTrue(self.store.stored.state.is_ended)

    async def test_an_id_of_another_account_is_not_accepted(self):
        for states in ({}, {"j": self.store.stored}):
            self.supervisor.state_by_job = states
            for other in ("b", ""):
                job = msgspec.structs.replace(self.store.job, account=other)
                await self.check_unknown(self.job_api.submit(job))
            await self.job_api.submit(self.store.job)

    async def test_an_id_that_is_used_again_gives_no_item_of_the_job_before(self):
        call = ReadItem("j", "i0")
        await self.job_api.item_body(call, "a")
        items = (Item("i0", "/x", {}, b"new"),)
        self.store.job = Job("j", "h", "/x", items, account="b")
        self.store.stored = VersionedState(
            JobState("h", "/x", "", 1, 0, account="b"), 9
        )
        self.assertEqual(await self.job_api.item_body(call, "b"), b"new")

    async def test_each_runner_has_the_accounts_priority_and_its_items(self):
        """Another account submits the id here while this host takes the job over."""
        table = table_of(account("a", "k", priority=0))
        job = msgspec.structs.replace(self.store.job, host=_front.HOST, path="/lot/x")
        self.store.job = job
        supervisor = JobSupervisor(
            clock=Clock(),
            store=self.store,
            duties=None,
            scheduler=None,
            routes=lambda: table,
            configuration=None,
            process_id="host/1",
            zone="z",
            cores=1,
            kept_ms=1,
            is_cut_off=lambda: False,
        )
        for runner in ("", "dead/1"):
            state = msgspec.structs.replace(self.store.stored.state, runner=runner)
            stored = VersionedState(state, 1)
            self.store.stored = stored
            with supervisor.caching(msgspec.structs.replace(job, account="b")):
                run = await supervisor._create_run("j", stored)
            self.assertEqual((run.job.account, run.priority), ("a", 0))

    def test_what_was_stored_before_there_were_accounts_is_readable(self):
        old = {"host": "h", "path": "/x", "model": "", "total": 1, "submitted_ms": 0}
        self.assertEqual(decode_state(json.dumps(old).encode()).account, "")
        job = {"id": "j", "host": "h", "path": "/x", "items": []}
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(job), type=Job)
        self.assertEqual(decoded.account, "")


if __name__ == "__main__":
    unittest.main()
