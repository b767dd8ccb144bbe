"""Choice: which endpoint a request is sent to.

Among endpoints that hold the model and are not passed over, the least loaded
goes first, in steps, so that within a step requests that share a prompt meet
at the same endpoint, where its parts are kept.
"""

import random

import attrs

from mothworks import kernel, ownership
from mothworks_gateway import asked, declared, discovery, health, load, registry

#: Width of a step of load, as a share of an endpoint's places. Within it the
#: gain of a kept prompt is worth more than the shorter batch.
STEP = 0.1
#: Load that an endpoint in another data centre must be lower by, as a share of
#: its places: bytes between data centres are priced.
FAR = 0.1


@attrs.frozen
class Candidates:
    """Endpoints that could run a request.

    :param ready: those that hold what it needs, the best first.
    :param all: the open endpoints of the service.
    """

    ready: tuple[registry.Endpoint, ...]
    all: tuple[registry.Endpoint, ...]


class Choice(kernel.Part):
    """Orders the endpoints for each request.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.data_centre = node_kernel.settings.data_centre
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.health = node_kernel.get(health.Health)
        self.load = node_kernel.get(load.Load)

    def service(self, route: declared.Route) -> str:
        """Return the service that runs a request, by the route's weights.

        :param route: the route.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return random.choices(route.shares, weights)[0].service

    def candidates(self, request: asked.Asked) -> Candidates:
        """Return the endpoints that could run a request.

        :param request: the request.
        """
        target = request.target
        everyone = self.registry.of_service(target.service)
        holding = [
            item for item in everyone if item.holds(target.model, target.adapter)
        ]
        ready = self.health.usable(holding) if holding else []
        key = self._affinity(request)
        ranked = sorted(ready, key=lambda item: self._rank(item, key))
        return Candidates(tuple(ranked), tuple(everyone))

    def _rank(self, endpoint: registry.Endpoint, key: str) -> tuple[int, int]:
        running = self.load.of_endpoint(endpoint.id)
        share = running / max(1, endpoint.entry.places)
        if endpoint.entry.data_centre != self.data_centre:
            share += FAR
        if not key:
            return int(share * 1000), random.getrandbits(16)
        return int(share / STEP), -ownership.weight(key, endpoint.id)

    def _affinity(self, request: asked.Asked) -> str:
        """Return what requests share that should meet at one endpoint."""
        if not request.prompt:
            return ""
        parts = request.prompt[:-1] or request.prompt
        return f"{request.target.model}/{request.target.adapter}/{parts[-1].id}"
