"""Broadcast: sends a message to all VMs through forwarders.

Sending each message to each VM directly costs too much processor time: at 200 VMs and
40 messages per second, 8,000 sends per second. Instead, the sender divides the other
VMs into about as many groups as each group has VMs, and one VM of each group forwards
the message to the rest of it: 14 sends for the sender, 13 for each forwarder. Each
sender uses different groups.

Delivery is not reliable, since messages are lost if a forwarder fails. Receivers must
also be able to learn of published changes in another way: from a repeated version
number, from the platform, or from an endpoint's refusal.
"""

import collections.abc
import math
import random
import typing

import attrs
import gevent
import logbook
import msgpack

from mothworks import kernel, logs, membership, messages, ownership, peers
from mothworks_gateway import collectors

log = logbook.Logger("broadcast")

#: Time for which messages are batched before they are sent together, seconds: a tenth
#: of callers' usual shortest latency objective. It limits what each VM receives from
#: one sender to 25 batches per second.
BATCH_DELAY_S = 0.04


@messages.message(123)
@attrs.frozen
class ForwardedBatch:
    """A batch of messages from one VM to the VMs of a group.

    :param origin: the VM that published the messages.
    :param forward_to: the VMs that the receiver forwards the batch to.
    :param frames: the packed messages, in order.
    """

    origin: str
    forward_to: tuple[str, ...]
    frames: tuple[bytes, ...]


class Broadcast(kernel.Part):
    """Publishes messages to all VMs of this VM's region.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.batch: list[bytes] = []
        self.groups: list[tuple[str, ...]] | None = None
        self.membership.on_change.append(self._discard_groups)
        self.peers.handle(ForwardedBatch, self._on_forwarded_batch)

    def publish(self, message: typing.Any) -> None:
        """Send a message to all other VMs within :data:`BATCH_DELAY_S`.

        :param message: an instance of a registered class.
        """
        self.batch.append(messages.pack(message))
        if len(self.batch) == 1:
            self.tasks.spawn(self._flush_later)

    def publish_now(self, message: typing.Any) -> None:
        """Send a message to all other VMs now, after those already batched.

        :param message: an instance of a registered class.
        """
        self.batch.append(messages.pack(message))
        self._flush()

    def _flush_later(self) -> None:
        gevent.sleep(BATCH_DELAY_S)
        self._flush()

    def _flush(self) -> None:
        frames, self.batch = tuple(self.batch), []
        if not frames:
            return
        for group in self._groups():
            forwarder = self._choose_forwarder(group)
            others = tuple(vm for vm in group if vm != forwarder)
            self.peers.send_nowait(forwarder, ForwardedBatch(self.name, others, frames))

    def _groups(self) -> list[tuple[str, ...]]:
        if self.groups is None:
            peer_names = [member.name for member in self.membership.region_peers()]
            self.groups = divide(self.name, peer_names)
        return self.groups

    def _choose_forwarder(self, group: tuple[str, ...]) -> str:
        """Return a random forwarder of a group, a connected VM if there is one.

        A different forwarder each time limits the messages that a group loses if one of
        its VMs has failed and membership has not noticed yet.
        """
        connected = [vm for vm in group if self.peers.is_connected(vm)]
        return random.choice(connected or group)

    def _on_forwarded_batch(
        self, _: str, batch: ForwardedBatch, __: peers.Reply
    ) -> None:
        if batch.forward_to:
            self.peers.multicast(batch.forward_to, attrs.evolve(batch, forward_to=()))
        for frame in batch.frames:
            self._dispatch(batch.origin, frame)

    def _dispatch(self, origin: str, frame: bytes) -> None:
        received = messages.unpack(msgpack.unpackb(frame))
        if received is None:
            return
        handler = self.peers.handler_by_class.get(type(received[0]))
        if handler is None:
            reason = f"no part serves {type(received[0]).__name__}"
            logs.event(log, "message", origin=origin, reason=reason, outcome="left out")
            return
        handler(origin, received[0], _ignore_reply)

    def _discard_groups(self) -> None:
        """Discard the groups after a change of membership."""
        self.groups = None


def divide(sender: str, vms: collections.abc.Collection[str]) -> list[tuple[str, ...]]:
    """Divide VMs into the groups that a sender broadcasts to.

    :param sender: the VM that sends.
    :param vms: all other VMs.

    >>> divide("vm-1", ["vm-2", "vm-3"])
    [('vm-2',), ('vm-3',)]
    """
    if collectors.is_full_mesh(vms):
        return [(vm,) for vm in vms]
    ranked = sorted(vms, key=lambda vm: ownership.weight(sender, vm))
    group_count = math.isqrt(len(vms))
    return [tuple(ranked[number::group_count]) for number in range(group_count)]


def _ignore_reply(_: typing.Any) -> None:
    """Discard a reply, since a broadcast expects none."""
