"""A caller's request on its way through the system."""

import math

import attrs

from mothworks import catalogue


@attrs.frozen
class Request:
    """One request, read and checked.

    :param id: unique; in the answer's header, in logs and for ``why``.
    :param caller: who asks.
    :param target: the model, adapter or service that was asked for.
    :param model: the model that must be resident; empty for a service.
    :param method: HTTP method towards the endpoint.
    :param path: path and query towards the endpoint.
    :param headers: further headers towards the endpoint.
    :param body: the caller's bytes, passed on unchanged.
    :param stream: whether the answer is a stream of server-sent events.
    :param repeatable: whether it may run twice.
    :param arrived: monotonic time of arrival, seconds.
    :param first_token_deadline: monotonic time of the first token's target.
    :param tokens: most tokens it may generate.
    :param idempotency_key: the caller's key for resends, or empty.
    :param deadline: monotonic time after which no answer is of use.
    :param resumable: whether another run gives the same tokens, so that a
        broken stream can be continued.
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
    arrived: float
    first_token_deadline: float
    tokens: int = 0
    idempotency_key: str = ""
    deadline: float = math.inf
    resumable: bool = False
