"""A node that a test can partition: ``python -m mothworks_fakes.cut_node``.

It is the ordinary node with plug-ins that simulate a network partition: they
drop datagrams to and from some VMs, close connections to them and reject new
ones. ``PUT /cuts`` with a JSON list of VM names sets which VMs are cut off; an
empty list heals the partition.
"""

import orjson

from mothworks import calls, cli, kernel, membership, peers, plugins


class CutSocket:
    """A datagram socket that drops datagrams to and from cut VMs.

    :param sock: the node's socket.
    :param is_cut: returns whether an address is that of a cut VM.
    """

    def __init__(self, sock, is_cut):
        self.sock = sock
        self.is_cut = is_cut

    def sendto(self, data: bytes, address: tuple) -> int:
        """Send a datagram, or drop it silently.

        :param data: its content.
        :param address: its destination.
        """
        if self.is_cut(address):
            return len(data)
        return self.sock.sendto(data, address)

    def recvfrom(self, size: int) -> tuple[bytes, tuple]:
        """Receive the next datagram that is not dropped.

        :param size: maximum datagram size, bytes.
        """
        while True:
            data, address = self.sock.recvfrom(size)
            if not self.is_cut(address):
                return data, address

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


@plugins.register(plugins.PART, "cuts")
class Cuts(kernel.Part):
    """Simulates a network partition from some VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.cut_vms: frozenset[str] = frozenset()
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        swim = self.membership.swim
        swim.sock = CutSocket(swim.sock, self.is_cut)
        self.connect_uncut = self.peers.connect
        self.peers.connect = self.connect

    def is_cut(self, address: tuple) -> bool:
        """Return whether an address is that of a cut VM.

        :param address: IP address and port.
        """
        cut_members = (self.membership.find(name) for name in self.cut_vms)
        return any(
            member is not None and (member.address, member.peer_port) == address
            for member in cut_members
        )

    def connect(self, address: tuple, timeout_s: float):
        """Open a connection to a peer; fail immediately if the peer is cut off.

        :param address: IP address and port.
        :param timeout_s: maximum wait, seconds.
        :raises TimeoutError: if the peer is cut off.
        """
        if self.is_cut(address):
            raise TimeoutError("the peer is cut off")
        return self.connect_uncut(address, timeout_s)

    def cut(self, names: frozenset[str]) -> None:
        """Set the VMs that are cut off; connections to other VMs work again.

        :param names: the names of the VMs.
        """
        self.cut_vms = names
        for name, link in list(self.peers.link_by_vm.items()):
            if name in names:
                link.close()


@plugins.register(plugins.CALLER_PROTOCOL, "/cuts")
class CutCalls:
    """Serves ``PUT /cuts``.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        self.cuts = node_kernel.get(Cuts)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Set the VMs that are cut off.

        :param call: the call; its body is a JSON list of VM names.
        """
        names = orjson.loads(call.body().unwrap())
        self.cuts.cut(frozenset(names))
        return calls.json_reply(names)


if __name__ == "__main__":
    cli.main()
