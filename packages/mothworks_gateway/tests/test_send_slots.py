"""Send slots: all VMs together keep the limits of endpoints, and use them.

The tests simulate deployments of 1 to 300 VMs in virtual time. Callers request several
times the limit, while VMs are killed, restart, become silent or are partitioned from
each other. In no window of 4 s may an endpoint receive more than one and a half times
its limit plus five requests.
"""

import math

import pytest

import limit_simulation
from mothworks_gateway import send_slots

VM_COUNTS = pytest.mark.parametrize("count", [1, 3, 8, 60, 300])
LIMITS = pytest.mark.parametrize("per_s", [1.0, 1.5, 12.0])


def utilisation(endpoint, per_s, since, until):
    return len(endpoint.arrivals_between(since, until)) / (per_s * (until - since))


@VM_COUNTS
@LIMITS
def test_a_limit_is_kept_and_used(monkeypatch, count, per_s):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = per_s
    fleet.run(4.0, 6 * per_s)
    since = fleet.now
    fleet.run(12.0, 6 * per_s)
    assert endpoint.worst_ratio() <= 1.0
    assert utilisation(endpoint, per_s, since, fleet.now) >= 0.9


# Guards against a part of the limit that is reserved for idle VMs.
@VM_COUNTS
def test_callers_of_one_vm_get_the_whole_limit(monkeypatch, count):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 2.0
    fleet.run(4.0, 20.0)
    since = fleet.now
    fleet.run(10.0, 20.0, fleet.names[-1:])
    assert endpoint.worst_ratio() <= 1.0
    assert utilisation(endpoint, 2.0, since, fleet.now) >= 0.9


# Guards against requests that wait or are refused while another endpoint is free.
def test_requests_prefer_endpoints_without_a_limit(monkeypatch):
    fleet = limit_simulation.Fleet(monkeypatch, 8, endpoints=3)
    fleet.endpoints[0].per_s = 1.5
    fleet.run(8.0, 40.0)
    assert fleet.endpoints[0].worst_ratio() <= 1.0
    assert fleet.refusals == []
    assert max(fleet.waits) <= limit_simulation.STEP_S


# Guards against a caller that waits although no endpoint can run its request, or that
# is given a retry delay after which there is still no slot.
def test_requests_that_get_no_slot_are_refused_at_once(monkeypatch):
    fleet = limit_simulation.Fleet(monkeypatch, 8)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 1.0
    fleet.run(2.0, 10.0)
    fleet.refusals.clear()
    fleet.run(8.0, 10.0)
    assert len(fleet.refusals) >= 50
    assert max(fleet.waits) <= limit_simulation.MAX_WAIT_S + limit_simulation.STEP_S
    for _, at_limit in fleet.refusals:
        assert at_limit.endpoint is endpoint.registered
        assert at_limit.per_s == 1.0
        assert at_limit.age_s <= 2.5
        assert 0 < at_limit.retry_after_s <= 8.0


@VM_COUNTS
def test_a_lifted_limit_no_longer_applies_after_a_second(monkeypatch, count):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 1.5
    fleet.run(6.0, 40.0)
    endpoint.per_s = None
    fleet.run(1.0, 40.0)
    fleet.refusals.clear()
    fleet.waits.clear()
    fleet.run(4.0, 40.0)
    assert fleet.refusals == []
    assert max(fleet.waits) <= limit_simulation.STEP_S


# Guards against slots that were granted under a higher limit than the current one.
@VM_COUNTS
def test_a_lowered_limit_applies_at_once(monkeypatch, count):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 12.0
    fleet.run(6.0, 60.0)
    endpoint.per_s = 1.5
    fleet.run(0.5, 60.0)
    since = fleet.now
    fleet.run(8.0, 60.0)
    for offset_s in range(4):
        arrivals = endpoint.arrivals_between(since + offset_s, since + offset_s + 4.0)
        assert len(arrivals) <= math.floor(1.5 * 1.5 * 4 + 5)
    assert utilisation(endpoint, 1.5, since, fleet.now) >= 0.85


@VM_COUNTS
def test_a_raised_limit_is_used_at_once(monkeypatch, count):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 1.0
    fleet.run(6.0, 60.0)
    endpoint.per_s = 10.0
    fleet.run(2.0, 60.0)
    since = fleet.now
    fleet.run(4.0, 60.0)
    assert utilisation(endpoint, 10.0, since, fleet.now) >= 0.9


# Guards against an owner whose successor starts with full credit, or with none.
@pytest.mark.parametrize("count", [3, 8, 60])
@pytest.mark.parametrize("seed", range(3))
@LIMITS
def test_an_owner_that_dies_is_replaced_at_once(monkeypatch, count, seed, per_s):
    fleet = limit_simulation.Fleet(monkeypatch, count, seed=seed)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = per_s
    fleet.run(5.0, 6 * per_s)
    owner = fleet.owner_of(endpoint)
    fleet.stop_vms([owner])
    since = fleet.now
    fleet.run(4.0, 6 * per_s)
    fleet.update_membership()
    fleet.run(2.0, 6 * per_s)
    fleet.start_vms([owner])
    fleet.update_membership()
    fleet.run(6.0, 6 * per_s)
    assert endpoint.worst_ratio() <= 1.0
    assert utilisation(endpoint, per_s, since, fleet.now) >= 0.8


# Guards against VMs that each send one request to an endpoint whose limit they do not
# know.
@pytest.mark.parametrize("count", [8, 60, 300])
def test_vms_that_start_together_keep_the_limit(monkeypatch, count):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 1.5
    fleet.run(5.0, 40.0)
    fleet.stop_vms(fleet.names)
    fleet.run(1.0, 0.0)
    fleet.start_vms(fleet.names)
    fleet.run(10.0, 40.0)
    assert endpoint.worst_ratio() <= 1.0


# Guards against sides of a network partition that each send the whole limit.
@pytest.mark.parametrize("count", [8, 60])
@pytest.mark.parametrize("share", [0.2, 0.5, 0.7])
@pytest.mark.parametrize("seed", range(2))
@LIMITS
def test_sides_of_a_partition_together_keep_the_limit(
    monkeypatch, count, share, seed, per_s
):
    fleet = limit_simulation.Fleet(monkeypatch, count, seed=seed)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = per_s
    fleet.run(5.0, 6 * per_s)
    fleet.partition(fleet.rng.sample(fleet.names, int(share * count)))
    fleet.run(3.0, 6 * per_s)
    fleet.update_membership()
    fleet.run(10.0, 6 * per_s)
    fleet.end_partition()
    fleet.update_membership()
    fleet.run(6.0, 6 * per_s)
    assert endpoint.worst_ratio() <= 1.0


# Guards against isolated VMs that each send the whole limit.
@pytest.mark.parametrize("count", [3, 8, 60])
def test_vms_that_are_all_isolated_keep_the_limit(monkeypatch, count):
    fleet = limit_simulation.Fleet(monkeypatch, count)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 1.5
    fleet.run(5.0, 20.0)
    for number, name in enumerate(fleet.names):
        fleet.network.group_by_vm[name] = number
    fleet.run(3.0, 20.0)
    fleet.update_membership()
    since = fleet.now
    fleet.run(45.0, 20.0)
    assert endpoint.worst_ratio() <= 1.0
    assert utilisation(endpoint, 1.5, since, fleet.now) >= 0.25


# Guards against isolated VMs that forget after a minute that there were others.
def test_vms_that_are_isolated_for_minutes_keep_the_limit(monkeypatch):
    fleet = limit_simulation.Fleet(monkeypatch, 8)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 1.5
    fleet.run(5.0, 20.0)
    for number, name in enumerate(fleet.names):
        fleet.network.group_by_vm[name] = number
    fleet.run(3.0, 20.0)
    fleet.update_membership()
    fleet.run(120.0, 20.0)
    assert endpoint.worst_ratio() <= 1.0


def test_urgent_requests_get_slots_that_others_leave_free(monkeypatch):
    fleet = limit_simulation.Fleet(monkeypatch, 1)
    (endpoint,) = fleet.endpoints
    endpoint.per_s = 2.0
    fleet.run(2.0, 10.0)
    slots = fleet.vm_by_name["vm-0"].slots
    row = (endpoint.registered.id, 2.0, 0.0, 0.0)

    def granted(urgency):
        count = 0
        while slots._grant(send_slots.SendSlotRequest(row, 10.0, urgency)).granted:
            count += 1
        return count

    fleet.run(5.0, 0.0)
    assert granted(urgency=3) >= 1
    assert granted(urgency=3) == 0
    assert granted(urgency=0) >= 2
