"""Ordering before thousands of endpoints: what a holder's tasks cost."""

import types

import gevent
import pytest

import gateway_builders
import scheduling_builders
from mothworks_gateway import (
    demand,
    discovery,
    lease,
    load,
    ordering,
    registry,
    residency,
    site_orders,
    sites,
)

ENDPOINTS = 1000


class Orders:
    """Stands for the orders: endpoints answer at once, some not at all."""

    def __init__(self):
        self.looking = 0
        self.most_looking = 0
        self.looks = []
        self.silent = set()
        self.loaded = []

    def refresh(self, state):
        self.looks.append(state.endpoint.id)
        self.looking += 1
        self.most_looking = max(self.most_looking, self.looking)
        gevent.sleep(0.001)
        self.looking -= 1
        if state.endpoint.id not in self.silent:
            state.accepted = 0

    def order(self, state, loads, model, adapter):
        gevent.sleep(0.001)
        self.loaded.append((state.endpoint.id, model, adapter))
        return True


class Fleet:
    """An ordering part that holds the lease, and its sites."""

    def __init__(self, count):
        self.orders = Orders()
        self.holds_lease = True
        held = types.SimpleNamespace(held=lambda: self.holds_lease)
        parts = {
            discovery.Discovery: types.SimpleNamespace(registry=registry.Registry()),
            lease.Lease: held,
            load.Load: scheduling_builders.Load(),
            demand.Demand: None,
            site_orders.SiteOrders: self.orders,
            residency.Residency: types.SimpleNamespace(on_missed=[]),
        }
        self.ordering = ordering.Ordering(gateway_builders.Kernel(parts))
        accelerator = scheduling_builders.accelerator_for(("m",), 8)
        for number in range(count):
            state = scheduling_builders.state_of(f"i-{number}", accelerator, ("m",))
            state.accepted = None
            self.ordering.site_by_id[state.endpoint.id] = state

    @property
    def sites(self):
        return list(self.ordering.site_by_id.values())

    @property
    def tasks(self):
        return len(self.ordering.tasks.group)

    def settle(self):
        with gevent.Timeout(10):
            self.ordering.start_work()
            while self.tasks:
                gevent.sleep(0.001)


@pytest.fixture
def fleet():
    made = Fleet(ENDPOINTS)
    yield made
    made.ordering.tasks.stop()


# Guards against a new holder that asks thousands of endpoints at once and needs the
# memory of a whole VM for it.
def test_a_new_holder_asks_some_endpoints_at_a_time(fleet):
    fleet.settle()
    assert all(state.known for state in fleet.sites)
    assert len(fleet.orders.looks) == ENDPOINTS
    assert fleet.orders.most_looking <= ordering.LOOKS_AT_ONCE


# Guards against a task a site that wakes twice a second for nothing.
def test_sites_without_jobs_cost_no_tasks(fleet):
    fleet.settle()
    fleet.ordering.start_work()
    assert fleet.tasks == 0


# Guards against endpoints that are down and keep those behind them waiting.
def test_an_endpoint_that_gives_no_report_is_asked_again_later(fleet):
    fleet.orders.silent = {"i-3"}
    fleet.settle()
    fleet.settle()
    assert fleet.orders.looks.count("i-3") == 1
    fleet.ordering.site_by_id["i-3"].inventory_retry_at = 0.0
    fleet.orders.silent.clear()
    fleet.settle()
    assert fleet.ordering.site_by_id["i-3"].known


# Guards against jobs that wait for the next look of the scheduler.
def test_jobs_of_an_unknown_site_start_once_it_is_known(fleet):
    fleet.sites[5].add(sites.Job("m", "a1"))
    fleet.sites[5].add(sites.Job("m", "a2"))
    fleet.settle()
    assert fleet.orders.loaded == [("i-5", "m", "a1"), ("i-5", "m", "a2")]
    assert not fleet.sites[5].jobs


# Guards against an endpoint that waits for the scheduler's next look, unused, after an
# order whose end was not seen.
def test_a_site_that_its_last_job_left_unknown_is_asked_at_once(fleet):
    fleet.settle()
    state = fleet.sites[5]
    carry_out = fleet.orders.order

    def lose_sight(*order):
        state.accepted = None
        return carry_out(*order)

    fleet.orders.order = lose_sight
    state.add(sites.Job("m", "a1"))
    fleet.settle()
    assert state.known
    assert fleet.orders.looks.count("i-5") == 2


# Guards against a VM that goes on ordering, or waiting, once another holds the lease.
def test_a_former_holder_starts_nothing(fleet):
    fleet.settle()
    fleet.sites[0].add(sites.Job("m", "a1"))
    fleet.holds_lease = False
    fleet.settle()
    assert fleet.orders.loaded == []
    assert fleet.sites[0].jobs
    fleet.holds_lease = True
    fleet.settle()
    assert fleet.orders.loaded == [("i-0", "m", "a1")]


# Guards against an endpoint that lacked a model and is not asked again.
def test_an_endpoint_that_lacked_a_model_is_asked_at_once(fleet):
    fleet.settle()
    fleet.orders.looks.clear()
    fleet.ordering._distrust("i-7")
    with gevent.Timeout(10):
        while fleet.tasks:
            gevent.sleep(0.001)
    assert fleet.orders.looks == ["i-7"]
