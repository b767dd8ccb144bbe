"""The way that is chosen to identify the part of prompts that crashes endpoints."""

import pytest

import part_strategies

#: Requests with a bad part that may arrive after the time when it has to be known.
MAX_LATE_ARRIVALS = 3


# Guards against bad parts that are found too late, and against sound requests that are
# refused because a part of their prompts was there when endpoints crashed.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "scenario", part_strategies.SCENARIOS, ids=lambda item: item.name
)
def test_bad_parts_are_found_and_no_others(scenario, seed):
    strategy = part_strategies.strategies()[part_strategies.CHOSEN]
    outcome = part_strategies.Simulation(scenario, strategy, seed).run()
    assert outcome.late_arrivals <= MAX_LATE_ARRIVALS * len(scenario.bad)
    assert outcome.wrongly_refused == 0
