"""The node: the process that every VM runs."""

import signal

import attrs
import gevent
import gevent.signal
import logbook

from mothworks import builtin, kernel, peers, server, settings  # noqa: F401

log = logbook.Logger("node")


class Node:
    """One node, in this process.

    :param loaded_settings: the VM's settings, checked.

    >>> node = Node(loaded_settings)    # doctest: +SKIP
    >>> node.start()                    # doctest: +SKIP
    >>> node.shut_down()                # doctest: +SKIP
    """

    def __init__(self, loaded_settings: settings.Settings):
        self.kernel = kernel.Kernel(loaded_settings)
        self.peers = self.kernel.get(peers.Peers)
        self.server = self.kernel.get(server.Server)
        # From here on the settings contain the ports that the operating system
        # selected for those set to 0.
        self.kernel.settings = attrs.evolve(
            loaded_settings, port=self.server.port, peer_port=self.peers.port
        )

    def start(self) -> None:
        """Start every part."""
        self.kernel.start()
        bound_settings = self.kernel.settings
        log.info(
            "{} listens on port {} for callers and on port {} for peers",
            bound_settings.name,
            bound_settings.port,
            bound_settings.peer_port,
        )

    def shut_down(self) -> None:
        """Shut down gracefully: finish the requests in flight first."""
        self.kernel.shut_down()

    def run(self) -> int:
        """Run until a signal arrives or an invariant is violated.

        :returns: the exit code: 0 after a graceful shutdown, else 1.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal.signal(number, lambda *_: gevent.spawn(self.shut_down))
        self.start()
        self.kernel.stopped.wait()
        return 0 if self.kernel.failure is None else 1
