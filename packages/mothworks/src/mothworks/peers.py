"""Messaging between VMs over one TCP connection per pair of peers.

A VM connects to a peer when it first has a message to send; both sides then
use the same connection. A reply carries the negated number of its call. Send
queues are bounded, so a call to a peer that does not read fails at once
instead of filling memory.
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

#: Timeout for opening a connection, seconds.
CONNECT_TIMEOUT_S = 0.5
#: Delay before another connection attempt to an unreachable VM, seconds.
RETRY_DELAY_S = 0.5


@attrs.frozen
class PeerFailure:
    """A call to a peer failed.

    :param vm: the peer's name.
    :param reason: why it failed.
    :param may_have_arrived: whether the peer may have received the message.
    :param timed_out: whether the peer is connected and did not reply in time.
    """

    vm: str
    reason: str
    may_have_arrived: bool
    timed_out: bool = False


#: Function that sends the reply to one call.
Reply = collections.abc.Callable[[typing.Any], None]
#: Receives the sender's name, the message and the function that sends a reply.
Handler = collections.abc.Callable[[str, typing.Any, Reply], None]


@plugins.register(plugins.PART, "peers")
class Peers(kernel.Part):
    """Sends messages to peers and dispatches received messages to handlers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.handler_by_class: dict[type, Handler] = {}
        self.link_by_vm: dict[str, links.Link] = {}
        self.pending_by_call: dict[
            int, tuple[links.Link, gevent.event.AsyncResult]
        ] = {}
        self.retry_at_by_vm: dict[str, float] = {}
        #: Frames queued until the connection to their peer is open.
        self.queued_frames_by_vm: dict[str, list[bytes]] = {}
        self.call_numbers = itertools.count(1)
        self.closed_link_bytes = 0
        #: Callbacks that receive a VM's name after the connection to it closed.
        self.on_disconnect: list = []
        #: Opens a connection to an address; tests replace it to cut connections.
        self.connect = gevent.socket.create_connection
        node_ports = node_kernel.get(ports.Ports)
        self.listener = gevent.server.StreamServer(node_ports.stream, self._accept)
        #: The listening port; chosen by the operating system if the setting is 0.
        self.port = node_ports.port
        self.membership.on_change.append(self._close_dead_links)
        self.control_bytes = node_kernel.metrics.counter(
            "control_bytes", "Bytes exchanged with other VMs, by transport."
        )
        node_kernel.metrics.on_render.append(self._update_metrics)

    def start(self) -> None:
        """Start to accept connections from peers."""
        self.listener.start()

    def stop(self) -> None:
        """Close all connections."""
        self.listener.stop(timeout=0)
        super().stop()

    def handle(self, message_class: type, handler: Handler) -> None:
        """Register the handler of a message class.

        :param message_class: a registered class.
        :param handler: called in the connection's task; it must not block
            for long, and may reply later from another task.
        """
        self.handler_by_class[message_class] = handler

    def is_connected(self, vm: str) -> bool:
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
        :param timeout_s: time to wait for the reply, seconds.
        """
        link = self._get_or_connect(vm)
        if link is None:
            return result.Err(PeerFailure(vm, "cannot connect", False))
        call_number = next(self.call_numbers)
        pending_reply = gevent.event.AsyncResult()
        self.pending_by_call[call_number] = (link, pending_reply)
        try:
            if not link.send(messages.pack(message, call_number)):
                return result.Err(PeerFailure(vm, "send queue is full", False))
            reply = pending_reply.get(timeout=timeout_s)
        except gevent.Timeout:
            return result.Err(PeerFailure(vm, "no reply in time", True, True))
        finally:
            self.pending_by_call.pop(call_number, None)
        if reply is None:
            return result.Err(PeerFailure(vm, "connection lost", True))
        return result.Ok(reply)

    def send(self, vm: str, message: typing.Any) -> bool:
        """Send a message that gets no reply.

        :param vm: the peer's name.
        :param message: an instance of a registered class.
        :returns: whether it was sent or queued; it may still be lost.
        """
        link = self._get_or_connect(vm)
        return link is not None and link.send(messages.pack(message))

    def send_to_region(self, message: typing.Any) -> None:
        """Send a message to every live peer in this VM's region without waiting.

        :param message: an instance of a registered class.
        """
        self.multicast(
            [member.name for member in self.membership.region_peers()], message
        )

    def multicast(
        self, vms: collections.abc.Iterable[str], message: typing.Any
    ) -> None:
        """Send a message to several peers without waiting for connections to open.

        :param vms: the peers' names.
        :param message: an instance of a registered class.
        """
        frame = messages.pack(message)
        for vm in vms:
            self._send_nowait(vm, frame)

    def open(self, vm: str) -> None:
        """Open a connection in the background, so that a later call need not wait.

        :param vm: the peer's name.
        """
        if vm not in self.link_by_vm and vm not in self.queued_frames_by_vm:
            self.queued_frames_by_vm[vm] = []
            self.tasks.spawn(self._connect_and_flush, vm)

    def send_nowait(self, vm: str, message: typing.Any) -> None:
        """Send a message without waiting for a connection to open.

        :param vm: the peer's name.
        :param message: an instance of a registered class.
        """
        self._send_nowait(vm, messages.pack(message))

    def _send_nowait(self, vm: str, frame: bytes) -> None:
        """Send a frame now, or queue it until a connection is open.

        One task per peer opens the connection. A task per frame filled a
        VM's memory when hundreds of messages went to a hundred new peers.
        """
        link = self.link_by_vm.get(vm)
        frames = self.queued_frames_by_vm.get(vm)
        if link is not None:
            link.send(frame)
        elif frames is None:
            self.open(vm)
            self.queued_frames_by_vm[vm].append(frame)
        elif len(frames) < links.MAX_QUEUED_MESSAGES:
            frames.append(frame)

    def _connect_and_flush(self, vm: str) -> None:
        try:
            link = self._get_or_connect(vm)
        finally:
            frames = self.queued_frames_by_vm.pop(vm)
        if link is not None:
            for frame in frames:
                link.send(frame)

    def total_bytes(self) -> int:
        """Return the total bytes sent to and received from peers over TCP."""
        return self.closed_link_bytes + sum(
            link.sent_bytes + link.received_bytes for link in self.link_by_vm.values()
        )

    def _get_or_connect(self, vm: str) -> links.Link | None:
        link = self.link_by_vm.get(vm)
        if link is not None:
            return link
        member = self.membership.find(vm)
        # Without this delay, each request that needs an unreachable VM would
        # in turn wait for its connection attempt to time out.
        if member is None or time.monotonic() < self.retry_at_by_vm.get(vm, 0.0):
            return None
        try:
            sock = self.connect((member.address, member.peer_port), CONNECT_TIMEOUT_S)
        except OSError:
            self.retry_at_by_vm[vm] = time.monotonic() + RETRY_DELAY_S
            return None
        self.retry_at_by_vm.pop(vm, None)
        concurrent_link = self.link_by_vm.get(vm)
        if concurrent_link is not None:
            sock.close()
            return concurrent_link
        sock.settimeout(None)
        link = links.Link(sock, vm)
        self.link_by_vm[vm] = link
        self._send_hello(link)
        self.tasks.spawn(self._run_link, link)
        return link

    def _accept(self, sock: socket.socket, _: tuple) -> None:
        link = links.Link(sock, None)
        self._send_hello(link)
        self._run_link(link)

    def _send_hello(self, link: links.Link) -> None:
        node_settings = self.kernel.settings
        version = messages.PROTOCOL_VERSION
        hello = messages.Hello(
            version,
            node_settings.name,
            node_settings.deployment,
            supports_compression=True,
        )
        link.send(messages.pack(hello))

    def _run_link(self, link: links.Link) -> None:
        writer = self.tasks.spawn(link.write_all)
        for array in link.read_all():
            received = messages.unpack(array)
            if received is not None and not self._handle_message(link, *received):
                break
        writer.kill()
        link.sock.close()
        self.closed_link_bytes += link.sent_bytes + link.received_bytes
        if self.link_by_vm.get(link.vm) is link:
            del self.link_by_vm[link.vm]
        # Tasks that wait for a reply on this connection would otherwise block
        # until their timeout.
        for pending_link, pending_reply in list(self.pending_by_call.values()):
            if pending_link is link:
                pending_reply.set(None)
        if link.vm is not None:
            for callback in self.on_disconnect:
                callback(link.vm)

    def _handle_message(
        self, link: links.Link, message: typing.Any, call_number: int
    ) -> bool:
        """Handle a message and return whether to keep the connection open."""
        match message:
            case messages.Hello():
                return self._handle_hello(link, message)
            case messages.Compressed():
                link.decompress()
            case _ if call_number < 0:
                pending = self.pending_by_call.get(-call_number)
                if pending is not None:
                    pending[1].set(message)
            case _ if link.vm is not None:
                self._dispatch(link, message, call_number)
        return True

    def _handle_hello(self, link: links.Link, hello: messages.Hello) -> bool:
        if hello.version != messages.PROTOCOL_VERSION:
            log.warning(
                "peer {} uses protocol version {}; closing its connection",
                hello.name,
                hello.version,
            )
            return False
        if hello.deployment != self.kernel.settings.deployment:
            log.warning(
                "peer {} belongs to deployment {}; closing its connection",
                hello.name,
                hello.deployment,
            )
            return False
        if link.vm is not None and link.vm.startswith(vm_list.SEED_PREFIX):
            self.link_by_vm.pop(link.vm, None)
            link.vm = None
        if link.vm is None:
            link.vm = hello.name
            self.link_by_vm.setdefault(hello.name, link)
        if hello.supports_compression:
            link.compress()
        # A stale VM list can name a VM whose address now belongs to another VM.
        return link.vm == hello.name

    def _dispatch(
        self, link: links.Link, message: typing.Any, call_number: int
    ) -> None:
        handler = self.handler_by_class.get(type(message))
        if handler is None:
            log.warning("no handler is registered for {}", type(message).__name__)
            return

        def send_reply(reply: typing.Any) -> None:
            link.send(messages.pack(reply, -call_number))

        handler(link.vm, message, send_reply)

    def _update_metrics(self) -> None:
        swim = self.membership.swim
        datagram_bytes = swim.sent_bytes + swim.received_bytes
        self.control_bytes.set({"transport": "tcp"}, self.total_bytes())
        self.control_bytes.set({"transport": "udp"}, datagram_bytes)

    def _close_dead_links(self) -> None:
        for vm, link in list(self.link_by_vm.items()):
            record = self.membership.table.find(vm)
            if record is not None and record.state is members.State.DEAD:
                link.close()
