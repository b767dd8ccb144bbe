"""A whole deployment on one machine.

The fakes run in this process, each node in a process of its own.
"""

import collections.abc
import hashlib
import pathlib
import uuid

import attrs
import result

from mothctl import client
from mothworks import builtin, catalogue, documents, settings, vm_list  # noqa: F401
from mothworks_fakes import (
    application,
    callers,
    engine,
    object_api,
    platform,
    processes,
    web,
)

OPERATOR_KEY = "operator-key"


def key_hash(key: str) -> str:
    """Return the hash by which catalogue and settings identify a key.

    :param key: the API key.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def engine_endpoint(name: str, data_centre: str, **changes) -> catalogue.Endpoint:
    """Return the declaration of an engine; its port is set when it starts.

    :param name: its name.
    :param data_centre: its data centre.
    :param changes: further fields of :class:`catalogue.Endpoint`.
    """
    fields = {
        "kind": "vllm",
        "address": "127.0.0.1",
        "port": 0,
        "memory_mb": 80_000,
        "accelerators": 1,
    }
    return catalogue.Endpoint(
        name=name, data_centre=data_centre, **{**fields, **changes}
    )


def service_endpoint(name: str, data_centre: str, service: str) -> catalogue.Endpoint:
    """Return the declaration of a service instance; see :func:`engine_endpoint`.

    :param name: its name.
    :param data_centre: its data centre.
    :param service: the service.
    """
    return engine_endpoint(
        name,
        data_centre,
        kind="application",
        service=service,
        memory_mb=0,
        accelerators=0,
    )


class Testbed:
    """Object API, VM list, endpoints and nodes of one deployment.

    :param folder: folder of the nodes' settings and logs.
    """

    __test__ = False

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        # A unique name: the kernel may reassign the ports of one test's stopped
        # nodes to the nodes of another test.
        self.deployment = uuid.uuid4().hex
        self.object_api = object_api.ObjectApi().start()
        self.vm_list = platform.VmList().start()
        self.fake_by_endpoint: dict[str, web.Fake] = {}
        self.node_by_name: dict[str, processes.NodeProcess] = {}

    def add(self, declared: catalogue.Endpoint) -> catalogue.Endpoint:
        """Start the fake of an endpoint; see :meth:`add_engine`.

        :param declared: the endpoint; its port is replaced.
        """
        if declared.service is not None:
            return self.add_application(declared)
        return self.add_engine(declared)

    def add_engine(
        self, declared: catalogue.Endpoint, speed: engine.Speed | None = None
    ) -> catalogue.Endpoint:
        """Start an engine and return its declaration with the port in use.

        :param declared: the endpoint; its port is replaced.
        :param speed: the simulated performance of the engine.
        """
        fake = engine.Engine(declared.memory_mb, declared.fencing, speed)
        return self._add_fake(declared, fake)

    def add_application(self, declared: catalogue.Endpoint) -> catalogue.Endpoint:
        """Start an application service; see :meth:`add_engine`.

        :param declared: the endpoint; its port is replaced.
        """
        return self._add_fake(declared, application.Application())

    def add_node(
        self,
        name: str,
        data_centre: str,
        region: str,
        module: str = "mothworks",
        **changes,
    ) -> processes.NodeProcess:
        """Start a node and add it to the VM list.

        :param name: the VM's name.
        :param data_centre: its data centre.
        :param region: the data centre's region.
        :param module: the module to run, see :class:`processes.NodeProcess`.
        :param changes: further fields of :class:`settings.Settings`.
        """
        node_settings = settings.Settings(
            name=name,
            address="127.0.0.1",
            port=0,
            peer_port=0,
            data_centre=data_centre,
            region=region,
            object_api=settings.ObjectApi(self.object_api.url),
            vm_list=settings.VmList(self.vm_list.url + "/vms", poll_s=0.5),
            deployment=self.deployment,
            limits=settings.Limits(unready_s=1.0),
            operators=(
                settings.Operator(
                    "demo", settings.Role.OPERATOR, key_hash(OPERATOR_KEY)
                ),
            ),
        )
        node_settings = attrs.evolve(node_settings, **changes)
        node = processes.NodeProcess(node_settings, self.folder, module)
        self.node_by_name[name] = node
        self.vm_list.put(
            vm_list.Vm(
                name,
                vm_list.VmKind.NODE,
                "127.0.0.1",
                port=node.port,
                peer_port=node.peer_port,
                data_centre=data_centre,
                region=region,
            )
        )
        return node

    def operator(self, node: processes.NodeProcess) -> client.Client:
        """Return a client that calls a node as an operator.

        :param node: the node.
        """
        return client.Client(node.url, OPERATOR_KEY)

    def apply(self, declared: catalogue.Catalogue, revision: int = 0) -> int:
        """Apply a catalogue through the first node.

        :param declared: the catalogue.
        :param revision: the revision that it replaces.
        :returns: the new revision.
        """
        first = next(iter(self.node_by_name.values()))
        return self.put_catalogue(first, declared, revision).unwrap()["revision"]

    def put_catalogue(
        self, node: processes.NodeProcess, declared: catalogue.Catalogue, revision: int
    ) -> result.Result[dict, client.CallError]:
        """Apply a catalogue through a node.

        :param node: the node.
        :param declared: the catalogue.
        :param revision: the revision that it replaces.
        """
        change = {
            "revision": revision,
            "why": "test",
            "catalogue": documents.to_plain(declared),
        }
        return self.operator(node).put("catalogue", change)

    def engines(self) -> collections.abc.Iterator[engine.Engine]:
        """Yield the engines among the fakes."""
        for fake in self.fake_by_endpoint.values():
            if isinstance(fake, engine.Engine):
                yield fake

    def all_open(self, names: collections.abc.Iterable[str]) -> bool:
        """Return whether every node shows all the given endpoints as open.

        :param names: the endpoint names.
        """
        expected = set(names)
        for node in self.node_by_name.values():
            shown = self.operator(node).get("show/endpoints").unwrap_or([])
            open_names = {row["endpoint"] for row in shown if row["state"] == "open"}
            if not expected <= open_names:
                return False
        return True

    def all_know_all(self) -> bool:
        """Return whether every node lists exactly the nodes of this testbed."""
        names = set(self.node_by_name)
        for node in self.node_by_name.values():
            shown = self.operator(node).get("show/peers").unwrap_or([])
            if {row["vm"] for row in shown} != names:
                return False
        return True

    def count_runs(self, request: callers.Request, request_id: str) -> int:
        """Return how often all endpoints together started to run a request.

        :param request: the request; orders are counted by their body.
        :param request_id: the id of one attempt; streams are counted by it.
        """
        if request.kind is callers.Kind.ORDER:
            return sum(
                fake.calls_by_body[request.body]
                for fake in self.fake_by_endpoint.values()
                if isinstance(fake, application.Application)
            )
        return sum(
            run.request_id == request_id for fake in self.engines() for run in fake.runs
        )

    def all_resident(self, declared: catalogue.Catalogue) -> bool:
        """Return whether every node shows an endpoint for each model.

        :param declared: the catalogue that is applied.
        """
        expected = {model.name for model in declared.models}
        for node in self.node_by_name.values():
            shown = self.operator(node).get("show/models").unwrap_or([])
            if not expected <= {row["model"] for row in shown if row["endpoints"]}:
                return False
        return True

    def stop(self) -> None:
        """Stop everything that was started."""
        for node in self.node_by_name.values():
            node.kill()
        for fake in (*self.fake_by_endpoint.values(), self.object_api, self.vm_list):
            fake.stop()

    def _add_fake(
        self, declared: catalogue.Endpoint, fake: web.Fake
    ) -> catalogue.Endpoint:
        self.fake_by_endpoint[declared.name] = fake.start()
        self.vm_list.put(
            vm_list.Vm(declared.name, vm_list.VmKind.ENDPOINT, "127.0.0.1")
        )
        return attrs.evolve(declared, address="127.0.0.1", port=fake.port)
