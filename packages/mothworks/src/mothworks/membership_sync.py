"""Synchronises the membership table to join, heal partitions and bridge regions.

Gossip on probes cannot form a group, rejoin two sides of a partition that
consider each other dead, or reach another region. For all three, two VMs
compare digests of their tables over TCP and exchange the tables if they differ.
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

#: Interval between synchronisations with a random VM of the region, seconds.
SYNC_INTERVAL_S = 15.0
#: Interval between attempts to reach a dead VM, seconds.
RECONNECT_INTERVAL_S = 20.0
#: Interval at which a bridge VM synchronises with each other region, seconds.
BRIDGE_INTERVAL_S = 5.0
#: Maximum number of VMs to contact after each read of the platform's list.
MAX_JOIN_PEERS = 3
#: Timeout for a reply, seconds.
REPLY_TIMEOUT_S = 2.0


@messages.message(33)
@attrs.frozen
class MembersDigest:
    """Requests a VM's table unless it equals the sender's.

    :param digest: see :meth:`members.Members.digest`.
    """

    digest: int


@messages.message(34)
@attrs.frozen
class MembersTable:
    """Rows that the receiver may lack; empty if the digests were equal.

    :param rows: the states of VMs.
    """

    rows: tuple[members.Row, ...] = attrs.field(converter=members.parse_rows)


@plugins.register(plugins.PART, "exchange")
class MembershipSync(kernel.Part):
    """Synchronises the membership table with one VM at a time.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.vm_list = node_kernel.get(vm_list.VmList)
        self.table = self.membership.table
        node_kernel.on_draining.append(self.broadcast_own_row)
        self.peers.handle(MembersDigest, self._serve_digest)
        self.peers.handle(MembersTable, self._serve_table)

    def start(self) -> None:
        """Start to join the group and to synchronise periodically."""
        self.tasks.spawn(self._poll_vm_list)
        self.tasks.every(SYNC_INTERVAL_S, self.sync_random_peer)
        self.tasks.every(RECONNECT_INTERVAL_S, self.reconnect)
        self.tasks.every(BRIDGE_INTERVAL_S, self.bridge_regions)

    def refresh_vm_list(self) -> None:
        """Read the platform's list and synchronise with VMs on it that are not live.

        VMs of this VM's region are preferred.
        """
        match self.vm_list.source.read():
            case result.Ok(vms):
                self.membership.apply_vm_list(vms)
            case result.Err(reason):
                log.warning("cannot read the vm list: {}", reason)
        region = self.kernel.settings.region
        not_live = [
            item
            for item in self.membership.listed_by_name.values()
            if not self._is_live(item.name)
        ]
        in_region = [item for item in not_live if item.region == region]
        self._sync_with_some(in_region or not_live, MAX_JOIN_PEERS)

    def sync_random_peer(self) -> None:
        """Synchronise with a random VM of the region to recover lost updates."""
        self._sync_with_some(self.membership.region_peers(), 1)

    def reconnect(self) -> None:
        """Synchronise with a random dead VM, in case it is reachable again.

        After a partition each side considers the other dead and does not probe
        it. They would not rejoin while the platform's list is unavailable.
        """
        self._sync_with_some(self.table.dead(), 1)

    def bridge_regions(self) -> None:
        """Synchronise with a random VM of each other region if this is a bridge VM.

        Only a few VMs are. The updates that they receive are gossiped in their
        region. VMs of an unreachable region keep their last known state.
        """
        for member in self.membership.bridge_peers():
            self.sync_with(member.name)

    def broadcast_own_row(self) -> None:
        """Send this VM's own row to every VM of the region immediately.

        Gossip takes several rounds to reach all of them. Until then they would
        send slot requests to a VM that is shutting down.
        """
        self.peers.send_to_region(MembersTable((self.table.own.row(),)))

    def sync_with(self, vm: str) -> bool:
        """Synchronise the tables of this VM and another.

        :param vm: the other VM's name.
        :returns: whether it replied.
        """
        match self.peers.call(vm, MembersDigest(self.table.digest()), REPLY_TIMEOUT_S):
            case result.Ok(MembersTable(rows)):
                for row in rows:
                    self.table.merge(row)
                if rows:
                    self.peers.send(vm, MembersTable(self.table.rows()))
                return True
        return False

    def _poll_vm_list(self) -> None:
        while True:
            self.refresh_vm_list()
            gevent.sleep(self.kernel.settings.vm_list.poll_s)

    def _is_live(self, vm: str) -> bool:
        record = self.table.find(vm)
        return record is not None and record.live

    def _sync_with_some(self, candidates: list[members.Member], max_peers: int) -> None:
        for member in random.sample(candidates, min(max_peers, len(candidates))):
            self.sync_with(member.name)

    def _serve_digest(
        self, _: str, request: MembersDigest, send_reply: peers.Reply
    ) -> None:
        same = request.digest == self.table.digest()
        send_reply(MembersTable(() if same else self.table.rows()))

    def _serve_table(self, _: str, table: MembersTable, __: peers.Reply) -> None:
        for row in table.rows:
            self.table.merge(row)
