"""Writing the configuration: parts first, then the head that names them."""

import datetime
import random
import uuid

import attrs
import gevent
import result

from mothworks import configuration_head, configuration_parts, objects

#: Attempts to store a part, or to read a head that is not older than ours.
ATTEMPTS = 4
#: Longest pause between them, seconds.
PAUSE_S = 0.1
#: Longest time to learn whether a change was accepted, seconds.
FLIP_S = 3.0


@attrs.frozen
class StoredHead:
    """The head as the object API holds it; both None before the first."""

    version: str | None = None
    head: configuration_head.Head | None = None

    @property
    def revision(self) -> int:
        """Return the head's revision, 0 before the first."""
        return self.head.revision if self.head else 0


class Writer:
    """Writes revisions to the object API.

    :param api: the object API.
    """

    def __init__(self, api: objects.Api):
        self.api = api

    def read_newest(self, least: int) -> result.Result[StoredHead, objects.Unavailable]:
        """Read the head, unless reads are older than what is known.

        :param least: a revision that was stored for certain.
        """
        for _ in range(ATTEMPTS):
            match self.api.get(configuration_head.KEY):
                case result.Ok(stored):
                    head = configuration_head.read(stored.body)
                    found = StoredHead(stored.version, head.unwrap_or(None))
                case result.Err(objects.Missing()):
                    found = StoredHead()
                case error:
                    return error
            if found.version and not found.head:
                reason = "the stored head is of a newer version of the program"
                return result.Err(objects.Unavailable(reason))
            if found.revision >= least:
                return result.Ok(found)
            gevent.sleep(random.uniform(0, PAUSE_S))
        return result.Err(objects.Unavailable("it answers with old reads"))

    def flip(
        self, head: configuration_head.Head, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        """Put a head in place of the one that was read.

        :param head: the new head.
        :param version: version of the one that was read; None before the first.
        :returns: see :func:`objects.put_known`; ``Unknown`` where the head may
            have been accepted.
        """
        body = configuration_head.write(head)
        nonce = head.nonce.encode()
        key = configuration_head.KEY
        match objects.put_known(self.api, key, body, version, nonce, FLIP_S):
            case result.Err(objects.Unknown(reason)):
                return self._find_trace(head, reason)
            case outcome:
                return outcome

    def _find_trace(self, head: configuration_head.Head, reason: str):
        """Look for a head of unknown outcome below the one stored now."""
        most = configuration_head.EARLIER_NONCES
        match self.read_newest(0):
            case result.Ok(found) if found.head and found.head.follows(head.nonce):
                return result.Ok(found.version)
            case result.Ok(found) if 0 <= found.revision - head.revision < most:
                # Another writer has taken the revision that ours would have.
                return result.Err(objects.Conflict(configuration_head.KEY))
            case _:
                return result.Err(objects.Unknown(reason))

    def store_parts(
        self,
        parts: list[configuration_parts.Part],
        current: configuration_head.Head | None,
    ) -> objects.Unavailable | objects.TooLarge | None:
        """Store the parts that the head in force does not name.

        :param parts: all parts of the new revision.
        :param current: the head in force.
        :returns: what kept a part from being stored.
        """
        kept = current.names() if current else set()
        for part in parts:
            if part.name in kept:
                continue
            problem = self._store_part(part)
            if problem is not None:
                return problem
        return None

    def _store_part(
        self, part: configuration_parts.Part
    ) -> objects.Unavailable | objects.TooLarge | None:
        key = configuration_parts.KEY_PREFIX + part.name
        body = configuration_parts.body(part)
        version = None
        for _ in range(ATTEMPTS):
            match self.api.put(key, body, version):
                case result.Ok(_):
                    return None
                case result.Err(objects.TooLarge() as problem):
                    return problem
                case result.Err(objects.Conflict() as problem):
                    # An old part with this content is written once more: its
                    # new version keeps the garbage collection, which may be
                    # about to delete it, from doing so.
                    found = self.api.get(key)
                    version = found.map(lambda stored: stored.version).ok()
                case result.Err(problem):
                    gevent.sleep(random.uniform(0, PAUSE_S))
        return objects.Unavailable(f"a part was not stored: {problem}")


def next_head(
    current: configuration_head.Head | None,
    parts: list[configuration_parts.Part],
    who: str,
    why: str,
) -> configuration_head.Head:
    """Return the head that follows another.

    :param current: the head in force; None before the first.
    :param parts: all parts of the new revision, in order.
    :param who: the operator.
    :param why: the operator's reason.
    """
    earlier = (current.nonce, *current.earlier_nonces) if current else ()
    return configuration_head.Head(
        revision=current.revision + 1 if current else 1,
        parts_by_section=configuration_parts.by_section(parts),
        who=who,
        when=datetime.datetime.now(datetime.UTC).isoformat(),
        why=why,
        nonce=uuid.uuid4().hex,
        earlier_nonces=earlier[: configuration_head.EARLIER_NONCES],
    )
