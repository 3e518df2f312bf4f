"""The operator adds a route below that of an open batch job."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib_2 import deployment
from review.lib_2.deployment import HAS_TROUBLE, HOST, MODELS
from test.standins.users_server import UsersServer

ZONES = ("szeged-a", "szeged-b", "hodmezo")
GROUPS, PER_GROUP = 26, 4
READ_S = 0.5
# More than the step takes; an item may be given up 40 s after the submission.
WATCH_S = 25.0
ADDED = {
    "name": "r-k2m44aa",
    "hostname": HOST,
    "pathPrefix": "/pufi791/7/",
    "routeType": "safe",
    "timeoutMs": 2000,
    "targetLatencyMs": 191,
    "priority": 2,
    "service": "wuno96b",
    "attempts": 2,
}


async def case(platform, record):
    engines = [
        UsersServer(f"i-lm{number}", "huvo11a", dict.fromkeys(MODELS, 1), events=13)
        for number in range(6)
    ]
    for engine in engines:
        engine.event_ms = 60
    apps = [UsersServer(f"i-app{number}", "wuno96b") for number in range(3)]
    config = deployment.configuration()
    await platform.start(config, engines + apps, ZONES)
    submitter, reader = platform.daemons[0], platform.daemons[1]
    body = deployment.submission("job0", GROUPS, PER_GROUP)
    status = await deployment.submit(submitter, "job0", body)
    record.line(f"{submitter.name} batch job job0: {status}")
    await asyncio.sleep(0.5)
    if HAS_TROUBLE:
        changed = deployment.configuration(version=9)
        changed["routes"].append(ADDED)
        platform.store.put("op", "config", changed)
        record.line(f"configuration 9 adds a route of {ADDED['pathPrefix']}")
    results, waited_s = [], 0.0
    while len(results) < GROUPS * PER_GROUP and waited_s < WATCH_S:
        page = await deployment.read(reader, "job0", len(results))
        if page.status == 200:
            results += page.json()["results"]
        await asyncio.sleep(READ_S)
        waited_s += READ_S
    ended = [result["id"] for result in results if result["state"] == "terminated"]
    record.line(f"listed: {len(results)}, terminated: {len(ended)} {ended}")
    for server in engines + apps:
        record.line(f"{server.name} ran {len(server.runs)} requests")
    never = [item for item in ended if not any(item in e.runs for e in engines)]
    record.line(
        f"items of these that reached no server: {len(never)}; no server answered 422 "
        f"or 500; the batch job isn't ended, its route is there"
    )
    if len(results) < GROUPS * PER_GROUP and not ended:
        raise RuntimeError("the step is not complete")
    return not ended


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(asyncio.run(deployment.run(case, folder)))
