"""Unloads: the load after an unload is sent when the endpoint can accept it.

The case is models that replace each other: an unload that takes 90 ms, then a load, on
many endpoints in turn. Half of all orders of a day were refused.
"""

import pytest

import gateway_builders
import modelled_endpoint
from mothworks_gateway import endpoint_state, order_sender, registry, unload_time

UNLOAD_S = 0.09
SWAPS = 12


class Clock:
    """Virtual time that passes only in sleeps."""

    def __init__(self, monkeypatch, endpoint):
        self.now = 100.0
        self.endpoint = endpoint
        self.busy_until = 0.0
        monkeypatch.setattr(order_sender, "time", self)
        monkeypatch.setattr(order_sender.gevent, "sleep", self.sleep)

    def monotonic(self):
        return self.now

    def sleep(self, seconds=0.0):
        self.now += seconds
        if self.now >= self.busy_until:
            self.endpoint.finish()


class CountingEndpoint(modelled_endpoint.ModelledEndpoint):
    """Counts its refusals and is busy for a while after an unload."""

    clock = None
    refused = 0

    def order(self, endpoint, order, may_send):
        outcome = super().order(endpoint, order, may_send)
        if outcome is modelled_endpoint.adapters.OrderOutcome.CONFLICT:
            self.refused += 1
        elif not order.load and not order.adapter:
            self.clock.busy_until = self.clock.now + UNLOAD_S
        return outcome


@pytest.fixture
def endpoint(monkeypatch):
    declared_as = modelled_endpoint.accelerator(one=40.0, other=40.0)
    counting_endpoint = CountingEndpoint(declared_as)
    counting_endpoint.clock = Clock(monkeypatch, counting_endpoint)
    return counting_endpoint


# Guards against loads that are refused three times because they follow an unload too
# soon.
def test_a_load_after_an_unload_is_rarely_refused(endpoint, monkeypatch):
    held_lease = modelled_endpoint.Lease()
    orders = modelled_endpoint.make_order_sender(
        endpoint, registry.Registry(), modelled_endpoint.Peers(), held_lease
    )
    monkeypatch.setattr(orders, "_wait_until_executed", lambda *_: None)
    refused_by_swap = []
    for _ in range(SWAPS):
        endpoint.start(["one"])
        state = endpoint_state.EndpointState(
            gateway_builders.endpoint("i-1", models=["one"]), endpoint.declared_as
        )
        endpoint.refused = 0
        started_at = endpoint.clock.now
        assert orders.order(state, False, "one", "")
        orders.order(state, True, "other", "")
        refused_by_swap.append(endpoint.refused)
        assert endpoint.clock.now - started_at < 3 * UNLOAD_S
    assert refused_by_swap[0] >= 1
    assert sum(refused_by_swap[3:]) <= (SWAPS - 3) // 3


def test_the_expected_time_rises_and_falls():
    unloads = unload_time.UnloadTime()
    for _ in range(10):
        unloads.accepted_after(UNLOAD_S)
    assert unloads.expected_s == pytest.approx(UNLOAD_S, rel=0.01)
    for _ in range(60):
        unloads.accepted_at_once()
    assert unloads.expected_s < UNLOAD_S / 4


# Guards against an unload of four seconds that delays each later load as long.
def test_an_unload_that_waited_for_requests_has_limited_effect():
    unloads = unload_time.UnloadTime()
    for _ in range(10):
        unloads.accepted_after(4.0)
    assert unloads.expected_s <= unload_time.MAX_EXPECTED_S
