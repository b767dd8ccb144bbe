"""The head: the one object that names the parts of the revision in force."""

import attrs
import orjson
import result

from mothworks import documents

KEY = "configuration/head"
#: Earlier heads whose nonces a head repeats.
EARLIER_NONCES = 8


@attrs.frozen
class Head:
    """One revision of the configuration.

    :param revision: grows by one with every accepted change.
    :param parts_by_section: hashes of parts, by section of the catalogue.
    :param who: the operator.
    :param when: ISO time of acceptance.
    :param why: the operator's reason.
    :param nonce: recognises a write whose reply was lost.
    :param earlier_nonces: nonces of the heads before it, newest first, by
        which a writer finds its own accepted change under later ones.
    """

    revision: int
    parts_by_section: dict[str, tuple[str, ...]]
    who: str
    when: str
    why: str
    nonce: str
    earlier_nonces: tuple[str, ...] = ()

    def follows(self, nonce: str) -> bool:
        """Return whether this head or one before it has a nonce.

        :param nonce: a writer's nonce.
        """
        return nonce == self.nonce or nonce in self.earlier_nonces

    def names(self) -> set[str]:
        """Return the hashes of all parts."""
        return {name for names in self.parts_by_section.values() for name in names}


def read(body: bytes) -> result.Result[Head, documents.DocumentError]:
    """Read a head.

    :param body: the object's content.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return result.Err(documents.DocumentError(KEY, (f"not valid JSON: {error}",)))
    return documents.structure(value, Head, KEY)


def write(head: Head) -> bytes:
    """Return a head as the content of its object.

    :param head: the head.
    """
    return orjson.dumps(documents.plain(head))
