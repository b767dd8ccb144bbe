"""What ``show waiting`` reads from an owner's queue."""

import gevent

import builders
from mothworks import kernel, slots


def ask(request_id, rank, target_ms):
    return slots.AskSlot(request_id, "engine-1", rank, 5000, target_ms, "menu", "guest")


def test_rows_are_in_the_order_of_service():
    owner = slots.Slots.__new__(slots.Slots)
    owner.kernel = kernel.Kernel(builders.settings("vm-7"))
    batch = slots.Batch(limit=1)
    owner.batch_by_endpoint = {"engine-1": batch}
    batch.ask(ask("running", 0, 1000))
    asks = (ask("bulk", 2, 500), ask("late", 0, 900), ask("soon", 0, 400))
    waiting = [gevent.spawn(batch.ask, item) for item in asks]
    gevent.sleep(0)
    rows = owner.waiting()
    gevent.killall(waiting)
    assert [(row.request, row.position) for row in rows] == [
        ("soon", 1),
        ("late", 2),
        ("bulk", 3),
    ]
    first = rows[0]
    assert (first.queued, first.running, first.slots) == (3, 1, 1)
    assert (first.urgency, first.caller, first.owner) == ("urgent", "guest", "vm-7")
