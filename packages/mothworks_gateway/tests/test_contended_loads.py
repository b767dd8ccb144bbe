"""The loads of docs/design/contended-endpoints.md, in virtual time without network."""

import pytest

import queue_builders
from queue_builders import Callers, patient

SPEEDS = (1.0,) * 4


# Guards against patient requests that take the places of urgent ones, and against
# urgent ones that starve patient ones.
def test_urgent_requests_beside_a_patient_burst():
    outcomes = queue_builders.Simulation(SPEEDS).run(
        Callers("urgent", 60.0), patient("burst", 300.0, 4.0, 10.0)
    )
    assert outcomes["urgent"].in_time_share >= 0.97
    assert outcomes["burst"].answered_share >= 0.9


# Guards against promoted requests that make all others late or refused, once there are
# many of them since endpoints were lost.
def test_urgent_requests_while_half_of_the_endpoints_are_lost():
    simulation = queue_builders.Simulation(SPEEDS)
    simulation.lose(10.0, "e-2", "e-3")
    outcomes = simulation.run(
        Callers("urgent", 60.0, end_s=30.0), patient("burst", 300.0, 2.0, 10.0)
    )
    assert outcomes["urgent"].in_time_share >= 0.97


# Guards against an account that delays all others by sending more than its share.
def test_an_account_at_seven_times_its_usual():
    accounts = [Callers(name, 30.0, account=name) for name in ("a", "b", "c", "large")]
    burst = Callers("burst", 180.0, 4.0, 12.0, account="large")
    outcomes = queue_builders.Simulation(SPEEDS).run(*accounts, burst)
    for name in ("a", "b", "c"):
        assert outcomes[name].in_time_share >= 0.95


# Guards against a patient burst that delays an account's patient requests, or is lost.
def test_an_accounts_patient_burst_beside_two_other_accounts():
    outcomes = queue_builders.Simulation(SPEEDS).run(
        Callers("urgent", 40.0, account="a"),
        patient("third", 40.0, account="b"),
        patient("burst", 300.0, 4.0, 10.0, account="c"),
    )
    assert outcomes["urgent"].in_time_share >= 0.97
    assert outcomes["third"].in_time_share >= 0.95
    assert outcomes["burst"].answered_share >= 0.9


# Guards against capacity spent on answers that come too late, and against requests that
# are held although they cannot be served.
@pytest.mark.parametrize("load", [1.5, 2.5])
def test_an_overload_of_callers_that_come_back_once(load):
    simulation = queue_builders.Simulation(SPEEDS)
    outcomes = simulation.run(Callers("all", load * simulation.per_s))
    answered, in_time = simulation.goodput()
    assert answered >= 0.9
    assert in_time >= 0.9
    held = [held_s for held_s in outcomes["all"].held_s if held_s > 0.4]
    assert len(held) <= 0.005 * outcomes["all"].sent


# Guards against Retry-After at which there is no room: the callers of a short burst
# come back once.
def test_most_callers_that_come_back_after_a_burst_are_served():
    outcomes = queue_builders.Simulation(SPEEDS).run(
        Callers("usual", 100.0), Callers("burst", 400.0, 4.0, 6.0), seconds=80.0
    )
    refusals = sum(outcome.refusals for outcome in outcomes.values())
    given_up = sum(outcome.given_up for outcome in outcomes.values())
    assert refusals > 0
    assert given_up <= 0.2 * (refusals - given_up)


# Guards against slow endpoints that get as many requests as fast ones, and against
# places that are left idle at high load.
@pytest.mark.parametrize(
    ("speeds", "load"),
    [
        (SPEEDS, 0.8),
        (SPEEDS, 0.85),
        ((1.0, 1.0, 1.0, 1 / 3), 0.8),
        ((1.0, 1.0, 0.41, 1.0, 1.0, 0.41, 1.0, 1.0), 0.85),
    ],
)
def test_endpoints_of_equal_and_uneven_speeds(speeds, load):
    simulation = queue_builders.Simulation(speeds)
    outcomes = simulation.run(Callers("all", load * simulation.per_s))
    assert outcomes["all"].in_time_share >= 0.99
    loads = [
        simulation.answers_by_id[endpoint_id] / speed
        for endpoint_id, speed in simulation.speed_by_id.items()
    ]
    assert max(loads) < 1.5 * sum(simulation.answers_by_id.values()) / sum(speeds)
