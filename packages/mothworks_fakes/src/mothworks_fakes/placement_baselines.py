"""Baseline placement policies to compare with ``packing``."""

import collections

from mothworks import (
    catalogue,
    fleet,
    move_messages,
    placement_policy,
    plugins,
)

#: Planning passes from one plan of ``recomputed`` to the next.
PASSES_PER_PLAN = 10


@plugins.register(plugins.PLACEMENT, "static")
class Static(placement_policy.Policy):
    """Assigns replicas to endpoints once and never changes the assignment.

    Each round assigns one more replica of every model that fits, largest first.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.needs_by_endpoint: dict[str, list[fleet.Need]] = {}

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Load the models assigned to each endpoint; see the base class."""
        if not self.needs_by_endpoint and all(
            s.open for s in planned.site_by_name.values()
        ):
            self.needs_by_endpoint = self._assign_replicas(planned)
        batch = placement_policy.Batch(planned, loads)
        for name, needs in self.needs_by_endpoint.items():
            site = planned.site_by_name[name]
            for need in needs:
                if batch.full or not site.open:
                    break
                if need.key not in site.memory_by_key:
                    batch.load(site, need, "static")
        return batch.moves

    def _assign_replicas(self, planned: fleet.Fleet) -> dict[str, list[fleet.Need]]:
        free_mb_by_name = {
            name: site.memory_mb for name, site in planned.site_by_name.items()
        }
        needs_by_endpoint = collections.defaultdict(list)
        needs = [item.need for item in planned.demanded_by_name.values()]
        needs = [need for need in needs if not need.base]
        needs.sort(key=lambda need: -need.room_mb)
        assigned = True
        while assigned:
            assigned = False
            for need in needs:
                candidates = [
                    name
                    for name in free_mb_by_name
                    if free_mb_by_name[name] >= need.room_mb
                    and need not in needs_by_endpoint[name]
                ]
                if candidates:
                    emptiest = max(candidates, key=free_mb_by_name.get)
                    needs_by_endpoint[emptiest].append(need)
                    free_mb_by_name[emptiest] -= need.room_mb
                    assigned = True
        return needs_by_endpoint


@plugins.register(plugins.PLACEMENT, "lru")
class Lru(placement_policy.Policy):
    """Loads requested models on demand, with more replicas under overload.

    The least recently used residents are evicted to make space.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.passes = 0
        self.last_used_by_name: dict[str, int] = collections.defaultdict(int)

    def arrived(self, name: str) -> None:
        """Record that a model was requested.

        :param name: the model.
        """
        self.last_used_by_name[name] = self.passes

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Load requested models that lack capacity; see the base class."""
        self.passes += 1
        batch = placement_policy.Batch(planned, loads)
        for name, item in planned.demanded_by_name.items():
            requested = self.last_used_by_name[name] >= self.passes - 1
            overloaded = planned.excess(name) > 0
            if not requested or item.need.base or not overloaded or batch.full:
                continue
            self._load(batch, item)
        return batch.moves

    def _load(self, batch: placement_policy.Batch, item: fleet.Demanded) -> None:
        sites = [
            site
            for site in batch.fleet.site_by_name.values()
            if site.open
            and item.need.key not in site.memory_by_key
            and site.memory_mb >= item.need.room_mb
            and not site.loading
        ]
        if not sites:
            return
        # An endpoint with enough free memory comes first, then the one with the
        # least recently used resident.
        site = min(sites, key=lambda site: (self._oldest_use(site, item), site.load))
        residents = sorted(
            site.memory_by_key.keys() - site.leaving,
            key=lambda key: (self.last_used_by_name[key[0]], key),
        )
        for key in residents:
            if site.free_mb >= item.need.room_mb:
                break
            batch.unload(site, key, "least recently used")
        if site.free_mb >= item.need.room_mb:
            batch.load(site, item.need, "on demand")

    def _oldest_use(self, site: fleet.Site, item: fleet.Demanded) -> int:
        if site.free_mb >= item.need.room_mb:
            return -1
        keys = site.memory_by_key.keys() - site.leaving
        return min(
            (self.last_used_by_name[key[0]] for key in keys), default=self.passes
        )


@plugins.register(plugins.PLACEMENT, "recomputed")
class Recomputed(placement_policy.Policy):
    """Recomputes the placement for current demand, whatever moves that costs.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.passes = 0
        self.needs_by_endpoint: dict[str, list[fleet.Need]] = {}

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Move towards the latest placement; see the base class."""
        if self.passes % PASSES_PER_PLAN == 0:
            self.needs_by_endpoint = self._recompute(planned)
        self.passes += 1
        batch = placement_policy.Batch(planned, loads)
        for site in planned.site_by_name.values():
            needs = self.needs_by_endpoint.get(site.name, [])
            keys = {need.key for need in needs}
            for key in sorted(site.memory_by_key.keys() - site.leaving - site.loading):
                if key not in keys and len(planned.ready(key[0])) > 1:
                    batch.unload(site, key, "recomputed")
            for need in needs:
                missing = need.key not in site.memory_by_key
                if missing and not batch.full and site.free_mb >= need.room_mb:
                    batch.load(site, need, "recomputed")
        return batch.moves

    def _recompute(self, planned: fleet.Fleet) -> dict[str, list[fleet.Need]]:
        sites = [site for site in planned.site_by_name.values() if site.open]
        free_mb_by_name = {site.name: site.memory_mb for site in sites}
        free_slots_by_name = {site.name: site.places for site in sites}
        needs_by_endpoint = collections.defaultdict(list)
        items = [i for i in planned.demanded_by_name.values() if not i.need.base]
        for item in sorted(items, key=lambda item: -item.need.room_mb):
            self._assign(
                item, 1, free_mb_by_name, free_slots_by_name, needs_by_endpoint
            )
        mean_free_slots = sum(free_slots_by_name.values()) / max(
            1, len(free_slots_by_name)
        )
        for item in sorted(items, key=lambda item: -item.places):
            self._assign(
                item,
                int(item.places / max(1.0, mean_free_slots)),
                free_mb_by_name,
                free_slots_by_name,
                needs_by_endpoint,
            )
        return needs_by_endpoint

    def _assign(
        self, item, count, free_mb_by_name, free_slots_by_name, needs_by_endpoint
    ) -> None:
        for _ in range(count):
            candidates = [
                name
                for name in free_mb_by_name
                if free_mb_by_name[name] >= item.need.room_mb
                and item.need not in needs_by_endpoint[name]
            ]
            if not candidates:
                return
            name = max(candidates, key=free_slots_by_name.get)
            needs_by_endpoint[name].append(item.need)
            free_mb_by_name[name] -= item.need.room_mb
            free_slots_by_name[name] -= item.places / max(1, count)
