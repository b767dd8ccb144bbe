"""Ranking: the order in which VMs are assigned a role.

All VMs compute the same order from the same membership, by rendezvous hashing. It is
cached until membership changes, since every heartbeat needs it.
"""

import functools

from mothworks import membership, ownership


class Ranking:
    """One VM's view of the order.

    :param role: the role; each role has its own order.
    :param name: the VM.
    :param members: its membership.
    """

    def __init__(self, role: str, name: str, members: membership.Membership):
        self.role = role
        self.name = name
        self.membership = members
        members.on_change.append(lambda: self.__dict__.pop("vms", None))

    @functools.cached_property
    def vms(self) -> list[str]:
        """Return the live VMs that stay, this one included, highest rank first."""
        staying = [
            item.name for item in self.membership.region_peers() if not item.leaving
        ]
        return sorted(
            [*staying, self.name],
            key=lambda vm: ownership.weight(self.role, vm),
            reverse=True,
        )
