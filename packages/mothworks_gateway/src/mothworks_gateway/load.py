"""Load: requests that run at each endpoint, as far as this VM knows.

Its own are exact; those of its peers are as old as their last pulse.
"""

import collections
import time

from mothworks import kernel
from mothworks_gateway import asked, pulse, registry

#: Time in which a model is usually loaded again from an endpoint's memory or
#: disk, seconds.
RELOAD_S = 0.8


class Load(kernel.Part):
    """Counts running and waiting requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.pulses = node_kernel.get(pulse.Pulses)
        self.pulses.on_pulse.append(self._fill)
        #: Own running requests by endpoint id, model and adapter.
        self.running: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.running_by_endpoint: collections.Counter[str] = collections.Counter()
        self.arrived: collections.defaultdict[asked.Target, float] = (
            collections.defaultdict(float)
        )
        #: Answers that came too slowly since the last pulse, by target.
        self.late: collections.Counter[asked.Target] = collections.Counter()
        self._of_peers: tuple[float, collections.Counter[str]] = (
            0.0,
            collections.Counter(),
        )

    def arrive(self, request: asked.Asked) -> None:
        """Count a request that came in.

        One that may wait for longer than its model takes to load again weighs
        less: it is hardly harmed if its model is not there.

        :param request: the request.
        """
        self.arrived[request.target] += min(1.0, RELOAD_S / request.route.objective_s)

    def note_late(self, target: asked.Target) -> None:
        """Count an answer whose endpoint was too slow for the caller's objective.

        :param target: what was asked for.
        """
        self.late[target.base] += 1

    def begin(self, endpoint: registry.Endpoint, target: asked.Target) -> None:
        """Count a request that is sent.

        :param endpoint: where to.
        :param target: what it asks for.
        """
        self.running[endpoint.id, target.model, target.adapter] += 1
        self.running_by_endpoint[endpoint.id] += 1

    def end(self, endpoint: registry.Endpoint, target: asked.Target) -> None:
        """Count a request that ended.

        :param endpoint: where it ran.
        :param target: what it asked for.
        """
        for counter, key in (
            (self.running, (endpoint.id, target.model, target.adapter)),
            (self.running_by_endpoint, endpoint.id),
        ):
            counter[key] -= 1
            if counter[key] <= 0:
                del counter[key]

    def of_endpoint(self, endpoint_id: str) -> int:
        """Return the requests that run at an endpoint, from all VMs.

        :param endpoint_id: the endpoint's id.
        """
        return self.running_by_endpoint[endpoint_id] + self._peers()[endpoint_id]

    def of_model(self, endpoint_id: str, model: str, adapter: str | None = None) -> int:
        """Return the requests for a model that run at an endpoint.

        :param endpoint_id: the endpoint's id.
        :param model: the model.
        :param adapter: only those for this adapter; None for all of the model.
        """
        rows = [(*key, count) for key, count in self.running.items()]
        for told in self.pulses.fresh().values():
            rows.extend(told.running)
        return sum(
            count
            for endpoint, name, of_adapter, count in rows
            if endpoint == endpoint_id
            and name == model
            and adapter in (None, of_adapter)
        )

    def _peers(self) -> collections.Counter[str]:
        """Return what peers run, added up at most 20 times a second."""
        now = time.monotonic()
        if now - self._of_peers[0] > 0.05:
            total: collections.Counter[str] = collections.Counter()
            for told in self.pulses.fresh().values():
                for endpoint, _, _, count in told.running:
                    total[endpoint] += count
            self._of_peers = (now, total)
        return self._of_peers[1]

    def _fill(self) -> dict:
        running = tuple((*key, count) for key, count in self.running.items())
        arrived = tuple(
            (target.service, target.model, target.adapter, count)
            for target, count in self.arrived.items()
            if target.model
        )
        late = tuple(
            (target.service, target.model, count)
            for target, count in self.late.items()
            if target.model
        )
        self.arrived.clear()
        self.late.clear()
        return {"running": running, "arrived": arrived, "late": late}
