"""Declaration updates: a new declaration is published, instead of each VM reading it.

If each VM reads a new version from the platform by itself, a change costs as many
priced calls as there are VMs. A document of usual size costs less on its way in
groups (:mod:`broadcast`). A VM that misses it reads it.
"""

import attrs

from mothworks import kernel, messages, peers
from mothworks_gateway import broadcast, declarations, lease

#: Longest document that is published, bytes. The links of small VMs carry a longer one
#: to a group no faster than the platform answers all of them.
MOST_BYTES = 64 << 10


@messages.message(132)
@attrs.frozen
class Declared:
    """A new declaration, for all VMs.

    :param document: the operator's document.
    """

    document: bytes


class DeclarationUpdates(kernel.Part):
    """Publishes what the platform declares, where this VM holds the lease.

    Elsewhere it takes what the holder publishes.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.lease = node_kernel.get(lease.Lease)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.declarations.on_platform.append(self._publish)
        node_kernel.get(peers.Peers).handle(Declared, self._on_update)

    def _publish(self, document: bytes) -> None:
        if self.lease.held() and len(document) <= MOST_BYTES:
            self.broadcast.publish(Declared(document))

    def _on_update(self, vm: str, update: Declared, _: peers.Answer) -> None:
        self.declarations.offer(update.document, f"peer {vm}")
