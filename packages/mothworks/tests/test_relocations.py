"""Relocations: the source unloads a model only after the target has loaded it."""

import builders
from mothworks import (
    catalogue,
    endpoints,
    fleet,
    local_facts,
    region_plan,
    relocations,
)

MENU = ("menu", "1")
SPANISH = ("menu-es", "1")


def make_fleet():
    """Return a fleet with a model and its adapter resident on engine-1."""
    planned = fleet.Fleet()
    declared = builders.make_catalogue(
        adapters=(catalogue.Adapter("menu-es", "menu", 200),)
    )
    planned.declare(region_plan.model_specs(declared))
    first = fleet.EndpointView("engine-1", "dc-1", 50_000, 8.0, free_mb=29_800)
    first.memory_by_key = {MENU: 20_000, SPANISH: 200}
    planned.add(first)
    planned.add(fleet.EndpointView("engine-2", "dc-1", 50_000, 8.0, free_mb=50_000))
    return planned


def make_relocation(source="engine-1", target="engine-2", model="menu"):
    return relocations.Relocation(model, source, target, "upgrade", until=100.0)


def finish_loads(planned):
    target = planned.view_by_name["engine-2"]
    target.loading.clear()
    planned.refresh(target)


def test_the_source_is_unloaded_last():
    """Otherwise no replica would serve callers in between."""
    planned, pending = make_fleet(), relocations.Relocations()
    pending.accept(planned, make_relocation()).unwrap()
    load, unload = endpoints.OrderKind.LOAD, endpoints.OrderKind.UNLOAD
    steps = []
    for _ in range(5):
        for item in pending.plan(planned, 0.0, loads=1):
            steps.append((item.kind, item.endpoint, item.name))
        assert pending.plan(planned, 0.0, loads=1) == []
        finish_loads(planned)
    assert steps == [
        (load, "engine-2", "menu"),
        (load, "engine-2", "menu-es"),
        (unload, "engine-1", "menu-es"),
        (unload, "engine-1", "menu"),
    ]


def test_loads_respect_the_weight_store():
    planned, pending = make_fleet(), relocations.Relocations()
    pending.accept(planned, make_relocation()).unwrap()
    assert pending.plan(planned, 0.0, loads=0) == []


def test_an_impossible_relocation_is_rejected_with_a_reason():
    planned, pending = make_fleet(), relocations.Relocations()
    assert (
        "no model"
        in pending.accept(planned, make_relocation(model="wine")).unwrap_err()
    )
    assert (
        "no report" in pending.accept(planned, make_relocation(target="x")).unwrap_err()
    )
    reverse = make_relocation("engine-2", "engine-1")
    assert "not resident" in pending.accept(planned, reverse).unwrap_err()
    planned.view_by_name["engine-2"].free_mb = 20_100
    problem = pending.accept(planned, make_relocation()).unwrap_err()
    assert "20100 MB free" in problem
    assert "20200 MB" in problem
    planned.view_by_name["engine-2"].free_mb = 50_000
    pending.accept(planned, make_relocation()).unwrap()
    assert "already" in pending.accept(planned, make_relocation()).unwrap_err()


def test_an_unfinished_relocation_is_abandoned_after_its_timeout():
    planned, pending = make_fleet(), relocations.Relocations()
    pending.accept(planned, make_relocation()).unwrap()
    pending.plan(planned, 101.0, loads=0)
    assert pending.by_model == {}


def test_verdicts_on_endpoints_state_the_missing_memory():
    planned = make_fleet()
    first, second = planned.view_by_name.values()
    menu = planned.demand_by_name["menu"].spec
    assert local_facts.load_verdict(first, menu) == "is resident there"
    assert local_facts.load_verdict(second, menu) == "fits"
    second.free_mb = 1000
    missing_mb = menu.required_mb - 1000
    assert local_facts.load_verdict(second, menu) == f"{missing_mb} MB are missing"
    second.memory_mb = 2000
    assert local_facts.load_verdict(second, menu) == "never fits: 2000 MB in all"
    second.open = False
    assert local_facts.load_verdict(second, menu) == "takes no new work"
    planned.unload(first, MENU)
    assert local_facts.load_verdict(first, menu) == "is being unloaded there"
