"""Fair shares of client accounts: what each received lately, relative to its weight."""

import collections
import collections.abc
import math

#: Half-life of what an account received, seconds.
HALF_LIFE_S = 5.0
#: Upper bound of the number of accounts; the least used are evicted.
MAX_ACCOUNTS = 1024
#: Bounds of a weight. A smaller one would let a single run count for minutes.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
#: Half-lives after which usages are rebased: 2**60 is far from the limits of a float.
REBASE_AFTER_HALF_LIVES = 60


class FairShares:
    """Decaying sums of costs by account.

    Usages are kept relative to a reference time: a cost counts for more the later it
    was added. All usages decay alike, so that they can be compared without the time.

    :param half_life_s: half-life of the sums, seconds.
    :param max_accounts: upper bound of the number of accounts.
    """

    def __init__(
        self, half_life_s: float = HALF_LIFE_S, max_accounts: int = MAX_ACCOUNTS
    ):
        self.half_life_s = half_life_s
        self.max_accounts = max_accounts
        self._usage_by_account: collections.defaultdict[
            collections.abc.Hashable, float
        ] = collections.defaultdict(float)
        self._reference_at: float | None = None

    def add(self, account: str, weight: float, cost: float, now: float) -> None:
        """Charge a cost to an account.

        :param account: the account.
        :param weight: its share; one that is not a positive number counts as 1.
        :param cost: seconds at an endpoint; negative to correct an earlier estimate.
        :param now: the time, seconds.
        """
        if not math.isfinite(cost):
            return
        usage = self._usage_by_account
        scaled = cost / bounded_weight(weight) * self._scale(now)
        usage[account] = max(0.0, usage[account] + scaled)
        if len(usage) > self.max_accounts:
            self._evict()

    def usage(self, account: str, now: float) -> float:
        """Return the decayed cost that an account received, by its weight.

        :param account: the account; 0 for one that is not known.
        :param now: the time, seconds.
        """
        # The scale may rebase the usages, and so is taken first.
        scale = self._scale(now)
        return self.relative_usage(account) / scale

    def relative_usage(self, account: str) -> float:
        """Return a number that orders accounts as their usage does.

        :param account: the account.
        """
        return self._usage_by_account.get(account, 0.0)

    def least(self, accounts: collections.abc.Iterable[str], now: float) -> str | None:
        """Return the account with the lowest usage; None if there are no accounts.

        :param accounts: the accounts.
        :param now: the time, seconds.
        """
        return min(accounts, key=self.relative_usage, default=None)

    def per_s_by_account(self, now: float) -> dict[collections.abc.Hashable, float]:
        """Return the recent cost by second of each account.

        :param now: the time, seconds.
        """
        factor = math.log(2.0) / self.half_life_s / self._scale(now)
        return {
            account: usage * factor for account, usage in self._usage_by_account.items()
        }

    def activate(
        self, account: str, waiting: collections.abc.Iterable[str], now: float
    ) -> None:
        """Raise the usage of an account that starts to wait to the lowest waiting one.

        An account that received nothing for a while would otherwise get all places
        until its usage has caught up.

        :param account: the account.
        :param waiting: the accounts that wait already.
        :param now: the time, seconds.
        """
        least = self.least(waiting, now)
        if least is None:
            return
        usage = self._usage_by_account
        usage[account] = max(usage[account], usage.get(least, 0.0))
        if len(usage) > self.max_accounts:
            self._evict()

    def _scale(self, now: float) -> float:
        """Return what a cost added now counts for at the reference time."""
        if self._reference_at is None:
            self._reference_at = now
        age_s = now - self._reference_at
        if age_s > REBASE_AFTER_HALF_LIVES * self.half_life_s:
            factor = 2.0 ** (-age_s / self.half_life_s)
            for account, usage in self._usage_by_account.items():
                self._usage_by_account[account] = usage * factor
            self._reference_at = now
            return 1.0
        return 2.0 ** (age_s / self.half_life_s)

    def _evict(self) -> None:
        """Evict the least used eighth, so that it is seldom needed."""
        usage = self._usage_by_account
        for account in sorted(usage, key=usage.get)[: max(1, self.max_accounts // 8)]:
            del usage[account]


def bounded_weight(weight: float) -> float:
    """Return a weight within its bounds.

    :param weight: the weight; 1 is returned for one that is not a positive number.

    >>> bounded_weight(0.0), bounded_weight(float("nan")), bounded_weight(2.0)
    (1.0, 1.0, 2.0)
    """
    if not weight > 0 or not math.isfinite(weight):
        return 1.0
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
