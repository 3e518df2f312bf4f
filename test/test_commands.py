"""The command line, run as a subprocess."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

import goldcrestmoor
from goldcrestmoor import util
from goldcrestmoor.commands import COMMAND_NAMES
from test import _common

TIMEOUT_S = 60


def run(*arguments):
    """Run the command line and return its exit code, standard output and error."""
    done = subprocess.run(
        [sys.executable, "-m", "goldcrestmoor", *arguments],
        cwd=pathlib.Path(__file__).resolve().parent.parent,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


class CommandsTest(unittest.TestCase):
    def write(self, document):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "host.json"
        path.write_text(json.dumps(document))
        return str(path)

    def test_version_is_printed(self):
        code, output, _ = run("--version")
        self.assertEqual((code, output.split()[1]), (0, goldcrestmoor.__version__))

    def test_help_names_every_command(self):
        code, output, error = run("--help")
        self.assertEqual(code, 0)
        for name in COMMAND_NAMES:
            self.assertIn(name, output + error)

    def test_valid_settings_are_accepted(self):
        code, output, _ = run("check", self.write(_common.settings_document()))
        self.assertEqual(code, 0)
        self.assertIn("host-a1", output)

    def test_bad_settings_end_check_and_serve_with_2_and_no_traceback(self):
        document = _common.settings_document(limits={"max_body_bytes": "many"})
        document["host"]["zone"] = "No Zone"
        for command in ("check", "serve"):
            code, _, error = run(command, self.write(document))
            self.assertEqual(code, 2)
            self.assertIn("limits.max_body_bytes", error)
            self.assertIn("host.zone", error)
            self.assertNotIn("Traceback", error)

    def test_generated_keys_are_valid_in_settings(self):
        code, output, _ = run("keygen")
        made = json.loads(output)
        document = _common.settings_document() | {"security": made["security"]}
        self.assertEqual(code, 0)
        self.assertEqual(run("check", self.write(document))[0], 0)
        token_hash = made["security"]["operator_token_hash"]
        self.assertEqual(util.hash_token(made["operator_token"]), token_hash)

    def test_asking_an_unreachable_host_reports_an_error(self):
        url = f"http://127.0.0.1:{_common.free_port()}"
        code, _, error = run("ask", "SHOW HOSTS", "--url", url, "--token", "x")
        self.assertNotEqual(code, 0)
        self.assertIn("goldcrestmoor:", error)
        self.assertNotIn("Traceback", error)

    def test_an_invalid_trace_is_rejected(self):
        path = self.write({"no": "trace"})
        code, _, error = run("replay", path, "--fleet", path)
        self.assertEqual(code, 2)
        self.assertIn("line 1", error)
