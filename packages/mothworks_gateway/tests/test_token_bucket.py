"""Token bucket: credit, negative balances, and the retry delays of refused requests."""

import random

import pytest

from mothworks_gateway import client_accounts, token_bucket

CAP = client_accounts.UsageCap(4200.0, 4200.0, client_accounts.CapUnit.TOKENS, 200)


def test_granted_units_exceed_the_cap_by_at_most_one_request():
    # An account requests six times its cap, with requests of 800 to 9,000 tokens.
    draw = random.Random(5)
    account_bucket = token_bucket.TokenBucket(CAP, since=0.0)
    granted = []
    now = 0.0
    while now < 60.0:
        now += draw.expovariate(10.0)
        units = draw.uniform(800, 9000)
        if not account_bucket.acquire(units, now):
            granted.append((now, units))
    for begin, _ in granted:
        used = sum(units for at, units in granted if begin <= at < begin + 8.0)
        assert used <= CAP.max_units(8.0) + 9000
    assert sum(units for _, units in granted) >= 0.95 * CAP.per_s * 60.0


def test_a_request_that_costs_more_than_the_burst_is_granted():
    # The bucket never holds its cost, so it would be refused on every retry.
    account_bucket = token_bucket.TokenBucket(CAP, since=0.0)
    assert account_bucket.acquire(9000, now=1.0) == 0.0
    assert account_bucket.acquire(800, now=1.0) == pytest.approx(5600 / 4200)


def test_retries_of_refused_requests_are_staggered():
    # With equal retry delays, forty callers would retry together, and all but one
    # would be refused again.
    account_bucket = token_bucket.TokenBucket(CAP, since=0.0)
    account_bucket.acquire(4200, now=1.0)
    waits = [account_bucket.acquire(420, now=1.0) for _ in range(40)]
    assert waits == sorted(waits)
    steps = [later - earlier for earlier, later in zip(waits, waits[1:], strict=False)]
    assert steps == pytest.approx([0.1] * 39)


def test_a_retry_after_the_given_delay_is_granted():
    account_bucket = token_bucket.TokenBucket(CAP, since=0.0)
    account_bucket.acquire(4200, now=1.0)
    waits = [account_bucket.acquire(420, now=1.0) for _ in range(10)]
    assert all(not account_bucket.acquire(420, now=1.001 + wait) for wait in waits)


def test_a_lower_cap_applies_at_once_and_a_higher_one_adds_no_credit():
    account_bucket = token_bucket.TokenBucket(CAP, since=0.0)
    account_bucket.set_cap(client_accounts.UsageCap(100.0, 100.0), now=10.0)
    assert account_bucket.acquire(100, now=10.0) == 0.0
    assert account_bucket.acquire(1, now=10.0) > 0.0
    account_bucket.set_cap(client_accounts.UsageCap(1000.0, 1000.0), now=10.0)
    assert account_bucket.acquire(1, now=10.0) > 0.0
    assert account_bucket.acquire(1, now=10.01) == 0.0


def test_a_tolerated_excess_is_granted_once():
    # Requests that arrive together briefly exceed the available credit. A retry would
    # make them late, although the operator accepts the excess.
    account_bucket = token_bucket.TokenBucket(CAP, since=0.0, overdraft=5000.0)
    granted = [account_bucket.acquire(1000, now=1.0) for _ in range(12)]
    assert granted.count(0.0) == 9


def test_requests_that_can_wait_are_granted_credit_in_advance():
    account_bucket = token_bucket.TokenBucket(
        client_accounts.UsageCap(per_s=2.0, burst=1.0), since=0.0
    )
    assert account_bucket.acquire(1, now=0.5) == 0.0
    assert account_bucket.acquire(1, now=0.5, ahead_s=0.4) > 0.0
    assert account_bucket.wait_s(1, now=0.5) == 0.5
    assert account_bucket.acquire(1, now=0.5, ahead_s=0.6) == 0.0
    assert account_bucket.wait_s(1, now=0.5) == 1.0


# Guards against a request that waits for more credit than a small bucket can hold.
def test_a_request_that_costs_more_than_the_burst_waits_only_for_a_full_bucket():
    account_bucket = token_bucket.TokenBucket(
        client_accounts.UsageCap(per_s=0.1, burst=0.2), since=0.0
    )
    assert account_bucket.wait_s(1, now=1.0) == pytest.approx(1.0)
    assert account_bucket.wait_s(1, now=2.0) == 0.0
    assert account_bucket.acquire(1, now=2.0) == 0.0
