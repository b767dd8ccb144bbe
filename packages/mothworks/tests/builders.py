"""Builds valid test objects with defaults that tests override."""

import time

from mothworks import (  # noqa: F401
    builtin,
    catalogue,
    kernel,
    objects,
    requests,
    settings as settings_module,
    slot_messages,
)
from mothworks_fakes import testbed

CALLER_KEY = "guest-key"
BULK_KEY = "bulk-key"


def caller(**changes) -> catalogue.Caller:
    fields = {
        "name": "guest",
        "key_sha256": testbed.key_hash(CALLER_KEY),
        "urgency": catalogue.Urgency.URGENT,
    }
    return catalogue.Caller(**{**fields, **changes})


def bulk_caller(**changes) -> catalogue.Caller:
    fields = {
        "name": "batch",
        "key_sha256": testbed.key_hash(BULK_KEY),
        "urgency": catalogue.Urgency.BULK,
    }
    return catalogue.Caller(**{**fields, **changes})


def endpoint(name: str = "engine-1", **changes) -> catalogue.Endpoint:
    fields = {
        "name": name,
        "kind": "vllm",
        "address": "127.0.0.1",
        "port": 1,
        "data_centre": "dc-1",
        "memory_mb": 80_000,
        "accelerators": 1,
    }
    return catalogue.Endpoint(**{**fields, **changes})


def service_endpoint(name: str = "orders-1", **changes) -> catalogue.Endpoint:
    fields = {"kind": "application", "service": "orders", "memory_mb": 0}
    return endpoint(name, **{**fields, **changes})


def service(name: str = "orders", **changes) -> catalogue.Service:
    return catalogue.Service(name, **changes)


def model(name: str = "menu", **changes) -> catalogue.Model:
    fields = {"name": name, "memory_mb": 16_000, "working_mb": 4_000}
    return catalogue.Model(**{**fields, **changes})


def make_catalogue(**changes) -> catalogue.Catalogue:
    fields = {
        "data_centres": (
            catalogue.DataCentre("dc-1", "region-1"),
            catalogue.DataCentre("dc-2", "region-1"),
        ),
        "models": (model(),),
        "services": (catalogue.Service("orders"),),
        "callers": (caller(), bulk_caller()),
        "endpoints": (endpoint(), service_endpoint()),
    }
    return catalogue.Catalogue(**{**fields, **changes})


def slot_request(request_id: str = "request-1", rank: int = 0, **changes):
    fields = {
        "request_id": request_id,
        "endpoint": "engine-1",
        "rank": rank,
        "wait_ms": 600_000,
        "target_ms": 1600,
        "target": "menu",
        "caller": "guest",
    }
    return slot_messages.SlotRequest(**{**fields, **changes})


def request(request_id: str = "request-1", **changes) -> requests.Request:
    now = time.monotonic()
    fields = {
        "id": request_id,
        "caller": caller(),
        "target": "menu",
        "model": "menu",
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": (),
        "body": b'{"model": "menu"}',
        "stream": True,
        "repeatable": True,
        "received_at": now,
        "first_token_deadline": now + 1.6,
    }
    return requests.Request(**{**fields, **changes})


def settings(name: str = "vm-1", object_api_url: str = "http://127.0.0.1:1", **changes):
    fields = {
        "name": name,
        "address": "127.0.0.1",
        "port": 0,
        "peer_port": 0,
        "data_centre": "dc-1",
        "region": "region-1",
        "object_api": settings_module.ObjectApi(object_api_url),
        "vm_list": settings_module.VmList("http://127.0.0.1:1/vms", poll_s=0.2),
    }
    return settings_module.Settings(**{**fields, **changes})


def kernel_with_objects(api: objects.Api, name: str = "vm-1") -> kernel.Kernel:
    """Return a kernel whose parts use an object API in memory.

    :param api: the object API.
    :param name: the VM's name.
    """
    node_kernel = kernel.Kernel(settings(name))
    node_kernel.get(objects.Objects).api = api
    return node_kernel
