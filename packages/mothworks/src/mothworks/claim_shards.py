"""A shard of claims: a log in the object API that any VM may append to.

The shard's head object holds the newest records. Each write replaces it by a
conditional update: if two VMs both act as owner, only one write succeeds, and
the other VM reloads the shard before it retries. Full heads are sealed as
segments, immutable objects linked by key. Records are written in batches: all
that arrive during one write go into the next.
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

#: Time for which a claim waits for others to join its batch, seconds.
BATCH_DELAY_S = 0.004
#: Minimum interval between writes of a shard, seconds. Bounds the rate of
#: writes over all shards at any load.
WRITE_INTERVAL_S = 0.05
#: Longest time for which outcomes are delayed to join a batch, seconds; no
#: caller waits for them.
OUTCOME_DELAY_S = 0.2
#: Bytes of records above which a head is sealed as a segment.
SEGMENT_BYTES = 64 << 10
#: Maximum bytes of records in one batch.
MAX_BATCH_BYTES = 512 << 10
#: Time after which a write is not retried, seconds. The claiming requests
#: hold slots meanwhile, and their callers wait for an answer.
WRITE_TIMEOUT_S = 2.0
#: Longest time to find out whether a write took effect, seconds.
CONFIRM_TIMEOUT_S = 0.5
#: Longest pause after a conflict, seconds.
MAX_CONFLICT_PAUSE_S = 0.02


@attrs.define
class Pending:
    """A record that is queued to be written.

    :param record: the record.
    :param done: is set to a :data:`KeyResult` afterwards.
    """

    record: claim_records.Record
    done: gevent.event.AsyncResult = attrs.field(factory=gevent.event.AsyncResult)


#: The current claim of a key, None if the key is free, or why it is unknown.
KeyResult = result.Result[claim_records.CurrentClaim | None, objects.Unavailable]


class Shard:
    """One shard: a VM's copy of its claims, and the queue of records to write.

    :param api: the object API.
    :param key: key of the head object.
    :param retention_s: returns the retention of records, seconds.
    :param on_write: called with the number of records in each write.
    """

    def __init__(
        self,
        api: objects.Api,
        key: str,
        retention_s: collections.abc.Callable[[], float],
        on_write: collections.abc.Callable[[int], None] = lambda records: None,
    ):
        self.api = api
        self.on_write = on_write
        self.key = key
        self.retention_s = retention_s
        self.claim_by_key: dict[bytes, claim_records.CurrentClaim] = {}
        self.segments: collections.deque[claim_log.Segment] = collections.deque()
        self.head = claim_log.Head()
        self.version: str | None = None
        self.loaded = False
        self.pending: list[Pending] = []
        #: Set to write pending records without waiting for :data:`OUTCOME_DELAY_S`.
        self.flush = gevent.event.Event()
        self.load_lock = gevent.lock.RLock()
        self.writer: gevent.Greenlet | None = None

    def find(self, key: bytes) -> KeyResult:
        """Return the current claim of a key; None if the key is free.

        :param key: the claim's key.
        """
        if not self.loaded:
            loaded = self._load()
            if loaded.is_err():
                return loaded
        return result.Ok(self._current(key))

    def append(self, record: claim_records.Record) -> KeyResult:
        """Write a record in a batch with others, and wait for the result.

        :param record: the record.
        :returns: the key's claim after the write; a record that claims the key
            succeeded if the claim's id is its own.
        """
        pending = Pending(record)
        self.pending.append(pending)
        if record.state is claim_records.State.CLAIMED:
            self.flush.set()
        if self.writer is None or self.writer.dead:
            self.writer = gevent.spawn(self._write_pending)
        return pending.done.get()

    def reload(self) -> None:
        """Load the shard again before it is next read or written."""
        self.loaded = False

    def answer(
        self, key: bytes
    ) -> result.Result[claim_records.StoredAnswer | None, objects.Unavailable]:
        """Return the stored answer of a request that is done; None if not stored.

        :param key: the claim's key.
        """
        current = self.claim_by_key[key]
        records = self.head.records
        if current.segment:
            match self._read_segment(current.segment):
                case result.Ok(segment):
                    records = segment.records
                case error:
                    return error
        answered = [
            record
            for record in records
            if record.claim_id == current.claim_id and record.answer is not None
        ]
        return result.Ok(answered[-1].answer if answered else None)

    def _current(self, key: bytes) -> claim_records.CurrentClaim | None:
        current = self.claim_by_key.get(key)
        if (
            current is not None
            and current.timestamp_s < time.time() - self.retention_s()
        ):
            del self.claim_by_key[key]
            return None
        return current

    def _write_pending(self) -> None:
        while self.pending:
            self.flush.wait(OUTCOME_DELAY_S)
            gevent.sleep(BATCH_DELAY_S)
            self.flush.clear()
            batch = self._pop_batch()
            next_write = time.monotonic() + WRITE_INTERVAL_S
            write_result = self._write(batch)
            for pending in batch:
                if not pending.done.ready():
                    pending.done.set(write_result)
            if self.pending:
                gevent.sleep(max(0.0, next_write - time.monotonic()))

    def _pop_batch(self) -> list[Pending]:
        batch, size = [], 0
        for pending in self.pending:
            size += claim_records.size(pending.record)
            if batch and size > MAX_BATCH_BYTES:
                self.flush.set()
                break
            batch.append(pending)
        self.pending = self.pending[len(batch) :]
        return batch

    def _write(self, batch: list[Pending]) -> KeyResult:
        """Write a batch; returns the result of records that have none of their own."""
        deadline = time.monotonic() + WRITE_TIMEOUT_S
        while time.monotonic() < deadline:
            loaded = result.Ok(None) if self.loaded else self._load()
            if loaded.is_err():
                return loaded
            records = self._select_records(batch)
            if not records:
                return result.Ok(None)
            match self._put(records):
                case result.Ok(_):
                    self._resolve(batch)
                    return result.Ok(None)
                case result.Err(objects.Conflict() | objects.Unknown()):
                    # Another VM wrote first, or this write may have taken effect:
                    # reload to find out which records are stored.
                    self.loaded = False
                    gevent.sleep(random.uniform(0, MAX_CONFLICT_PAUSE_S))
                case result.Err(problem):
                    return result.Err(objects.Unavailable(str(problem)))
        return result.Err(objects.Unavailable("the write did not succeed in time"))

    def _select_records(self, batch: list[Pending]) -> list[claim_records.Record]:
        """Return the records that need writing; set the result of others."""
        records = []
        claimed_keys = set()
        for pending in batch:
            if pending.done.ready():
                continue
            record = pending.record
            current = self._current(record.key)
            if record.state is claim_records.State.CLAIMED:
                must_write = current is None and record.key not in claimed_keys
                claimed_keys.add(record.key)
            else:
                must_write = (
                    current is not None
                    and current.claim_id == record.claim_id
                    and current.state < record.state
                )
            if must_write:
                records.append(record)
            elif current is not None or record.state > claim_records.State.CLAIMED:
                pending.done.set(result.Ok(current))
        return records

    def _resolve(self, batch: list[Pending]) -> None:
        for pending in batch:
            if not pending.done.ready():
                current = self._current(pending.record.key)
                pending.done.set(result.Ok(current))

    def _put(
        self, records: list[claim_records.Record]
    ) -> result.Result[None, objects.WriteError]:
        base = old_head = self.head
        sealed = None
        if sum(map(claim_records.size, old_head.records)) > SEGMENT_BYTES:
            match self._seal(old_head):
                case result.Ok(sealed):
                    base = claim_log.Head(b"", sealed.name, sealed.timestamp_s)
                case error:
                    return error
        nonce = uuid.uuid4().bytes
        head = attrs.evolve(base, nonce=nonce, records=(*base.records, *records))
        self.on_write(len(records))
        written = objects.put_and_confirm(
            self.api,
            self.key,
            claim_log.pack(head),
            self.version,
            nonce,
            CONFIRM_TIMEOUT_S,
        )
        if written.is_err():
            return written
        self.head, self.version = head, written.ok_value
        if sealed is not None:
            claim_records.apply(self.claim_by_key, old_head.records, sealed.name)
            self._add_segment(sealed)
        claim_records.apply(self.claim_by_key, records)
        return result.Ok(None)

    def _seal(
        self, head: claim_log.Head
    ) -> result.Result[claim_log.Segment, objects.WriteError]:
        name = f"{self.key}/{uuid.uuid4().hex}"
        newest = max(record.timestamp_s for record in head.records)
        body = claim_log.pack(attrs.evolve(head, nonce=name.encode()))
        return objects.put_and_confirm(
            self.api, name, body, None, name.encode(), CONFIRM_TIMEOUT_S
        ).map(lambda _: claim_log.Segment(name, newest))

    def _add_segment(self, sealed: claim_log.Segment) -> None:
        """Record a sealed segment, and delete the expired ones."""
        self.segments.append(sealed)
        expired_before = time.time() - self.retention_s()
        while self.segments and self.segments[0].timestamp_s < expired_before:
            expired = self.segments.popleft()
            self.api.get(expired.name).and_then(
                lambda stored: self.api.delete(stored.key, stored.version)
            )

    def _load(self) -> KeyResult:
        """Load the head, and segments that this VM has not loaded yet."""
        with self.load_lock:
            match self.api.get(self.key):
                case result.Ok(stored):
                    unpacked, version = claim_log.unpack(stored.body), stored.version
                case result.Err(objects.Missing()):
                    unpacked, version = result.Ok(claim_log.Head()), None
                case error:
                    return error
            if unpacked.is_err():
                return unpacked
            head = unpacked.ok_value
            match self._read_chain(head):
                case result.Ok(chain):
                    pass
                case error:
                    return error
            for segment, content in reversed(chain):
                claim_records.apply(self.claim_by_key, content.records, segment.name)
                self.segments.append(segment)
            claim_records.apply(self.claim_by_key, head.records)
            self.head, self.version, self.loaded = head, version, True
        return result.Ok(None)

    def _read_chain(
        self, head: claim_log.Head
    ) -> result.Result[
        list[tuple[claim_log.Segment, claim_log.Head]], objects.Unavailable
    ]:
        """Read segments, newest first, up to one that is loaded or expired."""
        expired_before = time.time() - self.retention_s()
        loaded_names = {segment.name for segment in self.segments}
        chain = []
        while head.previous and head.previous not in loaded_names:
            segment = claim_log.Segment(head.previous, head.previous_timestamp_s)
            if segment.timestamp_s < expired_before:
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
