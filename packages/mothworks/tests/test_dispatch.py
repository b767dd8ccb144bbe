"""Tests of the refusal that a caller receives after several attempts."""

import result

import builders
from mothworks import dispatch, failed_attempts, metrics, outcomes, path_metrics, slots


class ScriptedDispatch(dispatch.Dispatch):
    """A dispatch whose attempts are refused in a given order."""

    def __init__(self, *refusals):
        self.refusals = list(refusals)
        self.metrics = path_metrics.PathMetrics(metrics.Metrics())

    def choose_endpoints(self, request, tried):
        return [builders.endpoint(f"engine-{len(tried)}")]

    def _attempt(self, request, candidates, watch, claim):
        refusal = self.refusals.pop(0)
        sent = refusal.ran is outcomes.Ran.UNKNOWN
        return result.Err(
            failed_attempts.FailedAttempt(
                refusal, sent, False, slots.Outcome.FAILED, candidates[0].name
            )
        )


class NoTrace:
    def add_step(self, *_):
        pass


def test_a_refusal_after_an_attempt_that_may_have_run_does_not_say_not_run():
    # The first engine crashed while it ran the request and the second had no free
    # slot. "Not run" would be wrong about the first.
    crashed = outcomes.unknown("the endpoint gave no answer")
    full = outcomes.overloaded("no capacity", 1.0)
    scripted = ScriptedDispatch(crashed, full, full)
    refused = scripted._try_endpoints(builders.request(), NoTrace(), None, None)
    assert refused.err_value.code == "overloaded"
    assert refused.err_value.ran is outcomes.Ran.UNKNOWN
    scripted = ScriptedDispatch(full, full, full)
    refused = scripted._try_endpoints(builders.request(), NoTrace(), None, None)
    assert refused.err_value.ran is outcomes.Ran.NO
