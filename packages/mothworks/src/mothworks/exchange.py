"""Full exchanges of the membership table: join, heal partitions, link regions.

Probes and their news cannot start a group, rejoin two halves that hold each
other for dead, or cross into another region. Two VMs that compare digests
over TCP, and tables where these differ, do all three.
"""

import random

import attrs
import gevent
import logbook
import result

from mothworks import (
    kernel,
    members,
    membership,
    messages,
    peers,
    plugins,
    vm_list,
)

log = logbook.Logger("exchange")

#: Seconds between exchanges with a random VM of the region.
EXCHANGE_S = 15.0
#: Seconds between attempts to reach a VM that is believed dead.
RECONNECT_S = 20.0
#: Seconds between exchanges of a linking VM with another region.
LINK_S = 5.0
#: Unknown VMs of the platform's list that are tried at a time.
TRIED = 3
#: Time for a reply, seconds.
REPLY_S = 2.0


@messages.message(33)
@attrs.frozen
class MembersDigest:
    """Asks a VM for its table unless it is the sender's.

    :param digest: see :meth:`members.Members.digest`.
    """

    digest: int


@messages.message(34)
@attrs.frozen
class MembersTable:
    """Rows that the receiver may lack; none where the digests were equal.

    :param rows: beliefs about VMs.
    """

    rows: tuple[members.Row, ...] = attrs.field(converter=members.parse_rows)


@plugins.register(plugins.PART, "exchange")
class Exchange(kernel.Part):
    """Exchanges the membership table with single VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.list = node_kernel.get(vm_list.VmList)
        self.table = self.membership.table
        node_kernel.on_draining.append(self.tell_all)
        self.peers.handle(MembersDigest, self._serve_digest)
        self.peers.handle(MembersTable, self._serve_table)

    def start(self) -> None:
        """Join, then go on exchanging."""
        self.tasks.spawn(self._follow_list)
        self.tasks.every(EXCHANGE_S, self.repair)
        self.tasks.every(RECONNECT_S, self.reconnect)
        self.tasks.every(LINK_S, self.link_regions)

    def refresh(self) -> None:
        """Read the platform's list and exchange with VMs that are unknown."""
        match self.list.source.read():
            case result.Ok(vms):
                self.membership.apply_vm_list(vms)
            case result.Err(reason):
                log.warning("vm list: {}", reason)
        region = self.kernel.settings.region
        unknown = [
            item
            for item in self.membership.listed_by_name.values()
            if not self._is_live(item.name)
        ]
        near = [item for item in unknown if item.region == region]
        self._exchange_some(near or unknown, TRIED)

    def repair(self) -> None:
        """Exchange with a random VM of the region, for news that was lost."""
        self._exchange_some(self.membership.near(), 1)

    def reconnect(self) -> None:
        """Exchange with a VM that is believed dead, if it is there after all.

        After a partition both sides hold each other for dead and probe each
        other no more; they would stay apart while the list is down.
        """
        self._exchange_some(self.table.dead(), 1)

    def link_regions(self) -> None:
        """Exchange with a random VM of each other region, if this VM links.

        Only a few VMs do. What they learn spreads in the region as news, and
        a region that cannot be reached keeps the state it had last.
        """
        for member in self.membership.far():
            self.exchange(member.name)

    def tell_all(self) -> None:
        """Tell every VM of the region at once what this VM says of itself.

        As news it would take rounds to reach all; in between they would ask
        a VM that is shutting down for slots.
        """
        self.peers.send_all(MembersTable((self.table.own.row(),)))

    def exchange(self, vm: str) -> bool:
        """Compare tables with a VM and take over what is newer.

        :param vm: the VM's name.
        :returns: whether it answered.
        """
        match self.peers.call(vm, MembersDigest(self.table.digest()), REPLY_S):
            case result.Ok(MembersTable(rows)):
                for row in rows:
                    self.table.merge(row)
                if rows:
                    self.peers.send(vm, MembersTable(self.table.rows()))
                return True
        return False

    def _follow_list(self) -> None:
        while True:
            self.refresh()
            gevent.sleep(self.kernel.settings.vm_list.poll_s)

    def _is_live(self, vm: str) -> bool:
        record = self.table.find(vm)
        return record is not None and record.live

    def _exchange_some(self, candidates: list[members.Member], most: int) -> None:
        for member in random.sample(candidates, min(most, len(candidates))):
            self.exchange(member.name)

    def _serve_digest(self, _: str, asked: MembersDigest, answer: peers.Answer) -> None:
        same = asked.digest == self.table.digest()
        answer(MembersTable(() if same else self.table.rows()))

    def _serve_table(self, _: str, table: MembersTable, __: peers.Answer) -> None:
        for row in table.rows:
            self.table.merge(row)
