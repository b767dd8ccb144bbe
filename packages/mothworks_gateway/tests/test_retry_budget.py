"""Retry budget: the deployment's allowance of retries is shared among VMs."""

import types

import pytest

import gateway_builders
from mothworks_gateway import fleet_size, retry_budget


def make_budget(vms=1, live=None, **bounds):
    fleet = types.SimpleNamespace(live=live or vms, peak=vms)
    return retry_budget.RetryBudget(
        gateway_builders.Kernel({fleet_size.FleetSize: fleet}, **bounds)
    )


def spend_all(vm_budget, service="s"):
    count = 0
    while vm_budget.try_spend(service, "r-1"):
        count += 1
    return count


def test_without_requests_only_the_slack_is_allowed():
    assert spend_all(make_budget(retry_share=0.2, retry_slack=10)) == 8


@pytest.mark.parametrize("vms", [2, 5, 10])
def test_vms_together_stay_below_the_slack(vms):
    # Endpoints fail, and all VMs retry at once.
    assert vms * spend_all(make_budget(vms, retry_share=0, retry_slack=100)) <= 100


# Guards against each side of a network partition using the slack of all VMs.
def test_sides_of_a_partition_together_stay_below_the_slack():
    vm_budget = make_budget(vms=8, live=4, retry_share=0, retry_slack=100)
    assert 8 * spend_all(vm_budget) <= 100


def test_each_request_adds_its_share_to_the_budget():
    vm_budget = make_budget(retry_share=0.5, retry_slack=0)
    for _ in range(20):
        vm_budget.add_request("s")
    assert spend_all(vm_budget) == 8


def test_each_service_has_its_own_budget():
    vm_budget = make_budget(retry_share=0.0, retry_slack=10)
    assert spend_all(vm_budget, "a") == spend_all(vm_budget, "b") == 8


def test_without_an_allowance_there_are_no_retries():
    assert spend_all(make_budget(retry_share=0, retry_slack=0)) == 0
