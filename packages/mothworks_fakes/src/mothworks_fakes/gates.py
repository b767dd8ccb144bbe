"""Gates: a test stops a stand-in at a step, makes a fault, and lets it go on.

A stand-in passes a gate at each of its steps. Where a test has closed the
gate of that step, the first task that comes there waits; all others pass.
"""

import enum

import gevent.event


class Step(enum.StrEnum):
    """Steps of a request that stand-ins can see."""

    #: The object API received a claim and has not written it.
    BEFORE_CLAIM = "before claim"
    #: The object API wrote a claim and has not replied.
    AFTER_CLAIM = "after claim"
    #: The endpoint received the request and has not run it.
    SENT = "sent"
    #: The endpoint has sent half of the answer.
    MID_ANSWER = "mid-answer"
    #: The endpoint has sent all but the end of the answer.
    BEFORE_END = "before end"


class Gate:
    """A place where one task waits."""

    def __init__(self):
        self.reached = gevent.event.Event()
        self.opened = gevent.event.Event()

    def stand(self) -> None:
        """Wait here if no task did before."""
        if self.reached.is_set():
            return
        self.reached.set()
        self.opened.wait()


class Gates:
    """The closed gates of one stand-in."""

    def __init__(self):
        self.gate_by_step: dict[Step, Gate] = {}

    def close(self, step: Step) -> Gate:
        """Close the gate of a step and return it.

        :param step: where the next task shall wait.
        """
        gate = self.gate_by_step[step] = Gate()
        return gate

    def pass_by(self, step: Step) -> None:
        """Go through a step, waiting where its gate is closed.

        :param step: the step.
        """
        gate = self.gate_by_step.get(step)
        if gate is not None:
            gate.stand()
