"""Client accounts: lookup by key digest, and units counted by usage caps."""

import pytest

from mothworks_gateway import client_accounts

CAP = client_accounts.UsageCap(
    10.0, 20.0, client_accounts.CapUnit.TOKENS, default_tokens=200
)


def make_accounts(**keys_by_name):
    accounts = {
        name: client_accounts.ClientAccount(
            name, frozenset(map(client_accounts.digest, keys))
        )
        for name, keys in keys_by_name.items()
    }
    return client_accounts.Accounts(accounts)


def test_each_key_of_an_account_identifies_it():
    accounts = make_accounts(desk=["k-1", "k-2"], kitchen=["k-3"])
    matches = [accounts.find(key) for key in ("k-1", "k-2", "k-3")]
    assert [account.name for account in matches] == ["desk", "desk", "kitchen"]


@pytest.mark.parametrize("key", ["", "k", "k-1 ", "K-1", "k-1,k-2", "\ud800", "é"])
def test_other_keys_match_no_account(key):
    assert make_accounts(desk=["k-1", "k-2"]).find(key) is None


def test_an_account_without_keys_matches_nothing():
    assert make_accounts(desk=[]).find("") is None


def test_repr_does_not_show_a_key():
    assert "k-1-of-the-desk" not in repr(make_accounts(desk=["k-1-of-the-desk"]))


def test_cost_of_a_request():
    requests = client_accounts.UsageCap(10.0, 20.0)
    assert (CAP.cost(900), CAP.cost(0)) == (900, 200)
    assert (requests.cost(900), requests.cost(0)) == (1, 1)


def test_maximum_units_in_a_window():
    assert CAP.max_units(8.0) == 100.0
