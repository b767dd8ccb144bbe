"""Offers: what it would cost to have a model loaded at a site.

The cost is counted in requests that would be harmed: those that wait while
the model loads, and those for the models that are dropped to make room.
"""

import enum

import attrs

from mothworks import kernel
from mothworks_gateway import (
    asked,
    declared,
    demand,
    endpoint_limits,
    load,
    ordering,
    reading,
    sites,
)

#: Part of a waiting request that is lost with each second that it waits.
LOST_PER_S = 0.4
#: Callers that are counted at least: a load takes its endpoint's time, too.
LEAST_CALLERS = 2
#: Time for which a dropped model is missed, beside loading it again, seconds.
MISSED_S = 1.0
#: Requests a second that each model is taken to get at least. Before any demand
#: is seen, what is held often is the likely one to be asked for: then it counts
#: times the square of the replicas.
LEAST_RATE = 0.02
#: Requests a second for all models from which on demand is seen. The replicas of
#: a model whose callers have moved on then make way first; held dear, nine of
#: them kept others from being held at all.
SEEN_RATE = 1.0
#: Share of a batch up to which the endpoints that remain take over the
#: requests of one that drops a model.
ROOM = 0.25
#: Share of its requests that are harmed where a model loses a spare replica: it
#: takes 4 s to load again if its requests grow.
SPARE = 0.35
#: Part of its speed at which an endpoint is to read prompts. Above it, answers
#: queue behind each other's prompts and streams that run pause.
READING_SHARE = 0.35
#: Time over which an endpoint more or less for a model counts, seconds: about as
#: long as it takes to load it from the weight store.
HORIZON_S = 4.0
#: Sites that keep a model of which a spare replica makes way: a busy model fills
#: one site's batch within a second of a burst.
SPARE_BEYOND = 2
#: Seconds that a fully loaded endpoint is slower by.
BUSY_S = 3.0
#: Time that a usual request takes a place of a batch, seconds: turns the limit of an
#: endpoint into the places that it can fill.
RUN_S = 2.0


class Droppable(enum.Enum):
    """Which models may make way for another one."""

    ANY = "also models that requests use"
    UNUSED = "models that no request uses"
    SPARE = "unused models that several other sites hold, too"


@attrs.frozen
class Offer:
    """A site that could load a model.

    :param state: the site.
    :param drops: models to drop there first.
    :param harm: requests harmed by dropping them.
    :param seconds: time until the model would be ready.
    :param forced: whether requests use what is dropped.
    """

    state: sites.EndpointState
    drops: tuple[str, ...]
    harm: float
    seconds: float
    forced: bool

    def cost(self, callers: int) -> float:
        """Return the requests harmed in all.

        :param callers: how many wait for the model.
        """
        return self.harm + LOST_PER_S * max(LEAST_CALLERS, callers) * self.seconds


@attrs.frozen
class _Drop:
    """A model that a site may drop.

    :param model: the model.
    :param harm: requests harmed by dropping it.
    """

    model: str
    harm: float


class Offers(kernel.Part):
    """Makes offers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.ordering = node_kernel.get(ordering.Ordering)
        self.load = node_kernel.get(load.Load)
        self.demand = node_kernel.get(demand.Demand)
        self.reading = node_kernel.get(reading.Reading)
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        self.holders_by_target: dict[asked.Target, list[sites.EndpointState]] = {}
        #: By service and model, the sites that have to do with the model.
        self.concerned_by_service: dict[str, dict[str, list[sites.EndpointState]]] = {}
        self.unmet_models_by_service: dict[str, set[str]] = {}

    def needed(self, target: asked.Target) -> float:
        """Return how many endpoints a model's prompts keep busy.

        :param target: the model.
        """
        per_s = self.reading.tokens_per_s(target.service) * READING_SHARE
        return self.demand.tokens(target) / per_s

    def room(self, held_by: list[sites.EndpointState]) -> float:
        """Return what some sites can run, in endpoints without a limit.

        :param held_by: the sites.
        """
        return sum(map(self._room, held_by))

    def _room(self, state: sites.EndpointState) -> float:
        per_s = self.limits.per_s(state.endpoint.id)
        if per_s is None:
            return 1.0
        return min(1.0, per_s * RUN_S / state.accelerator.batch)

    def worth(self, target: asked.Target, replicas: float) -> float:
        """Return the requests that a model's last replica serves in time.

        :param target: the model.
        :param replicas: how many it has with that one; see :meth:`room`.
        """
        needed = max(1.0, self.needed(target))
        share = min(1.0, replicas / needed) - min(1.0, (replicas - 1) / needed)
        return self.demand.rate(target) * share * HORIZON_S

    def holders(self, target: asked.Target) -> list[sites.EndpointState]:
        """Return the open sites that hold, or will hold, a model or adapter.

        What was found is kept until :meth:`look_anew`: weighing what each of 30
        endpoints may drop for each of 74 models asks for the same holders
        thousands of times. Only sites that have to do with the model are asked:
        59 sites for each of 141 models took two thirds of a look.

        :param target: what is to be held.
        """
        known = self.holders_by_target.get(target)
        if known is None:
            known = [
                state
                for state in self._concerned(target)
                if state.open and state.will_hold(target.model, target.adapter)
            ]
            self.holders_by_target[target] = known
        return known

    def look_anew(self) -> None:
        """Forget who holds what, since time has passed or a job was added."""
        self.holders_by_target.clear()
        self.concerned_by_service.clear()
        self.unmet_models_by_service.clear()

    def _concerned(self, target: asked.Target) -> list[sites.EndpointState]:
        """Return the sites that hold a model, load it, or are to load it."""
        by_model = self.concerned_by_service.get(target.service)
        if by_model is None:
            by_model = self.concerned_by_service[target.service] = {}
            for state in self.ordering.of_service(target.service):
                coming = {job.model for job in state.jobs}
                for model in {*state.adapters_by_model, state.loading, *coming}:
                    by_model.setdefault(model, []).append(state)
        return by_model.get(target.model, [])

    def running(self, model: str, held_by: list[sites.EndpointState]) -> int:
        """Return the requests for a model that run at some sites.

        :param model: the model.
        :param held_by: the sites.
        """
        return sum(self.load.of_model(state.endpoint.id, model) for state in held_by)

    def absence(self, target: asked.Target, model: declared.Model) -> float:
        """Return the requests that are harmed if nobody holds a model.

        :param target: the model.
        :param model: how it is declared.
        """
        everywhere = self.ordering.of_service(target.service)
        seconds = min((state.load_s(model) for state in everywhere), default=0.0)
        rate = max(LEAST_RATE, self.demand.rate(target))
        return rate * (MISSED_S + seconds)

    def make(
        self, service: str, model: declared.Model, droppable: Droppable
    ) -> list[Offer]:
        """Return what all free sites of a service offer.

        :param service: the service.
        :param model: what is to be loaded.
        :param droppable: which models may make way for it.
        """
        unmet_models = self._unmet_models(service)
        offers = []
        for state in self._worth_loading(service):
            if not state.known or state.will_hold(model.name, ""):
                continue
            if self._may_queue(state, model):
                drops = self._drops(state, unmet_models, droppable)
                offer = self._offer(state, model, drops)
                if offer is not None:
                    offers.append(offer)
        return offers

    def _worth_loading(self, service: str) -> list[sites.EndpointState]:
        """Return the open sites of a service, without those that name a limit.

        What these take is less than what they hold already brings; where all name
        one, any of them is better than none.
        """
        everywhere = [
            state for state in self.ordering.of_service(service) if state.open
        ]
        free = [
            state
            for state in everywhere
            if self.limits.per_s(state.endpoint.id) is None
        ]
        return free or everywhere

    def _unmet_models(self, service: str) -> set[str]:
        """Return the models of a service that callers wait for."""
        known = self.unmet_models_by_service.get(service)
        if known is None:
            known = self.unmet_models_by_service[service] = {
                unmet.target.model
                for unmet in self.demand.unmet()
                if unmet.target.service == service
            }
        return known

    def _may_queue(self, state: sites.EndpointState, model: declared.Model) -> bool:
        """Return whether a site may get one more model to load.

        One that is busy with another model, and has a copy of this one, is
        ready sooner than one that has to fetch it from the weight store.
        """
        models = [job.model for job in state.jobs if not job.adapter]
        return not state.jobs or (len(models) == 1 and model.name in state.at_hand())

    def _offer(
        self, state: sites.EndpointState, model: declared.Model, possible: list[_Drop]
    ) -> Offer | None:
        free = state.accelerator.memory_mb
        free -= sum(map(state.memory_mb, state.after_jobs()))
        drops = _make_room(state, possible, model.memory_mb - free)
        if drops is None:
            return None
        harm = sum(drop.harm for drop in drops)
        names = tuple(drop.model for drop in drops)
        running = sum(self.running(name, [state]) for name in names)
        share = self.load.of_endpoint(state.endpoint.id) / state.accelerator.batch
        seconds = state.load_s(model) + BUSY_S * share + sites.unload_s(running)
        seconds += max(state.coming_s().values(), default=0.0)
        return Offer(state, names, harm, seconds, running > 0)

    def harm(self, state: sites.EndpointState, name: str) -> float:
        """Return the requests that are harmed if a site drops a model.

        :param state: the site.
        :param name: a model that it holds.
        """
        target = asked.Target(state.endpoint.entry.service, name)
        others = [item for item in self.holders(target) if item is not state]
        seen = self.demand.total() > SEEN_RATE
        least = LEAST_RATE * (1 if seen else (1 + len(others)) ** 2)
        rate = max(least, self.demand.rate(target))
        model = state.accelerator.model_by_name.get(name)
        seconds = MISSED_S + (model.host_s if model else 0.0)
        if not others:
            return rate * seconds
        worth = self.worth(target, len(others) + 1)
        if worth > 0:
            return max(worth, rate * seconds * SPARE)
        running = self.running(name, [state, *others])
        if running <= ROOM * state.accelerator.batch * len(others):
            return rate * seconds * SPARE
        return rate * seconds

    def _drops(
        self, state: sites.EndpointState, unmet_models: set[str], droppable: Droppable
    ) -> list[_Drop]:
        """Return what a site may drop, the least missed first."""
        names = [
            name
            for name in state.after_jobs()
            if name in state.adapters_by_model
            and name not in unmet_models
            and self._may_drop(state, name, droppable)
        ]
        drops = [_Drop(name, self.harm(state, name)) for name in names]
        return sorted(drops, key=lambda drop: drop.harm)

    def _may_drop(
        self, state: sites.EndpointState, name: str, droppable: Droppable
    ) -> bool:
        match droppable:
            case Droppable.ANY:
                return True
            case Droppable.UNUSED:
                return not self.running(name, [state])
        target = asked.Target(state.endpoint.entry.service, name)
        others = [item for item in self.holders(target) if item is not state]
        return len(others) >= SPARE_BEYOND and not self.running(name, [state])


def _make_room(
    state: sites.EndpointState, possible: list[_Drop], needed_mb: float
) -> list[_Drop] | None:
    """Return what to drop for some memory; None where it is not enough.

    The least missed go first; those that turn out not to be needed, since a
    larger one had to follow, stay.
    """
    drops: list[_Drop] = []
    freed = 0.0
    for drop in possible:
        if freed >= needed_mb:
            break
        drops.append(drop)
        freed += state.memory_mb(drop.model)
    if freed < needed_mb:
        return None
    for drop in reversed(drops[:]):
        memory_mb = state.memory_mb(drop.model)
        if freed - memory_mb >= needed_mb:
            drops.remove(drop)
            freed -= memory_mb
    return drops
