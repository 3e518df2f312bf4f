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
    "limits": {"cores": 3, "cpuShare": 0.717, "memoryMb": 200},
    "contracts": ["pressure"],
    "bounds": {"leaseMs": 3000, "statusS": 120},
}


# The fields that only some deployments have.
OPTIONAL_FIELDS = {
    "cloud": {
        "address": "10.200.0.199:8608",
        "dutyPerS": 50.0,
        "duties": ["usage_report", "autoscale"],
    },
    "bounds": {
        **FIELDS["bounds"],
        "windowS": 5,
        "usageLateS": 10,
        "strictRevoke": False,
        "revokeMs": 5000,
    },
}


def fill(template, fields):
    """Replace each placeholder by its field as JSON, and drop sections without one."""

    def value_of(path):
        found = fields
        for name in path.split("."):
            found = found.get(name) if found else None
        return found

    def section(match):
        return match[2] if value_of(match[1]) else ""

    kept = re.sub(r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value_of(m[1])), kept)


class FrontSettingsTest(unittest.TestCase):
    def document(self, **fields):
        return json.loads(fill(TEMPLATE.read_text(), FIELDS | fields))

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
        self.assertEqual(loaded.host.memory_mb, 200)
        self.assertEqual(loaded.host.contracts, ["pressure"])
        self.assertEqual((loaded.orders.turn_ms, loaded.jobs.kept_s), (3000, 120))

    def test_a_platform_without_an_api_leaves_its_sections_out(self):
        loaded = front_settings.decode(self.document())
        self.assertEqual((loaded.api, loaded.usage, loaded.accounts), (None,) * 3)

    def test_a_host_starts_whatever_is_stated_of_its_memory(self):
        """A daemon that rejects its settings serves nobody."""
        for limits, contracts in (
            (FIELDS["limits"] | {"memoryMb": None}, None),
            (FIELDS["limits"] | {"memoryMb": 0}, []),
            (FIELDS["limits"] | {"memoryMb": 552.5}, ["unknown"]),
        ):
            document = self.document(limits=limits, contracts=contracts)
            loaded = front_settings.decode(document)
            self.assertEqual(loaded.host.memory_mb, limits["memoryMb"])
        del document["host"]["memory_mb"], document["host"]["contracts"]
        self.assertEqual(front_settings.decode(document).host.contracts, [])

    def test_the_sections_of_the_platforms_api_are_filled(self):
        loaded = front_settings.decode(self.document(**OPTIONAL_FIELDS))
        self.assertEqual((loaded.api.address, loaded.api.port), ("10.200.0.199", 8608))
        self.assertEqual(loaded.api.duties, ["usage_report", "autoscale"])
        self.assertEqual((loaded.usage.window_s, loaded.usage.due_s), (5, 10))
        self.assertFalse(loaded.accounts.strict_revocation)

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
