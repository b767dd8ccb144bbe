"""Demand: the request rates of models, as demand moves from model to model."""

import types

import pytest

import gateway_builders
from mothworks_gateway import caller_request, demand, heartbeat, residency

TARGET = caller_request.Target("s", "m")


class Clock:
    """Replaces the clock of the module under test."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock_stub = Clock()
    monkeypatch.setattr(demand, "time", clock_stub)
    return clock_stub


@pytest.fixture
def part(clock):
    parts = {
        residency.Residency: types.SimpleNamespace(on_waiting=[]),
        heartbeat.Heartbeats: types.SimpleNamespace(on_received=[]),
    }
    return demand.Demand(gateway_builders.Kernel(parts))


def send_requests(part, clock, per_s, seconds):
    """Send requests at a steady rate."""
    for _ in range(int(seconds / 0.25)):
        clock.now += 0.25
        arrived = (("s", "m", "", per_s * 0.25, 100),)
        part._on_heartbeat("vm-1", heartbeat.Heartbeat(1, 1, 0, arrived=arrived))


def test_demand_that_has_just_moved_to_a_model_is_observed(part, clock):
    # Demand moves to a model that was loaded for it. Two seconds later a rare model is
    # requested, and the busy one must not look like the cheapest to evict.
    send_requests(part, clock, per_s=4.0, seconds=2.0)
    assert part.rate(TARGET) > 2.0


def test_demand_that_paused_is_not_forgotten_at_once(part, clock):
    send_requests(part, clock, per_s=4.0, seconds=20.0)
    assert part.rate(TARGET) == pytest.approx(4.0, rel=0.1)
    clock.now += 4.0
    assert part.rate(TARGET) > 2.0


def test_reports_of_waiting_callers_are_merged_and_expire(part, clock):
    for vm, urgency in (("vm-1", 1), ("vm-2", 0)):
        part._on_waiting(vm, residency.WaitingCallers("s", "m", "", 2, urgency, 0.5))
    (unmet,) = part.unmet()
    assert (unmet.count, unmet.urgency) == (4, 0)
    clock.now += demand.REPORT_TTL_S + 0.1
    assert part.unmet() == []


def test_models_without_recent_requests_are_forgotten(part, clock):
    # Callers may send any model name, even undeclared ones. Each name used to be kept
    # for as long as the VM ran.
    for number in range(500):
        arrived = (("s", f"made-up-{number}", "", 1.0, 100),)
        part._on_heartbeat("vm-1", heartbeat.Heartbeat(1, 1, 0, arrived=arrived))
    clock.now += 120.0
    assert part.rate(TARGET) == 0.0
    assert part.models() == []


def test_the_total_counts_each_request_once(part, clock):
    # Requests for adapters count for their models, too. The scheduler reads the total
    # for each model that each endpoint might evict, so it is maintained incrementally.
    for number in range(3):
        arrived = (("s", f"m-{number}", "a1", 1.0, 100), ("s", "m", "", 2.0, 100))
        part._on_heartbeat("vm-1", heartbeat.Heartbeat(1, 1, 0, arrived=arrived))
        clock.now += 1.0
        models = [target for target in part.models() if not target.adapter]
        rates = sum(part.requests.steady.rate(target) for target in models)
        assert part.total() == pytest.approx(rates)


@pytest.mark.parametrize("half_life_s", [1.0, 5.0])
def test_a_mean_decays_continuously(clock, half_life_s):
    # Over two minutes, so that the weight is also reset.
    decaying = demand._DecayingRate(half_life_s)
    exact = 0.0
    for step in range(1200):
        clock.now += 0.1
        exact *= 0.5 ** (0.1 / half_life_s)
        if step % 7 == 0:
            decaying.add(TARGET, 3)
            exact += 3 * demand.LN_2 / half_life_s
        assert decaying.rate(TARGET) == pytest.approx(exact)
        assert decaying.total() == pytest.approx(exact)


def test_targets_requested_once_are_forgotten(clock):
    # Callers may send any model names, as many as they like.
    decaying = demand._DecayingRate(1.0)
    for number in range(1000):
        decaying.add(caller_request.Target("s", f"made-up-{number}"), 1)
    clock.now += 60.0
    decaying.add(TARGET, 1)
    assert list(decaying.weighted_by_target) == [TARGET]
    assert decaying.targets() == [TARGET]


def test_adapters_do_not_count_twice_in_the_total(clock):
    decaying = demand._DecayingRate(1.0)
    decaying.add(TARGET, 2)
    decaying.add(caller_request.Target("s", "m", "a1"), 2)
    assert decaying.total() == decaying.rate(TARGET)


def test_the_cost_of_a_heartbeat_does_not_grow_with_the_known_targets(
    part, clock, monkeypatch
):
    # A collector receives some 250 heartbeats a second. Each of them used to update the
    # means of all 300 targets one by one.
    for number in range(300):
        part.requests.add(caller_request.Target("s", f"m-{number}"), 1)
    full_scans = []
    original_above = demand._DecayingRate._above
    monkeypatch.setattr(
        demand._DecayingRate,
        "_above",
        lambda *args: full_scans.append(args) or original_above(*args),
    )
    send_requests(part, clock, per_s=4.0, seconds=3.0)
    assert full_scans == []
