"""Test runner; failures listed in KNOWN-RED.txt are printed but do not fail the run.

Modules run in parallel, each in a separate process with a separate port range.
"""

import concurrent.futures
import itertools
import os
import pathlib
import re
import subprocess
import sys
import unittest

from test._common import PORTS_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Half of a small machine: the proofs check time bounds, which they miss when more
# modules run in parallel.
WORKERS = 4
# Below the kernel's range for outgoing connections, which could take a port between its
# choice and the start of the process that listens on it.
FIRST_PORT, LAST_PORT = 5_000, 32_000
FAILED = re.compile(r"^(?:ERROR|FAIL|UNEXPECTED SUCCESS): .*?\((\S+?)\)", re.M)
RAN = re.compile(r"^Ran (\d+) test", re.M)
SKIPPED = re.compile(r"skipped=(\d+)")


def read_known_red():
    """Return the entries of KNOWN-RED.txt by dotted test name."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def find_modules():
    """Return the dotted names of all test modules, the slow proofs first."""
    paths = sorted(ROOT.glob("test/**/test_*.py"), key=lambda p: "proofs" not in str(p))
    return [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]


def run_module(name, first, last):
    """Run one module on its ports and return its name, output and exit code."""
    done = subprocess.run(
        [sys.executable, "-m", "unittest", "--verbose", name],
        cwd=ROOT,
        env=os.environ | {PORTS_VARIABLE: f"{first}-{last}"},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return name, done.stdout, done.returncode


def run_all():
    """Run all modules; return the failing tests' names and the run and skip counts."""
    failing, ran, skipped = set(), 0, 0
    modules = find_modules()
    bounds = [
        FIRST_PORT + n * (LAST_PORT - FIRST_PORT) // len(modules)
        for n in range(len(modules) + 1)
    ]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        ranges = itertools.pairwise(bounds)
        runs = [
            pool.submit(run_module, name, *ports)
            for name, ports in zip(modules, ranges, strict=True)
        ]
        for run in concurrent.futures.as_completed(runs):
            name, output, code = run.result()
            print(output, flush=True)
            failed = set(FAILED.findall(output))
            if code and not failed:
                failed = {name}
            failing |= failed
            ran += sum(int(count) for count in RAN.findall(output))
            skipped += sum(int(count) for count in SKIPPED.findall(output))
    return failing, ran, skipped


def run_named(names):
    """Run the named tests in this process; return the same as :func:`run_all`."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    failing = {test.id() for test, _ in result.failures + result.errors}
    failing |= {test.id() for test in result.unexpectedSuccesses}
    return failing, result.testsRun, len(result.skipped)


def main():
    """Run the tests named by the arguments, or all tests."""
    names = sys.argv[1:]
    failing, ran, skipped = run_named(names) if names else run_all()
    known = read_known_red()
    for name, entry in known.items():
        state = "red" if name in failing else "green or not run"
        print(f"known red ({state}): {entry}")
    unlisted = sorted(failing - known.keys())
    for name in unlisted:
        print(f"failed: {name}")
    passed = max(0, ran - len(failing) - skipped)
    print(f"{passed} passed, {len(unlisted)} failed, {skipped} skipped")
    sys.exit(1 if unlisted or not ran else 0)


if __name__ == "__main__":
    main()
