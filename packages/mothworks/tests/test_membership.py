"""Membership under packet loss, pauses, partitions and an incorrect VM list."""

import attrs
import gevent
import gevent.event
import msgpack
import pytest

import clusters
from mothworks import members, membership_sync, messages, swim, vm_list
from mothworks_fakes import processes


@pytest.fixture
def cluster():
    new_cluster = clusters.Cluster()
    yield new_cluster
    new_cluster.stop()


@pytest.fixture
def five_vms(cluster):
    names = [f"vm-{number}" for number in range(1, 6)]
    for name in names:
        cluster.add(name)
    cluster.wait_for_members(*names)
    return cluster


def test_vms_join_from_an_incomplete_and_stale_list(cluster):
    """The list is stale: it names a VM that is gone and lacks the newest.

    All live VMs find each other nevertheless, and none considers the VM that
    is only on the list live.
    """
    cluster.list.vms = (
        vm_list.Vm("gone", vm_list.VmKind.NODE, "127.0.0.1", peer_port=1),
    )
    first, second = cluster.add("vm-1"), cluster.add("vm-2")
    list_with_two = cluster.list.vms
    third = cluster.add("vm-3")
    cluster.list.vms = list_with_two
    cluster.wait_for_members(first.name, second.name, third.name)


def test_a_failed_vm_is_declared_dead_by_all(five_vms):
    """A VM fails without notice. Probes detect it and gossip spreads its death."""
    five_vms.vm_by_name.pop("vm-5").stop()
    five_vms.wait_for_members("vm-1", "vm-2", "vm-3", "vm-4")


def test_a_vm_that_leaves_is_not_suspected(five_vms):
    """A VM announces its graceful shutdown; its peers remove it without a probe."""
    leaving_vm = five_vms.vm_by_name.pop("vm-3")
    leaving_vm.kernel.draining = True
    leaving_vm.stop()
    five_vms.wait_for_members("vm-1", "vm-2", "vm-4", "vm-5")
    states = {
        vm.membership.table.find("vm-3").state for vm in five_vms.vm_by_name.values()
    }
    assert states == {members.State.LEFT}


def test_a_paused_vm_refutes_its_death_and_keeps_its_peers(five_vms):
    """A VM is paused until all others consider it dead, then resumes.

    It must rejoin with a higher incarnation, and it must not declare its peers
    dead because it read no acks while it was paused.
    """
    paused = five_vms.vm_by_name["vm-2"]
    incarnation_before = paused.membership.table.own.incarnation
    paused.socket.running.clear()
    others = ["vm-1", "vm-3", "vm-4", "vm-5"]
    processes.wait_until(lambda: five_vms.sees_exactly(*others))
    paused.history.clear()
    paused.socket.running.set()
    five_vms.wait_for_members(*others, "vm-2")
    assert paused.membership.table.own.incarnation > incarnation_before
    assert all(
        len(live_names) == len(five_vms.vm_by_name) for live_names in paused.history
    )


def test_a_broken_path_between_two_vms_leaves_both_alive(five_vms):
    """Two VMs cannot reach each other, but all others can reach both.

    Indirect probes keep either from being declared dead.
    """
    five_vms.network.dropped_pairs |= {("vm-1", "vm-2"), ("vm-2", "vm-1")}
    for vm in five_vms.vm_by_name.values():
        vm.history.clear()
    first_numbers = [
        next(vm.membership.swim.probe_numbers) for vm in five_vms.vm_by_name.values()
    ]
    min_probes = 25
    processes.wait_until(
        lambda: all(
            next(vm.membership.swim.probe_numbers) > start + min_probes
            for vm, start in zip(
                five_vms.vm_by_name.values(), first_numbers, strict=True
            )
        )
    )
    assert five_vms.sees_exactly(*five_vms.vm_by_name)
    assert not any(vm.history for vm in five_vms.vm_by_name.values())


@pytest.mark.parametrize("list_available", [True, False])
def test_both_sides_of_a_partition_rejoin(five_vms, monkeypatch, list_available):
    """A switch fails and partitions the VMs; each side declares the other dead.

    Once it works again, the two sides rejoin through the platform's list or,
    if that is unavailable, by reconnecting to dead VMs.
    """
    five_vms.split("vm-1", "vm-2")
    processes.wait_until(
        lambda: (
            five_vms.sees_exactly("vm-1", "vm-2")
            and all(
                five_vms.views()[name] == {"vm-3", "vm-4", "vm-5"}
                for name in ("vm-3", "vm-4", "vm-5")
            )
        )
    )
    five_vms.list.available = list_available
    if not list_available:
        for vm in five_vms.vm_by_name.values():
            vm.membership.listed_by_name = {}
    five_vms.network.group_by_vm.clear()
    one_sync = five_vms.vm_by_name["vm-4"].membership_sync
    names = list(five_vms.vm_by_name)
    processes.wait_until(
        lambda: (
            five_vms.sees_exactly(*names)
            or (not list_available and one_sync.reconnect())
        )
    )


def test_an_unreachable_region_is_not_declared_dead(cluster):
    """Two regions lose their connection for minutes, several times a year.

    No VM of the other region may be removed for that. Each removal would change
    owners and cause gossip, and so would its reversal once the connection is
    restored.
    """
    for name, region in (("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")):
        cluster.add(name, region)
    cluster.wait_for_members("a-1", "a-2", "b-1", "b-2")
    cluster.split("b-1", "b-2")
    for vm in cluster.vm_by_name.values():
        vm.history.clear()
        vm.membership_sync.bridge_regions()
    cluster.vm_by_name.pop("b-2").stop()
    processes.wait_until(lambda: cluster.views()["b-1"] == {"a-1", "a-2", "b-1"})
    assert not cluster.vm_by_name["a-1"].history
    cluster.network.group_by_vm.clear()
    processes.wait_until(
        lambda: (
            [vm.membership_sync.bridge_regions() for vm in cluster.vm_by_name.values()]
            and cluster.sees_exactly("a-1", "a-2", "b-1")
        )
    )


def test_a_vm_that_restarts_under_its_name_replaces_its_previous_entry(five_vms):
    """A VM is immediately replaced by another of the same name at another address."""
    five_vms.vm_by_name.pop("vm-5").stop()
    five_vms.list.vms = five_vms.list.vms[:-1]
    replacement = five_vms.add("vm-5")
    processes.wait_until(
        lambda: all(
            vm.membership.find("vm-5").peer_port == replacement.peers.port
            for name, vm in five_vms.vm_by_name.items()
            if name != "vm-5"
        )
    )
    five_vms.wait_for_members(*five_vms.vm_by_name)


def test_packets_stay_small_and_updates_stop_being_sent(five_vms):
    """Many updates at once, as when a data centre fails, still use small packets."""
    vm = five_vms.vm_by_name["vm-1"]
    own_member = vm.membership.me()
    for number in range(60):
        remote_member = attrs.evolve(
            own_member, name=f"far-vm-{number}", region="region-far-away"
        )
        row = members.Record(remote_member, 1, members.State.ALIVE).row()
        vm.membership.table.merge(row)
    total_vms = 65
    processes.wait_until(
        lambda: all(len(view) == total_vms for view in five_vms.views().values())
    )
    update_queues = [
        item.membership.update_queue for item in five_vms.vm_by_name.values()
    ]
    processes.wait_until(
        lambda: not any(item.pending_by_name for item in update_queues)
    )
    assert (
        max(item.socket.max_packet_bytes for item in five_vms.vm_by_name.values())
        < 1200
    )


def test_bad_datagrams_are_ignored(five_vms):
    """Another program sends datagrams to the port; the VM keeps working."""
    vm = five_vms.vm_by_name["vm-1"]
    sender = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
    address = (vm.kernel.settings.address, vm.peers.port)
    for data in (
        b"",
        b"\xc1",
        b"\x93\x1e",
        b"\x95\x1e\x00\x01\x02\x91\x03",
        b"x" * 1500,
        # A message of another kind.
        messages.pack(messages.Hello(messages.PROTOCOL_VERSION, "odd", "odd")),
    ):
        sender.sendto(data, address)
        sender.sendto(swim.tag(five_vms.deployment, "vm-1") + data, address)
    five_vms.vm_by_name.pop("vm-2").stop()
    five_vms.wait_for_members("vm-1", "vm-3", "vm-4", "vm-5")
    assert vm.kernel.failure is None


@pytest.mark.parametrize(
    "value", [5, None, [], [1], ["a", 0], [[], 0, 1], [1, None, 1, "x"], [10, 1], b"x"]
)
def test_bad_messages_over_tcp_are_ignored(five_vms, value):
    """Another program or version connects to the port for peers."""
    vm = five_vms.vm_by_name["vm-1"]
    address = (vm.kernel.settings.address, vm.peers.port)
    version = messages.PROTOCOL_VERSION
    hello = messages.pack(messages.Hello(version, "odd", five_vms.deployment))
    with gevent.socket.create_connection(address) as sock:
        sock.sendall(hello + msgpack.packb(value))
        processes.wait_until(lambda: "odd" in vm.peers.link_by_vm)
        sock.sendall(b"\xc1")
        processes.wait_until(lambda: "odd" not in vm.peers.link_by_vm)
    assert vm.kernel.failure is None


def wait_before(event, connect):
    """Return a function that connects once an event is set."""

    def wait_and_connect(*args):
        event.wait()
        return connect(*args)

    return wait_and_connect


def test_messages_to_an_unconnected_peer_share_one_task(cluster):
    # A VM that has just started sends messages about hundreds of endpoints to a
    # hundred peers before any connection is open. A task per message took 300 MB.
    vms = [cluster.add(name) for name in ("a", "b", "c")]
    cluster.wait_for_members("a", "b", "c")
    sender = vms[0]
    received = []
    for vm in vms[1:]:
        vm.peers.handle(
            membership_sync.MembersTable, lambda *args: received.append(args)
        )
    opened = gevent.event.Event()
    for vm in vms:
        # The peers would connect to the sender as soon as its links are closed.
        vm.peers.connect = wait_before(opened, vm.peers.connect)

    def are_links_closed():
        for link in list(sender.peers.link_by_vm.values()):
            link.close()
        return not sender.peers.link_by_vm

    processes.wait_until(are_links_closed)
    tasks_before = len(sender.peers.tasks.group)
    for _ in range(300):
        sender.peers.send_to_region(membership_sync.MembersTable(()))
    gevent.sleep(0)
    assert len(sender.peers.tasks.group) <= tasks_before + 2
    opened.set()
    processes.wait_until(lambda: len(received) >= 600)
