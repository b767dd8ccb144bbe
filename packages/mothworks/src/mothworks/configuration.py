"""The configuration in force: the newest catalogue this VM knows.

A revision is stored as immutable parts, named by the hash of their content,
and one head object that names them and is flipped by a conditional update.
A VM never takes a lower revision than it has. Other modules bring new heads:
:mod:`mothworks.configuration_following` from the object API,
:mod:`mothworks.configuration_gossip` from peers.
"""

import collections
import collections.abc
import time

import attrs
import gevent
import gevent.event
import gevent.lock
import logbook
import result

from mothworks import (
    catalogue,
    catalogue_checks,
    configuration_head,
    configuration_parts,
    configuration_writing,
    documents,
    kernel,
    objects,
    plugins,
)

log = logbook.Logger("configuration")

#: Time before a revision that this VM could not read is tried again, seconds.
REFUSED_S = 60.0
#: Revisions kept, so that an operator whose change came too late is told
#: what others changed.
EARLIER_REVISIONS = 8


@attrs.frozen
class Stale:
    """A change was made against another revision than the one in force.

    :param revision: the revision in force.
    :param base: the catalogue that the change was made against; None where
        this VM does not have it.
    :param in_force: the catalogue in force.
    """

    revision: int
    base: catalogue.Catalogue | None
    in_force: catalogue.Catalogue


@attrs.frozen
class Uncertain:
    """A change was sent, but whether it is accepted is not known.

    :param revision: the revision that it has if it was accepted.
    :param reason: what failed.
    """

    revision: int
    reason: str


@attrs.frozen
class Unreadable:
    """A revision is corrupt, or has fields that this version does not know.

    :param revision: the revision.
    :param problems: what is wrong with it.
    """

    revision: int
    problems: documents.DocumentError


ApplyError = Stale | Uncertain | objects.Unavailable | objects.TooLarge
TakeError = objects.Unavailable | Unreadable
#: Asks for a part by its name; returns it compressed, or None.
PartSource = collections.abc.Callable[[str], bytes | None]


@attrs.frozen
class _Refused:
    """A head that could not be read, and when it is tried again."""

    until: float
    error: Unreadable


@plugins.register(plugins.PART, "configuration")
class Configuration(kernel.Part):
    """Holds the newest revision and applies changes.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.writer = configuration_writing.Writer(self.api)
        self.revision = 0
        self.index = catalogue.Index(catalogue.Catalogue())
        #: Set once this VM has a revision or knows that there is none.
        self.loaded = gevent.event.Event()
        #: Functions to call after a change, without arguments.
        self.on_change: list[collections.abc.Callable[[], None]] = []
        #: Where parts are looked for before the object API is asked.
        self.part_sources: list[PartSource] = []
        #: The head in force as it was stored; empty before the first.
        self.head_body = b""
        self.part_by_name: dict[str, configuration_parts.Part] = {}
        self.earlier: collections.OrderedDict[int, catalogue.Catalogue] = (
            collections.OrderedDict()
        )
        self.refused_by_nonce: dict[str, _Refused] = {}
        self.taking = gevent.lock.RLock()

    def apply(
        self, changed: catalogue.Catalogue, expected: int, who: str, why: str
    ) -> result.Result[int, ApplyError]:
        """Store a catalogue as the next revision.

        :param changed: the checked catalogue.
        :param expected: the revision that the operator's change is based on.
        :param who: the operator.
        :param why: the operator's reason.
        :returns: the new revision. An error has changed nothing, but for
            :class:`Uncertain`.
        """
        match self.writer.read_newest(self.revision):
            case result.Ok(stored):
                pass
            case error:
                return error
        if stored.revision != expected:
            return self._stale(expected)
        parts = configuration_parts.split(changed)
        problem = self.writer.store_parts(parts, stored.head)
        if problem is not None:
            return result.Err(problem)
        head = configuration_writing.next_head(stored.head, parts, who, why)
        match self.writer.flip(head, stored.version):
            case result.Ok(_):
                self._install(head, configuration_head.write(head), parts)
                return result.Ok(head.revision)
            case result.Err(objects.Conflict()):
                return self._stale(expected)
            case result.Err(objects.Unknown(reason)):
                return result.Err(Uncertain(head.revision, reason))
            case error:
                return error

    def refresh(self) -> result.Result[int, TakeError]:
        """Read the head and take it if it is newer.

        :returns: the revision in force afterwards.
        """
        match self.api.get(configuration_head.KEY):
            case result.Ok(stored):
                taken = self.take(stored.body)
            case result.Err(objects.Missing()):
                taken = result.Ok(self.revision)
            case error:
                return error
        if taken.is_ok():
            self.loaded.set()
        return taken

    def take(
        self, body: bytes, sources: tuple[PartSource, ...] = ()
    ) -> result.Result[int, TakeError]:
        """Take a head if it is newer than the one in force.

        :param body: the head as it was stored.
        :param sources: where to look for parts first.
        :returns: the revision in force afterwards.
        """
        match configuration_head.read(body):
            case result.Ok(head):
                pass
            case result.Err(problems):
                return self._refuse(body.decode("latin-1"), 0, problems)
        # A slow read may finish after a newer revision was taken: taking it
        # then would revert an accepted change on this VM.
        with self.taking:
            if head.revision <= self.revision:
                return result.Ok(self.revision)
            refused = self.refused_by_nonce.get(head.nonce)
            if refused is not None and time.monotonic() < refused.until:
                return result.Err(refused.error)
            match self._fetch_parts(head, (*sources, *self.part_sources)):
                case result.Ok(parts):
                    pass
                case error:
                    return error
            declared = configuration_parts.join(parts)
            match catalogue_checks.check(declared, configuration_head.KEY):
                case result.Err(problems):
                    return self._refuse(head.nonce, head.revision, problems)
        self._install(head, body, parts)
        self.loaded.set()
        return result.Ok(self.revision)

    def part(self, name: str) -> bytes | None:
        """Return a part of the revision in force, compressed, for a peer.

        :param name: the part's name.
        """
        known = self.part_by_name.get(name)
        return known.packed if known else None

    def _install(
        self,
        head: configuration_head.Head,
        body: bytes,
        parts: list[configuration_parts.Part],
    ) -> None:
        with self.taking:
            if head.revision <= self.revision:
                return
            self.earlier[self.revision] = self.index.catalogue
            while len(self.earlier) > EARLIER_REVISIONS:
                self.earlier.popitem(last=False)
            self.revision = head.revision
            self.index = catalogue.Index(configuration_parts.join(parts))
            self.part_by_name = {part.name: part for part in parts}
            self.head_body = body
            self.refused_by_nonce.clear()
        log.info("revision {} by {}", head.revision, head.who)
        for notify in self.on_change:
            notify()

    def _refuse(
        self, nonce: str, revision: int, problems: documents.DocumentError
    ) -> result.Result[int, TakeError]:
        """Keep the revision in force in place of one that cannot be read."""
        error = Unreadable(revision, problems)
        self.refused_by_nonce[nonce] = _Refused(time.monotonic() + REFUSED_S, error)
        log.error("revision {} is not taken: {}", revision, problems)
        return result.Err(error)

    def _stale(self, expected: int) -> result.Result[int, ApplyError]:
        # The difference is told from the catalogue in force, so this VM has
        # to have it; where it cannot be read, what it has is told.
        self.refresh()
        base = self.earlier.get(expected)
        in_force = self.index.catalogue
        return result.Err(Stale(self.revision, base, in_force))

    def _fetch_parts(
        self, head: configuration_head.Head, sources: tuple[PartSource, ...]
    ) -> result.Result[list[configuration_parts.Part], TakeError]:
        parts = []
        for names in head.parts_by_section.values():
            for name in names:
                match self._fetch_part(head, name, sources):
                    case result.Ok(part):
                        parts.append(part)
                    case error:
                        return error
        return result.Ok(parts)

    def _fetch_part(
        self, head: configuration_head.Head, name: str, sources: tuple[PartSource, ...]
    ) -> result.Result[configuration_parts.Part, TakeError]:
        known = self.part_by_name.get(name)
        if known is not None:
            return result.Ok(known)
        for source in sources:
            packed = source(name)
            if packed is None:
                continue
            read = configuration_parts.read(name, packed)
            if read.is_ok():
                return read
            log.warning("a part from a peer: {}", read.err())
        match self.api.get(configuration_parts.KEY_PREFIX + name):
            case result.Ok(stored):
                packed = configuration_parts.pack(stored.body)
            case result.Err(problem):
                return result.Err(objects.Unavailable(f"part {name}: {problem}"))
        match configuration_parts.read(name, packed):
            case result.Err(problems):
                return self._refuse(head.nonce, head.revision, problems)
            case read:
                return read
