"""Attempts: how the send of a request to one endpoint failed."""

import attrs

from mothworks import endpoints, outcomes, requests, slots

#: Hint to a caller where a model has no endpoint now, seconds.
NO_ENDPOINT_RETRY_S = 2.0
#: Hint to a caller whose request an endpoint refused, seconds.
REFUSED_RETRY_S = 1.0


@attrs.frozen
class Failed:
    """An attempt that gave no answer.

    :param refusal: what the caller is told, unless another attempt succeeds.
    :param sent: whether the endpoint may have run the request.
    :param counted: whether a further attempt is paid from the retry budget.
    :param outcome: what the endpoint's owner is told.
    :param endpoint: where it was tried; empty where no endpoint gave a slot.
    """

    refusal: outcomes.Refusal
    sent: bool
    counted: bool
    outcome: slots.Outcome
    endpoint: str = ""


def no_endpoint(request: requests.Request) -> outcomes.Refusal:
    """Return the refusal of a request that no endpoint takes now.

    :param request: the request.
    """
    message = f"no endpoint takes work for {request.target!r} now"
    return outcomes.overloaded(message, NO_ENDPOINT_RETRY_S, "no_endpoint")


def not_sent(refusal: outcomes.Refusal) -> Failed:
    """Return the failure of an attempt that ended before the send.

    :param refusal: why.
    """
    return Failed(refusal, False, False, slots.Outcome.CANCELLED)


def failed(failure: endpoints.SendFailure) -> Failed:
    """Return the failure of an attempt that an endpoint did not answer.

    :param failure: what the endpoint's plug-in says.
    """
    if failure.sent and not failure.refused:
        message = f"the endpoint gave no answer: {failure.reason}"
        crashed = slots.Outcome.CRASHED
        outcome = slots.Outcome.FAILED if failure.answered else crashed
        return Failed(outcomes.unknown(message), True, True, outcome)
    message = f"the endpoint did not take the request: {failure.reason}"
    refusal = outcomes.overloaded(message, REFUSED_RETRY_S)
    return Failed(refusal, False, True, slots.Outcome.FAILED)
