"""Discovery: keeps the registry in line with the platform's."""

import time

import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import adapters, feeding, registry

log = logbook.Logger("discovery")

#: Part of the time in which an endpoint that leaves must be known that changes
#: are collected before the next poll of a VM that follows the registry: each poll that
#: returns is a priced call. Where all that follow it vanish at once, the others
#: notice within 1.1 s and poll by themselves; the rest is for that.
BATCH_SHARE = 0.25
#: Seconds between checks for entries that lapsed and did not come back.
EXPIRE_S = 0.25


class Discovery(kernel.Part):
    """Holds the registry and feeds it.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.registry = registry.Registry()
        owner = node_kernel.get(feeding.Feeding)
        self.feeds = owner.feeds
        self.follower = feeding.Follower(
            "endpoints",
            self.feeds.endpoints,
            self._take_all,
            self._take_changes,
            self.batch_s,
        )
        owner.add(self.follower)
        #: Entries that were left out and said so, to say it once.
        self.unreadable_by_name: dict[str, bytes] = {}
        #: Whether the registry was read, from the platform or a peer.
        self.loaded = False
        self.taken_at = time.monotonic()
        #: Revision of the last change that this VM knows.
        self.changed_at = 0
        #: Functions to call with the revision of the change before, and the
        #: changes that the platform itself told this VM.
        self.on_platform_changes: list = []

    @property
    def batch_s(self) -> float:
        """Return how long changes are collected before the next poll, seconds."""
        return BATCH_SHARE * self.kernel.settings.bounds.leave_ms / 1000

    def start(self) -> None:
        """Follow the platform's registry."""
        self.tasks.spawn(self.follower.run)
        self.tasks.every(EXPIRE_S, self.registry.expire)

    def take_peer(self, cursor: int, document_by_name: dict[str, bytes]) -> None:
        """Take a peer's registry, if it is newer than this VM's.

        :param cursor: the platform's revision that it is as new as.
        :param document_by_name: the entries.
        """
        if cursor > self.registry.cursor:
            self._take_all(adapters.Listing(cursor, document_by_name))

    def take_published(
        self, before: int, changes: adapters.Changes, suspect_until: float
    ) -> None:
        """Take changes that a peer publishes, if they follow on what is known here.

        :param before: revision of the change before them.
        :param changes: the changes, the last of each entry.
        :param suspect_until: monotonic time until which removals are suspect.
        """
        if before <= self.registry.cursor < changes.cursor:
            self._apply(changes, suspect_until)
            self.follower.cursor = max(self.follower.cursor, changes.cursor)

    def confirm(self, changed_at: int, cursor: int) -> None:
        """Note that a peer knows of no later change.

        Without it the cursor would stay at the last change, and a poll that begins
        there meets a history that the platform has dropped.

        :param changed_at: revision of the last change that the peer knows.
        :param cursor: revision as of which it is the last.
        """
        if self.loaded and changed_at <= self.registry.cursor < cursor:
            self.registry.cursor = cursor
            self.follower.cursor = max(self.follower.cursor, cursor)

    def documents(self) -> dict[str, bytes]:
        """Return all entries, for a peer."""
        return {item.entry.name: item.document for item in self.registry.by_id.values()}

    def _take_all(self, listing: adapters.Listing) -> None:
        if listing.cursor < self.registry.cursor:
            # A peer has told of more than this reading saw.
            return
        self.registry.cursor = listing.cursor
        if listing.document_by_name != {**self.documents(), **self.unreadable_by_name}:
            self.changed_at = listing.cursor
        suspect_until = self.follower.suspect_until if self.loaded else 0.0
        for name in self.registry.id_by_name.keys() - listing.document_by_name.keys():
            self.registry.remove(name, suspect_until)
        for name in self.unreadable_by_name.keys() - listing.document_by_name.keys():
            del self.unreadable_by_name[name]
        for name, document in listing.document_by_name.items():
            self._put(name, document)
        self._done()

    def _take_changes(self, changes: adapters.Changes) -> None:
        if changes.cursor < self.registry.cursor:
            return
        before = self.changed_at
        self._apply(changes, self.follower.suspect_until)
        if changes.changes:
            for notify in self.on_platform_changes:
                notify(before, changes)

    def _apply(self, changes: adapters.Changes, suspect_until: float) -> None:
        """Take changes, of which some may be known already.

        Only the last of each entry counts: changes that were taken before and come
        once more, among newer ones, would otherwise bring older states back.
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
            self._done()

    def _put(self, name: str, document: bytes) -> None:
        match self.feeds.endpoint(name, document):
            case result.Ok(entry):
                self.unreadable_by_name.pop(name, None)
                self.registry.put(entry, document)
            case result.Err(reason):
                self._leave_out(name, document, reason)

    def _leave_out(self, name: str, document: bytes, reason: str) -> None:
        """Do without an entry that names no endpoint to use.

        Another writer may have written it over a good one. The endpoint is used
        for as long as one whose entry lapsed in an outage, since it may write its
        entry again.
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

    def _done(self) -> None:
        self.loaded = True
        self.taken_at = time.monotonic()
        self.registry.changed()
