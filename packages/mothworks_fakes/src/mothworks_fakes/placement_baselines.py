"""Placement policies that ``packing`` is measured against."""

import collections

from mothworks import (
    catalogue,
    fleet,
    move_messages,
    placement_policy,
    plugins,
)

#: Passes between two plans of ``recomputed``.
RECOMPUTE_PASSES = 10


@plugins.register(plugins.PLACEMENT, "static")
class Static(placement_policy.Policy):
    """The same number of replicas for each model, decided once.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.wanted: dict[str, list[fleet.ModelSpec]] = {}

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Load what the split gives each endpoint; see the base class."""
        if not self.wanted and all(s.open for s in planned.view_by_name.values()):
            self.wanted = self._split(planned)
        batch = placement_policy.PassMoves(planned, loads)
        for name, needs in self.wanted.items():
            site = planned.view_by_name[name]
            for need in needs:
                if batch.is_full or not site.open:
                    break
                if need.key not in site.memory_by_key:
                    batch.load(site, need, "static")
        return batch.moves

    def _split(self, planned: fleet.Fleet) -> dict[str, list[fleet.ModelSpec]]:
        free_mb = {name: site.memory_mb for name, site in planned.view_by_name.items()}
        wanted = collections.defaultdict(list)
        needs = [item.spec for item in planned.demand_by_name.values()]
        needs = [need for need in needs if not need.base]
        needs.sort(key=lambda need: -need.required_mb)
        placed = True
        while placed:
            placed = False
            for need in needs:
                fitting = [
                    name
                    for name in free_mb
                    if free_mb[name] >= need.required_mb and need not in wanted[name]
                ]
                if fitting:
                    emptiest = max(fitting, key=free_mb.get)
                    wanted[emptiest].append(need)
                    free_mb[emptiest] -= need.required_mb
                    placed = True
        return wanted


@plugins.register(plugins.PLACEMENT, "lru")
class Lru(placement_policy.Policy):
    """Load on demand, and a further copy where places lack; evict the least
    recently used resident.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.clock = 0
        self.used_at: dict[str, int] = collections.defaultdict(int)

    def arrived(self, name: str) -> None:
        """Note that a model was asked for.

        :param name: the model.
        """
        self.used_at[name] = self.clock

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Load what was asked for; see the base class."""
        self.clock += 1
        batch = placement_policy.PassMoves(planned, loads)
        for name, item in planned.demand_by_name.items():
            asked = self.used_at[name] >= self.clock - 1
            lacking = planned.missing_slots(name) > 0
            if not asked or item.spec.base or not lacking or batch.is_full:
                continue
            self._load(batch, item)
        return batch.moves

    def _load(self, batch: placement_policy.PassMoves, item: fleet.ModelDemand) -> None:
        sites = [
            site
            for site in batch.fleet.view_by_name.values()
            if site.open
            and item.spec.key not in site.memory_by_key
            and site.memory_mb >= item.spec.required_mb
            and not site.loading
        ]
        if not sites:
            return
        # The endpoint whose residents were asked for the longest ago.
        site = min(sites, key=lambda site: (self._age(site, item), site.used_slots))
        residents = sorted(
            site.memory_by_key.keys() - site.unloading,
            key=lambda key: (self.used_at[key[0]], key),
        )
        for key in residents:
            if site.free_mb >= item.spec.required_mb:
                break
            batch.unload(site, key, "least recently used")
        if site.free_mb >= item.spec.required_mb:
            batch.load(site, item.spec, "on demand")

    def _age(self, site: fleet.EndpointView, item: fleet.ModelDemand) -> int:
        if site.free_mb >= item.spec.required_mb:
            return -1
        keys = site.memory_by_key.keys() - site.unloading
        return min((self.used_at[key[0]] for key in keys), default=self.clock)


@plugins.register(plugins.PLACEMENT, "recomputed")
class Recomputed(placement_policy.Policy):
    """A new plan for the demand of the moment, whatever its moves.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.passes = 0
        self.wanted: dict[str, list[fleet.ModelSpec]] = {}

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Move towards the newest plan; see the base class."""
        if self.passes % RECOMPUTE_PASSES == 0:
            self.wanted = self._recompute(planned)
        self.passes += 1
        batch = placement_policy.PassMoves(planned, loads)
        for site in planned.view_by_name.values():
            needs = self.wanted.get(site.name, [])
            keys = {need.key for need in needs}
            for key in sorted(
                site.memory_by_key.keys() - site.unloading - site.loading
            ):
                if key not in keys and len(planned.ready_replicas(key[0])) > 1:
                    batch.unload(site, key, "recomputed")
            for need in needs:
                missing = need.key not in site.memory_by_key
                if missing and not batch.is_full and site.free_mb >= need.required_mb:
                    batch.load(site, need, "recomputed")
        return batch.moves

    def _recompute(self, planned: fleet.Fleet) -> dict[str, list[fleet.ModelSpec]]:
        sites = [site for site in planned.view_by_name.values() if site.open]
        free_mb = {site.name: site.memory_mb for site in sites}
        spare = {site.name: site.batch_slots for site in sites}
        wanted = collections.defaultdict(list)
        items = [i for i in planned.demand_by_name.values() if not i.spec.base]
        for item in sorted(items, key=lambda item: -item.spec.required_mb):
            self._assign(item, 1, free_mb, spare, wanted)
        mean = sum(spare.values()) / max(1, len(spare))
        for item in sorted(items, key=lambda item: -item.batch_slots):
            self._assign(
                item, int(item.batch_slots / max(1.0, mean)), free_mb, spare, wanted
            )
        return wanted

    def _assign(self, item, count, free_mb, spare, wanted) -> None:
        for _ in range(count):
            fitting = [
                name
                for name in free_mb
                if free_mb[name] >= item.spec.required_mb
                and item.spec not in wanted[name]
            ]
            if not fitting:
                return
            name = max(fitting, key=spare.get)
            wanted[name].append(item.spec)
            free_mb[name] -= item.spec.required_mb
            spare[name] -= item.batch_slots / max(1, count)
