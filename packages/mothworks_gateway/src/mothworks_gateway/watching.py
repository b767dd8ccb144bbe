"""Watching: a few VMs follow the platform's feeds and publish changes to all others.

If every VM followed by itself, calls to the platform would grow with VMs times changes.
So the holder of the lease and one more VM follow the feeds (:mod:`watcher_election`).
They publish changes of the registry as they are, and a status twice a second: whether
the platform answers them, and how new their view is. A VM that is behind a status reads
what it misses by one call; one that knows no healthy watcher follows by itself. So a
message or a watcher that is lost delays a change by the time of a status, and hides
none.
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

#: Seconds between checks of who watches, and between statuses of those that do.
CHECK_S = 0.25
STATUS_S = 0.5
#: Longest poll of the declaration where callers need keys, seconds: what a poll shows
#: is only as new as its beginning (:mod:`freshness`).
MAX_KEYED_POLL_S = 0.5
#: Time that published changes may take on their way before this VM reads them, seconds.
CATCH_UP_DELAY_S = 0.35
#: Time in which a new declaration is usually published, and over which the VMs that
#: miss it spread their readings, seconds.
PUBLISH_DELAY_S = 0.1
SPREAD_S = 0.25


@messages.message(125)
@attrs.frozen
class RegistryUpdate:
    """Changes in the registry, for all VMs.

    :param before: revision of the change before the first of these.
    :param cursor: revision as of which these are all changes since.
    :param documents: each entry as the platform spells it, by name; None if removed.
    :param suspect_s: seconds for which removals may come from an outage.
    """

    before: int
    cursor: int
    documents: dict[str, bytes | None]
    suspect_s: float = 0.0


class Watching(kernel.Part):
    """Follows the feeds for all VMs, or takes what watchers publish.

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
        self.feeding = node_kernel.get(feeding.Feeding)
        self.election = watcher_election.WatcherElection(self.name)
        self.ranking = ranking.Ranking("watch", self.name, self.membership)
        self.is_watcher = True
        self.published_at = 0.0
        #: What this VM's last status said of the platform; None before one.
        self.published_health: bool | None = None
        self.behind_since: float | None = None
        self._reading: set[collections.abc.Callable[[], bool]] = set()
        node_peers = node_kernel.get(peers.Peers)
        node_peers.handle(watcher_election.Status, self._on_status)
        node_peers.handle(RegistryUpdate, self._on_registry_update)
        self.discovery.on_platform_changes.append(self._publish_changes)
        self.declarations.on_change.append(lambda _: self._publish_status())
        store = node_kernel.get(relayed_objects.RelayedObjects)
        store.on_return.append(self._restart_polls)

    def start(self) -> None:
        """Start to check who watches, and to publish."""
        for follower in self.feeding.follower_by_name.values():
            follower.on_health = self._on_health
        self.tasks.every(CHECK_S, self._check)

    def _check(self) -> None:
        """Decide whether this VM watches, and which feeds it follows."""
        now = time.monotonic()
        ranked = self.ranking.vms
        self.election.retain(set(ranked))
        healthy = self.election.healthy_watchers(now)
        elected = self._is_elected(ranked, now)
        took_over = elected and not self.is_watcher
        if elected != self.is_watcher:
            self._set_duty(elected, healthy)
        self._set_poll_times(alone=len(ranked) == 1)
        self._follow_feeds(healthy)
        if not elected:
            self._catch_up_registry(healthy, now)
        elif not took_over:
            # One that has just taken over has had no time for an answer.
            self._publish_status_if_due(now)

    def _publish_status_if_due(self, now: float) -> None:
        due = now - self.published_at > STATUS_S - CHECK_S / 2
        if due or self.healthy != self.published_health:
            self._publish_status()

    def _set_duty(self, elected: bool, healthy: StatusByVm) -> None:
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
        read = self.discovery.loaded and self.declarations.version > 0
        for follower in self.feeding.follower_by_name.values():
            follower.follow(self.is_watcher or not healthy or not read)

    def _set_poll_times(self, alone: bool) -> None:
        current = self.declarations.current
        keyed = current is not None and current.accounts is not None
        max_poll_s = feeding.MAX_LONE_VM_POLL_S if alone else feeding.MAX_POLL_S
        by_name = self.feeding.follower_by_name
        by_name["endpoints"].set_max_poll(max_poll_s)
        by_name["declarations"].set_max_poll(MAX_KEYED_POLL_S if keyed else max_poll_s)

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
        """Return whether the platform answers this VM about all that others rely on."""
        return (
            self.discovery.loaded
            and self.declarations.version > 0
            and all(item.healthy for item in self.feeding.follower_by_name.values())
        )

    def _restart_polls(self) -> None:
        """Give up polls that were sent during an outage: they may never be answered."""
        for follower in self.feeding.follower_by_name.values():
            if follower.followed:
                follower.restart_poll()

    def _on_health(self) -> None:
        """Publish at once that the platform stopped answering, or answers again."""
        if self.healthy != bool(self.published_health):
            self._publish_status()

    def _publish_status(self) -> None:
        if not self.is_watcher:
            return
        self.published_at = time.monotonic()
        healthy = self.healthy
        self._note_health(healthy)
        self.broadcast.publish(
            watcher_election.Status(
                healthy,
                self.discovery.registry.cursor,
                self.discovery.changed_at,
                self.declarations.version,
            )
        )

    def _note_health(self, healthy: bool) -> None:
        """Log a change of what this VM publishes of the platform, feed by feed."""
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

    def _publish_changes(self, before: int, changes: adapters.Changes) -> None:
        """Publish changes that the platform returned to this VM."""
        if not self.is_watcher:
            return
        suspect_s = self.discovery.follower.suspect_until - time.monotonic()
        documents = {item.name: item.document for item in changes.changes}
        update = RegistryUpdate(before, changes.cursor, documents, max(0.0, suspect_s))
        self.broadcast.publish(update)

    def _on_registry_update(
        self, _: str, update: RegistryUpdate, __: peers.Answer
    ) -> None:
        changes = tuple(itertools.starmap(adapters.Change, update.documents.items()))
        suspect_until = time.monotonic() + update.suspect_s if update.suspect_s else 0.0
        self.discovery.take_published(
            update.before, adapters.Changes(update.cursor, changes), suspect_until
        )

    def _on_status(
        self, vm: str, status: watcher_election.Status, _: peers.Answer
    ) -> None:
        now = time.monotonic()
        self.election.receive(vm, status, now)
        if not status.healthy:
            self._follow_feeds(self.election.healthy_watchers(now))
            return
        self.discovery.confirm(status.changed_at, status.cursor)
        if self.is_watcher:
            self._interrupt_stale_polls(status)
        elif status.declaration_version > self.declarations.version:
            self._read_soon(self._read_declaration, vm)

    def _interrupt_stale_polls(self, status: watcher_election.Status) -> None:
        """End polls of this VM's own that miss what another one has seen."""
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
        """Read the registry once where an update did not arrive."""
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
            self._read_soon(self._read_registry, vm)

    def _read_soon(self, read: collections.abc.Callable[[], bool], vm: str) -> None:
        if read not in self._reading:
            self._reading.add(read)
            self.tasks.spawn(self._read, read, vm)

    def _read(self, read: collections.abc.Callable[[], bool], vm: str) -> None:
        """Read what is new; from a peer where the platform is silent."""
        try:
            if not read():
                self.heartbeats.ask(vm)
        finally:
            self._reading.discard(read)

    def _read_declaration(self) -> bool:
        gevent.sleep(PUBLISH_DELAY_S + random.uniform(0.0, SPREAD_S))
        healthy = self.election.healthy_watchers(time.monotonic()).values()
        newest = max((status.declaration_version for status in healthy), default=0)
        if newest <= self.declarations.version:
            return True
        return self.feeding.follower_by_name["declarations"].refresh()

    def _read_registry(self) -> bool:
        return self.feeding.follower_by_name["endpoints"].catch_up()
