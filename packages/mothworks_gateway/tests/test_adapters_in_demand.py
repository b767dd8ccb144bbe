"""Adapters in demand: which adapters are evicted when there are too few slots.

The case: one endpoint with eight adapter slots holds a model whose callers use 25
adapters, a few of them often. Replacing an adapter takes 13 ms, and a caller that waits
for its adapter uses it only after up to 0.4 s, once its prompt gets a prefill slot. The
figures are from a deployment on which one adapter was loaded, and evicted unused, 172
times in 1.5 s.
"""

import types

import pytest

import gateway_builders
import scheduling_builders
from mothworks_gateway import (
    declaration_types,
    demand,
    discovery,
    job_execution,
    lease,
    order_sender,
    registry,
    residency,
    running_requests,
)

ADAPTER_SLOTS = 8
ACCELERATOR = declaration_types.Accelerator(
    83_000.0,
    ADAPTER_SLOTS,
    96,
    133_000,
    2.2,
    {"m": declaration_types.Model("m", 34_300.0, 25, 40.0)},
)


@pytest.fixture
def clock(monkeypatch):
    clock_stub = scheduling_builders.Clock(monkeypatch)
    monkeypatch.setattr(job_execution, "time", clock_stub)
    return clock_stub


class Demand:
    """Stub of the demand, by adapter."""

    def __init__(self):
        self.rate_by_adapter = {}

    def rate(self, target):
        return self.rate_by_adapter.get(target.adapter, 0.0)


class RunningRequests(scheduling_builders.RunningRequests):
    """Stub of the running requests, by adapter."""

    def __init__(self):
        super().__init__()
        self.used = set()

    def of_adapter(self, _, __, adapter):
        return int(adapter in self.used)


@pytest.fixture
def part(clock):
    parts = {
        discovery.Discovery: types.SimpleNamespace(registry=registry.Registry()),
        lease.Lease: None,
        running_requests.RunningRequests: RunningRequests(),
        demand.Demand: Demand(),
        order_sender.OrderSender: None,
        residency.Residency: types.SimpleNamespace(on_not_held=[]),
    }
    return job_execution.JobExecutor(gateway_builders.Kernel(parts))


def full_state(loaded_at):
    state = scheduling_builders.state_of("i-1", ACCELERATOR, ("m",))
    names = [f"a{number}" for number in range(ADAPTER_SLOTS)]
    state.adapters_by_model["m"] = set(names)
    state.loaded_at_by_adapter = {("m", name): loaded_at for name in names}
    return state


def test_an_adapter_stays_until_its_callers_use_it(part, clock):
    # All slots were filled a moment ago, for callers that wait for a prefill slot, so
    # none of these adapters is in use yet. The next caller's adapter must not replace
    # one of them: that one would be reloaded at once.
    state = full_state(loaded_at=clock.now - 0.3)
    assert part._adapter_to_evict(state) is None
    assert not part.has_adapter_slot(state)
    clock.now += 0.5
    assert part.has_adapter_slot(state)


def test_the_adapter_with_the_fewest_requests_is_evicted(part, clock):
    # Adapters with many requests but none at this very moment were evicted for rare
    # ones if they had been loaded longest ago.
    state = full_state(loaded_at=clock.now - 5.0)
    state.loaded_at_by_adapter["m", "a3"] = clock.now - 60.0
    part.demand.rate_by_adapter = {f"a{n}": 2.0 for n in range(ADAPTER_SLOTS) if n != 5}
    assert part._adapter_to_evict(state) == ("m", "a5")


def test_an_adapter_in_use_is_never_evicted(part, clock):
    state = full_state(loaded_at=clock.now - 5.0)
    part.running_requests.used = {
        f"a{number}" for number in range(ADAPTER_SLOTS) if number != 2
    }
    assert part._adapter_to_evict(state) == ("m", "a2")
