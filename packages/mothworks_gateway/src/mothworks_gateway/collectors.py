"""Collectors: which VMs aggregate the heartbeats of all, and which one a VM reports to.

All VMs compute the same collectors from the same membership: the first VMs of the order
in which they acquire the lease, so that its next holder already knows all demand. Every
other VM chooses one of them by rendezvous hashing, and another one when that falls
silent.
"""

import collections.abc
import math

from mothworks import ownership

#: Most peers that a VM sends its heartbeats to directly, so that their cost is bounded.
#: In a larger fleet a few VMs aggregate, own resources and forward messages for all.
MAX_DIRECT_PEERS = 16
#: Key of the ranking of VMs whose first ones are the collectors.
RANKING_KEY = "lease"
#: VMs per collector: it receives four heartbeats a second from each, which takes a few
#: hundredths of a small VM's processor.
VMS_PER_COLLECTOR = 24
#: Minimum number of collectors, so that the others are a majority if one fails.
MIN_COLLECTORS = 3
#: Time without totals after which a collector counts as silent, seconds: four intervals
#: between totals plus a round trip.
TOTALS_TIMEOUT_S = 1.2
#: Time for which a silent collector is not chosen again, seconds: membership takes some
#: seconds to notice that a VM is gone.
BACKOFF_S = 5.0


def is_full_mesh(peers: collections.abc.Sized) -> bool:
    """Return whether the fleet is small enough for each VM to send to all others.

    :param peers: all live VMs but one.
    """
    return len(peers) <= MAX_DIRECT_PEERS


def select(ranked: list[str]) -> list[str]:
    """Return the collectors.

    :param ranked: all live VMs that are not leaving, ranked by :data:`RANKING_KEY`.

    >>> len(select([f"vm-{number}" for number in range(195)]))
    9
    """
    count = max(MIN_COLLECTORS, math.ceil(len(ranked) / VMS_PER_COLLECTOR))
    return ranked[:count]


class OwnCollector:
    """One VM's choice of the collector that it reports to.

    :param name: the VM.
    """

    def __init__(self, name: str):
        self.name = name
        self.chosen = ""
        #: Monotonic time at which the collector was chosen or last sent its totals.
        self.received_at = 0.0
        self.backoff_until_by_vm: dict[str, float] = {}

    def on_totals(self, vm: str, now: float) -> None:
        """Record that a collector sent its totals.

        :param vm: the collector.
        :param now: monotonic time.
        """
        if vm == self.chosen:
            self.received_at = now

    def choose(self, candidates: list[str], now: float) -> str:
        """Return the collector to report to now.

        :param candidates: all collectors; at least one.
        :param now: monotonic time.
        """
        if self.chosen in candidates and now - self.received_at <= TOTALS_TIMEOUT_S:
            return self.chosen
        if self.chosen in candidates:
            self.backoff_until_by_vm[self.chosen] = now + BACKOFF_S
        usable = [
            vm for vm in candidates if self.backoff_until_by_vm.get(vm, 0.0) <= now
        ]
        self.chosen = max(
            usable or candidates, key=lambda vm: ownership.weight(self.name, vm)
        )
        self.received_at = now
        return self.chosen
