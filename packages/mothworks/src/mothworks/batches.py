"""One endpoint's requests, as its owner counts them.

The batch grants a slot where the limit allows, else queues the ask, else
refuses it at once: an ask that would not get its slot in time learns so when
it comes, and when it is worth asking again.
"""

import collections.abc
import math
import time

import attrs

from mothworks import alone, limits, queues, slot_messages, usage

#: Least time after which a refused request is worth repeating, milliseconds.
LEAST_RETRY_MS = 200
#: Time without new grants after the endpoint refused a request, seconds.
PAUSE_S = 0.5
#: Mean time to the next free slot above which slots are kept free of bulk
#: work, seconds; a quarter of the first token's target.
TOLERATED_WAIT_S = 0.4
#: Time for which a new owner believes the engine's own count, seconds.
TAKEOVER_S = 5.0


@attrs.define
class Held:
    """A slot in use.

    :param ask: the entry's message.
    :param entry: the entry's name.
    :param since: when it was granted, monotonic seconds.
    """

    ask: slot_messages.AskSlot
    entry: str
    since: float


class Batch:
    """The slots and the queue of one endpoint.

    :param slots: the engine's slots.
    :param why_closed: returns why an ask gets no slot; empty where it may.
    :param share: returns the largest share of the queue for a caller.
    :param reported: returns the requests that the engine itself reports; None
        before its first report.
    :param preempts: whether the engine lets urgent work take the place of bulk.
    """

    def __init__(
        self,
        slots: int,
        why_closed: collections.abc.Callable[[slot_messages.AskSlot], str],
        share: collections.abc.Callable[[str], float] = lambda caller: 1.0,
        reported: collections.abc.Callable[[], int | None] = lambda: None,
        preempts: bool = False,
    ):
        self.limit = limits.Limit(slots)
        self.why_closed = why_closed
        self.share = share
        self.reported = reported
        self.preempts = preempts
        self.queue = queues.Queue()
        self.alone = alone.Alone()
        self.held_by_key: dict[queues.Key, Held] = {}
        self.usage = usage.Usage()
        self.preempted_at = 0.0
        self.paused_until = 0.0
        self.created = time.monotonic()
        #: Requests that ran when this VM became the owner; None if unknown.
        self.inherited: int | None = None
        #: How many of them entries have reported.
        self.adopted = 0

    def ask(
        self,
        ask: slot_messages.AskSlot,
        entry: str,
        answer: collections.abc.Callable[[slot_messages.SlotAnswer], None],
    ) -> None:
        """Answer an ask; one that is sent again is answered again.

        :param ask: the entry's message.
        :param entry: the entry's name.
        :param answer: sends the answer, at once and again when a slot is free.
        """
        now = time.monotonic()
        key = (entry, ask.number)
        if ask.held or key in self.held_by_key:
            self._hold(ask, entry, now)
            answer(_answer(ask, slot_messages.Verdict.GRANTED))
            return
        waiting = self.queue.waiting_by_key.get(key)
        waiting = waiting or self.alone.waiting_by_key.get(key)
        if waiting is None:
            waiting = queues.Waiting(ask, entry, now, self._deadline(ask, now), answer)
            if not self._admit(waiting, now):
                return
        others = self.queue.ahead(ask.rank) - 1
        wait_ms = math.ceil(self._wait_s(ask.rank, others) * 1000)
        answer(_answer(ask, slot_messages.Verdict.QUEUED, wait_ms))

    def done(self, key: queues.Key, first_token_ms: float = 0.0) -> None:
        """End an ask, granted or waiting, and give its slot to the next.

        :param key: what names the ask.
        :param first_token_ms: from sending to the first token; 0 for unknown.
        """
        self.queue.remove(key)
        self.alone.remove(key)
        held = self.held_by_key.pop(key, None)
        now = time.monotonic()
        if held is not None and first_token_ms:
            self.usage.note(held.ask.rank, now - held.since, first_token_ms / 1000)
        self.pump(now)

    def observe(self, held: Held, between_ms: float, target_ms: float) -> None:
        """Adapt the limit to how fast a request's tokens came.

        A request that may have lost its place for a while says nothing of
        the batch; taken as a sample it would shrink the limit for nothing.

        :param held: the request.
        :param between_ms: mean time between its tokens, milliseconds.
        :param target_ms: its caller's target, milliseconds.
        """
        if not held.ask.rank or held.since > self.preempted_at:
            ratio = between_ms / target_ms
            running = len(self.held_by_key)
            self.limit.observe(ratio, running, held.since, time.monotonic())

    def pause(self) -> None:
        """Grant nothing for a moment, since the endpoint refused a request."""
        self.paused_until = time.monotonic() + PAUSE_S

    def pump(self, now: float) -> None:
        """Grant free slots to what waits.

        :param now: monotonic seconds.
        """
        lone = self.alone.next()
        if lone is not None and self._empty(now):
            self._grant_alone(lone, now)
        while len(self.queue) and self._free(0, now):
            waiting = self.queue.pop(self._free(queues.BULK, now), now)
            if waiting is None:
                return
            reason = self.why_closed(waiting.ask)
            if reason:
                self._refuse(waiting, reason)
            else:
                self._grant(waiting, now)

    def sweep(self, now: float) -> None:
        """Refuse what waited too long or may not run here any more.

        :param now: monotonic seconds.
        """
        waits = (*self.queue.waiting_by_key.values(), *self.alone.take_all())
        for waiting in waits:
            reason = self.why_closed(waiting.ask)
            if not reason and waiting.deadline <= now:
                reason = "waited_too_long"
            if reason:
                self.queue.remove(waiting.key)
                self._refuse(waiting, reason)
            elif waiting.ask.alone:
                self.alone.waiting_by_key[waiting.key] = waiting
        self.pump(now)

    def hand_over(self) -> None:
        """Send all that waits to the endpoint's new owner."""
        for waiting in (*self.queue.ordered(), *self.alone.take_all()):
            self.queue.remove(waiting.key)
            waiting.answer(_answer(waiting.ask, slot_messages.Verdict.MOVED))

    def asks(self) -> list[queues.Key]:
        """Return what names the asks that are granted or wait."""
        waiting = (*self.queue.waiting_by_key, *self.alone.waiting_by_key)
        return [*self.held_by_key, *waiting]

    def running(self, rank: int = queues.BULK) -> int:
        """Return how many requests the endpoint runs, as far as is known.

        A new owner has not yet heard from all entries what they have running;
        granting all slots would fill the endpoint's batch twice over.

        :param rank: only requests of this rank or a more urgent one.
        """
        held = self.held_by_key.values()
        return sum(item.ask.rank <= rank for item in held) + self._unheard()

    def reserve(self) -> int:
        """Return how many slots are kept free of bulk work.

        An engine with priorities takes places back where its own slots are
        full; below them, urgent work beside a batch full of bulk would make
        every token late. Without priorities an urgent request waits for the
        next free slot, which is short while these become free often.
        """
        now = time.monotonic()
        peak = self.usage.peak(self._urgent(), now)
        if self.preempts:
            needed = self.limit.value < self.limit.most
        else:
            needed = self._next_free_s(0) > TOLERATED_WAIT_S
        if not needed or not peak:
            return 0
        kept = math.ceil(peak) + 1 - self.running(queues.BULK - 1)
        return max(0, min(kept, self.limit.value - 1))

    def _unheard(self) -> int:
        if time.monotonic() - self.created > TAKEOVER_S:
            return 0
        if self.inherited is None:
            self.inherited = self.reported()
        return max(0, (self.inherited or 0) - self.adopted)

    def _admit(self, waiting: queues.Waiting, now: float) -> bool:
        """Grant, queue or refuse; returns whether it is queued."""
        ask = waiting.ask
        reason = self.why_closed(ask)
        if reason:
            self._refuse(waiting, reason)
            return False
        if ask.alone:
            return self._admit_alone(waiting, now)
        if self._free(ask.rank, now) and not self.queue.ahead(ask.rank):
            self._grant(waiting, now)
            return False
        self.limit.note_full()
        reason = self.queue.why_not(ask, self.share(ask.caller))
        if (
            not reason
            and now + self._wait_s(ask.rank, self.queue.ahead(ask.rank))
            > waiting.deadline
        ):
            reason = "deadline"
        if reason:
            self._refuse(waiting, reason)
            return False
        evicted = self.queue.add(waiting)
        if evicted is not None:
            self._refuse(evicted, "queue_full")
        return True

    def _admit_alone(self, waiting: queues.Waiting, now: float) -> bool:
        if self._empty(now) and not self.alone.waiting_by_key:
            self._grant_alone(waiting, now)
            return False
        self.alone.add(waiting)
        return True

    def _grant_alone(self, waiting: queues.Waiting, now: float) -> None:
        self.alone.start(waiting)
        self._grant(waiting, now)

    def _empty(self, now: float) -> bool:
        return now >= self.paused_until and not self.running()

    def _free(self, rank: int, now: float) -> bool:
        if now < self.paused_until or self.alone.blocks():
            return False
        limit = self.limit.value_for(rank < queues.BULK)
        if rank == queues.BULK:
            limit -= self.reserve()
        # An engine with priorities takes back places of less urgent work, so
        # that only work as urgent stands in the way.
        return self.running(rank if self.preempts else queues.BULK) < limit

    def _grant(self, waiting: queues.Waiting, now: float) -> None:
        self._hold(waiting.ask, waiting.entry, now)
        waiting.answer(_answer(waiting.ask, slot_messages.Verdict.GRANTED))

    def _hold(self, ask: slot_messages.AskSlot, entry: str, now: float) -> None:
        key = (entry, ask.number)
        self.queue.remove(key)
        if key not in self.held_by_key:
            self.held_by_key[key] = Held(ask, entry, now)
            self.adopted += ask.held
        if len(self.held_by_key) > self.limit.most:
            self.preempted_at = now
        if ask.rank < queues.BULK:
            self.usage.peak(self._urgent(), now)

    def _refuse(self, waiting: queues.Waiting, reason: str) -> None:
        # Asked again when the queue is short enough, the request would get
        # its slot in time; earlier it would only be refused again.
        rank = waiting.ask.rank
        wait_s = self._wait_s(rank, self.queue.ahead(rank))
        late_s = time.monotonic() + wait_s - waiting.deadline
        wait_ms = max(LEAST_RETRY_MS, math.ceil(late_s * 1000))
        refused = slot_messages.Verdict.REFUSED
        waiting.answer(_answer(waiting.ask, refused, wait_ms, reason))

    def _deadline(self, ask: slot_messages.AskSlot, now: float) -> float:
        if ask.rank == queues.BULK:
            return now + ask.wait_ms / 1000
        return now + ask.target_ms / 1000 - self.usage.first_token_s

    def _wait_s(self, rank: int, ahead: int) -> float:
        return (ahead + 1) * self._next_free_s(rank)

    def _urgent(self) -> int:
        return sum(item.ask.rank < queues.BULK for item in self.held_by_key.values())

    def _next_free_s(self, rank: int) -> float:
        """Return the mean time until a slot for a rank becomes free, seconds."""
        highest = rank if self.preempts else queues.BULK
        held = [item.ask.rank for item in self.held_by_key.values()]
        ranks = [item for item in held if item <= highest]
        return self.usage.hold_s(ranks) / self.limit.value_for(rank < queues.BULK)


def _answer(
    ask: slot_messages.AskSlot,
    verdict: slot_messages.Verdict,
    wait_ms: int = 0,
    reason: str = "",
) -> slot_messages.SlotAnswer:
    return slot_messages.SlotAnswer(ask.number, int(verdict), wait_ms, reason)
