"""Starts a node from a checkout: adds its packages to Python's path and runs it.

The packages' folders are added one by one. The root must not be on the path, since
its folder ``platform`` would hide the standard library's module of that name.
"""

import os
import pathlib
import signal
import sys

# By default a hangup ends the process. Blocked, it stays pending until the node can
# handle it.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("packages/mothworks", "packages/mothworks_gateway", "platform")
#: The environment variable that contains the path of the settings file.
SETTINGS_VARIABLE = "MOTHWORKS_CONFIG"

for package in PACKAGES:
    sys.path.insert(0, str(ROOT / package / "src"))

from mothworks_gateway import node  # noqa: E402

sys.exit(node.main(os.environ[SETTINGS_VARIABLE]))
