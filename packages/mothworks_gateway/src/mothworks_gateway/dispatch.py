"""Dispatch: takes a request to an endpoint and brings back its answer.

It finds an endpoint, waiting for the request's model if needed, and has an
attempt made. What follows depends on what is known then: a request that has
not run may be refused or sent again; one that may have run is sent again only
if it is repeatable, and is never answered as if it had not run.
"""

import time

import logbook
import result

from mothworks import calls, kernel, logs, outcomes
from mothworks_gateway import (
    asked,
    attempts,
    budget,
    choice,
    load,
    poison,
    registry,
    residency,
    send_slots,
    turns,
)

log = logbook.Logger("dispatch")

#: Least time that makes sending a request worthwhile, seconds.
LEAST_S = 0.015
#: Share of the time a caller has that it may wait for an endpoint to hold its
#: model, and the least such time as a multiple of the objective. Past that, a
#: refusal lets the caller come back while there is time.
WAIT_SHARE = 0.5
MOST_WAIT_SHARE = 0.7
WAIT_OBJECTIVES = 1.5
#: Share of a caller's timeout after which nothing that begins reaches it.
CALLER_TIMEOUT_SHARE = 0.9
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


class Dispatch(kernel.Part):
    """Runs requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.attempts = node_kernel.get(attempts.Attempts)
        self.choice = node_kernel.get(choice.Choice)
        self.load = node_kernel.get(load.Load)
        self.budget = node_kernel.get(budget.Budget)
        self.poison = node_kernel.get(poison.Poison)
        self.residency = node_kernel.get(residency.Residency)
        self.slots = node_kernel.get(send_slots.SendSlots)
        self.turns = node_kernel.get(turns.Turns)
        self.requests_total = node_kernel.metrics.counter(
            "requests_total", "Requests by service and outcome."
        )

    def run(self, request: asked.Asked) -> result.Result[calls.Reply, outcomes.Refusal]:
        """Run a request and return its answer, the body still to come.

        :param request: the request.
        """
        self.budget.add_request(request.target.service)
        self.load.arrive(request)
        course = attempts.Course()
        while True:
            if self.poison.convicted(request):
                course.reason = "it broke several endpoints"
                return self._refuse(request, course, 503, None)
            match self._find(request, course):
                case result.Ok(slot):
                    endpoint = slot.endpoint
                    with self.load.counted(endpoint, request.target):
                        may_send = self.slots.wait(slot)
                        if may_send:
                            self.turns.wait(request, endpoint)
                    if not (may_send and _takes(endpoint, request.target)):
                        # It left, dropped the model or lowered its limit meanwhile.
                        continue
                    reply = self.attempts.make(request, endpoint, course)
                case result.Err() as refused:
                    return refused
            if reply is not None:
                self._count(request, "answered")
                return result.Ok(reply)
            if not self._may_go_on(request, course):
                return self._give_up(request, course)

    def _find(
        self, request: asked.Asked, course: attempts.Course
    ) -> result.Result[send_slots.SendSlot, outcomes.Refusal]:
        """Return where and when to send a request, waiting for its model if needed."""
        empty_until = time.monotonic() + EMPTY_SHARE * request.route.objective_s
        while True:
            now = time.monotonic()
            if request.deadline - now < LEAST_S:
                course.reason = f"{course.reason}; out of time"
                return self._give_up(request, course)
            found = self.choice.candidates(request)
            allowed = self._allowed(request, course, found.ready)
            if allowed:
                return self._find_slot(request, course, allowed)
            if found.ready:
                # Held only where it must not be sent; the caller may come back.
                return self._refuse(request, course, 503, FULL_RETRY_S)
            if found.all:
                refused = self._wait_for_model(request, course, found, now)
            else:
                refused = self._wait_for_endpoints(request, course, empty_until - now)
            if refused is not None:
                return refused

    def _find_slot(
        self,
        request: asked.Asked,
        course: attempts.Course,
        allowed: list[registry.Endpoint],
    ) -> result.Result[send_slots.SendSlot, outcomes.Refusal]:
        """Return a slot at one of some endpoints, or refuse the request at once."""
        most_wait_s = self._wait_until(request) - time.monotonic()
        match self.slots.acquire(request, allowed, most_wait_s):
            case result.Err(full):
                course.reason = (
                    f"{full.endpoint.id} takes {full.per_s:g} requests a second "
                    f"(told {full.age_s:.1f} s ago): {full.reason}"
                )
                return self._refuse(request, course, 503, full.retry_after_s)
            case found:
                return found

    def _wait_for_endpoints(
        self, request: asked.Asked, course: attempts.Course, seconds: float
    ) -> result.Err[outcomes.Refusal] | None:
        """Wait until endpoints come or go; returns a refusal once that is in vain."""
        if seconds <= 0:
            course.reason = "no endpoint of the service"
            return self._refuse(request, course, 503, EMPTY_RETRY_S)
        self.residency.changed.wait(seconds)
        return None

    def _wait_for_model(
        self,
        request: asked.Asked,
        course: attempts.Course,
        found: choice.Candidates,
        now: float,
    ) -> result.Err[outcomes.Refusal] | None:
        """Wait until a model may be held; returns a refusal once that is in vain."""
        wait_until = self._wait_until(request)
        ready_in_s = self._ready_in_s(request, found)
        if ready_in_s is not None:
            wait_until = now + ready_in_s
            if wait_until > self._reached_until(request):
                # The caller would leave before its answer begins. Told when to come
                # back, it finds its model there.
                course.reason = f"its model is ready in {ready_in_s:.1f} s"
                return self._refuse(request, course, 503, ready_in_s)
        if now >= wait_until:
            course.reason = f"{course.reason}; not held in time"
            return self._refuse(request, course, 503, ABSENT_RETRY_S)
        self.residency.wait(request, wait_until - now)
        return None

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
        course: attempts.Course,
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
        timeout_s = request.route.caller_timeout_s * CALLER_TIMEOUT_SHARE
        latest = min(request.deadline, request.arrived + timeout_s)
        return min(latest, self.kernel.drain_deadline - STOP_S)

    def _wait_until(self, request: asked.Asked) -> float:
        left = self._reached_until(request) - request.arrived
        objectives = WAIT_OBJECTIVES * request.route.objective_s
        waits = min(MOST_WAIT_SHARE * left, max(WAIT_SHARE * left, objectives))
        # A VM that stops must answer before it ends.
        return min(request.arrived + waits, self.kernel.drain_deadline - STOP_S)

    def _may_go_on(self, request: asked.Asked, course: attempts.Course) -> bool:
        if course.may_have_run and not request.route.repeatable:
            return False
        if time.monotonic() + LEAST_S > request.deadline:
            return False
        return self.budget.take(request.target.service)

    def _give_up(
        self, request: asked.Asked, course: attempts.Course
    ) -> result.Err[outcomes.Refusal]:
        if not course.may_have_run:
            return self._refuse(request, course, 503, FULL_RETRY_S)
        late = time.monotonic() + LEAST_S > request.deadline
        return self._refuse(request, course, 504 if late else 502, None)

    def _refuse(
        self,
        request: asked.Asked,
        course: attempts.Course,
        status: int,
        retry_after: float | None,
    ) -> result.Err[outcomes.Refusal]:
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


def _takes(endpoint: registry.Endpoint, target: asked.Target) -> bool:
    return endpoint.open and endpoint.holds(target.model, target.adapter)
