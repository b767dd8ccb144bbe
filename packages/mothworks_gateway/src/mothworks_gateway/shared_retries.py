"""Shared retries: the fixed number of retries that all VMs hold together.

The retry budget (:mod:`retry_budget`) allows a fixed number of retries per service and
window beyond a share of the requests. One VM per service, its owner (:mod:`owners`),
grants them. What was granted outlives the process that granted it: each VM publishes
its record of all grants (:mod:`spending_record`) in its heartbeats.

A VM grants nothing until its record covers a whole window: by its own age, or because a
VM that knew sent its record. Where VMs do not receive each other, each side grants the
part of the fixed number that corresponds to the VMs it receives, so that all sides stay
within it together.
"""

import collections
import secrets

import attrs

from mothworks import kernel, membership, messages, peers
from mothworks_gateway import (
    boot_clock,
    fleet_size,
    heartbeat,
    shared_budgets,
    sliding_windows,
    spending_record,
)

#: Share of the fixed number that is granted. The rest covers what two owners grant at
#: the same time, before each has received the grants of the other.
ALLOWANCE_SHARE = 0.8
#: Length of a slot of the record, seconds.
SLOT_S = 0.5
#: Time by which a VM's record may be behind, seconds.
MAX_LAG_S = shared_budgets.HEARTBEAT_TIMEOUT_S
#: Time for which no owner is asked again where none may grant, seconds.
NO_OWNER_RETRY_S = heartbeat.INTERVAL_S
#: Bounds of the time for which no owner is asked again after a refusal, seconds.
MIN_REFUSED_S = 0.05
MAX_REFUSED_S = 1.0


@messages.message(157)
@attrs.frozen
class RetryRequest:
    """Requests a retry of the fixed number from an owner.

    The owner before may have ended before it published what it granted, which those
    that it granted it to know.

    :param service: the service that is sent a request again.
    :param rows: the record of the VM that asks, for this service.
    """

    service: str
    rows: tuple[spending_record.SpendingRow, ...] = ()


@messages.message(158)
@attrs.frozen
class RetryReply:
    """An owner's decision on a :class:`RetryRequest`.

    :param may_grant: whether the replying VM may act as an owner now.
    :param wait_s: 0 where the retry is granted; else the seconds until one is free.
    :param left: the retries that it may still grant.
    :param rows: its record for the service, this grant included.
    """

    may_grant: bool
    wait_s: float = 0.0
    left: int = 0
    rows: tuple[spending_record.SpendingRow, ...] = ()


@attrs.frozen
class Grant:
    """A granted retry.

    :param granter: the VM that granted it.
    :param left: the retries that it may still grant.
    """

    granter: str
    left: int


class SharedRetries(kernel.Part):
    """Grants retries of the services that this VM owns, and asks owners of others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.granter = f"{self.name} {secrets.token_hex(4)}"
        self.membership = node_kernel.get(membership.Membership)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.fleet = node_kernel.get(fleet_size.FleetSize)
        self.record = spending_record.SpendingRecord(
            node_kernel.settings.bounds.retry_window_s, SLOT_S
        )
        #: Time since which the record is complete, on the clock of `boot_clock`.
        self.complete_since = boot_clock.now()
        #: Time at which this VM last published its record, on the same clock.
        self.published_at = self.complete_since
        #: Whether a VM that knew the size of the fleet sent it to this one.
        self.knows_fleet = False
        #: Time of each VM's last record, on the same clock.
        self.received_at_by_vm: dict[str, float] = {}
        #: Time until which no owner grants a retry for a service, on the same clock.
        self.refused_until_by_service: dict[str, float] = {}
        #: Retries that this VM granted, by service and the VM that asked for them.
        self.granted_by_key = collections.defaultdict(
            lambda: sliding_windows.WindowedCount(self.record.window_s)
        )
        #: Of these, the ones beyond an equal part, by service.
        self.granted_beyond_by_service = collections.defaultdict(
            lambda: sliding_windows.WindowedCount(MAX_LAG_S)
        )
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(self._heartbeat_fields)
        heartbeats.on_received.append(self._on_heartbeat)
        node_kernel.get(peers.Peers).handle(RetryRequest, self._serve)

    def may_acquire(self, service: str) -> bool:
        """Return whether an owner may have a retry left.

        :param service: the service that is sent a request again.
        """
        refused_until = self.refused_until_by_service.get(service, 0.0)
        return self._pool_size() >= 1 and boot_clock.now() >= refused_until

    def acquire(self, service: str) -> Grant | None:
        """Acquire a retry from an owner; None if none is left or no owner replies.

        :param service: the service that is sent a request again.
        """
        if not self.may_acquire(service):
            return None
        for owner in self.budgets.responsive_owners(f"retries {service}"):
            reply = self._ask(owner, service)
            if reply is None or not reply.may_grant:
                continue
            if not reply.wait_s:
                return Grant(owner, reply.left)
            self._pause(service, min(MAX_REFUSED_S, reply.wait_s))
            return None
        self._pause(service, NO_OWNER_RETRY_S)
        return None

    def _pause(self, service: str, seconds: float) -> None:
        until = boot_clock.now() + max(MIN_REFUSED_S, seconds)
        self.refused_until_by_service[service] = until

    def _ask(self, owner: str, service: str) -> RetryReply | None:
        if owner == self.name:
            return self._grant(service, self.name)
        thing = f"the retries of {service}"
        rows = self.record.rows(boot_clock.now(), service)
        match self.budgets.call_owner(owner, RetryRequest(service, rows), thing):
            case RetryReply() as reply:
                self.record.merge(reply.rows, boot_clock.now())
                return reply
        return None

    def _serve(self, vm: str, request: RetryRequest, answer: peers.Reply) -> None:
        self.record.merge(request.rows, boot_clock.now())
        answer(self._grant(request.service, vm))

    def _grant(self, service: str, vm: str) -> RetryReply:
        now = boot_clock.now()
        if not self._may_grant(now):
            return RetryReply(False)
        allowed = self._pool_size() * self._reach(now)
        left = int(allowed - self.record.count(service, now))
        if left < 1:
            excess = 1 - left
            return RetryReply(True, self.record.free_in_s(service, excess, now))
        if not self._count_paced(service, vm):
            return RetryReply(True, heartbeat.INTERVAL_S, left)
        self.record.add(self.granter, service, now)
        return RetryReply(True, 0.0, left - 1, self.record.rows(now, service))

    def _count_paced(self, service: str, vm: str) -> bool:
        """Count a retry for a VM; returns false if it has to wait for others to know.

        Two owners that do not receive each other may both grant what is left. So a VM
        gets an equal part of the fixed number at once, but what goes beyond such parts
        is granted no faster than the rest of the fixed number covers.
        """
        granted = self.granted_by_key[service, vm]
        is_within_part = granted.count() + 1 <= self._pool_size() / self._fleet_size()
        if not is_within_part:
            beyond = self.granted_beyond_by_service[service]
            rest = (1 - ALLOWANCE_SHARE) * self.kernel.settings.bounds.retry_slack
            if beyond.count() + 1 > max(1.0, rest):
                return False
            beyond.add()
        granted.add()
        return True

    def _may_grant(self, now: float) -> bool:
        is_running = now - self.published_at <= MAX_LAG_S
        is_complete = now - self.complete_since >= self.record.window_s
        is_candidate = self.name in self.budgets.owners.candidates()
        return is_running and is_complete and is_candidate

    def _pool_size(self) -> float:
        """Return the number of retries that all VMs together grant in a window."""
        return ALLOWANCE_SHARE * self.kernel.settings.bounds.retry_slack

    def _reach(self, now: float) -> float:
        """Return the share of the VMs of the fleet that this one receives.

        Each VM receives all candidates for ownership, so they stand for all VMs.
        """
        candidates = self.budgets.owners.candidates()
        oldest_at = now - MAX_LAG_S
        received_vms = [
            vm
            for vm in candidates
            if vm == self.name or self.received_at_by_vm.get(vm, 0.0) >= oldest_at
        ]
        received_share = len(received_vms) / len(candidates)
        return received_share * self.fleet.live / self._fleet_size()

    def _fleet_size(self) -> int:
        """Return how many VMs the fleet has, those that are cut off included.

        A VM that starts behind a network cut has only the platform's list to tell it.
        """
        if self.knows_fleet:
            return self.fleet.peak
        return max(self.fleet.peak, 1 + len(self.membership.listed_by_name))

    def _heartbeat_fields(self) -> dict:
        now = boot_clock.now()
        if now - self.published_at > MAX_LAG_S:
            # The VM was suspended, or its event loop stood still.
            self.complete_since = now
        self.published_at = now
        self._forget_idle(now)
        complete_s = min(self.record.window_s, now - self.complete_since)
        peak = self.fleet.peak if self.knows_fleet else 0
        record = (complete_s, peak, self.record.rows(now))
        return {"retry_record": record}

    def _forget_idle(self, now: float) -> None:
        """Drop the counts of VMs that ask for nothing or are gone."""
        for key, granted in list(self.granted_by_key.items()):
            if not granted.count():
                del self.granted_by_key[key]
        self.received_at_by_vm = {
            vm: at for vm, at in self.received_at_by_vm.items() if now - at <= MAX_LAG_S
        }

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        if vm == self.name or received.relayed or received.retry_record is None:
            return
        now = boot_clock.now()
        complete_s, peak, rows = received.retry_record
        self.received_at_by_vm[vm] = now
        self.record.merge(rows, now)
        self.complete_since = min(self.complete_since, now - complete_s)
        if peak:
            self.knows_fleet = True
            self.fleet.learn_peak(peak)
