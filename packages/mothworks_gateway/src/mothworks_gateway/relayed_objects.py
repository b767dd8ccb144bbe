"""Relayed objects: the platform's store by way of a peer that reaches it.

A VM may be cut off from the platform's store while its peers reach it. Where it
holds the lease, nobody would order endpoints until another VM may take it, six
seconds and more. A conditional write means the same whoever carries it: it takes
effect once and only on the version that it names. So a call that the store does
not answer soon is made through peers.
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

#: Time for the store's own answer before peers are asked, seconds: its slowest
#: usual answers take 0.3 s, and two peers must be asked before a lease of 3 s
#: that is renewed every 1.2 s lapses.
OWN_S = 0.45
#: Time for a peer's answer, seconds.
PEER_S = 0.5
#: Peers that are asked for one call.
MOST_PEERS = 2


class Answer(enum.Enum):
    """What the store answered to a peer."""

    DONE = "done"
    MISSING = "missing"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@messages.message(120)
@attrs.frozen
class RelayedRead:
    """Asks a peer to read an object.

    :param key: the object's key.
    """

    key: str


@messages.message(121)
@attrs.frozen
class RelayedWrite:
    """Asks a peer to write an object.

    :param key: the object's key.
    :param body: what to write.
    :param version: the version that must be there; empty for none.
    """

    key: str
    body: bytes
    version: str


@messages.message(122)
@attrs.frozen
class Relayed:
    """Tells what the store answered.

    :param answer: the value of an :class:`Answer`.
    :param version: the object's version after it, where it is there.
    :param body: its content, where it was read.
    """

    answer: str
    version: str = ""
    body: bytes = b""


class RelayedObjects(kernel.Part):
    """Reads and writes objects, through peers where the store is silent.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        chosen = node_kernel.settings
        plugin = plugins.find(plugins.OBJECT_API, chosen.adapter)(chosen)
        self.own = objects.Client(plugin, node_kernel.metrics)
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        #: Whether the store answered the last call that this VM made.
        self.answered = True
        #: Functions to call when the store answers this VM after it failed to.
        self.on_return: list = []
        self.peers.handle(RelayedRead, self._serve_read)
        self.peers.handle(RelayedWrite, self._serve_write)

    def get(self, key: str) -> result.Result[objects.Stored, objects.ReadError]:
        """Read one object; see :meth:`objects.Api.get`.

        :param key: its key.
        """
        outcome = self._own(self.own.get, key)
        if outcome is not None and not _unanswered(outcome):
            return outcome
        for told in self._ask(RelayedRead(key)):
            match Answer(told.answer):
                case Answer.DONE:
                    return result.Ok(objects.Stored(key, told.version, told.body))
                case Answer.MISSING:
                    return result.Err(objects.Missing(key))
        return result.Err(objects.Unavailable("neither the store nor peers answer"))

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        """Write one object; see :meth:`objects.Api.put`.

        :param key: its key.
        :param body: what to write.
        :param version: the version that must be there; None for none.
        """
        outcome = self._own(self.own.put, key, body, version)
        if outcome is not None and not _unanswered(outcome):
            return outcome
        may_be_done = outcome is None or isinstance(outcome.err(), objects.Unknown)
        for told in self._ask(RelayedWrite(key, body, version or "")):
            match Answer(told.answer):
                case Answer.DONE:
                    return result.Ok(told.version)
                case Answer.CONFLICT if not may_be_done:
                    return result.Err(objects.Conflict(key))
                case Answer.CONFLICT:
                    # This VM's own write, or a peer's, may be what it met.
                    break
                case Answer.UNKNOWN:
                    may_be_done = True
        if may_be_done:
            return result.Err(objects.Unknown("no answer from the store or peers"))
        return result.Err(objects.Unavailable("neither the store nor peers answer"))

    def _own(self, call: typing.Callable, *args) -> result.Result | None:
        """Return the store's own answer; None where it does not come soon.

        A call that is not waited for ends by its own timeout.
        """
        task = gevent.spawn(call, *args)
        task.join(OWN_S)
        if task.exception is not None:
            raise task.exception
        self._note(task.value is not None and not _unanswered(task.value))
        return task.value

    def _note(self, answered: bool) -> None:
        returned = answered and not self.answered
        self.answered = answered
        if returned:
            for notify in self.on_return:
                notify()

    def _ask(self, message: RelayedRead | RelayedWrite) -> typing.Iterator[Relayed]:
        """Yield the answers of some peers, in turn."""
        near = [item.name for item in self.membership.near()]
        linked = [name for name in near if self.peers.linked(name)]
        for name in random.sample(linked, min(MOST_PEERS, len(linked))):
            match self.peers.call(name, message, PEER_S):
                case result.Ok(Relayed() as told):
                    logs.event(log, "relayed", peer=name, outcome=told.answer)
                    yield told
                case result.Err(failure) if failure.sent:
                    yield Relayed(Answer.UNKNOWN.value)

    def _serve_read(self, _: str, asked: RelayedRead, answer: peers.Answer) -> None:
        self.tasks.spawn(lambda: answer(_told(self.own.get(asked.key))))

    def _serve_write(self, _: str, asked: RelayedWrite, answer: peers.Answer) -> None:
        def write():
            version = asked.version or None
            answer(_told(self.own.put(asked.key, asked.body, version)))

        self.tasks.spawn(write)


def _unanswered(outcome: result.Result) -> bool:
    return isinstance(outcome.err(), objects.Unavailable | objects.Unknown)


def _told(outcome: result.Result) -> Relayed:
    """Return what a peer is told of the store's answer."""
    match outcome:
        case result.Ok(objects.Stored() as stored):
            return Relayed(Answer.DONE.value, stored.version, stored.body)
        case result.Ok(version):
            return Relayed(Answer.DONE.value, version)
        case result.Err(objects.Missing()):
            return Relayed(Answer.MISSING.value)
        case result.Err(objects.Unavailable()):
            return Relayed(Answer.UNAVAILABLE.value)
        case result.Err(objects.Unknown()):
            return Relayed(Answer.UNKNOWN.value)
    return Relayed(Answer.CONFLICT.value)
