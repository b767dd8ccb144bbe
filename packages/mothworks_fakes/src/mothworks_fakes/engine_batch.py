"""The batch of a stand-in engine, with priorities and preemption.

A request of higher priority takes the place of the last one of the lowest
priority. That one waits, and its context is computed again when it goes on.
"""

import itertools

import attrs
import gevent.event


@attrs.define(eq=False)
class Seat:
    """One request in the engine.

    :param priority: lower goes first.
    :param number: order of arrival.
    :param runs: set while the request is in the batch.
    :param preempted: whether it lost its place since it last ran.
    """

    priority: int
    number: int
    runs: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    preempted: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Return the order of service."""
        return (self.priority, self.number)


class Batch:
    """A bounded batch.

    :param size: most requests in it.
    """

    def __init__(self, size: int):
        self.size = size
        self.numbers = itertools.count()
        self.running: list[Seat] = []
        self.waiting: list[Seat] = []
        self.preemptions = 0

    def enter(self, priority: int) -> Seat:
        """Take a place, or wait for one.

        :param priority: lower goes first.
        """
        seat = Seat(priority, next(self.numbers))
        self.waiting.append(seat)
        self._fill()
        return seat

    def leave(self, seat: Seat) -> None:
        """Give a place back.

        :param seat: what :meth:`enter` returned.
        """
        if seat in self.running:
            self.running.remove(seat)
        else:
            self.waiting.remove(seat)
        self._fill()

    def _fill(self) -> None:
        while self.waiting:
            first = min(self.waiting, key=lambda seat: seat.order)
            if len(self.running) >= self.size and not self._preempt(first.priority):
                return
            self.waiting.remove(first)
            self.running.append(first)
            first.runs.set()

    def _preempt(self, priority: int) -> bool:
        last = max(self.running, key=lambda seat: seat.order)
        if last.priority <= priority:
            return False
        self.running.remove(last)
        self.waiting.append(last)
        last.runs.clear()
        last.preempted = True
        self.preemptions += 1
        return True
