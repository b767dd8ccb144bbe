"""Published registry changes: in whatever order they arrive, the newest state wins.

Two VMs follow the registry, and each publishes its changes to all others in its own
batches. A VM therefore receives each change twice, and some late or never.
"""

import itertools
import random

import pytest
import result

import registry_builders
from mothworks_gateway import adapters, feeding


@pytest.fixture
def part():
    made = registry_builders.make_discovery()
    made._apply_snapshot(adapters.Snapshot(10, {"i-1": b"5", "i-2": b"7"}))
    return made


def test_published_changes_are_applied(part):
    registry_builders.publish(
        part, 10, registry_builders.changes(12, ("i-1", None), ("i-3", b"12"))
    )
    assert registry_builders.state(part) == {"i-2": "7", "i-3": "12"}
    assert part.registry.cursor == part.follower.cursor == part.changed_at == 12


def test_changes_after_a_gap_are_not_applied(part):
    # A message is lost: this VM is at revision 10 and receives the changes after 12.
    # If it applied them, an endpoint removed at 12 would stay in its registry.
    registry_builders.publish(part, 12, registry_builders.changes(14, ("i-3", b"14")))
    assert registry_builders.state(part) == {"i-1": "5", "i-2": "7"}
    assert part.registry.cursor == 10


def test_repeated_changes_do_not_restore_older_states(part):
    # One watcher publishes the write at 11 and the removal at 13. A later batch of the
    # other watcher contains both, and the write at 15.
    registry_builders.publish(part, 10, registry_builders.changes(11, ("i-1", b"11")))
    registry_builders.publish(part, 11, registry_builders.changes(13, ("i-1", None)))
    seen = []
    part.registry.on_change.append(lambda: seen.append(registry_builders.state(part)))
    later = registry_builders.changes(15, ("i-1", b"11"), ("i-1", None), ("i-2", b"15"))
    registry_builders.publish(part, 10, later)
    assert seen == [{"i-2": "15"}]


def test_status_without_changes_advances_the_cursor(part):
    part.confirm_unchanged(changed_at=10, cursor=40)
    assert part.registry.cursor == part.follower.cursor == 40
    part.confirm_unchanged(changed_at=41, cursor=50)
    assert part.registry.cursor == 40


def test_only_changes_from_the_platform_are_published(part):
    published = []
    part.on_platform_changes.append(published.append)
    registry_builders.publish(part, 10, registry_builders.changes(12, ("i-3", b"12")))
    assert published == []
    update = registry_builders.changes(15, ("i-3", None))
    part._apply_platform_changes(update)
    assert [(item.base_changed_at, item.changes) for item in published] == [
        (12, update)
    ]


@pytest.mark.parametrize("seed", range(200))
def test_lost_messages_of_two_watchers_still_lead_to_the_last_state(seed):
    # Each watcher batches the same history differently. A tenth of the messages is
    # lost, and the messages of the two watchers interleave at random. Missing changes
    # leave the cursor behind the last change, and one call fetches them.
    rng = random.Random(seed)
    history = []
    for revision in range(11, 40):
        name = f"i-{rng.randrange(4)}"
        document = None if rng.random() < 0.3 else str(revision).encode()
        history.append((revision, name, document))
    part = registry_builders.make_discovery()
    part._apply_snapshot(adapters.Snapshot(10, {"i-1": b"5", "i-2": b"7"}))
    pending = [_batches(history, rng) for _ in range(2)]
    while any(pending):
        base_changed_at, update = rng.choice([item for item in pending if item]).pop(0)
        if rng.random() < 0.9:
            registry_builders.publish(part, base_changed_at, update)
    expected = {"i-1": "5", "i-2": "7"}
    for _, name, document in history:
        expected.pop(name, None)
        if document is not None:
            expected[name] = document.decode()
    if part.registry.cursor == 39:
        assert registry_builders.state(part) == expected
    missing = [
        (name, document) for at, name, document in history if at > part.registry.cursor
    ]
    part._apply_platform_changes(registry_builders.changes(39, *missing))
    assert registry_builders.state(part) == expected


def _batches(history, rng):
    """Return a history as one watcher publishes it: (base revision, changes)."""
    remaining, base_changed_at, batches = list(history), 10, []
    while remaining:
        count = rng.randint(1, 4)
        batch, remaining = remaining[:count], remaining[count:]
        cursor = batch[-1][0]
        pairs = [(name, document) for _, name, document in batch]
        batches.append((base_changed_at, registry_builders.changes(cursor, *pairs)))
        base_changed_at = cursor
    return batches


class Feed(adapters.Feed):
    """A feed that counts its polls and answers each at once."""

    def __init__(self):
        self.polls = 0
        self.revisions = itertools.count(2)
        #: Whether the next poll finds that the history is gone.
        self.expired = False

    def read(self):
        return result.Ok(adapters.Snapshot(1, {}))

    def poll(self, cursor, wait_s):
        self.polls += 1
        feeding.gevent.sleep(0.001)
        if self.expired:
            self.expired = False
            return result.Err(adapters.CursorExpired())
        return result.Ok(adapters.Changes(next(self.revisions), ()))


def test_a_feed_that_other_vms_follow_is_not_polled(monkeypatch):
    monkeypatch.setattr(feeding, "FIRST_POLL_DELAY_S", 0.0)
    feed = Feed()
    follower = feeding.Follower("endpoints", feed, lambda _: None, lambda _: None)
    task = feeding.gevent.spawn(follower.run)
    try:
        _until(lambda: feed.polls > 3)
        follower.set_followed(False)
        _until(lambda: not follower.is_polling)
        polls = feed.polls
        feeding.gevent.sleep(0.05)
        assert feed.polls <= polls + 1
        assert follower.catch_up()
        follower.set_followed(True)
        _until(lambda: feed.polls > polls + 5)
    finally:
        task.kill()


# Guards against changes that are noticed late because the platform dropped its history.
def test_a_feed_is_polled_at_once_after_its_history_was_read_again(monkeypatch):
    feed = Feed()
    follower = feeding.Follower("endpoints", feed, lambda _: None, lambda _: None)
    monkeypatch.setattr(feeding, "FIRST_POLL_DELAY_S", 0.0)
    task = feeding.gevent.spawn(follower.run)
    try:
        _until(lambda: feed.polls)
        monkeypatch.setattr(feeding, "FIRST_POLL_DELAY_S", 60.0)
        feed.expired = True
        _until(lambda: not feed.expired)
        polls = feed.polls
        _until(lambda: feed.polls > polls)
    finally:
        task.kill()


def _until(condition):
    with feeding.gevent.Timeout(5):
        while not condition():
            feeding.gevent.sleep(0.002)
