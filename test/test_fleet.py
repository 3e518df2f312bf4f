"""Tests of the test fleet: addresses, signals and stops of its processes."""

import json
import shutil
import tempfile
import unittest

from goldcrestmoor import settings
from goldcrestmoor.language import parser
from test import _common, _process, demo
from test.fleet import Fleet, configuration_text, http_get
from test.network import Network

ADDRESS = "127.0.1.1"
FROZEN_TIMEOUT_MS = 300


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, directory)
        port = _common.free_port(ADDRESS)
        arguments = ["http.server", str(port), "--bind", ADDRESS]
        self.process = _process.Process("server", arguments, directory)
        self.addAsyncCleanup(_process.stop_all, [self.process])
        self.url = f"http://{ADDRESS}:{port}/README.md"

    async def answers(self, timeout_ms=5000):
        status, _ = await http_get(self.url, timeout_ms=timeout_ms)
        return status == 200

    async def test_a_process_is_frozen_thawed_and_killed(self):
        await _common.eventually(self.answers)
        self.process.freeze()
        self.assertFalse(await self.answers(FROZEN_TIMEOUT_MS))
        self.assertTrue(self.process.alive())
        self.process.thaw()
        await _common.eventually(self.answers)
        self.process.freeze()
        self.process.kill()
        self.assertLess(await self.process.wait(), 0)
        self.assertIn("GET /README.md", self.process.log())

    async def test_an_early_end_is_told_with_the_log(self):
        process = _process.Process(
            "bad", ["no_such_module"], self.process.log_path.parent
        )
        with self.assertRaisesRegex(AssertionError, "no_such_module"):
            await process.ready_port()


class PlanTest(unittest.IsolatedAsyncioTestCase):
    def make_fleet(self, **kwargs):
        fleet = Fleet(demo.PLAN, **kwargs)
        self.addAsyncCleanup(fleet.close)
        return fleet

    async def test_every_process_has_a_place_of_its_own(self):
        fleet = self.make_fleet()
        places = {(e.address, e.port) for e in fleet.endpoint_by_id.values()}
        self.assertEqual(len(places), 8)
        self.assertEqual(len({e.address for e in fleet.endpoint_by_id.values()}), 8)

    async def test_settings_and_configuration_are_good(self):
        fleet = self.make_fleet()
        for host in fleet.hosts:
            document = fleet.settings_of(host.id)
            document["platform"]["port"] = 8000
            loaded = settings.decode(document)
            self.assertEqual(len(loaded.peers), 3)
        statements = parser.parse(configuration_text(demo.PLAN, fleet)).statements
        self.assertEqual(len(statements), 8)

    async def test_a_cut_zone_keeps_its_own_and_loses_the_rest(self):
        network = Network()
        fleet = self.make_fleet(network=network)
        await fleet.start()
        near, far = fleet.hosts[0], fleet.hosts[-1]

        async def known_by(host):
            _, text = await fleet.ask("SHOW HOSTS", host.id, is_json=True)
            rows = json.loads(text)["rows"]
            return {row[0] for row in rows if row[5] == "alive"}

        async def alone():
            own = {h.id for h in fleet.hosts if h.zone == far.zone}
            return await known_by(far) == own

        async def together():
            return len(await known_by(near)) == len(await known_by(far)) == 4

        await _common.eventually(together)
        network.cut(far.zone)
        await _common.eventually(alone)
        network.mend()
        await _common.eventually(together)
