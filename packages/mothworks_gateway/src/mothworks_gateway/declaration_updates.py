"""Declaration updates: the lease holder publishes a new declaration to all VMs.

If each VM read a new version from the platform, each change would cost one billed call
per VM. Broadcasting a document of usual size (:mod:`broadcast`) costs less. A VM that
misses the broadcast reads the declaration from the platform.
"""

import attrs

from mothworks import kernel, messages, peers
from mothworks_gateway import broadcast, declarations, lease

#: Longest document that is published, bytes. Sending a longer one to a group over the
#: links of small VMs is no faster than reading it from the platform on every VM.
MAX_PUBLISHED_BYTES = 64 << 10


@messages.message(132)
@attrs.frozen
class DeclarationUpdate:
    """A new declaration, published to all VMs.

    :param document: the operator's document.
    """

    document: bytes


class DeclarationUpdates(kernel.Part):
    """Publishes new declarations while this VM holds the lease.

    On all other VMs it applies what the lease holder publishes.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.lease = node_kernel.get(lease.Lease)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.declarations.on_platform_document.append(self._publish)
        node_kernel.get(peers.Peers).handle(DeclarationUpdate, self._on_update)

    def _publish(self, document: bytes) -> None:
        if self.lease.held() and len(document) <= MAX_PUBLISHED_BYTES:
            self.broadcast.publish(DeclarationUpdate(document))

    def _on_update(self, vm: str, update: DeclarationUpdate, _: peers.Reply) -> None:
        self.declarations.apply_if_newer(update.document, f"peer {vm}")
