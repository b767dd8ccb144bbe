"""Groups of greenlets that are stopped together.

An unhandled exception in a task means that an invariant is broken. It is
logged and stops the whole process, so that a VM never continues in an
undefined state; its peers then take over.
"""

import collections.abc
import random
import typing

import gevent
import gevent.pool
import logbook

log = logbook.Logger("tasks")

#: Fraction by which intervals vary at random, so that VMs do not act in lockstep.
JITTER = 0.1


class Tasks:
    """The tasks of one part.

    :param on_crash: called with the unhandled exception of a task.
    """

    def __init__(self, on_crash: collections.abc.Callable[[BaseException], None]):
        self.on_crash = on_crash
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
            gevent.sleep(seconds * random.uniform(1 - JITTER, 1 + JITTER))
            function()
