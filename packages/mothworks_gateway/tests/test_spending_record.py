"""The record of what VMs spent: what is merged, counted and expired."""

from mothworks_gateway import spending_record


def make_record(*granted):
    """Return a record of grants, each a granter and a time."""
    record = spending_record.SpendingRecord(10.0, 0.5)
    for granter, at in granted:
        record.add(granter, "s", at)
    return record


def test_units_expire_a_window_after_the_end_of_their_slot():
    record = make_record(("a", 100.4))
    assert record.count("s", 110.4) == 1
    assert record.count("s", 110.6) == 0


# Guards against retries that count twice since two VMs publish them.
def test_merging_a_record_again_changes_nothing():
    published = make_record(("a", 100.0), ("a", 100.1), ("b", 103.0))
    record = make_record()
    for now in (104.0, 104.3):
        record.merge(published.rows(now), now)
    assert record.count("s", 104.3) == 3


# Guards against a process that starts again and takes over its predecessor's counts.
def test_two_lives_of_a_vm_count_apart():
    record = make_record(("a 1", 100.0))
    record.merge(make_record(("a 2", 100.0)).rows(100.0), 100.0)
    assert record.count("s", 101.0) == 2


# Guards against retries that never expire since VMs publish them to each other again.
def test_units_that_are_published_again_and_again_expire():
    records = [make_record(("a", 100.0)), make_record()]
    now = 100.0
    for number in range(60):
        now += 0.25
        sender, listener = records[number % 2], records[1 - number % 2]
        # A transmission takes 10 ms.
        listener.merge(sender.rows(now - 0.01), now)
    assert [record.count("s", now) for record in records] == [0, 0]


def test_the_wait_lasts_until_enough_retries_have_expired():
    record = make_record(("a", 100.0), ("b", 102.0), ("b", 102.1))
    assert record.free_in_s("s", 1, 105.0) == 5.5
    assert record.free_in_s("s", 2, 105.0) == 7.5
