"""The node: the one program that every VM runs."""

import signal

import attrs
import gevent
import gevent.signal
import logbook

from mothworks import builtin, kernel, peers, server, settings  # noqa: F401

log = logbook.Logger("node")


class Node:
    """One node, in this process.

    :param checked: the VM's settings.

    >>> node = Node(checked)            # doctest: +SKIP
    >>> node.start()                    # doctest: +SKIP
    >>> node.shut_down()                # doctest: +SKIP
    """

    def __init__(self, checked: settings.Settings):
        self.kernel = kernel.Kernel(checked)
        self.peers = self.kernel.get(peers.Peers)
        self.server = self.kernel.get(server.Server)
        # Ports that the kernel chose are from here on the VM's own.
        self.kernel.settings = attrs.evolve(
            checked, port=self.server.port, peer_port=self.peers.port
        )

    def start(self) -> None:
        """Start every part and return."""
        self.kernel.start()
        chosen = self.kernel.settings
        log.info(
            "{} serves callers on port {}, peers on port {}",
            chosen.name,
            chosen.port,
            chosen.peer_port,
        )

    def shut_down(self) -> None:
        """Shut down gracefully: no request in flight is cut off."""
        self.kernel.shut_down()

    def run(self) -> int:
        """Run until a signal or a broken invariant.

        :returns: the exit code; 0 after a graceful shutdown.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal.signal(number, lambda *_: gevent.spawn(self.shut_down))
        self.start()
        self.kernel.stopped.wait()
        return 0 if self.kernel.failure is None else 1
