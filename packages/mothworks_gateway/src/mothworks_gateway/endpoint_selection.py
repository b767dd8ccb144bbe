"""Endpoint selection: orders the endpoints that a request can be sent to.

Each request has a preferred endpoint among those that hold its model: requests that
share a prompt go to the same endpoint, whose prefix cache holds that prompt. The
preferred endpoint is compared with a second one picked at random, and the less loaded
of the two comes first, with a margin in favour of the preferred one. VMs know each
other's load with a delay: if every VM picked the least loaded endpoint, all of them
would pick the same one.
"""

import collections.abc
import random

import attrs

from mothworks import kernel, ownership
from mothworks_gateway import (
    caller_request,
    declaration_types,
    discovery,
    endpoint_notices,
    health,
    registry,
    request_progress,
    running_requests,
)

#: Difference in load, as a share of an endpoint's batch slots, up to which a request
#: still goes to the endpoint that caches its prompt. An endpoint in another data
#: centre must be less loaded by as much, since traffic between data centres is billed.
LOAD_MARGIN = 0.1
#: Upper bound of this margin, in requests. The benefit of a cached prompt does not
#: grow with the batch size: with 96 batch slots, a margin of a tenth let one endpoint
#: run ten requests more than the next one, and the prefill of a dozen requests keeps
#: an endpoint busy.
MAX_MARGIN_REQUESTS = 3


@attrs.frozen
class Candidates:
    """Endpoints that could run a request.

    :param ready: endpoints that hold the request's model and adapter and accept
        requests, the best first.
    :param all: all available endpoints of the service, of the request's software
        version if it needs one.
    :param backoff: if all endpoints that hold them are in a backoff, the one that ends
        first.
    """

    ready: tuple[registry.Endpoint, ...]
    all: tuple[registry.Endpoint, ...]
    backoff: endpoint_notices.Backoff | None = None


class EndpointSelection(kernel.Part):
    """Orders the endpoints for each request by prompt affinity and load.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.data_centre = node_kernel.settings.data_centre
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.health = node_kernel.get(health.Health)
        self.notices = node_kernel.get(endpoint_notices.EndpointNotices)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        #: Returns an endpoint's speed by its id; see :mod:`shared_speeds`.
        self.speed: collections.abc.Callable[[str], float] = lambda _: 1.0

    def service(self, route: declaration_types.Route) -> str:
        """Pick a service for a request at random, by the route's weights.

        :param route: the route.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return random.choices(route.shares, weights)[0].service

    def candidates(self, request: caller_request.CallerRequest) -> Candidates:
        """Return the endpoints that could run a request, best first.

        :param request: the request.
        """
        target = request.target
        endpoints = [
            item
            for item in self.registry.of_service(target.service)
            if target.allows(item.entry.software_version)
        ]
        holding = [item for item in endpoints if item.can_run(target)]
        backoffs = [self.notices.backoff(item) for item in holding]
        if holding and all(backoffs):
            first = min(backoffs, key=lambda backoff: backoff.until)
            return Candidates((), tuple(endpoints), first)
        accepting = [
            item for item, backoff in zip(holding, backoffs, strict=True) if not backoff
        ]
        ready = self.health.healthy(accepting) if accepting else []
        return Candidates(tuple(self._order(ready, request)), tuple(endpoints))

    def accepts(
        self, endpoint: registry.Endpoint, target: caller_request.Target
    ) -> bool:
        """Return whether an endpoint may be sent a request now.

        :param endpoint: the endpoint.
        :param target: the request's target.
        """
        return (
            endpoint.available
            and endpoint.can_run(target)
            and self.notices.backoff(endpoint) is None
        )

    def _order(
        self, ready: list[registry.Endpoint], request: caller_request.CallerRequest
    ) -> list[registry.Endpoint]:
        if len(ready) < 2:
            return ready
        if not request.prompt:
            shuffled = random.sample(ready, len(ready))
            return sorted(shuffled, key=self._occupancy)
        preferred = self._preferred(ready, request)
        other = random.choice([item for item in ready if item is not preferred])
        pair = [preferred, other]
        if self._occupancy(other) + _margin(preferred) < self._occupancy(preferred):
            pair.reverse()
        rest = [item for item in ready if item not in pair]
        return [*pair, *sorted(rest, key=self._occupancy)]

    def _occupancy(self, endpoint: registry.Endpoint) -> float:
        """Return an endpoint's load as a share of its batch slots, by its speed.

        A faster endpoint frees its slots sooner, so that it bears more requests.
        Endpoints in other data centres get a surcharge.
        """
        running = self.running_requests.of_endpoint(endpoint.id)
        slots = max(1, endpoint.entry.batch_slots)
        occupancy = running / slots / self.speed(endpoint.id)
        is_local = endpoint.entry.data_centre == self.data_centre
        return occupancy if is_local else occupancy + _margin(endpoint)

    def _preferred(
        self, ready: list[registry.Endpoint], request: caller_request.CallerRequest
    ) -> registry.Endpoint:
        """Return the endpoint to which rendezvous hashing maps a request's prompt."""
        # The last part belongs to this request or its session, so it is left out.
        parts = request.prompt[:-1] or request.prompt
        key = f"{request.target.model}/{request.target.adapter}/{parts[-1].id}"
        return max(ready, key=lambda item: ownership.weight(key, item.id))


def eligible(
    request: caller_request.CallerRequest,
    progress: request_progress.RequestProgress,
    ready: tuple[registry.Endpoint, ...],
) -> list[registry.Endpoint]:
    """Return the endpoints that a request may be sent to.

    :param request: the request.
    :param progress: the attempts at it so far.
    :param ready: the endpoints that could run it, the best first.
    """
    if len(progress.tried) < request.route.max_endpoints:
        untried = [item for item in ready if item.id not in progress.tried]
        if untried:
            return untried
    if progress.may_have_run and not request.route.repeatable:
        return []
    return [item for item in ready if item.id in progress.tried]


def _margin(endpoint: registry.Endpoint) -> float:
    """Return the load margin of an endpoint, as a share of its batch slots."""
    return min(LOAD_MARGIN, MAX_MARGIN_REQUESTS / max(1, endpoint.entry.batch_slots))
