"""Scheduler: decides, on the lease holder, which models are loaded on which endpoints.

Endpoints hold fewer models than are declared. A model that callers wait for and no
endpoint holds is loaded first, where that costs the fewest requests; a load that costs
more than it gains is postponed until its callers have waited longer. Next, models whose
endpoints are slow or nearly full get another endpoint, and models that no endpoint
holds replace spare replicas. While there are hardly any requests, models with few
copies are loaded once more, so that they can later be loaded from disk.
"""

import collections
import time

import gevent
import gevent.event
import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    caller_request,
    declaration_types,
    declarations,
    demand,
    discovery,
    endpoint_state,
    job_execution,
    lease,
    order_sender,
    placement_candidates,
    residency,
    running_requests,
)

log = logbook.Logger("scheduler")

#: Seconds between scheduling passes unless a caller starts to wait for a model.
INTERVAL_S = 0.2
#: Seconds between checks for the lease on a VM that does not hold it; acquiring it
#: triggers one at once.
STANDBY_INTERVAL_S = 1.0
#: Pause after a pass, as a multiple of its duration. Each VM reports several times a
#: second what its callers wait for, and each report wakes the lease holder. With 75 VMs
#: the passes used most of the holder's processor time and delayed its own callers.
PAUSE_FACTOR = 2.0
#: Share of a model's batch slots in use above which it gets another endpoint. A load
#: costs as much as half a late answer, and prefill delays all other requests of an
#: endpoint long before its batch is full.
SPREAD_BATCH_SHARE = 0.3
#: The same share while another endpoint is still loading the model: a burst fills a
#: batch within a second, and answers then begin late.
SPREAD_LOADING_BATCH_SHARE = 0.6
#: Late answers per second of one model above which it gets another endpoint.
SPREAD_LATE_PER_S = 1.0
#: Requests per second below which a model gets no further endpoint.
SPREAD_MIN_RATE_PER_S = 0.5
#: Factor by which the value of a further replica must exceed its eviction cost: the
#: evicted models must not be reloaded at once.
MIN_VALUE_FACTOR = 1.25
#: Time between two further endpoints for one model, seconds: the previous one must
#: first have taken its share of the requests.
SPREAD_INTERVAL_S = 1.0
#: Number of waiting callers per replica to load, as a share of a batch: this many
#: requests can begin at once.
REPLICA_BATCH_SHARE = 0.4
#: Time over which refused callers that will retry are counted as waiting, seconds: a
#: load from the weight store takes about as long.
RETRY_WINDOW_S = 2.0
#: Eviction cost allowed for each waiting caller, in requests: a base amount, and an
#: amount for each second by which the first caller has missed its objective.
WAITING_COST_LIMIT = 1.2
WAITING_COST_LIMIT_PER_S = 0.7
#: Eviction cost allowed for a further endpoint of a slow model, in requests: a base
#: amount, and an amount for each late answer per second.
SPREAD_COST_LIMIT = 0.5
SPREAD_COST_LIMIT_PER_LATE = 1.5
#: Minimum number of endpoints with a copy of each model, in memory or on disk: a second
#: endpoint for the model is then ready within a second.
MIN_COPIES = 2
#: Total requests per second below which copies are made.
COPY_MAX_RATE_PER_S = 1.0
#: Share of the weight store's load rate that such copies may use.
COPY_STORE_SHARE = 0.7
#: Eviction cost allowed for a copy, in requests.
COPY_COST_LIMIT = 0.05

#: Seconds between checks for models that no endpoint holds: each check computes the
#: costs for every endpoint.
COVER_INTERVAL_S = 0.5

#: Pressure of an endpoint that loads or unloads a model, and of each adapter queued
#: there; a full batch counts 1.
LOADING_PRESSURE = 5.0
QUEUED_ADAPTER_PRESSURE = 0.2
#: Time for which the lease holder batches registry changes, seconds: short, so that a
#: model is used as soon as it is loaded.
HOLDER_BATCH_S = 0.05

#: Reasons for a load, as logged.
CALLERS_WAITING = "wanted"
DEMAND = "its requests need more endpoints"
SLOW = "its endpoints are slow or nearly full"
NOT_HELD = "no endpoint holds it"
COPY = "too few endpoints have a copy"


class Scheduler(kernel.Part):
    """Assigns loads to endpoints while this VM holds the lease.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.lease = node_kernel.get(lease.Lease)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.job_executor = node_kernel.get(job_execution.JobExecutor)
        self.order_sender = node_kernel.get(order_sender.OrderSender)
        self.demand = node_kernel.get(demand.Demand)
        self.placement = node_kernel.get(placement_candidates.Placement)
        self.spread_at_by_target: dict[caller_request.Target, float] = {}
        self.last_cover_at = 0.0
        self.woken = gevent.event.Event()
        node_kernel.get(residency.Residency).on_waiting.append(
            lambda *_: self.woken.set()
        )
        self.lease.on_acquired.append(self._on_lease_acquired)

    def start(self) -> None:
        """Start the scheduling loop; it schedules while this VM holds the lease."""
        self.tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.woken.wait(INTERVAL_S if self.lease.held() else STANDBY_INTERVAL_S)
            self.woken.clear()
            holds_lease = self.lease.held()
            # The lease holder batches changes only briefly: it informs the other VMs.
            batch_s = HOLDER_BATCH_S if holds_lease else self.discovery.batch_s
            self.discovery.follower.set_batch_time(batch_s)
            if holds_lease and self.declarations.current is not None:
                started_at = time.monotonic()
                self._schedule(self.declarations.current)
                gevent.sleep(PAUSE_FACTOR * (time.monotonic() - started_at))

    def _on_lease_acquired(self) -> None:
        self.job_executor.reset()
        self.woken.set()

    def _schedule(self, declaration: declaration_types.Declaration) -> None:
        self.job_executor.update_endpoints(declaration)
        self.placement.clear_caches()
        unmet_demands = self.demand.unmet()
        cover_due = time.monotonic() - self.last_cover_at > COVER_INTERVAL_S
        if cover_due:
            self.last_cover_at = time.monotonic()
        for unmet in unmet_demands:
            service = declaration.service_by_name.get(unmet.target.service)
            accelerator = service.accelerator if service else None
            if accelerator and unmet.target.model in accelerator.model_by_name:
                self._load_for_waiting(unmet, accelerator)
        for service in declaration.service_by_name.values():
            if service.accelerator is not None:
                self._spread(service.name, service.accelerator)
                if cover_due:
                    self._cover(service.name, service.accelerator)
                if not unmet_demands and self.demand.total() < COPY_MAX_RATE_PER_S:
                    self._copy(service.name, service.accelerator)
        self.job_executor.start_work()

    def _load_for_waiting(
        self, unmet: demand.UnmetDemand, accelerator: declaration_types.Accelerator
    ) -> None:
        """Load a model or adapter that callers wait for."""
        holders = self.placement.endpoints_holding(unmet.target.base)
        if unmet.target.adapter and holders:
            self._place_adapter(unmet, holders)
            return
        # Callers that were refused with a time to retry after are not in the count.
        callers = max(unmet.count, self.demand.rate(unmet.target.base) * RETRY_WINDOW_S)
        if len(holders) > callers // (REPLICA_BATCH_SHARE * accelerator.batch_slots):
            return
        model = accelerator.model_by_name[unmet.target.model]
        late_s = max(0.0, -unmet.left_s)
        cost_limit = unmet.count * (
            WAITING_COST_LIMIT + WAITING_COST_LIMIT_PER_S * late_s
        )
        target, count = unmet.target.base, unmet.count
        any_model = placement_candidates.Evictable.ANY
        self._place_model(target, model, CALLERS_WAITING, cost_limit, count, any_model)

    def _place_adapter(
        self, unmet: demand.UnmetDemand, states: list[endpoint_state.EndpointState]
    ) -> None:
        if self.placement.endpoints_holding(unmet.target):
            return
        with_slot = [
            state
            for state in states
            if unmet.target.model in state.adapters_by_model
            and self.job_executor.has_adapter_slot(state)
        ]
        if with_slot:
            state = min(with_slot, key=self._pressure)
            self._queue_job(
                state, endpoint_state.Job(unmet.target.model, unmet.target.adapter)
            )
            self._log_decision(unmet.target, state, CALLERS_WAITING)

    def _pressure(self, state: endpoint_state.EndpointState) -> float:
        batch_share = (
            self.running_requests.of_endpoint(state.endpoint.id)
            / state.accelerator.batch_slots
        )
        adapter_share = state.adapter_count() / max(1, state.accelerator.adapter_slots)
        # An adapter waits for seconds behind a model that is loaded or unloaded.
        loading = LOADING_PRESSURE if state.occupied else 0.0
        return (
            batch_share
            + adapter_share
            + loading
            + QUEUED_ADAPTER_PRESSURE * len(state.jobs)
        )

    def _place_model(
        self,
        target: caller_request.Target,
        model: declaration_types.Model,
        reason: str,
        cost_limit: float,
        callers: int,
        evictable: placement_candidates.Evictable = (
            placement_candidates.Evictable.UNUSED
        ),
    ) -> placement_candidates.Candidate | None:
        """Queue a load on the cheapest endpoint whose evictions cost little enough."""
        share = COPY_STORE_SHARE if reason in (NOT_HELD, COPY) else 1.0
        candidates = [
            candidate
            for candidate in self.placement.candidates(target.service, model, evictable)
            if candidate.eviction_cost <= cost_limit
            and target.allows(candidate.state.endpoint.entry.software_version)
            and self.order_sender.may_load(candidate.state, model.name, share)
            # Loading from an existing copy is the cheapest, but adds no copy.
            and not (reason == COPY and model.name in candidate.state.local_models())
        ]
        best = min(
            candidates,
            key=lambda candidate: candidate.total_cost(callers),
            default=None,
        )
        if best is not None:
            job = endpoint_state.Job(model.name, "", best.evictions, best.forced)
            self._queue_job(best.state, job)
            self._log_decision(target, best.state, reason, best)
        return best

    def _queue_job(
        self, state: endpoint_state.EndpointState, job: endpoint_state.Job
    ) -> None:
        state.add(job)
        self.placement.clear_caches()

    def _spread(self, service: str, accelerator: declaration_types.Accelerator) -> None:
        """Add endpoints for models that have too few, or whose endpoints are slow."""
        for model in accelerator.model_by_name.values():
            target = caller_request.Target(service, model.name)
            if self.demand.rate(target) < SPREAD_MIN_RATE_PER_S:
                continue
            self._spread_by_demand(target, model)
            if self._needs_more(target, accelerator):
                self.spread_at_by_target[target] = time.monotonic()
                late_per_s = self.demand.late.rate(target)
                cost_limit = SPREAD_COST_LIMIT + SPREAD_COST_LIMIT_PER_LATE * late_per_s
                self._place_model(target, model, SLOW, cost_limit, 1)

    def _spread_by_demand(
        self, target: caller_request.Target, model: declaration_types.Model
    ) -> None:
        """Load a model on as many endpoints as its requests need, all at once.

        When demand moves to a model, its prompts exceed what one endpoint can prefill
        several times within two seconds. Adding one endpoint per second, each only once
        the previous one was full, left the model overloaded for ten seconds.
        """
        holders = self.placement.endpoints_holding(target)
        if not holders:
            return
        replicas = self.placement.capacity(holders)
        while replicas < self.placement.endpoints_needed(target):
            value = self.placement.replica_value(target, replicas + 1)
            candidate = self._place_model(
                target,
                model,
                DEMAND,
                value / MIN_VALUE_FACTOR,
                round(value),
                placement_candidates.Evictable.ANY,
            )
            if candidate is None:
                return
            replicas += self.placement.speed(candidate.state.endpoint.id)

    def _needs_more(
        self, target: caller_request.Target, accelerator: declaration_types.Accelerator
    ) -> bool:
        """Return whether a model has too few endpoints for its callers."""
        since_last_s = time.monotonic() - self.spread_at_by_target.get(target, 0.0)
        holders = self.placement.endpoints_holding(target)
        if since_last_s < SPREAD_INTERVAL_S or not holders:
            return False
        running = self.placement.running(target.model, holders)
        slots = accelerator.batch_slots * self.placement.capacity(holders)
        if any(target.model not in state.adapters_by_model for state in holders):
            # Another endpoint is loading the model, which takes up to four seconds.
            return running > SPREAD_LOADING_BATCH_SHARE * slots
        full = running > SPREAD_BATCH_SHARE * slots
        return full or self.demand.late.rate(target) > SPREAD_LATE_PER_S

    def _cover(self, service: str, accelerator: declaration_types.Accelerator) -> None:
        """Load models that no endpoint holds where they replace only spare replicas.

        Otherwise their callers would wait for a load, which takes up to four seconds.
        """
        cost_by_model = {}
        for model in accelerator.model_by_name.values():
            target = caller_request.Target(service, model.name)
            if not self.placement.endpoints_holding(target):
                cost_by_model[model.name] = self.placement.unavailability_cost(
                    target, model
                )
        for name in sorted(cost_by_model, key=cost_by_model.get, reverse=True):
            model = accelerator.model_by_name[name]
            target = caller_request.Target(service, name)
            spare_only = placement_candidates.Evictable.SPARE
            self._place_model(
                target, model, NOT_HELD, cost_by_model[name], 0, spare_only
            )

    def _copy(self, service: str, accelerator: declaration_types.Accelerator) -> None:
        """Load each model with too few copies once on another endpoint.

        The models that it replaces are reloaded afterwards, which is fast because they
        stay in the endpoint's host memory.
        """
        copies_by_model: collections.Counter[str] = collections.Counter()
        for state in self.job_executor.of_service(service):
            if not state.known:
                return
            copies_by_model.update(state.local_models())
        models = accelerator.model_by_name.values()
        for model in sorted(models, key=lambda item: copies_by_model[item.name]):
            faster_from_disk = model.disk_load_s < model.store_load_s
            if faster_from_disk and copies_by_model[model.name] < MIN_COPIES:
                target = caller_request.Target(service, model.name)
                candidate = self._place_model(target, model, COPY, COPY_COST_LIMIT, 0)
                if candidate is not None:
                    candidate.state.copied.add(model.name)
                    for name in candidate.evictions:
                        self._queue_job(
                            candidate.state, endpoint_state.Job(name, "", (model.name,))
                        )

    def _log_decision(
        self,
        target: caller_request.Target,
        state: endpoint_state.EndpointState,
        reason: str,
        candidate: placement_candidates.Candidate | None = None,
    ) -> None:
        logs.event(
            log,
            "load decided",
            model=target.model,
            adapter=target.adapter,
            endpoint=state.endpoint.id,
            reason=reason,
            rate=round(self.demand.rate(target), 2),
            needed=round(self.placement.endpoints_needed(target.base), 2),
            drops=list(candidate.evictions) if candidate else [],
            harm=round(candidate.eviction_cost, 2) if candidate else 0,
            seconds=round(candidate.ready_in_s, 2) if candidate else 0,
            fence=self.lease.fence,
            outcome="queued",
        )
