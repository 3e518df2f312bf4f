"""The clients of the platform, tested with a fake platform and injected faults."""

import asyncio
import json
import sys
import unittest

from goldcrestmoor.adapters.hosts import HostListClient, ListedHost
from goldcrestmoor.adapters.objects import ObjectClient
from goldcrestmoor.adapters.table import (
    Check,
    CheckFailed,
    Committed,
    Row,
    TableClient,
    Write,
)
from goldcrestmoor.adapters.weights import WeightStoreClient
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ErrorKind, ServiceError
from test import _common
from test.standins.platform import PlatformServers
from test.standins.server import Response, Server

ADDRESS = "127.0.0.1"


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.settings = _common.make_settings()
        self.settings.platform.timeout_ms = 30_000
        self.control_port = _common.free_port()
        self.http = HttpClient(clock=Clock(), limits=self.settings.limits)
        self.addAsyncCleanup(self.http.close)

    async def start(self, **options):
        options |= {
            "address": ADDRESS,
            "port": self.settings.platform.port,
            "control_port": self.control_port,
        }
        servers = PlatformServers(options)
        await servers.start()
        self.addAsyncCleanup(servers.close)

    async def control(self, name, **body):
        response = await self.http.request(
            ADDRESS,
            self.control_port,
            "POST" if body else "GET",
            f"/control/{name}",
            body=json.dumps(body).encode() if body else b"",
        )
        self.assertEqual(response.status, 200)
        return json.loads(response.body)

    def make(self, client_class):
        return client_class(
            clock=Clock(), http=self.http, settings=self.settings.platform
        )

    async def error_kind(self, coroutine):
        with self.assertRaises(ServiceError) as caught:
            await coroutine
        return caught.exception.kind


class TableTest(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.table = self.make(TableClient)

    async def put(self, key, value, version):
        return await self.table.transact(
            [Check("t", key, version)], [Write("t", key, value)]
        )

    async def test_rows_are_stored_and_versions_increase_by_one(self):
        await self.start()
        key = "a/b ?#ő"
        self.assertIsNone(await self.table.get("t", key))
        self.assertEqual(await self.put(key, b"\x00", 0), Committed({f"t/{key}": 1}))
        self.assertEqual(await self.put(key, b"\xff", 1), Committed({f"t/{key}": 2}))
        self.assertEqual(await self.table.get("t", key), Row(key, 2, b"\xff"))
        await self.put("b", b"2", 0)
        await self.put("ba", b"3", 0)
        keys = [row.key for row in await self.table.scan("t", "b")]
        self.assertEqual(keys, ["b", "ba"])
        self.assertEqual(len(await self.table.scan("t", "")), 3)

    async def test_a_failed_check_writes_nothing(self):
        await self.start()
        await self.put("a", b"1", 0)
        answer = await self.table.transact(
            [Check("t", "a", 7)], [Write("t", "a", b"2"), Write("t", "b", b"2")]
        )
        self.assertEqual(answer, CheckFailed(Row("a", 1, b"1"), "t", "a"))
        self.assertIsNone(await self.table.get("t", "b"))
        answer = await self.put("b", b"2", 3)
        self.assertEqual(answer, CheckFailed(None, "t", "b"))

    async def test_a_recreated_row_gets_a_new_version(self):
        await self.start()
        await self.put("a", b"1", 0)
        await self.put("a", None, 1)
        self.assertIsNone(await self.table.get("t", "a"))
        self.assertEqual(await self.put("a", b"1", 0), Committed({"t/a": 3}))

    async def test_a_lost_response_is_an_unknown_outcome_and_written_once(self):
        await self.start()
        await self.control("lose_answers", count=1)
        kind = await self.error_kind(self.put("a", b"1", 0))
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(await self.table.get("t", "a"), Row("a", 1, b"1"))
        self.assertEqual((await self.control("stats"))["writes"], 1)

    async def test_a_refused_connection_means_not_written(self):
        await self.start()
        await self.put("a", b"1", 0)
        await self.control("outage", on=True, mode="refuse")
        kind = await self.error_kind(self.put("a", b"2", 1))
        self.assertEqual(kind, ErrorKind.PLATFORM_UNAVAILABLE)
        kind = await self.error_kind(self.table.get("t", "a"))
        self.assertEqual(kind, ErrorKind.PLATFORM_UNAVAILABLE)
        await self.control("outage", on=False)
        self.assertEqual((await self.table.get("t", "a")).version, 1)

    async def test_a_timeout_is_an_unknown_outcome_for_writes_only(self):
        await self.start()
        await self.control("outage", on=True, mode="hang")
        self.settings.platform.timeout_ms = 600
        kind = await self.error_kind(self.put("a", b"1", 0))
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        kind = await self.error_kind(self.table.scan("t", ""))
        self.assertEqual(kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_only_an_explicit_response_means_not_written(self):
        answers = [
            (Response(503, b'{"written": false}'), ErrorKind.PLATFORM_UNAVAILABLE),
            (Response(503, b'{"written": true}'), ErrorKind.OUTCOME_UNKNOWN),
            (Response(503), ErrorKind.OUTCOME_UNKNOWN),
            (Response(429), ErrorKind.PLATFORM_UNAVAILABLE),
            (Response(500), ErrorKind.OUTCOME_UNKNOWN),
            (Response(200, b"{"), ErrorKind.OUTCOME_UNKNOWN),
            (Response(409, b"[]"), ErrorKind.OUTCOME_UNKNOWN),
        ]
        current = None

        async def handler(request):
            return current

        server = Server(handler, ADDRESS, self.settings.platform.port)
        await server.start()
        self.addAsyncCleanup(server.close)
        for current, kind in answers:  # noqa: B007 (the handler reads it)
            with self.subTest(status=current.status, body=current.body):
                self.assertEqual(await self.error_kind(self.put("a", b"1", 0)), kind)
        self.assertEqual(
            await self.error_kind(self.table.get("t", "a")),
            ErrorKind.PLATFORM_UNAVAILABLE,
        )


class OtherServicesTest(PlatformTestCase):
    async def test_objects_are_stored(self):
        await self.start()
        objects = self.make(ObjectClient)
        self.assertIsNone(await objects.get("a/b"))
        await objects.put("a/b", b"\x00\xff")
        self.assertEqual(await objects.get("a/b"), b"\x00\xff")
        await self.control("lose_answers", count=1)
        kind = await self.error_kind(objects.put("c", b"1"))
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(await objects.get("c"), b"1")

    async def test_the_host_list_is_decoded_and_lags(self):
        entry = {
            "id": "lm-1",
            "kind": "upstream",
            "zone": "zone-a",
            "address": ADDRESS,
            "http_port": 8000,
            "peer_port": 0,
            "state": "live",
        }
        await self.start(hosts=[entry], host_lag_ms=100)
        hosts = self.make(HostListClient)
        self.assertEqual(await hosts.fetch(), [ListedHost(**entry)])
        await self.control("hosts", hosts=[entry | {"state": "leaving"}])

        async def is_leaving():
            return (await hosts.fetch())[0].state == "leaving"

        await _common.eventually(is_leaving)

    async def test_an_unchanged_host_list_is_not_sent_again(self):
        await self.check_host_list(has_tags=True)

    async def test_a_platform_without_tags_sends_the_whole_host_list(self):
        await self.check_host_list(has_tags=False)

    async def check_host_list(self, has_tags):
        await self.start(hosts=[], has_tags=has_tags)
        hosts = self.make(HostListClient)
        first = await hosts.fetch()
        self.assertEqual(await hosts.fetch() is first, has_tags)
        entry = {"id": "a", "kind": "host", "zone": "z", "address": ADDRESS}
        entry |= {"http_port": 1, "peer_port": 2, "state": "live"}
        await self.control("hosts", hosts=[entry])
        self.assertEqual([host.id for host in await hosts.fetch()], ["a"])

    async def test_the_weight_store_is_not_called_before_retry_after(self):
        await self.start(weights={"m": [1]}, weight_reads_per_s=2)
        weights = self.make(WeightStoreClient)
        self.assertTrue(await weights.exists("m", 1))
        self.assertFalse(await weights.exists("m", 2))
        for _ in range(5):
            with self.assertRaises(ServiceError) as caught:
                await weights.exists("m", 1)
            self.assertEqual(caught.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)
            self.assertGreater(caught.exception.retry_after_ms, 0)
        stats = await self.control("stats")
        self.assertEqual(stats["weight_refusals"], 1)


class ProcessTest(PlatformTestCase):
    async def test_the_stand_in_runs_as_a_process(self):
        options = {"address": ADDRESS, "port": self.settings.platform.port}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "test.standins.platform",
            json.dumps(options),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(_common.EVENT_TIMEOUT_S):
                line = await process.stdout.readline()
            self.assertEqual(line.split()[0], b"ready")
            table = self.make(TableClient)
            answer = await table.transact([], [Write("t", "a", b"1")])
            self.assertEqual(answer, Committed({"t/a": 1}))
        finally:
            process.kill()
            await process.wait()
