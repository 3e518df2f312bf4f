"""Measure the memory per item of each kind of control state."""

import asyncio
import gc
import subprocess
import sys
import tracemalloc

import msgspec

from goldcrestmoor.adapters.hosts import ListedHost
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.process.decision_log import DecisionLog
from goldcrestmoor.process.member_table import MemberTable
from goldcrestmoor.process.membership_messages import HostRecord, HostState
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request.admission import Grant
from goldcrestmoor.request.admission_messages import HeldGrant, RenewGrants
from goldcrestmoor.request.admission_owner import AdmissionOwner
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.outcome_cache import OutcomeCache
from goldcrestmoor.request.token_chunk import Segment
from goldcrestmoor.version.steps.step_messages import StoreSamples
from goldcrestmoor.version.steps.step_state import StepState
from goldcrestmoor.version.steps.steps import GroupSpec, Slot, StepSpec, make_sample
from test import _common, _request_fakes as fakes
from test.bench.control import listed
from test.bench.table import show

ITEMS = 1000
STEP_GROUPS = 64
GROUP_SAMPLES = 8
SAMPLE_TOKENS = (200, 1000, 2000)
TOKEN_TEXT = "word "
MB = 1_000_000


def _record(i):
    zone = f"zone-{i % 5}"
    place = f"10.1.{i // 250}.{i % 250}", 8080, 9090
    return HostRecord(f"{zone}-{i}", zone, "region-1", *place, i, HostState.ALIVE)


async def _members(clock):
    table = MemberTable(clock, _record(0), 2500)
    for i in range(1, ITEMS + 1):
        table.merge(msgspec.convert(msgspec.to_builtins(_record(i)), HostRecord))
    return table


async def _listed(clock):
    return msgspec.convert(listed(ITEMS), list[ListedHost])


async def _client_grants(clock):
    upstream = fakes.upstream("lm-1")
    names = (f"host-{i % 350}/{i:024}" for i in range(ITEMS))
    return {n: Grant(n, upstream, "trainer", 500, "host-1") for n in names}


async def _owner_grants(clock):
    lease = fakes.FakeLease(fakes.upstream("lm-1"))
    links = fakes.FakeNetwork().links("host-1")
    owner = AdmissionOwner(
        clock=clock, lease=lease, settings=fakes.limits(), links=links, **fakes.parts()
    )
    names = (f"host-2/{i:024}" for i in range(ITEMS))
    held = tuple(HeldGrant(n, "lm-1", "trainer", 500) for n in names)
    await owner.on_renew("host-2", RenewGrants(held))
    return owner


async def _keys(clock):
    settings = _common.make_settings().idempotency
    memory = OutcomeCache(clock=clock, settings=settings)
    headers = ((b"content-type", b"application/json"), (b"date", b"x" * 29))

    def answering(i):
        async def answer():
            copied_headers = tuple((k + b"", bytes(bytearray(v))) for k, v in headers)
            return AppResponse(
                201, copied_headers, f'{{"saved": "note {i:060}"}}'.encode()
            )

        return answer

    for i in range(ITEMS):
        key = "account", f"gk1.host-1.{i:040}"
        digest = f"{i:064}"
        outcome = memory.start(key, digest, clock.now_ms() + 600_000, answering(i))
        await memory.wait(outcome, Deadline.after(clock, 60_000))
    return memory


async def _decisions(clock):
    decisions = DecisionLog(clock)
    for i in range(ITEMS):
        for text in (f"host-7 granted lm-{i} after 3 ms.", f"Sent to lm-{i} of z."):
            decisions.record("apps", f"{i:024}", text)
    return decisions


async def _metrics(clock):
    metrics = Metrics()
    for i in range(ITEMS):
        metrics.queue_length.labels(f"upstream-{i}").set(1)
    return metrics


ITEM_KINDS = (
    ("member", _members),
    ("entry of the host list", _listed),
    ("held grant, entry host", _client_grants),
    ("held grant, owner", _owner_grants),
    ("cached outcome of an idempotency key", _keys),
    ("request in the decision log", _decisions),
    ("label value of a metric", _metrics),
)


def _step(tokens):
    groups = tuple(
        GroupSpec(i, f"prompt {i}" * 20, GROUP_SAMPLES, tokens)
        for i in range(STEP_GROUPS)
    )
    spec = StepSpec("trainer", "step-1", "lm", 1, groups, 1_620_000)
    state = StepState(spec, "zone-a", None, 0)
    for slot in spec.slots():
        text = (TOKEN_TEXT * tokens)[:-1]
        own = Slot(slot.group, slot.index)
        state.put(make_sample(own, [Segment(7, text, tokens)], "stop"))
    return state


async def _retained_bytes(make_object):
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = await make_object(Clock())
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before


async def _item_rows():
    for name, make_items in ITEM_KINDS:
        await make_items(Clock())
        yield name, await _retained_bytes(make_items) / ITEMS


async def _step_rows():
    for tokens in SAMPLE_TOKENS:

        async def make_state(clock, tokens=tokens):
            return _step(tokens)

        retained = await _retained_bytes(make_state)
        samples = tuple(_step(tokens).sample_by_slot.values())
        message = StoreSamples("trainer", "step-1", "0" * 64, 1, samples)
        size = len(msgspec.msgpack.encode(message))
        count = len(samples)
        yield (
            tokens,
            retained / MB,
            size / MB,
            retained / count / tokens,
            size / count / tokens,
        )


async def _run():
    rows = [row async for row in _item_rows()]
    show("Memory retained per item", ("item", "bytes"), rows)
    rows = [row async for row in _step_rows()]
    columns = ("tokens per sample", "MB at holder", "MB sent to replica")
    columns += ("B/token retained", "B/token sent")
    show("One step of 512 samples", columns, rows)


def run():
    """Print the memory of each kind of state, and of a process after its imports."""
    asyncio.run(_run())
    print("\nResident memory of a process, module by module", flush=True)
    subprocess.run([sys.executable, "-m", "test.bench.base"], check=True)
