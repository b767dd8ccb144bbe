"""Declaration news: a new declaration is told to all VMs, instead of each reading it.

If each VM reads a new version from the platform by itself, a change costs as many
priced calls as there are VMs. A document of usual size costs less on its way in
groups (:mod:`broadcast`). A VM that misses it reads it.
"""

import attrs

from mothworks import kernel, messages, peers
from mothworks_gateway import broadcast, declarations, lease

#: Longest document that is told, bytes. The links of small VMs carry a longer one to a
#: group no faster than the platform answers all of them.
MOST_BYTES = 64 << 10


@messages.message(132)
@attrs.frozen
class Declared:
    """Tells all VMs a new declaration.

    :param document: the operator's document.
    """

    document: bytes


class DeclarationNews(kernel.Part):
    """Tells what the platform declares, on the holder of the lease; takes it elsewhere.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.lease = node_kernel.get(lease.Lease)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.declarations.on_platform.append(self._tell)
        node_kernel.get(peers.Peers).handle(Declared, self._hear)

    def _tell(self, document: bytes) -> None:
        if self.lease.held() and len(document) <= MOST_BYTES:
            self.broadcast.tell(Declared(document))

    def _hear(self, vm: str, told: Declared, _: peers.Answer) -> None:
        self.declarations.offer(told.document, f"peer {vm}")
