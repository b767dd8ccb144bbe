"""The declaration in force on this VM, and how it is kept up to date.

It comes from the platform through a long poll, and from peers if the platform does not
answer. Its version never decreases during the life of the process.
"""

import gevent
import gevent.event
import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import adapters, declaration_types, feeding

log = logbook.Logger("declarations")


class Declarations(kernel.Part):
    """Stores the newest declaration that this VM has received.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.feeds = node_kernel.get(feeding.FeedFollowers).feeds
        self.current: declaration_types.Declaration | None = None
        self.loaded = gevent.event.Event()
        #: Whether the last document received could be decoded. If not, the declaration
        #: in force is known to be outdated.
        self.readable = True
        #: Functions to call with a new declaration.
        self.on_change: list = []
        #: Functions to call with a document that came from the platform itself and has
        #: just taken effect.
        self.on_platform_document: list = []

    @property
    def version(self) -> int:
        """Return the version in force; 0 if there is none."""
        return self.current.version if self.current else 0

    def start(self) -> None:
        """Start to follow the platform's declarations."""
        follower = feeding.Follower(
            "declarations",
            self.feeds.declarations,
            self._apply_snapshot,
            self._apply_changes,
        )
        self.kernel.get(feeding.FeedFollowers).add(follower)
        self.tasks.spawn(follower.run)

    def apply_if_newer(self, document: bytes, source: str) -> None:
        """Apply a declaration if it is newer than the one in force.

        :param document: the operator's document.
        :param source: where it came from, for the log.
        """
        match self.feeds.declaration(document):
            case result.Ok(declaration):
                self.readable = True
                self._apply(declaration, source)
            case result.Err(reason):
                self.readable = False
                logs.event(
                    log,
                    "declaration unreadable",
                    source=source,
                    reason=reason[:200],
                    outcome=f"version {self.version} stays in force",
                )

    def _apply_snapshot(self, snapshot: adapters.Snapshot) -> None:
        self._apply_document(snapshot.document_by_name.get(self.feeds.declaration_name))

    def _apply_changes(self, changes: adapters.Changes) -> None:
        for change in changes.changes:
            if change.name == self.feeds.declaration_name:
                self._apply_document(change.document)

    def _apply_document(self, document: bytes | None) -> None:
        # There is no document before the first declaration. If the document is
        # removed, the last version stays in force.
        if document is None:
            return
        previous_version = self.version
        self.apply_if_newer(document, "platform")
        if self.version > previous_version:
            for notify in self.on_platform_document:
                notify(document)

    def _apply(self, declaration: declaration_types.Declaration, source: str) -> None:
        previous_version = self.version
        if declaration.version <= previous_version:
            # An older version may arrive late from a peer. Applying it would revert
            # changes that callers have already observed.
            return
        self.current = declaration
        logs.event(
            log,
            "declaration",
            version=declaration.version,
            before=previous_version,
            source=source,
            routes=len(declaration.routes),
            outcome="in force",
        )
        self.loaded.set()
        for notify in self.on_change:
            notify(declaration)
