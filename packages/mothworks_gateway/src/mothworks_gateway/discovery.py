"""Discovery: keeps this VM's registry in step with the platform's."""

import collections.abc
import time

import attrs
import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import adapters, cursors, feeding, registry

log = logbook.Logger("discovery")

#: Share of the time limit for noticing a leaving endpoint in which changes accumulate
#: before the next poll, since each poll that returns is a billed call. The rest of the
#: limit covers the failure of all watchers at once, which the other VMs notice within
#: 1.1 s before they poll themselves.
BATCH_SHARE = 0.25
#: Seconds between checks for lapsed entries to remove.
EXPIRE_CHECK_S = 0.25


@attrs.frozen
class Update:
    """Changes that this VM received from the platform itself.

    :param changes: the changes, the last of each entry.
    :param base_changed_at: cursor of the last change before these.
    :param base_cursor: where the changes were found by comparing a full snapshot with
        the registry, the cursor up to which the registry was complete; otherwise 0.
    :param suspect_until: monotonic time until which removals are suspect.
    """

    changes: adapters.Changes
    base_changed_at: int
    base_cursor: int
    suspect_until: float

    def completes(self, cursor: int, changed_at: int) -> bool:
        """Return whether these are all changes that a registry is missing.

        Changes that were found by comparing a snapshot with another registry do not fit
        one that had later changes than that one.

        :param cursor: the cursor up to which the registry is complete.
        :param changed_at: the cursor of its last change.
        """
        if not self.base_changed_at <= cursor < self.changes.cursor:
            return False
        return not self.base_cursor or changed_at <= self.base_cursor


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
            self._apply_platform_snapshot,
            self._apply_platform_changes,
            self.batch_s,
        )
        followers.add(self.follower)
        #: Unreadable entries that were logged, so that each is logged once.
        self.unreadable_by_name: dict[str, bytes] = {}
        #: Whether the registry was read, from the platform or a peer.
        self.loaded = False
        #: Cursor of the last change that this VM has applied.
        self.changed_at = 0
        #: Functions to call with each :class:`Update`.
        self.on_platform_changes: list[collections.abc.Callable[[Update], None]] = []
        #: Functions to call after the registry of a platform that was restored from a
        #: copy was applied, without arguments.
        self.on_restored: list[collections.abc.Callable[[], None]] = []

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

        :param cursor: the platform's cursor up to which it is complete.
        :param document_by_name: the entries.
        """
        if cursor > self.registry.cursor:
            self._apply_snapshot(adapters.Snapshot(cursor, document_by_name))

    def apply_published(self, update: Update) -> None:
        """Apply changes that a peer published, if none is missing before them.

        :param update: the changes.
        """
        if update.completes(self.registry.cursor, self.changed_at):
            self._apply_changes(update.changes, update.suspect_until)
            self.follower.cursor = max(self.follower.cursor, update.changes.cursor)

    def confirm_unchanged(self, changed_at: int, cursor: int) -> None:
        """Advance the cursor, since a peer knows of no later change.

        Otherwise the cursor would stay at the last change, and the platform may have
        dropped the history from there by the next poll.

        :param changed_at: cursor of the last change that the peer knows.
        :param cursor: cursor up to which it is the last change.
        """
        if self.loaded and changed_at <= self.registry.cursor < cursor:
            self.registry.cursor = cursor
            self.follower.cursor = max(self.follower.cursor, cursor)

    def documents(self) -> dict[str, bytes]:
        """Return all entries, for a peer."""
        return {item.entry.name: item.document for item in self.registry.by_id.values()}

    def _apply_platform_snapshot(self, snapshot: adapters.Snapshot) -> None:
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
        was_loaded = self.loaded
        base_changed_at, base_cursor = self.changed_at, self.registry.cursor
        update = self._apply_snapshot(snapshot)
        if was_loaded and self.changed_at != base_changed_at:
            self._notify_updated(
                attrs.evolve(
                    update, base_changed_at=base_changed_at, base_cursor=base_cursor
                )
            )

    def _apply_snapshot(self, snapshot: adapters.Snapshot) -> Update:
        """Apply a snapshot; return what it changed, without a base."""
        suspect_until = self._suspect_until(snapshot.cursor)
        changes = self._compare(snapshot)
        self._apply_changes(changes, suspect_until)
        if not changes.changes:
            self._notify_changed()
        return Update(changes, 0, 0, suspect_until)

    def _suspect_until(self, cursor: int) -> float:
        """Return until when the removals in a snapshot are suspect, monotonic time.

        Entries that were written after the copy from which the platform was restored
        are missing until their endpoints write them again.
        """
        if not self.loaded:
            return 0.0
        if self._is_restored(cursor):
            return time.monotonic() + feeding.SUSPECT_REMOVAL_S
        return self.follower.suspect_until

    def _is_restored(self, cursor: int) -> bool:
        """Return whether the platform was restored between the registry and a cursor.

        :param cursor: the newer cursor.
        """
        return self.loaded and cursors.era(cursor) > cursors.era(self.registry.cursor)

    def _compare(self, snapshot: adapters.Snapshot) -> adapters.Changes:
        """Return the changes from the registry to a snapshot."""
        known = {**self.unreadable_by_name, **self.registry.known_documents()}
        changes = [
            adapters.Change(name, document)
            for name, document in snapshot.document_by_name.items()
            if known.get(name) != document
        ]
        names = self.registry.id_by_name.keys() | known.keys()
        missing = names - snapshot.document_by_name.keys()
        changes += [adapters.Change(name, None) for name in missing]
        return adapters.Changes(snapshot.cursor, tuple(changes))

    def _apply_platform_changes(self, changes: adapters.Changes) -> None:
        if changes.cursor < self.registry.cursor:
            return
        base_changed_at = self.changed_at
        suspect_until = self.follower.suspect_until
        self._apply_changes(changes, suspect_until)
        if changes.changes:
            self._notify_updated(Update(changes, base_changed_at, 0, suspect_until))

    def _notify_updated(self, update: Update) -> None:
        for notify in self.on_platform_changes:
            notify(update)

    def _apply_changes(self, changes: adapters.Changes, suspect_until: float) -> None:
        """Apply changes, some of which may have been applied before.

        Only the last change of each entry is applied. Otherwise, earlier changes that
        arrive again with newer ones would briefly restore older states.
        """
        is_restored = self._is_restored(changes.cursor)
        put = self.registry.put_restored if is_restored else self.registry.put
        previous, self.registry.cursor = self.registry.cursor, changes.cursor
        last_by_name = {change.name: change.document for change in changes.changes}
        for name, document in last_by_name.items():
            if document is None:
                self.unreadable_by_name.pop(name, None)
                self.registry.remove(name, suspect_until)
            else:
                self._put(name, document, put)
        if last_by_name or is_restored:
            self.changed_at = changes.cursor
            self._notify_changed()
        if is_restored:
            self._notify_restored(previous, len(last_by_name))

    def _notify_restored(self, previous: int, change_count: int) -> None:
        logs.event(
            log,
            "platform restored",
            cursor=self.registry.cursor,
            previous=previous,
            changes=change_count,
            left_out=len(self.registry.restored_by_name),
            outcome="its registry is applied",
        )
        for notify in self.on_restored:
            notify()

    def _put(
        self,
        name: str,
        document: bytes,
        put: collections.abc.Callable[[registry.Entry, bytes], None],
    ) -> None:
        match self.feeds.endpoint(name, document):
            case result.Ok(entry):
                self.unreadable_by_name.pop(name, None)
                put(entry, document)
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
        self.registry.notify_changed()
