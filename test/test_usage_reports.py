"""Usage windows are reported once, right and in time, whatever fails halfway."""

import asyncio
import collections
import random
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from goldcrestmoor.adapters.platform_api import Accepted, Refused, Unanswered
from goldcrestmoor.process import usage_counts
from goldcrestmoor.process.exclusive_duty import ExclusiveDuty
from goldcrestmoor.process.true_time import TrueTime
from goldcrestmoor.process.usage import Usage
from goldcrestmoor.process.usage_reports import TABLE
from goldcrestmoor.process.usage_windows import (
    ROW_KEPT_MS,
    CommittedCounts,
    UsageWindows,
)
from goldcrestmoor.request.usage_counter import UsageCounter
from test import _table
from test._duty_hosts import TURN_MS, DutyHost
from test._fleet import ManualClock, settle

WINDOW_MS = 5000
DUE_MS = 10_000
SETTINGS = SimpleNamespace(window_s=5, due_s=10)
STEP_MS = 100
ACCOUNTS = ("acme", "beta")
HOSTS = tuple(f"host-{n}" for n in range(8))
JUMP_MS = 7000
# Takeover of the lease, the turn, the time for all counts, and a report.
TAKEOVER_MS = 4500 + TURN_MS + 4000


class Api:
    """The platform's API; it records what arrives.

    :ivar mode: ``""`` to accept, ``full`` to answer 429, ``down`` to answer nothing.
    :ivar lost_answers: how many of the next reports arrive without a response.
    """

    def __init__(self, clock):
        self._clock = clock
        self.mode = ""
        self.lost_answers = 0
        self.attempts = 0
        # The reports as time, host, fencing number, window and counts.
        self.arrived = []

    async def report(self, host, window, counts, fencing):
        self.attempts += 1
        if self.mode == "down":
            await self._clock.sleep_ms(1500)
            return Unanswered("silent")
        if self.mode == "full":
            return Refused(429)
        self.arrived.append((self._clock.now_ms(), host, fencing, window, counts))
        if self.lost_answers:
            self.lost_answers -= 1
            return Unanswered("reset")
        return Accepted()


class Calls:
    """Calls between the hosts of a fleet, as JSON."""

    def __init__(self, fleet):
        self._fleet = fleet

    def zone_by_host(self):
        return dict.fromkeys(HOSTS, "zone-a")

    async def call(self, host, path, message, decoder, timeout_ms, *, is_repeated):
        peer = self._fleet.hosts.get(host)
        if peer is None or not peer.clock.thawed.is_set():
            await self._fleet.clock.sleep_ms(timeout_ms)
            return None
        message = usage_counts.request_decoder.decode(msgspec.json.encode(message))
        return decoder.decode(msgspec.json.encode(peer.usage.receive(message)))


class Host(DutyHost):
    """A host whose wall clock may jump, and that may freeze within a commit."""

    def __init__(self, fleet, name, jump_ms=0):
        super().__init__(fleet.clock, fleet.table, name)
        self.jump_ms = jump_ms
        self.freezes_in_commit = False
        clock = SimpleNamespace(
            now_ms=self.clock.now_ms,
            sleep_ms=self.clock.sleep_ms,
            wall_ms=lambda: self.clock.wall_ms() + self.jump_ms,
        )

        async def report_usage(window, counts, fencing):
            return await fleet.api.report(name, window, counts, fencing)

        async def transact(checks, writes):
            if self.freezes_in_commit:
                self.freezes_in_commit = False
                self.clock.thawed.clear()
            return await self.client.transact(checks, writes)

        self.usage = Usage(
            clock=clock,
            settings=SETTINGS,
            duty=self.duty,
            api=SimpleNamespace(report_usage=report_usage),
            store=SimpleNamespace(scan=self.client.scan, transact=transact),
            calls=Calls(fleet),
            host_id=name,
            process_id=f"{name}/{random.random()}",
            metrics=self.metrics,
        )
        self.tasks.append(asyncio.create_task(self.usage.run()))


class UsageReportsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.random = random.Random(1)
        # Claims and retries draw their delays from the shared generator.
        random.seed(1)
        self.clock = ManualClock()
        self.table = _table.FakeTable()
        self.api = Api(self.clock)
        self.hosts = {}
        # The true number of starts by window and account.
        self.truth = collections.defaultdict(collections.Counter)
        self.addAsyncCleanup(self.kill, *HOSTS)
        for name in HOSTS:
            self.start(name)

    def start(self, name, jump_ms=0):
        self.hosts[name] = Host(self, name, jump_ms)

    async def kill(self, *names):
        for name in names:
            if name in self.hosts:
                await self.hosts.pop(name).kill()

    async def run_for(self, duration_ms, until=None, hosts=HOSTS, rate=0.3):
        """Run the fleet under load; stop early once a predicate is true.

        :param hosts: the hosts that serve requests.
        :param rate: the share of the steps in which each of them starts a request.
        """
        for _ in range(duration_ms // STEP_MS):
            for name in hosts:
                host = self.hosts.get(name)
                if host is None or not host.clock.thawed.is_set():
                    continue
                if self.random.random() < rate:
                    self.count(name)
            for host in self.hosts.values():
                host.feed()
            if until is not None and until():
                return
            await self.clock.advance(STEP_MS)
        self.assertIsNone(until)

    def count(self, name):
        account = self.random.choice(ACCOUNTS)
        self.truth[self.clock.now_ms() // WINDOW_MS][account] += 1
        self.hosts[name].usage.counter.add(account)

    def holder(self):
        for host in self.hosts.values():
            if host.duty.is_held():
                return host
        return None

    def committed(self):
        """Return the committed counts by window."""
        return {
            int(key): msgspec.json.decode(row.value, type=CommittedCounts).counts
            for (table, key), row in self.table.rows_by_name.items()
            if table == TABLE
        }

    def reported(self):
        """Return the reported counts by window, after a check of the rules."""
        counts_by_window, host_by_fencing, last_fencing = {}, {}, 0
        for _, host, fencing, window, counts in self.api.arrived:
            self.assertEqual(counts_by_window.setdefault(window, counts), counts)
            self.assertEqual(host_by_fencing.setdefault(fencing, host), host)
            self.assertGreaterEqual(fencing, last_fencing)
            last_fencing = fencing
        return counts_by_window

    def check_reports(self, first=None, last=None):
        """Check that every window of a range is reported within 5% of the truth."""
        reported = self.reported()
        first = min(reported) if first is None else first
        last = self.clock.now_ms() // WINDOW_MS - 4 if last is None else last
        self.assertGreater(last, first)
        for window in range(first, last + 1):
            self.assertIn(window, reported)
            counts, truth = reported[window], self.truth[window]
            self.assertEqual(set(counts), set(truth), window)
            for account, count in truth.items():
                self.assertAlmostEqual(
                    counts[account], count, delta=max(1, count * 0.05)
                )

    def late(self):
        """Return the windows whose first report arrived after it was due."""
        first_ms = {}
        for at_ms, _, _, window, _ in self.api.arrived:
            first_ms.setdefault(window, at_ms)
        due_ms = WINDOW_MS + DUE_MS
        return [w for w, ms in first_ms.items() if ms > w * WINDOW_MS + due_ms]

    async def test_all_windows_are_reported_in_time_also_empty_ones(self):
        started = self.clock.now_ms() // WINDOW_MS
        await self.run_for(30_000)
        await self.run_for(20_000, hosts=())
        await self.run_for(30_000)
        self.check_reports()
        self.assertIn({}, self.reported().values())
        self.assertLessEqual(min(self.reported()), started + 1)
        self.assertEqual(self.late(), [])
        # Each once: nothing made a repeat necessary.
        self.assertEqual(len(self.api.arrived), len(self.reported()))

    async def test_the_holder_dies_after_the_commit_and_before_the_report(self):
        await self.run_for(30_000)
        self.api.mode = "down"
        window = max(self.committed()) + 1
        await self.run_for(10_000, lambda: window in self.committed())
        await self.kill(self.holder().name)
        self.api.mode = ""
        await self.run_for(TAKEOVER_MS + 10_000)
        self.assertEqual(self.reported()[window], self.committed()[window])
        await self.run_for(20_000)
        # Another host has kept the dead holder's own starts.
        self.check_reports()

    async def test_the_holder_dies_before_it_reads_the_response(self):
        await self.run_for(30_000)
        self.api.lost_answers = 1
        await self.run_for(10_000, lambda: not self.api.lost_answers)
        *_, window, _ = self.api.arrived[-1]
        await self.kill(self.holder().name)
        await self.run_for(TAKEOVER_MS + 10_000)
        repeats = [call for call in self.api.arrived if call[3] == window]
        self.assertGreater(len(repeats), 1)
        self.assertEqual(len({call[1] for call in repeats}), 2)
        self.reported()

    async def test_a_lost_response_is_followed_by_an_exact_repeat(self):
        await self.run_for(30_000)
        self.api.lost_answers = 3
        await self.run_for(20_000)
        self.check_reports()
        self.assertEqual(len(self.api.arrived), len(self.reported()) + 3)

    async def test_two_hosts_believe_that_they_hold_the_duty(self):
        await self.run_for(30_000)
        old = self.holder()
        fencing = old.duty.fencing()
        old.clock.thawed.clear()
        await self.run_for(10_000, lambda: self.holder() not in (None, old))
        # Its clock, say, has stood still: it goes on with what it collects itself.
        old.clock.thawed.set()
        for name in ("is_held", "may_act"):
            real = getattr(ExclusiveDuty, name)
            patch = mock.patch.object(
                ExclusiveDuty, name, lambda d, real=real: d is old.duty or real(d)
            )
            patch.start()
            self.addCleanup(patch.stop)
        await self.run_for(30_000)
        self.assertIn(fencing, {call[2] for call in self.api.arrived[-20:]})
        counts_by_window = {}
        for *_, window, counts in self.api.arrived:
            self.assertEqual(counts_by_window.setdefault(window, counts), counts)
        committed = self.committed()
        for window, counts in counts_by_window.items():
            self.assertEqual(counts, committed[window])

    async def test_a_frozen_commit_lands_after_its_row_was_removed(self):
        await self.run_for(30_000)
        old = self.holder()
        old.freezes_in_commit = True
        await self.run_for(10_000, lambda: not old.clock.thawed.is_set())
        await self.run_for(ROW_KEPT_MS + 40_000, rate=0.02)
        before = self.committed()
        self.assertLess(len(before), ROW_KEPT_MS // WINDOW_MS + 4)
        old.clock.thawed.set()
        await settle()
        self.assertEqual(self.committed(), before)
        await self.run_for(10_000)
        self.reported()

    async def test_the_holder_is_cut_off_from_the_store_alone(self):
        """It still serves callers, and doesn't learn from the feed who took over."""
        await self.run_for(30_000)
        old = self.holder()
        old.client.is_cut_off = True
        await self.run_for(TAKEOVER_MS)
        self.assertNotEqual(self.holder().name, old.name)
        first = self.clock.now_ms() // WINDOW_MS + 1
        await self.run_for(40_000)
        self.check_reports(first)
        old.client.is_cut_off = False
        await self.run_for(30_000)
        self.check_reports(first)

    async def test_a_host_dies_with_starts_that_it_has_not_sent(self):
        await self.run_for(30_000)
        name = next(n for n in HOSTS if self.hosts[n] is not self.holder())
        for _ in range(20):
            self.hosts[name].usage.counter.add("lost")
        await self.kill(name)
        window = self.clock.now_ms() // WINDOW_MS
        await self.run_for(20_000)
        self.assertNotIn("lost", self.reported()[window])
        self.start(name)
        # The new process's counts are added to those of the old one.
        await self.run_for(30_000)
        self.check_reports(first=window + 1)

    async def test_wall_clocks_jump_across_the_edges_of_windows(self):
        await self.run_for(30_000)
        jumped = [self.holder().name]
        jumped.append(next(n for n in HOSTS if n not in jumped))
        for jump_ms in (JUMP_MS, -JUMP_MS, 0):
            for name in jumped:
                self.hosts[name].jump_ms = jump_ms
            await self.run_for(20_000)
        # Both restart during a jump; one of them was the holder.
        for name in jumped:
            await self.kill(name)
            self.start(name, JUMP_MS)
        await self.run_for(60_000)
        # The killed hosts lost starts that they had not sent.
        lost = self.clock.now_ms() // WINDOW_MS - 60_000 // WINDOW_MS
        self.check_reports(last=lost - 2)
        self.check_reports(first=lost + 2)

    async def test_the_api_is_away(self):
        for mode in ("down", "full"):
            await self.run_for(30_000)
            self.api.mode = mode
            attempts = self.api.attempts
            await self.run_for(30_000)
            # At 2 s the backoff waits for 1.06 s on average, which makes 30 attempts
            # with the short waits before; half as many again are allowed.
            self.assertLess(self.api.attempts - attempts, 45)
            self.api.mode = ""
            await self.run_for(20_000)
            self.assertNotEqual(self.late(), [])
            self.check_reports()

    async def test_the_store_is_down_when_windows_close(self):
        """For longer than hosts keep their starts; only the holder has them all."""
        await self.run_for(30_000)
        self.table.is_down = True
        await self.run_for(5000)
        count = len(self.api.arrived)
        await self.run_for(usage_counts.KEPT_MS + 10_000)
        self.assertEqual(len(self.api.arrived), count)
        self.table.is_down = False
        await self.run_for(30_000)
        self.check_reports()

    async def test_a_store_outage_of_which_the_holder_dies(self):
        await self.run_for(30_000)
        name = self.holder().name
        self.table.is_down = True
        await self.run_for(2000)
        await self.kill(name)
        await self.run_for(60_000)
        self.table.is_down = False
        await self.run_for(40_000)
        reported = self.reported()
        # What no host keeps any more is not reported, rather than wrongly.
        missing = set(range(min(reported), max(reported))) - reported.keys()
        self.assertTrue(missing)
        self.check_reports(first=max(missing) + 1)


class SenderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_that_leaves_sends_its_counts_to_a_holder_it_has_just_seen(
        self,
    ):
        """Nobody else has them: the new holder starts without any counts."""
        clock, received = ManualClock(), []
        holding = ("host-a", 1)

        async def call(host, path, message, *args, **options):
            received.append((host, message.counts))
            return usage_counts.UsageReply(True, clock.now_ms(), 0, *holding)

        counter = UsageCounter(clock=clock, window_ms=WINDOW_MS, kept_ms=30_000)
        sender = usage_counts.UsageSender(
            clock=clock,
            duty=SimpleNamespace(holding=lambda: holding),
            calls=SimpleNamespace(call=call, zone_by_host=dict),
            counter=counter,
            collector=None,
            time=TrueTime(clock.now_ms(), clock.now_ms()),
            host_id="host-c",
            process_id="p",
            metrics=mock.Mock(),
        )
        await clock.advance(6 * WINDOW_MS)
        counter.add("acme")
        await sender.flush()
        holding = ("host-b", 2)
        await sender.flush()
        self.assertEqual([host for host, _ in received], ["host-a", "host-b"])
        self.assertEqual(received[0][1], received[1][1])


class SizeTest(unittest.TestCase):
    def test_the_holder_forgets_processes_that_ended_long_ago(self):
        """Hosts are restarted for months while one host holds the duty."""
        clock = ManualClock()
        duty = SimpleNamespace(is_held=lambda: True, fencing=lambda: 1)
        collector = usage_counts.UsageCollector(
            clock=clock,
            duty=duty,
            host_id="host-a",
            time=TrueTime(clock.now_ms(), clock.now_ms()),
            windows=UsageWindows(window_ms=WINDOW_MS, due_ms=DUE_MS),
            delay_ms=lambda: 3000,
            kept_ms=30_000,
        )
        window = clock.now_ms() // WINDOW_MS
        newest = usage_counts.UsageCounts(
            "host-b", "p", 2, 0, window, {window: {"acme": 2}}
        )
        late = msgspec.structs.replace(newest, number=1, counts={window: {"acme": 1}})
        for number in range(3 * usage_counts.MAX_PROCESSES):
            other = msgspec.structs.replace(newest, process=str(number), counts={})
            collector.receive(other)
            if number % 100 == 0:
                collector.receive(newest)
                newest = msgspec.structs.replace(newest, number=newest.number + 1)
        collector.receive(late)
        self.assertEqual(collector.counts(window), {"acme": 2})
        self.assertLessEqual(
            len(collector._number_by_process), usage_counts.MAX_PROCESSES
        )

    def test_a_large_fleet_sends_the_holder_no_more_messages_than_it_takes(self):
        self.assertEqual(usage_counts.interval_ms(68), 1000)
        per_s = 350 * 1000 / usage_counts.interval_ms(350)
        self.assertLessEqual(per_s, usage_counts.MAX_MESSAGES_PER_S)
        for count in (1, 88, 350):
            delay_ms = usage_counts.commit_delay_ms(count, DUE_MS)
            self.assertGreater(delay_ms, usage_counts.interval_ms(count) + 1000)
            self.assertLessEqual(delay_ms, DUE_MS - 4000)


if __name__ == "__main__":
    unittest.main()
