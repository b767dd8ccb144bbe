"""The packing policy: which moves it plans, in which order, and which it does not."""

import attrs
import hypothesis
from hypothesis import strategies

from mothworks import catalogue, endpoints, fleet, packing

LOAD = endpoints.OrderKind.LOAD
UNLOAD = endpoints.OrderKind.UNLOAD


def need(name="menu", memory_mb=40, **changes):
    return fleet.Need(name, "1", memory_mb, **changes)


def make_fleet(needs, memories=(100, 100, 100), batch_slots=10.0):
    planned = fleet.Fleet()
    planned.declare(needs)
    for number, memory_mb in enumerate(memories):
        data_centre = f"dc-{number % 2}"
        site = fleet.Site(f"engine-{number}", data_centre, memory_mb, batch_slots)
        site.free_mb = memory_mb
        planned.add(site)
    return planned


def policy(**weights):
    fields = {"attainment": 1.0, "moves": 1.5, **weights}
    return packing.Packing(catalogue.Weights(**fields))


def finish_moves(planned):
    """Finish all moves in progress."""
    for site in planned.site_by_name.values():
        site.loading.clear()
        for key in list(site.leaving):
            del site.memory_by_key[key]
        site.leaving.clear()
        planned.refresh(site)


def run_passes(planned, packing_policy, passes=20):
    moves = []
    for _ in range(passes):
        moves += packing_policy.plan(planned, 100)
        finish_moves(planned)
    return moves


def kinds_and_names(moves):
    return [(move.kind, move.name) for move in moves]


def ready_endpoints(planned, name):
    return {site.name for site in planned.ready(name)}


def test_models_resident_nowhere_are_loaded_first():
    """A data centre is lost while another model's demand grows. If only one load
    is allowed, the model without any replica must get it.
    """
    planned = make_fleet([need("busy"), need("lost")])
    packing_policy = policy(moves=0.1)
    planned.load(planned.site_by_name["engine-0"], need("busy"))
    finish_moves(planned)
    planned.set_demand("busy", 50.0, 1.0)
    assert kinds_and_names(packing_policy.plan(planned, 1)) == [(LOAD, "lost")]


def test_models_get_two_data_centres_and_then_no_moves():
    planned = make_fleet([need("menu"), need("tickets")])
    run_passes(planned, policy())
    for name in ("menu", "tickets"):
        centres = {site.data_centre for site in planned.ready(name)}
        assert centres == {"dc-0", "dc-1"}
    assert run_passes(planned, policy()) == []


def test_models_without_demand_are_spread_over_all_endpoints():
    """A first catalogue with instant loads: each load finds the first endpoint
    idle again. If all models were loaded there, the first requests would queue
    on few endpoints while others stay empty.
    """
    planned = make_fleet([need(f"model-{number}", 20) for number in range(3)])
    packing_policy = policy()
    for _ in range(3):
        packing_policy.plan(planned, 1)
        finish_moves(planned)
    assert all(len(site.names) == 1 for site in planned.site_by_name.values())


def test_a_replica_is_loaded_only_if_it_is_worth_its_moves():
    planned = make_fleet([need("menu", 90)])
    run_passes(planned, policy())
    assert len(ready_endpoints(planned, "menu")) == 2
    planned.set_demand("menu", 21.0, 1.0)
    assert run_passes(planned, policy(moves=5.0)) == []
    planned.set_demand("menu", 26.0, 1.0)
    assert kinds_and_names(run_passes(planned, policy(moves=5.0))) == [(LOAD, "menu")]


def test_a_deployment_that_weighs_only_moves_keeps_its_models_resident():
    planned = make_fleet([need("menu", 90)])
    planned.set_demand("menu", 40.0, 1.0)
    run_passes(planned, policy(attainment=0.0))
    assert len(ready_endpoints(planned, "menu")) == 2


def test_temporary_demand_causes_no_moves():
    """Demand rises and falls every hour. Unloading in each lull would cause a
    load at each rise.
    """
    planned = make_fleet([need("menu", 90)])
    packing_policy = policy()
    planned.set_demand("menu", 40.0, 1.0)
    run_passes(planned, packing_policy)
    for places in (0.0, 40.0, 0.0, 40.0):
        planned.set_demand("menu", places, 1.0)
        assert run_passes(planned, packing_policy) == []


def test_a_last_replica_is_never_unloaded_for_demand():
    planned = make_fleet([need("quiet", 60), need("busy", 60)], memories=(100, 100))
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
    needs = [need("a", 50), need("b", 50), need("large", 90)]
    planned = make_fleet(needs, memories=(100, 100))
    planned.load(planned.site_by_name["engine-0"], needs[0])
    planned.load(planned.site_by_name["engine-1"], needs[1])
    finish_moves(planned)
    packing_policy = policy()
    first = packing_policy.plan(planned, 10)
    assert [move.kind for move in first] == [LOAD]
    finish_moves(planned)
    run_passes(planned, packing_policy)
    assert all(ready_endpoints(planned, item.name) for item in needs)


def test_a_new_version_is_ready_before_the_old_one_is_unloaded():
    """An operator updates a model's version. If the old version were unloaded
    first, no replica would serve until the new one is loaded.
    """
    planned = make_fleet([need("menu")], memories=(100,))
    packing_policy = policy()
    run_passes(planned, packing_policy)
    planned.declare([attrs.evolve(need("menu"), version="2")])
    assert kinds_and_names(packing_policy.plan(planned, 10)) == [(LOAD, "menu")]
    assert packing_policy.plan(planned, 10) == []
    finish_moves(planned)
    moves = packing_policy.plan(planned, 10)
    assert [(move.kind, move.version) for move in moves] == [(UNLOAD, "1")]


def test_undeclared_models_are_unloaded():
    planned = make_fleet([need("menu"), need("tickets")])
    packing_policy = policy()
    run_passes(planned, packing_policy)
    planned.declare([need("menu")])
    assert {move.name for move in run_passes(planned, packing_policy)} == {"tickets"}


def test_replicas_on_a_closed_endpoint_are_replaced():
    planned = make_fleet([need("menu")], memories=(100, 100, 100))
    packing_policy = policy()
    run_passes(planned, packing_policy)
    for name in sorted(ready_endpoints(planned, "menu")):
        site = planned.site_by_name[name]
        site.open = False
        planned.refresh(site)
    assert kinds_and_names(packing_policy.plan(planned, 1)) == [(LOAD, "menu")]


def test_adapters_are_loaded_with_their_model():
    needs = [need("menu", adapter_reserve_mb=5), need("menu-es", 5, base="menu")]
    planned = make_fleet(needs)
    run_passes(planned, policy())
    assert ready_endpoints(planned, "menu-es") == ready_endpoints(planned, "menu")


def test_an_adapters_demand_uses_its_models_slots_once():
    needs = [need("menu", adapter_reserve_mb=5), need("menu-es", 5, base="menu")]
    planned = make_fleet(needs, memories=(100,))
    run_passes(planned, policy())
    planned.set_demand("menu", 4.0, 1.0)
    planned.set_demand("menu-es", 4.0, 1.0)
    assert planned.site_by_name["engine-0"].load == 4.0


def test_loads_respect_the_weight_store():
    planned = make_fleet([need(f"model-{n}", 10) for n in range(9)])
    assert len(policy().plan(planned, 2)) == 2


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True, database=None)
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(5, 60), min_size=1, max_size=12),
    memories=strategies.lists(strategies.integers(60, 150), min_size=1, max_size=5),
    demands=strategies.lists(strategies.integers(0, 40), min_size=12, max_size=12),
)
def test_plans_never_overcommit_memory_and_converge(sizes, memories, demands):
    needs = [need(f"model-{number}", size) for number, size in enumerate(sizes)]
    planned = make_fleet(needs, tuple(memories))
    packing_policy = policy()
    for number, _ in enumerate(sizes):
        planned.set_demand(f"model-{number}", float(demands[number]), 1.0)
    for _ in range(60):
        moves = packing_policy.plan(planned, 4)
        for site in planned.site_by_name.values():
            staying = site.memory_by_key.keys() - site.leaving
            assert sum(site.memory_by_key[key] for key in staying) <= site.memory_mb
            assert site.load >= -1e-6
        finish_moves(planned)
        if not moves:
            break
    assert not moves
