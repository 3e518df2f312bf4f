"""A batch job that ends while its next runner reads it goes on running."""

import asyncio
import pathlib
import signal

from review.lib.deployment import (
    CannotRunError,
    Deployment,
    configuration,
    main,
    trouble,
)
from review.lib.engines import Engine
from review.lib.jobs import SERVICE, Trainer, engine_service, job_route
from test.standins.users_store import UsersStore

JOB = "7c41e09b52d6a3f8"
ITEMS = 160
SHORT_ITEMS = 100
SHORT_EVENTS, LONG_EVENTS = 2, 27
EVENT_S = 0.3
ANSWER_MS, TX_MS = 4, 5
# The site's figures are x = 60 for 4.5 s.
SLOW_X, SLOW_S = 30, 4.5
BEFORE_KILL_S = 0.3
TAKE_OVER_S = 20
# The bounds of the site.
STABLE_WINDOW_S = 3.0
CANCEL_S = 3.0
WATCH_S = 14.0


def text_of(item_id):
    """Return the data of an item's events."""
    is_short = int(item_id[-2:], 16) < SHORT_ITEMS
    events = SHORT_EVENTS if is_short else LONG_EVENTS
    return [f"{item_id}-{number}" for number in range(events)]


def case(record):
    engines = [
        Engine(f"i-lm-{n}", SERVICE, record, text_of=text_of, event_s=EVENT_S)
        for n in range(2)
    ]
    deployment = Deployment(
        UsersStore(),
        engines,
        configuration([job_route()], [engine_service()]),
        {"front-a": "zone-a", "front-b": "zone-b", "front-c": "zone-c"},
    )
    return deployment, play(record, deployment, engines)


def set_speed(store, factor):
    store.read_ms, store.tx_ms = ANSWER_MS * factor, TX_MS * factor


async def until(condition, timeout_s, text):
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise CannotRunError(text) from None


async def play(record, deployment, engines):
    store, trainer = deployment.store, Trainer(deployment, record)

    def state(field):
        return (store.value("jobs", JOB) or {}).get(field)

    def runner():
        return (state("runner") or "").partition("/")[0]

    set_speed(store, 1)
    item_ids = [f"e5b2907c14da6f{n:02x}" for n in range(ITEMS)]
    if await trainer.submit("front-a", JOB, item_ids) != 202:
        raise CannotRunError("the job was not accepted")
    await until(lambda: state("listed") == SHORT_ITEMS, 30, "the items did not run")
    first = runner()
    stable_from_s = 0
    if trouble():
        set_speed(store, SLOW_X)
        asyncio.get_running_loop().call_later(SLOW_S, set_speed, store, 1)
        stable_from_s = record.now_s() + SLOW_S + STABLE_WINDOW_S
        record(f"the store's answers take {SLOW_X} times as long, for {SLOW_S} s")
        await asyncio.sleep(BEFORE_KILL_S)
        record(f"{first} runs the job and is killed (SIGKILL)")
        deployment.host_by_name[first].signal(signal.SIGKILL)
        await until(lambda: runner() != first, TAKE_OVER_S, "nobody took over")
        if store.read_ms == ANSWER_MS:
            raise CannotRunError("the store was fast again before the take-over")
    successor = runner()
    other = next(n for n in deployment.host_by_name if n not in (first, successor))
    record(f"{successor} is the runner in the store; the trainer ends the job")
    status = await trainer.end(other, JOB)
    ended_s = record.now_s()
    if status != 200:
        raise CannotRunError(f"the end was answered {status}")
    await asyncio.sleep(WATCH_S)
    broken = []
    for engine in engines:
        for item_id, at_s in engine.runs:
            after_s = at_s - ended_s
            if after_s <= 0:
                continue
            is_in_touch = at_s >= stable_from_s
            record(
                f"{engine.name} began to run {item_id} at {at_s:.3f}, {after_s:.2f} s "
                f"after the acknowledged end; {successor} is "
                f"{'in touch' if is_in_touch else 'not yet in touch'}"
            )
            if after_s > CANCEL_S and is_in_touch:
                broken.append(
                    f"UNASKED: {item_id} reached {engine.name} {after_s:.2f} s after "
                    "the acknowledged end of its job"
                )
    return broken


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent)
