"""Scheduling passes with many endpoints: cached holders are right and cheap.

The case is 59 endpoints with two or three of 141 models each. A pass that compared each
load with the eviction costs of each endpoint checked all endpoints for each model. It
used 80 to 120 ms of a whole core, the pause after it was twice as long, and callers
waited for their models meanwhile.
"""

import collections
import random

import pytest

import scheduling_builders
from mothworks_gateway import declaration_types, endpoint_state, residency

MODELS = [f"m-{number}" for number in range(141)]
ACCELERATOR = declaration_types.Accelerator(
    200_000.0,
    8,
    12,
    57_813,
    16.0,
    {name: declaration_types.Model(name, 65_000.0, 4) for name in MODELS},
)


@pytest.fixture
def scheduling(monkeypatch):
    rng = random.Random(1)
    holding = [rng.sample(MODELS, rng.choice([2, 3])) for _ in range(59)]
    clock = scheduling_builders.Clock(monkeypatch)
    return scheduling_builders.Scheduling(clock, ACCELERATOR, holding)


@pytest.mark.parametrize("seed", range(20))
def test_holders_equal_a_check_of_all_endpoints(scheduling, seed):
    rng = random.Random(seed)
    for state in scheduling.states:
        state.loading = rng.choice(["", "", *MODELS])
        for _ in range(rng.choice([0, 0, 1, 2])):
            evictions = tuple(rng.sample(sorted(state.adapters_by_model), 1))
            adapter = rng.choice(["", "a1"])
            state.jobs.append(
                endpoint_state.Job(rng.choice(MODELS), adapter, evictions)
            )
    for name in MODELS:
        expected = [state for state in scheduling.states if state.will_hold(name, "")]
        assert (
            scheduling.placement.endpoints_holding(scheduling_builders.target(name))
            == expected
        )


def test_a_pass_checks_few_endpoints(scheduling, monkeypatch):
    checks_by_model = collections.Counter()
    will_hold = endpoint_state.EndpointState.will_hold

    def counting_will_hold(state, model, adapter):
        checks_by_model[model] += 1
        return will_hold(state, model, adapter)

    for number, name in enumerate(MODELS[:12]):
        waiting = residency.WaitingCallers(
            scheduling_builders.SERVICE, name, "", 3, 1, 0.4
        )
        scheduling.demand._on_waiting(f"vm-{number}", waiting)
    monkeypatch.setattr(endpoint_state.EndpointState, "will_hold", counting_will_hold)
    scheduling.scheduler._schedule(scheduling.declaration)
    # A pass that checks each endpoint at most once per model takes a hundredth of a
    # second or two; it used to make twenty times as many checks.
    assert checks_by_model.total() < len(scheduling.states) * len(MODELS)
