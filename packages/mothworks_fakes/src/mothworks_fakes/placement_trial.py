"""One trace under one policy, in simulated time.

The planner's own code plans; the ledger's own code admits moves; engines are
their memory (engine_memory) and a queue that is a number. Time goes in steps
of one second.
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

#: Rate of one load at full speed, MB/s.
LOAD_MB_PER_S = 2000.0
#: Time that an unload waits for announcements and requests in flight, seconds.
UNLOAD_S = 3.0
#: Target for the first token, seconds.
TARGET_S = 1.6
#: Smallest difference that counts as done, MB.
EPSILON = 1e-6


@attrs.define
class Outcome:
    """What a trial measured after its warm-up.

    :param arrived: requests.
    :param attained: requests that were served within their target.
    :param loads: loads of models begun.
    :param unloads: unloads of models begun.
    :param adapter_loads: loads of adapters begun.
    :param restore_s: times to restore models that were resident nowhere.
    :param planner_s: processor time of all passes, seconds.
    :param overcommitted: engines whose memory ever was too small.
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
        """Return loads and unloads of models."""
        return self.loads + self.unloads


class SimulatedEngine:
    """One engine with its owner.

    :param declared: the endpoint.
    """

    def __init__(self, declared: catalogue.Endpoint):
        self.declared = declared
        self.memory = engine_memory.EngineMemory(declared.memory_mb)
        self.ledger = ledger.Ledger(declared.name)
        self.queue: collections.deque[move_messages.Move] = collections.deque()
        self.left = 0.0
        self.backlog = 0.0
        self.lost = False
        self.changed = True

    def answers_for(self) -> set[str]:
        """Return the models that get requests here."""
        names = {key[0] for key in self.memory.resident_by_key}
        intent = self.ledger.intent
        if intent is not None and intent.kind is endpoints.OrderKind.UNLOAD:
            names.discard(intent.holding.name)
        return set() if self.lost else names

    def lose(self) -> None:
        """Fail with all memory, as its data centre does."""
        self.lost = True
        self.memory.restart()
        self.queue.clear()
        self.backlog = 0.0
        self.ledger = ledger.Ledger(self.declared.name, self.ledger.fence + 1)
        self.changed = True

    def begin(self, holdings: dict[str, ledger.Holding]) -> move_messages.Move | None:
        """Begin the next move, if none is under way.

        :param holdings: what each model or adapter takes.
        """
        while self.queue and self.ledger.intent is None and not self.lost:
            move = self.queue.popleft()
            kind = endpoints.OrderKind(move.kind)
            intended = ledger.add_intent(
                self.ledger,
                kind,
                holdings[move.name],
                str(self.ledger.fence),
                self.declared.memory_mb,
            )
            if intended.is_err():
                continue
            self.ledger = intended.unwrap()
            self.changed = True
            if kind is endpoints.OrderKind.LOAD:
                self.left = float(holdings[move.name].memory_mb)
                self.memory.take(self._order())
            else:
                self.left = UNLOAD_S
            return move
        return None

    def progress(self, load_mb: float) -> None:
        """Go on with the move under way for a second.

        :param load_mb: weights that a load gets in this second, MB.
        """
        intent = self.ledger.intent
        if intent is None or self.lost:
            return
        is_load = intent.kind is endpoints.OrderKind.LOAD
        self.left -= load_mb if is_load else 1.0
        if self.left > EPSILON:
            return
        if is_load:
            self.memory.finish(intent.holding.key)
        else:
            self.memory.take(self._order())
        self.ledger = ledger.settle(self.ledger, result.Ok(None), True, 0.0, 0.0)
        self.changed = True

    def holdings(self) -> move_messages.Holdings:
        """Return the owner's report to the planner."""
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
    """A deployment under one policy and one trace.

    :param trace: the demand.
    :param policy: name of a plug-in of kind :data:`plugins.PLACEMENT`.
    """

    def __init__(self, trace: demand_traces.Trace, policy: str):
        self.trace = trace
        self.random = random.Random(trace.seed + 2)
        self.declared = demand_traces.deployment(trace.size, trace.seed)
        self.engines = [SimulatedEngine(item) for item in self.declared.endpoints]
        self.names = [item.name for item in self.declared.models]
        self.holdings = _holdings(self.declared)
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
        self.lost_since: dict[str, int] = {}

    def run(self) -> Outcome:
        """Run the trace and return what was measured."""
        for second in range(-demand_traces.WARM_UP_S, demand_traces.LENGTH_S):
            if second == 0:
                self.outcome = Outcome()
            self._fail(second)
            self._serve(second)
            self._plan(second)
            self._carry_out()
        for engine in self.engines:
            peak_mb = engine.memory.peak_mb
            self.outcome.overcommitted += peak_mb > engine.declared.memory_mb
        return self.outcome

    def _fail(self, second: int) -> None:
        for engine in self.engines:
            is_lost = self.trace.is_lost(engine.declared.data_centre, second)
            if is_lost and not engine.lost:
                engine.lose()
            engine.lost = is_lost

    def _serve(self, second: int) -> None:
        engines_by_name = collections.defaultdict(list)
        for engine in self.engines:
            engine.backlog = max(0.0, engine.backlog - engine.declared.slots)
            for name in engine.answers_for():
                engines_by_name[name].append(engine)
        arrivals_by_name = {}
        for name, rate in zip(self.names, self.trace.rates(second), strict=True):
            arrivals = _poisson(self.random, rate)
            if arrivals:
                arrivals_by_name[name] = arrivals
                self._admit(engines_by_name.get(name, []), arrivals)
            self._watch_lost(name, name in engines_by_name, second)
        self._count(arrivals_by_name)

    def _admit(self, engines: list[SimulatedEngine], arrivals: int) -> None:
        self.outcome.arrived += arrivals
        for _ in range(arrivals if engines else 0):
            engine = min(engines, key=lambda engine: engine.backlog)
            # What arrives within a second is spread over it: a place's time
            # in this second is not queue yet.
            wait_s = engine.backlog / engine.declared.slots - 1.0
            if wait_s > TARGET_S:
                return
            engine.backlog += demand_traces.SERVICE_S
            self.outcome.attained += 1

    def _watch_lost(self, name: str, resident: bool, second: int) -> None:
        if not resident:
            self.lost_since.setdefault(name, second)
        elif name in self.lost_since:
            self.outcome.restore_s.append(second - self.lost_since.pop(name))

    def _count(self, arrivals_by_name: dict[str, int]) -> None:
        arrivals = list(arrivals_by_name.values())
        held_ms = [round(count * demand_traces.SERVICE_S * 1000) for count in arrivals]
        counts = demand.Counts(list(arrivals_by_name), arrivals, arrivals, held_ms)
        self.averages.add_counts(counts)
        noted = getattr(self.region.policy, "arrived", None)
        for name in arrivals_by_name if noted else ():
            noted(name)

    def _plan(self, second: int) -> None:
        for engine in self.engines:
            if engine.changed:
                engine.changed = False
                self.region.update_holdings(engine.holdings())
        open_endpoints = frozenset(
            engine.declared.name for engine in self.engines if not engine.lost
        )
        began = time.thread_time()
        moves = self.region.plan(float(second), self.averages, open_endpoints)
        self.outcome.planner_s += time.thread_time() - began
        by_name = {engine.declared.name: engine for engine in self.engines}
        for move in moves:
            by_name[move.endpoint].queue.append(move)

    def _carry_out(self) -> None:
        models = set(self.names)
        for engine in self.engines:
            move = engine.begin(self.holdings)
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
            engine.progress(load_mb)


def _holdings(declared: catalogue.Catalogue) -> dict[str, ledger.Holding]:
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


def _poisson(source: random.Random, mean: float) -> int:
    """Return a Poisson number, by the normal law where the mean is large."""
    if mean > 50:
        return max(0, round(source.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = source.random()
    while product > limit:
        count += 1
        product *= source.random()
    return count
