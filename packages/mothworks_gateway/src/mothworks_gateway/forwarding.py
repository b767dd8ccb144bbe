"""Forwarding: runs requests on other VMs while this VM reaches no endpoint.

A request is forwarded once: the VM that gets it runs it or refuses it. Admission and
all counts of the request stay with this VM, and what one VM has tried counts on the
other. A request whose connection to the peer breaks may have run.
"""

import collections.abc
import time

import attrs
import logbook
import result

from mothworks import (
    calls,
    connections,
    endpoints,
    kernel,
    logs,
    messages,
    transport,
)
from mothworks_gateway import (
    caller_request,
    forwarding_messages,
    forwarding_peers,
    request_progress,
    retry_budget,
    retry_grants,
    server_sent_events,
    stream_origins,
)

log = logbook.Logger("forwarding")

#: Timeout for connecting to a peer, seconds.
CONNECT_TIMEOUT_S = 0.3
#: Longest time without a byte from a peer, seconds.
READ_TIMEOUT_S = 30.0
#: Maximum number of connections to one peer, and of idle ones to all.
MAX_CONNECTIONS_PER_PEER = 128
MAX_IDLE = 128
#: Maximum number of requests that peers run for this VM at a time.
MAX_FORWARDED = 512
#: Maximum number of peers that one request is offered to.
MAX_PEERS_TRIED = 3
#: Reason of the refusal if no peer can run a request, and its Retry-After, seconds.
NO_PEER_REASON = "this VM reaches no endpoint, and no peer offers to run its requests"
NO_PEER_RETRY_S = 0.5
#: Share of the time left after which a repeatable request without an answer may be sent
#: elsewhere, and the interval at which that is checked again, seconds.
SLOW_SHARE = 0.5
SLOW_INTERVAL_S = 0.1
#: Time before the caller's deadline that is reserved for returning the answer, seconds.
RESPONSE_MARGIN_S = 0.02
#: Time left until the deadline below which a stream is not resumed, seconds.
MIN_RESUME_S = 0.1
#: Header by which a VM states whether a refused request may have run.
RAN = "mothworks-ran"
LAST_EVENT_ID = "Last-Event-Id"


@attrs.frozen
class Refused:
    """No peer answered a request.

    :param status: the HTTP status for the caller.
    :param retry_after: seconds until a retry may succeed; None if there is none.
    :param is_final: whether the request must not be sent again.
    """

    status: int
    retry_after: float | None
    is_final: bool


@attrs.frozen
class _Unsent:
    """A peer did not run a request, and another one may.

    :param reason: why.
    """

    reason: str


class ForwardedAnswer:
    """The answer of a peer; its body is streamed as it arrives.

    :param vm: the peer.
    :param answer: the peer's response, its head already read.
    :param head: the head.
    :param remaining: the bytes of the body after the head.
    :param on_close: called once when the answer is closed.
    """

    def __init__(
        self,
        vm: str,
        answer: transport.HttpAnswer,
        head: forwarding_messages.ForwardedHead,
        remaining: collections.abc.Iterator[bytes],
        on_close: collections.abc.Callable[[], None],
    ):
        self.vm = vm
        self.answer = answer
        self.head = head
        self.remaining = remaining
        self.on_close = on_close
        self.closed = False

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield the body as it arrives; raises OSError if it ends early."""
        yield from self.remaining

    def close(self) -> None:
        """Release the connection; cancels the request if it is incomplete."""
        if not self.closed:
            self.closed = True
            self.answer.close()
            self.on_close()


class Forwarding(kernel.Part):
    """Forwards requests to peers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(forwarding_peers.ForwardingPeers)
        self.retry_budget = node_kernel.get(retry_budget.RetryBudget)
        self.retry_grants = node_kernel.get(retry_grants.RetryGrants)
        self.origins = node_kernel.get(stream_origins.StreamOrigins)
        self.connections = transport.Transport(
            READ_TIMEOUT_S,
            size=MAX_CONNECTIONS_PER_PEER,
            connect_s=CONNECT_TIMEOUT_S,
            max_idle=MAX_IDLE,
        )
        self.forwarded_total = node_kernel.metrics.counter(
            "forwarded_requests_total", "Requests forwarded to peers, by outcome."
        )

    def run(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        wait_until: float,
    ) -> result.Result[calls.Reply, Refused]:
        """Run a request on a peer, and return its answer as soon as it begins.

        :param request: the request.
        :param progress: its progress, which is updated.
        :param wait_until: monotonic time until which it may wait to be sent.
        """
        outcome = self._send(request, progress, wait_until)
        if outcome.is_err():
            return outcome
        answer = outcome.ok_value
        if request.route.streaming:
            body = ForwardedStream(self, request, progress, answer)
        else:
            body = _ForwardedBody(answer)
        return result.Ok(
            calls.Reply(
                answer.head.status,
                list(forwarding_messages.pairs(answer.head.headers)),
                body,
            )
        )

    def resume(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        last_event_id: str,
    ) -> ForwardedAnswer | None:
        """Resume a stream on a peer, after an event; returns None if that failed.

        :param request: the request.
        :param progress: its progress, which is updated.
        :param last_event_id: id of the last event that the caller has received.
        """
        if request.deadline - time.monotonic() < MIN_RESUME_S:
            return None
        if request.target.software_version is None:
            # Another peer ran it until now, which has recorded the version.
            origin = self.origins.find(request.stream_id)
            if origin is None:
                return None
            request = request.pinned(origin.software_version, origin.service)
        headers = request.headers
        if last_event_id:
            # Without one, a stream that was taken up goes on after its caller's event.
            name = LAST_EVENT_ID.lower()
            headers = tuple(item for item in headers if item[0].lower() != name)
            headers += ((LAST_EVENT_ID, last_event_id),)
        resumed = attrs.evolve(request, headers=headers)
        match self._send(resumed, progress, request.deadline):
            case result.Ok(answer) if answer.head.status == 200:
                return answer
            case result.Ok(answer):
                answer.close()
        return None

    def _send(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        wait_until: float,
    ) -> result.Result[ForwardedAnswer, Refused]:
        """Send a request to one peer after the other until one runs it."""
        tried_vms = set(progress.broken_peers)
        progress.unreachable = False
        for _ in range(MAX_PEERS_TRIED):
            is_full = self.peers.forwarded_by_vm.total() >= MAX_FORWARDED
            needs_version = request.target.software_version is not None
            peer = None if is_full else self.peers.choose(tried_vms, needs_version)
            if peer is None:
                break
            tried_vms.add(peer.vm)
            match self._send_to(peer, request, progress, wait_until):
                case _Unsent(reason):
                    progress.reason = reason[:80]
                case outcome:
                    return outcome
        if tried_vms == progress.broken_peers:
            progress.reason = NO_PEER_REASON
        status = 502 if progress.may_have_run else 503
        return result.Err(Refused(status, NO_PEER_RETRY_S, True))

    def _send_to(
        self,
        peer: forwarding_peers.ForwardingPeer,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        wait_until: float,
    ) -> result.Result[ForwardedAnswer, Refused] | _Unsent:
        self.peers.forwarded_by_vm[peer.vm] += 1
        started_at = time.monotonic()
        outcome = None
        try:
            outcome = self._exchange(peer, request, progress, wait_until)
            return outcome
        finally:
            is_answered = isinstance(outcome, result.Ok)
            if not is_answered:
                self._forget(peer.vm)
            kind = "answer begun" if is_answered else progress.reason
            label = "answered" if is_answered else "not answered"
            self.forwarded_total.inc({"outcome": label})
            logs.event(
                log,
                "forwarded",
                request=request.id,
                route=request.route.name,
                peer=peer.vm,
                left_ms=round((request.deadline - started_at) * 1000),
                took_ms=round((time.monotonic() - started_at) * 1000, 1),
                outcome=outcome.reason if isinstance(outcome, _Unsent) else kind,
            )

    def _exchange(
        self,
        peer: forwarding_peers.ForwardingPeer,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        wait_until: float,
    ) -> result.Result[ForwardedAnswer, Refused] | _Unsent:
        now = time.monotonic()
        left_s = request.deadline - now
        head_deadline = request.deadline
        on_head_late = None
        if request.route.repeatable and not request.route.streaming:
            head_deadline = now + SLOW_SHARE * left_s

            def on_head_late() -> float | None:
                at = time.monotonic()
                is_granted = self.retry_grants.try_grant_peer(
                    request, progress, peer.vm, at - now
                )
                return None if is_granted else at + SLOW_INTERVAL_S

        message = self._encode(request, progress, now, wait_until)
        sent = self.connections.exchange(
            peer.address,
            "POST",
            forwarding_messages.PATH,
            (),
            message,
            transport.SendOptions(
                deadline=request.deadline,
                head_deadline=head_deadline,
                on_head_late=on_head_late,
            ),
        )
        match sent:
            case result.Err(endpoints.SendFailure(reason=reason) as failure):
                if failure.may_have_arrived:
                    return self._record_broken(peer.vm, progress, reason)
                return _Unsent(reason)
            case result.Ok(answer):
                pass
        if answer.status != 200:
            answer.release()
            if answer.header(RAN) == "no":
                return _Unsent(f"{peer.vm}: status {answer.status}")
            return self._record_broken(peer.vm, progress, f"status {answer.status}")
        return self._read_head(peer.vm, progress, answer)

    def _read_head(
        self,
        vm: str,
        progress: request_progress.RequestProgress,
        answer: transport.HttpAnswer,
    ) -> result.Result[ForwardedAnswer, Refused] | _Unsent:
        """Read the head of a peer's response, and what it means for the request."""
        remaining = answer.chunks()
        try:
            frame, first_bytes = _split_head(remaining)
        except transport.CONNECTION_ERRORS as error:
            answer.close()
            return self._record_broken(vm, progress, f"answer: {error}")
        decoded = forwarding_messages.decode(frame, forwarding_messages.ForwardedHead)
        if decoded.is_err():
            answer.close()
            return self._record_broken(vm, progress, decoded.err_value)
        head = decoded.ok_value
        has_arrived = not progress.tried.issuperset(head.tried)
        progress.tried.update(head.tried)
        progress.may_have_run = progress.may_have_run or head.may_have_run
        if not head.refused:
            body = _prepend(first_bytes, remaining)
            return result.Ok(
                ForwardedAnswer(vm, answer, head, body, lambda: self._forget(vm))
            )
        answer.release()
        progress.reason = f"{vm}: {head.reason}"[:120]
        is_final = not head.unable or head.may_have_run
        if not is_final and not has_arrived:
            return _Unsent(progress.reason)
        # Where an endpoint refused it, the next hop is a retry and has to be charged.
        progress.broken_peers.add(vm)
        return result.Err(Refused(head.status, head.retry_after, is_final))

    def _record_broken(
        self, vm: str, progress: request_progress.RequestProgress, reason: str
    ) -> result.Err[Refused]:
        """Record that a peer may have run a request whose outcome is unknown."""
        progress.may_have_run = True
        progress.reason = f"{vm}: {reason}"[:80]
        # The endpoint that the peer may have sent it to counts as one that was tried.
        progress.tried.add(f"by {vm}")
        progress.broken_peers.add(vm)
        return result.Err(Refused(502, None, False))

    def _forget(self, vm: str) -> None:
        self.peers.forwarded_by_vm[vm] -= 1
        if self.peers.forwarded_by_vm[vm] <= 0:
            del self.peers.forwarded_by_vm[vm]

    def _encode(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        now: float,
        wait_until: float,
    ) -> bytes:
        account = request.account
        return messages.pack(
            forwarding_messages.ForwardedRequest(
                deployment=self.kernel.settings.deployment,
                id=request.id,
                method=request.method,
                path=request.path,
                host=request.host,
                headers=request.headers,
                body=request.body,
                declaration_version=request.declaration_version,
                service=request.target.service,
                model=request.target.model,
                adapter=request.target.adapter,
                prompt=tuple((part.id, part.tokens) for part in request.prompt),
                input_tokens=request.input_tokens,
                output_tokens=request.output_tokens,
                account="" if account is None else account.name,
                urgency=None if account is None else account.urgency,
                left_s=request.deadline - now - RESPONSE_MARGIN_S,
                waited_s=now - request.received_at,
                may_wait_s=wait_until - now,
                tried=tuple(progress.tried),
                may_have_run=progress.may_have_run,
                resumes=request.resumes,
                after_event=request.after_event,
                software_version=request.target.software_version,
            )
        )


class _ForwardedBody:
    """The body of a forwarded answer that is not a stream of events."""

    def __init__(self, answer: ForwardedAnswer):
        self.answer = answer

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        try:
            yield from self.answer.chunks()
        except transport.CONNECTION_ERRORS as error:
            raise connections.BrokenAnswer(str(error)) from error
        finally:
            self.close()

    def close(self) -> None:
        """Release the peer; cancels an answer that is not complete."""
        self.answer.close()


class ForwardedStream:
    """A stream that a peer runs; iterating yields its bytes as they arrive.

    :param forwarding: the part that forwarded it.
    :param request: the request.
    :param progress: its progress.
    :param answer: the peer's answer.
    :param events: reads its events, if a part of it was already relayed.
    """

    def __init__(
        self,
        forwarding: Forwarding,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        answer: ForwardedAnswer,
        events: server_sent_events.EventReader | None = None,
    ):
        self.forwarding = forwarding
        self.request = request
        self.progress = progress
        self.answer = answer
        if events is None:
            head = answer.head
            resumable = request.route.resumable
            events = server_sent_events.reader(head.status, head.headers, resumable)
        self.events = events
        self.relayed_bytes = 0

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the stream's bytes; raises BrokenAnswer if it ends early."""
        try:
            while True:
                try:
                    yield from self._chunks()
                    return
                except transport.CONNECTION_ERRORS as error:
                    reason = str(error)
                if not self._resume(reason):
                    raise connections.BrokenAnswer(reason)
        finally:
            self.close()

    def close(self) -> None:
        """Release the peer; cancels a stream that is not complete."""
        self.answer.close()

    def _chunks(self) -> collections.abc.Iterator[bytes]:
        for data in self.answer.chunks():
            if self.events is not None:
                data = self.events.feed(data)
            if data:
                self.relayed_bytes += len(data)
                yield data
        if self.events is not None:
            self.events.end_answer(self.answer.answer.is_framed)

    def _resume(self, reason: str) -> bool:
        """Resume the stream on another peer; returns whether that succeeded."""
        self.answer.close()
        if self.events is None or not self.request.route.resumable:
            return False
        if self.relayed_bytes and not self.events.last_id:
            return False
        if len(self.progress.tried) >= self.request.route.max_endpoints:
            return False
        service = self.request.target.service
        if not self.forwarding.retry_budget.try_spend(service, self.request.id):
            return False
        self._avoid_last_peer()
        self.events.begin_answer()
        resumed = self.forwarding.resume(
            self.request, self.progress, self.events.last_id
        )
        logs.event(
            log,
            "not resumed" if resumed is None else "resumed",
            request=self.request.id,
            peer=self.answer.vm,
            after_event=self.events.last_id,
            reason=reason[:80],
            outcome="broken off" if resumed is None else "goes on",
        )
        if resumed is None:
            return False
        self.answer = resumed
        return True

    def _avoid_last_peer(self) -> None:
        """Resume on another peer than the last one, if there is one.

        A peer whose endpoint broke the stream off does not resume it by itself.
        """
        broken_peers = self.progress.broken_peers
        needs_version = self.request.target.software_version is not None
        broken_peers.add(self.answer.vm)
        if self.forwarding.peers.choose(broken_peers, needs_version) is None:
            broken_peers.discard(self.answer.vm)


def _split_head(chunks: collections.abc.Iterator[bytes]) -> tuple[bytes, bytes]:
    """Read a head from the start of a body.

    :returns: the packed head, and the bytes after it that were already received.
    :raises ConnectionResetError: if the body ends before.
    """
    data = b""
    size = forwarding_messages.HEAD_LENGTH.size
    for chunk in chunks:
        data += chunk
        if len(data) < size:
            continue
        (length,) = forwarding_messages.HEAD_LENGTH.unpack_from(data)
        if length > forwarding_messages.MAX_HEAD_BYTES:
            raise ConnectionResetError("the head is too long")
        if len(data) >= size + length:
            return data[size : size + length], data[size + length :]
    raise ConnectionResetError("the answer ended inside its head")


def _prepend(
    first: bytes, rest: collections.abc.Iterator[bytes]
) -> collections.abc.Iterator[bytes]:
    if first:
        yield first
    yield from rest
