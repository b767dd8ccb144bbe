"""Tracks the running and queued requests of one endpoint at its owner.

The batch grants a slot if the concurrency limit allows, otherwise queues the
slot request, otherwise refuses it. A slot request that would miss its deadline
is refused on arrival, with the time after which a retry makes sense.
"""

import collections.abc
import math
import time

import attrs

from mothworks import (
    concurrency_limit,
    exclusive_queue,
    request_queue,
    slot_messages,
    slot_usage,
)

#: Minimum time after which a refused request may be retried, milliseconds.
MIN_RETRY_AFTER_MS = 200
#: Shortest time without grants after the endpoint refused a request, seconds.
REFUSAL_PAUSE_S = 0.5
#: Mean time until the next free slot above which slots are reserved for work more
#: urgent than bulk, seconds; a quarter of the default target for the first token.
MAX_URGENT_WAIT_S = 0.4
#: Time for which a new owner relies on the engine's own count, seconds.
TAKEOVER_S = 5.0


@attrs.define
class OccupiedSlot:
    """A slot in use.

    :param request: the slot request that it was granted to.
    :param entry: the entry's name.
    :param since: when the slot was granted, monotonic seconds.
    """

    request: slot_messages.SlotRequest
    entry: str
    since: float


class Batch:
    """The slots and the queue of one endpoint.

    :param slots: the engine's slots.
    :param closed_reason: returns why a slot request must be refused; empty if it need
        not be.
    :param share: returns the maximum share of the queue for a caller.
    :param reported_running: returns the number of running requests that the engine
        itself reports; None before its first report.
    :param can_preempt: whether the engine preempts less urgent work for urgent work.
    """

    def __init__(
        self,
        slots: int,
        closed_reason: collections.abc.Callable[[slot_messages.SlotRequest], str],
        share: collections.abc.Callable[[str], float] = lambda caller: 1.0,
        reported_running: collections.abc.Callable[[], int | None] = lambda: None,
        can_preempt: bool = False,
    ):
        self.limit = concurrency_limit.ConcurrencyLimit(slots)
        self.closed_reason = closed_reason
        self.share = share
        self.reported_running = reported_running
        self.can_preempt = can_preempt
        self.queue = request_queue.Queue()
        self.exclusive_queue = exclusive_queue.ExclusiveQueue()
        self.slot_by_key: dict[request_queue.Key, OccupiedSlot] = {}
        self.usage = slot_usage.Usage()
        #: When the engine may last have preempted a request, monotonic seconds.
        self.preempted_at = 0.0
        self.paused_until = 0.0
        self.created = time.monotonic()
        #: Requests that were running when this VM became the owner; None if unknown.
        self.inherited: int | None = None
        #: How many of them the entries have reported.
        self.inherited_reported = 0

    def request(
        self,
        request: slot_messages.SlotRequest,
        entry: str,
        send_reply: collections.abc.Callable[[slot_messages.SlotReply], None],
    ) -> None:
        """Grant, queue or refuse a slot request.

        A slot request that is sent again gets another reply and is counted once.

        :param request: the entry's slot request.
        :param entry: the entry's name.
        :param send_reply: sends each reply: at once, and again when a queued request
            is granted, refused or redirected.
        """
        now = time.monotonic()
        key = (entry, request.number)
        if request.already_running or key in self.slot_by_key:
            self._occupy(request, entry, now)
            send_reply(_reply(request, slot_messages.SlotStatus.GRANTED))
            return
        queued = self.queue.queued_by_key.get(key)
        queued = queued or self.exclusive_queue.queued_by_key.get(key)
        if queued is None:
            queued = request_queue.QueuedRequest(
                request, entry, now, self._deadline(request, now), send_reply
            )
            if not self._admit(queued, now):
                return
        ahead = self.queue.count_ahead(request.rank) - 1
        wait_ms = math.ceil(self._expected_wait_s(request.rank, ahead) * 1000)
        send_reply(_reply(request, slot_messages.SlotStatus.QUEUED, wait_ms))

    def release(self, key: request_queue.Key, first_token_ms: float = 0.0) -> None:
        """Release a slot or cancel a queued slot request, then grant free slots.

        :param key: identifies the slot request.
        :param first_token_ms: time from sending to the first token, milliseconds;
            0 if unknown.
        """
        self.queue.remove(key)
        self.exclusive_queue.remove(key)
        slot = self.slot_by_key.pop(key, None)
        now = time.monotonic()
        if slot is not None and first_token_ms:
            self.usage.add_sample(
                slot.request.rank, now - slot.since, first_token_ms / 1000
            )
        self.grant_waiting(now)

    def observe(self, slot: OccupiedSlot, between_ms: float, target_ms: float) -> None:
        """Adapt the limit to the token rate of a request.

        A request that the engine may have preempted is not a sample: its slow
        tokens say nothing about the batch size and would shrink the limit.

        :param slot: the request's slot.
        :param between_ms: mean time between the request's tokens, milliseconds.
        :param target_ms: the caller's target for that time, milliseconds.
        """
        if not slot.request.rank or slot.since > self.preempted_at:
            ratio = between_ms / target_ms
            running = len(self.slot_by_key)
            self.limit.observe(ratio, running, slot.since, time.monotonic())

    def pause(self, seconds: float = 0.0) -> None:
        """Stop granting after the endpoint refused a request.

        :param seconds: time for which the endpoint wants no requests; at least
            :data:`REFUSAL_PAUSE_S` is used.
        """
        until = time.monotonic() + max(REFUSAL_PAUSE_S, seconds)
        self.paused_until = max(self.paused_until, until)

    def grant_waiting(self, now: float) -> None:
        """Grant free slots to queued requests.

        :param now: monotonic seconds.
        """
        exclusive = self.exclusive_queue.peek()
        if exclusive is not None and self._is_idle(now):
            self._grant_exclusive(exclusive, now)
        while len(self.queue) and self._has_free_slot(0, now):
            queued = self.queue.pop(self._has_free_slot(request_queue.BULK, now), now)
            if queued is None:
                return
            reason = self.closed_reason(queued.request)
            if reason:
                self._refuse(queued, reason)
            else:
                self._grant(queued, now)

    def sweep(self, now: float) -> None:
        """Refuse queued requests that expired or may not run here any more.

        :param now: monotonic seconds.
        """
        queued_requests = (
            *self.queue.queued_by_key.values(),
            *self.exclusive_queue.drain(),
        )
        for queued in queued_requests:
            reason = self.closed_reason(queued.request)
            if not reason and queued.deadline <= now:
                reason = "waited_too_long"
            if reason:
                self.queue.remove(queued.key)
                self._refuse(queued, reason)
            elif queued.request.exclusive:
                self.exclusive_queue.queued_by_key[queued.key] = queued
        self.grant_waiting(now)

    def hand_over(self) -> None:
        """Redirect all queued requests to the endpoint's new owner."""
        for queued in (*self.queue.ordered(), *self.exclusive_queue.drain()):
            self.queue.remove(queued.key)
            queued.send_reply(_reply(queued.request, slot_messages.SlotStatus.MOVED))

    def request_keys(self) -> list[request_queue.Key]:
        """Return the keys of all granted and queued slot requests."""
        queued_keys = (*self.queue.queued_by_key, *self.exclusive_queue.queued_by_key)
        return [*self.slot_by_key, *queued_keys]

    def running(self, rank: int = request_queue.BULK) -> int:
        """Return how many requests the endpoint runs, as far as is known.

        The count includes running requests that entries have not yet reported to
        a new owner. Without them the owner would fill the batch a second time.

        :param rank: count only requests of this rank or a more urgent one, besides
            the unreported ones.
        """
        slots_in_use = self.slot_by_key.values()
        return (
            sum(slot.request.rank <= rank for slot in slots_in_use) + self._unreported()
        )

    def reserved_slots(self) -> int:
        """Return how many slots are reserved for work more urgent than bulk.

        An engine with priorities preempts bulk work once its own slots are full,
        so slots are reserved only while the limit is below them: urgent work on
        top of a batch full of bulk would make every token late. Without
        priorities an urgent request waits for the next free slot, so slots are
        reserved only if they become free too rarely.
        """
        now = time.monotonic()
        peak = self.usage.update_peak(self._non_bulk_running(), now)
        if self.can_preempt:
            needed = self.limit.value < self.limit.maximum
        else:
            needed = self._next_free_s(0) > MAX_URGENT_WAIT_S
        if not needed or not peak:
            return 0
        reserved = math.ceil(peak) + 1 - self.running(request_queue.BULK - 1)
        return max(0, min(reserved, self.limit.value - 1))

    def _unreported(self) -> int:
        if time.monotonic() - self.created > TAKEOVER_S:
            return 0
        if self.inherited is None:
            self.inherited = self.reported_running()
        return max(0, (self.inherited or 0) - self.inherited_reported)

    def _admit(self, queued: request_queue.QueuedRequest, now: float) -> bool:
        """Grant, queue or refuse a slot request; return whether it is queued."""
        request = queued.request
        reason = self.closed_reason(request)
        if reason:
            self._refuse(queued, reason)
            return False
        if request.exclusive:
            return self._admit_exclusive(queued, now)
        if self._has_free_slot(request.rank, now) and not self.queue.count_ahead(
            request.rank
        ):
            self._grant(queued, now)
            return False
        self.limit.mark_full()
        reason = self.queue.refusal_reason(request, self.share(request.caller))
        if (
            not reason
            and now
            + self._expected_wait_s(request.rank, self.queue.count_ahead(request.rank))
            > queued.deadline
        ):
            reason = "deadline"
        if reason:
            self._refuse(queued, reason)
            return False
        evicted = self.queue.add(queued)
        if evicted is not None:
            self._refuse(evicted, "queue_full")
        return True

    def _admit_exclusive(self, queued: request_queue.QueuedRequest, now: float) -> bool:
        if self._is_idle(now) and not self.exclusive_queue.queued_by_key:
            self._grant_exclusive(queued, now)
            return False
        self.exclusive_queue.add(queued)
        return True

    def _grant_exclusive(self, queued: request_queue.QueuedRequest, now: float) -> None:
        self.exclusive_queue.start(queued)
        self._grant(queued, now)

    def _is_idle(self, now: float) -> bool:
        return now >= self.paused_until and not self.running()

    def _has_free_slot(self, rank: int, now: float) -> bool:
        if now < self.paused_until or self.exclusive_queue.blocks_others():
            return False
        limit = self.limit.value_for(rank < request_queue.BULK)
        if rank == request_queue.BULK:
            limit -= self.reserved_slots()
        # An engine with priorities preempts less urgent work, so only work of the
        # same or a higher urgency occupies its slots.
        return self.running(rank if self.can_preempt else request_queue.BULK) < limit

    def _grant(self, queued: request_queue.QueuedRequest, now: float) -> None:
        self._occupy(queued.request, queued.entry, now)
        queued.send_reply(_reply(queued.request, slot_messages.SlotStatus.GRANTED))

    def _occupy(
        self, request: slot_messages.SlotRequest, entry: str, now: float
    ) -> None:
        key = (entry, request.number)
        self.queue.remove(key)
        if key not in self.slot_by_key:
            self.slot_by_key[key] = OccupiedSlot(request, entry, now)
            self.inherited_reported += request.already_running
        if len(self.slot_by_key) > self.limit.maximum:
            self.preempted_at = now
        if request.rank < request_queue.BULK:
            self.usage.update_peak(self._non_bulk_running(), now)

    def _refuse(self, queued: request_queue.QueuedRequest, reason: str) -> None:
        # The retry delay is the time by which the expected wait exceeds the
        # deadline; a retry before then would be refused again.
        rank = queued.request.rank
        wait_s = self._expected_wait_s(rank, self.queue.count_ahead(rank))
        excess_s = time.monotonic() + wait_s - queued.deadline
        wait_ms = max(MIN_RETRY_AFTER_MS, math.ceil(excess_s * 1000))
        refused = slot_messages.SlotStatus.REFUSED
        queued.send_reply(_reply(queued.request, refused, wait_ms, reason))

    def _deadline(self, request: slot_messages.SlotRequest, now: float) -> float:
        if request.rank == request_queue.BULK:
            return now + request.wait_ms / 1000
        return now + request.target_ms / 1000 - self.usage.first_token_s

    def _expected_wait_s(self, rank: int, ahead: int) -> float:
        paused_s = max(0.0, self.paused_until - time.monotonic())
        return paused_s + (ahead + 1) * self._next_free_s(rank)

    def _non_bulk_running(self) -> int:
        return sum(
            slot.request.rank < request_queue.BULK for slot in self.slot_by_key.values()
        )

    def _next_free_s(self, rank: int) -> float:
        """Return the mean time until a slot for a rank becomes free, seconds."""
        highest = rank if self.can_preempt else request_queue.BULK
        running_ranks = [slot.request.rank for slot in self.slot_by_key.values()]
        ranks = [item for item in running_ranks if item <= highest]
        return self.usage.slot_time_s(ranks) / self.limit.value_for(
            rank < request_queue.BULK
        )


def _reply(
    request: slot_messages.SlotRequest,
    status: slot_messages.SlotStatus,
    wait_ms: int = 0,
    reason: str = "",
) -> slot_messages.SlotReply:
    return slot_messages.SlotReply(request.number, int(status), wait_ms, reason)
