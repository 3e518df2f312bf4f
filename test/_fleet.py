"""An in-memory fleet: a manually advanced clock, and a network with partitions."""

import asyncio
import collections
import heapq
import itertools

from goldcrestmoor import wire
from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError

IDLE_TURNS = 3
STEP_MS = 50


class ManualClock(Clock):
    """A clock that only moves when it is advanced."""

    __slots__ = ("_now_ms", "_sleepers", "_order")

    def __init__(self):
        self._now_ms = 1_000_000
        self._sleepers = []
        self._order = itertools.count()

    def now_ms(self):
        return int(self._now_ms)

    def wall_ms(self):
        return int(self._now_ms)

    async def sleep_ms(self, duration_ms):
        if duration_ms <= 0:
            # A sleep of zero takes no time, as on a real clock.
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        due_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (due_ms, next(self._order), future))
        await future

    async def advance(self, duration_ms, until=None):
        """Advance in steps of ``STEP_MS``; stop early once a predicate is true."""
        end_ms = self._now_ms + duration_ms
        while self._now_ms < end_ms:
            await settle()
            if until is not None and until():
                return True
            self._now_ms = min(end_ms, self._now_ms + STEP_MS)
            while self._sleepers and self._sleepers[0][0] <= self._now_ms:
                future = heapq.heappop(self._sleepers)[2]
                if not future.done():
                    future.set_result(None)
        await settle()
        return until is None or bool(until())


async def settle():
    """Yield to the event loop until the runnable tasks have run."""
    for _ in range(IDLE_TURNS * 4):
        await asyncio.sleep(0)


class HostClock(Clock):
    """The clock of one host; no sleep returns while the host is frozen."""

    __slots__ = ("base", "thawed")

    def __init__(self, base):
        self.base = base
        self.thawed = asyncio.Event()
        self.thawed.set()

    def now_ms(self):
        return self.base.now_ms()

    def wall_ms(self):
        return self.base.wall_ms()

    async def sleep_ms(self, duration_ms):
        await self.base.sleep_ms(duration_ms)
        await self.thawed.wait()


class Network:
    """In-memory links between hosts, with partitions."""

    def __init__(self, clock):
        self.clock = clock
        self.links_by_id = {}
        self.bytes_by_id = collections.Counter()
        self._groups = []

    def cut(self, *groups):
        """Partition the network: only hosts of the same group reach each other."""
        self._groups = [set(group) for group in groups]

    def heal(self):
        self._groups = []

    def reaches(self, a, b):
        if b not in self.links_by_id:
            return False
        return not self._groups or any(a in g and b in g for g in self._groups)


class FakeLinks:
    """The links of one host, with the methods of ``PeerLinks`` that tests need."""

    def __init__(self, network, host_id, clock):
        self._network = network
        self._clock = clock
        self.host_id = host_id
        self.handlers_by_class = {}
        network.links_by_id[host_id] = self

    def register(self, message_class, handler, urgent=False):
        self.handlers_by_class[message_class] = handler

    def send(self, host_id, message):
        self._send_task = asyncio.ensure_future(self._deliver(host_id, message))

    async def call(self, host_id, message, timeout_ms):
        answer = await self._deliver(host_id, message)
        await self._clock.thawed.wait()
        if answer is None:
            await self._clock.sleep_ms(timeout_ms)
            raise ServiceError(ErrorKind.PEER_UNREACHABLE)
        return answer

    async def _deliver(self, host_id, message):
        self._count(message)
        peer = self._network.links_by_id.get(host_id)
        if not self._network.reaches(self.host_id, host_id):
            return None
        if not peer._clock.thawed.is_set():
            return None
        handler = peer.handlers_by_class[type(message)]
        answer = await handler(self.host_id, message) or wire.Done()
        peer._count(answer)
        return answer

    def _count(self, message):
        size = sum(len(part) for part in wire.encode(message))
        self._network.bytes_by_id[self.host_id] += size
