"""Chooses the residents to evict from an endpoint for a load."""

import collections
import collections.abc

import attrs

from mothworks import fleet

#: Returns the endpoints that can load a model.
FindCandidates = collections.abc.Callable[
    [fleet.Fleet, fleet.ModelDemand], list[fleet.EndpointView]
]


@attrs.frozen
class PlacementCandidate:
    """An endpoint for a load, with the evictions that the load requires.

    :param view: the endpoint.
    :param victims: keys to unload before the load.
    :param gain: additional requests/s that meet their target.
    """

    view: fleet.EndpointView
    victims: tuple[tuple[str, str], ...] = ()
    gain: float = 0.0


@attrs.frozen
class ReplicaCopy:
    """A load on another endpoint that makes the original replica evictable.

    :param view: the endpoint that loads the copy.
    :param spec: the model.
    """

    view: fleet.EndpointView
    spec: fleet.ModelSpec


def find_victims(
    planned: fleet.Fleet, view: fleet.EndpointView, spec: fleet.ModelSpec
) -> tuple[tuple[str, str], ...] | None:
    """Return surplus residents to evict for a load, or None if too few.

    :param planned: the fleet.
    :param view: the endpoint.
    :param spec: what is to be loaded.
    """
    missing_mb = spec.required_mb - view.free_mb
    if missing_mb <= 0:
        return ()
    evictable = [key for key in view.memory_by_key if is_evictable(planned, view, key)]
    evictable.sort(key=lambda key: (resident_slots(planned, view, key), key))
    victims = []
    for key in evictable:
        if missing_mb <= 0:
            break
        victims.append(key)
        missing_mb -= view.memory_by_key[key]
    if missing_mb > 0:
        return None
    return tuple(victims)


def is_evictable(
    planned: fleet.Fleet, view: fleet.EndpointView, key: tuple[str, str]
) -> bool:
    """Return whether a resident is surplus.

    A resident is surplus if it is undeclared, if its new version is ready, or
    if enough other replicas are ready. In the required version, an adapter is
    never surplus, nor is a model beside the only ready replica of an adapter.

    :param planned: the fleet.
    :param view: the endpoint.
    :param key: name and version of the resident.
    """
    if key in view.unloading or key in view.loading:
        return False
    item = planned.demand_by_name.get(key[0])
    if item is None:
        return True
    if item.spec.version != key[1]:
        return bool(planned.ready_replicas(key[0]))
    for name in planned.adapters_by_model.get(key[0], ()):
        if name in view.names and planned.ready_replicas(name) == [view]:
            return False
    if item.spec.base:
        return False
    others = [other for other in planned.ready_replicas(key[0]) if other is not view]
    return len(others) >= item.spec.replicas


def resident_slots(
    planned: fleet.Fleet, view: fleet.EndpointView, key: tuple[str, str]
) -> float:
    """Return the batch slots that a resident's demand uses.

    :param planned: the fleet.
    :param view: the endpoint.
    :param key: name and version of the resident.
    """
    item = planned.demand_by_name.get(key[0])
    return 0.0 if item is None else item.share_by_view.get(view.name, 0.0)


def eviction_cost(
    planned: fleet.Fleet, view: fleet.EndpointView, key: tuple[str, str]
) -> float:
    """Return the requests/s that an eviction leaves unserved.

    :param planned: the fleet.
    :param view: the endpoint.
    :param key: name and version of the resident.
    """
    demanded_slots = resident_slots(planned, view, key)
    if not demanded_slots:
        return 0.0
    others = [other for other in planned.replicas(key[0]) if other is not view]
    free_slots = sum(max(0.0, other.free_slots) for other in others)
    service_s = planned.demand_by_name[key[0]].service_s
    return max(0.0, demanded_slots - free_slots) / service_s


def copies_before_eviction(
    planned: fleet.Fleet,
    view: fleet.EndpointView,
    spec: fleet.ModelSpec,
    find_candidates: FindCandidates,
) -> list[ReplicaCopy]:
    """Return copies to load elsewhere so that an endpoint can evict enough.

    Returns an empty list if copies would not help or none are needed.

    :param planned: the fleet.
    :param view: the endpoint that evicts.
    :param spec: the model to load there.
    :param find_candidates: returns the endpoints that can load a copy.
    """
    missing_mb = spec.required_mb - view.free_mb
    reserved_mb: collections.Counter[str] = collections.Counter()
    copies_to_make = []
    for key in sorted(view.memory_by_key, key=view.memory_by_key.get):
        if missing_mb <= 0:
            break
        other = planned.demand_by_name.get(key[0])
        if other is None or other.spec.base or other.spec.version != key[1]:
            continue
        if key in view.unloading or key in view.loading:
            continue
        missing_mb -= view.memory_by_key[key]
        if is_evictable(planned, view, key):
            continue
        fitting = [
            candidate
            for candidate in find_candidates(planned, other)
            if candidate is not view
            and candidate.free_mb - reserved_mb[candidate.name]
            >= other.spec.required_mb
        ]
        if not fitting:
            return []
        least_free = min(fitting, key=lambda candidate: candidate.free_mb)
        reserved_mb[least_free.name] += other.spec.required_mb
        copies_to_make.append(ReplicaCopy(least_free, other.spec))
    return copies_to_make if missing_mb <= 0 else []
