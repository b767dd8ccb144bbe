"""A connection between two VMs: writes frames and reads arrays, both bounded in size.

VMs send each other the same names repeatedly, so each direction becomes one compressed
stream once the receiver has announced that it supports this. The compression windows
are small because a VM has hundreds of connections.
"""

import collections.abc
import socket
import zlib

import gevent.queue
import logbook
import msgpack

from mothworks import messages, tasks

log = logbook.Logger("peers")

#: Maximum number of messages queued for one peer.
MAX_QUEUED_MESSAGES = 4096
#: Maximum size of one message, bytes.
MAX_MESSAGE_BYTES = 2 << 20
#: Time after which TCP closes a connection with unacknowledged data, milliseconds. No
#: keep-alive probes are set: membership closes the idle connections of dead peers.
ACK_TIMEOUT_MS = 5_000
#: Maximum number of bytes read from a socket at once.
RECEIVE_BYTES = 64 << 10
#: Initial size of a connection's receive buffer, and bytes passed to the unpacker at
#: once. Longer messages extend the buffer.
BUFFER_BYTES = 4 << 10
#: Compression window as a power of two of bytes: enough for a few messages that repeat
#: each other. A larger window on every connection would take most of a VM's memory.
WINDOW_BITS = 12
#: Memory level and compression level of zlib, each with a maximum of 9.
MEMORY_LEVEL = 3
COMPRESSION_LEVEL = 1


class Link:
    """One open connection that carries messages in both directions.

    :param sock: the connected socket.
    :param vm: the peer's name; None for an accepted connection until the
        peer's ``Hello`` arrives.
    """

    def __init__(self, sock: socket.socket, vm: str | None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A VM that fails abruptly does not close its connections. Without this
        # timeout they would stay open and lose everything sent on them unnoticed.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)
        self.sock = sock
        self.vm = vm
        self.queue: gevent.queue.Queue = gevent.queue.Queue(MAX_QUEUED_MESSAGES)
        self.writing = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self._compressor = None
        self._decompressor = None

    def compress(self) -> None:
        """Compress everything sent from now on; the peer must support it."""
        if self._compressor is None and self.send(messages.pack(messages.Compressed())):
            self._compressor = zlib.compressobj(
                COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
            )

    def decompress(self) -> None:
        """Decompress everything received after the message just read."""
        self._decompressor = zlib.decompressobj(-WINDOW_BITS)

    def send(self, frame: bytes) -> bool:
        """Write a frame immediately if the socket accepts it, else queue it.

        :param frame: a packed message.
        :returns: False if the queue is full; the frame is then dropped.
        """
        if self.queue.full():
            # A frame that is compressed but never sent would corrupt the stream.
            return False
        if self._compressor is not None:
            frame = self._compressor.compress(frame)
            frame += self._compressor.flush(zlib.Z_SYNC_FLUSH)
        if not self.writing and self.queue.empty():
            # Passing the frame to the writer task would cost an event loop iteration.
            frame = frame[self._write_nowait(frame) :]
            if not frame:
                return True
        self.queue.put_nowait(frame)
        return True

    def write_all(self) -> None:
        """Write the queued frames, joined into one send, until the connection fails."""
        while True:
            self.queue.peek()
            self.writing = True
            try:
                self._write_queued()
            except OSError:
                return
            self.writing = False

    def _write_queued(self) -> None:
        frames = []
        while not self.queue.empty():
            frames.append(self.queue.get_nowait())
        data = b"".join(frames)
        self.sock.sendall(data)
        self.sent_bytes += len(data)

    def _write_nowait(self, frame: bytes) -> int:
        try:
            sent = self.sock.send(frame, 0, 0.0)
        except OSError:
            # The send buffer is full, or the connection failed, which the reader
            # detects.
            return 0
        self.sent_bytes += sent
        return sent

    def read_all(self) -> collections.abc.Iterator[list]:
        """Yield the received message arrays until the connection ends."""
        unpacker = msgpack.Unpacker(
            read_size=BUFFER_BYTES, max_buffer_size=MAX_MESSAGE_BYTES
        )
        while True:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except OSError:
                return
            if not data:
                return
            self.received_bytes += len(data)
            if len(data) == RECEIVE_BYTES:
                tasks.let_others_run()
            try:
                yield from self._unpack(unpacker, data)
            except (msgpack.UnpackException, ValueError, zlib.error) as error:
                log.warning(
                    "invalid message from a peer; closing its connection: {}", error
                )
                return
            # An idle connection would otherwise hold its last read in memory.
            del data

    def _unpack(
        self, unpacker: msgpack.Unpacker, data: bytes
    ) -> collections.abc.Iterator[list]:
        """Yield the arrays that are completed by newly received bytes."""
        if self._decompressor is None:
            yield from self._unpack_plain(unpacker, data)
            return
        # A few bytes may expand to a thousand times as many.
        while data:
            part = self._decompressor.decompress(data, RECEIVE_BYTES)
            data = self._decompressor.unconsumed_tail
            yield from self._unpack_plain(unpacker, part)
            if data:
                tasks.let_others_run()

    def _unpack_plain(
        self, unpacker: msgpack.Unpacker, data: bytes
    ) -> collections.abc.Iterator[list]:
        is_plain = self._decompressor is None
        # The unpacker permanently keeps twice the size of the largest chunk fed to it.
        for start in range(0, len(data), BUFFER_BYTES):
            end = start + BUFFER_BYTES
            unpacker.feed(data[start:end])
            for array in unpacker:
                yield array
                if is_plain and self._decompressor is not None:
                    # The rest of these bytes is already compressed.
                    compressed = unpacker.read_bytes(BUFFER_BYTES) + data[end:]
                    yield from self._unpack(unpacker, compressed)
                    return

    def close(self) -> None:
        """Shut the connection down, which ends its reader and writer tasks."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has already closed it.
            pass
