"""One connection between two VMs: frames out, arrays in, both bounded."""

import collections.abc
import socket

import gevent.queue
import logbook
import msgpack

log = logbook.Logger("peers")

#: Most messages that wait for one peer.
QUEUE_LENGTH = 4096
#: Most bytes of one message.
MESSAGE_BYTES = 2 << 20
#: Longest time that sent bytes stay without an acknowledgement, milliseconds.
UNACKED_MS = 5_000
#: Bytes taken from a socket at once.
RECEIVE_BYTES = 64 << 10


class Link:
    """One open connection; messages go both ways.

    :param sock: the connected socket.
    :param vm: the peer's name; None until the peer that dialled has said it.
    """

    def __init__(self, sock: socket.socket, vm: str | None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A VM that vanishes closes nothing. Without a bound the connection to
        # it stays open, and everything sent on it is lost unnoticed.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)
        self.sock = sock
        self.vm = vm
        self.queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_LENGTH)
        self.writing = False
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, frame: bytes) -> bool:
        """Write a frame at once where the socket takes it, else queue it.

        :param frame: a packed message.
        :returns: whether there was room.
        """
        if not self.writing and self.queue.empty():
            # Through the writing task a message costs a turn of the loop.
            frame = frame[self._send_now(frame) :]
            if not frame:
                return True
        try:
            self.queue.put_nowait(frame)
        except gevent.queue.Full:
            return False
        return True

    def write_all(self) -> None:
        """Write queued frames, all that wait at once, until the end."""
        while True:
            frames = [self.queue.get()]
            self.writing = True
            while not self.queue.empty():
                frames.append(self.queue.get_nowait())
            data = b"".join(frames)
            try:
                self.sock.sendall(data)
            except OSError:
                return
            self.sent_bytes += len(data)
            self.writing = False

    def _send_now(self, frame: bytes) -> int:
        try:
            sent = self.sock.send(frame, 0, 0.0)
        except OSError:
            # The socket is full, or broken, which the reading task notices.
            return 0
        self.sent_bytes += sent
        return sent

    def read_all(self) -> collections.abc.Iterator[list]:
        """Yield received arrays until the connection ends."""
        unpacker = msgpack.Unpacker(max_buffer_size=MESSAGE_BYTES)
        while True:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except OSError:
                return
            if not data:
                return
            self.received_bytes += len(data)
            try:
                unpacker.feed(data)
                yield from unpacker
            except (msgpack.UnpackException, ValueError) as error:
                log.warning("bad message from a peer: {}", error)
                return

    def close(self) -> None:
        """Close the connection; both of its tasks end."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer closed it already.
            pass
