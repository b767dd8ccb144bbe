"""A model of an endpoint as the platform specifies it, without network or time.

It counts the orders that it accepts, executes one at a time, holds nothing after a
start, and crashes if an order makes it hold more than fits in memory.
"""

import types

import attrs
import result

import gateway_builders
from mothworks import peers
from mothworks_gateway import (
    adapters,
    declaration_types,
    discovery,
    endpoint_notices,
    endpoints_client,
    heartbeat,
    late_orders,
    lease,
    order_sender,
    residency,
)

#: Sizes are in thousands of MB here, although the declared fields are in MB: they are
#: only compared with each other. The tests' comments give them in GB.
MEMORY_MB = 83.0
ADAPTER_SLOTS = 2
ADAPTER_MB = 0.04


def accelerator(memory_mb=MEMORY_MB, **size_by_model):
    """Return the declaration of what such an endpoint can hold."""
    models = {
        name: declaration_types.Model(name, size, 8, ADAPTER_MB, 0.05, 0.03, 0.02)
        for name, size in size_by_model.items()
    }
    return declaration_types.Accelerator(
        memory_mb, ADAPTER_SLOTS, 96, 100_000, 5.0, models
    )


class ModelledEndpoint:
    """Accepts orders; see :class:`adapters.EndpointProtocol`.

    :param declared_as: what it can hold.
    """

    def __init__(self, declared_as):
        self.declared_as = declared_as
        self.crashes = 0
        self.started_ms = 0
        self.leaving = False
        #: Faults of the next orders' responses; None for a normal response.
        self.faults = []
        #: Orders without a response, which may be executed later.
        self.late = []
        self.start()

    def start(self, holding=()):
        """Start with some models loaded."""
        self.accepted_orders = 0
        self.busy = False
        self.adapters_by_model = {name: set() for name in holding}

    def restart(self):
        """Restart empty under the same name."""
        self.started_ms += 1
        self.start()

    def inventory(self, _):
        holdings = tuple(
            adapters.Holding(name, frozenset(held_adapters))
            for name, held_adapters in self.adapters_by_model.items()
        )
        return result.Ok(
            adapters.Inventory(
                self.accepted_orders,
                self.busy,
                holdings,
                started_ms=self.started_ms,
                leaving=self.leaving,
            )
        )

    def order(self, _, order, may_send):
        if not may_send():
            return adapters.OrderOutcome.UNSENT
        fault = self.faults.pop(0) if self.faults else None
        if fault == "unanswered":
            self.late.append(order)
            return adapters.OrderOutcome.UNKNOWN
        outcome = self.receive(order)
        return adapters.OrderOutcome.UNKNOWN if fault == "lost" else outcome

    def receive(self, order):
        """Handle an order, now or late."""
        if self.busy or order.expected_orders != self.accepted_orders:
            return adapters.OrderOutcome.CONFLICT
        held_adapters = self.adapters_by_model.get(order.model)
        has = held_adapters is not None and (
            not order.adapter or order.adapter in held_adapters
        )
        if has == order.load:
            return adapters.OrderOutcome.DONE
        if order.adapter and held_adapters is None:
            return adapters.OrderOutcome.REFUSED
        self.accepted_orders += 1
        self._change(order, held_adapters)
        self.busy = not order.adapter
        if self.overfull():
            self.crashes += 1
        if order.adapter and not order.load:
            # An unload of an adapter is done at once, and counted all the same.
            return adapters.OrderOutcome.DONE
        return adapters.OrderOutcome.ACCEPTED

    def finish(self):
        """Finish the load or unload in progress."""
        self.busy = False

    def overfull(self):
        """Return whether it holds more than fits."""
        models = self.declared_as.model_by_name
        adapters_by_model = self.adapters_by_model
        adapter_count = sum(map(len, adapters_by_model.values()))
        used_mb = (
            sum(models[name].memory_mb for name in adapters_by_model)
            + adapter_count * ADAPTER_MB
        )
        return used_mb > self.declared_as.memory_mb or adapter_count > ADAPTER_SLOTS

    def _change(self, order, held_adapters):
        match order:
            case adapters.Order(load=True, adapter=""):
                self.adapters_by_model[order.model] = set()
            case adapters.Order(load=True):
                held_adapters.add(order.adapter)
            case adapters.Order(adapter=""):
                del self.adapters_by_model[order.model]
            case _:
                held_adapters.discard(order.adapter)


@attrs.define
class Lease:
    """Stub of a lease that is held, or lapses for a while."""

    fence: int = 1
    lapsed: bool = False

    def held(self):
        return not self.lapsed

    def fence_rejected(self, _):
        self.lapsed = True


class Residency:
    """Stub that discards what is published to the other VMs."""

    def publish(self, message, at_once=False):
        pass


class Peers:
    """Stub of the peers: each message reaches all handlers."""

    def __init__(self):
        self.handlers = []

    def handle(self, _, function):
        self.handlers.append(function)

    def send_to_region(self, message):
        for handler in self.handlers:
            handler("vm", message, None)


def make_order_sender(endpoint, view, vms, held_lease=None, **bounds):
    """Return the order sender of a lease holder, connected to an endpoint."""
    parts = {
        discovery.Discovery: types.SimpleNamespace(registry=view),
        endpoints_client.EndpointsClient: types.SimpleNamespace(protocol=endpoint),
        lease.Lease: held_lease or Lease(),
        peers.Peers: vms,
        heartbeat.Heartbeats: gateway_builders.Heartbeats(),
        residency.Residency: Residency(),
        endpoint_notices.EndpointNotices: types.SimpleNamespace(
            record_leaving=lambda endpoint, **_: view.record_leaving(endpoint.id)
        ),
    }
    kernel = gateway_builders.Kernel(parts, **bounds)
    parts[late_orders.LateOrders] = late_orders.LateOrders(kernel)
    return order_sender.OrderSender(kernel)
