"""The placement map reaches every VM, also those that missed announcements."""

import pytest

import builders
import groups
from mothworks import catalogue, placement, placement_repair
from mothworks_fakes import processes

OPEN = placement.EndpointState.OPEN
DRAINING = placement.EndpointState.DRAINING
PARTS = (*groups.MEMBERSHIP, placement.Placement, placement_repair.PlacementRepair)
NAMES = tuple(f"engine-{number}" for number in range(1, 41))


@pytest.fixture
def group():
    made = groups.Group()
    yield made
    made.stop()


def add(group, name, region="region-1"):
    vm = group.add(name, region, parts=PARTS)
    part = vm.kernel.get(placement.Placement)
    endpoints = tuple(builders.endpoint(name) for name in NAMES)
    part.configuration.index = catalogue.Index(builders.declared(endpoints=endpoints))
    vm.placement = part
    vm.repair = vm.kernel.get(placement_repair.PlacementRepair)
    return vm


def agree(group):
    maps = [vm.placement.status_by_endpoint for vm in group.vm_by_name.values()]
    hashes = {vm.placement.digest.whole() for vm in group.vm_by_name.values()}
    return len(hashes) == 1 and all(item == maps[0] for item in maps)


def test_an_announcement_reaches_all(group):
    first, *_ = [add(group, f"vm-{number}") for number in (1, 2, 3)]
    group.wait("vm-1", "vm-2", "vm-3")
    first.placement.announce("engine-1", OPEN, ("menu",))
    processes.wait_until(lambda: agree(group))
    for vm in group.vm_by_name.values():
        assert vm.placement.open_endpoints("menu") == ["engine-1"]


def test_a_vm_that_joins_later_gets_the_whole_map(group):
    first = add(group, "vm-1")
    for name in NAMES:
        first.placement.announce(name, OPEN, ("menu", "tickets"))
    late = add(group, "vm-2")
    processes.wait_until(lambda: agree(group))
    assert late.placement.open_endpoints("tickets") == sorted(NAMES)


def test_both_sides_of_a_partition_get_what_they_missed(group):
    """Each side announces while the VMs are parted.

    Afterwards a VM of one side would route to an endpoint that drains on the
    other. Comparing the maps brings both up to date, and what is newer wins.
    """
    vms = [add(group, f"vm-{number}") for number in (1, 2, 3, 4)]
    group.wait("vm-1", "vm-2", "vm-3", "vm-4")
    for name in NAMES:
        vms[0].placement.announce(name, OPEN, ("menu",))
    processes.wait_until(lambda: agree(group))
    group.split("vm-1", "vm-2")
    processes.wait_until(lambda: group.agrees("vm-1", "vm-2"))
    vms[0].placement.announce("engine-1", DRAINING, ("menu",))
    vms[3].placement.announce("engine-2", DRAINING, ())
    vms[0].placement.announce("engine-3", DRAINING, ("menu",))
    vms[3].placement.announce("engine-3", DRAINING, ())
    vms[3].placement.announce("engine-3", DRAINING, ("menu", "newer"))
    group.network.group_by_vm.clear()
    group.wait("vm-1", "vm-2", "vm-3", "vm-4")
    processes.wait_until(lambda: agree(group))
    for vm in vms:
        assert set(NAMES) - set(vm.placement.open_endpoints("menu")) == {
            "engine-1",
            "engine-2",
            "engine-3",
        }
        assert vm.placement.candidates("newer") == ["engine-3"]


def test_two_owners_that_announce_at_once_leave_one_map(group, monkeypatch):
    """Two VMs both believe they own an endpoint and announce at one time.

    With equal sequences each would keep its own, and their digests agree.
    """
    vms = [add(group, f"vm-{number}") for number in (1, 2)]
    group.split("vm-1")
    monkeypatch.setattr(placement.time, "time_ns", lambda: 10**18)
    vms[0].placement.announce("engine-1", OPEN, ("menu",))
    vms[1].placement.announce("engine-1", DRAINING, ())
    assert not agree(group)
    group.network.group_by_vm.clear()
    group.wait("vm-1", "vm-2")
    processes.wait_until(lambda: agree(group))


def test_an_old_announcement_never_comes_back(group):
    vm = add(group, "vm-1")
    vm.placement.announce("engine-1", OPEN, ("menu",))
    old = vm.placement.status_by_endpoint["engine-1"]
    vm.placement.announce("engine-1", DRAINING, ("menu",))
    assert not vm.placement.take(old)
    assert vm.placement.status_by_endpoint["engine-1"].state == DRAINING


def test_the_map_crosses_regions(group):
    for name, region in (("a-1", "a"), ("a-2", "a"), ("a-3", "a"), ("b-1", "b")):
        add(group, name, region)
    group.wait(*group.vm_by_name)
    group.vm_by_name["a-3"].placement.announce("engine-1", OPEN, ("menu",))
    group.vm_by_name["b-1"].placement.announce("engine-2", OPEN, ("menu",))

    def linked():
        for vm in group.vm_by_name.values():
            vm.repair.link_regions()
        return agree(group)

    processes.wait_until(linked)
    for vm in group.vm_by_name.values():
        assert vm.placement.open_endpoints("menu") == ["engine-1", "engine-2"]


def test_undeclared_endpoints_are_forgotten(group):
    vm = add(group, "vm-1")
    empty = vm.placement.digest.whole()
    vm.placement.announce("engine-1", OPEN, ("menu",))
    vm.placement.configuration.index = catalogue.Index(catalogue.Catalogue())
    for notify in vm.placement.configuration.on_change:
        notify()
    assert not vm.placement.status_by_endpoint
    assert not vm.placement.endpoints_by_model
    assert vm.placement.digest.whole() == empty
