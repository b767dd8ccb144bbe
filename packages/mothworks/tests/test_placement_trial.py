"""The trials of placement measure the same every time and never overcommit."""

import attrs
import pytest

from mothworks import builtin  # noqa: F401
from mothworks_fakes import (
    demand_traces,
    placement_baselines,  # noqa: F401
    placement_trial,
)


def trial(policy):
    trace = demand_traces.Trace(demand_traces.SIAMCREST, demand_traces.Shape.LOST, 0)
    return placement_trial.Trial(trace, policy).run()


@pytest.mark.parametrize("policy", ["packing", "static", "lru", "recomputed"])
def test_no_policy_overcommits_when_a_data_centre_is_lost(policy):
    assert trial(policy).overcommitted == 0


def test_a_lost_data_centre_makes_no_model_unreachable():
    measured = trial("packing")
    assert measured.restore_s == []
    again = trial("packing")
    assert attrs.evolve(measured, planner_s=0.0) == attrs.evolve(again, planner_s=0.0)
