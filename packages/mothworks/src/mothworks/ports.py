"""The VM's port for peers: the same port number for TCP and UDP."""

import socket

import gevent.socket

from mothworks import kernel, plugins

#: Maximum number of connections that wait to be accepted.
BACKLOG = 1024
#: Attempts to find a port number that is free for both protocols.
MAX_BIND_ATTEMPTS = 50


@plugins.register(plugins.PART, "ports")
class Ports(kernel.Part):
    """Holds the TCP and UDP sockets on which peers reach this VM.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        node_settings = node_kernel.settings
        for attempt in range(MAX_BIND_ATTEMPTS):
            self.stream = _bind(
                socket.SOCK_STREAM, node_settings.address, node_settings.peer_port
            )
            #: The port; chosen by the operating system if the setting is 0.
            self.port = self.stream.getsockname()[1]
            try:
                self.datagram = _bind(
                    socket.SOCK_DGRAM, node_settings.address, self.port
                )
                break
            except OSError:
                self.stream.close()
                if node_settings.peer_port or attempt == MAX_BIND_ATTEMPTS - 1:
                    raise
        self.stream.listen(BACKLOG)

    def stop(self) -> None:
        """Close the UDP socket; the TCP socket is closed by its server."""
        self.datagram.close()
        super().stop()


def _bind(socket_type: int, address: str, port: int) -> gevent.socket.socket:
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = gevent.socket.socket(family, socket_type)
    if socket_type == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
