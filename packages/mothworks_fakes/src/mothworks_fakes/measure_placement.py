"""Measures placement: ``python -m mothworks_fakes.measure_placement``.

Simulates each policy on each deployment and trace, and prints attainment per
accelerator, moves and restore times; then prints the processor time of a
planning pass for growing numbers of models and endpoints.
"""

import datetime
import pathlib
import time

import attrs
import defopt
import orjson

from mothworks import (
    builtin,  # noqa: F401
    catalogue,
    demand,
    move_messages,
    packing,
    region_plan,
)
from mothworks_fakes import (
    demand_traces,
    placement_baselines,  # noqa: F401
    placement_trial,
)

POLICIES = ("packing", "static", "lru", "recomputed")
SIZE_BY_NAME = {
    size.name: size
    for size in (demand_traces.SIAMCREST, demand_traces.BANDEJA, demand_traces.TENFOLD)
}
#: Numbers of models and endpoints for which planning passes are timed.
PASS_SIZES = ((30, 9), (180, 1175), (360, 2350), (720, 4700))


@attrs.frozen
class Row:
    """Totals of one policy over all traces of a deployment.

    :param policy: the policy.
    :param trace: the trace, or ``all``.
    :param attainment: fraction of requests that met their first-token target.
    :param attained_per_accelerator: requests that met their target, per accelerator.
    :param moves: model loads and unloads.
    :param adapter_loads: adapter loads.
    :param restores: times that a model became resident again after it was on no engine.
    :param longest_restore_s: the longest of these restores, seconds.
    :param planner_s: processor time of all planning passes, seconds.
    :param overcommitted: engines whose peak memory use exceeded their memory.
    """

    policy: str
    trace: str
    attainment: float
    attained_per_accelerator: float
    moves: int
    adapter_loads: int
    restores: int
    longest_restore_s: float
    planner_s: float
    overcommitted: int


def main(
    *,
    size: list[str] = ("siamcrest", "bandeja"),
    seeds: int = 2,
    load: float = 0.3,
    growth: bool = True,
    slopes: pathlib.Path | None = None,
) -> None:
    """Measure placement.

    :param size: deployments: siamcrest, bandeja, bandeja-x10.
    :param seeds: number of traces of each shape.
    :param load: fraction of all batch slots that the base demand occupies.
    :param growth: also time planning passes for growing deployments.
    :param slopes: file for the planner's figures as JSON.
    """
    for name in size:
        measure_size(SIZE_BY_NAME[name], seeds, load)
    if growth:
        figures = [measure_passes(*counts) for counts in PASS_SIZES]
        if slopes is not None:
            rows = [row for group in figures for row in group]
            slopes.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n")


def measure_size(size: demand_traces.Size, seeds: int, load: float) -> None:
    """Run every policy over every trace of a deployment and print the totals.

    :param size: the deployment.
    :param seeds: number of traces of each shape.
    :param load: see :func:`main`.
    """
    print(
        f"\n{size.name}: {size.engines} engines, {size.models} models, "
        f"load {load:g}, {seeds} seeds"
    )
    print(
        f"{'policy':12}{'trace':18}{'in target':>10}{'per accel.':>11}{'moves':>7}"
        f"{'adapters':>9}{'restored':>9}{'longest s':>10}{'cpu s':>7}{'over':>5}"
    )
    for policy in POLICIES:
        outcomes = []
        for shape in demand_traces.Shape:
            runs = [
                placement_trial.Trial(
                    demand_traces.Trace(size, shape, seed, load), policy
                ).run()
                for seed in range(seeds)
            ]
            outcomes += runs
            print_row(total(policy, shape, size, runs))
        print_row(total(policy, "all", size, outcomes))


def total(
    policy: str,
    trace: str,
    size: demand_traces.Size,
    outcomes: list[placement_trial.Outcome],
) -> Row:
    """Return the totals of several runs.

    :param policy: the policy.
    :param trace: the trace.
    :param size: the deployment.
    :param outcomes: outcomes of the runs.
    """
    accelerators = size.engines * demand_traces.ACCELERATORS
    attained = sum(item.attained for item in outcomes)
    restore_s = [seconds for item in outcomes for seconds in item.restore_s]
    return Row(
        policy,
        trace,
        attained / sum(item.arrived for item in outcomes),
        attained / accelerators,
        sum(item.moves for item in outcomes),
        sum(item.adapter_loads for item in outcomes),
        len(restore_s),
        max(restore_s, default=0.0),
        sum(item.planner_s for item in outcomes),
        sum(item.overcommitted for item in outcomes),
    )


def print_row(item: Row) -> None:
    """Print one row of the table.

    :param item: the row.
    """
    print(
        f"{item.policy:12}{item.trace:18}{item.attainment:10.4f}"
        f"{item.attained_per_accelerator:11.1f}{item.moves:7}{item.adapter_loads:9}"
        f"{item.restores:9}{item.longest_restore_s:10.0f}{item.planner_s:7.2f}"
        f"{item.overcommitted:5}",
        flush=True,
    )


def measure_passes(models: int, engines: int) -> list[dict]:
    """Time the first planning pass on an empty fleet, and later passes.

    :param models: number of models.
    :param engines: number of endpoints.
    :returns: figures for a slope file.
    """
    weights = catalogue.Weights(1.0, 0.5, 1e6, 1_000_000)
    size = demand_traces.Size("growth", engines, 5, models, models * 3, weights)
    declared = demand_traces.deployment(size, 0)
    trace = demand_traces.Trace(size, demand_traces.Shape.TENFOLD, 0)
    region = region_plan.RegionPlan(
        "region", -region_plan.MIN_REPORT_WAIT_S, packing.Packing(weights)
    )
    region.apply_catalogue(1, catalogue.Index(declared), region.started_at)
    names = [item.name for item in declared.models]
    open_endpoints = frozenset(item.name for item in declared.endpoints)
    for endpoint in declared.endpoints:
        report = move_messages.Holdings(
            endpoint.name, 1, (), (), (), endpoint.memory_mb
        )
        region.update_holdings(report)
    demand_averages = demand.DemandAverages()
    rates = list(trace.rates(-1.0))
    pass_s = []
    loads = 0
    for number in range(12):
        if number == 6:
            rates = list(trace.rates(400.0))
        arrivals = [round(rate) for rate in rates]
        held_ms = [round(count * 2000) for count in arrivals]
        demand_averages.add_counts(demand.Counts(names, arrivals, arrivals, held_ms))
        started_s = time.thread_time()
        moves = region.plan(float(number), demand_averages, open_endpoints)
        pass_s.append(time.thread_time() - started_s)
        loads += len(moves)
        for move in moves:
            region.outstanding[move.endpoint][move] = 1e9
    later_s = sorted(pass_s[1:])[len(pass_s) // 2]
    print(
        f"{models} models, {engines} endpoints: first pass {pass_s[0]:.3f} s, "
        f"later {later_s:.3f} s (longest {max(pass_s[1:]):.3f} s), {loads} moves"
    )
    command = "python -m mothworks_fakes.measure_placement"
    date = datetime.date.today().isoformat()
    note = f"{models} models, {engines} endpoints, processor time"
    return [
        {
            "name": f"planner.{kind}_pass.{models}x{engines}",
            "value": round(value, 4),
            "unit": "s",
            "command": command,
            "date": date,
            "note": note,
        }
        for kind, value in (("first", pass_s[0]), ("later", later_s))
    ]


if __name__ == "__main__":
    defopt.run(main)
