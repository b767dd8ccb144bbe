"""The audit trail: batches, rotation, lost replies, outages and gaps."""

import datetime

import gevent
import pytest

import builders
import stored
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
    made = []
    yield made
    for trail in made:
        trail.stop()


@pytest.fixture
def start(api, trails, monkeypatch):
    monkeypatch.setattr(audit, "PERIOD_S", 0.01)

    def make(vm="vm-1"):
        node_kernel = kernel.Kernel(builders.settings(vm, api.url))
        alone = membership.Membership.__new__(membership.Membership)
        alone.live = lambda: []
        node_kernel.part_by_class[membership.Membership] = alone
        trail = node_kernel.get(audit.Audit)
        trail.start()
        trails.append(trail)
        return trail

    return make


def change(trail, number=0):
    trail.record(
        audit.Kind.CONFIGURATION,
        "catalogue",
        f"change {number}",
        "growth",
        who="ana",
        before=number,
        after=number + 1,
    )


def written(trail):
    processes.wait_until(lambda: not trail.pending)


def read(trail, live=("vm-1", "vm-2")):
    return audit_reading.read(trail.api, frozenset(live), days=2).unwrap().entries


def whats(entries):
    return [entry.what for entry in entries]


def test_an_entry_says_who_what_why_and_both_revisions(start):
    trail = start()
    change(trail, 6)
    written(trail)
    entry = read(trail)[-1]
    assert (entry.who, entry.what, entry.why) == ("ana", "change 6", "growth")
    assert (entry.before, entry.after, entry.vm) == (6, 7, "vm-1")


def test_entries_of_one_moment_share_a_write(start, api):
    trail = start()
    written(trail)
    before = api.writes
    for number in range(100):
        change(trail, number)
    written(trail)
    assert api.writes - before <= 2
    assert len(read(trail)) == 101


def test_objects_rotate_and_stay_bounded(start, api, monkeypatch):
    monkeypatch.setattr(audit, "OBJECT_BYTES", 2000)
    trail = start()
    for number in range(50):
        change(trail, number)
    written(trail)
    sizes = [len(item.body) for item in api.item_by_key.values()]
    assert len(sizes) > 3
    assert max(sizes) < 2500
    assert whats(read(trail))[1:] == [f"change {number}" for number in range(50)]


def test_a_lost_reply_neither_loses_nor_doubles_entries(start, api):
    """An operator would see a change twice, or not at all.

    The object API stores a batch and the connection breaks before its reply.
    The VM can't know; it reads the version back and writes the object whole.
    """
    trail = start()
    written(trail)
    api.faults.lost_reply = 1.0
    change(trail, 1)
    processes.wait_until(lambda: api.writes >= 3)
    api.faults.lost_reply = 0.0
    change(trail, 2)
    written(trail)
    assert whats(read(trail)) == ["started", "change 1", "change 2"]


def test_an_outage_longer_than_the_buffer_leaves_a_marked_gap(start, api, monkeypatch):
    """An operator would take a trail with a hole for a whole one.

    The object API is down while more changes happen than the buffer holds.
    Recording must not block, and what was dropped must be counted in the
    trail itself.
    """
    monkeypatch.setattr(audit, "BUFFER_ENTRIES", 3)
    trail = start()
    written(trail)
    api.faults.outage = True
    for number in range(5):
        change(trail, number)
    api.faults.outage = False
    written(trail)
    change(trail, 5)
    written(trail)
    assert whats(read(trail)) == [
        "started",
        "change 0",
        "change 1",
        "change 2",
        "lost 2 entries",
        "change 5",
    ]


def test_a_vm_that_died_leaves_a_marked_gap(start):
    """An operator would not notice that a VM's last entries are missing.

    A VM fails between recording and its next write. Its trail has no closing
    entry, and the VM isn't live any more.
    """
    dead, closed = start("vm-1"), start("vm-2")
    written(dead)
    closed.drain(deadline=float("inf"))
    shown = [(entry.vm, entry.what) for entry in read(dead, live=())]
    assert sorted(shown) == [
        ("vm-1", "started"),
        ("vm-1", "the VM ended without closing its trail"),
        ("vm-2", "closed"),
        ("vm-2", "started"),
    ]


def test_missing_objects_are_marked(start, api, monkeypatch):
    monkeypatch.setattr(audit, "OBJECT_BYTES", 300)
    trail = start()
    for number in range(6):
        change(trail, number)
    written(trail)
    second = sorted(api.item_by_key)[1]
    lost = len(audit.parse(api.item_by_key.pop(second).body))
    assert f"{lost} entries are missing" in whats(read(trail))


def test_recording_never_waits_for_the_object_api(start, api):
    trail = start()
    api.faults.delay_s = 5.0
    with gevent.Timeout(2.0):
        for number in range(1000):
            change(trail, number)


def test_old_objects_are_deleted_and_others_kept():
    made = builders.kernel_with_objects(stored.MemoryApi())
    api = made.get(objects.Objects).api
    retention = made.get(audit_retention.AuditRetention)
    today = datetime.date(2026, 6, 30)
    keys = [
        f"{audit.PREFIX}{today - datetime.timedelta(days=back)}/vm-1/1-000001"
        for back in (0, 89, 90, 91, 100)
    ]
    for key in keys:
        api.put(key, b"", None)
    assert retention.clean(today) == 2
    assert sorted(api.list(audit.PREFIX).unwrap()) == sorted(keys[:3])
    api.down = True
    assert retention.clean(today) == 0


def test_what_another_version_stored_is_shown_and_hides_nothing():
    """During an upgrade a trail would be cut short, or not be shown at all.

    A newer VM stores a kind and a field that this version does not know, and
    a line is corrupt.
    """
    entry = audit.Entry(
        "2026-12-02T10:00:00", "vm-1", 1, audit.Kind.MOVE, "vm-1", "menu", "load", ""
    )
    first = audit.line(entry)
    body = first + first.replace(b'"move"', b'"later"').replace(b":1,", b":2,")
    body += b"{corrupt\n" + first.replace(b"{", b'{"colour":"red",', 1)
    whole, later, corrupt, wider = audit.parse(body)
    assert whole == entry == wider
    assert (later.kind, later.vm, later.number) == (audit.Kind.TRAIL, "vm-1", 2)
    assert "later" in later.why
    assert (corrupt.number, corrupt.why) == (3, "{corrupt")
