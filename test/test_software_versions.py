"""Servers of two software versions side by side, whose events don't fit together.

Engines crash and hosts are killed while half of the engines are replaced by newer ones.
A stream or a text that goes on at an engine of the other version is corrupt, and no
server notices.
"""

import asyncio
import collections
import contextlib
import functools
import json
import unittest
from types import SimpleNamespace

import msgspec

from goldcrestmoor.adapters.table import CheckFailed, Committed, Row
from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.engine_choice import EngineLoad, choose_engine, should_restart
from goldcrestmoor.job.item_run import Broken, ItemExecutor, ItemRun, ItemTerms
from goldcrestmoor.job.job import Item, Partial
from goldcrestmoor.platform import servers
from goldcrestmoor.process import stream_log, version_log
from goldcrestmoor.process.directory import ListedUpstream
from goldcrestmoor.process.stream_versions import (
    ACKNOWLEDGE_MS,
    CALLS_PER_HOST,
    HOLDERS,
    LIST_VALID_MS,
    StreamReply,
    StreamVersions,
    version_of,
)
from goldcrestmoor.request.stream_version import LOOKBACK_MS, VersionHistory
from goldcrestmoor.util import rendezvous_order
from goldcrestmoor.version.configuration.routes import (
    RetryPolicy,
    Route,
    RouteKind,
    ServiceShare,
)
from test import _common
from test._fleet import ManualClock
from test._front import HOST, MODEL, FrontFleet, configuration, item
from test._request_fakes import upstream_limits
from test.standins.users_server import UsersServer, whole_text

VERSIONS = ("v1", "v1.1")
HOSTS = ("front-a", "front-b", "front-c")
ITEMS = 16
STREAMS = 12


def engine(name, software_version, in_flight=0, **fields):
    """Return an engine with four slots that needs 20 ms for an event."""
    fields = {"slots": 4, "version": 5, "ms_per_event": 20, **fields}
    return EngineLoad(
        name, in_flight=in_flight, software_version=software_version, **fields
    )


class ChoiceTest(unittest.TestCase):
    """Half of the engines are replaced; some of the others crash or are full."""

    FREE_OTHER = engine("b", "v1.1")

    def restarts(self, engines, waited_ms, event_count=50):
        return should_restart(engines, 5, "v1", event_count, waited_ms)

    def test_a_text_goes_on_at_its_version_only(self):
        engines = [engine("a", "v1", in_flight=3), self.FREE_OTHER]
        self.assertEqual(choose_engine(engines, 5), "b")
        self.assertEqual(choose_engine(engines, 5, software_version="v1"), "a")
        self.assertIsNone(choose_engine(engines, 5, software_version="v0"))

    def test_it_starts_again_at_once_when_its_version_is_gone(self):
        self.assertTrue(self.restarts([self.FREE_OTHER], 0))
        # An engine whose weights are too old doesn't help.
        self.assertTrue(self.restarts([engine("a", "v1", version=4)], 0))

    def test_it_waits_no_longer_than_its_text_takes(self):
        for engines in (
            [engine("a", "v1", in_flight=4), self.FREE_OTHER],
            [engine("a", "v1", is_blocked=True), self.FREE_OTHER],
        ):
            self.assertFalse(self.restarts(engines, 999))
            self.assertTrue(self.restarts(engines, 1000))
            self.assertTrue(self.restarts(engines, 20, event_count=1))

    def test_it_waits_while_no_engine_is_free(self):
        full = [engine("a", "v1", in_flight=4), engine("b", "v1.1", in_flight=4)]
        self.assertFalse(self.restarts(full, 60_000))

    def test_it_keeps_its_text_where_its_version_is_free(self):
        self.assertFalse(self.restarts([engine("a", "v1"), self.FREE_OTHER], 60_000))


class RestartInPlaceTest(unittest.IsolatedAsyncioTestCase):
    """An engine restarts under its id with newer software; the list shows it later."""

    async def test_the_text_is_discarded(self):
        old = ListedUpstream(
            "e", "pool", "a", 1, "z", 4, started_ms=1, software_version="v1"
        )
        directory = SimpleNamespace(
            upstream_by_name={"e": old},
            check_usable=lambda upstream: None,
        )
        response = [
            (b"request-id", b"i1"),
            (b"server-stamp", b"s"),
            (b"weight-versions", b"1"),
        ]

        async def body():
            yield b"id: 4\ndata: new\n\n"
            directory.upstream_by_name["e"] = msgspec.structs.replace(
                old, started_ms=2, software_version="v1.1"
            )

        @contextlib.asynccontextmanager
        async def stream(*args, **options):
            yield SimpleNamespace(
                status=200,
                headers=response,
                ends_by_close=False,
                body=body,
                hold=lambda size: None,
            )

        executor = ItemExecutor(
            clock=Clock(),
            paths=SimpleNamespace(stream=stream),
            directory=directory,
            limits=upstream_limits(Clock()),
            dialect=servers,
        )
        run = ItemRun(Item("i1", "/lot/i1", {}, b""), 0)
        run.resume([Partial(0, 0, 0, ("old",) * 4, "3", (1,), software_version="v1")])
        terms = functools.partial(ItemTerms, "h", 1, False)
        outcome = await executor.attempt(run, old, terms, lambda count: None)
        self.assertIsInstance(outcome, Broken)
        self.assertEqual((run.events, run.last_id, run.generation), ([], "", 1))


class VersionHistoryTest(unittest.TestCase):
    """Which streams need a record, and what began those without one."""

    def setUp(self):
        self.clock = ManualClock()
        self.history = VersionHistory(self.clock)

    def observe(self, versions, after_ms):
        self.clock._now_ms += after_ms
        self.history.observe(frozenset(versions))

    def test_streams_of_a_release_are_recorded_and_no_others(self):
        self.observe({"v1"}, 0)
        self.observe({"v1"}, LOOKBACK_MS)
        self.assertFalse(self.history.needs_records())
        self.assertEqual(self.history.unrecorded_version(), "v1")
        self.observe({"v1", "v2"}, 1000)
        self.assertTrue(self.history.needs_records())
        self.observe({"v2"}, 30_000)
        # A stream without a record began before there were two versions.
        self.assertEqual(self.history.unrecorded_version(), "v1")
        self.clock._now_ms += LOOKBACK_MS - 1000
        self.assertTrue(self.history.needs_records())
        self.assertIsNone(self.history.unrecorded_version())
        self.clock._now_ms += 2000
        self.assertFalse(self.history.needs_records())
        self.assertEqual(self.history.unrecorded_version(), "v2")

    def test_a_host_that_started_during_a_release_can_not_tell(self):
        self.observe({"v1", "v2"}, 0)
        self.assertTrue(self.history.needs_records())
        self.assertIsNone(self.history.unrecorded_version())

    def test_a_host_that_has_just_started_is_not_certain(self):
        self.observe({"v2"}, 0)
        self.assertTrue(self.history.needs_records())
        self.assertFalse(self.history.is_complete())

    def seed(self, *ages_and_versions):
        """Add listings of the log, each with its age when this host started."""
        now_ms = self.clock.now_ms()
        self.history.seed(
            [(now_ms - age_ms, frozenset(v)) for age_ms, v in ages_and_versions]
        )

    def test_a_host_that_starts_after_a_release_knows_that_it_can_not_tell(self):
        self.seed((LOOKBACK_MS, {"v1", "v2"}), (5000, {"v2"}))
        self.observe({"v2"}, 0)
        self.assertIsNone(self.history.unrecorded_version())
        self.assertFalse(self.history.can_tell())
        self.assertTrue(self.history.needs_records())
        self.clock._now_ms += LOOKBACK_MS
        self.assertEqual(self.history.unrecorded_version(), "v2")
        self.assertTrue(self.history.can_tell())

    def test_a_version_that_came_while_all_hosts_were_down(self):
        self.seed((2 * LOOKBACK_MS, {"v1"}))
        self.observe({"v2"}, 0)
        self.assertIsNone(self.history.unrecorded_version())

    def test_records_of_before_the_start_are_not_relied_on(self):
        """Streams of the other version began with one, which may be lost."""
        self.seed((2 * LOOKBACK_MS, {"v1"}), (5000, {"v1", "v2"}))
        self.observe({"v1", "v2"}, 0)
        self.assertIsNone(self.history.unrecorded_version())

    def test_a_host_that_starts_again_knows_of_a_single_version_at_once(self):
        for observes_first in (False, True):
            with self.subTest(observes_first):
                self.setUp()
                if observes_first:
                    self.observe({"v1"}, 0)
                self.seed((2 * LOOKBACK_MS, {"v1"}))
                self.observe({"v1"}, 0)
                self.assertEqual(self.history.unrecorded_version(), "v1")
                self.assertTrue(self.history.can_tell())
                self.assertFalse(self.history.needs_records())


class FakeLogStore:
    """One table; its clock is ahead of the hosts'."""

    AHEAD_MS = 5_000_000

    def __init__(self, clock, table):
        self._clock = clock
        self.table = table
        self.row_by_key = {}
        self.is_down = False
        self.writes = 0

    def now_ms(self):
        return self._clock.now_ms() + self.AHEAD_MS

    def put(self, key, value):
        version = self.row_by_key[key].version + 1 if key in self.row_by_key else 1
        self.row_by_key[key] = Row(key, version, value)

    async def scan(self, table, start=None, max_rows=None):
        if self.is_down:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, "down")
        if table != self.table:
            return []
        keys = sorted(key for key in self.row_by_key if key >= (start or ""))
        return [self.row_by_key[key] for key in keys[:max_rows]]

    async def get(self, table, key):
        await self.scan(table)
        return self.row_by_key.get(key)

    async def transact(self, checks, writes):
        await self.scan(self.table)
        for check in checks:
            row = self.row_by_key.get(check.key)
            if (row.version if row else 0) != check.version:
                return CheckFailed(row, check.table, check.key)
        self.writes += 1
        for write in writes:
            if write.value is None:
                self.row_by_key.pop(write.key, None)
            else:
                self.put(write.key, write.value)
        return Committed({})


class VersionLogTest(unittest.IsolatedAsyncioTestCase):
    """All hosts are killed during a release, some while the store is away."""

    HOSTS = tuple(f"host-{n}" for n in range(5))

    def setUp(self):
        self.clock = Clock()
        self.store = FakeLogStore(self.clock, version_log.TABLE)

    def start_host(self, host_id, kind=RouteKind.STREAM):
        """Start a host; return its history of the service, and the log."""
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=kind,
            retry_policy=RetryPolicy.RESUMABLE,
            shares=(ServiceShare("pool"),),
            timeout_ms=1000,
            target_ms=100,
        )
        table = SimpleNamespace(routes_by_host={"h": (route,)})
        history = VersionHistory(self.clock)
        found = version_log.VersionLog(
            clock=self.clock,
            store=self.store,
            host_id=host_id,
            hosts=lambda: self.HOSTS,
            routes=lambda: table,
            records=stream_log.StreamLog(
                clock=self.clock,
                store=self.store,
                host_id=host_id,
                hosts=lambda: self.HOSTS,
            ),
        )
        found.attach(lambda service: history, lambda entries: None)
        running = asyncio.create_task(found.run())
        self.addCleanup(running.cancel)
        return history, found

    def observe(self, hosts, *versions):
        for history, found in hosts:
            history.observe(frozenset(versions))
            found.wake()

    async def logged(self, *versions):
        """Wait until a listing is the last one in the log."""

        expected = json.dumps(versions, separators=(",", ":")).encode()

        def is_logged():
            row = self.store.row_by_key.get("pool")
            return row and row.value.endswith(b'"versions":' + expected + b"}]}")

        await _common.eventually(is_logged, 5)

    async def test_hosts_that_start_again_learn_of_a_release(self):
        hosts = [self.start_host(host) for host in self.HOSTS]
        for versions in (("v1",), ("v1", "v2"), ("v2",)):
            self.observe(hosts, *versions)
            await self.logged(*versions)
        await asyncio.sleep(version_log.WRITERS * version_log.TURN_MS / 1000)
        # The first writer alone, once for each change.
        self.assertEqual(self.store.writes, 3)
        for host in self.HOSTS:
            history, found = self.start_host(host)
            self.observe([(history, found)], "v2")
            await _common.eventually(lambda found=found: found.is_loaded)
            self.assertIsNone(history.unrecorded_version())

    async def test_a_change_is_logged_once_the_store_is_back(self):
        hosts = [self.start_host(host) for host in self.HOSTS]
        self.store.is_down = True
        self.observe(hosts, "v1")
        await asyncio.sleep(0.3)
        self.assertFalse(any(found.is_loaded for _, found in hosts))
        self.store.is_down = False
        await self.logged("v1")

    async def test_another_writer_takes_the_place_of_one_that_is_gone(self):
        order = rendezvous_order("pool", self.HOSTS)
        self.observe([self.start_host(order[1])], "v1")
        await self.logged("v1")
        self.observe([self.start_host(order[-1])], "v1", "v2")
        await asyncio.sleep(0.2)
        self.assertEqual(self.store.writes, 1)

    async def test_the_first_writers_are_gone_and_their_rows_are_not(self):
        """Nobody logged the change: after a kill of all hosts, versions were mixed."""
        order = rendezvous_order("pool", self.HOSTS)
        self.observe([self.start_host(host) for host in order[3:]], "v1", "v2")
        await self.logged("v1", "v2")

    async def test_hosts_that_know_of_different_hosts_log_a_change_once(self):
        hosts = [self.start_host(host) for host in self.HOSTS]
        for _, found in hosts[::2]:
            found._hosts = lambda: self.HOSTS[:3]
        self.observe(hosts, "v1")
        await self.logged("v1")
        await asyncio.sleep(version_log.WRITERS * version_log.TURN_MS / 1000)
        self.assertEqual(self.store.writes, 1)

    async def test_an_odd_row_is_replaced(self):
        self.store.put("pool", b"[" * 10_000)
        with self.assertLogs("goldcrestmoor.streams", "WARNING"):
            self.observe([self.start_host(host) for host in self.HOSTS], "v1")
            await self.logged("v1")

    async def test_services_without_resumable_streams_have_no_log(self):
        hosts = [self.start_host(host, RouteKind.JOB) for host in self.HOSTS]
        self.observe(hosts, "v1")
        await asyncio.sleep(0.2)
        self.assertEqual(self.store.writes, 0)

    def test_old_listings_go_and_a_row_stays_small(self):
        listings = ()
        for number in range(2 * version_log.MAX_LISTINGS):
            new = version_log.Listing(number, (f"v{number % 2}",))
            listings = version_log.append(listings, new)
        self.assertEqual(len(listings), version_log.MAX_LISTINGS)
        self.assertEqual(listings[0].versions, ("v0", "v1"))
        late = version_log.Listing(10 * LOOKBACK_MS, ("v2",))
        self.assertEqual(version_log.append(listings, late), (listings[-1], late))


class StreamLogTest(unittest.IsolatedAsyncioTestCase):
    """All hosts are killed while servers of two versions serve."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = FakeLogStore(self.clock, stream_log.TABLE)

    def make_log(self, host="host-0"):
        return stream_log.StreamLog(
            clock=self.clock, store=self.store, host_id=host, hosts=lambda: ("host-0",)
        )

    async def write(self, found, *entries):
        for entry in entries:
            found.add(*entry)
        while found._waiting:
            await found._write()

    async def test_all_records_of_the_last_minute_are_read(self):
        expected = []
        for number in range(2 * stream_log.MAX_ROW_RECORDS):
            expected.append((f"s{number}", f"v{number % 2}"))
        await self.write(self.make_log("host-1"), *expected)
        self.clock._now_ms += 1000
        await self.write(self.make_log(), ("late", "v2"))
        read = await self.make_log("host-2").load()
        pairs = [(entry.stream_id, entry.software_version) for entry in read]
        self.assertEqual(pairs, [*expected, ("late", "v2")])

    async def test_old_rows_are_removed_by_the_host_that_wrote_them(self):
        await self.write(self.make_log("host-1"), ("other", "v1"))
        await self.write(self.make_log(), ("old", "v1"))
        self.clock._now_ms += LOOKBACK_MS + 1
        again = self.make_log()
        self.assertEqual(await again.load(), [])
        await self.write(again, ("new", "v1"))
        left = [row.value for row in await self.store.scan(stream_log.TABLE)]
        self.assertEqual(left, [b'[["other","v1"]]', b'[["new","v1"]]'])

    async def test_records_wait_while_the_store_is_away(self):
        found = self.make_log()
        self.store.is_down = True
        with self.assertRaises(ServiceError):
            await self.write(found, ("s0", "v1"), ("s1", "v2"))
        self.store.is_down = False
        await self.write(found, ("s2", "v2"))
        read = await self.make_log().load()
        self.assertEqual([entry.stream_id for entry in read], ["s0", "s1", "s2"])

    async def test_odd_rows_hide_no_others(self):
        await self.write(self.make_log(), ("s0", "v1"))
        self.store.put("odd", b"[[1]]")
        self.store.put(f"{10**14:015d}/x/1", b"[" * 10_000)
        with self.assertLogs("goldcrestmoor.streams", "WARNING"):
            read = await self.make_log().load()
        self.assertEqual([entry.stream_id for entry in read], ["s0"])


class StreamVersionTest(unittest.TestCase):
    def test_a_record_goes_before_what_hosts_assume(self):
        recorded = StreamReply("v2", "v1", True)
        others = [StreamReply(None, "v1", True), recorded]
        self.assertEqual(version_of(others[0], others), "v2")

    def test_a_host_that_would_have_a_record_knows_the_earlier_version(self):
        young = StreamReply(None, None, False)
        old = StreamReply(None, "v1", True)
        self.assertEqual(version_of(young, [young, old]), "v1")

    def test_what_no_host_can_tell_is_not_guessed(self):
        old, young = StreamReply(None, "v1", True), StreamReply(None, "v2", False)
        self.assertIsNone(version_of(old, []))
        self.assertIsNone(version_of(old, [young]))
        self.assertEqual(version_of(young, [young]), "v2")


class MissedReleaseTest(unittest.IsolatedAsyncioTestCase):
    """A host takes streams up while its list of upstreams lacks a new version.

    The store turns it away, or its feed is a moment behind. It knows of one version for
    a minute, and took that for the version of every stream (ORDER).
    """

    HOSTS = tuple(f"host-{n}" for n in range(HOLDERS + 1))

    def setUp(self):
        self.clock, self.list_age_ms = ManualClock(), 0
        self.reply_by_host = {}
        calls = SimpleNamespace(
            zone_by_host=lambda: dict.fromkeys(self.HOSTS, "zone-a"), call=self.call
        )
        self.versions = StreamVersions(
            clock=self.clock,
            calls=calls,
            host_id=self.HOSTS[0],
            list_age_ms=lambda: self.list_age_ms,
        )
        upstream = ListedUpstream("e", "pool", "a", 1, "z", 4, software_version="v1")
        self.versions.observe([upstream])
        self.clock._now_ms += LOOKBACK_MS

    async def call(self, host, path, message, decoder, timeout_ms, is_repeated):
        return self.reply_by_host.get(host)

    async def find_all(self):
        """Return the versions found of streams with different holders."""
        return {await self.versions.find(f"s{n}", "pool") for n in range(STREAMS)}

    def reply_from_all(self, *reply):
        """Let all other hosts give a reply."""
        self.reply_by_host = dict.fromkeys(self.HOSTS[1:], StreamReply(*reply))

    async def test_the_record_of_other_hosts_goes_before_its_own_list(self):
        self.reply_from_all("v2", "v1", True)
        for self.list_age_ms in (0, LIST_VALID_MS, None):
            self.assertEqual(await self.find_all(), {"v2"})

    async def test_it_does_not_guess_when_no_other_host_replies(self):
        self.list_age_ms = LIST_VALID_MS
        self.assertEqual(await self.find_all(), {None})

    async def test_a_current_list_of_one_version_needs_no_other_host(self):
        self.assertEqual(await self.find_all(), {"v1"})

    async def test_it_decides_where_hosts_that_have_just_started_reply(self):
        self.reply_from_all(None, None, False)
        self.assertEqual(await self.find_all(), {"v1"})
        # One that has run long enough knows that there were several.
        self.reply_from_all(None, None, True)
        self.assertEqual(await self.find_all(), {None})

    async def test_hosts_agree_while_the_store_is_away_for_all(self):
        self.list_age_ms = LIST_VALID_MS
        self.reply_from_all(None, "v1", False)
        self.assertEqual(await self.find_all(), {"v1"})

    def test_its_own_reply_is_certain_only_while_its_list_is_current(self):
        question = SimpleNamespace(stream_id="s", service="pool", software_version=None)
        self.assertTrue(self.versions.reply(question).is_certain)
        self.list_age_ms = LIST_VALID_MS
        self.assertFalse(self.versions.reply(question).is_certain)


class RecordTest(unittest.IsolatedAsyncioTestCase):
    """Many streams begin at a moment of a release at which hosts reply late.

    Each record was sent once, all at the same time, with a tenth of a second for a
    reply; a stream whose records were lost went on at the other version (ORDER).
    """

    HOSTS = MissedReleaseTest.HOSTS

    def setUp(self):
        self.failures_left = collections.Counter()
        self.recorded = collections.Counter()
        self.calling = collections.Counter()
        self.most_calling = 0
        self.replies = asyncio.Event()
        self.replies.set()
        self.unreachable = set()
        calls = SimpleNamespace(
            zone_by_host=lambda: dict.fromkeys(self.HOSTS, "zone-a"),
            is_reachable=lambda host: host not in self.unreachable,
            call=self.call,
        )
        self.versions = StreamVersions(
            clock=Clock(), calls=calls, host_id=self.HOSTS[0], list_age_ms=lambda: 0
        )
        self.addAsyncCleanup(self.versions.close)

    async def call(self, host, path, record, decoder, *timeout_ms, is_repeated=False):
        self.calling[host] += 1
        self.most_calling = max(self.most_calling, self.calling[host])
        try:
            await self.replies.wait()
            await asyncio.sleep(0)
            if self.failures_left[host]:
                self.failures_left[host] -= 1
                return None
            self.recorded[record.stream_id] += 1
            return StreamReply(record.software_version, None, False)
        finally:
            self.calling[host] -= 1

    async def begin_all(self):
        """Begin streams at the same time."""
        begun = (self.versions.begin(f"s{n}", "pool", "v2") for n in range(STREAMS))
        await asyncio.gather(*begun)

    async def test_a_record_is_sent_until_its_holder_has_it(self):
        self.failures_left.update(dict.fromkeys(self.HOSTS, 3))
        await self.begin_all()
        least = HOLDERS - 1
        await _common.eventually(
            lambda: all(self.recorded[f"s{n}"] >= least for n in range(STREAMS))
        )

    async def test_calls_to_one_host_wait_for_each_other(self):
        await self.begin_all()
        await _common.eventually(lambda: not self.calling.total())
        self.assertLessEqual(self.most_calling, CALLS_PER_HOST)

    async def test_a_stream_begins_once_another_host_has_its_record(self):
        self.replies.clear()
        beginning = asyncio.create_task(self.versions.begin("s0", "pool", "v2"))
        await asyncio.sleep(ACKNOWLEDGE_MS / 4000)
        self.assertFalse(beginning.done())
        self.replies.set()
        await beginning
        self.assertTrue(self.recorded["s0"])

    async def test_a_stream_does_not_wait_for_hosts_that_hang(self):
        self.replies.clear()
        async with asyncio.timeout(5 * ACKNOWLEDGE_MS / 1000):
            await self.versions.begin("s0", "pool", "v2")


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.engines = [
            UsersServer(f"engine-{version}-{n}", "pool", {MODEL: 1}, version=version)
            for version in VERSIONS
            for n in range(2)
        ]
        await self.fleet.start(names=HOSTS)

    def set_engines(self, **values):
        for engine in self.fleet.engines:
            for name, value in values.items():
                setattr(engine, name, value)

    def version_of(self, result, events):
        """Return the version that wrote a whole text, or "mixed"."""
        for version in VERSIONS:
            if result["text"] == whole_text(result["id"], events, version):
                return version
        return "mixed"

    async def versions_of_job(self, name, job_id, events):
        results = await self.fleet.all_results(name, job_id)
        return [self.version_of(result, events) for result in results]

    async def test_items_of_a_crashed_engine_stay_at_their_version(self):
        self.set_engines(events=400)
        # Of groups of their own, they fill half of each engine.
        items = [item(f"i{n}", f"g{n}") for n in range(8)]
        await self.fleet.submit("front-a", "j1", 8, items=items)
        crashed, sound = self.fleet.engines[2:]
        await _common.eventually(lambda: len(crashed.runs) == 2, 10)
        await asyncio.sleep(0.5)
        await crashed.close()
        versions = await self.versions_of_job("front-b", "j1", 400)
        self.assertEqual(collections.Counter(versions), {"v1": 4, "v1.1": 4})
        # Their events so far are used.
        resumed = [h for _, h, _ in sound.seen if "last-event-id" in h]
        self.assertTrue(resumed)

    async def test_items_start_again_when_their_version_is_gone(self):
        self.set_engines(events=60)
        await self.fleet.submit("front-a", "j1", ITEMS)
        old = self.fleet.engines[:2]
        await _common.eventually(lambda: all(len(engine.runs) > 2 for engine in old))
        await asyncio.sleep(0.1)
        for engine in old:
            self.fleet.silent.add(engine.name)
            self.fleet.store.put("servers", engine.name, None)
            await engine.close()
        versions = await self.versions_of_job("front-b", "j1", 60)
        self.assertNotIn("mixed", versions)

    async def test_a_successor_continues_texts_at_their_version(self):
        """Enough events to be stored before the runner is killed."""
        events = 500
        self.set_engines(events=events)
        await self.fleet.submit("front-a", "j1", ITEMS)
        runner = await _common.eventually(lambda: self.fleet.runner_of("j1"))
        await asyncio.sleep(1.5)
        self.fleet.fronts[runner].kill()
        # Its items have to go elsewhere.
        self.fleet.engines[2].refusing = True
        reader = next(name for name in HOSTS if name != runner)
        versions = await self.versions_of_job(reader, "j1", events)
        self.assertNotIn("mixed", versions)
        resumed = [
            headers
            for engine in self.fleet.engines
            for _, headers, _ in engine.seen
            if "last-event-id" in headers
        ]
        self.assertGreater(len(resumed), ITEMS / 2)

    async def read_stream(self, host, request_id, **headers):
        """Return a stream's events, and whether it ended as complete."""
        pairs = [(b"host", HOST.encode()), (b"request-id", request_id.encode())]
        pairs += [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in (item("s")["headers"] | headers).items()
        ]
        body = b""
        is_complete = False
        try:
            async with self.fleet.http.stream(
                "127.0.0.1",
                self.fleet.ports[host][0],
                "POST",
                "/stream/x",
                pairs,
                b"",
                5000,
                fresh=True,
            ) as response:
                if response.status == 200:
                    async for chunk in response.body():
                        body += chunk
                    is_complete = True
        except ServiceError:
            pass
        lines = body.decode().splitlines()
        data = [json.loads(line[6:]) for line in lines if line.startswith("data: ")]
        ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
        return [*zip(ids, data, strict=True)], is_complete

    def versions_in(self, events):
        return {event.get("by", "v1") for _, event in events}

    async def begin_streams(self, host):
        """Begin streams that break off; return the events of each that has some."""
        self.set_engines(events=20, cut_after=4)
        begun = {}
        for number in range(STREAMS):
            events, is_complete = await self.read_stream(host, f"s{number}")
            self.assertFalse(is_complete)
            if events:
                begun[f"s{number}"] = events
        self.assertEqual(len(begun), STREAMS)
        return begun

    async def take_up(self, host, begun):
        """Take streams up again at a host; return how many went on to their end."""
        self.set_engines(cut_after=None)
        count = 0
        for request_id, events in begun.items():
            last_id = events[-1][0]
            more, is_complete = await self.read_stream(
                host, f"{request_id}-again", last_event_id=last_id, resumes=request_id
            )
            self.assertLessEqual(len(self.versions_in(events + more)), 1, request_id)
            if is_complete:
                self.assertEqual([id_ for id_, _ in events + more], [*range(20)])
                count += 1
        return count

    async def test_a_broken_stream_goes_on_at_its_version_in_one_response(self):
        changed = configuration(version=4, stream={"attempts": 3})
        self.fleet.store.put("op", "config", changed)
        self.set_engines(events=20)
        for engine in self.fleet.engines[::2]:
            engine.cut_after = 4
        await asyncio.sleep(0.5)
        versions = set()
        for number in range(STREAMS):
            events, is_complete = await self.read_stream("front-a", f"s{number}")
            self.assertTrue(is_complete)
            self.assertEqual([id_ for id_, _ in events], [*range(20)])
            versions.add(frozenset(self.versions_in(events)))
        self.assertLessEqual(max(map(len, versions)), 1)

    async def test_streams_are_taken_up_at_their_version_at_another_host(self):
        begun = await self.begin_streams("front-a")
        self.assertEqual(await self.take_up("front-b", begun), STREAMS)

    async def restart_all(self):
        """Kill all hosts and start them again."""
        for host in HOSTS:
            self.fleet.fronts[host].kill()
        for host in HOSTS:
            self.fleet.start_front(host)
        for host in HOSTS:
            await self.fleet.wait_ready(host)

    async def unlist(self, version):
        """End a release: the servers of a version leave the list."""
        for engine in self.fleet.engines:
            if engine.version == version:
                self.fleet.silent.add(engine.name)
                self.fleet.store.put("servers", engine.name, None)
        await asyncio.sleep(1)

    async def test_no_stream_mixes_versions_after_all_hosts_were_killed(self):
        """The hosts that have just started list one version and know of no other."""
        begun = await self.begin_streams("front-a")
        versions = [self.versions_in(events) for events in begun.values()]
        self.assertEqual(len(set().union(*versions)), 2)
        await self.unlist("v1")
        await self.restart_all()
        # Those of the version whose servers still serve go on.
        went_on = await self.take_up("front-b", begun)
        self.assertEqual(went_on, versions.count({"v1.1"}))

    async def test_streams_go_on_at_both_versions_after_all_hosts_were_killed(self):
        begun = await self.begin_streams("front-a")
        await asyncio.sleep(1)
        await self.restart_all()
        self.assertEqual(await self.take_up("front-b", begun), STREAMS)

    async def test_streams_of_the_only_version_go_on_after_all_hosts_were_killed(self):
        self.set_engines(version="v1")
        await asyncio.sleep(1)
        self.fleet.store.remove(version_log.TABLE, "pool")
        await self.restart_all()
        begun = await self.begin_streams("front-a")
        await _common.eventually(
            lambda: self.fleet.store.value(version_log.TABLE, "pool")
        )
        await self.restart_all()
        self.assertEqual(await self.take_up("front-b", begun), STREAMS)

    async def test_streams_are_taken_up_after_their_host_was_killed(self):
        begun = await self.begin_streams("front-a")
        self.fleet.fronts["front-a"].kill()
        went_on = await self.take_up("front-b", begun)
        self.assertGreaterEqual(went_on, STREAMS / 2)


if __name__ == "__main__":
    unittest.main()
