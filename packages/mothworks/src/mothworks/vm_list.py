"""The platform's list of live and leaving VMs, which may be stale.

It provides addresses through which to join, and early notice of the endpoints whose
VMs are leaving.
"""

import enum

import attrs
import geventhttpclient
import geventhttpclient.response
import orjson
import result

from mothworks import documents, kernel, plugins, settings

#: Timeout for connecting and for each read, seconds.
TIMEOUT_S = 2.0


#: Prefix of the provisional name of a VM of which only the address is known; the VM
#: sends its real name when a connection to it opens.
SEED_PREFIX = "seed "


class VmState(enum.StrEnum):
    """The state of a VM as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


class VmKind(enum.StrEnum):
    """The kind of program that runs on a VM."""

    NODE = "node"
    ENDPOINT = "endpoint"


@attrs.frozen
class Vm:
    """One VM as the platform lists it.

    :param name: its name; for an endpoint, the endpoint's name.
    :param kind: what runs on it.
    :param address: its IP address.
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

    def reload(self, node_settings) -> None:
        """Apply changed settings of the VM.

        :param node_settings: the settings.
        """

    def refresh(self) -> None:
        """Read everything anew at the next read: the platform has lost writes."""


@plugins.register(plugins.VM_LIST, "http")
class HttpVmList(Source):
    """Reads the list as a JSON array from one URL.

    :param list_settings: contains the URL.
    """

    def __init__(self, list_settings: settings.VmList):
        url = geventhttpclient.URL(list_settings.url)
        self.path = url.request_uri
        self.client = geventhttpclient.HTTPClient.from_url(
            url, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
        )

    def read(self) -> result.Result[tuple[Vm, ...], str]:
        """Read the whole list; see :meth:`Source.read`."""
        try:
            response = self.client.get(self.path)
            body = response.read()
            value = orjson.loads(body)
        except (OSError, ValueError, geventhttpclient.response.HTTPParseError) as error:
            return result.Err(str(error))
        if response.status_code != 200:
            return result.Err(f"status {response.status_code}")
        return documents.structure(value, tuple[Vm, ...], "vm list").map_err(str)


class VmList(kernel.Part):
    """Holds the client of the list that the settings select.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        list_settings = node_kernel.settings.vm_list
        self.source: Source = plugins.find(plugins.VM_LIST, list_settings.kind)(
            list_settings
        )
