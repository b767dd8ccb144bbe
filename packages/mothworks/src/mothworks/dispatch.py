"""Dispatches requests to endpoints.

An attempt selects an endpoint, acquires a slot from its owner, sends the request
and waits for the first bytes of the response. Until these arrive, a failed attempt
may be retried at another endpoint; afterwards the caller has part of the response.
"""

import time

import attrs
import result

from mothworks import (
    answer_recording,
    attainment,
    caller_watch,
    catalogue,
    claim_records,
    claiming,
    claims,
    configuration,
    decisions,
    demand,
    endpoints,
    failed_attempts,
    health,
    kernel,
    outcomes,
    path_metrics,
    placement,
    plugins,
    requests,
    resumption,
    retries,
    routing,
    running_request,
    slots,
    suspects,
)

#: Maximum number of endpoints that one request tries.
MAX_ATTEMPTS = 3


@plugins.register(plugins.PART, "dispatch")
class Dispatch(kernel.Part):
    """Dispatches requests and retries failed attempts.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.placement = node_kernel.get(placement.Placement)
        self.demand = node_kernel.get(demand.Demand)
        self.slots = node_kernel.get(slots.Slots)
        self.claims = node_kernel.get(claims.Claims)
        self.attainment = node_kernel.get(attainment.Attainment)
        self.suspects = node_kernel.get(suspects.Suspects)
        self.decisions = node_kernel.get(decisions.Decisions)
        chosen = node_kernel.settings.routing
        self.policy: routing.Policy = plugins.find(plugins.ROUTING, chosen)()
        self.retry_budget = retries.RetryBudget()
        self.metrics = path_metrics.PathMetrics(node_kernel.metrics)
        self.resumption = resumption.Resumption(self)

    def begin(
        self,
        request: requests.Request,
        watch: caller_watch.DisconnectWatch | None = None,
    ) -> result.Result[answer_recording.AnsweredRequest, outcomes.Refusal]:
        """Send a request and wait for the first bytes of its response.

        :param request: the request.
        :param watch: cancels the request if the caller disconnects; stopped before
            work that may run only once is sent, so that it is not interrupted.
        :returns: the running request, which must be closed; or the refusal.
        """
        self.retry_budget.add_request()
        self.demand.count_arrival(request.target)
        trace = self.decisions.open(request)
        claim = self.claims.new_claim(request)
        try:
            if claim is None:
                started = self._try_endpoints(request, trace, watch, None)
            else:
                started = self._run_claimed(request, trace, watch, claim)
        except BaseException:
            self.decisions.close(request.id, "cancelled")
            raise
        match started:
            case result.Err(refusal):
                self.decisions.close(request.id, f"refused: {refusal.code}")
                ran = refusal.ran is outcomes.Ran.UNKNOWN
                self.attainment.count_refusal(request, ran)
            case result.Ok(answer_recording.Replay()):
                self.decisions.close(request.id, "answered from its claim")
        return started

    def _run_claimed(
        self,
        request: requests.Request,
        trace: decisions.Trace,
        watch: caller_watch.DisconnectWatch | None,
        claim: claiming.Claim,
    ) -> result.Result[answer_recording.AnsweredRequest, outcomes.Refusal]:
        """Run a request with an Idempotency-Key unless a duplicate runs or has run."""
        previous = claim.find_duplicate()
        if previous is not None:
            self.decisions.close(request.id, "resend")
            return previous.map(answer_recording.Replay)
        try:
            started = self._try_endpoints(request, trace, watch, claim)
        except BaseException:
            claim.store_outcome(claim_records.State.UNKNOWN)
            raise
        if claim.lost:
            return claim.wait_for_winner().map(answer_recording.Replay)
        match started:
            case result.Ok(active_request):
                return result.Ok(
                    answer_recording.RecordedRequest(
                        active_request, claim, self.claims.tasks
                    )
                )
            case result.Err(outcomes.Refusal(ran=outcomes.Ran.NO)):
                claim.store_outcome(claim_records.State.RELEASED)
            case result.Err(_):
                claim.store_outcome(claim_records.State.UNKNOWN)
        return started

    def _try_endpoints(
        self,
        request: requests.Request,
        trace: decisions.Trace,
        watch: caller_watch.DisconnectWatch | None,
        claim: claiming.Claim | None,
    ) -> result.Result[running_request.RunningRequest, outcomes.Refusal]:
        tried: set[str] = set()
        refusal = failed_attempts.no_endpoint(request)
        while len(tried) < MAX_ATTEMPTS:
            candidates = self.choose_endpoints(request, tried)
            if not candidates:
                self._trace_closed(request, trace)
                break
            names = ", ".join(endpoint.name for endpoint in candidates)
            trace.add_step("", f"considered, best first: {names}")
            match self._attempt(request, candidates, watch, claim):
                case result.Ok(started):
                    grant = started.grant
                    trace.add_step(
                        grant.endpoint.name, f"granted by {grant.owner or '-'}"
                    )
                    return result.Ok(started)
                case result.Err(failed):
                    # If an earlier attempt may have run, the caller must not read
                    # "not run", even if the last attempt did not run.
                    ran = failed.refusal.ran
                    if refusal.ran is outcomes.Ran.UNKNOWN:
                        ran = refusal.ran
                    refusal = attrs.evolve(failed.refusal, ran=ran)
                    trace.add_step(failed.endpoint, refusal.message)
            tried.add(failed.endpoint)
            claim_lost = claim is not None and claim.lost
            has_alternative = not claim_lost and bool(
                self.choose_endpoints(request, tried)
            )
            will_retry = has_alternative and self._may_retry(request, failed)
            self._report_crash(request, failed, will_retry)
            if not will_retry:
                break
            self.metrics.count_repeat("retried")
        return result.Err(refusal)

    def resume(self, broken: running_request.RunningRequest) -> bool:
        """Continue a broken stream at another endpoint; see :mod:`resumption`."""
        return self.resumption.resume(broken)

    def release_endpoint(
        self, active_request: running_request.RunningRequest, outcome: slots.Outcome
    ) -> None:
        """Release the slot of a request at its current endpoint.

        :param active_request: the request.
        :param outcome: how the request ended there.
        """
        self.demand.count_end(
            active_request.request.target, active_request.progress.sent_at
        )
        end = active_request.progress.summary(outcome)
        self.metrics.count_answer_end(active_request.request.caller.urgency, end)
        self.release(active_request.grant, end)
        match outcome:
            case slots.Outcome.OK:
                self.suspects.clear(active_request.request)
            case slots.Outcome.CRASHED:
                self.suspects.report_broken(
                    active_request.request, active_request.grant.endpoint
                )

    def finish(self, active_request: running_request.RunningRequest) -> None:
        """Record the end of a request whose response had begun.

        :param active_request: the request.
        """
        request = active_request.request
        waited_s = active_request.progress.caller_first_token_at - request.received_at
        self.metrics.observe_first_token(request.caller.urgency, waited_s)
        self.attainment.count_answer(
            request, active_request.outcome, active_request.progress
        )
        self.decisions.close(request.id, active_request.outcome.name.lower())

    def _report_crash(
        self,
        request: requests.Request,
        failed: failed_attempts.FailedAttempt,
        will_retry: bool,
    ) -> None:
        """Report a broken connection, which may be due to a poison request."""
        if failed.outcome is not slots.Outcome.CRASHED:
            return
        endpoint = self.configuration.index.endpoint_by_name.get(failed.endpoint)
        if endpoint is None:
            return
        if will_retry:
            # A poison request would crash the next endpoint too, so a retry waits
            # for the verdict of the endpoint's owner.
            self.suspects.report_broken_and_wait(request, endpoint)
        else:
            self.suspects.report_broken(request, endpoint)

    def _trace_closed(self, request: requests.Request, trace: decisions.Trace) -> None:
        for name in self.placement.endpoints_holding(request.target):
            trace.add_step(name, self.placement.closed_reason(name) or "already tried")

    def choose_endpoints(
        self, request: requests.Request, tried: set[str]
    ) -> list[catalogue.Endpoint]:
        """Return the open endpoints of a request, the best first.

        :param request: the request.
        :param tried: names of the endpoints to exclude.
        """
        names = self.placement.open_endpoints(request.target)
        names = [name for name in names if name not in tried]
        endpoint_by_name = self.configuration.index.endpoint_by_name
        return [endpoint_by_name[name] for name in self.policy.order(names)]

    def _attempt(
        self,
        request: requests.Request,
        candidates: list[catalogue.Endpoint],
        watch: caller_watch.DisconnectWatch | None,
        claim: claiming.Claim | None,
    ) -> result.Result[running_request.RunningRequest, failed_attempts.FailedAttempt]:
        acquired = self.suspects.check(request).and_then(
            lambda exclusive: self.acquire(request, candidates, exclusive)
        )
        match acquired:
            case result.Ok(grant):
                pass
            case result.Err(refusal):
                return result.Err(failed_attempts.before_send(refusal))
        if watch is not None and (claim or not request.repeatable):
            watch.stop()
        try:
            claimed = claim.acquire() if claim else result.Ok(None)
            sent = claimed.map_err(failed_attempts.before_send).and_then(
                lambda _: self._send(request, grant)
            )
        except BaseException:
            self.release(grant, slots.RequestEnd(slots.Outcome.CANCELLED))
            raise
        if sent.is_err():
            failed = sent.err_value
            end = slots.RequestEnd(failed.outcome, pause_s=failed.pause_s)
            self.release(grant, end)
        name = grant.endpoint.name
        return sent.map_err(lambda failed: attrs.evolve(failed, endpoint=name))

    def acquire(
        self,
        request: requests.Request,
        candidates: list[catalogue.Endpoint],
        exclusive: bool,
    ) -> result.Result[slots.Grant, outcomes.Refusal]:
        """Acquire a slot, to be released with :meth:`release`.

        :param request: the request.
        :param candidates: where the request may run, the best first.
        :param exclusive: whether nothing else may run at the endpoint meanwhile.
        """
        if self.policy.uses_owner:
            acquired = self.slots.acquire(request, *candidates, exclusive=exclusive)
        else:
            acquired = result.Ok(slots.Grant(request.id, candidates[0], ""))
        if acquired.is_ok():
            self.policy.running_by_endpoint[acquired.ok_value.endpoint.name] += 1
        return acquired

    def _send(
        self, request: requests.Request, grant: slots.Grant
    ) -> result.Result[running_request.RunningRequest, failed_attempts.FailedAttempt]:
        adapter = self.health.adapters.get(grant.endpoint.kind)
        sent_at = time.monotonic()
        match adapter.send(grant.endpoint, request):
            case result.Ok(answer):
                pass
            case result.Err(failure):
                return result.Err(failed_attempts.from_send_failure(failure))
        started = running_request.RunningRequest(request, grant, answer, self, sent_at)
        try:
            started.read_start()
        except OSError as error:
            answer.close()
            return result.Err(
                failed_attempts.from_send_failure(
                    endpoints.SendFailure(str(error), may_have_arrived=True)
                )
            )
        except BaseException:
            answer.close()
            raise
        return result.Ok(started)

    def release(self, grant: slots.Grant, end: slots.RequestEnd) -> None:
        """Release a slot.

        :param grant: the grant that :meth:`acquire` returned.
        :param end: how the request ended there.
        """
        self.policy.running_by_endpoint[grant.endpoint.name] -= 1
        self.slots.release(grant, end)

    def _may_retry(
        self, request: requests.Request, failed: failed_attempts.FailedAttempt
    ) -> bool:
        if not failed.endpoint:
            # No owner granted a slot, so a retry would not get one either.
            return False
        if failed.may_have_run and not request.repeatable:
            return False
        return not failed.uses_retry_budget or self.acquire_retry(request)

    def acquire_retry(self, request: requests.Request) -> bool:
        """Spend one retry of the budget, if a request still has time for it.

        :param request: the request.
        :returns: whether the request may be sent again.
        """
        return time.monotonic() < request.deadline and self.retry_budget.acquire()
