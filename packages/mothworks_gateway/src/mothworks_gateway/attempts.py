"""Attempts: one sending of a request to one endpoint, and what came of it.

What an attempt shows of its endpoint is noted at once: for health, for poison
requests, for what the endpoint holds. What it means for the request is kept in
its course, from which the dispatch decides whether to go on.
"""

import time

import attrs
import gevent
import logbook
import result

from mothworks import calls, endpoints, kernel, logs, transport
from mothworks_gateway import (
    adapters,
    answering,
    asked,
    budget,
    choice,
    endpoint_limits,
    endpoints_client,
    health,
    load,
    poison,
    reading,
    registry,
    residency,
    send_slots,
)

log = logbook.Logger("attempts")

#: Time kept back from the caller's deadline for the answer's way, seconds.
RETURN_S = 0.02
#: Pause before an endpoint that was full is asked again, seconds.
FULL_PAUSE_S = 0.03
#: Share of the objective after which a repeatable plain request that is not
#: answered is sent to another endpoint.
HEDGE_SHARE = 0.6
#: Least such time, seconds.
LEAST_HEDGE_S = 0.05
#: Weight of an error that the endpoint itself answered: some requests cause it.
ERROR_WEIGHT = 0.5


@attrs.define
class Course:
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


class Attempts(kernel.Part):
    """Sends requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.choice = node_kernel.get(choice.Choice)
        self.registry = self.choice.registry
        self.health = node_kernel.get(health.Health)
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        self.slots = node_kernel.get(send_slots.SendSlots)
        self.load = node_kernel.get(load.Load)
        self.budget = node_kernel.get(budget.Budget)
        self.poison = node_kernel.get(poison.Poison)
        self.reading = node_kernel.get(reading.Reading)
        self.residency = node_kernel.get(residency.Residency)
        self.head_seconds = node_kernel.metrics.seconds(
            "head_seconds", "Time from a request's arrival to its answer's head."
        )

    def make(
        self, request: asked.Asked, endpoint: registry.Endpoint, course: Course
    ) -> calls.Reply | None:
        """Send a request once.

        :param request: the request.
        :param endpoint: where to.
        :param course: takes what happens.
        :returns: its answer; None where there is none, as the course says.
        """
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
        course: Course,
        began: float,
    ) -> calls.Reply | None:
        left_s = request.deadline - began - RETURN_S
        head_by = request.deadline
        if self._hedges(request, course):
            hedge_after_s = max(LEAST_HEDGE_S, HEDGE_SHARE * request.route.objective_s)
            head_by = min(head_by, began + hedge_after_s)
        sent = self.protocol.send(endpoint, request, left_s, head_by)
        match sent:
            case result.Err(failure):
                return self._note_failure(request, endpoint, course, failure)
            case result.Ok(answer):
                pass
        verdict = self.protocol.judge(request, answer)
        self.note_limit(request, endpoint, answer, verdict, began)
        if verdict not in (adapters.Verdict.ANSWER, adapters.Verdict.FAILED):
            answer.close()
            self._note_verdict(request, endpoint, course, verdict)
            return None
        failed = verdict is adapters.Verdict.FAILED
        if failed and self._hedges(request, course):
            answer.close()
            self.health.failed(endpoint, f"status {answer.status}", ERROR_WEIGHT)
            course.may_have_run = True
            course.reason = f"status {answer.status}"
            return None
        return self._read(request, endpoint, course, answer, verdict, began)

    def note_limit(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
        verdict: adapters.Verdict,
        sent_at: float,
    ) -> None:
        """Take what an answer says of its endpoint's limit.

        :param request: what was sent.
        :param endpoint: where to.
        :param answer: the answer.
        :param verdict: what its head says.
        :param sent_at: monotonic time of sending.
        """
        if verdict not in (adapters.Verdict.FOREIGN, adapters.Verdict.MISDIRECTED):
            ran = verdict is adapters.Verdict.ANSWER
            self.limits.observe(endpoint, answer, sent_at, request.id, ran)

    def _read(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        course: Course,
        answer: transport.HttpAnswer,
        verdict: adapters.Verdict,
        began: float,
    ) -> calls.Reply | None:
        """Turn an answer into a reply; plain ones are read whole first."""
        if request.route.streaming and verdict is adapters.Verdict.ANSWER:
            took = time.monotonic() - began
            self.health.succeeded(endpoint, took)
            self.reading.note(request, took)
            if took > request.route.objective_s:
                self.load.note_late(request.target)
            body = answering.Running(self, request, endpoint, answer)
            return self._reply(request, answer, body)
        read = transport.whole(answer)
        if read.is_err():
            self._note_break(request, endpoint, course, read.err_value)
            return None
        self.load.end(endpoint, request.target)
        if verdict is adapters.Verdict.ANSWER:
            self.health.succeeded(endpoint, time.monotonic() - began)
            self.poison.ran_well(request)
        else:
            self.health.failed(endpoint, f"status {answer.status}", ERROR_WEIGHT)
        return self._reply(request, answer, [read.ok_value])

    def _reply(
        self, request: asked.Asked, answer: transport.HttpAnswer, body
    ) -> calls.Reply:
        labels = {"service": request.target.service}
        self.head_seconds.observe(labels, time.monotonic() - request.arrived)
        return calls.Reply(answer.status, answer.headers, body)

    def _hedges(self, request: asked.Asked, course: Course) -> bool:
        """Return whether a slow attempt should make way for another one."""
        return (
            request.route.repeatable
            and not request.route.streaming
            and len(course.tried) < request.route.most_endpoints
            and len(self.registry.of_service(request.target.service)) > 1
        )

    def _note_failure(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        course: Course,
        failure: endpoints.SendFailure,
    ) -> None:
        course.reason = failure.reason[:80]
        if not failure.sent:
            # Nothing left this VM, so the endpoint was not tried at all.
            course.tried.discard(endpoint.id)
            self.health.failed(endpoint, failure.reason, consecutive_failures=2)
            return
        self._note_break(request, endpoint, course, failure.reason)

    def _note_break(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        course: Course,
        reason: str,
    ) -> None:
        course.may_have_run = True
        course.reason = reason[:80]
        self.health.failed(endpoint, reason)
        if "timed out" not in reason and "late" not in reason:
            self.poison.broke(request, endpoint)

    def _note_verdict(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        course: Course,
        verdict: adapters.Verdict,
    ) -> None:
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
