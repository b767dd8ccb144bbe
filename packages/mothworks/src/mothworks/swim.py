"""Failure detection by probes, after SWIM (Das, Gupta, Motivala, 2002).

In each round a VM probes one VM of its region, in shuffled order. If no ack
arrives, it requests indirect probes from a few other VMs, since the network
path may have failed rather than the VM. A VM that no probe reaches becomes
suspect, and dead some rounds later unless it refutes the suspicion. The cost
for each VM is independent of the size of the group.
"""

import itertools
import math
import random
import time

import attrs
import gevent
import gevent.event
import logbook
import msgpack
import xxhash

from mothworks import gossip, members, messages, tasks

log = logbook.Logger("swim")

#: Duration of one round, seconds.
ROUND_S = 1.0
#: Share of a round spent on the direct probe; the rest is for indirect probes.
DIRECT_PROBE_SHARE = 0.3
#: Number of VMs that are requested to probe an unresponsive VM.
INDIRECT_PROBES = 3
#: Rounds that a suspect has to refute, as a multiple of log10 of the number of VMs.
SUSPICION_ROUNDS_PER_LOG10 = 3
#: A probe that took this many times the length of a round shows that this VM was
#: paused.
PAUSE_FACTOR = 2.0
#: Length of the tag at the start of each packet, bytes.
TAG_BYTES = 4
#: Maximum size of a received packet, bytes.
MAX_PACKET_BYTES = 2048


@messages.message(30)
@attrs.frozen
class Probe:
    """Checks whether a VM is alive; it replies with a :class:`ProbeAck`.

    :param sender: the name of the probing VM.
    :param number: matches the ack to the probe.
    :param updates: piggybacked membership updates.
    """

    sender: str
    number: int
    updates: tuple[members.Row, ...] = attrs.field(
        default=(), converter=members.parse_rows
    )


@messages.message(31)
@attrs.frozen
class ProbeAck:
    """Acknowledges a probe, or relays the ack of an indirect probe.

    :param number: the number of the probe or of the indirect probe request.
    :param updates: piggybacked membership updates.
    """

    number: int
    updates: tuple[members.Row, ...] = attrs.field(
        default=(), converter=members.parse_rows
    )


@messages.message(32)
@attrs.frozen
class IndirectProbeRequest:
    """Requests that a VM probes another VM and relays its ack.

    :param sender: the name of the requesting VM.
    :param number: the number that the relayed ack carries.
    :param target: the name of the unresponsive VM.
    :param updates: piggybacked membership updates.
    """

    sender: str
    number: int
    target: str
    updates: tuple[members.Row, ...] = attrs.field(
        default=(), converter=members.parse_rows
    )


def tag(deployment: str, vm: str) -> bytes:
    """Return the tag that identifies datagrams addressed to a VM of a deployment.

    :param deployment: the deployment's name.
    :param vm: the VM's name.
    """
    return xxhash.xxh32_digest(f"{deployment}\0{vm}".encode())


class Swim:
    """Probes the VMs of one region.

    :param table: the membership table.
    :param update_queue: the membership updates to piggyback on packets.
    :param sock: the datagram socket.
    :param part_tasks: runs its tasks.
    :param deployment: the deployment's name.
    """

    def __init__(
        self,
        table: members.Members,
        update_queue: gossip.UpdateQueue,
        sock: gevent.socket.socket,
        part_tasks: tasks.Tasks,
        deployment: str,
    ):
        self.table = table
        self.update_queue = update_queue
        self.sock = sock
        self.tasks = part_tasks
        self.deployment = deployment
        self.round_s = ROUND_S
        self.probe_numbers = itertools.count(random.randrange(1 << 24))
        self.ack_by_number: dict[int, gevent.event.Event] = {}
        self.probe_order: list[str] = []
        self.sent_bytes = 0
        self.received_bytes = 0

    def start(self) -> None:
        """Start to acknowledge and send probes."""
        self.tasks.spawn(self._receive)
        self.tasks.spawn(self._probe_repeatedly)

    def suspicion_rounds(self) -> int:
        """Return the number of rounds that a suspect has to refute."""
        vm_count = max(10, len(self.table.record_by_name) + 1)
        return math.ceil(SUSPICION_ROUNDS_PER_LOG10 * math.log10(vm_count))

    def announce_leave(self, row: members.Row) -> None:
        """Notify a few VMs immediately that this one has left.

        :param row: this VM's row with the state LEFT.
        """
        self.update_queue.add(row)
        for member in self._random_peers(set(), INDIRECT_PROBES + 1):
            self._send(member, ProbeAck(0, (row,)))

    def region_peers(self) -> list[members.Member]:
        """Return the live VMs of this VM's region except itself."""
        region = self.table.own.member.region
        return [item for item in self.table.live() if item.region == region]

    def _probe_repeatedly(self) -> None:
        while True:
            started = time.monotonic()
            jitter = random.uniform(1 - tasks.JITTER, 1 + tasks.JITTER)
            self._probe_next()
            self.table.tick()
            elapsed_s = time.monotonic() - started
            gevent.sleep(max(0.0, self.round_s * jitter - elapsed_s))

    def _probe_next(self) -> None:
        target = self._next_target()
        if target is None:
            return
        direct_timeout_s = self.round_s * DIRECT_PROBE_SHARE
        indirect_timeout_s = self.round_s * (1 - 2 * tasks.JITTER) - direct_timeout_s
        started = time.monotonic()
        number, ack = self._register_probe()
        self._send(target, Probe(self._own_name, number, self._next_updates()))
        if not ack.wait(direct_timeout_s):
            for helper in self._random_peers({target.name}, INDIRECT_PROBES):
                request = IndirectProbeRequest(
                    self._own_name, number, target.name, self._next_updates()
                )
                self._send(helper, request)
            ack.wait(indirect_timeout_s)
        del self.ack_by_number[number]
        # A VM that was paused while it waited has read no acks. Suspecting its
        # peers because of that would empty its table of live VMs.
        paused = time.monotonic() - started > PAUSE_FACTOR * self.round_s
        if not ack.is_set() and not paused:
            self.table.suspect(target.name)

    def _next_target(self) -> members.Member | None:
        if not self.probe_order:
            self.probe_order = [item.name for item in self.region_peers()]
            random.shuffle(self.probe_order)
        while self.probe_order:
            record = self.table.find(self.probe_order.pop())
            if record is not None and record.live:
                return record.member
        return None

    def _random_peers(self, excluded: set[str], count: int) -> list[members.Member]:
        candidates = [item for item in self.region_peers() if item.name not in excluded]
        return random.sample(candidates, min(count, len(candidates)))

    def _register_probe(self) -> tuple[int, gevent.event.Event]:
        number = next(self.probe_numbers)
        ack = gevent.event.Event()
        self.ack_by_number[number] = ack
        return number, ack

    def _receive(self) -> None:
        while True:
            try:
                data, address = self.sock.recvfrom(MAX_PACKET_BYTES)
            except OSError as error:
                # An earlier packet was sent to a closed port; nothing to handle.
                log.debug("receiving a datagram failed: {}", error)
                continue
            self.received_bytes += len(data)
            self._handle_datagram(data, address)

    def _handle_datagram(self, data: bytes, address: tuple) -> None:
        if data[:TAG_BYTES] != tag(self.deployment, self._own_name):
            # The address of a dead VM may now belong to a VM of the same name in
            # another deployment. Its acks would keep the dead VM alive for ever,
            # and its updates would mix the members of both deployments.
            log.debug("ignoring a datagram for another VM from {}", address[0])
            return
        try:
            received = messages.unpack(msgpack.unpackb(data[TAG_BYTES:]))
        except (ValueError, TypeError, msgpack.UnpackException):
            received = None
        message, _ = received or (None, 0)
        if not isinstance(message, Probe | ProbeAck | IndirectProbeRequest):
            log.warning("ignoring an invalid datagram from {}", address[0])
            return
        for row in message.updates:
            self.table.merge(row)
        match message:
            case Probe(sender, number):
                self._acknowledge(sender, number, address)
            case ProbeAck(number):
                ack = self.ack_by_number.get(number)
                if ack is not None:
                    ack.set()
            case IndirectProbeRequest():
                self.tasks.spawn(self._probe_indirectly, message, address)

    def _acknowledge(self, sender: str, number: int, address: tuple) -> None:
        record = self.table.find(sender)
        updates = self._next_updates()
        if record is not None and record.state is not members.State.ALIVE:
            # Each ack to a suspect or dead VM carries its row, so that it refutes
            # at once, even long after that update was last gossiped.
            updates = (record.row(), *updates[:-1])
        self._send_to(sender, address, ProbeAck(number, updates))

    def _probe_indirectly(self, request: IndirectProbeRequest, address: tuple) -> None:
        record = self.table.find(request.target)
        if record is None:
            return
        number, ack = self._register_probe()
        self._send(record.member, Probe(self._own_name, number, self._next_updates()))
        if ack.wait(self.round_s * DIRECT_PROBE_SHARE):
            reply = ProbeAck(request.number, self._next_updates())
            self._send_to(request.sender, address, reply)
        del self.ack_by_number[number]

    @property
    def _own_name(self) -> str:
        return self.table.own.member.name

    def _next_updates(self) -> tuple[members.Row, ...]:
        return self.update_queue.next_updates(len(self.region_peers()))

    def _send(self, member: members.Member, message) -> None:
        address = (member.address, member.peer_port)
        self._send_to(member.name, address, message)

    def _send_to(self, name: str, address: tuple, message) -> None:
        data = tag(self.deployment, name) + messages.pack(message)
        self.sent_bytes += len(data)
        try:
            self.sock.sendto(data, address)
        except OSError as error:
            # Equivalent to a lost datagram: a probe in it gets no ack.
            log.debug("sending a datagram to {} failed: {}", address[0], error)
