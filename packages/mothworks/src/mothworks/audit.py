"""Audit trail: who changed what, when and why, stored in the object API.

:meth:`Audit.record` only appends to a bounded buffer, so that a slow or
unavailable object API never delays serving. A task writes the buffer in
batches to objects of this VM. Each object has a single writer, so writes never
conflict. An object is rewritten until it is full or the day ends; then a new
one is started.

Gaps are visible: after a buffer overflow an entry counts the lost entries, and
a VM that crashed leaves no closing entry (see :mod:`audit_reading`).
"""

import collections
import datetime
import enum
import time

import attrs
import gevent
import gevent.event
import gevent.lock
import logbook
import orjson
import result

from mothworks import documents, kernel, membership, objects, plugins

log = logbook.Logger("audit")

#: Objects are named PREFIX + day + "/" + VM + "/" + start time + "-" + number.
PREFIX = "audit/"
#: Size at which a new object is started, bytes. It is far below the platform's
#: limit of 1 MB, because every batch rewrites the whole object.
ROTATION_BYTES = 64 << 10
#: Maximum number of entries buffered for writing; further ones are dropped and
#: counted.
MAX_BUFFERED_ENTRIES = 2000
#: Minimum interval between the writes of one VM, seconds.
MIN_WRITE_INTERVAL_S = 1.0
#: Maximum rate at which the trails of all VMs together write to the object
#: API, writes/s.
MAX_WRITES_PER_S = 50.0
#: Text of the last entry of a VM that shut down gracefully.
CLOSED = "closed"
#: Maximum number of bytes quoted of a line that can't be parsed.
MAX_EXCERPT_BYTES = 200
#: Maximum time that a graceful shutdown spends on the last write, seconds.
MAX_CLOSING_S = 5.0


class Kind(enum.StrEnum):
    """The kind of change that an entry records."""

    CONFIGURATION = "configuration"
    COMMAND = "command"
    ORDER = "order"
    MOVE = "move"
    QUARANTINE = "quarantine"
    OWNERSHIP = "ownership"
    #: The trail itself: it started, was closed, or lost entries.
    TRAIL = "trail"


@attrs.frozen
class Entry:
    """One accepted change.

    :param at: time by the recording VM's clock, ISO 8601, UTC.
    :param vm: the VM that recorded it.
    :param number: number of the entry since the VM's start, from 1.
    :param kind: the kind of change.
    :param who: the operator, or the VM if it decided by itself.
    :param subject: the model, endpoint, caller or request concerned.
    :param what: what was done.
    :param why: the reason.
    :param before: revision or fencing token before the change; None if
        none applies.
    :param after: revision or fencing token after the change.
    """

    at: str
    vm: str
    number: int
    kind: Kind
    who: str
    subject: str
    what: str
    why: str
    before: int | None = None
    after: int | None = None


@plugins.register(plugins.PART, "audit")
class Audit(kernel.Part):
    """Records the changes that this VM makes.

    :param node_kernel: the node's kernel.

    >>> trail = node_kernel.get(audit.Audit)              # doctest: +SKIP
    >>> trail.record(audit.Kind.MOVE, "menu", "load on engine-1",
    ...              "demand 4 requests/s", before=3, after=4)  # doctest: +SKIP
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.vm = node_kernel.settings.name
        self.started_ms = time.time_ns() // 1_000_000
        self.pending: collections.deque[Entry] = collections.deque()
        self.dropped = 0
        self.number = 0
        self.segment = Segment("", "")
        self.segment_count = 0
        self.has_pending = gevent.event.Event()
        self.write_lock = gevent.lock.RLock()
        self.lost_total = node_kernel.metrics.counter(
            "audit_lost_total", "Audit entries dropped because the buffer was full."
        )

    def start(self) -> None:
        """Start the writing task; the first entry records the VM's start."""
        self.record(Kind.TRAIL, self.vm, "started", "")
        self.tasks.spawn(self._write_forever)

    def drain(self, deadline: float) -> None:
        """Write the closing entry, which shows readers that the trail is complete.

        :param deadline: monotonic time by which to return, seconds.
        """
        self.record(Kind.TRAIL, self.vm, CLOSED, "graceful shutdown")
        deadline = min(deadline, time.monotonic() + MAX_CLOSING_S)
        while self.pending and time.monotonic() < deadline:
            if not self._write_pending():
                gevent.sleep(0.2)

    def record(
        self,
        kind: Kind,
        subject: str,
        what: str,
        why: str,
        *,
        who: str = "",
        before: int | None = None,
        after: int | None = None,
    ) -> None:
        """Add an entry to the trail; never blocks.

        :param kind: the kind of change.
        :param subject: the model, endpoint, caller or request concerned.
        :param what: what was done.
        :param why: the reason, with the figures behind the decision.
        :param who: the operator; empty if this VM decided by itself.
        :param before: revision or fencing token before the change.
        :param after: revision or fencing token after the change.
        """
        if len(self.pending) >= MAX_BUFFERED_ENTRIES:
            self.dropped += 1
            self.lost_total.inc({})
            return
        self._record_gap()
        self._append(kind, subject, what, why, who, before, after)
        self.has_pending.set()

    def write_interval_s(self) -> float:
        """Return the interval that keeps the writes of all VMs within the limit."""
        vms = len(self.kernel.get(membership.Membership).live())
        return max(MIN_WRITE_INTERVAL_S, vms / MAX_WRITES_PER_S)

    def _append(self, kind, subject, what, why, who, before, after) -> None:
        self.number += 1
        now = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
        self.pending.append(
            Entry(
                now,
                self.vm,
                self.number,
                kind,
                who or self.vm,
                subject,
                what,
                why,
                before,
                after,
            )
        )

    def _record_gap(self) -> None:
        if not self.dropped:
            return
        dropped, self.dropped = self.dropped, 0
        why = f"the buffer of {MAX_BUFFERED_ENTRIES} entries was full"
        self._append(
            Kind.TRAIL, self.vm, f"lost {dropped} entries", why, "", None, None
        )

    def _write_forever(self) -> None:
        while True:
            self.has_pending.wait()
            self._write_pending()
            gevent.sleep(self.write_interval_s())

    def _write_pending(self) -> bool:
        """Write one batch, if any; return False if the write failed."""
        # drain() may write at the same time as the writing task.
        with self.write_lock:
            return not self.pending or self._write_batch()

    def _write_batch(self) -> bool:
        self._rotate()
        batch = self._next_batch()
        segment = self.segment.extended(batch)
        match self.api.put(segment.key, segment.body, segment.version):
            case result.Ok(version):
                self.segment = attrs.evolve(segment, version=version)
                for _ in batch:
                    self.pending.popleft()
                if not self.pending:
                    self.has_pending.clear()
                return True
            case result.Err(objects.Unavailable(reason)):
                log.warning("audit entries stay buffered: {}", reason)
            case result.Err(_):
                self._read_version()
        return False

    def _rotate(self) -> None:
        day = self.pending[0].at[:10] if self.pending else self.segment.day
        full = len(self.segment.body) >= ROTATION_BYTES
        if full or day != self.segment.day:
            self.segment_count += 1
            name = f"{day}/{self.vm}/{self.started_ms}-{self.segment_count:06}"
            self.segment = Segment(day, PREFIX + name)

    def _next_batch(self) -> list[Entry]:
        """Return the buffered entries that fit into the open object, at least one."""
        remaining = ROTATION_BYTES - len(self.segment.body)
        batch = []
        for entry in self.pending:
            if batch and (remaining <= 0 or entry.at[:10] != self.segment.day):
                break
            remaining -= len(line(entry))
            batch.append(entry)
        return batch

    def _read_version(self) -> None:
        # The response to a write was lost. Only this VM writes the object, and
        # always as a whole, so overwriting the stored version is correct
        # whether or not the lost write took effect.
        match self.api.get(self.segment.key):
            case result.Ok(stored):
                self.segment = attrs.evolve(self.segment, version=stored.version)
            case result.Err(problem):
                log.warning("audit entries stay buffered: {}", problem)


@attrs.frozen
class Segment:
    """The object that a VM currently writes its trail to.

    :param day: date of its entries, ISO 8601.
    :param key: its key in the object API.
    :param body: its content, one JSON entry per line.
    :param version: its version in the object API; None before it exists.
    """

    day: str
    key: str
    body: bytes = b""
    version: str | None = None

    def extended(self, entries: list[Entry]) -> "Segment":
        """Return the segment with entries appended.

        :param entries: the entries to append.
        """
        return attrs.evolve(self, body=self.body + b"".join(map(line, entries)))


def line(entry: Entry) -> bytes:
    """Encode an entry for storage, as one line of JSON.

    :param entry: the entry.
    """
    return orjson.dumps(documents.to_plain(entry), option=orjson.OPT_APPEND_NEWLINE)


def parse(body: bytes) -> list[Entry]:
    """Return the entries of a stored object, oldest first.

    A line that can't be parsed, because it is corrupt or written by a later
    version, yields an entry that quotes it. Unknown fields are ignored.

    :param body: the object's content.
    """
    entries: list[Entry] = []
    for text in body.splitlines():
        number = entries[-1].number + 1 if entries else 1
        entries.append(_parse_line(text, number))
    return entries


def _parse_line(text: bytes, number: int) -> Entry:
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        value = {}
    value = value if isinstance(value, dict) else {}
    names = [field.name for field in attrs.fields(Entry)]
    known_fields = {name: value[name] for name in names if name in value}
    match documents.structure(known_fields, Entry, "audit"):
        case result.Ok(entry):
            return entry
    vm = str(value.get("vm", ""))
    excerpt = text[:MAX_EXCERPT_BYTES].decode(errors="replace")
    what = "an entry that this version can't read"
    return Entry(
        str(value.get("at", "")), vm, number, Kind.TRAIL, vm, vm, what, excerpt
    )
