"""Audit trail: who changed what, when and why, kept in the object API.

:meth:`Audit.record` only appends to a bounded buffer, so that a slow or
absent object API never delays serving. A task writes the buffer in batches
into objects of this VM: one writer an object, so no write is contended. An
object is rewritten until it is full or the day ends; then a new one starts.

A gap is visible: an overflowed buffer leaves an entry with the count of lost
entries, and a VM that died left no closing entry (see :mod:`audit_reading`).
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

#: Objects are named PREFIX + day + "/" + VM + "/" + start of life + "-" + number.
PREFIX = "audit/"
#: Size at which an object is closed. Far under the platform's 1 MB, because
#: every batch writes the whole object again.
OBJECT_BYTES = 64 << 10
#: Most entries that wait to be written; more are counted and dropped.
BUFFER_ENTRIES = 2000
#: Shortest time between writes of one VM, seconds.
PERIOD_S = 1.0
#: Share of the object API's writes that all VMs' trails may take, writes/s.
WRITES_PER_S = 50.0
#: What the last entry of a VM that shut down gracefully says.
CLOSED = "closed"
#: Bytes shown of a line that can't be read.
SHOWN_BYTES = 200
#: Longest time that a graceful shutdown spends on the last write, seconds.
CLOSE_S = 5.0


class Kind(enum.StrEnum):
    """What sort of change an entry tells of."""

    CONFIGURATION = "configuration"
    COMMAND = "command"
    ORDER = "order"
    MOVE = "move"
    QUARANTINE = "quarantine"
    OWNERSHIP = "ownership"
    #: About the trail itself: started, closed, or entries were lost.
    TRAIL = "trail"


@attrs.frozen
class Entry:
    """One accepted change.

    :param at: ISO time, UTC, on the recording VM's clock.
    :param vm: the VM that recorded it.
    :param number: counts the VM's entries since its start, from 1.
    :param kind: the sort of change.
    :param who: the operator, or the VM that decided by itself.
    :param subject: the model, endpoint, caller or request concerned.
    :param what: what was done.
    :param why: the reason.
    :param before: revision or fencing number before; None where none applies.
    :param after: revision or fencing number after.
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
    """Records this VM's changes.

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
        self.lost = 0
        self.number = 0
        self.segment = Segment("", "")
        self.segments = 0
        self.waiting = gevent.event.Event()
        self.writing = gevent.lock.RLock()
        self.lost_total = node_kernel.metrics.counter(
            "audit_lost_total", "Audit entries dropped because the buffer was full."
        )

    def start(self) -> None:
        """Start to write; the first entry tells of the VM's start."""
        self.record(Kind.TRAIL, self.vm, "started", "")
        self.tasks.spawn(self._write_forever)

    def drain(self, deadline: float) -> None:
        """Close the trail, so that a reader knows it is whole.

        :param deadline: time on the monotonic clock by which to return.
        """
        self.record(Kind.TRAIL, self.vm, CLOSED, "graceful shutdown")
        deadline = min(deadline, time.monotonic() + CLOSE_S)
        while self.pending and time.monotonic() < deadline:
            if not self._write():
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
        """Add an entry to the trail; returns at once.

        :param kind: the sort of change.
        :param subject: the model, endpoint, caller or request concerned.
        :param what: what was done.
        :param why: the reason, with the numbers of the decision.
        :param who: the operator; empty where this VM decided by itself.
        :param before: revision or fencing number before.
        :param after: revision or fencing number after.
        """
        if len(self.pending) >= BUFFER_ENTRIES:
            self.lost += 1
            self.lost_total.inc({})
            return
        self._mark_gap()
        self._append(kind, subject, what, why, who, before, after)
        self.waiting.set()

    def period_s(self) -> float:
        """Return the time between writes that keeps all VMs in their share."""
        vms = len(self.kernel.get(membership.Membership).live())
        return max(PERIOD_S, vms / WRITES_PER_S)

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

    def _mark_gap(self) -> None:
        if not self.lost:
            return
        lost, self.lost = self.lost, 0
        why = f"the buffer of {BUFFER_ENTRIES} entries was full"
        self._append(Kind.TRAIL, self.vm, f"lost {lost} entries", why, "", None, None)

    def _write_forever(self) -> None:
        while True:
            self.waiting.wait()
            self._write()
            gevent.sleep(self.period_s())

    def _write(self) -> bool:
        """Write one batch; returns whether it was stored."""
        # The closing write of a shutdown may meet the task's last one.
        with self.writing:
            return not self.pending or self._write_batch()

    def _write_batch(self) -> bool:
        self._rotate()
        batch = self._batch()
        segment = self.segment.extended(batch)
        match self.api.put(segment.key, segment.body, segment.version):
            case result.Ok(version):
                self.segment = attrs.evolve(segment, version=version)
                for _ in batch:
                    self.pending.popleft()
                if not self.pending:
                    self.waiting.clear()
                return True
            case result.Err(objects.Unavailable(reason)):
                log.warning("the audit trail waits: {}", reason)
            case result.Err(_):
                self._read_version()
        return False

    def _rotate(self) -> None:
        day = self.pending[0].at[:10] if self.pending else self.segment.day
        full = len(self.segment.body) >= OBJECT_BYTES
        if full or day != self.segment.day:
            self.segments += 1
            name = f"{day}/{self.vm}/{self.started_ms}-{self.segments:06}"
            self.segment = Segment(day, PREFIX + name)

    def _batch(self) -> list[Entry]:
        """Return the entries that fit into the open object, at least one."""
        room = OBJECT_BYTES - len(self.segment.body)
        batch = []
        for entry in self.pending:
            if batch and (room <= 0 or entry.at[:10] != self.segment.day):
                break
            room -= len(line(entry))
            batch.append(entry)
        return batch

    def _read_version(self) -> None:
        # The reply to a write was lost. Only this VM writes the object, and
        # always whole, so writing it again over the version found is right
        # whether or not the lost write took effect.
        match self.api.get(self.segment.key):
            case result.Ok(stored):
                self.segment = attrs.evolve(self.segment, version=stored.version)
            case result.Err(problem):
                log.warning("the audit trail waits: {}", problem)


@attrs.frozen
class Segment:
    """The object that a VM's trail is being written to.

    :param day: the ISO date of its entries.
    :param key: its key.
    :param body: its content, one JSON entry a line.
    :param version: its version in the object API; None before it exists.
    """

    day: str
    key: str
    body: bytes = b""
    version: str | None = None

    def extended(self, entries: list[Entry]) -> "Segment":
        """Return the segment with more entries.

        :param entries: what to append.
        """
        return attrs.evolve(self, body=self.body + b"".join(map(line, entries)))


def line(entry: Entry) -> bytes:
    """Return an entry as it is stored, one line of JSON.

    :param entry: the entry.
    """
    return orjson.dumps(documents.plain(entry), option=orjson.OPT_APPEND_NEWLINE)


def parse(body: bytes) -> list[Entry]:
    """Return the entries of a stored object, oldest first.

    A line that can't be read, because it is corrupt or of a later version,
    becomes an entry that says so; fields that are not known are left out.

    :param body: the object's content.
    """
    entries: list[Entry] = []
    for item in body.splitlines():
        number = entries[-1].number + 1 if entries else 1
        entries.append(_read(item, number))
    return entries


def _read(item: bytes, number: int) -> Entry:
    try:
        value = orjson.loads(item)
    except orjson.JSONDecodeError:
        value = {}
    value = value if isinstance(value, dict) else {}
    names = [field.name for field in attrs.fields(Entry)]
    known = {name: value[name] for name in names if name in value}
    match documents.structure(known, Entry, "audit"):
        case result.Ok(entry):
            return entry
    vm = str(value.get("vm", ""))
    text = item[:SHOWN_BYTES].decode(errors="replace")
    what = "an entry that this version can't read"
    return Entry(str(value.get("at", "")), vm, number, Kind.TRAIL, vm, vm, what, text)
