"""Dispatch: takes a request to an endpoint and brings back its answer.

One attempt is: choose an endpoint, get a slot from its owner, send, wait for
the answer's first bytes. Until then a failed attempt may be followed by one
at another endpoint; afterwards the caller has part of the answer.
"""

import collections.abc
import time

import attrs
import result

from mothworks import (
    caller_watch,
    catalogue,
    claim_records,
    claims,
    configuration,
    decisions,
    demand,
    endpoints,
    health,
    kernel,
    outcomes,
    placement,
    plugins,
    progress,
    recorded,
    requests,
    retries,
    routing,
    slots,
)

#: Endpoints that one request may try.
MOST_ATTEMPTS = 3
#: Hint to a caller where a model has no endpoint now, seconds.
NO_ENDPOINT_RETRY_S = 2.0
#: Hint to a caller whose request an endpoint refused, seconds.
REFUSED_RETRY_S = 1.0


@attrs.frozen
class Failed:
    """An attempt that gave no answer.

    :param refusal: what the caller is told, unless another attempt succeeds.
    :param sent: whether the endpoint may have run the request.
    :param counted: whether a further attempt is paid from the retry budget.
    :param outcome: what the endpoint's owner is told.
    :param endpoint: where it was tried; empty where no endpoint gave a slot.
    """

    refusal: outcomes.Refusal
    sent: bool
    counted: bool
    outcome: slots.Outcome
    endpoint: str = ""


class Running:
    """A request whose answer has begun.

    Iterating yields the answer's body; :meth:`close` must be called in any
    case, cancels what has not arrived, and gives the slot back.

    :param request: the request.
    :param grant: the slot that it holds.
    :param answer: the endpoint's answer.
    :param dispatch: where the end is reported.
    :param began: monotonic time at which it was sent, seconds.
    """

    def __init__(
        self,
        request: requests.Request,
        grant: slots.Grant,
        answer: endpoints.Answer,
        dispatch: "Dispatch",
        began: float,
    ):
        self.request = request
        self.grant = grant
        self.answer = answer
        self.dispatch = dispatch
        self.stream = request.stream and answer.status == 200
        self.progress = progress.Progress(self.stream, began)
        self.outcome = slots.Outcome.CANCELLED
        self.closed = False
        self._chunks = answer.chunks()
        self._first = b""

    def read_first(self) -> None:
        """Wait for the body's first bytes; raises OSError where it breaks."""
        for data in self._chunks:
            self._first = self.progress.take(data)
            if self._first:
                return
        self._check_complete()

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body; raises OSError where the answer breaks off."""
        take = self.progress.take
        try:
            if self._first:
                yield self._first
            for data in self._chunks:
                yield take(data)
            self._check_complete()
        except OSError:
            self.outcome = slots.Outcome.CRASHED
            raise
        self.outcome = slots.Outcome.OK

    def close(self) -> None:
        """Release the connection and the slot; further calls do nothing."""
        if not self.closed:
            self.closed = True
            self.answer.close()
            self.dispatch.finish(self)

    def _check_complete(self) -> None:
        # An engine that is stopped may end its stream cleanly. Without this
        # check the caller would take the part that came for the whole.
        if not self.progress.complete():
            raise ConnectionResetError("the stream ended before its last event")


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
        self.decisions = node_kernel.get(decisions.Decisions)
        chosen = node_kernel.settings.routing
        self.policy: routing.Policy = plugins.find(plugins.ROUTING, chosen)()
        self.retries = retries.Budget()

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
        if begun.is_err():
            self.decisions.close(request.id, f"refused: {begun.err_value.code}")
        return begun

    def _try_claimed(
        self,
        request: requests.Request,
        trace: decisions.Trace,
        watch: caller_watch.Watch | None,
        claim: claims.Claim,
    ) -> result.Result[recorded.Running, outcomes.Refusal]:
        """Run a request with a key, unless another copy of it did or does."""
        repeated = claim.find()
        if repeated is not None:
            return repeated.map(recorded.Replay)
        try:
            begun = self._try_endpoints(request, trace, watch, claim)
        except BaseException:
            claim.end(claim_records.State.UNKNOWN)
            raise
        if claim.lost:
            return claim.wait().map(recorded.Replay)
        match begun:
            case result.Ok(running):
                return result.Ok(recorded.Recorded(running, claim, self.claims.tasks))
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
        claim: claims.Claim | None,
    ) -> result.Result[Running, outcomes.Refusal]:
        tried: set[str] = set()
        refusal = _no_endpoint(request)
        while len(tried) < MOST_ATTEMPTS:
            choice = self._choose(request, tried)
            if not choice:
                self._explain_closed(request, trace)
                break
            match self._attempt(request, choice, watch, claim):
                case result.Ok(running):
                    grant = running.grant
                    trace.add(grant.endpoint.name, f"granted by {grant.owner or '-'}")
                    return result.Ok(running)
                case result.Err(failed):
                    # An attempt that may have run is not undone by a later
                    # one that did not: the caller must not read "not run".
                    ran = failed.refusal.ran
                    if refusal.ran is outcomes.Ran.UNKNOWN:
                        ran = refusal.ran
                    refusal = attrs.evolve(failed.refusal, ran=ran)
                    trace.add(failed.endpoint, refusal.message)
            tried.add(failed.endpoint)
            if (claim and claim.lost) or not self._may_retry(request, failed):
                break
        return result.Err(refusal)

    def finish(self, running: Running) -> None:
        """Report the end of a request whose answer had begun.

        :param running: the request.
        """
        self.demand.ended(running.request.target, running.progress.sent)
        self._release(running.grant, running.progress.end(running.outcome))
        self.decisions.close(running.request.id, running.outcome.name.lower())

    def _explain_closed(
        self, request: requests.Request, trace: decisions.Trace
    ) -> None:
        for name in self.placement.candidates(request.target):
            trace.add(name, self.placement.why_closed(name) or "tried already")

    def _choose(
        self, request: requests.Request, tried: set[str]
    ) -> list[catalogue.Endpoint]:
        names = self.placement.open_endpoints(request.target)
        names = [name for name in names if name not in tried]
        by_name = self.configuration.index.endpoint_by_name
        return [by_name[name] for name in self.policy.order(names)]

    def _attempt(
        self,
        request: requests.Request,
        choice: list[catalogue.Endpoint],
        watch: caller_watch.Watch | None,
        claim: claims.Claim | None,
    ) -> result.Result[Running, Failed]:
        match self._acquire(request, choice):
            case result.Ok(grant):
                pass
            case result.Err(refusal):
                return result.Err(_not_sent(refusal))
        if watch is not None and (claim or not request.repeatable):
            watch.stop()
        try:
            claimed = claim.take() if claim else result.Ok(None)
            sent = claimed.map_err(_not_sent).and_then(
                lambda _: self._send(request, grant)
            )
        except BaseException:
            self._release(grant, slots.End(slots.Outcome.CANCELLED))
            raise
        if sent.is_err():
            self._release(grant, slots.End(sent.err_value.outcome))
        name = grant.endpoint.name
        return sent.map_err(lambda failed: attrs.evolve(failed, endpoint=name))

    def _acquire(
        self, request: requests.Request, choice: list[catalogue.Endpoint]
    ) -> result.Result[slots.Grant, outcomes.Refusal]:
        if self.policy.asks_owner:
            acquired = self.slots.acquire(request, *choice)
        else:
            acquired = result.Ok(slots.Grant(request.id, choice[0], ""))
        if acquired.is_ok():
            self.policy.running_by_endpoint[acquired.ok_value.endpoint.name] += 1
        return acquired

    def _send(
        self, request: requests.Request, grant: slots.Grant
    ) -> result.Result[Running, Failed]:
        adapter = self.health.adapters.get(grant.endpoint.kind)
        began = time.monotonic()
        match adapter.send(grant.endpoint, request):
            case result.Ok(answer):
                pass
            case result.Err(failure):
                return result.Err(_failed(failure))
        running = Running(request, grant, answer, self, began)
        try:
            running.read_first()
        except OSError as error:
            answer.close()
            return result.Err(_failed(endpoints.SendFailure(str(error), sent=True)))
        except BaseException:
            answer.close()
            raise
        return result.Ok(running)

    def _release(self, grant: slots.Grant, end: slots.End) -> None:
        self.policy.running_by_endpoint[grant.endpoint.name] -= 1
        self.slots.release(grant, end)

    def _may_retry(self, request: requests.Request, failed: Failed) -> bool:
        if not failed.endpoint:
            # The owners of all endpoints worth asking have refused.
            return False
        if failed.sent and not request.repeatable:
            return False
        if time.monotonic() >= request.deadline:
            return False
        return not failed.counted or self.retries.take()


def _no_endpoint(request: requests.Request) -> outcomes.Refusal:
    message = f"no endpoint takes work for {request.target!r} now"
    return outcomes.overloaded(message, NO_ENDPOINT_RETRY_S, "no_endpoint")


def _not_sent(refusal: outcomes.Refusal) -> Failed:
    return Failed(refusal, False, False, slots.Outcome.CANCELLED)


def _failed(failure: endpoints.SendFailure) -> Failed:
    if failure.sent and not failure.refused:
        message = f"the endpoint gave no answer: {failure.reason}"
        return Failed(outcomes.unknown(message), True, True, slots.Outcome.CRASHED)
    message = f"the endpoint did not take the request: {failure.reason}"
    refusal = outcomes.overloaded(message, REFUSED_RETRY_S)
    return Failed(refusal, False, True, slots.Outcome.FAILED)
