"""The fault proxy injects the requested faults, also as a process."""

import asyncio
import json
import sys
import unittest

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ErrorKind, ServiceError
from test import _common
from test.standins.server import Response, Server

ADDRESS = "127.0.0.1"
SHORT_MS = 600


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        limits = _common.make_settings().limits
        self.http = HttpClient(clock=Clock(), limits=limits)
        self.addAsyncCleanup(self.http.close)
        self.runs = 0
        server = Server(self.handle, ADDRESS, 0)
        await server.start()
        self.addAsyncCleanup(server.close)
        self.port, self.control_port = _common.free_port(), _common.free_port()
        link = {"name": "app", "port": self.port}
        link |= {"target_address": ADDRESS, "target_port": server.port}
        options = {"address": ADDRESS, "control_port": self.control_port}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "test.fault_proxy",
            json.dumps(options | {"links": [link]}),
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.stop)
        async with asyncio.timeout(_common.EVENT_TIMEOUT_S):
            await self.process.stdout.readline()

    async def stop(self):
        self.process.kill()
        await self.process.wait()

    async def handle(self, request):
        self.runs += 1
        return Response(200, b"0123456789")

    async def control(self, fault, **arguments):
        response = await self.http.request(
            ADDRESS,
            self.control_port,
            "POST",
            f"/links/app/{fault}",
            body=json.dumps(arguments).encode(),
        )
        self.assertEqual(response.status, 200)

    async def get(self, **options):
        """Return the response body, or the kind of the error."""
        try:
            response = await self.http.request(
                ADDRESS, self.port, "GET", "/", idempotent=True, **options
            )
        except ServiceError as e:
            return e.kind
        return response.body

    async def test_faults_come_and_go(self):
        self.assertEqual(await self.get(), b"0123456789")
        await self.control("silence_old")
        self.assertEqual(
            await self.get(head_timeout_ms=SHORT_MS), ErrorKind.UPSTREAM_TIMEOUT
        )
        self.assertEqual((await self.get(), self.runs), (b"0123456789", 2))
        await self.control("silence", direction="down")
        self.assertEqual(
            await self.get(head_timeout_ms=SHORT_MS), ErrorKind.UPSTREAM_TIMEOUT
        )
        self.assertEqual(self.runs, 3)
        await self.control("heal")
        await self.control("cut_after", n=20)
        self.assertEqual(await self.get(), ErrorKind.UPSTREAM_FAILED)
        await self.control("refuse")
        self.assertEqual(await self.get(), ErrorKind.UPSTREAM_UNREACHABLE)
        self.assertEqual(self.runs, 4)
        await self.control("heal")
        await self.control("delay", ms=20)
        self.assertEqual(await self.get(), b"0123456789")
