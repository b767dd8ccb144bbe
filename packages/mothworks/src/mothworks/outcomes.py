"""Refusals of requests, which state whether the request may have run.

Functions return :class:`result.Result` and raise exceptions only for broken
invariants. A :class:`Refusal` describes the error that a caller receives.
"""

import enum

import attrs
import orjson


class Ran(enum.StrEnum):
    """Whether a request that failed may have run at an endpoint."""

    #: Nothing was sent, or the endpoint refused before running it.
    NO = "no"
    #: It was sent, and its outcome is not known.
    UNKNOWN = "unknown"


@attrs.frozen
class Refusal:
    """Why a request gets no answer.

    :param status: the HTTP status.
    :param code: a short, stable identifier for programs.
    :param message: one sentence for people.
    :param ran: whether the request may have run.
    :param retry_after: seconds until a retry may succeed; None if retrying the
        same request is unsafe or cannot succeed.
    """

    status: int
    code: str
    message: str
    ran: Ran = Ran.NO
    retry_after: float | None = None

    def body(self) -> bytes:
        """Return OpenAI's error object as JSON, with the additional field ``ran``."""
        kind = "invalid_request_error" if self.status < 500 else "server_error"
        error = {"message": self.message, "type": kind, "code": self.code}
        return orjson.dumps({"error": {**error, "param": None, "ran": self.ran}})


def invalid(message: str, code: str = "invalid_request", status: int = 400) -> Refusal:
    """Return the refusal of a request that cannot succeed unless it is changed.

    :param message: what is wrong with the request.
    :param code: the error's code.
    :param status: the HTTP status, 400 to 499.
    """
    return Refusal(status, code, message)


def overloaded(message: str, retry_after: float, code: str = "overloaded") -> Refusal:
    """Return the refusal of a request for which there is currently no capacity.

    :param message: which limit was reached.
    :param retry_after: seconds until a retry may succeed.
    :param code: the error's code.
    """
    return Refusal(503, code, message, Ran.NO, retry_after)


def unknown(message: str, code: str = "outcome_unknown") -> Refusal:
    """Return the refusal of a request that may have run.

    :param message: why its outcome is unknown.
    :param code: the error's code.
    """
    return Refusal(502, code, message, Ran.UNKNOWN)
