"""Endpoint speeds: found from the runs of a service, in virtual time."""

import math
import statistics

import pytest

import speed_strategies
from mothworks_gateway import endpoint_speeds

ALIKE = {f"i-{n}": 1.0 for n in range(3)}


def make_service(speed_by_id, **fields):
    return speed_strategies.Service(
        endpoint_speeds.SpeedEstimator(), dict(speed_by_id), **fields
    )


def estimator_of(*endpoint_ids, seconds=1.0):
    """Return an estimator that saw the same runs at some endpoints."""
    estimator = endpoint_speeds.SpeedEstimator()
    for n in range(40):
        for endpoint_id in endpoint_ids:
            estimator.add_decode(endpoint_id, "m", 1, seconds, n / 10)
    return estimator


# Guards against endpoints of deployment A that are taken for equally fast, and against
# errors from slow outliers: 15 of 100 samples take 2.5 times as long.
def test_speeds_are_found_from_noisy_samples():
    service = make_service(speed_strategies.speeds(3))
    service.run(15.0)
    assert all(0.75 < item < 1.3 for row in service.run(15.0) for item in row)


# Guards against an endpoint that appears slow since it holds large models.
def test_models_of_different_size_do_not_look_like_slow_endpoints():
    service = make_service(ALIKE, models=4)
    service.size_by_model["m-0"] = 10.0
    found = service.run(20.0)
    assert all(
        0.85 < statistics.fmean(items) < 1.15 for items in zip(*found, strict=True)
    )
    assert min(map(min, found)) > 0.6


# Guards against load that stays at a slow endpoint until its answers end. With a scale
# of 3, runs begin after up to 2 s and end after up to 20 s.
@pytest.mark.parametrize("scale", [1.0, 3.0])
def test_an_endpoint_that_becomes_slow_is_noticed_within_two_seconds(scale):
    seconds = []
    for seed in range(5):
        service = make_service(ALIKE, scale=scale, seed=seed)
        service.run(20.0)
        seconds.append(service.seconds_to_notice("i-0"))
        assert service.estimator.speed("i-0", service.now) < 0.6
    assert statistics.median(seconds) <= 2.0
    assert max(seconds) <= 2.5


# Guards against an endpoint that is avoided although it has recovered.
def test_an_endpoint_that_recovers_is_noticed():
    service = make_service(ALIKE)
    service.slow_down("i-0", 3.0)
    service.run(15.0)
    assert service.estimator.speed("i-0", service.now) < 0.6
    service.slow_down("i-0", 1 / 3)
    service.run(5.0)
    assert service.estimator.speed("i-0", service.now) > 0.75


# Guards against an endpoint that gets no more load, since one or two of its runs hung.
def test_outliers_change_nothing():
    estimator = estimator_of("a", "b")
    for n in range(2):
        estimator.add_decode("a", "m", 1, 30.0, 4.0 + n / 10)
        estimator.overdue("a", 1.0, 20.0 + n, 4.0 + n / 10)
    assert estimator.speed("a", 5.0) > 0.9


# Guards against a slow endpoint that is never tried again.
def test_a_speed_without_samples_returns_to_the_mean():
    estimator = estimator_of("a", "b")
    for n in range(40):
        estimator.add_decode("a", "m", 1, 3.0, 4.0 + n / 10)
        estimator.add_decode("b", "m", 1, 1.0, 4.0 + n / 10)
    speed = estimator.speed("a", 8.0)
    idle_s = endpoint_speeds.IDLE_S + endpoint_speeds.IDLE_HALF_LIFE_S
    assert speed < 0.6
    assert estimator.speed("a", 8.0 + idle_s) == pytest.approx(speed**0.5, rel=0.1)
    estimator.forget("a")
    assert estimator.speed("a", 8.0) == estimator.speed("unknown", 8.0) == 1.0


# Guards against memory that grows with the names that callers send.
def test_the_state_is_bounded():
    estimator = endpoint_speeds.SpeedEstimator()
    for n in range(5_000):
        estimator.add_prefill(f"i-{n}", f"m-{n}", 100, 0.1, n / 100)
        estimator.add_run(f"m-{n}", 1.0, n / 100)
        estimator.overdue("i-0", 0.1, n / 7, n / 100)
    assert len(estimator.endpoint_ids()) <= endpoint_speeds.MAX_ENDPOINTS
    assert len(estimator._usual_by_reference) <= endpoint_speeds.MAX_REFERENCES
    assert len(estimator.recent_models(50.0)) <= endpoint_speeds.MAX_MODELS
    overdue_by_start = estimator._endpoint_by_id["i-0"].overdue_by_start
    assert len(overdue_by_start) <= endpoint_speeds.MAX_OVERDUE


# Guards against an exception or a speed of NaN from a peer's row.
@pytest.mark.parametrize("value", [0, -1.0, 1e-320, math.nan, math.inf])
def test_implausible_samples_are_ignored(value):
    estimator = estimator_of("a", "b")
    for tokens, seconds in ((value, 1.0), (100, value)):
        estimator.add_prefill("a", "m", tokens, seconds, 4.0)
        estimator.add_decode("a", "m", tokens, seconds, 4.0)
        estimator.overdue("a", tokens, seconds, 4.0)
    estimator.add_run("m", value, 4.0)
    estimator.assume("a", value, 4.0)
    assert estimator.speed("a", 5.0) == pytest.approx(1.0, abs=0.05)
    assert estimator.mean_run_s("m", 5.0) is None


# Guards against models that get too few endpoints after their runs became longer.
def test_the_mean_run_time_follows_the_runs():
    estimator = endpoint_speeds.SpeedEstimator()
    for n in range(60):
        estimator.add_run("short", 1.0, float(n))
        estimator.add_run("long", 1.0 if n < 30 else 4.0, float(n))
    assert estimator.mean_run_s("short", 60.0) == pytest.approx(1.0)
    assert estimator.mean_run_s("long", 60.0) > 3.0
    assert 1.0 < estimator.mean_run_s("unknown", 60.0) < 3.0


# Guards against a prefill speed of the service that slow endpoints distort.
def test_the_prefill_speed_is_that_of_the_endpoint():
    service = make_service(speed_strategies.speeds(3), models=3)
    service.run(20.0)
    slow, _, fast = (
        service.estimator.prefill_tokens_per_s(f"i-{n}", service.now) for n in range(3)
    )
    assert 1.8 < fast / slow < 3.2
    assert 8_000 < slow < 20_000
