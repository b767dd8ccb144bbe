"""Every VM gets the placement map, also VMs that missed announcements."""

import pytest

import builders
import clusters
from mothworks import catalogue, placement, placement_repair
from mothworks_fakes import processes

OPEN = placement.EndpointState.OPEN
DRAINING = placement.EndpointState.DRAINING
PARTS = (
    *clusters.MEMBERSHIP_PARTS,
    placement.Placement,
    placement_repair.PlacementRepair,
)
NAMES = tuple(f"engine-{number}" for number in range(1, 41))


@pytest.fixture
def cluster():
    vm_cluster = clusters.Cluster()
    yield vm_cluster
    vm_cluster.stop()


def add_vm(cluster, name, region="region-1"):
    vm = cluster.add(name, region, parts=PARTS)
    part = vm.kernel.get(placement.Placement)
    endpoints = tuple(builders.endpoint(name) for name in NAMES)
    part.configuration.index = catalogue.Index(
        builders.make_catalogue(endpoints=endpoints)
    )
    vm.placement = part
    vm.repair = vm.kernel.get(placement_repair.PlacementRepair)
    return vm


def maps_agree(cluster):
    maps = [vm.placement.status_by_endpoint for vm in cluster.vm_by_name.values()]
    hashes = {vm.placement.digest.overall_hash() for vm in cluster.vm_by_name.values()}
    return len(hashes) == 1 and all(item == maps[0] for item in maps)


def test_an_announcement_reaches_all(cluster):
    first, *_ = [add_vm(cluster, f"vm-{number}") for number in (1, 2, 3)]
    cluster.wait_for_members("vm-1", "vm-2", "vm-3")
    first.placement.announce("engine-1", OPEN, ("menu",))
    processes.wait_until(lambda: maps_agree(cluster))
    for vm in cluster.vm_by_name.values():
        assert vm.placement.open_endpoints("menu") == ["engine-1"]


def test_a_vm_that_joins_later_gets_the_whole_map(cluster):
    first = add_vm(cluster, "vm-1")
    for name in NAMES:
        first.placement.announce(name, OPEN, ("menu", "tickets"))
    late_vm = add_vm(cluster, "vm-2")
    processes.wait_until(lambda: maps_agree(cluster))
    assert late_vm.placement.open_endpoints("tickets") == sorted(NAMES)


def test_both_sides_of_a_partition_get_what_they_missed(cluster):
    """Each side of a partition announces changes.

    Without repair, a VM of one side would route to an endpoint that drains on
    the other. Comparison updates both maps; the newer announcement wins.
    """
    vms = [add_vm(cluster, f"vm-{number}") for number in (1, 2, 3, 4)]
    cluster.wait_for_members("vm-1", "vm-2", "vm-3", "vm-4")
    for name in NAMES:
        vms[0].placement.announce(name, OPEN, ("menu",))
    processes.wait_until(lambda: maps_agree(cluster))
    cluster.split("vm-1", "vm-2")
    processes.wait_until(lambda: cluster.sees_exactly("vm-1", "vm-2"))
    vms[0].placement.announce("engine-1", DRAINING, ("menu",))
    vms[3].placement.announce("engine-2", DRAINING, ())
    vms[0].placement.announce("engine-3", DRAINING, ("menu",))
    vms[3].placement.announce("engine-3", DRAINING, ())
    vms[3].placement.announce("engine-3", DRAINING, ("menu", "newer"))
    cluster.network.group_by_vm.clear()
    cluster.wait_for_members("vm-1", "vm-2", "vm-3", "vm-4")
    processes.wait_until(lambda: maps_agree(cluster))
    for vm in vms:
        assert set(NAMES) - set(vm.placement.open_endpoints("menu")) == {
            "engine-1",
            "engine-2",
            "engine-3",
        }
        assert vm.placement.endpoints_holding("newer") == ["engine-3"]


def test_two_owners_that_announce_at_once_converge(cluster, monkeypatch):
    """Two VMs both believe that they own an endpoint and announce at once.

    With equal sequences each would keep its own announcement while their
    digests agree.
    """
    vms = [add_vm(cluster, f"vm-{number}") for number in (1, 2)]
    cluster.split("vm-1")
    monkeypatch.setattr(placement.time, "time_ns", lambda: 10**18)
    vms[0].placement.announce("engine-1", OPEN, ("menu",))
    vms[1].placement.announce("engine-1", DRAINING, ())
    assert not maps_agree(cluster)
    cluster.network.group_by_vm.clear()
    cluster.wait_for_members("vm-1", "vm-2")
    processes.wait_until(lambda: maps_agree(cluster))


def test_an_outdated_announcement_is_rejected(cluster):
    vm = add_vm(cluster, "vm-1")
    vm.placement.announce("engine-1", OPEN, ("menu",))
    outdated = vm.placement.status_by_endpoint["engine-1"]
    vm.placement.announce("engine-1", DRAINING, ("menu",))
    assert not vm.placement.update(outdated)
    assert vm.placement.status_by_endpoint["engine-1"].state == DRAINING


def test_the_map_is_shared_between_regions(cluster):
    for name, region in (("a-1", "a"), ("a-2", "a"), ("a-3", "a"), ("b-1", "b")):
        add_vm(cluster, name, region)
    cluster.wait_for_members(*cluster.vm_by_name)
    cluster.vm_by_name["a-3"].placement.announce("engine-1", OPEN, ("menu",))
    cluster.vm_by_name["b-1"].placement.announce("engine-2", OPEN, ("menu",))

    def maps_agree_after_linking():
        for vm in cluster.vm_by_name.values():
            vm.repair.bridge_regions()
        return maps_agree(cluster)

    processes.wait_until(maps_agree_after_linking)
    for vm in cluster.vm_by_name.values():
        assert vm.placement.open_endpoints("menu") == ["engine-1", "engine-2"]


def test_undeclared_endpoints_are_removed(cluster):
    vm = add_vm(cluster, "vm-1")
    empty = vm.placement.digest.overall_hash()
    vm.placement.announce("engine-1", OPEN, ("menu",))
    vm.placement.configuration.index = catalogue.Index(catalogue.Catalogue())
    for notify in vm.placement.configuration.change_callbacks:
        notify()
    assert not vm.placement.status_by_endpoint
    assert not vm.placement.endpoints_by_model
    assert vm.placement.digest.overall_hash() == empty
