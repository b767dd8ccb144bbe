"""Compares routing policies under the same load with the same engines.

For each policy and each number of engines, ``python -m mothworks_fakes.experiment``
starts the engines and the nodes, sends the same schedule and prints one table.
"""

import pathlib
import tempfile

import attrs
import defopt
import tabulate

from mothworks import catalogue
from mothworks_fakes import (
    arrivals,
    engine,
    history,
    load,
    processes,
    report,
    testbed,
)

MODEL = "menu"
URGENT_KEY = "urgent-key"
BULK_KEY = "bulk-key"
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
REGION = "region-1"


@attrs.frozen
class Plan:
    """The parameters of one run.

    :param policy: the routing policy.
    :param engines: number of engines, which all serve the model.
    :param nodes: number of nodes.
    :param urgent_per_s: urgent requests per second outside the burst.
    :param bulk_per_s: bulk requests per second.
    :param burst: factor of the urgent rate in the burst.
    :param seconds: duration of the schedule, seconds.
    :param tokens: tokens that each urgent request generates.
    :param bulk_tokens: tokens that each bulk request generates.
    :param batch: the engines' maximum batch size.
    :param seed: seed of the schedule.
    """

    policy: str
    engines: int
    nodes: int
    urgent_per_s: float
    bulk_per_s: float
    burst: float
    seconds: float
    tokens: int
    bulk_tokens: int
    batch: int
    seed: int

    def traffics(self) -> tuple[arrivals.Traffic, ...]:
        """Return the classes of requests of the run."""
        tenth = self.seconds / 10
        burst = arrivals.Burst(4 * tenth, tenth, self.burst)
        urgent = arrivals.Traffic(
            "urgent", URGENT_KEY, MODEL, self.urgent_per_s, self.tokens, bursts=(burst,)
        )
        bulk = arrivals.Traffic(
            "bulk", BULK_KEY, MODEL, self.bulk_per_s, self.bulk_tokens
        )
        return (urgent, bulk) if self.bulk_per_s else (urgent,)


@attrs.frozen
class Outcome:
    """The result of one run.

    :param plan: the parameters of the run.
    :param records: the callers' observations.
    :param violations: violated invariants.
    """

    plan: Plan
    records: list[history.Record]
    violations: list[str]


def run_plan(plan: Plan, folder: pathlib.Path) -> Outcome:
    """Run one plan on a new deployment.

    :param plan: the parameters of the run.
    :param folder: folder of the nodes' settings and logs.
    """
    bed = testbed.Testbed(folder)
    try:
        speed = engine.Speed(step_s=0.02, step_s_per_request=0.001, batch=plan.batch)
        endpoints = tuple(
            _add_engine(bed, plan, index, speed) for index in range(plan.engines)
        )
        for index in range(plan.nodes):
            data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
            bed.add_node(f"vm-{index}", data_centre, REGION, routing=plan.policy)
        _apply(bed, endpoints)
        sender = load.Load([node.url for node in bed.node_by_name.values()], plan.seed)
        sender.run(plan.traffics(), plan.seconds)
        engines = bed.fake_by_endpoint.values()
        runs = [run for item in engines for run in item.runs]
        violations = [
            *history.check_answers(sender.records),
            *history.check_refusals(sender.records, runs),
            *history.check_memory(engines),
        ]
        return Outcome(plan, sender.records, violations)
    finally:
        bed.stop()


def run(
    *,
    policy: list[str],
    engines: list[int],
    nodes: int = 6,
    urgent: float = 6.0,
    bulk: float = 6.0,
    burst: float = 10.0,
    seconds: float = 30.0,
    tokens: int = 16,
    bulk_tokens: int = 32,
    batch: int = 8,
    seed: int = 1,
    plot: pathlib.Path | None = None,
) -> None:
    """Run every policy with every number of engines and print one table.

    :param policy: routing policies.
    :param engines: numbers of engines.
    :param nodes: number of nodes.
    :param urgent: urgent requests per second outside the burst.
    :param bulk: bulk requests per second.
    :param burst: factor of the urgent rate in the burst.
    :param seconds: duration of the schedule, seconds.
    :param tokens: tokens of an urgent request.
    :param bulk_tokens: tokens of a bulk request.
    :param batch: the engines' maximum batch size.
    :param seed: seed of the schedule.
    :param plot: output file of a plot of the urgent requests' time to first token.
    """
    outcomes = []
    for engine_count in engines:
        for name in policy:
            plan = Plan(
                name,
                engine_count,
                nodes,
                urgent,
                bulk,
                burst,
                seconds,
                tokens,
                bulk_tokens,
                batch,
                seed,
            )
            with tempfile.TemporaryDirectory() as folder:
                outcome = run_plan(plan, pathlib.Path(folder))
            outcomes.append(outcome)
            print(tabulate.tabulate(_rows(outcome), headers="keys"), flush=True)
            for violation in outcome.violations[:10]:
                print("VIOLATION", violation, flush=True)
    if plot is not None:
        records_by_label = {
            f"{item.plan.policy}, {item.plan.engines} engines": [
                record for record in item.records if record.traffic == "urgent"
            ]
            for item in outcomes
        }
        report.plot_first_tokens(records_by_label, plot)


def _add_engine(
    bed: testbed.Testbed, plan: Plan, index: int, speed: engine.Speed
) -> catalogue.Endpoint:
    declared = testbed.engine_endpoint(
        f"engine-{index}",
        DATA_CENTRES[index % len(DATA_CENTRES)],
        slots=plan.batch,
    )
    started = bed.add_engine(declared, speed)
    bed.fake_by_endpoint[declared.name].place(MODEL, 16_000)
    return started


def _apply(bed: testbed.Testbed, endpoints: tuple[catalogue.Endpoint, ...]) -> None:
    callers = (
        catalogue.Caller(
            "urgent", testbed.key_hash(URGENT_KEY), catalogue.Urgency.URGENT
        ),
        catalogue.Caller("bulk", testbed.key_hash(BULK_KEY), catalogue.Urgency.BULK),
    )
    declared = catalogue.Catalogue(
        data_centres=tuple(catalogue.DataCentre(name, REGION) for name in DATA_CENTRES),
        models=(catalogue.Model(MODEL, 16_000, replicas=len(endpoints)),),
        callers=callers,
        endpoints=endpoints,
    )
    bed.apply(declared)
    processes.wait_until(lambda: bed.all_open(endpoint.name for endpoint in endpoints))


def _rows(outcome: Outcome) -> list[dict]:
    return [
        {
            "policy": outcome.plan.policy,
            "engines": outcome.plan.engines,
            "traffic": item.traffic,
            "sent": item.sent,
            "complete": item.complete,
            "refused": item.refused,
            "attainment": round(item.attainment, 4),
            "in target/accelerator": round(item.in_target / outcome.plan.engines, 1),
            "first p50 ms": round(item.first_token_p50_s * 1000, 1),
            "first p99 ms": round(item.first_token_p99_s * 1000, 1),
            "between p95 ms": round(item.between_p95_s * 1000, 1),
        }
        for item in report.summarise(outcome.records)
    ]


if __name__ == "__main__":
    defopt.run(run)
