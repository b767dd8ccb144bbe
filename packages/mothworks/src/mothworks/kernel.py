"""The kernel builds, starts and stops the parts of a node.

A part is a class that registers itself under :data:`plugins.PART` and is
constructed with the kernel. It gets the parts that it depends on with
:meth:`Kernel.get`, so dependencies are built first and stopped last.
"""

import collections.abc
import math
import time
import typing

import gevent
import gevent.event
import logbook

from mothworks import metrics, plugins, settings, tasks

log = logbook.Logger("kernel")

PartType = typing.TypeVar("PartType")


class Part:
    """Base class of a node's parts; a part overrides the methods that it needs.

    :param kernel: the kernel that builds the part.
    """

    def __init__(self, kernel: "Kernel"):
        self.kernel = kernel
        self.tasks = tasks.Tasks(kernel.crash, kernel.rhythm)

    def start(self) -> None:
        """Start tasks and listeners."""

    def drain(self, deadline: float) -> None:
        """Finish or hand over work, and accept no new work.

        :param deadline: time on the monotonic clock by which to return.
        """

    def stop(self) -> None:
        """Stop immediately; called after every part was drained."""
        self.tasks.stop()


class Kernel:
    """Holds the parts of one node and what they share.

    :param node_settings: the node's settings.
    """

    def __init__(self, node_settings: settings.Settings):
        self.settings = node_settings
        self.metrics = metrics.Metrics()
        self.rhythm = tasks.Rhythm()
        self.part_by_class: dict[type, Part] = {}
        self.draining = False
        #: Deadline of a graceful shutdown on the monotonic clock, seconds.
        self.drain_deadline = math.inf
        #: Callbacks without arguments that are called when a graceful shutdown begins.
        self.on_draining: list = []
        self.stopped = gevent.event.Event()
        self.failure: BaseException | None = None

    def get(self, part_class: type[PartType]) -> PartType:
        """Return the node's part of a class, building it on first use.

        :param part_class: a class that is constructed with the kernel.
        """
        part = self.part_by_class.get(part_class)
        if part is None:
            part = part_class(self)
            self.part_by_class[part_class] = part
        return part

    def start(self) -> None:
        """Build and start every registered part."""
        for key in plugins.keys(plugins.PART):
            self.get(plugins.find(plugins.PART, key))
        for part in self.part_by_class.values():
            part.start()

    def shut_down(self) -> None:
        """Shut down gracefully: drain every part, then stop every part.

        The settings bound the time for the whole drain. Parts that receive
        callers' requests are built last and drain first.
        """
        if self.draining:
            return
        self.draining = True
        log.info("draining")
        deadline = time.monotonic() + self.settings.drain_s
        self.drain_deadline = deadline
        for callback in self.on_draining:
            self._try_step(callback)
        parts = list(reversed(self.part_by_class.values()))
        for part in parts:
            self._try_step(part.drain, deadline)
        for part in parts:
            self._try_step(part.stop)
        self.stopped.set()

    def _try_step(
        self, step: collections.abc.Callable[..., None], *args: typing.Any
    ) -> None:
        """Run a step of the shutdown; one that fails does not end the others."""
        try:
            step(*args)
        except Exception as error:
            log.exception("a step of the shutdown failed: {}", step)
            self.failure = self.failure or error

    def crash(self, error: BaseException) -> None:
        """Shut down because an invariant is broken.

        The calls in progress run in tasks of their own and are finished first.

        :param error: the exception.
        """
        self.failure = self.failure or error
        gevent.spawn(self.shut_down)
