"""Connections to the other VMs: one TCP connection and task per peer.

A VM dials each peer it has something to send to and gets replies on the
same connection. Send queues are bounded: to a peer that does not read, a
call fails at once instead of filling memory.
"""

import collections.abc
import itertools
import socket
import typing

import attrs
import gevent
import gevent.event
import gevent.queue
import gevent.server
import logbook
import msgpack
import result

from mothworks import kernel, membership, messages, plugins

log = logbook.Logger("peers")

#: Most messages that wait for one peer.
QUEUE_LENGTH = 4096
#: Most bytes of one message.
MESSAGE_BYTES = 2 << 20
#: Time for a connection to open, seconds.
CONNECT_S = 1.0
#: Bytes taken from a socket at once.
RECEIVE_BYTES = 64 << 10


@attrs.frozen
class PeerFailure:
    """A call to a peer got no reply.

    :param vm: the peer's name.
    :param reason: what failed.
    :param sent: whether the message may have reached the peer.
    """

    vm: str
    reason: str
    sent: bool


#: Sends the reply to one call.
Answer = collections.abc.Callable[[typing.Any], None]
#: Takes the sender's name, its message and the way to answer.
Handler = collections.abc.Callable[[str, typing.Any, Answer], None]


class Link:
    """One open connection, either way.

    :param sock: the connected socket.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_LENGTH)
        self.sent_bytes = 0

    def send(self, frame: bytes) -> bool:
        """Queue a frame.

        :param frame: a packed message.
        :returns: whether there was room.
        """
        try:
            self.queue.put_nowait(frame)
        except gevent.queue.Full:
            return False
        return True

    def write_all(self) -> None:
        """Write queued frames until the connection breaks.

        All that waits is written by one call, so that the messages of one
        turn of the event loop share a packet.
        """
        while True:
            frames = [self.queue.get()]
            while not self.queue.empty():
                frames.append(self.queue.get_nowait())
            data = b"".join(frames)
            try:
                self.sock.sendall(data)
            except OSError:
                return
            self.sent_bytes += len(data)

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
            try:
                unpacker.feed(data)
                yield from unpacker
            except (msgpack.UnpackException, ValueError) as error:
                log.warning("bad message from a peer: {}", error)
                return


@plugins.register(plugins.PART, "peers")
class Peers(kernel.Part):
    """Calls peers and serves their calls.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.handler_by_class: dict[type, Handler] = {}
        self.link_by_vm: dict[str, Link] = {}
        self.waiting_by_call: dict[int, tuple[Link, gevent.event.AsyncResult]] = {}
        self.calls = itertools.count(1)
        chosen = node_kernel.settings
        self.listener = gevent.server.StreamServer(
            (chosen.address, chosen.peer_port), self._serve
        )
        self.listener.init_socket()
        #: The port that the kernel chose where the setting is 0.
        self.port = self.listener.socket.getsockname()[1]

    def start(self) -> None:
        """Listen to peers."""
        self.listener.start()

    def stop(self) -> None:
        """Close all connections."""
        self.listener.stop(timeout=0)
        super().stop()

    def handle(self, message_class: type, handler: Handler) -> None:
        """Serve a class of message.

        :param message_class: a registered class.
        :param handler: called in the connection's task; it must not block
            for long, and may answer later from another task.
        """
        self.handler_by_class[message_class] = handler

    def call(
        self, vm: str, message: typing.Any, timeout_s: float
    ) -> result.Result[typing.Any, PeerFailure]:
        """Send a message and wait for its reply.

        :param vm: the peer's name.
        :param message: an instance of a registered class.
        :param timeout_s: longest wait, seconds.
        """
        link = self._link(vm)
        if link is None:
            return result.Err(PeerFailure(vm, "cannot connect", False))
        call = next(self.calls)
        reply = gevent.event.AsyncResult()
        self.waiting_by_call[call] = (link, reply)
        try:
            if not link.send(messages.pack(message, call)):
                return result.Err(PeerFailure(vm, "send queue is full", False))
            answer = reply.get(timeout=timeout_s)
        except gevent.Timeout:
            return result.Err(PeerFailure(vm, "no reply in time", True))
        finally:
            self.waiting_by_call.pop(call, None)
        if answer is None:
            return result.Err(PeerFailure(vm, "connection lost", True))
        return result.Ok(answer)

    def send(self, vm: str, message: typing.Any) -> bool:
        """Send a message without a reply.

        :param vm: the peer's name.
        :param message: an instance of a registered class.
        :returns: whether it was queued; it may still be lost.
        """
        link = self._link(vm)
        return link is not None and link.send(messages.pack(message))

    def send_all(self, message: typing.Any) -> None:
        """Send a message to every live peer.

        :param message: an instance of a registered class.
        """
        for member in self.membership.peers():
            self.tasks.spawn(self.send, member.name, message)

    def _link(self, vm: str) -> Link | None:
        link = self.link_by_vm.get(vm)
        if link is not None:
            return link
        member = self.membership.member_by_name.get(vm)
        if member is None:
            return None
        try:
            sock = gevent.socket.create_connection(
                (member.address, member.peer_port), CONNECT_S
            )
        except OSError:
            return None
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raced = self.link_by_vm.get(vm)
        if raced is not None:
            sock.close()
            return raced
        link = Link(sock)
        self.link_by_vm[vm] = link
        hello = messages.Hello(messages.PROTOCOL_VERSION, self.kernel.settings.name)
        link.send(messages.pack(hello))
        self.tasks.spawn(self._run_dialled, vm, link)
        return link

    def _run_dialled(self, vm: str, link: Link) -> None:
        writer = self.tasks.spawn(link.write_all)
        for array in link.read_all():
            received = messages.unpack(array)
            if received is not None:
                self._take_reply(*received)
        writer.kill()
        link.sock.close()
        del self.link_by_vm[vm]
        # Callers that wait for a reply on this connection would otherwise
        # wait until their timeout.
        for waiting_link, reply in list(self.waiting_by_call.values()):
            if waiting_link is link:
                reply.set(None)

    def _take_reply(self, message: typing.Any, call: int) -> None:
        waiting = self.waiting_by_call.get(call)
        if waiting is not None:
            waiting[1].set(message)

    def _serve(self, sock: socket.socket, _: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(sock)
        writer = self.tasks.spawn(link.write_all)
        sender = None
        for array in link.read_all():
            received = messages.unpack(array)
            if received is None:
                continue
            message, call = received
            if isinstance(message, messages.Hello):
                if message.version != messages.PROTOCOL_VERSION:
                    log.warning("{} speaks version {}", message.name, message.version)
                    break
                sender = message.name
            elif sender is not None:
                self._dispatch(sender, message, call, link)
        writer.kill()
        sock.close()

    def _dispatch(
        self, sender: str, message: typing.Any, call: int, link: Link
    ) -> None:
        handler = self.handler_by_class.get(type(message))
        if handler is None:
            log.warning("no part serves {}", type(message).__name__)
            return

        def answer(reply: typing.Any) -> None:
            link.send(messages.pack(reply, call))

        handler(sender, message, answer)
