"""A shard of claims: a log in the object API that any VM may append to.

The shard's head object holds the newest records; each write replaces it by a
conditional update, so that of two VMs which both believe that they own the
shard only one's write takes effect, and the other reads first what was
added. Full heads are moved to segments, immutable objects chained by name.
Many records share a write: all that arrive while one is under way go into
the next.
"""

import collections
import collections.abc
import random
import time
import uuid

import attrs
import gevent
import gevent.event
import gevent.lock
import logbook
import result

from mothworks import claim_log, claim_records, objects

log = logbook.Logger("claims")

#: Time that a claim waits for others to share its write, seconds.
GATHER_S = 0.004
#: Least time from one write of a shard to the next, seconds. Bounds the
#: writes of all shards, whatever the load.
SPACING_S = 0.05
#: Time that an outcome, which nobody waits for, may wait, seconds.
OUTCOME_S = 0.2
#: Bytes of records in a head that is moved to a segment.
SEGMENT_BYTES = 64 << 10
#: Most bytes of records in one write.
BATCH_BYTES = 512 << 10
#: Time after which no further attempt of a write begins, seconds. Its
#: claimants hold slots, and their callers wait for an answer.
WRITE_S = 2.0
#: Longest time to learn a write's outcome, seconds.
PATIENCE_S = 0.5
#: Longest pause after a conflict, seconds.
PAUSE_S = 0.02


@attrs.define
class Pending:
    """A record that waits to be written.

    :param record: the record.
    :param done: gets the outcome.
    """

    record: claim_records.Record
    done: gevent.event.AsyncResult = attrs.field(factory=gevent.event.AsyncResult)


#: What holds for a key after an append, or why that is not known.
Outcome = result.Result[claim_records.Known | None, objects.Unavailable]


class Shard:
    """One shard, as the VM that appends to it sees it.

    :param api: the object API.
    :param key: the head's key.
    :param retention_s: called for the time that records are kept, seconds.
    :param note_write: called with the number of records in each write.
    """

    def __init__(
        self,
        api: objects.Api,
        key: str,
        retention_s: collections.abc.Callable[[], float],
        note_write: collections.abc.Callable[[int], None] = lambda records: None,
    ):
        self.api = api
        self.note_write = note_write
        self.key = key
        self.retention_s = retention_s
        self.known_by_key: dict[bytes, claim_records.Known] = {}
        self.segments: collections.deque[claim_log.Segment] = collections.deque()
        self.head = claim_log.Head()
        self.version: str | None = None
        self.loaded = False
        self.pending: list[Pending] = []
        self.urgent = gevent.event.Event()
        self.reading = gevent.lock.RLock()
        self.writer: gevent.Greenlet | None = None

    def find(self, key: bytes) -> Outcome:
        """Return what is known of a key; None where it is free.

        :param key: the claim's key.
        """
        if not self.loaded:
            loaded = self._load()
            if loaded.is_err():
                return loaded
        return result.Ok(self._current(key))

    def append(self, record: claim_records.Record) -> Outcome:
        """Write a record, together with others, and wait for the outcome.

        :param record: the record.
        :returns: what holds for the key afterwards: for a claim, it is the
            claimant's where the id is the record's.
        """
        pending = Pending(record)
        self.pending.append(pending)
        if record.state is claim_records.State.CLAIMED:
            self.urgent.set()
        if self.writer is None or self.writer.dead:
            self.writer = gevent.spawn(self._write_pending)
        return pending.done.get()

    def reload(self) -> None:
        """Read the shard anew before the next answer."""
        self.loaded = False

    def answer(
        self, key: bytes
    ) -> result.Result[claim_records.StoredAnswer | None, objects.Unavailable]:
        """Return the stored answer of a request that is done, if it was kept.

        :param key: the claim's key.
        """
        known = self.known_by_key[key]
        records = self.head.records
        if known.segment:
            match self._read_segment(known.segment):
                case result.Ok(segment):
                    records = segment.records
                case error:
                    return error
        found = [
            record
            for record in records
            if record.claim_id == known.claim_id and record.answer is not None
        ]
        return result.Ok(found[-1].answer if found else None)

    def _current(self, key: bytes) -> claim_records.Known | None:
        known = self.known_by_key.get(key)
        if known is not None and known.when < time.time() - self.retention_s():
            del self.known_by_key[key]
            return None
        return known

    def _write_pending(self) -> None:
        while self.pending:
            self.urgent.wait(OUTCOME_S)
            gevent.sleep(GATHER_S)
            self.urgent.clear()
            batch = self._take_batch()
            next_write = time.monotonic() + SPACING_S
            outcome = self._write(batch)
            for pending in batch:
                if not pending.done.ready():
                    pending.done.set(outcome)
            if self.pending:
                gevent.sleep(max(0.0, next_write - time.monotonic()))

    def _take_batch(self) -> list[Pending]:
        batch, size = [], 0
        for pending in self.pending:
            size += claim_records.size(pending.record)
            if batch and size > BATCH_BYTES:
                self.urgent.set()
                break
            batch.append(pending)
        self.pending = self.pending[len(batch) :]
        return batch

    def _write(self, batch: list[Pending]) -> Outcome:
        """Write a batch; returns the outcome of what has none of its own."""
        deadline = time.monotonic() + WRITE_S
        while time.monotonic() < deadline:
            loaded = result.Ok(None) if self.loaded else self._load()
            if loaded.is_err():
                return loaded
            records = self._admit(batch)
            if not records:
                return result.Ok(None)
            match self._put(records):
                case result.Ok(_):
                    self._settle(batch)
                    return result.Ok(None)
                case result.Err(objects.Conflict() | objects.Unknown()):
                    # Another VM has written, or our own write may have taken
                    # effect: what is stored now tells, record by record.
                    self.loaded = False
                    gevent.sleep(random.uniform(0, PAUSE_S))
                case result.Err(problem):
                    return result.Err(objects.Unavailable(str(problem)))
        return result.Err(objects.Unavailable("the write did not get through"))

    def _admit(self, batch: list[Pending]) -> list[claim_records.Record]:
        """Return the records to write; settles the others."""
        records = []
        claimed = set()
        for pending in batch:
            if pending.done.ready():
                continue
            record = pending.record
            known = self._current(record.key)
            if record.state is claim_records.State.CLAIMED:
                needed = known is None and record.key not in claimed
                claimed.add(record.key)
            else:
                needed = (
                    known is not None
                    and known.claim_id == record.claim_id
                    and known.state < record.state
                )
            if needed:
                records.append(record)
            elif known is not None or record.state > claim_records.State.CLAIMED:
                pending.done.set(result.Ok(known))
        return records

    def _settle(self, batch: list[Pending]) -> None:
        for pending in batch:
            if not pending.done.ready():
                known = self._current(pending.record.key)
                pending.done.set(result.Ok(known))

    def _put(
        self, records: list[claim_records.Record]
    ) -> result.Result[None, objects.WriteError]:
        base = full = self.head
        sealed = None
        if sum(map(claim_records.size, full.records)) > SEGMENT_BYTES:
            match self._seal(full):
                case result.Ok(sealed):
                    base = claim_log.Head(b"", sealed.name, sealed.when)
                case error:
                    return error
        nonce = uuid.uuid4().bytes
        head = attrs.evolve(base, nonce=nonce, records=(*base.records, *records))
        self.note_write(len(records))
        written = objects.put_known(
            self.api, self.key, claim_log.pack(head), self.version, nonce, PATIENCE_S
        )
        if written.is_err():
            return written
        self.head, self.version = head, written.ok_value
        if sealed is not None:
            claim_records.fold(self.known_by_key, full.records, sealed.name)
            self._add_segment(sealed)
        claim_records.fold(self.known_by_key, records)
        return result.Ok(None)

    def _seal(
        self, head: claim_log.Head
    ) -> result.Result[claim_log.Segment, objects.WriteError]:
        name = f"{self.key}/{uuid.uuid4().hex}"
        newest = max(record.when for record in head.records)
        body = claim_log.pack(attrs.evolve(head, nonce=name.encode()))
        return objects.put_known(
            self.api, name, body, None, name.encode(), PATIENCE_S
        ).map(lambda _: claim_log.Segment(name, newest))

    def _add_segment(self, sealed: claim_log.Segment) -> None:
        self.segments.append(sealed)
        oldest = time.time() - self.retention_s()
        while self.segments and self.segments[0].when < oldest:
            expired = self.segments.popleft()
            self.api.get(expired.name).and_then(
                lambda stored: self.api.delete(stored.key, stored.version)
            )

    def _load(self) -> Outcome:
        """Read the head, and the segments that this VM has not read yet."""
        with self.reading:
            match self.api.get(self.key):
                case result.Ok(stored):
                    read, version = claim_log.unpack(stored.body), stored.version
                case result.Err(objects.Missing()):
                    read, version = result.Ok(claim_log.Head()), None
                case error:
                    return error
            if read.is_err():
                return read
            head = read.ok_value
            match self._read_chain(head):
                case result.Ok(chain):
                    pass
                case error:
                    return error
            for segment, content in reversed(chain):
                claim_records.fold(self.known_by_key, content.records, segment.name)
                self.segments.append(segment)
            claim_records.fold(self.known_by_key, head.records)
            self.head, self.version, self.loaded = head, version, True
        return result.Ok(None)

    def _read_chain(
        self, head: claim_log.Head
    ) -> result.Result[
        list[tuple[claim_log.Segment, claim_log.Head]], objects.Unavailable
    ]:
        """Read back from a head to a segment that was read or is too old."""
        oldest = time.time() - self.retention_s()
        read = {segment.name for segment in self.segments}
        chain = []
        while head.previous and head.previous not in read:
            segment = claim_log.Segment(head.previous, head.previous_when)
            if segment.when < oldest:
                break
            match self._read_segment(segment.name):
                case result.Ok(head):
                    chain.append((segment, head))
                case error:
                    return error
        return result.Ok(chain)

    def _read_segment(
        self, name: str
    ) -> result.Result[claim_log.Head, objects.Unavailable]:
        return (
            self.api.get(name)
            .map_err(lambda problem: objects.Unavailable(str(problem)))
            .and_then(lambda stored: claim_log.unpack(stored.body))
        )
