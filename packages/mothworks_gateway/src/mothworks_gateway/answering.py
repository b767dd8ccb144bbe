"""A stream on its way to the caller, and what happens if it breaks."""

import collections.abc
import time

import logbook
import result

from mothworks import connections, logs, transport
from mothworks_gateway import adapters, asked, events, registry

log = logbook.Logger("answering")

#: Least time left that makes going on elsewhere worthwhile, seconds.
LEAST_S = 0.1
#: Longest wait for a slot at an endpoint that names a limit, seconds: callers leave a
#: stream that pauses for longer than a few times this.
RESUME_WAIT_S = 0.5


class Running:
    """A stream while it runs; iterating passes its bytes on as they come.

    :param attempts: what sent it, and sends it on.
    :param request: the request.
    :param endpoint: where it runs.
    :param answer: the endpoint's answer, its body not read.
    """

    def __init__(
        self,
        attempts,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
    ):
        self.attempts = attempts
        self.request = request
        self.endpoint = endpoint
        self.answer = answer
        self.open = True
        self.tried = {endpoint.id}
        self.outcome = "caller left"
        self.closed = False
        self.passed = 0
        self.longest_gap_s = 0.0
        self.cutter = events.Cutter() if request.route.resumable else None

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the stream's bytes; raises BrokenAnswer where it ends early."""
        try:
            while True:
                try:
                    yield from self._pieces()
                    self.outcome = "complete"
                    self.attempts.poison.ran_well(self.request)
                    return
                except transport.FAILURES as error:
                    reason = str(error)
                self._leave()
                self._note_break(reason)
                if not self._resume():
                    raise connections.BrokenAnswer(reason)
        finally:
            self.close()

    def close(self) -> None:
        """Release the endpoint; cancels what is not complete."""
        if self.closed:
            return
        self.closed = True
        self._leave()
        logs.event(
            log,
            "ended",
            request=self.request.id,
            endpoint=self.endpoint.id,
            bytes=self.passed,
            longest_gap_ms=round(self.longest_gap_s * 1000),
            took_ms=round((time.monotonic() - self.request.arrived) * 1000),
            outcome=self.outcome,
        )

    def _pieces(self) -> collections.abc.Iterator[bytes]:
        at = time.monotonic()
        for data in self.answer.chunks():
            now = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now - at)
            at = now
            if self.cutter is not None:
                data = self.cutter.feed(data)
            if data:
                self.passed += len(data)
                yield data
        if self.cutter is not None and self.cutter.rest:
            raise ConnectionResetError("the stream ended inside an event")

    def _leave(self) -> None:
        if self.open:
            self.open = False
            self.answer.close()
            self.attempts.load.end(self.endpoint, self.request.target)
            gap_s = self.request.route.gap_s
            if gap_s and self.longest_gap_s > gap_s:
                self.attempts.load.note_late(self.request.target)

    def _note_break(self, reason: str) -> None:
        self.outcome = f"broke: {reason}"[:100]
        if time.monotonic() >= self.request.deadline - LEAST_S:
            return
        self.attempts.health.failed(self.endpoint, reason)
        if self.endpoint.open:
            self.attempts.poison.broke(self.request, self.endpoint)

    def _resume(self) -> bool:
        """Go on at another endpoint; returns whether the stream goes on."""
        route = self.request.route
        if self.cutter is None or len(self.tried) >= route.most_endpoints:
            return False
        if self.passed and not self.cutter.last_id:
            return False
        left_s = self.request.deadline - time.monotonic()
        if left_s < LEAST_S or not self.attempts.budget.take(
            self.request.target.service
        ):
            return False
        ready = self.attempts.choice.candidates(self.request).ready
        others = [item for item in ready if item.id not in self.tried]
        if not others:
            return False
        match self.attempts.slots.acquire(self.request, others, RESUME_WAIT_S):
            case result.Ok(slot) if self.attempts.slots.wait(slot):
                left_s = self.request.deadline - time.monotonic()
                return left_s >= LEAST_S and self._send_on(slot.endpoint, left_s)
        return False

    def _send_on(self, endpoint: registry.Endpoint, left_s: float) -> bool:
        protocol = self.attempts.protocol
        self.tried.add(endpoint.id)
        self.cutter.rest = b""
        last_id = self.cutter.last_id
        deadline = self.request.deadline
        sent_at = time.monotonic()
        sent = protocol.send(endpoint, self.request, left_s, deadline, last_id)
        going = False
        match sent:
            case result.Ok(answer):
                verdict = protocol.judge(self.request, answer)
                self.attempts.note_limit(
                    self.request, endpoint, answer, verdict, sent_at
                )
                going = verdict is adapters.Verdict.ANSWER
                if not going:
                    answer.close()
        logs.event(
            log,
            "resumed" if going else "not resumed",
            request=self.request.id,
            endpoint=endpoint.id,
            after_event=last_id,
            left_ms=round(left_s * 1000),
            outcome="goes on" if going else "broken off",
        )
        if going:
            self.answer = answer
            self.endpoint = endpoint
            self.open = True
            self.attempts.load.begin(endpoint, self.request.target)
        return going
