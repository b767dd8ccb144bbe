"""Looks of the holder before many endpoints: the same answers, from few questions.

The pattern is 59 endpoints with two or three of 141 models each. A look that weighs
each load against what each endpoint may drop asked all endpoints about each model; it
took 80 to 120 ms of a whole core, and twice as long was waited after it, while callers
waited for their models.
"""

import collections
import random

import pytest

import scheduling_builders
from mothworks_gateway import declared, residency, sites

MODELS = [f"m-{number}" for number in range(141)]
ACCELERATOR = declared.Accelerator(
    200_000.0,
    8,
    12,
    57_813,
    16.0,
    {name: declared.Model(name, 65_000.0, 4) for name in MODELS},
)


@pytest.fixture
def made(monkeypatch):
    draw = random.Random(1)
    holding = [draw.sample(MODELS, draw.choice([2, 3])) for _ in range(59)]
    clock = scheduling_builders.Clock(monkeypatch)
    return scheduling_builders.Scheduling(clock, ACCELERATOR, holding)


@pytest.mark.parametrize("seed", range(20))
def test_holders_are_those_that_all_sites_name(made, seed):
    draw = random.Random(seed)
    for state in made.sites:
        state.loading = draw.choice(["", "", *MODELS])
        for _ in range(draw.choice([0, 0, 1, 2])):
            drops = tuple(draw.sample(sorted(state.adapters_by_model), 1))
            adapter = draw.choice(["", "a1"])
            state.jobs.append(sites.Job(draw.choice(MODELS), adapter, drops))
    for name in MODELS:
        expected = [state for state in made.sites if state.will_hold(name, "")]
        assert made.offers.holders(scheduling_builders.target(name)) == expected


def test_a_look_asks_few_sites(made, monkeypatch):
    asked = collections.Counter()
    will_hold = sites.EndpointState.will_hold

    def count(state, model, adapter):
        asked[model] += 1
        return will_hold(state, model, adapter)

    for number, name in enumerate(MODELS[:12]):
        told = residency.Wanted(scheduling_builders.SERVICE, name, "", 3, 1, 0.4)
        made.demand._on_wanted(f"vm-{number}", told)
    monkeypatch.setattr(sites.EndpointState, "will_hold", count)
    made.scheduler._schedule(made.declaration)
    # A look that asks no more than each endpoint about each model once stays within a
    # hundredth of a second or two; it asked twenty times as much.
    assert asked.total() < len(made.sites) * len(MODELS)
