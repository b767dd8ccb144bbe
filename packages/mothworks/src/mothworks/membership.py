"""Membership: which VMs run a node now.

The platform's list seeds it. Other parts ask :meth:`Membership.live` and
are told of changes.
"""

import attrs
import logbook
import result

from mothworks import kernel, plugins, vm_list

log = logbook.Logger("membership")


@attrs.frozen
class Member:
    """A VM that runs a node.

    :param name: the VM's name.
    :param address: its IP number.
    :param peer_port: its port for peers, TCP and UDP.
    :param port: its port for callers.
    :param data_centre: where it runs.
    :param region: that data centre's region.
    :param leaving: it is shutting down and takes no new ownership.
    """

    name: str
    address: str
    peer_port: int
    port: int
    data_centre: str
    region: str
    leaving: bool = False


@plugins.register(plugins.PART, "membership")
class Membership(kernel.Part):
    """Knows the live VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.list = node_kernel.get(vm_list.VmList)
        self.member_by_name: dict[str, Member] = {}
        #: Endpoints that the platform lists as leaving.
        self.leaving_endpoints: frozenset[str] = frozenset()
        #: Functions to call after a change, without arguments.
        self.on_change: list = []

    def start(self) -> None:
        """Read the list once, then again and again."""
        self.refresh()
        self.tasks.every(self.kernel.settings.vm_list.poll_s, self.refresh)

    def me(self) -> Member:
        """Return this VM as a member."""
        chosen = self.kernel.settings
        return Member(
            chosen.name,
            chosen.address,
            chosen.peer_port,
            chosen.port,
            chosen.data_centre,
            chosen.region,
            self.kernel.draining,
        )

    def live(self) -> list[Member]:
        """Return all live members, this VM among them."""
        return [*self.member_by_name.values(), self.me()]

    def peers(self) -> list[Member]:
        """Return all live members but this VM."""
        return list(self.member_by_name.values())

    def refresh(self) -> None:
        """Read the platform's list."""
        match self.list.source.read():
            case result.Ok(vms):
                self._take(vms)
            case result.Err(reason):
                log.warning("vm list: {}", reason)

    def _take(self, vms: tuple[vm_list.Vm, ...]) -> None:
        own_name = self.kernel.settings.name
        members = {
            vm.name: _member(vm)
            for vm in vms
            if vm.kind is vm_list.VmKind.NODE and vm.name != own_name
        }
        leaving = frozenset(
            vm.name
            for vm in vms
            if vm.kind is vm_list.VmKind.ENDPOINT
            and vm.state is vm_list.VmState.LEAVING
        )
        if members == self.member_by_name and leaving == self.leaving_endpoints:
            return
        self.member_by_name = members
        self.leaving_endpoints = leaving
        for notify in self.on_change:
            notify()


def _member(vm: vm_list.Vm) -> Member:
    return Member(
        vm.name,
        vm.address,
        vm.peer_port,
        vm.port,
        vm.data_centre,
        vm.region,
        vm.state is vm_list.VmState.LEAVING,
    )
