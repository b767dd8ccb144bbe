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


# Guards against an owner that dies, or stands still, with grants that nobody knows of.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("has_end", [False, True])
def test_owners_that_fall_silent_spend_no_retry_twice(monkeypatch, has_end, seed):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    owners_by_rank = fleet.owners("s")
    for number, name in enumerate(owners_by_rank[:3]):
        fleet.at(0.4 + 4 * number, fleet.freeze, name)
        fleet.at(3.4 + 4 * number, fleet.start if has_end else fleet.thaw, name)
    fleet.run(24.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against two sides that both grant what is left, before they notice their cut.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("before_s", [0.0, 2.0, 4.0])
def test_a_burst_at_the_moment_of_a_cut_is_not_granted_twice(
    monkeypatch, before_s, seed
):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9, seed)
    fleet.run(before_s, 6.0, fleet.names[:1])
    fleet.cut(fleet.names[:4])
    fleet.run(10.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against faults that overlap: stops, kills, replacements, freezes and cuts.
@pytest.mark.parametrize(
    ("count", "seed"), [*((9, seed) for seed in range(8)), (40, 1), (40, 2)]
)
def test_faults_in_series_spend_no_retry_twice(monkeypatch, count, seed):
    fleet = retry_fleet_builders.Fleet(monkeypatch, count, seed)
    retry_fleet_builders.add_faults(fleet, 20.0)
    fleet.run(30.0, PER_S)
    assert fleet.worst_excess() <= 0


# Guards against a fixed number that is kept from callers where no VM starts.
@pytest.mark.parametrize("count", [1, 9, 40])
def test_the_fixed_number_is_used_where_no_vm_starts(monkeypatch, count):
    fleet = retry_fleet_builders.Fleet(monkeypatch, count)
    fleet.run(9.0, PER_S / 9 * count)
    used = len(fleet.retries)
    bounds = retry_fleet_builders.BOUNDS
    allowed = bounds.retry_share * len(fleet.requests) + bounds.retry_slack
    assert 0.7 * allowed <= used <= allowed


# Guards against a VM with few callers that may not use what the others leave.
@pytest.mark.parametrize("count", [9, 100])
def test_one_vm_may_use_what_the_others_leave(monkeypatch, count):
    fleet = retry_fleet_builders.Fleet(monkeypatch, count)
    fleet.run(9.0, 4.0, fleet.names[:1])
    assert len(fleet.retries) >= 0.7 * retry_fleet_builders.BOUNDS.retry_slack


# Guards against callers of a VM that starts who get no retry though some are left.
@pytest.mark.parametrize("ends", ["stop", "kill"])
def test_a_vm_that_starts_has_retries_at_once(monkeypatch, ends):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9)
    name = fleet.names[0]
    getattr(fleet, ends)(name)
    fleet.run(1.0, 0.0)
    fleet.start(name)
    fleet.run(1.0, 0.0)
    fleet.run(1.0, 5.0, [name])
    assert fleet.retries_by_vm[name] >= 4


# Guards against VMs of the version before, which spend their own parts, during an
# upgrade of all VMs.
def test_vms_of_an_older_version_keep_their_parts(monkeypatch):
    fleet = retry_fleet_builders.Fleet(monkeypatch, 9)
    old_vms = fleet.names[:6]
    for name in old_vms:
        fleet.vm_by_name[name].make_old()
    fleet.run(10.5, 0.0)
    fleet.run(9.0, PER_S, fleet.names[6:])
    bounds = retry_fleet_builders.BOUNDS
    allowed = bounds.retry_share * len(fleet.requests)
    assert len(fleet.retries) <= allowed + bounds.retry_slack * 3 / 9
