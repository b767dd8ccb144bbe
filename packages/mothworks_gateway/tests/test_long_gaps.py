"""Estimates that decay, after any time without use."""

import collections.abc
import math

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

import virtual_time
from mothworks import demand as planner_demand, slot_usage
from mothworks_gateway import (
    caller_request,
    client_accounts,
    crash_histories,
    demand,
    endpoint_load,
    endpoint_rooms,
    endpoint_speeds,
    error_rates,
    fair_shares,
    queue_types,
    sliding_windows,
    spending_record,
    token_bucket,
)

TEN_YEARS_S = 10 * 366 * 86_400.0
#: Upper bound of the values that are added, per use.
MAX_AMOUNT = 1000.0
TARGET = caller_request.Target("s", "m")


@attrs.frozen
class Estimate:
    """An estimate under test.

    :param add: adds an amount at a time.
    :param values: returns all that is read of it at a time.
    :param most: upper bound of each value after one use.
    """

    add: collections.abc.Callable[[float, float], object]
    values: collections.abc.Callable[[float], list[float]]
    most: float = MAX_AMOUNT


def decaying_rate(half_life_s):
    decaying = demand._DecayingRate(half_life_s)

    def values(_):
        decaying.targets()
        return [decaying.rate(TARGET), decaying.total()]

    return Estimate(lambda amount, _: decaying.add(TARGET, amount), values)


def shares():
    fair = fair_shares.FairShares()
    return Estimate(
        lambda amount, now: fair.add("a", 1.0, amount, now),
        lambda now: [fair.usage("a", now), *fair.per_s_by_account(now).values()],
    )


def rates_of_errors():
    rates = error_rates.ErrorRates()

    def values(_):
        return [float(rates.is_outlier("i-1")), rates.counts_by_id["i-1"].error_rate]

    return Estimate(lambda amount, _: rates.add("i-1", "s", 1, int(amount)), values, 1)


def speeds():
    estimator = endpoint_speeds.SpeedEstimator()

    def add(amount, now):
        estimator.add_prefill("i-1", "m", 100, amount, now)
        estimator.add_decode("i-2", "m", 10, amount, now)
        estimator.overdue("i-1", 0.1, amount, now)
        estimator.add_run("m", amount, now)

    def values(now):
        estimator.recent_models(now)
        speed_of_each = [estimator.speed(item, now) for item in ("i-1", "i-2", "i-3")]
        prefill = estimator.prefill_tokens_per_s("i-1", now)
        return [*speed_of_each, prefill, estimator.mean_run_s("m", now) or 0.0]

    return Estimate(add, values, math.inf)


def bucket():
    cap = client_accounts.UsageCap(5.0, 50.0)
    credit = token_bucket.TokenBucket(cap, 1000.0)

    def values(now):
        return [max(0.0, credit.level), credit.wait_s(10.0, now)]

    return Estimate(credit.acquire, values)


def windowed_count():
    window = sliding_windows.WindowedCount(10.0)
    return Estimate(lambda *_: window.add(), lambda _: [window.count()])


def windowed_sum():
    window = sliding_windows.WindowedSum(10.0)
    return Estimate(lambda amount, _: window.add(amount), lambda _: [window.total()])


def record():
    spent = spending_record.SpendingRecord(10.0, 0.5)

    def add(_, now):
        spent.add("vm-1", "s", now)
        spent.merge(spent.rows(now), now)

    return Estimate(add, lambda now: [spent.count("s", now)])


def room():
    permits = endpoint_rooms.Room(8, 1000.0)

    def add(_, now):
        permits.granted_at_by_vm["vm-1"].append(now)
        permits.lower(now)

    def values(now):
        permits.recover(8, now)
        return [permits.capacity_for(0), permits.in_use(now)]

    return Estimate(add, values)


def load():
    capacity = queue_types.Capacity(8, 1000, 0.0)
    endpoint = endpoint_load.EndpointLoad(capacity, 1.0)
    return Estimate(
        lambda _, now: endpoint.lower(now),
        lambda now: [endpoint.limit(now), endpoint.next_rise_at(now) or 0.0],
        math.inf,
    )


def crashes():
    history = crash_histories.CrashHistory(set(), 1000.0)

    def add(amount, now):
        history.last_crash_at = now
        history.failed_trials += int(amount)

    return Estimate(add, lambda _: [history.next_trial_at], math.inf)


def planner_averages():
    averages = planner_demand.Averages()
    last_at = [1000.0]

    def values(now):
        averages.update(now - last_at[0])
        last_at[0] = now
        return [averages.rate, averages.fast, averages.slow]

    def add(amount, _):
        averages.new_arrivals += int(amount)

    # Arrivals within a nanosecond are a high rate.
    return Estimate(add, values, math.inf)


def slot_peak():
    usage = slot_usage.Usage()
    usage.peak_updated_at = 1000.0
    return Estimate(
        lambda amount, now: usage.update_peak(int(amount), now),
        lambda now: [usage.update_peak(0, now)],
    )


ESTIMATES = {
    "rate of requests": lambda: decaying_rate(demand.RECENT_HALF_LIFE_S),
    "rate of late answers": lambda: decaying_rate(demand.LATE_HALF_LIFE_S),
    "fair shares": shares,
    "error rates": rates_of_errors,
    "speeds": speeds,
    "token bucket": bucket,
    "windowed count": windowed_count,
    "windowed sum": windowed_sum,
    "spending record": record,
    "endpoint room": room,
    "endpoint load": load,
    "crash history": crashes,
    "demand of the planner": planner_averages,
    "peak of slots": slot_peak,
}
GAPS = st.one_of(
    st.sampled_from([0.0, 1e-9, 1.0, 1023.0, 1025.0, 2049.0, 1e6, TEN_YEARS_S]),
    st.floats(0.0, TEN_YEARS_S),
)
USES = st.lists(
    st.tuples(GAPS, st.none() | st.floats(0.001, MAX_AMOUNT)), min_size=1, max_size=12
)


# Guards against nodes that end by themselves at the first request after a quiet night:
# a weight that grows with the time since the last use exceeded the largest float.
@pytest.mark.parametrize("name", ESTIMATES)
@hypothesis.given(uses=USES)
@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
def test_any_gap_between_two_uses_gives_a_plausible_value(name, uses):
    with pytest.MonkeyPatch.context() as monkeypatch:
        clock = virtual_time.Clock(monkeypatch, demand, error_rates, sliding_windows)
        estimate = ESTIMATES[name]()
        estimate.add(1.0, clock.now)
        count = 1
        for gap_s, amount in uses:
            clock.advance(gap_s)
            if amount is not None:
                estimate.add(amount, clock.now)
                count += 1
            for value in estimate.values(clock.now):
                assert 0 <= value < math.inf
                assert value <= estimate.most * count
