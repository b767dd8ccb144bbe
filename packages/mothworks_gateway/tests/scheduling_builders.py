"""Builders of a scheduler with sites, without network, in virtual time."""

import types

import attrs

import gateway_builders
from mothworks_gateway import (
    asked,
    declarations,
    declared,
    demand,
    discovery,
    endpoint_limits,
    heartbeat,
    lease,
    load,
    offers,
    ordering,
    reading,
    residency,
    scheduler,
    site_orders,
    sites,
)

SERVICE = "s"


class Clock:
    """Stands for the clock of the modules under test."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        for module in (demand, scheduler, sites):
            monkeypatch.setattr(module, "time", self)

    def monotonic(self):
        return self.now


class Load:
    """Stands for the load: nothing runs, beside what a test says."""

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
    """A scheduler before some sites.

    :param clock: the virtual clock.
    :param accelerator: what each site can hold.
    :param holding: the models that each site holds.
    """

    def __init__(self, clock, accelerator, holding):
        self.clock = clock
        self.accelerator = accelerator
        self.load = Load()
        #: Requests a second that endpoints name as their most.
        self.limit_by_id = {}
        self.ordering = types.SimpleNamespace(
            of_service=lambda _: list(self.sites),
            follow=lambda _: None,
            start_work=lambda: None,
        )
        self.sites = [
            state_of(f"i-{number}", accelerator, models)
            for number, models in enumerate(holding)
        ]
        parts = {
            load.Load: self.load,
            ordering.Ordering: self.ordering,
            site_orders.SiteOrders: types.SimpleNamespace(may_load=lambda *_: True),
            residency.Residency: types.SimpleNamespace(on_wanted=[]),
            heartbeat.Heartbeats: types.SimpleNamespace(on_received=[]),
            lease.Lease: types.SimpleNamespace(on_gained=[], fence=1),
            declarations.Declarations: None,
            discovery.Discovery: None,
            endpoint_limits.EndpointLimits: types.SimpleNamespace(
                per_s=self.limit_by_id.get
            ),
        }
        kernel = gateway_builders.Kernel(parts)
        parts[reading.Reading] = self.reading = reading.Reading(kernel)
        parts[demand.Demand] = self.demand = demand.Demand(kernel)
        parts[offers.Offers] = self.offers = offers.Offers(kernel)
        self.scheduler = scheduler.Scheduler(kernel)
        service = declared.Service(SERVICE, accelerator=accelerator)
        self.declaration = declared.Declaration(1, (), {SERVICE: service})

    def ask(self, model, per_s, tokens, seconds):
        """Let requests arrive at a steady rate, and the scheduler look."""
        for _ in range(round(seconds / heartbeat.HEARTBEAT_S)):
            self.clock.now += heartbeat.HEARTBEAT_S
            count = per_s * heartbeat.HEARTBEAT_S
            arrived = ((SERVICE, model, "", count, round(count * tokens)),)
            told = heartbeat.Heartbeat(1, 1, 0, arrived=arrived)
            self.demand._on_heartbeat("vm-1", told)
            self.scheduler._schedule(self.declaration)

    def holders(self, model):
        """Return how many sites hold a model, or load it now."""
        return len(self.offers.holders(target(model)))


def target(model):
    """Return what a request for a model asks for."""
    return asked.Target(SERVICE, model)


def state_of(name, accelerator, models):
    """Return a site whose endpoint holds some models, with all on its disk."""
    endpoint = gateway_builders.endpoint(name, SERVICE, models=models)
    on_disk = frozenset(accelerator.model_by_name)
    endpoint.entry = attrs.evolve(endpoint.entry, on_disk=on_disk)
    made = sites.EndpointState(endpoint, accelerator)
    made.accepted = 0
    made.adapters_by_model = {model: set() for model in models}
    return made


def accelerator_for(names, batch):
    """Return endpoints with memory for two large models, and these models.

    :param names: of the models.
    :param batch: requests that run at a time.
    """
    models = {
        name: declared.Model(name, 34_300.0, 0, 0.0, 4.0, 1.0, 0.8) for name in names
    }
    return declared.Accelerator(83_000.0, 8, batch, 133_000, 2.2, models)
