"""Ownership: which VM owns an endpoint, by rendezvous hashing.

Every VM computes the same owner from the same membership, without a
message. The owner is a VM of the endpoint's data centre, or of its region
when that data centre has none left. When a VM comes or goes, only the
endpoints that it wins or held change their owner.
"""

import collections.abc

import xxhash

from mothworks import catalogue, membership


def owner_of(
    endpoint: catalogue.Endpoint,
    region: str,
    members: collections.abc.Iterable[membership.Member],
) -> membership.Member | None:
    """Return the endpoint's owner, or None where its region has no VM.

    :param endpoint: the endpoint.
    :param region: the region of its data centre.
    :param members: all live members.
    """
    staying = [item for item in members if not item.leaving]
    near = [item for item in staying if item.data_centre == endpoint.data_centre]
    if not near:
        near = [item for item in staying if item.region == region]
    return highest(endpoint.name, near)


def highest(
    key: str, members: collections.abc.Iterable[membership.Member]
) -> membership.Member | None:
    """Return the member with the highest rendezvous weight for a key.

    :param key: what is to be owned.
    :param members: the candidates.
    """
    return max(members, key=lambda item: weight(key, item.name), default=None)


def weight(key: str, vm: str) -> int:
    """Return a VM's rendezvous weight for a key.

    :param key: what is to be owned.
    :param vm: the VM's name.

    >>> weight("engine-1", "vm-1") == weight("engine-1", "vm-1")
    True
    """
    return xxhash.xxh64_intdigest(f"{key}\0{vm}".encode())
