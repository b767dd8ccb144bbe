"""Outcomes of requests: typed refusals that say whether anything ran.

Functions return :class:`result.Result`; an exception leaves a function only
where an invariant is broken. A :class:`Refusal` is what a caller sees.
"""

import enum

import attrs
import orjson


class Ran(enum.StrEnum):
    """Whether a request that failed may have run at an endpoint."""

    #: Nothing was sent, or the endpoint refused before running it.
    NO = "no"
    #: It was sent and its answer is not known.
    UNKNOWN = "unknown"


@attrs.frozen
class Refusal:
    """The reason that a caller gets no answer to a request.

    :param status: the HTTP status.
    :param code: a short, stable word for programs.
    :param message: one sentence for people.
    :param ran: whether the request may have run.
    :param retry_after: seconds until a retry makes sense; None where a
        retry of the same request is not safe or is pointless.
    """

    status: int
    code: str
    message: str
    ran: Ran = Ran.NO
    retry_after: float | None = None

    def body(self) -> bytes:
        """Return OpenAI's error object, with ``ran`` beside its fields."""
        kind = "invalid_request_error" if self.status < 500 else "server_error"
        error = {"message": self.message, "type": kind, "code": self.code}
        return orjson.dumps({"error": {**error, "param": None, "ran": self.ran}})


def invalid(message: str, code: str = "invalid_request", status: int = 400) -> Refusal:
    """Return the refusal of a request that can never succeed as it is.

    :param message: what is wrong with it.
    :param code: the error's code.
    :param status: the HTTP status, 400 to 499.
    """
    return Refusal(status, code, message)


def overloaded(message: str, retry_after: float, code: str = "overloaded") -> Refusal:
    """Return the refusal of a request for which there is no capacity now.

    :param message: which limit was met.
    :param retry_after: seconds until a retry may succeed.
    :param code: the error's code.
    """
    return Refusal(503, code, message, Ran.NO, retry_after)


def unknown(message: str, code: str = "outcome_unknown") -> Refusal:
    """Return the refusal of a request that may have run.

    :param message: how its answer was lost.
    :param code: the error's code.
    """
    return Refusal(502, code, message, Ran.UNKNOWN)
