"""Job execution: what the lease holder's tasks cost with thousands of endpoints."""

import types

import attrs
import gevent
import pytest

import gateway_builders
import scheduling_builders
from mothworks_gateway import (
    demand,
    discovery,
    endpoint_state,
    job_execution,
    lease,
    order_sender,
    registry,
    residency,
    running_requests,
)

ENDPOINTS = 1000


class Orders:
    """Stub of the order sender: endpoints respond at once, or not at all."""

    def __init__(self):
        self.pending_requests = 0
        self.max_pending_requests = 0
        self.inventory_requests = []
        self.silent = set()
        self.sent_orders = []

    def refresh(self, state):
        self.inventory_requests.append(state.endpoint.id)
        self.pending_requests += 1
        self.max_pending_requests = max(
            self.max_pending_requests, self.pending_requests
        )
        gevent.sleep(0.001)
        self.pending_requests -= 1
        if state.endpoint.id not in self.silent:
            state.accepted_orders = 0

    def order(self, state, loads, model, adapter):
        gevent.sleep(0.001)
        self.sent_orders.append((state.endpoint.id, model, adapter))
        return True


class Fleet:
    """A job executor that holds the lease, and its endpoint states."""

    def __init__(self, count):
        self.order_sender = Orders()
        self.holds_lease = True
        lease_stub = types.SimpleNamespace(held=lambda: self.holds_lease)
        parts = {
            discovery.Discovery: types.SimpleNamespace(registry=registry.Registry()),
            lease.Lease: lease_stub,
            running_requests.RunningRequests: scheduling_builders.RunningRequests(),
            demand.Demand: None,
            order_sender.OrderSender: self.order_sender,
            residency.Residency: types.SimpleNamespace(on_not_held=[]),
        }
        self.job_executor = job_execution.JobExecutor(gateway_builders.Kernel(parts))
        accelerator = scheduling_builders.accelerator_for(("m",), 8)
        for number in range(count):
            state = scheduling_builders.state_of(f"i-{number}", accelerator, ("m",))
            state.accepted_orders = None
            self.job_executor.state_by_id[state.endpoint.id] = state

    @property
    def states(self):
        return list(self.job_executor.state_by_id.values())

    @property
    def tasks(self):
        return len(self.job_executor.tasks.group)

    def settle(self):
        with gevent.Timeout(10):
            self.job_executor.start_work()
            while self.tasks:
                gevent.sleep(0.001)


@pytest.fixture
def fleet():
    new_fleet = Fleet(ENDPOINTS)
    yield new_fleet
    new_fleet.job_executor.tasks.stop()


# Guards against a new lease holder that requests thousands of inventories at once and
# uses the memory of a whole VM for it.
def test_a_new_lease_holder_limits_concurrent_inventory_requests(fleet):
    fleet.settle()
    assert all(state.known for state in fleet.states)
    assert len(fleet.order_sender.inventory_requests) == ENDPOINTS
    assert fleet.order_sender.max_pending_requests <= job_execution.MAX_INVENTORY_TASKS


# Guards against one task per endpoint, each waking twice a second without work.
def test_endpoints_without_jobs_need_no_tasks(fleet):
    fleet.settle()
    fleet.job_executor.start_work()
    assert fleet.tasks == 0


# Guards against endpoints that are down and delay those queued behind them.
def test_a_failed_inventory_request_is_retried_later(fleet):
    fleet.order_sender.silent = {"i-3"}
    fleet.settle()
    fleet.settle()
    assert fleet.order_sender.inventory_requests.count("i-3") == 1
    fleet.job_executor.state_by_id["i-3"].inventory_retry_at = 0.0
    fleet.order_sender.silent.clear()
    fleet.settle()
    assert fleet.job_executor.state_by_id["i-3"].known


# Guards against jobs that wait for the next scheduling pass.
def test_jobs_of_an_endpoint_start_once_its_state_is_known(fleet):
    fleet.states[5].add(endpoint_state.Job("m", "a1"))
    fleet.states[5].add(endpoint_state.Job("m", "a2"))
    fleet.settle()
    assert fleet.order_sender.sent_orders == [("i-5", "m", "a1"), ("i-5", "m", "a2")]
    assert not fleet.states[5].jobs


# Guards against an endpoint that stays idle until the next scheduling pass, after an
# order whose result was not observed.
def test_an_inventory_follows_a_job_with_unknown_result(fleet):
    fleet.settle()
    state = fleet.states[5]
    original_order = fleet.order_sender.order

    def order_with_unknown_result(*order):
        state.accepted_orders = None
        return original_order(*order)

    fleet.order_sender.order = order_with_unknown_result
    state.add(endpoint_state.Job("m", "a1"))
    fleet.settle()
    assert state.known
    assert fleet.order_sender.inventory_requests.count("i-5") == 2


# Guards against a VM that keeps sending orders, or waiting, once another holds the
# lease.
def test_a_former_lease_holder_starts_nothing(fleet):
    fleet.settle()
    fleet.states[0].add(endpoint_state.Job("m", "a1"))
    fleet.holds_lease = False
    fleet.settle()
    assert fleet.order_sender.sent_orders == []
    assert fleet.states[0].jobs
    fleet.holds_lease = True
    fleet.settle()
    assert fleet.order_sender.sent_orders == [("i-0", "m", "a1")]


# Guards against an endpoint that lacked a model and whose inventory is not requested.
def test_an_inventory_follows_a_missing_model(fleet):
    fleet.settle()
    fleet.order_sender.inventory_requests.clear()
    fleet.job_executor._on_not_held("i-7")
    with gevent.Timeout(10):
        while fleet.tasks:
            gevent.sleep(0.001)
    assert fleet.order_sender.inventory_requests == ["i-7"]


# Guards against models that are unloaded for one that a declaration dropped meanwhile.
def test_nothing_more_is_unloaded_for_a_dropped_model(fleet):
    state = fleet.states[0]
    accelerator = scheduling_builders.accelerator_for(("m", "k", "n"), 8)
    large = attrs.evolve(accelerator.model_by_name["n"], memory_mb=80_000.0)
    with_large = accelerator.model_by_name | {"n": large}
    state.accelerator = attrs.evolve(accelerator, model_by_name=with_large)
    state.adapters_by_model = {"m": set(), "k": set()}
    state.accepted_orders = 0
    fleet.order_sender.publish = lambda _: None

    def unload(state, loads, model, adapter):
        fleet.order_sender.sent_orders.append((loads, model))
        del state.adapters_by_model[model]
        del state.accelerator.model_by_name["n"]
        return True

    fleet.order_sender.order = unload
    state.add(endpoint_state.Job("n", "", ("m", "k")))
    fleet.settle()
    assert fleet.order_sender.sent_orders == [(False, "m")]
    assert not state.jobs
