"""Placement candidates: which models an endpoint evicts to free memory for another."""

import scheduling_builders
from mothworks_gateway import heartbeat, placement_candidates


class EndpointState:
    """Stub of an endpoint state that holds models of given sizes.

    :param memory_mb_by_model: their sizes, in thousands of MB.
    """

    def __init__(self, **memory_mb_by_model):
        self.memory_mb_by_model = memory_mb_by_model

    def memory_mb(self, name):
        return self.memory_mb_by_model[name]


def evictions(state, needed_mb, **cost_by_model):
    options = [
        placement_candidates._Eviction(name, cost)
        for name, cost in cost_by_model.items()
    ]
    options.sort(key=lambda eviction: eviction.cost)
    chosen = placement_candidates._select_evictions(state, options, needed_mb)
    return None if chosen is None else [eviction.model for eviction in chosen]


def test_a_model_is_kept_if_evicting_a_larger_one_suffices():
    # A model of 70 GB is to be loaded. The endpoint holds a small model that is cheap
    # to evict and a large one. Evicting the small one first does not suffice, and then
    # the large one alone does. Evicting both would make the small one's callers wait
    # for nothing.
    state = EndpointState(small=34.0, large=72.0)
    assert evictions(state, 70.0, small=0.01, large=0.03) == ["large"]


def test_the_cheapest_model_is_evicted_first():
    state = EndpointState(rare=70.0, busy=70.0)
    assert evictions(state, 60.0, busy=3.0, rare=0.1) == ["rare"]


def test_several_models_are_evicted_if_one_does_not_suffice():
    state = EndpointState(a=34.0, b=34.0, c=72.0)
    assert evictions(state, 60.0, a=0.01, b=0.02, c=5.0) == ["a", "b"]


def test_nothing_is_evicted_if_memory_is_free_or_never_suffices():
    state = EndpointState(a=34.0)
    assert evictions(state, -10.0, a=0.01) == []
    assert evictions(state, 70.0, a=0.01) is None


SPEED_BY_ID = {"i-2": 0.7, "i-3": 1.7}


def scheduling_with_speeds(monkeypatch, holding, speed_by_id=SPEED_BY_ID):
    """Return a scheduler whose model "busy" has most of the demand."""
    names = ("busy", "rare", "other", "new")
    accelerator = scheduling_builders.accelerator_for(names, batch_slots=12)
    clock = scheduling_builders.Clock(monkeypatch)
    scheduling = scheduling_builders.Scheduling(clock, accelerator, holding)
    scheduling.placement.speed = lambda endpoint_id: speed_by_id.get(endpoint_id, 1.0)
    for model in names:
        count = 100.0 if model == "busy" else 4.0
        arrived = ((scheduling_builders.SERVICE, model, "", count, 0),)
        message = heartbeat.Heartbeat(1, 1, 0, arrived=arrived)
        scheduling.demand._on_heartbeat("vm-1", message)
    return scheduling


def cheapest(scheduling, model):
    """Return the id of the endpoint that a model would be loaded on."""
    candidates = scheduling.placement.candidates(
        scheduling_builders.SERVICE,
        scheduling.accelerator.model_by_name[model],
        placement_candidates.Evictable.ANY,
    )
    best = min(candidates, key=lambda candidate: candidate.total_cost(1))
    return best.state.endpoint.id


# Guards against the busiest model on the slowest endpoint while a fast one is free.
def test_of_equal_endpoints_the_fastest_gets_the_busiest_model(monkeypatch):
    holding = [("busy", "rare"), ("other",), (), ()]
    scheduling = scheduling_with_speeds(monkeypatch, holding)
    assert cheapest(scheduling, "busy") == "i-3"
    assert cheapest(scheduling, "rare") == "i-2"


# Guards against a model that is evicted for the sake of a faster endpoint.
def test_a_faster_endpoint_is_not_worth_an_eviction(monkeypatch):
    holding = [("busy", "rare"), ("busy", "rare"), (), ("other", "new")]
    scheduling = scheduling_with_speeds(monkeypatch, holding)
    assert cheapest(scheduling, "busy") == "i-2"


# Guards against a choice by speed where none is known.
def test_without_speeds_there_is_no_cost_of_speed(monkeypatch):
    holding = [("busy", "rare"), ("other",), (), ()]
    scheduling = scheduling_with_speeds(monkeypatch, holding, {})
    model = scheduling.accelerator.model_by_name["busy"]
    candidates = scheduling.placement.candidates(
        scheduling_builders.SERVICE, model, placement_candidates.Evictable.ANY
    )
    assert {item.slowness_cost for item in candidates} == {0.0}
    assert scheduling.placement.capacity(scheduling.states) == 4.0
