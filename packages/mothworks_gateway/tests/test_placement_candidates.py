"""Placement candidates: which models an endpoint evicts to free memory for another."""

from mothworks_gateway import placement_candidates


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
