"""Gathering: all VMs know what runs at each endpoint, the holder all that is asked for.

The pattern is 195 VMs before 59 endpoints that run ten requests each, in virtual time:
each VM sends one or two requests a second, so none sees enough by itself.
"""

import collections
import random
import types

import pytest

import fleet_builders
import gateway_builders
from mothworks_gateway import (
    asked,
    collectors,
    declarations,
    discovery,
    evidence,
    feeding,
    gathering,
    health,
    heartbeat,
    lease,
    load,
    ranking,
    registry,
    seen_answers,
)

VMS = 195
ENDPOINTS = [gateway_builders.endpoint(f"i-{number}") for number in range(59)]
MODEL = asked.Target("s", "m")


class Clock:
    """Stands for the clock of the modules under test."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        for module in (gathering, health, load, heartbeat, seen_answers):
            monkeypatch.setattr(module, "time", self)

    def monotonic(self):
        return self.now


class Vm:
    """One VM: heartbeats, load and gathering, without network."""

    def __init__(self, name, fleet):
        self.held = False
        holder = types.SimpleNamespace(holder=lambda: fleet.holder)
        view = registry.Registry()
        view.by_id = {item.id: item for item in ENDPOINTS}
        # As new as all heartbeats say, so that nobody asks for what it lacks.
        view.cursor = 1
        parts = {
            lease.Lease: holder,
            declarations.Declarations: types.SimpleNamespace(version=1),
            discovery.Discovery: types.SimpleNamespace(registry=view, changed_at=1),
            feeding.Feeding: None,
        }
        kernel = fleet_builders.kernel_of(name, fleet.names, fleet.wire, parts)
        kernel.parts[heartbeat.Heartbeats] = self.heartbeats = heartbeat.Heartbeats(
            kernel
        )
        self.heartbeats.on_heartbeat.append(
            lambda: {"fence": 3 * (fleet.holder == name)}
        )
        kernel.parts[load.Load] = self.load = load.Load(kernel)
        kernel.parts[health.Health] = self.health = health.Health(kernel)
        kernel.parts[evidence.Evidence] = evidence.Evidence(kernel)
        fleet_builders.add_limits(kernel)
        self.gathering = gathering.Gathering(kernel)
        #: Requests that arrived, as this VM heard.
        self.heard = 0
        self.heartbeats.on_received.append(self.count)

    def count(self, _, told):
        self.heard += sum(row[3] for row in told.arrived)


class Fleet:
    """VMs that heartbeat four times a second, in an order drawn anew each time."""

    def __init__(self, monkeypatch, count=VMS):
        self.clock = Clock(monkeypatch)
        self.draw = random.Random(count)
        self.wire = fleet_builders.Wire()
        self.names = fleet_builders.names_of(count)
        self.holder = ""
        self.vm_by_name = {name: Vm(name, self) for name in self.names}
        any_vm = self.vm_by_name[self.names[0]].gathering
        self.collectors = collectors.select(any_vm.ranking.vms)
        self.holder = self.collectors[0]
        self.begun = collections.Counter()

    def begin(self, name, endpoint):
        self.vm_by_name[name].load.begin(endpoint, MODEL)
        self.vm_by_name[name].load.arrived[MODEL] += 1.0
        self.begun[endpoint.id] += 1

    def run(self, seconds):
        for _ in range(round(seconds / heartbeat.HEARTBEAT_S)):
            self.clock.now += heartbeat.HEARTBEAT_S
            for name in self.draw.sample(self.names, len(self.names)):
                if name not in self.wire.down:
                    self.vm_by_name[name].heartbeats.send()
                    self.vm_by_name[name].load._expire()

    def fill(self):
        """Let ten requests run at each endpoint, each sent by any VM."""
        for endpoint in ENDPOINTS:
            for _ in range(10):
                self.begin(self.draw.choice(self.names), endpoint)

    def unknown(self, name):
        """Return by how many requests a VM's view of all endpoints is off."""
        view = self.vm_by_name[name].load
        return sum(
            abs(view.of_endpoint(item.id) - self.begun[item.id]) for item in ENDPOINTS
        )


@pytest.mark.parametrize("count", [2, 17, 18, 75, VMS])
def test_all_vms_know_all_that_runs(monkeypatch, count):
    # With heartbeats to 16 peers drawn at random, a VM knew half of the 590 requests.
    fleet = Fleet(monkeypatch, count)
    fleet.run(1)
    fleet.fill()
    fleet.run(1)
    assert {fleet.unknown(name) for name in fleet.names} == {0}


@pytest.mark.parametrize("holder", ["first in line", "any other"])
def test_the_holder_hears_of_each_request_once(monkeypatch, holder):
    # With heartbeats to 16 peers the holder heard of 8 in 100 requests, and ordered
    # models for a twelfth of the demand.
    fleet = Fleet(monkeypatch)
    if holder == "any other":
        fleet.holder = next(vm for vm in fleet.names if vm not in fleet.collectors)
    fleet.run(2)
    fleet.fill()
    fleet.run(1)
    assert fleet.vm_by_name[fleet.holder].heard == 590


def test_who_would_hold_the_lease_next_knows_the_demand(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    fleet.fill()
    fleet.run(1)
    assert fleet.vm_by_name[fleet.collectors[1]].heard == 590


def test_all_vms_hear_of_the_holder(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.holder = next(vm for vm in fleet.names if vm not in fleet.collectors)
    fleet.run(1)
    for name in set(fleet.names) - {fleet.holder}:
        assert fleet.vm_by_name[name].heartbeats.fresh()[fleet.holder].fence == 3


def test_a_collector_that_dies_is_replaced_and_nothing_counts_twice(monkeypatch):
    # A collector is killed and membership has not noticed. Its VMs must not go on
    # without any view, nor may their requests count at two collectors for good.
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    fleet.fill()
    fleet.run(1)
    dead = fleet.collectors[3]
    fleet.wire.down.add(dead)
    lost = fleet.vm_by_name[dead].load.running.by_endpoint
    fleet.begun -= lost
    fleet.run(collectors.TOTALS_TIMEOUT_S + heartbeat.STALE_S + 1.0)
    living = set(fleet.names) - {dead}
    assert {fleet.unknown(name) for name in living} == {0}


def test_a_vm_sends_and_hears_a_few_messages(monkeypatch):
    # Heartbeats to all peers were 195 times 194 messages each quarter of a second. Now:
    # one to a collector and one back; a collector tells 8 others and some 24 VMs.
    fleet = Fleet(monkeypatch)
    fleet.run(2)
    fleet.wire.sent_by_vm.clear()
    fleet.run(1)
    sent = fleet.wire.sent_by_vm
    plain = [sent[name] for name in fleet.names if name not in fleet.collectors]
    assert max(plain) <= 5
    assert max(sent.values()) <= 4 * (8 + 2 * collectors.VMS_PER_COLLECTOR)


def test_own_requests_count_at_once(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    name = next(vm for vm in fleet.names if vm not in fleet.collectors)
    for _ in range(3):
        fleet.begin(name, ENDPOINTS[0])
    assert fleet.vm_by_name[name].load.of_endpoint("i-0") == 3


def know(known, near):
    """Let a VM's membership know other VMs."""
    known.near = lambda: near
    for notify in known.on_change:
        notify()


def test_a_vm_that_collected_for_a_moment_stops(monkeypatch):
    # While VMs start, some know few others and take themselves for collectors. They
    # counted themselves among those that they collect for, so none of them ever
    # stopped: they told nobody else, heard no totals, and tried to take the lease.
    fleet = Fleet(monkeypatch)
    name = next(vm for vm in fleet.names if vm not in fleet.collectors)
    known = fleet.vm_by_name[name].gathering.membership
    all_near = known.near()
    know(known, all_near[:17])
    monkeypatch.setattr(collectors, "MIN_COLLECTORS", 18)
    fleet.vm_by_name[name].heartbeats.send()
    monkeypatch.undo()
    fleet.clock = Clock(monkeypatch)
    know(known, all_near)
    fleet.run(1)
    assert fleet.vm_by_name[name].load.totals is not None
    assert fleet.vm_by_name[name].heartbeats.fresh()[fleet.holder].fence == 3


LOOKUPS = [
    gateway_builders.endpoint(f"lookup-{number}", "lookups") for number in range(6)
]


def answer(fleet, seconds, bad, share):
    """Let VMs get 100 answers a second from six endpoints, of which some err."""
    passed_over = set()
    for _ in range(round(seconds / heartbeat.HEARTBEAT_S)):
        for _ in range(25):
            view = fleet.vm_by_name[fleet.draw.choice(fleet.names)].health
            endpoint = fleet.draw.choice(LOOKUPS)
            if fleet.draw.random() < (share if endpoint in bad else 0.004):
                view.failed(endpoint, "status 500", 0.5)
            else:
                view.succeeded(endpoint, 0.05)
        fleet.run(heartbeat.HEARTBEAT_S)
        passed_over |= {
            (name, endpoint.id)
            for name in fleet.names
            for endpoint in LOOKUPS
            if endpoint not in fleet.vm_by_name[name].health.usable(LOOKUPS)
        }
    return passed_over


def with_lookups(monkeypatch, count):
    fleet = Fleet(monkeypatch, count)
    for vm in fleet.vm_by_name.values():
        vm.health.registry.by_id.update({item.id: item for item in LOOKUPS})
    fleet.run(2)
    return fleet


@pytest.mark.parametrize("count", [9, 75, VMS])
def test_an_endpoint_that_errs_for_all_is_passed_over_by_all(monkeypatch, count):
    # One of six endpoints answers 40 in 100 lookups with an error while its health
    # check is good. A VM among 195 asks it once in twelve seconds, and none of them
    # passed it over by itself; callers were sent from one failure to the next.
    fleet = with_lookups(monkeypatch, count)
    passed_over = answer(fleet, 3, LOOKUPS[:1], 0.4)
    assert passed_over == {(name, "lookup-0") for name in fleet.names}


def test_usual_errors_pass_no_endpoint_over(monkeypatch):
    # Four in a thousand requests end in an error that they cause themselves.
    fleet = with_lookups(monkeypatch, VMS)
    assert answer(fleet, 20, [], 0.0) == set()


def test_an_endpoint_that_recovered_is_used_again(monkeypatch):
    fleet = with_lookups(monkeypatch, VMS)
    answer(fleet, 3, LOOKUPS[:1], 0.4)
    answer(fleet, 4, [], 0.0)
    assert answer(fleet, 3, [], 0.0) == set()


def test_a_vm_that_alone_does_not_reach_an_endpoint_judges_for_itself(monkeypatch):
    # Its link to the endpoint is cut. To the others the endpoint is good, and must
    # stay in use.
    fleet = with_lookups(monkeypatch, VMS)
    alone = fleet.vm_by_name[fleet.names[7]]
    for _ in range(20):
        alone.health.failed(LOOKUPS[0], "timed out")
    # Less than an endpoint is passed over for at least.
    fleet.run(0.5)
    assert LOOKUPS[0] not in alone.health.usable(LOOKUPS)
    others = [fleet.vm_by_name[name] for name in fleet.names if name != fleet.names[7]]
    assert all(LOOKUPS[0] in vm.health.usable(LOOKUPS) for vm in others)


def test_the_order_of_vms_is_computed_once_a_change(monkeypatch):
    # Computed for each heartbeat, it took two fifths of what those of 195 VMs cost.
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    weighed = []
    weight = ranking.ownership.weight
    monkeypatch.setattr(
        ranking.ownership, "weight", lambda *key: weighed.append(key) or weight(*key)
    )
    fleet.run(2)
    assert weighed == []
    part = fleet.vm_by_name[fleet.names[0]].gathering
    know(part.membership, part.membership.near()[1:])
    assert len(part.ranking.vms) == VMS - 1
    assert len(weighed) == VMS - 1


def test_a_fleet_leaves_no_tasks_to_other_tests(monkeypatch):
    # Each VM asked for a registry that it took for newer than its own. Thousands of
    # such tasks ended with a traceback as soon as another test in the same process
    # entered the loop, and kept that test's calls waiting past their timeouts.
    fleet = Fleet(monkeypatch)
    fleet.run(1)
    left = [vm for vm in fleet.vm_by_name.values() if len(vm.heartbeats.tasks.group)]
    assert left == []
