"""The planner's view of models, endpoints and demand.

Planned loads and unloads are applied here at once, so that later decisions of
the same pass take them into account; owners' reports later confirm or undo
them. Demand is measured in batch slots: requests/s times the mean time that a
request holds its slot.
"""

import collections.abc

import attrs

#: Share of an endpoint's batch slots that planning fills; the rest absorbs bursts.
PLANNED_UTILISATION = 0.8


@attrs.frozen
class Need:
    """A model or adapter that must be resident.

    :param name: its name.
    :param version: the required version.
    :param memory_mb: its weights and its working memory, MB.
    :param adapter_reserve_mb: memory that its load leaves free for its adapters, MB.
    :param replicas: least number of replicas.
    :param base: the model that an adapter belongs to; empty for a model.
    """

    name: str
    version: str
    memory_mb: int
    adapter_reserve_mb: int = 0
    replicas: int = 1
    base: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """Return name and version."""
        return (self.name, self.version)

    @property
    def room_mb(self) -> int:
        """Return the free memory that a load of it requires, MB."""
        return self.memory_mb + self.adapter_reserve_mb


@attrs.define(eq=False)
class Site:
    """An endpoint as the planner sees it.

    :param name: its name.
    :param data_centre: its data centre.
    :param memory_mb: its memory, MB.
    :param places: batch slots that planning fills.
    :param open: whether it accepts new work.
    :param free_mb: memory available to loads, MB.
    :param load: batch slots that the demand uses.
    :param memory_by_key: memory of residents and loads by name and version, MB.
    :param loading: keys that are being loaded.
    :param leaving: keys that are being unloaded.
    :param names: the models and adapters that it serves as a replica.
    """

    name: str
    data_centre: str
    memory_mb: int
    places: float
    open: bool = True
    free_mb: int = 0
    load: float = 0.0
    memory_by_key: dict[tuple[str, str], int] = attrs.field(factory=dict)
    loading: set[tuple[str, str]] = attrs.field(factory=set)
    leaving: set[tuple[str, str]] = attrs.field(factory=set)
    names: set[str] = attrs.field(factory=set)

    @property
    def free_slots(self) -> float:
        """Return the free batch slots; negative if the endpoint is overloaded."""
        return self.places - self.load


@attrs.define(eq=False)
class Demanded:
    """A required model or adapter with its demand and its replicas.

    :param need: the model or adapter.
    :param places: batch slots that its demand uses.
    :param service_s: mean time that a request holds a batch slot, seconds.
    :param share_by_site: batch slots that it uses on each replica's endpoint.
    """

    need: Need
    places: float = 0.0
    service_s: float = 1.0
    share_by_site: dict[str, float] = attrs.field(factory=dict)


class Fleet:
    """Required models, endpoints, and the replicas on them."""

    def __init__(self):
        self.site_by_name: dict[str, Site] = {}
        self.demanded_by_name: dict[str, Demanded] = {}
        self.adapters_by_model: dict[str, set[str]] = {}

    def declare(self, needs: collections.abc.Iterable[Need]) -> None:
        """Replace the required models; retain demand and replicas of those that stay.

        :param needs: models first, then adapters.
        """
        previous_by_name = self.demanded_by_name
        self.demanded_by_name = {}
        self.adapters_by_model = {}
        for need in needs:
            demanded = previous_by_name.get(need.name) or Demanded(need)
            demanded.need = need
            self.demanded_by_name[need.name] = demanded
            if need.base:
                self.adapters_by_model.setdefault(need.base, set()).add(need.name)
        for name in previous_by_name.keys() - self.demanded_by_name.keys():
            for site_name, share in previous_by_name[name].share_by_site.items():
                self.site_by_name[site_name].load -= share
        for site in self.site_by_name.values():
            self._update_replicas(site)
        for name in self.demanded_by_name:
            self.distribute_demand(name)

    def add(self, site: Site) -> None:
        """Add an endpoint with its residents.

        :param site: the endpoint.
        """
        self.site_by_name[site.name] = site
        self.refresh(site)

    def remove(self, name: str) -> None:
        """Remove an endpoint and its replicas.

        :param name: its name.
        """
        site = self.site_by_name.pop(name, None)
        if site is not None:
            self._remove_replicas(site)

    def refresh(self, site: Site) -> None:
        """Update replicas and demand after an endpoint's state or memory changed.

        :param site: an endpoint of this fleet.
        """
        # Sorted, so that the same reports yield the same plan.
        for name in sorted(self._update_replicas(site)):
            self.distribute_demand(name)

    def load(self, site: Site, need: Need) -> None:
        """Apply a planned load.

        :param site: the endpoint.
        :param need: the model or adapter.
        """
        site.memory_by_key[need.key] = need.memory_mb
        site.loading.add(need.key)
        site.free_mb -= need.memory_mb
        self.refresh(site)

    def unload(self, site: Site, key: tuple[str, str]) -> None:
        """Apply a planned unload.

        :param site: the endpoint.
        :param key: name and version.
        """
        site.leaving.add(key)
        site.free_mb += site.memory_by_key[key]
        self.refresh(site)

    def cancel_unload(self, site: Site, key: tuple[str, str]) -> None:
        """Undo :meth:`unload`.

        :param site: the endpoint.
        :param key: name and version.
        """
        site.leaving.discard(key)
        site.free_mb -= site.memory_by_key[key]
        self.refresh(site)

    def set_demand(self, name: str, batch_slots: float, service_s: float) -> None:
        """Set the current demand for a model or adapter.

        :param name: the model or adapter.
        :param batch_slots: batch slots that the demand uses.
        :param service_s: mean time that a request holds a batch slot, seconds.
        """
        demanded = self.demanded_by_name.get(name)
        if demanded is None:
            return
        demanded.service_s = service_s
        if abs(batch_slots - demanded.places) > 0.02 * demanded.places:
            demanded.places = batch_slots
            self.distribute_demand(name)

    def replicas(self, name: str) -> list[Site]:
        """Return the open endpoints that hold or are loading the required version.

        :param name: a declared model or adapter.
        """
        shares = self.demanded_by_name[name].share_by_site
        return [self.site_by_name[site] for site in shares]

    def ready(self, name: str) -> list[Site]:
        """Return the open endpoints where the required version is ready.

        :param name: a declared model or adapter.
        """
        key = self.demanded_by_name[name].need.key
        return [site for site in self.replicas(name) if key not in site.loading]

    def distribute_demand(self, name: str) -> None:
        """Distribute a model's demand so that its replicas are equally utilised.

        Requests are sent to replicas with free batch slots, which evens out
        the utilisation of all replicas.

        :param name: a declared model or adapter.
        """
        demanded = self.demanded_by_name[name]
        shares = demanded.share_by_site
        # The demand of an adapter is included in its model's.
        if not shares or demanded.need.base:
            return
        sites = [self.site_by_name[site] for site in shares]
        for site in sites:
            site.load = max(0.0, site.load - shares[site.name])
        utilisation = _shared_utilisation(sites, demanded.places)
        for site in sites:
            share = max(0.0, utilisation * site.places - site.load)
            shares[site.name] = share
            site.load += share

    def excess(self, name: str) -> float:
        """Return the batch slots by which a model's demand exceeds its replicas.

        :param name: a declared model or adapter.
        """
        demanded = self.demanded_by_name[name]
        if not demanded.share_by_site:
            return demanded.places
        missing_slots = 0.0
        for site_name, share in demanded.share_by_site.items():
            site = self.site_by_name[site_name]
            if site.load > site.places:
                missing_slots += share * (site.load - site.places) / site.load
        return missing_slots

    def _update_replicas(self, site: Site) -> set[str]:
        """Update an endpoint's replicas; return the names whose replicas changed."""
        resident_names = set()
        if site.open:
            for name, version in site.memory_by_key.keys() - site.leaving:
                demanded = self.demanded_by_name.get(name)
                if demanded is not None and demanded.need.version == version:
                    resident_names.add(name)
        removed = site.names - resident_names
        for name in removed:
            self._remove_replica(site, name)
        added = resident_names - site.names
        for name in sorted(added):
            self.demanded_by_name[name].share_by_site[site.name] = 0.0
        site.names = resident_names
        return (removed & self.demanded_by_name.keys()) | added

    def _remove_replicas(self, site: Site) -> None:
        for name in site.names:
            self._remove_replica(site, name)
        changed = site.names & self.demanded_by_name.keys()
        site.names = set()
        for name in sorted(changed):
            self.distribute_demand(name)

    def _remove_replica(self, site: Site, name: str) -> None:
        demanded = self.demanded_by_name.get(name)
        if demanded is not None:
            share = demanded.share_by_site.pop(site.name, 0.0)
            site.load = max(0.0, site.load - share)


def _shared_utilisation(sites: list[Site], added_slots: float) -> float:
    """Return the utilisation after demand is added to the least utilised."""
    by_utilisation = sorted(sites, key=lambda site: site.load / site.places)
    capacity = 0.0
    total = added_slots
    utilisation = 0.0
    for site in by_utilisation:
        if capacity and total / capacity <= site.load / site.places:
            break
        capacity += site.places
        total += site.load
        utilisation = total / capacity
    return utilisation
