"""Relocations: the source gives a model up only after the target has it."""

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


def region():
    """Return a fleet whose model and adapter are on engine-1."""
    made = fleet.Fleet()
    declared = builders.declared(adapters=(catalogue.Adapter("menu-es", "menu", 200),))
    made.declare(region_plan.needs(declared))
    first = fleet.Site("engine-1", "dc-1", 50_000, 8.0, free_mb=29_800)
    first.memory_by_key = {MENU: 20_000, SPANISH: 200}
    made.add(first)
    made.add(fleet.Site("engine-2", "dc-1", 50_000, 8.0, free_mb=50_000))
    return made


def move(source="engine-1", target="engine-2", model="menu"):
    return relocations.Relocation(model, source, target, "upgrade", until=100.0)


def arrive(planned):
    target = planned.site_by_name["engine-2"]
    target.loading.clear()
    planned.refresh(target)


def test_the_source_is_unloaded_last():
    """A caller would meet a model without any replica in between."""
    planned, made = region(), relocations.Relocations()
    made.accept(planned, move()).unwrap()
    load, unload = endpoints.OrderKind.LOAD, endpoints.OrderKind.UNLOAD
    steps = []
    for _ in range(5):
        for item in made.plan(planned, 0.0, loads=1):
            steps.append((item.kind, item.endpoint, item.name))
        assert made.plan(planned, 0.0, loads=1) == []
        arrive(planned)
    assert steps == [
        (load, "engine-2", "menu"),
        (load, "engine-2", "menu-es"),
        (unload, "engine-1", "menu-es"),
        (unload, "engine-1", "menu"),
    ]


def test_the_weight_store_bounds_loads():
    planned, made = region(), relocations.Relocations()
    made.accept(planned, move()).unwrap()
    assert made.plan(planned, 0.0, loads=0) == []


def test_what_cannot_be_done_is_refused_with_the_numbers():
    planned, made = region(), relocations.Relocations()
    assert "no model" in made.accept(planned, move(model="wine")).unwrap_err()
    assert "no report" in made.accept(planned, move(target="x")).unwrap_err()
    reverse = move("engine-2", "engine-1")
    assert "not resident" in made.accept(planned, reverse).unwrap_err()
    planned.site_by_name["engine-2"].free_mb = 20_100
    problem = made.accept(planned, move()).unwrap_err()
    assert "20100 MB free" in problem
    assert "20200 MB" in problem
    planned.site_by_name["engine-2"].free_mb = 50_000
    made.accept(planned, move()).unwrap()
    assert "already" in made.accept(planned, move()).unwrap_err()


def test_a_relocation_that_cannot_end_is_given_up():
    planned, made = region(), relocations.Relocations()
    made.accept(planned, move()).unwrap()
    made.plan(planned, 101.0, loads=0)
    assert made.by_model == {}


def test_verdicts_of_places_name_what_is_missing():
    planned = region()
    first, second = planned.site_by_name.values()
    menu = planned.demanded_by_name["menu"].need
    assert local_facts.verdict(first, menu) == "is resident there"
    assert local_facts.verdict(second, menu) == "fits"
    second.free_mb = 1000
    missing_mb = menu.room_mb - 1000
    assert local_facts.verdict(second, menu) == f"{missing_mb} MB are missing"
    second.memory_mb = 2000
    assert local_facts.verdict(second, menu) == "never fits: 2000 MB in all"
    second.open = False
    assert local_facts.verdict(second, menu) == "takes no new work"
    planned.unload(first, MENU)
    assert local_facts.verdict(first, menu) == "is being unloaded there"
