"""Relays a stream from an endpoint to the caller, and resumes it if it breaks."""

import collections.abc
import time

import logbook
import result

from mothworks import connections, logs, transport
from mothworks_gateway import (
    adapters,
    caller_request,
    endpoint_selection,
    forwarding,
    poison_requests,
    queue_client,
    registry,
    request_progress,
    server_sent_events,
)

log = logbook.Logger("answering")

#: Time left until the deadline below which a stream is not resumed, seconds.
MIN_RESUME_S = 0.1
#: Rank of a resumed stream in the queue: its caller has waited already.
RESUME_URGENCY = 0
#: End of an event, for counting.
EVENT_END = b"\n\n"
#: Longest wait for a send slot at an endpoint with a rate limit, seconds: callers
#: disconnect from a stream that stalls for longer than a few times this.
MAX_RESUME_WAIT_S = 0.5


class StreamRelay:
    """Relays a running stream; iterating yields its bytes as they arrive.

    :param attempts: the part that sent the request; resuming uses the parts it has.
    :param request: the request.
    :param endpoint: the endpoint that runs it.
    :param answer: the endpoint's answer, its body not read.
    :param progress: the attempts at the request so far. Those that resume its stream
        count towards the same maximum.
    """

    def __init__(
        self,
        attempts,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
        progress: request_progress.RequestProgress,
    ):
        self.attempts = attempts
        self.request = request.pinned(
            endpoint.entry.software_version, request.target.service
        )
        self.endpoint = endpoint
        self.answer = answer
        self.progress = progress
        #: Its place at the endpoint; None without a queue.
        self.admission: queue_client.Admission | None = progress.admission
        #: Number of events of the present answer, for its endpoint's speed.
        self.event_count = 0
        #: Whether the answer is open and its request counts as running.
        self.is_answer_open = True
        #: Endpoints whose answers broke off; the stream is not resumed there.
        self.broken_ids: set[str] = set()
        self.outcome = "caller left"
        self.closed = False
        #: Whether a retry is charged that no endpoint has got yet.
        self.is_charged = False
        #: Whether the endpoint at which it was to be resumed was unreachable.
        self.unreachable = False
        self.relayed_bytes = 0
        self.longest_gap_s = 0.0
        #: Monotonic time of the first bytes, seconds; None before.
        self.began_at: float | None = None
        #: Whether the answer has run on for a while after its first bytes.
        self.runs_well = False
        self.events = server_sent_events.reader(
            answer.status, answer.headers, request.route.resumable
        )

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the stream's bytes; raises BrokenAnswer if it ends early."""
        try:
            while True:
                try:
                    yield from self._chunks()
                    self.outcome = "complete"
                    self.attempts.poison_requests.record_completion(
                        self.request, self.answer, self.began_at
                    )
                    return
                except transport.CONNECTION_ERRORS as error:
                    reason = str(error)
                self._release()
                self._record_break(reason)
                if not self._may_resume():
                    raise connections.BrokenAnswer(reason)
                if self._resume():
                    continue
                forwarded = self._resume_on_peer()
                if forwarded is None:
                    raise connections.BrokenAnswer(reason)
                self.outcome = "forwarded"
                yield from forwarded
                return
        except connections.DrainTimeout:
            self.outcome = "cut: this VM is stopping"
            raise
        finally:
            self.close()

    def close(self) -> None:
        """Release the endpoint; cancels a stream that is not complete."""
        if self.closed:
            return
        self.closed = True
        self._release()
        logs.event(
            log,
            "ended",
            request=self.request.id,
            endpoint=self.endpoint.id,
            framing=self.answer.framing,
            inside_event=self.events is not None and self.events.is_inside_event,
            bytes=self.relayed_bytes,
            longest_gap_ms=round(self.longest_gap_s * 1000),
            took_ms=round((time.monotonic() - self.request.received_at) * 1000),
            outcome=self.outcome,
        )

    def _chunks(self) -> collections.abc.Iterator[bytes]:
        last_chunk_at = time.monotonic()
        for data in self.answer.chunks():
            now = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now - last_chunk_at)
            last_chunk_at = now
            self._observe_progress(now)
            self.attempts.paths.record_reached(now)
            self.event_count += data.count(EVENT_END)
            if self.events is not None:
                data = self.events.feed(data)
            if data:
                self.relayed_bytes += len(data)
                yield data
        if self.events is not None:
            self.events.end_answer(self.answer.is_framed)

    def _observe_progress(self, now: float) -> None:
        """Record once that the answer has run on for a while."""
        if self.began_at is None:
            self.began_at = now
        elif not self.runs_well and (
            now - self.began_at >= poison_requests.MIN_ANSWER_S
        ):
            self.runs_well = True
            self.attempts.poison_requests.record_answer(self.request, self.began_at)

    def _release(self) -> None:
        if self.is_answer_open:
            self.is_answer_open = False
            self.answer.close()
            self.attempts.running_requests.request_ended(
                self.endpoint, self.request.target
            )
            if self.admission is not None:
                self.admission.ended(max(0, self.event_count - 1))
            max_gap_s = self.request.route.max_gap_s
            if max_gap_s and self.longest_gap_s > max_gap_s:
                self.attempts.running_requests.record_late(self.request.target)

    def _record_break(self, reason: str) -> None:
        self.outcome = f"broke: {reason}"[:100]
        self.broken_ids.add(self.endpoint.id)
        is_late = time.monotonic() >= self.request.deadline - MIN_RESUME_S
        if is_late or self.attempts.paths.lost:
            self._log_uncounted("it was late" if is_late else "paths are lost")
            return
        self.attempts.health.record_failure(self.endpoint, reason)
        if self.endpoint.available:
            poison = self.attempts.poison_requests
            poison.record_crash(self.request, self.endpoint, self.runs_well)
        else:
            self._log_uncounted("the endpoint accepted no requests any more")

    def _log_uncounted(self, reason: str) -> None:
        self.attempts.poison_requests.log_uncounted(self.request, self.endpoint, reason)

    def _may_resume(self) -> bool:
        """Return whether the stream may be resumed and a retry is left for that."""
        if self.events is None or not self.request.route.resumable:
            return False
        if self.progress.forwarded:
            # The VM that forwarded it resumes it: it counts the endpoints of all VMs.
            return False
        if self.relayed_bytes and not self.events.last_id:
            return False
        if self.attempts.poison_requests.is_blocked(self.request):
            return False
        left_s = self.request.deadline - time.monotonic()
        return left_s >= MIN_RESUME_S and self.attempts.retry_budget.may_spend(
            self.request.target.service
        )

    def _charge(self) -> bool:
        """Charge the retry that is about to be sent; returns whether one was left."""
        service = self.request.target.service
        if not self.is_charged:
            self.is_charged = self.attempts.retry_budget.try_spend(
                service, self.request.id
            )
        return self.is_charged

    def _resume(self) -> bool:
        """Resume the stream at another endpoint; returns whether that succeeded."""
        if self.attempts.paths.lost:
            return False
        ready = self.attempts.endpoint_selection.candidates(self.request).ready
        others = tuple(item for item in ready if item.id not in self.broken_ids)
        endpoints = endpoint_selection.eligible(self.request, self.progress, others)
        if not endpoints:
            return False
        admission = None
        now = time.monotonic()
        match self.attempts.queue.admit(
            self.request,
            endpoints,
            None,
            now + MAX_RESUME_WAIT_S,
            RESUME_URGENCY,
            # By the time of its arrival it would be late, and late requests follow all
            # others.
            now + MAX_RESUME_WAIT_S + self.request.route.objective_s,
        ):
            case result.Ok(admission):
                endpoints = [admission.endpoint]
            case result.Err(_):
                return False
        resumed = False
        try:
            resumed = self._resume_in_room(endpoints, admission)
            return resumed
        finally:
            if admission is not None and not resumed:
                admission.withdraw()

    def _resume_in_room(
        self,
        endpoints: list[registry.Endpoint],
        admission: queue_client.Admission | None,
    ) -> bool:
        rooms = self.attempts.rooms
        with_room = rooms.acquire(self.request, endpoints, MAX_RESUME_WAIT_S)
        if not with_room:
            return False
        sent_at = time.monotonic()
        try:
            resumed = self._resume_in_slot(with_room)
        finally:
            rooms.begin(with_room[0])
        if resumed:
            self.admission = admission
            if admission is not None:
                admission.began(time.monotonic() - sent_at)
        return resumed

    def _resume_in_slot(self, endpoints: list[registry.Endpoint]) -> bool:
        match self.attempts.slots.acquire(self.request, endpoints, MAX_RESUME_WAIT_S):
            case result.Ok(slot) if self.attempts.slots.wait(slot):
                left_s = self.request.deadline - time.monotonic()
                if left_s < MIN_RESUME_S or not self._charge():
                    return False
                return self._resume_at(slot.endpoint, left_s)
        return False

    def _resume_on_peer(self) -> forwarding.ForwardedStream | None:
        """Resume the stream on a peer if this VM reached no endpoint."""
        if not (self.attempts.paths.lost or self.unreachable):
            return None
        if not self._charge():
            return None
        self.progress.may_have_run = True
        self.events.begin_answer()
        answer = self.attempts.forwarding.resume(
            self.request, self.progress, self.events.last_id
        )
        if answer is None:
            return None
        return forwarding.ForwardedStream(
            self.attempts.forwarding,
            self.request,
            self.progress,
            answer,
            self.events,
        )

    def _resume_at(self, endpoint: registry.Endpoint, left_s: float) -> bool:
        protocol = self.attempts.protocol
        self.events.begin_answer()
        last_id = self.events.last_id
        deadline = self.request.deadline
        sent_at = time.monotonic()
        self.progress.count_endpoint(endpoint.id)
        sent = protocol.send(
            endpoint,
            self.request,
            left_s,
            deadline,
            lambda: self.attempts.may_send(self.request, endpoint),
            last_id,
        )
        resumed = False
        connection = 0
        self.is_charged = self.unreachable = False
        match sent:
            case result.Err(failure) if not failure.may_have_arrived:
                self.is_charged = True
                self.progress.uncount_endpoint()
                self.unreachable = not failure.withheld
                if self.unreachable:
                    self.attempts.paths.record_unreachable(
                        endpoint, sent_at, failure.reason
                    )
            case result.Ok(answer):
                connection = answer.connection
                kind = protocol.classify_response(self.request, answer)
                self.attempts.observe_notices(
                    self.request, endpoint, answer, kind, sent_at
                )
                resumed = kind is adapters.ResponseKind.ANSWER
                if not resumed:
                    adapters.discard(answer, kind)
        logs.event(
            log,
            "resumed" if resumed else "not resumed",
            request=self.request.id,
            endpoint=endpoint.id,
            software=endpoint.entry.software_version,
            connection=connection,
            after_event=last_id,
            left_ms=round(left_s * 1000),
            outcome="goes on" if resumed else "broken off",
        )
        if resumed:
            self.answer = answer
            self.endpoint = endpoint
            self.is_answer_open = True
            self.began_at = None
            self.runs_well = False
            self.event_count = 0
            self.attempts.running_requests.request_started(
                endpoint, self.request.target
            )
        return resumed
