"""Compares strategies: callers that wait for a backoff overload its endpoint."""

import pytest

import backoff_strategies

BURST = "twice its capacity for 8 s"


def trial(strategy, load, vms):
    return backoff_strategies.Trial(
        strategy, backoff_strategies.LOAD_BY_NAME[load], vms
    )


@pytest.mark.parametrize("vms", [8, 60])
def test_requests_that_wait_are_refused_again_and_answered_late(vms):
    waiting = trial(backoff_strategies.Strategy.WAIT, BURST, vms)
    in_order = trial(backoff_strategies.Strategy.IN_ORDER, BURST, vms)
    assert waiting.refused_by_endpoint > 5 * in_order.refused_by_endpoint
    assert waiting.mean_latency_s > 1.5 * in_order.mean_latency_s


@pytest.mark.parametrize("vms", [8, 60])
def test_callers_that_return_in_order_are_refused_less_often(vms):
    at_end = trial(backoff_strategies.Strategy.AT_END, BURST, vms)
    in_order = trial(backoff_strategies.Strategy.IN_ORDER, BURST, vms)
    assert in_order.refused_by_endpoint < at_end.refused_by_endpoint
    assert in_order.served_share > at_end.served_share - 0.02
