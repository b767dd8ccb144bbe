"""Connections to the other VMs: one TCP connection and task per peer.

A VM dials each peer it has something to send to; both then use the same
connection. A reply carries the negative of its call's number. Send queues are
bounded: to a peer that does not read, a call fails at once instead of filling
memory.
"""

import collections.abc
import itertools
import socket
import time
import typing

import attrs
import gevent
import gevent.event
import gevent.server
import logbook
import result

from mothworks import (
    kernel,
    links,
    members,
    membership,
    messages,
    plugins,
    ports,
    vm_list,
)

log = logbook.Logger("peers")

#: Time for a connection to open, seconds.
CONNECT_S = 0.5
#: Time before a VM that could not be reached is dialled again, seconds.
RETRY_S = 0.5
#: Seconds between updates of the metrics.
REPORT_S = 1.0


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


@plugins.register(plugins.PART, "peers")
class Peers(kernel.Part):
    """Calls peers and serves their calls.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.handler_by_class: dict[type, Handler] = {}
        self.link_by_vm: dict[str, links.Link] = {}
        self.waiting_by_call: dict[
            int, tuple[links.Link, gevent.event.AsyncResult]
        ] = {}
        self.retry_at_by_vm: dict[str, float] = {}
        #: Frames that wait for a connection to their peer to open.
        self.frames_by_vm: dict[str, list[bytes]] = {}
        self.calls = itertools.count(1)
        self.closed_bytes = 0
        #: Functions to call with a VM's name after the connection to it broke.
        self.on_lost: list = []
        #: Opens a connection to an address; tests cut links here.
        self.connect = gevent.socket.create_connection
        owned_ports = node_kernel.get(ports.Ports)
        self.listener = gevent.server.StreamServer(owned_ports.stream, self._serve)
        #: The port that the kernel chose where the setting is 0.
        self.port = owned_ports.port
        self.membership.on_change.append(self._close_dead)
        self.control_bytes = node_kernel.metrics.counter(
            "control_bytes", "Bytes exchanged with other VMs, by transport."
        )

    def start(self) -> None:
        """Listen to peers."""
        self.listener.start()
        self.tasks.every(REPORT_S, self._report)

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

    def linked(self, vm: str) -> bool:
        """Return whether a connection to a peer is open.

        :param vm: the peer's name.
        """
        return vm in self.link_by_vm

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
        """Send a message to every live peer of this VM's region.

        :param message: an instance of a registered class.
        """
        self.post_all([member.name for member in self.membership.near()], message)

    def post_all(self, vms: collections.abc.Iterable[str], message: typing.Any) -> None:
        """Send a message to some peers without waiting for connections to open.

        :param vms: the peers' names.
        :param message: an instance of a registered class.
        """
        frame = messages.pack(message)
        for vm in vms:
            self._post(vm, frame)

    def open(self, vm: str) -> None:
        """Open a connection without waiting, for calls that must not wait for it.

        :param vm: the peer's name.
        """
        if vm not in self.link_by_vm and vm not in self.frames_by_vm:
            self.frames_by_vm[vm] = []
            self.tasks.spawn(self._open_and_send, vm)

    def post(self, vm: str, message: typing.Any) -> None:
        """Send a message without waiting for a connection to open.

        :param vm: the peer's name.
        :param message: an instance of a registered class.
        """
        self._post(vm, messages.pack(message))

    def _post(self, vm: str, frame: bytes) -> None:
        """Send a frame now, or once a connection is open.

        One task a peer opens it. With a task for each frame, hundreds of
        messages to a hundred new peers took the memory of a whole VM.
        """
        link = self.link_by_vm.get(vm)
        frames = self.frames_by_vm.get(vm)
        if link is not None:
            link.send(frame)
        elif frames is None:
            self.open(vm)
            self.frames_by_vm[vm].append(frame)
        elif len(frames) < links.QUEUE_LENGTH:
            frames.append(frame)

    def _open_and_send(self, vm: str) -> None:
        try:
            link = self._link(vm)
        finally:
            frames = self.frames_by_vm.pop(vm)
        if link is not None:
            for frame in frames:
                link.send(frame)

    def total_bytes(self) -> int:
        """Return the bytes sent to and received from peers so far, over TCP."""
        return self.closed_bytes + sum(
            link.sent_bytes + link.received_bytes for link in self.link_by_vm.values()
        )

    def _link(self, vm: str) -> links.Link | None:
        link = self.link_by_vm.get(vm)
        if link is not None:
            return link
        member = self.membership.find(vm)
        # While a VM is unreachable, each request that needs it would wait for
        # the connection to fail, one after the other.
        if member is None or time.monotonic() < self.retry_at_by_vm.get(vm, 0.0):
            return None
        try:
            sock = self.connect((member.address, member.peer_port), CONNECT_S)
        except OSError:
            self.retry_at_by_vm[vm] = time.monotonic() + RETRY_S
            return None
        self.retry_at_by_vm.pop(vm, None)
        raced = self.link_by_vm.get(vm)
        if raced is not None:
            sock.close()
            return raced
        sock.settimeout(None)
        link = links.Link(sock, vm)
        self.link_by_vm[vm] = link
        self._greet(link)
        self.tasks.spawn(self._run, link)
        return link

    def _serve(self, sock: socket.socket, _: tuple) -> None:
        link = links.Link(sock, None)
        self._greet(link)
        self._run(link)

    def _greet(self, link: links.Link) -> None:
        own = self.kernel.settings
        version = messages.PROTOCOL_VERSION
        hello = messages.Hello(version, own.name, own.deployment, inflates=True)
        link.send(messages.pack(hello))

    def _run(self, link: links.Link) -> None:
        writer = self.tasks.spawn(link.write_all)
        for array in link.read_all():
            received = messages.unpack(array)
            if received is not None and not self._take(link, *received):
                break
        writer.kill()
        link.sock.close()
        self.closed_bytes += link.sent_bytes + link.received_bytes
        if self.link_by_vm.get(link.vm) is link:
            del self.link_by_vm[link.vm]
        # Callers that wait for a reply on this connection would otherwise
        # wait until their timeout.
        for waiting_link, reply in list(self.waiting_by_call.values()):
            if waiting_link is link:
                reply.set(None)
        if link.vm is not None:
            for notify in self.on_lost:
                notify(link.vm)

    def _take(self, link: links.Link, message: typing.Any, call: int) -> bool:
        """Handle a message; returns whether the connection is to go on."""
        match message:
            case messages.Hello():
                return self._take_hello(link, message)
            case messages.Compressed():
                link.decompress()
            case _ if call < 0:
                waiting = self.waiting_by_call.get(-call)
                if waiting is not None:
                    waiting[1].set(message)
            case _ if link.vm is not None:
                self._dispatch(link, message, call)
        return True

    def _take_hello(self, link: links.Link, hello: messages.Hello) -> bool:
        if hello.version != messages.PROTOCOL_VERSION:
            log.warning("{} speaks version {}", hello.name, hello.version)
            return False
        if hello.deployment != self.kernel.settings.deployment:
            log.warning("{} is of deployment {}", hello.name, hello.deployment)
            return False
        if link.vm is not None and link.vm.startswith(vm_list.SEED):
            self.link_by_vm.pop(link.vm, None)
            link.vm = None
        if link.vm is None:
            link.vm = hello.name
            self.link_by_vm.setdefault(hello.name, link)
        if hello.inflates:
            link.compress()
        # A list that lags names a VM by an address that another has now.
        return link.vm == hello.name

    def _dispatch(self, link: links.Link, message: typing.Any, call: int) -> None:
        handler = self.handler_by_class.get(type(message))
        if handler is None:
            log.warning("no part serves {}", type(message).__name__)
            return

        def answer(reply: typing.Any) -> None:
            link.send(messages.pack(reply, -call))

        handler(link.vm, message, answer)

    def _report(self) -> None:
        swim = self.membership.swim
        datagram_bytes = swim.sent_bytes + swim.received_bytes
        self.control_bytes.set({"transport": "tcp"}, self.total_bytes())
        self.control_bytes.set({"transport": "udp"}, datagram_bytes)

    def _close_dead(self) -> None:
        for vm, link in list(self.link_by_vm.items()):
            record = self.membership.table.find(vm)
            if record is not None and record.state is members.State.DEAD:
                link.close()
