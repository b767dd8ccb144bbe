"""Messages between entries and the owners of shards of claims.

An entry is the VM that received a caller's request.
"""

import enum

import attrs

from mothworks import claim_records, messages


class Decision(enum.IntEnum):
    """How a shard's owner decides on a :class:`ClaimRequest`."""

    #: No request has claimed the key.
    FREE = 0
    #: The requester holds the claim.
    GRANTED = 1
    #: A duplicate holds the claim and may be running.
    CLAIMED = 2
    #: A duplicate may have run; its answer is lost.
    OUTCOME_LOST = 3
    #: A duplicate ran, and its answer is stored.
    DONE = 4
    #: A duplicate ran; its answer was too long to store.
    NOT_STORED = 5
    #: The key was used for a different request.
    KEY_REUSED = 6
    #: The claim can be neither read nor written, or the shard's owner timed out.
    UNAVAILABLE = 7


@messages.message(50)
@attrs.frozen
class ClaimRequest:
    """An entry looks up a key at its shard's owner, or claims it.

    :param key: hash of the caller's name and its Idempotency-Key.
    :param claim_id: random id of the requester's claim.
    :param request_hash: hash of the request.
    :param holder: the requester's VM.
    :param claim: whether to claim the key if it is free, or only look it up.
    :param reload: whether to reload the shard from the object API first.
    """

    key: bytes
    claim_id: bytes
    request_hash: bytes
    holder: str
    claim: bool
    reload: bool = False


@messages.message(51)
@attrs.frozen
class ClaimReply:
    """Reply to :class:`ClaimRequest`.

    :param decision: a :class:`Decision`.
    :param holder: the VM of the request that holds the claim.
    :param claim_id: that request's claim.
    :param status: the stored answer's status.
    :param headers: its headers.
    :param body: its body.
    """

    decision: int
    holder: str = ""
    claim_id: bytes = b""
    status: int = 0
    headers: tuple = ()
    body: bytes = b""


@messages.message(52)
@attrs.frozen
class OutcomeUpdate:
    """An entry reports a claimed request's outcome to the shard's owner.

    :param key: see :class:`ClaimRequest`.
    :param claim_id: see :class:`ClaimRequest`.
    :param request_hash: see :class:`ClaimRequest`.
    :param state: a :class:`claim_records.State`.
    :param has_answer: whether the fields that follow hold the answer.
    :param status: the answer's status.
    :param headers: its headers.
    :param body: its body.
    """

    key: bytes
    claim_id: bytes
    request_hash: bytes
    state: int
    has_answer: bool = False
    status: int = 0
    headers: tuple = ()
    body: bytes = b""


@messages.message(53)
@attrs.frozen
class OutcomeReply:
    """Reply to :class:`OutcomeUpdate`.

    :param stored: whether the outcome is stored.
    """

    stored: bool


@messages.message(54)
@attrs.frozen
class ActivityRequest:
    """Asks a claim's holder whether the claim is still active.

    :param claim_id: the claim.
    """

    claim_id: bytes


@messages.message(55)
@attrs.frozen
class ActivityReply:
    """Reply to :class:`ActivityRequest`.

    :param active: whether the holder runs the request or is storing its outcome.
    """

    active: bool


def answer_fields(answer: claim_records.StoredAnswer) -> dict:
    """Return a stored answer as fields of a message.

    :param answer: the answer.
    """
    return {"status": answer.status, "headers": answer.headers, "body": answer.body}


def stored_answer(message: ClaimReply | OutcomeUpdate) -> claim_records.StoredAnswer:
    """Return the stored answer in a message.

    :param message: the message.
    """
    headers = tuple((name, value) for name, value in message.headers)
    return claim_records.StoredAnswer(message.status, headers, message.body)
