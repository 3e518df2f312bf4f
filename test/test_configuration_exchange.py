"""A host that the store rejects has a changed configuration in force within 9 s."""

import asyncio
import time
import unittest
from types import SimpleNamespace

from goldcrestmoor.adapters.table import Row
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.front_settings import AccountSettings
from goldcrestmoor.process.configuration_age import SILENT_MS
from goldcrestmoor.process.configuration_exchange import (
    RESUME_WAIT_MS,
    ConfigurationExchange,
    RowsReply,
)
from goldcrestmoor.process.follower import FEED_WAIT_MS, TableFollower
from goldcrestmoor.process.metrics import Metrics
from test import _common
from test._fleet import ManualClock, settle
from test._front import FETCH_PATH, FrontFleet, configuration
from test.test_follower import SlowStore

NEW_PATH = "/new/x"
# configMs and outerMs of the platform.
REACHED_S = 3
OUTER_S = 6
TENANTS = [{"name": "acme", "apiKeys": ["key-a"]}]


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """One host with recorded calls to the others."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.store = SlowStore(self.clock)
        self.store.rows, self.store.version = [Row("config", 5, b"old")], 10
        self.calls, self.dead = [], ()
        self.zones = {"host-a": "a", "host-b": "b"}
        self.replies = RowsReply((), None, None)
        self.follower = self.follow("op")
        self.hosts = self.follow("hosts")
        self.routing = SimpleNamespace(table=SimpleNamespace(accounts=object()))

    def follow(self, table):
        return TableFollower(
            clock=self.clock,
            store=self.store,
            table=table,
            on_changes=lambda changes: None,
        )

    def start(self, *parts):
        for part in parts:
            task = asyncio.create_task(part.run())
            self.addCleanup(task.cancel)

    def exchange(self, settings=None):
        async def call(host, path, message, decoder, timeout_ms):
            self.calls.append((host, message))
            return None if host in self.dead else self.replies

        return ConfigurationExchange(
            clock=self.clock,
            calls=SimpleNamespace(zone_by_host=lambda: self.zones, call=call),
            host_id="host-a",
            rows=self.follower,
            hosts=self.hosts,
            routing=self.routing,
            settings=settings,
            metrics=Metrics(),
        )

    async def test_no_host_is_asked_without_accounts(self):
        self.routing.table.accounts = None
        exchange = self.exchange(AccountSettings(strict_revocation=True, revoke_ms=1))
        self.start(self.follower, exchange)
        await self.clock.advance(3000)
        self.store.is_unavailable = True
        await self.clock.advance(10_000)
        self.assertEqual(self.calls, [])
        self.assertTrue(exchange.accepts_callers())

    async def test_a_host_without_a_configuration_asks_only_by_its_settings(self):
        self.routing.table = None
        self.store.is_unavailable = True
        exchange = self.exchange()
        self.start(self.follower, exchange)
        await self.clock.advance(5000)
        self.assertEqual(self.calls, [])
        settings = AccountSettings(strict_revocation=False, revoke_ms=1)
        self.start(self.exchange(settings))
        await self.clock.advance(5000)
        self.assertTrue(self.calls)

    async def test_the_age_is_that_of_the_youngest_reply(self):
        """A late or forwarded reply must not make old keys look recent."""
        settings = AccountSettings(strict_revocation=True, revoke_ms=3000)
        exchange = self.exchange(settings)
        self.start(self.follower, exchange)
        await self.clock.advance(1000)
        self.store.is_unavailable = True
        self.replies = RowsReply((Row("config", 11, b"new"),), 2000, None)
        await self.clock.advance(6000)
        self.assertEqual(self.follower.row_by_key["config"].value, b"new")
        self.assertGreaterEqual(exchange.age_ms(), 2000)
        exchange.check_current()
        self.replies = RowsReply((), 8000, None)
        await self.clock.advance(3000)
        with self.assertRaises(ServiceError) as caught:
            exchange.check_current()
        self.assertEqual(caught.exception.answer.status, 503)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.assertFalse(exchange.accepts_callers())

    async def test_no_request_waits_long_after_a_freeze_while_no_host_is_served(self):
        """An outage of the store for all must not add to the time of each request."""
        exchange = self.exchange()
        self.start(self.follower, exchange)
        await self.clock.advance(1000)
        self.store.is_unavailable = True
        await self.clock.advance(5000)
        self.clock._now_ms += 10_000
        waiting = [asyncio.create_task(exchange.wait_after_freeze()) for _ in "ab"]
        await self.clock.advance(RESUME_WAIT_MS // 2)
        self.assertFalse(any(task.done() for task in waiting))
        await self.clock.advance(RESUME_WAIT_MS // 2 + 100)
        self.assertTrue(all(task.done() for task in waiting))
        for _ in range(100):
            await self.clock.advance(100)
            begun = asyncio.create_task(exchange.wait_after_freeze())
            await settle()
            self.assertTrue(begun.done())

    async def test_hosts_that_are_gone_are_replaced_at_once(self):
        """With half of the hosts gone, a change would need several seconds more."""
        self.zones = {f"host-{n}": "a" for n in range(8)} | self.zones
        self.dead = {f"host-{n}" for n in range(6)}
        self.store.is_unavailable = True
        self.start(self.exchange())
        await self.clock.advance(1500)
        asked = [host for host, _ in self.calls]
        self.assertEqual(len(asked), len(set(asked)))
        self.assertGreaterEqual(len(set(asked) - self.dead), 1)
        self.assertLessEqual(len(set(asked) - self.dead), 3)


class ExchangeDaemonTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)

    def put(self, version, has_accounts=True, has_new_route=False):
        """Put a configuration, whose routes are public but for the new one."""
        document = configuration(version)
        if has_accounts:
            document["tenants"] = TENANTS
        for route in document["routes"]:
            route["public"] = True
        if has_new_route:
            new = document["routes"][0] | {"name": "new", "pathPrefix": "/new/"}
            document["routes"].append(new | {"public": False})
        self.fleet.store.put("op", "config", document)

    async def start(self, names=("front-a", "front-b", "front-c"), **accounts):
        settings = {"strict_revocation": False, "revoke_ms": 9000}
        self.fleet.sections["accounts"] = settings | accounts
        zones = dict(zip(names, ("zone-a", "zone-b", "zone-c"), strict=False))
        self.put(3)
        await self.fleet.start(names, with_configuration=False, zones=zones)
        for name in names:
            await self.fleet.wait_ready(name)
            await _common.eventually(lambda name=name: self.serves(name, FETCH_PATH))

    async def reject(self, name):
        """Reject a host's calls, also the feed request that has just been sent."""
        self.fleet.store.turned_away.add(name)
        await asyncio.sleep((FEED_WAIT_MS + 200) / 1000)

    async def ask(self, name, path):
        return await self.fleet.ask(name, "POST", path, b"x", x_api_key="key-a")

    async def serves(self, name, path, status=200):
        return (await self.ask(name, path)).status == status

    async def become_ready(self, name, end_s):
        """Wait until a host accepts callers; before it can serve them, it must not."""
        await _common.eventually(
            lambda: self.fleet.is_ready(name), end_s - time.monotonic()
        )
        self.assertTrue(await self.serves(name, FETCH_PATH))
        self.assertIn("relayed through the host", self.fleet.log_of(name))

    async def has(self, name, version):
        try:
            metrics = await self.fleet.metrics(name)
        except ServiceError:
            return False
        return metrics["configuration_version"] == version

    async def test_hosts_without_the_store_follow_a_change(self):
        """One that the store rejects, and one whose calls hang."""
        await self.start()
        self.fleet.store.cut.add("front-b")
        await self.reject("front-a")
        self.put(4, has_new_route=True)
        end_s = time.monotonic() + REACHED_S + OUTER_S
        for name in ("front-a", "front-b"):
            await _common.eventually(
                lambda name=name: self.serves(name, NEW_PATH), end_s - time.monotonic()
            )
        metrics = await self.fleet.metrics("front-a")
        self.assertEqual(metrics["learned_rows_total"], 1)
        self.fleet.store.turned_away.clear()
        await _common.eventually(
            lambda: "from the store again" in self.fleet.log_of("front-a"), 8
        )
        self.assertEqual(self.fleet.log_of("front-a").count("is learned from"), 1)
        self.assertNotIn("key-a", self.fleet.log_of("front-a"))

    async def test_hosts_that_start_without_the_store_get_the_configuration(self):
        await self.start()
        restarted = ("front-a", "front-b")
        for name in restarted:
            self.fleet.fronts[name].kill()
            await self.fleet.fronts[name].wait()
        self.fleet.store.turned_away.add("front-a")
        self.fleet.store.cut.add("front-b")
        for name in restarted:
            self.fleet.start_front(name)
        self.put(4)
        end_s = time.monotonic() + REACHED_S + OUTER_S

        async def has_configuration(name):
            await _common.eventually(
                lambda: self.has(name, 4), end_s - time.monotonic()
            )

        await asyncio.gather(
            *map(has_configuration, restarted), self.become_ready("front-b", end_s)
        )
        # A host that the store rejects uses no relay. It knows no servers, so callers
        # are better served elsewhere.
        self.assertFalse(await self.fleet.is_ready("front-a"))
        self.fleet.store.turned_away.clear()
        await self.fleet.wait_ready("front-a")

    async def test_a_host_that_starts_while_the_store_rejects_all_asks_others(self):
        """Whose feed is silent as well still has the configuration."""
        await self.start(("front-a", "front-b"))
        self.fleet.store.turned_away.update(("front-a", "front-b"))
        self.fleet.fronts["front-a"].kill()
        await self.fleet.fronts["front-a"].wait()
        await asyncio.sleep(SILENT_MS / 1000 + FEED_WAIT_MS / 1000)
        self.fleet.start_front("front-a")
        await _common.eventually(lambda: self.has("front-a", 3), REACHED_S + OUTER_S)
        self.assertFalse(await self.fleet.is_ready("front-a"))

    async def test_a_host_that_was_frozen_and_is_rejected_follows_a_change(self):
        await self.start()
        await self.reject("front-a")
        self.fleet.fronts["front-a"].freeze()
        self.put(4, has_new_route=True)
        await asyncio.sleep(4)
        self.fleet.fronts["front-a"].thaw()
        await _common.eventually(
            lambda: self.serves("front-a", NEW_PATH), REACHED_S + OUTER_S - 4
        )

    async def test_without_accounts_no_host_learns_from_another(self):
        self.put(3, has_accounts=False)
        await self.fleet.start(with_configuration=False)
        await self.fleet.wait_ready("front-a")
        await self.reject("front-a")
        self.put(4, has_accounts=False, has_new_route=True)
        await asyncio.sleep(4)
        self.assertTrue(await self.has("front-a", 3))
        self.assertNotIn("is learned from", self.fleet.log_of("front-a"))

    async def test_strict_revocation_refuses_once_all_hosts_are_cut_off(self):
        await self.start(("front-a", "front-b"), strict_revocation=True, revoke_ms=4000)
        self.put(4, has_new_route=True)
        await _common.eventually(lambda: self.serves("front-a", NEW_PATH), 5)
        # While another host is served, the age of its configuration counts.
        self.fleet.store.turned_away.add("front-a")
        end_s = time.monotonic() + 7
        while time.monotonic() < end_s:
            self.assertTrue(await self.serves("front-a", NEW_PATH))
            await asyncio.sleep(0.2)
        self.fleet.store.turned_away.add("front-b")
        await _common.eventually(lambda: self.serves("front-a", NEW_PATH, 503), 6)
        answer = await self.ask("front-a", NEW_PATH)
        self.assertIn(b"retry-after", dict(answer.headers))
        self.assertTrue(await self.serves("front-a", FETCH_PATH))
        self.assertTrue(await self.serves("front-a", "/none", 404))
        self.assertFalse(await self.fleet.is_ready("front-a"))
        self.fleet.store.turned_away.clear()
        await _common.eventually(lambda: self.serves("front-a", NEW_PATH), 5)

    async def test_without_strict_revocation_hosts_go_on(self):
        await self.start(("front-a", "front-b"), revoke_ms=1000)
        self.put(4, has_new_route=True)
        await _common.eventually(lambda: self.serves("front-a", NEW_PATH), 5)
        self.fleet.store.turned_away.update(("front-a", "front-b"))
        await asyncio.sleep(4)
        self.assertTrue(await self.serves("front-a", NEW_PATH))
        self.assertTrue(await self.fleet.is_ready("front-a"))
