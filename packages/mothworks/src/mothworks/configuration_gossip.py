"""Gossip of the configuration: how it spreads between VMs.

A VM that takes a new head sends it to a few others, which fetch the parts
that they lack from the sender. Once a second each VM also compares revisions
with a random peer, so that a VM that was cut off or has just started catches
up, also while the object API is down.
"""

import random

import attrs
import result

from mothworks import configuration, kernel, membership, messages, peers, plugins

#: VMs to which a new head is sent.
FANOUT = 4
#: Mean time between comparisons with a random peer, seconds.
COMPARE_S = 1.0
#: Longest wait for a peer's reply, seconds.
REPLY_S = 1.0


@messages.message(40)
@attrs.frozen
class NewHead:
    """A head that its sender has taken; also answers :class:`AskHead`.

    :param revision: its revision.
    :param body: the head as it is stored; empty where the asker's own
        revision is as high.
    """

    revision: int
    body: bytes = b""


@messages.message(41)
@attrs.frozen
class AskHead:
    """Asks for the head if it is newer.

    :param revision: the asker's own revision.
    """

    revision: int


@messages.message(42)
@attrs.frozen
class AskPart:
    """Asks for a part.

    :param name: its hash.
    """

    name: str


@messages.message(43)
@attrs.frozen
class PartAnswer:
    """Answers :class:`AskPart`.

    :param packed: the part, compressed; empty where the sender lacks it.
    """

    packed: bytes = b""


@plugins.register(plugins.PART, "configuration_gossip")
class Gossip(kernel.Part):
    """Spreads heads and parts.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.peers.handle(NewHead, self._serve_head)
        self.peers.handle(AskHead, self._serve_ask_head)
        self.peers.handle(AskPart, self._serve_ask_part)
        self.configuration.on_change.append(self._spread)
        self.configuration.part_sources.append(self._ask_any)

    def start(self) -> None:
        """Start to compare revisions with peers."""
        self.tasks.spawn(self._compare)
        self.tasks.every(COMPARE_S, self._compare)

    def _spread(self) -> None:
        news = NewHead(self.configuration.revision, self.configuration.head_body)
        for name in self._some_peers(FANOUT):
            self.peers.post(name, news)

    def _compare(self) -> None:
        for name in self._some_peers(1):
            ask = AskHead(self.configuration.revision)
            match self.peers.call(name, ask, REPLY_S):
                case result.Ok(NewHead() as news) if news.body:
                    self._take(name, news)
                case result.Ok(NewHead() as news) if news.revision < ask.revision:
                    body = self.configuration.head_body
                    self.peers.send(name, NewHead(self.configuration.revision, body))

    def _take(self, sender: str, news: NewHead) -> None:
        if news.revision > self.configuration.revision:
            self.configuration.adopt(
                news.body, (lambda part: self._ask_part(sender, part),)
            )

    def _ask_any(self, part: str) -> bytes | None:
        for name in self._some_peers(1):
            return self._ask_part(name, part)
        return None

    def _ask_part(self, vm: str, part: str) -> bytes | None:
        match self.peers.call(vm, AskPart(part), REPLY_S):
            case result.Ok(PartAnswer(packed)):
                return packed or None
            case _:
                return None

    def _some_peers(self, count: int) -> list[str]:
        """Return random VMs of this region, and on few VMs one of each other.

        Random VMs of all regions would in time connect every VM to every
        other one, across the thin links too.
        """
        near = self.membership.near() or self.membership.peers()
        chosen = random.sample(near, min(count, len(near)))
        return [member.name for member in (*chosen, *self.membership.far())]

    def _serve_head(self, sender: str, news: NewHead, _: peers.Answer) -> None:
        self.tasks.spawn(self._take, sender, news)

    def _serve_ask_head(self, _: str, ask: AskHead, answer: peers.Answer) -> None:
        revision = self.configuration.revision
        newer = revision > ask.revision
        answer(NewHead(revision, self.configuration.head_body if newer else b""))

    def _serve_ask_part(self, _: str, ask: AskPart, answer: peers.Answer) -> None:
        answer(PartAnswer(self.configuration.part(ask.name) or b""))
