"""Room for a load: which residents may leave an endpoint for it."""

import collections
import collections.abc

import attrs

from mothworks import fleet

#: Returns the endpoints that a model could be loaded on.
Candidates = collections.abc.Callable[[fleet.Fleet, fleet.Demanded], list[fleet.Site]]


@attrs.frozen
class Place:
    """An endpoint for a load, with what must leave it first.

    :param site: the endpoint.
    :param victims: keys to unload before the load.
    :param gain: requests a second that come into their target.
    """

    site: fleet.Site
    victims: tuple[tuple[str, str], ...] = ()
    gain: float = 0.0


@attrs.frozen
class Copy:
    """A load that lets a single replica leave another endpoint later.

    :param site: where to.
    :param need: what is loaded.
    """

    site: fleet.Site
    need: fleet.Need


def victims(
    planned: fleet.Fleet, site: fleet.Site, need: fleet.Need
) -> tuple[tuple[str, str], ...] | None:
    """Return residents that make room for a load without harm, or None.

    :param planned: the fleet.
    :param site: the endpoint.
    :param need: what is to be loaded.
    """
    missing_mb = need.room_mb - site.free_mb
    if missing_mb <= 0:
        return ()
    surplus = [key for key in site.memory_by_key if may_go(planned, site, key)]
    surplus.sort(key=lambda key: (share(planned, site, key), key))
    victims = []
    for key in surplus:
        if missing_mb <= 0:
            break
        victims.append(key)
        missing_mb -= site.memory_by_key[key]
    if missing_mb > 0:
        return None
    return tuple(victims)


def may_go(planned: fleet.Fleet, site: fleet.Site, key: tuple[str, str]) -> bool:
    """Return whether a resident has enough replicas elsewhere.

    :param planned: the fleet.
    :param site: the endpoint.
    :param key: name and version of the resident.
    """
    if key in site.leaving or key in site.loading:
        return False
    item = planned.demanded_by_name.get(key[0])
    if item is None:
        return True
    if item.need.version != key[1]:
        return bool(planned.ready(key[0]))
    for name in planned.adapters_by_model.get(key[0], ()):
        if name in site.names and planned.ready(name) == [site]:
            return False
    if item.need.base:
        return False
    others = [other for other in planned.ready(key[0]) if other is not site]
    return len(others) >= item.need.replicas


def share(planned: fleet.Fleet, site: fleet.Site, key: tuple[str, str]) -> float:
    """Return the places that a resident fills.

    :param planned: the fleet.
    :param site: the endpoint.
    :param key: name and version of the resident.
    """
    item = planned.demanded_by_name.get(key[0])
    return 0.0 if item is None else item.share_by_site.get(site.name, 0.0)


def loss(planned: fleet.Fleet, site: fleet.Site, key: tuple[str, str]) -> float:
    """Return the requests a second that an unload leaves unserved.

    :param planned: the fleet.
    :param site: the endpoint.
    :param key: name and version of the resident.
    """
    places = share(planned, site, key)
    if not places:
        return 0.0
    others = [other for other in planned.replicas(key[0]) if other is not site]
    spare = sum(max(0.0, other.spare) for other in others)
    service_s = planned.demanded_by_name[key[0]].service_s
    return max(0.0, places - spare) / service_s


def copies(
    planned: fleet.Fleet, site: fleet.Site, need: fleet.Need, candidates: Candidates
) -> list[Copy]:
    """Return loads elsewhere after which a site can make room, or none.

    :param planned: the fleet.
    :param site: the endpoint that is to make room.
    :param need: what is to be loaded there.
    :param candidates: finds endpoints for the copies.
    """
    missing_mb = need.room_mb - site.free_mb
    taken_mb: collections.Counter[str] = collections.Counter()
    made = []
    for key in sorted(site.memory_by_key, key=site.memory_by_key.get):
        if missing_mb <= 0:
            break
        other = planned.demanded_by_name.get(key[0])
        if other is None or other.need.base or other.need.version != key[1]:
            continue
        if key in site.leaving or key in site.loading:
            continue
        missing_mb -= site.memory_by_key[key]
        if may_go(planned, site, key):
            continue
        fitting = [
            place
            for place in candidates(planned, other)
            if place is not site
            and place.free_mb - taken_mb[place.name] >= other.need.room_mb
        ]
        if not fitting:
            return []
        tightest = min(fitting, key=lambda place: place.free_mb)
        taken_mb[tightest.name] += other.need.room_mb
        made.append(Copy(tightest, other.need))
    return made if missing_mb <= 0 else []
