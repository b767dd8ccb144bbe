"""The internal form of a caller's request."""

import math

import attrs

from mothworks import catalogue


@attrs.frozen
class Request:
    """One parsed and validated request.

    :param id: unique id; sent in the reply's header, logged, and used in the
        statement ``why``.
    :param caller: the caller that sent it.
    :param target: the requested model, adapter or service.
    :param model: the model that must be resident; empty for a service.
    :param method: HTTP method of the request to the endpoint.
    :param path: path and query of the request to the endpoint.
    :param headers: further headers of the request to the endpoint.
    :param body: the caller's body, forwarded unchanged.
    :param stream: whether the answer is a stream of server-sent events.
    :param repeatable: whether it may run twice.
    :param received_at: monotonic time of arrival, seconds.
    :param first_token_deadline: monotonic time by which the first token is due.
    :param tokens: maximum number of tokens to generate.
    :param idempotency_key: the caller's key that identifies resends, or empty.
    :param deadline: monotonic time after which the caller needs no answer.
    :param resumable: whether another run generates the same tokens, so that an
        interrupted stream can be resumed.
    """

    id: str
    caller: catalogue.Caller
    target: str
    model: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    repeatable: bool
    received_at: float
    first_token_deadline: float
    tokens: int = 0
    idempotency_key: str = ""
    deadline: float = math.inf
    resumable: bool = False
