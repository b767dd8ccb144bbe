"""Watching: a few VMs follow the platform's feeds and publish changes to all others.

If every VM followed the feeds, the number of platform calls would grow with VMs times
changes. Instead, the lease holder and one more VM follow them
(:mod:`watcher_election`). These watchers publish registry changes as they arrive, and
a status twice a second: whether the platform answers them, and how recent their view
is. A VM that is behind a status fetches the missing changes with one call; a VM that
knows no healthy watcher follows the feeds itself. A lost message or watcher therefore
delays a change by one status interval, but never hides it.
"""

import collections.abc
import itertools
import random
import time

import attrs
import gevent
import logbook

from mothworks import kernel, logs, membership, messages, peers
from mothworks_gateway import (
    adapters,
    broadcast,
    cursors,
    declarations,
    discovery,
    feed_reports,
    feeding,
    heartbeat,
    lease,
    ranking,
    relayed_objects,
    watcher_election,
)

log = logbook.Logger("watching")

StatusByVm = dict[str, watcher_election.Status]

#: Seconds between checks of which VMs are watchers, and between a watcher's statuses.
CHECK_INTERVAL_S = 0.25
STATUS_INTERVAL_S = 0.5
#: Longest poll of the declaration where callers need keys, seconds. The result of a
#: poll only proves the state as of the poll's start (:mod:`freshness`).
MAX_KEYED_POLL_S = 0.5
#: Time for published changes to arrive before this VM fetches them itself, seconds.
CATCH_UP_DELAY_S = 0.35
#: Time within which a new declaration is usually published, and the random delay over
#: which VMs that missed it spread their calls, seconds.
PUBLISH_DELAY_S = 0.1
READ_JITTER_S = 0.25


@messages.message(125)
@attrs.frozen
class RegistryUpdate:
    """Changes of the registry, published to all VMs.

    :param base_changed_at: cursor of the last change before these.
    :param cursor: cursor up to which these are all changes after that one.
    :param document_by_name: the platform's document of each entry; None if removed.
    :param suspect_s: time for which removals may be caused by an outage, seconds.
    :param base_cursor: see :class:`discovery.Update`.
    """

    base_changed_at: int
    cursor: int
    document_by_name: dict[str, bytes | None]
    suspect_s: float = 0.0
    base_cursor: int = 0


class Watching(kernel.Part):
    """Follows the feeds for all VMs, or applies what watchers publish.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.membership = node_kernel.get(membership.Membership)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.lease = node_kernel.get(lease.Lease)
        self.heartbeats = node_kernel.get(heartbeat.Heartbeats)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.feeding = node_kernel.get(feeding.FeedFollowers)
        self.election = watcher_election.WatcherElection(self.name)
        self.ranking = ranking.Ranking("watch", self.name, self.membership)
        self.is_watcher = True
        self.status_published_at = 0.0
        #: Health in this VM's last status; None before the first one.
        self.published_health: bool | None = None
        self.behind_since: float | None = None
        self._reads_in_progress: set[collections.abc.Callable[[], bool]] = set()
        node_peers = node_kernel.get(peers.Peers)
        node_peers.handle(watcher_election.Status, self._on_status)
        node_peers.handle(RegistryUpdate, self._on_registry_update)
        self.discovery.on_platform_changes.append(self._publish_changes)
        self.declarations.on_change.append(lambda _: self._publish_status())
        store = node_kernel.get(relayed_objects.RelayedObjects)
        store.on_recovered.append(self._restart_polls)

    def start(self) -> None:
        """Start the periodic check of watchers, and publishing."""
        for follower in self.feeding.follower_by_name.values():
            follower.on_health = self._on_health
        self.tasks.every(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Decide whether this VM is a watcher, and which feeds it follows."""
        now = time.monotonic()
        ranked = self.ranking.vms
        self.election.retain(set(ranked))
        healthy = self.election.healthy_watchers(now)
        elected = self._is_elected(ranked, now)
        took_over = elected and not self.is_watcher
        if elected != self.is_watcher:
            self._set_watching(elected, healthy)
        self._set_max_polls(alone=len(ranked) == 1)
        self._follow_feeds(healthy)
        if not elected:
            self._catch_up_registry(healthy, now)
        elif not took_over:
            # A new watcher has not had time for an answer of the platform.
            self._publish_status_if_due(now)

    def _publish_status_if_due(self, now: float) -> None:
        status_due = (
            now - self.status_published_at > STATUS_INTERVAL_S - CHECK_INTERVAL_S / 2
        )
        if status_due or self.healthy != self.published_health:
            self._publish_status()

    def _set_watching(self, elected: bool, healthy: StatusByVm) -> None:
        self.is_watcher = elected
        self.published_health = None
        logs.event(
            log,
            "watch",
            reason=f"{len(healthy)} other healthy watchers",
            others=sorted(healthy),
            outcome="watcher" if elected else "not a watcher",
        )

    def _follow_feeds(self, healthy: StatusByVm) -> None:
        """Follow the feeds as a watcher, or where no healthy watcher is known.

        :param healthy: the recent statuses of healthy watchers, by VM.
        """
        loaded = self.discovery.loaded and self.declarations.version > 0
        for follower in self.feeding.follower_by_name.values():
            follower.set_followed(self.is_watcher or not healthy or not loaded)

    def _set_max_polls(self, alone: bool) -> None:
        current = self.declarations.current
        keys_required = current is not None and current.accounts is not None
        max_poll_s = feeding.MAX_LONE_VM_POLL_S if alone else feeding.MAX_POLL_S
        by_name = self.feeding.follower_by_name
        by_name["endpoints"].set_max_poll(max_poll_s)
        by_name["declarations"].set_max_poll(
            MAX_KEYED_POLL_S if keys_required else max_poll_s
        )

    def _is_elected(self, ranked: list[str], now: float) -> bool:
        if self.kernel.draining:
            return False
        if self.lease.held():
            return True
        holder = self.lease.holder()
        others = [vm for vm in ranked if vm != holder]
        return self.name in self.election.watchers(others, now)

    @property
    def healthy(self) -> bool:
        """Return whether all feeds were loaded and the platform answers for each."""
        return (
            self.discovery.loaded
            and self.declarations.version > 0
            and all(item.healthy for item in self.feeding.follower_by_name.values())
        )

    def _restart_polls(self) -> None:
        """Restart polls sent during an outage, which may never be answered."""
        for follower in self.feeding.follower_by_name.values():
            if follower.followed:
                follower.restart_poll()

    def _on_health(self) -> None:
        """Publish a change of health without waiting for the next status."""
        if self.healthy != bool(self.published_health):
            self._publish_status()

    def _publish_status(self) -> None:
        if not self.is_watcher:
            return
        self.status_published_at = time.monotonic()
        healthy = self.healthy
        self._log_health(healthy)
        self.broadcast.publish(
            watcher_election.Status(
                healthy,
                self.discovery.registry.cursor,
                self.discovery.changed_at,
                self.declarations.version,
            )
        )

    def _log_health(self, healthy: bool) -> None:
        """Log a change of the published health, with the state of each feed."""
        if healthy == self.published_health:
            return
        self.published_health = healthy
        for follower in self.feeding.follower_by_name.values():
            logs.event(
                log,
                "health published",
                **feed_reports.describe(follower),
                declaration=self.declarations.version,
                outcome="healthy" if healthy else "unhealthy",
            )

    def _publish_changes(self, update: discovery.Update) -> None:
        """Publish changes received from the platform, if this VM is a watcher."""
        if not self.is_watcher:
            return
        changes = update.changes
        self.broadcast.publish(
            RegistryUpdate(
                update.base_changed_at,
                changes.cursor,
                {item.name: item.document for item in changes.changes},
                max(0.0, update.suspect_until - time.monotonic()),
                update.base_cursor,
            )
        )

    def _on_registry_update(
        self, _: str, update: RegistryUpdate, __: peers.Reply
    ) -> None:
        changes = tuple(
            itertools.starmap(adapters.Change, update.document_by_name.items())
        )
        self.discovery.apply_published(
            discovery.Update(
                adapters.Changes(update.cursor, changes),
                update.base_changed_at,
                update.base_cursor,
                time.monotonic() + update.suspect_s if update.suspect_s else 0.0,
            )
        )

    def _on_status(
        self, vm: str, status: watcher_election.Status, _: peers.Reply
    ) -> None:
        now = time.monotonic()
        if cursors.era(status.cursor) < cursors.era(self.discovery.registry.cursor):
            # It does not know yet that the platform was restored.
            status = attrs.evolve(status, healthy=False)
        self.election.receive(vm, status, now)
        if not status.healthy:
            self._follow_feeds(self.election.healthy_watchers(now))
            return
        self.discovery.confirm_unchanged(status.changed_at, status.cursor)
        if self.is_watcher:
            self._interrupt_stale_polls(status)
        elif status.declaration_version > self.declarations.version:
            self._start_read(self._read_declaration, vm)

    def _interrupt_stale_polls(self, status: watcher_election.Status) -> None:
        """Cancel polls of this VM that lack changes which another watcher has."""
        by_name = self.feeding.follower_by_name
        if status.declaration_version > self.declarations.version:
            by_name["declarations"].interrupt_if_behind(
                status.cursor, heartbeat.CATCH_UP_DELAY_S
            )
        if status.changed_at > self.discovery.registry.cursor:
            by_name["endpoints"].interrupt_if_behind(
                status.changed_at, heartbeat.POLL_STUCK_S
            )

    def _catch_up_registry(self, healthy: StatusByVm, now: float) -> None:
        """Fetch the registry's changes once if a published update did not arrive."""
        newest = max(
            healthy.values(), key=lambda status: status.changed_at, default=None
        )
        if newest is None or newest.changed_at <= self.discovery.registry.cursor:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since > CATCH_UP_DELAY_S:
            self.behind_since = None
            vm = next(vm for vm, status in healthy.items() if status is newest)
            self._start_read(self._read_registry, vm)

    def _start_read(self, read: collections.abc.Callable[[], bool], vm: str) -> None:
        if read not in self._reads_in_progress:
            self._reads_in_progress.add(read)
            self.tasks.spawn(self._read_or_fetch_from_peer, read, vm)

    def _read_or_fetch_from_peer(
        self, read: collections.abc.Callable[[], bool], vm: str
    ) -> None:
        """Read from the platform, or from a peer if the platform does not answer.

        :param read: reads from the platform; returns whether it answered.
        :param vm: the peer.
        """
        try:
            if not read():
                self.heartbeats.fetch_state(vm)
        finally:
            self._reads_in_progress.discard(read)

    def _read_declaration(self) -> bool:
        gevent.sleep(PUBLISH_DELAY_S + random.uniform(0.0, READ_JITTER_S))
        healthy = self.election.healthy_watchers(time.monotonic()).values()
        newest = max((status.declaration_version for status in healthy), default=0)
        if newest <= self.declarations.version:
            return True
        return self.feeding.follower_by_name["declarations"].refresh()

    def _read_registry(self) -> bool:
        return self.feeding.follower_by_name["endpoints"].catch_up()
