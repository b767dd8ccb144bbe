"""Changes that peers publish of the registry: in any order, the newest state holds.

Two VMs follow the registry and each publishes what it saw to all others, in batches of
its own. So a VM receives each change twice, and parts of it late or never.
"""

import itertools
import random
import types

import pytest
import result

import gateway_builders
from mothworks_gateway import adapters, discovery, feeding, registry


class Feeds:
    """Stands for an adapter: an entry is the revision at which it was written."""

    endpoints = None

    def endpoint(self, name, document):
        entry = registry.Entry(
            name, document.decode(), ("10.0.1.1", 80), "a", 1, False, None, {}
        )
        return result.Ok(entry)


def make():
    owner = types.SimpleNamespace(feeds=Feeds(), add=lambda follower: None)
    return discovery.Discovery(gateway_builders.Kernel({feeding.Feeding: owner}))


def changes(cursor, *pairs):
    return adapters.Changes(cursor, tuple(adapters.Change(*pair) for pair in pairs))


def state(part):
    """Return which entries are known, as they were written."""
    return {
        name: part.registry.named(name).entry.service
        for name in part.registry.id_by_name
    }


@pytest.fixture
def part():
    made = make()
    made._take_all(adapters.Listing(10, {"i-1": b"5", "i-2": b"7"}))
    return made


def test_told_changes_are_taken(part):
    part.take_published(10, changes(12, ("i-1", None), ("i-3", b"12")), 0.0)
    assert state(part) == {"i-2": "7", "i-3": "12"}
    assert part.registry.cursor == part.follower.cursor == part.changed_at == 12


def test_changes_after_a_gap_are_left_to_a_reading_of_its_own(part):
    # A message was lost: this VM knows revision 10, and hears what came after 12.
    # With it, an endpoint that left at 12 would stay for good.
    part.take_published(12, changes(14, ("i-3", b"14")), 0.0)
    assert state(part) == {"i-1": "5", "i-2": "7"}
    assert part.registry.cursor == 10


def test_changes_that_come_once_more_bring_no_older_state_back(part):
    # One VM told of the write at 11 and of the removal at 13; the batch of another
    # one, which also has the write at 15, comes later and holds all three.
    part.take_published(10, changes(11, ("i-1", b"11")), 0.0)
    part.take_published(11, changes(13, ("i-1", None)), 0.0)
    seen = []
    part.registry.on_change.append(lambda: seen.append(state(part)))
    later = changes(15, ("i-1", b"11"), ("i-1", None), ("i-2", b"15"))
    part.take_published(10, later, 0.0)
    assert seen == [{"i-2": "15"}]


def test_a_sign_without_changes_keeps_the_cursor_near_the_platforms(part):
    part.confirm(changed_at=10, cursor=40)
    assert part.registry.cursor == part.follower.cursor == 40
    part.confirm(changed_at=41, cursor=50)
    assert part.registry.cursor == 40


def test_only_the_platforms_own_word_is_told_on(part):
    told = []
    part.on_platform_changes.append(lambda before, news: told.append((before, news)))
    part.take_published(10, changes(12, ("i-3", b"12")), 0.0)
    assert told == []
    news = changes(15, ("i-3", None))
    part._take_changes(news)
    assert told == [(12, news)]


@pytest.mark.parametrize("seed", range(200))
def test_two_watchers_whatever_is_lost_lead_to_the_last_state(seed):
    # Each watcher batches the same history in its own way; a tenth of the messages is
    # lost, the others come in any order of the two. What was not complete shows in
    # a cursor behind the last change, and one reading completes it.
    draw = random.Random(seed)
    history = []
    for revision in range(11, 40):
        name = f"i-{draw.randrange(4)}"
        document = None if draw.random() < 0.3 else str(revision).encode()
        history.append((revision, name, document))
    part = make()
    part._take_all(adapters.Listing(10, {"i-1": b"5", "i-2": b"7"}))
    streams = [_batches(history, draw) for _ in range(2)]
    while any(streams):
        before, news = draw.choice([item for item in streams if item]).pop(0)
        if draw.random() < 0.9:
            part.take_published(before, news, 0.0)
    expected = {"i-1": "5", "i-2": "7"}
    for _, name, document in history:
        expected.pop(name, None)
        if document is not None:
            expected[name] = document.decode()
    if part.registry.cursor == 39:
        assert state(part) == expected
    rest = [
        (name, document) for at, name, document in history if at > part.registry.cursor
    ]
    part._take_changes(changes(39, *rest))
    assert state(part) == expected


def _batches(history, draw):
    """Return a history as one watcher publishes it: (revision before, changes)."""
    left, before, batches = list(history), 10, []
    while left:
        count = draw.randint(1, 4)
        batch, left = left[:count], left[count:]
        cursor = batch[-1][0]
        pairs = [(name, document) for _, name, document in batch]
        batches.append((before, changes(cursor, *pairs)))
        before = cursor
    return batches


class Feed(adapters.Feed):
    """A feed that counts its calls and ends each wait at once."""

    def __init__(self):
        self.waits = 0
        self.revisions = itertools.count(2)

    def read(self):
        return result.Ok(adapters.Listing(1, {}))

    def wait(self, cursor, wait_s):
        self.waits += 1
        feeding.gevent.sleep(0.001)
        return result.Ok(adapters.Changes(next(self.revisions), ()))


def test_a_feed_that_others_follow_is_not_asked(monkeypatch):
    monkeypatch.setattr(feeding, "FIRST_POLL_DELAY_S", 0.0)
    feed = Feed()
    follower = feeding.Follower("endpoints", feed, lambda _: None, lambda _: None)
    task = feeding.gevent.spawn(follower.run)
    try:
        _until(lambda: feed.waits > 3)
        follower.follow(False)
        _until(lambda: not follower.is_polling)
        waits = feed.waits
        feeding.gevent.sleep(0.05)
        assert feed.waits <= waits + 1
        assert follower.catch_up()
        follower.follow(True)
        _until(lambda: feed.waits > waits + 5)
    finally:
        task.kill()


def _until(condition):
    with feeding.gevent.Timeout(5):
        while not condition():
            feeding.gevent.sleep(0.002)
