"""The platform's object API, the only durable store.

This module defines the interface and its outcomes; a plug-in implements the
platform's protocol. A write whose reply was lost has the outcome
:class:`Unknown`: the writer reads the object back and searches it for the nonce
of its own write.

The names of the error classes are values of a metric's label.
"""

import random
import time

import attrs
import gevent
import result

from mothworks import guard, kernel, metrics, plugins

#: Longest value that the platform accepts, bytes.
MAX_VALUE_BYTES = 1_000_000
#: Time for which :func:`put_and_confirm` tries to find out a write's outcome, seconds.
CONFIRM_TIMEOUT_S = 3.0
#: Upper bound of its first random backoff, seconds; it doubles each time.
FIRST_BACKOFF_S = 0.05
#: Highest upper bound of its backoff, seconds.
MAX_BACKOFF_S = 0.5


@attrs.frozen
class Stored:
    """An object as it is stored by the platform.

    :param key: its name.
    :param version: an opaque version, which changes with every write.
    :param body: its content, at most 1 MB.
    """

    key: str
    version: str
    body: bytes


@attrs.frozen
class Missing:
    """No object has the key.

    :param key: the requested key.
    """

    key: str


@attrs.frozen
class Conflict:
    """A conditional write failed on another version; nothing changed.

    :param key: the object's key.
    """

    key: str


@attrs.frozen
class Unavailable:
    """The object API did not accept the call; nothing changed.

    :param reason: what failed.
    """

    reason: str


@attrs.frozen
class Unknown:
    """A write was sent but its reply was lost; it may have taken effect.

    :param reason: what failed.
    """

    reason: str


@attrs.frozen
class Changes:
    """Changes that a watch returned.

    :param cursor: the position from which the next watch continues.
    :param keys: keys that changed since the previous cursor.
    """

    cursor: str
    keys: tuple[str, ...]


@attrs.frozen
class TooLarge:
    """A value is longer than the platform accepts; nothing changed.

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
        """Write one object on condition of its current version.

        :param key: its name.
        :param body: the new content.
        :param version: the version it must have; None if it must not exist.
        :returns: the new version.
        """
        raise NotImplementedError

    def delete(self, key: str, version: str) -> result.Result[None, WriteError]:
        """Delete one object on condition of its current version.

        :param key: its name.
        :param version: the version it must have.
        """
        raise NotImplementedError

    def list(self, prefix: str) -> result.Result[dict[str, str], Unavailable]:
        """List the versions of objects by key.

        :param prefix: the prefix of the keys.
        """
        raise NotImplementedError

    def watch(
        self, prefix: str, cursor: str, wait_s: float
    ) -> result.Result[Changes, Unavailable]:
        """Wait for a change by one long poll.

        :param prefix: the prefix of the keys.
        :param cursor: the previous cursor; empty to start at the current state.
        :param wait_s: longest wait, seconds.
        """
        raise NotImplementedError


class Client(Api):
    """Calls a plug-in: retries reads, sends writes once, stops calls in outages.

    :param plugin: the plug-in that implements the platform's protocol.
    :param node_metrics: the metrics that count the calls.
    """

    def __init__(self, plugin: Api, node_metrics: metrics.Metrics):
        self.plugin = plugin
        circuit_open_error = Unavailable("the object API is down")
        self.guard = guard.Guard(
            _is_unanswered, circuit_open_error, "object_api", node_metrics
        )

    def get(self, key: str) -> result.Result[Stored, ReadError]:
        """Read one object; see :meth:`Api.get`."""
        return self.guard.call_with_retries("get", self.plugin.get, key)

    def list(self, prefix: str) -> result.Result[dict[str, str], Unavailable]:
        """List versions by key; see :meth:`Api.list`."""
        return self.guard.call_with_retries("list", self.plugin.list, prefix)

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, WriteError]:
        """Write one object without retries; see :meth:`Api.put`."""
        if len(body) > MAX_VALUE_BYTES:
            return result.Err(TooLarge(key, len(body)))
        return self.guard.call_once("put", self.plugin.put, key, body, version)

    def delete(self, key: str, version: str) -> result.Result[None, WriteError]:
        """Delete one object without retries; see :meth:`Api.delete`."""
        return self.guard.call_once("delete", self.plugin.delete, key, version)

    def watch(
        self, prefix: str, cursor: str, wait_s: float
    ) -> result.Result[Changes, Unavailable]:
        """Wait for a change; see :meth:`Api.watch`.

        While the circuit is open, a long poll fails at once. As a probe it would
        delay the detection of the recovery for as long as it waits.
        """
        if wait_s and self.guard.circuit.open:
            return result.Err(self.guard.circuit_open_error)
        return self.guard.call_once("watch", self.plugin.watch, prefix, cursor, wait_s)


class Objects(kernel.Part):
    """The part that creates the object API's client.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        api_settings = node_kernel.settings.object_api
        plugin = plugins.find(plugins.OBJECT_API, api_settings.kind)(api_settings)
        self.api: Api = Client(plugin, node_kernel.metrics)


def put_and_confirm(
    api: Api,
    key: str,
    body: bytes,
    version: str | None,
    nonce: bytes,
    confirm_timeout_s: float = CONFIRM_TIMEOUT_S,
) -> result.Result[str, WriteError]:
    """Write one object and find out the outcome, even if replies are lost.

    Without this, a reply that is lost after the write took effect would look
    like a failure, and a retry like a conflict with another writer. The write
    is repeated unchanged until it is answered, which is safe because it is
    conditional. After a conflict the nonce identifies the writer's own value.

    :param api: the object API.
    :param key: the object's name.
    :param body: the new content, which contains the nonce.
    :param version: the version it must have; None if it must not exist.
    :param nonce: bytes that no other write contains.
    :param confirm_timeout_s: longest time to find out the outcome, seconds.
    :returns: the new version. ``Conflict`` and ``Unavailable`` mean that nothing
        changed. ``Unknown`` means that the value may have been written, and may
        have been overwritten since: the writer has to search the stored data
        for signs of its own write.
    """
    deadline = time.monotonic() + confirm_timeout_s
    backoff_s = FIRST_BACKOFF_S
    maybe_written = False
    while True:
        match api.put(key, body, version):
            case result.Err(Conflict()) if maybe_written:
                return _find_own_write(api, key, version, nonce, deadline)
            case result.Err(Unknown() as error):
                maybe_written = True
            case result.Err(Unavailable() as error):
                pass
            case outcome:
                return outcome
        if time.monotonic() + backoff_s > deadline:
            break
        gevent.sleep(random.uniform(0, backoff_s))
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
    if maybe_written:
        return result.Err(Unknown(error.reason))
    return result.Err(error)


def _is_unanswered(error: ReadError | WriteError) -> bool:
    return isinstance(error, Unavailable | Unknown)


def _find_own_write(
    api: Api, key: str, version: str | None, nonce: bytes, deadline: float
) -> result.Result[str, WriteError]:
    """Read the object back; return its version if it contains the nonce."""
    while True:
        read = api.get(key)
        match read:
            case result.Ok(stored) if nonce in stored.body:
                return result.Ok(stored.version)
            case result.Ok(stored) if stored.version != version:
                return result.Err(Unknown("another write followed"))
        # The read failed, or returned a state from before the conflict.
        if time.monotonic() > deadline:
            return result.Err(Unknown("the value could not be read back"))
        gevent.sleep(random.uniform(0, FIRST_BACKOFF_S))
