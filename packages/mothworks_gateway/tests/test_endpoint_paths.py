"""Endpoint paths: many unreachable endpoints differ from one that failed."""

import collections
import time
import types

import gevent
import pytest

import gateway_builders
from mothworks_gateway import (
    endpoint_paths,
    endpoints_client,
    registry,
    running_requests,
)


@pytest.fixture
def endpoints():
    return [gateway_builders.endpoint(f"i-{number}") for number in range(3)]


@pytest.fixture
def paths(endpoints):
    view = registry.Registry()
    view.by_id = {item.id: item for item in endpoints}
    running = types.SimpleNamespace(
        running=types.SimpleNamespace(by_endpoint=collections.Counter())
    )
    connections = types.SimpleNamespace(opened_at=0.0, open=lambda _: "refused")
    client = types.SimpleNamespace(connections=connections)
    parts = {
        running_requests.RunningRequests: running,
        endpoints_client.EndpointsClient: client,
    }
    return endpoint_paths.EndpointPaths(
        gateway_builders.kernel_with_registry(view, parts)
    )


def record_unreachable(paths, *endpoints):
    for endpoint in endpoints:
        paths.record_unreachable(endpoint, time.monotonic(), "connect: timed out")


def test_paths_are_lost_when_several_endpoints_are_unreachable(paths, endpoints):
    record_unreachable(paths, *endpoints[:2])
    assert paths.lost


# Guards against treating a single failed endpoint as lost paths.
def test_one_unreachable_endpoint_is_not_a_lost_path(paths, endpoints):
    record_unreachable(paths, *[endpoints[0]] * 5)
    assert not paths.lost


def test_an_answer_in_between_shows_that_the_paths_work(paths, endpoints):
    record_unreachable(paths, endpoints[0])
    paths.record_reached(time.monotonic())
    record_unreachable(paths, endpoints[1])
    assert not paths.lost


# Guards against attempts that began before an answer and time out after it.
def test_an_attempt_that_began_before_an_answer_does_not_count(paths, endpoints):
    started_at = time.monotonic()
    paths.record_reached(time.monotonic())
    for endpoint in endpoints:
        paths.record_unreachable(endpoint, started_at, "connect: timed out")
    assert not paths.lost


# Guards against a few failed endpoints that count as lost paths while others respond.
def test_other_endpoints_are_probed_at_once_after_a_loss(paths, endpoints):
    probed = []
    paths._probe = probed.append
    record_unreachable(paths, *endpoints[:2])
    gevent.sleep(0.01)
    assert probed == endpoints[2:]


def test_an_answer_regains_the_paths_and_notifies(paths, endpoints):
    states = []
    paths.on_change.append(lambda: states.append(paths.lost))
    record_unreachable(paths, *endpoints)
    paths.record_reached(time.monotonic())
    assert states == [True, False]
