"""Fakes for tests of the steps: the platform, peers, engines and a fleet."""

import asyncio
import collections

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import CheckFailed, Committed, Row
from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.decision_log import DecisionLog
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.token_chunk import TokenChunk
from goldcrestmoor.version.configuration import document as config
from goldcrestmoor.version.steps.step_gateway import StepGateway
from goldcrestmoor.version.steps.step_holder import StepHolder
from goldcrestmoor.version.steps.step_messages import PullSamples
from goldcrestmoor.version.steps.step_router import StepRouter
from goldcrestmoor.version.steps.step_store import StepStore
from goldcrestmoor.version.steps.steps import GroupSpec, StepSpec
from test import _common

ACCOUNT = "tuner"
ZONE = "zone-a"


class FakePlatform:
    """A table service and an object store that can be unavailable or lose replies."""

    def __init__(self):
        self.row_by_key = {}
        self.object_by_key = {}
        self.is_unavailable = False
        self.replies_to_lose = 0
        self.writes = 0

    def _check_available(self):
        if self.is_unavailable:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)

    async def put(self, key, data):
        self._check_available()
        self.object_by_key[key] = data

    async def delete(self, key):
        self._check_available()
        self.object_by_key.pop(key, None)

    async def get(self, *key):
        self._check_available()
        if len(key) == 1:
            return self.object_by_key.get(key[0])
        return self.row_by_key.get(key)

    async def scan(self, table, prefix):
        self._check_available()
        found = self.row_by_key.items()
        return [r for (t, k), r in found if t == table and k.startswith(prefix)]

    async def transact(self, checks, writes):
        self._check_available()
        for check in checks:
            row = self.row_by_key.get((check.table, check.key))
            if (row.version if row else 0) != check.version:
                return CheckFailed(row, check.table, check.key)
        version_by_key = {}
        for write in writes:
            self.writes += 1
            key = (write.table, write.key)
            row = self.row_by_key.pop(key, None)
            if write.value is not None:
                version = (row.version if row else 0) + 1
                self.row_by_key[key] = Row(write.key, version, write.value)
                version_by_key["/".join(key)] = version
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN)
        return Committed(version_by_key)


class FakeEngines:
    """Generate streams by a script, else short ones at the current version."""

    def __init__(self):
        self.version = 1
        self.calls = []
        self.script_by_seed = {}
        self.closed = 0

    async def generate(self, **call):
        self.calls.append(call)
        seed = call["seed"]
        scripts = self.script_by_seed.get(seed, [])
        number = sum(1 for c in self.calls if c["seed"] == seed) - 1
        try:
            if number < len(scripts):
                async for chunk in scripts[number](call):
                    yield chunk
                return
            await asyncio.sleep(0)
            text = f"{seed}-{len(self.calls)}"
            yield TokenChunk(text, 3, self.version, "engine-1", "stop")
        finally:
            self.closed += 1


class FakeLinks:
    """Peer links in one process; calls from and to hosts that are down fail."""

    def __init__(self, host_id, network):
        self.host_id = host_id
        self._network = network
        self.handler_by_class = {}
        network.links_by_id[host_id] = self

    def register(self, kind, handler):
        self.handler_by_class[kind] = handler

    async def call(self, host_id, message, timeout_ms):
        peer = self._network.links_by_id.get(host_id)
        if peer is None or {host_id, self.host_id} & self._network.down:
            raise ServiceError(ErrorKind.PEER_UNREACHABLE)
        kind = type(message)
        data = msgspec.msgpack.encode(message)
        copy = msgspec.msgpack.decode(data, type=kind)
        return await peer.handler_by_class[kind](self.host_id, copy)


Host = collections.namedtuple("Host", ("id", "zone"))


class FakeFleet:
    """Several hosts with their step holders, which share one platform."""

    def __init__(self, *host_ids, bound=1, slots=16, **delivery):
        self.platform = FakePlatform()
        self.engines = FakeEngines()
        self.clock = Clock()
        self.links_by_id = {}
        self.down = set()
        self.holder_by_host = {}
        self.set_account(bound, **delivery)
        self.slots = slots
        self.published = 0
        self.host_by_id = {i: _FakeHost(i, self) for i in host_ids}

    def set_account(self, bound, **delivery):
        rules = config.DeliveryRules(**delivery)
        self.account = config.Account(
            ACCOUNT,
            "trainer",
            util.hash_token("secret"),
            ("lm",),
            staleness_bound=bound,
            zone=ZONE,
            delivery=rules,
        )

    def view(self):
        upstream = config.Upstream(
            "engine-1", "lm", ZONE, "127.0.0.1", 1, slots=self.slots
        )
        document = config.Configuration(
            1,
            {ACCOUNT: self.account},
            {"lm": config.Pool("lm", config.UpstreamKind.ENGINE, "m")},
            {"engine-1": upstream},
        )
        return config.ConfigurationView(document, False)

    def published_by(self, account, model):
        return self.published

    def live(self, zone=None):
        return [Host(i, ZONE) for i in self.host_by_id if i not in self.down]

    def all(self):
        return [Host(i, ZONE) for i in self.host_by_id]

    async def close(self):
        for host in self.host_by_id.values():
            await host.close()


class _FakeHost:
    def __init__(self, host_id, fleet):
        self.host_id = host_id
        self._fleet = fleet
        self.links = FakeLinks(host_id, fleet)
        self.metrics = Metrics()
        self.store = StepStore(
            clock=fleet.clock,
            table=fleet.platform,
            objects=fleet.platform,
            links=self.links,
            membership=fleet,
            host_id=host_id,
        )
        router = StepRouter(
            links=self.links,
            ownership=self,
            store=self.store,
            lease=fleet,
            host_id=host_id,
        )
        shared = {
            "clock": fleet.clock,
            "router": router,
            "versions": fleet,
            "metrics": self.metrics,
            "settings": _common.make_settings(host_id, ZONE),
        }
        self.holder = StepHolder(
            completions=fleet.engines,
            store=self.store,
            links=self.links,
            lease=fleet,
            decisions=DecisionLog(fleet.clock),
            **shared,
        )
        self.front = StepGateway(holder=self.holder, **shared)
        self._writer = asyncio.get_running_loop().create_task(self.store.run())

    def holder_of_step(self, account, step):
        # Hosts with different membership views disagree about the holder.
        holder_id = self._fleet.holder_by_host.get(self.host_id)
        if holder_id:
            return holder_id
        live = [host.id for host in self._fleet.live()]
        return util.rendezvous(f"step/{account.name}/{step}", live)

    async def pull(
        self, step, held=(), version=1, wait_ms=10000, max_samples=128, groups=()
    ):
        message = PullSamples(
            ACCOUNT, step, tuple(groups), tuple(held), version, wait_ms, max_samples
        )
        return await self.front.pull(message)

    async def collect(self, step, version=1, held=()):
        """Pull until complete; return the samples by slot and every sample received."""
        sample_by_slot = dict.fromkeys(held)
        answered = []
        async with asyncio.timeout(_common.EVENT_TIMEOUT_S):
            while True:
                answer = await self.pull(step, sample_by_slot, version)
                answered += answer.samples
                sample_by_slot |= {s.slot: s for s in answer.samples}
                if answer.complete:
                    return sample_by_slot, answered

    async def close(self):
        self._writer.cancel()
        await self.holder.close()


def make_spec(step="s1", groups=2, samples=3, base_version=1, deadline_ms=600_000):
    """Return a small step whose slots have different seeds."""
    made = tuple(
        GroupSpec(i, f"prompt {i}", samples, 100, seed=100 * i) for i in range(groups)
    )
    return StepSpec(ACCOUNT, step, "lm", base_version, made, deadline_ms)
