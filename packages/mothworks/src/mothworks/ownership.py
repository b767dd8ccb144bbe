"""Assigns the owner VM of each endpoint by rendezvous hashing.

VMs with the same membership compute the same owners without communicating.
The owner is a VM of the endpoint's data centre, or of its region if that data
centre has no VM left. When a VM joins or leaves, only the endpoints that it
gains or owned change their owner.
"""

import collections.abc

import attrs
import xxhash

from mothworks import catalogue, members


def candidates(
    data_centre: str, region: str, live: collections.abc.Iterable[members.Member]
) -> list[members.Member]:
    """Return the VMs that may own endpoints of a data centre.

    :param data_centre: the data centre's name.
    :param region: the data centre's region.
    :param live: all live members.
    """
    remaining = [item for item in live if not item.leaving]
    in_data_centre = [item for item in remaining if item.data_centre == data_centre]
    return in_data_centre or [item for item in remaining if item.region == region]


def rendezvous_owner(
    key: str, vms: collections.abc.Iterable[members.Member]
) -> members.Member | None:
    """Return the member with the highest rendezvous weight for a key.

    :param key: identifies what is owned.
    :param vms: the candidates.
    """
    return max(vms, key=lambda item: weight(key, item.name), default=None)


def planner_of(
    region: str, live: collections.abc.Iterable[members.Member]
) -> members.Member | None:
    """Return the VM that plans placement in a region.

    :param region: the region.
    :param live: all live members.
    """
    in_region = [item for item in live if item.region == region and not item.leaving]
    return rendezvous_owner(f"planner/{region}", in_region)


def shard_owner(
    key: str, live: collections.abc.Iterable[members.Member], own_name: str
) -> str:
    """Return the name of the VM that owns a shard of durable objects and writes it.

    :param key: the shard's key.
    :param live: all live members.
    :param own_name: this VM's name, which is returned if every VM is leaving.
    """
    owner = rendezvous_owner(key, [item for item in live if not item.leaving])
    return owner.name if owner else own_name


def weight(key: str, vm: str) -> int:
    """Return a VM's rendezvous weight for a key.

    :param key: identifies what is owned.
    :param vm: the VM's name.

    >>> weight("engine-1", "vm-1") == weight("engine-1", "vm-1")
    True
    """
    return xxhash.xxh64_intdigest(f"{key}\0{vm}".encode())


@attrs.define
class Owners:
    """The owners of one data centre's endpoints.

    :param vm_by_name: the VMs that may own them.
    :param vm_by_endpoint: the owner of each endpoint.
    """

    vm_by_name: dict[str, members.Member] = attrs.field(factory=dict)
    vm_by_endpoint: dict[str, members.Member] = attrs.field(factory=dict)

    def update(
        self,
        vms: collections.abc.Iterable[members.Member],
        endpoints: collections.abc.Iterable[str],
    ) -> None:
        """Update the owners after a change of members or endpoints.

        A full computation hashes every pair of VM and endpoint, which with
        hundreds of each would block the node for too long at every change.
        Only pairs with new VMs, and all pairs of endpoints whose owner is gone
        or that are new, are computed.

        :param vms: the VMs that may own the endpoints now.
        :param endpoints: names of all endpoints.
        """
        old_vms, self.vm_by_name = self.vm_by_name, {item.name: item for item in vms}
        new_vms = [
            item for name, item in self.vm_by_name.items() if name not in old_vms
        ]
        owner_by_endpoint = self.vm_by_endpoint
        self.vm_by_endpoint = {}
        for name in endpoints:
            previous = owner_by_endpoint.get(name)
            kept = self.vm_by_name.get(previous.name) if previous is not None else None
            contenders = (
                [kept, *new_vms] if kept is not None else self.vm_by_name.values()
            )
            owner = (
                rendezvous_owner(name, contenders) if kept is None or new_vms else kept
            )
            if owner is not None:
                self.vm_by_endpoint[name] = owner


class Ownership:
    """The owners of all endpoints, grouped by data centre."""

    def __init__(self):
        self.owners_by_data_centre: dict[str, Owners] = {}

    def update(
        self, index: catalogue.Index, live: collections.abc.Sequence[members.Member]
    ) -> None:
        """Update the owners after a change of members or of the catalogue.

        :param index: the catalogue in force.
        :param live: all live members.
        """
        names_by_data_centre: dict[str, list[str]] = {}
        for endpoint in index.catalogue.endpoints:
            names = names_by_data_centre.setdefault(endpoint.data_centre, [])
            names.append(endpoint.name)
        former_owners = self.owners_by_data_centre
        self.owners_by_data_centre = {}
        for data_centre, names in names_by_data_centre.items():
            region = index.region_by_data_centre[data_centre]
            owners = former_owners.get(data_centre) or Owners()
            owners.update(candidates(data_centre, region, live), names)
            self.owners_by_data_centre[data_centre] = owners

    def owner(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return an endpoint's owner, or None if its region has no VM to own it.

        :param endpoint: the endpoint.
        """
        owners = self.owners_by_data_centre.get(endpoint.data_centre)
        return owners.vm_by_endpoint.get(endpoint.name) if owners else None
