"""The kernel: builds, starts and stops the parts of a node.

A part is a class that registers itself under :data:`plugins.PART` and takes
the kernel. It gets the parts it needs with :meth:`Kernel.get`, so that the
order of construction follows the needs; stopping goes the other way round.
"""

import math
import time
import typing

import gevent.event
import logbook

from mothworks import metrics, plugins, settings, tasks

log = logbook.Logger("kernel")

PartType = typing.TypeVar("PartType")


class Part:
    """Base of a node's parts; a part overrides what it needs.

    :param kernel: the kernel that builds the part.
    """

    def __init__(self, kernel: "Kernel"):
        self.kernel = kernel
        self.tasks = tasks.Tasks(kernel.crash)

    def start(self) -> None:
        """Start tasks and listeners."""

    def drain(self, deadline: float) -> None:
        """Finish or hand over work; take nothing new.

        :param deadline: time on the monotonic clock by which to return.
        """

    def stop(self) -> None:
        """Stop at once; called after every part was drained."""
        self.tasks.stop()


class Kernel:
    """Everything that one node's parts share.

    :param checked: the node's settings.
    """

    def __init__(self, checked: settings.Settings):
        self.settings = checked
        self.metrics = metrics.Metrics()
        self.part_by_class: dict[type, Part] = {}
        self.draining = False
        #: Monotonic time by which a graceful shutdown is over, seconds.
        self.drain_deadline = math.inf
        #: Functions to call when a graceful shutdown begins, without arguments.
        self.on_draining: list = []
        self.stopped = gevent.event.Event()
        self.failure: BaseException | None = None

    def get(self, part_class: type[PartType]) -> PartType:
        """Return the node's part of a class, building it on first use.

        :param part_class: a class that takes the kernel.
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
        """Stop gracefully: drain every part, then stop every part.

        The whole drain is bounded by the setting ``drain_s``; parts that
        callers reach first, which were built last, drain first.
        """
        if self.draining:
            return
        self.draining = True
        log.info("draining")
        deadline = time.monotonic() + self.settings.limits.drain_s
        self.drain_deadline = deadline
        for notify in self.on_draining:
            notify()
        parts = list(reversed(self.part_by_class.values()))
        for part in parts:
            part.drain(deadline)
        for part in parts:
            part.stop()
        self.stopped.set()

    def crash(self, error: BaseException) -> None:
        """Stop at once because an invariant is broken.

        :param error: what went wrong.
        """
        self.failure = error
        self.stopped.set()
