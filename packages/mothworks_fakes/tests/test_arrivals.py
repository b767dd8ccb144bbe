"""Arrival schedules of the load generator."""

from mothworks_fakes import arrivals


def traffic(**changes):
    fields = {"name": "chat", "key": "key", "model": "menu", "rate_per_s": 20.0}
    return arrivals.Traffic(**{**fields, **changes})


def test_schedule_is_determined_by_its_seed():
    first = arrivals.schedule((traffic(),), 20, seed=3)
    assert first == arrivals.schedule((traffic(),), 20, seed=3)
    assert first != arrivals.schedule((traffic(),), 20, seed=4)


def test_arrivals_are_ordered_and_within_the_duration():
    times = [item.due_s for item in arrivals.schedule((traffic(),), 20, seed=3)]
    assert times == sorted(times)
    assert all(0 <= time < 20 for time in times)


def test_burst_multiplies_the_rate():
    burst = arrivals.Burst(10, 10, 10)
    schedule = arrivals.schedule((traffic(bursts=(burst,)),), 30, seed=3)
    inside = sum(10 <= item.due_s < 20 for item in schedule)
    outside = len(schedule) - inside
    assert 1600 < inside < 2400
    assert 300 < outside < 500
