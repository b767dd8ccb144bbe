"""Poison requests: crashes count only against requests of which no copy completes."""

import types

import gevent
import pytest

import fleet_builders
import gateway_builders
from mothworks_gateway import broadcast, poison_requests

VMS = ("vm-1", "vm-2", "vm-3")
SUCCESS = types.SimpleNamespace(status=200, is_framed=True)


def make_part(name, network):
    kernel = fleet_builders.make_kernel(name, VMS, network)
    kernel.parts[broadcast.Broadcast] = broadcast.Broadcast(kernel)
    return poison_requests.PoisonRequests(kernel)


@pytest.fixture
def vms():
    network = fleet_builders.Network()
    return [make_part(name, network) for name in VMS]


def deliver():
    """Wait until all published messages have arrived."""
    gevent.sleep(4 * broadcast.BATCH_DELAY_S)


def crash(part, request, count=poison_requests.CRASHES_TO_BLOCK):
    for number in range(count):
        part.record_crash(request, gateway_builders.endpoint(f"i-{number}"))
    deliver()


def blocked(vms, request):
    return [part.is_blocked(request) for part in vms]


def test_a_request_that_crashed_several_endpoints_is_blocked_on_all_vms(vms):
    request = gateway_builders.request()
    crash(vms[0], request)
    assert blocked(vms, request) == [True, True, True]


# Guards against look-ups that stay blocked after endpoints fell for another reason.
def test_a_request_that_has_completed_before_is_not_blocked(vms):
    request = gateway_builders.request()
    vms[0].record_completion(request, SUCCESS)
    crash(vms[0], request, 5)
    assert not vms[0].is_blocked(request)


# Guards against VMs that block a request which completes on another VM.
@pytest.mark.parametrize("completes_first", [False, True])
def test_a_copy_that_completes_on_one_vm_clears_the_crashes_on_all(
    vms, completes_first
):
    request = gateway_builders.request()
    if completes_first:
        vms[1].record_completion(request, SUCCESS)
    crash(vms[0], request)
    if not completes_first:
        vms[1].record_completion(request, SUCCESS)
    deliver()
    assert blocked(vms, request) == [False, False, False]
    crash(vms[2], request, 5)
    assert blocked(vms, request) == [False, False, False]


# Guards against poison requests that are forgotten because endpoints with many requests
# fell later.
def test_a_blocked_request_outlives_the_histories_of_others(vms, monkeypatch):
    monkeypatch.setattr(poison_requests, "MAX_REQUESTS", 3)
    request = gateway_builders.request()
    crash(vms[0], request)
    for number in range(10):
        crash(vms[0], gateway_builders.request(path=f"/{number}"), 1)
    assert blocked(vms, request) == [True, True, True]
    assert len(vms[0].history_by_fingerprint) == 3


# Guards against a request that is refused because of another caller's crashes.
def test_requests_of_other_accounts_are_other_requests():
    accounts = [gateway_builders.account(name) for name in ("a", "b")]
    fingerprints = {
        gateway_builders.request(account=account).fingerprint() for account in accounts
    }
    assert len(fingerprints) == 2


def test_the_number_of_remembered_completions_is_bounded(vms, monkeypatch):
    monkeypatch.setattr(poison_requests, "MAX_REQUESTS", 3)
    for number in range(10):
        request = gateway_builders.request(path=f"/{number}")
        vms[0].record_completion(request, SUCCESS)
    assert len(vms[0].completed_at_by_fingerprint) == 3
