"""A small fleet for tests of steps, and a plain HTTP trainer that checks responses."""

import base64
import json
import unittest
import urllib.parse

import msgspec

from goldcrestmoor import util
from goldcrestmoor.version.steps.step_records import GroupRow
from goldcrestmoor.version.steps.step_routes import GroupBody, PullAnswer, PullBody
from goldcrestmoor.version.steps.steps import Sample, Slot
from test import _common
from test.fleet import AccountPlan, Fleet, Plan, PoolPlan, http_get, http_post
from test.network import Network
from test.standins.engine import token_text

MODEL = "summaries"
POOL = "lm-pool"
TOKEN = "step-trainer"
PULL_WAIT_MS = 1000
PULL_TIMEOUT_MS = 4000
SUBMIT_TIMEOUT_MS = 15_000
GROUPS_TABLE = "groups"
STEPS_TABLE = "steps"


def make_plan(bound=1, hosts=(2, 1), slots=8, zone="zone-a", **engine):
    """Return a plan of two zones with an engine each and one trainer.

    :param bound: the trainer's staleness bound.
    :param hosts: number of daemons in each zone.
    :param slots: number of requests that each engine runs concurrently.
    :param engine: further options of the engines.
    """
    options = {"tagged": True, "token_ms": 5.0, **engine}
    zones = ("zone-a", "zone-b")
    lease = {"poll_ms": 200, "lease_ms": 1000, "lease_margin_ms": 200}
    return Plan(
        hosts_by_zone=dict(zip(zones, hosts, strict=True)),
        pools=(
            PoolPlan(POOL, "engine", dict.fromkeys(zones, 1), MODEL, slots, options),
        ),
        settings={"configuration": lease, "platform": {"timeout_ms": 500}},
        accounts=(AccountPlan("trainer", "trainer", TOKEN, (POOL,), 1, bound, zone),),
    )


class Trainer:
    """A trainer without the client library that checks every response for violations.

    :param fleet: the :class:`~test.fleet.Fleet`.
    :param step: the name of its step.
    :param bound: its staleness bound.
    :param token: the token of its client account.
    """

    def __init__(self, fleet, step="s1", bound=1, token=TOKEN):
        self.fleet = fleet
        self.step = step
        self.bound = bound
        self.version = 1
        self.group_by_index = {}
        self.held = {}
        self.violations = []
        self.status = None
        self._seen_by_slot = {}
        self._headers = {"Authorization": f"Bearer {token}"}

    async def post(self, host, path, body, timeout_ms):
        """Send one request and return its status and body."""
        url = self.fleet.endpoint_by_id[host].url + path
        data = msgspec.json.encode(body)
        return await http_post(url, data, self._headers, timeout_ms)

    async def submit(self, host, groups=2, samples=3, max_tokens=20, **fields):
        """Submit the step repeatedly until a host accepts it."""
        self.group_by_index = {
            i: GroupBody(i, f"prompt {i} of {self.step}", samples, limit, 100 * i)
            for i, limit in enumerate(_per_group(max_tokens, groups))
        }
        body = {
            "step": self.step,
            "model": POOL,
            "base_version": self.version,
            "groups": list(self.group_by_index.values()),
            **fields,
        }

        async def accepted():
            status, answer = await self.post(host, "/v1/steps", body, SUBMIT_TIMEOUT_MS)
            if status not in (202, 503, 504, None):
                raise AssertionError(f"The step was rejected: {status} {answer!r}")
            return status == 202

        await _common.eventually(accepted)

    async def publish(self, host, version):
        """Switch to a new version and publish it repeatedly until a host accepts it."""
        self.version = version
        body = {"model": MODEL, "version": version}

        async def published():
            status, _ = await self.post(host, "/v1/versions", body, 5000)
            return status in (200, 409)

        await _common.eventually(published)

    @property
    def slots(self):
        """Every slot of the step."""
        return {
            Slot(g.index, i)
            for g in self.group_by_index.values()
            for i in range(g.samples)
        }

    async def pull(
        self,
        host,
        held=None,
        version=None,
        wait_ms=PULL_WAIT_MS,
        timeout_ms=PULL_TIMEOUT_MS,
        keep=True,
    ):
        """Pull once and check the response; return None when the pull fails.

        :param held: the slots to report as held; by default all that the trainer holds.
        :param keep: whether to store the received samples.
        """
        held = frozenset(self.held if held is None else held)
        version = self.version if version is None else version
        body = PullBody(version, tuple(sorted(held)), (), wait_ms)
        status, data = await self.post(
            host, f"/v1/steps/{self.step}/pull", body, timeout_ms
        )
        self.status = status
        if status != 200:
            return None
        answer = msgspec.json.decode(data, type=PullAnswer)
        slots = [sample.slot for sample in answer.samples]
        if len(set(slots)) < len(slots) or held & set(slots):
            self.violations.append(
                f"Duplicate slots in a response: {slots}, held {held}."
            )
        if answer.complete and set(slots) | held != self.slots:
            self.violations.append(f"Reported complete with {slots}, held {held}.")
        for sample in answer.samples:
            self._check(sample, version)
            if keep:
                self._hold(sample)
        return answer

    async def collect(self, *hosts):
        """Pull through the hosts in turn until every slot is held."""
        turn = 0

        async def all_held():
            nonlocal turn
            # A pull that reports every slot as held lets the service delete the step.
            if set(self.held) == self.slots:
                return True
            await self.pull(hosts[turn % len(hosts)])
            turn += 1
            return False

        await _common.eventually(all_held)
        return dict(self.held)

    def _hold(self, sample):
        # The version may have advanced while the response was in flight, so the
        # trainer checks the versions that the sample names.
        if oldest_version(sample) >= self.version - self.bound:
            self.held.setdefault(sample.slot, sample)

    def _check(self, sample, version):
        oldest = oldest_version(sample)
        if oldest < version - self.bound:
            self.violations.append(f"Stale for version {version}: {sample}.")
        seen = self._seen_by_slot.get(sample.slot)
        # Only a sample that has become stale may be replaced.
        is_other = seen is not None and seen.digest != sample.digest
        if is_other and oldest_version(seen) >= self.version - self.bound:
            self.violations.append(f"Two samples for a slot: {seen} and {sample}.")
        self._seen_by_slot[sample.slot] = sample
        self.violations += find_output_errors(
            self.group_by_index[sample.slot.group], sample
        )


def _per_group(max_tokens, groups):
    return [max_tokens] * groups if isinstance(max_tokens, int) else max_tokens


def find_output_errors(group, sample):
    """Yield the errors in the output of a sample.

    Each token names its content, and the version and engine that generated it.
    """
    index = 0
    for segment in sample.segments:
        words = segment.text.split()
        if len(words) != segment.tokens:
            yield f"{segment.tokens} tokens stated, {len(words)} generated: {sample}."
        for word in words:
            token, version, _ = word.split(".")
            seed = group.seed + sample.slot.index
            if token != token_text(group.prompt, seed, index).strip():
                yield f"Token {index} is not the expected one: {sample}."
            if int(version) != segment.version:
                yield f"Token {index} was generated by version {version}: {sample}."
            index += 1
    if index != group.max_tokens:
        yield f"{index} of {group.max_tokens} tokens: {sample}."


def versions_of(sample):
    """Return the versions of a sample's segments in order."""
    return [segment.version for segment in sample.segments]


def oldest_version(sample):
    """Return the oldest version that a sample names."""
    return min(versions_of(sample))


def engine_ports_of(sample):
    """Return, for each token of a sample, the port of the engine that generated it."""
    words = " ".join(segment.text for segment in sample.segments).split()
    return [int(word.split(".")[2].partition("-")[0]) for word in words]


async def recorded_rows(fleet, table=GROUPS_TABLE):
    """Return the stored rows of a platform table; works during an outage too."""
    _, body = await http_get(f"{fleet.platform_control.url}/tables/{table}?prefix=")
    return json.loads(body or b'{"rows": []}')["rows"]


async def recorded_samples(fleet):
    """Return the samples that the platform has recorded, by slot."""
    samples = {}
    for row in await recorded_rows(fleet):
        value = base64.b64decode(row["value"])
        key = msgspec.msgpack.decode(value, type=GroupRow).object_key
        path = urllib.parse.quote(key, safe="")
        _, data = await http_get(f"{fleet.platform_control.url}/objects/{path}")
        made = msgspec.msgpack.decode(data, type=tuple[Sample, ...])
        samples |= {sample.slot: sample for sample in made}
    return samples


class StepProof(unittest.IsolatedAsyncioTestCase):
    """Starts and closes a fleet behind fault-injecting links."""

    async def command(self, text):
        """Run an operator command and check that it is accepted."""
        code, output = await self.fleet.ask(text)
        self.assertEqual(code, 0, output)

    async def start(self, **plan):
        self.network = Network()
        self.fleet = Fleet(make_plan(**plan), self.network)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.engines = self.fleet.upstreams
        trainer = Trainer(self.fleet, bound=plan.get("bound", 1))
        self.addCleanup(lambda: self.assertEqual(trainer.violations, []))
        return trainer

    async def assert_same_for_a_restarted_trainer(self, trainer, *hosts):
        """Check that a trainer that lost samples receives the same ones again."""
        got = dict(trainer.held)
        for kept in (0, 1, len(got) - 1):
            trainer.held = dict(sorted(got.items())[:kept])
            self.assertEqual(await trainer.collect(*hosts), got)

    def holder_of(self, step):
        """Return the expected holder of a step and the other live hosts."""
        hosts = [h for h in self.fleet.hosts if self.fleet.process_by_id[h.id].alive()]
        near = [h.id for h in hosts if h.zone == "zone-a"]
        holder = util.rendezvous(f"step/trainer/{step}", near)
        return holder, [h.id for h in hosts if h.id != holder]

    async def counts(self, engine):
        return await self.fleet.get_json(engine, "/control/counts") or {}

    async def wait_count(self, engine, name, least):
        """Wait until a counter of an engine reaches a value."""

        async def reached():
            return (await self.counts(engine)).get(name, 0) >= least

        await _common.eventually(reached)

    async def wait_ordered(self, engine, version):
        """Wait until an engine has received a load order for a version."""

        async def reached():
            orders = (await self.counts(engine)).get("orders", ())
            return any(order["version"] == version for order in orders)

        await _common.eventually(reached)

    async def wait_engine_version(self, engine, version):
        """Wait until an engine runs a version."""

        async def reached():
            return (await self.counts(engine)).get("version") == version

        await _common.eventually(reached)

    async def set_engine(self, engine, **options):
        await self.fleet.control(engine, "set", **options)

    async def platform(self, name, **body):
        await self.fleet.control(self.fleet.platform_control, name, **body)
