"""The endpoint queue: room, order, refusals, idempotent reports, and bad input."""

import math
import random

import pytest

import queue_builders
from mothworks_gateway import endpoint_queue
from queue_builders import capacity, granted, make_queue, refused, request


def fill(queue, count, now=0.0, **fields):
    """Add requests with tickets from 100 on, and return the decisions."""
    for ticket in range(100, 100 + count):
        queue.add(request(ticket, now=now, **fields), now)
    return queue.decide(now)


def end(queue, ticket, now):
    queue.ended(("vm-1", ticket), now)
    return queue.decide(now)


# Guards against an endpoint that preempts requests because its memory is exceeded, and
# against large requests that small ones delay without end.
def test_the_memory_bound_holds_and_large_requests_run():
    rng = random.Random(3)
    queue = make_queue(a=capacity(16, 69_000, 20_000.0))
    size_by_ticket = {}
    running = {}
    waited_s = {}
    now = 0.0
    for ticket in range(2_000):
        now += 0.05
        size_by_ticket[ticket] = size = 40_000 if ticket % 20 == 0 else 5_000
        queue.add(request(ticket, now=now, memory_tokens=size, send_s=60.0), now)
        waited_s[ticket] = now
        for done in [t for t, ends_at in running.items() if ends_at <= now]:
            del running[done]
            queue.ended(("vm-1", done), now)
        decisions = queue.decide(now)
        for started in granted(decisions):
            running[started] = now + rng.uniform(0.3, 0.6)
            waited_s[started] = now - waited_s[started]
        assert sum(size_by_ticket[t] for t in running) <= 69_000
    assert max(waited_s[t] for t in range(1_900) if t % 20 == 0) < 5.0


# Guards against streams that pause while an endpoint reads many prompts, and against a
# long prompt that never fits.
def test_prompts_that_are_not_read_are_bounded():
    queue = make_queue(a=capacity(16, 0, 10_000.0))
    queue.add(request(1, prompt_tokens=1_000, objective_s=9.0), 0.0)
    queue.add(request(2, prompt_tokens=1_000, objective_s=9.0), 0.0)
    queue.add(request(3, prompt_tokens=9_000, objective_s=8.0), 0.0)
    assert list(granted(queue.decide(0.0))) == [3]
    queue.began(("vm-1", 3), 0.9)
    assert list(granted(queue.decide(0.9))) == [1]
    # The message on its first event is lost.
    assert queue.decide(1.1) == []
    assert queue.next_at() == pytest.approx(1.2)
    assert list(granted(queue.decide(1.21))) == [2]


def test_shared_tokens_are_read_where_they_are_not_cached():
    # The first endpoint has cached a shared prompt of 0.1 s.
    queue = make_queue(a=capacity(4, 0, 10_000.0), b=capacity(4, 0, 10_000.0))
    fields = {"endpoint_ids": ("b", "a"), "prompt_tokens": 100, "shared_tokens": 1_000}
    queue.add(request(1, **fields), 0.0)
    assert granted(queue.decide(0.0)) == {1: "b"}


def test_endpoints_of_the_callers_data_centre_are_preferred_while_they_are_not_full():
    queue = make_queue(a=capacity(10), b=capacity(10))
    fields = {"endpoint_ids": ("a", "b"), "local_ids": frozenset({"b"})}
    chosen_ids = list(granted(fill(queue, 12, **fields)).values())
    assert chosen_ids.count("b") >= 7
    assert chosen_ids.count("a") >= 4


# Guards against patient requests that hold all places when an urgent one arrives.
def test_patient_requests_leave_places_to_urgent_ones():
    queue = make_queue()
    patient = {"is_patient": True, "urgency": 1, "objective_s": 6.0, "send_s": 20.0}
    assert len(granted(fill(queue, 10, **patient))) == 3
    queue.add(request(1), 0.0)
    assert granted(queue.decide(0.0)) == {1: "a"}


# Guards against patient requests that starve while urgent ones take all places.
def test_patient_requests_finish_beside_more_urgent_ones_than_fit():
    queue = make_queue()
    queue.add(request(0, is_patient=True, urgency=1, objective_s=6.0, send_s=20.0), 0.0)
    running = {}
    now = 0.0
    granted_at = None
    for ticket in range(1, 3_000):
        now += 0.01
        for done in [t for t, ends_at in running.items() if ends_at <= now]:
            del running[done]
            queue.ended(("vm-1", done), now)
        queue.add(request(ticket, now=now), now)
        started = granted(queue.decide(now))
        running.update(dict.fromkeys(started, now + 0.08))
        if 0 in started:
            granted_at = now
            break
    assert granted_at is not None
    assert granted_at < 20.0


# Guards against places that stay free beside a patient request until it is refused, and
# against patient requests that are refused beside urgent ones.
def test_a_patient_request_is_promoted():
    queue = make_queue()
    patient = {"is_patient": True, "urgency": 1, "objective_s": 6.0, "send_s": 20.0}
    fill(queue, 4, **patient)
    assert queue.decide(15.9) == []
    assert granted(queue.decide(16.1)) == {103: "a"}

    queue = make_queue()
    fill(queue, 5)
    queue.add(request(1, **patient), 0.0)
    assert queue.decide(0.0) == []
    queue.decide(16.1)
    for ticket in range(10, 20):
        queue.add(request(ticket, now=16.2), 16.2)
        assert queue.decide(16.2) == []
    decisions = [end(queue, 100 + number, 16.2) for number in range(4)]
    assert 1 in granted(sum(decisions, []))


# Guards against an account's burst that delays another's requests of equal urgency.
def test_the_account_that_received_least_goes_first():
    queue = make_queue()
    fill(queue, 20, account="large")
    queue.add(request(1, account="small", now=0.01), 0.01)
    assert queue.decide(0.01) == []
    assert 1 in granted(end(queue, 100, 0.05)) | granted(end(queue, 101, 0.05))


# Guards against requests that are held until their deadline although it is certain that
# they cannot be served, and against refused callers that return together.
def test_a_request_without_room_in_time_is_refused_at_once():
    queue = make_queue()
    decisions = fill(queue, 300, send_s=1.0)
    refusals = refused(decisions)
    assert len(refusals) > 100
    assert {item.reason for item in refusals.values()} == {endpoint_queue.NO_ROOM}
    waits = sorted(item.retry_after_s for item in refusals.values())
    assert waits[0] >= endpoint_queue.queue_estimates.MIN_RETRY_AFTER_S
    assert all(a < b for a, b in zip(waits, waits[1:], strict=False))
    assert queue.expected_wait_s(("vm-1", 110), 0.0) <= 1.0


def test_a_request_that_was_not_granted_in_time_is_refused():
    queue = make_queue()
    fill(queue, 6, send_s=1.0)
    while (next_at := queue.next_at()) is not None:
        assert next_at <= 1.0
        decisions = queue.decide(next_at)
    assert refused(decisions)[105].reason == endpoint_queue.NOT_GRANTED
    assert not granted(decisions)


def test_the_number_of_waiting_requests_is_bounded():
    queue = make_queue()
    decisions = fill(queue, endpoint_queue.MAX_WAITING + 50, send_s=500.0)
    assert len(queue.entry_by_key) <= endpoint_queue.MAX_WAITING
    assert endpoint_queue.QUEUE_FULL in {i.reason for i in refused(decisions).values()}


# Guards against an endpoint that gets, again and again, requests that it refuses.
def test_a_refusal_for_lack_of_room_lowers_the_limit_which_rises_again():
    queue = make_queue(a=capacity(10))
    # Ten slots, and one more for the round trip.
    assert len(granted(fill(queue, 30, objective_s=30.0, send_s=60.0))) == 11
    queue.was_full(("vm-1", 100), 0.0)
    assert queue.decide(0.0) == []
    assert end(queue, 101, 0.1) == end(queue, 102, 0.1) == []
    assert len(granted(end(queue, 103, 0.1))) == 1
    assert queue.next_at() == pytest.approx(2.0)
    assert len(granted(queue.decide(2.0))) == 1


# Guards against an account that waits for others because its callers left, or because
# its requests could not be sent.
def test_a_request_that_was_not_sent_costs_its_account_nothing():
    queue = make_queue(a=capacity(4))
    queue.add(request(1, account="a"), 0.0)
    assert granted(queue.decide(0.0)) == {1: "a"}
    queue.withdraw(("vm-1", 1), 0.0)
    assert queue.shares.usage("a", 0.0) == pytest.approx(0.0)


# Guards against timers that add up, and slow down all decisions, at an endpoint that
# can run less than it declares.
def test_the_timers_of_an_endpoint_that_keeps_refusing_are_bounded():
    queue = make_queue(a=capacity(6))
    now = 0.0
    for ticket in range(500):
        now += 0.1
        queue.add(request(ticket, now=now), now)
        for started in granted(queue.decide(now)):
            queue.was_full(("vm-1", started), now)
    # One for the limit, and one for each request.
    assert len(queue._timers) <= 1 + len(queue.entry_by_key)


# Guards against places that are counted twice, or are lost, when messages are repeated.
def test_repeated_reports_are_idempotent():
    queue = make_queue(a=capacity(4, 1_000), b=capacity(4))
    for _ in range(3):
        queue.adopt(("vm-2", 1), "a", 900, False, 0.0)
        queue.adopt(("vm-2", 1), "a", 900, True, 0.0)
        queue.add(request(1, memory_tokens=500), 0.0)
    assert queue.decide(0.0) == []
    for _ in range(2):
        queue.ended(("vm-2", 1), 0.1)
        queue.began(("vm-2", 1), 0.1)
        queue.was_full(("vm-2", 1), 0.1)
    assert granted(queue.decide(0.1)) == {1: "a"}
    # The grant was lost with a message: the VM asks again and gets the same place.
    queue.add(request(1, memory_tokens=500), 0.2)
    assert granted(queue.decide(0.2)) == {1: "a"}
    queue.adopt(("vm-1", 1), "b", 500, False, 0.3)
    queue.add(request(2, memory_tokens=1_000), 0.3)
    assert granted(queue.decide(0.3)) == {2: "a"}
    for _ in range(2):
        queue.drop_vm("vm-1", 0.4)
        queue.withdraw(("vm-1", 1), 0.4)
    assert not queue.grant_by_key
    assert queue.decide(0.4) == []
    assert queue.next_at() is None


# Guards against a place that is granted again after it was released.
def test_a_report_overtakes_a_repeated_grant():
    queue = make_queue()
    fill(queue, 1)
    queue.add(request(100), 0.1)
    queue.ended(("vm-1", 100), 0.1)
    assert queue.decide(0.1) == []
    queue.set_capacities({}, 0.2)
    fill(queue, 1, now=0.2)
    queue.set_capacities({"a": capacity()}, 0.3)
    queue.add(request(100, now=0.3), 0.3)
    assert granted(queue.decide(0.3)) == {100: "a"}


def test_a_repeated_request_keeps_its_arrival():
    queue = make_queue()
    fill(queue, 6, send_s=30.0)
    # It now knows a second endpoint, which is full, too.
    again = request(105, now=3.0, send_s=30.0, endpoint_ids=("a", "gone"))
    queue.add(again, 3.0)
    assert queue.entry_by_key["vm-1", 105].request.arrived_at == 0.0
    assert list(granted(end(queue, 100, 3.1))) == [105]


# Guards against requests that wait for endpoints that are gone, and against grants
# there that are never released.
def test_requests_whose_endpoints_are_gone_may_choose_anew():
    queue = make_queue(a=capacity(), b=capacity())
    fill(queue, 6)
    queue.add(request(1, endpoint_ids=("a", "b")), 0.0)
    assert granted(queue.decide(0.0)) == {1: "b"}
    queue.set_capacities({"b": capacity()}, 0.1)
    gone = refused(queue.decide(0.1))
    assert gone[105] == endpoint_queue.Refused(
        ("vm-1", 105), 0.0, endpoint_queue.NO_ENDPOINT
    )
    assert list(queue.grant_by_key) == [("vm-1", 1)]
    queue.set_capacities({"b": capacity(accepts=False)}, 0.2)
    queue.add(request(2, endpoint_ids=("b",)), 0.2)
    assert refused(queue.decide(0.2))[2].retry_after_s == 0.0


# Guards against a new owner that fills endpoints where a former owner's requests run.
def test_runs_that_the_queue_did_not_grant_take_places():
    queue = make_queue()
    queue.set_outside({"a": 4, "unknown": 3})
    assert len(granted(fill(queue, 6))) == 1
    queue.set_outside({})
    assert len(granted(queue.decide(0.1))) == 4


def test_a_request_that_waits_uses_an_endpoint_that_is_added():
    queue = make_queue()
    fill(queue, 6, endpoint_ids=("a", "b"))
    queue.set_capacities({"a": capacity(), "b": capacity()}, 0.1)
    assert granted(queue.decide(0.1)) == {105: "b"}


# Guards against divisions by zero and endless loops when messages have bad numbers.
@pytest.mark.parametrize(
    "fields",
    [
        {"weight": 0.0},
        {"weight": -1.0},
        {"weight": math.nan},
        {"endpoint_ids": ()},
        {"endpoint_ids": ("a", "a", *map(str, range(40)))},
        {"send_s": -5.0},
        {"send_s": math.nan},
        {"send_s": math.inf},
        {"objective_s": math.nan},
        {"objective_s": -math.inf},
        {"prompt_tokens": -(10**40), "memory_tokens": -5},
        {"prompt_tokens": 10**40, "memory_tokens": 10**40},
        {"urgency": -(10**40)},
    ],
)
def test_bad_requests_are_decided_and_do_not_affect_others(fields):
    queue = make_queue(a=capacity(4, 10_000, 1_000.0))
    decisions = fill(queue, 10, **fields)
    for _ in range(200):
        now = queue.next_at()
        if now is None:
            break
        decisions += queue.decide(now)
        for ticket in granted(decisions):
            queue.ended(("vm-1", ticket), now)
    assert len(granted(decisions) | refused(decisions)) == 10
    queue.add(request(1, now=2_000.0), 2_000.0)
    assert granted(queue.decide(2_000.0)) == {1: "a"}


@pytest.mark.parametrize(
    "bad",
    [
        capacity(0),
        capacity(-3),
        capacity(4, speed=0.0),
        capacity(4, speed=math.nan),
        capacity(4, -5, -2.0),
        capacity(4, 100, math.nan),
        capacity(4, max_unread_s=math.nan),
    ],
)
def test_bad_capacities_are_bounded(bad):
    queue = make_queue(a=bad)
    decisions = fill(queue, 8, prompt_tokens=5, memory_tokens=5)
    for ticket in granted(decisions):
        queue.ended(("vm-1", ticket), 0.1)
    decisions += queue.decide(5.0)
    assert len(granted(decisions) | refused(decisions)) == 8


# Guards against memory that grows with accounts and tickets that come and go.
def test_state_is_bounded():
    queue = make_queue(a=capacity(2), b=capacity(2))
    for ticket in range(6_000):
        now = ticket * 0.01
        fields = {"account": str(ticket), "endpoint_ids": ("a", "b"), "send_s": 500.0}
        queue.add(request(ticket, f"vm-{ticket}", now, 300.0, **fields), now)
        queue.decide(now)
        queue.withdraw((f"vm-{ticket - 20}", ticket - 20), now)
        queue.decide(now)
    assert len(queue.entry_by_key) + len(queue.grant_by_key) <= 20
    sizes = queue_builders.container_sizes(queue)
    assert max(sizes.values()) <= 1_200, sizes


# Guards against bounds that are exceeded, requests that wait beside free places, and
# counts that drift, in any order of reports.
@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_in_any_order_of_reports(seed):
    rng = random.Random(seed)
    ids = ("a", "b", "c", "d")
    queue = make_queue(**dict.fromkeys(ids, capacity(4, 10_000, 10_000.0)))
    now = 0.0
    open_keys = []
    for ticket in range(3_000):
        now += rng.expovariate(60.0)
        vm = f"vm-{rng.randrange(3)}"
        known = rng.choice(open_keys) if open_keys else (vm, 0)
        match rng.randrange(12):
            case 0:
                queue.withdraw(known, now)
            case 1:
                queue.was_full(known, now)
            case 2:
                queue.adopt(known, rng.choice(ids), 500, rng.random() < 0.5, now)
            case 3 if rng.random() < 0.05:
                queue.drop_vm(vm, now)
            case 3 if rng.random() < 0.1:
                left = rng.sample(ids, 3)
                queue.set_capacities(
                    {i: capacity(4, 10_000, 10_000.0) for i in left}, now
                )
            case 3:
                queue.set_outside({rng.choice(ids): rng.randrange(4)})
            case 4 | 5 | 6:
                queue.began(known, now)
                queue.ended(known, now)
            case _:
                added = request(
                    ticket,
                    vm,
                    now,
                    objective_s=rng.choice((0.2, 2.0)),
                    send_s=rng.choice((0.3, 3.0, 9.0)),
                    endpoint_ids=tuple(rng.sample(ids, rng.randint(1, 4))),
                    prompt_tokens=rng.choice((0, 300, 4_000)),
                    memory_tokens=rng.choice((500, 2_000, 9_000)),
                    urgency=rng.randrange(2),
                    account=rng.choice("xyz"),
                    is_patient=rng.random() < 0.3,
                )
                queue.add(added, now)
        decisions = queue.decide(now)
        assert all(i.key not in queue.entry_by_key for i in decisions)
        assert queue.next_at() is None or queue.next_at() >= now
        for endpoint_id, load in queue.load_by_id.items():
            at = [
                i for i in queue.grant_by_key.values() if i.endpoint_id == endpoint_id
            ]
            assert list(load.grant_by_key.values()) == at
            assert load.running == len(at) + load.outside
            assert load.memory_tokens == sum(i.memory_tokens for i in at)
            assert load.unread_s == pytest.approx(sum(i.unread_s for i in at))
        open_keys = [*queue.entry_by_key, *queue.grant_by_key]
        if queue.entry_by_key:
            free = [i for i, load in queue.load_by_id.items() if not load.running]
            for entry in queue.entry_by_key.values():
                assert not set(free) & set(entry.request.endpoint_ids)
    for vm in ("vm-0", "vm-1", "vm-2"):
        queue.drop_vm(vm, now)
    sizes = queue_builders.container_sizes(queue)
    assert queue.next_at() is None
    assert not any(load.running - load.outside for load in queue.load_by_id.values())
    assert not any(size for path, size in sizes.items() if "buckets_by_rank" in path)
