#!/usr/bin/env bash
# Builds the stand-ins that the cases start: plain Python on the deployed libraries,
# so that compiling and importing them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD:$PWD/target/deps
python3 -m compileall -q review test/standins
python3 -c "import review.lib.engines, review.lib.jobs, test.standins.users_store"
