"""Membership under loss, pauses, partitions and a list that lies.

Nodes' parts run in this process; datagrams and connections pass a network
that drops what a test tells it to. Rounds are short, and every check waits
for a condition.
"""

import attrs
import gevent
import pytest
import result

import builders
from mothworks import exchange, kernel, members, membership, peers, vm_list
from mothworks_fakes import processes

ROUND_S = 0.1


class Network:
    """Which VMs may reach each other, by the port of each."""

    def __init__(self):
        self.vm_by_port = {}
        self.group_by_vm = {}
        self.lossy = set()

    def passes(self, source, port, stream=False):
        target = self.vm_by_port.get(port)
        if (source, target) in self.lossy and not stream:
            return False
        return self.group_by_vm.get(source) == self.group_by_vm.get(target)


class Socket:
    """A datagram socket behind the network."""

    def __init__(self, sock, network, vm):
        self.sock, self.network, self.vm = sock, network, vm
        self.awake = gevent.event.Event()
        self.awake.set()
        self.largest = 0

    def sendto(self, data, address):
        self.awake.wait()
        self.largest = max(self.largest, len(data))
        if self.network.passes(self.vm, address[1]):
            self.sock.sendto(data, address)

    def recvfrom(self, size):
        received = self.sock.recvfrom(size)
        self.awake.wait()
        return received


class List(vm_list.Source):
    """The platform's list, in memory."""

    def __init__(self):
        self.vms = ()
        self.up = True

    def read(self):
        return result.Ok(self.vms) if self.up else result.Err("down")


class Group:
    """VMs in this process."""

    def __init__(self):
        self.network = Network()
        self.list = List()
        self.vm_by_name = {}

    def add(self, name, region="region-1", data_centre="dc-1"):
        vm = Vm(self, builders.settings(name, data_centre=data_centre, region=region))
        self.vm_by_name[name] = vm
        self.list.vms += (vm.listed(),)
        return vm

    def views(self):
        return {
            name: {item.name for item in vm.membership.live()}
            for name, vm in self.vm_by_name.items()
        }

    def agrees(self, *names):
        views = self.views()
        return all(views[name] == set(names) for name in names)

    def wait(self, *names):
        processes.wait_until(lambda: self.agrees(*names))


class Vm:
    """The membership parts of one node."""

    def __init__(self, group, checked):
        self.group = group
        self.kernel = kernel.Kernel(checked)
        self.membership = self.kernel.get(membership.Membership)
        self.kernel.get(vm_list.VmList).source = group.list
        self.exchange = self.kernel.get(exchange.Exchange)
        self.peers = self.kernel.get(peers.Peers)
        self.name = checked.name
        group.network.vm_by_port[self.peers.port] = self.name
        swim = self.membership.swim
        swim.round_s = ROUND_S
        swim.sock = self.socket = Socket(swim.sock, group.network, self.name)
        self.peers.connect = self.connect
        self.history = []
        self.membership.on_change.append(self.note)
        for part in self.parts():
            part.start()

    def parts(self):
        return (self.membership, self.peers, self.exchange)

    def connect(self, address, timeout):
        if not self.group.network.passes(self.name, address[1], stream=True):
            raise ConnectionRefusedError
        return gevent.socket.create_connection(address, timeout)

    def note(self):
        self.history.append(frozenset(item.name for item in self.membership.live()))

    def listed(self):
        me = self.membership.me()
        return vm_list.Vm(
            me.name,
            vm_list.VmKind.NODE,
            me.address,
            port=me.port,
            peer_port=me.peer_port,
            data_centre=me.data_centre,
            region=me.region,
        )

    def stop(self):
        for part in reversed(self.parts()):
            part.stop()
        self.kernel.part_by_class[type(self.membership.ports)].stop()


@pytest.fixture
def group():
    made = Group()
    yield made
    for vm in made.vm_by_name.values():
        vm.stop()


@pytest.fixture
def five(group):
    names = [f"vm-{number}" for number in range(1, 6)]
    for name in names:
        group.add(name)
    group.wait(*names)
    return group


def split(group, *names):
    """Cut these VMs off from all others, open connections too."""
    for name in names:
        group.network.group_by_vm[name] = "cut off"
    for vm in group.vm_by_name.values():
        for other, link in list(vm.peers.link_by_vm.items()):
            if (vm.name in names) != (other in names):
                link.close()


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
    probes = [next(vm.membership.swim.numbers) for vm in five.vm_by_name.values()]
    wanted = 25
    processes.wait_until(
        lambda: all(
            next(vm.membership.swim.numbers) > start + wanted
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
    split(five, "vm-1", "vm-2")
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
    split(group, "b-1", "b-2")
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
    news = [item.membership.news for item in five.vm_by_name.values()]
    processes.wait_until(lambda: not any(item.item_by_name for item in news))
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
    five.vm_by_name.pop("vm-2").stop()
    five.wait("vm-1", "vm-3", "vm-4", "vm-5")
    assert vm.kernel.failure is None
