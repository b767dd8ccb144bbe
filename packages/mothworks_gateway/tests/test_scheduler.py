"""Scheduler: when a model gets a further endpoint."""

import types

import pytest

import gateway_builders
from mothworks_gateway import (
    caller_request,
    declaration_types,
    declarations,
    demand,
    discovery,
    endpoint_state,
    job_execution,
    lease,
    order_sender,
    placement_candidates,
    residency,
    running_requests,
    scheduler,
)

TARGET = caller_request.Target("s", "m")
ACCELERATOR = declaration_types.Accelerator(100.0, 8, 32, 10_000, 5.0, {})


class Demand:
    """Stub of the demand, without late answers."""

    late = types.SimpleNamespace(rate=lambda _: 0.0)

    def rate(self, _):
        return 10.0


class Placement:
    """Stub of the placement: a model's holders and the requests that run there."""

    def __init__(self, holders, running):
        self.states = holders
        self.request_count = running

    def endpoints_holding(self, _):
        return self.states

    def running(self, *_):
        return self.request_count

    def capacity(self, states):
        return len(states)


@pytest.fixture
def make_scheduler():
    def build(loaded, loading, running):
        holders = [state(True) for _ in range(loaded)]
        holders += [state(False) for _ in range(loading)]
        stub = types.SimpleNamespace(on_acquired=[], on_waiting=[], follower=None)
        parts = dict.fromkeys(
            (
                lease.Lease,
                declarations.Declarations,
                discovery.Discovery,
                running_requests.RunningRequests,
                job_execution.JobExecutor,
                order_sender.OrderSender,
                residency.Residency,
            ),
            stub,
        )
        parts |= {
            demand.Demand: Demand(),
            placement_candidates.Placement: Placement(holders, running),
        }
        return scheduler.Scheduler(gateway_builders.Kernel(parts))

    return build


def state(loaded):
    models = ("m",) if loaded else ()
    loaded_state = endpoint_state.EndpointState(
        gateway_builders.endpoint("i-1", models=models), ACCELERATOR
    )
    loaded_state.adapters_by_model = {name: set() for name in models}
    return loaded_state


def needs_more(part):
    return part._needs_more(TARGET, ACCELERATOR)


def test_a_model_with_nearly_full_batches_gets_another_endpoint(make_scheduler):
    assert needs_more(make_scheduler(loaded=1, loading=0, running=12))
    assert not needs_more(make_scheduler(loaded=1, loading=0, running=5))


def test_a_model_waits_for_an_endpoint_that_is_loading_it(make_scheduler):
    assert not needs_more(make_scheduler(loaded=1, loading=1, running=20))


def test_a_burst_does_not_wait_for_an_endpoint_that_is_loading_the_model(
    make_scheduler,
):
    # Forty requests run on an endpoint with a batch of 32, and the next endpoint is
    # ready in four seconds. Until then answers begin 0.3 to 0.8 s late, unless an
    # endpoint with the weights on its disk takes over within a second.
    assert needs_more(make_scheduler(loaded=1, loading=1, running=40))


def test_a_model_without_holders_is_not_spread(make_scheduler):
    assert not needs_more(make_scheduler(loaded=0, loading=0, running=40))
