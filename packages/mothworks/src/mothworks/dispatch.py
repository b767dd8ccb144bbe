"""Dispatch: takes a request to an endpoint and brings back its answer.

One attempt is: choose an endpoint, get a slot from its owner, send, wait for
the answer's first bytes. Until then a failed attempt may be followed by one
at another endpoint; afterwards the caller has part of the answer.
"""

import time

import attrs
import result

from mothworks import (
    attainment,
    attempts,
    caller_watch,
    catalogue,
    claim_records,
    claiming,
    claims,
    configuration,
    decisions,
    demand,
    endpoints,
    health,
    kernel,
    outcomes,
    path_metrics,
    placement,
    plugins,
    recorded,
    requests,
    resumption,
    retries,
    routing,
    running,
    slots,
    suspects,
)

#: Endpoints that one request may try.
MOST_ATTEMPTS = 3


@plugins.register(plugins.PART, "dispatch")
class Dispatch(kernel.Part):
    """Runs requests.

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
        self.retries = retries.Budget()
        self.metrics = path_metrics.PathMetrics(node_kernel.metrics)
        self.resumption = resumption.Resumption(self)

    def begin(
        self, request: requests.Request, watch: caller_watch.Watch | None = None
    ) -> result.Result[recorded.Running, outcomes.Refusal]:
        """Send a request and wait for its answer's first bytes.

        :param request: the request.
        :param watch: notices that the caller leaves; stopped before work that
            may run only once is sent, so that it is not broken off half-way.
        :returns: the running request, to be closed by the caller.
        """
        self.retries.add_request()
        self.demand.arrived(request.target)
        trace = self.decisions.open(request)
        claim = self.claims.open(request)
        try:
            if claim is None:
                begun = self._try_endpoints(request, trace, watch, None)
            else:
                begun = self._try_claimed(request, trace, watch, claim)
        except BaseException:
            self.decisions.close(request.id, "cancelled")
            raise
        match begun:
            case result.Err(refusal):
                self.decisions.close(request.id, f"refused: {refusal.code}")
                ran = refusal.ran is outcomes.Ran.UNKNOWN
                self.attainment.refused(request, ran)
            case result.Ok(recorded.Replay()):
                self.decisions.close(request.id, "answered from its claim")
        return begun

    def _try_claimed(
        self,
        request: requests.Request,
        trace: decisions.Trace,
        watch: caller_watch.Watch | None,
        claim: claiming.Claim,
    ) -> result.Result[recorded.Running, outcomes.Refusal]:
        """Run a request with a key, unless another copy of it did or does."""
        repeated = claim.find()
        if repeated is not None:
            self.decisions.close(request.id, "resend")
            return repeated.map(recorded.Replay)
        try:
            begun = self._try_endpoints(request, trace, watch, claim)
        except BaseException:
            claim.end(claim_records.State.UNKNOWN)
            raise
        if claim.lost:
            return claim.wait().map(recorded.Replay)
        match begun:
            case result.Ok(answering):
                return result.Ok(recorded.Recorded(answering, claim, self.claims.tasks))
            case result.Err(outcomes.Refusal(ran=outcomes.Ran.NO)):
                claim.end(claim_records.State.RELEASED)
            case result.Err(_):
                claim.end(claim_records.State.UNKNOWN)
        return begun

    def _try_endpoints(
        self,
        request: requests.Request,
        trace: decisions.Trace,
        watch: caller_watch.Watch | None,
        claim: claiming.Claim | None,
    ) -> result.Result[running.Running, outcomes.Refusal]:
        tried: set[str] = set()
        refusal = attempts.no_endpoint(request)
        while len(tried) < MOST_ATTEMPTS:
            choice = self.choose(request, tried)
            if not choice:
                self._explain_closed(request, trace)
                break
            names = ", ".join(endpoint.name for endpoint in choice)
            trace.add("", f"considered, best first: {names}")
            match self._attempt(request, choice, watch, claim):
                case result.Ok(begun):
                    grant = begun.grant
                    trace.add(grant.endpoint.name, f"granted by {grant.owner or '-'}")
                    return result.Ok(begun)
                case result.Err(failed):
                    # An attempt that may have run is not undone by a later
                    # one that did not: the caller must not read "not run".
                    ran = failed.refusal.ran
                    if refusal.ran is outcomes.Ran.UNKNOWN:
                        ran = refusal.ran
                    refusal = attrs.evolve(failed.refusal, ran=ran)
                    trace.add(failed.endpoint, refusal.message)
            tried.add(failed.endpoint)
            lost = claim is not None and claim.lost
            elsewhere = not lost and bool(self.choose(request, tried))
            may_retry = elsewhere and self._may_retry(request, failed)
            self._accuse(request, failed, may_retry)
            if not may_retry:
                break
            self.metrics.repeated("retried")
        return result.Err(refusal)

    def resume(self, stopped: running.Running) -> bool:
        """Continue a broken stream elsewhere; see :mod:`resumption`."""
        return self.resumption.resume(stopped)

    def leave(self, left: running.Running, outcome: slots.Outcome) -> None:
        """Give back the slot at the present endpoint of a request.

        :param left: the request.
        :param outcome: how it ended there.
        """
        self.demand.ended(left.request.target, left.progress.sent)
        end = left.progress.end(outcome)
        self.metrics.ended(left.request.caller.urgency, end)
        self.release(left.grant, end)
        match outcome:
            case slots.Outcome.OK:
                self.suspects.ran_well(left.request)
            case slots.Outcome.CRASHED:
                self.suspects.report(left.request, left.grant.endpoint)

    def finish(self, ended: running.Running) -> None:
        """Note the end of a request whose answer had begun.

        :param ended: the request.
        """
        request = ended.request
        waited_s = ended.progress.begun - request.arrived
        self.metrics.answered(request.caller.urgency, waited_s)
        self.attainment.ended(request, ended.outcome, ended.progress)
        self.decisions.close(request.id, ended.outcome.name.lower())

    def _accuse(
        self, request: requests.Request, failed: attempts.Failed, may_retry: bool
    ) -> None:
        """Report a connection that broke, and wait for the verdict if needed."""
        if failed.outcome is not slots.Outcome.CRASHED:
            return
        endpoint = self.configuration.index.endpoint_by_name.get(failed.endpoint)
        if endpoint is None:
            return
        if may_retry:
            # A poison request would crash the next endpoint too.
            self.suspects.broke(request, endpoint)
        else:
            self.suspects.report(request, endpoint)

    def _explain_closed(
        self, request: requests.Request, trace: decisions.Trace
    ) -> None:
        for name in self.placement.candidates(request.target):
            trace.add(name, self.placement.why_closed(name) or "tried already")

    def choose(
        self, request: requests.Request, tried: set[str]
    ) -> list[catalogue.Endpoint]:
        """Return the open endpoints of a request, the best first.

        :param request: the request.
        :param tried: names of endpoints to leave out.
        """
        names = self.placement.open_endpoints(request.target)
        names = [name for name in names if name not in tried]
        by_name = self.configuration.index.endpoint_by_name
        return [by_name[name] for name in self.policy.order(names)]

    def _attempt(
        self,
        request: requests.Request,
        choice: list[catalogue.Endpoint],
        watch: caller_watch.Watch | None,
        claim: claiming.Claim | None,
    ) -> result.Result[running.Running, attempts.Failed]:
        acquired = self.suspects.check(request).and_then(
            lambda exclusive: self.acquire(request, choice, exclusive)
        )
        match acquired:
            case result.Ok(grant):
                pass
            case result.Err(refusal):
                return result.Err(attempts.not_sent(refusal))
        if watch is not None and (claim or not request.repeatable):
            watch.stop()
        try:
            claimed = claim.take() if claim else result.Ok(None)
            sent = claimed.map_err(attempts.not_sent).and_then(
                lambda _: self._send(request, grant)
            )
        except BaseException:
            self.release(grant, slots.End(slots.Outcome.CANCELLED))
            raise
        if sent.is_err():
            self.release(grant, slots.End(sent.err_value.outcome))
        name = grant.endpoint.name
        return sent.map_err(lambda failed: attrs.evolve(failed, endpoint=name))

    def acquire(
        self,
        request: requests.Request,
        choice: list[catalogue.Endpoint],
        exclusive: bool,
    ) -> result.Result[slots.Grant, outcomes.Refusal]:
        """Get a slot, to be given back by :meth:`release`.

        :param request: the request.
        :param choice: where it may run, the best first.
        :param exclusive: whether it has to run with no other beside it.
        """
        if self.policy.asks_owner:
            acquired = self.slots.acquire(request, *choice, exclusive=exclusive)
        else:
            acquired = result.Ok(slots.Grant(request.id, choice[0], ""))
        if acquired.is_ok():
            self.policy.running_by_endpoint[acquired.ok_value.endpoint.name] += 1
        return acquired

    def _send(
        self, request: requests.Request, grant: slots.Grant
    ) -> result.Result[running.Running, attempts.Failed]:
        adapter = self.health.adapters.get(grant.endpoint.kind)
        sent = time.monotonic()
        match adapter.send(grant.endpoint, request):
            case result.Ok(answer):
                pass
            case result.Err(failure):
                return result.Err(attempts.failed(failure))
        begun = running.Running(request, grant, answer, self, sent)
        try:
            begun.read_start()
        except OSError as error:
            answer.close()
            return result.Err(
                attempts.failed(endpoints.SendFailure(str(error), sent=True))
            )
        except BaseException:
            answer.close()
            raise
        return result.Ok(begun)

    def release(self, grant: slots.Grant, end: slots.End) -> None:
        """Give back a slot.

        :param grant: what :meth:`acquire` returned.
        :param end: how the request ended there.
        """
        self.policy.running_by_endpoint[grant.endpoint.name] -= 1
        self.slots.release(grant, end)

    def _may_retry(self, request: requests.Request, failed: attempts.Failed) -> bool:
        if not failed.endpoint:
            # The owners of all endpoints worth asking have refused.
            return False
        if failed.sent and not request.repeatable:
            return False
        return not failed.counted or self.may_repeat(request)

    def may_repeat(self, request: requests.Request) -> bool:
        """Return whether there is time and budget to send a request again.

        :param request: the request; the budget is spent.
        """
        return time.monotonic() < request.deadline and self.retries.take()
