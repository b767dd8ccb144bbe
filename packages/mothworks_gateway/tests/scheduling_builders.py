"""Builders of a scheduler with endpoints, without network, in virtual time."""

import types

import attrs

import gateway_builders
from mothworks_gateway import (
    caller_request,
    declaration_types,
    declarations,
    demand,
    discovery,
    endpoint_limits,
    endpoint_notices,
    endpoint_state,
    heartbeat,
    job_execution,
    lease,
    order_sender,
    placement_candidates,
    prefill_speed,
    residency,
    running_requests,
    scheduler,
)

SERVICE = "s"


class Clock:
    """Replaces the clock of the modules under test."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        for module in (demand, scheduler, endpoint_state):
            monkeypatch.setattr(module, "time", self)

    def monotonic(self):
        return self.now


class RunningRequests:
    """Stub of the running requests: none but those that a test sets."""

    def __init__(self):
        self.running_by_model = {}

    def of_endpoint(self, endpoint_id):
        return sum(
            count
            for key, count in self.running_by_model.items()
            if key[0] == endpoint_id
        )

    def of_model(self, endpoint_id, model):
        return self.running_by_model.get((endpoint_id, model), 0)


class Scheduling:
    """A scheduler with some endpoints.

    :param clock: the virtual clock.
    :param accelerator: what each endpoint can hold.
    :param holding: the models that each endpoint holds.
    """

    def __init__(self, clock, accelerator, holding):
        self.clock = clock
        self.accelerator = accelerator
        self.running_requests = RunningRequests()
        #: Rate limits that endpoints report, requests per second.
        self.limit_by_id = {}
        #: Backoffs that endpoints asked the lease holder for.
        self.backoff_by_id = {}
        self.job_executor = types.SimpleNamespace(
            of_service=lambda _: list(self.states),
            update_endpoints=lambda _: None,
            start_work=lambda: None,
        )
        self.states = [
            state_of(f"i-{number}", accelerator, models)
            for number, models in enumerate(holding)
        ]
        parts = {
            running_requests.RunningRequests: self.running_requests,
            job_execution.JobExecutor: self.job_executor,
            order_sender.OrderSender: types.SimpleNamespace(may_load=lambda *_: True),
            residency.Residency: types.SimpleNamespace(on_waiting=[]),
            heartbeat.Heartbeats: types.SimpleNamespace(on_received=[]),
            lease.Lease: types.SimpleNamespace(on_acquired=[], fence=1),
            declarations.Declarations: None,
            discovery.Discovery: None,
            endpoint_limits.EndpointLimits: types.SimpleNamespace(
                per_s=self.limit_by_id.get
            ),
            endpoint_notices.EndpointNotices: types.SimpleNamespace(
                backoff=lambda endpoint: self.backoff_by_id.get(endpoint.id)
            ),
        }
        kernel = gateway_builders.Kernel(parts)
        parts[prefill_speed.PrefillSpeed] = self.prefill_speed = (
            prefill_speed.PrefillSpeed(kernel)
        )
        parts[demand.Demand] = self.demand = demand.Demand(kernel)
        parts[placement_candidates.Placement] = self.placement = (
            placement_candidates.Placement(kernel)
        )
        self.scheduler = scheduler.Scheduler(kernel)
        service = declaration_types.Service(SERVICE, accelerator=accelerator)
        self.declaration = declaration_types.Declaration(1, (), {SERVICE: service})

    def send_requests(self, model, per_s, tokens, seconds):
        """Send requests at a steady rate, with a scheduling pass per heartbeat."""
        for _ in range(round(seconds / heartbeat.INTERVAL_S)):
            self.clock.now += heartbeat.INTERVAL_S
            count = per_s * heartbeat.INTERVAL_S
            arrived = ((SERVICE, model, "", count, round(count * tokens)),)
            message = heartbeat.Heartbeat(1, 1, 0, arrived=arrived)
            self.demand._on_heartbeat("vm-1", message)
            self.scheduler._schedule(self.declaration)

    def endpoints_holding(self, model):
        """Return how many endpoints hold a model or will hold it."""
        return len(self.placement.endpoints_holding(target(model)))


def target(model):
    """Return the target of requests for a model."""
    return caller_request.Target(SERVICE, model)


def state_of(name, accelerator, models):
    """Return the state of an endpoint with some models loaded and all on its disk."""
    endpoint = gateway_builders.endpoint(name, SERVICE, models=models)
    on_disk = frozenset(accelerator.model_by_name)
    endpoint.entry = attrs.evolve(endpoint.entry, on_disk=on_disk)
    state = endpoint_state.EndpointState(endpoint, accelerator)
    state.accepted_orders = 0
    state.adapters_by_model = {model: set() for model in models}
    return state


def accelerator_for(names, batch_slots):
    """Return endpoints with memory for two large models that may hold given models.

    :param names: the models' names.
    :param batch_slots: batch slots of an endpoint.
    """
    models = {
        name: declaration_types.Model(name, 34_300.0, 0, 0.0, 4.0, 1.0, 0.8)
        for name in names
    }
    return declaration_types.Accelerator(83_000.0, 8, batch_slots, 133_000, 2.2, models)
