"""Scheduling does not count endpoints that accept few or no requests as idle capacity.

Each of five endpoints has memory for two models. One reports a limit of 1.5 requests
per second or wants no requests for a time, while callers send six per second for a
model that only this one holds.
"""

import pytest

import scheduling_builders
from mothworks_gateway import endpoint_notices

MODELS_PER_ENDPOINT = [
    ("busy", "rare-0"),
    *((f"rare-{n}", f"rare-{n + 4}") for n in range(1, 5)),
]
TOKENS = 600
PER_S = 6.0
BACKOFF = endpoint_notices.Backoff(3.0, 110.0)


@pytest.fixture
def scheduling(monkeypatch):
    names = {name for names in MODELS_PER_ENDPOINT for name in names}
    accelerator = scheduling_builders.accelerator_for(names, batch_slots=32)
    clock = scheduling_builders.Clock(monkeypatch)
    return scheduling_builders.Scheduling(clock, accelerator, MODELS_PER_ENDPOINT)


def loading_endpoint_ids(scheduling):
    return [state.endpoint.id for state in scheduling.states if any(state.jobs)]


# Guards against a model whose only endpoint is at its limit while others are idle.
def test_a_model_whose_endpoint_is_at_its_limit_is_loaded_elsewhere(scheduling):
    scheduling.send_requests("busy", PER_S, TOKENS, seconds=2.0)
    assert loading_endpoint_ids(scheduling) == []
    scheduling.limit_by_id["i-0"] = 1.5
    scheduling.send_requests("busy", PER_S, TOKENS, seconds=0.5)
    assert scheduling.endpoints_holding("busy") == 2


# Guards against loads at an endpoint that accepts hardly any requests.
def test_nothing_is_loaded_at_a_limited_endpoint(scheduling):
    scheduling.limit_by_id.update({f"i-{number}": 1.5 for number in range(4)})
    scheduling.send_requests("busy", 10 * PER_S, 3 * TOKENS, seconds=4.0)
    assert set(loading_endpoint_ids(scheduling)) == {"i-4"}


def test_a_limit_that_is_not_reached_costs_no_load(scheduling):
    scheduling.limit_by_id["i-0"] = 12.0
    scheduling.send_requests("busy", 1.0, TOKENS, seconds=4.0)
    assert scheduling.endpoints_holding("busy") == 1


# Guards against a model that is loaded nowhere because all endpoints report limits.
def test_models_are_still_loaded_if_all_endpoints_report_limits(scheduling):
    scheduling.limit_by_id.update({f"i-{number}": 6.0 for number in range(5)})
    scheduling.send_requests("busy", PER_S, TOKENS, seconds=2.0)
    assert scheduling.endpoints_holding("busy") >= 2


# Guards against a model that no caller reaches while its only endpoint is in a backoff.
def test_a_model_whose_endpoint_is_in_a_backoff_is_loaded_elsewhere(scheduling):
    scheduling.send_requests("busy", PER_S, TOKENS, seconds=2.0)
    assert loading_endpoint_ids(scheduling) == []
    scheduling.backoff_by_id["i-0"] = BACKOFF
    scheduling.send_requests("busy", PER_S, TOKENS, seconds=0.5)
    assert scheduling.endpoints_holding("busy") == 2


# Guards against loads at an endpoint that refuses requests.
def test_nothing_is_loaded_at_an_endpoint_in_a_backoff(scheduling):
    scheduling.backoff_by_id.update({f"i-{number}": BACKOFF for number in range(4)})
    scheduling.send_requests("busy", 10 * PER_S, 3 * TOKENS, seconds=4.0)
    assert set(loading_endpoint_ids(scheduling)) == {"i-4"}


def test_a_backoff_costs_no_load_where_another_endpoint_suffices(scheduling):
    scheduling.send_requests("busy", 10 * PER_S, 3 * TOKENS, seconds=4.0)
    holders = scheduling.endpoints_holding("busy")
    assert holders > 1
    scheduling.send_requests("busy", 1.0, TOKENS, seconds=30.0)
    scheduling.backoff_by_id["i-0"] = BACKOFF
    scheduling.send_requests("busy", 1.0, TOKENS, seconds=1.0)
    assert scheduling.endpoints_holding("busy") == holders
