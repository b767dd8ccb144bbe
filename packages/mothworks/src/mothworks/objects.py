"""The platform's object API, the only durable store.

This module holds the interface and its outcomes; a plug-in speaks the
platform's protocol. A write whose reply was lost has the outcome
:class:`Unknown`: the writer reads back and looks for its own nonce.
"""

import attrs
import result

from mothworks import kernel, plugins


@attrs.frozen
class Stored:
    """An object as the platform holds it.

    :param key: its name.
    :param version: opaque; changes with every write.
    :param body: its content, at most 1 MB.
    """

    key: str
    version: str
    body: bytes


@attrs.frozen
class Missing:
    """No object has the key.

    :param key: the key asked for.
    """

    key: str


@attrs.frozen
class Conflict:
    """A conditional write found another version; nothing changed.

    :param key: the object's key.
    """

    key: str


@attrs.frozen
class Unavailable:
    """The object API did not take the call; nothing changed.

    :param reason: what failed.
    """

    reason: str


@attrs.frozen
class Unknown:
    """A write was sent and its reply was lost; it may have taken effect.

    :param reason: what failed.
    """

    reason: str


@attrs.frozen
class Changes:
    """What a watch saw.

    :param cursor: where the next watch continues.
    :param keys: keys that changed since the last cursor.
    """

    cursor: str
    keys: tuple[str, ...]


ReadError = Missing | Unavailable
WriteError = Conflict | Unavailable | Unknown


class Api:
    """Interface of the plug-ins of kind :data:`plugins.OBJECT_API`."""

    def get(self, key: str) -> result.Result[Stored, ReadError]:
        """Read one object.

        :param key: its name.
        """
        raise NotImplementedError

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, WriteError]:
        """Write one object if it still has a version.

        :param key: its name.
        :param body: the new content.
        :param version: the version it must have; None if it must not exist.
        :returns: the new version.
        """
        raise NotImplementedError

    def delete(self, key: str, version: str) -> result.Result[None, WriteError]:
        """Delete one object if it still has a version.

        :param key: its name.
        :param version: the version it must have.
        """
        raise NotImplementedError

    def list(self, prefix: str) -> result.Result[dict[str, str], Unavailable]:
        """List the versions of objects by key.

        :param prefix: how the keys start.
        """
        raise NotImplementedError

    def watch(
        self, prefix: str, cursor: str, wait_s: float
    ) -> result.Result[Changes, Unavailable]:
        """Wait for a change, by one long poll.

        :param prefix: how the keys start.
        :param cursor: the last cursor; empty for the present.
        :param wait_s: longest wait, seconds.
        """
        raise NotImplementedError


class Objects(kernel.Part):
    """The part that holds the object API's client.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        chosen = node_kernel.settings.object_api
        self.api: Api = plugins.find(plugins.OBJECT_API, chosen.kind)(chosen)
