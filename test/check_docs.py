"""Check that every documentation page is well-formed reStructuredText."""

import pathlib
import sys

from docutils import core, utils

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
    """Check all pages; exit with 1 when a page has a markup error."""
    faults = 0
    for path in sorted((ROOT / "docs").rglob("*.rst")):
        try:
            core.publish_doctree(
                path.read_text(),
                source_path=str(path),
                settings_overrides={"halt_level": 2, "report_level": 2},
            )
        except utils.SystemMessage:
            faults += 1
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
