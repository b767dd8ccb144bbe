"""Messages between entries and owners about slots.

An entry is the VM that received a caller's request. It numbers its slot
requests; the entry's name and that number identify a slot request at the
owner. Messages are one-way, because a slot request may get two replies: queued,
and later granted.
"""

import enum

import attrs

from mothworks import messages


class SlotStatus(enum.IntEnum):
    """The status of a slot request, as its owner reports it."""

    #: The request may be sent now.
    GRANTED = 0
    #: The request waits in the owner's queue.
    QUEUED = 1
    #: The request gets no slot from this owner.
    REFUSED = 2
    #: The endpoint has another owner now; the entry sends its request there.
    MOVED = 3


class Outcome(enum.IntEnum):
    """How a request that had a slot ended."""

    #: The endpoint's response is complete.
    OK = 0
    #: The endpoint refused the request or responded with an error.
    FAILED = 1
    #: The connection to the endpoint broke.
    CRASHED = 2
    #: The caller disconnected.
    CANCELLED = 3


@messages.message(10)
@attrs.frozen
class SlotRequest:
    """An entry requests a slot from an endpoint's owner.

    :param request_id: the request's id.
    :param endpoint: the endpoint's name.
    :param rank: rank of the request's urgency class; 0 is the most urgent.
    :param wait_ms: maximum wait, milliseconds.
    :param target_ms: time left until the first token is due, milliseconds.
    :param target: the requested model, adapter or service.
    :param caller: the caller's name.
    :param tokens: maximum number of tokens that the request may generate.
    :param number: the entry's number for this slot request.
    :param already_running: the request runs already; the owner only counts it.
    :param exclusive: the request may crash the endpoint, so nothing else runs there
        with it.
    """

    request_id: str
    endpoint: str
    rank: int
    wait_ms: int
    target_ms: int
    target: str = ""
    caller: str = ""
    tokens: int = 0
    number: int = 0
    already_running: bool = False
    exclusive: bool = False


@messages.message(11)
@attrs.frozen
class SlotReply:
    """The owner's reply to a :class:`SlotRequest`.

    :param number: the slot request's number.
    :param status: a :class:`SlotStatus`.
    :param wait_ms: expected wait of a queued slot request, or time after which a
        refused one may be retried, milliseconds.
    :param reason: why the slot request was refused.
    """

    number: int
    status: int
    wait_ms: int = 0
    reason: str = ""


@messages.message(12)
@attrs.frozen
class SlotRelease:
    """An entry releases a slot, or cancels a slot request that was not granted.

    :param number: the slot request's number.
    :param outcome: an :class:`Outcome`.
    :param first_token_ms: see ``slots.RequestEnd``, whole milliseconds.
    :param between_tokens_us: see ``slots.RequestEnd``, whole microseconds.
    :param tokens: see ``slots.RequestEnd``.
    :param pause_ms: see ``slots.RequestEnd``, whole milliseconds.
    """

    number: int
    outcome: int = 0
    first_token_ms: int = 0
    between_tokens_us: int = 0
    tokens: int = 0
    pause_ms: int = 0


@messages.message(13)
@attrs.frozen
class CheckSlots:
    """An owner asks an entry whether slots granted long ago are still in use.

    :param numbers: the numbers of the slot requests.
    """

    numbers: tuple[int, ...] = attrs.field(converter=tuple)


@messages.message(14)
@attrs.frozen
class UnknownSlots:
    """An entry reports which numbers of a :class:`CheckSlots` it does not know.

    :param numbers: the numbers of the slot requests.
    """

    numbers: tuple[int, ...] = attrs.field(converter=tuple)
