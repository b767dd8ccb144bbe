"""Poison replication: all VMs know which requests are blocked, also those that start.

Reports of crashes are published once. A VM that was cut off, suspended or started later
has missed some. So each heartbeat carries a digest of the sender's blocked requests,
and a VM whose own digest stays different exchanges them with the sender.

The lease holder stores them with the lease, which it renews anyway. After a restart of
all VMs, the next holder reads them there.
"""

import time

import attrs
import logbook
import result
import xxhash

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import (
    crash_histories,
    heartbeat,
    lease,
    lease_record,
    poison_requests,
)

log = logbook.Logger("poison_replication")

#: Time for which a peer's digest must differ before blocked requests are exchanged,
#: seconds: longer than a published report takes.
MIN_DIFFERENCE_S = 0.3
#: Time between exchanges with one peer, and timeout of one, seconds.
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 0.5
#: Most blocked requests that are exchanged at a time, and that the lease stores.
MAX_EXCHANGED = 200
MAX_STORED = 50


@messages.message(146)
@attrs.frozen
class BlockedRequests:
    """The blocked requests of a VM; sent as a call and as its reply.

    :param rows: fingerprint, ids of the endpoints that crashed, and age of the last
        crash in seconds, by request.
    """

    rows: tuple[tuple[bytes, tuple[str, ...], float], ...]


class PoisonReplication(kernel.Part):
    """Keeps the blocked requests of all VMs equal.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.poison_requests = node_kernel.get(poison_requests.PoisonRequests)
        self.peers = node_kernel.get(peers.Peers)
        self.peers.handle(BlockedRequests, self._serve)
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(self._heartbeat_fields)
        heartbeats.on_received.append(self._on_heartbeat)
        self.lease = node_kernel.get(lease.Lease)
        self.lease.blocked_requests = self._for_lease
        self.lease.on_read.append(self._on_lease_read)
        self.digest = 0
        #: Monotonic time since which a peer's digest differs, by VM.
        self._differs_since_by_vm: dict[str, float] = {}
        #: Monotonic time before which no exchange with a peer begins, by VM.
        self._exchange_at_by_vm: dict[str, float] = {}

    def _heartbeat_fields(self) -> dict:
        self.poison_requests.evict_expired()
        self.digest = self._compute_digest()
        return {"blocked_digest": self.digest}

    def _compute_digest(self) -> int:
        """Return a digest of the blocked requests; 0 if there are none."""
        digest = 0
        for fingerprint, history in self.poison_requests.blocked().items():
            endpoints = "\0".join(sorted(history.endpoints))
            digest ^= xxhash.xxh64_intdigest(fingerprint + endpoints.encode())
        return digest

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        if vm == self.name or received.relayed:
            return
        if received.blocked_digest == self.digest:
            self._differs_since_by_vm.pop(vm, None)
            return
        now = time.monotonic()
        differs_since = self._differs_since_by_vm.setdefault(vm, now)
        may_exchange = now >= self._exchange_at_by_vm.get(vm, 0.0)
        if may_exchange and now - differs_since >= MIN_DIFFERENCE_S:
            self._exchange_at_by_vm[vm] = now + EXCHANGE_INTERVAL_S
            self.tasks.spawn(self._exchange, vm)

    def _exchange(self, vm: str) -> None:
        match self.peers.call(vm, self._own(), EXCHANGE_TIMEOUT_S):
            case result.Ok(BlockedRequests(rows)):
                self._merge(vm, rows)

    def _serve(self, vm: str, message: BlockedRequests, reply: peers.Reply) -> None:
        reply(self._own())
        self._merge(vm, message.rows)

    def _own(self) -> BlockedRequests:
        now = time.monotonic()
        blocked = list(self.poison_requests.blocked().items())[-MAX_EXCHANGED:]
        return BlockedRequests(
            tuple(
                (fingerprint, tuple(history.endpoints), now - history.last_crash_at)
                for fingerprint, history in blocked
            )
        )

    def _merge(self, vm: str, rows: tuple) -> None:
        added = 0
        for fingerprint, endpoints, age_s in rows:
            added += self.poison_requests.merge(vm, fingerprint, endpoints, age_s)
        if added:
            logs.event(log, "blocked requests", peer=vm, added=added, outcome="merged")

    def _for_lease(self) -> tuple[lease_record.BlockedRequest, ...]:
        """Return what the lease stores: the requests that were blocked last."""
        now = time.monotonic()
        blocked = list(self.poison_requests.blocked().items())[-MAX_STORED:]
        return tuple(
            lease_record.BlockedRequest(
                fingerprint.hex(),
                tuple(sorted(history.endpoints)),
                int(crash_histories.RETENTION_S - (now - history.last_crash_at)),
            )
            for fingerprint, history in blocked
        )

    def _on_lease_read(self, record: lease_record.Record) -> None:
        rows = [
            (
                bytes.fromhex(item.fingerprint),
                item.endpoints,
                crash_histories.RETENTION_S - item.left_s,
            )
            for item in record.blocked
        ]
        self._merge("", tuple(rows))
