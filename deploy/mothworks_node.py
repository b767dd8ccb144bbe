"""Starts a node from a checkout: adds its packages to Python's path and runs it.

The packages' folders are added one by one. The root must not be on the path, since
its folder ``platform`` would hide the standard library's module of that name.
"""

import gc
import os
import signal
import sys

# By default a hangup ends the process. Blocked, it stays pending until the node can
# handle it.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import byte_code  # noqa: E402
import deferred_packages  # noqa: E402

#: The environment variable that contains the path of the settings file.
SETTINGS_VARIABLE = "MOTHWORKS_CONFIG"

# Imports leave hardly any garbage, but would trigger dozens of collections. What they
# made lives as long as the process, so later collections don't need to visit it.
gc.disable()
byte_code.install()
deferred_packages.install()

import generated_methods  # noqa: E402

generated_methods.install(byte_code.FOLDER)

from mothworks_gateway import node  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(node.main(os.environ[SETTINGS_VARIABLE]))
