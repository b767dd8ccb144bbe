#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
#
# They are Python files of this repository: platform/tests/fakes.py, deployments.py and
# path_faults.py, and review/lib2. They run with target/deps, so that building them is
# compiling them, and checking that they can be imported.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:packages/mothworks/src:packages/mothworks_gateway/src:platform/src:platform/tests:review/lib2"
export PYTHONPATH
python3 -m compileall -q review/lib2 platform/tests/fakes.py platform/tests/deployments.py \
    platform/tests/path_faults.py platform/tests/arrivals.py
python3 -c "import harness, fakes, deployments"
