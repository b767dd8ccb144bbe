"""Membership: which VMs run a node now.

The VMs of a region probe each other (:mod:`mothworks.swim`) and maintain the
same table (:mod:`mothworks.members`). :mod:`mothworks.membership_sync` synchronises
the tables to join, to heal partitions and to bridge regions. Other parts call
:meth:`Membership.live` and register callbacks for changes.
"""

import random

import logbook

from mothworks import (
    gossip,
    kernel,
    members,
    ownership,
    plugins,
    ports,
    swim,
    vm_list,
)

log = logbook.Logger("membership")

#: Number of VMs in each region that synchronise with other regions.
BRIDGE_VMS_PER_REGION = 2


@plugins.register(plugins.PART, "membership")
class Membership(kernel.Part):
    """Maintains which VMs are live and notifies other parts of changes.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        #: Whether the platform's list marks this VM as leaving.
        self.leaving = False
        self.ports = node_kernel.get(ports.Ports)
        self.update_queue = gossip.UpdateQueue()
        self.table = members.Members(
            self.me(),
            self.update_queue.add,
            self._notify_change,
            self._suspicion_rounds,
        )
        deployment = node_kernel.settings.deployment
        self.swim = swim.Swim(
            self.table, self.update_queue, self.ports.datagram, self.tasks, deployment
        )
        #: Other VMs on the platform's list, which may be stale or incomplete.
        self.listed_by_name: dict[str, members.Member] = {}
        #: Endpoints that the platform's list marks as leaving.
        self.leaving_endpoints: frozenset[str] = frozenset()
        #: Callbacks without arguments that are called after a change.
        self.on_change: list = []
        node_kernel.on_draining.append(self._announce)

    def start(self) -> None:
        """Announce this VM and start to probe."""
        self._announce()
        self.swim.start()

    def stop(self) -> None:
        """Stop; if the node is draining, first notify peers that this VM has left."""
        if self.kernel.draining:
            self.swim.announce_leave(self.table.leave())
        super().stop()

    def me(self) -> members.Member:
        """Return the current description of this VM."""
        node_settings = self.kernel.settings
        return members.Member(
            node_settings.name,
            node_settings.address,
            node_settings.peer_port or self.ports.port,
            node_settings.port,
            node_settings.data_centre,
            node_settings.region,
            self.kernel.draining or self.leaving,
        )

    def live(self) -> list[members.Member]:
        """Return all live members, including this VM."""
        return [*self.table.live(), self.me()]

    def peers(self) -> list[members.Member]:
        """Return all live members except this VM."""
        return self.table.live()

    def region_peers(self) -> list[members.Member]:
        """Return the live members of this VM's region except itself."""
        return self.swim.region_peers()

    def bridge_peers(self) -> list[members.Member]:
        """Return a random live member of each other region if this is a bridge VM.

        Only a few VMs of a region, its bridges, communicate with other regions,
        so that the traffic between regions does not grow with their size. On
        all other VMs the list is empty.
        """
        me = self.me()
        region_members = [*self.region_peers(), me]
        region_members.sort(key=lambda item: ownership.weight("link", item.name))
        if me not in region_members[:BRIDGE_VMS_PER_REGION]:
            return []
        members_by_region: dict[str, list[members.Member]] = {}
        for member in self.peers():
            if member.region != me.region:
                members_by_region.setdefault(member.region, []).append(member)
        return [random.choice(candidates) for candidates in members_by_region.values()]

    def find(self, vm: str) -> members.Member | None:
        """Return a VM from the table or the platform's list, whether or not it is live.

        :param vm: the VM's name.
        """
        record = self.table.find(vm)
        return record.member if record else self.listed_by_name.get(vm)

    def is_alive(self, vm: str) -> bool:
        """Return whether a VM is alive; unlike :meth:`live`, this excludes suspects.

        :param vm: the VM's name.
        """
        record = self.table.find(vm)
        return record is not None and record.state is members.State.ALIVE

    def apply_vm_list(self, vms: tuple[vm_list.Vm, ...]) -> None:
        """Update this part from the platform's list.

        The list may be stale. It only provides addresses to try, the endpoints
        that are leaving, and whether this VM itself should leave.

        :param vms: the whole list.
        """
        own_name = self.kernel.settings.name
        nodes = [item for item in vms if item.kind is vm_list.VmKind.NODE]
        self.listed_by_name = {
            item.name: _make_member(item) for item in nodes if item.name != own_name
        }
        leaving_vms = [item for item in vms if item.state is vm_list.VmState.LEAVING]
        leaving_endpoints = frozenset(
            item.name for item in leaving_vms if item.kind is vm_list.VmKind.ENDPOINT
        )
        self.leaving = any(item.name == own_name for item in leaving_vms)
        self._announce()
        if leaving_endpoints != self.leaving_endpoints:
            self.leaving_endpoints = leaving_endpoints
            self._notify_change()

    def _announce(self) -> None:
        me = self.me()
        if me != self.table.own.member:
            self.table.announce(me)
            self._notify_change()

    def _notify_change(self) -> None:
        for callback in self.on_change:
            callback()

    def _suspicion_rounds(self) -> int:
        return self.swim.suspicion_rounds()


def _make_member(vm: vm_list.Vm) -> members.Member:
    return members.Member(
        vm.name, vm.address, vm.peer_port, vm.port, vm.data_centre, vm.region
    )
