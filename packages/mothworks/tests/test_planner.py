"""The planner: demand, the weight store's limits, lost moves, two planners."""

import attrs

import builders
import order_execution_world
from mothworks import catalogue, demand, endpoints, move_messages, packing, region_plan

LOAD = endpoints.OrderKind.LOAD


def make_catalogue(**changes):
    fields = {
        "services": (),
        "models": tuple(builders.model(f"model-{n}") for n in range(6)),
        "endpoints": tuple(
            builders.endpoint(f"engine-{n}", memory_mb=100_000) for n in range(6)
        ),
        "weights": catalogue.Weights(loads_per_s=2.0, parallel_loads=3),
    }
    return builders.make_catalogue(**{**fields, **changes})


def holdings(endpoint, fence=1, names=(), **changes):
    versions = ["1"] * len(names)
    reserved_mb = [20_000] * len(names)
    free_mb = 100_000 - sum(reserved_mb)
    default = move_messages.Holdings(
        endpoint, fence, names, versions, reserved_mb, free_mb
    )
    return attrs.evolve(default, **changes)


class RegionPlanning:
    """A region's plan with time controlled by the test."""

    def __init__(self, **changes):
        self.declared = make_catalogue(**changes)
        self.open = frozenset(item.name for item in self.declared.endpoints)
        self.region = region_plan.RegionPlan(
            "region-1", 0.0, packing.Packing(self.declared.weights)
        )
        self.region.apply_catalogue(1, catalogue.Index(self.declared), 0.0)
        self.averages = demand.DemandAverages()
        self.now = region_plan.MIN_REPORT_WAIT_S

    def report(self, *reports):
        for report in reports:
            self.region.update_holdings(report)

    def report_empty(self):
        self.report(*(holdings(name) for name in sorted(self.open)))

    def plan(self, seconds=1.0):
        self.now += seconds
        return self.region.plan(self.now, self.averages, self.open)


def test_a_new_planner_waits_for_reports():
    """A planner that starts before owners have reported would treat every
    endpoint as empty and load models that are resident already.
    """
    planning = RegionPlanning()
    planning.now = 0.0
    assert planning.plan() == []
    for number in range(5):
        planning.report(holdings(f"engine-{number}", names=[f"model-{number}"]))
    assert planning.plan(region_plan.MIN_REPORT_WAIT_S) == []
    planning.report(holdings("engine-5", names=["model-5"]))
    moves = planning.plan()
    assert all(move.why != "resident nowhere" for move in moves)


def test_a_first_catalogue_is_planned_once_all_owners_reported():
    """The first catalogue is applied long after nodes started. The planner gets
    reports of its own endpoints first; a plan at that time would load every
    model there while the others stay empty.
    """
    planning = RegionPlanning()
    planning.now = 1000.0
    planning.region.apply_catalogue(
        2, catalogue.Index(builders.make_catalogue()), 990.0
    )
    planning.region.apply_catalogue(3, catalogue.Index(planning.declared), 1000.0)
    planning.report(holdings("engine-0"))
    assert planning.plan() == []
    planning.report_empty()
    assert planning.plan()


def test_an_endpoint_without_reports_does_not_block_planning():
    planning = RegionPlanning()
    planning.report(holdings("engine-0"))
    assert planning.plan(region_plan.MAX_REPORT_WAIT_S)


def test_loads_respect_the_weight_stores_rate_and_concurrency():
    planning = RegionPlanning()
    planning.report_empty()
    first = planning.plan()
    second = planning.plan()
    assert [len(first), len(second)] == [2, 1]
    assert planning.plan(4.0) == []


def test_a_lost_move_is_planned_again():
    """The message with a move is lost. The owner reports no unfinished move; the
    planner plans again after a timeout, and does not repeat the move earlier.
    """
    planning = RegionPlanning(models=(builders.model("model-0"),))
    planning.report_empty()
    (lost_move,) = planning.plan()
    assert planning.plan() == []
    replanned = planning.plan(region_plan.IDLE_MOVE_TIMEOUT_S + 1)
    assert [(move.kind, move.name) for move in replanned] == [(LOAD, lost_move.name)]


def test_a_move_in_progress_is_not_planned_again():
    planning = RegionPlanning(models=(builders.model("model-0"),))
    planning.report_empty()
    (move,) = planning.plan()
    pending = holdings(
        move.endpoint,
        fence=2,
        free_mb=80_000,
        pending_kind="load",
        pending_name="model-0",
        pending_version="1",
    )
    planning.report(pending)
    assert planning.plan(region_plan.IDLE_MOVE_TIMEOUT_S + 60) == []


def test_an_older_report_is_ignored():
    planning = RegionPlanning(models=(builders.model("model-0"),))
    planning.report(holdings("engine-0", fence=5, names=["model-0"]))
    planning.report(holdings("engine-0", fence=4))
    assert planning.region.holdings_by_endpoint["engine-0"].fence == 5


def test_demand_rises_quickly_and_falls_slowly():
    demand_averages = demand.DemandAverages()
    for _ in range(30):
        demand_averages.add_counts(demand.Counts(["menu"], [10], [10], [5000]))
        demand_averages.update(1.0)
    averages = demand_averages.averages_by_name["menu"]
    assert averages.rate > 9.0
    assert abs(averages.service_s - 0.5) < 0.1
    for _ in range(60):
        demand_averages.update(1.0)
    assert 0.1 < averages.rate < 2.0
    for _ in range(5000):
        demand_averages.update(1.0)
    assert demand_averages.averages_by_name == {}


def test_requests_without_an_endpoint_count_as_demand():
    demand_averages = demand.DemandAverages()
    demand_averages.add_counts(demand.Counts(["menu"], [20], [0], [0]))
    demand_averages.update(1.0)
    assert demand_averages.averages_by_name["menu"].batch_slots > 0


def test_two_planners_cannot_overcommit():
    """In a partition two planners each send the same endpoint a load. Each load
    fits alone, but not both together.
    """
    world = order_execution_world.World(fencing=False)
    first, second = world.reconciled_owner(), world.reconciled_owner()
    menu, tickets = (
        order_execution_world.holding("menu", 60),
        order_execution_world.holding("tickets", 60),
    )
    assert first.write_intent(endpoints.OrderKind.LOAD, menu).is_ok()
    assert second.write_intent(endpoints.OrderKind.LOAD, tickets).is_err()
    order_execution_world.resolve(first, world)
    second.read_ledger()
    assert second.write_intent(endpoints.OrderKind.LOAD, tickets).is_err()
    assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB
