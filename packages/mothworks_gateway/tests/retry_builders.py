"""Builders for tests of retry grants: the parts that decide, as stubs."""

import time
import types

import attrs
import result

import gateway_builders
from mothworks_gateway import (
    endpoint_paths,
    endpoint_rooms,
    endpoint_selection,
    forwarding_peers,
    health,
    retry_budget,
    retry_grants,
    room_estimates,
    running_requests,
    send_slots,
)


class Budget:
    """Stub of a retry budget with a number of retries."""

    def __init__(self, left):
        self.left = left

    def may_spend(self, _):
        return self.left > 0

    def try_spend(self, _, __):
        self.left -= 1
        return self.left >= 0


class Rooms:
    """Stub of the permits, which records those that are returned."""

    def __init__(self):
        self.begun = []

    def acquire(self, _, ranked, __):
        return ranked

    def begin(self, endpoint):
        self.begun.append(endpoint.id)


class Slots:
    """Stub of the send slots; grants one at each endpoint, or none."""

    grants = True

    def acquire(self, _, ranked, __):
        if not self.grants:
            return result.Err("at its limit")
        return result.Ok(send_slots.SendSlot(ranked[0]))


class Admission:
    """Stub of a queue's admission."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.is_withdrawn = False

    def withdraw(self):
        self.is_withdrawn = True


def make_health(answer_s_by_id, answers=10):
    records = {
        key: health.EndpointRecord("s", answers, answer_s=answer_s)
        for key, answer_s in answer_s_by_id.items()
    }
    return types.SimpleNamespace(
        record=lambda item: records.get(item.id, health.EndpointRecord("s"))
    )


def make_grants(endpoints, running=(), answer_s_by_id=None, retries=5, offers=()):
    """Return the retry grants of a VM that knows some endpoints.

    :param endpoints: the endpoints that hold the request's model, best first.
    :param running: running requests by endpoint.
    :param answer_s_by_id: mean answer times by endpoint.
    :param retries: retries left.
    :param offers: the peers that offer to run requests.
    """
    candidates = endpoint_selection.Candidates(tuple(endpoints), tuple(endpoints))
    peers = [types.SimpleNamespace(vm=vm) for vm in offers]
    parts = {
        endpoint_selection.EndpointSelection: types.SimpleNamespace(
            candidates=lambda _: candidates
        ),
        health.Health: make_health(answer_s_by_id or {}),
        running_requests.RunningRequests: gateway_builders.RunningRequests(running),
        retry_budget.RetryBudget: Budget(retries),
        endpoint_rooms.EndpointRooms: Rooms(),
        send_slots.SendSlots: Slots(),
        endpoint_paths.EndpointPaths: types.SimpleNamespace(lost=False),
        forwarding_peers.ForwardingPeers: types.SimpleNamespace(offers=lambda: peers),
    }
    kernel = gateway_builders.Kernel(parts)
    parts[room_estimates.RoomEstimates] = room_estimates.RoomEstimates(kernel)
    return retry_grants.RetryGrants(kernel)


def request(left_s=3.0, objective_s=0.4, **route_fields):
    """Return a repeatable request for a plain service."""
    sent = gateway_builders.request(deadline=time.monotonic() + left_s)
    values = {"idempotent": True, "max_endpoints": 2, "objective_s": objective_s}
    return attrs.evolve(sent, route=attrs.evolve(sent.route, **values, **route_fields))
