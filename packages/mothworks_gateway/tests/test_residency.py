"""Residency: callers that wait for a model are woken only when it is concerned.

The case is a deployment with 60 endpoints and 191 models: 100 callers wait at a VM,
each for a different model, while the lease holder publishes adapters and loads 70 times
a second.
"""

import types

import gevent
import pytest

import fleet_builders
import gateway_builders
from mothworks import peers
from mothworks_gateway import (
    broadcast,
    caller_request,
    discovery,
    heartbeat,
    lease,
    registry,
    residency as residency_module,
)

ENDPOINTS = [f"i-{number}" for number in range(60)]


def spawn_waiter(part, model, checks, service="s", adapter=""):
    """Start a caller that waits until an endpoint holds a model."""
    target = caller_request.Target(service, model, adapter)
    request = gateway_builders.request(target=target, received_at=0.0)

    def wait():
        while True:
            checks.append(model)
            holders = [
                item
                for item in part.registry.by_id.values()
                if item.entry.service == service and item.holds(model, adapter)
            ]
            if holders:
                return holders[0].id
            part.wait(request, 5.0)

    return gevent.spawn(wait)


@pytest.fixture
def part():
    view = registry.Registry()
    view.by_id = {name: gateway_builders.endpoint(name) for name in ENDPOINTS}
    network = fleet_builders.Network()
    parts = {
        peers.Peers: fleet_builders.Peers("vm-1", network),
        broadcast.Broadcast: None,
        discovery.Discovery: types.SimpleNamespace(registry=view),
        lease.Lease: types.SimpleNamespace(holder=lambda: ""),
        heartbeat.Heartbeats: None,
    }
    return residency_module.Residency(gateway_builders.Kernel(parts))


def publish(part, number, endpoint, held=(), loading=()):
    message = residency_module.EndpointHoldings(
        1, number, endpoint, {name: [] for name in held}, dict(loading)
    )
    part._on_holdings("vm-2", message, None)
    gevent.sleep(0)


def test_callers_of_other_models_are_not_woken(part):
    # Each message made each of 100 callers check 60 endpoints: 26,000 checks a second
    # on a VM with 8 requests a second, too many to replay the recorded day.
    checks = []
    callers = [spawn_waiter(part, f"m-{number}", checks) for number in range(100)]
    gevent.sleep(0)
    checks.clear()
    for number in range(1, 71):
        publish(part, number, ENDPOINTS[number % 60], ["m-200"], {"m-201": 1.0})
    assert checks == []
    publish(part, 71, ENDPOINTS[0], ["m-7", "m-200"])
    assert checks == ["m-7"]
    assert callers[7].value == ENDPOINTS[0]
    gevent.killall(callers)


def test_callers_are_woken_when_their_load_is_queued_and_when_it_fails(part):
    checks = []
    caller = spawn_waiter(part, "m-1", checks)
    gevent.sleep(0)
    checks.clear()
    publish(part, 1, "i-1", loading={"m-1": 2.0})
    assert checks == ["m-1"]
    publish(part, 2, "i-1", ["m-9"], loading={"m-1": 2.0})
    assert checks == ["m-1"]
    publish(part, 3, "i-1", ["m-9"])
    assert checks == ["m-1", "m-1"]
    caller.kill()


def test_a_model_on_an_endpoint_of_another_service_wakes_no_caller(part):
    checks = []
    caller = spawn_waiter(part, "m-1", checks, service="other")
    gevent.sleep(0)
    checks.clear()
    publish(part, 1, "i-1", ["m-1"])
    assert checks == []
    caller.kill()


def test_callers_are_woken_when_endpoints_are_added_or_removed(part):
    checks = []
    caller = spawn_waiter(part, "m-1", checks)
    gevent.sleep(0)
    checks.clear()
    part.registry.notify_changed()
    gevent.sleep(0)
    assert checks == ["m-1"]
    caller.kill()
