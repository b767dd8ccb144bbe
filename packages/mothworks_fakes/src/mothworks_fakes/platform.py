"""Fakes of the platform's VM list and weight store."""

import attrs
import gevent
import gevent.lock
import orjson

from mothworks import documents, vm_list
from mothworks_fakes import web


class VmList(web.Fake):
    """Stores the list; VMs are added and removed in code or over HTTP.

    :param port: TCP port; 0 lets the kernel choose.
    """

    def __init__(self, port: int = 0):
        super().__init__(port)
        self.vm_by_name: dict[str, vm_list.Vm] = {}

    def put(self, vm: vm_list.Vm) -> None:
        """Add a VM to the list, or replace its entry.

        :param vm: the VM.
        """
        self.vm_by_name[vm.name] = vm

    def set_state(self, name: str, state: vm_list.VmState) -> None:
        """Change the state of a listed VM.

        :param name: the VM's name.
        :param state: the new state.
        """
        self.vm_by_name[name] = attrs.evolve(self.vm_by_name[name], state=state)

    def serve(self, method: str, path: str, environ: dict) -> web.Reply:
        """Handle one call; see :meth:`web.Fake.serve`."""
        name = path.removeprefix("/vms").strip("/")
        match method:
            case "PUT":
                value = orjson.loads(environ["wsgi.input"].read())
                self.put(documents.structure(value, vm_list.Vm, "vm").unwrap())
            case "DELETE":
                self.vm_by_name.pop(name, None)
        return web.json_reply(documents.to_plain(list(self.vm_by_name.values())))


class WeightStore(web.Fake):
    """Simulates downloads of weights at a bounded rate.

    ``GET /weights?mb=`` replies after the time that a load of this size takes.

    :param port: TCP port; 0 lets the kernel choose.
    :param parallel: maximum number of concurrent loads.
    :param mb_per_s: rate of each load, MB/s.
    """

    def __init__(self, port: int = 0, parallel: int = 8, mb_per_s: float = 1000.0):
        super().__init__(port)
        self.mb_per_s = mb_per_s
        self.load_slots = gevent.lock.BoundedSemaphore(parallel)
        self.loads = 0
        #: Calls in progress, including those that wait for a load slot, and their peak.
        self.current_calls = 0
        self.peak_calls = 0

    def serve(self, method: str, path: str, environ: dict) -> web.Reply:
        """Handle one call; see :meth:`web.Fake.serve`."""
        size_mb = float(environ.get("QUERY_STRING", "mb=0").partition("=")[2])
        self.loads += 1
        self.current_calls += 1
        self.peak_calls = max(self.peak_calls, self.current_calls)
        with self.load_slots:
            gevent.sleep(size_mb / self.mb_per_s)
        self.current_calls -= 1
        return web.json_reply({})
