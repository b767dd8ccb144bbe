"""Follows the platform's feeds: one full snapshot, then long polls for changes.

A follower tolerates a platform that is down, slow, or unresponsive on an open
connection. Where the platform no longer has the changes since the cursor, the follower
reads a full snapshot again. A poll ends early once a peer is known to have a newer
cursor, since an unresponsive connection reports no error by itself.
"""

import collections.abc
import math
import random
import time

import attrs
import gevent
import gevent.event
import logbook
import result

from mothworks import kernel, logs, plugins
from mothworks_gateway import adapters, boot_clock

log = logbook.Logger("feeding")

#: Longest long poll, seconds, and the shortest time beyond it after which the platform
#: counts as unresponsive. Their sum is less than the time within which a change must
#: take effect.
MAX_POLL_S = 1.0
MIN_GRACE_S = 0.5
#: Longest grace time, seconds: a poll that began in an outage must end soon after it.
MAX_GRACE_S = 1.8
#: Grace time as a multiple of the platform's recent latency.
GRACE_LATENCY_FACTOR = 2.0
#: Factor by which the latency estimate decays with each answer.
LATENCY_DECAY = 0.8
#: Longest long poll of a VM that knows no other VMs, seconds. No other VM depends on
#: its view, and each poll is a billed call.
MAX_LONE_VM_POLL_S = 4.0
#: Longest time until a poll that is never answered ends, seconds. Changes may take
#: effect late for some time after an outage; a poll that was sent during it must have
#: ended by then, so that it does not delay later changes.
MAX_UNANSWERED_POLL_S = 4.5
#: Delay between attempts while the platform is unreachable: the first and the longest,
#: in seconds, and the factor by which it grows.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
RETRY_BACKOFF_FACTOR = 1.6
#: Time between the first snapshot and the first poll, seconds. Within it, a VM that
#: starts learns from watchers' statuses whether other VMs follow the feeds for it.
FIRST_POLL_DELAY_S = 1.0
#: Longest wait of a poll for changes that already exist, seconds.
CATCH_UP_WAIT_S = 0.01
#: Time after an outage in which entries may be missing because of it, seconds.
#: Running endpoints register again within about 2 s. It is less than that, since an
#: endpoint that left during the outage must also stop receiving requests within 2 s.
SUSPECT_REMOVAL_S = 1.6


@attrs.frozen
class Interrupted:
    """This VM cancelled the call, which does not indicate the platform's health."""


def _ignore() -> None:
    """Do nothing; the default callback."""


def _make_set_event() -> gevent.event.Event:
    event = gevent.event.Event()
    event.set()
    return event


@attrs.define(eq=False)
class Follower:
    """Follows one feed with long polls.

    :param name: the feed's name in logs.
    :param feed: the feed.
    :param on_snapshot: called with each full snapshot.
    :param on_changes: called with changes.
    :param batch_s: pause before the next poll in which further changes accumulate,
        seconds; each poll is a billed call.
    :param max_poll_s: longest long poll, seconds; polls are shorter where the platform
        answers slowly.
    :param on_health: called when the platform stops answering, and with its first
        answer after that or after this VM started to follow the feed.
    :param cursor: the newest cursor received.
    :param outage_since: monotonic time at which the platform stopped answering; None
        while it answers.
    :param outage_ended_at: monotonic time at which the last outage ended.
    :param answered_at: monotonic time at which the platform last answered a call.
    :param answer_due_at: monotonic time by which the next answer must arrive.
    :param latency_s: recent latency of the platform's answers, seconds.
    :param as_of: the data received is complete as of this time, on the clock of
        :func:`boot_clock.now`: just before the last answered call was sent, since it
        is not known when within the call the platform read its state.
    :param poll_started_at: monotonic time at which the last call started.
    """

    name: str
    feed: adapters.Feed
    on_snapshot: collections.abc.Callable[[adapters.Snapshot], None]
    on_changes: collections.abc.Callable[[adapters.Changes], None]
    batch_s: float = 0.0
    max_poll_s: float = MAX_POLL_S
    on_health: collections.abc.Callable[[], None] = _ignore
    cursor: int = 0
    outage_since: float | None = None
    outage_ended_at: float = -SUSPECT_REMOVAL_S
    answered_at: float = attrs.field(factory=lambda: time.monotonic())
    answer_due_at: float = -math.inf
    latency_s: float = 0.0
    as_of: float = -math.inf
    poll_started_at: float = 0.0
    #: Whether a snapshot was read, so that polls can continue from the cursor.
    _listed: bool = False
    #: Whether a snapshot has ever been read.
    _has_started: bool = False
    #: Ends the pause before the next poll.
    _wake: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    #: Set while this VM itself follows the feed.
    _followed: gevent.event.Event = attrs.field(factory=_make_set_event)
    #: The task of the call in flight.
    _poll: gevent.Greenlet | None = None
    #: Whether the next poll only fetches changes that already exist.
    _catch_up_next: bool = False
    _reported_healthy: bool = False

    def run(self) -> None:
        """Follow the feed forever, except while other VMs follow it."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            self._followed.wait()
            match self._poll_once():
                case result.Ok(_):
                    first_delay_s = 0.0 if self._has_started else FIRST_POLL_DELAY_S
                    delay_s = max(self.batch_s, first_delay_s)
                    self._listed = self._has_started = True
                    retry_delay_s = MIN_RETRY_DELAY_S
                    self._record_answer()
                    self._wake.clear()
                    self._wake.wait(delay_s)
                case result.Err(Interrupted()):
                    pass
                case result.Err(adapters.CursorExpired()):
                    logs.event(log, "history gone", feed=self.name, cursor=self.cursor)
                    self._listed = False
                    self._record_answer()
                case result.Err(adapters.FeedUnavailable(reason)):
                    self._record_failure(reason)
                    gevent.sleep(random.uniform(0.5, 1.0) * retry_delay_s)
                    retry_delay_s = min(
                        MAX_RETRY_DELAY_S, retry_delay_s * RETRY_BACKOFF_FACTOR
                    )

    @property
    def is_polling(self) -> bool:
        """Return whether a call is in flight."""
        return self._poll is not None

    @property
    def followed(self) -> bool:
        """Return whether this VM itself follows the feed."""
        return self._followed.is_set()

    @property
    def healthy(self) -> bool:
        """Return whether the platform answers this VM's calls for the feed.

        An answer counts only until the next one is due, since a platform that becomes
        unresponsive on an open connection never fails the call.
        """
        return self.outage_since is None and time.monotonic() < self.answer_due_at

    @property
    def grace_s(self) -> float:
        """Return the time beyond a poll's wait that its answer may take, seconds.

        During an outage it is the longest, since the platform may only be slow.
        """
        if self.outage_since is not None:
            return MAX_GRACE_S
        return min(MAX_GRACE_S, max(MIN_GRACE_S, GRACE_LATENCY_FACTOR * self.latency_s))

    @property
    def wait_s(self) -> float:
        """Return how long a poll may wait for changes, seconds."""
        return min(self.max_poll_s, MAX_UNANSWERED_POLL_S - self.grace_s)

    @property
    def poll_duration_s(self) -> float:
        """Return how long the call in flight has lasted, seconds; 0 without one."""
        return time.monotonic() - self.poll_started_at if self.is_polling else 0.0

    @property
    def unanswered_s(self) -> float:
        """Return the seconds since the platform last answered a call."""
        return time.monotonic() - self.answered_at

    def set_followed(self, follows: bool) -> None:
        """Start or stop following the feed on this VM.

        :param follows: whether this VM itself follows the feed.
        """
        if follows == self.followed:
            return
        # An earlier poll may hang on a connection that has become unresponsive.
        self.restart_poll()
        if follows:
            self.answer_due_at = -math.inf
            self._reported_healthy = False
            self._wake.set()
            self._followed.set()
        else:
            self._followed.clear()
            # Other VMs reach the platform, so an outage seen here no longer counts.
            self._end_outage("left to others")

    def set_max_poll(self, seconds: float) -> None:
        """Set the longest poll; if it becomes shorter, the call in flight ends.

        :param seconds: see :attr:`max_poll_s`.
        """
        if seconds < self.max_poll_s and self._listed:
            self._interrupt()
        self.max_poll_s = seconds

    def restart_poll(self) -> None:
        """Cancel the poll in flight, if any, and fetch existing changes next."""
        self._catch_up_next = True
        self._interrupt()

    def refresh(self) -> bool:
        """Read a full snapshot once, while other VMs follow the feed.

        :returns: whether the platform answered.
        """
        return self._fetch_snapshot().is_ok()

    def catch_up(self) -> bool:
        """Fetch the changes since the cursor once, while other VMs follow the feed.

        :returns: whether the platform answered.
        """
        response = self._fetch_changes(CATCH_UP_WAIT_S)
        if isinstance(response.err(), adapters.CursorExpired):
            return self.refresh()
        return response.is_ok()

    def set_batch_time(self, seconds: float) -> None:
        """Set how long changes accumulate; a shorter time ends the current pause.

        :param seconds: see :attr:`batch_s`.
        """
        if seconds < self.batch_s:
            self._wake.set()
        self.batch_s = seconds

    def interrupt_if_behind(self, cursor: int, waited_s: float) -> None:
        """Cancel a poll that has not returned changes which a peer already has.

        :param cursor: the peer's cursor.
        :param waited_s: how long the poll must have been in flight, seconds.
        """
        stuck = time.monotonic() - self.poll_started_at > waited_s
        if self._poll is not None and cursor > self.cursor and stuck:
            logs.event(
                log, "poll ended", feed=self.name, cursor=self.cursor, peer=cursor
            )
            self._interrupt()

    @property
    def suspect_until(self) -> float:
        """Return the monotonic time until which an outage may hide entries."""
        if self.outage_since is not None:
            return time.monotonic() + SUSPECT_REMOVAL_S
        return self.outage_ended_at + SUSPECT_REMOVAL_S

    def _poll_once(self) -> result.Result:
        self.poll_started_at = time.monotonic()
        # A snapshot may take several calls, each of which has its own timeout.
        timeout_s = None
        if self._listed:
            wait_s = self._next_wait_s()
            timeout_s = wait_s + self.grace_s
            self.answer_due_at = min(
                self.answer_due_at, self.poll_started_at + timeout_s
            )
            poll = gevent.spawn(self._fetch_changes, wait_s)
        else:
            poll = gevent.spawn(self._fetch_snapshot)
        self._poll = poll
        try:
            poll.join(timeout_s)
            timed_out = not poll.dead
        finally:
            self._poll = None
            poll.kill(block=False)
        if timed_out:
            return result.Err(adapters.FeedUnavailable("no answer in time"))
        if poll.exception is not None:
            raise poll.exception
        if isinstance(poll.value, gevent.GreenletExit):
            return result.Err(Interrupted())
        return poll.value

    def _next_wait_s(self) -> float:
        """Return how long the next poll may wait for changes, seconds."""
        catch_up_now, self._catch_up_next = self._catch_up_next, False
        # Changes written during an outage exist as soon as the platform answers.
        in_outage = self.outage_since is not None
        return CATCH_UP_WAIT_S if catch_up_now or in_outage else self.wait_s

    def _interrupt(self) -> None:
        """Cancel the call in flight, if there is one."""
        if self._poll is not None:
            self._poll.kill(block=False)

    def _fetch_snapshot(self) -> result.Result:
        sent_at = boot_clock.now()
        response = self.feed.read()
        if response.is_ok():
            self._record_call_answered()
            self.on_snapshot(response.ok_value)
            self.cursor = max(self.cursor, response.ok_value.cursor)
            self.as_of = max(self.as_of, sent_at)
        return response

    def _fetch_changes(self, wait_s: float) -> result.Result:
        sent_at = boot_clock.now()
        response = self.feed.poll(self.cursor, wait_s)
        if response.is_ok() or isinstance(response.err(), adapters.CursorExpired):
            self._record_latency(boot_clock.now() - sent_at - wait_s)
            self._record_call_answered()
        if response.is_ok():
            self.on_changes(response.ok_value)
            self.cursor = max(self.cursor, response.ok_value.cursor)
            self.as_of = max(self.as_of, sent_at)
        return response

    def _record_latency(self, seconds: float) -> None:
        """Update the latency estimate.

        :param seconds: duration of a call less its requested wait. A call that returns
            changes early gives a low value, which the decaying maximum ignores.
        """
        self.latency_s = max(seconds, LATENCY_DECAY * self.latency_s)

    def _record_call_answered(self) -> None:
        now = time.monotonic()
        delay_s = max(self.batch_s, FIRST_POLL_DELAY_S)
        self.answered_at = now
        self.answer_due_at = now + delay_s + self.wait_s + self.grace_s

    def _record_failure(self, reason: str) -> None:
        if self.outage_since is None:
            self.outage_since = time.monotonic()
            logs.event(
                log,
                "dependency lost",
                dependency="platform",
                feed=self.name,
                reason=reason[:200],
                cursor=self.cursor,
            )
        self._notify_health()

    def _record_answer(self) -> None:
        self._end_outage("answered")
        self._notify_health()

    def _notify_health(self) -> None:
        healthy = self.healthy
        if healthy != self._reported_healthy:
            self._reported_healthy = healthy
            self.on_health()

    def _end_outage(self, outcome: str) -> None:
        if self.outage_since is None:
            return
        self.outage_ended_at = time.monotonic()
        logs.event(
            log,
            "dependency regained",
            dependency="platform",
            feed=self.name,
            away_s=round(self.outage_ended_at - self.outage_since, 3),
            cursor=self.cursor,
            outcome=outcome,
        )
        self.outage_since = None


class FeedFollowers(kernel.Part):
    """Registers the platform's feeds and their followers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        settings = node_kernel.settings
        self.feeds: adapters.Feeds = plugins.find(adapters.FEEDS, settings.adapter)(
            settings, node_kernel.metrics
        )
        self.follower_by_name: dict[str, Follower] = {}

    def add(self, follower: Follower) -> None:
        """Register a follower under its name.

        :param follower: the follower.
        """
        self.follower_by_name[follower.name] = follower
