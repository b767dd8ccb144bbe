"""A circuit breaker: stops calls to a service that does not answer.

During an outage every call would wait for its timeout and hammer the
service as it comes back. After a few failures in a row the circuit opens:
calls fail at once, but for one probe now and then.
"""

import random
import time

#: Failures in a row that open the circuit.
FAILURES_UNTIL_OPEN = 4
#: Mean time between probes while open, seconds.
PROBE_S = 0.5
#: Share by which that time varies, so that VMs do not probe in step.
JITTER = 0.3


class Circuit:
    """Counts failures and admits calls.

    :param now: the monotonic clock, seconds; tests give their own.
    """

    def __init__(self, now=time.monotonic):
        self.now = now
        self.failures = 0
        self.next_probe = 0.0

    @property
    def open(self) -> bool:
        """Return whether calls are held back."""
        return self.failures >= FAILURES_UNTIL_OPEN

    def admit(self) -> bool:
        """Return whether a call may be made now; while open, as a probe."""
        if not self.open:
            return True
        if self.now() < self.next_probe:
            return False
        self._plan_probe()
        return True

    def succeed(self) -> None:
        """Note a call that was answered."""
        self.failures = 0

    def fail(self) -> None:
        """Note a call that was not answered."""
        self.failures += 1
        if self.open:
            self._plan_probe()

    def _plan_probe(self) -> None:
        self.next_probe = self.now() + PROBE_S * random.uniform(1 - JITTER, 1 + JITTER)
