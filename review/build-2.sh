#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python modules, the project's own
# (test/standins) and those beside the cases, and use only what the build of the deploy
# file puts into target/deps: there is nothing to compile, so this checks that all load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
import pathlib
import sys

sys.path.insert(0, ".")
import h11

import review.lib_2.deployment
import review.lib_2.streams
import test.standins.users_server
import test.standins.users_store

for path in sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    ast.parse(path.read_text())
PY
echo "the stand-ins of cases 6 to 10 load"
