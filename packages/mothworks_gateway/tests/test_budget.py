"""Retry budget: the deployment's allowance, shared among VMs."""

import pytest

import gateway_builders
from mothworks_gateway import budget, pulse


def make(vms=1, **bounds):
    pulses = gateway_builders.Pulses(vms)
    return budget.Budget(gateway_builders.Kernel({pulse.Pulses: pulses}, **bounds))


def taken(made, service="s"):
    count = 0
    while made.take(service):
        count += 1
    return count


def test_without_requests_the_slack_is_left():
    assert taken(make(retry_share=0.2, retry_slack=10)) == 8


@pytest.mark.parametrize("vms", [2, 5, 10])
def test_vms_together_stay_below_the_slack(vms):
    # Endpoints fail, and all VMs send again at once.
    assert vms * taken(make(vms, retry_share=0, retry_slack=100)) <= 100


def test_requests_add_their_share():
    made = make(retry_share=0.5, retry_slack=0)
    for _ in range(20):
        made.add_request("s")
    assert taken(made) == 8


def test_services_do_not_share():
    made = make(retry_share=0.0, retry_slack=10)
    assert taken(made, "a") == taken(made, "b") == 8


def test_no_allowance_means_no_repeats():
    assert taken(make(retry_share=0, retry_slack=0)) == 0
