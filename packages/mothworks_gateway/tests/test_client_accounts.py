"""Client accounts: keys are found by what stands for them, caps count as declared."""

import pytest

from mothworks_gateway import client_accounts

CAP = client_accounts.UsageCap(
    10.0, 20.0, client_accounts.CapUnit.TOKENS, plain_tokens=200
)


def accounts(**keys_by_name):
    made = {
        name: client_accounts.ClientAccount(
            name, frozenset(map(client_accounts.digest, keys))
        )
        for name, keys in keys_by_name.items()
    }
    return client_accounts.Accounts(made)


def test_each_key_of_an_account_names_it():
    made = accounts(desk=["k-1", "k-2"], kitchen=["k-3"])
    found = [made.find(key) for key in ("k-1", "k-2", "k-3")]
    assert [account.name for account in found] == ["desk", "desk", "kitchen"]


@pytest.mark.parametrize("key", ["", "k", "k-1 ", "K-1", "k-1,k-2", "\ud800", "é"])
def test_anything_else_names_none(key):
    assert accounts(desk=["k-1", "k-2"]).find(key) is None


def test_an_account_without_keys_is_named_by_none():
    assert accounts(desk=[]).find("") is None


def test_nothing_that_is_kept_shows_a_key():
    assert "k-1-of-the-desk" not in repr(accounts(desk=["k-1-of-the-desk"]))


def test_what_a_request_costs():
    requests = client_accounts.UsageCap(10.0, 20.0)
    assert (CAP.cost(900), CAP.cost(0)) == (900, 200)
    assert (requests.cost(900), requests.cost(0)) == (1, 1)


def test_what_a_window_may_use():
    assert CAP.most_in(8.0) == 100.0
