"""Relocations: moves of models that operators ordered.

A relocation loads the model, and the adapters resident with it at the source,
on the target. The source unloads them only once all are resident on the
target, so that a replica is always available. If the planner fails in between,
two replicas remain, and the next planner keeps those that demand requires.
"""

import attrs
import result

from mothworks import endpoints, fleet, move_messages

#: Time after which an unfinished relocation is abandoned, seconds.
RELOCATION_TIMEOUT_S = 600.0


@attrs.define
class Relocation:
    """A move of one model between two endpoints.

    :param model: the model.
    :param source: the endpoint that unloads it.
    :param target: the endpoint that loads it.
    :param why: the reason, for the audit trail.
    :param until: monotonic time at which it is abandoned, seconds.
    """

    model: str
    source: str
    target: str
    why: str
    until: float


class Relocations:
    """The unfinished relocations of one region."""

    def __init__(self):
        self.by_model: dict[str, Relocation] = {}

    def accept(
        self, planned: fleet.Fleet, relocation: Relocation
    ) -> result.Result[None, str]:
        """Start a relocation if it is possible.

        :param planned: the region's fleet.
        :param relocation: the relocation.
        :returns: nothing, or the reason for rejecting it, with its numbers.
        """
        problem = _problem(planned, relocation)
        if problem is None and relocation.model in self.by_model:
            problem = f"{relocation.model!r} is being moved already"
        if problem is not None:
            return result.Err(problem)
        self.by_model[relocation.model] = relocation
        return result.Ok(None)

    def plan(
        self, planned: fleet.Fleet, now: float, loads: int
    ) -> list[move_messages.Move]:
        """Return the moves to start now, applied to the fleet already.

        :param planned: the region's fleet.
        :param now: monotonic time, seconds.
        :param loads: maximum loads.
        """
        moves = []
        for relocation in list(self.by_model.values()):
            next_moves = _next_moves(planned, relocation, loads)
            moves += next_moves
            loads -= sum(move.kind == endpoints.OrderKind.LOAD for move in next_moves)
            if now > relocation.until or _is_done(planned, relocation):
                del self.by_model[relocation.model]
        return moves


def _problem(planned: fleet.Fleet, relocation: Relocation) -> str | None:
    model_demand = planned.demand_by_name.get(relocation.model)
    source = planned.view_by_name.get(relocation.source)
    target = planned.view_by_name.get(relocation.target)
    if model_demand is None or model_demand.spec.base:
        return f"no model is named {relocation.model!r}"
    if source is None or target is None:
        missing = relocation.source if source is None else relocation.target
        return f"the planner has no report of an endpoint {missing!r} in its region"
    key = model_demand.spec.key
    if key not in source.memory_by_key or key in source.unloading | source.loading:
        return f"{relocation.model!r} is not resident on {relocation.source!r}"
    if key in target.memory_by_key:
        return f"{relocation.target!r} has {relocation.model!r} already"
    if not target.open:
        return f"{relocation.target!r} takes no new work"
    needed_mb = sum(spec.memory_mb for spec in _specs(planned, relocation))
    if target.free_mb < needed_mb:
        return (
            f"{relocation.target!r} has {target.free_mb} MB free; {relocation.model!r} "
            f"and its adapters there need {needed_mb} MB"
        )
    return None


def _specs(planned: fleet.Fleet, relocation: Relocation) -> list[fleet.ModelSpec]:
    """Return what the target must load, the model first."""
    source = planned.view_by_name[relocation.source]
    adapters = planned.adapters_by_model.get(relocation.model, set())
    names = [relocation.model, *sorted(adapters)]
    specs = [planned.demand_by_name[name].spec for name in names]
    return [specs[0], *(spec for spec in specs[1:] if spec.key in source.memory_by_key)]


def _next_moves(
    planned: fleet.Fleet, relocation: Relocation, loads: int
) -> list[move_messages.Move]:
    source = planned.view_by_name.get(relocation.source)
    target = planned.view_by_name.get(relocation.target)
    if (
        source is None
        or target is None
        or relocation.model not in planned.demand_by_name
    ):
        return []
    specs = _specs(planned, relocation)
    for spec in specs:
        if spec.key in target.loading:
            return []
        if spec.key not in target.memory_by_key:
            if loads <= 0 or target.free_mb < spec.memory_mb:
                return []
            planned.load(target, spec)
            return [_move(target, endpoints.OrderKind.LOAD, spec, relocation)]
    moves = []
    for spec in reversed(specs):
        if spec.key in source.memory_by_key and spec.key not in source.unloading:
            planned.unload(source, spec.key)
            moves.append(_move(source, endpoints.OrderKind.UNLOAD, spec, relocation))
    return moves


def _move(
    view: fleet.EndpointView,
    kind: endpoints.OrderKind,
    spec: fleet.ModelSpec,
    relocation: Relocation,
) -> move_messages.Move:
    why = f"move from {relocation.source} to {relocation.target}: {relocation.why}"
    return move_messages.Move(view.name, kind, spec.name, spec.version, why)


def _is_done(planned: fleet.Fleet, relocation: Relocation) -> bool:
    model_demand = planned.demand_by_name.get(relocation.model)
    source = planned.view_by_name.get(relocation.source)
    if model_demand is None or source is None:
        return True
    return model_demand.spec.key not in source.memory_by_key
