"""The retry budget of all VMs holds while VMs stop, start and are cut off."""

import pytest

import retry_fleet_builders

#: Requests per second of a site of nine VMs, callers' own retries included.
PER_S = 60.0


def roll(fleet, count, at_once=3, away_s=0.8, rounds=3):
    """Stop and start all VMs one group after another, in several rounds."""
    for number in range(rounds):
        names = fleet.random.sample(fleet.names[:count], count)
        for group in range(0, count, at_once):
            at = 0.5 + 3.3 * number + group / at_once
            for name in names[group : group + at_once]:
                fleet.at(at, fleet.stop, name)
                fleet.at(at + away_s, fleet.start, name)


# Guards against a VM that starts again with the retries that its predecessor spent.
@pytest.mark.parametrize("seed", range(5))
def test_planned_restarts_of_all_vms_spend_no_retry_twice(monkeypatch, seed):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    roll(fleet, 9)
    fleet.run(24.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against the same where a VM is killed, so that nobody expects its return.
@pytest.mark.parametrize("seed", range(5))
def test_killed_vms_spend_no_retry_twice(monkeypatch, seed):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    for number, name in enumerate(fleet.random.sample(fleet.names, 7)):
        fleet.at(0.5 + number, fleet.kill, name)
        fleet.at(1.5 + number, fleet.start, name)
    fleet.run(24.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against a VM at another address that gets what the one before it has spent.
@pytest.mark.parametrize("seed", range(5))
def test_replaced_vms_spend_no_retry_twice(monkeypatch, seed):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    for number, name in enumerate(fleet.random.sample(fleet.names, 8)):
        fleet.at(0.5 + number, fleet.replace, name, f"new-{number}")
    fleet.run(24.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against VMs that all start at once and can't know what was spent before.
@pytest.mark.parametrize("seed", range(5))
def test_vms_that_all_start_at_once_spend_no_retry_twice(monkeypatch, seed):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    for name in fleet.names:
        fleet.at(3.0, fleet.kill, name)
        fleet.at(4.0, fleet.start, name)
    fleet.run(24.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against a VM that starts on the small side of a cut and takes it for the fleet.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("small_side", [1, 3, 4])
def test_vms_that_start_behind_a_cut_spend_their_part_only(
    monkeypatch, small_side, seed
):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    names = fleet.random.sample(fleet.names, small_side)
    fleet.at(1.0, fleet.cut, names)
    for name in names:
        fleet.at(2.0, fleet.kill, name)
        fleet.at(3.0, fleet.start, name)
    fleet.at(18.0, fleet.heal)
    fleet.run(32.0, PER_S)
    assert fleet.worst_excess() <= 0
