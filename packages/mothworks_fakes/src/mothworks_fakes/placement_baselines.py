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
        self.specs_by_endpoint: dict[str, list[fleet.ModelSpec]] = {}

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Load the models assigned to each endpoint; see the base class."""
        if not self.specs_by_endpoint and all(
            s.open for s in planned.view_by_name.values()
        ):
            self.specs_by_endpoint = self._assign_replicas(planned)
        pass_moves = placement_policy.PassMoves(planned, loads)
        for name, specs in self.specs_by_endpoint.items():
            view = planned.view_by_name[name]
            for spec in specs:
                if pass_moves.is_full or not view.open:
                    break
                if spec.key not in view.memory_by_key:
                    pass_moves.load(view, spec, "static")
        return pass_moves.moves

    def _assign_replicas(
        self, planned: fleet.Fleet
    ) -> dict[str, list[fleet.ModelSpec]]:
        free_mb_by_name = {
            name: view.memory_mb for name, view in planned.view_by_name.items()
        }
        specs_by_endpoint = collections.defaultdict(list)
        specs = [item.spec for item in planned.demand_by_name.values()]
        specs = [spec for spec in specs if not spec.base]
        specs.sort(key=lambda spec: -spec.required_mb)
        assigned = True
        while assigned:
            assigned = False
            for spec in specs:
                candidates = [
                    name
                    for name in free_mb_by_name
                    if free_mb_by_name[name] >= spec.required_mb
                    and spec not in specs_by_endpoint[name]
                ]
                if candidates:
                    emptiest = max(candidates, key=free_mb_by_name.get)
                    specs_by_endpoint[emptiest].append(spec)
                    free_mb_by_name[emptiest] -= spec.required_mb
                    assigned = True
        return specs_by_endpoint


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
        pass_moves = placement_policy.PassMoves(planned, loads)
        for name, item in planned.demand_by_name.items():
            requested = self.last_used_by_name[name] >= self.passes - 1
            overloaded = planned.missing_slots(name) > 0
            if not requested or item.spec.base or not overloaded or pass_moves.is_full:
                continue
            self._load(pass_moves, item)
        return pass_moves.moves

    def _load(
        self, pass_moves: placement_policy.PassMoves, item: fleet.ModelDemand
    ) -> None:
        views = [
            view
            for view in pass_moves.fleet.view_by_name.values()
            if view.open
            and item.spec.key not in view.memory_by_key
            and view.memory_mb >= item.spec.required_mb
            and not view.loading
        ]
        if not views:
            return
        # An endpoint with enough free memory comes first, then the one with the
        # least recently used resident.
        view = min(
            views, key=lambda view: (self._oldest_use(view, item), view.used_slots)
        )
        residents = sorted(
            view.memory_by_key.keys() - view.unloading,
            key=lambda key: (self.last_used_by_name[key[0]], key),
        )
        for key in residents:
            if view.free_mb >= item.spec.required_mb:
                break
            pass_moves.unload(view, key, "least recently used")
        if view.free_mb >= item.spec.required_mb:
            pass_moves.load(view, item.spec, "on demand")

    def _oldest_use(self, view: fleet.EndpointView, item: fleet.ModelDemand) -> int:
        if view.free_mb >= item.spec.required_mb:
            return -1
        keys = view.memory_by_key.keys() - view.unloading
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
        self.specs_by_endpoint: dict[str, list[fleet.ModelSpec]] = {}

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Move towards the latest placement; see the base class."""
        if self.passes % PASSES_PER_PLAN == 0:
            self.specs_by_endpoint = self._recompute(planned)
        self.passes += 1
        pass_moves = placement_policy.PassMoves(planned, loads)
        for view in planned.view_by_name.values():
            specs = self.specs_by_endpoint.get(view.name, [])
            keys = {spec.key for spec in specs}
            for key in sorted(
                view.memory_by_key.keys() - view.unloading - view.loading
            ):
                if key not in keys and len(planned.ready_replicas(key[0])) > 1:
                    pass_moves.unload(view, key, "recomputed")
            for spec in specs:
                missing = spec.key not in view.memory_by_key
                if (
                    missing
                    and not pass_moves.is_full
                    and view.free_mb >= spec.required_mb
                ):
                    pass_moves.load(view, spec, "recomputed")
        return pass_moves.moves

    def _recompute(self, planned: fleet.Fleet) -> dict[str, list[fleet.ModelSpec]]:
        views = [view for view in planned.view_by_name.values() if view.open]
        free_mb_by_name = {view.name: view.memory_mb for view in views}
        free_slots_by_name = {view.name: view.batch_slots for view in views}
        specs_by_endpoint = collections.defaultdict(list)
        items = [i for i in planned.demand_by_name.values() if not i.spec.base]
        for item in sorted(items, key=lambda item: -item.spec.required_mb):
            self._assign(
                item, 1, free_mb_by_name, free_slots_by_name, specs_by_endpoint
            )
        mean_free_slots = sum(free_slots_by_name.values()) / max(
            1, len(free_slots_by_name)
        )
        for item in sorted(items, key=lambda item: -item.batch_slots):
            self._assign(
                item,
                int(item.batch_slots / max(1.0, mean_free_slots)),
                free_mb_by_name,
                free_slots_by_name,
                specs_by_endpoint,
            )
        return specs_by_endpoint

    def _assign(
        self, item, count, free_mb_by_name, free_slots_by_name, specs_by_endpoint
    ) -> None:
        for _ in range(count):
            candidates = [
                name
                for name in free_mb_by_name
                if free_mb_by_name[name] >= item.spec.required_mb
                and item.spec not in specs_by_endpoint[name]
            ]
            if not candidates:
                return
            name = max(candidates, key=free_slots_by_name.get)
            specs_by_endpoint[name].append(item.spec)
            free_mb_by_name[name] -= item.spec.required_mb
            free_slots_by_name[name] -= item.batch_slots / max(1, count)
