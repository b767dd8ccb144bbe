"""The lease: only one VM at a time orders endpoints to load and unload models.

The lease is one object in the platform's store, renewed by conditional writes. Its
fencing token grows with each holder. The holder trusts the lease only until a margin
before its expiry, counted from before the renewal was sent, on a clock that also runs
while the VM is suspended. A holder that cannot reach the store renews through a peer
that can (:mod:`relayed_objects`).

Where endpoints ignore fencing tokens, another VM acquires the lease only after it
stayed unchanged for its whole duration. Where endpoints reject old tokens, the
duration only bounds how long a holder continues without the store: a VM that receives
no heartbeat of the holder and observes no renewal takes over earlier, and endpoints
reject the former holder's late orders.

Each heartbeat of the holder carries the version of its last renewal. A VM that first
observes a version at some moment knows that it was written before then. If it acquires
the lease by a write conditional on this version, at least one duration after that
moment, the holder has not renewed in between. So no VM has to start watching the store
when the holder falls silent, and models are loaded again three seconds sooner: six
seconds after the holder's last renewal instead of nine.

A platform that was restored from a copy has lost the newest renewals, and possibly the
lease. A lease is therefore valid only in the era in which it was acquired: its holder
acquires it again with a fencing token of the new era.

A holder that reaches no endpoint releases the lease if another VM can send orders.
"""

import collections.abc
import math
import random
import time

import attrs
import gevent
import gevent.event
import logbook
import result

from mothworks import kernel, logs, membership, objects, ownership
from mothworks_gateway import (
    boot_clock,
    cursors,
    discovery,
    endpoint_paths,
    forwarding_peers,
    heartbeat,
    lease_record,
    relayed_objects,
)

log = logbook.Logger("lease")

#: Key of the object that stores the lease.
KEY = "leases/orders"
#: Duration of the lease where endpoints check fencing tokens, as a multiple of the
#: configured ``lease_ms``: long enough to outlast usual outages of the store.
FENCED_DURATION_FACTOR = 4
#: Time between renewals, as a share of ``lease_ms``; two renewals can fail before an
#: unfenced lease expires.
RENEW_INTERVAL_SHARE = 0.4
#: Time without a renewal, in renewal intervals, after which a silent fenced holder
#: counts as gone.
TAKEOVER_INTERVALS = 1.3
#: Margin before expiry in which the holder no longer sends orders, seconds: the time
#: from the check of the lease until an order arrives.
EXPIRY_MARGIN_S = 0.4
#: Time between reads of a lease that another VM may hold, seconds.
POLL_INTERVAL_S = 0.5
#: Delay before the first read, seconds: a VM that just started knows no peers and ranks
#: itself first; without the delay all VMs of a fleet wrote the lease at once.
STARTUP_DELAY_S = 0.6
#: Additional delay per rank before a VM tries to acquire the lease, seconds, so that
#: VMs of a higher rank try first.
RANK_DELAY_S = 0.7
#: Time between checks for a suspension of this VM, seconds, and the longest gap between
#: two checks for which the lease is still trusted: after a longer gap the VM was
#: suspended, and another VM may hold the lease.
SUSPENSION_CHECK_S = 0.25
MAX_CHECK_GAP_S = 1.0
#: Time for which a holder reaches no endpoint before it releases the lease, seconds:
#: the next holder needs as long to acquire it.
MIN_LOSS_S = 1.0
#: Time without a holder's heartbeat after which VMs try to acquire the lease, seconds.
HOLDER_TIMEOUT_S = 1.2


class Lease(kernel.Part):
    """Acquires, renews and releases the lease.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        settings = node_kernel.settings
        self.name = settings.name
        #: Random id of this process, which the stored lease contains.
        self.life = f"{random.getrandbits(64):016x}"
        lease_s = settings.bounds.lease_ms / 1000
        fenced = settings.bounds.fenced
        self.renew_interval_s = lease_s * RENEW_INTERVAL_SHARE
        self.duration_s = lease_s * (FENCED_DURATION_FACTOR if fenced else 1)
        #: Time without a renewal after which another VM may take over, seconds.
        self.takeover_s = (
            self.renew_interval_s * TAKEOVER_INTERVALS if fenced else self.duration_s
        )
        # Where endpoints check fencing tokens, they reject a late order of the former
        # holder; elsewhere only a delay keeps the orders of the two apart.
        self.order_delay_s = 0.0 if fenced else lease_s
        #: Time after a restore of the platform in which a former holder may not know
        #: of it and still rely on its lease, seconds.
        self.restored_delay_s = 0.0 if fenced else self.duration_s
        self.api = node_kernel.get(relayed_objects.RelayedObjects)
        self.membership = node_kernel.get(membership.Membership)
        self.heartbeats = node_kernel.get(heartbeat.Heartbeats)
        self.heartbeats.field_providers.append(self._heartbeat_fields)
        self.heartbeats.on_received.append(self._on_heartbeat)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.discovery.on_restored.append(self._on_restored)
        self.paths = node_kernel.get(endpoint_paths.EndpointPaths)
        self.paths.on_change.append(lambda: self._wake.set())
        self.paths.on_cannot_open.append(lambda: self._wake.set())
        self.paths.needed_by.append(lambda: self.record is not None)
        self.forwarding_peers = node_kernel.get(forwarding_peers.ForwardingPeers)
        node_kernel.on_draining.append(lambda: self.tasks.spawn(self._release_on_drain))
        self.started_at = time.monotonic()
        #: The lease as this VM last wrote it, and the stored object's version; None if
        #: this VM does not hold the lease.
        self.record: lease_record.Record | None = None
        self.version: str | None = None
        #: Times until and from which this VM may send orders, on the clock of
        #: :func:`boot_clock.now`.
        self.valid_until = 0.0
        self.orders_from = 0.0
        self.observed_renewal: lease_record.ObservedRenewal | None = None
        self.checked_at = boot_clock.now()
        #: Functions to call after this VM acquired the lease.
        self.on_acquired: list = []
        #: Functions to call with each stored record that this VM reads.
        self.on_read: list[collections.abc.Callable[[lease_record.Record], None]] = []
        #: Returns the blocked requests that the record stores.
        self.blocked_requests: collections.abc.Callable[
            [], tuple[lease_record.BlockedRequest, ...]
        ] = tuple
        #: Returns the software versions that the record stores.
        self.software_versions: collections.abc.Callable[
            [], tuple[lease_record.ServiceVersions, ...]
        ] = tuple
        self._rejected_fence = 0
        #: The platform's era as of this VM's last call for the lease; None before one.
        self.era: int | None = None
        #: Time at which this VM learnt of a restore, on the clock of
        #: :func:`boot_clock.now`.
        self.restored_at = -math.inf
        #: Whether this VM held the lease when it learnt of a restore, and no other VM
        #: is known to have acquired it since.
        self._reclaims = False
        #: Ends the pause before the next attempt to acquire or renew the lease.
        self._wake = gevent.event.Event()

    def start(self) -> None:
        """Start the tasks that acquire and renew the lease."""
        self.started_at = time.monotonic()
        self.tasks.spawn(self._run)
        self.tasks.every(SUSPENSION_CHECK_S, self._check_suspension)

    @property
    def fence(self) -> int:
        """Return the fencing token of the lease held here, or 0."""
        return self.record.fence if self.held() else 0

    def held(self) -> bool:
        """Return whether this VM holds the lease and may send orders now."""
        return (
            self.kernel.failure is None
            and self.record is not None
            and self.record.holder == self.name
            and self.orders_from <= boot_clock.now() < self.valid_until
            and boot_clock.now() - self.checked_at < MAX_CHECK_GAP_S
        )

    def holder(self) -> str:
        """Return the VM that holds the lease as far as known, or an empty string."""
        if self.held():
            return self.name
        fence_by_vm = {
            vm: received.fence
            for vm, received in self.heartbeats.fresh().items()
            if received.fence
        }
        return max(fence_by_vm, key=fence_by_vm.__getitem__, default="")

    def fence_rejected(self, fence: int) -> None:
        """Drop the lease: an endpoint has seen a newer fencing token.

        :param fence: the token that the endpoint rejected.
        """
        if self.record is not None and self.record.fence == fence:
            self._drop("an endpoint has seen a newer fencing token")
            self._rejected_fence = fence

    def refresh(self) -> None:
        """Read the stored record, which the callbacks in :attr:`on_read` receive."""
        self._read()

    def release(self, reason: str) -> None:
        """Release the lease at once, so that another VM can acquire it.

        :param reason: the reason, for the log.
        """
        record, version = self.record, self.version
        self._drop(reason)
        if record is not None and version is not None:
            released = attrs.evolve(record, holder="", renewals=record.renewals + 1)
            self.api.put(KEY, released.body(), version)

    def _release_on_drain(self) -> None:
        """Release the lease while the node drains, so that the next holder can start.

        While the store is unreachable no other VM can acquire the lease, and models
        must still be loaded: the holder continues until the store answers again.
        """
        while self.record is not None and boot_clock.now() < self.valid_until:
            if self._read() is not None:
                self.release("shutting down")
                return
            gevent.sleep(POLL_INTERVAL_S)

    def _run(self) -> None:
        gevent.sleep(STARTUP_DELAY_S * random.uniform(0.8, 1.2))
        while not self.kernel.draining:
            is_unable = self._is_unable()
            if self.record is None:
                if not is_unable:
                    self._try_acquire()
            elif is_unable and self.paths.cannot_open_s >= MIN_LOSS_S:
                self.release("no path to endpoints")
            else:
                self._renew()
            self._wake.wait(self._next_step_in_s())
            self._wake.clear()

    def _next_step_in_s(self) -> float:
        """Return the time until this VM renews, releases or tries to acquire it."""
        if self.record is None:
            return POLL_INTERVAL_S * random.uniform(0.8, 1.2)
        cannot_open_s = self.paths.cannot_open_s
        if cannot_open_s:
            until_release_s = MIN_LOSS_S - cannot_open_s
            return until_release_s if until_release_s > 0 else POLL_INTERVAL_S
        # A lease that was just acquired is renewed on the same schedule: another VM
        # takes over once it stays unchanged for little more than one interval.
        return self.renew_interval_s

    def _is_unable(self) -> bool:
        """Return whether other VMs reach endpoints and this one does not."""
        return self.paths.cannot_open_s > 0 and bool(self.forwarding_peers.offers())

    def _check_suspension(self) -> None:
        """Stop trusting the lease after a suspension, until it is renewed."""
        if boot_clock.now() - self.checked_at >= MAX_CHECK_GAP_S:
            self.valid_until = 0.0
        self.checked_at = boot_clock.now()

    def _renew(self) -> None:
        record = attrs.evolve(
            self.record,
            renewals=self.record.renewals + 1,
            blocked=self.blocked_requests(),
            software_versions=self.software_versions(),
        )
        sent_at = boot_clock.now()
        match self.api.put(KEY, record.body(), self.version):
            case result.Ok(version):
                if self.record is not None:
                    self._accept(record, version, sent_at)
            case result.Err(objects.Unknown()):
                self._verify_write(sent_at, record)
            case result.Err(objects.Unavailable(reason)):
                if boot_clock.now() > self.valid_until:
                    self._drop(f"not renewed: {reason}")
            case result.Err(failure):
                self._drop(f"renewal failed: {failure}")

    def _verify_write(self, sent_at: float, written: lease_record.Record) -> None:
        """Read back whether a write whose reply was lost took effect.

        Only that write renews the lease. An unchanged record does not: another VM
        counts from the last renewal that was stored, and may already send orders.
        """
        match self._read():
            case (lease_record.Record() as record, version) if record == written:
                self._accept(record, version, sent_at)
            case (lease_record.Record() as record, version):
                if record.life != self.life:
                    self._drop("another VM acquired the lease")

    def _accept(
        self, record: lease_record.Record, version: str, sent_at: float
    ) -> None:
        self._observe_era(cursors.era(int(version)))
        if lease_record.fence_era(record.fence) < self.era:
            # The platform was restored since the token was chosen.
            self._acquire(record.fence, version)
            return
        acquired = self.record is None or self.record.fence != record.fence
        self.record = record
        self.version = version
        self.valid_until = sent_at + self.duration_s - EXPIRY_MARGIN_S
        if acquired:
            self.orders_from = boot_clock.now() + self.order_delay_s
            logs.event(
                log, "lease", fence=record.fence, version=version, outcome="held"
            )
            for notify in self.on_acquired:
                notify()

    def _drop(self, reason: str) -> None:
        if self.record is not None:
            fence = self.record.fence
            logs.event(log, "lease", fence=fence, reason=reason, outcome="lost")
        self.record = None
        self.version = None
        self.valid_until = 0.0

    def _give_up(self, reason: str) -> None:
        """Drop a lease that the platform may have lost, and acquire it again at once.

        :param reason: the reason, for the log.
        """
        self._reclaims = boot_clock.now() < self.valid_until
        self._drop(reason)
        self._wake.set()

    def _on_restored(self) -> None:
        self.era = self.era or 0
        self._observe_era(cursors.era(self.discovery.registry.cursor))

    def _observe_era(self, era: int) -> None:
        """Record the platform's era; a lease of an earlier era is not valid any more.

        :param era: the era of an answer.
        """
        if self.era is None:
            self.era = era
        if era <= self.era:
            return
        self.era = era
        self.restored_at = boot_clock.now()
        self.observed_renewal = None
        if self.record is not None:
            self._give_up("the platform was restored from a copy")

    def _heartbeat_fields(self) -> dict:
        if not self.held():
            return {"fence": 0}
        return {"fence": self.fence, "lease_version": self.version}

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        """Record the newest renewal of another VM, and when it was first observed."""
        if vm == self.name or not (received.fence and received.lease_version):
            return
        newest = self.observed_renewal or lease_record.ObservedRenewal(0, "", 0.0)
        is_changed = received.lease_version != newest.version
        if is_changed and received.fence >= newest.fence:
            self.observed_renewal = lease_record.ObservedRenewal(
                received.fence, received.lease_version, boot_clock.now()
            )

    def _try_acquire(self) -> None:
        """Acquire the lease where no VM holds it and this VM is next by rank."""
        if self.holder():
            self._reclaims = False
            return
        is_next = self._rank() == 0 or self._higher_ranks_timed_out()
        if not (is_next or self._reclaims):
            return
        self.paths.verify()
        if 0 < self.paths.cannot_open_s < MIN_LOSS_S:
            # Whether other VMs reach endpoints is known soon.
            return
        stored = self._read()
        if stored is None:
            return
        record, version = stored
        if record is None:
            self._acquire(0, None)
        elif record.holder in ("", self.name):
            # It was released, or held by an earlier process of this VM, which is gone.
            self._acquire(record.fence, version)
        else:
            if (
                self.observed_renewal is None
                or self.observed_renewal.version != version
            ):
                self.observed_renewal = lease_record.ObservedRenewal(
                    record.fence, version, boot_clock.now()
                )
            self._take_over(self.observed_renewal)

    def _take_over(self, renewal: lease_record.ObservedRenewal) -> None:
        """Acquire the lease of a holder that is gone, once that is safe."""
        if self._await_takeover(renewal):
            orders_from = renewal.at + self.takeover_s + self.order_delay_s
            self._acquire(renewal.fence, renewal.version, orders_from)

    def _await_takeover(self, renewal: lease_record.ObservedRenewal) -> bool:
        """Wait until this VM may take over; return False if a holder appears."""
        while boot_clock.now() < renewal.at + self.takeover_s:
            gevent.sleep(
                max(
                    0.01,
                    min(
                        POLL_INTERVAL_S, renewal.at + self.takeover_s - boot_clock.now()
                    ),
                )
            )
            if self.holder():
                return False
        return True

    def _acquire(
        self, fence: int, version: str | None, orders_from: float = 0.0
    ) -> None:
        """Write this VM into the lease as its holder.

        :param fence: the fencing token of the last holder.
        :param version: the version that must be stored; None where no lease is stored.
        :param orders_from: time from which this VM may send orders, where the last
            renewal is known; by default the order delay counts from the write.
        """
        era = cursors.era(int(version) if version else self.discovery.registry.cursor)
        new_fence = lease_record.next_fence(era, fence, self._rejected_fence)
        record = lease_record.Record(
            self.name,
            new_fence,
            0,
            self.life,
            self.blocked_requests(),
            self.software_versions(),
        )
        reclaims, self._reclaims = self._reclaims, False
        sent_at = boot_clock.now()
        match self.api.put(KEY, record.body(), version):
            case result.Ok(new_version):
                self._accept(record, new_version, sent_at)
            case result.Err(objects.Unknown()):
                self._verify_write(sent_at, record)
            case result.Err(failure):
                logs.event(log, "lease", reason=str(failure)[:120], outcome="not taken")
        if self.record is None:
            return
        if orders_from:
            self.orders_from = max(boot_clock.now(), orders_from)
        if not reclaims:
            # The former holder may not know of a restore, and its lease must have ended
            # for the time that separates the orders of two holders.
            former_until = self.restored_at + self.restored_delay_s
            self.orders_from = max(self.orders_from, former_until + self.order_delay_s)

    def _read(self) -> tuple[lease_record.Record | None, str | None] | None:
        """Return the stored lease and its version; None without an answer."""
        match self.api.get(KEY):
            case result.Ok(stored):
                self._observe_era(cursors.era(int(stored.version)))
                try:
                    record = lease_record.read_record(stored.body)
                except ValueError as error:
                    logs.event(log, "lease", reason=str(error), outcome="unreadable")
                    return lease_record.Record("", 0, 0, ""), stored.version
                for notify in self.on_read:
                    notify(record)
                return record, stored.version
            case result.Err(objects.Missing()):
                return None, None
        return None

    def _rank(self) -> int:
        """Return this VM's rank for the lease among the live VMs, 0 for the first."""
        names = [member.name for member in self.membership.region_peers()]
        names.append(self.name)
        names.sort(key=lambda name: ownership.weight("lease", name), reverse=True)
        return names.index(self.name)

    def _higher_ranks_timed_out(self) -> bool:
        """Return whether all VMs of a higher rank had time to acquire the lease."""
        received_times = [
            item.at
            for item in self.heartbeats.received_by_vm.values()
            if item.heartbeat.fence
        ]
        last_received_at = max(received_times, default=self.started_at)
        waited_s = time.monotonic() - last_received_at
        return waited_s > HOLDER_TIMEOUT_S + RANK_DELAY_S * self._rank()
