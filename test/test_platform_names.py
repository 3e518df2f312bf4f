"""The names of the platform's protocols occur only in the platform package."""

import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "goldcrestmoor"
FOLDER = PACKAGE / "platform"
# Names in the platform's protocols that differ from the names used in this project.
HEADERS = """
    Server-Stamp Expect-Instance Deadline-Ms Not-Run Weight-Versions Instance-Id
    Wait-Ms Length-Hint Model-Name Token-Count Prompt-Prefix Kv-From Server-Limit
    Server-Leaving X-Api-Key Tenant-Id Duty-Holder Fence-Token
"""
NAMES = """
    rows-tx rows-get rows-feed rows-parts blob-put blob-get blob-drop blob-list
    setKeys nowMs hasMore waitMs pathPrefix routeType targetLatencyMs timeoutMs
    runAimMs keepS singleVersion minVersion targetGroups stickySessions maxConns
    coldLeftMs op/config op/version /readiness /lots /items/ /report /order
    heartbeatMs leaseMs statusS machineClass tenants apiKeys windowId bootS spotPrice
    zonePrices usage_report autoscale dutyPerS strictRevoke /scaling
"""


def _pattern(names, flags=0):
    each = "|".join(re.escape(name) for name in names.split())
    return re.compile(rf"(?<![\w/-])(?:{each})(?![\w-])", flags)


PATTERNS = (_pattern(HEADERS, re.IGNORECASE), _pattern(NAMES))


class PlatformNamesTest(unittest.TestCase):
    def found_in(self, paths):
        return [
            f"{path.relative_to(PACKAGE)}:{number}: {match[0]}"
            for path in paths
            for number, line in enumerate(path.read_text().splitlines(), 1)
            for pattern in PATTERNS
            for match in pattern.finditer(line)
        ]

    def test_no_module_outside_the_package_uses_them(self):
        paths = [p for p in PACKAGE.rglob("*.py") if FOLDER not in p.parents]
        self.assertGreater(len(paths), 100)
        self.assertEqual(self.found_in(paths), [])

    def test_the_package_uses_them(self):
        self.assertTrue(self.found_in(FOLDER.glob("*.py")))

    def test_only_the_front_daemon_imports_the_package(self):
        importing = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if FOLDER not in path.parents
            and re.search(r"goldcrestmoor\.platform\b", path.read_text())
        ]
        self.assertEqual(importing, ["process/front.py"])


if __name__ == "__main__":
    unittest.main()
