"""A model endpoint as the platform describes it, without network or time.

It counts the orders that it accepts, carries out one at a time, holds nothing
after a start, and crashes where it is made to hold more than it has room for.
"""

import types

import attrs
import result

import gateway_builders
from mothworks import peers
from mothworks_gateway import (
    adapters,
    declared,
    discovery,
    endpoints_client,
    late_orders,
    lease,
    residency,
    site_orders,
)

MEMORY_MB = 83.0
PLACES = 2
ADAPTER_MB = 0.04


def accelerator(memory_mb=MEMORY_MB, **size_by_model):
    """Return what such an endpoint is declared to hold."""
    models = {
        name: declared.Model(name, size, 8, ADAPTER_MB, 0.05, 0.03, 0.02)
        for name, size in size_by_model.items()
    }
    return declared.Accelerator(memory_mb, PLACES, 96, 100_000, 5.0, models)


class ModelledEndpoint:
    """Takes orders; see :class:`adapters.EndpointProtocol`.

    :param declared_as: what it can hold.
    """

    def __init__(self, declared_as):
        self.declared_as = declared_as
        self.crashes = 0
        self.born = 0
        #: What the next orders get for an answer, beside the usual.
        self.faults = []
        #: Orders without an answer, which may be carried out later.
        self.late = []
        self.start()

    def start(self, holding=()):
        """Start, holding some models."""
        self.accepted = 0
        self.busy = False
        self.adapters_by_model = {name: set() for name in holding}

    def restart(self):
        """Start again under the same name, empty."""
        self.born += 1
        self.start()

    def inventory(self, _):
        holdings = tuple(
            adapters.Holding(name, frozenset(held))
            for name, held in self.adapters_by_model.items()
        )
        return result.Ok(
            adapters.Inventory(self.accepted, self.busy, holdings, born=self.born)
        )

    def order(self, _, order, valid):
        if not valid():
            return adapters.OrderOutcome.UNSENT
        fault = self.faults.pop(0) if self.faults else None
        if fault == "unanswered":
            self.late.append(order)
            return adapters.OrderOutcome.UNKNOWN
        outcome = self.take(order)
        return adapters.OrderOutcome.UNKNOWN if fault == "lost" else outcome

    def take(self, order):
        """Take an order, now or late."""
        if self.busy or order.accepted != self.accepted:
            return adapters.OrderOutcome.CONFLICT
        held = self.adapters_by_model.get(order.model)
        has = held is not None and (not order.adapter or order.adapter in held)
        if has == order.load:
            return adapters.OrderOutcome.DONE
        if order.adapter and held is None:
            return adapters.OrderOutcome.REFUSED
        self.accepted += 1
        self._change(order, held)
        self.busy = not order.adapter
        if self.overfull():
            self.crashes += 1
        if order.adapter and not order.load:
            # Done at once, and counted all the same.
            return adapters.OrderOutcome.DONE
        return adapters.OrderOutcome.ACCEPTED

    def finish(self):
        """Finish the load or unload that is under way."""
        self.busy = False

    def overfull(self):
        """Return whether it holds more than it has room for."""
        models = self.declared_as.model_by_name
        held = self.adapters_by_model
        count = sum(map(len, held.values()))
        taken = sum(models[name].memory_mb for name in held) + count * ADAPTER_MB
        return taken > self.declared_as.memory_mb or count > PLACES

    def _change(self, order, held):
        match order:
            case adapters.Order(load=True, adapter=""):
                self.adapters_by_model[order.model] = set()
            case adapters.Order(load=True):
                held.add(order.adapter)
            case adapters.Order(adapter=""):
                del self.adapters_by_model[order.model]
            case _:
                held.discard(order.adapter)


@attrs.define
class Lease:
    """Stands for a lease that is held, or lapses for a while."""

    fence: int = 1
    lapsed: bool = False

    def held(self):
        return not self.lapsed

    def refused(self, _):
        self.lapsed = True


class Residency:
    """Stands for what tells the other VMs; nobody listens."""

    def publish(self, told, at_once=False):
        pass


class Peers:
    """Stands for the VMs, which all hear each other."""

    def __init__(self):
        self.hearing = []

    def handle(self, _, function):
        self.hearing.append(function)

    def send_all(self, told):
        for hear in self.hearing:
            hear("vm", told, None)


def orders_of(endpoint, view, vms, held=None):
    """Return what a holder of the lease orders with."""
    parts = {
        discovery.Discovery: types.SimpleNamespace(registry=view),
        endpoints_client.EndpointsClient: types.SimpleNamespace(protocol=endpoint),
        lease.Lease: held or Lease(),
        peers.Peers: vms,
        residency.Residency: Residency(),
    }
    kernel = gateway_builders.Kernel(parts)
    parts[late_orders.LateOrders] = late_orders.LateOrders(kernel)
    return site_orders.SiteOrders(kernel)
