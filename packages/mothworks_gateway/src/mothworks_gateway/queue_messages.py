"""Messages between VMs and the owner of a service's queue of requests.

A VM asks the owner for a place at an endpoint. The owner grants, queues or refuses the
request at once, and pushes a later decision. The VM repeats all of its waiting requests
in one call, and reports what happens to granted ones in events, several in one message.
"""

import enum

import attrs

from mothworks import messages


class EventKind(enum.IntEnum):
    """What a row of :class:`RunEvents` reports."""

    #: The first event of an answer arrived.
    BEGAN = 0
    #: The request has ended.
    ENDED = 1
    #: The endpoint refused it for lack of room.
    FULL = 2
    #: It waits no longer, or was granted and not sent.
    WITHDRAWN = 3
    #: It is waiting for its answer or running.
    HOLDS = 4


#: A ticket, its service, the :class:`EventKind`, the endpoint's id, tokens and seconds.
#: Began: prompt tokens, and seconds from sending until the first event.
#: Ended: events and seconds of a stream, or 0 and the seconds of a plain answer;
#: seconds are 0 if they are no sample of the endpoint.
#: Holds: memory tokens, and seconds since the first event, negative before it.
EventRow = tuple[int, str, int, str, int, float]


@messages.message(152)
@attrs.frozen
class QueueRequest:
    """Asks the owner of a service's queue for a place at an endpoint.

    :param ticket: number of the request at the VM; a repeated call has the same.
    :param service: the service.
    :param endpoint_ids: the endpoints that can run it, the best first.
    :param prompt_tokens: prompt tokens that no other request shares.
    :param shared_tokens: further prompt tokens, which the first endpoint caches.
    :param memory_tokens: prompt tokens and maximum output tokens.
    :param urgency: its rank.
    :param account: the client account; empty without accounts.
    :param weight: the account's share.
    :param waited_s: seconds since it arrived.
    :param objective_in_s: seconds until its answer is due; negative if it is late.
    :param send_in_s: seconds until it is refused if it was not granted.
    :param is_patient: whether it can wait for several runs.
    :param model: its model; empty for a plain service.
    """

    ticket: int
    service: str
    endpoint_ids: tuple[str, ...]
    prompt_tokens: int
    shared_tokens: int
    memory_tokens: int
    urgency: int
    account: str
    weight: float
    waited_s: float
    objective_in_s: float
    send_in_s: float
    is_patient: bool
    model: str = ""


@messages.message(153)
@attrs.frozen
class QueueReply:
    """The owner's decision, as a reply or pushed later.

    :param is_owner: whether the replying VM may act as the owner now.
    :param ticket: the request's ticket.
    :param endpoint_id: the endpoint that was granted; empty if none.
    :param wait_s: the expected wait if it is queued, seconds.
    :param retry_after_s: seconds after which the caller should retry if it is refused,
        0 if none of its endpoints is left; None if it is not refused.
    :param reason: why it is refused.
    :param ahead: number of requests of the service that wait.
    """

    is_owner: bool
    ticket: int = 0
    endpoint_id: str = ""
    wait_s: float = 0.0
    retry_after_s: float | None = None
    reason: str = ""
    ahead: int = 0


@messages.message(154)
@attrs.frozen
class RunEvents:
    """What happened to requests of a VM.

    :param rows: the events, in order.
    """

    rows: tuple[EventRow, ...]


@messages.message(155)
@attrs.frozen
class QueueRepeat:
    """Repeats a VM's requests that wait, so that the owner keeps them.

    :param tickets_by_service: their tickets.
    """

    tickets_by_service: dict[str, tuple[int, ...]]


@messages.message(156)
@attrs.frozen
class QueueRepeatReply:
    """The owner's reply.

    :param unknown: tickets that do not wait at the owner, and were not granted.
    """

    unknown: tuple[int, ...] = ()


def owner_key(service: str) -> str:
    """Return the key that decides which VM owns a service's queue.

    :param service: the service.
    """
    return f"queue {service}"
