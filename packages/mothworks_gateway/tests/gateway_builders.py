"""Builders and stubs for tests of single parts of the gateway."""

import collections

from mothworks import metrics, tasks
from mothworks_gateway import (
    caller_request,
    client_accounts,
    declaration_types,
    discovery,
    registry,
    settings,
)


class Heartbeats:
    """Stub of the heartbeats of a node."""

    def __init__(self):
        self.field_providers = []
        self.on_received = []


class Kernel:
    """Stub of a kernel with given parts."""

    def __init__(self, parts, **bounds):
        self.settings = make_settings(bounds=settings.Bounds(**bounds))
        self.metrics = metrics.Metrics()
        self.rhythm = tasks.Rhythm()
        self.parts = parts
        self.draining = False
        self.on_draining = []

    def crash(self, error):
        raise error

    def get(self, part_class):
        return self.parts[part_class]


def kernel_with_registry(view, parts=None):
    """Return a kernel with a registry and further parts.

    :param view: the registry.
    :param parts: the further parts, by class.
    """
    discovery_part = type("Discovery", (), {"registry": view})()
    return Kernel({discovery.Discovery: discovery_part, **(parts or {})})


def make_settings(name="vm-1", **fields):
    """Return the settings of one VM."""
    return settings.Settings(
        name=name,
        address="10.0.0.1",
        front="10.0.0.1:80",
        ready="10.0.0.1:81",
        peer_port=7000,
        data_centre="a",
        region="r",
        adapter="none",
        platform=settings.Platform("10.0.0.9:8000"),
        **fields,
    )


def endpoint(endpoint_id, service="s", batch_slots=10, models=(), data_centre="a"):
    """Return an endpoint that has some models loaded."""
    adapters_by_model = {name: frozenset() for name in models}
    entry = registry.Entry(
        endpoint_id,
        service,
        ("10.0.1.1", 80),
        data_centre,
        batch_slots,
        False,
        None,
        adapters_by_model,
    )
    built_endpoint = registry.Endpoint(entry)
    built_endpoint.adapters_by_model = {name: set() for name in models}
    return built_endpoint


def request(**fields):
    """Return a request for a plain service."""
    route = declaration_types.Route("r", "h", "/", (declaration_types.Share("s"),))
    values = {
        "id": "q-1",
        "route": route,
        "target": caller_request.Target("s"),
        "method": "GET",
        "path": "/",
        "host": "h",
        "headers": (),
        "body": b"",
        "received_at": 0.0,
        "deadline": 10.0,
        "declaration_version": 1,
        **fields,
    }
    return caller_request.CallerRequest(**values)


def account(name):
    """Return a client account."""
    return client_accounts.ClientAccount(name, frozenset(), None)


class RunningRequests:
    """Stub with fixed numbers of running requests by endpoint."""

    def __init__(self, running=()):
        self.running = collections.Counter(dict(running))

    def of_endpoint(self, endpoint_id):
        return self.running[endpoint_id]
