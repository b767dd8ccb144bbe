"""Compares routing policies under the same load on the same engines.

``python -m mothworks_fakes.experiment`` starts engines, and for each policy
the nodes as processes, sends the same schedule and prints one table.
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
    """One run.

    :param policy: the routing policy.
    :param engines: engines that serve the model.
    :param nodes: nodes in front of them.
    :param urgent_per_s: urgent requests a second outside the burst.
    :param bulk_per_s: bulk requests a second.
    :param burst: factor of the urgent rate in the burst.
    :param seconds: length of the schedule.
    :param tokens: tokens that each urgent request generates.
    :param bulk_tokens: tokens that each bulk request generates.
    :param batch: the engines' batch.
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
        """Return the kinds of requests of the run."""
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
    """What came of one run.

    :param plan: the run.
    :param records: what callers saw.
    :param violations: broken promises.
    """

    plan: Plan
    records: list[history.Record]
    violations: list[str]


def perform(plan: Plan, folder: pathlib.Path) -> Outcome:
    """Run one plan from start to end.

    :param plan: the run.
    :param folder: where settings and logs of the nodes go.
    """
    bed = testbed.Testbed(folder)
    try:
        speed = engine.Speed(step_s=0.02, step_s_per_request=0.001, batch=plan.batch)
        endpoints = tuple(
            _add_engine(bed, plan, place, speed) for place in range(plan.engines)
        )
        for place in range(plan.nodes):
            data_centre = DATA_CENTRES[place % len(DATA_CENTRES)]
            bed.add_node(f"vm-{place}", data_centre, REGION, routing=plan.policy)
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
    :param nodes: nodes in front of them.
    :param urgent: urgent requests a second outside the burst.
    :param bulk: bulk requests a second.
    :param burst: factor of the urgent rate in the burst.
    :param seconds: length of the schedule.
    :param tokens: tokens of an urgent request.
    :param bulk_tokens: tokens of a bulk request.
    :param batch: the engines' batch.
    :param seed: seed of the schedule.
    :param plot: file for a picture of the urgent requests' first tokens.
    """
    outcomes = []
    for count in engines:
        for name in policy:
            plan = Plan(
                name,
                count,
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
                outcome = perform(plan, pathlib.Path(folder))
            outcomes.append(outcome)
            print(tabulate.tabulate(_rows(outcome), headers="keys"), flush=True)
            for violation in outcome.violations[:10]:
                print("VIOLATION", violation, flush=True)
    if plot is not None:
        labelled = {
            f"{item.plan.policy}, {item.plan.engines} engines": [
                record for record in item.records if record.traffic == "urgent"
            ]
            for item in outcomes
        }
        report.plot_first_tokens(labelled, plot)


def _add_engine(
    bed: testbed.Testbed, plan: Plan, place: int, speed: engine.Speed
) -> catalogue.Endpoint:
    declared = testbed.engine_endpoint(
        f"engine-{place}",
        DATA_CENTRES[place % len(DATA_CENTRES)],
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
