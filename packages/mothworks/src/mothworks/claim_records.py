"""Records of claims, as stored in a shard's log.

The first record of a key claims it; later records with the same claim id
hold the request's outcome. Applying the log in order yields the current
claims, and applying a record twice changes nothing.
"""

import collections.abc
import enum

import attrs
import msgpack


class State(enum.IntEnum):
    """State of a claimed request; a higher state replaces a lower one."""

    #: The request may be running.
    CLAIMED = 0
    #: The request may have run; its answer is lost.
    UNKNOWN = 1
    #: The request ran; its answer is stored unless it was too long.
    DONE = 2
    #: The request did not run; the key is free again.
    RELEASED = 3


@attrs.frozen
class StoredAnswer:
    """An answer that is stored for resends.

    :param status: the HTTP status.
    :param headers: its headers.
    :param body: its complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class Record:
    """One record of a shard's log.

    :param key: hash of the caller's name and its Idempotency-Key.
    :param claim_id: random id, chosen by the claiming entry.
    :param state: a :class:`State`.
    :param timestamp_s: Unix time, whole seconds.
    :param request_hash: hash of the request; a different request with the
        same key is refused.
    :param holder: the entry that runs the request; empty in records of outcomes.
    :param answer: the answer, if the request is done and it was short enough.
    """

    key: bytes
    claim_id: bytes
    state: State
    timestamp_s: int
    request_hash: bytes
    holder: str
    answer: StoredAnswer | None = None


@attrs.frozen
class CurrentClaim:
    """The current claim of a key, without its answer.

    :param claim_id: see :class:`Record`.
    :param state: see :class:`Record`.
    :param timestamp_s: Unix time at which the key was claimed, whole seconds.
    :param request_hash: see :class:`Record`.
    :param holder: see :class:`Record`.
    :param segment: key of the segment that holds the newest record; empty
        for the shard's head.
    """

    claim_id: bytes
    state: State
    timestamp_s: int
    request_hash: bytes
    holder: str
    segment: str = ""


def apply(
    claim_by_key: dict[bytes, CurrentClaim],
    records: collections.abc.Iterable[Record],
    segment: str = "",
) -> None:
    """Apply records to the current claims, in the log's order.

    :param claim_by_key: the current claims; modified in place.
    :param records: the records of one object.
    :param segment: key of that object; empty for the shard's head.
    """
    for record in records:
        current = claim_by_key.get(record.key)
        if current is None:
            if record.state is not State.RELEASED:
                claim_by_key[record.key] = _current_claim(
                    record, record.timestamp_s, segment
                )
        elif current.claim_id == record.claim_id and record.state >= current.state:
            if record.state is State.RELEASED:
                del claim_by_key[record.key]
            else:
                claim_by_key[record.key] = _current_claim(
                    record, current.timestamp_s, segment
                )


def pack(records: collections.abc.Iterable[Record]) -> list[list]:
    """Convert records to lists for msgpack.

    :param records: the records.
    """
    return [
        [
            record.key,
            record.claim_id,
            int(record.state),
            record.timestamp_s,
            record.request_hash,
            record.holder,
            attrs.astuple(record.answer) if record.answer else None,
        ]
        for record in records
    ]


def unpack(rows: list[list]) -> tuple[Record, ...]:
    """Convert lists back to records; the reverse of :func:`pack`.

    :param rows: the lists.
    """
    return tuple(_record(*row) for row in rows)


def size(record: Record) -> int:
    """Return a record's encoded length, bytes.

    :param record: the record.
    """
    return len(msgpack.packb(pack((record,))))


def _current_claim(record: Record, timestamp_s: int, segment: str) -> CurrentClaim:
    return CurrentClaim(
        record.claim_id,
        record.state,
        timestamp_s,
        record.request_hash,
        record.holder,
        segment,
    )


def _record(key, claim_id, state, timestamp_s, request_hash, holder, answer) -> Record:
    if answer is not None:
        status, headers, body = answer
        answer = StoredAnswer(status, tuple(map(tuple, headers)), body)
    return Record(
        key, claim_id, State(state), timestamp_s, request_hash, holder, answer
    )
