"""A clock for guarantees that must hold across a suspension of the VM.

The monotonic clock stops while a VM is suspended, so that an age of 2 s on it may be
minutes for other VMs.
"""

import time


def now() -> float:
    """Return the seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
