"""A host that the store turns away mixes the events of two software versions."""

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

HOSTS = 8
STREAMS = 48
EVENTS, EVENT_S = 100, 0.1
TIMEOUT_MS = 12_000
# All hosts have run for longer than any stream before anything happens.
CALM_S = 62
# From the moment when the store begins to turn the host away; the site's figures are
# 9 s and 0.33 of the machines. Calls that wait for changes end within half a second.
TURNED_AWAY_S = 9.0
STOP_AT_S, RELEASE_AT_S, STREAMS_AT_S, RESUME_AT_S = 0.2, 0.6, 1.1, 8.4
# SIGKILL follows SIGTERM after this time.
GRACE_S = 8.0
# More streams than this break the rule.
SPARED = 2


class GatedStore(UsersStore):
    """The platform's store, with an address of its own for each host."""

    def __init__(self, names):
        super().__init__()
        self._names = names
        self.port_by_host = {}

    async def start(self):
        """Start listening on all addresses."""
        await super().start()
        for name in self._names:
            self.port_by_host[name] = await self.gate(name)


class Stream:
    """What a client has of one stream over its attempts."""

    def __init__(self, number):
        self.id = f"9c41d07be2a3{number:04x}"
        self.last_id = ""
        self.data = []
        self.is_whole = False

    @property
    def versions(self):
        """The software versions that wrote its events, in order."""
        return list(dict.fromkeys(data.partition(" ")[0] for data in self.data))


def case(record):
    names = [f"front-{n}" for n in range(HOSTS)]
    engines = [
        engine(record, n, version)
        for n, version in enumerate(("v1", "v1", "v1", "v1", "v2"))
    ]
    for new in engines[4:]:
        new.is_listed = False
    routes = [
        route(
            "chat",
            "/chat/",
            "streaming",
            SERVICE,
            timeoutMs=TIMEOUT_MS,
            targetLatencyMs=400,
            stickySessions=True,
            resumable=True,
        )
    ]
    deployment = Deployment(
        GatedStore(names),
        engines,
        configuration(routes, [engine_service()]),
        {name: f"zone-{'abc'[n % 3]}" for n, name in enumerate(names)},
    )
    return deployment, play(record, deployment, engines)


def engine(record, number, version):
    """Return a model server whose events show the version of its software."""
    return Engine(
        f"i-lm-{number}",
        SERVICE,
        record,
        text_of=lambda request_id: [f"{version} {n}" for n in range(EVENTS)],
        event_s=EVENT_S,
        software_version=version,
    )


async def read_stream(host, stream, attempt_id, headers=()):
    """Begin a stream at a host, or take it up, and collect its events."""
    try:
        connection = await http.Connection.open("127.0.0.1", host.port)
    except OSError:
        return None
    pairs = [
        ("Host", HOSTNAME),
        ("Request-Id", attempt_id),
        ("Deadline-Ms", TIMEOUT_MS),
        ("Model-Name", "m0"),
        ("Token-Count", "271,400"),
        ("Prompt-Prefix", "9c2e41:255,5d07b8:16"),
        *headers,
    ]
    connection.send("POST", f"/chat/{stream.id}", pairs, b"x")
    answer = await http.read_head(connection.reader)
    if answer is None:
        return None
    received = b""
    async for chunk in http.body_chunks(connection.reader, answer.headers):
        if chunk is None:
            stream.is_whole = answer.status == 200
            break
        received += chunk
        *events, received = received.split(b"\n\n")
        for event in events if answer.status == 200 else ():
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            stream.last_id = fields["id"]
            stream.data.append(fields["data"])
    connection.close()
    return answer.status


async def play(record, deployment, engines):
    store, hosts = deployment.store, deployment.host_by_name
    turned_away, first = "front-0", "front-3"
    await asyncio.sleep(CALM_S)
    began_s = record.now_s()

    async def at(offset_s):
        await asyncio.sleep(max(0, began_s + offset_s - record.now_s()))

    if trouble():
        record(f"the store turns {turned_away} away (503) for {TURNED_AWAY_S} s")
        store.turned_away.add(turned_away)
        asyncio.get_running_loop().call_later(
            TURNED_AWAY_S, store.turned_away.discard, turned_away
        )
    await at(STOP_AT_S)
    record(f"planned: {first} is stopped (SIGTERM); SIGKILL follows {GRACE_S} s later")
    hosts[first].signal(signal.SIGTERM)
    asyncio.get_running_loop().call_later(GRACE_S, hosts[first].signal, signal.SIGKILL)
    await at(RELEASE_AT_S)
    record("planned: a server of software version v2 is added")
    for new in engines[4:]:
        new.is_listed = True
        store.put("servers", new.name, new.entry())
    await at(STREAMS_AT_S)
    streams = [Stream(n) for n in range(STREAMS)]
    record(f"client: {STREAMS} streams begin at {first}, still in rotation")
    reading = [
        asyncio.create_task(read_stream(hosts[first], stream, stream.id))
        for stream in streams
    ]
    await asyncio.gather(*reading)
    for stream in streams:
        record(f"client: {stream.id} broke off after {len(stream.data)} events")
    begun = [s for s in streams if s.data]
    if sum(s.versions == ["v2"] for s in begun) <= SPARED:
        raise CannotRunError("too few streams began at version v2")
    await at(RESUME_AT_S)
    record(f"client: {len(begun)} streams are taken up at {turned_away}")

    async def take_up(number, stream):
        headers = [("Last-Event-Id", stream.last_id), ("Resumes", stream.id)]
        attempt_id = f"9c41d07be2a4{number:04x}"
        return await read_stream(hosts[turned_away], stream, attempt_id, headers)

    statuses = await asyncio.gather(*(take_up(n, s) for n, s in enumerate(begun)))
    mixed = 0
    for stream, status in zip(begun, statuses, strict=True):
        text = "whole" if stream.is_whole else "not whole"
        record(
            f"client: {stream.id} answered {status}: {len(stream.data)} events, "
            f"{text}, written by {stream.versions}"
        )
        mixed += len(stream.versions) > 1
    if mixed > SPARED:
        return [f"ORDER: {mixed} streams hold events of two software versions"]
    return []


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).parent)
