"""The types of a declaration: routes, services, models and limits.

A platform adapter decodes the operator's document into these types. No other module
depends on the document's format.
"""

import functools
import math

import attrs

from mothworks_gateway import client_accounts

#: Highest rank of urgency that endpoints distinguish; 0 is the most urgent.
LOWEST_URGENCY = 9
#: Ratio of a request's latency objective to the shortest one of its service from which
#: it is patient: it can wait for several runs of others and still be in time.
PATIENCE_RATIO = 8.0


@attrs.frozen
class Share:
    """A service that receives a share of a route's requests.

    :param service: the service's name.
    :param weight: its share, relative to the weights of the route's other services.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """How requests for one host and path prefix are handled.

    :param name: the operator's name for the route.
    :param host: the requested host, in lower case.
    :param prefix: the path prefix; ends with a slash.
    :param shares: the services that run its requests, with their weights.
    :param idempotent: whether a request may run more than once.
    :param streaming: whether the response is a stream of events.
    :param resumable: whether an interrupted stream may be resumed on another endpoint.
    :param timeout_s: longest time that a caller waits, seconds.
    :param objective_s: latency objective for a response, seconds.
    :param max_gap_s: longest pause between two events of a stream that meets its
        objective, seconds; 0 for other routes.
    :param caller_timeout_s: time without an event after which callers close a stream,
        also before its first event, seconds.
    :param urgency: rank among routes; 0 is the most urgent.
    :param max_endpoints: maximum number of endpoints that one request is sent to.
    :param public: whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool = False
    streaming: bool = False
    resumable: bool = False
    timeout_s: float = 60.0
    objective_s: float = 1.0
    max_gap_s: float = 0.0
    caller_timeout_s: float = math.inf
    urgency: int = 0
    max_endpoints: int = 1
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run can be retried."""
        return self.resumable if self.streaming else self.idempotent


@attrs.frozen
class Model:
    """A model that callers may request.

    :param name: its name.
    :param memory_mb: accelerator memory for its weights, MB.
    :param adapters: number of its adapters.
    :param adapter_mb: accelerator memory for one adapter, MB.
    :param store_load_s: time to load it from the weight store, seconds.
    :param disk_load_s: time to load it from the endpoint's disk, seconds.
    :param host_load_s: time to load it from the endpoint's host memory, seconds.
    """

    name: str
    memory_mb: float
    adapters: int = 0
    adapter_mb: float = 0.0
    store_load_s: float = 4.0
    disk_load_s: float = 1.0
    host_load_s: float = 0.5


@attrs.frozen
class Accelerator:
    """Capacity of one model endpoint of a service.

    :param memory_mb: accelerator memory for weights and adapters, MB.
    :param adapter_slots: maximum number of loaded adapters.
    :param batch_slots: maximum batch size, requests.
    :param kv_tokens: capacity of its KV cache in prompt and output tokens.
    :param store_loads_per_s: loads per second that the weight store allows for all
        endpoints together.
    :param model_by_name: the models that callers may request.
    """

    memory_mb: float
    adapter_slots: int
    batch_slots: int
    kv_tokens: int
    store_loads_per_s: float
    model_by_name: dict[str, Model]


@attrs.frozen
class Service:
    """A group of endpoints that can serve the same requests.

    :param name: its name.
    :param max_connections: maximum number of connections that one endpoint accepts
        from all VMs together.
    :param accelerator: capacity of its endpoints; None for a service without models.
    """

    name: str
    max_connections: int = 64
    accelerator: Accelerator | None = None


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests and connections.

    :param header_bytes: longest head of a request, bytes.
    :param body_bytes: longest body of a request, bytes.
    :param header_timeout_s: longest time for a head to arrive, seconds.
    :param idle_timeout_s: longest time between two requests, seconds.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0


@attrs.frozen(slots=False)
class Declaration:
    """One version of the operator's declaration.

    :param version: increases with every change.
    :param routes: all routes.
    :param service_by_name: all services.
    :param limits: limits on callers.
    :param document: the operator's document as received, for peers.
    :param accounts: the client accounts; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    document: bytes = attrs.field(default=b"", repr=False, eq=False)
    accounts: client_accounts.Accounts | None = attrs.field(default=None, repr=False)

    @functools.cached_property
    def objectives_by_service(self) -> dict[str, list[float]]:
        """Return the latency objectives of each service, ascending, seconds."""
        objectives_by_service: dict[str, list[float]] = {}
        for route in self.routes:
            for share in route.shares:
                objectives = objectives_by_service.setdefault(share.service, [])
                objectives.append(route.objective_s)
        for objectives in objectives_by_service.values():
            objectives.sort()
        return objectives_by_service

    @functools.cached_property
    def has_patient_routes(self) -> bool:
        """Return whether a service has both urgent and patient routes."""
        return any(
            objectives[-1] >= PATIENCE_RATIO * objectives[0]
            for objectives in self.objectives_by_service.values()
        )

    def is_patient(self, service: str, objective_s: float) -> bool:
        """Return whether a request can wait for several runs and still be in time.

        :param service: its service.
        :param objective_s: its latency objective, seconds.
        """
        objectives = self.objectives_by_service.get(service)
        return bool(objectives) and objective_s >= PATIENCE_RATIO * objectives[0]

    def shortest_max_gap_s(self, service: str) -> float:
        """Return the shortest pause that streams of a service may have; 0 if any.

        :param service: the service.
        """
        gaps = [
            route.max_gap_s
            for route in self.routes
            if route.max_gap_s > 0
            and any(share.service == service for share in route.shares)
        ]
        return min(gaps, default=0.0)

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Return the routes of each host, the longest prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return routes_by_host

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path; None if none matches.

        :param host: the requested host, in lower case, without a port.
        :param path: the path as sent, without its query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
