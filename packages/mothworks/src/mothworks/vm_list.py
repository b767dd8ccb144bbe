"""The platform's list of live and leaving VMs, which lags.

It seeds membership and says early that an endpoint's VM is leaving.
"""

import enum

import attrs
import geventhttpclient
import geventhttpclient.response
import orjson
import result

from mothworks import documents, kernel, plugins, settings

#: Longest wait for the list, seconds.
TIMEOUT_S = 2.0


#: How the names of VMs begin of which only an address is known; a peer says
#: its own name when it is called.
SEED = "seed "


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmKind(enum.StrEnum):
    """What runs on a VM."""

    NODE = "node"
    ENDPOINT = "endpoint"


@attrs.frozen
class Vm:
    """One VM as the platform lists it.

    :param name: its name; for an endpoint, the endpoint's name.
    :param kind: what runs on it.
    :param address: its IP number.
    :param state: live or leaving.
    :param port: a node's port for callers.
    :param peer_port: a node's port for peers.
    :param data_centre: where it runs.
    :param region: that data centre's region.
    """

    name: str
    kind: VmKind
    address: str
    state: VmState = VmState.LIVE
    port: int = 0
    peer_port: int = 0
    data_centre: str = ""
    region: str = ""


class Source:
    """Interface of the plug-ins of kind :data:`plugins.VM_LIST`."""

    def read(self) -> result.Result[tuple[Vm, ...], str]:
        """Read the whole list."""
        raise NotImplementedError

    def reload(self, chosen) -> None:
        """Take changed settings of the VM.

        :param chosen: the settings.
        """


@plugins.register(plugins.VM_LIST, "http")
class HttpVmList(Source):
    """Reads the list as a JSON array from one URL.

    :param chosen: where it answers.
    """

    def __init__(self, chosen: settings.VmList):
        url = geventhttpclient.URL(chosen.url)
        self.path = url.request_uri
        self.client = geventhttpclient.HTTPClient.from_url(
            url, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
        )

    def read(self) -> result.Result[tuple[Vm, ...], str]:
        """Read the whole list; see :meth:`Source.read`."""
        try:
            reply = self.client.get(self.path)
            body = reply.read()
            value = orjson.loads(body)
        except (OSError, ValueError, geventhttpclient.response.HTTPParseError) as error:
            return result.Err(str(error))
        if reply.status_code != 200:
            return result.Err(f"status {reply.status_code}")
        return documents.structure(value, tuple[Vm, ...], "vm list").map_err(str)


class VmList(kernel.Part):
    """The part that holds the list's client.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        chosen = node_kernel.settings.vm_list
        self.source: Source = plugins.find(plugins.VM_LIST, chosen.kind)(chosen)
