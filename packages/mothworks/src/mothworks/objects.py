"""The platform's object API, the only durable store.

This module holds the interface and its outcomes; a plug-in speaks the
platform's protocol. A write whose reply was lost has the outcome
:class:`Unknown`: the writer reads back and looks for its own nonce.
"""

import random
import time

import attrs
import gevent
import result

from mothworks import guard, kernel, metrics, plugins

#: Longest value that the platform takes, bytes.
MOST_BYTES = 1_000_000
#: Time for which :func:`put_known` tries to learn a write's outcome, seconds.
PATIENCE_S = 3.0
#: First longest pause between its attempts, seconds; it doubles each time.
PAUSE_S = 0.05
#: The longest such pause, seconds.
MOST_PAUSE_S = 0.5


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


@attrs.frozen
class TooLarge:
    """A value is longer than the platform takes; nothing changed.

    :param key: the object's key.
    :param bytes: the value's length.
    """

    key: str
    bytes: int


ReadError = Missing | Unavailable
WriteError = Conflict | Unavailable | Unknown | TooLarge


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


class Client(Api):
    """Guards a plug-in: retries reads, sends writes once, heeds outages.

    :param plugin: speaks the platform's protocol.
    :param node_metrics: counts the calls.
    """

    def __init__(self, plugin: Api, node_metrics: metrics.Metrics):
        self.plugin = plugin
        down = Unavailable("the object API is down")
        self.guard = guard.Guard(_unanswered, down, "object_api", node_metrics)

    def get(self, key: str) -> result.Result[Stored, ReadError]:
        """Read one object; see :meth:`Api.get`."""
        return self.guard.retried("get", self.plugin.get, key)

    def list(self, prefix: str) -> result.Result[dict[str, str], Unavailable]:
        """List versions by key; see :meth:`Api.list`."""
        return self.guard.retried("list", self.plugin.list, prefix)

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, WriteError]:
        """Write one object, once; see :meth:`Api.put`."""
        if len(body) > MOST_BYTES:
            return result.Err(TooLarge(key, len(body)))
        return self.guard.once("put", self.plugin.put, key, body, version)

    def delete(self, key: str, version: str) -> result.Result[None, WriteError]:
        """Delete one object, once; see :meth:`Api.delete`."""
        return self.guard.once("delete", self.plugin.delete, key, version)

    def watch(
        self, prefix: str, cursor: str, wait_s: float
    ) -> result.Result[Changes, Unavailable]:
        """Wait for a change; see :meth:`Api.watch`.

        A long poll is no probe of an open circuit: it would hide the
        recovery for as long as it waits.
        """
        if wait_s and self.guard.circuit.open:
            return result.Err(self.guard.closed)
        return self.guard.once("watch", self.plugin.watch, prefix, cursor, wait_s)


class Objects(kernel.Part):
    """The part that holds the object API's client.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        chosen = node_kernel.settings.object_api
        plugin = plugins.find(plugins.OBJECT_API, chosen.kind)(chosen)
        self.api: Api = Client(plugin, node_kernel.metrics)


def put_known(
    api: Api,
    key: str,
    body: bytes,
    version: str | None,
    nonce: bytes,
    patience_s: float = PATIENCE_S,
) -> result.Result[str, WriteError]:
    """Write one object and learn the outcome, also where replies are lost.

    A reply lost after the write took effect would otherwise look like a
    failure, and a second attempt like a conflict with somebody else. The
    write is repeated unchanged, which its condition makes harmless, until an
    answer comes; after a conflict the nonce tells the writer's own value.

    :param api: the object API.
    :param key: the object's name.
    :param body: the new content, which contains the nonce.
    :param version: the version it must have; None if it must not exist.
    :param nonce: bytes that no other write contains.
    :param patience_s: longest time to learn the outcome, seconds.
    :returns: the new version. ``Conflict`` and ``Unavailable`` say that
        nothing changed. ``Unknown`` says that the value may have been
        written, and perhaps overwritten since: the writer has to look for
        its own trace in what is stored.
    """
    deadline = time.monotonic() + patience_s
    pause_s = PAUSE_S
    maybe_written = False
    while True:
        match api.put(key, body, version):
            case result.Err(Conflict()) if maybe_written:
                return _recognise(api, key, version, nonce, deadline)
            case result.Err(Unknown() as problem):
                maybe_written = True
            case result.Err(Unavailable() as problem):
                pass
            case outcome:
                return outcome
        if time.monotonic() + pause_s > deadline:
            break
        gevent.sleep(random.uniform(0, pause_s))
        pause_s = min(2 * pause_s, MOST_PAUSE_S)
    if maybe_written:
        return result.Err(Unknown(problem.reason))
    return result.Err(problem)


def _unanswered(error: ReadError | WriteError) -> bool:
    return isinstance(error, Unavailable | Unknown)


def _recognise(
    api: Api, key: str, version: str | None, nonce: bytes, deadline: float
) -> result.Result[str, WriteError]:
    """Tell whether the value that is stored now is the writer's own."""
    while True:
        found = api.get(key)
        match found:
            case result.Ok(stored) if nonce in stored.body:
                return result.Ok(stored.version)
            case result.Ok(stored) if stored.version != version:
                return result.Err(Unknown("another write followed"))
        # The read failed, or is older than the conflict that was answered.
        if time.monotonic() > deadline:
            return result.Err(Unknown("the value could not be read back"))
        gevent.sleep(random.uniform(0, PAUSE_S))
