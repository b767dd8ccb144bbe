"""Failure detection by probes, after SWIM (Das, Gupta, Motivala, 2002).

Once a round each VM probes one VM of its region, in a shuffled order. Where
no answer comes, it asks a few others to probe it too, since the path and not
the VM may be broken. A VM that answers nobody is suspected, and dead some
rounds later unless it refutes. The cost for one VM is the same whatever the
size of the group.
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

#: Time of one round, seconds.
ROUND_S = 1.0
#: Share of a round that a direct answer may take; the rest is for the helpers.
DIRECT_SHARE = 0.3
#: VMs that are asked to probe a silent one.
HELPERS = 3
#: Rounds that a suspect has, as a multiple of log10 of the number of VMs.
SUSPICION_PER_LOG = 3
#: A wait that took this many times its length shows that this VM was paused.
PAUSED = 2.0
#: Length of the tag that each packet begins with.
TAG_BYTES = 4
#: Largest packet that is read.
PACKET_BYTES = 2048


@messages.message(30)
@attrs.frozen
class Probe:
    """Asks a VM to answer.

    :param sender: the name of the VM that asks.
    :param number: ties the answer to the probe.
    :param news: see :class:`members.Row`.
    """

    sender: str
    number: int
    news: tuple[members.Row, ...] = attrs.field(default=(), converter=members.rows)


@messages.message(31)
@attrs.frozen
class ProbeAnswer:
    """Answers a probe, or passes on the answer of a VM probed for another.

    :param number: the probe's number.
    :param news: see :class:`members.Row`.
    """

    number: int
    news: tuple[members.Row, ...] = attrs.field(default=(), converter=members.rows)


@messages.message(32)
@attrs.frozen
class ProbeRequest:
    """Asks a VM to probe another and to pass on the answer.

    :param sender: the name of the VM that asks.
    :param number: the number that the answer is to carry.
    :param target: the name of the silent VM.
    :param news: see :class:`members.Row`.
    """

    sender: str
    number: int
    target: str
    news: tuple[members.Row, ...] = attrs.field(default=(), converter=members.rows)


def tag(deployment: str, vm: str) -> bytes:
    """Return what datagrams for a VM begin with, to tell them from all others.

    :param deployment: the deployment's name.
    :param vm: the VM's name.
    """
    return xxhash.xxh32_digest(f"{deployment}\0{vm}".encode())


class Swim:
    """Probes the VMs of one region.

    :param table: the membership table.
    :param news: what is piggybacked on packets.
    :param sock: the datagram socket.
    :param work: where its tasks run.
    :param deployment: the deployment's name.
    """

    def __init__(
        self,
        table: members.Members,
        news: gossip.Gossip,
        sock: gevent.socket.socket,
        work: tasks.Tasks,
        deployment: str,
    ):
        self.table = table
        self.news = news
        self.sock = sock
        self.tasks = work
        self.deployment = deployment
        self.round_s = ROUND_S
        self.numbers = itertools.count(random.randrange(1 << 24))
        self.answered_by_number: dict[int, gevent.event.Event] = {}
        self.order: list[str] = []
        self.sent_bytes = 0
        self.received_bytes = 0

    def start(self) -> None:
        """Start to answer and to probe."""
        self.tasks.spawn(self._receive)
        self.tasks.spawn(self._probe_all)

    def suspicion_rounds(self) -> int:
        """Return the rounds that a suspect has to refute."""
        vms = max(10, len(self.table.record_by_name) + 1)
        return math.ceil(SUSPICION_PER_LOG * math.log10(vms))

    def farewell(self, row: members.Row) -> None:
        """Tell a few VMs at once that this one has left.

        :param row: the row that says so.
        """
        self.news.add(row)
        for member in self._others(set(), HELPERS + 1):
            self._send(member, ProbeAnswer(0, (row,)))

    def near(self) -> list[members.Member]:
        """Return the live VMs of this VM's region, itself left out."""
        region = self.table.own.member.region
        return [item for item in self.table.live() if item.region == region]

    def _probe_all(self) -> None:
        while True:
            started = time.monotonic()
            jitter = random.uniform(1 - tasks.JITTER, 1 + tasks.JITTER)
            self._probe_next()
            self.table.tick()
            spent = time.monotonic() - started
            gevent.sleep(max(0.0, self.round_s * jitter - spent))

    def _probe_next(self) -> None:
        target = self._next()
        if target is None:
            return
        direct_s = self.round_s * DIRECT_SHARE
        rest_s = self.round_s * (1 - 2 * tasks.JITTER) - direct_s
        started = time.monotonic()
        number, answered = self._expect()
        self._send(target, Probe(self._name, number, self._news()))
        if not answered.wait(direct_s):
            for helper in self._others({target.name}, HELPERS):
                request = ProbeRequest(self._name, number, target.name, self._news())
                self._send(helper, request)
            answered.wait(rest_s)
        del self.answered_by_number[number]
        # A VM that was paused while it waited finds no answer, for it read
        # none. To suspect its peers then would empty its table of live VMs.
        paused = time.monotonic() - started > PAUSED * self.round_s
        if not answered.is_set() and not paused:
            self.table.suspect(target.name)

    def _next(self) -> members.Member | None:
        if not self.order:
            self.order = [item.name for item in self.near()]
            random.shuffle(self.order)
        while self.order:
            record = self.table.find(self.order.pop())
            if record is not None and record.live:
                return record.member
        return None

    def _others(self, without: set[str], number: int) -> list[members.Member]:
        candidates = [item for item in self.near() if item.name not in without]
        return random.sample(candidates, min(number, len(candidates)))

    def _expect(self) -> tuple[int, gevent.event.Event]:
        number = next(self.numbers)
        answered = gevent.event.Event()
        self.answered_by_number[number] = answered
        return number, answered

    def _receive(self) -> None:
        while True:
            try:
                data, address = self.sock.recvfrom(PACKET_BYTES)
            except OSError as error:
                # An earlier packet met a closed port; it says nothing more.
                log.debug("datagram: {}", error)
                continue
            self.received_bytes += len(data)
            self._take(data, address)

    def _take(self, data: bytes, address: tuple) -> None:
        if data[:TAG_BYTES] != tag(self.deployment, self._name):
            # The address of a dead VM may now belong to a VM of the same name
            # in another deployment. Its answers would keep the dead VM alive
            # for ever, and the news would mix up the two deployments.
            log.debug("datagram for another VM from {}", address[0])
            return
        try:
            received = messages.unpack(msgpack.unpackb(data[TAG_BYTES:]))
        except (ValueError, TypeError, msgpack.UnpackException):
            received = None
        if received is None:
            log.warning("bad datagram from {}", address[0])
            return
        message, _ = received
        for row in message.news:
            self.table.merge(row)
        match message:
            case Probe(sender, number):
                self._answer(sender, number, address)
            case ProbeAnswer(number):
                answered = self.answered_by_number.get(number)
                if answered is not None:
                    answered.set()
            case ProbeRequest():
                self.tasks.spawn(self._probe_for, message, address)

    def _answer(self, sender: str, number: int, address: tuple) -> None:
        record = self.table.find(sender)
        news = self._news()
        if record is not None and record.state is not members.State.ALIVE:
            # Told each time, a VM that others hold for dead refutes at once,
            # also long after the news of its death was last sent.
            news = (record.row(), *news[:-1])
        self._send_to(sender, address, ProbeAnswer(number, news))

    def _probe_for(self, request: ProbeRequest, address: tuple) -> None:
        record = self.table.find(request.target)
        if record is None:
            return
        number, answered = self._expect()
        self._send(record.member, Probe(self._name, number, self._news()))
        if answered.wait(self.round_s * DIRECT_SHARE):
            answer = ProbeAnswer(request.number, self._news())
            self._send_to(request.sender, address, answer)
        del self.answered_by_number[number]

    @property
    def _name(self) -> str:
        return self.table.own.member.name

    def _news(self) -> tuple[members.Row, ...]:
        return self.news.take(len(self.near()))

    def _send(self, member: members.Member, message) -> None:
        address = (member.address, member.peer_port)
        self._send_to(member.name, address, message)

    def _send_to(self, name: str, address: tuple, message) -> None:
        data = tag(self.deployment, name) + messages.pack(message)
        self.sent_bytes += len(data)
        try:
            self.sock.sendto(data, address)
        except OSError as error:
            # A lost datagram; the probe that it carried goes unanswered.
            log.debug("datagram to {}: {}", address[0], error)
