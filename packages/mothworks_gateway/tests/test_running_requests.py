"""Running requests: own ones count at once, those of peers with their heartbeat."""

import pytest

import gateway_builders
from mothworks_gateway import caller_request, heartbeat, running_requests


class Heartbeats(gateway_builders.Heartbeats):
    """Stub of the heartbeats, of which some are recent."""

    def __init__(self):
        super().__init__()
        self.heartbeat_by_vm = {}

    def fresh(self):
        return self.heartbeat_by_vm

    def receive(self, vm, *running):
        self.heartbeat_by_vm[vm] = heartbeat.Heartbeat(1, 1, 0, running)
        for notify in self.on_received:
            notify(vm, self.heartbeat_by_vm[vm])


@pytest.fixture
def part():
    part = running_requests.RunningRequests(
        gateway_builders.Kernel({heartbeat.Heartbeats: Heartbeats()})
    )
    rows = (("i-1", "m", "", 2), ("i-1", "m", "a", 3), ("i-2", "m", "a", 5))
    part.heartbeats.receive("vm-2", *rows)
    return part


def test_counts_cover_own_requests_and_peers(part):
    part.request_started(
        gateway_builders.endpoint("i-1"), caller_request.Target("s", "m", "a")
    )
    part.request_started(
        gateway_builders.endpoint("i-1"), caller_request.Target("s", "n")
    )
    assert part.of_endpoint("i-1") == 7
    assert part.of_model("i-1", "m") == 6
    assert part.of_model("i-1", "n") == 1
    assert part.of_adapter("i-1", "m", "a") == 4
    assert part.of_adapter("i-2", "m", "a") == 5
    assert part.of_endpoint("i-3") == 0


def test_own_requests_that_ended_are_not_counted(part):
    endpoint, target = (
        gateway_builders.endpoint("i-9"),
        caller_request.Target("s", "m", "a"),
    )
    part.request_started(endpoint, target)
    part.request_started(endpoint, target)
    part.request_ended(endpoint, target)
    assert part.of_adapter("i-9", "m", "a") == 1
    part.request_ended(endpoint, target)
    assert part.of_endpoint("i-9") == part.of_model("i-9", "m") == 0
    (heartbeat_fields,) = part.heartbeats.field_providers
    assert heartbeat_fields()["running"] == ()


def test_a_heartbeat_lists_this_vms_running_requests(part):
    endpoint = gateway_builders.endpoint("i-1")
    for adapter in ("", "a", "a"):
        part.request_started(endpoint, caller_request.Target("s", "m", adapter))
    (heartbeat_fields,) = part.heartbeats.field_providers
    assert set(heartbeat_fields()["running"]) == {
        ("i-1", "m", "", 1),
        ("i-1", "m", "a", 2),
    }


def test_this_vms_own_heartbeat_is_not_counted_twice(part):
    part.request_started(
        gateway_builders.endpoint("i-1"), caller_request.Target("s", "n")
    )
    part.heartbeats.receive(part.kernel.settings.name, ("i-1", "n", "", 1))
    assert part.of_model("i-1", "n") == 1


def test_a_newer_heartbeat_replaces_the_last(part):
    part.heartbeats.receive("vm-2", ("i-1", "m", "", 1))
    assert part.of_model("i-1", "m") == 1
    assert part.of_endpoint("i-2") == 0


def test_a_peer_without_heartbeats_is_not_counted(part):
    part.heartbeats.receive("vm-3", ("i-1", "m", "", 4))
    del part.heartbeats.heartbeat_by_vm["vm-2"]
    part._expire()
    assert part.of_model("i-1", "m") == 4
    assert part.of_endpoint("i-2") == 0


def test_a_request_counts_while_it_waits_for_a_prefill_slot(part):
    # Otherwise its adapter appeared unused, was evicted for another one, and had to be
    # reloaded before the request could be sent.
    endpoint, target = (
        gateway_builders.endpoint("i-9"),
        caller_request.Target("s", "m", "a"),
    )
    with part.count_as_running(endpoint, target):
        assert part.of_adapter("i-9", "m", "a") == 1
    assert part.of_adapter("i-9", "m", "a") == 0
