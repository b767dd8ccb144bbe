"""Scheduler: when a model gets a further endpoint."""

import types

import pytest

import gateway_builders
from mothworks_gateway import (
    asked,
    declarations,
    declared,
    demand,
    discovery,
    lease,
    load,
    offers,
    ordering,
    residency,
    scheduler,
    site_orders,
    sites,
)

TARGET = asked.Target("s", "m")
ACCELERATOR = declared.Accelerator(100.0, 8, 32, 10_000, 5.0, {})


class Demand:
    """Stands for the demand, with no late answers."""

    late = types.SimpleNamespace(rate=lambda _: 0.0)

    def rate(self, _):
        return 10.0


class Offers:
    """Stands for the offers: some sites hold a model, and requests run there."""

    def __init__(self, holders, running):
        self.found = holders
        self.count = running

    def holders(self, _):
        return self.found

    def running(self, *_):
        return self.count

    def room(self, held_by):
        return len(held_by)


@pytest.fixture
def make():
    def made(loaded, coming, running):
        holders = [state(True) for _ in range(loaded)]
        holders += [state(False) for _ in range(coming)]
        plain = types.SimpleNamespace(on_gained=[], on_wanted=[], follower=None)
        parts = dict.fromkeys(
            (
                lease.Lease,
                declarations.Declarations,
                discovery.Discovery,
                load.Load,
                ordering.Ordering,
                site_orders.SiteOrders,
                residency.Residency,
            ),
            plain,
        )
        parts |= {demand.Demand: Demand(), offers.Offers: Offers(holders, running)}
        return scheduler.Scheduler(gateway_builders.Kernel(parts))

    return made


def state(loaded):
    models = ("m",) if loaded else ()
    made = sites.EndpointState(
        gateway_builders.endpoint("i-1", models=models), ACCELERATOR
    )
    made.adapters_by_model = {name: set() for name in models}
    return made


def needs_more(made):
    return made._needs_more(TARGET, ACCELERATOR)


def test_a_model_whose_batches_fill_gets_another_endpoint(make):
    assert needs_more(make(loaded=1, coming=0, running=12))
    assert not needs_more(make(loaded=1, coming=0, running=5))


def test_a_model_waits_for_the_endpoint_that_is_on_its_way(make):
    assert not needs_more(make(loaded=1, coming=1, running=20))


def test_a_burst_does_not_wait_for_the_endpoint_that_is_on_its_way(make):
    # Forty requests run at an endpoint whose batch takes 32, and the next one is
    # ready in four seconds. Until then answers begin 0.3 to 0.8 s late, unless
    # one that has the weights on its disk helps within a second.
    assert needs_more(make(loaded=1, coming=1, running=40))


def test_a_model_that_nobody_holds_is_no_matter_of_spreading(make):
    assert not needs_more(make(loaded=0, coming=0, running=40))
