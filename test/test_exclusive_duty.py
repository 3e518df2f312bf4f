"""No two hosts make the calls of an exclusive duty in turns."""

import itertools
import unittest
from unittest import mock

from goldcrestmoor import settings
from goldcrestmoor.adapters.platform_api import Accepted, Unanswered
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.connection.http_pool import HttpPool
from goldcrestmoor.platform.cloud import PlatformApi
from goldcrestmoor.process.exclusive_duty import LEASE_MS
from goldcrestmoor.process.metrics import Metrics
from test import _table
from test._duty_hosts import TURN_MS, DutyHost
from test._fleet import ManualClock
from test.standins.users_api import UsersApi

STEP_MS = 100
# The lease, its margin, a poll and the spread of the claims.
TAKEOVER_MS = 4500


class ExclusiveDutyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = _table.FakeTable()
        self.hosts = {}
        # The calls, as time, host and fencing number.
        self.calls = []
        self.addAsyncCleanup(self.kill, "a", "b")

    async def kill(self, *names):
        for name in names:
            if name in self.hosts:
                await self.hosts.pop(name).kill()

    def start(self, *names):
        for name in names:
            self.hosts[name] = DutyHost(self.clock, self.table, name)

    async def run_for(self, duration_ms, until=None):
        """Let the hosts act at each step; stop early once a predicate is true."""
        for _ in range(duration_ms // STEP_MS):
            for host in self.hosts.values():
                host.feed()
                if host.clock.thawed.is_set() and host.duty.may_act():
                    call = (self.clock.now_ms(), host.name, host.duty.fencing())
                    self.calls.append(call)
            if until is not None and until():
                return
            await self.clock.advance(STEP_MS)
        self.assertIsNone(until)

    def held_by(self, name):
        return lambda: self.hosts[name].duty.is_held()

    def check_calls(self):
        numbers = [number for _, _, number in self.calls]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(
            len({number for _, _, number in self.calls}),
            len({(name, number) for _, name, number in self.calls}),
        )
        for first_ms, a, _ in self.calls:
            names = [n for ms, n, _ in self.calls if 0 <= ms - first_ms <= TURN_MS]
            after = itertools.dropwhile(lambda name, a=a: name == a, names)
            self.assertNotIn(a, after, first_ms)

    async def test_a_new_holder_waits_a_turn(self):
        self.start("a")
        await self.run_for(3000)
        await self.hosts["a"].release()
        released_ms = self.clock.now_ms()
        self.start("b")
        await self.run_for(TAKEOVER_MS + TURN_MS)
        first_ms = next(ms for ms, name, _ in self.calls if name == "b")
        self.assertGreaterEqual(first_ms - released_ms, TURN_MS)
        self.check_calls()

    async def test_an_own_lease_after_a_restart_does_not_wait(self):
        self.start("a", "b")
        await self.run_for(6000)
        holder = self.calls[-1][1]
        await self.kill(holder)
        killed_ms = self.clock.now_ms()
        self.start(holder)
        await self.run_for(TURN_MS - STEP_MS)
        again_ms = min(ms for ms, _, _ in self.calls if ms > killed_ms)
        self.assertLess(again_ms - killed_ms, LEASE_MS)
        self.assertEqual({name for _, name, _ in self.calls}, {holder})
        self.check_calls()

    async def test_a_lapsed_lease_sends_nothing(self):
        self.start("a")
        await self.run_for(3000)
        frozen = self.hosts["a"]
        frozen.clock.thawed.clear()
        self.start("b")
        await self.run_for(TAKEOVER_MS, self.held_by("b"))
        # It runs again, and its first act comes before it has read anything.
        frozen.clock.thawed.set()
        self.assertFalse(frozen.duty.may_act())
        await self.run_for(2 * TURN_MS)
        self.assertEqual(self.calls[-1][1], "b")
        self.check_calls()

    async def test_a_store_outage_stops_the_calls_when_the_lease_lapses(self):
        self.start("a", "b")
        await self.run_for(6000)
        holder = self.hosts[self.calls[-1][1]]
        self.table.is_down = True
        await self.run_for(LEASE_MS)
        self.assertFalse(holder.duty.may_act())
        await self.run_for(8000)
        self.table.is_down = False
        await self.run_for(2 * TAKEOVER_MS + TURN_MS)
        self.check_calls()

    async def test_hosts_killed_in_turn_do_not_act_in_turns(self):
        """A host killed in its turn's wait must wait again after its restart."""
        self.start("a")
        await self.run_for(3000)
        for new, old in (("b", "a"), ("a", "b")) * 3:
            await self.hosts[old].release()
            await self.kill(old)
            self.start(new)
            await self.run_for(TAKEOVER_MS, self.held_by(new))
            await self.kill(new)
            self.start(new)
            await self.run_for(TAKEOVER_MS, self.held_by(new))
            await self.run_for(300)
        await self.run_for(2 * TURN_MS)
        self.check_calls()

    async def test_a_call_is_not_sent_under_an_earlier_lease_of_the_same_host(self):
        """The host got the duty again while the call's connection was opened."""
        self.start("a")
        await self.run_for(6000, until=self.held_by("a"))
        first = self.hosts["a"].duty.fencing()
        self.assertTrue(self.hosts["a"].duty.may_send(first))
        await self.hosts["a"].release()
        self.assertFalse(self.hosts["a"].duty.may_send(first))
        await self.kill("a")
        self.start("a")
        await self.run_for(6000, until=lambda: self.hosts["a"].duty.may_act())
        again = self.hosts["a"].duty.fencing()
        self.assertFalse(self.hosts["a"].duty.may_send(first))
        self.assertTrue(self.hosts["a"].duty.may_send(again))


class PlatformApiTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_duty_that_ends_while_the_api_is_connected_to_sends_nothing(self):
        """A slow API accepts a connection after the rest of the lease."""
        api = UsersApi()
        await api.start()
        self.addAsyncCleanup(api.close)
        http = HttpClient(clock=Clock(), limits=settings.default_limits())
        self.addAsyncCleanup(http.close)
        held, acquire = {7}, HttpPool.acquire

        async def acquire_slowly(*args):
            connection = await acquire(*args)
            held.clear()
            return connection

        platform = PlatformApi(
            http=http,
            address="127.0.0.1",
            port=api.port,
            host_id="a",
            metrics=Metrics(),
            may_send=held.__contains__,
        )
        self.assertIsInstance(await platform.report_usage(1, {}, 7), Accepted)
        with mock.patch.object(HttpPool, "acquire", acquire_slowly):
            outcome = await platform.report_usage(2, {}, 7)
        self.assertIsInstance(outcome, Unanswered)
        self.assertEqual([window for window, _ in api.usage()], [1])


if __name__ == "__main__":
    unittest.main()
