"""Poison requests: requests that crash each endpoint that runs them.

Callers retry such a request again and again, through any VM. Or a part of its prompt
crashes endpoints, which many requests share that are otherwise all different. Each VM
publishes which endpoints dropped the connection while they ran a request, which counts
as a crash. Copies of a request that crashed several endpoints, and requests with such a
part, are refused by all VMs for a while.

A copy that completes shows that the request was not the cause, before or after the
crashes. Look-ups often have the same path and body, and without this the fall of a few
endpoints would block them on all VMs. A part is cleared by each answer that runs on for
a while after it began, since a part that crashes endpoints lets no answer do so.
"""

import collections.abc
import time

import attrs
import logbook
import xxhash

from mothworks import kernel, logs, messages, peers, transport
from mothworks_gateway import (
    broadcast,
    caller_request,
    crash_histories,
    registry,
)

log = logbook.Logger("poison")

#: Number of endpoints that must have crashed before requests are refused.
CRASHES_TO_BLOCK = 3
#: Time after a copy's completion in which no crash counts against a request, seconds.
COMPLETION_S = crash_histories.RETENTION_S
#: Time after the begin of an answer that runs on in which no crash counts against the
#: parts of its prompt, seconds.
ANSWER_S = 1.0
#: Time since its first bytes for which an answer must have run to clear the parts of
#: its prompt, seconds.
MIN_ANSWER_S = 0.5
#: Begins the fingerprint of a part, which by it is longer than that of a request.
PART_PREFIX = b"part"
#: Length of the fingerprint of a request, bytes.
REQUEST_BYTES = 16


@messages.message(113)
@attrs.frozen
class CrashReport:
    """Reports that an endpoint crashed while it ran a request.

    :param fingerprint: fingerprint of the request, or of a part of its prompt.
    :param endpoint: the endpoint's id.
    :param endpoint_count: number of endpoints that the sender knows to have crashed
        under requests with that fingerprint.
    :param moments: number of different moments at which they did.
    """

    fingerprint: bytes
    endpoint: str
    endpoint_count: int = 0
    moments: int = 0


@messages.message(141)
@attrs.frozen
class CrashesCleared:
    """Reports that a request with a fingerprint ran well that has crashes elsewhere.

    :param fingerprint: see :class:`CrashReport`.
    :param relay: whether the receiver has to report it to all other VMs.
    :param age_s: time since its answer began, seconds.
    """

    fingerprint: bytes
    relay: bool = False
    age_s: float = 0.0


class PoisonRequests(kernel.Part):
    """Blocks requests that crashed several endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.requests = crash_histories.CrashHistories(
            crash_histories.BlockPolicy(
                crashes=CRASHES_TO_BLOCK,
                crashes_after_success=CRASHES_TO_BLOCK,
                counts_moments=False,
                has_one_cause=False,
                success_s=COMPLETION_S,
            )
        )
        self.parts = crash_histories.CrashHistories(
            crash_histories.BlockPolicy(
                crashes=CRASHES_TO_BLOCK,
                crashes_after_success=2 * CRASHES_TO_BLOCK,
                counts_moments=True,
                has_one_cause=True,
                success_s=ANSWER_S,
            )
        )
        #: Functions to call without arguments once something else is blocked.
        self.on_block: list[collections.abc.Callable[[], None]] = []
        self.peers.handle(CrashReport, self._on_crash_report)
        self.peers.handle(CrashesCleared, self._on_cleared)

    def is_blocked(self, request: caller_request.CallerRequest) -> bool:
        """Return whether a request has to be refused.

        :param request: the request.
        """
        return self._is_request_blocked(request) or bool(self._blocked_parts(request))

    def only_blocked_part(self, request: caller_request.CallerRequest) -> bytes | None:
        """Return the fingerprint of the only reason for which a request is blocked.

        :param request: the request.
        :returns: the part's fingerprint; None if there are other reasons, or none.
        """
        blocked = self._blocked_parts(request)
        if len(blocked) != 1 or self._is_request_blocked(request):
            return None
        return blocked[0]

    def _is_request_blocked(self, request: caller_request.CallerRequest) -> bool:
        requests = self.requests
        return bool(requests.blocking_by_fingerprint) and requests.is_blocked(
            request.fingerprint(), time.monotonic()
        )

    def _blocked_parts(self, request: caller_request.CallerRequest) -> list[bytes]:
        """Return the fingerprints of a prompt's parts that have to be refused."""
        if not self.parts.blocking_by_fingerprint:
            return []
        now = time.monotonic()
        return [
            fingerprint
            for fingerprint in part_fingerprints(request)
            if self.parts.is_blocked(fingerprint, now)
            and not self._is_trial(request, fingerprint)
        ]

    def _is_trial(
        self, request: caller_request.CallerRequest, fingerprint: bytes
    ) -> bool:
        """Return whether a request is a trial of a part that has not failed yet."""
        if request.trial_of != fingerprint:
            return False
        history = self.parts.history_by_fingerprint[fingerprint]
        return history.last_crash_at < request.received_at

    def record_crash(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        answered: bool = False,
    ) -> None:
        """Record and publish that an endpoint crashed while it ran a request.

        :param request: the request.
        :param endpoint: the endpoint.
        :param answered: whether its answer had run for :data:`MIN_ANSWER_S`, so that no
            part of its prompt is the cause.
        """
        fingerprints = [request.fingerprint()]
        if not answered:
            # The first part to reach the threshold is blocked as the cause.
            fingerprints += self.parts.by_suspicion(part_fingerprints(request))
        now = time.monotonic()
        is_new = [self._record(item, endpoint.id, now) for item in fingerprints]
        if is_new[0]:
            logs.event(
                log,
                "broke off",
                request=request.id,
                fingerprint=fingerprints[0].hex(),
                endpoint=endpoint.id,
                endpoints=self.requests.count(fingerprints[0]),
                parts=",".join(part.id for part in request.shared_parts),
                part_endpoints=",".join(
                    str(self.parts.count(item)) for item in fingerprints[1:]
                ),
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
        if not self.requests.history_by_fingerprint:
            return 0
        return self.requests.count(request.fingerprint())

    def record_completion(
        self,
        request: caller_request.CallerRequest,
        answer: transport.HttpAnswer,
        began_at: float | None = None,
    ) -> None:
        """Record a whole answer; a success clears the request's crashes on all VMs.

        An endpoint may reject a request before it runs it, and an answer without a
        length may end because its endpoint crashed. Neither shows that it ran well.

        :param request: the request.
        :param answer: the answer, its body read to the end.
        :param began_at: monotonic time at which a stream began, seconds; None for a
            plain answer.
        """
        if not (200 <= answer.status < 300 and answer.is_framed):
            return
        now = time.monotonic()
        self._clear(request.fingerprint(), now, self.kernel.settings.name, publish=True)
        self.record_answer(request, now if began_at is None else began_at)

    def record_answer(
        self, request: caller_request.CallerRequest, began_at: float
    ) -> None:
        """Record that an answer runs well; clears the crashes of its prompt's parts.

        :param request: the request.
        :param began_at: monotonic time at which its answer began, seconds.
        """
        for fingerprint in part_fingerprints(request):
            self._clear(fingerprint, began_at, self.kernel.settings.name, publish=True)

    def blocked(self) -> dict[bytes, crash_histories.CrashHistory]:
        """Return the histories of what is blocked, by fingerprint."""
        return self.requests.blocked() | self.parts.blocked()

    def evict_expired(self) -> None:
        """Drop the histories whose last crash is too long ago to count."""
        now = time.monotonic()
        self.requests.evict_expired(now)
        self.parts.evict_expired(now)

    def merge(
        self, vm: str, fingerprint: bytes, endpoints: tuple[str, ...], age_s: float
    ) -> bool:
        """Add a peer's history of what it blocks; returns whether it was new.

        :param vm: the peer; empty if the history was read from the platform.
        :param fingerprint: the fingerprint.
        :param endpoints: ids of the endpoints that crashed.
        :param age_s: time since the last crash, seconds.
        """
        if age_s >= crash_histories.RETENTION_S:
            return False
        now = time.monotonic()
        histories = self._histories(fingerprint)
        if vm and histories.is_proven(fingerprint, now):
            self._send_cleared(vm, fingerprint, now)
        is_new = histories.merge(fingerprint, endpoints, now - age_s)
        if is_new:
            self._notify_blocked()
        return is_new

    def _histories(self, fingerprint: bytes) -> crash_histories.CrashHistories:
        return self.parts if len(fingerprint) > REQUEST_BYTES else self.requests

    def _record(self, fingerprint: bytes, endpoint_id: str, now: float) -> bool:
        """Record and publish a crash; returns whether it is new and counts."""
        histories = self._histories(fingerprint)
        if not self._add_crash(fingerprint, endpoint_id, now):
            return False
        history = histories.history_by_fingerprint[fingerprint]
        report = CrashReport(
            fingerprint, endpoint_id, len(history.endpoints), history.moments
        )
        self.broadcast.publish(report)
        return True

    def _add_crash(
        self, fingerprint: bytes, endpoint_id: str, now: float, moments: int = 0
    ) -> bool:
        """Add a crash to the history of its kind; returns whether it counts."""
        histories = self._histories(fingerprint)
        was_blocked = histories.is_blocked(fingerprint, now)
        if not histories.record_crash(fingerprint, endpoint_id, now, moments):
            return False
        if histories.is_blocked(fingerprint, now) and not was_blocked:
            self._notify_blocked()
        return True

    def _notify_blocked(self) -> None:
        for notify in self.on_block:
            notify()

    def _clear(
        self, fingerprint: bytes, began_at: float, vm: str, publish: bool
    ) -> None:
        """Clear the crashes of a fingerprint, and count none for a while.

        :param fingerprint: the fingerprint.
        :param began_at: monotonic time at which the answer began that ran well.
        :param vm: the VM on which it did.
        :param publish: whether to report to all VMs that there were crashes.
        """
        histories = self._histories(fingerprint)
        was_proven = histories.is_proven(fingerprint, time.monotonic())
        was_counted = fingerprint in histories.history_by_fingerprint
        history = histories.record_success(fingerprint, began_at)
        if history is not None:
            _log_history(fingerprint, history, vm, "cleared")
        is_news = history is not None or (was_counted and not was_proven)
        if publish and is_news:
            age_s = time.monotonic() - began_at
            self.broadcast.publish(CrashesCleared(fingerprint, age_s=age_s))

    def _send_cleared(self, vm: str, fingerprint: bytes, now: float) -> None:
        """Report a success to a peer that blocks a fingerprint, or is about to."""
        success_at = self._histories(fingerprint).success_at_by_fingerprint[fingerprint]
        message = CrashesCleared(fingerprint, relay=True, age_s=now - success_at)
        self.peers.send_nowait(vm, message)

    def _on_cleared(self, vm: str, message: CrashesCleared, _) -> None:
        began_at = time.monotonic() - message.age_s
        self._clear(message.fingerprint, began_at, vm, publish=message.relay)

    def _on_crash_report(self, vm: str, report: CrashReport, _) -> None:
        now = time.monotonic()
        histories = self._histories(report.fingerprint)
        if self._add_crash(report.fingerprint, report.endpoint, now, report.moments):
            history = histories.history_by_fingerprint[report.fingerprint]
            _log_history(report.fingerprint, history, vm, "received")
        is_near_block = report.endpoint_count == CRASHES_TO_BLOCK - 1
        if is_near_block and histories.is_proven(report.fingerprint, now):
            # The sender is about to block it, and may know of no success.
            self._send_cleared(vm, report.fingerprint, now)


def part_fingerprints(request: caller_request.CallerRequest) -> list[bytes]:
    """Return the fingerprints of the parts of a prompt that others may share.

    :param request: the request.
    """
    return [
        PART_PREFIX + xxhash.xxh128_digest(item.id.encode())
        for item in request.shared_parts
    ]


def _log_history(
    fingerprint: bytes, history: crash_histories.CrashHistory, vm: str, outcome: str
) -> None:
    """Log what happened to a fingerprint's crashes, and the VM that reported it."""
    logs.event(
        log,
        "crashes",
        fingerprint=fingerprint.hex(),
        endpoints=len(history.endpoints),
        moments=history.moments,
        peer=vm,
        outcome=outcome,
    )
