"""Fair shares: usage by weight decays, and the number of accounts is bounded."""

import pytest

from mothworks_gateway import fair_shares


def test_usage_counts_by_weight_and_decays():
    shares = fair_shares.FairShares()
    shares.add("small", 1.0, 2.0, 0.0)
    shares.add("large", 4.0, 4.0, 0.0)
    assert shares.least(["small", "large"], 0.0) == "large"
    assert shares.usage("small", fair_shares.HALF_LIFE_S) == pytest.approx(1.0)
    shares.add("large", 4.0, 6.0, fair_shares.HALF_LIFE_S)
    assert shares.least(["small", "large"], fair_shares.HALF_LIFE_S) == "small"


# Guards against numbers that overflow after hours, so that the order is arbitrary.
def test_usage_is_right_after_days():
    shares = fair_shares.FairShares()
    for second in range(0, 200_000, 20):
        shares.add("a", 1.0, 1.0, float(second))
    assert shares.usage("a", 199_980.0) == pytest.approx(1.0 / (1 - 2**-4))
    assert shares.usage("a", 300_000.0) < 1e-6


# Guards against an account that gets all places after a pause, until it has caught up.
def test_an_account_that_becomes_active_starts_at_the_lowest_usage():
    shares = fair_shares.FairShares()
    shares.add("a", 1.0, 5.0, 0.0)
    shares.add("b", 1.0, 7.0, 0.0)
    shares.activate("new", ["a", "b"], 0.0)
    assert shares.usage("new", 0.0) == shares.usage("a", 0.0)
    shares.activate("b", ["a"], 0.0)
    assert shares.usage("b", 0.0) == pytest.approx(7.0)


# Guards against an unbounded table when callers are many.
def test_the_least_used_accounts_are_evicted():
    shares = fair_shares.FairShares()
    shares.add("heavy", 1.0, 100.0, 0.0)
    for number in range(3 * fair_shares.MAX_ACCOUNTS):
        shares.add(f"account {number}", 1.0, 1.0, 0.0)
    assert len(shares.per_s_by_account(0.0)) <= fair_shares.MAX_ACCOUNTS
    assert shares.usage("heavy", 0.0) == pytest.approx(100.0)


@pytest.mark.parametrize("weight", [0.0, -1.0, float("nan"), float("inf")])
def test_a_weight_that_is_not_a_positive_number_counts_as_one(weight):
    shares = fair_shares.FairShares()
    shares.add("a", weight, 3.0, 0.0)
    shares.add("a", weight, float("nan"), 0.0)
    assert shares.usage("a", 0.0) == pytest.approx(3.0)
