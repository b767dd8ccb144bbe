"""Messages between entries and owners about slots.

An entry gives each of its asks a number of its own; the pair of the entry's
name and that number names the ask at the owner. All messages go one way, so
that one ask may get two answers: queued, and later granted.
"""

import enum

import attrs

from mothworks import messages


class Verdict(enum.IntEnum):
    """What an owner says to an ask."""

    #: The request may be sent now.
    GRANTED = 0
    #: It waits in the owner's queue.
    QUEUED = 1
    #: It gets no slot here.
    REFUSED = 2
    #: The endpoint has another owner now, which is to be asked.
    MOVED = 3


class Outcome(enum.IntEnum):
    """How a request that had a slot ended."""

    #: The endpoint's answer is complete.
    OK = 0
    #: The endpoint refused, or answered with an error of its own.
    FAILED = 1
    #: The connection to the endpoint broke off.
    CRASHED = 2
    #: The caller went away.
    CANCELLED = 3


@messages.message(10)
@attrs.frozen
class AskSlot:
    """An entry asks an endpoint's owner for a slot.

    :param request_id: the request's id.
    :param endpoint: the endpoint's name.
    :param rank: rank of the request's urgency, 0 first.
    :param wait_ms: longest wait, milliseconds.
    :param target_ms: time left to the first token's target, milliseconds.
    :param target: the model, adapter or service that was asked for.
    :param caller: the caller's name.
    :param tokens: most tokens the request may generate.
    :param number: the entry's number for this ask.
    :param held: the request runs already; the owner only counts it.
    :param alone: it may crash the endpoint and must not share it.
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
    held: bool = False
    alone: bool = False


@messages.message(11)
@attrs.frozen
class SlotAnswer:
    """The owner's answer to :class:`AskSlot`.

    :param number: the ask's number.
    :param verdict: a :class:`Verdict`.
    :param wait_ms: expected wait of a queued ask; time after which a refused
        one is worth repeating; milliseconds.
    :param reason: why it was refused.
    """

    number: int
    verdict: int
    wait_ms: int = 0
    reason: str = ""


@messages.message(12)
@attrs.frozen
class SlotDone:
    """An entry reports the end of an ask, granted or not.

    :param number: the ask's number.
    :param outcome: an :class:`Outcome`.
    :param first_token_ms: see ``slots.End``, whole milliseconds.
    :param between_tokens_us: see ``slots.End``, whole microseconds.
    :param tokens: see ``slots.End``.
    """

    number: int
    outcome: int = 0
    first_token_ms: int = 0
    between_tokens_us: int = 0
    tokens: int = 0


@messages.message(13)
@attrs.frozen
class CheckSlots:
    """An owner names long-lived asks of an entry, which answers for the lost.

    :param numbers: the asks' numbers.
    """

    numbers: tuple[int, ...] = attrs.field(converter=tuple)


@messages.message(14)
@attrs.frozen
class LostSlots:
    """An entry names asks of a :class:`CheckSlots` that it does not have.

    :param numbers: the asks' numbers.
    """

    numbers: tuple[int, ...] = attrs.field(converter=tuple)
