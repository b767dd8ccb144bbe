"""Decision traces of the requests that callers sent to this VM.

``why request`` reads a trace while its request runs and for some time after
its end. Memory is bounded: a trace has a limited number of steps, and the
oldest traces of ended requests are evicted first.
"""

import collections
import time

import attrs

from mothworks import kernel, requests

#: Maximum number of traces of ended requests that are stored.
MAX_ENDED_TRACES = 512
#: Maximum number of steps in one trace; later ones are dropped.
MAX_STEPS = 32


@attrs.frozen
class Step:
    """One step of a request.

    :param at: monotonic time, seconds.
    :param endpoint: the endpoint concerned, or empty.
    :param what: the event or decision, with the figures behind it.
    """

    at: float
    endpoint: str
    what: str


class Trace:
    """Trace of one request: its steps and its outcome.

    :param request: the request.
    """

    __slots__ = (
        "id",
        "caller",
        "urgency",
        "target",
        "received_at",
        "deadline",
        "steps",
        "outcome",
    )

    def __init__(self, request: requests.Request):
        self.id = request.id
        self.caller = request.caller.name
        self.urgency = request.caller.urgency
        self.target = request.target
        self.received_at = request.received_at
        self.deadline = request.first_token_deadline
        self.steps: list[Step] = []
        #: The request's outcome; empty while it runs.
        self.outcome = ""

    def add_step(self, endpoint: str, what: str) -> None:
        """Add a step, unless the trace is full.

        :param endpoint: the endpoint concerned, or empty.
        :param what: the event or decision.
        """
        if len(self.steps) < MAX_STEPS:
            self.steps.append(Step(time.monotonic(), endpoint, what))


class Decisions(kernel.Part):
    """Stores the traces of running and recently ended requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.trace_by_request: dict[str, Trace] = {}
        self.recent: collections.deque[Trace] = collections.deque(
            maxlen=MAX_ENDED_TRACES
        )

    def open(self, request: requests.Request) -> Trace:
        """Start the trace of a request.

        :param request: the request.
        """
        trace = Trace(request)
        self.trace_by_request[request.id] = trace
        return trace

    def add_step(self, request_id: str, endpoint: str, what: str) -> None:
        """Add a step to the trace of a running request.

        :param request_id: the request's ID.
        :param endpoint: the endpoint concerned, or empty.
        :param what: the event or decision.
        """
        trace = self.trace_by_request.get(request_id)
        if trace is not None:
            trace.add_step(endpoint, what)

    def close(self, request_id: str, outcome: str) -> None:
        """End the trace of a request; a repeated call has no effect.

        :param request_id: the request's ID.
        :param outcome: the request's outcome.
        """
        trace = self.trace_by_request.pop(request_id, None)
        if trace is not None:
            trace.outcome = outcome
            self.recent.append(trace)

    def find(self, request_id: str) -> Trace | None:
        """Return the newest trace of a request; None if none is stored.

        :param request_id: the request's ID.
        """
        running_trace = self.trace_by_request.get(request_id)
        if running_trace is not None:
            return running_trace
        newest_first = reversed(self.recent)
        return next((item for item in newest_first if item.id == request_id), None)
