"""Records of claims, as they are stored in a shard's log.

The first record of a key claims it; later ones with the same claim's id say
how the request ended. Folding the log in order gives what holds now, and
folding a record twice changes nothing.
"""

import collections.abc
import enum

import attrs
import msgpack


class State(enum.IntEnum):
    """What is known of a claimed request; a higher state replaces a lower."""

    #: It may be running.
    CLAIMED = 0
    #: It may have run; its answer is lost.
    UNKNOWN = 1
    #: It ran, and its answer is stored unless it was too long.
    DONE = 2
    #: It did not run; the key is free again.
    RELEASED = 3


@attrs.frozen
class StoredAnswer:
    """An answer that is kept for resends.

    :param status: the HTTP status.
    :param headers: its headers.
    :param body: its whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class Record:
    """One entry of a shard's log.

    :param key: hash of the caller and the caller's key.
    :param claim_id: random, chosen by the claimant.
    :param state: a :class:`State`.
    :param when: wall time, whole seconds.
    :param request_hash: hash of the request, to refuse another one.
    :param holder: the VM that runs it.
    :param answer: the answer of a request that is done.
    """

    key: bytes
    claim_id: bytes
    state: State
    when: int
    request_hash: bytes
    holder: str
    answer: StoredAnswer | None = None


@attrs.frozen
class Known:
    """What a shard's owner remembers of a key.

    :param claim_id: see :class:`Record`.
    :param state: see :class:`Record`.
    :param when: time of the claim, whole seconds.
    :param request_hash: see :class:`Record`.
    :param holder: see :class:`Record`.
    :param segment: the object that holds the newest record; empty for the
        shard's head.
    """

    claim_id: bytes
    state: State
    when: int
    request_hash: bytes
    holder: str
    segment: str = ""


def fold(
    known_by_key: dict[bytes, Known],
    records: collections.abc.Iterable[Record],
    segment: str = "",
) -> None:
    """Bring what is known up to date with records, in the log's order.

    :param known_by_key: is changed.
    :param records: records of one object.
    :param segment: that object; empty for the shard's head.
    """
    for record in records:
        known = known_by_key.get(record.key)
        if known is None:
            if record.state is not State.RELEASED:
                known_by_key[record.key] = _known(record, record.when, segment)
        elif known.claim_id == record.claim_id and record.state >= known.state:
            if record.state is State.RELEASED:
                del known_by_key[record.key]
            else:
                known_by_key[record.key] = _known(record, known.when, segment)


def pack(records: collections.abc.Iterable[Record]) -> list[list]:
    """Return records as plain lists for msgpack.

    :param records: the records.
    """
    return [
        [
            record.key,
            record.claim_id,
            int(record.state),
            record.when,
            record.request_hash,
            record.holder,
            attrs.astuple(record.answer) if record.answer else None,
        ]
        for record in records
    ]


def unpack(rows: list[list]) -> tuple[Record, ...]:
    """Return the records that :func:`pack` made plain.

    :param rows: plain lists.
    """
    return tuple(_record(*row) for row in rows)


def size(record: Record) -> int:
    """Return a record's length in an object, bytes.

    :param record: the record.
    """
    return len(msgpack.packb(pack((record,))))


def _known(record: Record, when: int, segment: str) -> Known:
    return Known(
        record.claim_id, record.state, when, record.request_hash, record.holder, segment
    )


def _record(key, claim_id, state, when, request_hash, holder, answer) -> Record:
    if answer is not None:
        status, headers, body = answer
        answer = StoredAnswer(status, tuple(map(tuple, headers)), body)
    return Record(key, claim_id, State(state), when, request_hash, holder, answer)
