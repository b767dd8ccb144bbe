"""Late orders: those without an answer, which an endpoint may carry out later.

An endpoint carries a late order out only while it has accepted as many orders as
the order names. Within one incarnation that makes late orders harmless (see
:mod:`site_orders`). But the count starts anew when the endpoint starts again
under its name, and an old order may meet its count once more; where another one
names the next count, that one may follow. So each VM remembers the orders that
got no answer, and whoever holds the lease sends none after which such a sequence
would find no room.
"""

import time

import attrs

from mothworks import kernel, messages, peers
from mothworks_gateway import adapters, registry, sites

#: Time for which an order without an answer may still be carried out, seconds:
#: five times the longest delay that endpoints' operators report (12 s).
LATE_S = 60.0


@messages.message(119)
@attrs.frozen
class Unanswered:
    """Tells all VMs of an order that got no answer.

    :param endpoint: the endpoint's name, which outlasts its incarnations.
    :param accepted: orders that the endpoint must have accepted to take it.
    :param load: whether it loads; otherwise it unloads.
    :param model: the model.
    :param adapter: its adapter, or empty.
    """

    endpoint: str
    accepted: int
    load: bool
    model: str
    adapter: str

    def changes(self, held: dict[str, set[str]]) -> bool:
        """Return whether an endpoint that holds something would be changed by it.

        :param held: the models that it holds, with their adapters.
        """
        has_model = self.model in held
        if self.adapter:
            has_adapter = has_model and self.adapter in held[self.model]
            return has_adapter != self.load and has_model
        return has_model != self.load


def of_order(endpoint: registry.Endpoint, order: adapters.Order) -> Unanswered:
    """Return what is told of an order that gets no answer.

    :param endpoint: where it was sent.
    :param order: the order.
    """
    return Unanswered(
        endpoint.entry.name, order.accepted, order.load, order.model, order.adapter
    )


def fit(
    late: list[Unanswered],
    state: sites.EndpointState,
    held: dict[str, set[str]],
    accepted: int,
) -> bool:
    """Return whether late orders find room, in each sequence that may happen.

    :param late: the late orders.
    :param state: the endpoint's site.
    :param held: what the endpoint holds; see :meth:`sites.EndpointState.taking`.
    :param accepted: how many orders it has accepted.
    """
    for order in late:
        if order.accepted != accepted or not order.changes(held):
            continue
        if order.load and not state.fits(order.model, order.adapter, held):
            return False
        after = sites.carried_out(held, order.load, order.model, order.adapter)
        if not fit(late, state, after, accepted + 1):
            return False
    return True


class LateOrders(kernel.Part):
    """Remembers them, by endpoint.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        #: Monotonic time until which each may be carried out.
        self.until_by_order: dict[Unanswered, float] = {}
        self.peers.handle(Unanswered, lambda _, told, __: self._remember(told))

    def note(self, endpoint: registry.Endpoint, order: adapters.Order) -> None:
        """Remember an order that got no answer, here and on all other VMs.

        An endpoint that does not tell its starts gets a new name with each, which
        a late order does not reach.

        :param endpoint: where it was sent.
        :param order: the order.
        """
        if endpoint.entry.born:
            told = of_order(endpoint, order)
            self._remember(told)
            self.peers.send_all(told)

    def of(self, endpoint: registry.Endpoint) -> list[Unanswered]:
        """Return what an endpoint may still carry out.

        :param endpoint: the endpoint, in whichever incarnation.
        """
        now = time.monotonic()
        return [
            order
            for order, until in self.until_by_order.items()
            if until > now and order.endpoint == endpoint.entry.name
        ]

    def _remember(self, told: Unanswered) -> None:
        now = time.monotonic()
        ended = [key for key, until in self.until_by_order.items() if until < now]
        for order in ended:
            del self.until_by_order[order]
        self.until_by_order[told] = now + LATE_S
