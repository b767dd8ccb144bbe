"""The connections to endpoints, and the plug-in that implements their protocol."""

from mothworks import kernel, plugins, transport
from mothworks_gateway import adapters, settings

#: Timeout for connecting to an endpoint, seconds: TCP retransmits a lost SYN only after
#: about 1 s.
CONNECT_TIMEOUT_S = 0.4
#: Longest time without any data from an endpoint, seconds.
READ_TIMEOUT_S = 30.0
#: Share of the file descriptors that idle connections to endpoints may use.
IDLE_DESCRIPTOR_SHARE = 0.2


class EndpointsClient(kernel.Part):
    """Provides the connections to endpoints and their protocol.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        usable_descriptors = (
            node_kernel.settings.descriptors - settings.SPARE_DESCRIPTORS
        )
        self.connections = transport.Transport(
            READ_TIMEOUT_S,
            connect_s=CONNECT_TIMEOUT_S,
            allow_unframed=True,
            max_idle=max(1, int(IDLE_DESCRIPTOR_SHARE * usable_descriptors)),
        )
        protocol = plugins.find(adapters.ENDPOINTS, node_kernel.settings.adapter)
        self.protocol: adapters.EndpointProtocol = protocol(self.connections)
