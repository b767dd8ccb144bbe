"""Feed reports: the age of this VM's view of each feed, in logs and metrics."""

import logbook

from mothworks import kernel, logs
from mothworks_gateway import feeding

log = logbook.Logger("feeding")

#: Seconds between reports.
REPORT_S = 0.5
#: Time beyond the longest poll after which a feed that this VM follows is logged as
#: stale, seconds.
STALE_MARGIN_S = 1.0


class FeedReports(kernel.Part):
    """Reports the age of each feed.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.feeding = node_kernel.get(feeding.FeedFollowers)
        self._stale_feeds: set[str] = set()
        make_gauge = node_kernel.metrics.gauge
        self.unanswered_seconds = make_gauge(
            "feed_unanswered_seconds", "Seconds since the platform answered, by feed."
        )
        self.poll_seconds = make_gauge(
            "feed_poll_seconds", "Seconds that the poll under way has lasted, by feed."
        )
        self.followed = make_gauge(
            "feed_followed", "Whether this VM follows a feed by itself."
        )

        node_kernel.metrics.on_render.append(self._set_gauges)

    def start(self) -> None:
        """Start the periodic reports."""
        self.tasks.every(REPORT_S, self.report)

    def report(self) -> None:
        """Log feeds that became stale or fresh."""
        for follower in self.feeding.follower_by_name.values():
            self._log_staleness(follower)

    def _set_gauges(self) -> None:
        for name, follower in self.feeding.follower_by_name.items():
            labels = {"feed": name}
            self.unanswered_seconds.set(labels, round(follower.unanswered_s, 3))
            self.poll_seconds.set(labels, round(follower.poll_duration_s, 3))
            self.followed.set(labels, int(follower.followed))

    def _log_staleness(self, follower: feeding.Follower) -> None:
        """Log when a feed becomes stale, fresh, or is left to other VMs."""
        limit_s = follower.max_poll_s + STALE_MARGIN_S
        stale = follower.followed and follower.unanswered_s > limit_s
        if stale == (follower.name in self._stale_feeds):
            return
        self._stale_feeds ^= {follower.name}
        logs.event(log, "feed", **describe(follower), outcome=_outcome(follower, stale))


def describe(follower: feeding.Follower) -> dict[str, object]:
    """Return the fields of a log line that describe a follower.

    :param follower: the follower.
    """
    return {
        "feed": follower.name,
        "cursor": follower.cursor,
        "unanswered_s": round(follower.unanswered_s, 3),
        "polling_s": round(follower.poll_duration_s, 3),
        "lost": follower.outage_since is not None,
    }


def _outcome(follower: feeding.Follower, stale: bool) -> str:
    if stale:
        return "stale"
    return "fresh" if follower.followed else "left to others"
