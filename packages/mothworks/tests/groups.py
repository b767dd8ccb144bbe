"""Groups of nodes' parts in the process of a test.

Datagrams and connections pass a network that drops what a test tells it to,
and rounds are short.
"""

import uuid

import gevent
import result

import builders
from mothworks import exchange, kernel, membership, peers, vm_list
from mothworks_fakes import processes

ROUND_S = 0.1
#: The parts that membership needs.
MEMBERSHIP = (membership.Membership, peers.Peers, exchange.Exchange)


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
        self.deployment = uuid.uuid4().hex
        self.list = List()
        self.vm_by_name = {}

    def add(self, name, region="region-1", data_centre="dc-1", parts=MEMBERSHIP):
        checked = builders.settings(
            name,
            data_centre=data_centre,
            region=region,
            deployment=self.deployment,
        )
        vm = Vm(self, checked, parts)
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

    def split(self, *names):
        """Cut these VMs off from all others, open connections too."""
        for name in names:
            self.network.group_by_vm[name] = "cut off"
        for vm in self.vm_by_name.values():
            for other, link in list(vm.peers.link_by_vm.items()):
                if (vm.name in names) != (other in names):
                    link.close()

    def stop(self):
        for vm in self.vm_by_name.values():
            vm.stop()


class Vm:
    """Some parts of one node."""

    def __init__(self, group, checked, parts):
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
        self.parts = [self.kernel.get(part) for part in parts]
        for part in self.parts:
            part.start()

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
        for part in reversed(self.parts):
            part.stop()
        self.kernel.part_by_class[type(self.membership.ports)].stop()
