"""Watch duty: which VMs follow the platform's feeds and tell the others.

Each VM decides for itself, from the order in which all VMs stand and from the signs
that it hears: the first few that are not known to fail tell all others. They can
disagree for a moment, which costs some calls: a VM that hears no good sign follows
the feeds by itself.
"""

import enum

import attrs

from mothworks import messages

#: VMs that tell beside the holder of the lease, which follows the registry closely in
#: any case: so one of them may vanish without a gap.
TELLERS = 1
#: VMs that may come to tell, one after the other. Where so many fail, the platform
#: does, and more signs would only be more messages.
CANDIDATES = 8
#: Time without a sign after which a VM counts as silent, seconds: a sign is sent
#: every 0.5 s, and whoever hears none must poll in time to learn of an endpoint that
#: leaves.
SILENT_S = 1.1
#: Time after which a silent VM is tried again, seconds.
RETRY_S = 4.0


@messages.message(124)
@attrs.frozen
class Sign:
    """Tells all VMs what one VM knows from the platform.

    :param good: whether the platform answers it.
    :param cursor: the platform's revision as of which it knows the registry.
    :param changed_at: revision of the last change in its registry.
    :param declaration_version: its declaration.
    """

    good: bool
    cursor: int
    changed_at: int
    declaration_version: int


class State(enum.Enum):
    """What one VM knows of another one's telling."""

    GOOD = "good"
    #: It is not known yet whether it tells.
    EXPECTED = "expected"
    BAD = "bad"


@attrs.define
class _Known:
    """What was heard of one VM.

    :param sign: its last sign; None for none.
    :param heard_at: monotonic time of that sign.
    :param expected_at: monotonic time since when it is expected to tell.
    """

    sign: Sign | None = None
    heard_at: float = 0.0
    expected_at: float | None = None


class WatchDuty:
    """Who tells, as one VM sees it.

    :param name: that VM.

    >>> duty = WatchDuty("vm-3")
    >>> duty.tellers(["vm-1", "vm-2", "vm-3"], now=10.0)
    ['vm-1']
    >>> duty.tellers(["vm-1", "vm-2", "vm-3"], now=12.0)
    ['vm-2']
    """

    def __init__(self, name: str):
        self.name = name
        self.known_by_vm: dict[str, _Known] = {}

    def hear(self, vm: str, sign: Sign, now: float) -> None:
        """Take a sign.

        :param vm: who sent it.
        :param sign: the sign.
        :param now: monotonic time.
        """
        known = self.known_by_vm.setdefault(vm, _Known())
        known.sign = sign
        known.heard_at = now

    def tellers(self, ranked: list[str], now: float) -> list[str]:
        """Return the VMs that should tell now; this VM counts as able to.

        :param ranked: the live VMs but the holder of the lease, the first in line
            first.
        :param now: monotonic time.
        """
        chosen: list[str] = []
        for vm in ranked[:CANDIDATES]:
            if vm == self.name or self._state(vm, now) is not State.BAD:
                chosen.append(vm)
            if len(chosen) == TELLERS:
                break
        return chosen

    def good_signs(self, now: float) -> dict[str, Sign]:
        """Return the recent signs of VMs that the platform answers, by VM.

        :param now: monotonic time.
        """
        return {
            vm: known.sign
            for vm, known in self.known_by_vm.items()
            if _is_good(known, now)
        }

    def forget(self, vms: set[str]) -> None:
        """Drop what is known of VMs that are gone.

        :param vms: the VMs that are still there.
        """
        for vm in self.known_by_vm.keys() - vms:
            del self.known_by_vm[vm]

    def _state(self, vm: str, now: float) -> State:
        known = self.known_by_vm.setdefault(vm, _Known())
        if _is_good(known, now):
            known.expected_at = None
            return State.GOOD
        if known.sign is not None and now - known.heard_at <= SILENT_S:
            return State.BAD
        if known.expected_at is None or now - known.expected_at > RETRY_S:
            known.expected_at = now
        waited = now - max(known.expected_at, known.heard_at)
        return State.EXPECTED if waited <= SILENT_S else State.BAD


def _is_good(known: _Known, now: float) -> bool:
    recent = now - known.heard_at <= SILENT_S
    return known.sign is not None and recent and known.sign.good
