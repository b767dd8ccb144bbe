"""Attempts: sends a request to one endpoint once, and evaluates the outcome.

What the outcome shows about the endpoint is recorded at once: its health, whether the
request crashed it, and which models it lacks. What it means for the request is recorded
in the request's progress, by which the dispatch decides whether to retry.
"""

import time

import gevent
import logbook
import result

from mothworks import calls, connections, endpoints, kernel, logs, transport
from mothworks_gateway import (
    adapters,
    caller_request,
    endpoint_limits,
    endpoint_notices,
    endpoint_paths,
    endpoint_rooms,
    endpoint_selection,
    endpoints_client,
    forwarding,
    fragile_endpoints,
    health,
    poison_requests,
    prefill_speed,
    queue_client,
    registry,
    request_progress,
    residency,
    retry_budget,
    retry_grants,
    running_requests,
    send_slots,
    stream_origins,
    stream_relay,
)

log = logbook.Logger("attempts")

#: Time before the caller's deadline that is reserved for returning the answer, seconds.
RESPONSE_MARGIN_S = 0.02
#: Pause after a refusal by a busy endpoint, seconds.
BUSY_PAUSE_S = 0.03
#: Share of the objective after which the attempt at a repeatable, non-streaming request
#: is slow if it has no answer: another one is asked for then, and again each time as
#: much time has passed.
SLOW_SHARE = 0.6
#: Lower bound of that time, seconds.
MIN_SLOW_S = 0.05
#: Parts of the reasons of broken answers whose endpoint has not crashed.
NO_CRASH_REASONS = ("timed out", "late", transport.TOO_LONG, transport.TOO_MUCH)
#: Weight in the failure rate of an error that the endpoint itself returned: some are
#: caused by the request.
ERROR_WEIGHT = 0.5


class Attempts(kernel.Part):
    """Sends requests to endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.endpoint_selection = node_kernel.get(endpoint_selection.EndpointSelection)
        self.registry = self.endpoint_selection.registry
        self.health = node_kernel.get(health.Health)
        self.paths = node_kernel.get(endpoint_paths.EndpointPaths)
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        self.notices = node_kernel.get(endpoint_notices.EndpointNotices)
        self.slots = node_kernel.get(send_slots.SendSlots)
        self.fragile = node_kernel.get(fragile_endpoints.FragileEndpoints)
        self.rooms = node_kernel.get(endpoint_rooms.EndpointRooms)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.retry_budget = node_kernel.get(retry_budget.RetryBudget)
        self.retry_grants = node_kernel.get(retry_grants.RetryGrants)
        self.poison_requests = node_kernel.get(poison_requests.PoisonRequests)
        self.prefill_speed = node_kernel.get(prefill_speed.PrefillSpeed)
        self.residency = node_kernel.get(residency.Residency)
        self.forwarding = node_kernel.get(forwarding.Forwarding)
        self.origins = node_kernel.get(stream_origins.StreamOrigins)
        self.queue = node_kernel.get(queue_client.QueueClient)
        self.paths.on_change.append(self._on_paths_change)
        self.head_seconds = node_kernel.metrics.duration_histogram(
            "head_seconds", "Time from a request's arrival to its answer's head."
        )

    def send_once(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        progress: request_progress.RequestProgress,
    ) -> calls.Reply | None:
        """Send a request once.

        :param request: the request.
        :param endpoint: the endpoint that it is sent to.
        :param progress: the request's progress, which is updated.
        :returns: the answer; None if the attempt failed, with the reason in `progress`.
        """
        progress.count_endpoint(endpoint.id)
        progress.sends += 1
        progress.connection = 0
        progress.withheld = False
        progress.unreachable = False
        started_at = time.monotonic()
        self.running_requests.request_started(endpoint, request.target)
        has_reply = False
        try:
            reply = self._send(request, endpoint, progress, started_at)
            has_reply = reply is not None
            return reply
        except connections.DrainTimeout:
            progress.may_have_run = True
            progress.reason = "this VM is stopping"
            raise
        finally:
            if not has_reply:
                self.running_requests.request_ended(endpoint, request.target)
            logs.event(
                log,
                "sent",
                request=request.id,
                route=request.route.name,
                version=request.declaration_version,
                endpoint=endpoint.id,
                software=endpoint.entry.software_version,
                resumes=request.resumes,
                model=request.target.model,
                adapter=request.target.adapter,
                attempt=progress.sends,
                connection=progress.connection,
                running=self.running_requests.of_endpoint(endpoint.id),
                crashes=self.poison_requests.crash_count(request),
                parts=",".join(part.id for part in request.shared_parts),
                left_ms=round((request.deadline - started_at) * 1000),
                took_ms=round((time.monotonic() - started_at) * 1000, 1),
                outcome="answer begun" if has_reply else progress.reason,
            )

    def _send(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        progress: request_progress.RequestProgress,
        started_at: float,
    ) -> calls.Reply | None:
        left_s = request.deadline - started_at - RESPONSE_MARGIN_S
        head_deadline = request.deadline
        on_head_late = None
        if self.retry_grants.may_ask(request, progress):
            slow_s = max(MIN_SLOW_S, SLOW_SHARE * request.route.objective_s)
            head_deadline = min(head_deadline, started_at + slow_s)

            def on_head_late() -> float | None:
                now = time.monotonic()
                is_granted = self.retry_grants.try_grant(
                    request, progress, now - started_at
                )
                return None if is_granted else now + slow_s

        sent = self.protocol.send(
            endpoint,
            request,
            left_s,
            head_deadline,
            lambda: self.may_send(request, endpoint),
            "",
            on_head_late,
        )
        match sent:
            case result.Err(failure):
                return self._handle_send_failure(
                    request, endpoint, progress, failure, started_at
                )
            case result.Ok(answer):
                progress.connection = answer.connection
                self.paths.record_reached(time.monotonic())
        kind = self.protocol.classify_response(request, answer)
        self.observe_notices(request, endpoint, answer, kind, started_at)
        if kind not in (adapters.ResponseKind.ANSWER, adapters.ResponseKind.FAILED):
            adapters.discard(answer, kind)
            self._handle_kind(request, endpoint, progress, kind)
            return None
        failed = kind is adapters.ResponseKind.FAILED
        if failed and self._is_retry_granted(request, progress):
            adapters.discard(answer, kind)
            self.health.record_failure(
                endpoint, f"status {answer.status}", ERROR_WEIGHT
            )
            progress.may_have_run = True
            progress.reason = f"status {answer.status}"
            return None
        return self._read(request, endpoint, progress, answer, kind, started_at)

    def may_send(
        self, request: caller_request.CallerRequest, endpoint: registry.Endpoint
    ) -> bool:
        """Return whether a request that has waited may still be sent.

        :param request: the request.
        :param endpoint: the endpoint that was chosen for it.
        """
        accepts = self.endpoint_selection.accepts(endpoint, request.target)
        return accepts and not self.poison_requests.is_blocked(request)

    def observe_notices(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
        kind: adapters.ResponseKind,
        sent_at: float,
    ) -> None:
        """Record what an endpoint announces in its answer, its rate limit among it.

        :param request: the request.
        :param endpoint: the endpoint.
        :param answer: the answer.
        :param kind: the classification of the answer.
        :param sent_at: monotonic time at which the request was sent.
        """
        if kind is adapters.ResponseKind.MISDIRECTED:
            return
        self.notices.observe(endpoint, answer, request.id)
        self.fragile.observe(endpoint, answer, sent_at, request.id)
        if kind is not adapters.ResponseKind.UNRECOGNIZED:
            ran = kind is adapters.ResponseKind.ANSWER
            self.limits.observe(endpoint, answer, sent_at, request.id, ran)

    def _read(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        progress: request_progress.RequestProgress,
        answer: transport.HttpAnswer,
        kind: adapters.ResponseKind,
        started_at: float,
    ) -> calls.Reply | None:
        """Return the reply for an answer; a non-streaming one is read whole first."""
        if kind is adapters.ResponseKind.ANSWER:
            progress.began(time.monotonic() - started_at)
        if request.route.streaming and kind is adapters.ResponseKind.ANSWER:
            took_s = time.monotonic() - started_at
            self.health.record_success(endpoint, took_s)
            self.prefill_speed.add_sample(request, took_s)
            if took_s > request.route.objective_s:
                self.running_requests.record_late(request.target)
            if request.route.resumable and answer.status < 300:
                self.origins.record(request.stream_id, endpoint.entry)
            body = stream_relay.StreamRelay(self, request, endpoint, answer, progress)
            return self._reply(request, answer, body)
        whole_body = transport.read_body(answer)
        if whole_body.is_err():
            self._handle_broken_answer(
                request, endpoint, progress, whole_body.err_value
            )
            return None
        self.running_requests.request_ended(endpoint, request.target)
        progress.release()
        if kind is adapters.ResponseKind.ANSWER:
            self.health.record_success(endpoint, time.monotonic() - started_at)
            self.poison_requests.record_completion(request, answer)
        else:
            self.health.record_failure(
                endpoint, f"status {answer.status}", ERROR_WEIGHT
            )
        return self._reply(request, answer, [whole_body.ok_value])

    def _reply(
        self, request: caller_request.CallerRequest, answer: transport.HttpAnswer, body
    ) -> calls.Reply:
        labels = {"service": request.target.service}
        self.head_seconds.observe(labels, time.monotonic() - request.received_at)
        return calls.Reply(answer.status, answer.headers, body)

    def _is_retry_granted(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Return whether another attempt is granted after an answer that failed.

        Without one, the answer is delivered.
        """
        if progress.grant is not None:
            return True
        return self.retry_grants.may_ask(
            request, progress
        ) and self.retry_grants.try_grant(request, progress, None)

    def _handle_send_failure(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        progress: request_progress.RequestProgress,
        failure: endpoints.SendFailure,
        started_at: float,
    ) -> None:
        progress.reason = failure.reason[:80]
        if not failure.may_have_arrived:
            # Nothing was sent, so the endpoint does not count as tried.
            progress.uncount_endpoint()
            if failure.withheld:
                progress.withheld = True
                return
            progress.unreachable = True
            self.paths.record_unreachable(endpoint, started_at, failure.reason)
            if not self.paths.lost:
                self.health.record_failure(
                    endpoint, failure.reason, consecutive_failures=2
                )
            return
        self._handle_broken_answer(request, endpoint, progress, failure.reason)

    def _handle_broken_answer(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        progress: request_progress.RequestProgress,
        reason: str,
    ) -> None:
        progress.may_have_run = True
        progress.reason = reason[:80]
        if self.paths.lost:
            self.poison_requests.log_uncounted(request, endpoint, "paths are lost")
            return
        self.health.record_failure(endpoint, reason)
        has_crashed = not any(part in reason for part in NO_CRASH_REASONS)
        if has_crashed:
            self.poison_requests.record_crash(request, endpoint)

    def _on_paths_change(self) -> None:
        """Readmit the endpoints that failed only because this VM did not reach them."""
        if not self.paths.lost:
            self.health.readmit(self.paths.silent_since)

    def _handle_kind(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        progress: request_progress.RequestProgress,
        kind: adapters.ResponseKind,
    ) -> None:
        progress.reason = kind.value
        if kind is adapters.ResponseKind.BUSY:
            progress.was_full()
        match kind:
            case adapters.ResponseKind.NOT_HELD:
                self.residency.report_not_held(endpoint, request.target)
            case adapters.ResponseKind.MISDIRECTED:
                self.registry.exclude(endpoint, "another endpoint has its address")
            case adapters.ResponseKind.UNRECOGNIZED:
                progress.may_have_run = True
                self.health.record_failure(endpoint, "not an answer to the request")
            case adapters.ResponseKind.BUSY if self.notices.backoff(endpoint) is None:
                self.rooms.record_refusal(endpoint)
                self.retry_grants.estimates.record_refusal(endpoint)
                gevent.sleep(BUSY_PAUSE_S)
