"""Imports the plug-ins that ship with the node, so that they register."""

from mothworks import (  # noqa: F401
    application,
    audit,
    configuration,
    dispatch,
    exchange,
    health,
    membership,
    objects_http,
    openai_calls,
    operator_calls,
    peers,
    placement,
    ports,
    routing,
    server,
    service_calls,
    slots,
    vllm,
    vm_list,
)
