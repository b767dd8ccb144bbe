"""Trials of blocked parts: one request of all VMs shows whether a part is still bad."""

import itertools
import time
import types

import gevent
import pytest

import fleet_builders
import gateway_builders
from mothworks_gateway import (
    broadcast,
    caller_request,
    crash_histories,
    owners,
    part_trials,
    poison_requests,
    shared_budgets,
)

VMS = ("vm-1", "vm-2", "vm-3")
_numbers = itertools.count(1)


class Budgets:
    """Stub of the shared budgets; the first VM owns all."""

    def __init__(self, vm_peers):
        self.peers = vm_peers
        self.may_grant = lambda: True

    def responsive_owners(self, key):
        return [VMS[0]]

    def call_owner(self, owner, message, thing):
        return self.peers.call(owner, message, 0.1).ok_value


def make_part(name, network):
    kernel = fleet_builders.make_kernel(name, VMS, network)
    kernel.parts[broadcast.Broadcast] = broadcast.Broadcast(kernel)
    poison = poison_requests.PoisonRequests(kernel)
    vm_peers = network.peers_by_vm[name]
    kernel.parts |= {
        poison_requests.PoisonRequests: poison,
        owners.Owners: types.SimpleNamespace(),
        shared_budgets.SharedBudgets: Budgets(vm_peers),
    }
    return part_trials.PartTrials(kernel)


@pytest.fixture
def vms(monkeypatch):
    monkeypatch.setattr(crash_histories, "TRIAL_DELAY_S", 0.3)
    monkeypatch.setattr(part_trials, "GRANT_INTERVAL_S", 0.3)
    network = fleet_builders.Network()
    return [make_part(name, network) for name in VMS]


def prompt(*ids):
    """Return a request whose prompt has shared parts, and a part of its own."""
    own = f"own-{next(_numbers)}"
    parts = tuple(caller_request.PromptPart(item, 50) for item in (*ids, own))
    return gateway_builders.request(
        path=f"/{own}", prompt=parts, received_at=time.monotonic()
    )


def deliver():
    """Wait until all published messages have arrived."""
    gevent.sleep(4 * broadcast.BATCH_DELAY_S)


def crash(vm, request):
    endpoint = gateway_builders.endpoint(f"i-{next(_numbers)}")
    vm.poison_requests.record_crash(request, endpoint)


def block(vms, *ids):
    """Let requests with some parts crash endpoints until these are blocked."""
    for _ in range(poison_requests.CRASHES_TO_BLOCK):
        gevent.sleep(crash_histories.SAME_MOMENT_S + 0.01)
        crash(vms[0], prompt(*ids))
    deliver()
    assert all(vm.poison_requests.is_blocked(prompt(*ids)) for vm in vms)


def admitted(vms, *ids):
    """Return the trials that VMs admit among one request each."""
    requests = [vm.admit(prompt(*ids)) for vm in vms]
    return [item.ok_value for item in requests if item.is_ok()]


# Guards against blocked parts that no request is ever sent with, and against one trial
# on each VM.
def test_one_request_of_all_vms_is_a_trial(vms):
    block(vms, "bad")
    assert admitted(vms, "bad") == []
    gevent.sleep(0.35)
    [trial] = admitted(vms * 3, "bad")
    assert not vms[0].poison_requests.is_blocked(trial)
    assert vms[0].poison_requests.is_blocked(prompt("bad"))


# Guards against trials that go on at another endpoint, and against frequent trials.
def test_a_trial_that_crashes_its_endpoint_delays_the_next(vms):
    block(vms, "bad")
    gevent.sleep(0.35)
    [trial] = admitted(vms, "bad")
    crash(vms[0], trial)
    deliver()
    assert vms[0].poison_requests.is_blocked(trial)
    gevent.sleep(0.35)
    assert admitted(vms, "bad") == []
    gevent.sleep(0.35)
    assert len(admitted(vms, "bad")) == 1


def test_a_trial_that_runs_well_clears_the_part_on_all_vms(vms):
    block(vms, "first")
    gevent.sleep(0.35)
    [trial] = admitted(vms, "first")
    vms[2].poison_requests.record_answer(trial, time.monotonic())
    deliver()
    assert not any(vm.poison_requests.is_blocked(prompt("first")) for vm in vms)


# Guards against trials from which nothing can be learnt about one part.
def test_a_request_with_two_blocked_parts_is_no_trial(vms):
    block(vms, "first")
    block(vms, "bad")
    gevent.sleep(0.35)
    assert admitted(vms, "first", "bad") == []
    assert len(admitted(vms, "first")) == 1


# Guards against a trial on each side of a partition.
def test_a_vm_that_may_not_grant_admits_none(vms):
    block(vms, "bad")
    gevent.sleep(0.35)
    vms[0].budgets.may_grant = lambda: False
    assert admitted(vms, "bad") == []


# Guards against a part that stays blocked on one VM, since its owner does not block it.
def test_an_owner_grants_trials_of_parts_that_it_does_not_block(vms):
    block(vms, "bad")
    vms[0].poison_requests.parts.record_success(
        poison_requests.part_fingerprints(prompt("bad"))[0], time.monotonic()
    )
    assert not vms[0].poison_requests.is_blocked(prompt("bad"))
    gevent.sleep(0.35)
    assert len(admitted(vms[1:], "bad")) == 1
