"""Builds the rows of the queues and batches of endpoints that this VM owns."""

import time

from mothworks import batches, catalogue, request_queue, row_classes, slot_owner


def queued_rows(owner: slot_owner.SlotOwner) -> list[row_classes.WaitingRow]:
    """Return the queued requests of a VM's endpoints, in order of service.

    :param owner: the VM's slot owner.
    """
    return [
        _queued_row(owner.name, endpoint, batch, position, item)
        for endpoint, batch in sorted(owner.batch_by_endpoint.items())
        for position, item in enumerate(batch.queue.ordered(), start=1)
    ]


def batch_rows(owner: slot_owner.SlotOwner) -> list[row_classes.BatchRow]:
    """Return one row for each endpoint whose slots a VM tracks.

    :param owner: the VM's slot owner.
    """
    return [
        row_classes.BatchRow(
            endpoint=endpoint,
            owner=owner.name,
            running=batch.running(),
            slots=batch.limit.value,
            queued=len(batch.queue),
            urgent=batch.queue.count_by_rank[0],
            standard=batch.queue.count_by_rank[1],
            bulk=batch.queue.count_by_rank[2],
            longest_ms=_longest_ms(batch),
        )
        for endpoint, batch in sorted(owner.batch_by_endpoint.items())
    ]


def _queued_row(
    owner: str,
    endpoint: str,
    batch: batches.Batch,
    position: int,
    item: request_queue.QueuedRequest,
) -> row_classes.WaitingRow:
    now = time.monotonic()
    request = item.request
    return row_classes.WaitingRow(
        request=request.request_id,
        endpoint=endpoint,
        owner=owner,
        position=position,
        queued=len(batch.queue),
        running=batch.running(),
        slots=batch.limit.value,
        urgency=list(catalogue.Urgency)[request.rank],
        caller=request.caller,
        model=request.target,
        waited_ms=round((now - item.since) * 1000),
        deadline_ms=round((item.deadline - now) * 1000),
    )


def _longest_ms(batch: batches.Batch) -> int:
    now = time.monotonic()
    since = min((item.since for item in batch.queue.ordered()), default=now)
    return round((now - since) * 1000)
