"""Poison requests: crashes count only against requests of which no copy completes."""

import types

import pytest

import fleet_builders
import gateway_builders
from mothworks import peers
from mothworks_gateway import poison_requests

VMS = ("vm-1", "vm-2")
SUCCESS = types.SimpleNamespace(status=200, is_framed=True)


@pytest.fixture
def vms():
    network = fleet_builders.Network()
    return [
        poison_requests.PoisonRequests(
            gateway_builders.Kernel(
                {peers.Peers: fleet_builders.Peers(name, network, VMS)}
            )
        )
        for name in VMS
    ]


def crash(part, request, count=poison_requests.CRASHES_TO_BLOCK):
    for number in range(count):
        part.record_crash(request, gateway_builders.endpoint(f"i-{number}"))


def test_a_request_that_crashed_several_endpoints_is_blocked_on_all_vms(vms):
    request = gateway_builders.request()
    crash(vms[0], request)
    assert [part.is_blocked(request) for part in vms] == [True, True]


# Guards against look-ups that stay blocked after endpoints fell for another reason.
def test_a_request_that_has_completed_before_is_not_blocked(vms):
    request = gateway_builders.request()
    vms[0].record_completion(request, SUCCESS)
    crash(vms[0], request, 5)
    assert not vms[0].is_blocked(request)


# Guards against VMs that block a request which completes on another VM.
def test_a_copy_that_completes_on_one_vm_clears_the_crashes_on_all(vms):
    request = gateway_builders.request()
    crash(vms[0], request)
    vms[1].record_completion(request, SUCCESS)
    assert [part.is_blocked(request) for part in vms] == [False, False]


def test_the_number_of_remembered_completions_is_bounded(vms, monkeypatch):
    monkeypatch.setattr(poison_requests, "MAX_REQUESTS", 3)
    for number in range(10):
        request = gateway_builders.request(path=f"/{number}")
        vms[0].record_completion(request, SUCCESS)
    assert len(vms[0].completed_at_by_fingerprint) == 3


# Guards against a request that is refused because of another caller's crashes.
def test_requests_of_other_accounts_are_other_requests():
    accounts = [gateway_builders.account(name) for name in ("a", "b")]
    fingerprints = {
        gateway_builders.request(account=account).fingerprint() for account in accounts
    }
    assert len(fingerprints) == 2
