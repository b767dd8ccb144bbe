"""Freshness: the time as of which this VM's declaration is proven to be the newest.

A revoked key must stop working everywhere within a time bound, also on a VM that is
partitioned, was suspended, or is rejected by the platform. Such a VM can't learn of the
revocation, so it must detect that its declaration may be outdated. Each VM therefore
tracks the time *as of* which its declaration was the newest, and honours keys only for
a limited time after it.

A VM that follows the platform gets this time from the platform, any other VM from a
peer. It is the time on this VM's own clock just before the request was sent, less the
age in the reply. A reply that was delayed in transit, or in a socket buffer while the
VM was suspended, can therefore only make the declaration look older than it is.
Unsolicited messages prove nothing.
"""

import math
import random
import time

import attrs
import logbook
import result

from mothworks import kernel, logs, membership, messages, peers
from mothworks_gateway import (
    boot_clock,
    collectors,
    declarations,
    feeding,
    fleet_size,
    owners,
    watching,
)

log = logbook.Logger("freshness")

#: Seconds between requests to another VM.
REQUEST_INTERVAL_S = 0.4
#: Age at which a watcher also requests freshness from its peers, seconds: two of its
#: polls.
MAX_WATCHER_AGE_S = 1.2
#: Timeout for a reply, seconds.
REPLY_TIMEOUT_S = 0.3
#: Safety margin as a share of the bound: the platform's watches may return no changes
#: for 1 s before it drops its history, so that a view may be older than it seems.
MARGIN_SHARE = 0.2
#: Time for which a reply proves that peers are reachable, seconds.
REACHABLE_S = 2.0


@messages.message(127)
@attrs.frozen
class FreshnessRequest:
    """Requests the version and age of a VM's declaration."""


@messages.message(128)
@attrs.frozen
class FreshnessReply:
    """Reply to :class:`FreshnessRequest`.

    :param version: version of the sender's declaration.
    :param age_s: seconds since it was proven to be the newest.
    """

    version: int
    age_s: float


class Freshness(kernel.Part):
    """Tracks as of when this VM's declaration was the newest.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.feeding = node_kernel.get(feeding.FeedFollowers)
        self.watching = node_kernel.get(watching.Watching)
        self.owners = node_kernel.get(owners.Owners)
        #: The time derived from peers' replies, on the clock of :func:`boot_clock.now`.
        self.peer_as_of = -math.inf
        #: The VM that the next request goes to, since its last reply advanced the time;
        #: empty if the last request did not.
        self.source = ""
        #: The VM that the last request went to, unless its reply advanced the time.
        self.avoided_vm = ""
        self.peer_reached_at = -math.inf
        self.fleet = node_kernel.get(fleet_size.FleetSize)
        self.proven = True
        self.peers.handle(FreshnessRequest, self._serve_request)

    def start(self) -> None:
        """Start the periodic requests."""
        self.tasks.every(REQUEST_INTERVAL_S, self._check)

    @property
    def as_of(self) -> float:
        """Return as of when the declaration was the newest.

        The time is on the clock of :func:`boot_clock.now`.
        """
        if not self.declarations.readable:
            # There is a newer document that this VM can't decode.
            return -math.inf
        platform_as_of = self.feeding.follower_by_name["declarations"].as_of
        return max(platform_as_of, self.peer_as_of)

    def age_s(self) -> float:
        """Return the seconds since the declaration was proven to be the newest."""
        return boot_clock.now() - self.as_of

    @property
    def bound_s(self) -> float:
        """Return the maximum age at which keys are honoured, seconds."""
        revoke_s = self.kernel.settings.bounds.revoke_ms / 1000
        return revoke_s * (1 - MARGIN_SHARE) if revoke_s else math.inf

    def is_proven(self) -> bool:
        """Return whether the declaration is recent enough to honour keys."""
        return self.age_s() <= self.bound_s

    def is_fleet_wide(self) -> bool:
        """Return whether a stale declaration seems to affect all VMs.

        If only this VM, or a minority with it, is cut off from the platform and from
        the other VMs, callers should be sent to other VMs.
        """
        if 2 * self.fleet.live < self.fleet.peak:
            return False
        is_only_vm = self.fleet.live == 1
        return is_only_vm or boot_clock.now() - self.peer_reached_at <= REACHABLE_S

    def _check(self) -> None:
        if self.declarations.current is None:
            return
        if self.declarations.current.accounts is None:
            return
        request_age_s = MAX_WATCHER_AGE_S if self.watching.is_watcher else 0.0
        if self.age_s() > request_age_s:
            self._request(self._choose_peer())
        self._log_change()

    def _choose_peer(self) -> str:
        """Return the VM to send the next request to; empty if there is none.

        A VM whose reply advanced the time is used again; otherwise it is avoided.
        """
        sources = self._peer_candidates()
        if self.source in sources:
            return self.source
        others = [vm for vm in sources if vm != self.avoided_vm]
        return random.choice(others or sources or [""])

    def _peer_candidates(self) -> list[str]:
        """Return the VMs that requests may be sent to.

        In a large fleet, only the collectors send requests to the watchers, and all
        other VMs to the collectors. This bounds the requests that a watcher receives.
        """
        candidates = self.owners.candidates()
        watchers = list(self.watching.election.healthy_watchers(time.monotonic()))
        few_vms = collectors.is_full_mesh(self.membership.region_peers())
        if few_vms or self.name in candidates:
            return watchers or [vm for vm in candidates if vm != self.name]
        return candidates

    def _request(self, vm: str) -> None:
        self.source, self.avoided_vm = "", vm
        if not vm:
            return
        if not self.peers.is_connected(vm):
            self.peers.open(vm)
            return
        sent_at = boot_clock.now()
        match self.peers.call(vm, FreshnessRequest(), REPLY_TIMEOUT_S):
            case result.Ok(FreshnessReply(version, age_s)):
                self.peer_reached_at = boot_clock.now()
                self._apply_reply(vm, version, sent_at - age_s)

    def _apply_reply(self, vm: str, version: int, as_of: float) -> None:
        """Apply the reply of a peer.

        A newer version on the peer proves nothing about an older one here. If this
        VM's version is newer than the peer's, it was written after the given time, so
        that no newer one existed then.
        """
        if version <= self.declarations.version and as_of > self.peer_as_of:
            self.peer_as_of = as_of
            self.source, self.avoided_vm = vm, ""

    def _serve_request(self, _: str, __: FreshnessRequest, answer: peers.Reply) -> None:
        answer(FreshnessReply(self.declarations.version, self.age_s()))

    def _log_change(self) -> None:
        """Log when keys start to be refused, and when they are honoured again."""
        proven = self.is_proven()
        if proven != self.proven:
            self.proven = proven
            logs.event(
                log,
                "declaration proven" if proven else "declaration unproven",
                version=self.declarations.version,
                age_s=round(min(self.age_s(), 1e6), 3),
                source=self.source,
                outcome="keys are honoured" if proven else "keys are refused",
            )
