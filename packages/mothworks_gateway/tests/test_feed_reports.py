"""Feed reports: logs and metrics distinguish a stale view from an unchanged one."""

import types

import logbook
import pytest

import gateway_builders
import virtual_time
from mothworks import plugins
from mothworks_gateway import adapters, feed_reports, feeding

#: Time without an answer after which a feed with the usual polls is stale, seconds.
STALE_S = feeding.MAX_POLL_S + feed_reports.STALE_MARGIN_S


@pytest.fixture
def clock(monkeypatch):
    return virtual_time.Clock(monkeypatch, feeding)


@pytest.fixture
def reports(clock, monkeypatch):
    monkeypatch.setattr(plugins, "find", lambda *_: lambda *_: None)
    kernel = gateway_builders.Kernel({})
    kernel.parts[feeding.FeedFollowers] = feeding.FeedFollowers(kernel)
    part = feed_reports.FeedReports(kernel)
    part.feeding.add(feeding.Follower("declarations", None, None, None))
    return part


def report(reports):
    """Report once.

    :returns: the log lines.
    """
    with logbook.TestHandler() as handler:
        reports.report()
    return [types.SimpleNamespace(**record.extra) for record in handler.records]


def gauge_value(gauge):
    return gauge.get({"feed": "declarations"})


def test_a_feed_without_answers_is_logged_once_with_its_age(reports, clock):
    follower = reports.feeding.follower_by_name["declarations"]
    follower.cursor = 7
    clock.advance(STALE_S + 0.5)
    [line] = report(reports)
    assert (line.feed, line.outcome, line.cursor) == ("declarations", "stale", 7)
    assert line.unanswered_s == STALE_S + 0.5
    assert report(reports) == []
    follower.answered_at = clock.monotonic()
    [line] = report(reports)
    assert line.outcome == "fresh"


def test_a_long_poll_without_changes_is_not_stale(reports, clock):
    reports.feeding.follower_by_name["declarations"].set_max_poll(
        feeding.MAX_LONE_VM_POLL_S
    )
    clock.advance(feeding.MAX_LONE_VM_POLL_S)
    assert report(reports) == []


def test_a_feed_that_other_vms_follow_is_not_logged_as_stale(reports, clock):
    reports.feeding.follower_by_name["declarations"].set_followed(False)
    clock.advance(60)
    assert report(reports) == []


def test_a_stale_feed_that_is_left_to_others_does_not_count_as_answered(reports, clock):
    clock.advance(STALE_S + 1)
    report(reports)
    reports.feeding.follower_by_name["declarations"].set_followed(False)
    [line] = report(reports)
    assert line.outcome == "left to others"


def test_the_age_of_a_feed_is_exported_as_a_metric(reports, clock):
    clock.advance(0.25)
    reports.kernel.metrics.render()
    assert gauge_value(reports.unanswered_seconds) == 0.25
    assert gauge_value(reports.followed) == 1
    reports.feeding.follower_by_name["declarations"].set_followed(False)
    reports.kernel.metrics.render()
    assert gauge_value(reports.followed) == 0


def test_an_expired_history_counts_as_an_answer(clock):
    class Feed:
        def poll(self, cursor, wait_s):
            return feeding.result.Err(adapters.CursorExpired())

    follower = feeding.Follower("declarations", Feed(), None, None)
    clock.advance(5)
    follower._fetch_changes(1.0)
    assert follower.unanswered_s == 0
