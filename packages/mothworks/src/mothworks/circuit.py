"""A circuit breaker, which stops calls to a service that does not answer.

During an outage every call would wait for its timeout, and the calls together
would overload the service as it recovers. After a few consecutive failures the
circuit opens: calls fail immediately, except for an occasional probe.
"""

import random
import time

#: Consecutive failures that open the circuit.
FAILURE_THRESHOLD = 4
#: Mean time between probes while the circuit is open, seconds.
PROBE_INTERVAL_S = 0.5
#: Share by which that time varies at random, so that VMs do not probe in step.
PROBE_JITTER = 0.3


class Circuit:
    """Counts consecutive failures and admits or rejects calls.

    :param now: the monotonic clock, seconds; tests pass their own.
    """

    def __init__(self, now=time.monotonic):
        self.now = now
        self.failures = 0
        self.next_probe_at = 0.0

    @property
    def open(self) -> bool:
        """Return whether calls are rejected, except for probes."""
        return self.failures >= FAILURE_THRESHOLD

    def admit(self) -> bool:
        """Return whether a call may be made now; while open, only a probe may."""
        if not self.open:
            return True
        if self.now() < self.next_probe_at:
            return False
        self._schedule_probe()
        return True

    def succeed(self) -> None:
        """Record a call that was answered."""
        self.failures = 0

    def fail(self) -> None:
        """Record a call that was not answered."""
        self.failures += 1
        if self.open:
            self._schedule_probe()

    def _schedule_probe(self) -> None:
        self.next_probe_at = self.now() + PROBE_INTERVAL_S * random.uniform(
            1 - PROBE_JITTER, 1 + PROBE_JITTER
        )
