"""Watcher election: which VMs follow the platform's feeds and publish to the others.

Each VM decides locally, from the ranking that all VMs share and from the statuses that
it receives: the first VMs in rank that are not known to be unhealthy are watchers. VMs
may disagree briefly, which costs some extra calls, since a VM that knows no healthy
watcher follows the feeds itself.
"""

import enum

import attrs

from mothworks import messages

#: Watchers in addition to the lease holder, which always follows the registry. With two
#: in total, one may fail without a gap.
ELECTED_WATCHERS = 1
#: Most VMs that are tried as watchers, in rank order. If that many are unhealthy, the
#: platform itself is down, and more watchers would only send more statuses.
MAX_CANDIDATES = 8
#: Time without a status after which a watcher counts as unhealthy, seconds. It leaves
#: the other VMs enough time to learn of an endpoint that leaves.
STATUS_TIMEOUT_S = 1.1
#: Time after which a VM that sent no status is tried again, seconds.
RETRY_DELAY_S = 4.0


@messages.message(124)
@attrs.frozen
class Status:
    """A watcher's health and versions, published to all VMs.

    :param healthy: whether the platform answers the watcher's calls for each feed.
    :param cursor: the platform's cursor up to which its registry is complete.
    :param changed_at: cursor of the last change in its registry.
    :param declaration_version: version of its declaration.
    """

    healthy: bool
    cursor: int
    changed_at: int
    declaration_version: int


class State(enum.Enum):
    """State of another VM as a watcher."""

    HEALTHY = "healthy"
    #: Its first status may still be in transit.
    EXPECTED = "expected"
    UNHEALTHY = "unhealthy"


@attrs.define
class _StatusRecord:
    """The last status of one VM.

    :param status: the status; None before the first one.
    :param received_at: monotonic time at which it was received.
    :param expected_since: monotonic time since which a status is expected; None if
        none is.
    """

    status: Status | None = None
    received_at: float = 0.0
    expected_since: float | None = None


class WatcherElection:
    """Decides on one VM which VMs are watchers.

    :param name: the VM that decides.

    >>> election = WatcherElection("vm-3")
    >>> election.watchers(["vm-1", "vm-2", "vm-3"], now=10.0)
    ['vm-1']
    >>> election.watchers(["vm-1", "vm-2", "vm-3"], now=12.0)
    ['vm-2']
    """

    def __init__(self, name: str):
        self.name = name
        self.record_by_vm: dict[str, _StatusRecord] = {}

    def receive(self, vm: str, status: Status, now: float) -> None:
        """Record a status.

        :param vm: the sender.
        :param status: the status.
        :param now: monotonic time.
        """
        record = self.record_by_vm.setdefault(vm, _StatusRecord())
        record.status = status
        record.received_at = now

    def watchers(self, ranked: list[str], now: float) -> list[str]:
        """Return the VMs that should be watchers now.

        This VM always counts as a possible watcher.

        :param ranked: the live VMs in rank order, without the lease holder.
        :param now: monotonic time.
        """
        watchers: list[str] = []
        for vm in ranked[:MAX_CANDIDATES]:
            if vm == self.name or self._state(vm, now) is not State.UNHEALTHY:
                watchers.append(vm)
            if len(watchers) == ELECTED_WATCHERS:
                break
        return watchers

    def healthy_watchers(self, now: float) -> dict[str, Status]:
        """Return the recent statuses of healthy watchers, by VM.

        :param now: monotonic time.
        """
        return {
            vm: record.status
            for vm, record in self.record_by_vm.items()
            if _is_healthy(record, now)
        }

    def retain(self, vms: set[str]) -> None:
        """Drop the records of all other VMs.

        :param vms: the VMs that are still live.
        """
        for vm in self.record_by_vm.keys() - vms:
            del self.record_by_vm[vm]

    def _state(self, vm: str, now: float) -> State:
        record = self.record_by_vm.setdefault(vm, _StatusRecord())
        if _is_healthy(record, now):
            record.expected_since = None
            return State.HEALTHY
        if record.status is not None and now - record.received_at <= STATUS_TIMEOUT_S:
            return State.UNHEALTHY
        if record.expected_since is None or now - record.expected_since > RETRY_DELAY_S:
            record.expected_since = now
        waited_s = now - max(record.expected_since, record.received_at)
        return State.EXPECTED if waited_s <= STATUS_TIMEOUT_S else State.UNHEALTHY


def _is_healthy(record: _StatusRecord, now: float) -> bool:
    recent = now - record.received_at <= STATUS_TIMEOUT_S
    return record.status is not None and recent and record.status.healthy
