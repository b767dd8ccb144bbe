"""Guards calls to a remote service: circuit, retry budget, counts.

The service's own client says by a predicate which outcomes mean that no
answer came; only these open the circuit and are worth a retry.
"""

import collections.abc
import random
import time
import typing

import gevent
import result

from mothworks import circuit, metrics, retries

#: Attempts of one call that may be repeated.
ATTEMPTS = 3
#: Longest pause before a retry, seconds; the pause is random below it and
#: the bound doubles with each attempt.
PAUSE_S = 0.05

Function = collections.abc.Callable[..., result.Result]


class Guard:
    """Makes calls on behalf of all parts of a node.

    :param unanswered: tells the errors that mean that no answer came.
    :param closed: the error of a call that the open circuit holds back.
    :param name: begins the names of the metrics.
    :param node_metrics: counts calls by kind and outcome.
    """

    def __init__(
        self,
        unanswered: collections.abc.Callable[[typing.Any], bool],
        closed: typing.Any,
        name: str,
        node_metrics: metrics.Metrics,
    ):
        self.unanswered = unanswered
        self.closed = closed
        self.circuit = circuit.Circuit()
        self.retries = retries.Budget()
        self.calls_total = node_metrics.counter(
            f"{name}_calls_total", "Calls to the service by kind and outcome."
        )
        self.call_seconds = node_metrics.seconds(
            f"{name}_call_seconds", "Time of a call to the service, by kind."
        )

    def retried(self, kind: str, function: Function, *args: typing.Any):
        """Make a call that may be repeated, and retry it within the budget.

        :param kind: the kind of call, in metrics.
        :param function: makes the call.
        :param args: its arguments.
        """
        for attempt in range(ATTEMPTS):
            outcome = self.once(kind, function, *args)
            last = attempt == ATTEMPTS - 1
            if last or not self._failed(outcome) or self.circuit.open:
                break
            if not self.retries.take():
                break
            gevent.sleep(random.uniform(0, PAUSE_S * 2**attempt))
        return outcome

    def once(self, kind: str, function: Function, *args: typing.Any):
        """Make a call at most once.

        :param kind: the kind of call, in metrics.
        :param function: makes the call.
        :param args: its arguments.
        """
        if not self.circuit.admit():
            return result.Err(self.closed)
        self.retries.add_request()
        began = time.monotonic()
        outcome = function(*args)
        if self._failed(outcome):
            self.circuit.fail()
        else:
            self.circuit.succeed()
        self.calls_total.inc({"call": kind, "outcome": _word(outcome)})
        self.call_seconds.observe({"call": kind}, time.monotonic() - began)
        return outcome

    def _failed(self, outcome: result.Result) -> bool:
        return outcome.is_err() and self.unanswered(outcome.err())


def _word(outcome: result.Result) -> str:
    return "ok" if outcome.is_ok() else type(outcome.err()).__name__.lower()
