#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15: Python modules of the test folder and of
# review/lib_3, which use only what the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:." exec python3 -m compileall -q review/lib_3 test/standins \
    test/_front.py test/_common.py test/_process.py test/fault_proxy.py
