"""Addresses that are used again, by another VM or another deployment."""

import pytest

import builders
from mothworks_fakes import processes, testbed


@pytest.fixture
def beds(tmp_path):
    made = []
    for name in ("first", "second"):
        folder = tmp_path / name
        folder.mkdir()
        made.append(testbed.Testbed(folder))
    yield made
    for bed in made:
        bed.stop()


def test_a_vm_at_a_reused_address_does_not_join_the_other_deployment(beds):
    # A VM of the test deployment dies, and the platform gives its address to
    # a new VM of production with the same name. The others of the test
    # deployment still probe the address. If the new VM believed them, it
    # would take their revision and their VMs for its own.
    first, second = beds
    first.add_node("vm-1", "dc-1", "region-1")
    gone = first.add_node("vm-2", "dc-1", "region-1")
    first.apply(builders.declared(models=(), services=(), endpoints=()))
    processes.wait_until(first.all_know_all)
    gone.kill()
    second.add_node("vm-2", "dc-1", "region-1", peer_port=gone.peer_port)
    del first.node_by_name["vm-2"]
    first.vm_list.vm_by_name.pop("vm-2")
    # Once the first deployment holds its VM for dead, nothing more reaches
    # the address.
    processes.wait_until(first.all_know_all, 60.0)
    assert second.all_know_all()
    stranger = second.operator(second.node_by_name["vm-2"])
    assert stranger.get("catalogue").unwrap()["revision"] == 0


def test_a_dead_vm_is_not_kept_alive_by_the_next_at_its_address(beds):
    # A VM dies and its address goes to its replacement, which has another
    # name. If the replacement's answers counted for the dead VM, the dead one
    # would go on owning endpoints that nobody serves.
    bed = beds[0]
    bed.add_node("vm-1", "dc-1", "region-1")
    gone = bed.add_node("vm-2", "dc-1", "region-1")
    processes.wait_until(bed.all_know_all)
    gone.kill()
    del bed.node_by_name["vm-2"]
    bed.vm_list.vm_by_name.pop("vm-2")
    bed.add_node("vm-3", "dc-1", "region-1", peer_port=gone.peer_port)
    processes.wait_until(bed.all_know_all, 60.0)
