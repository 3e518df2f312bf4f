"""Run the benchmarks of a daemon: ``python -m test.slopes [PART ...]``."""

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
    """Run benchmarks, each of which prints its tables.

    :param parts: names from :data:`PARTS`; all if empty.
    """
    for part in parts or PARTS:
        if part not in PARTS:
            sys.exit(f"Unknown part {part}; valid parts are {', '.join(PARTS)}.")
        print(f"\n== python -m test.slopes {part}")
        importlib.import_module(f"test.bench.{part}").run()


if __name__ == "__main__":
    main(sys.argv[1:])
