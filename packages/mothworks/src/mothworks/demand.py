"""Demand: how many batch slots callers' requests use, by model.

Every entry VM counts arrivals, including requests refused because no endpoint
was available, and the time that requests held a batch slot. It sends the
counts to its region's planner, which maintains a fast and a slow moving
average for each model.
"""

import math
import time
import typing

import attrs

from mothworks import kernel, membership, messages, ownership, peers, plugins

#: Interval between an entry VM's reports, seconds.
REPORT_INTERVAL_S = 2.0
#: Time constants of the moving averages, seconds.
FAST_TIME_CONSTANT_S = 10.0
SLOW_TIME_CONSTANT_S = 300.0
#: Time that a request is assumed to hold a batch slot before any has ended, seconds.
DEFAULT_SERVICE_S = 2.0
#: Weight of the newest report in the mean time that a request holds a batch slot.
SERVICE_WEIGHT = 0.2
#: Rate below which a model's averages are discarded, requests/s.
MIN_RATE = 1e-3


@messages.message(70)
@attrs.frozen
class Counts:
    """An entry VM's counts since its last report, as parallel arrays.

    :param names: models and adapters as callers named them.
    :param arrivals: requests that arrived.
    :param completions: requests that held a batch slot and ended.
    :param held_ms: total time that those held their batch slots, milliseconds.
    """

    names: tuple[str, ...] = attrs.field(converter=tuple)
    arrivals: tuple[int, ...] = attrs.field(converter=tuple)
    completions: tuple[int, ...] = attrs.field(converter=tuple)
    held_ms: tuple[int, ...] = attrs.field(converter=tuple)


@attrs.define
class Count:
    """An entry VM's counts of one model since the last report.

    :param arrivals: requests that arrived.
    :param completions: requests that held a batch slot and ended.
    :param held_s: total time that those held their batch slots, seconds.
    """

    arrivals: int = 0
    completions: int = 0
    held_s: float = 0.0


@attrs.define
class Averages:
    """The planner's view of one model's or adapter's demand.

    :param fast: arrival rate averaged over about 10 s, requests/s.
    :param slow: arrival rate averaged over about 5 minutes, requests/s.
    :param service_s: mean time that a request holds a batch slot, seconds.
    :param new_arrivals: arrivals since the last update.
    """

    fast: float = 0.0
    slow: float = 0.0
    service_s: float = DEFAULT_SERVICE_S
    new_arrivals: int = 0

    def update(self, seconds: float) -> None:
        """Update the averages with the new arrivals.

        :param seconds: time since the last update; the arrivals wait for the next one
            if it is 0.
        """
        if seconds <= 0:
            return
        rate = self.new_arrivals / seconds
        self.new_arrivals = 0
        self.fast += (rate - self.fast) * (
            1 - math.exp(-seconds / FAST_TIME_CONSTANT_S)
        )
        self.slow += (rate - self.slow) * (
            1 - math.exp(-seconds / SLOW_TIME_CONSTANT_S)
        )

    def add_service_times(self, completions: int, held_s: float) -> None:
        """Update the mean time that a request holds a batch slot.

        :param completions: requests that ended.
        :param held_s: total time that they held their batch slots, seconds.
        """
        if completions:
            self.service_s += (held_s / completions - self.service_s) * SERVICE_WEIGHT

    @property
    def rate(self) -> float:
        """Return the rate to plan for, requests/s.

        The larger average rises quickly and falls slowly, so that a replica
        is not evicted in a short lull.
        """
        return max(self.fast, self.slow)

    @property
    def batch_slots(self) -> float:
        """Return the batch slots that the demand uses."""
        return self.rate * self.service_s


class DemandAverages:
    """Demand averages of all models and adapters of a region."""

    def __init__(self):
        self.averages_by_name: dict[str, Averages] = {}

    def add_counts(self, counts: Counts) -> None:
        """Add an entry VM's counts to the averages.

        :param counts: its report.
        """
        rows = zip(
            counts.names,
            counts.arrivals,
            counts.completions,
            counts.held_ms,
            strict=True,
        )
        for name, arrivals, completions, held_ms in rows:
            averages = self.averages_by_name.setdefault(name, Averages())
            averages.new_arrivals += arrivals
            averages.add_service_times(completions, held_ms / 1000)

    def update(self, seconds: float) -> None:
        """Update all averages; discard those of models without demand.

        :param seconds: time since the last update.
        """
        for name, averages in list(self.averages_by_name.items()):
            averages.update(seconds)
            if averages.rate < MIN_RATE:
                del self.averages_by_name[name]


@plugins.register(plugins.PART, "demand")
class Demand(kernel.Part):
    """Counts this VM's requests; on the planner, aggregates the region's.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.count_by_name: dict[str, Count] = {}
        self.averages = DemandAverages()
        self.peers.handle(Counts, self._receive)

    def start(self) -> None:
        """Start reporting to the planner."""
        self.tasks.every(REPORT_INTERVAL_S, self._report)

    def count_arrival(self, name: str) -> None:
        """Count a request's arrival.

        :param name: the model or adapter that it requests.
        """
        self._count(name).arrivals += 1

    def count_end(self, name: str, sent_at: float) -> None:
        """Count a request that held a batch slot and ended.

        :param name: the model or adapter that it requested.
        :param sent_at: monotonic time at which it was sent, seconds.
        """
        count = self._count(name)
        count.completions += 1
        count.held_s += time.monotonic() - sent_at

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
            self.averages.add_counts(counts)
        else:
            self.peers.send(planner.name, counts)

    def _receive(self, _: str, counts: Counts, __: typing.Any) -> None:
        self.averages.add_counts(counts)


def _counts(count_by_name: dict[str, Count]) -> Counts:
    counts = count_by_name.values()
    return Counts(
        list(count_by_name),
        [count.arrivals for count in counts],
        [count.completions for count in counts],
        [round(count.held_s * 1000) for count in counts],
    )
