"""Tests of slots between VMs whose owners, entries or links fail or leave."""

import time

import gevent
import pytest
import result

import builders
import clusters
from mothworks import (
    catalogue,
    endpoints,
    health,
    placement,
    slot_owner,
    slots,
)
from mothworks_fakes import processes

PARTS = (
    *clusters.MEMBERSHIP_PARTS,
    placement.Placement,
    health.Health,
    slot_owner.SlotOwner,
    slots.Slots,
)
SLOTS = 2


class Endpoint(endpoints.Adapter):
    """Reports an endpoint with one model; the cluster sets whether it drains."""

    def __init__(self, cluster):
        self.cluster = cluster

    def report(self, endpoint):
        return result.Ok(
            endpoints.Report(
                (endpoints.Resident("menu", "1", 16_000),),
                draining=endpoint.name in self.cluster.draining,
            )
        )


class Cluster(clusters.Cluster):
    """VMs that share two endpoints of :data:`SLOTS` slots each."""

    def __init__(self):
        super().__init__()
        self.draining = set()
        self.endpoints = tuple(
            builders.endpoint(f"engine-{number}", slots=SLOTS) for number in (1, 2)
        )
        declared = builders.make_catalogue(endpoints=self.endpoints)
        self.index = catalogue.Index(declared)
        self.requests = 0

    def add(self, name, **location):
        vm = super().add(name, parts=PARTS, **location)
        part = vm.kernel.get(health.Health)
        part.adapters.adapter_by_kind["vllm"] = Endpoint(self)
        part.configuration.index = self.index
        for notify in part.configuration.change_callbacks:
            notify()
        vm.slots = vm.kernel.get(slots.Slots)
        vm.placement = vm.kernel.get(placement.Placement)
        return vm

    def owner(self, endpoint):
        """Return the owner that all VMs agree on; None while they differ."""
        owners = {
            vm.kernel.get(health.Health).owner(endpoint).name
            for vm in self.vm_by_name.values()
        }
        return owners.pop() if len(owners) == 1 else None

    def entry(self, *endpoints):
        """Return a VM that owns none of the endpoints."""
        owners = {self.owner(endpoint) for endpoint in endpoints}
        return next(vm for vm in self.vm_by_name.values() if vm.name not in owners)

    def acquire(self, vm, *endpoints, **changes):
        """Acquire a slot in a new greenlet."""
        self.requests += 1
        now = time.monotonic()
        fields = {"first_token_deadline": now + 30, **changes}
        request = builders.request(f"request-{self.requests}", **fields)
        return gevent.spawn(vm.slots.acquire, request, *endpoints)

    def fill(self, vm, endpoint):
        """Acquire all slots of an endpoint."""
        tasks = [self.acquire(vm, endpoint) for _ in range(SLOTS)]
        return [task.get(timeout=10).unwrap() for task in tasks]

    def batch(self, endpoint):
        return self.vm_by_name[self.owner(endpoint)].slots.owner.batch(endpoint.name)


@pytest.fixture
def cluster():
    new_cluster = Cluster()
    names = [f"vm-{number}" for number in range(1, 5)]
    for name in names:
        new_cluster.add(name)
    new_cluster.wait_for_members(*names)
    processes.wait_until(
        lambda: all(
            not vm.placement.closed_reason(endpoint.name)
            for vm in new_cluster.vm_by_name.values()
            for endpoint in new_cluster.endpoints
        )
    )
    yield new_cluster
    new_cluster.stop()


def wait_for_queue(cluster, endpoint, number):
    processes.wait_until(lambda: len(cluster.batch(endpoint).queue) == number)


def test_a_released_slot_is_granted_to_the_next_request(cluster):
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    grants = cluster.fill(entry, endpoint)
    queued = cluster.acquire(entry, endpoint)
    wait_for_queue(cluster, endpoint, 1)
    entry.slots.release(grants[0], slots.RequestEnd())
    assert queued.get(timeout=10).unwrap().endpoint == endpoint
    assert cluster.batch(endpoint).running() == SLOTS


def test_a_request_queued_at_one_endpoint_gets_a_slot_of_the_second(cluster):
    first, second = cluster.endpoints
    entry = cluster.entry(first, second)
    cluster.fill(entry, first)
    grant = cluster.acquire(entry, first, second).get(timeout=10).unwrap()
    assert grant.endpoint == second
    wait_for_queue(cluster, first, 0)


def test_a_request_queued_at_two_endpoints_accepts_the_first_slot(cluster):
    first, second = cluster.endpoints
    entry = cluster.entry(first, second)
    grants_by_endpoint = {
        item.name: cluster.fill(entry, item) for item in (first, second)
    }
    queued = cluster.acquire(entry, first, second)
    wait_for_queue(cluster, first, 1)
    wait_for_queue(cluster, second, 1)
    entry.slots.release(grants_by_endpoint[second.name][0], slots.RequestEnd())
    assert queued.get(timeout=10).unwrap().endpoint == second
    wait_for_queue(cluster, first, 0)
    assert cluster.batch(first).running() == SLOTS


def test_a_cancelled_request_leaves_the_queue(cluster):
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    cluster.fill(entry, endpoint)
    queued = cluster.acquire(entry, endpoint)
    wait_for_queue(cluster, endpoint, 1)
    queued.kill()
    wait_for_queue(cluster, endpoint, 0)


def test_slots_of_a_dead_entry_are_released(cluster):
    """An entry that holds all slots of an endpoint dies without releasing them."""
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    cluster.fill(entry, endpoint)
    other = next(vm for vm in cluster.vm_by_name.values() if vm is not entry)
    queued = cluster.acquire(other, endpoint)
    cluster.vm_by_name.pop(entry.name).stop()
    assert queued.get(timeout=10).is_ok()


def test_a_lost_release_does_not_leak_its_slot(cluster):
    """Guards against a slot leak when a connection breaks.

    The release message is lost with its connection. The owner asks the entry about
    slots granted long ago, and releases those that the entry does not know.
    """
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    grants = cluster.fill(entry, endpoint)
    for grant in grants:
        entry.slots.reservation_by_number.pop(grant.number)
    batch = cluster.batch(endpoint)
    for slot in batch.slot_by_key.values():
        slot.since -= slot_owner.CHECK_INTERVAL_S
    cluster.vm_by_name[cluster.owner(endpoint)].slots.owner.check_slots()
    processes.wait_until(lambda: batch.running() == 0)


def test_requests_of_a_dead_owner_move_to_the_new_owner(cluster):
    """An owner dies while some requests run and others are queued.

    The queued ones get a slot from the new owner. It learns first which requests
    are running, so that it does not overfill the endpoint's batch.
    """
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    grants = cluster.fill(entry, endpoint)
    queued = cluster.acquire(entry, endpoint)
    wait_for_queue(cluster, endpoint, 1)
    former = cluster.owner(endpoint)
    cluster.vm_by_name.pop(former).stop()
    processes.wait_until(lambda: cluster.owner(endpoint) not in (None, former))
    processes.wait_until(lambda: cluster.batch(endpoint).running() >= SLOTS)
    for grant in grants:
        entry.slots.release(grant, slots.RequestEnd())
    assert queued.get(timeout=10).is_ok()


def test_a_leaving_owner_hands_over_its_queue(cluster):
    """A VM shuts down gracefully while requests wait in its queue.

    None of them is refused; they queue at the new owner instead.
    """
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    grants = cluster.fill(entry, endpoint)
    queued = cluster.acquire(entry, endpoint)
    wait_for_queue(cluster, endpoint, 1)
    former = cluster.owner(endpoint)
    leaver = cluster.vm_by_name[former]
    leaver.kernel.draining = True
    for notify in leaver.kernel.on_draining:
        notify()
    processes.wait_until(lambda: cluster.owner(endpoint) not in (None, former))
    wait_for_queue(cluster, endpoint, 1)
    assert cluster.batch(endpoint).running() == SLOTS
    entry.slots.release(grants[0], slots.RequestEnd())
    assert queued.get(timeout=10).is_ok()


def test_an_entry_without_an_owner_limits_itself(cluster):
    """An entry loses its link to an owner that other VMs still reach.

    It continues to send as many requests as its share of the batch allows, and
    queues the rest.
    """
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    owner = cluster.owner(endpoint)
    entry.peers.connect = refuse
    cluster.vm_by_name[owner].peers.connect = refuse
    entry.peers.link_by_vm[owner].close() if owner in entry.peers.link_by_vm else None
    processes.wait_until(lambda: owner not in entry.peers.link_by_vm)
    first = cluster.acquire(entry, endpoint).get(timeout=10).unwrap()
    assert first.owner == ""
    second = cluster.acquire(entry, endpoint)
    fallback = entry.slots.owner.fallback_by_endpoint[endpoint.name]
    processes.wait_until(lambda: len(fallback.queue) == 1)
    entry.slots.release(first, slots.RequestEnd())
    assert second.get(timeout=10).is_ok()


def refuse(address, timeout):
    raise ConnectionRefusedError


def test_a_paused_owner_does_not_block_requests(cluster):
    """A paused owner keeps its connections but does not reply.

    A request must not wait for it until its deadline.
    """
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    owner = cluster.vm_by_name[cluster.owner(endpoint)]
    owner.peers.handler_by_class.clear()
    assert cluster.acquire(entry, endpoint).get(timeout=10).unwrap().owner == ""


def test_a_draining_endpoint_is_not_granted_to_queued_requests(cluster):
    """An endpoint starts to drain while requests are queued for it.

    They are refused as not run, or go to another endpoint; a slot that becomes
    free is not granted any more.
    """
    first, second = cluster.endpoints
    entry = cluster.entry(first, second)
    grants = cluster.fill(entry, first)
    only_here = cluster.acquire(entry, first)
    wait_for_queue(cluster, first, 1)
    cluster.draining.add(first.name)
    refusal = only_here.get(timeout=10).unwrap_err()
    assert refusal.ran == "no"
    entry.slots.release(grants[0], slots.RequestEnd())
    again = cluster.acquire(entry, first, second).get(timeout=10).unwrap()
    assert again.endpoint == second


def test_the_count_stays_exact_after_a_broken_link(cluster):
    """The connection between entry and owner breaks and is restored.

    Running requests are still counted once, and later releases reduce the count.
    """
    endpoint = cluster.endpoints[0]
    entry = cluster.entry(endpoint)
    grants = cluster.fill(entry, endpoint)
    owner = cluster.owner(endpoint)
    broken = entry.peers.link_by_vm[owner]
    broken.close()
    processes.wait_until(
        lambda: entry.peers.link_by_vm.get(owner) not in (None, broken)
    )
    assert cluster.batch(endpoint).running() == SLOTS
    for grant in grants:
        entry.slots.release(grant, slots.RequestEnd())
    processes.wait_until(lambda: cluster.batch(endpoint).running() == 0)
