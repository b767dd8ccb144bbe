"""Late orders: loads without an answer, which an endpoint may carry out later.

An endpoint carries a late order out only while it has accepted as many orders as
the order names. Within one incarnation that makes late orders harmless (see
:mod:`site_orders`). But the count starts anew when the endpoint starts again
under its name, and an old order may meet its count once more. So each VM
remembers the loads that got no answer, and whoever holds the lease keeps room
for them.
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
    """Tells all VMs of a load that got no answer.

    :param endpoint: the endpoint's name, which outlasts its incarnations.
    :param accepted: orders that the endpoint must have accepted to take it.
    :param model: the model.
    :param adapter: its adapter, or empty.
    """

    endpoint: str
    accepted: int
    model: str
    adapter: str

    def harmless(self, site: sites.Site, beside: dict[str, set[str]]) -> bool:
        """Return whether an endpoint could carry it out with nothing overfull.

        :param site: the endpoint's site.
        :param beside: what takes memory there; see :meth:`sites.Site.taking`.
        """
        held = beside.get(self.model)
        done = held is not None and (not self.adapter or self.adapter in held)
        refused = bool(self.adapter) and held is None
        return done or refused or site.fits(self.model, self.adapter, beside)


class LateOrders(kernel.Part):
    """Remembers them, by endpoint.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        #: Monotonic time until which each may be carried out.
        self.until_by_load: dict[Unanswered, float] = {}
        self.peers.handle(Unanswered, lambda _, told, __: self._remember(told))

    def note(self, endpoint: registry.Endpoint, order: adapters.Order) -> None:
        """Remember an order that got no answer, here and on all other VMs.

        An unload takes no memory, so that it needs no room kept.

        :param endpoint: where it was sent.
        :param order: the order.
        """
        if order.load and endpoint.entry.born:
            told = Unanswered(
                endpoint.entry.name, order.accepted, order.model, order.adapter
            )
            self._remember(told)
            self.peers.send_all(told)

    def of(self, endpoint: registry.Endpoint) -> list[Unanswered]:
        """Return what an endpoint may still carry out.

        :param endpoint: the endpoint, in whichever incarnation.
        """
        now = time.monotonic()
        return [
            load
            for load, until in self.until_by_load.items()
            if until > now and load.endpoint == endpoint.entry.name
        ]

    def _remember(self, told: Unanswered) -> None:
        now = time.monotonic()
        for load in [key for key, until in self.until_by_load.items() if until < now]:
            del self.until_by_load[load]
        self.until_by_load[told] = now + LATE_S
