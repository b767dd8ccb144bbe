"""Adapters in demand: a load pattern, and which adapters make way under it.

The pattern: one endpoint with eight places for adapters holds a model whose callers
ask for 25 adapters, a few of them often. A place changes hands in 13 ms, and a
caller that waits for its adapter comes to use it after up to 0.4 s, when it is its
prompt's turn. The figures are those of a deployment on which one adapter was
loaded, and dropped unused, 172 times in 1.5 s.
"""

import types

import pytest

import gateway_builders
import scheduling_builders
from mothworks_gateway import (
    declared,
    demand,
    discovery,
    lease,
    load,
    ordering,
    registry,
    residency,
    site_orders,
)

PLACES = 8
ACCELERATOR = declared.Accelerator(
    83_000.0, PLACES, 96, 133_000, 2.2, {"m": declared.Model("m", 34_300.0, 25, 40.0)}
)


@pytest.fixture
def clock(monkeypatch):
    made = scheduling_builders.Clock(monkeypatch)
    monkeypatch.setattr(ordering, "time", made)
    return made


class Demand:
    """Stands for the demand, by adapter."""

    def __init__(self):
        self.rate_by_adapter = {}

    def rate(self, target):
        return self.rate_by_adapter.get(target.adapter, 0.0)


class Load(scheduling_builders.Load):
    """Stands for the load, by adapter."""

    def __init__(self):
        super().__init__()
        self.used = set()

    def of_adapter(self, _, __, adapter):
        return int(adapter in self.used)


@pytest.fixture
def made(clock):
    parts = {
        discovery.Discovery: types.SimpleNamespace(registry=registry.Registry()),
        lease.Lease: None,
        load.Load: Load(),
        demand.Demand: Demand(),
        site_orders.SiteOrders: None,
        residency.Residency: types.SimpleNamespace(on_missed=[]),
    }
    return ordering.Ordering(gateway_builders.Kernel(parts))


def full_state(loaded_at):
    state = scheduling_builders.state_of("i-1", ACCELERATOR, ("m",))
    names = [f"a{number}" for number in range(PLACES)]
    state.adapters_by_model["m"] = set(names)
    state.loaded_at_by_adapter = {("m", name): loaded_at for name in names}
    return state


def test_an_adapter_stays_until_its_callers_come(made, clock):
    # All places were filled a moment ago, for callers that wait for their turn.
    # None of these adapters is in use yet. The next caller's adapter must not
    # take the place of one of them: that one would be loaded anew at once.
    state = full_state(loaded_at=clock.now - 0.3)
    assert made._unused_adapter(state) is None
    assert not made.has_adapter_slot(state)
    clock.now += 0.5
    assert made.has_adapter_slot(state)


def test_the_adapter_that_is_least_asked_for_makes_way(made, clock):
    # Adapters that are asked for often, and not at this very moment, were dropped
    # for rare ones when they had been loaded longest ago.
    state = full_state(loaded_at=clock.now - 5.0)
    state.loaded_at_by_adapter["m", "a3"] = clock.now - 60.0
    made.demand.rate_by_adapter = {f"a{n}": 2.0 for n in range(PLACES) if n != 5}
    assert made._unused_adapter(state) == ("m", "a5")


def test_an_adapter_in_use_never_makes_way(made, clock):
    state = full_state(loaded_at=clock.now - 5.0)
    made.load.used = {f"a{number}" for number in range(PLACES) if number != 2}
    assert made._unused_adapter(state) == ("m", "a2")
