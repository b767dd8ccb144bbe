"""Tests of the check that a catalogue fits into the endpoints' memory."""

import random

import attrs

import builders
from mothworks import catalogue, catalogue_checks, memory_packing


def find_problems(**changes):
    declared = builders.make_catalogue(services=(), **changes)
    checked = catalogue_checks.check(declared, "test").and_then(
        lambda checked_catalogue: catalogue_checks.check_capacity(
            checked_catalogue, "test"
        )
    )
    return checked.err().problems if checked.is_err() else ()


def test_models_that_fit_one_by_one_but_not_together_are_refused():
    models = [builders.model(f"model-{n}", memory_mb=30_000) for n in range(3)]
    engine = builders.endpoint(memory_mb=80_000)
    (problem,) = find_problems(models=tuple(models), endpoints=(engine,))
    assert "34000 MB are missing in region 'region-1'" in problem
    assert "'model-2'" in problem


def test_adapters_and_replicas_need_memory():
    model = builders.model(memory_mb=30_000, working_mb=0, replicas=2)
    engines = (
        builders.endpoint("engine-1", memory_mb=40_000),
        builders.endpoint("engine-2", memory_mb=20_000),
    )
    assert "30000 MB" in find_problems(models=(model,), endpoints=engines)[0]
    adapter = catalogue.Adapter("menu-es", "menu", 15_000)
    refusals = find_problems(
        models=(attrs.evolve(model, replicas=1),),
        adapters=(adapter,),
        endpoints=engines,
    )
    assert "5000 MB are missing" in refusals[0]


def test_a_drain_that_leaves_too_little_memory_is_refused():
    engines = (
        builders.endpoint("engine-1", memory_mb=30_000),
        builders.endpoint("engine-2", memory_mb=30_000, drain=True),
    )
    models = (builders.model("menu"), builders.model("tickets"))
    assert "20000 MB are missing" in find_problems(models=models, endpoints=engines)[0]
    models = (builders.model("menu"),)
    assert find_problems(models=models, endpoints=engines) == ()


def test_a_late_order_time_below_the_minimum_is_refused():
    text = '{"weights": {"late_order_s": 1}}'
    (problem,) = catalogue_checks.parse_and_check(text, "test").err().problems
    assert "expected at least 5" in problem


def test_a_feasible_catalogue_of_the_target_size_fits():
    random_source = random.Random(7)
    items = [
        memory_packing.Item(
            str(number), random_source.choice((16_000, 60_000, 150_000))
        )
        for number in range(720)
    ]
    total_mb = sum(item.memory_mb for item in items)
    # 7 % more memory than the models need in total.
    memories_mb = [320_000] * round(1.07 * total_mb / 320_000)
    assert memory_packing.unplaced(items, memories_mb) == []
