"""Shared speeds: all VMs learn what the owner of a queue measured."""

import types

import pytest

import gateway_builders
import test_aggregation
from mothworks import messages
from mothworks_gateway import (
    discovery,
    endpoint_selection,
    endpoint_speeds,
    heartbeat,
    placement_candidates,
    shared_speeds,
)

SERVICE = "s"
ENDPOINTS = test_aggregation.ENDPOINTS


def shared_speeds_of(vm):
    """Add shared speeds to a VM of a fleet."""
    parts = {
        discovery.Discovery: types.SimpleNamespace(registry=vm.health.registry),
        heartbeat.Heartbeats: vm.heartbeats,
        endpoint_selection.EndpointSelection: types.SimpleNamespace(),
        placement_candidates.Placement: types.SimpleNamespace(),
    }
    kernel = gateway_builders.Kernel(parts)
    kernel.settings = vm.heartbeats.kernel.settings
    return shared_speeds.SharedSpeeds(kernel)


class SpeedFleet(test_aggregation.Fleet):
    """A fleet in which one VM owns the queue of a service."""

    def __init__(self, monkeypatch, count):
        super().__init__(monkeypatch, count)
        monkeypatch.setattr(shared_speeds, "time", self.clock)
        self.speeds_by_vm = {
            name: shared_speeds_of(vm) for name, vm in self.vm_by_name.items()
        }

    def add_runs(self, estimator, speed):
        """Add runs of which the first endpoint's take longer, by its speed."""
        for n in range(40):
            at = self.clock.now - 4.0 + n / 10
            estimator.add_decode(ENDPOINTS[0].id, "m", 1, 1.0 / speed, at)
            estimator.add_decode(ENDPOINTS[1].id, "m", 1, 1.0, at)
            estimator.add_run("m", 1.7, at)

    def publish(self, owner, estimator, seconds):
        for _ in range(seconds):
            part = self.speeds_by_vm[owner]
            part.publish(SERVICE, estimator, self.clock.now)
            self.run(1.0)
            for item in self.speeds_by_vm.values():
                item._expire()

    def speeds(self):
        """Return the speeds of the first endpoint that the VMs know."""
        return {
            round(part.speed(ENDPOINTS[0].id), 2)
            for name, part in self.speeds_by_vm.items()
            if name not in self.network.down
        }


# Guards against rows that a collector, an aggregate or the totals drop: 2 VMs send to
# each other, 75 by way of collectors. The lease holder is no collector, if possible.
@pytest.mark.parametrize("count", [2, 75])
def test_all_vms_learn_speeds_and_run_times(monkeypatch, count):
    fleet = SpeedFleet(monkeypatch, count)
    fleet.holder = min(fleet.names, key=fleet.collectors.__contains__)
    fleet.run(1.0)
    estimator = endpoint_speeds.SpeedEstimator()
    fleet.add_runs(estimator, speed=0.5)
    owner = fleet.collectors[1]
    fleet.publish(owner, estimator, 1)
    (speed,) = fleet.speeds()
    assert speed == pytest.approx(0.67, abs=0.06)
    for part in fleet.speeds_by_vm.values():
        assert part.mean_run_s(SERVICE, "m") == pytest.approx(1.7)
        assert part.mean_run_s(SERVICE, "rare") == pytest.approx(1.7)
        assert part.mean_run_s("other", "m") is None
        assert part.prefill_tokens_per_s(ENDPOINTS[0].id, 9.0) == 9.0


# Guards against a VM that started late and never learns a speed that doesn't change,
# and against heartbeats that repeat everything four times a second.
def test_unchanged_speeds_are_published_every_few_seconds(monkeypatch):
    fleet = SpeedFleet(monkeypatch, 2)
    estimator = endpoint_speeds.SpeedEstimator()
    fleet.add_runs(estimator, speed=0.5)
    owner, late = fleet.names
    monkeypatch.setattr(endpoint_speeds, "IDLE_S", 1e9)
    fleet.publish(owner, estimator, 1)
    fleet.speeds_by_vm[late].known_by_id.clear()
    rows = []
    fleet.vm_by_name[late].heartbeats.on_received.append(
        lambda _, received: rows.extend(received.speeds)
    )
    fleet.publish(owner, estimator, 3)
    assert rows == []
    fleet.publish(owner, estimator, 2)
    assert len(rows) == 2
    assert fleet.speeds_by_vm[late].speed(ENDPOINTS[0].id) < 0.8


# Guards against speeds that stay in force after their owner failed, and against a new
# owner that takes a slow endpoint for an average one.
def test_a_new_owner_continues_and_without_one_speeds_expire(monkeypatch):
    fleet = SpeedFleet(monkeypatch, 2)
    estimator = endpoint_speeds.SpeedEstimator()
    fleet.add_runs(estimator, speed=0.5)
    first, second = fleet.names
    fleet.publish(first, estimator, 1)
    fleet.network.down.add(first)
    part = fleet.speeds_by_vm[second]
    estimator = part.new_estimator(SERVICE, fleet.clock.now)
    fleet.publish(second, estimator, 1)
    assert max(fleet.speeds()) < 0.8
    # The first owner starts again, and learns what the second one publishes.
    fleet.network.down.clear()
    fleet.speeds_by_vm[first] = shared_speeds_of(fleet.vm_by_name[first])
    fleet.publish(second, estimator, 6)
    assert max(fleet.speeds()) < 0.9
    fleet.run(shared_speeds.EXPIRY_S + 1.0)
    for item in fleet.speeds_by_vm.values():
        item._expire()
    assert fleet.speeds() == {1.0}
    assert part.mean_run_s(SERVICE, "m") is None


# Guards against the state of endpoints that are gone.
def test_endpoints_that_are_gone_are_removed(monkeypatch):
    fleet = SpeedFleet(monkeypatch, 2)
    estimator = endpoint_speeds.SpeedEstimator()
    fleet.add_runs(estimator, speed=0.5)
    owner = fleet.names[0]
    fleet.publish(owner, estimator, 1)
    part = fleet.speeds_by_vm[owner]
    assert len(part.speed_gauge.values) == 2
    del part.registry.by_id[ENDPOINTS[0].id]
    part._remove_gone()
    part.publish(SERVICE, estimator, fleet.clock.now)
    assert estimator.endpoint_ids() == [ENDPOINTS[1].id]
    assert list(part.known_by_id) == [ENDPOINTS[1].id]


# Guards against a cost for deployments without queues.
def test_empty_fields_take_a_byte_each():
    message = heartbeat.Heartbeat(1, 1, 0)
    fields = {"speeds": (("i-0", 0.7, 9_000),), "run_times": (("s", "m", 1.7),)}
    with_rows = messages.pack(heartbeat.Heartbeat(1, 1, 0, **fields))
    assert messages.pack(message).endswith(bytes([0x90, 0x90, 0xC0, 0x90]))
    assert len(with_rows) < len(messages.pack(message)) + 40


# Guards against log lines for each fluctuation, and against a change without one.
def test_a_lasting_change_is_logged_once(monkeypatch):
    fleet = SpeedFleet(monkeypatch, 2)
    part = fleet.speeds_by_vm[fleet.names[0]]
    changes = []
    monkeypatch.setattr(
        shared_speeds.logs, "event", lambda *_, **fields: changes.append(fields)
    )
    for speed in (1.0, 0.6, 1.0, 0.6, 0.62, 0.6, 0.6):
        part._publish_speed("i-0", shared_speeds._Known(speed, 0.0, fleet.clock.now))
    assert [(item["before"], item["outcome"]) for item in changes] == [(1.0, 0.62)]
