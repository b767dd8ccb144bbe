"""Demand: how much work callers bring for each model.

Every entry counts arrivals, those refused for want of an endpoint among
them, and the time that requests held an endpoint. It sends the counts to its
region's planner, which keeps a fast and a slow average for each model.
"""

import math
import time
import typing

import attrs

from mothworks import kernel, membership, messages, ownership, peers, plugins

#: Seconds between an entry's reports.
REPORT_S = 2.0
#: Time constants of the averages, seconds.
FAST_S = 10.0
SLOW_S = 300.0
#: Time that a request holds a place in a batch where none was seen yet, seconds.
SERVICE_S = 2.0
#: Weight of the newest report in the mean time that a request holds a place.
SERVICE_WEIGHT = 0.2
#: A rate below this counts as none, requests a second.
NEGLIGIBLE = 1e-3


@messages.message(70)
@attrs.frozen
class Counts:
    """What one entry saw since its last report, in arrays of the same order.

    :param names: models and adapters as callers named them.
    :param arrivals: requests that arrived.
    :param ends: requests that had a place and ended.
    :param held_ms: time that those held their places, milliseconds.
    """

    names: tuple[str, ...] = attrs.field(converter=tuple)
    arrivals: tuple[int, ...] = attrs.field(converter=tuple)
    ends: tuple[int, ...] = attrs.field(converter=tuple)
    held_ms: tuple[int, ...] = attrs.field(converter=tuple)


@attrs.define
class Count:
    """An entry's counts of one model since the last report.

    :param arrivals: requests that arrived.
    :param ends: requests that had a place and ended.
    :param held_s: time that those held their places, seconds.
    """

    arrivals: int = 0
    ends: int = 0
    held_s: float = 0.0


@attrs.define
class Averages:
    """The planner's view of one model's or adapter's demand.

    :param fast: arrivals, requests a second, over about 10 s.
    :param slow: arrivals, requests a second, over about 5 minutes.
    :param service_s: mean time that a request holds a place, seconds.
    :param new: arrivals since the last update.
    """

    fast: float = 0.0
    slow: float = 0.0
    service_s: float = SERVICE_S
    new: int = 0

    def update(self, seconds: float) -> None:
        """Take the new arrivals into the averages.

        :param seconds: time since the last update.
        """
        rate = self.new / seconds
        self.new = 0
        self.fast += (rate - self.fast) * (1 - math.exp(-seconds / FAST_S))
        self.slow += (rate - self.slow) * (1 - math.exp(-seconds / SLOW_S))

    def observe(self, ends: int, held_s: float) -> None:
        """Take the time that requests held their places.

        :param ends: requests that ended.
        :param held_s: their time together, seconds.
        """
        if ends:
            self.service_s += (held_s / ends - self.service_s) * SERVICE_WEIGHT

    @property
    def rate(self) -> float:
        """Return the rate to plan for, requests a second.

        The larger average follows a rise at once and a fall slowly, so that
        a replica is not given up in a short lull.
        """
        return max(self.fast, self.slow)

    @property
    def places(self) -> float:
        """Return the places in batches that the demand fills."""
        return self.rate * self.service_s


class Book:
    """Averages of all models of a region."""

    def __init__(self):
        self.averages_by_name: dict[str, Averages] = {}

    def take(self, counts: Counts) -> None:
        """Add an entry's counts.

        :param counts: its report.
        """
        rows = zip(
            counts.names, counts.arrivals, counts.ends, counts.held_ms, strict=True
        )
        for name, arrivals, ends, held_ms in rows:
            averages = self.averages_by_name.setdefault(name, Averages())
            averages.new += arrivals
            averages.observe(ends, held_ms / 1000)

    def update(self, seconds: float) -> None:
        """Take what came since the last update into the averages.

        :param seconds: time since then.
        """
        for name, averages in list(self.averages_by_name.items()):
            averages.update(seconds)
            if averages.rate < NEGLIGIBLE:
                del self.averages_by_name[name]


@plugins.register(plugins.PART, "demand")
class Demand(kernel.Part):
    """Counts this VM's requests and, on the planner, everybody's.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.count_by_name: dict[str, Count] = {}
        self.book = Book()
        self.peers.handle(Counts, self._receive)

    def start(self) -> None:
        """Start to report."""
        self.tasks.every(REPORT_S, self._report)

    def arrived(self, name: str) -> None:
        """Count a request's arrival.

        :param name: the model or adapter that it asks for.
        """
        self._count(name).arrivals += 1

    def ended(self, name: str, began: float) -> None:
        """Count a request that had a place in a batch.

        :param name: the model or adapter that it asked for.
        :param began: monotonic time at which it was sent, seconds.
        """
        count = self._count(name)
        count.ends += 1
        count.held_s += time.monotonic() - began

    def _count(self, name: str) -> Count:
        return self.count_by_name.setdefault(name, Count())

    def _report(self) -> None:
        if not self.count_by_name:
            return
        region = self.kernel.settings.region
        planner = ownership.planner_of(region, self.membership.live())
        if planner is None:
            return
        counts = _counts(self.count_by_name)
        self.count_by_name = {}
        if planner.name == self.kernel.settings.name:
            self.book.take(counts)
        else:
            self.peers.send(planner.name, counts)

    def _receive(self, _: str, counts: Counts, __: typing.Any) -> None:
        self.book.take(counts)


def _counts(count_by_name: dict[str, Count]) -> Counts:
    counts = count_by_name.values()
    return Counts(
        list(count_by_name),
        [count.arrivals for count in counts],
        [count.ends for count in counts],
        [round(count.held_s * 1000) for count in counts],
    )
