"""A node whose network a test can cut: ``python -m mothworks_fakes.cut_node``.

It is the ordinary node with one plug-in more, which drops datagrams to and
from some VMs and refuses and closes connections with them. ``PUT /cuts`` with
a JSON list of VM names sets which; an empty list heals the network.
"""

import orjson

from mothworks import calls, cli, kernel, membership, peers, plugins


class CutSocket:
    """A datagram socket that loses what goes to or comes from cut VMs.

    :param sock: the node's socket.
    :param is_cut: tells whether an address is that of a cut VM.
    """

    def __init__(self, sock, is_cut):
        self.sock = sock
        self.is_cut = is_cut

    def sendto(self, data: bytes, address: tuple) -> int:
        """Send a datagram, or lose it.

        :param data: its content.
        :param address: where to.
        """
        if self.is_cut(address):
            return len(data)
        return self.sock.sendto(data, address)

    def recvfrom(self, size: int) -> tuple[bytes, tuple]:
        """Wait for the next datagram that is not lost.

        :param size: longest datagram, bytes.
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
    """Cuts the connections with some VMs.

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

        :param address: IP number and port.
        """
        found = (self.membership.find(name) for name in self.cut_vms)
        return any(
            member is not None and (member.address, member.peer_port) == address
            for member in found
        )

    def connect(self, address: tuple, timeout_s: float):
        """Open a connection to a peer, unless it is cut.

        :param address: IP number and port.
        :param timeout_s: longest wait, seconds.
        """
        if self.is_cut(address):
            raise TimeoutError("the network is cut")
        return self.connect_uncut(address, timeout_s)

    def cut(self, names: frozenset[str]) -> None:
        """Cut the connections with some VMs, and only with these.

        :param names: the VMs.
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
        """Set what is cut.

        :param call: the call; its body is a JSON list of names.
        """
        names = orjson.loads(call.body().unwrap())
        self.cuts.cut(frozenset(names))
        return calls.json_reply(names)


if __name__ == "__main__":
    cli.main()
