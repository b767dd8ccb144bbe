"""Owners: which VM decides for all about one thing, such as an endpoint's turns.

All VMs compute the same owner from the same membership, by rendezvous hashing, without
a message. Where VMs are many, only the collectors own anything: each other VM must be
connected to them. An owner that is silent or gone costs a caller one short timeout;
membership takes a few seconds to notice that.
"""

import time
import typing

import logbook
import result

from mothworks import kernel, logs, membership, ownership, peers
from mothworks_gateway import collectors, ranking

log = logbook.Logger("owners")

#: Time for which an owner that did not answer is not asked again, seconds.
SILENT_S = 1.0


class Owners(kernel.Part):
    """Names the owner of each thing, and asks it.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        known = node_kernel.get(membership.Membership)
        self.ranking = ranking.Ranking(collectors.DUTY, self.name, known)
        self.peers = node_kernel.get(peers.Peers)
        self._silent_until_by_vm: dict[str, float] = {}
        #: Functions to call after the candidates may have changed.
        self.on_change: list = []
        self._ranked_by_key: dict[str, list[str]] = {}
        known.on_change.append(self._forget)

    def candidates(self) -> list[str]:
        """Return the VMs that own things; one at least."""
        vms = self.ranking.vms
        return vms if collectors.are_few(vms[1:]) else collectors.first_of(vms)

    def ranked(self, key: str) -> list[str]:
        """Return the candidates in the order in which they own a thing.

        :param key: names the thing.
        """
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            ranked = sorted(
                self.candidates(),
                key=lambda vm: ownership.weight(key, vm),
                reverse=True,
            )
            self._ranked_by_key[key] = ranked
        return ranked

    def is_silent(self, owner: str) -> bool:
        """Return whether an owner failed to answer of late.

        :param owner: the VM.
        """
        return time.monotonic() < self._silent_until_by_vm.get(owner, 0.0)

    def ask(
        self, owner: str, message: typing.Any, reply_s: float, thing: str
    ) -> typing.Any:
        """Return an owner's reply; None where it does not answer, or did not of late.

        Nobody waits for a connection to an owner: one that a cut keeps closed would
        hold up each request.

        :param owner: the VM.
        :param message: the question.
        :param reply_s: time for the reply, seconds.
        :param thing: what is asked about, for the log.
        """
        if self.is_silent(owner):
            return None
        if not self.peers.linked(owner):
            self.peers.open(owner)
            return None
        match self.peers.call(owner, message, reply_s):
            case result.Ok(reply):
                return reply
            case result.Err(failure):
                self._silent_until_by_vm[owner] = time.monotonic() + SILENT_S
                logs.event(
                    log,
                    "owner silent",
                    thing=thing,
                    owner=owner,
                    reason=failure.reason,
                    outcome=f"not asked for {SILENT_S:g} s",
                )
        return None

    def _forget(self) -> None:
        """Decide anew who owns what, since VMs came or went."""
        self._ranked_by_key.clear()
        for notify in self.on_change:
            notify()
