"""Peer addresses that are reassigned to another VM or another deployment."""

import pytest

import builders
from mothworks_fakes import processes, testbed


@pytest.fixture
def beds(tmp_path):
    created_beds = []
    for name in ("first", "second"):
        folder = tmp_path / name
        folder.mkdir()
        created_beds.append(testbed.Testbed(folder))
    yield created_beds
    for bed in created_beds:
        bed.stop()


def test_a_vm_at_a_reused_address_does_not_join_the_other_deployment(beds):
    # A VM of the test deployment dies, and the platform assigns its address to
    # a new production VM with the same name. Other test VMs still probe the
    # address. If the new VM accepted their messages, it would adopt the
    # revision and the membership of the test deployment.
    first, second = beds
    first.add_node("vm-1", "dc-1", "region-1")
    dead_vm = first.add_node("vm-2", "dc-1", "region-1")
    first.apply(builders.make_catalogue(models=(), services=(), endpoints=()))
    processes.wait_until(first.all_know_all)
    dead_vm.kill()
    second.add_node("vm-2", "dc-1", "region-1", peer_port=dead_vm.peer_port)
    del first.node_by_name["vm-2"]
    first.vm_list.vm_by_name.pop("vm-2")
    # Once the first deployment has declared its VM dead, it no longer sends to
    # the address.
    processes.wait_until(first.all_know_all, 60.0)
    assert second.all_know_all()
    new_vm = second.operator(second.node_by_name["vm-2"])
    assert new_vm.get("catalogue").unwrap()["revision"] == 0


def test_a_dead_vm_is_not_kept_alive_by_its_successor_at_the_address(beds):
    # A VM dies and its address is reassigned to its replacement, which has
    # another name. If the replacement's replies counted as the dead VM's, the
    # dead VM would still own endpoints, which no VM would then serve.
    bed = beds[0]
    bed.add_node("vm-1", "dc-1", "region-1")
    dead_vm = bed.add_node("vm-2", "dc-1", "region-1")
    processes.wait_until(bed.all_know_all)
    dead_vm.kill()
    del bed.node_by_name["vm-2"]
    bed.vm_list.vm_by_name.pop("vm-2")
    bed.add_node("vm-3", "dc-1", "region-1", peer_port=dead_vm.peer_port)
    processes.wait_until(bed.all_know_all, 60.0)
