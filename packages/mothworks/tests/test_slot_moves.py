"""Slots between VMs: owners and entries that die, pause, leave and lose links."""

import time

import gevent
import pytest
import result

import builders
import groups
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
    *groups.MEMBERSHIP,
    placement.Placement,
    health.Health,
    slot_owner.SlotOwner,
    slots.Slots,
)
SLOTS = 2


class Endpoint(endpoints.Adapter):
    """Reports an endpoint as a test wants it."""

    def __init__(self, group):
        self.group = group

    def report(self, endpoint):
        return result.Ok(
            endpoints.Report(
                (endpoints.Resident("menu", "1", 16_000),),
                draining=endpoint.name in self.group.draining,
            )
        )


class Group(groups.Group):
    """VMs that share two endpoints."""

    def __init__(self):
        super().__init__()
        self.draining = set()
        self.endpoints = tuple(
            builders.endpoint(f"engine-{number}", slots=SLOTS) for number in (1, 2)
        )
        declared = builders.declared(endpoints=self.endpoints)
        self.index = catalogue.Index(declared)
        self.requests = 0

    def add(self, name, **place):
        vm = super().add(name, parts=PARTS, **place)
        part = vm.kernel.get(health.Health)
        part.adapters.by_kind["vllm"] = Endpoint(self)
        part.configuration.index = self.index
        for notify in part.configuration.on_change:
            notify()
        vm.slots = vm.kernel.get(slots.Slots)
        vm.placement = vm.kernel.get(placement.Placement)
        return vm

    def owner(self, endpoint):
        """Return the VM that all VMs hold for the endpoint's owner."""
        owners = {
            vm.kernel.get(health.Health).owner(endpoint).name
            for vm in self.vm_by_name.values()
        }
        return owners.pop() if len(owners) == 1 else None

    def entry(self, *endpoints):
        """Return a VM that owns none of some endpoints."""
        owners = {self.owner(endpoint) for endpoint in endpoints}
        return next(vm for vm in self.vm_by_name.values() if vm.name not in owners)

    def acquire(self, vm, *endpoints, **changes):
        """Ask for a slot in a task of its own."""
        self.requests += 1
        now = time.monotonic()
        fields = {"first_token_deadline": now + 30, **changes}
        request = builders.request(f"request-{self.requests}", **fields)
        return gevent.spawn(vm.slots.acquire, request, *endpoints)

    def fill(self, vm, endpoint):
        """Take all slots of an endpoint."""
        tasks = [self.acquire(vm, endpoint) for _ in range(SLOTS)]
        return [task.get(timeout=10).unwrap() for task in tasks]

    def batch(self, endpoint):
        return self.vm_by_name[self.owner(endpoint)].slots.owner.batch(endpoint.name)


@pytest.fixture
def group():
    made = Group()
    names = [f"vm-{number}" for number in range(1, 5)]
    for name in names:
        made.add(name)
    made.wait(*names)
    processes.wait_until(
        lambda: all(
            not vm.placement.why_closed(endpoint.name)
            for vm in made.vm_by_name.values()
            for endpoint in made.endpoints
        )
    )
    yield made
    made.stop()


def waits(group, endpoint, number):
    processes.wait_until(lambda: len(group.batch(endpoint).queue) == number)


def test_a_slot_goes_to_the_next_when_it_is_given_back(group):
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    grants = group.fill(entry, endpoint)
    waiting = group.acquire(entry, endpoint)
    waits(group, endpoint, 1)
    entry.slots.release(grants[0], slots.End())
    assert waiting.get(timeout=10).unwrap().endpoint == endpoint
    assert group.batch(endpoint).running() == SLOTS


def test_the_second_endpoint_grants_where_the_first_lets_wait(group):
    first, second = group.endpoints
    entry = group.entry(first, second)
    group.fill(entry, first)
    grant = group.acquire(entry, first, second).get(timeout=10).unwrap()
    assert grant.endpoint == second
    waits(group, first, 0)


def test_a_request_waits_at_two_and_takes_the_first_slot(group):
    first, second = group.endpoints
    entry = group.entry(first, second)
    held = {item.name: group.fill(entry, item) for item in (first, second)}
    waiting = group.acquire(entry, first, second)
    waits(group, first, 1)
    waits(group, second, 1)
    entry.slots.release(held[second.name][0], slots.End())
    assert waiting.get(timeout=10).unwrap().endpoint == second
    waits(group, first, 0)
    assert group.batch(first).running() == SLOTS


def test_a_caller_that_goes_away_leaves_the_queue(group):
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    group.fill(entry, endpoint)
    waiting = group.acquire(entry, endpoint)
    waits(group, endpoint, 1)
    waiting.kill()
    waits(group, endpoint, 0)


def test_slots_of_a_dead_entry_are_free_again(group):
    """An entry vanishes with all slots of an endpoint and reports no end."""
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    group.fill(entry, endpoint)
    other = next(vm for vm in group.vm_by_name.values() if vm is not entry)
    waiting = group.acquire(other, endpoint)
    group.vm_by_name.pop(entry.name).stop()
    assert waiting.get(timeout=10).is_ok()


def test_a_lost_report_does_not_leak_its_slot(group):
    """The report of an end is lost with its connection.

    The slot would stay taken for good. The owner asks the entry after slots
    that are in use for long, and frees those that it does not know.
    """
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    grants = group.fill(entry, endpoint)
    for grant in grants:
        entry.slots.place_by_number.pop(grant.number)
    batch = group.batch(endpoint)
    for held in batch.held_by_key.values():
        held.since -= slot_owner.CHECK_S
    group.vm_by_name[group.owner(endpoint)].slots.owner.check()
    processes.wait_until(lambda: batch.running() == 0)


def test_a_dead_owners_requests_move_to_its_successor(group):
    """An owner vanishes while requests run and others wait.

    Those that wait get a slot from the new owner, which first learns what
    runs: the endpoint's batch is not filled twice.
    """
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    grants = group.fill(entry, endpoint)
    waiting = group.acquire(entry, endpoint)
    waits(group, endpoint, 1)
    former = group.owner(endpoint)
    group.vm_by_name.pop(former).stop()
    processes.wait_until(lambda: group.owner(endpoint) not in (None, former))
    processes.wait_until(lambda: group.batch(endpoint).running() >= SLOTS)
    for grant in grants:
        entry.slots.release(grant, slots.End())
    assert waiting.get(timeout=10).is_ok()


def test_a_leaving_owner_hands_over_its_queue(group):
    """A VM shuts down gracefully while requests wait in its queue.

    None of them is refused; they wait on at the new owner.
    """
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    grants = group.fill(entry, endpoint)
    waiting = group.acquire(entry, endpoint)
    waits(group, endpoint, 1)
    former = group.owner(endpoint)
    leaver = group.vm_by_name[former]
    leaver.kernel.draining = True
    for notify in leaver.kernel.on_draining:
        notify()
    processes.wait_until(lambda: group.owner(endpoint) not in (None, former))
    waits(group, endpoint, 1)
    assert group.batch(endpoint).running() == SLOTS
    entry.slots.release(grants[0], slots.End())
    assert waiting.get(timeout=10).is_ok()


def test_without_an_owner_an_entry_bounds_itself(group):
    """An entry loses its link to an owner that others still reach.

    Serving goes on without the owner, with as many requests as are this
    entry's share of the batch, and waits for the rest.
    """
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    owner = group.owner(endpoint)
    entry.peers.connect = refuse
    group.vm_by_name[owner].peers.connect = refuse
    entry.peers.link_by_vm[owner].close() if owner in entry.peers.link_by_vm else None
    processes.wait_until(lambda: owner not in entry.peers.link_by_vm)
    first = group.acquire(entry, endpoint).get(timeout=10).unwrap()
    assert first.owner == ""
    second = group.acquire(entry, endpoint)
    guard = entry.slots.owner.guard_by_endpoint[endpoint.name]
    processes.wait_until(lambda: len(guard.queue) == 1)
    entry.slots.release(first, slots.End())
    assert second.get(timeout=10).is_ok()


def refuse(address, timeout):
    raise ConnectionRefusedError


def test_a_paused_owner_does_not_hold_requests_up(group):
    """An owner is paused: its connections stand, but nothing answers.

    A request must not wait for it until its deadline.
    """
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    owner = group.vm_by_name[group.owner(endpoint)]
    owner.peers.handler_by_class.clear()
    assert group.acquire(entry, endpoint).get(timeout=10).unwrap().owner == ""


def test_a_draining_endpoint_gets_no_grant_though_requests_wait(group):
    """An endpoint starts to drain while requests wait for it.

    They are refused with nothing run, or go elsewhere; a slot that becomes
    free is not granted any more.
    """
    first, second = group.endpoints
    entry = group.entry(first, second)
    grants = group.fill(entry, first)
    only_here = group.acquire(entry, first)
    waits(group, first, 1)
    group.draining.add(first.name)
    refusal = only_here.get(timeout=10).unwrap_err()
    assert refusal.ran == "no"
    entry.slots.release(grants[0], slots.End())
    again = group.acquire(entry, first, second).get(timeout=10).unwrap()
    assert again.endpoint == second


def test_a_broken_link_keeps_the_count_exact(group):
    """The connection between entry and owner breaks and comes back.

    Running requests stay counted once; the ends reported since are counted.
    """
    endpoint = group.endpoints[0]
    entry = group.entry(endpoint)
    grants = group.fill(entry, endpoint)
    owner = group.owner(endpoint)
    broken = entry.peers.link_by_vm[owner]
    broken.close()
    processes.wait_until(
        lambda: entry.peers.link_by_vm.get(owner) not in (None, broken)
    )
    assert group.batch(endpoint).running() == SLOTS
    for grant in grants:
        entry.slots.release(grant, slots.End())
    processes.wait_until(lambda: group.batch(endpoint).running() == 0)
