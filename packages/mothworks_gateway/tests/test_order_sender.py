"""Order sender: an endpoint is never made to hold more than fits in its memory."""

import time

import gevent
import pytest

import gateway_builders
import modelled_endpoint
from mothworks_gateway import (
    adapters,
    endpoint_state,
    heartbeat,
    registry,
)

SIZES = {"small": 16.1, "slight": 16.1, "spare": 16.1, "busy": 34.3, "wanted": 34.3}


@pytest.fixture
def endpoint():
    return modelled_endpoint.ModelledEndpoint(modelled_endpoint.accelerator(**SIZES))


@pytest.fixture
def stub_lease():
    return modelled_endpoint.Lease()


@pytest.fixture
def orders(endpoint, stub_lease):
    return modelled_endpoint.make_order_sender(
        endpoint, registry.Registry(), modelled_endpoint.Peers(), stub_lease
    )


def state_of(endpoint, *holding):
    endpoint.start(holding)
    registered = gateway_builders.endpoint("i-1", models=holding)
    return endpoint_state.EndpointState(registered, endpoint.declared_as)


# Guards against a load whose memory counts as free because the lease lapsed before
# its end.
def test_a_load_that_outlasts_the_lease_still_counts_as_memory(
    orders, endpoint, stub_lease
):
    state = state_of(endpoint, "small", "slight", "spare")
    loading = gevent.spawn(orders.order, state, True, "busy", "")
    gevent.sleep(0.01)
    stub_lease.lapsed = True
    state.woken.set()
    assert not loading.get(timeout=2)
    endpoint.finish()
    stub_lease.lapsed = False
    assert orders.order(state, False, "small", "")
    endpoint.finish()
    loading = gevent.spawn(orders.order, state, True, "wanted", "")
    assert not loading.get(timeout=2)
    assert not endpoint.crashes


# Guards against an endpoint that is taken for another incarnation because its entry
# has no start time.
def test_an_endpoint_whose_entry_has_no_start_time_gets_orders(orders, endpoint):
    state = state_of(endpoint, "small")
    endpoint.started_ms = 7
    orders.refresh(state)
    assert state.adapters_by_model == {"small": set()}
    assert state.endpoint.id == "i-1"


# Guards against loads at an endpoint that announces in its report that it leaves.
def test_a_report_that_announces_leaving_excludes_its_endpoint(orders, endpoint):
    state = state_of(endpoint, "small")
    orders.refresh(state)
    assert not orders.registry.leaving_ids
    endpoint.leaving = True
    orders.refresh(state)
    assert list(orders.registry.leaving_ids) == ["i-1"]


class Endpoints(modelled_endpoint.ModelledEndpoint):
    """Endpoints that accept all orders after a while, and record when."""

    def __init__(self, declared_as):
        super().__init__(declared_as)
        self.accepted_at = []

    def order(self, _, order, may_send):
        gevent.sleep(0.02)
        self.accepted_at.append(time.monotonic())
        return adapters.OrderOutcome.ACCEPTED


# Guards against more loads at once than the weight store allows: many were decided in
# one pass, before any of them was counted.
def test_loads_that_were_decided_at_once_start_at_the_store_s_rate(stub_lease):
    endpoints = Endpoints(modelled_endpoint.accelerator(**SIZES))
    window_s, max_loads = 0.6, 3
    sender = modelled_endpoint.make_order_sender(
        endpoints,
        registry.Registry(),
        modelled_endpoint.Peers(),
        stub_lease,
        load_window_s=window_s,
        load_factor=1.0,
    )
    registered = [gateway_builders.endpoint(f"i-{n}", models=()) for n in range(8)]
    states = [
        endpoint_state.EndpointState(item, endpoints.declared_as) for item in registered
    ]
    loads = [gevent.spawn(sender.order, item, True, "small", "") for item in states]
    with gevent.Timeout(8):
        while len(endpoints.accepted_at) < len(states):
            gevent.sleep(0.01)
    gevent.killall(loads)
    times = endpoints.accepted_at
    for first, last in zip(times, times[max_loads:], strict=False):
        assert last - first >= window_s


# Guards against a new holder that begins as many loads as the one before has begun.
@pytest.mark.parametrize("has_restarted", [False, True])
def test_the_next_holder_counts_the_loads_of_the_one_before(stub_lease, has_restarted):
    endpoints = Endpoints(modelled_endpoint.accelerator(**SIZES))
    senders = [
        modelled_endpoint.make_order_sender(
            endpoints,
            registry.Registry(),
            modelled_endpoint.Peers(),
            stub_lease,
            load_window_s=6.0,
            load_factor=0.1,
        )
        for _ in range(2)
    ]
    # A process that starts again has its VM's name.
    senders[1].name = senders[0].name if has_restarted else "vm-2"
    max_loads = 3
    states = []
    for number in range(max_loads):
        item = gateway_builders.endpoint(f"i-{number}", models=())
        state = endpoint_state.EndpointState(item, endpoints.declared_as)
        assert senders[0].may_load(state, "small")
        states.append(state)
    loads = [
        gevent.spawn(senders[0].order, state, True, "small", "") for state in states
    ]
    with gevent.Timeout(5):
        while len(endpoints.accepted_at) < max_loads:
            gevent.sleep(0.01)
    gevent.sleep(0.01)
    gevent.killall(loads)
    fields = senders[0]._heartbeat_fields()
    published = heartbeat.Heartbeat(1, 1, 0, **fields)
    publisher = "vm-3" if has_restarted else senders[0].name
    senders[1]._on_heartbeat(publisher, published)
    item = gateway_builders.endpoint("i-9", models=())
    state = endpoint_state.EndpointState(item, endpoints.declared_as)
    assert not senders[1].may_load(state, "small")


# Guards against a node that stops because a queued model is not declared any more.
def test_a_model_that_is_not_declared_any_more_is_not_loaded(orders, endpoint):
    assert not orders.order(state_of(endpoint), True, "dropped", "")
    assert endpoint.accepted_orders == 0


# Guards against a VM that stops when it learns, while an order is on its way, that the
# endpoint lacks a model.
@pytest.mark.parametrize("load", [True, False])
@pytest.mark.parametrize("adapter", ["", "a1"])
@pytest.mark.parametrize(
    "outcome", [adapters.OrderOutcome.ACCEPTED, adapters.OrderOutcome.DONE]
)
def test_an_answer_after_the_number_of_orders_became_unknown(
    endpoint, load, adapter, outcome
):
    state = state_of(endpoint, "small")
    state.accepted_orders = None
    order = adapters.Order(load, "small", adapter, 7, "vm-1", 1)
    state.apply_outcome(order, outcome)
    assert not state.known
