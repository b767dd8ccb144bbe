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
class ModelSpec:
    """A model or adapter that must be resident.

    :param name: its name.
    :param version: the required version.
    :param memory_mb: its weights and its working memory, MB.
    :param adapter_reserve_mb: memory that its load leaves free for its adapters, MB.
    :param replicas: minimum number of replicas.
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
    def required_mb(self) -> int:
        """Return the free memory that a load of it requires, MB."""
        return self.memory_mb + self.adapter_reserve_mb


@attrs.define(eq=False)
class EndpointView:
    """An endpoint as the planner sees it.

    :param name: its name.
    :param data_centre: its data centre.
    :param memory_mb: its memory, MB.
    :param batch_slots: batch slots that planning fills.
    :param open: whether it accepts new work.
    :param free_mb: memory available to loads, MB.
    :param used_slots: batch slots that the demand uses.
    :param memory_by_key: memory of residents and loads by name and version, MB.
    :param loading: keys that are being loaded.
    :param unloading: keys that are being unloaded.
    :param names: the models and adapters that it serves as a replica.
    """

    name: str
    data_centre: str
    memory_mb: int
    batch_slots: float
    open: bool = True
    free_mb: int = 0
    used_slots: float = 0.0
    memory_by_key: dict[tuple[str, str], int] = attrs.field(factory=dict)
    loading: set[tuple[str, str]] = attrs.field(factory=set)
    unloading: set[tuple[str, str]] = attrs.field(factory=set)
    names: set[str] = attrs.field(factory=set)

    @property
    def free_slots(self) -> float:
        """Return the free batch slots; negative if the endpoint is overloaded."""
        return self.batch_slots - self.used_slots


@attrs.define(eq=False)
class ModelDemand:
    """A required model or adapter with its demand and its replicas.

    :param spec: the model or adapter.
    :param batch_slots: batch slots that its demand uses.
    :param service_s: mean time that a request holds a batch slot, seconds.
    :param share_by_view: batch slots that it uses on each replica's endpoint.
    """

    spec: ModelSpec
    batch_slots: float = 0.0
    service_s: float = 1.0
    share_by_view: dict[str, float] = attrs.field(factory=dict)


class Fleet:
    """Required models, endpoints, and the replicas on them."""

    def __init__(self):
        self.view_by_name: dict[str, EndpointView] = {}
        self.demand_by_name: dict[str, ModelDemand] = {}
        self.adapters_by_model: dict[str, set[str]] = {}

    def declare(self, specs: collections.abc.Iterable[ModelSpec]) -> None:
        """Replace the required models; retain demand and replicas of those that stay.

        :param specs: models first, then adapters.
        """
        previous_by_name = self.demand_by_name
        self.demand_by_name = {}
        self.adapters_by_model = {}
        for spec in specs:
            model_demand = previous_by_name.get(spec.name) or ModelDemand(spec)
            model_demand.spec = spec
            self.demand_by_name[spec.name] = model_demand
            if spec.base:
                self.adapters_by_model.setdefault(spec.base, set()).add(spec.name)
        for name in previous_by_name.keys() - self.demand_by_name.keys():
            for view_name, share in previous_by_name[name].share_by_view.items():
                self.view_by_name[view_name].used_slots -= share
        for view in self.view_by_name.values():
            self._update_replicas(view)
        for name in self.demand_by_name:
            self.distribute_demand(name)

    def add(self, view: EndpointView) -> None:
        """Add an endpoint with its residents.

        :param view: the endpoint.
        """
        self.view_by_name[view.name] = view
        self.refresh(view)

    def remove(self, name: str) -> None:
        """Remove an endpoint and its replicas.

        :param name: its name.
        """
        view = self.view_by_name.pop(name, None)
        if view is not None:
            self._remove_replicas(view)

    def refresh(self, view: EndpointView) -> None:
        """Update replicas and demand after an endpoint's state or memory changed.

        :param view: an endpoint of this fleet.
        """
        # Sorted, so that the same reports yield the same plan.
        for name in sorted(self._update_replicas(view)):
            self.distribute_demand(name)

    def load(self, view: EndpointView, spec: ModelSpec) -> None:
        """Apply a planned load.

        :param view: the endpoint.
        :param spec: the model or adapter.
        """
        view.memory_by_key[spec.key] = spec.memory_mb
        view.loading.add(spec.key)
        view.free_mb -= spec.memory_mb
        self.refresh(view)

    def unload(self, view: EndpointView, key: tuple[str, str]) -> None:
        """Apply a planned unload.

        :param view: the endpoint.
        :param key: name and version.
        """
        view.unloading.add(key)
        view.free_mb += view.memory_by_key[key]
        self.refresh(view)

    def cancel_unload(self, view: EndpointView, key: tuple[str, str]) -> None:
        """Undo :meth:`unload`.

        :param view: the endpoint.
        :param key: name and version.
        """
        view.unloading.discard(key)
        view.free_mb -= view.memory_by_key[key]
        self.refresh(view)

    def set_demand(self, name: str, batch_slots: float, service_s: float) -> None:
        """Set the current demand for a model or adapter.

        A change of at most 2 % does not redistribute the demand.

        :param name: the model or adapter.
        :param batch_slots: batch slots that the demand uses.
        :param service_s: mean time that a request holds a batch slot, seconds.
        """
        model_demand = self.demand_by_name.get(name)
        if model_demand is None:
            return
        model_demand.service_s = service_s
        if (
            abs(batch_slots - model_demand.batch_slots)
            > 0.02 * model_demand.batch_slots
        ):
            model_demand.batch_slots = batch_slots
            self.distribute_demand(name)

    def replicas(self, name: str) -> list[EndpointView]:
        """Return the open endpoints that hold or are loading the required version.

        :param name: a declared model or adapter.
        """
        shares = self.demand_by_name[name].share_by_view
        return [self.view_by_name[view] for view in shares]

    def ready_replicas(self, name: str) -> list[EndpointView]:
        """Return the open endpoints where the required version is ready.

        :param name: a declared model or adapter.
        """
        key = self.demand_by_name[name].spec.key
        return [view for view in self.replicas(name) if key not in view.loading]

    def distribute_demand(self, name: str) -> None:
        """Distribute a model's demand so that its replicas are equally utilised.

        Requests are sent to replicas with free batch slots, which evens out
        the utilisation of all replicas.

        :param name: a declared model or adapter.
        """
        model_demand = self.demand_by_name[name]
        shares = model_demand.share_by_view
        # The demand of an adapter is included in its model's.
        if not shares or model_demand.spec.base:
            return
        views = [self.view_by_name[view] for view in shares]
        for view in views:
            view.used_slots = max(0.0, view.used_slots - shares[view.name])
        utilisation = _shared_utilisation(views, model_demand.batch_slots)
        for view in views:
            share = max(0.0, utilisation * view.batch_slots - view.used_slots)
            shares[view.name] = share
            view.used_slots += share

    def missing_slots(self, name: str) -> float:
        """Return the batch slots by which a model's demand exceeds its replicas.

        :param name: a declared model or adapter.
        """
        model_demand = self.demand_by_name[name]
        if not model_demand.share_by_view:
            return model_demand.batch_slots
        missing_slots = 0.0
        for view_name, share in model_demand.share_by_view.items():
            view = self.view_by_name[view_name]
            if view.used_slots > view.batch_slots:
                missing_slots += (
                    share * (view.used_slots - view.batch_slots) / view.used_slots
                )
        return missing_slots

    def _update_replicas(self, view: EndpointView) -> set[str]:
        """Update an endpoint's replicas; return the names whose replicas changed."""
        resident_names = set()
        if view.open:
            for name, version in view.memory_by_key.keys() - view.unloading:
                model_demand = self.demand_by_name.get(name)
                if model_demand is not None and model_demand.spec.version == version:
                    resident_names.add(name)
        removed = view.names - resident_names
        for name in removed:
            self._remove_replica(view, name)
        added = resident_names - view.names
        for name in sorted(added):
            self.demand_by_name[name].share_by_view[view.name] = 0.0
        view.names = resident_names
        return (removed & self.demand_by_name.keys()) | added

    def _remove_replicas(self, view: EndpointView) -> None:
        for name in view.names:
            self._remove_replica(view, name)
        changed = view.names & self.demand_by_name.keys()
        view.names = set()
        for name in sorted(changed):
            self.distribute_demand(name)

    def _remove_replica(self, view: EndpointView, name: str) -> None:
        model_demand = self.demand_by_name.get(name)
        if model_demand is not None:
            share = model_demand.share_by_view.pop(view.name, 0.0)
            view.used_slots = max(0.0, view.used_slots - share)


def _shared_utilisation(views: list[EndpointView], added_slots: float) -> float:
    """Return the utilisation after demand is added to the least utilised."""
    by_utilisation = sorted(views, key=lambda view: view.used_slots / view.batch_slots)
    capacity = 0.0
    total = added_slots
    utilisation = 0.0
    for view in by_utilisation:
        if capacity and total / capacity <= view.used_slots / view.batch_slots:
            break
        capacity += view.batch_slots
        total += view.used_slots
        utilisation = total / capacity
    return utilisation
