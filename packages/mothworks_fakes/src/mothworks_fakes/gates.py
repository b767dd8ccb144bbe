"""Gates: a test blocks a fake at a step, injects a fault, and unblocks it.

A fake reports each of its steps. If a test has closed the gate of that
step, the first task that reaches it blocks until the test opens the gate; all
other tasks continue.
"""

import enum

import gevent.event


class Step(enum.StrEnum):
    """Steps of a request at which a test can block a fake."""

    #: The object API received a claim and has not yet written it.
    BEFORE_CLAIM = "before claim"
    #: The object API wrote a claim and has not yet replied.
    AFTER_CLAIM = "after claim"
    #: The endpoint received the request and has not yet run it.
    SENT = "sent"
    #: An engine has generated half of the answer, or a service has run the request and
    #: not yet replied.
    MID_ANSWER = "mid-answer"
    #: The engine has sent the whole stream except its end marker.
    BEFORE_END = "before end"


class Gate:
    """Blocks the first task that reaches a step."""

    def __init__(self):
        self.reached = gevent.event.Event()
        self.opened = gevent.event.Event()

    def wait(self) -> None:
        """Block until the gate opens; only the first task blocks."""
        if self.reached.is_set():
            return
        self.reached.set()
        self.opened.wait()


class Gates:
    """The closed gates of one fake."""

    def __init__(self):
        self.gate_by_step: dict[Step, Gate] = {}

    def close(self, step: Step) -> Gate:
        """Close the gate of a step and return it.

        :param step: the step at which the next task blocks.
        """
        gate = self.gate_by_step[step] = Gate()
        return gate

    def reach(self, step: Step) -> None:
        """Report that a task reached a step; block if its gate is closed.

        :param step: the step.
        """
        gate = self.gate_by_step.get(step)
        if gate is not None:
            gate.wait()
