"""Order sender: an endpoint is never made to hold more than fits in its memory."""

import gevent
import pytest

import gateway_builders
import modelled_endpoint
from mothworks_gateway import endpoint_state, registry

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


def test_a_load_that_outlasts_the_lease_still_counts_as_memory(
    orders, endpoint, stub_lease
):
    # The platform's store stops responding while a load of 34 GB runs, and the lease
    # lapses before the load is done. Eight seconds later the same VM holds the lease
    # again and evicts a small model for another large one. The memory of the load whose
    # end it had not observed counted as free, so it ordered the next load after the
    # first of three unloads, and the endpoint crashed with all its streams.
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


def test_an_endpoint_whose_entry_has_no_start_time_gets_orders(orders, endpoint):
    # Only its inventory reports the start time. It was mistaken for another incarnation
    # and believed to be empty, and later registry entries were rejected as older.
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
