"""Queues, batches and limits of one endpoint at its owner."""

import time

import pytest

import builders
from mothworks import (
    alone,
    batches,
    kernel,
    limits,
    queues,
    row_classes,
    slot_messages,
    slot_owner,
    slot_rows,
)

URGENT, STANDARD, BULK = range(3)


class Owner:
    """A batch and what it answered to each ask."""

    def __init__(self, places=1, closed="", share=1.0, preempts=False):
        self.closed = closed
        self.answers_by_request = {}
        self.batch = batches.Batch(
            places,
            lambda ask: self.closed,
            lambda caller: share,
            preempts=preempts,
        )
        self.batch.limit.value = places
        self.number_by_request = {}

    def ask(self, request_id, rank=URGENT, entry="vm-1", **changes):
        number = self.number_by_request.setdefault(
            request_id, len(self.number_by_request) + 1
        )
        answers = self.answers_by_request.setdefault(request_id, [])
        message = builders.ask(request_id, rank, number=number, **changes)
        self.batch.ask(message, entry, answers.append)
        return self.last(request_id)

    def done(self, request_id, entry="vm-1", **sample):
        self.batch.done((entry, self.number_by_request[request_id]), **sample)

    def last(self, request_id):
        return slot_messages.Verdict(self.answers_by_request[request_id][-1].verdict)

    def granted(self):
        return [
            name
            for name in self.answers_by_request
            if self.last(name) is slot_messages.Verdict.GRANTED
        ]


def test_classes_go_in_order_and_deadlines_inside_a_class():
    owner = Owner()
    owner.ask("running")
    owner.ask("bulk", BULK)
    owner.ask("standard", STANDARD)
    owner.ask("late", URGENT, target_ms=1500)
    owner.ask("soon", URGENT, target_ms=800)
    order = ["running"]
    for _ in range(4):
        owner.done(order[-1])
        order += [name for name in owner.granted() if name not in order]
    assert order == ["running", "soon", "late", "standard", "bulk"]


def test_an_ask_that_is_sent_again_is_counted_once():
    owner = Owner(places=2)
    assert owner.ask("one") is slot_messages.Verdict.GRANTED
    assert owner.ask("one") is slot_messages.Verdict.GRANTED
    assert owner.batch.running() == 1
    owner.ask("two")
    assert owner.ask("three") is slot_messages.Verdict.QUEUED
    assert owner.ask("three") is slot_messages.Verdict.QUEUED
    assert len(owner.batch.queue) == 1


def test_work_that_cannot_start_in_time_is_refused_at_once():
    """A request holds the only slot for 200 seconds.

    An urgent request cannot get its first token within 160 s. Queued, it
    would only learn so when it is too late to go elsewhere. The times are
    long, so that a pause of the test's machine does not decide it.
    """
    owner = Owner()
    owner.batch.usage.hold_s_by_rank = [200.0] * 3
    owner.ask("running")
    assert owner.ask("urgent", target_ms=160_000) is slot_messages.Verdict.REFUSED
    refusal = owner.answers_by_request["urgent"][-1]
    assert refusal.reason == "deadline"
    assert 30_000 <= refusal.wait_ms <= 50_000
    assert owner.ask("bulk", BULK) is slot_messages.Verdict.QUEUED
    assert owner.answers_by_request["bulk"][-1].wait_ms == 200_000


def test_what_waited_too_long_is_refused_by_the_sweep():
    owner = Owner()
    owner.ask("running")
    owner.ask("urgent", target_ms=1000)
    owner.batch.sweep(time.monotonic() + 2)
    assert owner.last("urgent") is slot_messages.Verdict.REFUSED
    assert not len(owner.batch.queue)


def test_a_full_queue_makes_room_for_more_urgent_work(monkeypatch):
    monkeypatch.setattr(queues, "LENGTH", 4)
    owner = Owner()
    owner.ask("running")
    for number in range(4):
        owner.ask(f"bulk-{number}", BULK, caller=f"caller-{number}")
    assert owner.ask("more", BULK, caller="other") is slot_messages.Verdict.REFUSED
    assert owner.ask("urgent") is slot_messages.Verdict.QUEUED
    assert owner.last("bulk-3") is slot_messages.Verdict.REFUSED
    assert len(owner.batch.queue) == 4


def test_no_caller_fills_the_queue_alone(monkeypatch):
    monkeypatch.setattr(queues, "LENGTH", 10)
    owner = Owner()
    owner.ask("running")
    flood = [owner.ask(f"flood-{number}", caller="flood") for number in range(10)]
    assert flood.count(slot_messages.Verdict.QUEUED) == 5
    assert owner.ask("other", caller="other") is slot_messages.Verdict.QUEUED


def test_a_callers_declared_share_is_kept(monkeypatch):
    monkeypatch.setattr(queues, "LENGTH", 10)
    owner = Owner(share=0.2)
    owner.ask("running")
    flood = [owner.ask(f"flood-{number}") for number in range(4)]
    assert flood.count(slot_messages.Verdict.QUEUED) == 2


def test_bulk_that_waited_long_gets_one_slot_in_eight(monkeypatch):
    """Urgent work alone could fill the endpoint for hours.

    Bulk behind it would wait for good; aged, it gets a slot now and then.
    """
    monkeypatch.setattr(queues, "AGED_S", 0.0)
    owner = Owner()
    owner.ask("running")
    owner.ask("bulk", BULK)
    for number in range(20):
        owner.ask(f"urgent-{number}", caller=f"caller-{number}")
    order = ["running"]
    while "bulk" not in order:
        owner.done(order[-1])
        order += [name for name in owner.granted() if name not in order]
    assert len(order) == 1 + queues.TURNS + 1


def test_slots_are_kept_for_urgent_work_where_bulk_holds_them_long():
    """Bulk fills the batch for a minute; an urgent request comes.

    With slots becoming free every few seconds only, it would miss its
    target. Where they become free often, nothing is kept back.
    """
    owner = Owner(places=8)
    owner.ask("urgent-1")
    owner.done("urgent-1")
    owner.batch.usage.hold_s_by_rank = [60.0] * 3
    for number in range(10):
        owner.ask(f"bulk-{number}", BULK)
    assert len(owner.granted()) == 1 + 6
    assert owner.ask("urgent-2") is slot_messages.Verdict.GRANTED
    owner.batch.usage.hold_s_by_rank = [0.5] * 3
    owner.batch.pump(time.monotonic())
    assert owner.batch.running() == 8


def test_bulk_in_an_engine_with_priorities_does_not_hold_urgent_work_up():
    """Bulk fills the batch; a burst of urgent requests comes.

    The engine takes places back for them, so they are granted at once, up to
    the limit; bulk waits until they are done.
    """
    owner = Owner(places=4, preempts=True)
    for number in range(6):
        owner.ask(f"bulk-{number}", BULK)
    urgent = [owner.ask(f"urgent-{number}") for number in range(5)]
    assert urgent.count(slot_messages.Verdict.GRANTED) == 4
    assert owner.ask("standard", STANDARD) is slot_messages.Verdict.QUEUED
    for number in range(4):
        owner.done(f"bulk-{number}")
    assert owner.last("bulk-4") is slot_messages.Verdict.QUEUED
    for number in range(4):
        owner.done(f"urgent-{number}")
    assert owner.last("urgent-4") is slot_messages.Verdict.GRANTED
    assert owner.last("bulk-5") is slot_messages.Verdict.GRANTED


def test_preempted_bulk_does_not_shrink_the_limit():
    """Bulk that lost its place for a while sees slow tokens."""
    owner = Owner(places=2, preempts=True)
    owner.ask("bulk", BULK)
    owner.ask("bulk-2", BULK)
    owner.ask("urgent")
    held = owner.batch.held_by_key[("vm-1", 1)]
    for _ in range(10):
        owner.batch.observe(held, 500.0, 35.0)
    assert owner.batch.limit.value == 2


def test_a_closed_endpoint_gets_nothing_new_not_even_from_the_queue():
    """An endpoint starts to leave while requests wait for it."""
    owner = Owner()
    owner.ask("running")
    owner.ask("waiting")
    owner.closed = "draining"
    assert owner.ask("new") is slot_messages.Verdict.REFUSED
    owner.done("running")
    assert owner.last("waiting") is slot_messages.Verdict.REFUSED
    assert owner.batch.running() == 0


def test_an_endpoint_that_refused_gets_a_pause():
    owner = Owner(places=2)
    owner.ask("refused")
    owner.batch.pause()
    owner.done("refused")
    assert owner.ask("next") is slot_messages.Verdict.QUEUED
    owner.batch.sweep(time.monotonic() + batches.PAUSE_S)
    assert owner.last("next") is slot_messages.Verdict.GRANTED


def test_a_new_owner_does_not_fill_the_batch_twice():
    """An owner died with six requests running; its successor knows none.

    It believes the engine's own count until entries have reported theirs.
    """
    owner = Owner(places=8)
    owner.batch.reported = lambda: 6
    asked = [owner.ask(f"new-{number}") for number in range(4)]
    assert asked.count(slot_messages.Verdict.GRANTED) == 2
    for number in range(6):
        owner.ask(f"held-{number}", held=True)
        assert owner.batch.running() == 8
    owner.done("held-0")
    assert len(owner.granted()) == 2 + 6 + 1


@pytest.mark.parametrize("slope", [0.5, 2.0, 6.0])
def test_the_limit_settles_where_tokens_come_in_time(slope):
    """The time of a token grows with the batch; the limit must find where."""
    limit = limits.Limit(32)
    for second in range(2000):
        limit.note_full()
        share = (10 + slope * (limit.value - 1)) / 35
        limit.observe(share, limit.value, second, second)
    assert 10 + slope * (limit.value - 1) <= 35
    assert limit.value == 32 or 10 + slope * (limit.value + 3) > 35 * limits.GROW_BELOW


def test_the_limit_does_not_grow_where_nothing_waits():
    limit = limits.Limit(32)
    before = limit.value
    for second in range(100):
        limit.observe(0.3, before, second, second)
    assert limit.value == before


def test_one_overload_cuts_the_limit_once():
    """A batch was too slow; all its requests end one after the other.

    Those that end after the cut ran under the former limit as well.
    """
    limit = limits.Limit(32)
    for second in range(32):
        limit.observe(1.2, 32, 0, second + 1)
    assert limit.value > 16


def test_a_trial_ends_where_all_answers_come_whole():
    """Services, and callers that do not stream, show no single tokens.

    Bulk work would be kept to a quarter of the slots for good.
    """
    limit = limits.Limit(32)
    for _ in range(3 * limits.MOST_SAMPLES):
        limit.note_full()
        limit.miss()
    assert limit.value == 32


def test_a_new_limit_lets_urgent_work_in_but_only_some_bulk():
    owner = Owner(places=8)
    owner.batch.limit = limits.Limit(8)
    for number in range(4):
        owner.ask(f"bulk-{number}", BULK)
    assert len(owner.granted()) == 2
    for number in range(6):
        owner.ask(f"urgent-{number}")
    assert len(owner.granted()) == 8


def test_rows_are_in_the_order_of_service():
    owner = slot_owner.SlotOwner.__new__(slot_owner.SlotOwner)
    owner.kernel = kernel.Kernel(builders.settings("vm-7"))
    held = Owner()
    owner.batch_by_endpoint = {"engine-1": held.batch}
    held.ask("running")
    held.ask("bulk", BULK, target_ms=500)
    held.ask("late", target_ms=900)
    held.ask("soon", target_ms=400)
    rows: list[row_classes.WaitingRow] = slot_rows.waiting(owner)
    assert [(row.request, row.position) for row in rows] == [
        ("soon", 1),
        ("late", 2),
        ("bulk", 3),
    ]
    first = rows[0]
    assert (first.queued, first.running, first.slots) == (3, 1, 1)
    assert (first.urgency, first.caller, first.owner) == ("urgent", "guest", "vm-7")


def test_a_request_that_runs_alone_shares_the_endpoint_with_nobody():
    # A request may crash the endpoint; whatever runs beside it would be lost.
    owner = Owner(places=4)
    owner.ask("first")
    assert owner.ask("suspect", alone=True) is slot_messages.Verdict.QUEUED
    assert owner.ask("second") is slot_messages.Verdict.QUEUED
    owner.done("first")
    assert owner.granted() == ["first", "suspect"]
    assert owner.ask("third") is slot_messages.Verdict.QUEUED
    owner.done("suspect")
    assert owner.granted() == ["first", "suspect", "second", "third"]


def test_a_request_that_never_finds_the_endpoint_empty_is_refused():
    owner = Owner(places=4)
    owner.ask("long")
    owner.ask("suspect", alone=True)
    owner.ask("other")
    owner.batch.sweep(time.monotonic() + alone.PATIENCE_S + 1)
    assert owner.last("suspect") is slot_messages.Verdict.REFUSED
    owner.batch.pump(time.monotonic())
    assert not owner.batch.alone.blocks()
