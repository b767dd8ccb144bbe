"""Simulates one demand trace under one placement policy.

The planner and the ledger are the code that nodes run. An engine is modelled by
its memory (engine_memory) and the amount of work in its queue. Simulated time
advances in steps of one second.
"""

import collections
import math
import random
import time

import attrs
import result

from mothworks import (
    catalogue,
    demand,
    endpoints,
    ledger,
    move_messages,
    plugins,
    region_plan,
)
from mothworks_fakes import demand_traces, engine_memory

#: Throughput of one weight load while loads do not compete, MB/s.
LOAD_MB_PER_S = 2000.0
#: Duration of an unload, which waits for announcements and requests in flight,
#: seconds.
UNLOAD_S = 3.0
#: Target for the first token, seconds.
FIRST_TOKEN_TARGET_S = 1.6
#: Remaining work of a move at which it counts as finished; MB of a load, seconds
#: of an unload. Absorbs rounding errors.
MIN_REMAINING = 1e-6


@attrs.define
class Outcome:
    """Measurements of a trial after its warm-up.

    :param arrived: requests that arrived.
    :param attained: requests that met their first-token target.
    :param loads: model loads started.
    :param unloads: model unloads started.
    :param adapter_loads: adapter loads started.
    :param restore_s: for each time that a model was resident on no engine, the
        time until it was resident again, seconds.
    :param planner_s: processor time of all planning passes, seconds.
    :param overcommitted: engines whose peak memory use exceeded their memory.
    """

    arrived: int = 0
    attained: int = 0
    loads: int = 0
    unloads: int = 0
    adapter_loads: int = 0
    restore_s: list[float] = attrs.field(factory=list)
    planner_s: float = 0.0
    overcommitted: int = 0

    @property
    def moves(self) -> int:
        """Return the number of model loads and unloads."""
        return self.loads + self.unloads


class SimulatedEngine:
    """An engine together with the ledger and move queue of its owner.

    :param declared: the endpoint's catalogue entry.
    """

    def __init__(self, declared: catalogue.Endpoint):
        self.declared = declared
        self.memory = engine_memory.EngineMemory(declared.memory_mb)
        self.ledger = ledger.Ledger(declared.name)
        self.queue: collections.deque[move_messages.Move] = collections.deque()
        self.remaining = 0.0
        self.backlog = 0.0
        self.failed = False
        self.changed = True

    def served_models(self) -> set[str]:
        """Return the resident models and adapters that accept requests.

        One that is being unloaded accepts none.
        """
        names = {key[0] for key in self.memory.resident_by_key}
        intent = self.ledger.intent
        if intent is not None and intent.kind is endpoints.OrderKind.UNLOAD:
            names.discard(intent.holding.name)
        return set() if self.failed else names

    def fail(self) -> None:
        """Fail with the data centre: lose resident models and queued work."""
        self.failed = True
        self.memory.restart()
        self.queue.clear()
        self.backlog = 0.0
        self.ledger = ledger.Ledger(self.declared.name, self.ledger.fence + 1)
        self.changed = True

    def start_next_move(
        self, holding_by_name: dict[str, ledger.Holding]
    ) -> move_messages.Move | None:
        """Start the next queued move that the ledger admits, unless one is running.

        :param holding_by_name: memory that each model or adapter needs.
        :returns: the started move, if any.
        """
        while self.queue and self.ledger.intent is None and not self.failed:
            move = self.queue.popleft()
            kind = endpoints.OrderKind(move.kind)
            admitted = ledger.add_intent(
                self.ledger,
                kind,
                holding_by_name[move.name],
                str(self.ledger.fence),
                self.declared.memory_mb,
            )
            if admitted.is_err():
                continue
            self.ledger = admitted.unwrap()
            self.changed = True
            if kind is endpoints.OrderKind.LOAD:
                self.remaining = float(holding_by_name[move.name].memory_mb)
                self.memory.take(self._order())
            else:
                self.remaining = UNLOAD_S
            return move
        return None

    def advance(self, load_mb: float) -> None:
        """Advance the running move by one second.

        :param load_mb: weights that a load receives in this second, MB.
        """
        intent = self.ledger.intent
        if intent is None or self.failed:
            return
        is_load = intent.kind is endpoints.OrderKind.LOAD
        self.remaining -= load_mb if is_load else 1.0
        if self.remaining > MIN_REMAINING:
            return
        if is_load:
            self.memory.finish(intent.holding.key)
        else:
            self.memory.take(self._order())
        self.ledger = ledger.settle(self.ledger, result.Ok(None), True, 0.0, 0.0)
        self.changed = True

    def report(self) -> move_messages.Holdings:
        """Return the report that the owner sends to the planner."""
        current = self.ledger
        intent = current.intent
        return move_messages.Holdings(
            self.declared.name,
            current.fence,
            [item.name for item in current.holdings],
            [item.version for item in current.holdings],
            [item.reserved_mb for item in current.holdings],
            self.declared.memory_mb - current.reserved_mb(),
            intent.kind if intent else "",
            intent.holding.name if intent else "",
            intent.holding.version if intent else "",
            len(self.queue),
        )

    def _order(self) -> engine_memory.Order:
        order = self.ledger.intent.order()
        item = engine_memory.Item(
            order.name, order.version, self.ledger.intent.holding.reserved_mb
        )
        return engine_memory.Order(order.id, order.kind, item, order.fence)


class Trial:
    """Simulates a deployment under one policy and one demand trace.

    :param trace: the demand.
    :param policy: key of a plug-in of kind :data:`plugins.PLACEMENT`.
    """

    def __init__(self, trace: demand_traces.Trace, policy: str):
        self.trace = trace
        self.random = random.Random(trace.seed + 2)
        self.declared = demand_traces.deployment(trace.size, trace.seed)
        self.engines = [SimulatedEngine(item) for item in self.declared.endpoints]
        self.names = [item.name for item in self.declared.models]
        self.holding_by_name = _holding_by_name(self.declared)
        self.region = region_plan.RegionPlan(
            "region",
            -demand_traces.WARM_UP_S - region_plan.MIN_REPORT_WAIT_S,
            plugins.find(plugins.PLACEMENT, policy)(self.declared.weights),
        )
        self.region.apply_catalogue(
            1, catalogue.Index(self.declared), self.region.started_at
        )
        self.averages = demand.DemandAverages()
        self.outcome = Outcome()
        self.unavailable_since: dict[str, int] = {}

    def run(self) -> Outcome:
        """Run the trace and return its measurements."""
        for second in range(-demand_traces.WARM_UP_S, demand_traces.LENGTH_S):
            if second == 0:
                self.outcome = Outcome()
            self._update_failures(second)
            self._serve(second)
            self._plan(second)
            self._execute_moves()
        for engine in self.engines:
            peak_mb = engine.memory.peak_mb
            self.outcome.overcommitted += peak_mb > engine.declared.memory_mb
        return self.outcome

    def _update_failures(self, second: int) -> None:
        for engine in self.engines:
            is_lost = self.trace.is_lost(engine.declared.data_centre, second)
            if is_lost and not engine.failed:
                engine.fail()
            engine.failed = is_lost

    def _serve(self, second: int) -> None:
        engines_by_name = collections.defaultdict(list)
        for engine in self.engines:
            engine.backlog = max(0.0, engine.backlog - engine.declared.slots)
            for name in engine.served_models():
                engines_by_name[name].append(engine)
        arrivals_by_name = {}
        for name, rate in zip(self.names, self.trace.rates(second), strict=True):
            arrivals = _poisson(self.random, rate)
            if arrivals:
                arrivals_by_name[name] = arrivals
                self._admit(engines_by_name.get(name, []), arrivals)
            self._track_restore(name, name in engines_by_name, second)
        self._report_demand(arrivals_by_name)

    def _admit(self, engines: list[SimulatedEngine], arrivals: int) -> None:
        self.outcome.arrived += arrivals
        for _ in range(arrivals if engines else 0):
            engine = min(engines, key=lambda engine: engine.backlog)
            # Arrivals are spread over the second, so the work that the slots
            # finish within it does not delay them.
            wait_s = engine.backlog / engine.declared.slots - 1.0
            if wait_s > FIRST_TOKEN_TARGET_S:
                return
            engine.backlog += demand_traces.SERVICE_S
            self.outcome.attained += 1

    def _track_restore(self, name: str, resident: bool, second: int) -> None:
        if not resident:
            self.unavailable_since.setdefault(name, second)
        elif name in self.unavailable_since:
            self.outcome.restore_s.append(second - self.unavailable_since.pop(name))

    def _report_demand(self, arrivals_by_name: dict[str, int]) -> None:
        arrivals = list(arrivals_by_name.values())
        held_ms = [round(count * demand_traces.SERVICE_S * 1000) for count in arrivals]
        counts = demand.Counts(list(arrivals_by_name), arrivals, arrivals, held_ms)
        self.averages.add_counts(counts)
        on_arrival = getattr(self.region.policy, "arrived", None)
        for name in arrivals_by_name if on_arrival else ():
            on_arrival(name)

    def _plan(self, second: int) -> None:
        for engine in self.engines:
            if engine.changed:
                engine.changed = False
                self.region.update_holdings(engine.report())
        open_endpoints = frozenset(
            engine.declared.name for engine in self.engines if not engine.failed
        )
        started_s = time.thread_time()
        moves = self.region.plan(float(second), self.averages, open_endpoints)
        self.outcome.planner_s += time.thread_time() - started_s
        engine_by_name = {engine.declared.name: engine for engine in self.engines}
        for move in moves:
            engine_by_name[move.endpoint].queue.append(move)

    def _execute_moves(self) -> None:
        models = set(self.names)
        for engine in self.engines:
            move = engine.start_next_move(self.holding_by_name)
            if move is None:
                continue
            match move.kind:
                case endpoints.OrderKind.LOAD if move.name in models:
                    self.outcome.loads += 1
                case endpoints.OrderKind.LOAD:
                    self.outcome.adapter_loads += 1
                case endpoints.OrderKind.UNLOAD if move.name in models:
                    self.outcome.unloads += 1
        running = sum(1 for engine in self.engines if engine.memory.loading_by_key)
        parallel = self.declared.weights.parallel_loads
        load_mb = LOAD_MB_PER_S * min(1.0, parallel / max(1, running))
        for engine in self.engines:
            engine.advance(load_mb)


def _holding_by_name(declared: catalogue.Catalogue) -> dict[str, ledger.Holding]:
    models = {
        item.name: ledger.Holding(
            item.name, item.version, item.memory_mb, item.working_mb
        )
        for item in declared.models
    }
    adapters = {
        item.name: ledger.Holding(item.name, "1", item.memory_mb, base=item.model)
        for item in declared.adapters
    }
    return {**models, **adapters}


def _poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson variate; large means use the normal approximation."""
    if mean > 50:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
