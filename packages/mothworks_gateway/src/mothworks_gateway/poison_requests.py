"""Poison requests: requests of which each copy crashes the endpoint that runs it.

Callers retry such a request again and again, through any VM. Each VM publishes which
endpoints dropped the connection while they ran a request, which counts as a crash. A
request that crashed several endpoints is refused by all VMs for a while.

A copy that completes shows that the request was not the cause, before or after the
crashes. Look-ups often have the same path and body, and without this the fall of a few
endpoints would block them on all VMs.
"""

import collections
import time

import attrs
import logbook

from mothworks import kernel, logs, messages, peers, transport
from mothworks_gateway import broadcast, caller_request, registry

log = logbook.Logger("poison")

#: Number of endpoints that a request must have crashed before it is refused.
CRASHES_TO_BLOCK = 3
#: Time for which a request is refused after its last crash, seconds.
RETENTION_S = 120.0
#: Upper bound of the number of requests that are remembered; the oldest are evicted
#: first.
MAX_REQUESTS = 2000


@messages.message(113)
@attrs.frozen
class CrashReport:
    """Reports that an endpoint crashed while it ran a request.

    :param fingerprint: see :meth:`caller_request.CallerRequest.fingerprint`.
    :param endpoint: the endpoint's id.
    :param endpoint_count: number of endpoints that the sender knows to have crashed
        under the request.
    """

    fingerprint: bytes
    endpoint: str
    endpoint_count: int = 0


@messages.message(141)
@attrs.frozen
class CrashesCleared:
    """Reports that a copy of a request with crashes has completed.

    :param fingerprint: see :meth:`caller_request.CallerRequest.fingerprint`.
    :param relay: whether the receiver has to report it to all other VMs.
    """

    fingerprint: bytes
    relay: bool = False


@attrs.define
class CrashHistory:
    """The endpoints that crashed while they ran one request.

    :param endpoints: their ids.
    :param last_crash_at: monotonic time of the last crash.
    """

    endpoints: set[str]
    last_crash_at: float

    @property
    def blocks(self) -> bool:
        """Return whether the request has to be refused."""
        return len(self.endpoints) >= CRASHES_TO_BLOCK


class PoisonRequests(kernel.Part):
    """Blocks requests that crashed several endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.history_by_fingerprint: collections.OrderedDict[bytes, CrashHistory] = (
            collections.OrderedDict()
        )
        #: Monotonic time of the last completion, by fingerprint.
        self.completed_at_by_fingerprint: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.peers.handle(CrashReport, self._on_crash_report)
        self.peers.handle(CrashesCleared, self._on_cleared)

    def is_blocked(self, request: caller_request.CallerRequest) -> bool:
        """Return whether a request has to be refused.

        :param request: the request.
        """
        if not self.history_by_fingerprint:
            return False
        history = self.history_by_fingerprint.get(request.fingerprint())
        if history is None or time.monotonic() - history.last_crash_at > RETENTION_S:
            return False
        return history.blocks

    def record_crash(
        self, request: caller_request.CallerRequest, endpoint: registry.Endpoint
    ) -> None:
        """Record and publish that an endpoint crashed while it ran a request.

        :param request: the request.
        :param endpoint: the endpoint.
        """
        fingerprint = request.fingerprint()
        if self._record(fingerprint, endpoint.id):
            count = self.crash_count(request)
            self.broadcast.publish(CrashReport(fingerprint, endpoint.id, count))
            logs.event(
                log,
                "broke off",
                request=request.id,
                fingerprint=fingerprint.hex(),
                endpoint=endpoint.id,
                endpoints=count,
                parts=",".join(part.id for part in request.shared_parts),
                outcome="refused" if self.is_blocked(request) else "noted",
            )

    def log_uncounted(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        reason: str,
    ) -> None:
        """Log that a broken connection does not count as a crash.

        :param request: the request that ran on it.
        :param endpoint: the endpoint.
        :param reason: why it does not count.
        """
        logs.event(
            log,
            "broke off",
            request=request.id,
            fingerprint=request.fingerprint().hex(),
            endpoint=endpoint.id,
            reason=reason,
            outcome="not counted",
        )

    def crash_count(self, request: caller_request.CallerRequest) -> int:
        """Return how many endpoints are known to have crashed under a request.

        :param request: the request.
        """
        if not self.history_by_fingerprint:
            return 0
        history = self.history_by_fingerprint.get(request.fingerprint())
        return len(history.endpoints) if history else 0

    def record_completion(
        self, request: caller_request.CallerRequest, answer: transport.HttpAnswer
    ) -> None:
        """Record a whole answer; a success clears the request's crashes on all VMs.

        An endpoint may reject a request before it runs it, and an answer without a
        length may end because its endpoint crashed. Neither shows that it ran well.

        :param request: the request.
        :param answer: the answer, its body read to the end.
        """
        if not (200 <= answer.status < 300 and answer.is_framed):
            return
        self._clear(request.fingerprint(), self.kernel.settings.name, publish=True)

    def blocked(self) -> dict[bytes, CrashHistory]:
        """Return the histories of the blocked requests, by fingerprint."""
        return {
            fingerprint: history
            for fingerprint, history in self.history_by_fingerprint.items()
            if history.blocks
        }

    def evict_expired(self) -> None:
        """Drop the histories whose last crash is too long ago to count."""
        oldest_at = time.monotonic() - RETENTION_S
        for fingerprint, history in list(self.history_by_fingerprint.items()):
            if history.last_crash_at < oldest_at:
                del self.history_by_fingerprint[fingerprint]

    def merge(
        self, vm: str, fingerprint: bytes, endpoints: tuple[str, ...], age_s: float
    ) -> bool:
        """Add a peer's history of a blocked request; returns whether it was new.

        :param vm: the peer; empty if the history was read from the platform.
        :param fingerprint: the request's fingerprint.
        :param endpoints: ids of the endpoints that crashed.
        :param age_s: time since the last crash, seconds.
        """
        last_crash_at = time.monotonic() - age_s
        if age_s >= RETENTION_S:
            return False
        if self._has_completed(fingerprint):
            if vm:
                self.peers.send_nowait(vm, CrashesCleared(fingerprint, relay=True))
            return False
        history = self.history_by_fingerprint.get(fingerprint)
        if history is not None and history.endpoints.issuperset(endpoints):
            return False
        for endpoint_id in endpoints:
            self._record(fingerprint, endpoint_id)
        if history is None:
            self.history_by_fingerprint[fingerprint].last_crash_at = last_crash_at
        return True

    def _clear(self, fingerprint: bytes, vm: str, publish: bool) -> None:
        """Clear a request's crashes, and count none for a while.

        :param fingerprint: the request's fingerprint.
        :param vm: the VM on which a copy completed.
        :param publish: whether to report to all VMs that there were crashes.
        """
        self.completed_at_by_fingerprint[fingerprint] = time.monotonic()
        self.completed_at_by_fingerprint.move_to_end(fingerprint)
        if len(self.completed_at_by_fingerprint) > MAX_REQUESTS:
            self.completed_at_by_fingerprint.popitem(last=False)
        history = self.history_by_fingerprint.pop(fingerprint, None)
        if history is None:
            return
        _log_history(fingerprint, history, vm, "cleared")
        if publish:
            self.broadcast.publish(CrashesCleared(fingerprint))

    def _has_completed(self, fingerprint: bytes) -> bool:
        """Return whether a copy of a request is known to have completed recently."""
        completed_at = self.completed_at_by_fingerprint.get(fingerprint)
        return completed_at is not None and (
            time.monotonic() - completed_at < RETENTION_S
        )

    def _on_cleared(self, vm: str, message: CrashesCleared, _) -> None:
        self._clear(message.fingerprint, vm, publish=message.relay)

    def _on_crash_report(self, vm: str, report: CrashReport, _) -> None:
        if self._record(report.fingerprint, report.endpoint):
            history = self.history_by_fingerprint[report.fingerprint]
            _log_history(report.fingerprint, history, vm, "received")
        elif report.endpoint_count >= CRASHES_TO_BLOCK - 1 and self._has_completed(
            report.fingerprint
        ):
            # The sender is about to block it, and knows of no completion.
            message = CrashesCleared(report.fingerprint, relay=True)
            self.peers.send_nowait(vm, message)

    def _record(self, fingerprint: bytes, endpoint_id: str) -> bool:
        """Record a crash; returns whether it is new and counts."""
        if self._has_completed(fingerprint):
            return False
        now = time.monotonic()
        history = self.history_by_fingerprint.setdefault(
            fingerprint, CrashHistory(set(), now)
        )
        if endpoint_id in history.endpoints:
            return False
        history.endpoints.add(endpoint_id)
        history.last_crash_at = now
        self.history_by_fingerprint.move_to_end(fingerprint)
        if len(self.history_by_fingerprint) > MAX_REQUESTS:
            self._evict()
        return True

    def _evict(self) -> None:
        """Drop the oldest history, one that does not block its request if possible.

        A fall of many endpoints adds a history for each request that ran on them.
        """
        not_blocked = (
            fingerprint
            for fingerprint, history in self.history_by_fingerprint.items()
            if not history.blocks
        )
        oldest = next(iter(self.history_by_fingerprint))
        del self.history_by_fingerprint[next(not_blocked, oldest)]


def _log_history(
    fingerprint: bytes, history: CrashHistory, vm: str, outcome: str
) -> None:
    """Log what happened to a request's crashes, and the VM that reported it."""
    logs.event(
        log,
        "crashes",
        fingerprint=fingerprint.hex(),
        endpoints=len(history.endpoints),
        peer=vm,
        outcome=outcome,
    )
