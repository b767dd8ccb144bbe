"""Broadcast: one message to all VMs, at a cost that grows slowly with their number.

A VM that sends each message to each other VM itself spends its processor on it:
at 200 VMs and 40 messages a second, 8,000 sends. So it divides the others into
groups, about as many as each has VMs, and one VM of each group passes the message
on within it: 14 sends for the sender, 13 for each of those that pass it on. The
groups differ from sender to sender.

Messages may be lost with the VM that was to pass them on, so what is published must
also be noticed otherwise: by a version that is repeated, by the platform, or by an
endpoint's own refusal.
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

#: Time in which messages are collected before they are sent together, seconds: a tenth
#: of the shortest objective of usual callers. It bounds what each VM takes from one
#: sender to 25 messages a second.
BATCH_DELAY_S = 0.04


@messages.message(123)
@attrs.frozen
class Passed:
    """Messages of one VM, on their way to the VMs of a group.

    :param origin: the VM that published them.
    :param to: the VMs to which the receiver is to pass them on.
    :param frames: the packed messages, in order.
    """

    origin: str
    to: tuple[str, ...]
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
        self.membership.on_change.append(self._forget)
        self.peers.handle(Passed, self._take)

    def publish(self, message: typing.Any) -> None:
        """Send a message to all other VMs within :data:`BATCH_DELAY_S`.

        :param message: an instance of a registered class.
        """
        self.batch.append(messages.pack(message))
        if len(self.batch) == 1:
            self.tasks.spawn(self._flush_soon)

    def publish_now(self, message: typing.Any) -> None:
        """Send a message to all other VMs now, after those that wait.

        :param message: an instance of a registered class.
        """
        self.batch.append(messages.pack(message))
        self._flush()

    def _flush_soon(self) -> None:
        gevent.sleep(BATCH_DELAY_S)
        self._flush()

    def _flush(self) -> None:
        frames, self.batch = tuple(self.batch), []
        if not frames:
            return
        for group in self._groups():
            first = self._first(group)
            rest = tuple(vm for vm in group if vm != first)
            self.peers.post(first, Passed(self.name, rest, frames))

    def _groups(self) -> list[tuple[str, ...]]:
        if self.groups is None:
            near = [member.name for member in self.membership.near()]
            self.groups = divide(self.name, near)
        return self.groups

    def _first(self, group: tuple[str, ...]) -> str:
        """Return who is to pass messages on: one that is connected, if any.

        Another one each time, so that the loss of a VM which membership has not
        noticed yet costs a group some messages and not all.
        """
        linked = [vm for vm in group if self.peers.linked(vm)]
        return random.choice(linked or group)

    def _take(self, _: str, passed: Passed, __: peers.Answer) -> None:
        if passed.to:
            self.peers.post_all(passed.to, attrs.evolve(passed, to=()))
        for frame in passed.frames:
            self._dispatch(passed.origin, frame)

    def _dispatch(self, origin: str, frame: bytes) -> None:
        received = messages.unpack(msgpack.unpackb(frame))
        if received is None:
            return
        handler = self.peers.handler_by_class.get(type(received[0]))
        if handler is None:
            reason = f"no part serves {type(received[0]).__name__}"
            logs.event(log, "message", origin=origin, reason=reason, outcome="left out")
            return
        handler(origin, received[0], _no_answer)

    def _forget(self) -> None:
        """Divide anew, since VMs came or went."""
        self.groups = None


def divide(sender: str, vms: collections.abc.Collection[str]) -> list[tuple[str, ...]]:
    """Return the groups in which a sender's messages are passed on.

    :param sender: the VM that sends.
    :param vms: all others.

    >>> divide("vm-1", ["vm-2", "vm-3"])
    [('vm-2',), ('vm-3',)]
    """
    if collectors.are_few(vms):
        return [(vm,) for vm in vms]
    shuffled = sorted(vms, key=lambda vm: ownership.weight(sender, vm))
    count = math.isqrt(len(vms))
    return [tuple(shuffled[number::count]) for number in range(count)]


def _no_answer(_: typing.Any) -> None:
    """Answer nobody: a message to all VMs expects no reply."""
