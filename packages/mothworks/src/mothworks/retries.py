"""Retry budget: limits the load that retries add when endpoints fail.

If an endpoint or a whole data centre fails, each request would be sent twice or
more just when capacity is short, and the retries alone would keep the remaining
endpoints overloaded. The budget allows retries for a tenth of the requests,
plus one per second so that a node with little traffic can retry too.
"""

import time

#: Retries that each request adds to the budget.
SHARE = 0.1
#: Retries that each second adds, so that a node with little traffic can retry.
RETRIES_PER_S = 1.0
#: Maximum number of retries that the budget accumulates.
MAX_AVAILABLE = 20.0


class RetryBudget:
    """A budget of retries; :meth:`acquire` spends one.

    >>> budget = RetryBudget()
    >>> budget.acquire()
    True
    """

    def __init__(self):
        self.available = MAX_AVAILABLE
        self.updated_at = time.monotonic()

    def add_request(self) -> None:
        """Add a new request's share of a retry to the budget."""
        self.available = min(MAX_AVAILABLE, self.available + SHARE)

    def acquire(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        now = time.monotonic()
        gained = (now - self.updated_at) * RETRIES_PER_S
        self.updated_at = now
        self.available = min(MAX_AVAILABLE, self.available + gained)
        if self.available < 1:
            return False
        self.available -= 1
        return True
