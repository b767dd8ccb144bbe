"""Retry budget: what a VM's own requests allow, and what all VMs hold together."""

import attrs
import pytest

import gateway_builders
import retry_fleet_builders
from mothworks_gateway import retry_budget, shared_retries


class Shared:
    """Stub of the retries that all VMs hold together."""

    def __init__(self, left):
        self.left = left

    def may_acquire(self, _):
        return self.left > 0

    def acquire(self, _):
        if not self.left:
            return None
        self.left -= 1
        return shared_retries.Grant("vm-2", self.left)


def make_budget(shared_left=0, **bounds):
    return retry_budget.RetryBudget(
        gateway_builders.Kernel(
            {shared_retries.SharedRetries: Shared(shared_left)}, **bounds
        )
    )


def allow_no_share(monkeypatch):
    """Let a fleet's deployment allow the fixed number only."""
    bounds = attrs.evolve(retry_fleet_builders.BOUNDS, retry_share=0.0)
    monkeypatch.setattr(retry_fleet_builders, "BOUNDS", bounds)


def spend_all(vm_budget, service="s"):
    count = 0
    while vm_budget.try_spend(service, "r-1"):
        count += 1
    return count


def test_without_requests_only_the_shared_retries_are_allowed():
    assert spend_all(make_budget(8, retry_share=0.2)) == 8


def test_each_request_adds_its_share_to_the_budget():
    vm_budget = make_budget(retry_share=0.5)
    for _ in range(20):
        vm_budget.add_request("s")
    assert spend_all(vm_budget) == 8


# Guards against shared retries that are taken while a VM's own requests allow one.
def test_a_vm_spends_what_its_own_requests_allow_first():
    vm_budget = make_budget(3, retry_share=0.5)
    for _ in range(20):
        vm_budget.add_request("s")
    for _ in range(8):
        assert vm_budget.try_spend("s", "r-1")
    assert vm_budget.shared.left == 3


def test_each_service_has_its_own_share():
    vm_budget = make_budget(retry_share=0.5)
    for service in ("a", "b"):
        for _ in range(20):
            vm_budget.add_request(service)
    assert spend_all(vm_budget, "a") == spend_all(vm_budget, "b") == 8


def test_without_an_allowance_there_are_no_retries():
    vm_budget = make_budget(retry_share=0)
    vm_budget.add_request("s")
    assert not vm_budget.may_spend("s")
    assert spend_all(vm_budget) == 0


# Guards against each side of a network partition using the fixed number of all VMs.
@pytest.mark.parametrize("small_side", [1, 3, 4])
def test_sides_of_a_partition_together_stay_below_the_fixed_number(
    monkeypatch, small_side
):
    allow_no_share(monkeypatch)
    fleet = retry_fleet_builders.Fleet(monkeypatch, 8)
    fleet.cut(fleet.names[:small_side])
    fleet.run(20.0, 8.0)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("vms", [2, 5, 10])
def test_vms_together_stay_below_the_fixed_number(monkeypatch, vms):
    # Endpoints fail, and all VMs retry at once.
    allow_no_share(monkeypatch)
    fleet = retry_fleet_builders.Fleet(monkeypatch, vms)
    fleet.run(9.0, 10.0 * vms)
    assert fleet.worst_excess() <= 0


# Guards against services that spend each other's fixed numbers.
def test_each_service_has_its_own_fixed_number(monkeypatch):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 2)
    budgets = [vm.budget for vm in fleet.vm_by_name.values()]
    count_by_service = dict.fromkeys(("a", "b"), 0)
    for _ in range(40):
        fleet.run(0.2, 0.0)
        for service in count_by_service:
            for vm_budget in budgets:
                while vm_budget.try_spend(service, "r-1"):
                    count_by_service[service] += 1
    assert count_by_service["a"] == count_by_service["b"] == 46
