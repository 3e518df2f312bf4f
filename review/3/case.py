"""A stopping host takes new requests until its end, and cuts them off."""

import asyncio
import pathlib
import signal

from review.lib import http
from review.lib.deployment import (
    HOSTNAME,
    CannotRunError,
    Deployment,
    configuration,
    main,
    route,
    trouble,
)
from review.lib.engines import Engine
from review.lib.jobs import SERVICE, engine_service
from test.standins.users_store import UsersStore

EVENT_S = 0.1
# The events of each stream; its length is a tenth of that in seconds.
EVENTS_BY_ID = {"long": 75, "kept-0": 1, "kept-1": 1, "kept-2": 1}
LATE_EVENTS = 40
KEPT = 3
# When the requests are sent, from the stop on.
LONG_AT_S = -1.0
LATE_AT_S = (4.2, 4.8, 5.4)
# The bounds of the site: SIGKILL follows SIGTERM after the first.
GRACE_S = 8.0
SPARED_S = 3.0
TIMEOUT_MS = 12_000


def text_of(request_id):
    """Return the data of a stream's events."""
    events = EVENTS_BY_ID.get(request_id, LATE_EVENTS)
    return [f"{request_id}-{number}" for number in range(events)]


def case(record):
    engines = [
        Engine(f"i-lm-{n}", SERVICE, record, text_of=text_of, event_s=EVENT_S)
        for n in range(2)
    ]
    routes = [
        route(
            "chat",
            "/chat/",
            "streaming",
            SERVICE,
            timeoutMs=TIMEOUT_MS,
            targetLatencyMs=400,
            stickySessions=True,
            resumable=False,
        )
    ]
    deployment = Deployment(
        UsersStore(),
        engines,
        configuration(routes, [engine_service()]),
        {"front-a": "zone-a", "front-b": "zone-b"},
    )
    return deployment, play(record, deployment, engines)


async def stream(record, connection, request_id):
    """Send a request on a connection and return whether its answer is whole."""
    headers = [
        ("Host", HOSTNAME),
        ("Request-Id", request_id),
        ("Deadline-Ms", TIMEOUT_MS),
        ("Model-Name", "m0"),
        ("Token-Count", "271,400"),
        ("Prompt-Prefix", "9c2e41:255,5d07b8:16"),
    ]
    record(f"client: {request_id} is sent")
    try:
        answer = await connection.exchange("POST", f"/chat/{request_id}", headers, b"x")
    except ConnectionError as e:
        record(f"client: the connection of {request_id} is lost: {e!r}")
        answer = None
    if answer is None:
        record(f"client: {request_id}: closed without an answer")
        return None
    events = answer.body.count(b"\n\n")
    text = "whole" if answer.is_whole else "CUT OFF"
    record(f"client: {request_id}: {answer.status}, {events} events, {text}")
    return answer


async def play(record, deployment, engines):
    host, ran_s = deployment.host_by_name["front-a"], {}
    for engine in engines:
        engine.on_run = lambda request_id: ran_s.setdefault(request_id, record.now_s())
    kept = [await http.Connection.open("127.0.0.1", host.port) for _ in range(KEPT)]
    for number, connection in enumerate(kept):
        answer = await stream(record, connection, f"kept-{number}")
        if answer is None or answer.status != 200 or "connection" in answer.headers:
            raise CannotRunError("the connections are not kept")
    first = await http.Connection.open("127.0.0.1", host.port)
    tasks = {"long": asyncio.create_task(stream(record, first, "long"))}
    await asyncio.sleep(-LONG_AT_S)
    stopped_s = record.now_s()
    if trouble():
        record(f"{host.name} is stopped (SIGTERM); SIGKILL follows {GRACE_S} s later")
        host.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(GRACE_S, host.signal, signal.SIGKILL)
    sent_after_s = {"long": LONG_AT_S}
    for number, at_s in enumerate(LATE_AT_S):
        await asyncio.sleep(stopped_s + at_s - record.now_s())
        name = f"late-{number}"
        sent_after_s[name] = at_s
        tasks[name] = asyncio.create_task(stream(record, kept[number], name))
    answers = dict(zip(tasks, await asyncio.gather(*tasks.values()), strict=True))
    broken = []
    for name, answer in answers.items():
        is_whole = answer is not None and answer.is_whole
        if is_whole or name not in ran_s or sent_after_s[name] <= SPARED_S:
            continue
        broken.append(
            f"LOST: {name} was sent {sent_after_s[name]} s after the SIGTERM, was "
            "passed on to a server and cut off"
        )
    return broken


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent)
