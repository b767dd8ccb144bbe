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
from mothworks_gateway import caller_request, registry

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
    """

    fingerprint: bytes
    endpoint: str


@messages.message(141)
@attrs.frozen
class CrashesCleared:
    """Reports that a copy of a request with crashes has completed.

    :param fingerprint: see :meth:`caller_request.CallerRequest.fingerprint`.
    """

    fingerprint: bytes


@attrs.define
class _CrashHistory:
    """The endpoints that crashed while they ran one request.

    :param endpoints: their ids.
    :param last_crash_at: monotonic time of the last crash.
    """

    endpoints: set[str]
    last_crash_at: float


class PoisonRequests(kernel.Part):
    """Blocks requests that crashed several endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        self.history_by_fingerprint: collections.OrderedDict[bytes, _CrashHistory] = (
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
        return len(history.endpoints) >= CRASHES_TO_BLOCK

    def record_crash(
        self, request: caller_request.CallerRequest, endpoint: registry.Endpoint
    ) -> None:
        """Record and publish that an endpoint crashed while it ran a request.

        :param request: the request.
        :param endpoint: the endpoint.
        """
        report = CrashReport(request.fingerprint(), endpoint.id)
        if self._record(report):
            self.peers.send_to_region(report)
            logs.event(
                log,
                "broke off",
                request=request.id,
                fingerprint=report.fingerprint.hex(),
                endpoint=endpoint.id,
                endpoints=self.crash_count(request),
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
        fingerprint = request.fingerprint()
        self.completed_at_by_fingerprint[fingerprint] = time.monotonic()
        self.completed_at_by_fingerprint.move_to_end(fingerprint)
        if len(self.completed_at_by_fingerprint) > MAX_REQUESTS:
            self.completed_at_by_fingerprint.popitem(last=False)
        history = self.history_by_fingerprint.pop(fingerprint, None)
        if history is not None:
            self.peers.send_to_region(CrashesCleared(fingerprint))
            vm = self.kernel.settings.name
            _log_history(fingerprint, history, vm, "cleared")

    def _has_completed(self, fingerprint: bytes) -> bool:
        """Return whether a copy of a request has completed recently on this VM."""
        completed_at = self.completed_at_by_fingerprint.get(fingerprint)
        return completed_at is not None and (
            time.monotonic() - completed_at < RETENTION_S
        )

    def _on_cleared(self, vm: str, message: CrashesCleared, _) -> None:
        history = self.history_by_fingerprint.pop(message.fingerprint, None)
        if history is not None:
            _log_history(message.fingerprint, history, vm, "cleared")

    def _record(self, report: CrashReport) -> bool:
        if self._has_completed(report.fingerprint):
            return False
        history = self.history_by_fingerprint.setdefault(
            report.fingerprint, _CrashHistory(set(), time.monotonic())
        )
        if report.endpoint in history.endpoints:
            return False
        history.endpoints.add(report.endpoint)
        history.last_crash_at = time.monotonic()
        while len(self.history_by_fingerprint) > MAX_REQUESTS:
            self.history_by_fingerprint.popitem(last=False)
        return True

    def _on_crash_report(self, vm: str, report: CrashReport, _) -> None:
        if self._record(report):
            history = self.history_by_fingerprint[report.fingerprint]
            _log_history(report.fingerprint, history, vm, "received")


def _log_history(
    fingerprint: bytes, history: _CrashHistory, vm: str, outcome: str
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
