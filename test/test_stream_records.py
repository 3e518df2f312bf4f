"""A stream's record is missing where another host looks for it.

Servers of two software versions serve side by side. The host that begins a stream can't
reach those that keep its record, or they are gone with it, started later, or are others
by the rows of the host that looks. The stream was taken for one that began before there
were two versions, and went on at the older one (ORDER).
"""

import asyncio
import unittest
from types import SimpleNamespace

from goldcrestmoor.clock import Clock
from goldcrestmoor.process import stream_log, stream_versions
from goldcrestmoor.process.directory import ListedUpstream
from goldcrestmoor.process.stream_log import StreamLog
from goldcrestmoor.process.stream_versions import StreamRecord, StreamVersions
from goldcrestmoor.request.stream_version import (
    LOOKBACK_MS,
    StreamReply,
    proves_absence,
)
from test.test_software_versions import FakeLogStore

OLD, NEW = "v1", "v2"
SERVICE = "pool"
HOSTS = tuple(f"host-{n}" for n in range(8))
STREAMS = 24


class TestClock(Clock):
    """The real clock, ahead of it."""

    __slots__ = ("ahead_ms",)

    def __init__(self):
        super().__init__()
        self.ahead_ms = 0

    def now_ms(self):
        return super().now_ms() + self.ahead_ms


class Network:
    """Hosts that keep records of streams, with links that can be cut.

    :ivar cut: the hosts that reach no other host.
    :ivar rows_by_host: the host rows as a host knows them, if not all hosts.
    """

    def __init__(self, test):
        self.clock = TestClock()
        self.store = FakeLogStore(self.clock, stream_log.TABLE)
        self.cut = set()
        self.rows_by_host = {}
        self.versions_by_host = {}
        self._test = test
        for host in HOSTS:
            self.start(host)

    def start(self, host):
        """Start a host; it has no record."""
        log = StreamLog(
            clock=self.clock,
            store=self.store,
            host_id=host,
            hosts=lambda: self._rows(host),
        )
        versions = StreamVersions(
            clock=self.clock,
            calls=SimpleNamespace(
                zone_by_host=lambda: dict.fromkeys(self._rows(host), "zone-a"),
                is_reachable=lambda other: self._is_linked(host, other),
                call=lambda *call, **options: self._call(host, *call),
            ),
            host_id=host,
            list_age_ms=lambda: 0,
            stream_log=log,
        )
        running = asyncio.create_task(log.run())
        self._test.addCleanup(running.cancel)
        self._test.addAsyncCleanup(versions.close)
        self.versions_by_host[host] = versions

    def list(self, *software_versions):
        """List a server of each version at all hosts."""
        upstreams = [
            ListedUpstream(f"e-{v}", SERVICE, "a", 1, "z", 4, software_version=v)
            for v in software_versions
        ]
        for versions in self.versions_by_host.values():
            versions.observe(upstreams)

    def kill(self, host):
        """End a host, which stays in the rows of the others."""
        del self.versions_by_host[host]

    def _rows(self, host):
        return self.rows_by_host.get(host, HOSTS)

    def _is_linked(self, host, other):
        return not self.cut & {host, other} and other in self.versions_by_host

    async def _call(self, host, other, path, record, decoder, timeout_ms):
        if not self._is_linked(host, other):
            return None
        return self.versions_by_host[other].reply(record)


class MissingRecordTest(unittest.IsolatedAsyncioTestCase):
    WRITER, READER = HOSTS[:2]

    async def asyncSetUp(self):
        self.network = Network(self)
        self.network.list(OLD)
        self.network.clock.ahead_ms = 2 * LOOKBACK_MS
        self.network.list(OLD, NEW)

    async def begin_all(self):
        """Begin streams, every third at the new version; return the versions."""
        versions = self.network.versions_by_host[self.WRITER]
        version_by_stream = {
            f"s{n}": NEW if n % 3 == 0 else OLD for n in range(STREAMS)
        }
        begun = await asyncio.gather(
            *(
                versions.begin(stream, SERVICE, version)
                for stream, version in version_by_stream.items()
            )
        )
        return {
            stream: version
            for (stream, version), is_begun in zip(
                version_by_stream.items(), begun, strict=True
            )
            if is_begun is not False
        }

    async def take_up(self, begun, reader=READER):
        """Return how many streams go on; fail if one goes on at another version."""
        versions = self.network.versions_by_host[reader]
        found = await asyncio.gather(
            *(versions.find(stream, SERVICE) for stream in begun)
        )
        mixed = [
            stream
            for stream, version in zip(begun, found, strict=True)
            if version not in (None, begun[stream])
        ]
        self.assertEqual(mixed, [])
        return len(found) - found.count(None)

    async def test_a_host_that_is_cut_off_from_the_others_and_killed(self):
        """The others had no record, and took that for proof (review/11)."""
        self.network.cut.add(self.WRITER)
        begun = await self.begin_all()
        self.network.kill(self.WRITER)
        self.assertEqual(await self.take_up(begun), STREAMS)

    async def test_a_host_that_is_cut_off_from_the_store_too(self):
        """It begins streams at the version that absence describes, and no others."""
        self.network.cut.add(self.WRITER)
        self.network.store.is_down = True
        begun = await self.begin_all()
        self.assertEqual(set(begun.values()), {OLD})
        versions = self.network.versions_by_host[self.WRITER]
        self.assertFalse(versions.can_record())
        self.assertEqual(versions.unrecorded_version(SERVICE), OLD)
        self.network.kill(self.WRITER)
        self.network.store.is_down = False
        self.assertEqual(await self.take_up(begun), len(begun))

    async def test_a_cut_zone_that_has_some_of_the_records(self):
        self.network.cut.update(HOSTS[4:])
        begun = await self.begin_all()
        self.network.kill(self.WRITER)
        self.assertEqual(await self.take_up(begun), STREAMS)

    async def test_hosts_that_kept_the_records_are_gone_too(self):
        begun = await self.begin_all()
        await asyncio.sleep(2 * stream_log.MIN_INTERVAL_MS / 1000)
        for host in (self.WRITER, *HOSTS[2:6]):
            self.network.kill(host)
        # Of those that began before there were two versions, none is lost either.
        self.assertGreater(await self.take_up(begun), STREAMS / 2)

    async def test_hosts_that_kept_the_records_started_again(self):
        begun = await self.begin_all()
        await asyncio.sleep(2 * stream_log.MIN_INTERVAL_MS / 1000)
        for host in HOSTS[2:]:
            self.network.start(host)
        self.network.list(OLD, NEW)
        self.network.kill(self.WRITER)
        self.assertEqual(await self.take_up(begun), STREAMS)

    async def test_a_host_that_knows_of_no_other_host(self):
        """The rows were removed late, after the hosts' next start (review/14)."""
        for host in (self.WRITER, self.READER):
            self.network.rows_by_host[host] = ()
        begun = await self.begin_all()
        self.network.kill(self.WRITER)
        self.assertEqual(await self.take_up(begun), STREAMS)

    async def test_a_host_that_knows_of_no_other_host_and_has_no_store(self):
        self.network.rows_by_host[self.WRITER] = ()
        self.network.store.is_down = True
        self.assertEqual(set((await self.begin_all()).values()), {OLD})

    async def test_hosts_that_know_of_different_hosts(self):
        self.network.rows_by_host[self.WRITER] = HOSTS[:5]
        self.network.rows_by_host[self.READER] = (self.READER, *HOSTS[5:])
        begun = await self.begin_all()
        await asyncio.sleep(2 * stream_log.MIN_INTERVAL_MS / 1000)
        self.network.kill(self.WRITER)
        self.assertEqual(await self.take_up(begun), STREAMS)

    async def test_rows_of_hosts_that_are_gone(self):
        """All but one of the hosts that would keep records are gone (review/12)."""
        for host in HOSTS[2:]:
            self.network.kill(host)
        begun = await self.begin_all()
        self.network.kill(self.WRITER)
        self.assertEqual(await self.take_up(begun), STREAMS)

    async def test_streams_do_not_wait_where_nothing_is_cut_off(self):
        started_ms = self.network.clock.now_ms()
        self.assertEqual(len(await self.begin_all()), STREAMS)
        waited_ms = self.network.clock.now_ms() - started_ms
        self.assertLess(waited_ms, stream_versions.ACKNOWLEDGE_MS)

    def test_a_host_that_dropped_records_does_not_tell_what_has_none(self):
        reader = self.network.versions_by_host[self.READER]
        question = StreamRecord("asked", SERVICE)
        self.assertEqual(reader.reply(question), StreamReply(None, OLD, True))
        for number in range(stream_versions.MAX_RECORDS + 1):
            reader.reply(StreamRecord(f"s{number}", SERVICE, NEW))
        self.assertEqual(reader.reply(question), StreamReply(None, None, False))
        self.network.clock.ahead_ms += LOOKBACK_MS
        self.assertNotEqual(reader.reply(question), StreamReply(None, None, False))


class AbsenceTest(unittest.TestCase):
    def test_one_that_would_have_the_record_must_have_told(self):
        self.assertFalse(proves_absence(0, 3, True))
        self.assertTrue(proves_absence(1, 3, True))

    def test_more_must_have_told_while_the_store_can_not(self):
        self.assertFalse(proves_absence(1, 3, False))
        self.assertTrue(proves_absence(2, 3, False))
        self.assertTrue(proves_absence(1, 1, False))


class StreamLogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = FakeLogStore(self.clock, stream_log.TABLE)

    def make_log(self, host, hosts=("host-0",)):
        log = StreamLog(
            clock=self.clock, store=self.store, host_id=host, hosts=lambda: hosts
        )
        running = asyncio.create_task(log.run())
        self.addCleanup(running.cancel)
        return log

    async def test_a_record_is_written_at_once_when_it_is_urgent(self):
        log = self.make_log("host-0")
        written = log.add("s0", NEW)
        log.hurry()
        async with asyncio.timeout(stream_log.MIN_INTERVAL_MS / 2000):
            await written
        self.assertEqual(await self.make_log("host-1").find("s0"), NEW)
        self.assertIsNone(await self.make_log("host-1").find("s1"))

    async def test_urgent_records_keep_to_the_rate_of_the_fleet(self):
        hosts = tuple(f"host-{n}" for n in range(20))
        log = self.make_log("host-0", hosts)
        for number in range(40):
            log.add(f"s{number}", NEW)
            log.hurry()
            await asyncio.sleep(0.01)
        self.assertLessEqual(self.store.writes, 4)

    async def test_lookups_at_one_moment_share_a_reading(self):
        log = self.make_log("host-0")
        scans = []
        scan = self.store.scan

        async def counted(*arguments, **options):
            scans.append(options)
            return await scan(*arguments, **options)

        self.store.scan = counted
        found = await asyncio.gather(*(log.find(f"s{n}") for n in range(STREAMS)))
        self.assertEqual(set(found), {None})
        self.assertEqual(len(scans), 1)


if __name__ == "__main__":
    unittest.main()
