"""Watcher election: which VMs follow the platform's feeds and publish to the others.

Each VM decides for itself, from the order in which all VMs rank and from the statuses
that it receives: the first few that are not known to fail are watchers. VMs can
disagree for a moment, which costs some calls: one that knows no healthy watcher follows
the feeds by itself.
"""

import enum

import attrs

from mothworks import messages

#: Watchers beside the holder of the lease, which follows the registry closely in any
#: case: so one of them may vanish without a gap.
WATCHERS = 1
#: VMs that are tried as watchers, one after the other. Where so many fail, the platform
#: does, and more statuses would only be more messages.
CANDIDATES = 8
#: Time without a status after which a watcher counts as silent, seconds. Whoever relied
#: on it must then still learn in time of an endpoint that leaves.
STATUS_TIMEOUT_S = 1.1
#: Time after which a silent VM is tried again, seconds.
RETRY_S = 4.0


@messages.message(124)
@attrs.frozen
class Status:
    """What a watcher knows from the platform, for all VMs.

    :param healthy: whether the platform answers it about each feed.
    :param cursor: the platform's revision as of which it knows the registry.
    :param changed_at: revision of the last change in its registry.
    :param declaration_version: its declaration.
    """

    healthy: bool
    cursor: int
    changed_at: int
    declaration_version: int


class State(enum.Enum):
    """What one VM knows of another one as a watcher."""

    HEALTHY = "healthy"
    #: Its first status may still be on its way.
    EXPECTED = "expected"
    UNHEALTHY = "unhealthy"


@attrs.define
class _Known:
    """What was received from one VM.

    :param status: its last status; None for none.
    :param received_at: monotonic time of that status.
    :param expected_at: monotonic time since when statuses are expected.
    """

    status: Status | None = None
    received_at: float = 0.0
    expected_at: float | None = None


class WatcherElection:
    """Which VMs are watchers, as one VM sees it.

    :param name: that VM.

    >>> election = WatcherElection("vm-3")
    >>> election.watchers(["vm-1", "vm-2", "vm-3"], now=10.0)
    ['vm-1']
    >>> election.watchers(["vm-1", "vm-2", "vm-3"], now=12.0)
    ['vm-2']
    """

    def __init__(self, name: str):
        self.name = name
        self.known_by_vm: dict[str, _Known] = {}

    def receive(self, vm: str, status: Status, now: float) -> None:
        """Take a status.

        :param vm: who sent it.
        :param status: the status.
        :param now: monotonic time.
        """
        known = self.known_by_vm.setdefault(vm, _Known())
        known.status = status
        known.received_at = now

    def watchers(self, ranked: list[str], now: float) -> list[str]:
        """Return the VMs that should watch now; this VM counts as able to.

        :param ranked: the live VMs but the holder of the lease, the first in line
            first.
        :param now: monotonic time.
        """
        chosen: list[str] = []
        for vm in ranked[:CANDIDATES]:
            if vm == self.name or self._state(vm, now) is not State.UNHEALTHY:
                chosen.append(vm)
            if len(chosen) == WATCHERS:
                break
        return chosen

    def healthy_watchers(self, now: float) -> dict[str, Status]:
        """Return the recent statuses of watchers that the platform answers, by VM.

        :param now: monotonic time.
        """
        return {
            vm: known.status
            for vm, known in self.known_by_vm.items()
            if _is_healthy(known, now)
        }

    def forget(self, vms: set[str]) -> None:
        """Drop what is known of VMs that are gone.

        :param vms: the VMs that are still there.
        """
        for vm in self.known_by_vm.keys() - vms:
            del self.known_by_vm[vm]

    def _state(self, vm: str, now: float) -> State:
        known = self.known_by_vm.setdefault(vm, _Known())
        if _is_healthy(known, now):
            known.expected_at = None
            return State.HEALTHY
        if known.status is not None and now - known.received_at <= STATUS_TIMEOUT_S:
            return State.UNHEALTHY
        if known.expected_at is None or now - known.expected_at > RETRY_S:
            known.expected_at = now
        waited = now - max(known.expected_at, known.received_at)
        return State.EXPECTED if waited <= STATUS_TIMEOUT_S else State.UNHEALTHY


def _is_healthy(known: _Known, now: float) -> bool:
    recent = now - known.received_at <= STATUS_TIMEOUT_S
    return known.status is not None and recent and known.status.healthy
