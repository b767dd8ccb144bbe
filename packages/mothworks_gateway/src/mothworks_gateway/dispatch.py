"""Dispatch: takes a request to an endpoint and brings back its answer.

An attempt chooses an endpoint, sends the request once and reads the head of
the answer. What follows depends on what is known then: a request that has
not run may be refused or sent again; one that may have run is sent again only
if it is repeatable, and is never answered as if it had not run.
"""

import time

import attrs
import gevent
import logbook
import result

from mothworks import caller_watch, kernel, logs, outcomes, transport
from mothworks_gateway import (
    adapters,
    answering,
    asked,
    budget,
    choice,
    endpoints_client,
    health,
    load,
    poison,
    registry,
    residency,
)

log = logbook.Logger("dispatch")

#: Time kept back from the caller's deadline for the answer's way, seconds.
RETURN_S = 0.02
#: Least time that makes sending a request worthwhile, seconds.
LEAST_S = 0.015
#: Pause before an endpoint that was full is asked again, seconds.
FULL_PAUSE_S = 0.03
#: Share of the time a caller has that it may wait for an endpoint to hold its
#: model, and the least such time as a multiple of the objective. Past that, a
#: refusal lets the caller come back while there is time.
WAIT_SHARE = 0.5
MOST_WAIT_SHARE = 0.7
WAIT_OBJECTIVES = 1.5
#: Share of a caller's patience after which nothing that begins reaches it.
PATIENCE_SHARE = 0.9
#: Time before the end of a VM that stops at which nothing waits any more, seconds.
STOP_S = 2.5
#: Time to wait for any endpoint of a service to appear, as a share of the
#: objective.
EMPTY_SHARE = 0.12
#: Hint to a caller that found no endpoint, seconds.
EMPTY_RETRY_S = 0.5
#: Hint to a caller whose model was not loaded in time, seconds.
ABSENT_RETRY_S = 1.0
#: Hint to a caller that met full endpoints, seconds.
FULL_RETRY_S = 0.3
#: Share of the objective after which a repeatable plain request that is not
#: answered is sent to another endpoint.
HEDGE_SHARE = 0.6
#: Least such time, seconds.
LEAST_HEDGE_S = 0.05


@attrs.define
class _Course:
    """What has happened to a request so far.

    :param tried: ids of endpoints that it was sent to.
    :param may_have_run: whether one of them may have run it.
    :param sends: how often it was sent.
    :param reason: what stopped the last attempt.
    """

    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    sends: int = 0
    reason: str = "no endpoint"


class Dispatch(kernel.Part):
    """Runs requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.engines = node_kernel.get(endpoints_client.EndpointsClient).engines
        self.registry = node_kernel.get(choice.Choice).registry
        self.choice = node_kernel.get(choice.Choice)
        self.health = node_kernel.get(health.Health)
        self.load = node_kernel.get(load.Load)
        self.budget = node_kernel.get(budget.Budget)
        self.poison = node_kernel.get(poison.Poison)
        self.residency = node_kernel.get(residency.Residency)
        self.head_seconds = node_kernel.metrics.seconds(
            "head_seconds", "Time from a request's arrival to its answer's head."
        )
        self.requests_total = node_kernel.metrics.counter(
            "requests_total", "Requests by service and outcome."
        )

    def run(
        self, request: asked.Asked, watch: caller_watch.Watch | None
    ) -> result.Result[answering.Reply, outcomes.Refusal]:
        """Run a request and return its answer, the body still to come.

        :param request: the request.
        :param watch: notices that the caller leaves.
        """
        self.budget.add_request(request.target.service)
        self.load.arrive(request)
        course = _Course()
        while True:
            if self.poison.convicted(request):
                course.reason = "it broke several endpoints"
                return self._refuse(request, course, 503, None)
            endpoint = self._find(request, course)
            if isinstance(endpoint, outcomes.Refusal):
                return result.Err(endpoint)
            reply = self._attempt(request, endpoint, course)
            if reply is not None:
                self._count(request, "answered")
                return result.Ok(reply)
            if not self._may_go_on(request, course):
                return self._give_up(request, course)

    def _find(
        self, request: asked.Asked, course: _Course
    ) -> registry.Endpoint | outcomes.Refusal:
        """Return where to send a request, waiting for its model if needed."""
        empty_until = time.monotonic() + EMPTY_SHARE * request.route.objective_s
        while True:
            now = time.monotonic()
            wait_until = self._wait_until(request)
            if request.deadline - now < LEAST_S:
                course.reason = f"{course.reason}; out of time"
                return self._give_up(request, course).err_value
            found = self.choice.candidates(request)
            allowed = self._allowed(request, course, found.ready)
            if allowed:
                return allowed[0]
            if not found.all:
                if now >= empty_until:
                    course.reason = "no endpoint of the service"
                    return self._refuse(request, course, 503, EMPTY_RETRY_S).err_value
                self.residency.changed.wait(empty_until - now)
                continue
            if found.ready:
                # Held only where it must not be sent; the caller may come back.
                return self._refuse(request, course, 503, FULL_RETRY_S).err_value
            ready_in_s = self._ready_in_s(request, found)
            if ready_in_s is not None:
                wait_until = now + ready_in_s
                if wait_until > self._reached_until(request):
                    # The caller would leave before its answer begins. Told when
                    # to come back, it finds its model there.
                    course.reason = f"its model is ready in {ready_in_s:.1f} s"
                    return self._refuse(request, course, 503, ready_in_s).err_value
            if now >= wait_until:
                course.reason = f"{course.reason}; not held in time"
                return self._refuse(request, course, 503, ABSENT_RETRY_S).err_value
            self.residency.wait(request, wait_until - now)

    def _ready_in_s(
        self, request: asked.Asked, found: choice.Candidates
    ) -> float | None:
        """Return the time until a model that is nowhere is loaded, if known."""
        target = request.target
        if any(item.holds(target.model, "") for item in found.all):
            # Only its adapter is missing, which takes milliseconds.
            return None
        return self.residency.ready_in_s(target)

    def _allowed(
        self,
        request: asked.Asked,
        course: _Course,
        ready: tuple[registry.Endpoint, ...],
    ) -> list[registry.Endpoint]:
        """Return the endpoints that a request may still be sent to."""
        if len(course.tried) < request.route.most_endpoints:
            fresh = [item for item in ready if item.id not in course.tried]
            if fresh:
                return fresh
        if course.may_have_run and not request.route.repeatable:
            return []
        return [item for item in ready if item.id in course.tried]

    def _reached_until(self, request: asked.Asked) -> float:
        """Return the time until which an answer that begins reaches its caller."""
        patience = request.route.patience_s * PATIENCE_SHARE
        latest = min(request.deadline, request.arrived + patience)
        return min(latest, self.kernel.drain_deadline - STOP_S)

    def _wait_until(self, request: asked.Asked) -> float:
        left = self._reached_until(request) - request.arrived
        objectives = WAIT_OBJECTIVES * request.route.objective_s
        waits = min(MOST_WAIT_SHARE * left, max(WAIT_SHARE * left, objectives))
        # A VM that stops must answer before it ends.
        return min(request.arrived + waits, self.kernel.drain_deadline - STOP_S)

    def _attempt(
        self, request: asked.Asked, endpoint: registry.Endpoint, course: _Course
    ) -> answering.Reply | None:
        """Send a request once; returns its answer, or notes why there is none."""
        course.tried.add(endpoint.id)
        course.sends += 1
        began = time.monotonic()
        self.load.begin(endpoint, request.target)
        kept = False
        try:
            reply = self._send(request, endpoint, course, began)
            kept = reply is not None
            return reply
        finally:
            if not kept:
                self.load.end(endpoint, request.target)
            logs.event(
                log,
                "sent",
                request=request.id,
                route=request.route.name,
                version=request.declaration_version,
                endpoint=endpoint.id,
                model=request.target.model,
                adapter=request.target.adapter,
                attempt=course.sends,
                running=self.load.of_endpoint(endpoint.id),
                left_ms=round((request.deadline - began) * 1000),
                took_ms=round((time.monotonic() - began) * 1000, 1),
                outcome="answer begun" if kept else course.reason,
            )

    def _send(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        course: _Course,
        began: float,
    ) -> answering.Reply | None:
        left_s = request.deadline - began - RETURN_S
        head_by = request.deadline
        if self._hedges(request, course):
            patience = max(LEAST_HEDGE_S, HEDGE_SHARE * request.route.objective_s)
            head_by = min(head_by, began + patience)
        sent = self.engines.send(endpoint, request, left_s, head_by)
        match sent:
            case result.Err(failure):
                return self._note_failure(request, endpoint, course, failure)
            case result.Ok(answer):
                pass
        verdict = self.engines.judge(request, answer)
        if verdict not in (adapters.Verdict.ANSWER, adapters.Verdict.FAILED):
            answer.close()
            self._note_verdict(request, endpoint, course, verdict)
            return None
        failed = verdict is adapters.Verdict.FAILED
        if failed and self._hedges(request, course):
            answer.close()
            self.health.failed(endpoint, f"status {answer.status}", 0.5)
            course.may_have_run = True
            course.reason = f"status {answer.status}"
            return None
        return self._read(request, endpoint, course, answer, verdict, began)

    def _read(
        self, request, endpoint, course, answer, verdict, began
    ) -> answering.Reply | None:
        """Turn an answer into a reply; plain ones are read whole first."""
        took = time.monotonic() - began
        running = answering.Running(self, request, endpoint, answer)
        if request.route.streaming and verdict is adapters.Verdict.ANSWER:
            self.health.succeeded(endpoint, took)
            if took > request.route.objective_s:
                self.load.note_late(request.target)
            self.head_seconds.observe(
                {"service": request.target.service}, time.monotonic() - request.arrived
            )
            return answering.Reply(answer.status, answer.headers, running)
        match transport.whole(answer):
            case result.Ok(body):
                pass
            case result.Err(reason):
                answer.close()
                self._note_break(request, endpoint, course, reason)
                return None
        answer.close()
        self.load.end(endpoint, request.target)
        if verdict is adapters.Verdict.ANSWER:
            self.health.succeeded(endpoint, time.monotonic() - began)
            self.poison.ran_well(request)
        else:
            self.health.failed(endpoint, f"status {answer.status}", 0.5)
        self.head_seconds.observe(
            {"service": request.target.service}, time.monotonic() - request.arrived
        )
        return answering.Reply(answer.status, answer.headers, [body])

    def _hedges(self, request: asked.Asked, course: _Course) -> bool:
        """Return whether a slow attempt should make way for another one."""
        return (
            request.route.repeatable
            and not request.route.streaming
            and len(course.tried) < request.route.most_endpoints
            and len(self.registry.of_service(request.target.service)) > 1
        )

    def _note_failure(self, request, endpoint, course, failure) -> None:
        course.reason = failure.reason[:80]
        if not failure.sent:
            # Nothing left this VM, so the endpoint was not tried at all.
            course.tried.discard(endpoint.id)
            self.health.failed(endpoint, failure.reason)
            self.health.failed(endpoint, failure.reason)
            return
        self._note_break(request, endpoint, course, failure.reason)

    def _note_break(self, request, endpoint, course, reason: str) -> None:
        course.may_have_run = True
        course.reason = reason[:80]
        self.health.failed(endpoint, reason)
        if "timed out" not in reason and "late" not in reason:
            self.poison.broke(request, endpoint)

    def _note_verdict(self, request, endpoint, course, verdict) -> None:
        course.reason = verdict.value
        match verdict:
            case adapters.Verdict.ABSENT:
                self.residency.missed(endpoint, request.target)
            case adapters.Verdict.MISDIRECTED:
                self.registry.dismiss(endpoint, "its address is another's")
            case adapters.Verdict.FOREIGN:
                course.may_have_run = True
                self.health.failed(endpoint, "not an answer to the request")
            case adapters.Verdict.BUSY:
                gevent.sleep(FULL_PAUSE_S)

    def _may_go_on(self, request: asked.Asked, course: _Course) -> bool:
        if course.may_have_run and not request.route.repeatable:
            return False
        if time.monotonic() + LEAST_S > request.deadline:
            return False
        return self.budget.take(request.target.service)

    def _give_up(
        self, request: asked.Asked, course: _Course
    ) -> result.Result[answering.Reply, outcomes.Refusal]:
        if not course.may_have_run:
            return self._refuse(request, course, 503, FULL_RETRY_S)
        late = time.monotonic() + LEAST_S > request.deadline
        return self._refuse(request, course, 504 if late else 502, None)

    def _refuse(
        self,
        request: asked.Asked,
        course: _Course,
        status: int,
        retry_after: float | None,
    ) -> result.Result[answering.Reply, outcomes.Refusal]:
        ran = outcomes.Ran.NO
        if course.may_have_run:
            # A 503 would promise that the request has not run.
            ran, retry_after = outcomes.Ran.UNKNOWN, None
            status = status if status in (502, 504) else 502
        refusal = outcomes.Refusal(
            status, "not_served", course.reason, ran, retry_after
        )
        self._count(request, f"refused {status}")
        logs.event(
            log,
            "refused",
            request=request.id,
            route=request.route.name,
            version=request.declaration_version,
            model=request.target.model,
            adapter=request.target.adapter,
            sends=course.sends,
            may_have_run=course.may_have_run,
            held_ms=round((time.monotonic() - request.arrived) * 1000),
            reason=course.reason,
            outcome=status,
        )
        return result.Err(refusal)

    def _count(self, request: asked.Asked, outcome: str) -> None:
        labels = {"service": request.target.service, "outcome": outcome}
        self.requests_total.inc(labels)
