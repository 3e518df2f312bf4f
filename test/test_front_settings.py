"""Settings of the daemon on the users' platform, and their template."""

import json
import pathlib
import re
import tempfile
import unittest

from goldcrestmoor import front_settings
from goldcrestmoor.errors import UserError
from test.test_commands import run

TEMPLATE = (
    pathlib.Path(front_settings.__file__).parent / "platform/settings.json.template"
)
# The fields of a host that the template uses.
FIELDS = {
    "node": "front-a-1",
    "zone": "a",
    "region": "r",
    "listen": {"front": "10.1.0.10:8263", "ready": "10.1.0.10:8268"},
    "provider": {"address": "10.200.1.7:8266"},
    "limits": {"cores": 3, "cpuShare": 0.717},
    "bounds": {"leaseMs": 3000, "statusS": 120},
}


def fill(template, fields):
    """Replace each placeholder by its field as JSON."""

    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found)

    return re.sub(r"\{\{([\w.]+)\|json\}\}", value, template)


class FrontSettingsTest(unittest.TestCase):
    def document(self):
        return json.loads(fill(TEMPLATE.read_text(), FIELDS))

    def write(self, document):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "front.json"
        path.write_text(json.dumps(document))
        return str(path)

    def test_the_filled_template_gives_good_settings(self):
        loaded = front_settings.decode(self.document())
        self.assertEqual(loaded.host.address, "10.1.0.10")
        self.assertEqual(
            (loaded.host.http_port, loaded.host.readiness_port), (8263, 8268)
        )
        self.assertEqual(
            (loaded.store.address, loaded.store.port), ("10.200.1.7", 8266)
        )
        self.assertEqual((loaded.host.cores, loaded.host.core_share), (3, 0.717))
        self.assertEqual((loaded.orders.turn_ms, loaded.jobs.kept_s), (3000, 120))

    def test_every_fault_is_named_with_its_path(self):
        document = self.document()
        document["host"]["callers"] = "nowhere"
        document["store"]["patience"] = 7
        with self.assertRaises(UserError) as caught:
            front_settings.decode(document)
        text = str(caught.exception)
        self.assertIn("host.callers", text)
        self.assertIn("store.patience", text)

    def test_the_command_line_checks_them(self):
        code, output, _ = run("check", self.write(self.document()), "--front")
        self.assertEqual(code, 0)
        self.assertIn("front-a-1", output)
        code, _, error = run("check", self.write({"host": {}}), "--front")
        self.assertEqual(code, 2)
        self.assertIn("host.id", error)

    def test_a_daemon_without_settings_names_the_variable(self):
        code, _, error = run("front")
        self.assertEqual(code, 2)
        self.assertIn("GOLDCRESTMOOR_SETTINGS", error)


if __name__ == "__main__":
    unittest.main()
