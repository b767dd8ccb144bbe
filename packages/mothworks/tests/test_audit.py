"""Audit trail: batches, rotation, lost responses, outages and gaps."""

import datetime

import gevent
import pytest

import builders
import memory_objects
from mothworks import (
    audit,
    audit_reading,
    audit_retention,
    kernel,
    membership,
    objects,
)
from mothworks_fakes import object_api, processes


@pytest.fixture
def api():
    fake = object_api.ObjectApi().start()
    yield fake
    fake.stop()


@pytest.fixture
def trails():
    started = []
    yield started
    for trail in started:
        trail.stop()


@pytest.fixture
def start(api, trails, monkeypatch):
    monkeypatch.setattr(audit, "MIN_WRITE_INTERVAL_S", 0.01)

    def start_trail(vm="vm-1"):
        node_kernel = kernel.Kernel(builders.settings(vm, api.url))
        no_members = membership.Membership.__new__(membership.Membership)
        no_members.live = lambda: []
        node_kernel.part_by_class[membership.Membership] = no_members
        trail = node_kernel.get(audit.Audit)
        trail.start()
        trails.append(trail)
        return trail

    return start_trail


def record_change(trail, number=0):
    trail.record(
        audit.Kind.CONFIGURATION,
        "catalogue",
        f"change {number}",
        "growth",
        who="ana",
        before=number,
        after=number + 1,
    )


def wait_until_written(trail):
    processes.wait_until(lambda: not trail.pending)


def read(trail, live=("vm-1", "vm-2")):
    return audit_reading.read(trail.api, frozenset(live), days=2).unwrap().entries


def texts(entries):
    return [entry.what for entry in entries]


def test_entry_records_who_what_why_and_both_revisions(start):
    trail = start()
    record_change(trail, 6)
    wait_until_written(trail)
    entry = read(trail)[-1]
    assert (entry.who, entry.what, entry.why) == ("ana", "change 6", "growth")
    assert (entry.before, entry.after, entry.vm) == (6, 7, "vm-1")


def test_simultaneous_entries_share_a_write(start, api):
    trail = start()
    wait_until_written(trail)
    before = api.writes
    for number in range(100):
        record_change(trail, number)
    wait_until_written(trail)
    assert api.writes - before <= 2
    assert len(read(trail)) == 101


def test_objects_rotate_at_their_size_limit(start, api, monkeypatch):
    monkeypatch.setattr(audit, "ROTATION_BYTES", 2000)
    trail = start()
    for number in range(50):
        record_change(trail, number)
    wait_until_written(trail)
    sizes = [len(item.body) for item in api.item_by_key.values()]
    assert len(sizes) > 3
    assert max(sizes) < 2500
    assert texts(read(trail))[1:] == [f"change {number}" for number in range(50)]


def test_lost_response_neither_loses_nor_duplicates_entries(start, api):
    """The object API stores a batch, and the connection breaks before its response.

    The VM can't know whether the write took effect. It must read the version
    back and rewrite the whole object; otherwise operators would see a change
    twice or not at all.
    """
    trail = start()
    wait_until_written(trail)
    api.faults.lost_reply = 1.0
    record_change(trail, 1)
    processes.wait_until(lambda: api.writes >= 3)
    api.faults.lost_reply = 0.0
    record_change(trail, 2)
    wait_until_written(trail)
    assert texts(read(trail)) == ["started", "change 1", "change 2"]


def test_buffer_overflow_in_an_outage_is_recorded_as_a_gap(start, api, monkeypatch):
    """The object API is down while more changes happen than the buffer holds.

    Recording must not block, and the trail must count the dropped entries;
    otherwise operators would mistake a trail with a gap for a complete one.
    """
    monkeypatch.setattr(audit, "MAX_BUFFERED_ENTRIES", 3)
    trail = start()
    wait_until_written(trail)
    api.faults.outage = True
    for number in range(5):
        record_change(trail, number)
    api.faults.outage = False
    wait_until_written(trail)
    record_change(trail, 5)
    wait_until_written(trail)
    assert texts(read(trail)) == [
        "started",
        "change 0",
        "change 1",
        "change 2",
        "lost 2 entries",
        "change 5",
    ]


def test_trail_of_a_crashed_vm_ends_with_a_gap(start):
    """A VM crashes between recording an entry and its next write.

    Its trail has no closing entry and the VM is no longer live. The trail must
    show that its last entries may be missing.
    """
    crashed, closed = start("vm-1"), start("vm-2")
    wait_until_written(crashed)
    closed.drain(deadline=float("inf"))
    shown = [(entry.vm, entry.what) for entry in read(crashed, live=())]
    assert sorted(shown) == [
        ("vm-1", "started"),
        ("vm-1", "the VM ended without closing its trail"),
        ("vm-2", "closed"),
        ("vm-2", "started"),
    ]


def test_missing_objects_are_shown_as_gaps(start, api, monkeypatch):
    monkeypatch.setattr(audit, "ROTATION_BYTES", 300)
    trail = start()
    for number in range(6):
        record_change(trail, number)
    wait_until_written(trail)
    second = sorted(api.item_by_key)[1]
    missing = len(audit.parse(api.item_by_key.pop(second).body))
    assert f"{missing} entries are missing" in texts(read(trail))


def test_recording_does_not_wait_for_the_object_api(start, api):
    trail = start()
    api.faults.delay_s = 5.0
    with gevent.Timeout(2.0):
        for number in range(1000):
            record_change(trail, number)


def test_expired_objects_are_deleted_and_others_retained():
    node_kernel = builders.kernel_with_objects(memory_objects.MemoryApi())
    api = node_kernel.get(objects.Objects).api
    retention = node_kernel.get(audit_retention.AuditRetention)
    today = datetime.date(2026, 6, 30)
    keys = [
        f"{audit.PREFIX}{today - datetime.timedelta(days=days_back)}/vm-1/1-000001"
        for days_back in (0, 89, 90, 91, 100)
    ]
    for key in keys:
        api.put(key, b"", None)
    assert retention.delete_expired(today) == 2
    assert sorted(api.list(audit.PREFIX).unwrap()) == sorted(keys[:3])
    api.down = True
    assert retention.delete_expired(today) == 0


def test_unreadable_lines_are_shown_and_hide_no_other_entries():
    """A newer VM stores a kind and a field that this version does not know.

    This happens during an upgrade; besides, a line is corrupt. Neither may cut
    off the rest of the trail or keep it from being shown.
    """
    entry = audit.Entry(
        "2026-12-02T10:00:00", "vm-1", 1, audit.Kind.MOVE, "vm-1", "menu", "load", ""
    )
    encoded = audit.line(entry)
    body = encoded + encoded.replace(b'"move"', b'"later"').replace(b":1,", b":2,")
    body += b"{corrupt\n" + encoded.replace(b"{", b'{"colour":"red",', 1)
    unchanged, unknown_kind, corrupt, extra_field = audit.parse(body)
    assert unchanged == entry == extra_field
    assert (unknown_kind.kind, unknown_kind.vm, unknown_kind.number) == (
        audit.Kind.TRAIL,
        "vm-1",
        2,
    )
    assert "later" in unknown_kind.why
    assert (corrupt.number, corrupt.why) == (3, "{corrupt")
