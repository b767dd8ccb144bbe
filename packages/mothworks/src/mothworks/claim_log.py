"""Stored forms of a shard of claims: its head, and segments moved from it."""

import attrs
import msgpack
import result

from mothworks import claim_records, objects


@attrs.frozen
class Head:
    """What a shard's head object or one of its segments holds.

    :param nonce: recognises a write whose reply was lost.
    :param previous: name of the segment before; empty for none.
    :param previous_when: wall time of that segment's newest record.
    :param records: packed records, in order.
    """

    nonce: bytes = b""
    previous: str = ""
    previous_when: int = 0
    records: tuple[claim_records.Record, ...] = ()


@attrs.frozen
class Segment:
    """A segment that this VM has read.

    :param name: its key.
    :param when: wall time of its newest record.
    """

    name: str
    when: int


def pack(head: Head) -> bytes:
    """Return a head or segment as the content of its object.

    :param head: the head.
    """
    return msgpack.packb(
        [
            head.nonce,
            head.previous,
            head.previous_when,
            claim_records.pack(head.records),
        ]
    )


def unpack(body: bytes) -> result.Result[Head, objects.Unavailable]:
    """Return the head or segment that an object holds.

    :param body: the object's content.
    :returns: an error where it is corrupt or of a later version of the
        program. Claims cannot be made then, as in an outage: to go on without
        them could run an order twice, to stop would stop every VM in turn.
    """
    try:
        nonce, previous, previous_when, rows = msgpack.unpackb(body)
        records = claim_records.unpack(rows)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return result.Err(objects.Unavailable(f"claims cannot be read: {error!r}"))
    return result.Ok(Head(nonce, previous, previous_when, records))
