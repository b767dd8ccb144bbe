"""Detects that a caller disconnects while its call is served.

The WSGI server detects a disconnect only when it writes. Without the watch, the
request of a disconnected caller would wait in queues and then occupy a slot
until the engine's first token.
"""

import select
import socket

import gevent


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed its connection; thrown into the call's task."""


class DisconnectWatch:
    """Throws :class:`CallerDisconnected` into the current task on a disconnect.

    A caller that closes only its sending side counts as disconnected. The watch
    ends if the caller pipelines its next request; a disconnect is then detected
    only when the server writes.

    :param sock: the caller's connection, its request read completely.
    """

    def __init__(self, sock: socket.socket):
        self.task = gevent.getcurrent()
        self.poller = select.poll()
        self.poller.register(sock, select.POLLRDHUP)
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), 1)
        self.watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching; repeated calls have no effect."""
        self.watcher.stop()
        self.watcher.close()

    def _on_readable(self) -> None:
        # Runs in the event loop while the task waits, so the exception cannot
        # be thrown after the call ended and hit the task's next call.
        disconnected = self.poller.poll(0)
        self.stop()
        if disconnected:
            self.task.throw(CallerDisconnected)
