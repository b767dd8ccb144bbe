"""Gossip protocol that replicates the configuration between VMs.

A VM that adopts a new head pushes it to a few others, which fetch the missing
parts from the sender. Once a second each VM also compares revisions with a
random peer, so that a VM that was disconnected or has just started catches up,
even while the object API is down.
"""

import random

import attrs
import result

from mothworks import configuration, kernel, membership, messages, peers, plugins

#: VMs of the region to which a new head is pushed.
FANOUT = 4
#: Mean interval between comparisons with a random peer, seconds.
COMPARE_INTERVAL_S = 1.0
#: Timeout of a call to a peer, seconds.
REPLY_TIMEOUT_S = 1.0


@messages.message(40)
@attrs.frozen
class HeadUpdate:
    """A head that its sender has adopted; also the reply to :class:`HeadRequest`.

    :param revision: the sender's revision.
    :param body: the head's stored bytes; empty if the requester's own revision
        is as high.
    """

    revision: int
    body: bytes = b""


@messages.message(41)
@attrs.frozen
class HeadRequest:
    """Requests the head if it is newer.

    :param revision: the requester's own revision.
    """

    revision: int


@messages.message(42)
@attrs.frozen
class PartRequest:
    """Requests a part.

    :param name: the part's name, a hash of its content.
    """

    name: str


@messages.message(43)
@attrs.frozen
class PartReply:
    """Replies to :class:`PartRequest`.

    :param packed: the part, compressed; empty if the sender does not have it.
    """

    packed: bytes = b""


@plugins.register(plugins.PART, "configuration_gossip")
class Gossip(kernel.Part):
    """Replicates heads and parts between VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.peers.handle(HeadUpdate, self._serve_head_update)
        self.peers.handle(HeadRequest, self._serve_head_request)
        self.peers.handle(PartRequest, self._serve_part_request)
        self.configuration.change_callbacks.append(self._push_head)
        self.configuration.part_sources.append(self._request_part_from_any)

    def start(self) -> None:
        """Start the periodic comparison of revisions with peers."""
        self.tasks.spawn(self._compare_revisions)
        self.tasks.every(COMPARE_INTERVAL_S, self._compare_revisions)

    def _push_head(self) -> None:
        update = HeadUpdate(self.configuration.revision, self.configuration.head_body)
        for name in self._random_peers(FANOUT):
            self.peers.send_nowait(name, update)

    def _compare_revisions(self) -> None:
        for name in self._random_peers(1):
            request = HeadRequest(self.configuration.revision)
            match self.peers.call(name, request, REPLY_TIMEOUT_S):
                case result.Ok(HeadUpdate() as update) if update.body:
                    self._adopt(name, update)
                case result.Ok(HeadUpdate() as update) if (
                    update.revision < request.revision
                ):
                    body = self.configuration.head_body
                    self.peers.send(name, HeadUpdate(self.configuration.revision, body))

    def _adopt(self, sender: str, update: HeadUpdate) -> None:
        if update.revision > self.configuration.revision:
            self.configuration.adopt(
                update.body, (lambda part: self._request_part(sender, part),)
            )

    def _request_part_from_any(self, part: str) -> bytes | None:
        for name in self._random_peers(1):
            return self._request_part(name, part)
        return None

    def _request_part(self, vm: str, part: str) -> bytes | None:
        match self.peers.call(vm, PartRequest(part), REPLY_TIMEOUT_S):
            case result.Ok(PartReply(packed)):
                return packed or None
            case _:
                return None

    def _random_peers(self, count: int) -> list[str]:
        """Return random VMs of this region, on bridge VMs also one per other region.

        If VMs were picked from all regions, every VM would in time open a
        connection to every other one, also over the slow links between regions.
        Only a VM without peers in its region picks from all.
        """
        near = self.membership.region_peers() or self.membership.peers()
        chosen = random.sample(near, min(count, len(near)))
        return [member.name for member in (*chosen, *self.membership.bridge_peers())]

    def _serve_head_update(
        self, sender: str, update: HeadUpdate, _: peers.Reply
    ) -> None:
        self.tasks.spawn(self._adopt, sender, update)

    def _serve_head_request(
        self, _: str, request: HeadRequest, answer: peers.Reply
    ) -> None:
        revision = self.configuration.revision
        newer = revision > request.revision
        answer(HeadUpdate(revision, self.configuration.head_body if newer else b""))

    def _serve_part_request(
        self, _: str, request: PartRequest, answer: peers.Reply
    ) -> None:
        answer(PartReply(self.configuration.part(request.name) or b""))
