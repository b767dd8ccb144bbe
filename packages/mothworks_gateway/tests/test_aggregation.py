"""Aggregation: all VMs know what runs at each endpoint, the holder knows all demand.

Simulates 195 VMs and 59 endpoints that run ten requests each, in virtual time. Each VM
sends one or two requests a second, so none sees enough by itself.
"""

import collections
import random
import types

import pytest

import fleet_builders
import gateway_builders
from mothworks_gateway import (
    aggregation,
    caller_request,
    collectors,
    declarations,
    discovery,
    error_rates,
    feeding,
    health,
    heartbeat,
    lease,
    ranking,
    registry,
    running_requests,
    shared_health,
)

VMS = 195
ENDPOINTS = [gateway_builders.endpoint(f"i-{number}") for number in range(59)]
MODEL = caller_request.Target("s", "m")


class Clock:
    """Fake clock of the modules under test."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        for module in (aggregation, health, running_requests, heartbeat, error_rates):
            monkeypatch.setattr(module, "time", self)

    def monotonic(self):
        return self.now


class Vm:
    """One VM with heartbeats, running requests and aggregation, without network."""

    def __init__(self, name, fleet):
        self.held = False
        holder = types.SimpleNamespace(holder=lambda: fleet.holder)
        view = registry.Registry()
        view.by_id = {item.id: item for item in ENDPOINTS}
        # As new as all heartbeats state, so that no VM fetches state from a peer.
        view.cursor = 1
        parts = {
            lease.Lease: holder,
            declarations.Declarations: types.SimpleNamespace(version=1),
            discovery.Discovery: types.SimpleNamespace(registry=view, changed_at=1),
            feeding.FeedFollowers: None,
        }
        kernel = fleet_builders.make_kernel(name, fleet.names, fleet.network, parts)
        kernel.parts[heartbeat.Heartbeats] = self.heartbeats = heartbeat.Heartbeats(
            kernel
        )
        self.heartbeats.field_providers.append(
            lambda: {"fence": 3 * (fleet.holder == name)}
        )
        kernel.parts[running_requests.RunningRequests] = self.running_requests = (
            running_requests.RunningRequests(kernel)
        )
        kernel.parts[health.Health] = self.health = health.Health(kernel)
        kernel.parts[shared_health.SharedHealth] = shared_health.SharedHealth(kernel)
        fleet_builders.add_endpoint_limits(kernel)
        self.aggregation = aggregation.Aggregation(kernel)
        #: Number of arrived requests in all heartbeats that this VM received.
        self.arrived_count = 0
        self.heartbeats.on_received.append(self.count)

    def count(self, _, received):
        self.arrived_count += sum(row[3] for row in received.arrived)


class Fleet:
    """VMs that send heartbeats four times a second, in a new random order each time."""

    def __init__(self, monkeypatch, count=VMS):
        self.clock = Clock(monkeypatch)
        self.random = random.Random(count)
        self.network = fleet_builders.Network()
        self.names = fleet_builders.vm_names(count)
        self.holder = ""
        self.vm_by_name = {name: Vm(name, self) for name in self.names}
        any_vm = self.vm_by_name[self.names[0]].aggregation
        self.collectors = collectors.select(any_vm.ranking.vms)
        self.holder = self.collectors[0]
        self.running_by_endpoint = collections.Counter()

    def begin(self, name, endpoint):
        self.vm_by_name[name].running_requests.request_started(endpoint, MODEL)
        self.vm_by_name[name].running_requests.arrived[MODEL] += 1.0
        self.running_by_endpoint[endpoint.id] += 1

    def run(self, seconds):
        for _ in range(round(seconds / heartbeat.INTERVAL_S)):
            self.clock.now += heartbeat.INTERVAL_S
            for name in self.random.sample(self.names, len(self.names)):
                if name not in self.network.down:
                    self.vm_by_name[name].heartbeats.send()
                    self.vm_by_name[name].running_requests._expire()

    def fill(self):
        """Start ten requests at each endpoint, each from a random VM."""
        for endpoint in ENDPOINTS:
            for _ in range(10):
                self.begin(self.random.choice(self.names), endpoint)

    def count_error(self, name):
        """Return by how many requests a VM's view of all endpoints is wrong."""
        view = self.vm_by_name[name].running_requests
        return sum(
            abs(view.of_endpoint(item.id) - self.running_by_endpoint[item.id])
            for item in ENDPOINTS
        )


@pytest.mark.parametrize("count", [2, 17, 18, 75, VMS])
def test_all_vms_know_all_running_requests(monkeypatch, count):
    # With heartbeats to 16 random peers, a VM knew half of the 590 requests.
    fleet = Fleet(monkeypatch, count)
    fleet.run(1)
    fleet.fill()
    fleet.run(1)
    assert {fleet.count_error(name) for name in fleet.names} == {0}


@pytest.mark.parametrize("holder", ["first by rank", "any other"])
def test_the_holder_counts_each_request_once(monkeypatch, holder):
    # With heartbeats to 16 peers, the holder received 8 in 100 requests and ordered
    # models for a twelfth of the demand.
    fleet = Fleet(monkeypatch)
    if holder == "any other":
        fleet.holder = next(vm for vm in fleet.names if vm not in fleet.collectors)
    fleet.run(2)
    fleet.fill()
    fleet.run(1)
    assert fleet.vm_by_name[fleet.holder].arrived_count == 590


def test_the_next_holder_by_rank_knows_the_demand(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    fleet.fill()
    fleet.run(1)
    assert fleet.vm_by_name[fleet.collectors[1]].arrived_count == 590


def test_all_vms_know_the_holder(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.holder = next(vm for vm in fleet.names if vm not in fleet.collectors)
    fleet.run(1)
    for name in set(fleet.names) - {fleet.holder}:
        assert fleet.vm_by_name[name].heartbeats.fresh()[fleet.holder].fence == 3


def test_a_failed_collector_is_replaced_and_nothing_counts_twice(monkeypatch):
    # A collector is killed and membership has not noticed yet. Its VMs must regain a
    # view, and their requests must not stay counted at two collectors.
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    fleet.fill()
    fleet.run(1)
    failed = fleet.collectors[3]
    fleet.network.down.add(failed)
    lost_requests = fleet.vm_by_name[failed].running_requests.running.by_endpoint
    fleet.running_by_endpoint -= lost_requests
    fleet.run(collectors.TOTALS_TIMEOUT_S + heartbeat.STALE_S + 1.0)
    living = set(fleet.names) - {failed}
    assert {fleet.count_error(name) for name in living} == {0}


def test_a_vm_sends_few_messages(monkeypatch):
    # Heartbeats from each VM to all peers took 195 times 194 messages per interval of
    # 0.25 s. With collectors, a VM sends one message and receives one; a collector
    # sends to 8 others and about 24 VMs.
    fleet = Fleet(monkeypatch)
    fleet.run(2)
    fleet.network.sent_by_vm.clear()
    fleet.run(1)
    sent = fleet.network.sent_by_vm
    sent_by_non_collectors = [
        sent[name] for name in fleet.names if name not in fleet.collectors
    ]
    assert max(sent_by_non_collectors) <= 5
    assert max(sent.values()) <= 4 * (8 + 2 * collectors.VMS_PER_COLLECTOR)


def test_own_requests_count_at_once(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    name = next(vm for vm in fleet.names if vm not in fleet.collectors)
    for _ in range(3):
        fleet.begin(name, ENDPOINTS[0])
    assert fleet.vm_by_name[name].running_requests.of_endpoint("i-0") == 3


def set_members(view, near):
    """Change the live VMs in a VM's membership."""
    view.region_peers = lambda: near
    for notify in view.on_change:
        notify()


def test_a_temporary_collector_stops_collecting(monkeypatch):
    # While VMs start, some know few others and act as collectors. They counted
    # themselves among the VMs that report to them, so none of them ever stopped: they
    # reported to no collector, received no totals, and tried to acquire the lease.
    fleet = Fleet(monkeypatch)
    name = next(vm for vm in fleet.names if vm not in fleet.collectors)
    view = fleet.vm_by_name[name].aggregation.membership
    all_near = view.region_peers()
    set_members(view, all_near[:17])
    monkeypatch.setattr(collectors, "MIN_COLLECTORS", 18)
    fleet.vm_by_name[name].heartbeats.send()
    monkeypatch.undo()
    fleet.clock = Clock(monkeypatch)
    set_members(view, all_near)
    fleet.run(1)
    assert fleet.vm_by_name[name].running_requests.totals is not None
    assert fleet.vm_by_name[name].heartbeats.fresh()[fleet.holder].fence == 3


LOOKUPS = [
    gateway_builders.endpoint(f"lookup-{number}", "lookups") for number in range(6)
]


def run_lookups(fleet, seconds, failing, error_share):
    """Give VMs 100 answers a second from six endpoints, of which some return errors.

    :returns: pairs of a VM and an endpoint's id that the VM passed over at any time.
    """
    passed_over = set()
    for _ in range(round(seconds / heartbeat.INTERVAL_S)):
        for _ in range(25):
            health_part = fleet.vm_by_name[fleet.random.choice(fleet.names)].health
            endpoint = fleet.random.choice(LOOKUPS)
            if fleet.random.random() < (error_share if endpoint in failing else 0.004):
                health_part.record_failure(endpoint, "status 500", 0.5)
            else:
                health_part.record_success(endpoint, 0.05)
        fleet.run(heartbeat.INTERVAL_S)
        passed_over |= {
            (name, endpoint.id)
            for name in fleet.names
            for endpoint in LOOKUPS
            if endpoint not in fleet.vm_by_name[name].health.healthy(LOOKUPS)
        }
    return passed_over


def fleet_with_lookups(monkeypatch, count):
    fleet = Fleet(monkeypatch, count)
    for vm in fleet.vm_by_name.values():
        vm.health.registry.by_id.update({item.id: item for item in LOOKUPS})
    fleet.run(2)
    return fleet


@pytest.mark.parametrize("count", [9, 75, VMS])
def test_an_endpoint_that_fails_for_all_vms_is_passed_over_by_all(monkeypatch, count):
    # One of six endpoints answers 40 in 100 lookups with an error while its health
    # check passes. Each of 195 VMs sends it one request in twelve seconds, so none
    # passed it over by itself, and callers got one failure after the other.
    fleet = fleet_with_lookups(monkeypatch, count)
    passed_over = run_lookups(fleet, 3, LOOKUPS[:1], 0.4)
    assert passed_over == {(name, "lookup-0") for name in fleet.names}


def test_no_endpoint_is_passed_over_for_usual_errors(monkeypatch):
    # Four in a thousand requests cause an error of their own.
    fleet = fleet_with_lookups(monkeypatch, VMS)
    assert run_lookups(fleet, 20, [], 0.0) == set()


def test_an_endpoint_that_recovered_is_used_again(monkeypatch):
    fleet = fleet_with_lookups(monkeypatch, VMS)
    run_lookups(fleet, 3, LOOKUPS[:1], 0.4)
    run_lookups(fleet, 4, [], 0.0)
    assert run_lookups(fleet, 3, [], 0.0) == set()


def test_an_endpoint_unreachable_from_one_vm_is_passed_over_only_there(monkeypatch):
    # One VM's link to the endpoint is cut. The endpoint works for all other VMs and
    # must stay in use there.
    fleet = fleet_with_lookups(monkeypatch, VMS)
    isolated = fleet.vm_by_name[fleet.names[7]]
    for _ in range(20):
        isolated.health.record_failure(LOOKUPS[0], "timed out")
    # Shorter than the minimum time for which an endpoint is passed over.
    fleet.run(0.5)
    assert LOOKUPS[0] not in isolated.health.healthy(LOOKUPS)
    others = [fleet.vm_by_name[name] for name in fleet.names if name != fleet.names[7]]
    assert all(LOOKUPS[0] in vm.health.healthy(LOOKUPS) for vm in others)


def test_the_ranking_is_computed_once_per_membership_change(monkeypatch):
    # Computed for each heartbeat, it took two fifths of the heartbeats' cost (195 VMs).
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    computed_keys = []
    weight = ranking.ownership.weight
    monkeypatch.setattr(
        ranking.ownership,
        "weight",
        lambda *key: computed_keys.append(key) or weight(*key),
    )
    fleet.run(2)
    assert computed_keys == []
    part = fleet.vm_by_name[fleet.names[0]].aggregation
    set_members(part.membership, part.membership.region_peers()[1:])
    assert len(part.ranking.vms) == VMS - 1
    assert len(computed_keys) == VMS - 1


def test_a_fleet_leaves_no_tasks_behind(monkeypatch):
    # Each VM tried to fetch a registry that seemed newer than its own. Thousands of
    # such tasks ended with a traceback once another test in the same process entered
    # the event loop, and delayed that test's calls past their timeouts.
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    busy_vms = [
        vm for vm in fleet.vm_by_name.values() if len(vm.heartbeats.tasks.group)
    ]
    assert busy_vms == []
