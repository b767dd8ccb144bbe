"""Starts a node from a checkout: finds its packages, then runs it.

The packages' folders go onto Python's path one by one. The root must not,
since its folder ``platform`` would hide the standard library's module.
"""

import os
import pathlib
import signal
import sys

# Unhandled, a hangup ends the process. It stays pending until the node can take it.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("packages/mothworks", "packages/mothworks_gateway", "platform")
#: The environment variable that names the settings file.
SETTINGS = "MOTHWORKS_CONFIG"

for package in PACKAGES:
    sys.path.insert(0, str(ROOT / package / "src"))

from mothworks_gateway import node  # noqa: E402

sys.exit(node.main(os.environ[SETTINGS]))
