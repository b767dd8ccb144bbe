"""Membership: which VMs run a node now.

The VMs of a region probe each other (:mod:`mothworks.swim`) and keep one
table (:mod:`mothworks.members`); :mod:`mothworks.exchange` joins, heals
partitions and links regions. Other parts ask :meth:`Membership.live` and are
told of changes.
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

#: VMs of each region that exchange with other regions.
LINKING_VMS = 2


@plugins.register(plugins.PART, "membership")
class Membership(kernel.Part):
    """Knows the live VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        #: Whether the platform lists this VM as leaving.
        self.leaving = False
        self.ports = node_kernel.get(ports.Ports)
        self.update_queue = gossip.UpdateQueue()
        self.table = members.Members(
            self.me(), self.update_queue.add, self._notify, self._suspicion_rounds
        )
        deployment = node_kernel.settings.deployment
        self.swim = swim.Swim(
            self.table, self.update_queue, self.ports.datagram, self.tasks, deployment
        )
        #: VMs that the platform lists; some may be gone, others missing.
        self.listed_by_name: dict[str, members.Member] = {}
        #: Endpoints that the platform lists as leaving.
        self.leaving_endpoints: frozenset[str] = frozenset()
        #: Functions to call after a change, without arguments.
        self.on_change: list = []
        node_kernel.on_draining.append(self._announce)

    def start(self) -> None:
        """Start to probe and to answer."""
        self._announce()
        self.swim.start()

    def stop(self) -> None:
        """Tell peers that this VM has left, then stop."""
        if self.kernel.draining:
            self.swim.announce_leave(self.table.leave())
        super().stop()

    def me(self) -> members.Member:
        """Return this VM as a member."""
        chosen = self.kernel.settings
        return members.Member(
            chosen.name,
            chosen.address,
            chosen.peer_port or self.ports.port,
            chosen.port,
            chosen.data_centre,
            chosen.region,
            self.kernel.draining or self.leaving,
        )

    def live(self) -> list[members.Member]:
        """Return all live members, this VM among them."""
        return [*self.table.live(), self.me()]

    def peers(self) -> list[members.Member]:
        """Return all live members but this VM."""
        return self.table.live()

    def near(self) -> list[members.Member]:
        """Return the live members of this VM's region, itself left out."""
        return self.swim.region_peers()

    def far(self) -> list[members.Member]:
        """Return a random live member of each other region, for VMs that link.

        Only a few VMs of a region exchange with others, so that the cost of a
        link does not grow with the regions; on all other VMs this is empty.
        """
        me = self.me()
        near = [*self.near(), me]
        near.sort(key=lambda item: ownership.weight("link", item.name))
        if me not in near[:LINKING_VMS]:
            return []
        far_by_region: dict[str, list[members.Member]] = {}
        for member in self.peers():
            if member.region != me.region:
                far_by_region.setdefault(member.region, []).append(member)
        return [random.choice(far) for far in far_by_region.values()]

    def find(self, vm: str) -> members.Member | None:
        """Return where a VM is reached, whether or not it is live.

        :param vm: the VM's name.
        """
        record = self.table.find(vm)
        return record.member if record else self.listed_by_name.get(vm)

    def is_live(self, vm: str) -> bool:
        """Return whether a VM is live and not suspected.

        :param vm: the VM's name.
        """
        record = self.table.find(vm)
        return record is not None and record.state is members.State.ALIVE

    def take_list(self, vms: tuple[vm_list.Vm, ...]) -> None:
        """Note what the platform's list says.

        The list lags: it only gives addresses to try, endpoints that are
        leaving, and whether this VM itself is to leave.

        :param vms: the whole list.
        """
        own_name = self.kernel.settings.name
        nodes = [item for item in vms if item.kind is vm_list.VmKind.NODE]
        self.listed_by_name = {
            item.name: _member(item) for item in nodes if item.name != own_name
        }
        leaving = [item for item in vms if item.state is vm_list.VmState.LEAVING]
        names = frozenset(
            item.name for item in leaving if item.kind is vm_list.VmKind.ENDPOINT
        )
        self.leaving = any(item.name == own_name for item in leaving)
        self._announce()
        if names != self.leaving_endpoints:
            self.leaving_endpoints = names
            self._notify()

    def _announce(self) -> None:
        me = self.me()
        if me != self.table.own.member:
            self.table.announce(me)
            self._notify()

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()

    def _suspicion_rounds(self) -> int:
        return self.swim.suspicion_rounds()


def _member(vm: vm_list.Vm) -> members.Member:
    return members.Member(
        vm.name, vm.address, vm.peer_port, vm.port, vm.data_centre, vm.region
    )
