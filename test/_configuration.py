"""Fakes for tests of the configuration: a clock, a platform, links and hosts."""

import asyncio
import functools
import types

from goldcrestmoor.adapters import table
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.language.changes import apply_changes
from goldcrestmoor.language.parser import parse
from goldcrestmoor.version.configuration.driver import Accepted, ConfigurationDriver
from goldcrestmoor.version.configuration.lease import ConfigurationLease
from test import _common

INITIAL = """
CREATE POOL lm KIND engine MODEL m;
CREATE UPSTREAM u1 POOL lm ZONE zone-a ADDRESS '127.0.0.1' PORT 1;
CREATE ACCOUNT tisza KIND trainer TOKEN 'a' POOLS (lm) SHARE 4 STALENESS 3
    CUTOFF SHARE 2 CUTOFF STALENESS 2;
CREATE ACCOUNT derwent KIND trainer TOKEN 'b' POOLS (lm) CUTOFF SERVE off
"""


def change_function(text):
    return functools.partial(apply_changes, changes=parse(text).statements)


class FakeClock:
    """A clock that advances only when set, and during sleeps."""

    def __init__(self):
        self.ms = 1_000_000
        self.on_sleep = None

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return self.ms

    async def sleep_ms(self, duration_ms):
        end_ms = self.ms + max(0, int(duration_ms))
        if self.on_sleep is not None:
            await self.on_sleep()
        await asyncio.sleep(0)
        self.ms = max(self.ms, end_ms)


class FakePlatform:
    """A table service and an object store that lose replies and become unavailable."""

    def __init__(self):
        self.row_by_key = {}
        self.data_by_key = {}
        self.host_ids = []
        self.lose_after = 0
        self.lose_before = 0
        self.cut_when_lost = 0
        self.before_write = None
        self.writes = 0

    def read(self, key):
        return self.row_by_key.get(key)

    def transact(self, checks, writes):
        for check in checks:
            row = self.row_by_key.get((check.table, check.key))
            if (row.version if row else 0) != check.version:
                return table.CheckFailed(row, check.table, check.key)
        version_by_key = {}
        for write in writes:
            key = (write.table, write.key)
            row = self.row_by_key.get(key)
            version = (row.version if row else 0) + 1
            self.row_by_key[key] = table.Row(write.key, version, write.value)
            version_by_key["/".join(key)] = version
            self.writes += 1
        return table.Committed(version_by_key)


class PlatformClient:
    """One host's connection to the platform: table, object and host list clients."""

    def __init__(self, platform):
        self.platform = platform
        self.cut = False
        self.gate = None
        self.gated_task = None

    def _check_reachable(self):
        if self.cut:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)

    async def get(self, *key):
        self._check_reachable()
        if len(key) == 1:
            return self.platform.data_by_key.get(key[0])
        row = self.platform.read(key)
        # Only the poll is delayed, not a driver that shares this client.
        if asyncio.current_task() is self.gated_task:
            self.gated_task = None
            await self.gate.wait()
        return row

    async def put(self, key, data):
        self._check_reachable()
        self.platform.data_by_key[key] = data

    async def transact(self, checks, writes):
        platform = self.platform
        if platform.before_write is not None:
            await platform.before_write()
        self._check_reachable()
        if platform.lose_before:
            platform.lose_before -= 1
            self._lose_reply()
        answer = platform.transact(checks, writes)
        if platform.lose_after:
            platform.lose_after -= 1
            self._lose_reply()
        return answer

    def _lose_reply(self):
        if self.platform.cut_when_lost:
            self.platform.cut_when_lost -= 1
            self.cut = True
        raise ServiceError(ErrorKind.OUTCOME_UNKNOWN)

    async def fetch(self):
        self._check_reachable()
        return [
            types.SimpleNamespace(id=host_id, kind="host", state="live")
            for host_id in self.platform.host_ids
        ]


class FakeNetwork:
    """The peer links of several hosts, and the hosts that they consider alive."""

    def __init__(self):
        self.links_by_host = {}
        self.incarnation_by_host = {}
        self.silent = set()

    def links(self, host_id, incarnation=1):
        self.incarnation_by_host[host_id] = incarnation
        links = FakeLinks(self, host_id)
        self.links_by_host[host_id] = links
        return links

    def live(self, zone=None):
        return [
            types.SimpleNamespace(id=host_id, incarnation=incarnation)
            for host_id, incarnation in self.incarnation_by_host.items()
        ]


class FakeLinks:
    """One host's peer links."""

    def __init__(self, network, host_id):
        self.network = network
        self.host_id = host_id
        self.handler_by_class = {}
        self.before_answer = None
        self.after_answer = None

    def register(self, message_class, handler):
        self.handler_by_class[message_class] = handler

    async def call(self, host_id, message, timeout_ms):
        target = self.network.links_by_host.get(host_id)
        if target is None or {host_id, self.host_id} & self.network.silent:
            raise ServiceError(ErrorKind.PEER_UNREACHABLE)
        if target.before_answer is not None:
            await target.before_answer(message)
        answer = await target.handler_by_class[type(message)](self.host_id, message)
        if target.after_answer is not None:
            target.after_answer()
        return answer


class Host:
    """One host: its lease and its driver, connected to fakes."""

    def __init__(self, world, host_id, incarnation=1):
        self.id = host_id
        self.platform = PlatformClient(world.platform)
        self.links = world.network.links(host_id, incarnation)
        self.poll_task = self.gate = None
        common = {
            "clock": world.clock,
            "table": self.platform,
            "objects": self.platform,
            "settings": world.settings,
            "links": self.links,
            "host_id": host_id,
        }
        self.lease = ConfigurationLease(
            **common, peers=lambda: sorted(world.hosts), incarnation=lambda: incarnation
        )
        self.driver = ConfigurationDriver(
            **common,
            lease=self.lease,
            membership=world.network,
            host_list=self.platform,
        )

    async def begin_poll(self):
        """Read the head now; the reply arrives with :meth:`end_poll`."""
        if self.poll_task is None:
            self.gate = self.platform.gate = asyncio.Event()
            self.poll_task = asyncio.ensure_future(self.lease.poll())
            self.platform.gated_task = self.poll_task
            await asyncio.sleep(0)

    async def end_poll(self):
        if self.poll_task is not None:
            task, self.poll_task = self.poll_task, None
            self.gate.set()
            await task


class World:
    """A platform, a clock and hosts."""

    def __init__(self, count):
        self.clock = FakeClock()
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.settings = _common.make_settings().configuration
        self.hosts = {}
        for number in range(count):
            self.start_host(f"h{number}")

    def start_host(self, host_id, incarnation=1):
        host = Host(self, host_id, incarnation)
        self.hosts[host_id] = host
        if host_id not in self.platform.host_ids:
            self.platform.host_ids.append(host_id)
        return host

    async def poll_all(self):
        for host in self.hosts.values():
            await host.lease.poll()

    async def set_up(self):
        answer = await self.hosts["h0"].driver.change(0, change_function(INITIAL))
        assert isinstance(answer, Accepted), answer
        await self.poll_all()

    def lapse(self):
        self.clock.ms += self.settings.lease_ms
