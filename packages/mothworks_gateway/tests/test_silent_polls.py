"""Polls that the platform does not answer: a missing answer is never healthy."""

import types

import gevent
import gevent.event
import pytest
import result

import gateway_builders
import virtual_time
from mothworks import membership, peers, plugins
from mothworks_gateway import (
    adapters,
    broadcast,
    cursors,
    declarations,
    discovery,
    feeding,
    heartbeat,
    lease,
    relayed_objects,
    watcher_election,
    watching,
)


class UnresponsiveFeed(adapters.Feed):
    """A feed that records calls and answers them only while its event is set."""

    def __init__(self):
        self.calls = []
        self.answers = gevent.event.Event()

    def read(self):
        self.calls.append("read")
        self.answers.wait()
        return result.Ok(adapters.Snapshot(5, {}))

    def poll(self, cursor, wait_s):
        self.calls.append(("poll", cursor))
        self.answers.wait()
        gevent.sleep(0.01)
        return result.Ok(adapters.Changes(cursor, ()))


class SlowFeed(adapters.Feed):
    """A feed that answers slowly.

    :param answer_s: latency of each answer, seconds.
    """

    def __init__(self, answer_s):
        self.answer_s = answer_s
        self.answered = 0
        self.cancelled = 0

    def read(self):
        return result.Ok(adapters.Snapshot(5, {}))

    def poll(self, cursor, wait_s):
        try:
            gevent.sleep(wait_s + self.answer_s)
        except gevent.GreenletExit:
            self.cancelled += 1
            raise
        self.answered += 1
        return result.Ok(adapters.Changes(cursor, ()))


@pytest.fixture
def feed():
    return UnresponsiveFeed()


@pytest.fixture
def follower(feed, monkeypatch):
    monkeypatch.setattr(feeding, "FIRST_POLL_DELAY_S", 0.0)
    follower = feeding.Follower("declarations", feed, lambda _: None, lambda _: None)
    task = gevent.spawn(follower.run)
    yield follower
    task.kill()


def until(condition, seconds=5):
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.002)


# Guards against a VM that publishes good health although the platform refuses it.
def test_an_interrupted_poll_does_not_count_as_an_answer(follower, feed):
    feed.answers.set()
    until(lambda: len(feed.calls) > 2)
    feed.answers.clear()
    gevent.sleep(0.05)
    follower.outage_since = feeding.time.monotonic()
    calls = len(feed.calls)
    follower.interrupt_if_behind(follower.cursor + 1, 0.0)
    until(lambda: len(feed.calls) > calls)
    assert follower.outage_since is not None


# Guards against polls of a slow platform that are cancelled before the answers arrive.
def test_polls_wait_for_a_slow_platform(monkeypatch):
    monkeypatch.setattr(feeding, "FIRST_POLL_DELAY_S", 0.0)
    feed = SlowFeed(answer_s=1.6)
    follower = feeding.Follower(
        "f", feed, lambda _: None, lambda _: None, max_poll_s=0.1
    )
    task = gevent.spawn(follower.run)
    try:
        until(lambda: feed.answered >= 3, seconds=10)
        assert follower.healthy
        assert feed.cancelled <= 1
    finally:
        task.kill()


# Guards against poll timeouts that grow without limit with a slow platform's latency.
def test_a_poll_ends_in_time_however_slow_the_platform_is(follower, monkeypatch):
    monkeypatch.setattr(follower, "max_poll_s", feeding.MAX_LONE_VM_POLL_S)
    for follower.latency_s in (0.0, 0.3, 0.6, 0.9, 5.0):
        assert follower.wait_s >= feeding.MAX_POLL_S
        assert follower.wait_s + follower.grace_s <= feeding.MAX_UNANSWERED_POLL_S


# Guards against a poll sent during an outage that delays the next one after it.
def test_polls_of_an_unresponsive_platform_time_out(follower, feed):
    follower.max_poll_s = 0.1
    feed.answers.set()
    until(lambda: len(feed.calls) > 2)
    feed.answers.clear()
    until(lambda: follower.outage_since is not None)
    for _ in range(2):
        calls = len(feed.calls)
        started_at = feeding.time.monotonic()
        until(lambda calls=calls: len(feed.calls) > calls)
        elapsed_s = feeding.time.monotonic() - started_at
        assert elapsed_s < feeding.MAX_GRACE_S + feeding.MAX_RETRY_DELAY_S + 0.1


# Guards against polling from a revision for which no snapshot was ever read.
def test_an_interrupted_first_snapshot_is_retried(follower, feed):
    until(lambda: feed.calls == ["read"])
    follower.interrupt_if_behind(1, 0.0)
    until(lambda: len(feed.calls) > 1)
    assert feed.calls[1] == "read"


class Watcher:
    """One watcher in virtual time, without network.

    :param monkeypatch: pytest's fixture.
    """

    def __init__(self, monkeypatch):
        self.clock = virtual_time.Clock(monkeypatch, feeding, watching)
        self.published = []
        self.feed_by_name = {
            "declarations": UnresponsiveFeed(),
            "endpoints": UnresponsiveFeed(),
        }
        monkeypatch.setattr(plugins, "find", lambda *_: lambda *_: None)
        kernel = gateway_builders.Kernel({})
        kernel.parts.update(self._parts(kernel))
        self.part = watching.Watching(kernel)

    def _parts(self, kernel):
        followers = feeding.FeedFollowers(kernel)
        for name, feed in self.feed_by_name.items():
            followers.add(feeding.Follower(name, feed, lambda _: None, lambda _: None))
        node_membership = types.SimpleNamespace(region_peers=lambda: [], on_change=[])
        node_peers = types.SimpleNamespace(handle=lambda *_: None)
        node_declarations = types.SimpleNamespace(version=1, current=None, on_change=[])
        node_discovery = types.SimpleNamespace(
            loaded=True,
            changed_at=1,
            registry=types.SimpleNamespace(cursor=1),
            on_platform_changes=[],
            confirm_unchanged=lambda *_: None,
            follower=followers.follower_by_name["endpoints"],
        )
        return {
            feeding.FeedFollowers: followers,
            membership.Membership: node_membership,
            peers.Peers: node_peers,
            broadcast.Broadcast: types.SimpleNamespace(publish=self.published.append),
            lease.Lease: types.SimpleNamespace(held=lambda: True),
            heartbeat.Heartbeats: None,
            relayed_objects.RelayedObjects: types.SimpleNamespace(on_recovered=[]),
            declarations.Declarations: node_declarations,
            discovery.Discovery: node_discovery,
        }

    def answer(self, *names):
        """Answer one poll of each of the named feeds."""
        for name in names:
            feed = self.feed_by_name[name]
            feed.answers.set()
            self.part.feeding.follower_by_name[name]._fetch_changes(0.0)
            feed.answers.clear()

    def publishes_healthy(self):
        """Return whether this VM's next status is healthy."""
        self.part._publish_status()
        [status] = [
            message
            for message in self.published
            if isinstance(message, watcher_election.Status)
        ]
        self.published.clear()
        return status.healthy


@pytest.fixture
def watcher(monkeypatch):
    return Watcher(monkeypatch)


# Guards against an unanswered feed that is masked by another one that is answered.
def test_health_is_published_only_while_every_feed_is_answered(watcher):
    watcher.answer("declarations", "endpoints")
    assert watcher.publishes_healthy()
    for _ in range(10):
        watcher.clock.advance(0.5)
        watcher.answer("endpoints")
    assert not watcher.publishes_healthy()


# Guards against watchers that take over while the platform refuses them.
def test_a_new_watcher_publishes_no_health_before_an_answer(watcher):
    watcher.clock.advance(20)
    watcher.part.is_watcher = True
    assert not watcher.publishes_healthy()
    watcher.answer("declarations", "endpoints")
    assert watcher.publishes_healthy()


# Guards against a VM that relies on a watcher which has missed a restore.
def test_a_watcher_of_an_earlier_era_is_not_healthy(watcher):
    election = watcher.part.election
    for era, healthy in ((1, []), (2, ["vm-2"])):
        watcher.part.discovery.registry.cursor = cursors.make(2, 5)
        status = watcher_election.Status(True, cursors.make(era, 9), 0, 1)
        watcher.part._on_status("vm-2", status, None)
        assert list(election.healthy_watchers(watcher.clock.monotonic())) == healthy
