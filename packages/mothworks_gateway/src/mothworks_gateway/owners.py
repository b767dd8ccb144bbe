"""Owners: which VM decides for all VMs about one resource, such as an endpoint's limit.

All VMs compute the same owner from the same membership by rendezvous hashing, without
a message. In a large fleet only the collectors own resources: every other VM must be
connected to each owner. An owner that is unresponsive or gone costs a caller one short
timeout, since membership takes a few seconds to notice that it is gone.
"""

import time
import typing

import logbook
import result

from mothworks import kernel, logs, membership, ownership, peers
from mothworks_gateway import collectors, ranking

log = logbook.Logger("owners")

#: Time for which an owner that did not answer is not called again, seconds.
BACKOFF_S = 1.0


class Owners(kernel.Part):
    """Computes the owner of each resource, and calls owners.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        view = node_kernel.get(membership.Membership)
        self.ranking = ranking.Ranking(collectors.RANKING_KEY, self.name, view)
        self.peers = node_kernel.get(peers.Peers)
        self._backoff_until_by_vm: dict[str, float] = {}
        #: Functions to call after the candidates may have changed.
        self.on_change: list = []
        self._ranked_by_key: dict[str, list[str]] = {}
        view.on_change.append(self._clear)

    def candidates(self) -> list[str]:
        """Return the VMs that can own resources; at least one."""
        vms = self.ranking.vms
        return vms if collectors.is_full_mesh(vms[1:]) else collectors.select(vms)

    def ranked(self, key: str) -> list[str]:
        """Return the candidates for a resource, its owner first.

        :param key: identifies the resource.
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

    def is_unresponsive(self, owner: str) -> bool:
        """Return whether an owner failed to answer recently.

        :param owner: the VM.
        """
        return time.monotonic() < self._backoff_until_by_vm.get(owner, 0.0)

    def call(
        self, owner: str, message: typing.Any, timeout_s: float, thing: str
    ) -> typing.Any:
        """Call an owner and return its reply; None where it is unresponsive.

        A call never waits for a connection to open: during a network cut each request
        would wait for the connection timeout.

        :param owner: the VM.
        :param message: the request.
        :param timeout_s: timeout for the reply, seconds.
        :param thing: what the request is about, for the log.
        """
        if self.is_unresponsive(owner):
            return None
        if not self.peers.is_connected(owner):
            self.peers.open(owner)
            return None
        match self.peers.call(owner, message, timeout_s):
            case result.Ok(reply):
                return reply
            case result.Err(failure):
                self.record_silent(owner, failure.reason, thing)
        return None

    def record_silent(self, owner: str, reason: str, thing: str) -> None:
        """Record that an owner did not answer, so that it is not called for a while.

        :param owner: the VM.
        :param reason: how the call failed.
        :param thing: what the call was about, for the log.
        """
        self._backoff_until_by_vm[owner] = time.monotonic() + BACKOFF_S
        logs.event(
            log,
            "owner silent",
            thing=thing,
            owner=owner,
            reason=reason,
            outcome=f"not asked for {BACKOFF_S:g} s",
        )

    def _clear(self) -> None:
        """Drop the cached rankings after membership changed."""
        self._ranked_by_key.clear()
        for notify in self.on_change:
            notify()
