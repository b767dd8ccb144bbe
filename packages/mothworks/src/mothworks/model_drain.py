"""Drains a model on one endpoint before the model is unloaded.

The endpoint first withholds the model: it is no longer announced, gets no
batch slots, and requests waiting for it are sent to other endpoints. The drain
then waits for the requests in flight.
"""

import gevent

from mothworks import configuration, health, kernel, ledger, placement, slots

#: Time for entry VMs to learn that a model is withheld, seconds.
PROPAGATION_S = 1.0
#: Interval between checks for requests in flight, seconds.
IN_FLIGHT_POLL_S = 0.1


class ModelDrain:
    """Withholds and drains residents of one owned endpoint.

    :param node_kernel: the node's kernel.
    :param endpoint: the endpoint's name.
    """

    def __init__(self, node_kernel: kernel.Kernel, endpoint: str):
        self.endpoint = endpoint
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.placement = node_kernel.get(placement.Placement)
        self.slots = node_kernel.get(slots.Slots)

    def drain(self, current: ledger.Ledger, resident: ledger.Holding) -> None:
        """Withhold a model and wait until no request in flight uses it.

        The memory of a late load needs no drain: no request can be running on
        it. If another version stays resident, new requests use that version,
        and only the requests running now are waited for.

        :param current: the endpoint's ledger.
        :param resident: the resident.
        """
        if current.holding(*resident.key) is None:
            return
        names = self._dependent_names(resident)
        if has_other_version(current, resident):
            running_before = self._running(names)
            while running_before & self._running(names):
                gevent.sleep(IN_FLIGHT_POLL_S)
            return
        self.slots.withhold(self.endpoint, names)
        gevent.sleep(PROPAGATION_S)
        while self._running(names):
            gevent.sleep(IN_FLIGHT_POLL_S)

    def is_last_replica(self, current: ledger.Ledger, resident: ledger.Holding) -> bool:
        """Return whether this is the last open replica of a declared model.

        After a partition, two planners may each have unloaded the replica that
        the other relied on. Both owners have withheld the model and announced
        it by now, so both detect the conflict here and keep their replica.

        :param current: the endpoint's ledger.
        :param resident: the resident, already withheld.
        """
        index = self.configuration.index
        declared = index.model_by_name | index.adapter_by_name
        if resident.name not in declared or has_other_version(current, resident):
            return False
        open_endpoints = self.placement.open_endpoints(resident.name)
        return not set(open_endpoints) - {self.endpoint}

    def restore(self) -> None:
        """Announce every resident again, after a new report from the endpoint.

        The last periodic report may still list a model that was just
        unloaded; requests routed by it would be refused.
        """
        refreshed = self.health.report_now(self.endpoint)
        if refreshed and self.has_withheld():
            self.slots.withhold(self.endpoint, frozenset())

    def has_withheld(self) -> bool:
        """Return whether any resident is withheld."""
        return bool(self.health.withheld_by_endpoint.get(self.endpoint))

    def _dependent_names(self, resident: ledger.Holding) -> frozenset[str]:
        """Return the model and adapter names whose requests use a resident."""
        adapters = self.configuration.index.catalogue.adapters
        adapter_names = [item.name for item in adapters if item.model == resident.name]
        return frozenset([resident.name, *adapter_names])

    def _running(self, names: frozenset[str]) -> frozenset[str]:
        running = [self.slots.running_requests(self.endpoint, name) for name in names]
        return frozenset().union(*running)


def has_other_version(current: ledger.Ledger, resident: ledger.Holding) -> bool:
    """Return whether another version of a model is resident too.

    :param current: the endpoint's ledger.
    :param resident: one version of the model.
    """
    return any(
        item.name == resident.name and item.version != resident.version
        for item in current.holdings
    )
