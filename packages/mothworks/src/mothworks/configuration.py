"""The configuration in force: the newest catalogue this VM knows.

A revision is stored as immutable parts, named by the hash of their content,
and one head object that names them and is flipped by a conditional update.
A VM never takes a lower revision than it has.
"""

import datetime
import itertools
import uuid

import attrs
import gevent
import gevent.event
import logbook
import orjson
import result
import xxhash

from mothworks import audit, catalogue, documents, kernel, objects, plugins

log = logbook.Logger("configuration")

HEAD_KEY = "configuration/head"
PART_PREFIX = "configuration/parts/"
#: Items in one part, so that a part of long items stays under 1 MB.
ITEMS_A_PART = 1000
#: One long poll of the head, seconds.
WATCH_S = 20.0
#: Pause after a failed call, seconds.
RETRY_S = 0.5


@attrs.frozen
class Head:
    """The object that names a revision's parts.

    :param revision: grows by one with every accepted change.
    :param parts_by_section: hashes of parts, by section of the catalogue.
    :param who: the operator.
    :param when: ISO time of acceptance.
    :param why: the operator's reason.
    :param nonce: recognises a write whose reply was lost.
    """

    revision: int
    parts_by_section: dict[str, tuple[str, ...]]
    who: str
    when: str
    why: str
    nonce: str


@attrs.frozen
class Stale:
    """A change was made against another revision than the one in force.

    :param revision: the revision in force.
    """

    revision: int


ApplyError = Stale | objects.Unavailable


@plugins.register(plugins.PART, "configuration")
class Configuration(kernel.Part):
    """Follows the head and applies changes.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.audit = node_kernel.get(audit.Audit)
        self.revision = 0
        self.index = catalogue.Index(catalogue.Catalogue())
        self.loaded = gevent.event.Event()
        self.on_change: list = []

    def start(self) -> None:
        """Start to follow the head."""
        self.tasks.spawn(self._follow)

    def apply(
        self, changed: catalogue.Catalogue, expected: int, who: str, why: str
    ) -> result.Result[int, ApplyError]:
        """Store a catalogue as the next revision.

        :param changed: the checked catalogue.
        :param expected: the revision that the operator's change is based on.
        :param who: the operator.
        :param why: the operator's reason.
        :returns: the new revision; an error has changed nothing.
        """
        match self._read_head():
            case result.Ok(None):
                version, revision = None, 0
            case result.Ok((version, head)):
                revision = head.revision
            case result.Err(problem):
                return result.Err(problem)
        if revision != expected:
            return result.Err(Stale(revision))
        stored = self._store_parts(changed)
        if stored.is_err():
            return stored
        now = datetime.datetime.now(datetime.UTC).isoformat()
        head = Head(revision + 1, stored.ok(), who, now, why, uuid.uuid4().hex)
        return self._flip(head, version).map(lambda _: self._accept(head, changed))

    def refresh(self) -> result.Result[int, objects.Unavailable]:
        """Read the head and take it if it is newer.

        :returns: the revision in force afterwards.
        """
        match self._read_head():
            case result.Ok(None):
                return result.Ok(self.revision)
            case result.Ok((_, head)) if head.revision <= self.revision:
                return result.Ok(self.revision)
            case result.Ok((_, head)):
                return self._read_parts(head).map(
                    lambda declared: self._take(head, declared)
                )
            case result.Err(problem):
                return result.Err(problem)

    def _accept(self, head: Head, changed: catalogue.Catalogue) -> int:
        self.audit.record(
            audit.Kind.CONFIGURATION,
            "catalogue",
            "changed the catalogue",
            head.why,
            who=head.who,
            before=head.revision - 1,
            after=head.revision,
        )
        return self._take(head, changed)

    def _follow(self) -> None:
        cursor = ""
        while True:
            # The cursor is taken before the read, so that a change between
            # the two is seen by the next poll.
            seen = self.api.watch(HEAD_KEY, cursor, WATCH_S if cursor else 0.0)
            done = seen.and_then(lambda _: self.refresh())
            if done.is_err():
                log.warning("object api: {}", done.err())
                gevent.sleep(RETRY_S)
                continue
            cursor = seen.ok().cursor
            self.loaded.set()

    def _take(self, head: Head, declared: catalogue.Catalogue) -> int:
        # A slow read may finish after a newer revision was taken: taking it
        # then would revert an accepted change on this VM.
        if head.revision > self.revision:
            self.revision = head.revision
            self.index = catalogue.Index(declared)
            log.info("revision {} by {}", head.revision, head.who)
            for notify in self.on_change:
                notify()
        return self.revision

    def _read_head(self):
        match self.api.get(HEAD_KEY):
            case result.Ok(stored):
                value = orjson.loads(stored.body)
                head = documents.structure(value, Head, HEAD_KEY).unwrap()
                return result.Ok((stored.version, head))
            case result.Err(objects.Missing()):
                return result.Ok(None)
            case error:
                return error

    def _store_parts(self, changed: catalogue.Catalogue):
        parts_by_section = {}
        for section, items in documents.plain(changed).items():
            hashes = []
            for chunk in _chunks(items):
                body = orjson.dumps(chunk, option=orjson.OPT_SORT_KEYS)
                name = xxhash.xxh3_128_hexdigest(body)
                match self.api.put(PART_PREFIX + name, body, None):
                    # A part that exists has the same content.
                    case result.Ok(_) | result.Err(objects.Conflict()):
                        hashes.append(name)
                    case result.Err(problem):
                        return result.Err(objects.Unavailable(problem.reason))
            parts_by_section[section] = tuple(hashes)
        return result.Ok(parts_by_section)

    def _flip(self, head: Head, version: str | None):
        body = orjson.dumps(documents.plain(head))
        nonce = head.nonce.encode()
        match objects.put_known(self.api, HEAD_KEY, body, version, nonce):
            case result.Ok(_):
                return result.Ok(None)
            case result.Err(objects.Conflict()):
                return self._recognise(head)
            case result.Err(objects.Unknown()):
                return self._recognise(head)
            case result.Err(problem):
                return result.Err(problem)

    def _recognise(self, head: Head):
        """Tell a lost reply from a lost race by the head's nonce."""
        match self._read_head():
            case result.Ok((_, found)) if found.nonce == head.nonce:
                return result.Ok(None)
            case result.Ok((_, found)):
                return result.Err(Stale(found.revision))
            case result.Ok(None):
                return result.Err(objects.Unavailable("the head was not written"))
            case error:
                return error

    def _read_parts(self, head: Head):
        value = {}
        for section, hashes in head.parts_by_section.items():
            chunks = []
            for name in hashes:
                match self.api.get(PART_PREFIX + name):
                    case result.Ok(stored):
                        chunks.append(orjson.loads(stored.body))
                    case result.Err(problem):
                        return result.Err(objects.Unavailable(str(problem)))
            value[section] = _join(chunks)
        return result.Ok(
            documents.structure(value, catalogue.Catalogue, HEAD_KEY).unwrap()
        )


def _chunks(items: list | dict) -> list:
    if isinstance(items, dict):
        return [items]
    starts = range(0, len(items), ITEMS_A_PART)
    return [items[start : start + ITEMS_A_PART] for start in starts]


def _join(chunks: list) -> list | dict:
    if chunks and isinstance(chunks[0], dict):
        return chunks[0]
    return list(itertools.chain.from_iterable(chunks))
