"""What an endpoint is offered for, and when a resident may leave it.

Before an unload its model is withheld: it is announced no longer, gets no
slots, and requests that wait for it go elsewhere. Then the requests in flight
are waited for.
"""

import gevent

from mothworks import configuration, health, kernel, ledger, placement, slots

#: Time that entries need to hear that a model is not offered any more, seconds.
ANNOUNCE_S = 1.0
#: Pause between looks at the requests in flight, seconds.
IN_FLIGHT_S = 0.1


class Offering:
    """The residents that one owned endpoint is offered for.

    :param node_kernel: the node's kernel.
    :param endpoint: the endpoint's name.
    """

    def __init__(self, node_kernel: kernel.Kernel, endpoint: str):
        self.endpoint = endpoint
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.placement = node_kernel.get(placement.Placement)
        self.slots = node_kernel.get(slots.Slots)

    def withhold(self, current: ledger.Ledger, leaving: ledger.Holding) -> None:
        """Wait until no request in flight needs a resident any more.

        Memory of a late load needs no wait: nothing can be running there.
        Where another version stays resident, new requests go to that one and
        only the requests of this moment are waited for.

        :param current: the endpoint's ledger.
        :param leaving: the resident.
        """
        if current.holding(*leaving.key) is None:
            return
        names = self._needing(leaving)
        if has_other_version(current, leaving):
            waited_for = self._running(names)
            while waited_for & self._running(names):
                gevent.sleep(IN_FLIGHT_S)
            return
        self.slots.withhold(self.endpoint, names)
        gevent.sleep(ANNOUNCE_S)
        while self._running(names):
            gevent.sleep(IN_FLIGHT_S)

    def is_last(self, current: ledger.Ledger, leaving: ledger.Holding) -> bool:
        """Return whether a declared model would answer nowhere without this.

        Two planners, in a partition that just ended, may each have given up
        the other's replica. Both owners have withheld the model by now and
        heard of each other, so that both see it here and keep it.

        :param current: the endpoint's ledger.
        :param leaving: the resident, already withheld.
        """
        index = self.configuration.index
        declared = index.model_by_name | index.adapter_by_name
        if leaving.name not in declared or has_other_version(current, leaving):
            return False
        answering = self.placement.open_endpoints(leaving.name)
        return not set(answering) - {self.endpoint}

    def restore(self) -> None:
        """Offer every resident, after a fresh look at what is resident.

        The last regular report may still name a model that was just
        unloaded; offering from that would send requests into refusals.
        """
        fresh = self.health.refresh(self.endpoint)
        if fresh and self.is_reduced():
            self.slots.withhold(self.endpoint, frozenset())

    def is_reduced(self) -> bool:
        """Return whether any resident is withheld."""
        return bool(self.health.withheld_by_endpoint.get(self.endpoint))

    def _needing(self, leaving: ledger.Holding) -> frozenset[str]:
        """Return the names whose requests need a resident."""
        adapters = self.configuration.index.catalogue.adapters
        adapting = [item.name for item in adapters if item.model == leaving.name]
        return frozenset([leaving.name, *adapting])

    def _running(self, names: frozenset[str]) -> frozenset[str]:
        running = [self.slots.running(self.endpoint, name) for name in names]
        return frozenset().union(*running)


def has_other_version(current: ledger.Ledger, leaving: ledger.Holding) -> bool:
    """Return whether a model is resident in another version as well.

    :param current: the endpoint's ledger.
    :param leaving: one version of the model.
    """
    return any(
        item.name == leaving.name and item.version != leaving.version
        for item in current.holdings
    )
