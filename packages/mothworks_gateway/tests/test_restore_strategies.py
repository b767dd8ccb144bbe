"""Compares strategies for restored entries: only one uses all endpoints that run."""

import pytest

import restore_strategies


@pytest.fixture(scope="module")
def totals_by_strategy():
    return restore_strategies.compare()


def test_a_copy_that_takes_effect_at_once_brings_back_endpoints_that_left(
    totals_by_strategy,
):
    assert totals_by_strategy[restore_strategies.Strategy.COPY].late > 0
    assert totals_by_strategy[restore_strategies.Strategy.HOLD].late == 0


def test_entries_that_are_left_out_for_good_waste_running_endpoints(totals_by_strategy):
    assert totals_by_strategy[restore_strategies.Strategy.KNOWN].unused_at_end > 0
    assert totals_by_strategy[restore_strategies.Strategy.HOLD].unused_at_end == 0
