"""The declaration in force on this VM, and how it is followed.

It comes from the platform by a long poll, and from peers where the platform
does not answer. Its version never goes back while the process lives.
"""

import time

import gevent
import gevent.event
import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import adapters, declared, feeding

log = logbook.Logger("declarations")


class Declarations(kernel.Part):
    """Holds the newest declaration that this VM has seen.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.feeds = node_kernel.get(feeding.Feeding).feeds
        self.current: declared.Declaration | None = None
        self.loaded = gevent.event.Event()
        self.taken_at = 0.0
        #: Whether the platform's last document was understood. While it was not,
        #: what is in force is known to be old.
        self.readable = True
        #: Functions to call with a new declaration.
        self.on_change: list = []
        #: Functions to call with a document that the platform itself told, and that
        #: is in force now.
        self.on_platform: list = []

    @property
    def version(self) -> int:
        """Return the version in force, or 0."""
        return self.current.version if self.current else 0

    def start(self) -> None:
        """Follow the platform."""
        follower = feeding.Follower(
            "declarations", self.feeds.declarations, self._take_all, self._take_changes
        )
        self.kernel.get(feeding.Feeding).add(follower)
        self.tasks.spawn(follower.run)

    def offer(self, document: bytes, source: str) -> None:
        """Take a declaration if it is newer than the one in force.

        :param document: the operator's document.
        :param source: where it came from, for the log.
        """
        match self.feeds.declaration(document):
            case result.Ok(declaration):
                self.readable = True
                self._take(declaration, source)
            case result.Err(reason):
                self.readable = False
                logs.event(
                    log,
                    "declaration unreadable",
                    source=source,
                    reason=reason[:200],
                    outcome=f"version {self.version} stays in force",
                )

    def _take_all(self, listing: adapters.Listing) -> None:
        self._take_document(listing.document_by_name.get(self.feeds.declaration_name))

    def _take_changes(self, changes: adapters.Changes) -> None:
        for change in changes.changes:
            if change.name == self.feeds.declaration_name:
                self._take_document(change.document)

    def _take_document(self, document: bytes | None) -> None:
        # Before the operator has declared anything there is none, and one that
        # was removed leaves the last version in force.
        if document is None:
            return
        before = self.version
        self.offer(document, "platform")
        if self.version > before:
            for notify in self.on_platform:
                notify(document)

    def _take(self, declaration: declared.Declaration, source: str) -> None:
        before = self.version
        if declaration.version <= before:
            # An older one may come late from a peer; in force it would undo
            # what callers have already seen.
            return
        self.current = declaration
        self.taken_at = time.monotonic()
        logs.event(
            log,
            "declaration",
            version=declaration.version,
            before=before,
            source=source,
            routes=len(declaration.routes),
            outcome="in force",
        )
        self.loaded.set()
        for notify in self.on_change:
            notify(declaration)
