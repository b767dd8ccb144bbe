"""Decisions: what this entry decided about its recent requests, and why.

``why request`` reads them while a request runs and for some time after it
ended. The memory is bounded: one short trace a request, the oldest go first.
"""

import collections
import time

import attrs

from mothworks import kernel, requests

#: Ended requests that are remembered.
RECENT = 512
#: Most steps remembered of one request.
MOST_STEPS = 32


@attrs.frozen
class Step:
    """One step of a request.

    :param at: monotonic time, seconds.
    :param endpoint: the endpoint concerned, or empty.
    :param what: what happened there, with the decision's numbers.
    """

    at: float
    endpoint: str
    what: str


class Trace:
    """The steps of one request.

    :param request: the request.
    """

    __slots__ = (
        "id",
        "caller",
        "urgency",
        "target",
        "arrived",
        "deadline",
        "steps",
        "outcome",
    )

    def __init__(self, request: requests.Request):
        self.id = request.id
        self.caller = request.caller.name
        self.urgency = request.caller.urgency
        self.target = request.target
        self.arrived = request.arrived
        self.deadline = request.first_token_deadline
        self.steps: list[Step] = []
        #: How it ended; empty while it runs.
        self.outcome = ""

    def add(self, endpoint: str, what: str) -> None:
        """Remember a step.

        :param endpoint: the endpoint concerned, or empty.
        :param what: what happened there.
        """
        if len(self.steps) < MOST_STEPS:
            self.steps.append(Step(time.monotonic(), endpoint, what))


class Decisions(kernel.Part):
    """The traces of this VM's requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.trace_by_request: dict[str, Trace] = {}
        self.recent: collections.deque[Trace] = collections.deque(maxlen=RECENT)

    def open(self, request: requests.Request) -> Trace:
        """Begin the trace of a request.

        :param request: the request.
        """
        trace = Trace(request)
        self.trace_by_request[request.id] = trace
        return trace

    def step(self, request_id: str, endpoint: str, what: str) -> None:
        """Remember a step of a request whose trace is open.

        :param request_id: the request's id.
        :param endpoint: the endpoint concerned, or empty.
        :param what: what happened there.
        """
        trace = self.trace_by_request.get(request_id)
        if trace is not None:
            trace.add(endpoint, what)

    def close(self, request_id: str, outcome: str) -> None:
        """End the trace of a request; closing it again does nothing.

        :param request_id: the request's id.
        :param outcome: how the request ended.
        """
        trace = self.trace_by_request.pop(request_id, None)
        if trace is not None:
            trace.outcome = outcome
            self.recent.append(trace)

    def find(self, request_id: str) -> Trace | None:
        """Return a request's trace, or None where it isn't remembered.

        :param request_id: the request's id.
        """
        running = self.trace_by_request.get(request_id)
        if running is not None:
            return running
        newest_first = reversed(self.recent)
        return next((item for item in newest_first if item.id == request_id), None)
