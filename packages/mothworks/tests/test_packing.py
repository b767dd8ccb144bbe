"""The placement policy: what is moved, in which order, and what is left alone."""

import attrs
import hypothesis
from hypothesis import strategies

from mothworks import catalogue, endpoints, fleet, packing

LOAD = endpoints.OrderKind.LOAD
UNLOAD = endpoints.OrderKind.UNLOAD


def need(name="menu", memory_mb=40, **changes):
    return fleet.Need(name, "1", memory_mb, **changes)


def made(needs, memories=(100, 100, 100), places=10.0):
    planned = fleet.Fleet()
    planned.declare(needs)
    for number, memory_mb in enumerate(memories):
        data_centre = f"dc-{number % 2}"
        site = fleet.Site(f"engine-{number}", data_centre, memory_mb, places)
        site.free_mb = memory_mb
        planned.add(site)
    return planned


def policy(**weights):
    fields = {"attainment": 1.0, "moves": 1.5, **weights}
    return packing.Packing(catalogue.Weights(**fields))


def finish(planned):
    """Let all moves under way end."""
    for site in planned.site_by_name.values():
        site.loading.clear()
        for key in list(site.leaving):
            del site.memory_by_key[key]
        site.leaving.clear()
        planned.refresh(site)


def settle(planned, chosen, passes=20):
    moves = []
    for _ in range(passes):
        moves += chosen.plan(planned, 100)
        finish(planned)
    return moves


def shown(moves):
    return [(move.kind, move.name) for move in moves]


def holders(planned, name):
    return {site.name for site in planned.ready(name)}


def test_what_is_resident_nowhere_goes_first():
    """A data centre was lost while another model's demand grows. With one
    load allowed, the model that answers nobody must get it.
    """
    planned = made([need("busy"), need("lost")])
    chosen = policy(moves=0.1)
    planned.load(planned.site_by_name["engine-0"], need("busy"))
    finish(planned)
    planned.set_demand("busy", 50.0, 1.0)
    assert shown(chosen.plan(planned, 1)) == [(LOAD, "lost")]


def test_models_get_two_data_centres_and_then_nothing_moves():
    planned = made([need("menu"), need("tickets")])
    settle(planned, policy())
    for name in ("menu", "tickets"):
        centres = {site.data_centre for site in planned.ready(name)}
        assert centres == {"dc-0", "dc-1"}
    assert settle(planned, policy()) == []


def test_models_nobody_asks_for_yet_are_spread_over_all_endpoints():
    """A first catalogue, and loads that take no time: each load finds the first
    endpoint free again. All models would come to stand on a few endpoints,
    and the first requests would queue there while others are empty.
    """
    planned = made([need(f"model-{number}", 20) for number in range(3)])
    chosen = policy()
    for _ in range(3):
        chosen.plan(planned, 1)
        finish(planned)
    assert all(len(site.names) == 1 for site in planned.site_by_name.values())


def test_a_replica_is_loaded_only_if_it_is_worth_its_moves():
    planned = made([need("menu", 90)])
    settle(planned, policy())
    assert len(holders(planned, "menu")) == 2
    planned.set_demand("menu", 21.0, 1.0)
    assert settle(planned, policy(moves=5.0)) == []
    planned.set_demand("menu", 26.0, 1.0)
    assert shown(settle(planned, policy(moves=5.0))) == [(LOAD, "menu")]


def test_a_deployment_that_weighs_only_moves_keeps_its_models_resident():
    planned = made([need("menu", 90)])
    planned.set_demand("menu", 40.0, 1.0)
    settle(planned, policy(attainment=0.0))
    assert len(holders(planned, "menu")) == 2


def test_demand_that_goes_again_moves_nothing():
    """Demand rises and falls every hour. Unloading in each lull would load
    the model again in each rise.
    """
    planned = made([need("menu", 90)])
    chosen = policy()
    planned.set_demand("menu", 40.0, 1.0)
    settle(planned, chosen)
    for places in (0.0, 40.0, 0.0, 40.0):
        planned.set_demand("menu", places, 1.0)
        assert settle(planned, chosen) == []


def test_a_last_replica_is_never_unloaded_for_demand():
    planned = made([need("quiet", 60), need("busy", 60)], memories=(100, 100))
    chosen = policy()
    settle(planned, chosen)
    planned.set_demand("busy", 100.0, 1.0)
    settle(planned, chosen)
    assert holders(planned, "quiet")


def test_room_is_made_by_copying_away_first():
    """A large model was lost, and no endpoint has room for it although there
    is enough memory in all. A small model has to go elsewhere; callers of the
    small one would be refused if it were unloaded before its copy is ready.
    """
    needs = [need("a", 50), need("b", 50), need("large", 90)]
    planned = made(needs, memories=(100, 100))
    planned.load(planned.site_by_name["engine-0"], needs[0])
    planned.load(planned.site_by_name["engine-1"], needs[1])
    finish(planned)
    chosen = policy()
    first = chosen.plan(planned, 10)
    assert [move.kind for move in first] == [LOAD]
    finish(planned)
    settle(planned, chosen)
    assert all(holders(planned, item.name) for item in needs)


def test_a_new_version_is_ready_before_the_old_one_goes():
    """An operator rolls a model over. Between an unload of the old version and
    the load of the new one nobody would answer.
    """
    planned = made([need("menu")], memories=(100,))
    chosen = policy()
    settle(planned, chosen)
    planned.declare([attrs.evolve(need("menu"), version="2")])
    assert shown(chosen.plan(planned, 10)) == [(LOAD, "menu")]
    assert chosen.plan(planned, 10) == []
    finish(planned)
    moves = chosen.plan(planned, 10)
    assert [(move.kind, move.version) for move in moves] == [(UNLOAD, "1")]


def test_what_is_not_declared_any_more_goes():
    planned = made([need("menu"), need("tickets")])
    chosen = policy()
    settle(planned, chosen)
    planned.declare([need("menu")])
    assert {move.name for move in settle(planned, chosen)} == {"tickets"}


def test_a_closed_endpoint_is_replaced():
    planned = made([need("menu")], memories=(100, 100, 100))
    chosen = policy()
    settle(planned, chosen)
    for name in sorted(holders(planned, "menu")):
        site = planned.site_by_name[name]
        site.open = False
        planned.refresh(site)
    assert shown(chosen.plan(planned, 1)) == [(LOAD, "menu")]


def test_adapters_follow_their_model():
    needs = [need("menu", adapter_reserve_mb=5), need("menu-es", 5, base="menu")]
    planned = made(needs)
    settle(planned, policy())
    assert holders(planned, "menu-es") == holders(planned, "menu")


def test_an_adapters_demand_fills_its_models_places_once():
    needs = [need("menu", adapter_reserve_mb=5), need("menu-es", 5, base="menu")]
    planned = made(needs, memories=(100,))
    settle(planned, policy())
    planned.set_demand("menu", 4.0, 1.0)
    planned.set_demand("menu-es", 4.0, 1.0)
    assert planned.site_by_name["engine-0"].load == 4.0


def test_loads_respect_the_weight_store():
    planned = made([need(f"model-{n}", 10) for n in range(9)])
    assert len(policy().plan(planned, 2)) == 2


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True, database=None)
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(5, 60), min_size=1, max_size=12),
    memories=strategies.lists(strategies.integers(60, 150), min_size=1, max_size=5),
    demands=strategies.lists(strategies.integers(0, 40), min_size=12, max_size=12),
)
def test_plans_never_overfill_and_end(sizes, memories, demands):
    needs = [need(f"model-{number}", size) for number, size in enumerate(sizes)]
    planned = made(needs, tuple(memories))
    chosen = policy()
    for number, _ in enumerate(sizes):
        planned.set_demand(f"model-{number}", float(demands[number]), 1.0)
    for _ in range(60):
        moves = chosen.plan(planned, 4)
        for site in planned.site_by_name.values():
            staying = site.memory_by_key.keys() - site.leaving
            assert sum(site.memory_by_key[key] for key in staying) <= site.memory_mb
            assert site.load >= -1e-6
        finish(planned)
        if not moves:
            break
    assert not moves
