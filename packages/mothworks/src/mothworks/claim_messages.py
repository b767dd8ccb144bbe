"""Messages between entries and the owners of claims' shards."""

import enum

import attrs

from mothworks import claim_records, messages


class Finding(enum.IntEnum):
    """What a shard's owner answers about a key."""

    #: Nobody has it.
    FREE = 0
    #: The asker has it.
    GRANTED = 1
    #: Another copy has it, and may be running.
    HELD = 2
    #: Another copy had it, and its answer is lost.
    LOST = 3
    #: Another copy ran, and its answer is stored.
    DONE = 4
    #: Another copy ran, and its answer was too long to be stored.
    NOT_KEPT = 5
    #: Another request has this key.
    OTHER = 6
    #: The object API does not answer.
    DOWN = 7


@messages.message(50)
@attrs.frozen
class AskClaim:
    """An entry asks a shard's owner about a key.

    :param key: hash of the caller and the caller's key.
    :param claim_id: chosen by the asker.
    :param request_hash: hash of the request.
    :param holder: the asker's VM.
    :param claim: whether to claim the key if it is free.
    :param fresh: whether to read the shard anew first.
    """

    key: bytes
    claim_id: bytes
    request_hash: bytes
    holder: str
    claim: bool
    fresh: bool = False


@messages.message(51)
@attrs.frozen
class ClaimAnswer:
    """Answers :class:`AskClaim`.

    :param finding: a :class:`Finding`.
    :param holder: the VM of the copy that has the key.
    :param claim_id: that copy's claim.
    :param status: the stored answer's status.
    :param headers: its headers.
    :param body: its body.
    """

    finding: int
    holder: str = ""
    claim_id: bytes = b""
    status: int = 0
    headers: tuple = ()
    body: bytes = b""


@messages.message(52)
@attrs.frozen
class EndClaim:
    """An entry tells a shard's owner how a claimed request ended.

    :param key: see :class:`AskClaim`.
    :param claim_id: see :class:`AskClaim`.
    :param request_hash: see :class:`AskClaim`.
    :param state: a :class:`claim_records.State`.
    :param kept: whether the answer follows.
    :param status: the answer's status.
    :param headers: its headers.
    :param body: its body.
    """

    key: bytes
    claim_id: bytes
    request_hash: bytes
    state: int
    kept: bool = False
    status: int = 0
    headers: tuple = ()
    body: bytes = b""


@messages.message(53)
@attrs.frozen
class ClaimEnded:
    """Answers :class:`EndClaim`.

    :param stored: whether the outcome is stored.
    """

    stored: bool


@messages.message(54)
@attrs.frozen
class AskHeld:
    """Asks a holder whether it still runs a claimed request.

    :param claim_id: the claim.
    """

    claim_id: bytes


@messages.message(55)
@attrs.frozen
class Held:
    """Answers :class:`AskHeld`.

    :param held: whether it does.
    """

    held: bool


def answer_fields(answer: claim_records.StoredAnswer) -> dict:
    """Return the fields of messages that carry a stored answer.

    :param answer: the answer.
    """
    return {"status": answer.status, "headers": answer.headers, "body": answer.body}


def stored_answer(message: ClaimAnswer | EndClaim) -> claim_records.StoredAnswer:
    """Return the stored answer that a message carries.

    :param message: the message.
    """
    headers = tuple((name, value) for name, value in message.headers)
    return claim_records.StoredAnswer(message.status, headers, message.body)
