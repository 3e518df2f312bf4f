"""Run every test; pass over those that KNOWN-RED.txt names, and print them."""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_known_red():
    """Return the listed tests' lines by dotted name."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def main():
    """Run the tests that the arguments name, or all."""
    names = sys.argv[1:]
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover("test", top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    known = read_known_red()
    failing = {test.id(): text for test, text in result.failures + result.errors}
    failing |= {test.id(): "unexpected success" for test in result.unexpectedSuccesses}
    for name, entry in known.items():
        state = "red" if name in failing else "green or not run"
        print(f"known red ({state}): {entry}")
    unlisted = [name for name in failing if name not in known]
    passed = result.testsRun - len(failing) - len(result.skipped)
    print(f"{passed} passed, {len(unlisted)} failed, {len(result.skipped)} skipped")
    sys.exit(1 if unlisted or not result.testsRun else 0)


if __name__ == "__main__":
    main()
