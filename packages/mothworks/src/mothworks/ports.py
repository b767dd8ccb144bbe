"""The VM's port for peers: one number, for TCP and UDP alike."""

import socket

import gevent.socket

from mothworks import kernel, plugins

#: Connections that wait to be accepted.
BACKLOG = 1024
#: Attempts to find one number that is free for both protocols.
ATTEMPTS = 50


@plugins.register(plugins.PART, "ports")
class Ports(kernel.Part):
    """Holds the two sockets on which peers reach this VM.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        chosen = node_kernel.settings
        for attempt in range(ATTEMPTS):
            self.stream = _bind(socket.SOCK_STREAM, chosen.address, chosen.peer_port)
            #: The port that the kernel chose where the setting is 0.
            self.port = self.stream.getsockname()[1]
            try:
                self.datagram = _bind(socket.SOCK_DGRAM, chosen.address, self.port)
                break
            except OSError:
                self.stream.close()
                if chosen.peer_port or attempt == ATTEMPTS - 1:
                    raise
        self.stream.listen(BACKLOG)

    def stop(self) -> None:
        """Close the datagram socket; the listener is closed by its server."""
        self.datagram.close()
        super().stop()


def _bind(kind: int, address: str, port: int) -> gevent.socket.socket:
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = gevent.socket.socket(family, kind)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
