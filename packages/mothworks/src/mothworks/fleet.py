"""The planner's view of models, endpoints and load.

A planned load or unload is entered here at once, so that the next decision
of the same pass sees it; reports from owners later confirm or undo it. Load
is counted in places of batches: arrivals a second times the time each
request holds a place.
"""

import collections.abc

import attrs

#: Share of an endpoint's places that planning fills; the rest takes bursts.
UTILISATION = 0.8


@attrs.frozen
class Need:
    """A model or adapter that is to be resident somewhere.

    :param name: its name.
    :param version: the version to be resident.
    :param memory_mb: memory it takes with its working room, MB.
    :param spare_mb: memory to leave free beside it for its adapters, MB.
    :param replicas: fewest replicas.
    :param base: the model that an adapter belongs to; empty for a model.
    """

    name: str
    version: str
    memory_mb: int
    spare_mb: int = 0
    replicas: int = 1
    base: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """Return name and version."""
        return (self.name, self.version)

    @property
    def room_mb(self) -> int:
        """Return the free memory that an endpoint must have for it, MB."""
        return self.memory_mb + self.spare_mb


@attrs.define(eq=False)
class Site:
    """An endpoint as the planner sees it.

    :param name: its name.
    :param data_centre: where it runs.
    :param memory_mb: its memory, MB.
    :param places: requests in its batch that planning fills.
    :param open: whether it takes new work.
    :param free_mb: memory that a load may take, MB.
    :param load: places that the demand fills.
    :param memory_by_key: memory of residents and loads by name and version, MB.
    :param loading: keys that are not ready yet.
    :param leaving: keys that are being unloaded.
    :param names: the models and adapters whose demand it shares.
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
    def spare(self) -> float:
        """Return the places that are free; below 0 where it is overloaded."""
        return self.places - self.load


@attrs.define(eq=False)
class Demanded:
    """A need with its replicas and its demand.

    :param need: what is to be resident.
    :param places: places that its demand fills.
    :param service_s: mean time that a request holds a place, seconds.
    :param share_by_site: its replicas, with the places each of them fills.
    """

    need: Need
    places: float = 0.0
    service_s: float = 1.0
    share_by_site: dict[str, float] = attrs.field(factory=dict)


class Fleet:
    """Needs, endpoints, and which of them hold what."""

    def __init__(self):
        self.site_by_name: dict[str, Site] = {}
        self.demanded_by_name: dict[str, Demanded] = {}
        self.adapters_by_model: dict[str, set[str]] = {}

    def declare(self, needs: collections.abc.Iterable[Need]) -> None:
        """Replace the needs, keeping demand and replicas of those that stay.

        :param needs: models first, then adapters.
        """
        before = self.demanded_by_name
        self.demanded_by_name = {}
        self.adapters_by_model = {}
        for need in needs:
            known = before.get(need.name) or Demanded(need)
            known.need = need
            self.demanded_by_name[need.name] = known
            if need.base:
                self.adapters_by_model.setdefault(need.base, set()).add(need.name)
        for name in before.keys() - self.demanded_by_name.keys():
            for site_name, share in before[name].share_by_site.items():
                self.site_by_name[site_name].load -= share
        for site in self.site_by_name.values():
            self._find_replicas(site)
        for name in self.demanded_by_name:
            self.split(name)

    def add(self, site: Site) -> None:
        """Add an endpoint, with whatever it holds.

        :param site: the endpoint.
        """
        self.site_by_name[site.name] = site
        self.refresh(site)

    def remove(self, name: str) -> None:
        """Forget an endpoint.

        :param name: its name.
        """
        site = self.site_by_name.pop(name, None)
        if site is not None:
            self._clear(site)

    def refresh(self, site: Site) -> None:
        """Take an endpoint's changed state or memory into account.

        :param site: an endpoint of this fleet.
        """
        # In a fixed order, so that the same reports give the same plan.
        for name in sorted(self._find_replicas(site)):
            self.split(name)

    def load(self, site: Site, need: Need) -> None:
        """Enter a planned load.

        :param site: where to.
        :param need: what is loaded.
        """
        site.memory_by_key[need.key] = need.memory_mb
        site.loading.add(need.key)
        site.free_mb -= need.memory_mb
        self.refresh(site)

    def unload(self, site: Site, key: tuple[str, str]) -> None:
        """Enter a planned unload.

        :param site: where.
        :param key: name and version.
        """
        site.leaving.add(key)
        site.free_mb += site.memory_by_key[key]
        self.refresh(site)

    def cancel_unload(self, site: Site, key: tuple[str, str]) -> None:
        """Undo :meth:`unload`.

        :param site: where.
        :param key: name and version.
        """
        site.leaving.discard(key)
        site.free_mb -= site.memory_by_key[key]
        self.refresh(site)

    def set_demand(self, name: str, places: float, service_s: float) -> None:
        """Set what a model's or adapter's callers ask for now.

        :param name: the model or adapter.
        :param places: places in batches that the demand fills.
        :param service_s: mean time that a request holds a place, seconds.
        """
        demanded = self.demanded_by_name.get(name)
        if demanded is None:
            return
        demanded.service_s = service_s
        if abs(places - demanded.places) > 0.02 * demanded.places:
            demanded.places = places
            self.split(name)

    def replicas(self, name: str) -> list[Site]:
        """Return the open endpoints that hold, or are loading, a version needed.

        :param name: a declared model or adapter.
        """
        shares = self.demanded_by_name[name].share_by_site
        return [self.site_by_name[site] for site in shares]

    def ready(self, name: str) -> list[Site]:
        """Return the open endpoints that hold the version needed already.

        :param name: a declared model or adapter.
        """
        key = self.demanded_by_name[name].need.key
        return [site for site in self.replicas(name) if key not in site.loading]

    def split(self, name: str) -> None:
        """Divide a model's demand so that its replicas are equally full.

        An owner's queue sends a request where a place is free; the division
        that fills all replicas to the same level is what that comes to.

        :param name: a declared model or adapter.
        """
        demanded = self.demanded_by_name[name]
        shares = demanded.share_by_site
        # The places of an adapter's requests are counted with its model's.
        if not shares or demanded.need.base:
            return
        sites = [self.site_by_name[site] for site in shares]
        for site in sites:
            site.load = max(0.0, site.load - shares[site.name])
        level = _level(sites, demanded.places)
        for site in sites:
            share = max(0.0, level * site.places - site.load)
            shares[site.name] = share
            site.load += share

    def excess(self, name: str) -> float:
        """Return the places that a model's demand lacks.

        :param name: a declared model or adapter.
        """
        demanded = self.demanded_by_name[name]
        if not demanded.share_by_site:
            return demanded.places
        missing = 0.0
        for site_name, share in demanded.share_by_site.items():
            site = self.site_by_name[site_name]
            if site.load > site.places:
                missing += share * (site.load - site.places) / site.load
        return missing

    def _find_replicas(self, site: Site) -> set[str]:
        """Bring the replicas in line with an endpoint's memory."""
        held = set()
        if site.open:
            for name, version in site.memory_by_key.keys() - site.leaving:
                demanded = self.demanded_by_name.get(name)
                if demanded is not None and demanded.need.version == version:
                    held.add(name)
        gone = site.names - held
        for name in gone:
            self._give_up(site, name)
        new = held - site.names
        for name in sorted(new):
            self.demanded_by_name[name].share_by_site[site.name] = 0.0
        site.names = held
        return (gone & self.demanded_by_name.keys()) | new

    def _clear(self, site: Site) -> None:
        for name in site.names:
            self._give_up(site, name)
        changed = site.names & self.demanded_by_name.keys()
        site.names = set()
        for name in sorted(changed):
            self.split(name)

    def _give_up(self, site: Site, name: str) -> None:
        demanded = self.demanded_by_name.get(name)
        if demanded is not None:
            share = demanded.share_by_site.pop(site.name, 0.0)
            site.load = max(0.0, site.load - share)


def _level(sites: list[Site], places: float) -> float:
    """Return how full sites are once places are poured onto the emptiest."""
    by_level = sorted(sites, key=lambda site: site.load / site.places)
    capacity = 0.0
    total = places
    level = 0.0
    for site in by_level:
        if capacity and total / capacity <= site.load / site.places:
            break
        capacity += site.places
        total += site.load
        level = total / capacity
    return level
