"""Builders for tests of how the registry follows the platform."""

import types

import result

import gateway_builders
from mothworks_gateway import adapters, cursors, discovery, feeding, registry


class Feeds:
    """A fake adapter whose entries consist of the revision that wrote them."""

    endpoints = None

    def endpoint(self, name, document):
        entry = registry.Entry(
            name, document.decode(), ("10.0.1.1", 80), "a", 1, False, None, {}
        )
        return result.Ok(entry)


def make_discovery():
    followers = types.SimpleNamespace(feeds=Feeds(), add=lambda follower: None)
    return discovery.Discovery(
        gateway_builders.Kernel({feeding.FeedFollowers: followers})
    )


def changes(cursor, *pairs):
    return adapters.Changes(cursor, tuple(adapters.Change(*pair) for pair in pairs))


def publish(part, base_changed_at, update, base_cursor=0):
    """Let a part receive changes that a peer published."""
    part.apply_published(discovery.Update(update, base_changed_at, base_cursor, 0.0))


def state(part):
    """Return the revision that wrote each known entry, by name."""
    return {
        name: part.registry.find_by_name(name).entry.service
        for name in part.registry.id_by_name
    }


class Platform:
    """A platform's registry with its history, which can be restored from a copy."""

    def __init__(self):
        self.era = 1
        self.document_by_name: dict[str, bytes] = {}
        #: The changes of this era and of the copy: revision, name and document.
        self.history: list[tuple[int, str, bytes | None]] = []

    @property
    def revision(self):
        return self.history[-1][0] if self.history else 0

    @property
    def cursor(self):
        return cursors.make(self.era, self.revision)

    def write(self, name, document):
        """Write an entry, or remove it if the document is None."""
        self.history.append((self.revision + 1, name, document))
        self.document_by_name.pop(name, None)
        if document is not None:
            self.document_by_name[name] = document

    def restore(self, revision):
        """Go back to a revision."""
        kept = [item for item in self.history if item[0] <= revision]
        self.history, self.document_by_name = [], {}
        for _, name, document in kept:
            self.write(name, document)
        self.era += 1

    def update(self, part):
        """Let a part poll once, and read everything where its cursor is unknown."""
        cursor = part.follower.cursor
        if cursors.era(cursor) != self.era:
            part.follower.cursor = self.cursor
            snapshot = adapters.Snapshot(self.cursor, dict(self.document_by_name))
            part._apply_platform_snapshot(snapshot)
            return
        since = cursors.revision(cursor)
        new = [(name, document) for at, name, document in self.history if at > since]
        part.follower.cursor = self.cursor
        part._apply_platform_changes(changes(self.cursor, *new))
