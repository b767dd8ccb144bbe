"""The plan of one region: its fleet, its demand and its unfinished moves."""

import collections

import attrs
import result

from mothworks import (
    catalogue,
    demand,
    endpoints,
    fleet,
    move_messages,
    placement_policy,
    relocations,
)

#: Interval between planning passes, seconds.
PASS_INTERVAL_S = 1.0
#: Minimum and maximum time that a new planner waits for owners' reports before
#: it plans, seconds. The maximum covers the interval of periodic reports.
MIN_REPORT_WAIT_S = 4.0
MAX_REPORT_WAIT_S = 8.0
#: Time after which a move expires if its owner reports no unfinished move, seconds.
IDLE_MOVE_TIMEOUT_S = 10.0
#: Time after which a move expires whatever its owner reports, seconds.
MOVE_TIMEOUT_S = 600.0


@attrs.define
class LoadLimiter:
    """Limits loads from the weight store by a token bucket.

    :param rate: loads that may start per second.
    :param parallel: maximum concurrent loads.
    :param tokens: loads that may start now.
    """

    rate: float
    parallel: int
    tokens: float = 1.0

    def refill(self, seconds: float) -> None:
        """Add tokens for the time elapsed.

        :param seconds: time since the last call.
        """
        max_tokens = max(1.0, self.rate * PASS_INTERVAL_S)
        self.tokens = min(max_tokens, self.tokens + self.rate * seconds)

    def loads(self, running: int) -> int:
        """Return how many loads may start now.

        :param running: loads in progress.
        """
        return max(0, min(int(self.tokens), self.parallel - running))


class RegionPlan:
    """A planner's view of its region, and the moves that it sent to owners.

    :param name: the region.
    :param now: monotonic time, seconds.
    :param policy: chooses the moves.
    """

    def __init__(self, name: str, now: float, policy: placement_policy.Policy):
        self.name = name
        self.started_at = now
        self.planned_at = now
        self.revision = -1
        self.fleet = fleet.Fleet()
        self.endpoint_by_name: dict[str, catalogue.Endpoint] = {}
        #: Monotonic time at which each endpoint was first declared, seconds.
        self.declared_at: dict[str, float] = {}
        self.load_limiter = LoadLimiter(1.0, 1)
        self.policy = policy
        #: Moves ordered by operators.
        self.relocations = relocations.Relocations()
        #: Moves sent and not yet reflected in a report, with the time of each.
        self.outstanding: dict[str, dict[move_messages.Move, float]] = (
            collections.defaultdict(dict)
        )
        self.holdings_by_endpoint: dict[str, move_messages.Holdings] = {}
        self.changed_endpoints: set[str] = set()

    def apply_catalogue(
        self, revision: int, index: catalogue.Index, now: float
    ) -> None:
        """Apply the current catalogue.

        :param revision: its revision.
        :param index: the indexed catalogue.
        :param now: monotonic time, seconds.
        """
        if revision == self.revision:
            return
        self.revision = revision
        weights = index.catalogue.weights
        self.load_limiter = LoadLimiter(weights.loads_per_s, weights.parallel_loads)
        self.policy.weights = weights
        self.endpoint_by_name = {
            item.name: item
            for item in index.catalogue.endpoints
            if item.memory_mb
            and self.name == index.region_by_data_centre[item.data_centre]
        }
        self.declared_at = {
            name: self.declared_at.get(name, now) for name in self.endpoint_by_name
        }
        for name in self.fleet.view_by_name.keys() - self.endpoint_by_name.keys():
            self.fleet.remove(name)
        for name, view in self.fleet.view_by_name.items():
            self._update_endpoint(view, self.endpoint_by_name[name])
        self.fleet.declare(model_specs(index.catalogue))
        self.changed_endpoints.update(self.holdings_by_endpoint)

    def _update_endpoint(
        self, view: fleet.EndpointView, declared: catalogue.Endpoint
    ) -> None:
        view.data_centre = declared.data_centre
        view.memory_mb = declared.memory_mb
        view.batch_slots = declared.slots * fleet.PLANNED_UTILISATION

    def update_holdings(self, holdings: move_messages.Holdings) -> None:
        """Store an owner's report unless a newer one is stored.

        :param holdings: the summary of an endpoint's ledger.
        """
        previous = self.holdings_by_endpoint.get(holdings.endpoint)
        if previous is not None and previous.fence > holdings.fence:
            return
        if previous != holdings:
            self.holdings_by_endpoint[holdings.endpoint] = holdings
            self.changed_endpoints.add(holdings.endpoint)

    def add_relocation(
        self, relocation: relocations.Relocation
    ) -> result.Result[None, str]:
        """Start a relocation that an operator ordered.

        :param relocation: the relocation.
        :returns: nothing, or the reason for rejecting it.
        """
        return self.relocations.accept(self.fleet, relocation)

    def plan(
        self,
        now: float,
        demand_averages: demand.DemandAverages,
        open_endpoints: frozenset[str],
    ) -> list[move_messages.Move]:
        """Return the moves to send to owners now.

        :param now: monotonic time, seconds.
        :param demand_averages: the region's demand.
        :param open_endpoints: endpoints that accept new work.
        """
        elapsed_s = max(1e-3, now - self.planned_at)
        self.planned_at = now
        demand_averages.update(elapsed_s)
        self._set_demand(demand_averages)
        self._expire_moves(now)
        for name in sorted(self.changed_endpoints & self.endpoint_by_name.keys()):
            self._apply_report(name)
        self.changed_endpoints.clear()
        self._update_open(open_endpoints)
        self.load_limiter.refill(elapsed_s)
        if self._awaits_reports(now):
            return []
        loads = self.load_limiter.loads(self._running_loads())
        moves = self.relocations.plan(self.fleet, now, loads)
        loads -= sum(move.kind == endpoints.OrderKind.LOAD for move in moves)
        moves += self.policy.plan(self.fleet, loads)
        for move in moves:
            self.outstanding[move.endpoint][move] = now
            if move.kind == endpoints.OrderKind.LOAD:
                self.load_limiter.tokens -= 1
        return moves

    def _awaits_reports(self, now: float) -> bool:
        """Return whether reports from owners are still outstanding.

        Models on an endpoint without a report look as if they were resident
        nowhere and would be loaded again. While only this VM's own endpoints
        have reported, every model would be loaded there.
        """
        if now - self.started_at < MIN_REPORT_WAIT_S:
            return True
        unreported = self.endpoint_by_name.keys() - self.holdings_by_endpoint.keys()
        declared_times = (self.declared_at[name] for name in unreported)
        return any(
            now - first_declared < MAX_REPORT_WAIT_S
            for first_declared in declared_times
        )

    def _set_demand(self, demand_averages: demand.DemandAverages) -> None:
        slots_by_name = collections.Counter()
        service_s_by_name = {}
        for name, model_demand in self.fleet.demand_by_name.items():
            averages = demand_averages.averages_by_name.get(name)
            if averages is not None:
                # A request for an adapter uses a batch slot of its model's endpoint.
                slots_by_name[model_demand.spec.base or name] += averages.batch_slots
                slots_by_name[name] += (
                    averages.batch_slots if model_demand.spec.base else 0.0
                )
                service_s_by_name[name] = averages.service_s
        for name in self.fleet.demand_by_name:
            service_s = service_s_by_name.get(name, demand.DEFAULT_SERVICE_S)
            self.fleet.set_demand(name, slots_by_name[name], service_s)

    def _expire_moves(self, now: float) -> None:
        """Drop moves that were lost in transit or dropped by their owner."""
        for name, moves in self.outstanding.items():
            holdings = self.holdings_by_endpoint.get(name)
            idle = holdings is None or not (holdings.pending_kind or holdings.queued)
            timeout_s = IDLE_MOVE_TIMEOUT_S if idle else MOVE_TIMEOUT_S
            for move, sent_at in list(moves.items()):
                if now - sent_at > timeout_s:
                    del moves[move]
                    self.changed_endpoints.add(name)

    def _update_open(self, open_endpoints: frozenset[str]) -> None:
        for view in self.fleet.view_by_name.values():
            is_open = view.name in open_endpoints
            if view.open != is_open:
                view.open = is_open
                self.fleet.refresh(view)

    def _apply_report(self, name: str) -> None:
        """Update one endpoint from its owner's report."""
        holdings = self.holdings_by_endpoint[name]
        view = self.fleet.view_by_name.get(name)
        if view is None:
            view = fleet.EndpointView(name, "", 0, 1.0, open=False)
            self._update_endpoint(view, self.endpoint_by_name[name])
            self.fleet.add(view)
        keys = zip(holdings.names, holdings.versions, strict=True)
        view.memory_by_key = dict(zip(keys, holdings.reserved_mb, strict=True))
        view.free_mb = holdings.free_mb
        view.loading = set()
        view.unloading = set()
        self._apply_pending(view, holdings)
        for move in list(self.outstanding[name]):
            self._apply_outstanding(view, move)
        self.fleet.refresh(view)

    def _apply_pending(
        self, view: fleet.EndpointView, holdings: move_messages.Holdings
    ) -> None:
        key = (holdings.pending_name, holdings.pending_version)
        match holdings.pending_kind:
            case endpoints.OrderKind.LOAD:
                view.loading.add(key)
                view.memory_by_key[key] = self._memory_mb(holdings.pending_name)
            case endpoints.OrderKind.UNLOAD if key in view.memory_by_key:
                view.unloading.add(key)

    def _apply_outstanding(
        self, view: fleet.EndpointView, move: move_messages.Move
    ) -> None:
        key = (move.name, move.version)
        match move.kind:
            case endpoints.OrderKind.LOAD if key in view.memory_by_key:
                del self.outstanding[view.name][move]
            case endpoints.OrderKind.LOAD:
                memory_mb = self._memory_mb(move.name)
                view.memory_by_key[key] = memory_mb
                view.loading.add(key)
                view.free_mb -= memory_mb
            case endpoints.OrderKind.UNLOAD if key not in view.memory_by_key:
                del self.outstanding[view.name][move]
            case endpoints.OrderKind.UNLOAD if key not in view.unloading:
                view.unloading.add(key)
                view.free_mb += view.memory_by_key[key]

    def _memory_mb(self, name: str) -> int:
        model_demand = self.fleet.demand_by_name.get(name)
        return model_demand.spec.memory_mb if model_demand else 0

    def _running_loads(self) -> int:
        return sum(len(view.loading) for view in self.fleet.view_by_name.values())


def model_specs(declared: catalogue.Catalogue) -> list[fleet.ModelSpec]:
    """Return the models and adapters that a catalogue requires, models first.

    :param declared: the catalogue.
    """
    adapter_reserve_by_model = collections.Counter()
    version_by_model = {item.name: item.version for item in declared.models}
    for adapter in declared.adapters:
        adapter_reserve_by_model[adapter.model] += adapter.memory_mb
    models = [
        fleet.ModelSpec(
            item.name,
            item.version,
            item.memory_mb + item.working_mb,
            adapter_reserve_by_model[item.name],
            item.replicas,
        )
        for item in declared.models
    ]
    adapters = [
        fleet.ModelSpec(
            item.name,
            version_by_model[item.model],
            item.memory_mb,
            base=item.model,
        )
        for item in declared.adapters
    ]
    return [*models, *adapters]
