"""Site orders: one order to one endpoint, sent until it is carried out.

An order names the number of orders that the endpoint has accepted so far, and
the endpoint takes it only if that is still so. Of two orders that name the same
number, at most one is ever carried out; so an order whose answer was lost is
simply followed by the next, and memory is never overcommitted: whatever is in
flight fits beside what the endpoint holds at that number.

An endpoint that starts again under its name counts anew, and an order of its
former incarnation may be carried out in the next one. It then takes effect only
at the number that it names. So no order is sent after which such late orders, one
or several in a row, would find no room: neither from what the endpoint then holds,
nor from the empty start of its next incarnation. And none is sent to an endpoint
that may have started again unnoticed.
"""

import time

import gevent
import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import (
    adapters,
    declared,
    discovery,
    endpoints_client,
    late_orders,
    lease,
    residency,
    sites,
    unload_time,
    windows,
)

log = logbook.Logger("orders")

#: Time that an adapter takes to load, from the order's acceptance, seconds:
#: 5 to 10 ms are usual.
ADAPTER_S = 0.012
#: Pause before an order that met a conflict is tried again, seconds: the first,
#: the longest, and how it grows.
CONFLICT_S = 0.03
MOST_CONFLICT_S = 0.25
CONFLICT_GROWTH = 1.7
#: Time of conflicts after which the endpoint is asked what it holds, seconds.
SUSPECT_S = 1.0
#: Pause between looks at an endpoint that carries out an order, seconds.
LOOK_S = 0.5
#: Time beyond a load's usual duration before the endpoint is asked, and between
#: two such looks, seconds: the registry tells sooner, unless it is away.
LATE_S = 0.15
LATE_LOOK_S = 0.25
#: Longest time for one job, seconds; a job that takes longer is dropped and
#: decided anew.
JOB_S = 20.0


class SiteOrders(kernel.Part):
    """Sends orders while this VM holds the lease.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.bounds = node_kernel.settings.bounds
        self.name = node_kernel.settings.name
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.lease = node_kernel.get(lease.Lease)
        self.late_orders = node_kernel.get(late_orders.LateOrders)
        self.residency = node_kernel.get(residency.Residency)
        self.unload_time = unload_time.UnloadTime()
        self.store_loads = windows.Window(self.bounds.load_window_s)
        self.published = 0
        self.orders_total = node_kernel.metrics.counter(
            "orders_total", "Orders to endpoints, by kind and outcome."
        )

    def may_load(
        self, state: sites.EndpointState, model: declared.Model, share: float = 1.0
    ) -> bool:
        """Return whether the weight store's rate allows one more load.

        :param state: where to.
        :param model: what is loaded.
        :param share: the part of the rate that such loads may take.
        """
        if state.load_s(model) < model.store_s:
            return True
        per_s = state.accelerator.store_loads_per_s * self.bounds.load_factor
        most = max(1, int(per_s * self.bounds.load_window_s * share))
        return self.store_loads.count() < most

    def look(self, state: sites.EndpointState) -> None:
        """Ask an endpoint what it holds and how many orders it accepted.

        :param state: the endpoint's site, which takes the answer.
        """
        seen = self._inventory(state)
        if seen is None:
            state.accepted = None
            return
        state.take(seen)
        if state.known and state.adapters_by_model != state.endpoint.adapters_by_model:
            # What agrees with the registry, all VMs know from there.
            self.publish(state)

    def _inventory(self, state: sites.EndpointState) -> adapters.Inventory | None:
        """Return an endpoint's report; None where this incarnation gives none."""
        known_born = state.endpoint.entry.born
        match self.protocol.inventory(state.endpoint):
            case result.Ok(seen) if not (known_born and seen.born):
                # One of the two does not tell, so they cannot differ.
                return seen
            case result.Ok(seen) if seen.born == known_born:
                return seen
            case result.Ok(seen):
                self.registry.restarted(state.endpoint, seen.born)
                reason = "another incarnation answers"
            case result.Err(reason):
                pass
        logs.event(log, "no report", endpoint=state.endpoint.id, reason=reason[:120])
        return None

    def order(
        self, state: sites.EndpointState, loads: bool, model: str, adapter: str
    ) -> bool:
        """Order something until it is carried out; returns whether it is.

        :param state: where to.
        :param loads: whether it is to be loaded, or else dropped.
        :param model: the model.
        :param adapter: its adapter; empty for the model itself.
        """
        until = time.monotonic() + JOB_S
        look_at = time.monotonic() + SUSPECT_S
        pause = CONFLICT_S
        refused = unanswered = False
        self._let_unload_end(state)
        while time.monotonic() < until and self.lease.held() and state.open:
            if not state.known:
                self.look(state)
                look_at = time.monotonic() + SUSPECT_S
                if not state.known:
                    gevent.sleep(LOOK_S)
                    continue
            if self._holds(state, model, adapter) == loads:
                return True
            order = adapters.Order(
                loads, model, adapter, state.accepted, self.name, self.lease.fence
            )
            match self.attempt(state, order):
                case None:
                    return False
                case adapters.OrderOutcome.ACCEPTED | adapters.OrderOutcome.DONE:
                    self._learn_unload_time(state, refused)
                    if not (order.load or order.adapter):
                        state.unloaded_at = time.monotonic()
                    self._await(state, order)
                    return self._holds(state, model, adapter) == loads
                case adapters.OrderOutcome.CONFLICT:
                    # Most often the order before is still being carried out.
                    refused = True
                    gevent.sleep(pause)
                    pause = min(MOST_CONFLICT_S, pause * CONFLICT_GROWTH)
                    if unanswered or time.monotonic() > look_at:
                        state.accepted = None
                        unanswered = False
                case adapters.OrderOutcome.UNKNOWN:
                    # The next copy names the same number of accepted orders:
                    # only one of them can be taken.
                    unanswered = True
                    gevent.sleep(CONFLICT_S)
                case adapters.OrderOutcome.MISDIRECTED:
                    # Its report came from the endpoint that has its address
                    # now, and looked like one with all of its memory free.
                    self.registry.dismiss(state.endpoint, "its address is another's")
                    return False
                case _:
                    state.pause()
                    return False
        return False

    def _let_unload_end(self, state: sites.EndpointState) -> None:
        """Wait until an endpoint has probably carried out its last unload."""
        if state.unloaded_at is not None:
            ends_at = state.unloaded_at + self.unload_time.expected_s
            gevent.sleep(max(0.0, ends_at - time.monotonic()))

    def _learn_unload_time(self, state: sites.EndpointState, refused: bool) -> None:
        """Learn from the first order that an endpoint took after an unload."""
        if state.unloaded_at is None:
            return
        if refused:
            self.unload_time.refused_until(time.monotonic() - state.unloaded_at)
        else:
            self.unload_time.taken_at_once()
        state.unloaded_at = None

    def _holds(self, state: sites.EndpointState, model: str, adapter: str) -> bool:
        held = state.adapters_by_model.get(model)
        return held is not None and (not adapter or adapter in held)

    def attempt(
        self, state: sites.EndpointState, order: adapters.Order
    ) -> adapters.OrderOutcome | None:
        """Send an order once and take its effect into account.

        :param state: where to.
        :param order: the order.
        :returns: the endpoint's answer; None where sending it was not safe.
        """
        if not self._safe(state, order):
            return None
        if not order.load:
            # Told before the order leaves, so that no VM sends a request that
            # the endpoint would turn away.
            self.publish(state, without=order)
        outcome = self.protocol.order(state.endpoint, order, self.lease.held)
        kind = "load" if order.load else "unload"
        self.orders_total.inc({"order": kind, "outcome": outcome.value})
        logs.event(
            log,
            "order",
            endpoint=state.endpoint.id,
            order=kind,
            model=order.model,
            adapter=order.adapter,
            accepted=order.accepted,
            fence=order.fence,
            outcome=outcome.value,
        )
        self._count_store_load(state, order, outcome)
        state.note(order, outcome)
        match outcome:
            case adapters.OrderOutcome.FENCED:
                self.lease.refused(order.fence)
            case adapters.OrderOutcome.UNKNOWN:
                self.late_orders.note(state.endpoint, order)
        return outcome

    def _safe(self, state: sites.EndpointState, order: adapters.Order) -> bool:
        """Return whether there is room for an order, and for late ones after it."""
        if order.load and not state.fits(order.model, order.adapter, state.taking()):
            return False
        late = self.late_orders.of(state.endpoint)
        if not late:
            return True
        if self._inventory(state) is None:
            # It may have started again, and late orders may have brought it to
            # the number that this order names, with other models.
            state.accepted = None
            return False
        after = state.after(order)
        if not late_orders.fit(late, state, after, order.accepted + 1):
            return False
        # This one may be late, too, and meet its number in a next incarnation,
        # which starts empty.
        in_flight = [*late, late_orders.of_order(state.endpoint, order)]
        return late_orders.fit(in_flight, state, {}, 0)

    def _count_store_load(
        self,
        state: sites.EndpointState,
        order: adapters.Order,
        outcome: adapters.OrderOutcome,
    ) -> None:
        """Count a load that the weight store serves, or may serve."""
        begun = (adapters.OrderOutcome.ACCEPTED, adapters.OrderOutcome.UNKNOWN)
        if order.load and not order.adapter and outcome in begun:
            model = state.accelerator.model_by_name[order.model]
            if state.load_s(model) >= model.store_s:
                self.store_loads.add()

    def _await(self, state: sites.EndpointState, order: adapters.Order) -> None:
        """Wait until an order that was taken has been carried out."""
        if order.adapter or not order.load:
            # It is in the books already, and requests may be sent by them.
            gevent.sleep(ADAPTER_S if order.load else 0)
            self.publish(state)
            return
        if not state.loading:
            # It held the model already.
            return
        model = state.accelerator.model_by_name[order.model]
        state.ready_at = time.monotonic() + state.load_s(model)
        self.publish(state)
        late_at = state.ready_at + LATE_S
        while state.loading and self.lease.held() and state.endpoint.open:
            if order.model in (state.endpoint.entry.adapters_by_model or {}):
                state.finish(order)
                self.publish(state)
                return
            state.woken.clear()
            state.woken.wait(max(0.02, min(LOOK_S, late_at - time.monotonic())))
            if time.monotonic() > late_at:
                self.look(state)
                late_at = time.monotonic() + LATE_LOOK_S
                if state.known:
                    return
        # How the load ended was not seen.
        state.accepted = None

    def publish(
        self, state: sites.EndpointState, without: adapters.Order | None = None
    ) -> None:
        """Tell all VMs what an endpoint holds, for requests to be sent there.

        :param state: the endpoint's site.
        :param without: an unload that is about to be ordered.
        """
        held = {
            name: sorted(held)
            for name, held in state.adapters_by_model.items()
            if name != state.leaving
        }
        if without is not None and not without.adapter:
            held.pop(without.model, None)
        elif without is not None and without.adapter in held.get(without.model, ()):
            held[without.model].remove(without.adapter)
        self.published += 1
        told = residency.Holds(
            self.lease.fence,
            self.published,
            state.endpoint.id,
            held,
            state.coming_s(),
        )
        # Requests that meet an unused adapter's unload are few, and not run there; a
        # model that goes must be known to go before its order leaves.
        unloads_model = without is not None and not without.adapter
        self.residency.publish(told, at_once=unloads_model)
