#!/bin/sh
# The stand-ins are Python modules; nothing has to be compiled. Checks that they and the
# project's own stand-ins load with what the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=review/lib exec python3 -c "import harness, deployments, fakes"
