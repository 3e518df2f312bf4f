"""A host shuts down in steps, and reports its readiness to the load balancer."""

import asyncio
import unittest
from types import SimpleNamespace

from blacksheep import Application
from blacksheep.testing import TestClient

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process import health
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.shutdown import InFlight, Shutdown
from test import _common
from test._fleet import ManualClock


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.settings = _common.make_settings().shutdown
        self.in_flight = InFlight()
        self.steps = []
        self.shutdown = Shutdown(
            clock=self.clock,
            settings=self.settings,
            in_flight=self.in_flight,
            membership=SimpleNamespace(leave=self.leave),
        )
        self.shutdown.on_hand_over(self.fail_to_hand_over)
        self.shutdown.on_hand_over(self.hand_over)

    async def leave(self):
        self.steps.append("leave")

    async def fail_to_hand_over(self):
        raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)

    async def hand_over(self):
        self.steps.append("hand over")

    async def run_steps(self):
        with self.assertLogs("goldcrestmoor.shutdown"):
            await self.shutdown.run()

    async def test_requests_in_flight_finish_and_new_ones_are_rejected(self):
        running = asyncio.ensure_future(self.run_steps())
        with self.in_flight.track():
            await self.clock.advance(self.settings.unready_ms // 2)
            self.assertFalse(self.shutdown.ready())
            # The load balancer has not noticed yet, so requests are still served.
            with self.in_flight.track():
                self.assertEqual(self.steps, [])
            await self.clock.advance(self.settings.unready_ms)
            self.assertEqual(self.steps, ["leave"])
            with (
                self.assertRaises(ServiceError) as caught,
                self.in_flight.track(),
            ):
                pass
            self.assertEqual(caught.exception.kind, ErrorKind.DRAINING)
            await self.clock.advance(self.settings.drain_ms // 2)
            self.assertEqual(self.steps, ["leave"])
        await self.clock.advance(self.settings.unready_ms, running.done)
        await running
        self.assertEqual(self.steps, ["leave", "hand over"])

    async def test_a_request_that_never_ends_does_not_block_the_shutdown(self):
        running = asyncio.ensure_future(self.run_steps())
        with self.in_flight.track():
            await self.clock.advance(2 * self.settings.drain_ms, running.done)
            self.assertTrue(running.done())
        await running

    async def test_readiness_is_reported_to_the_balancer(self):
        version = [0]
        app = Application()
        health.register_routes(
            app,
            metrics=Metrics(),
            shutdown=self.shutdown,
            configuration=lambda: SimpleNamespace(version=version[0]),
        )
        await app.start()
        client = TestClient(app)
        self.assertEqual((await client.get("/healthz")).status, 200)
        self.assertEqual((await client.get("/readyz")).status, 503)
        version[0] = 1
        self.assertEqual((await client.get("/readyz")).status, 200)
        text = await (await client.get("/metrics")).text()
        self.assertIn("goldcrestmoor_live_hosts", text)
        running = asyncio.ensure_future(self.run_steps())
        await self.clock.advance(1)
        response = await client.get("/readyz")
        self.assertEqual(response.status, 503)
        self.assertIn("shutting down", await response.text())
        await self.clock.advance(2 * self.settings.drain_ms, running.done)
        await running
