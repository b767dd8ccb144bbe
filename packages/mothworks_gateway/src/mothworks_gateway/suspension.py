"""The clock for promises that must hold across a suspension of the VM.

The usual steady clock stands still while a VM is suspended: what it calls two seconds
ago may be minutes old to everybody else.
"""

import time


def now() -> float:
    """Return seconds on the clock that also counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
