"""Relayed objects: access to the platform's store through a peer that reaches it.

A VM may be cut off from the platform's store while its peers reach it. If it holds the
lease and loses it for that reason, no endpoint gets orders until another VM may take
over, after six seconds or more. A conditional write has the same effect whichever VM
sends it: it is applied at most once, and only to the version that it names. So a call
that the store does not answer in time is repeated through peers.
"""

import enum
import random
import typing

import attrs
import gevent
import logbook
import result

from mothworks import kernel, logs, membership, messages, objects, peers, plugins

log = logbook.Logger("relay")

#: Timeout of this VM's own call before peers are called, seconds: the slowest usual
#: answers of the store take 0.3 s, and there must be time to call two peers before a
#: lease of 3 s that is renewed every 1.2 s expires.
STORE_TIMEOUT_S = 0.45
#: Timeout of a call to a peer, seconds.
PEER_TIMEOUT_S = 0.5
#: Most peers that are called for one operation.
MAX_PEERS = 2


class StoreOutcome(enum.Enum):
    """Outcome of a peer's call to the store."""

    DONE = "done"
    MISSING = "missing"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@messages.message(120)
@attrs.frozen
class RelayedRead:
    """Requests a peer to read an object.

    :param key: the object's key.
    """

    key: str


@messages.message(121)
@attrs.frozen
class RelayedWrite:
    """Requests a peer to write an object.

    :param key: the object's key.
    :param body: the content to write.
    :param version: the version that must be stored; empty where none may be.
    """

    key: str
    body: bytes
    version: str


@messages.message(122)
@attrs.frozen
class RelayedReply:
    """A peer's reply with the outcome of its call to the store.

    :param outcome: value of a :class:`StoreOutcome`.
    :param version: the object's version after the call, where it exists.
    :param body: its content, where it was read.
    """

    outcome: str
    version: str = ""
    body: bytes = b""


class RelayedObjects(kernel.Part):
    """Reads and writes objects, through peers where the store does not answer.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        settings = node_kernel.settings
        plugin = plugins.find(plugins.OBJECT_API, settings.adapter)(settings)
        self.store = objects.Client(plugin, node_kernel.metrics)
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        #: Whether the store answered this VM's last call.
        self.is_reachable = True
        #: Functions to call when the store answers this VM again after an outage.
        self.on_recovered: list = []
        self.peers.handle(RelayedRead, self._serve_read)
        self.peers.handle(RelayedWrite, self._serve_write)

    def get(self, key: str) -> result.Result[objects.Stored, objects.ReadError]:
        """Read one object; see :meth:`objects.Api.get`.

        :param key: its key.
        """
        outcome = self._call_store(self.store.get, key)
        if outcome is not None and not _is_unanswered(outcome):
            return outcome
        for reply in self._call_peers(RelayedRead(key)):
            match StoreOutcome(reply.outcome):
                case StoreOutcome.DONE:
                    return result.Ok(objects.Stored(key, reply.version, reply.body))
                case StoreOutcome.MISSING:
                    return result.Err(objects.Missing(key))
        return result.Err(objects.Unavailable("neither the store nor peers answer"))

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        """Write one object; see :meth:`objects.Api.put`.

        :param key: its key.
        :param body: the content to write.
        :param version: the version that must be stored; None where none may be.
        """
        outcome = self._call_store(self.store.put, key, body, version)
        if outcome is not None and not _is_unanswered(outcome):
            return outcome
        may_have_applied = outcome is None or isinstance(outcome.err(), objects.Unknown)
        for reply in self._call_peers(RelayedWrite(key, body, version or "")):
            match StoreOutcome(reply.outcome):
                case StoreOutcome.DONE:
                    return result.Ok(reply.version)
                case StoreOutcome.CONFLICT if not may_have_applied:
                    return result.Err(objects.Conflict(key))
                case StoreOutcome.CONFLICT:
                    # The conflict may be with this VM's own write, or with a peer's.
                    break
                case StoreOutcome.UNKNOWN:
                    may_have_applied = True
        if may_have_applied:
            return result.Err(objects.Unknown("no answer from the store or peers"))
        return result.Err(objects.Unavailable("neither the store nor peers answer"))

    def _call_store(self, call: typing.Callable, *args) -> result.Result | None:
        """Call the store directly; return None where it does not answer in time.

        The abandoned call ends by its own timeout.
        """
        task = gevent.spawn(call, *args)
        task.join(STORE_TIMEOUT_S)
        if task.exception is not None:
            raise task.exception
        self._record_reachability(
            task.value is not None and not _is_unanswered(task.value)
        )
        return task.value

    def _record_reachability(self, is_reachable: bool) -> None:
        is_recovered = is_reachable and not self.is_reachable
        self.is_reachable = is_reachable
        if is_recovered:
            for notify in self.on_recovered:
                notify()

    def _call_peers(
        self, message: RelayedRead | RelayedWrite
    ) -> typing.Iterator[RelayedReply]:
        """Call a few connected peers in turn, and yield their replies."""
        near = [item.name for item in self.membership.region_peers()]
        connected = [name for name in near if self.peers.is_connected(name)]
        for name in random.sample(connected, min(MAX_PEERS, len(connected))):
            match self.peers.call(name, message, PEER_TIMEOUT_S):
                case result.Ok(RelayedReply() as reply):
                    logs.event(log, "relayed", peer=name, outcome=reply.outcome)
                    yield reply
                case result.Err(failure) if failure.may_have_arrived:
                    yield RelayedReply(StoreOutcome.UNKNOWN.value)

    def _serve_read(self, _: str, request: RelayedRead, answer: peers.Reply) -> None:
        self.tasks.spawn(lambda: answer(_reply_of(self.store.get(request.key))))

    def _serve_write(self, _: str, request: RelayedWrite, answer: peers.Reply) -> None:
        def write():
            version = request.version or None
            answer(_reply_of(self.store.put(request.key, request.body, version)))

        self.tasks.spawn(write)


def _is_unanswered(outcome: result.Result) -> bool:
    return isinstance(outcome.err(), objects.Unavailable | objects.Unknown)


def _reply_of(outcome: result.Result) -> RelayedReply:
    """Return the reply to a peer for the outcome of a call to the store."""
    match outcome:
        case result.Ok(objects.Stored() as stored):
            return RelayedReply(StoreOutcome.DONE.value, stored.version, stored.body)
        case result.Ok(version):
            return RelayedReply(StoreOutcome.DONE.value, version)
        case result.Err(objects.Missing()):
            return RelayedReply(StoreOutcome.MISSING.value)
        case result.Err(objects.Unavailable()):
            return RelayedReply(StoreOutcome.UNAVAILABLE.value)
        case result.Err(objects.Unknown()):
            return RelayedReply(StoreOutcome.UNKNOWN.value)
    return RelayedReply(StoreOutcome.CONFLICT.value)
