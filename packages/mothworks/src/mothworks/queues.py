"""The queue of one endpoint at its owner.

Urgent goes before standard before bulk, the earliest deadline first inside a
class. Bulk that has waited long gets every few slots all the same, so that
it finishes however much urgent work arrives. The queue is bounded as a whole
and for each caller.
"""

import collections
import collections.abc
import heapq
import itertools

import attrs

from mothworks import slot_messages

#: Most requests that wait for one endpoint.
LENGTH = 1024
#: Share of the queue above which no caller may have more than half of it.
CROWDED = 0.5
#: Rank of bulk work; lower ranks go first.
BULK = 2
#: Wait after which bulk work counts as aged, seconds.
AGED_S = 20.0
#: Slots that go to other work before one goes to aged bulk work.
TURNS = 7

#: Names an ask at an owner: the entry's name and its number there.
Key = tuple[str, int]


@attrs.define(eq=False)
class Waiting:
    """A request that waits.

    :param ask: the entry's message.
    :param entry: the entry's name.
    :param since: when it came, monotonic seconds.
    :param deadline: when it is given up, monotonic seconds.
    :param answer: sends the owner's answer.
    :param gone: it was granted, refused or cancelled.
    """

    ask: slot_messages.AskSlot
    entry: str
    since: float
    deadline: float
    answer: collections.abc.Callable[[slot_messages.SlotAnswer], None]
    gone: bool = False

    @property
    def key(self) -> Key:
        """Return what names the ask."""
        return (self.entry, self.ask.number)


class Queue:
    """The requests that wait for one endpoint."""

    def __init__(self):
        self.waiting_by_key: dict[Key, Waiting] = {}
        self.count_by_caller: collections.Counter[str] = collections.Counter()
        self.count_by_rank = [0] * (BULK + 1)
        # A request that leaves out of turn stays in its heap, marked as gone,
        # until it comes up.
        self.heaps: tuple[list, ...] = tuple([] for _ in self.count_by_rank)
        self.numbers = itertools.count()
        self.turns = 0

    def __len__(self) -> int:
        return len(self.waiting_by_key)

    def ahead(self, rank: int) -> int:
        """Return how many would go before a new request.

        :param rank: the request's rank.
        """
        return sum(self.count_by_rank[: rank + 1])

    def why_not(self, ask: slot_messages.AskSlot, share: float) -> str:
        """Return why a request may not wait; empty where it may.

        :param ask: the request.
        :param share: largest share of the queue for its caller, 0 to 1.
        """
        if len(self) >= LENGTH * CROWDED:
            share = min(share, CROWDED)
        if self.count_by_caller[ask.caller] >= share * LENGTH:
            return "caller_share"
        if len(self) >= LENGTH and not self._worse(ask.rank):
            return "queue_full"
        return ""

    def add(self, waiting: Waiting) -> Waiting | None:
        """Let a request wait.

        :param waiting: the request; :meth:`why_not` had nothing against it.
        :returns: a less urgent request that had to make room.
        """
        evicted = None
        if len(self) >= LENGTH:
            evicted = self._worse(waiting.ask.rank)
            self.remove(evicted.key)
        rank = waiting.ask.rank
        self.waiting_by_key[waiting.key] = waiting
        self.count_by_caller[waiting.ask.caller] += 1
        self.count_by_rank[rank] += 1
        item = (waiting.deadline, next(self.numbers), waiting)
        heapq.heappush(self.heaps[rank], item)
        return evicted

    def pop(self, bulk: bool, now: float) -> Waiting | None:
        """Take the request that goes next.

        :param bulk: whether bulk work may go.
        :param now: monotonic seconds.
        :returns: None where no request may go.
        """
        heads = [self._head(rank) for rank in range(len(self.heaps))]
        last = heads[BULK] if bulk else None
        chosen = next((item for item in heads[:BULK] if item is not None), last)
        aged = last is not None and now - last.since > AGED_S
        if aged and self.turns >= TURNS:
            chosen = last
        if chosen is None:
            return None
        self.turns = 0 if chosen is last else self.turns + 1
        return self.remove(chosen.key)

    def remove(self, key: Key) -> Waiting | None:
        """Take a request out of turn.

        :param key: what names it.
        :returns: the request, if it was there.
        """
        waiting = self.waiting_by_key.pop(key, None)
        if waiting is not None:
            waiting.gone = True
            self.count_by_rank[waiting.ask.rank] -= 1
            self.count_by_caller[waiting.ask.caller] -= 1
            if not self.count_by_caller[waiting.ask.caller]:
                del self.count_by_caller[waiting.ask.caller]
        return waiting

    def ordered(self) -> list[Waiting]:
        """Return all that wait, in the order of service without ageing."""
        return [
            waiting
            for heap in self.heaps
            for _, _, waiting in sorted(heap)
            if not waiting.gone
        ]

    def _head(self, rank: int) -> Waiting | None:
        heap = self.heaps[rank]
        while heap and heap[0][2].gone:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _worse(self, rank: int) -> Waiting | None:
        """Return the last request of the least urgent class below a rank."""
        for lower in range(BULK, rank, -1):
            if self.count_by_rank[lower]:
                items = [item for item in self.heaps[lower] if not item[2].gone]
                return max(items)[2]
        return None
