"""Writing the configuration: parts first, then the head that names them."""

import datetime
import random
import uuid

import attrs
import gevent
import result

from mothworks import configuration_head, configuration_parts, objects

#: Attempts to store a part, or to read a head that is not stale.
MAX_ATTEMPTS = 4
#: Maximum of the random pause between attempts, seconds.
MAX_PAUSE_S = 0.1
#: Time limit for finding out whether a new head was accepted, seconds.
CONFIRM_TIMEOUT_S = 3.0


@attrs.frozen
class StoredHead:
    """The stored head and its version; both None before the first."""

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

    def read_newest(
        self, min_revision: int
    ) -> result.Result[StoredHead, objects.Unavailable]:
        """Read the head, and read again while reads are stale.

        :param min_revision: a revision that is known to be stored; an older one read
            is stale.
        """
        for _ in range(MAX_ATTEMPTS):
            match self.api.get(configuration_head.KEY):
                case result.Ok(stored):
                    head = configuration_head.read(stored.body)
                    stored_head = StoredHead(stored.version, head.unwrap_or(None))
                case result.Err(objects.Missing()):
                    stored_head = StoredHead()
                case error:
                    return error
            if stored_head.version and not stored_head.head:
                reason = "a newer program version wrote the stored head"
                return result.Err(objects.Unavailable(reason))
            if stored_head.revision >= min_revision:
                return result.Ok(stored_head)
            gevent.sleep(random.uniform(0, MAX_PAUSE_S))
        return result.Err(objects.Unavailable("its reads are stale"))

    def replace_head(
        self, head: configuration_head.Head, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        """Replace the head conditionally on the version that was read.

        :param head: the new head.
        :param version: the version that was read; None before the first head.
        :returns: see :func:`objects.put_and_confirm`; ``Unknown`` if the head may
            have been accepted.
        """
        body = configuration_head.write(head)
        nonce = head.nonce.encode()
        key = configuration_head.KEY
        match objects.put_and_confirm(
            self.api, key, body, version, nonce, CONFIRM_TIMEOUT_S
        ):
            case result.Err(objects.Unknown(reason)):
                return self._find_outcome(head, reason)
            case outcome:
                return outcome

    def _find_outcome(self, head: configuration_head.Head, reason: str):
        """Look for the nonce of an unconfirmed head in the stored head."""
        max_later = configuration_head.MAX_EARLIER_NONCES
        match self.read_newest(0):
            case result.Ok(stored_head) if (
                stored_head.head and stored_head.head.includes(head.nonce)
            ):
                return result.Ok(stored_head.version)
            case result.Ok(stored_head) if (
                0 <= stored_head.revision - head.revision < max_later
            ):
                # A head this recent would list our nonce, so the revision that
                # ours would have is another writer's.
                return result.Err(objects.Conflict(configuration_head.KEY))
            case _:
                return result.Err(objects.Unknown(reason))

    def store_parts(
        self,
        parts: list[configuration_parts.Part],
        current: configuration_head.Head | None,
    ) -> objects.Unavailable | objects.TooLarge | None:
        """Store the parts that the head in force does not reference.

        :param parts: all parts of the new revision.
        :param current: the head in force.
        :returns: the error that prevented a part from being stored, or None.
        """
        already_stored = current.part_names() if current else set()
        for part in parts:
            if part.name in already_stored:
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
        for _ in range(MAX_ATTEMPTS):
            match self.api.put(key, body, version):
                case result.Ok(_):
                    return None
                case result.Err(objects.TooLarge() as problem):
                    return problem
                case result.Err(objects.Conflict() as problem):
                    # A part with this content exists already. It is written
                    # again, because garbage collection may be about to delete
                    # it: the delete is conditional on the old version and
                    # fails.
                    existing = self.api.get(key)
                    version = existing.map(lambda stored: stored.version).ok()
                case result.Err(problem):
                    gevent.sleep(random.uniform(0, MAX_PAUSE_S))
        return objects.Unavailable(f"a part was not stored: {problem}")


def next_head(
    current: configuration_head.Head | None,
    parts: list[configuration_parts.Part],
    who: str,
    why: str,
) -> configuration_head.Head:
    """Return the successor of a head.

    :param current: the head in force; None before the first.
    :param parts: all parts of the new revision, in order.
    :param who: the operator.
    :param why: the operator's reason.
    """
    earlier = (current.nonce, *current.earlier_nonces) if current else ()
    return configuration_head.Head(
        revision=current.revision + 1 if current else 1,
        parts_by_section=configuration_parts.names_by_section(parts),
        who=who,
        when=datetime.datetime.now(datetime.UTC).isoformat(),
        why=why,
        nonce=uuid.uuid4().hex,
        earlier_nonces=earlier[: configuration_head.MAX_EARLIER_NONCES],
    )
