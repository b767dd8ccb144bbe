"""Guards calls to a remote service by a circuit breaker and a retry budget.

The service's client supplies a predicate for errors that mean that the service
did not answer. Only these errors open the circuit and are retried.
"""

import collections.abc
import random
import time
import typing

import gevent
import result

from mothworks import circuit, metrics, retries

#: Maximum number of attempts of a call that is safe to repeat.
MAX_ATTEMPTS = 3
#: Upper bound of the random backoff before the first retry, seconds; it doubles
#: with each attempt.
FIRST_BACKOFF_S = 0.05

Function = collections.abc.Callable[..., result.Result]


class Guard:
    """Makes the calls of all parts of a node to the service, and counts them.

    :param is_unanswered: whether an error means that the service did not answer.
    :param circuit_open_error: the error of calls that the open circuit rejects.
    :param name: prefix of the metrics' names.
    :param node_metrics: counts calls by kind and outcome.
    """

    def __init__(
        self,
        is_unanswered: collections.abc.Callable[[typing.Any], bool],
        circuit_open_error: typing.Any,
        name: str,
        node_metrics: metrics.Metrics,
    ):
        self.is_unanswered = is_unanswered
        self.circuit_open_error = circuit_open_error
        self.circuit = circuit.Circuit()
        self.retry_budget = retries.RetryBudget()
        self.calls_total = node_metrics.counter(
            f"{name}_calls_total", "Calls to the service by kind and outcome."
        )
        self.call_seconds = node_metrics.duration_histogram(
            f"{name}_call_seconds", "Time of a call to the service, by kind."
        )

    def call_with_retries(self, kind: str, function: Function, *args: typing.Any):
        """Make a call that is safe to repeat, and retry it within the budget.

        :param kind: the kind of call, in metrics.
        :param function: the function that makes the call.
        :param args: its arguments.
        """
        for attempt in range(MAX_ATTEMPTS):
            outcome = self.call_once(kind, function, *args)
            is_last = attempt == MAX_ATTEMPTS - 1
            if is_last or not self._failed(outcome) or self.circuit.open:
                break
            if not self.retry_budget.acquire():
                break
            gevent.sleep(random.uniform(0, FIRST_BACKOFF_S * 2**attempt))
        return outcome

    def call_once(self, kind: str, function: Function, *args: typing.Any):
        """Make a call at most once.

        :param kind: the kind of call, in metrics.
        :param function: the function that makes the call.
        :param args: its arguments.
        """
        if not self.circuit.admit():
            return result.Err(self.circuit_open_error)
        self.retry_budget.add_request()
        started_at = time.monotonic()
        outcome = function(*args)
        if self._failed(outcome):
            self.circuit.fail()
        else:
            self.circuit.succeed()
        self.calls_total.inc({"call": kind, "outcome": _outcome_label(outcome)})
        self.call_seconds.observe({"call": kind}, time.monotonic() - started_at)
        return outcome

    def _failed(self, outcome: result.Result) -> bool:
        return outcome.is_err() and self.is_unanswered(outcome.err())


def _outcome_label(outcome: result.Result) -> str:
    """Return a metric's label: ``ok`` or the lower-case name of the error class."""
    return "ok" if outcome.is_ok() else type(outcome.err()).__name__.lower()
