"""Another writer leaves odd entries among those of the servers.

Deep nesting, numbers without bound and ports out of range raise errors of their own
kinds. One such entry made hosts lose the changes beside it, or their callers get a 500.
"""

import asyncio
import json
import unittest

from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.item_run import ItemRun
from goldcrestmoor.job.job import Item
from goldcrestmoor.platform import callers, records, servers
from goldcrestmoor.platform.store import _Row, _value
from goldcrestmoor.request.event_stream import Event, EventParser
from test import _common
from test._front import FETCH_PATH, JOB_PATH, FrontFleet
from test._request_fakes import ListingHost
from test.standins.users_server import UsersServer

DEPTH = 100_000
# In a field that no decoder knows and all have to skip.
NESTED = b'{"more": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"
ENTRY = {
    "service": "app",
    "address": "127.0.0.1:8080",
    "zone": "zone-a",
    "state": "ready",
    "slots": 4,
    "models": [{"name": "m0", "version": 1}],
}
HUGE = 10**30
LONG_NUMBER = "9" * 5000


def encoded(**fields):
    """Return the bytes of an entry with some fields changed."""
    return json.dumps(ENTRY | fields).encode()


def with_literal(name, literal):
    """Return the bytes of an entry with a field given as JSON text."""
    return encoded()[:-1] + f', "{name}": {literal}}}'.encode()


ODD_ENTRIES = (
    encoded()[:-1] + b", " + NESTED[1:],
    b'{"service": ' * DEPTH,
    *(
        encoded(address=f"{host}:{port}")
        for host, port in (
            ("127.0.0.1", 99999),
            ("127.0.0.1", 0),
            ("127.0.0.1", LONG_NUMBER),
            ("127.0.0.1", "\u00b2"),
            ("127.0.0.1", "\u0663"),
            ("a\0b", 80),
            ("x" * 100, 80),
            ("999.1.1.1", 80),
        )
    ),
    encoded(slots=HUGE),
    encoded(born=HUGE),
    encoded(born=-1),
    encoded(models=[{"name": "m0", "version": HUGE}]),
    with_literal("coldLeftMs", "1e999"),
    with_literal("coldLeftMs", "1e300"),
    with_literal("born", LONG_NUMBER),
)


class DecodeTest(unittest.TestCase):
    def test_an_odd_entry_names_no_server(self):
        self.assertEqual(records.decode_upstream("s", encoded()).port, 8080)
        for value in ODD_ENTRIES:
            with self.subTest(value[:300]), self.assertRaises(ValueError):
                records.decode_upstream("s", value)

    def test_an_id_that_no_header_can_hold_names_no_server(self):
        for key in ("a\nb", "\u00e9", " a"):
            with self.subTest(key), self.assertRaises(ValueError):
                records.decode_upstream(key, encoded())

    def test_other_nested_input_is_malformed_too(self):
        for decode in (records.decode_configuration, records.decode_target_version):
            with self.assertRaises(ValueError):
                decode(NESTED)
        with self.assertRaises(ServiceError) as caught:
            callers.decode_job("j", "h", "/", NESTED)
        self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)

    def test_a_value_that_is_not_base64_is_one_that_cannot_be_read(self):
        with self.assertLogs("goldcrestmoor.store"):
            self.assertEqual(_value(_Row("servers", "s", value="a")), b"")

    def test_odd_numbers_of_servers_state_nothing(self):
        for text in ("\u00b2", LONG_NUMBER):
            headers = [(b"weight-versions", text.encode())]
            self.assertIsNone(servers.weight_version(headers))
            parser = EventParser(servers.EVENT_FIELDS)
            raw = f"weight-versions: {text}\ndata: x\n\n".encode()
            self.assertIsNone(next(parser.feed(raw)).version)
            run = ItemRun(Item("i", "/x", {}, b""), 0)
            self.assertFalse(run.add(Event(text, "x", None, b""), 1))


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_nested_report_is_a_failed_one(self):
        """It would end the loop that orders engines to load weights."""
        server = UsersServer("s0", "pool", {"m0": 1})

        async def report(request):
            response = await UsersServer._answer(server, request)
            response.body = NESTED
            return response

        server._answer = report
        await server.start()
        self.addAsyncCleanup(server.close)
        host = ListingHost(Clock())
        self.addAsyncCleanup(host.close)
        host.list_server(server)
        engines = servers.EngineControlClient(
            http=host.sending["http"], directory=host.directory, limits=host.limits
        )
        with self.assertRaises(ServiceError) as caught:
            await engines.report(host.directory.upstream_by_name["s0"])
        self.assertEqual(caught.exception.kind, ErrorKind.UPSTREAM_FAILED)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_serves_and_follows_the_list_beside_odd_entries(self):
        fleet = FrontFleet()
        self.addAsyncCleanup(fleet.close)
        await fleet.start(names=("front-a",))

        async def fetch(request_id):
            answer = await fleet.ask("front-a", "POST", FETCH_PATH, b"x", request_id)
            return answer.status

        async def is_served():
            return await fetch("probe") == 200

        await _common.eventually(is_served)
        for number, value in enumerate(ODD_ENTRIES):
            fleet.store.put("servers", f"odd-{number}", value)
        new = UsersServer("app-new", "app")
        await new.start()
        fleet.apps.append(new)
        statuses = []

        async def reaches_new():
            # Several at a time, so that each server gets some.
            ids = [f"r{len(statuses)}-{n}" for n in range(8)]
            statuses.extend(await asyncio.gather(*map(fetch, ids)))
            return new.runs

        for app in fleet.apps[:2]:
            app.delay_s = 0.05
        await _common.eventually(reaches_new)
        self.assertEqual(set(statuses), {200})
        answer = await fleet.ask("front-a", "POST", JOB_PATH, NESTED, "j1")
        self.assertEqual(answer.status, 400)
        self.assertNotIn("failed and will be restarted", fleet.log_of("front-a"))


if __name__ == "__main__":
    unittest.main()
