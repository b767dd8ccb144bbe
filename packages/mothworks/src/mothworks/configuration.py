"""The configuration in force: the newest catalogue this VM has adopted.

A revision is stored as immutable parts, named by the hash of their content,
and one head object that lists them and is replaced by a conditional write.
A VM never adopts a lower revision than its own. Other modules deliver new
heads: :mod:`mothworks.configuration_following` from the object API,
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

#: Time before an unreadable revision is tried again, seconds.
UNREADABLE_RETRY_S = 60.0
#: Earlier revisions retained, so that an operator whose change is based on
#: one of them gets the difference to the one in force.
MAX_EARLIER_REVISIONS = 8


@attrs.frozen
class Stale:
    """A change is based on another revision than the one in force.

    :param revision: the revision in force.
    :param base: the catalogue that the change is based on; None if this VM
        does not retain it.
    :param in_force: the catalogue in force.
    """

    revision: int
    base: catalogue.Catalogue | None
    in_force: catalogue.Catalogue


@attrs.frozen
class Uncertain:
    """A change was sent, but it is unknown whether it was accepted.

    :param revision: its revision if it was accepted.
    :param reason: what failed.
    """

    revision: int
    reason: str


@attrs.frozen
class Unreadable:
    """A revision is corrupt, or has fields unknown to this program version.

    :param revision: the revision.
    :param problems: what is wrong with it.
    """

    revision: int
    problems: documents.DocumentError


ApplyError = Stale | Uncertain | objects.Unavailable | objects.TooLarge
AdoptError = objects.Unavailable | Unreadable
#: Fetches a part by its name; returns it compressed, or None.
PartSource = collections.abc.Callable[[str], bytes | None]


@attrs.frozen
class _RejectedHead:
    """An unreadable head, and the monotonic time from which it is tried again."""

    retry_at: float
    error: Unreadable


@plugins.register(plugins.PART, "configuration")
class Configuration(kernel.Part):
    """Stores the newest revision and applies operators' changes.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.writer = configuration_writing.Writer(self.api)
        self.revision = 0
        self.index = catalogue.Index(catalogue.Catalogue())
        #: Set once this VM has a revision or knows that none is stored.
        self.loaded = gevent.event.Event()
        #: Callbacks without arguments, run after a new revision is in force.
        self.change_callbacks: list[collections.abc.Callable[[], None]] = []
        #: Sources of parts that are tried before the object API.
        self.part_sources: list[PartSource] = []
        #: The stored bytes of the head in force; empty before the first.
        self.head_body = b""
        self.part_by_name: dict[str, configuration_parts.Part] = {}
        self.earlier_by_revision: collections.OrderedDict[int, catalogue.Catalogue] = (
            collections.OrderedDict()
        )
        self.rejected_by_nonce: dict[str, _RejectedHead] = {}
        self.adopt_lock = gevent.lock.RLock()

    def apply(
        self, changed: catalogue.Catalogue, expected: int, who: str, why: str
    ) -> result.Result[int, ApplyError]:
        """Store a catalogue as the next revision.

        :param changed: the checked catalogue.
        :param expected: the revision that the operator's change is based on.
        :param who: the operator.
        :param why: the operator's reason.
        :returns: the new revision. After an error nothing has changed, except
            possibly after :class:`Uncertain`.
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
        match self.writer.replace_head(head, stored.version):
            case result.Ok(_):
                self._install(head, configuration_head.write(head), parts)
                return result.Ok(head.revision)
            case result.Err(objects.Conflict()):
                return self._stale(expected)
            case result.Err(objects.Unknown(reason)):
                return result.Err(Uncertain(head.revision, reason))
            case error:
                return error

    def refresh(self) -> result.Result[int, AdoptError]:
        """Read the stored head and adopt it if it is newer.

        :returns: the revision in force afterwards.
        """
        match self.api.get(configuration_head.KEY):
            case result.Ok(stored):
                adopted = self.adopt(stored.body)
            case result.Err(objects.Missing()):
                adopted = result.Ok(self.revision)
            case error:
                return error
        if adopted.is_ok():
            self.loaded.set()
        return adopted

    def adopt(
        self, body: bytes, sources: tuple[PartSource, ...] = ()
    ) -> result.Result[int, AdoptError]:
        """Adopt a head if it is newer than the one in force.

        :param body: the head's stored bytes.
        :param sources: sources of parts that are tried first.
        :returns: the revision in force afterwards.
        """
        match configuration_head.read(body):
            case result.Ok(head):
                pass
            case result.Err(problems):
                return self._reject(body.decode("latin-1"), 0, problems)
        # A slow read may finish after a newer revision was adopted. Adopting
        # the older one then would revert an accepted change on this VM.
        with self.adopt_lock:
            if head.revision <= self.revision:
                return result.Ok(self.revision)
            rejected = self.rejected_by_nonce.get(head.nonce)
            if rejected is not None and time.monotonic() < rejected.retry_at:
                return result.Err(rejected.error)
            match self._fetch_parts(head, (*sources, *self.part_sources)):
                case result.Ok(parts):
                    pass
                case error:
                    return error
            declared = configuration_parts.join(parts)
            match catalogue_checks.check(declared, configuration_head.KEY):
                case result.Err(problems):
                    return self._reject(head.nonce, head.revision, problems)
        self._install(head, body, parts)
        self.loaded.set()
        return result.Ok(self.revision)

    def part(self, name: str) -> bytes | None:
        """Return a part of the revision in force, compressed, for a peer.

        :param name: the part's name.
        """
        cached = self.part_by_name.get(name)
        return cached.packed if cached else None

    def _install(
        self,
        head: configuration_head.Head,
        body: bytes,
        parts: list[configuration_parts.Part],
    ) -> None:
        with self.adopt_lock:
            if head.revision <= self.revision:
                return
            self.earlier_by_revision[self.revision] = self.index.catalogue
            while len(self.earlier_by_revision) > MAX_EARLIER_REVISIONS:
                self.earlier_by_revision.popitem(last=False)
            self.revision = head.revision
            self.index = catalogue.Index(configuration_parts.join(parts))
            self.part_by_name = {part.name: part for part in parts}
            self.head_body = body
            self.rejected_by_nonce.clear()
        log.info("revision {} by {} is in force", head.revision, head.who)
        for callback in self.change_callbacks:
            callback()

    def _reject(
        self, nonce: str, revision: int, problems: documents.DocumentError
    ) -> result.Result[int, AdoptError]:
        """Reject an unreadable revision; the one in force stays."""
        error = Unreadable(revision, problems)
        self.rejected_by_nonce[nonce] = _RejectedHead(
            time.monotonic() + UNREADABLE_RETRY_S, error
        )
        log.error("revision {} is rejected: {}", revision, problems)
        return result.Err(error)

    def _stale(self, expected: int) -> result.Result[int, ApplyError]:
        # The difference is computed to the catalogue in force, so this VM reads
        # it first. If that fails, its own newest catalogue is used.
        self.refresh()
        base = self.earlier_by_revision.get(expected)
        in_force = self.index.catalogue
        return result.Err(Stale(self.revision, base, in_force))

    def _fetch_parts(
        self, head: configuration_head.Head, sources: tuple[PartSource, ...]
    ) -> result.Result[list[configuration_parts.Part], AdoptError]:
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
    ) -> result.Result[configuration_parts.Part, AdoptError]:
        cached = self.part_by_name.get(name)
        if cached is not None:
            return result.Ok(cached)
        for source in sources:
            packed = source(name)
            if packed is None:
                continue
            read = configuration_parts.read(name, packed)
            if read.is_ok():
                return read
            log.warning("a peer sent an invalid part: {}", read.err())
        match self.api.get(configuration_parts.KEY_PREFIX + name):
            case result.Ok(stored):
                packed = configuration_parts.pack(stored.body)
            case result.Err(problem):
                return result.Err(objects.Unavailable(f"part {name}: {problem}"))
        match configuration_parts.read(name, packed):
            case result.Err(problems):
                return self._reject(head.nonce, head.revision, problems)
            case read:
                return read
