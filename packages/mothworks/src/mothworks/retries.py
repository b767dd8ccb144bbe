"""Retry budget: bounds the work that retries add when endpoints fail.

Where an endpoint or a whole data centre fails, each caller's request would
be sent twice or more just when capacity is short, and the retries alone keep
the rest overloaded. The budget lets a tenth of the recent requests be
retried, and a few a second where there is little traffic.
"""

import time

#: Retries that each request adds to the budget.
SHARE = 0.1
#: Retries that each second adds, so that a quiet node can retry too.
LEAST_PER_S = 1.0
#: Most retries that can be saved up.
MOST_SAVED = 20.0


class Budget:
    """Retries that may still be made.

    >>> budget = Budget()
    >>> budget.take()
    True
    """

    def __init__(self):
        self.saved = MOST_SAVED
        self.filled = time.monotonic()

    def add_request(self) -> None:
        """Note a new request, which pays for a share of a retry."""
        self.saved = min(MOST_SAVED, self.saved + SHARE)

    def take(self) -> bool:
        """Spend one retry; returns whether there was one."""
        now = time.monotonic()
        earned = (now - self.filled) * LEAST_PER_S
        self.filled = now
        self.saved = min(MOST_SAVED, self.saved + earned)
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
