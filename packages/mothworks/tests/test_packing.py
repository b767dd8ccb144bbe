"""The packing policy: which moves it plans, in which order, and which it does not."""

import attrs
import hypothesis
from hypothesis import strategies

from mothworks import catalogue, endpoints, fleet, packing

LOAD = endpoints.OrderKind.LOAD
UNLOAD = endpoints.OrderKind.UNLOAD


def make_spec(name="menu", memory_mb=40, **changes):
    return fleet.ModelSpec(name, "1", memory_mb, **changes)


def make_fleet(specs, memories=(100, 100, 100), batch_slots=10.0):
    planned = fleet.Fleet()
    planned.declare(specs)
    for number, memory_mb in enumerate(memories):
        data_centre = f"dc-{number % 2}"
        view = fleet.EndpointView(
            f"engine-{number}", data_centre, memory_mb, batch_slots
        )
        view.free_mb = memory_mb
        planned.add(view)
    return planned


def policy(**weights):
    fields = {"attainment": 1.0, "moves": 1.5, **weights}
    return packing.Packing(catalogue.Weights(**fields))


def finish_moves(planned):
    """Finish all moves in progress."""
    for view in planned.view_by_name.values():
        view.loading.clear()
        for key in list(view.unloading):
            del view.memory_by_key[key]
        view.unloading.clear()
        planned.refresh(view)


def run_passes(planned, packing_policy, passes=20):
    moves = []
    for _ in range(passes):
        moves += packing_policy.plan(planned, 100)
        finish_moves(planned)
    return moves


def kinds_and_names(moves):
    return [(move.kind, move.name) for move in moves]


def ready_endpoints(planned, name):
    return {view.name for view in planned.ready_replicas(name)}


def test_models_resident_nowhere_are_loaded_first():
    """A data centre is lost while another model's demand grows. If only one load
    is allowed, the model without any replica must get it.
    """
    planned = make_fleet([make_spec("busy"), make_spec("lost")])
    packing_policy = policy(moves=0.1)
    planned.load(planned.view_by_name["engine-0"], make_spec("busy"))
    finish_moves(planned)
    planned.set_demand("busy", 50.0, 1.0)
    assert kinds_and_names(packing_policy.plan(planned, 1)) == [(LOAD, "lost")]


def test_models_get_two_data_centres_and_then_no_moves():
    planned = make_fleet([make_spec("menu"), make_spec("tickets")])
    run_passes(planned, policy())
    for name in ("menu", "tickets"):
        centres = {view.data_centre for view in planned.ready_replicas(name)}
        assert centres == {"dc-0", "dc-1"}
    assert run_passes(planned, policy()) == []


def test_models_without_demand_are_spread_over_all_endpoints():
    """A first catalogue with instant loads: each load finds the first endpoint
    idle again. If all models were loaded there, the first requests would queue
    on few endpoints while others stay empty.
    """
    planned = make_fleet([make_spec(f"model-{number}", 20) for number in range(3)])
    packing_policy = policy()
    for _ in range(3):
        packing_policy.plan(planned, 1)
        finish_moves(planned)
    assert all(len(view.names) == 1 for view in planned.view_by_name.values())


def test_a_replica_is_loaded_only_if_it_is_worth_its_moves():
    planned = make_fleet([make_spec("menu", 90)])
    run_passes(planned, policy())
    assert len(ready_endpoints(planned, "menu")) == 2
    planned.set_demand("menu", 21.0, 1.0)
    assert run_passes(planned, policy(moves=5.0)) == []
    planned.set_demand("menu", 26.0, 1.0)
    assert kinds_and_names(run_passes(planned, policy(moves=5.0))) == [(LOAD, "menu")]


def test_a_deployment_that_weighs_only_moves_keeps_its_models_resident():
    planned = make_fleet([make_spec("menu", 90)])
    planned.set_demand("menu", 40.0, 1.0)
    run_passes(planned, policy(attainment=0.0))
    assert len(ready_endpoints(planned, "menu")) == 2


def test_temporary_demand_causes_no_moves():
    """Demand rises and falls every hour. Unloading in each lull would cause a
    load at each rise.
    """
    planned = make_fleet([make_spec("menu", 90)])
    packing_policy = policy()
    planned.set_demand("menu", 40.0, 1.0)
    run_passes(planned, packing_policy)
    for batch_slots in (0.0, 40.0, 0.0, 40.0):
        planned.set_demand("menu", batch_slots, 1.0)
        assert run_passes(planned, packing_policy) == []


def test_a_last_replica_is_never_unloaded_for_demand():
    planned = make_fleet(
        [make_spec("quiet", 60), make_spec("busy", 60)], memories=(100, 100)
    )
    packing_policy = policy()
    run_passes(planned, packing_policy)
    planned.set_demand("busy", 100.0, 1.0)
    run_passes(planned, packing_policy)
    assert ready_endpoints(planned, "quiet")


def test_a_needed_replica_is_copied_before_its_eviction():
    """A large model is resident nowhere, and no endpoint has enough free memory
    although the fleet has. A small model has to move to another endpoint; its
    callers would be refused if it were unloaded before its copy is ready.
    """
    specs = [make_spec("a", 50), make_spec("b", 50), make_spec("large", 90)]
    planned = make_fleet(specs, memories=(100, 100))
    planned.load(planned.view_by_name["engine-0"], specs[0])
    planned.load(planned.view_by_name["engine-1"], specs[1])
    finish_moves(planned)
    packing_policy = policy()
    first = packing_policy.plan(planned, 10)
    assert [move.kind for move in first] == [LOAD]
    finish_moves(planned)
    run_passes(planned, packing_policy)
    assert all(ready_endpoints(planned, item.name) for item in specs)


def test_a_new_version_is_ready_before_the_old_one_is_unloaded():
    """An operator updates a model's version. If the old version were unloaded
    first, no replica would serve until the new one is loaded.
    """
    planned = make_fleet([make_spec("menu")], memories=(100,))
    packing_policy = policy()
    run_passes(planned, packing_policy)
    planned.declare([attrs.evolve(make_spec("menu"), version="2")])
    assert kinds_and_names(packing_policy.plan(planned, 10)) == [(LOAD, "menu")]
    assert packing_policy.plan(planned, 10) == []
    finish_moves(planned)
    moves = packing_policy.plan(planned, 10)
    assert [(move.kind, move.version) for move in moves] == [(UNLOAD, "1")]


def test_undeclared_models_are_unloaded():
    planned = make_fleet([make_spec("menu"), make_spec("tickets")])
    packing_policy = policy()
    run_passes(planned, packing_policy)
    planned.declare([make_spec("menu")])
    assert {move.name for move in run_passes(planned, packing_policy)} == {"tickets"}


def test_replicas_on_a_closed_endpoint_are_replaced():
    planned = make_fleet([make_spec("menu")], memories=(100, 100, 100))
    packing_policy = policy()
    run_passes(planned, packing_policy)
    for name in sorted(ready_endpoints(planned, "menu")):
        view = planned.view_by_name[name]
        view.open = False
        planned.refresh(view)
    assert kinds_and_names(packing_policy.plan(planned, 1)) == [(LOAD, "menu")]


def test_adapters_are_loaded_with_their_model():
    specs = [
        make_spec("menu", adapter_reserve_mb=5),
        make_spec("menu-es", 5, base="menu"),
    ]
    planned = make_fleet(specs)
    run_passes(planned, policy())
    assert ready_endpoints(planned, "menu-es") == ready_endpoints(planned, "menu")


def test_an_adapters_demand_uses_its_models_slots_once():
    specs = [
        make_spec("menu", adapter_reserve_mb=5),
        make_spec("menu-es", 5, base="menu"),
    ]
    planned = make_fleet(specs, memories=(100,))
    run_passes(planned, policy())
    planned.set_demand("menu", 4.0, 1.0)
    planned.set_demand("menu-es", 4.0, 1.0)
    assert planned.view_by_name["engine-0"].used_slots == 4.0


def test_loads_respect_the_weight_store():
    planned = make_fleet([make_spec(f"model-{n}", 10) for n in range(9)])
    assert len(policy().plan(planned, 2)) == 2


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True, database=None)
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(5, 60), min_size=1, max_size=12),
    memories=strategies.lists(strategies.integers(60, 150), min_size=1, max_size=5),
    demands=strategies.lists(strategies.integers(0, 40), min_size=12, max_size=12),
)
def test_plans_never_overcommit_memory_and_converge(sizes, memories, demands):
    specs = [make_spec(f"model-{number}", size) for number, size in enumerate(sizes)]
    planned = make_fleet(specs, tuple(memories))
    packing_policy = policy()
    for number, _ in enumerate(sizes):
        planned.set_demand(f"model-{number}", float(demands[number]), 1.0)
    for _ in range(60):
        moves = packing_policy.plan(planned, 4)
        for view in planned.view_by_name.values():
            staying = view.memory_by_key.keys() - view.unloading
            assert sum(view.memory_by_key[key] for key in staying) <= view.memory_mb
            assert view.used_slots >= -1e-6
        finish_moves(planned)
        if not moves:
            break
    assert not moves
