"""The priority queue of one endpoint at its owner.

Urgent requests go before standard ones and these before bulk; within a class
the earliest deadline goes first. Bulk work ages: after a long wait it gets one
in every few slots, so that a stream of urgent work cannot starve it. The queue
is bounded in total and per caller.
"""

import collections
import collections.abc
import heapq
import itertools

import attrs

from mothworks import slot_messages

#: Maximum number of requests queued for one endpoint.
MAX_LENGTH = 1024
#: Fill level from which the queue is crowded, as a share of its maximum length; then
#: no caller may occupy more than this share.
CROWDED_SHARE = 0.5
#: Rank of bulk work; lower ranks are served first.
BULK = 2
#: Wait after which bulk work counts as aged, seconds.
AGING_S = 20.0
#: Slots granted to other work before one is granted to aged bulk work.
GRANTS_PER_AGED_BULK = 7

#: Identifies a slot request at an owner: the entry's name and the entry's number
#: for the request.
Key = tuple[str, int]


@attrs.define(eq=False)
class QueuedRequest:
    """A queued slot request.

    :param request: the entry's slot request.
    :param entry: the entry's name.
    :param since: when it arrived, monotonic seconds.
    :param deadline: when it expires, monotonic seconds.
    :param send_reply: sends the owner's reply.
    :param removed: whether it was granted, refused or cancelled.
    """

    request: slot_messages.SlotRequest
    entry: str
    since: float
    deadline: float
    send_reply: collections.abc.Callable[[slot_messages.SlotReply], None]
    removed: bool = False

    @property
    def key(self) -> Key:
        """Return the key of the slot request."""
        return (self.entry, self.request.number)


class Queue:
    """The queued requests of one endpoint, by urgency and deadline."""

    def __init__(self):
        self.queued_by_key: dict[Key, QueuedRequest] = {}
        self.count_by_caller: collections.Counter[str] = collections.Counter()
        self.count_by_rank = [0] * (BULK + 1)
        # A request that is removed stays in its heap, marked as removed, until it
        # reaches the top.
        self.heaps: tuple[list, ...] = tuple([] for _ in self.count_by_rank)
        self.numbers = itertools.count()
        self.grants_since_bulk = 0

    def __len__(self) -> int:
        return len(self.queued_by_key)

    def count_ahead(self, rank: int) -> int:
        """Return how many queued requests go before a new one, deadlines aside.

        :param rank: the new request's rank.
        """
        return sum(self.count_by_rank[: rank + 1])

    def refusal_reason(self, request: slot_messages.SlotRequest, share: float) -> str:
        """Return why a request may not be queued; empty if it may.

        :param request: the slot request.
        :param share: maximum share of the queue for its caller, 0 to 1.
        """
        if len(self) >= MAX_LENGTH * CROWDED_SHARE:
            share = min(share, CROWDED_SHARE)
        if self.count_by_caller[request.caller] >= share * MAX_LENGTH:
            return "caller_share"
        if len(self) >= MAX_LENGTH and not self._find_evictable(request.rank):
            return "queue_full"
        return ""

    def add(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Queue a request.

        :param queued: the request, for which :meth:`refusal_reason` is empty.
        :returns: the less urgent request that was evicted from a full queue; None if
            the queue was not full.
        """
        evicted = None
        if len(self) >= MAX_LENGTH:
            evicted = self._find_evictable(queued.request.rank)
            self.remove(evicted.key)
        rank = queued.request.rank
        self.queued_by_key[queued.key] = queued
        self.count_by_caller[queued.request.caller] += 1
        self.count_by_rank[rank] += 1
        item = (queued.deadline, next(self.numbers), queued)
        heapq.heappush(self.heaps[rank], item)
        return evicted

    def pop(self, bulk_allowed: bool, now: float) -> QueuedRequest | None:
        """Remove and return the request to serve next.

        :param bulk_allowed: whether it may be bulk work.
        :param now: monotonic seconds.
        :returns: the request; None if none may be served.
        """
        heads = [self._head(rank) for rank in range(len(self.heaps))]
        bulk_head = heads[BULK] if bulk_allowed else None
        chosen = next((item for item in heads[:BULK] if item is not None), bulk_head)
        aged = bulk_head is not None and now - bulk_head.since > AGING_S
        if aged and self.grants_since_bulk >= GRANTS_PER_AGED_BULK:
            chosen = bulk_head
        if chosen is None:
            return None
        self.grants_since_bulk = (
            0 if chosen is bulk_head else self.grants_since_bulk + 1
        )
        return self.remove(chosen.key)

    def remove(self, key: Key) -> QueuedRequest | None:
        """Remove a request from any position.

        :param key: the request's key.
        :returns: the request; None if it is not queued.
        """
        queued = self.queued_by_key.pop(key, None)
        if queued is not None:
            queued.removed = True
            self.count_by_rank[queued.request.rank] -= 1
            self.count_by_caller[queued.request.caller] -= 1
            if not self.count_by_caller[queued.request.caller]:
                del self.count_by_caller[queued.request.caller]
        return queued

    def ordered(self) -> list[QueuedRequest]:
        """Return all queued requests in order of service, without ageing."""
        return [
            queued
            for heap in self.heaps
            for _, _, queued in sorted(heap)
            if not queued.removed
        ]

    def _head(self, rank: int) -> QueuedRequest | None:
        heap = self.heaps[rank]
        while heap and heap[0][2].removed:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _find_evictable(self, rank: int) -> QueuedRequest | None:
        """Return the last request of the least urgent class below a rank, if any."""
        for lower in range(BULK, rank, -1):
            if self.count_by_rank[lower]:
                items = [item for item in self.heaps[lower] if not item[2].removed]
                return max(items)[2]
        return None
