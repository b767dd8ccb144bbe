"""Placement trials are reproducible and never overcommit memory."""

import attrs
import pytest

from mothworks import builtin  # noqa: F401
from mothworks_fakes import (
    demand_traces,
    placement_baselines,  # noqa: F401
    placement_trial,
)


def run_trial(policy):
    trace = demand_traces.Trace(demand_traces.SIAMCREST, demand_traces.Shape.LOST, 0)
    return placement_trial.Trial(trace, policy).run()


@pytest.mark.parametrize("policy", ["packing", "static", "lru", "recomputed"])
def test_no_policy_overcommits_when_a_data_centre_is_lost(policy):
    assert run_trial(policy).overcommitted == 0


def test_no_model_is_unreachable_and_a_repeated_trial_agrees():
    measured = run_trial("packing")
    assert measured.restore_s == []
    repeated = run_trial("packing")
    assert attrs.evolve(measured, planner_s=0.0) == attrs.evolve(
        repeated, planner_s=0.0
    )
