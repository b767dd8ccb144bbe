"""Builders of fleets whose VMs share endpoint queues, without network."""

import contextlib
import types

import fleet_builders
import gateway_builders
from mothworks import membership, peers
from mothworks_gateway import (
    caller_request,
    declaration_types,
    declarations,
    discovery,
    endpoint_notices,
    endpoint_selection,
    endpoint_speeds,
    owners,
    poison_requests,
    prefill_speed,
    queue_client,
    queue_owner,
    registry,
    residency,
    running_requests,
    shared_budgets,
    shared_speeds,
)

SERVICE = "s"
#: Objectives of the service's routes, seconds.
URGENT_S = 0.4
PATIENT_S = 6.0


class Budgets:
    """Stub of shared budgets whose owners are the VMs in the order of their names."""

    def __init__(self, name, names, network, node_peers):
        self.name = name
        self.names = names
        self.network = network
        self.peers = node_peers
        self.part = 1.0
        self.grants = True
        self.unresponsive = set()
        #: Owners that were called such that a timeout counts as silence.
        self.called = []
        self.owners = types.SimpleNamespace(ranked=lambda key: self.names)

    def may_grant(self):
        return self.grants

    def share(self):
        return self.part

    def is_responsive(self, vm):
        return vm not in self.network.down

    def responsive_owners(self, key):
        return [vm for vm in self.names if vm not in self.unresponsive][:2]

    def call_owner(self, owner, message, thing):
        self.called.append(owner)
        called = self.peers.call(owner, message, 0.04)
        return called.ok_value if called.is_ok() else None


def make_route(objective_s, **fields):
    """Return a route of the service."""
    values = {"idempotent": True, "objective_s": objective_s, "max_endpoints": 2}
    return declaration_types.Route(
        f"r-{objective_s}",
        "h",
        f"/{objective_s}/",
        (declaration_types.Share(SERVICE),),
        **{**values, **fields},
    )


def make_declaration(kv_tokens=0, routes=(), accounts=None):
    """Return a declaration with one service that has urgent and patient routes."""
    accelerator = None
    if kv_tokens:
        accelerator = declaration_types.Accelerator(1.0, 1, 4, kv_tokens, 1.0, {})
    service = declaration_types.Service(SERVICE, accelerator=accelerator)
    routes = routes or (make_route(URGENT_S), make_route(PATIENT_S))
    return declaration_types.Declaration(
        1, tuple(routes), {SERVICE: service}, accounts=accounts
    )


class Selection:
    """Stub of the endpoint selection: all available endpoints, in a fixed order."""

    def __init__(self, view):
        self.view = view

    def accepts(self, endpoint, target):
        return endpoint.available and endpoint.id in self.view.by_id

    def candidates(self, request):
        endpoints = tuple(
            item for item in self.view.by_id.values() if self.accepts(item, None)
        )
        return endpoint_selection.Candidates(endpoints, endpoints)


class Vm:
    """One VM of the fleet.

    :param name: its name.
    :param fleet: the fleet.
    """

    def __init__(self, name, fleet):
        self.name = name
        self.registry = registry.Registry()
        for endpoint_id in fleet.endpoint_ids:
            built = gateway_builders.endpoint(
                endpoint_id, SERVICE, fleet.slots, fleet.models
            )
            self.registry.by_id[endpoint_id] = built
        self.running = gateway_builders.RunningRequests()
        self.running.totals = None
        self.running.running_without = lambda vms: (
            {} if "vm-9" in vms else self.running.running
        )
        #: Services whose speeds were published.
        self.published_services = []
        #: Requests that were reported to the lease holder.
        self.reported_ids = []
        parts = {
            discovery.Discovery: types.SimpleNamespace(registry=self.registry),
            declarations.Declarations: types.SimpleNamespace(current=fleet.declaration),
            endpoint_notices.EndpointNotices: types.SimpleNamespace(
                backoff=lambda endpoint: None
            ),
            endpoint_selection.EndpointSelection: Selection(self.registry),
            running_requests.RunningRequests: self.running,
            prefill_speed.PrefillSpeed: types.SimpleNamespace(
                tokens_per_s=lambda service: 20_000.0
            ),
            shared_speeds.SharedSpeeds: types.SimpleNamespace(
                new_estimator=lambda service, now: endpoint_speeds.SpeedEstimator(),
                publish=self._publish,
            ),
            poison_requests.PoisonRequests: types.SimpleNamespace(
                on_block=[], is_blocked=lambda request: False
            ),
            residency.Residency: types.SimpleNamespace(
                count_as_waiting=self._count_as_waiting
            ),
        }
        kernel = fleet_builders.make_kernel(name, fleet.names, fleet.network, parts)
        kernel.get(membership.Membership).find = fleet_builders.make_member
        self.peers = kernel.get(peers.Peers)
        self.peers.on_disconnect = []
        self.budgets = Budgets(name, fleet.names, fleet.network, self.peers)
        kernel.parts[shared_budgets.SharedBudgets] = self.budgets
        kernel.parts[owners.Owners] = self.budgets.owners
        self.owner = queue_owner.QueueOwner(kernel)
        kernel.parts[queue_owner.QueueOwner] = self.owner
        self.client = queue_client.QueueClient(kernel)
        self.kernel = kernel

    def start(self):
        self.owner.start()
        self.client.start()

    def stop(self):
        self.owner.stop()
        self.client.stop()

    def _publish(self, service, estimator, now):
        self.published_services.append(service)

    @contextlib.contextmanager
    def _count_as_waiting(self, request):
        self.reported_ids.append(request.id)
        yield

    def served(self):
        """Return the queue of the service, as this VM knows it as its owner."""
        return self.owner.queue_by_service[SERVICE]


class Fleet:
    """VMs that share the queue of one service; the first one owns it.

    :param count: number of VMs.
    :param endpoints: number of endpoints.
    :param slots: slots of each.
    :param declaration: the declaration.
    """

    def __init__(self, count=3, endpoints=2, slots=2, declaration=None, models=()):
        self.names = fleet_builders.vm_names(count)
        self.network = fleet_builders.Network()
        self.endpoint_ids = [f"i-{number}" for number in range(endpoints)]
        self.slots = slots
        self.models = models
        self.declaration = declaration or make_declaration()
        self.vms = [Vm(name, self) for name in self.names]
        for vm in self.vms:
            vm.start()

    def stop(self):
        for vm in self.vms:
            vm.stop()


def make_request(request_id, received_at, objective_s=URGENT_S, **fields):
    """Return a request of the service."""
    return gateway_builders.request(
        id=request_id,
        route=make_route(objective_s),
        received_at=received_at,
        deadline=received_at + 20.0,
        **{"target": caller_request.Target(SERVICE), **fields},
    )
