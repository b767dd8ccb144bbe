"""Discovery: keeps this VM's registry in step with the platform's."""

import time

import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import adapters, feeding, registry

log = logbook.Logger("discovery")

#: Share of the time limit for noticing a leaving endpoint in which changes accumulate
#: before the next poll, since each poll that returns is a billed call. The rest of the
#: limit covers the failure of all watchers at once, which the other VMs notice within
#: 1.1 s before they poll themselves.
BATCH_SHARE = 0.25
#: Seconds between checks for lapsed entries to remove.
EXPIRE_CHECK_S = 0.25


class Discovery(kernel.Part):
    """Owns the registry and updates it from the platform and from peers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.registry = registry.Registry()
        followers = node_kernel.get(feeding.FeedFollowers)
        self.feeds = followers.feeds
        self.follower = feeding.Follower(
            "endpoints",
            self.feeds.endpoints,
            self._apply_snapshot,
            self._apply_platform_changes,
            self.batch_s,
        )
        followers.add(self.follower)
        #: Unreadable entries that were logged, so that each is logged once.
        self.unreadable_by_name: dict[str, bytes] = {}
        #: Whether the registry was read, from the platform or a peer.
        self.loaded = False
        self.updated_at = time.monotonic()
        #: Revision of the last change that this VM has applied.
        self.changed_at = 0
        #: Functions to call with the revision of the previous change and with changes
        #: that this VM received from the platform itself.
        self.on_platform_changes: list = []

    @property
    def batch_s(self) -> float:
        """Return how long changes accumulate before the next poll, seconds."""
        return BATCH_SHARE * self.kernel.settings.bounds.leave_ms / 1000

    def start(self) -> None:
        """Start to follow the platform's registry."""
        self.tasks.spawn(self.follower.run)
        self.tasks.every(EXPIRE_CHECK_S, self.registry.expire)

    def apply_peer_snapshot(
        self, cursor: int, document_by_name: dict[str, bytes]
    ) -> None:
        """Apply a peer's registry if it is newer than this VM's.

        :param cursor: the platform's revision up to which it is complete.
        :param document_by_name: the entries.
        """
        if cursor > self.registry.cursor:
            self._apply_snapshot(adapters.Snapshot(cursor, document_by_name))

    def apply_published(
        self, base_revision: int, changes: adapters.Changes, suspect_until: float
    ) -> None:
        """Apply changes that a peer published, if none is missing before them.

        :param base_revision: revision of the last change before these.
        :param changes: the changes, the last of each entry.
        :param suspect_until: monotonic time until which removals are suspect.
        """
        if base_revision <= self.registry.cursor < changes.cursor:
            self._apply_changes(changes, suspect_until)
            self.follower.cursor = max(self.follower.cursor, changes.cursor)

    def confirm_unchanged(self, changed_at: int, cursor: int) -> None:
        """Advance the cursor, since a peer knows of no later change.

        Otherwise the cursor would stay at the last change, and the platform may have
        dropped the history from there by the next poll.

        :param changed_at: revision of the last change that the peer knows.
        :param cursor: revision up to which it is the last change.
        """
        if self.loaded and changed_at <= self.registry.cursor < cursor:
            self.registry.cursor = cursor
            self.follower.cursor = max(self.follower.cursor, cursor)

    def documents(self) -> dict[str, bytes]:
        """Return all entries, for a peer."""
        return {item.entry.name: item.document for item in self.registry.by_id.values()}

    def _apply_snapshot(self, snapshot: adapters.Snapshot) -> None:
        if snapshot.cursor < self.registry.cursor:
            # Changes published by a peer are newer than this snapshot.
            logs.event(
                log,
                "snapshot",
                cursor=snapshot.cursor,
                known=self.registry.cursor,
                outcome="older than what is known, left out",
            )
            return
        self.registry.cursor = snapshot.cursor
        if snapshot.document_by_name != {**self.documents(), **self.unreadable_by_name}:
            self.changed_at = snapshot.cursor
        suspect_until = self.follower.suspect_until if self.loaded else 0.0
        for name in self.registry.id_by_name.keys() - snapshot.document_by_name.keys():
            self.registry.remove(name, suspect_until)
        for name in self.unreadable_by_name.keys() - snapshot.document_by_name.keys():
            del self.unreadable_by_name[name]
        for name, document in snapshot.document_by_name.items():
            self._put(name, document)
        self._notify_changed()

    def _apply_platform_changes(self, changes: adapters.Changes) -> None:
        if changes.cursor < self.registry.cursor:
            return
        base_revision = self.changed_at
        self._apply_changes(changes, self.follower.suspect_until)
        if changes.changes:
            for notify in self.on_platform_changes:
                notify(base_revision, changes)

    def _apply_changes(self, changes: adapters.Changes, suspect_until: float) -> None:
        """Apply changes, some of which may have been applied before.

        Only the last change of each entry is applied. Otherwise, earlier changes that
        arrive again with newer ones would briefly restore older states.
        """
        self.registry.cursor = changes.cursor
        last_by_name = {change.name: change.document for change in changes.changes}
        for name, document in last_by_name.items():
            if document is None:
                self.unreadable_by_name.pop(name, None)
                self.registry.remove(name, suspect_until)
            else:
                self._put(name, document)
        if last_by_name:
            self.changed_at = changes.cursor
            self._notify_changed()

    def _put(self, name: str, document: bytes) -> None:
        match self.feeds.endpoint(name, document):
            case result.Ok(entry):
                self.unreadable_by_name.pop(name, None)
                self.registry.put(entry, document)
            case result.Err(reason):
                self._skip_entry(name, document, reason)

    def _skip_entry(self, name: str, document: bytes, reason: str) -> None:
        """Skip an entry that can't be decoded.

        Another writer may have overwritten a valid entry. The endpoint stays in use for
        as long as one whose entry lapsed during an outage, since it may write its entry
        again.
        """
        suspect_until = time.monotonic() + feeding.SUSPECT_REMOVAL_S
        self.registry.remove(name, suspect_until, "its entry can't be read")
        if self.unreadable_by_name.get(name) == document:
            return
        self.unreadable_by_name[name] = document
        logs.event(
            log,
            "entry unreadable",
            endpoint=name[:80],
            reason=reason[:200],
            outcome="left out",
        )

    def _notify_changed(self) -> None:
        self.loaded = True
        self.updated_at = time.monotonic()
        self.registry.notify_changed()
