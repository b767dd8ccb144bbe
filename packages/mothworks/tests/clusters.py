"""Runs the parts of several VMs in the process of a test.

Datagrams and connections pass through a simulated network that can drop them,
and probe rounds are short.
"""

import uuid

import gevent
import result

import builders
from mothworks import kernel, membership, membership_sync, peers, vm_list
from mothworks_fakes import processes

ROUND_S = 0.1
#: Classes of the parts that membership needs.
MEMBERSHIP_PARTS = (membership.Membership, peers.Peers, membership_sync.MembershipSync)


class Network:
    """Decides which VMs can reach each other, identified by their ports."""

    def __init__(self):
        self.vm_by_port = {}
        self.group_by_vm = {}
        self.dropped_pairs = set()

    def delivers(self, source, port, is_tcp=False):
        target = self.vm_by_port.get(port)
        if (source, target) in self.dropped_pairs and not is_tcp:
            return False
        return self.group_by_vm.get(source) == self.group_by_vm.get(target)


class SimulatedSocket:
    """A datagram socket whose packets pass through the simulated network."""

    def __init__(self, sock, network, vm):
        self.sock, self.network, self.vm = sock, network, vm
        self.running = gevent.event.Event()
        self.running.set()
        self.max_packet_bytes = 0

    def sendto(self, data, address):
        self.running.wait()
        self.max_packet_bytes = max(self.max_packet_bytes, len(data))
        if self.network.delivers(self.vm, address[1]):
            self.sock.sendto(data, address)

    def recvfrom(self, size):
        received = self.sock.recvfrom(size)
        self.running.wait()
        return received


class InMemoryVmList(vm_list.Source):
    """The platform's list, in memory."""

    def __init__(self):
        self.vms = ()
        self.available = True

    def read(self):
        return result.Ok(self.vms) if self.available else result.Err("down")


class Cluster:
    """A cluster of VMs in this process."""

    def __init__(self):
        self.network = Network()
        self.deployment = uuid.uuid4().hex
        self.list = InMemoryVmList()
        self.vm_by_name = {}

    def add(self, name, region="region-1", data_centre="dc-1", parts=MEMBERSHIP_PARTS):
        node_settings = builders.settings(
            name,
            data_centre=data_centre,
            region=region,
            deployment=self.deployment,
        )
        vm = Vm(self, node_settings, parts)
        self.vm_by_name[name] = vm
        self.list.vms += (vm.list_entry(),)
        return vm

    def views(self):
        return {
            name: {item.name for item in vm.membership.live()}
            for name, vm in self.vm_by_name.items()
        }

    def sees_exactly(self, *names):
        views = self.views()
        return all(views[name] == set(names) for name in names)

    def wait_for_members(self, *names):
        processes.wait_until(lambda: self.sees_exactly(*names))

    def split(self, *names):
        """Partition these VMs from the others and close connections between both."""
        for name in names:
            self.network.group_by_vm[name] = "cut off"
        for vm in self.vm_by_name.values():
            for peer, link in list(vm.peers.link_by_vm.items()):
                if (vm.name in names) != (peer in names):
                    link.close()

    def stop(self):
        for vm in self.vm_by_name.values():
            vm.stop()


class Vm:
    """A VM that runs some parts of a node."""

    def __init__(self, cluster, node_settings, parts):
        self.cluster = cluster
        self.kernel = kernel.Kernel(node_settings)
        self.membership = self.kernel.get(membership.Membership)
        self.kernel.get(vm_list.VmList).source = cluster.list
        self.membership_sync = self.kernel.get(membership_sync.MembershipSync)
        self.peers = self.kernel.get(peers.Peers)
        self.name = node_settings.name
        cluster.network.vm_by_port[self.peers.port] = self.name
        swim = self.membership.swim
        swim.round_s = ROUND_S
        swim.sock = self.socket = SimulatedSocket(swim.sock, cluster.network, self.name)
        self.peers.connect = self.connect
        self.history = []
        self.membership.on_change.append(self.record_live_members)
        self.parts = [self.kernel.get(part) for part in parts]
        for part in self.parts:
            part.start()

    def connect(self, address, timeout):
        if not self.cluster.network.delivers(self.name, address[1], is_tcp=True):
            raise ConnectionRefusedError
        return gevent.socket.create_connection(address, timeout)

    def record_live_members(self):
        self.history.append(frozenset(item.name for item in self.membership.live()))

    def list_entry(self):
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
