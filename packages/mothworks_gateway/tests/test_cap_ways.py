"""Usage caps: an owner that lends, against parts that each VM keeps by itself."""

import pytest

import cap_ways
import test_credit


@pytest.mark.parametrize("name", ["small", "large"])
def test_an_owner_refuses_fewer_below_the_cap_than_parts_do(name):
    # 16 accounts ask for a little more than half of their caps, at 60 VMs.
    caps = {"small": test_credit.SMALL, "large": test_credit.LARGE}
    refused = {}
    for way, kind in cap_ways.WAYS.items():
        with pytest.MonkeyPatch.context() as patch:
            fleet = kind(patch, 60, {name: caps[name]}, seed=7)
            fleet.run(10.0, {name: 0.55 * caps[name]})
            refused[way] = cap_ways.refused_share(fleet, name)
            assert fleet.worst(name) <= 1.0
    assert refused["an owner lends"] == min(refused.values())


def test_an_account_whose_callers_reach_one_vm_gets_its_cap():
    with pytest.MonkeyPatch.context() as patch:
        fleet = cap_ways.WAYS["an owner lends"](patch, 60, {"large": test_credit.LARGE})
        fleet.run(5.0, {"large": 2 * test_credit.LARGE}, fleet.names[:1])
        used = sum(units for _, units in fleet.ran["large"])
    assert used >= 0.95 * 5.0 * test_credit.LARGE
