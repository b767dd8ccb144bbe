"""Late orders: orders without a response, which an endpoint may still execute.

An endpoint executes a late order only while it has accepted as many orders as the order
names. Within one incarnation that makes late orders harmless (see :mod:`order_sender`).
But an endpoint that restarts under its name counts from zero again, so an old order may
match the count once more, and another old order that names the next count may follow
it. So each VM remembers the orders without a response, and the lease holder sends no
order after which such a sequence would not fit in memory.
"""

import time

import attrs

from mothworks import kernel, messages, peers
from mothworks_gateway import adapters, endpoint_state, registry

#: Time for which an order without a response may still be executed, seconds: five times
#: the longest delay that operators of endpoints report (12 s).
MAX_ORDER_DELAY_S = 60.0


@messages.message(119)
@attrs.frozen
class UnansweredOrder:
    """An order that got no response; sent to all VMs.

    :param endpoint: the endpoint's name, which its incarnations share.
    :param expected_orders: number of orders that the endpoint must have accepted to
        execute it.
    :param load: whether it loads; otherwise it unloads.
    :param model: the model.
    :param adapter: its adapter, or empty.
    """

    endpoint: str
    expected_orders: int
    load: bool
    model: str
    adapter: str

    def changes(self, holdings: dict[str, set[str]]) -> bool:
        """Return whether the order would change what an endpoint holds.

        :param holdings: what the endpoint holds, adapters by model.
        """
        has_model = self.model in holdings
        if self.adapter:
            has_adapter = has_model and self.adapter in holdings[self.model]
            return has_adapter != self.load and has_model
        return has_model != self.load


def from_order(endpoint: registry.Endpoint, order: adapters.Order) -> UnansweredOrder:
    """Return the message for an order that got no response.

    :param endpoint: the endpoint that it was sent to.
    :param order: the order.
    """
    return UnansweredOrder(
        endpoint.entry.name,
        order.expected_orders,
        order.load,
        order.model,
        order.adapter,
    )


def all_fit(
    late: list[UnansweredOrder],
    state: endpoint_state.EndpointState,
    holdings: dict[str, set[str]],
    accepted_orders: int,
) -> bool:
    """Return whether late orders fit in memory, in each sequence that may happen.

    :param late: the late orders.
    :param state: the endpoint's state.
    :param holdings: what the endpoint holds; see
        :meth:`endpoint_state.EndpointState.in_memory`.
    :param accepted_orders: number of orders that it has accepted.
    """
    for order in late:
        if order.expected_orders != accepted_orders or not order.changes(holdings):
            continue
        if order.load and not state.fits(order.model, order.adapter, holdings):
            return False
        after = endpoint_state.holdings_after(
            holdings, order.load, order.model, order.adapter
        )
        if not all_fit(late, state, after, accepted_orders + 1):
            return False
    return True


class LateOrders(kernel.Part):
    """Remembers the orders without a response, by endpoint.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        #: Monotonic time until which each order may still be executed.
        self.expiry_by_order: dict[UnansweredOrder, float] = {}
        self.peers.handle(
            UnansweredOrder, lambda _, unanswered, __: self._remember(unanswered)
        )

    def record(self, endpoint: registry.Endpoint, order: adapters.Order) -> None:
        """Record an order that got no response, on this VM and all others.

        An endpoint that does not report its start time gets a new name with each start,
        so late orders do not reach its next incarnation.

        :param endpoint: the endpoint that it was sent to.
        :param order: the order.
        """
        if endpoint.entry.started_ms:
            unanswered = from_order(endpoint, order)
            self._remember(unanswered)
            self.peers.send_to_region(unanswered)

    def pending(self, endpoint: registry.Endpoint) -> list[UnansweredOrder]:
        """Return the late orders that an endpoint may still execute.

        :param endpoint: the endpoint, in any incarnation.
        """
        now = time.monotonic()
        return [
            order
            for order, expires_at in self.expiry_by_order.items()
            if expires_at > now and order.endpoint == endpoint.entry.name
        ]

    def _remember(self, unanswered: UnansweredOrder) -> None:
        now = time.monotonic()
        expired = [key for key, at in self.expiry_by_order.items() if at < now]
        for order in expired:
            del self.expiry_by_order[order]
        self.expiry_by_order[unanswered] = now + MAX_ORDER_DELAY_S
