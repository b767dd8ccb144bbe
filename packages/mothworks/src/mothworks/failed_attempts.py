"""Describes how an attempt to send a request to an endpoint failed."""

import attrs

from mothworks import endpoints, outcomes, requests, slots

#: Retry-After sent when no endpoint is open for the target, seconds.
NO_ENDPOINT_RETRY_AFTER_S = 2.0
#: Retry-After sent when the endpoint did not accept the request, seconds.
REFUSED_RETRY_AFTER_S = 1.0


@attrs.frozen
class FailedAttempt:
    """An attempt without a response.

    :param refusal: what the caller receives, unless another attempt succeeds.
    :param may_have_run: whether the endpoint may have run the request.
    :param uses_retry_budget: whether a retry consumes the retry budget.
    :param outcome: the outcome reported to the endpoint's owner.
    :param endpoint: the endpoint's name; empty if no slot was granted.
    :param pause_s: time for which the endpoint wants no requests, seconds.
    """

    refusal: outcomes.Refusal
    may_have_run: bool
    uses_retry_budget: bool
    outcome: slots.Outcome
    endpoint: str = ""
    pause_s: float = 0.0


def no_endpoint(request: requests.Request) -> outcomes.Refusal:
    """Return the refusal of a request that no endpoint accepts now.

    :param request: the request.
    """
    message = f"no endpoint takes work for {request.target!r} now"
    return outcomes.overloaded(message, NO_ENDPOINT_RETRY_AFTER_S, "no_endpoint")


def before_send(refusal: outcomes.Refusal) -> FailedAttempt:
    """Return the failure of an attempt that ended before the request was sent.

    :param refusal: what the caller receives.
    """
    return FailedAttempt(refusal, False, False, slots.Outcome.CANCELLED)


def from_send_failure(failure: endpoints.SendFailure) -> FailedAttempt:
    """Return the failure of an attempt that got no response from an endpoint.

    :param failure: the failure that the endpoint's plug-in reported.
    """
    if failure.may_have_arrived and not failure.refused:
        message = f"the endpoint gave no answer: {failure.reason}"
        crashed = slots.Outcome.CRASHED
        outcome = slots.Outcome.FAILED if failure.answered else crashed
        return FailedAttempt(outcomes.unknown(message), True, True, outcome)
    message = f"the endpoint did not accept the request: {failure.reason}"
    retry_after_s = max(REFUSED_RETRY_AFTER_S, failure.retry_after_s)
    refusal = outcomes.overloaded(message, retry_after_s)
    return FailedAttempt(
        refusal, False, True, slots.Outcome.FAILED, pause_s=failure.retry_after_s
    )
