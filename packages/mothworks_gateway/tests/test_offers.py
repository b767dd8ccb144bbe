"""Offers: what a site drops to make room for a model."""

from mothworks_gateway import offers


class EndpointState:
    """Stands for a site that holds models of some sizes.

    :param memory_mb_by_model: their sizes, MB.
    """

    def __init__(self, **memory_mb_by_model):
        self.memory_mb_by_model = memory_mb_by_model

    def memory_mb(self, name):
        return self.memory_mb_by_model[name]


def drops(state, needed_mb, **harm_by_model):
    possible = [offers._Drop(name, harm) for name, harm in harm_by_model.items()]
    possible.sort(key=lambda drop: drop.harm)
    chosen = offers._make_room(state, possible, needed_mb)
    return None if chosen is None else [drop.model for drop in chosen]


def test_what_frees_too_little_is_not_dropped_beside_what_frees_enough():
    # A model of 70 GB is wanted. The site holds a small one, hardly missed, and
    # a large one. Dropping the small one first is not enough, and then the
    # large one alone is: the small one's callers would wait for nothing.
    state = EndpointState(small=34.0, large=72.0)
    assert drops(state, 70.0, small=0.01, large=0.03) == ["large"]


def test_the_least_missed_go_first():
    state = EndpointState(rare=70.0, busy=70.0)
    assert drops(state, 60.0, busy=3.0, rare=0.1) == ["rare"]


def test_several_are_dropped_where_one_is_not_enough():
    state = EndpointState(a=34.0, b=34.0, c=72.0)
    assert drops(state, 60.0, a=0.01, b=0.02, c=5.0) == ["a", "b"]


def test_nothing_is_dropped_where_memory_is_free_or_never_enough():
    state = EndpointState(a=34.0)
    assert drops(state, -10.0, a=0.01) == []
    assert drops(state, 70.0, a=0.01) is None
