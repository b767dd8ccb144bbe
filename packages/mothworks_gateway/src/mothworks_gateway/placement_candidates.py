"""Placement candidates: what it costs to load a model on each endpoint.

Costs are counted in requests that miss their latency objective: those that wait while
the model loads, and those for the models that are evicted to free memory.
"""

import collections.abc
import enum

import attrs

from mothworks import kernel
from mothworks_gateway import (
    caller_request,
    declaration_types,
    demand,
    endpoint_limits,
    endpoint_notices,
    endpoint_state,
    job_execution,
    prefill_speed,
    running_requests,
)

#: Cost of each second that a request waits, in requests.
COST_PER_WAITING_S = 0.4
#: Minimum number of waiting callers that a load is charged for: it occupies its
#: endpoint even if nobody waits.
MIN_CALLERS = 2
#: Time for which an evicted model is unavailable in addition to its load time, seconds.
UNAVAILABLE_S = 1.0
#: Minimum request rate assumed for each model, per second. Before any demand is
#: observed, a model with many replicas is the one most likely to be requested, so the
#: minimum is then multiplied by the square of the number of replicas.
MIN_RATE_PER_S = 0.02
#: Total requests per second above which demand counts as observed. From then on, the
#: replicas of a model without callers are evicted first. When they were still
#: protected, nine replicas of such a model kept other models from being loaded at all.
OBSERVED_DEMAND_PER_S = 1.0
#: Share of their batches up to which the remaining endpoints take over the requests of
#: an endpoint that evicts the model.
TAKEOVER_BATCH_SHARE = 0.25
#: Share of a model's requests that losing a spare replica costs: reloading it takes 4 s
#: if its request rate grows.
SPARE_REPLICA_COST_SHARE = 0.35
#: Share of an endpoint's prefill speed that prompts are to use. Above it, answers
#: queue behind each other's prompts and running streams stall.
PREFILL_SHARE = 0.35
#: Share of an endpoint's batch slots that a model's requests are to use. Requests do
#: not arrive evenly; above it, many of them find all slots in use.
SLOT_SHARE = 0.6
#: Cost of a speed of half the mean for each request per second that a model gets more
#: than the mean model, in requests, and the upper bound of this cost. It decides
#: between equal candidates only: an eviction that matters costs more.
SLOWNESS_COST = 0.05
MAX_SLOWNESS_COST = 0.2
#: Time over which one replica more or less is valued, seconds: about as long as a load
#: from the weight store takes.
HORIZON_S = 4.0
#: Number of other endpoints that must hold a model before one of its replicas counts as
#: spare: a burst for a busy model fills one endpoint's batch within a second.
MIN_OTHER_HOLDERS = 2
#: Delay of a load on an endpoint with a full batch, seconds.
FULL_BATCH_DELAY_S = 3.0
#: Time for which a typical request occupies a batch slot, seconds: converts an
#: endpoint's rate limit into the number of slots that it can fill.
REQUEST_DURATION_S = 2.0


class Evictable(enum.Enum):
    """Which models may be evicted for another one."""

    ANY = "also models that running requests use"
    UNUSED = "models that no running request uses"
    SPARE = "unused models that several other endpoints hold, too"


@attrs.frozen
class Candidate:
    """An endpoint that could load a model.

    :param state: the endpoint's state.
    :param evictions: names of the models to evict first.
    :param eviction_cost: cost of evicting them, in requests.
    :param ready_in_s: time until the model would be ready, seconds.
    :param forced: whether running requests use one of the models to evict.
    :param slowness_cost: cost of the endpoint's speed, in requests; negative if it
        suits the model's demand.
    """

    state: endpoint_state.EndpointState
    evictions: tuple[str, ...]
    eviction_cost: float
    ready_in_s: float
    forced: bool
    slowness_cost: float = 0.0

    def total_cost(self, callers: int) -> float:
        """Return the total cost in requests: evictions, waiting callers and speed.

        :param callers: number of callers that wait for the model.
        """
        return (
            self.eviction_cost
            + self.slowness_cost
            + COST_PER_WAITING_S * max(MIN_CALLERS, callers) * self.ready_in_s
        )


@attrs.frozen
class _Eviction:
    """A model that an endpoint may evict.

    :param model: its name.
    :param cost: cost of evicting it, in requests.
    """

    model: str
    cost: float


class Placement(kernel.Part):
    """Lists the endpoints that could load a model, with their costs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.job_executor = node_kernel.get(job_execution.JobExecutor)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.demand = node_kernel.get(demand.Demand)
        self.prefill_speed = node_kernel.get(prefill_speed.PrefillSpeed)
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        self.notices = node_kernel.get(endpoint_notices.EndpointNotices)
        self.holders_by_target: dict[
            caller_request.Target, list[endpoint_state.EndpointState]
        ] = {}
        #: Endpoints that hold, load or will load a model, by service and model.
        self.involved_by_service: dict[
            str, dict[str, list[endpoint_state.EndpointState]]
        ] = {}
        self.unmet_models_by_service: dict[str, set[str]] = {}
        self.mean_rate_by_service: dict[str, float] = {}
        #: Returns an endpoint's speed by its id; see :mod:`shared_speeds`.
        self.speed: collections.abc.Callable[[str], float] = lambda _: 1.0
        #: Returns the mean run time of a service's model, seconds; None if unknown.
        self.mean_run_s: collections.abc.Callable[[str, str], float | None] = (
            lambda _service, _model: None
        )

    def endpoints_needed(self, target: caller_request.Target) -> float:
        """Return the number of endpoints that a model's requests keep busy.

        Either their prompts or their batch slots are scarce: with batches of 12 to 16
        and runs of 1.7 s, the slots are exhausted three to five times sooner.

        :param target: the model.
        """
        per_s = self.prefill_speed.tokens_per_s(target.service) * PREFILL_SHARE
        by_prompts = self.demand.prompt_tokens_per_s(target) / per_s
        return max(by_prompts, self._needed_by_slots(target))

    def _needed_by_slots(self, target: caller_request.Target) -> float:
        """Return the number of endpoints whose batch slots a model's requests fill.

        It is 0 while the duration of the runs is unknown.
        """
        run_s = self.mean_run_s(target.service, target.model)
        if run_s is None:
            return 0.0
        states = self.job_executor.of_service(target.service)
        if not states:
            return 0.0
        slots = max(1, states[0].accelerator.batch_slots)
        return self.demand.rate(target) * run_s / (slots * SLOT_SHARE)

    def capacity(self, states: list[endpoint_state.EndpointState]) -> float:
        """Return the capacity of some endpoints, as a number of unlimited endpoints.

        The unit is an endpoint of the service's mean speed.

        :param states: the endpoints.
        """
        return sum(map(self._capacity, states))

    def _capacity(self, state: endpoint_state.EndpointState) -> float:
        if self.notices.backoff(state.endpoint) is not None:
            return 0.0
        speed = self.speed(state.endpoint.id)
        per_s = self.limits.per_s(state.endpoint.id)
        if per_s is None:
            return speed
        return min(speed, per_s * REQUEST_DURATION_S / state.accelerator.batch_slots)

    def replica_value(
        self, target: caller_request.Target, replicas: float, last: float = 1.0
    ) -> float:
        """Return how many requests a model's last replica serves in time.

        :param target: the model.
        :param replicas: its replicas, that one included, as a :meth:`capacity`.
        :param last: speed of the last one's endpoint.
        """
        needed = max(1.0, self.endpoints_needed(target))
        share = min(1.0, replicas / needed) - min(1.0, (replicas - last) / needed)
        return self.demand.rate(target) * share * HORIZON_S

    def endpoints_holding(
        self, target: caller_request.Target
    ) -> list[endpoint_state.EndpointState]:
        """Return the available endpoints that hold, or will hold, a model or adapter.

        The result is cached until :meth:`clear_caches`: computing the eviction costs of
        30 endpoints for each of 74 models requests the same lists thousands of times.
        Only the endpoints that have the model loaded or queued are checked: checking
        all endpoints for all models, with 59 endpoints and 141 models, took two thirds
        of a scheduling pass.

        :param target: the model or adapter.
        """
        cached = self.holders_by_target.get(target)
        if cached is None:
            cached = [
                state
                for state in self._involved(target)
                if state.available
                and target.allows(state.endpoint.entry.software_version)
                and state.will_hold(target.model, target.adapter)
            ]
            self.holders_by_target[target] = cached
        return cached

    def clear_caches(self) -> None:
        """Clear the cached lists, since time has passed or a job was added."""
        self.holders_by_target.clear()
        self.involved_by_service.clear()
        self.unmet_models_by_service.clear()
        self.mean_rate_by_service.clear()

    def _involved(
        self, target: caller_request.Target
    ) -> list[endpoint_state.EndpointState]:
        """Return the endpoints that hold a model, load it, or will load it."""
        by_model = self.involved_by_service.get(target.service)
        if by_model is None:
            by_model = self.involved_by_service[target.service] = {}
            for state in self.job_executor.of_service(target.service):
                queued = {job.model for job in state.jobs}
                for model in {*state.adapters_by_model, state.loading, *queued}:
                    by_model.setdefault(model, []).append(state)
        return by_model.get(target.model, [])

    def running(self, model: str, states: list[endpoint_state.EndpointState]) -> int:
        """Return the number of requests for a model that run on some endpoints.

        :param model: the model.
        :param states: the endpoints.
        """
        return sum(
            self.running_requests.of_model(state.endpoint.id, model) for state in states
        )

    def unavailability_cost(
        self, target: caller_request.Target, model: declaration_types.Model
    ) -> float:
        """Return the cost of a model that no endpoint holds, in requests.

        :param target: the model.
        :param model: its declaration.
        """
        states = self.job_executor.of_service(target.service)
        seconds = min((state.load_s(model) for state in states), default=0.0)
        rate = max(MIN_RATE_PER_S, self.demand.rate(target))
        return rate * (UNAVAILABLE_S + seconds)

    def candidates(
        self, service: str, model: declaration_types.Model, evictable: Evictable
    ) -> list[Candidate]:
        """Return the endpoints of a service that could load a model now.

        :param service: the service.
        :param model: the model to load.
        :param evictable: which models may be evicted for it.
        """
        unmet_models = self._unmet_models(service)
        candidates = []
        for state in self._loadable(service):
            if not state.known or state.will_hold(model.name, ""):
                continue
            if self._may_queue(state, model):
                options = self._evictable_models(state, unmet_models, evictable)
                candidate = self._candidate(state, model, options)
                if candidate is not None:
                    candidates.append(candidate)
        return candidates

    def _loadable(self, service: str) -> list[endpoint_state.EndpointState]:
        """Return a service's endpoints that have capacity for a further model.

        An endpoint in a backoff or with a rate limit serves fewer requests than the
        models that it already holds attract. If there are only such endpoints, all are
        returned: a load on any of them is better than none.
        """
        open_states = [
            state for state in self.job_executor.of_service(service) if state.available
        ]
        unrestricted = [
            state
            for state in open_states
            if self.limits.per_s(state.endpoint.id) is None
            and self.notices.backoff(state.endpoint) is None
        ]
        return unrestricted or open_states

    def _unmet_models(self, service: str) -> set[str]:
        """Return the models of a service that callers wait for."""
        cached = self.unmet_models_by_service.get(service)
        if cached is None:
            cached = self.unmet_models_by_service[service] = {
                unmet.target.model
                for unmet in self.demand.unmet()
                if unmet.target.service == service
            }
        return cached

    def _may_queue(
        self, state: endpoint_state.EndpointState, model: declaration_types.Model
    ) -> bool:
        """Return whether one more model may be queued on an endpoint.

        An endpoint that loads another model but has a local copy of this one is ready
        sooner than an endpoint that fetches it from the weight store.
        """
        models = [job.model for job in state.jobs if not job.adapter]
        return not state.jobs or (
            len(models) == 1 and model.name in state.local_models()
        )

    def _candidate(
        self,
        state: endpoint_state.EndpointState,
        model: declaration_types.Model,
        options: list[_Eviction],
    ) -> Candidate | None:
        free_mb = state.accelerator.memory_mb
        free_mb -= sum(map(state.memory_mb, state.holdings_after_jobs()))
        evictions = _select_evictions(state, options, model.memory_mb - free_mb)
        if evictions is None:
            return None
        eviction_cost = sum(eviction.cost for eviction in evictions)
        names = tuple(eviction.model for eviction in evictions)
        running = sum(self.running(name, [state]) for name in names)
        share = (
            self.running_requests.of_endpoint(state.endpoint.id)
            / state.accelerator.batch_slots
        )
        ready_in_s = (
            state.load_s(model)
            + FULL_BATCH_DELAY_S * share
            + endpoint_state.expected_drain_s(running)
        )
        ready_in_s += max(state.ready_s_by_model().values(), default=0.0)
        slowness_cost = self._slowness_cost(state, model)
        return Candidate(
            state, names, eviction_cost, ready_in_s, running > 0, slowness_cost
        )

    def _slowness_cost(
        self, state: endpoint_state.EndpointState, model: declaration_types.Model
    ) -> float:
        """Return the cost of an endpoint's speed for a model, in requests.

        A model with more demand than the mean model prefers fast endpoints, one with
        less leaves them to others.
        """
        speed = self.speed(state.endpoint.id)
        if speed == 1.0:
            return 0.0
        service = state.endpoint.entry.service
        rate = self.demand.rate(caller_request.Target(service, model.name))
        excess = rate - self._mean_rate(service)
        cost = SLOWNESS_COST * excess * (1.0 / speed - 1.0)
        return min(MAX_SLOWNESS_COST, max(-MAX_SLOWNESS_COST, cost))

    def _mean_rate(self, service: str) -> float:
        """Return the mean of the request rates of a service's requested models."""
        cached = self.mean_rate_by_service.get(service)
        if cached is None:
            rates = [
                self.demand.rate(item)
                for item in self.demand.models()
                if item.service == service
            ]
            cached = sum(rates) / len(rates) if rates else 0.0
            self.mean_rate_by_service[service] = cached
        return cached

    def eviction_cost(self, state: endpoint_state.EndpointState, name: str) -> float:
        """Return the cost of evicting a model from an endpoint, in requests.

        :param state: the endpoint's state.
        :param name: a model that it holds.
        """
        target = caller_request.Target(state.endpoint.entry.service, name)
        others = [item for item in self.endpoints_holding(target) if item is not state]
        demand_observed = self.demand.total() > OBSERVED_DEMAND_PER_S
        min_rate = MIN_RATE_PER_S * (1 if demand_observed else (1 + len(others)) ** 2)
        rate = max(min_rate, self.demand.rate(target))
        model = state.accelerator.model_by_name.get(name)
        seconds = UNAVAILABLE_S + (model.host_load_s if model else 0.0)
        if not others:
            return rate * seconds
        speed = self.speed(state.endpoint.id)
        replicas = speed + sum(self.speed(item.endpoint.id) for item in others)
        value = self.replica_value(target, replicas, speed)
        if value > 0:
            return max(value, rate * seconds * SPARE_REPLICA_COST_SHARE)
        running = self.running(name, [state, *others])
        if running <= TAKEOVER_BATCH_SHARE * state.accelerator.batch_slots * len(
            others
        ):
            return rate * seconds * SPARE_REPLICA_COST_SHARE
        return rate * seconds

    def _evictable_models(
        self,
        state: endpoint_state.EndpointState,
        unmet_models: set[str],
        evictable: Evictable,
    ) -> list[_Eviction]:
        """Return what an endpoint may evict, the cheapest first."""
        names = [
            name
            for name in state.holdings_after_jobs()
            if name in state.adapters_by_model
            and name not in unmet_models
            and self._may_evict(state, name, evictable)
        ]
        options = [_Eviction(name, self.eviction_cost(state, name)) for name in names]
        return sorted(options, key=lambda option: option.cost)

    def _may_evict(
        self, state: endpoint_state.EndpointState, name: str, evictable: Evictable
    ) -> bool:
        match evictable:
            case Evictable.ANY:
                return True
            case Evictable.UNUSED:
                return not self.running(name, [state])
        target = caller_request.Target(state.endpoint.entry.service, name)
        others = [item for item in self.endpoints_holding(target) if item is not state]
        return len(others) >= MIN_OTHER_HOLDERS and not self.running(name, [state])


def _select_evictions(
    state: endpoint_state.EndpointState, options: list[_Eviction], needed_mb: float
) -> list[_Eviction] | None:
    """Return what to evict to free some memory; None if it does not suffice.

    The cheapest models are chosen first. If a larger one has to follow, those that it
    makes unnecessary are removed from the choice.
    """
    evictions: list[_Eviction] = []
    freed = 0.0
    for eviction in options:
        if freed >= needed_mb:
            break
        evictions.append(eviction)
        freed += state.memory_mb(eviction.model)
    if freed < needed_mb:
        return None
    for eviction in reversed(evictions[:]):
        memory_mb = state.memory_mb(eviction.model)
        if freed - memory_mb >= needed_mb:
            evictions.remove(eviction)
            freed -= memory_mb
    return evictions
