"""Token bucket: the credit of one usage cap or rate limit, as one VM knows it."""

from mothworks_gateway import client_accounts

#: Upper bound of the retry delay of refused requests, seconds. Where it is reached,
#: the account requests several times its cap, and a longer delay would not help.
MAX_RETRY_DELAY_S = 8.0
#: Lower bound of the retry delay, seconds.
MIN_RETRY_DELAY_S = 0.05


class TokenBucket:
    """A token bucket that staggers the retries of refused requests.

    A request that costs more than the burst is granted once the bucket is full, and
    leaves a negative balance: it could otherwise never run. The balance has to recover
    before the account's next request is granted.

    :param cap: the usage cap.
    :param since: monotonic time at which the bucket was empty.
    :param overdraft: units that may be granted beyond the available credit.

    >>> cap = client_accounts.UsageCap(per_s=10.0, burst=20.0)
    >>> bucket = TokenBucket(cap, since=0.0)
    >>> bucket.acquire(15, now=2.0)
    0.0
    >>> bucket.acquire(10, now=2.0), bucket.acquire(10, now=2.0)
    (0.5, 1.5)
    """

    def __init__(
        self, cap: client_accounts.UsageCap, since: float, overdraft: float = 0.0
    ):
        self.cap = cap
        self.overdraft = overdraft
        self.level = 0.0
        #: Monotonic time up to which `level` includes the accrued credit.
        self.at = since
        #: Monotonic time at which there is credit for all refused requests that were
        #: given a retry delay.
        self.reserved_until = since

    def set_cap(
        self, cap: client_accounts.UsageCap, now: float, overdraft: float = 0.0
    ) -> None:
        """Replace the cap; the level is cut to the new burst.

        :param cap: the new cap.
        :param now: monotonic time.
        :param overdraft: see :class:`TokenBucket`.
        """
        self._refill(now)
        self.cap = cap
        self.overdraft = overdraft
        self.level = min(self.level, cap.burst)

    def acquire(self, units: float, now: float, ahead_s: float = 0.0) -> float:
        """Spend the credit of a request, if there is enough.

        :param units: cost of the request.
        :param now: monotonic time.
        :param ahead_s: time for which the request can wait for credit to accrue,
            seconds; call :meth:`wait_s` first for how long it has to wait.
        :returns: 0 if it is granted, else the retry delay, seconds.
        """
        self._refill(now)
        allowance = self.overdraft + ahead_s * self.cap.per_s
        shortfall = min(units, self.cap.burst) - self.level - allowance
        if shortfall <= 0:
            self.level -= units
            return 0.0
        retry_at = max(now + shortfall / self.cap.per_s, self.reserved_until)
        retry_at = min(retry_at, now + MAX_RETRY_DELAY_S)
        self.reserved_until = retry_at + units / self.cap.per_s
        return max(MIN_RETRY_DELAY_S, retry_at - now)

    def wait_s(self, units: float, now: float) -> float:
        """Return the seconds until there is credit for a request.

        :param units: cost of the request.
        :param now: monotonic time.
        """
        self._refill(now)
        return max(0.0, min(units, self.cap.burst) - self.level) / self.cap.per_s

    def debit(self, units: float, now: float) -> None:
        """Debit units unconditionally, such as those that another VM reports as spent.

        :param units: the units; negative for units that are returned.
        :param now: monotonic time.
        """
        self._refill(now)
        self.level = min(self.cap.burst, self.level - units)

    def _refill(self, now: float) -> None:
        refill = (now - self.at) * self.cap.per_s
        self.at = now
        self.level = min(self.cap.burst, self.level + refill)
