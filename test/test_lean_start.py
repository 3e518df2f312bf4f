"""What a daemon on the users' platform must not import.

Hundreds of hosts with half a core start together after a kill; each import that they do
not need delays the first read of the store on all of them.
"""

import subprocess
import sys
import unittest

NOT_IMPORTED = frozenset(
    (
        "goldcrestmoor.client",
        "goldcrestmoor.language",
        "goldcrestmoor.load",
        "goldcrestmoor.process.daemon",
        "goldcrestmoor.process.membership",
        "goldcrestmoor.version.steps",
        "hdrh",
        "lark",
        "opentelemetry.propagate",
        "opentelemetry.sdk",
        "pydantic",
        "tabulate",
        "zmq",
    )
)


class LeanStartTest(unittest.TestCase):
    def test_the_front_command_imports_only_what_it_uses(self):
        code = (
            "import sys; from goldcrestmoor.commands import load_command; "
            "load_command('front'); print(*sys.modules)"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        imported = set(done.stdout.split())
        self.assertIn("goldcrestmoor.process.front", imported)
        self.assertEqual(sorted(imported & NOT_IMPORTED), [])


if __name__ == "__main__":
    unittest.main()
