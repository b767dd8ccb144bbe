"""Order sender: sends an order to an endpoint until it is executed.

An order names the number of orders that the endpoint has accepted so far, and the
endpoint accepts it only if that number still holds. Of two orders with the same number,
at most one is ever executed. So an order without a response is simply followed by the
next one, and memory is never overcommitted: each order in flight fits beside what the
endpoint holds at its number.

An endpoint that restarts under its name counts from zero again, and may execute an
order that was sent to its previous incarnation. Such a late order takes effect only at
the number that it names. So no order is sent after which late orders, one or several in
a row, would not fit in memory, neither beside what the endpoint then holds nor after an
empty start of its next incarnation. No order is sent to an endpoint that may have
restarted unnoticed.
"""

import secrets
import time

import gevent
import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import (
    adapters,
    boot_clock,
    discovery,
    endpoint_notices,
    endpoint_state,
    endpoints_client,
    heartbeat,
    late_orders,
    lease,
    residency,
    settings,
    sliding_windows,
    spending_record,
    unload_time,
)

log = logbook.Logger("orders")

#: Time to load an adapter after the order is accepted, seconds: 5 to 10 ms are typical.
ADAPTER_LOAD_S = 0.012
#: Delay before an order that met a conflict is retried, seconds: the first delay, the
#: maximum, and the factor by which it grows.
CONFLICT_RETRY_S = 0.03
MAX_CONFLICT_RETRY_S = 0.25
CONFLICT_RETRY_FACTOR = 1.7
#: Time between two checks whether the weight store allows a load, seconds.
STORE_RETRY_S = 0.1
#: The weight store in records of what VMs spent, and the length of a record's slot,
#: seconds.
STORE = "store"
LOAD_SLOT_S = 0.1
#: Time of conflicts after which the endpoint's inventory is requested, seconds.
CONFLICT_INVENTORY_S = 1.0
#: Time between inventory requests to an endpoint that is executing an order, seconds.
INVENTORY_INTERVAL_S = 0.5
#: Time past a load's usual duration after which the endpoint's inventory is requested,
#: and between two such requests, seconds. The registry usually reports the load sooner,
#: unless it is unavailable.
LOAD_OVERDUE_S = 0.15
OVERDUE_INVENTORY_INTERVAL_S = 0.25
#: What an order takes that loads no model.
NO_LOAD = endpoint_state.ExpectedLoad(0.0, uses_store=False)
#: Maximum time for one job, seconds. A job that takes longer is dropped, and the
#: scheduler decides anew.
JOB_TIMEOUT_S = 20.0


class OrderSender(kernel.Part):
    """Sends orders to endpoints while this VM holds the lease.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.notices = node_kernel.get(endpoint_notices.EndpointNotices)
        self.lease = node_kernel.get(lease.Lease)
        self.late_orders = node_kernel.get(late_orders.LateOrders)
        self.residency = node_kernel.get(residency.Residency)
        self.unload_time = unload_time.UnloadTime()
        window_s = self.bounds.load_window_s
        self.store_loads = sliding_windows.WindowedCount(window_s)
        #: Loads from the weight store of all holders, each process by its own name: the
        #: next holder has to count those of the one before.
        self.load_record = spending_record.SpendingRecord(window_s, LOAD_SLOT_S)
        self.spender = f"{self.name} {secrets.token_hex(4)}"
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(self._heartbeat_fields)
        heartbeats.on_received.append(self._on_heartbeat)
        #: Number of orders in flight that may use the weight store.
        self.store_loads_in_flight = 0
        self.published = 0
        self.orders_total = node_kernel.metrics.counter(
            "orders_total", "Orders to endpoints, by kind and outcome."
        )

    @property
    def bounds(self) -> settings.Bounds:
        """Return the deployment's bounds in force."""
        return self.kernel.settings.bounds

    def may_load(
        self,
        state: endpoint_state.EndpointState,
        model: str,
        share: float = 1.0,
    ) -> bool:
        """Return whether the weight store's load rate allows one more load.

        :param state: the endpoint's state.
        :param model: the model to load.
        :param share: the share of the rate that such loads may use.
        """
        expected = state.expected_load(model)
        if expected is None or not expected.uses_store:
            return True
        per_s = state.accelerator.store_loads_per_s * self.bounds.load_factor
        max_loads = max(1, int(per_s * self.bounds.load_window_s * share))
        of_others = self.load_record.count(STORE, boot_clock.now(), self.spender)
        begun = self.store_loads.count() + self.store_loads_in_flight + of_others
        return begun < max_loads

    def refresh(self, state: endpoint_state.EndpointState) -> None:
        """Request an endpoint's inventory and apply it to its state.

        :param state: the endpoint's state.
        """
        inventory = self._inventory(state)
        if inventory is None:
            state.accepted_orders = None
            return
        if inventory.leaving:
            self.notices.record_leaving(state.endpoint, source="its report")
        state.apply_inventory(inventory)
        if state.known and state.adapters_by_model != state.endpoint.adapters_by_model:
            # If both agree, all VMs know the holdings from the registry already.
            self.publish(state)

    def _inventory(
        self, state: endpoint_state.EndpointState
    ) -> adapters.Inventory | None:
        """Return an endpoint's inventory; None if this incarnation reports none."""
        entry_started_ms = state.endpoint.entry.started_ms
        match self.protocol.inventory(state.endpoint):
            case result.Ok(inventory) if not (
                entry_started_ms and inventory.started_ms
            ):
                # Without both start times, the incarnations cannot be compared.
                return inventory
            case result.Ok(inventory) if inventory.started_ms == entry_started_ms:
                return inventory
            case result.Ok(inventory):
                self.registry.record_restart(state.endpoint, inventory.started_ms)
                reason = "another incarnation answers"
            case result.Err(reason):
                pass
        logs.event(log, "no report", endpoint=state.endpoint.id, reason=reason[:120])
        return None

    def order(
        self, state: endpoint_state.EndpointState, loads: bool, model: str, adapter: str
    ) -> bool:
        """Send an order until it is executed; returns whether it is.

        :param state: the endpoint's state.
        :param loads: whether to load; otherwise unload.
        :param model: the model.
        :param adapter: its adapter; empty for the model itself.
        """
        deadline = time.monotonic() + JOB_TIMEOUT_S
        inventory_at = time.monotonic() + CONFLICT_INVENTORY_S
        retry_delay_s = CONFLICT_RETRY_S
        refused = unanswered = False
        self._wait_for_unload(state)
        while time.monotonic() < deadline and self.lease.held() and state.available:
            if not state.known:
                self.refresh(state)
                inventory_at = time.monotonic() + CONFLICT_INVENTORY_S
                if not state.known:
                    gevent.sleep(INVENTORY_INTERVAL_S)
                    continue
            if self._holds(state, model, adapter) == loads:
                return True
            if loads and not adapter and not self.may_load(state, model):
                # More loads were decided than the store allows at once.
                gevent.sleep(STORE_RETRY_S)
                continue
            order = adapters.Order(
                loads,
                model,
                adapter,
                state.accepted_orders,
                self.name,
                self.lease.fence,
            )
            match self.attempt(state, order):
                case None:
                    return False
                case adapters.OrderOutcome.ACCEPTED | adapters.OrderOutcome.DONE:
                    self._update_unload_time(state, refused)
                    if not (order.load or order.adapter):
                        state.unload_accepted_at = time.monotonic()
                    self._wait_until_executed(state, order)
                    return self._holds(state, model, adapter) == loads
                case adapters.OrderOutcome.CONFLICT:
                    # Most often the endpoint is still executing the previous order.
                    refused = True
                    gevent.sleep(retry_delay_s)
                    retry_delay_s = min(
                        MAX_CONFLICT_RETRY_S, retry_delay_s * CONFLICT_RETRY_FACTOR
                    )
                    if unanswered or time.monotonic() > inventory_at:
                        state.accepted_orders = None
                        unanswered = False
                case adapters.OrderOutcome.UNKNOWN:
                    # The next copy names the same number of accepted orders, so at most
                    # one of them is accepted.
                    unanswered = True
                    gevent.sleep(CONFLICT_RETRY_S)
                case adapters.OrderOutcome.MISDIRECTED:
                    # Its inventory came from the endpoint that now has its address, and
                    # looked like an endpoint with all of its memory free.
                    self.registry.exclude(
                        state.endpoint, "another endpoint has its address"
                    )
                    return False
                case _:
                    state.pause()
                    return False
        return False

    def _wait_for_unload(self, state: endpoint_state.EndpointState) -> None:
        """Wait until an endpoint has probably finished its last unload."""
        if state.unload_accepted_at is not None:
            done_at = state.unload_accepted_at + self.unload_time.expected_s
            gevent.sleep(max(0.0, done_at - time.monotonic()))

    def _update_unload_time(
        self, state: endpoint_state.EndpointState, refused: bool
    ) -> None:
        """Update the expected unload time from the first order after an unload."""
        if state.unload_accepted_at is None:
            return
        if refused:
            self.unload_time.accepted_after(time.monotonic() - state.unload_accepted_at)
        else:
            self.unload_time.accepted_at_once()
        state.unload_accepted_at = None

    def _holds(
        self, state: endpoint_state.EndpointState, model: str, adapter: str
    ) -> bool:
        held_adapters = state.adapters_by_model.get(model)
        return held_adapters is not None and (not adapter or adapter in held_adapters)

    def attempt(
        self, state: endpoint_state.EndpointState, order: adapters.Order
    ) -> adapters.OrderOutcome | None:
        """Send an order once and apply its effect to the endpoint's state.

        :param state: the endpoint's state.
        :param order: the order.
        :returns: the endpoint's response; None if the order was not safe to send.
        """
        if not self._is_safe(state, order):
            return None
        if not order.load:
            # Published before the order is sent, so that no VM sends a request that the
            # endpoint would reject.
            self.publish(state, without=order)
        expected = NO_LOAD
        if order.load and not order.adapter:
            expected = state.expected_load(order.model) or NO_LOAD
        outcome = self._send(state, order, expected)
        kind = "load" if order.load else "unload"
        self.orders_total.inc({"order": kind, "outcome": outcome.value})
        logs.event(
            log,
            "order",
            endpoint=state.endpoint.id,
            order=kind,
            model=order.model,
            adapter=order.adapter,
            accepted=order.expected_orders,
            fence=order.fence,
            outcome=outcome.value,
        )
        self._count_store_load(expected, outcome)
        state.apply_outcome(order, outcome, expected.seconds)
        match outcome:
            case adapters.OrderOutcome.FENCED:
                self.lease.fence_rejected(order.fence)
            case adapters.OrderOutcome.UNKNOWN:
                self.late_orders.record(state.endpoint, order)
        return outcome

    def _send(
        self,
        state: endpoint_state.EndpointState,
        order: adapters.Order,
        expected: endpoint_state.ExpectedLoad,
    ) -> adapters.OrderOutcome:
        """Send an order once; a load counts towards the store's rate meanwhile."""
        self.store_loads_in_flight += expected.uses_store
        try:
            return self.protocol.order(state.endpoint, order, self.lease.held)
        finally:
            self.store_loads_in_flight -= expected.uses_store

    def _is_safe(
        self, state: endpoint_state.EndpointState, order: adapters.Order
    ) -> bool:
        """Return whether an order fits, and any late orders after it."""
        late = self.late_orders.pending(state.endpoint)
        if late and self._inventory(state) is None:
            # It may have restarted, and late orders may have brought it to the number
            # that this order names, with other models.
            state.accepted_orders = None
            return False
        # Checked after the request for the inventory: a declaration that came into
        # force meanwhile may lack the model.
        if order.load and not state.fits(order.model, order.adapter, state.in_memory()):
            return False
        if not late:
            return True
        holdings = state.after(order)
        if not late_orders.all_fit(late, state, holdings, order.expected_orders + 1):
            return False
        # This order may be late, too, and meet its number in the next incarnation,
        # which starts empty.
        in_flight = [*late, late_orders.from_order(state.endpoint, order)]
        return late_orders.all_fit(in_flight, state, {}, 0)

    def _count_store_load(
        self, expected: endpoint_state.ExpectedLoad, outcome: adapters.OrderOutcome
    ) -> None:
        """Count a load that uses, or may use, the weight store."""
        maybe_started = (adapters.OrderOutcome.ACCEPTED, adapters.OrderOutcome.UNKNOWN)
        if outcome in maybe_started and expected.uses_store:
            self.store_loads.add()
            self.load_record.add(self.spender, STORE, boot_clock.now())

    def _heartbeat_fields(self) -> dict:
        return {"store_loads": self.load_record.rows(boot_clock.now())}

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        if vm != self.name and not received.relayed:
            self.load_record.merge(received.store_loads, boot_clock.now())

    def _wait_until_executed(
        self, state: endpoint_state.EndpointState, order: adapters.Order
    ) -> None:
        """Wait until an accepted order has been executed."""
        if order.adapter or not order.load:
            # The state includes its effect already, and requests may be sent
            # accordingly.
            gevent.sleep(ADAPTER_LOAD_S if order.load else 0)
            self.publish(state)
            return
        if not state.loading:
            # The endpoint held the model already.
            return
        self.publish(state)
        overdue_at = state.ready_at + LOAD_OVERDUE_S
        while state.loading and self.lease.held() and state.endpoint.available:
            if order.model in (state.endpoint.entry.adapters_by_model or {}):
                state.finish(order)
                self.publish(state)
                return
            state.woken.clear()
            state.woken.wait(
                max(0.02, min(INVENTORY_INTERVAL_S, overdue_at - time.monotonic()))
            )
            if time.monotonic() > overdue_at:
                self.refresh(state)
                overdue_at = time.monotonic() + OVERDUE_INVENTORY_INTERVAL_S
                if state.known:
                    return
        # The result of the load was not observed.
        state.accepted_orders = None

    def publish(
        self, state: endpoint_state.EndpointState, without: adapters.Order | None = None
    ) -> None:
        """Publish to all VMs what an endpoint holds, so that they send requests there.

        :param state: the endpoint's state.
        :param without: an unload that is about to be ordered.
        """
        holdings = {
            name: sorted(held_adapters)
            for name, held_adapters in state.adapters_by_model.items()
            if name != state.draining_model
        }
        if without is not None and not without.adapter:
            holdings.pop(without.model, None)
        elif without is not None and without.adapter in holdings.get(without.model, ()):
            holdings[without.model].remove(without.adapter)
        self.published += 1
        message = residency.EndpointHoldings(
            self.lease.fence,
            self.published,
            state.endpoint.id,
            holdings,
            state.ready_s_by_model(),
        )
        # Few requests reach an adapter that is being unloaded, and the endpoint does
        # not run them. For a model, all VMs must know of the unload before its order is
        # sent.
        unloads_model = without is not None and not without.adapter
        self.residency.publish(message, at_once=unloads_model)
