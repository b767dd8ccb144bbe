"""Caller watch: notices when a caller leaves while its call is served.

The WSGI server notices only when it writes. Without the watch a request whose
caller left would wait in queues and then hold a slot until the engine's first
token.
"""

import select
import socket

import gevent


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection; thrown into the call's task."""


class Watch:
    """Throws :class:`CallerGone` into the current task when a caller leaves.

    A caller that closes only its sending side counts as gone. One that sends
    its next request early can no longer be watched and is noticed on write.

    :param sock: the caller's connection, its request read completely.
    """

    def __init__(self, sock: socket.socket):
        self.task = gevent.getcurrent()
        self.poll = select.poll()
        self.poll.register(sock, select.POLLRDHUP)
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), 1)
        self.watcher.start(self._readable)

    def stop(self) -> None:
        """Stop watching; further calls do nothing."""
        self.watcher.stop()
        self.watcher.close()

    def _readable(self) -> None:
        # Runs in the event loop while the task waits, so that the throw
        # cannot arrive after the call ended and hit the next one.
        gone = self.poll.poll(0)
        self.stop()
        if gone:
            self.task.throw(CallerGone)
