"""The batch of a fake engine, with priorities and preemption.

A waiting request of higher priority preempts the latest running request of
the lowest priority. The preempted request waits, and its context is
recomputed when it resumes.
"""

import itertools

import attrs
import gevent.event


@attrs.define(eq=False)
class EngineRequest:
    """One request in the engine, running or waiting.

    :param priority: a lower value is scheduled first.
    :param number: sequence number of its arrival.
    :param scheduled: set while the request is in the batch.
    :param preempted: whether it was preempted since its last step.
    """

    priority: int
    number: int
    scheduled: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    preempted: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of scheduling: priority, then arrival."""
        return (self.priority, self.number)


class Batch:
    """A bounded batch and its waiting queue.

    :param size: maximum number of running requests.
    """

    def __init__(self, size: int):
        self.size = size
        self.numbers = itertools.count()
        self.running: list[EngineRequest] = []
        self.waiting: list[EngineRequest] = []
        self.preemptions = 0

    def add(self, priority: int) -> EngineRequest:
        """Queue a request, and schedule it if a slot is free or can be preempted.

        :param priority: a lower value is scheduled first.
        :returns: the request; its ``scheduled`` event is set while it runs.
        """
        request = EngineRequest(priority, next(self.numbers))
        self.waiting.append(request)
        self._schedule()
        return request

    def remove(self, request: EngineRequest) -> None:
        """Remove a request and schedule waiting ones.

        :param request: what :meth:`add` returned.
        """
        if request in self.running:
            self.running.remove(request)
        else:
            self.waiting.remove(request)
        self._schedule()

    def _schedule(self) -> None:
        while self.waiting:
            candidate = min(self.waiting, key=lambda request: request.order)
            if len(self.running) >= self.size and not self._preempt(candidate.priority):
                return
            self.waiting.remove(candidate)
            self.running.append(candidate)
            candidate.scheduled.set()

    def _preempt(self, priority: int) -> bool:
        victim = max(self.running, key=lambda request: request.order)
        if victim.priority <= priority:
            return False
        self.running.remove(victim)
        self.waiting.append(victim)
        victim.scheduled.clear()
        victim.preempted = True
        self.preemptions += 1
        return True
