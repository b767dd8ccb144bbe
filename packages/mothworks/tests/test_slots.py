"""Tests of the queue, batch and concurrency limit of one endpoint."""

import time

import pytest

import builders
from mothworks import (
    batches,
    concurrency_limit,
    exclusive_queue,
    kernel,
    request_queue,
    row_classes,
    slot_messages,
    slot_owner,
    slot_rows,
)

URGENT, STANDARD, BULK = range(3)


class Owner:
    """A batch, and its replies to each slot request."""

    def __init__(self, slots=1, closed_reason="", share=1.0, can_preempt=False):
        self.closed_reason = closed_reason
        self.replies_by_request = {}
        self.batch = batches.Batch(
            slots,
            lambda request: self.closed_reason,
            lambda caller: share,
            can_preempt=can_preempt,
        )
        self.batch.limit.value = slots
        self.number_by_request = {}

    def request(self, request_id, rank=URGENT, entry="vm-1", **changes):
        number = self.number_by_request.setdefault(
            request_id, len(self.number_by_request) + 1
        )
        replies = self.replies_by_request.setdefault(request_id, [])
        slot_request = builders.slot_request(request_id, rank, number=number, **changes)
        self.batch.request(slot_request, entry, replies.append)
        return self.last_status(request_id)

    def release(self, request_id, entry="vm-1", **sample):
        self.batch.release((entry, self.number_by_request[request_id]), **sample)

    def last_status(self, request_id):
        return slot_messages.SlotStatus(self.replies_by_request[request_id][-1].status)

    def granted(self):
        return [
            name
            for name in self.replies_by_request
            if self.last_status(name) is slot_messages.SlotStatus.GRANTED
        ]


def test_queue_orders_by_class_and_then_by_deadline():
    owner = Owner()
    owner.request("running")
    owner.request("bulk", BULK)
    owner.request("standard", STANDARD)
    owner.request("late", URGENT, target_ms=1500)
    owner.request("soon", URGENT, target_ms=800)
    order = ["running"]
    for _ in range(4):
        owner.release(order[-1])
        order += [name for name in owner.granted() if name not in order]
    assert order == ["running", "soon", "late", "standard", "bulk"]


def test_a_repeated_slot_request_is_counted_once():
    owner = Owner(slots=2)
    assert owner.request("one") is slot_messages.SlotStatus.GRANTED
    assert owner.request("one") is slot_messages.SlotStatus.GRANTED
    assert owner.batch.running() == 1
    owner.request("two")
    assert owner.request("three") is slot_messages.SlotStatus.QUEUED
    assert owner.request("three") is slot_messages.SlotStatus.QUEUED
    assert len(owner.batch.queue) == 1


def test_a_request_that_would_miss_its_deadline_is_refused_on_arrival():
    """Guards against queueing a request until it is too late to go elsewhere.

    A request occupies the only slot for 200 s, and an urgent request needs its first
    token within 160 s. The times are long, so that a pause of the test machine
    does not change the result.
    """
    owner = Owner()
    owner.batch.usage.slot_time_s_by_rank = [200.0] * 3
    owner.request("running")
    assert (
        owner.request("urgent", target_ms=160_000) is slot_messages.SlotStatus.REFUSED
    )
    refusal = owner.replies_by_request["urgent"][-1]
    assert refusal.reason == "deadline"
    assert 30_000 <= refusal.wait_ms <= 50_000
    assert owner.request("bulk", BULK) is slot_messages.SlotStatus.QUEUED
    assert owner.replies_by_request["bulk"][-1].wait_ms == 200_000


def test_the_sweep_refuses_expired_requests():
    owner = Owner()
    owner.request("running")
    owner.request("urgent", target_ms=1000)
    owner.batch.sweep(time.monotonic() + 2)
    assert owner.last_status("urgent") is slot_messages.SlotStatus.REFUSED
    assert not len(owner.batch.queue)


def test_a_full_queue_evicts_bulk_for_more_urgent_work(monkeypatch):
    monkeypatch.setattr(request_queue, "MAX_LENGTH", 4)
    owner = Owner()
    owner.request("running")
    for number in range(4):
        owner.request(f"bulk-{number}", BULK, caller=f"caller-{number}")
    assert (
        owner.request("more", BULK, caller="other") is slot_messages.SlotStatus.REFUSED
    )
    assert owner.request("urgent") is slot_messages.SlotStatus.QUEUED
    assert owner.last_status("bulk-3") is slot_messages.SlotStatus.REFUSED
    assert len(owner.batch.queue) == 4


def test_no_caller_fills_the_whole_queue(monkeypatch):
    monkeypatch.setattr(request_queue, "MAX_LENGTH", 10)
    owner = Owner()
    owner.request("running")
    flood = [owner.request(f"flood-{number}", caller="flood") for number in range(10)]
    assert flood.count(slot_messages.SlotStatus.QUEUED) == 5
    assert owner.request("other", caller="other") is slot_messages.SlotStatus.QUEUED


def test_a_callers_declared_share_is_enforced(monkeypatch):
    monkeypatch.setattr(request_queue, "MAX_LENGTH", 10)
    owner = Owner(share=0.2)
    owner.request("running")
    flood = [owner.request(f"flood-{number}") for number in range(4)]
    assert flood.count(slot_messages.SlotStatus.QUEUED) == 2


def test_aged_bulk_gets_one_slot_in_eight(monkeypatch):
    """Guards against starvation of bulk work.

    Urgent work may fill an endpoint for hours; bulk queued behind it must still
    get a slot regularly once it has aged.
    """
    monkeypatch.setattr(request_queue, "AGING_S", 0.0)
    owner = Owner()
    owner.request("running")
    owner.request("bulk", BULK)
    for number in range(20):
        owner.request(f"urgent-{number}", caller=f"caller-{number}")
    order = ["running"]
    while "bulk" not in order:
        owner.release(order[-1])
        order += [name for name in owner.granted() if name not in order]
    assert len(order) == 1 + request_queue.GRANTS_PER_AGED_BULK + 1


def test_slots_are_reserved_for_urgent_work_if_bulk_occupies_them_long():
    """Guards against urgent requests that wait behind long bulk requests.

    Bulk requests run for a minute, so a slot becomes free only every few seconds
    and an urgent request would miss its target. If slots become free often, none
    is reserved.
    """
    owner = Owner(slots=8)
    owner.request("urgent-1")
    owner.release("urgent-1")
    owner.batch.usage.slot_time_s_by_rank = [60.0] * 3
    for number in range(10):
        owner.request(f"bulk-{number}", BULK)
    assert len(owner.granted()) == 1 + 6
    assert owner.request("urgent-2") is slot_messages.SlotStatus.GRANTED
    owner.batch.usage.slot_time_s_by_rank = [0.5] * 3
    owner.batch.grant_waiting(time.monotonic())
    assert owner.batch.running() == 8


def test_urgent_work_is_not_delayed_by_bulk_in_an_engine_with_priorities():
    """A burst of urgent requests arrives while bulk fills the batch.

    The engine preempts bulk for them, so they are granted at once, up to the
    limit; queued bulk waits until they are done.
    """
    owner = Owner(slots=4, can_preempt=True)
    for number in range(6):
        owner.request(f"bulk-{number}", BULK)
    urgent = [owner.request(f"urgent-{number}") for number in range(5)]
    assert urgent.count(slot_messages.SlotStatus.GRANTED) == 4
    assert owner.request("standard", STANDARD) is slot_messages.SlotStatus.QUEUED
    for number in range(4):
        owner.release(f"bulk-{number}")
    assert owner.last_status("bulk-4") is slot_messages.SlotStatus.QUEUED
    for number in range(4):
        owner.release(f"urgent-{number}")
    assert owner.last_status("urgent-4") is slot_messages.SlotStatus.GRANTED
    assert owner.last_status("bulk-5") is slot_messages.SlotStatus.GRANTED


def test_preempted_bulk_does_not_shrink_the_limit():
    """Slow tokens of a preempted request say nothing about the batch size."""
    owner = Owner(slots=2, can_preempt=True)
    owner.request("bulk", BULK)
    owner.request("bulk-2", BULK)
    owner.request("urgent")
    slot = owner.batch.slot_by_key[("vm-1", 1)]
    for _ in range(10):
        owner.batch.observe(slot, 500.0, 35.0)
    assert owner.batch.limit.value == 2


def test_a_closed_endpoint_is_granted_neither_new_nor_queued_requests():
    """An endpoint starts to drain while requests are queued for it."""
    owner = Owner()
    owner.request("running")
    owner.request("waiting")
    owner.closed_reason = "draining"
    assert owner.request("new") is slot_messages.SlotStatus.REFUSED
    owner.release("running")
    assert owner.last_status("waiting") is slot_messages.SlotStatus.REFUSED
    assert owner.batch.running() == 0


def test_grants_pause_after_an_endpoint_refused():
    owner = Owner(slots=2)
    owner.request("refused")
    owner.batch.pause()
    owner.release("refused")
    assert owner.request("next") is slot_messages.SlotStatus.QUEUED
    owner.batch.sweep(time.monotonic() + batches.REFUSAL_PAUSE_S)
    assert owner.last_status("next") is slot_messages.SlotStatus.GRANTED


# Guards against grants for an endpoint that refused a request and named the time for
# which it wants no other, and against a later refusal that shortens that time.
def test_grants_pause_for_as_long_as_an_endpoint_asks():
    owner = Owner(slots=2)
    owner.batch.pause(3.0)
    owner.batch.pause()
    assert owner.request("next", BULK) is slot_messages.SlotStatus.QUEUED
    owner.batch.sweep(time.monotonic() + 2.5)
    assert owner.last_status("next") is slot_messages.SlotStatus.QUEUED
    owner.batch.sweep(time.monotonic() + 3.0)
    assert owner.last_status("next") is slot_messages.SlotStatus.GRANTED


# Guards against requests that wait for a pause to end although they are late by then.
def test_a_pause_that_outlasts_the_target_refuses_at_once():
    owner = Owner(slots=2)
    owner.batch.pause(3.0)
    assert owner.request("late", target_ms=1600) is slot_messages.SlotStatus.REFUSED
    assert 1300 < owner.replies_by_request["late"][-1].wait_ms < 1500


def test_a_new_owner_does_not_overfill_the_batch():
    """Guards against a second full batch on top of the one already running.

    An owner died with six requests running, which its successor does not know. The
    successor relies on the engine's count until the entries have reported.
    """
    owner = Owner(slots=8)
    owner.batch.reported_running = lambda: 6
    statuses = [owner.request(f"new-{number}") for number in range(4)]
    assert statuses.count(slot_messages.SlotStatus.GRANTED) == 2
    for number in range(6):
        owner.request(f"inherited-{number}", already_running=True)
        assert owner.batch.running() == 8
    owner.release("inherited-0")
    assert len(owner.granted()) == 2 + 6 + 1


@pytest.mark.parametrize("slope", [0.5, 2.0, 6.0])
def test_the_limit_converges_to_the_largest_batch_that_meets_the_target(slope):
    """The time between tokens grows linearly with the batch size."""
    limit = concurrency_limit.ConcurrencyLimit(32)
    for second in range(2000):
        limit.mark_full()
        ratio = (10 + slope * (limit.value - 1)) / 35
        limit.observe(ratio, limit.value, second, second)
    assert 10 + slope * (limit.value - 1) <= 35
    assert (
        limit.value == 32
        or 10 + slope * (limit.value + 3) > 35 * concurrency_limit.INCREASE_BELOW
    )


def test_the_limit_does_not_increase_while_the_batch_is_not_full():
    limit = concurrency_limit.ConcurrencyLimit(32)
    before = limit.value
    for second in range(100):
        limit.observe(0.3, before, second, second)
    assert limit.value == before


def test_one_overload_decreases_the_limit_once():
    """The requests of an overloaded batch end one after the other.

    Those that end after the decrease ran under the previous limit; as samples, they
    would decrease the limit again.
    """
    limit = concurrency_limit.ConcurrencyLimit(32)
    for second in range(32):
        limit.observe(1.2, 32, 0, second + 1)
    assert limit.value > 16


def test_slow_start_ends_without_streamed_responses():
    """Guards against bulk work that stays limited to a quarter of the slots.

    Services, and callers that do not stream, give no samples of the time between
    tokens that could end slow start.
    """
    limit = concurrency_limit.ConcurrencyLimit(32)
    for _ in range(3 * concurrency_limit.MAX_SAMPLES):
        limit.mark_full()
        limit.count_unmeasured()
    assert limit.value == 32


def test_slow_start_limits_bulk_but_not_urgent_work():
    owner = Owner(slots=8)
    owner.batch.limit = concurrency_limit.ConcurrencyLimit(8)
    for number in range(4):
        owner.request(f"bulk-{number}", BULK)
    assert len(owner.granted()) == 2
    for number in range(6):
        owner.request(f"urgent-{number}")
    assert len(owner.granted()) == 8


def test_rows_are_in_order_of_service():
    owner = slot_owner.SlotOwner.__new__(slot_owner.SlotOwner)
    owner.kernel = kernel.Kernel(builders.settings("vm-7"))
    endpoint_owner = Owner()
    owner.batch_by_endpoint = {"engine-1": endpoint_owner.batch}
    endpoint_owner.request("running")
    endpoint_owner.request("bulk", BULK, target_ms=500)
    endpoint_owner.request("late", target_ms=900)
    endpoint_owner.request("soon", target_ms=400)
    rows: list[row_classes.WaitingRow] = slot_rows.queued_rows(owner)
    assert [(row.request, row.position) for row in rows] == [
        ("soon", 1),
        ("late", 2),
        ("bulk", 3),
    ]
    first = rows[0]
    assert (first.queued, first.running, first.slots) == (3, 1, 1)
    assert (first.urgency, first.caller, first.owner) == ("urgent", "guest", "vm-7")


def test_nothing_runs_beside_an_exclusive_request():
    # If the request crashes the endpoint, whatever runs beside it is lost.
    owner = Owner(slots=4)
    owner.request("first")
    assert owner.request("suspect", exclusive=True) is slot_messages.SlotStatus.QUEUED
    assert owner.request("second") is slot_messages.SlotStatus.QUEUED
    owner.release("first")
    assert owner.granted() == ["first", "suspect"]
    assert owner.request("third") is slot_messages.SlotStatus.QUEUED
    owner.release("suspect")
    assert owner.granted() == ["first", "suspect", "second", "third"]


def test_an_exclusive_request_is_refused_if_the_endpoint_never_becomes_idle():
    owner = Owner(slots=4)
    owner.request("long")
    owner.request("suspect", exclusive=True)
    owner.request("other")
    owner.batch.sweep(time.monotonic() + exclusive_queue.IDLE_TIMEOUT_S + 1)
    assert owner.last_status("suspect") is slot_messages.SlotStatus.REFUSED
    owner.batch.grant_waiting(time.monotonic())
    assert not owner.batch.exclusive_queue.blocks_others()
