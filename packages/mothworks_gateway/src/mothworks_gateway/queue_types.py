"""Types of the queue in front of contended endpoints; see :mod:`endpoint_queue`.

Times are monotonic, of the clock of the VM that owns the queue, in seconds.
"""

import attrs

#: Identifies a waiting or granted request: the VM that asks and its ticket.
Key = tuple[str, int]


@attrs.frozen
class WaitingRequest:
    """A request that needs a place at an endpoint.

    :param key: VM and its ticket.
    :param endpoint_ids: endpoints that can run it, best first; at most 16.
    :param local_ids: those in the asking VM's data centre.
    :param prompt_tokens: prompt tokens not shared with other requests; 0 for plain
        services.
    :param shared_tokens: shared prompt tokens, cached at the first endpoint only, as
        far as known.
    :param memory_tokens: tokens of the prompt and of the longest output.
    :param urgency: rank; 0 is the most urgent.
    :param account: name of the client account; empty without accounts.
    :param weight: share of the account, over 0.
    :param arrived_at: time of arrival.
    :param objective_at: time at which the first event or the answer is due.
    :param send_by: time by which it is granted or refused.
    :param is_patient: whether its objective is long against the service's shortest.
    """

    key: Key
    endpoint_ids: tuple[str, ...]
    local_ids: frozenset[str]
    prompt_tokens: int
    shared_tokens: int
    memory_tokens: int
    urgency: int
    account: str
    weight: float
    arrived_at: float
    objective_at: float
    send_by: float
    is_patient: bool


@attrs.frozen
class Capacity:
    """What one endpoint can run.

    :param slots: requests that it runs at once.
    :param memory_tokens: tokens of its KV memory; 0 for no limit.
    :param prefill_tokens_per_s: its prefill speed; 0 if it is not known.
    :param speed: its speed relative to the service's mean.
    :param max_unread_s: prefill time of prompts granted and not begun, seconds.
    :param accepts: whether it may get further requests.
    """

    slots: int
    memory_tokens: int
    prefill_tokens_per_s: float
    speed: float = 1.0
    max_unread_s: float = 0.15
    accepts: bool = True


@attrs.frozen
class Granted:
    """A place was granted.

    :param key: the request.
    :param endpoint_id: where it is to be sent.
    """

    key: Key
    endpoint_id: str


@attrs.frozen
class Refused:
    """A request gets no place.

    :param key: the request.
    :param retry_after_s: seconds after which there will be room for it; 0 if none of
        its endpoints is left, so that its VM may choose anew.
    :param reason: why; one of the constants of :mod:`endpoint_queue`.
    """

    key: Key
    retry_after_s: float
    reason: str
