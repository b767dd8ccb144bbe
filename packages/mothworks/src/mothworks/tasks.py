"""Groups of greenlets that are stopped together.

An unhandled exception in a task means that an invariant is broken. It is
logged and shuts the whole process down, so that a VM never continues in an
undefined state; its peers then take over.
"""

import collections.abc
import math
import random
import time
import typing

import attrs
import gevent
import gevent.hub
import gevent.pool
import logbook

log = logbook.Logger("tasks")

#: Fraction by which intervals vary at random, so that VMs do not act in lockstep.
JITTER = 0.1

#: Time for which :func:`let_others_run` sleeps at least, seconds.
TURN_S = 0.0001


def let_others_run() -> None:
    """Let all other tasks run, also those that wait for input or for a time.

    A receive from a socket that always has data does not yield. A sleep of 0 s runs
    tasks that are ready, but the event loop looks for input and timers only once in
    many such turns.
    """
    gevent.sleep(TURN_S)


@attrs.frozen
class _Sleeper:
    """A task that waits for its next interval.

    :param earliest: monotonic time from which it may be woken, seconds.
    :param due: monotonic time at which it is woken at the latest, seconds.
    :param waiter: wakes it.
    """

    earliest: float
    due: float
    waiter: gevent.hub.Waiter


class Rhythm:
    """Wakes the periodic tasks of a VM together.

    Most of the processor time of an idle VM is spent on waking up, not on what its
    tasks then do. So each wake-up serves all tasks whose interval has nearly ended.
    """

    def __init__(self):
        self._sleepers: list[_Sleeper] = []
        self._wakes_at = math.inf
        self._timer = None

    def sleep(self, seconds: float) -> None:
        """Block the current task for about some time.

        :param seconds: the mean time; it varies by :data:`JITTER`.
        """
        now = time.monotonic()
        waiter = gevent.hub.Waiter()
        earliest = now + seconds * (1 - JITTER)
        due = now + seconds * random.uniform(1, 1 + JITTER)
        self._sleepers.append(_Sleeper(earliest, due, waiter))
        if due < self._wakes_at:
            self._wake_at(due, now)
        waiter.get()

    def _wake_at(self, at: float, now: float) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
        self._wakes_at = at
        self._timer = gevent.get_hub().loop.timer(max(0.0, at - now))
        self._timer.start(self._wake)

    def _wake(self) -> None:
        """Wake the tasks that may be woken now; runs in the event loop."""
        now = time.monotonic()
        ready = [item for item in self._sleepers if item.earliest <= now]
        self._sleepers = [item for item in self._sleepers if item.earliest > now]
        self._wakes_at = math.inf
        if self._sleepers:
            self._wake_at(min(item.due for item in self._sleepers), now)
        for sleeper in ready:
            sleeper.waiter.switch(None)


class Tasks:
    """The tasks of one part.

    :param on_crash: called with the unhandled exception of a task.
    :param rhythm: wakes the periodic tasks; shared by the parts of a VM.
    """

    def __init__(
        self,
        on_crash: collections.abc.Callable[[BaseException], None],
        rhythm: Rhythm | None = None,
    ):
        self.on_crash = on_crash
        self.rhythm = rhythm or Rhythm()
        self.group = gevent.pool.Group()

    def spawn(self, function: typing.Callable, *args: typing.Any) -> gevent.Greenlet:
        """Start a task.

        :param function: runs in the task.
        :param args: its arguments.
        """
        return self.group.spawn(self._run, function, *args)

    def every(self, seconds: float, function: typing.Callable) -> gevent.Greenlet:
        """Start a task that calls a function repeatedly.

        :param seconds: mean time between the end of a call and the next one.
        :param function: called without arguments.
        """
        return self.spawn(self._repeat, seconds, function)

    def stop(self) -> None:
        """Kill all tasks."""
        self.group.kill()

    def _run(self, function: typing.Callable, *args: typing.Any) -> None:
        try:
            function(*args)
        except gevent.GreenletExit:
            raise
        except BaseException as error:
            log.exception("a task failed: {}", function)
            self.on_crash(error)

    def _repeat(self, seconds: float, function: typing.Callable) -> None:
        while True:
            self.rhythm.sleep(seconds)
            function()
