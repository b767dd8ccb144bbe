"""Storage format of a shard of claims: a head object and sealed segments."""

import attrs
import msgpack
import result

from mothworks import claim_records, objects


@attrs.frozen
class Head:
    """Content of a shard's head object or of one of its segments.

    :param nonce: identifies the write, to recognise it if its reply was lost.
    :param previous: key of the preceding segment; empty for none.
    :param previous_timestamp_s: Unix time of that segment's newest record, seconds.
    :param records: the records, in the order they were written.
    """

    nonce: bytes = b""
    previous: str = ""
    previous_timestamp_s: int = 0
    records: tuple[claim_records.Record, ...] = ()


@attrs.frozen
class Segment:
    """A segment whose records this VM has loaded.

    :param name: its key.
    :param timestamp_s: Unix time of its newest record, seconds.
    """

    name: str
    timestamp_s: int


def pack(head: Head) -> bytes:
    """Encode a head or segment as the body of its object.

    :param head: the head or segment.
    """
    return msgpack.packb(
        [
            head.nonce,
            head.previous,
            head.previous_timestamp_s,
            claim_records.pack(head.records),
        ]
    )


def unpack(body: bytes) -> result.Result[Head, objects.Unavailable]:
    """Decode the body of a head or segment object.

    :param body: the object's body.
    :returns: an error where it is corrupt or of a later version of the
        program. Claims are then refused as in an outage: ignoring the records
        could run a request twice, and exiting would stop every VM in turn, as
        each becomes the shard's owner.
    """
    try:
        nonce, previous, previous_timestamp_s, rows = msgpack.unpackb(body)
        records = claim_records.unpack(rows)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return result.Err(objects.Unavailable(f"cannot decode claims: {error!r}"))
    return result.Ok(Head(nonce, previous, previous_timestamp_s, records))
