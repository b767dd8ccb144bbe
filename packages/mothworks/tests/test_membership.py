"""Membership under loss, pauses, partitions and a list that lies."""

import attrs
import gevent
import gevent.event
import msgpack
import pytest

import groups
from mothworks import exchange, members, messages, swim, vm_list
from mothworks_fakes import processes


@pytest.fixture
def group():
    made = groups.Group()
    yield made
    made.stop()


@pytest.fixture
def five(group):
    names = [f"vm-{number}" for number in range(1, 6)]
    for name in names:
        group.add(name)
    group.wait(*names)
    return group


def test_vms_join_from_a_list_that_is_partial_and_partly_wrong(group):
    """The list lags: it names a VM that is gone and lacks the newest.

    All live VMs find each other all the same, and none believes in the VM
    that is only listed.
    """
    group.list.vms = (
        vm_list.Vm("gone", vm_list.VmKind.NODE, "127.0.0.1", peer_port=1),
    )
    first, second = group.add("vm-1"), group.add("vm-2")
    listed = group.list.vms
    third = group.add("vm-3")
    group.list.vms = listed
    group.wait(first.name, second.name, third.name)


def test_a_vm_that_dies_is_found_dead_by_all(five):
    """A VM vanishes without a word. Probes find out and the news spreads."""
    five.vm_by_name.pop("vm-5").stop()
    five.wait("vm-1", "vm-2", "vm-3", "vm-4")


def test_a_vm_that_leaves_is_not_suspected(five):
    """A VM shuts down gracefully: its peers drop it on its own word."""
    leaver = five.vm_by_name.pop("vm-3")
    leaver.kernel.draining = True
    leaver.stop()
    five.wait("vm-1", "vm-2", "vm-4", "vm-5")
    states = {vm.membership.table.find("vm-3").state for vm in five.vm_by_name.values()}
    assert states == {members.State.LEFT}


def test_a_paused_vm_refutes_its_death_and_keeps_its_peers(five):
    """A VM is paused until all hold it for dead, then goes on.

    It must come back under a higher incarnation, and it must not declare its
    peers dead because it read no answer while it was paused.
    """
    paused = five.vm_by_name["vm-2"]
    before = paused.membership.table.own.incarnation
    paused.socket.awake.clear()
    others = ["vm-1", "vm-3", "vm-4", "vm-5"]
    processes.wait_until(lambda: five.agrees(*others))
    paused.history.clear()
    paused.socket.awake.set()
    five.wait(*others, "vm-2")
    assert paused.membership.table.own.incarnation > before
    assert all(len(seen) == len(five.vm_by_name) for seen in paused.history)


def test_a_broken_path_between_two_vms_kills_neither(five):
    """Two VMs cannot reach each other, but all others reach both.

    Helpers probe for them, so that neither is ever held for dead.
    """
    five.network.lossy |= {("vm-1", "vm-2"), ("vm-2", "vm-1")}
    for vm in five.vm_by_name.values():
        vm.history.clear()
    probes = [next(vm.membership.swim.probe_numbers) for vm in five.vm_by_name.values()]
    wanted = 25
    processes.wait_until(
        lambda: all(
            next(vm.membership.swim.probe_numbers) > start + wanted
            for vm, start in zip(five.vm_by_name.values(), probes, strict=True)
        )
    )
    assert five.agrees(*five.vm_by_name)
    assert not any(vm.history for vm in five.vm_by_name.values())


@pytest.mark.parametrize("list_up", [True, False])
def test_both_sides_of_a_partition_find_each_other(five, monkeypatch, list_up):
    """A switch parts the VMs; each side holds the other for dead.

    When it is back, the platform's list, or where that is down the memory of
    dead VMs, brings the two together.
    """
    five.split("vm-1", "vm-2")
    processes.wait_until(
        lambda: (
            five.agrees("vm-1", "vm-2")
            and all(
                five.views()[name] == {"vm-3", "vm-4", "vm-5"}
                for name in ("vm-3", "vm-4", "vm-5")
            )
        )
    )
    five.list.up = list_up
    if not list_up:
        for vm in five.vm_by_name.values():
            vm.membership.listed_by_name = {}
    five.network.group_by_vm.clear()
    one_side = five.vm_by_name["vm-4"].exchange
    names = list(five.vm_by_name)
    processes.wait_until(
        lambda: five.agrees(*names) or (not list_up and one_side.reconnect())
    )


def test_a_parted_region_is_not_declared_dead(group):
    """The regions lose each other for minutes, as several times a year.

    No VM of the far region may be dropped for it: each would move ownership
    and spread news, and all of it again when the link is back.
    """
    for name, region in (("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")):
        group.add(name, region)
    group.wait("a-1", "a-2", "b-1", "b-2")
    group.split("b-1", "b-2")
    for vm in group.vm_by_name.values():
        vm.history.clear()
        vm.exchange.link_regions()
    group.vm_by_name.pop("b-2").stop()
    processes.wait_until(lambda: group.views()["b-1"] == {"a-1", "a-2", "b-1"})
    assert not group.vm_by_name["a-1"].history
    group.network.group_by_vm.clear()
    processes.wait_until(
        lambda: (
            [vm.exchange.link_regions() for vm in group.vm_by_name.values()]
            and group.agrees("a-1", "a-2", "b-1")
        )
    )


def test_a_vm_that_restarts_under_its_name_replaces_its_former_life(five):
    """A VM is replaced at once by another of the same name elsewhere."""
    five.vm_by_name.pop("vm-5").stop()
    five.list.vms = five.list.vms[:-1]
    reborn = five.add("vm-5")
    processes.wait_until(
        lambda: all(
            vm.membership.find("vm-5").peer_port == reborn.peers.port
            for name, vm in five.vm_by_name.items()
            if name != "vm-5"
        )
    )
    five.wait(*five.vm_by_name)


def test_packets_stay_small_and_news_ends(five):
    """A data centre is lost at once: much news, still in small packets."""
    vm = five.vm_by_name["vm-1"]
    me = vm.membership.me()
    for number in range(60):
        far = attrs.evolve(me, name=f"far-vm-{number}", region="region-far-away")
        row = members.Record(far, 1, members.State.ALIVE).row()
        vm.membership.table.merge(row)
    known = 65
    processes.wait_until(
        lambda: all(len(view) == known for view in five.views().values())
    )
    update_queues = [item.membership.update_queue for item in five.vm_by_name.values()]
    processes.wait_until(
        lambda: not any(item.pending_by_name for item in update_queues)
    )
    assert max(item.socket.largest for item in five.vm_by_name.values()) < 1200


def test_bad_datagrams_are_ignored(five):
    """Something else sends to the port; the VM goes on."""
    vm = five.vm_by_name["vm-1"]
    sender = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
    address = (vm.kernel.settings.address, vm.peers.port)
    for data in (
        b"",
        b"\xc1",
        b"\x93\x1e",
        b"\x95\x1e\x00\x01\x02\x91\x03",
        b"x" * 1500,
    ):
        sender.sendto(data, address)
        sender.sendto(swim.tag(five.deployment, "vm-1") + data, address)
    five.vm_by_name.pop("vm-2").stop()
    five.wait("vm-1", "vm-3", "vm-4", "vm-5")
    assert vm.kernel.failure is None


@pytest.mark.parametrize(
    "value", [5, None, [], [1], ["a", 0], [[], 0, 1], [1, None, 1, "x"], [10, 1], b"x"]
)
def test_bad_messages_over_tcp_are_ignored(five, value):
    """Something else, or another version, talks on the peers' port."""
    vm = five.vm_by_name["vm-1"]
    address = (vm.kernel.settings.address, vm.peers.port)
    version = messages.PROTOCOL_VERSION
    hello = messages.pack(messages.Hello(version, "odd", five.deployment))
    with gevent.socket.create_connection(address) as sock:
        sock.sendall(hello + msgpack.packb(value))
        processes.wait_until(lambda: "odd" in vm.peers.link_by_vm)
        sock.sendall(b"\xc1")
        processes.wait_until(lambda: "odd" not in vm.peers.link_by_vm)
    assert vm.kernel.failure is None


def test_messages_to_peers_that_are_not_connected_take_one_task_each(group):
    # A VM that has just begun tells a hundred peers about hundreds of endpoints
    # before any connection is open. A task for each message took 300 MB.
    vms = [group.add(name) for name in ("a", "b", "c")]
    group.wait("a", "b", "c")
    sender = vms[0]
    heard = []
    for vm in vms[1:]:
        vm.peers.handle(exchange.MembersTable, lambda *told: heard.append(told))
    for link in list(sender.peers.link_by_vm.values()):
        link.close()
    processes.wait_until(lambda: not sender.peers.link_by_vm)
    opened = gevent.event.Event()
    connect = sender.peers.connect

    def wait_and_connect(*args):
        opened.wait()
        return connect(*args)

    sender.peers.connect = wait_and_connect
    before = len(sender.peers.tasks.group)
    for _ in range(300):
        sender.peers.send_all(exchange.MembersTable(()))
    gevent.sleep(0)
    assert len(sender.peers.tasks.group) <= before + 2
    opened.set()
    processes.wait_until(lambda: len(heard) >= 600)
