"""Owners: which VM decides for all about one thing, such as an endpoint's turns.

All VMs compute the same owner from the same membership, by rendezvous hashing, without
a message. Where VMs are many, only the collectors own anything: each other VM must be
connected to them.
"""

from mothworks import kernel, membership, ownership
from mothworks_gateway import collectors, ranking


class Owners(kernel.Part):
    """Names the owner of each thing.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        known = node_kernel.get(membership.Membership)
        self.ranking = ranking.Ranking(collectors.DUTY, self.name, known)
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

    def _forget(self) -> None:
        """Decide anew who owns what, since VMs came or went."""
        self._ranked_by_key.clear()
        for notify in self.on_change:
            notify()
