"""Builders of fleets whose VMs exchange messages in memory, without network."""

import collections
import types

import result

import gateway_builders
from mothworks import members, membership, messages, peers
from mothworks_gateway import broadcast, endpoint_limits, endpoints_client


class Network:
    """An in-memory network that delivers messages between VMs synchronously.

    :param peers_by_vm: the connections of each VM.
    :param down: VMs that neither send nor receive.
    :param sent_by_vm: number of messages sent by each VM.
    """

    def __init__(self):
        self.peers_by_vm = {}
        self.down = set()
        self.sent_by_vm = {}

    def deliver(self, sender, receiver, frame):
        """Deliver a packed message, unless the sender or the receiver is down."""
        self.sent_by_vm[sender] = self.sent_by_vm.get(sender, 0) + 1
        if {sender, receiver} & self.down or receiver not in self.peers_by_vm:
            return
        self.peers_by_vm[receiver].receive(sender, frame)


class Peers:
    """A fake :class:`peers.Peers` of one VM, connected to all VMs that are not down.

    :param name: the VM.
    :param network: the network.
    :param names: all VMs.
    """

    def __init__(self, name, network, names=()):
        self.name = name
        self.network = network
        self.names = names
        self.handler_by_class = {}
        network.peers_by_vm[name] = self

    def handle(self, message_class, handler):
        self.handler_by_class[message_class] = handler

    def is_connected(self, vm):
        return vm not in self.network.down

    def send_nowait(self, vm, message):
        self.multicast([vm], message)

    def send_to_region(self, message):
        self.multicast([vm for vm in self.names if vm != self.name], message)

    def multicast(self, vms, message):
        frame = messages.pack(message)
        for vm in vms:
            self.network.deliver(self.name, vm, frame)

    def call(self, vm, message, timeout_s):
        if {self.name, vm} & self.network.down:
            failure = peers.PeerFailure(vm, "no reply in time", True, True)
            return result.Err(failure)
        replies = []
        frame = messages.pack(message)
        self.network.peers_by_vm[vm].receive(self.name, frame, replies.append)
        return result.Ok(_unpack(messages.pack(replies[0])))

    def receive(self, sender, frame, reply=None):
        message = _unpack(frame)
        handler = self.handler_by_class.get(type(message))
        if handler is not None:
            handler(sender, message, reply)


def _unpack(frame):
    return messages.unpack(messages.msgpack.unpackb(frame))[0]


class SplitNetwork(Network):
    """A network of groups of VMs; VMs of different groups cannot reach each other.

    :param group_by_vm: the group of each VM, 0 by default.
    """

    def __init__(self):
        super().__init__()
        self.group_by_vm = collections.Counter()

    def cuts(self, one, other):
        return self.group_by_vm[one] != self.group_by_vm[other]

    def deliver(self, sender, receiver, frame):
        if not self.cuts(sender, receiver):
            super().deliver(sender, receiver, frame)


class SplitPeers(Peers):
    """Fake connections over a :class:`SplitNetwork`; calls fail across a cut."""

    def open(self, _):
        pass

    def call(self, vm, message, timeout_s):
        replies = []
        is_down = bool({vm, self.name} & self.network.down)
        if not is_down and not self.network.cuts(self.name, vm):
            frame = messages.pack(message)
            self.network.peers_by_vm[vm].receive(self.name, frame, replies.append)
        if not replies:
            return result.Err(peers.PeerFailure(vm, "no reply in time", True))
        return result.Ok(replies[0])


def vm_names(count):
    """Return the names of the first VMs of a fleet.

    :param count: number of VMs.
    """
    return [f"vm-{number}" for number in range(count)]


def make_member(name):
    """Return a VM's member record."""
    return members.Member(name, "10.0.0.1", 7000, 80, "a", "r")


def make_kernel(name, names, network, parts=None):
    """Return the kernel of one VM of a fleet whose VMs all know each other.

    :param name: the VM.
    :param names: all VMs.
    :param network: the network.
    :param parts: further parts, by class.
    """
    near = [make_member(vm) for vm in names if vm != name]
    node_membership = types.SimpleNamespace(region_peers=lambda: near, on_change=[])
    parts = {
        membership.Membership: node_membership,
        peers.Peers: Peers(name, network, names),
        **(parts or {}),
    }
    node_kernel = gateway_builders.Kernel(parts)
    node_kernel.settings = gateway_builders.make_settings(name=name)
    return node_kernel


class LimitProtocol:
    """A fake protocol that treats an answer as the limit it contains."""

    def rate_limit(self, answer):
        return answer if isinstance(answer, result.Err) else result.Ok(answer)


def add_endpoint_limits(kernel):
    """Add endpoint limits to a kernel that has heartbeats and a registry.

    :param kernel: the kernel.
    :returns: the endpoint limits.
    """
    client = types.SimpleNamespace(protocol=LimitProtocol())
    kernel.parts[endpoints_client.EndpointsClient] = client
    kernel.parts[broadcast.Broadcast] = broadcast.Broadcast(kernel)
    limits = endpoint_limits.EndpointLimits(kernel)
    kernel.parts[endpoint_limits.EndpointLimits] = limits
    return limits


def update_membership(kernel, name, names, network):
    """Update one VM's membership to the VMs that it can reach.

    :param kernel: the VM's kernel.
    :param name: its name.
    :param names: all VMs.
    :param network: the network, with the VMs and links that are down.
    """
    live_vms = [vm for vm in names if vm != name and vm not in network.down]
    node_membership = kernel.get(membership.Membership)
    node_membership.region_peers()[:] = [
        make_member(vm) for vm in live_vms if not network.cuts(name, vm)
    ]
    for notify in node_membership.on_change:
        notify()
