"""Endpoint limits: which of the limits that endpoints report are in force."""

import types

import pytest
import result

import fleet_builders
import gateway_builders
import virtual_time
from mothworks_gateway import (
    discovery,
    endpoint_limits,
    heartbeat,
    registry,
)


class Limits:
    """The limits that two VMs know, on a virtual clock."""

    def __init__(self, monkeypatch):
        self.clock = virtual_time.Clock(monkeypatch, endpoint_limits)
        self.view = registry.Registry()
        self.endpoint = gateway_builders.endpoint("i-1")
        self.view.by_id = {"i-1": self.endpoint}
        self.network = fleet_builders.Network()
        self.limits_here = self._limits_of("vm-0")
        self.limits_there = self._limits_of("vm-1")

    def _limits_of(self, name):
        parts = {
            discovery.Discovery: types.SimpleNamespace(registry=self.view),
            heartbeat.Heartbeats: gateway_builders.Heartbeats(),
        }
        kernel = fleet_builders.make_kernel(name, ["vm-0", "vm-1"], self.network, parts)
        return fleet_builders.add_endpoint_limits(kernel)

    def answer(self, per_s, sent_at, received_at, ran=True):
        """Simulate an answer; times are seconds since the start of the test."""
        self.clock.now = 1000.0 + received_at
        self.limits_here.observe(self.endpoint, per_s, 1000.0 + sent_at, "q-1", ran)

    @property
    def per_s(self):
        return self.limits_here.per_s("i-1")


@pytest.fixture
def limits(monkeypatch):
    return Limits(monkeypatch)


def test_a_reported_limit_is_in_force_until_an_answer_reports_none(limits):
    limits.answer(1.5, 0.0, 0.1)
    assert limits.per_s == 1.5
    limits.answer(None, 0.2, 0.3)
    assert limits.per_s is None


# Guards against an older answer that arrives late and replaces a newer limit.
def test_an_older_answer_does_not_replace_a_newer_limit(limits):
    limits.answer(2.0, 0.5, 0.6)
    limits.answer(9.0, 0.1, 0.7)
    assert limits.per_s == 2.0


# Guards against a limit that is lifted by an answer from before it was reported.
def test_an_answer_to_a_request_from_before_a_limit_arrived_does_not_lift_it(limits):
    limits.answer(2.0, 0.1, 0.5)
    limits.answer(None, 0.2, 0.6)
    assert limits.per_s == 2.0


# Guards against a lifted limit that an older answer puts in force again.
def test_an_older_answer_does_not_restore_a_lifted_limit(limits):
    limits.answer(2.0, 0.1, 0.2)
    limits.answer(None, 0.3, 0.4)
    limits.answer(2.0, 0.15, 0.5)
    assert limits.per_s is None
    limits.answer(3.0, 0.6, 0.7)
    assert limits.per_s == 3.0


# Guards against a limit that is lifted by a refusal of an overloaded endpoint.
def test_a_refusal_can_report_a_limit_but_not_lift_one(limits):
    limits.answer(2.0, 0.1, 0.2, ran=False)
    assert limits.per_s == 2.0
    limits.answer(None, 0.3, 0.4, ran=False)
    assert limits.per_s == 2.0
    limits.answer(None, 0.5, 0.6)
    assert limits.per_s is None


def test_an_unreadable_limit_changes_nothing(limits):
    limits.answer(2.0, 0.1, 0.2)
    limits.answer(result.Err("not a decimal number"), 0.3, 0.4)
    assert limits.per_s == 2.0


# Guards against a limit that stays in force for another endpoint at a reused address.
def test_a_limit_is_removed_with_its_endpoint(limits):
    limits.answer(2.0, 0.1, 0.2)
    limits.view.by_id = {}
    limits.view.notify_changed()
    assert limits.per_s is None


# Guards against a VM that learns of a limit only from the first answer to itself.
def test_a_change_is_published_to_all_vms_at_once(limits):
    limits.answer(2.0, 0.1, 0.2)
    assert limits.limits_there.per_s("i-1") == 2.0
    limits.answer(None, 0.3, 0.4)
    assert limits.limits_there.per_s("i-1") is None


# Guards against a VM that started later and learns of no limit, since none changes.
def test_limits_in_answers_are_repeated_in_heartbeats(limits):
    limits.answer(2.0, 0.1, 0.2)
    limits.limits_here._heartbeat_fields()
    limits.answer(2.0, 0.3, 0.4)
    (row,) = limits.limits_here._heartbeat_fields()["limits"]
    started_later = limits._limits_of("vm-1")
    started_later.merge([row], "vm-0")
    assert started_later.per_s("i-1") == 2.0
    assert limits.limits_here._heartbeat_fields()["limits"] == ()


def test_only_the_newest_limit_of_an_endpoint_is_published():
    newest = endpoint_limits.NewestLimits()
    newest.add([("i-1", 2.0, 0.5, 0.4), ("i-2", 1.0, 0.1, 0.0)], now=10.0)
    newest.add([("i-1", None, 0.2, 0.1), ("i-2", 3.0, 0.6, 0.5)], now=10.0)
    rows = {row[0]: row for row in newest.drain(now=11.0)}
    assert rows["i-1"][1] is None
    assert rows["i-1"][2] == pytest.approx(1.2)
    assert rows["i-2"][1] == 1.0
    assert newest.drain(now=11.0) == ()
