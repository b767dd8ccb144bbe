"""The order in which requests wait at each endpoint.

A request waits at all endpoints that can run it, in a heap by objective for each state,
urgency and account. A heap may contain requests that left; they are skipped.
"""

import collections.abc
import enum
import heapq
import math

import attrs

from mothworks_gateway import queue_types

#: While urgent requests wait that can meet their objective, one grant in this many goes
#: to a promoted one, since endpoints may be lost while many patient requests wait.
PROMOTED_INTERVAL = 4
#: Requests of a heap that are tried at an endpoint that is too slow for the first ones.
MAX_TRIED = 8
#: Requests that left are removed from a heap once it has more than twice as many items
#: as requests, and this many more.
MIN_STALE = 16


class State(enum.IntEnum):
    """State of a waiting request, in the order in which places are granted."""

    #: Most of its time until ``send_by`` has passed.
    PROMOTED = 0
    #: It can still meet its objective.
    ON_TIME = 1
    LATE = 2


class Fit(enum.Enum):
    """Whether a request can be granted a place at an endpoint now."""

    FITS = enum.auto()
    #: The memory or the prompts that are not read leave no room. Requests after it may
    #: not pass, since small ones would otherwise delay a large one without end.
    BLOCKED = enum.auto()
    #: It would not begin in time there, and can begin in time at another endpoint.
    TOO_SLOW = enum.auto()


@attrs.define(eq=False)
class Entry:
    """A waiting request and its state.

    :param request: the request.
    :param sequence: position among all requests, which decides between equal ones.
    :param run_s: expected duration of its run at the mean speed, seconds.
    :param first_s: expected time to its first event at the mean speed, without its
        prompt, seconds.
    :param late_at: time from which on it cannot meet its objective.
    :param promote_at: time at which it is promoted.
    :param expected_at: time at which it is expected to be granted.
    """

    request: queue_types.WaitingRequest
    sequence: int
    run_s: float
    first_s: float
    promote_at: float
    late_at: float = math.inf
    expected_at: float = math.inf
    state: State = State.ON_TIME
    is_waiting: bool = False
    #: The endpoint at which no request after this one is granted a place.
    reserved_id: str | None = None

    @property
    def work_s(self) -> float:
        """Return the part of its run that counts at each of its endpoints, seconds."""
        return self.run_s / len(self.request.endpoint_ids)

    def next_change_at(self) -> float:
        """Return when its state changes next, or it has to be refused."""
        if self.state is State.ON_TIME:
            return min(self.late_at, self.promote_at, self.request.send_by)
        if self.state is State.LATE:
            return min(max(self.late_at, self.promote_at), self.request.send_by)
        return self.request.send_by


#: State and urgency.
Rank = tuple[State, int]
#: Rank, whether patient, account.
BucketKey = tuple[Rank, bool, str]
#: State, urgency, usage of the account, objective, sequence.
OrderKey = tuple[State, int, float, float, int]
Usage = collections.abc.Callable[[str], float]


def due_at(entry: Entry) -> float:
    """Return the time by which the requests of a rank and account are ordered.

    :param entry: the request.
    """
    return entry.request.objective_at


def order_key(entry: Entry, usage: Usage) -> OrderKey:
    """Return what a waiting request is ordered by.

    :param entry: the request.
    :param usage: returns what an account received recently.
    """
    request = entry.request
    return (
        entry.state,
        request.urgency,
        usage(request.account),
        due_at(entry),
        entry.sequence,
    )


def bucket_key(entry: Entry) -> BucketKey:
    """Return the key of the bucket in which a request waits.

    :param entry: the request.
    """
    request = entry.request
    return (entry.state, request.urgency), request.is_patient, request.account


class _Heap:
    """Entries by a time; those for which ``is_live`` is false are skipped."""

    def __init__(self, is_live: collections.abc.Callable[[Entry], bool]):
        self.is_live = is_live
        self.items: list[tuple[float, int, Entry]] = []
        self.live = 0

    def push(self, at: float, entry: Entry) -> None:
        heapq.heappush(self.items, (at, entry.sequence, entry))
        self.live += 1

    def discard_one(self) -> None:
        """Record that an entry is not live any more."""
        self.live -= 1
        if len(self.items) > 2 * self.live + MIN_STALE:
            self.items = [item for item in self.items if self.is_live(item[2])]
            heapq.heapify(self.items)

    def first(self) -> Entry | None:
        items = self.items
        while items and not self.is_live(items[0][2]):
            heapq.heappop(items)
        return items[0][2] if items else None

    def find(self, fit: collections.abc.Callable[[Entry], Fit]) -> Entry | None:
        """Return the first entry that fits, unless one before it is blocked."""
        passed = []
        found = None
        while len(passed) < MAX_TRIED and (entry := self.first()) is not None:
            match fit(entry):
                case Fit.FITS:
                    found = entry
                    break
                case Fit.BLOCKED:
                    break
                case Fit.TOO_SLOW:
                    passed.append(heapq.heappop(self.items))
        for item in passed:
            heapq.heappush(self.items, item)
        return found


class Bucket(_Heap):
    """Waiting requests of equal state, urgency and account, by objective.

    :param state: the state.
    """

    def __init__(self, state: State):
        self.work_s = 0.0
        super().__init__(lambda entry: entry.is_waiting and entry.state is state)


class EndpointOrder:
    """The requests that wait at one endpoint."""

    def __init__(self):
        self.buckets_by_rank: dict[Rank, dict[tuple[bool, str], Bucket]] = {}
        #: Expected seconds of runs that wait, by rank.
        self.work_by_rank: dict[Rank, float] = {}
        self.by_send_by = _Heap(lambda entry: entry.is_waiting)

    def __len__(self) -> int:
        return self.by_send_by.live

    def add(self, entry: Entry) -> None:
        """Add a request.

        :param entry: the request, marked as waiting.
        """
        self._add_to_bucket(entry)
        self.by_send_by.push(entry.request.send_by, entry)

    def remove(self, entry: Entry, key: BucketKey) -> None:
        """Remove a request.

        :param entry: the request, not marked as waiting any more.
        :param key: the key of its bucket.
        """
        self._remove_from_bucket(entry, key)
        self.by_send_by.discard_one()

    def move(self, entry: Entry, old_key: BucketKey) -> None:
        """Move a request whose state has changed.

        :param entry: the request, with its new state.
        :param old_key: the key of its former bucket.
        """
        self._remove_from_bucket(entry, old_key)
        self._add_to_bucket(entry)

    def heads(self, usage: Usage) -> collections.abc.Iterator[tuple[OrderKey, Bucket]]:
        """Yield the buckets in the order of their first requests.

        :param usage: returns what an account received recently.
        """
        for rank in sorted(self.buckets_by_rank):
            heads = [
                (order_key(entry, usage), bucket)
                for bucket in self.buckets_by_rank[rank].values()
                if (entry := bucket.first()) is not None
            ]
            # Keys differ by their sequence, so that buckets are not compared.
            heads.sort()
            yield from heads

    def has_urgent_on_time(self) -> bool:
        """Return whether a request waits that is neither patient nor late."""
        return any(
            state is State.ON_TIME and not is_patient
            for (state, _), buckets in self.buckets_by_rank.items()
            for is_patient, _ in buckets
        )

    def work_ahead_s(self, rank: Rank, is_patient: bool, account: str) -> float:
        """Return the expected runs granted before another request of an account.

        Other accounts of the same rank are not counted: they go first until they have
        their fair share, which is a part of the capacity.

        :param rank: the request's rank.
        :param is_patient: whether it is patient; its state does not count then, since
            it is promoted in the end.
        :param account: its account.
        """
        ahead_s = sum(
            work_s
            for other, work_s in self.work_by_rank.items()
            if other < rank and other[0] is not State.PROMOTED
        )
        kinds = [(rank, False)]
        if is_patient:
            kinds += [(rank, True), ((State.LATE, rank[1]), True)]
        for kind_rank, is_kind_patient in kinds:
            buckets = self.buckets_by_rank.get(kind_rank)
            if buckets is not None:
                bucket = buckets.get((is_kind_patient, account))
                ahead_s += bucket.work_s if bucket is not None else 0.0
        promoted_s = sum(
            work_s
            for (state, _), work_s in self.work_by_rank.items()
            if state is State.PROMOTED
        )
        if rank[0] is State.ON_TIME and not is_patient:
            promoted_s = min(promoted_s, ahead_s / (PROMOTED_INTERVAL - 1))
        return ahead_s + promoted_s

    def _add_to_bucket(self, entry: Entry) -> None:
        rank, *key = bucket_key(entry)
        buckets = self.buckets_by_rank.setdefault(rank, {})
        bucket = buckets.get(tuple(key))
        if bucket is None:
            bucket = buckets[tuple(key)] = Bucket(entry.state)
        bucket.push(due_at(entry), entry)
        bucket.work_s += entry.work_s
        self.work_by_rank[rank] = self.work_by_rank.get(rank, 0.0) + entry.work_s

    def _remove_from_bucket(self, entry: Entry, key: BucketKey) -> None:
        rank, *rest = key
        buckets = self.buckets_by_rank[rank]
        bucket = buckets[tuple(rest)]
        bucket.work_s -= entry.work_s
        bucket.discard_one()
        self.work_by_rank[rank] -= entry.work_s
        if bucket.live:
            return
        del buckets[tuple(rest)]
        if not buckets:
            del self.buckets_by_rank[rank]
            del self.work_by_rank[rank]
