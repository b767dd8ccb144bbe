"""Shared budgets: what all VMs together may spend, granted by one owner per budget.

Each budget, such as the usage cap of a client account, has an owner (:mod:`owners`),
which every VM calls before it spends. Heartbeats publish what was spent, and which VM
granted it, to all candidates for ownership: when the owner falls silent, the next
candidate takes over at once, behind by no more than two heartbeats, half a second.

During a partition two VMs may consider themselves the owner. So a VM only grants while
it receives heartbeats from most candidates, and no more than the share of the VMs it
still reaches among those that were live recently (:mod:`fleet_size`).
"""

import collections
import collections.abc
import time
import typing

from mothworks import kernel
from mothworks_gateway import boot_clock, fleet_size, heartbeat, owners

#: Timeout of a call to an owner, seconds: several times the longest round trip between
#: data centres of a region plus one iteration of a busy VM's event loop.
OWNER_TIMEOUT_S = 0.04
#: Most owners that are called for one request.
MAX_OWNERS = 2
#: Time without a heartbeat after which a candidate counts as silent, seconds: two
#: heartbeats. If it were longer, both sides of a partition could grant a full burst.
HEARTBEAT_TIMEOUT_S = 2 * heartbeat.INTERVAL_S
#: Time for which a VM that knows no other does not grant, seconds: when all VMs start
#: at once, each would grant the whole budget until they discover each other.
ALONE_DELAY_S = 1.5

#: Called with a budget's name, the VM that granted, and the units that were spent.
SpentHandler = collections.abc.Callable[[str, str, float], None]


class SharedBudgets(kernel.Part):
    """Publishes what this VM spends, receives what others spend, and calls owners.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.owners = node_kernel.get(owners.Owners)
        self.owners.on_change.append(self._update_candidacy)
        self.fleet = node_kernel.get(fleet_size.FleetSize)
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(self._heartbeat_fields)
        heartbeats.on_received.append(self._on_heartbeat)
        #: Monotonic time since which this VM has received all that is spent.
        self.synced_since = time.monotonic()
        self.is_candidate = True
        #: Whether this VM may have missed what others spent since then.
        self.is_incomplete = False
        #: Time of each VM's last heartbeat, on the clock of :func:`boot_clock.now`.
        self.received_at_by_vm: dict[str, float] = {}
        #: Units that this VM spent since its last heartbeat, by budget and granter.
        self.spent: collections.Counter[tuple[str, str]] = collections.Counter()
        #: Functions to call with what other VMs spent, while this VM is a candidate,
        #: except what this VM granted itself.
        self.on_spent: list[SpentHandler] = []
        #: Functions to call without arguments when this VM starts to receive what is
        #: spent: what it recorded before is incomplete.
        self.on_reset: list[collections.abc.Callable[[], None]] = []

    def spend(self, budget: str, granter: str, units: float) -> None:
        """Publish units that were spent to all candidates with the next heartbeat.

        :param budget: the budget's name, unique among budgets of all kinds: an
            account's name, or one with a control character, which no account's has.
        :param granter: the VM that granted the units; empty for none.
        :param units: the units that were spent; negative where they are refunded.
        """
        self.spent[budget, granter] += units

    def responsive_owners(self, key: str) -> list[str]:
        """Return the VMs to call for a grant, in order.

        :param key: the budget's key for ownership; see :meth:`owners.Owners.ranked`.
        """
        ranked = self.owners.ranked(key)
        return [vm for vm in ranked if not self.owners.is_unresponsive(vm)][:MAX_OWNERS]

    def call_owner(self, owner: str, message: typing.Any, thing: str) -> typing.Any:
        """Call an owner and return its reply; None where it does not answer.

        :param owner: the VM.
        :param message: the request.
        :param thing: what the request is about, for the log.
        """
        return self.owners.call(owner, message, OWNER_TIMEOUT_S, thing)

    def may_grant(self) -> bool:
        """Return whether this VM may act as an owner and grant now."""
        candidates = self.owners.candidates()
        if self.name not in candidates:
            return False
        is_alone = len(candidates) == 1
        if is_alone and time.monotonic() - self.synced_since < ALONE_DELAY_S:
            return False
        self._check_completeness()
        return not self.is_incomplete

    def share(self) -> float:
        """Return the share of a budget that the VMs which this one reaches may grant.

        Once membership declares the other side of a partition dead, the smaller side
        would count as a majority of itself, so both are compared with the recent peak
        of live VMs. A majority of it grants the whole budget; a minority grants its
        proportional share.
        """
        live, peak = self.fleet.live, self.fleet.peak
        return 1.0 if 2 * live > peak else live / peak

    def is_responsive(self, vm: str) -> bool:
        """Return whether a heartbeat of a candidate arrived recently.

        :param vm: the candidate.
        """
        oldest_at = boot_clock.now() - HEARTBEAT_TIMEOUT_S
        return self.received_at_by_vm.get(vm, 0.0) >= oldest_at

    def _receives_majority(self) -> bool:
        """Return whether heartbeats of most candidates arrived recently."""
        candidates = self.owners.candidates()
        received_vms = [
            vm for vm in candidates if vm == self.name or self.is_responsive(vm)
        ]
        return 2 * len(received_vms) > len(candidates)

    def _check_completeness(self) -> None:
        """Mark this VM's view as incomplete where a majority is not received."""
        if not self._receives_majority():
            self.is_incomplete = True

    def _reset(self) -> None:
        """Discard the recorded spending, of which this VM missed a part."""
        self.is_incomplete = False
        self.synced_since = time.monotonic()
        for notify in self.on_reset:
            notify()

    def _heartbeat_fields(self) -> dict:
        self._check_completeness()
        spent, self.spent = self.spent, collections.Counter()
        return {"spent": tuple((*key, units) for key, units in spent.items())}

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        """Pass on what other VMs granted, in case this VM becomes the next owner."""
        if received.relayed:
            return
        self.received_at_by_vm[vm] = boot_clock.now()
        if self.is_incomplete and self._receives_majority():
            self._reset()
        if not self.is_candidate:
            return
        for budget, granter, units in received.spent:
            if granter != self.name:
                for notify in self.on_spent:
                    notify(budget, granter, units)

    def _update_candidacy(self) -> None:
        """Reset the view when this VM becomes a candidate, since it was incomplete."""
        candidates = self.owners.candidates()
        was_candidate = self.is_candidate
        self.is_candidate = self.name in candidates
        if self.is_candidate and not was_candidate:
            self._reset()
        for vm in self.received_at_by_vm.keys() - set(candidates):
            del self.received_at_by_vm[vm]
