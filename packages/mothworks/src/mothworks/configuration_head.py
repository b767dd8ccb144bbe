"""The head: the one object that lists the parts of the revision in force."""

import attrs
import orjson
import result

from mothworks import documents

KEY = "configuration/head"
#: Maximum number of earlier heads whose nonces a head lists.
MAX_EARLIER_NONCES = 8


@attrs.frozen
class Head:
    """One revision of the configuration.

    :param revision: incremented with every accepted change.
    :param parts_by_section: names (hashes) of parts by section of the catalogue.
    :param who: the operator.
    :param when: ISO time of acceptance.
    :param why: the operator's reason.
    :param nonce: random ID by which a writer whose reply was lost recognises
        its own head.
    :param earlier_nonces: nonces of the preceding heads, newest first, by which
        a writer recognises that its change was accepted before later ones.
    """

    revision: int
    parts_by_section: dict[str, tuple[str, ...]]
    who: str
    when: str
    why: str
    nonce: str
    earlier_nonces: tuple[str, ...] = ()

    def includes(self, nonce: str) -> bool:
        """Return whether this head or a recent predecessor has this nonce.

        :param nonce: the nonce of a writer's head.
        """
        return nonce == self.nonce or nonce in self.earlier_nonces

    def part_names(self) -> set[str]:
        """Return the names of all parts."""
        return {name for names in self.parts_by_section.values() for name in names}


def read(body: bytes) -> result.Result[Head, documents.DocumentError]:
    """Parse and check a head.

    :param body: the object's content.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return result.Err(documents.DocumentError(KEY, (f"not valid JSON: {error}",)))
    return documents.structure(value, Head, KEY)


def write(head: Head) -> bytes:
    """Serialise a head as the content of its object.

    :param head: the head.
    """
    return orjson.dumps(documents.to_plain(head))
