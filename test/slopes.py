"""Measure what a daemon costs: ``python -m test.slopes [PART ...]``."""

import importlib
import sys

PARTS = (
    "fleets",
    "documents",
    "control",
    "memory",
    "spreading",
    "hop",
    "profile",
)


def main(parts):
    """Run parts of the measurement, each of which prints its tables.

    :param parts: names from :data:`PARTS`; all of them when empty.
    """
    for part in parts or PARTS:
        if part not in PARTS:
            sys.exit(f"There is no part {part}; the parts are {', '.join(PARTS)}.")
        print(f"\n== python -m test.slopes {part}")
        importlib.import_module(f"test.bench.{part}").run()


if __name__ == "__main__":
    main(sys.argv[1:])
