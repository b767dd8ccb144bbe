"""Published registry changes: in whatever order they arrive, the newest state wins.

Two VMs follow the registry, and each publishes its changes to all others in its own
batches. A VM therefore receives each change twice, and some late or never.
"""

import itertools
import random
import types

import pytest
import result

import gateway_builders
from mothworks_gateway import adapters, discovery, feeding, registry


class Feeds:
    """A fake adapter whose entries consist of the revision that wrote them."""

    endpoints = None

    def endpoint(self, name, document):
        entry = registry.Entry(
            name, document.decode(), ("10.0.1.1", 80), "a", 1, False, None, {}
        )
        return result.Ok(entry)


def make_discovery():
    followers = types.SimpleNamespace(feeds=Feeds(), add=lambda follower: None)
    return discovery.Discovery(
        gateway_builders.Kernel({feeding.FeedFollowers: followers})
    )


def changes(cursor, *pairs):
    return adapters.Changes(cursor, tuple(adapters.Change(*pair) for pair in pairs))


def state(part):
    """Return the revision that wrote each known entry, by name."""
    return {
        name: part.registry.find_by_name(name).entry.service
        for name in part.registry.id_by_name
    }


@pytest.fixture
def part():
    made = make_discovery()
    made._apply_snapshot(adapters.Snapshot(10, {"i-1": b"5", "i-2": b"7"}))
    return made


def test_published_changes_are_applied(part):
    part.apply_published(10, changes(12, ("i-1", None), ("i-3", b"12")), 0.0)
    assert state(part) == {"i-2": "7", "i-3": "12"}
    assert part.registry.cursor == part.follower.cursor == part.changed_at == 12


def test_changes_after_a_gap_are_not_applied(part):
    # A message is lost: this VM is at revision 10 and receives the changes after 12.
    # If it applied them, an endpoint removed at 12 would stay in its registry.
    part.apply_published(12, changes(14, ("i-3", b"14")), 0.0)
    assert state(part) == {"i-1": "5", "i-2": "7"}
    assert part.registry.cursor == 10


def test_repeated_changes_do_not_restore_older_states(part):
    # One watcher publishes the write at 11 and the removal at 13. A later batch of the
    # other watcher contains both, and the write at 15.
    part.apply_published(10, changes(11, ("i-1", b"11")), 0.0)
    part.apply_published(11, changes(13, ("i-1", None)), 0.0)
    seen = []
    part.registry.on_change.append(lambda: seen.append(state(part)))
    later = changes(15, ("i-1", b"11"), ("i-1", None), ("i-2", b"15"))
    part.apply_published(10, later, 0.0)
    assert seen == [{"i-2": "15"}]


def test_status_without_changes_advances_the_cursor(part):
    part.confirm_unchanged(changed_at=10, cursor=40)
    assert part.registry.cursor == part.follower.cursor == 40
    part.confirm_unchanged(changed_at=41, cursor=50)
    assert part.registry.cursor == 40


def test_only_changes_from_the_platform_are_published(part):
    published = []
    part.on_platform_changes.append(
        lambda base_revision, update: published.append((base_revision, update))
    )
    part.apply_published(10, changes(12, ("i-3", b"12")), 0.0)
    assert published == []
    update = changes(15, ("i-3", None))
    part._apply_platform_changes(update)
    assert published == [(12, update)]


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
    part = make_discovery()
    part._apply_snapshot(adapters.Snapshot(10, {"i-1": b"5", "i-2": b"7"}))
    pending = [_batches(history, rng) for _ in range(2)]
    while any(pending):
        base_revision, update = rng.choice([item for item in pending if item]).pop(0)
        if rng.random() < 0.9:
            part.apply_published(base_revision, update, 0.0)
    expected = {"i-1": "5", "i-2": "7"}
    for _, name, document in history:
        expected.pop(name, None)
        if document is not None:
            expected[name] = document.decode()
    if part.registry.cursor == 39:
        assert state(part) == expected
    missing = [
        (name, document) for at, name, document in history if at > part.registry.cursor
    ]
    part._apply_platform_changes(changes(39, *missing))
    assert state(part) == expected


def _batches(history, rng):
    """Return a history as one watcher publishes it: (base revision, changes)."""
    remaining, base_revision, batches = list(history), 10, []
    while remaining:
        count = rng.randint(1, 4)
        batch, remaining = remaining[:count], remaining[count:]
        cursor = batch[-1][0]
        pairs = [(name, document) for _, name, document in batch]
        batches.append((base_revision, changes(cursor, *pairs)))
        base_revision = cursor
    return batches


class Feed(adapters.Feed):
    """A feed that counts its polls and answers each at once."""

    def __init__(self):
        self.polls = 0
        self.revisions = itertools.count(2)

    def read(self):
        return result.Ok(adapters.Snapshot(1, {}))

    def poll(self, cursor, wait_s):
        self.polls += 1
        feeding.gevent.sleep(0.001)
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


def _until(condition):
    with feeding.gevent.Timeout(5):
        while not condition():
            feeding.gevent.sleep(0.002)
