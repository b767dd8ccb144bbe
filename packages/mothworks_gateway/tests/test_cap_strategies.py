"""Usage caps: grants of an owner, compared with shares that each VM grants alone."""

import pytest

import cap_strategies
import test_credit


@pytest.mark.parametrize("name", ["small", "large"])
def test_an_owner_refuses_fewer_requests_below_the_cap_than_shares_do(name):
    # At 60 VMs an account requests a little more than half of its cap.
    caps = {"small": test_credit.SMALL, "large": test_credit.LARGE}
    refused = {}
    for strategy, kind in cap_strategies.STRATEGIES.items():
        with pytest.MonkeyPatch.context() as patch:
            fleet = kind(patch, 60, {name: caps[name]}, seed=7)
            fleet.run(10.0, {name: 0.55 * caps[name]})
            refused[strategy] = cap_strategies.refused_share(fleet, name)
            assert fleet.worst_window(name) <= 1.0
    assert refused["an owner grants"] == min(refused.values())


def test_an_account_whose_callers_reach_one_vm_gets_its_cap():
    with pytest.MonkeyPatch.context() as patch:
        fleet = cap_strategies.STRATEGIES["an owner grants"](
            patch, 60, {"large": test_credit.LARGE}
        )
        fleet.run(5.0, {"large": 2 * test_credit.LARGE}, fleet.names[:1])
        used = sum(units for _, units in fleet.granted["large"])
    assert used >= 0.95 * 5.0 * test_credit.LARGE
